//! Limits on rate (token bucket) and concurrency (semaphore), and the share of a limit that one VM
//! uses.

use crate::time::Instant;

key! {
    /// The share of a rate limit that one VM uses: the limit divided by `divisor`, without
    /// rounding.
    pub struct Rate {
        /// Tokens a second of the whole limit.
        pub per_s: u64,
        /// Tokens that may be spent at once, of the whole limit.
        pub burst: u64,
        /// Number of equal shares; zero counts as one.
        pub divisor: u64,
    }
}

/// Units of one token before it is divided into shares. One microsecond at a rate of one token a
/// second gives one unit.
const UNITS_PER_TOKEN: i128 = 1_000_000;

impl Rate {
    /// The share of a rate limit, with `members` live VMs of at most `ceiling`. The burst leaves
    /// each VM at least one token, or else a small burst would refuse every call. A limit is not a
    /// guarantee: the sum over all VMs may exceed it.
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
        UNITS_PER_TOKEN * i128::from(self.divisor.max(1))
    }

    fn capacity(self) -> i128 {
        UNITS_PER_TOKEN * i128::from(self.burst)
    }
}

/// Token bucket that starts empty, counts in exact fractions of a token, and counts unsettled
/// reservations against its capacity.
///
/// Free and reserved tokens together never exceed the capacity. Otherwise a reservation made before
/// a window could be spent within the window on top of a bucket that was full again.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Rate,
    level: i128,
    reserved: u64,
    last_refill: Instant,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub const fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate,
            level: 0,
            reserved: 0,
            last_refill: now,
        }
    }

    /// Changes the rate and keeps what was spent and reserved.
    pub fn update(&mut self, now: Instant, rate: Rate) {
        self.refill(now);
        let scaled = self.level.saturating_mul(rate.token());
        self.level = scaled.div_euclid(self.rate.token());
        self.rate = rate;
        self.clamp();
    }

    /// Takes `tokens`; false if the bucket has too few.
    #[must_use]
    pub fn take(&mut self, now: Instant, tokens: u64) -> bool {
        let taken = self.reserve(now, tokens);
        if taken {
            self.settle(now, tokens, tokens);
        }
        taken
    }

    /// Reserves `tokens` until a later [`Bucket::settle`]; false if the bucket has too few.
    #[must_use]
    pub fn reserve(&mut self, now: Instant, tokens: u64) -> bool {
        self.reserve_above(now, tokens, 0)
    }

    /// Reserves `tokens` if at least `keep` tokens are left afterwards.
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
        self.clamp();
    }

    /// Whether `tokens` would fit into the bucket if it were full.
    #[must_use]
    pub fn fits(&self, tokens: u64) -> bool {
        self.rate.token().saturating_mul(i128::from(tokens)) <= self.rate.capacity()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = i128::from(now.since(self.last_refill).as_micros());
        self.last_refill = self.last_refill.max(now);
        let gain = elapsed.saturating_mul(i128::from(self.rate.per_s));
        self.level = self.level.saturating_add(gain);
        self.clamp();
    }

    fn clamp(&mut self) {
        let reserved = self.rate.token().saturating_mul(i128::from(self.reserved));
        let room = self.rate.capacity().saturating_sub(reserved).max(0);
        self.level = self.level.min(room);
    }
}

/// Counting semaphore that limits how many requests are in progress at once.
#[derive(Clone, Debug, Default)]
pub struct Semaphore {
    limit: u64,
    in_use: u64,
}

impl Semaphore {
    /// A semaphore with `limit` permits.
    #[must_use]
    pub const fn new(limit: u64) -> Self {
        Self { limit, in_use: 0 }
    }

    /// Changes the number of permits; those in use stay valid.
    pub const fn update(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Acquires a permit; false if all permits are in use.
    #[must_use]
    pub const fn try_acquire(&mut self) -> bool {
        let free = self.in_use < self.limit;
        if free {
            self.in_use += 1;
        }
        free
    }

    /// Returns a permit.
    pub const fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Number of permits in use.
    #[must_use]
    pub const fn in_use(&self) -> u64 {
        self.in_use
    }
}

/// Space for bytes that are kept in memory.
#[derive(Clone, Debug, Default)]
pub struct Space {
    limit: u64,
    in_use: u64,
}

impl Space {
    /// Space for `limit` bytes.
    #[must_use]
    pub const fn new(limit: u64) -> Self {
        Self { limit, in_use: 0 }
    }

    /// Takes space for `bytes`; false if less is left.
    #[must_use]
    pub const fn try_take(&mut self, bytes: u64) -> bool {
        let fits = bytes <= self.limit - self.in_use;
        if fits {
            self.in_use += bytes;
        }
        fits
    }

    /// Gives back space for `bytes` that was taken before.
    pub const fn give_back(&mut self, bytes: u64) {
        self.in_use = self.in_use.saturating_sub(bytes);
    }

    /// Bytes that are kept.
    #[must_use]
    pub const fn in_use(&self) -> u64 {
        self.in_use
    }
}

/// The share of a concurrency limit that one VM uses. A limit above zero leaves every VM at least
/// one request, or else a limit below the number of VMs would refuse every call of the entry.
#[must_use]
pub fn share(limit: u64, members: u64, ceiling: u64) -> u64 {
    (limit / divisor(members, ceiling)).max(limit.min(1))
}

/// Number of shares: the known live members, but at least a third of the ceiling, so that a VM that
/// knows no other member uses at most three shares.
fn divisor(members: u64, ceiling: u64) -> u64 {
    members.max(ceiling.div_ceil(3)).max(1)
}
