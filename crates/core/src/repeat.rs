//! Budget for the repeats of requests to one service, such as retries and hedged copies, bounded
//! over all VMs together.
//!
//! In each sliding window the repeats of all VMs together stay below a ratio of the requests plus a
//! slack. A VM spends the ratio of its own requests, and a fixed share of the slack. The shares add
//! up to the slack whatever each VM believes of the fleet.

use crate::settings::Repeats;
use crate::time::Instant;
use crate::time::Span;

/// Buckets that a window is counted in. One more is kept, so that the count covers a whole window.
const BUCKETS: usize = 20;

/// Requests and repeats of one service in the last window.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Repeats,
    requests: [u64; BUCKETS + 1],
    repeats: [u64; BUCKETS + 1],
    /// Number of the newest bucket since the start of the clock.
    newest: u64,
}

impl Budget {
    /// A budget before any request.
    #[must_use]
    pub const fn new(bound: Repeats) -> Self {
        Self {
            bound,
            requests: [0; BUCKETS + 1],
            repeats: [0; BUCKETS + 1],
            newest: 0,
        }
    }

    /// Replaces the bound except for the length of its window, and keeps what was counted.
    pub const fn set_bound(&mut self, bound: Repeats) {
        let window = self.bound.window;
        self.bound = bound;
        self.bound.window = window;
    }

    /// Counts a request that arrived for the first time.
    pub fn record_request(&mut self, now: Instant) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Takes permission for one repeat; false if none is left.
    #[must_use]
    pub fn take(&mut self, now: Instant) -> bool {
        let index = self.advance(now);
        if self.left_thousandths() < 1_000 {
            return false;
        }
        self.repeats[index] += 1;
        true
    }

    /// Number of the requests and of the repeats that count now.
    pub fn counts(&mut self, now: Instant) -> (u64, u64) {
        self.advance(now);
        (self.counted_requests(), self.repeats.iter().sum())
    }

    /// The oldest bucket is only partly inside the window: its repeats count, its requests do not.
    fn counted_requests(&self) -> u64 {
        let oldest = index(self.newest + 1);
        self.requests.iter().sum::<u64>() - self.requests[oldest]
    }

    /// Thousandths of a repeat that are left.
    fn left_thousandths(&self) -> u64 {
        let requests = self.counted_requests();
        let repeats: u64 = self.repeats.iter().sum();
        let share = self.bound.slack * 1_000 / self.bound.vm_ceiling.max(1);
        let earned = requests.saturating_mul(self.bound.ratio_thousandths);
        earned.saturating_add(share).saturating_sub(repeats * 1_000)
    }

    /// Clears the buckets that left the window. Returns the index of the newest bucket.
    fn advance(&mut self, now: Instant) -> usize {
        let bucket = now.as_micros() / self.bucket_length().as_micros().max(1);
        let passed = bucket.saturating_sub(self.newest).min(BUCKETS as u64 + 1);
        for step in 1..=passed {
            let index = index(bucket - passed + step);
            self.requests[index] = 0;
            self.repeats[index] = 0;
        }
        self.newest = self.newest.max(bucket);
        index(self.newest)
    }

    fn bucket_length(&self) -> Span {
        Span::from_micros(self.bound.window.as_micros() / BUCKETS as u64)
    }
}

/// Index of the bucket with the number `bucket`.
fn index(bucket: u64) -> usize {
    usize::try_from(bucket % (BUCKETS as u64 + 1)).unwrap_or_default()
}
