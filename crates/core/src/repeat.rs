//! Budget for the repeats of requests to one service, such as retries and hedged copies, bounded
//! over all VMs together.
//!
//! In each sliding window, the repeats of all VMs together stay below a ratio of the requests in this
//! window or in the one before it, whichever are more, plus a slack. VMs keep to this without messages:
//!
//! - Each repeat is paid for by requests that this VM received at most a window before. Those that pay
//!   for the repeats of a window are thus among the requests of two windows, whichever VMs they reached,
//!   and each pays for half of the ratio. A limit on what each VM sends in its own window would not do: a
//!   service whose requests move from one VM to another would get the repeats of both.
//! - Each process spends a fixed share of the slack. The shares add up to the slack whatever each VM
//!   believes of the fleet, as long as no window has more processes than the ceiling, replaced ones
//!   included.

use crate::settings::Repeats;
use crate::time::Instant;
use crate::time::Span;

/// Buckets that a window is counted in.
const BUCKETS: usize = 20;
/// Buckets that what was spent of the slack is kept in: one more, as the oldest is only partly in the
/// window.
const SPENT_BUCKETS: usize = BUCKETS + 1;
/// Windows from which the requests that pay for the repeats of one window come.
const PAYING_WINDOWS: u64 = 2;
/// Price of a repeat.
const REPEAT_THOUSANDTHS: u64 = 1_000;

/// Requests to one service in the last window, and what is left of what they pay for.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Repeats,
    requests: [u64; BUCKETS],
    /// Thousandths of a repeat that were spent of what the requests of a bucket earned.
    spent: [u64; BUCKETS],
    /// Thousandths of a repeat that were taken from the share of the slack in a bucket.
    slack_spent: [u64; SPENT_BUCKETS],
    /// Number of the newest bucket since the start of the clock.
    newest: u64,
}

impl Budget {
    /// A budget before any request.
    #[must_use]
    pub const fn new(bound: Repeats) -> Self {
        Self {
            bound,
            requests: [0; BUCKETS],
            spent: [0; BUCKETS],
            slack_spent: [0; SPENT_BUCKETS],
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
        self.advance(now);
        self.requests[index(self.newest, BUCKETS)] += 1;
    }

    /// Takes permission for one repeat; false if none is left.
    #[must_use]
    pub fn take(&mut self, now: Instant) -> bool {
        self.advance(now);
        let earned: u64 = (0..BUCKETS).map(|index| self.unspent(index)).sum();
        if earned + self.slack_left() < REPEAT_THOUSANDTHS {
            return false;
        }
        let mut due = REPEAT_THOUSANDTHS;
        // What the oldest requests earned is spent first, as it expires first.
        for bucket in self.newest + 1..=self.newest + BUCKETS as u64 {
            let index = index(bucket, BUCKETS);
            let part = due.min(self.unspent(index));
            self.spent[index] += part;
            due -= part;
        }
        self.slack_spent[index(self.newest, SPENT_BUCKETS)] += due;
        true
    }

    /// Number of the requests that count now, and of the repeats that they paid for.
    pub fn counts(&mut self, now: Instant) -> (u64, u64) {
        self.advance(now);
        let spent: u64 = self.spent.iter().sum();
        (self.requests.iter().sum(), spent / REPEAT_THOUSANDTHS)
    }

    /// Thousandths of a repeat that are left of what the requests of a bucket earned.
    fn unspent(&self, index: usize) -> u64 {
        let each = self.bound.ratio_thousandths / PAYING_WINDOWS;
        let whole = self.requests[index].saturating_mul(each);
        whole.saturating_sub(self.spent[index])
    }

    /// Thousandths of a repeat that are left of the share of the slack.
    fn slack_left(&self) -> u64 {
        let share = self.bound.slack * 1_000 / self.bound.vm_ceiling.max(1);
        share.saturating_sub(self.slack_spent.iter().sum())
    }

    /// Clears the buckets that left the window.
    fn advance(&mut self, now: Instant) {
        let bucket = now.as_micros() / self.bucket_length().as_micros().max(1);
        let passed = bucket.saturating_sub(self.newest);
        let passed = passed.min(SPENT_BUCKETS as u64);
        for number in bucket - passed + 1..=bucket {
            self.requests[index(number, BUCKETS)] = 0;
            self.spent[index(number, BUCKETS)] = 0;
            self.slack_spent[index(number, SPENT_BUCKETS)] = 0;
        }
        self.newest = self.newest.max(bucket);
    }

    fn bucket_length(&self) -> Span {
        Span::from_micros(self.bound.window.as_micros() / BUCKETS as u64)
    }
}

/// Index of the bucket with the number `bucket` among the newest `count` ones.
fn index(bucket: u64, count: usize) -> usize {
    usize::try_from(bucket % count as u64).unwrap_or_default()
}
