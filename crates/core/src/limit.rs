//! Limits on rate and concurrency, and the share of a limit that one VM uses.

use crate::time::Instant;

key! {
    /// The share of a rate that one VM uses: the whole divided by `divisor`, without rounding.
    pub struct Rate {
        /// Tokens a second of the whole.
        pub per_s: u64,
        /// Tokens that may be spent at once, of the whole.
        pub burst: u64,
        /// Number of equal shares; zero counts as one.
        pub divisor: u64,
    }
}

/// Units of one token before it is divided into shares, so that one microsecond at a rate of one
/// token a second is one unit.
const UNITS: i128 = 1_000_000;

impl Rate {
    /// The share of a rate limit. Each VM may hold at least one token, else a small burst would
    /// refuse every call; limits are not guarantees.
    #[must_use]
    pub fn shared(per_s: u64, burst: u64, members: u64, ceiling: u64) -> Self {
        let divisor = divisor(members, ceiling);
        Self {
            per_s,
            burst: burst.max(divisor),
            divisor,
        }
    }

    fn token(self) -> i128 {
        UNITS * i128::from(self.divisor.max(1))
    }

    fn capacity(self) -> i128 {
        UNITS * i128::from(self.burst)
    }
}

/// Token bucket that starts empty, counts in exact fractions of a token, and keeps what was
/// reserved and not yet settled inside its capacity.
///
/// Tokens held and tokens reserved together never pass the capacity. Otherwise a reservation made
/// before a window could be spent in the window on top of a bucket that was full again.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Rate,
    level: i128,
    reserved: u64,
    seen: Instant,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub const fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate,
            level: 0,
            reserved: 0,
            seen: now,
        }
    }

    /// Takes over another rate and keeps what was spent and reserved.
    pub fn update(&mut self, now: Instant, rate: Rate) {
        self.refill(now);
        let scaled = self.level.saturating_mul(rate.token());
        self.level = scaled.div_euclid(self.rate.token());
        self.rate = rate;
        self.bound();
    }

    /// Takes `tokens`; false if they are not there.
    #[must_use]
    pub fn take(&mut self, now: Instant, tokens: u64) -> bool {
        let taken = self.reserve(now, tokens);
        if taken {
            self.settle(now, tokens, tokens);
        }
        taken
    }

    /// Sets `tokens` aside for a later [`Bucket::settle`]; false if they are not there.
    #[must_use]
    pub fn reserve(&mut self, now: Instant, tokens: u64) -> bool {
        self.reserve_above(now, tokens, 0)
    }

    /// Sets `tokens` aside if at least `keep` tokens are left afterwards.
    #[must_use]
    pub fn reserve_above(&mut self, now: Instant, tokens: u64, keep: u64) -> bool {
        self.refill(now);
        let cost = self.rate.token().saturating_mul(i128::from(tokens));
        let kept = self.rate.token().saturating_mul(i128::from(keep));
        if cost.saturating_add(kept) > self.level {
            return false;
        }
        self.level -= cost;
        self.reserved = self.reserved.saturating_add(tokens);
        true
    }

    /// Ends a reservation of `reserved` tokens of which `spent` were used. Spending more than was
    /// reserved leaves a debt.
    pub fn settle(&mut self, now: Instant, reserved: u64, spent: u64) {
        self.refill(now);
        self.reserved = self.reserved.saturating_sub(reserved);
        let unused = i128::from(reserved) - i128::from(spent);
        let change = self.rate.token().saturating_mul(unused);
        self.level = self.level.saturating_add(change);
        self.bound();
    }

    /// Whether `tokens` would fit into the bucket if it were full.
    #[must_use]
    pub fn fits(&self, tokens: u64) -> bool {
        self.rate.token().saturating_mul(i128::from(tokens)) <= self.rate.capacity()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = i128::from(now.since(self.seen).as_micros());
        self.seen = self.seen.max(now);
        let gain = elapsed.saturating_mul(i128::from(self.rate.per_s));
        self.level = self.level.saturating_add(gain);
        self.bound();
    }

    fn bound(&mut self) {
        let reserved = self.rate.token().saturating_mul(i128::from(self.reserved));
        let room = self.rate.capacity().saturating_sub(reserved).max(0);
        self.level = self.level.min(room);
    }
}

/// Counts what is in progress at once.
#[derive(Clone, Debug, Default)]
pub struct Semaphore {
    limit: u64,
    in_use: u64,
}

impl Semaphore {
    /// A gate that lets `limit` in at once.
    #[must_use]
    pub const fn new(limit: u64) -> Self {
        Self { limit, in_use: 0 }
    }

    /// Takes over another limit; whoever is inside stays.
    pub const fn update(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Lets one in; false if the limit is reached.
    #[must_use]
    pub const fn try_acquire(&mut self) -> bool {
        let free = self.in_use < self.limit;
        if free {
            self.in_use += 1;
        }
        free
    }

    /// One that was let in is done.
    pub const fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// How many are inside.
    #[must_use]
    pub const fn in_use(&self) -> u64 {
        self.in_use
    }
}

/// The share of a concurrency limit that one VM uses. A limit above zero leaves every VM at least
/// one, else a limit below the number of VMs would refuse every call of the entry.
#[must_use]
pub fn share(limit: u64, members: u64, ceiling: u64) -> u64 {
    (limit / divisor(members, ceiling)).max(limit.min(1))
}

/// The known live members, but at least a third of the ceiling, so that a VM that believes itself
/// alone uses at most three shares.
fn divisor(members: u64, ceiling: u64) -> u64 {
    members.max(ceiling.div_ceil(3)).max(1)
}
