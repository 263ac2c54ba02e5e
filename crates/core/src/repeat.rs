//! Repeats of requests to one service, bounded over all VMs together.
//!
//! In each sliding window the repeats of all VMs together stay below a ratio of the requests and a
//! slack. A VM spends the ratio of its own requests, and a fixed share of the slack. The shares add
//! up to the slack whatever each VM believes of the fleet.

use crate::settings::Repeats;
use crate::time::Instant;
use crate::time::Span;

/// Parts that a window is counted in. One more is kept, so that the count covers a whole window.
const PARTS: usize = 20;

/// Requests and repeats of one service in the last window.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Repeats,
    requests: [u64; PARTS + 1],
    repeats: [u64; PARTS + 1],
    /// Number of the newest part.
    part: u64,
}

impl Budget {
    /// No request was seen.
    #[must_use]
    pub const fn new(bound: Repeats) -> Self {
        Self {
            bound,
            requests: [0; PARTS + 1],
            repeats: [0; PARTS + 1],
            part: 0,
        }
    }

    /// Takes over another bound and keeps what was counted; the window keeps its length.
    pub const fn set_bound(&mut self, bound: Repeats) {
        let window = self.bound.window;
        self.bound = bound;
        self.bound.window = window;
    }

    /// A request arrived for the first time.
    pub fn record_request(&mut self, now: Instant) {
        let index = self.pass(now);
        self.requests[index] += 1;
    }

    /// Takes permission for one repeat.
    #[must_use]
    pub fn take(&mut self, now: Instant) -> bool {
        let index = self.pass(now);
        if self.left() < 1_000 {
            return false;
        }
        self.repeats[index] += 1;
        true
    }

    /// Thousandths of a repeat that are left.
    fn left(&self) -> u64 {
        // The oldest part is only partly inside the window: its repeats count, its requests do not.
        let oldest = index(self.part + 1);
        let requests: u64 = self.requests.iter().sum::<u64>() - self.requests[oldest];
        let repeats: u64 = self.repeats.iter().sum();
        let share = self.bound.slack * 1_000 / self.bound.vm_ceiling.max(1);
        let earned = requests.saturating_mul(self.bound.ratio_thousandths);
        earned.saturating_add(share).saturating_sub(repeats * 1_000)
    }

    /// Forgets what left the window; the place of the newest part.
    fn pass(&mut self, now: Instant) -> usize {
        let part = now.as_micros() / self.part_length().as_micros().max(1);
        let passed = part.saturating_sub(self.part).min(PARTS as u64 + 1);
        for step in 1..=passed {
            let index = index(part - passed + step);
            self.requests[index] = 0;
            self.repeats[index] = 0;
        }
        self.part = self.part.max(part);
        index(self.part)
    }

    fn part_length(&self) -> Span {
        Span::from_micros(self.bound.window.as_micros() / PARTS as u64)
    }
}

/// Place of the part with number `part`.
fn index(part: u64) -> usize {
    usize::try_from(part % (PARTS as u64 + 1)).unwrap_or_default()
}
