//! Budgets in bytes that all VMs together keep without shared state, and the retry budget of a VM.
//!
//! Each VM spends at most the total divided by the ceiling on the number of VMs, whatever it knows
//! of the fleet, and starts with nothing. At most `ceiling` processes run at once, so their
//! lifetimes can be packed into `ceiling` sequences without overlap, and each sequence spends at
//! most one share: over any window, all VMs together spend at most rate × window + burst.

use crate::limit::Bucket;
use crate::limit::Rate;
use crate::time::Instant;

key! {
    /// A budget in bytes over all VMs.
    pub struct Total {
        /// Bytes a second.
        pub bytes_per_s: u64,
        /// Bytes that may be spent at once.
        pub burst_bytes: u64,
        /// Largest number of VM processes alive at once.
        pub vm_ceiling: u64,
    }

    /// Where the bytes travel.
    pub enum Path {
        /// Within a region.
        SameRegion,
        /// Between regions: both regions bill the bytes, so they count twice.
        CrossRegion,
    }
}

impl Path {
    /// The path to a target, which is in another region if it is `remote`.
    #[must_use]
    pub const fn new(remote: bool) -> Self {
        if remote {
            Self::CrossRegion
        } else {
            Self::SameRegion
        }
    }

    /// Cost of `bytes` in billed bytes.
    #[must_use]
    pub const fn cost(self, bytes: u64) -> u64 {
        match self {
            Self::SameRegion => bytes,
            Self::CrossRegion => bytes.saturating_mul(2),
        }
    }
}

impl Total {
    fn rate(self) -> Rate {
        Rate {
            per_s: self.bytes_per_s,
            burst: self.burst_bytes,
            divisor: self.vm_ceiling,
        }
    }
}

/// Accounts for the share that this VM has of a budget in bytes. Bytes between regions are passed
/// in at their [`Path::cost`].
#[derive(Clone, Debug)]
pub struct Meter {
    bucket: Bucket,
    total: Total,
    refusals: u64,
    spent_bytes: u64,
}

impl Meter {
    /// A meter that has nothing to spend yet.
    #[must_use]
    pub fn new(now: Instant, total: Total) -> Self {
        Self {
            bucket: Bucket::new(now, total.rate()),
            total,
            refusals: 0,
            spent_bytes: 0,
        }
    }

    /// Changes the budget and keeps what was spent and reserved.
    pub fn update(&mut self, now: Instant, total: Total) {
        if total != self.total {
            self.bucket.update(now, total.rate());
            self.total = total;
        }
    }

    /// Reserves `bytes`, an upper bound for both directions, before the first byte is sent, if at
    /// least `keep` bytes are left afterwards. A reservation that is never settled stays reserved.
    pub fn reserve(&mut self, now: Instant, bytes: u64, keep: u64) -> bool {
        let reserved = self.bucket.reserve_above(now, bytes, keep);
        self.refusals += u64::from(!reserved);
        reserved
    }

    /// Ends a reservation of `reserved` bytes of which `spent` were sent or received. Bytes above
    /// the reservation leave a debt that reduces what can be spent later.
    pub fn settle(&mut self, now: Instant, reserved: u64, spent: u64) {
        self.spent_bytes += spent;
        self.bucket.settle(now, reserved, spent);
    }

    /// Spends `bytes` at once, if at least `keep` bytes are left afterwards.
    pub fn take(&mut self, now: Instant, bytes: u64, keep: u64) -> bool {
        let reserved = self.reserve(now, bytes, keep);
        if reserved {
            self.settle(now, bytes, bytes);
        }
        reserved
    }

    /// Counts `bytes` that were sent or received without a reservation; they leave a debt.
    pub fn charge(&mut self, now: Instant, bytes: u64) {
        self.settle(now, 0, bytes);
    }

    /// Whether a reservation of `bytes` can ever fit into the share of this VM.
    #[must_use]
    pub fn fits(&self, bytes: u64) -> bool {
        self.total.bytes_per_s > 0 && self.bucket.fits(bytes)
    }

    /// Share of this VM of the burst, in bytes.
    #[must_use]
    pub fn burst(&self) -> u64 {
        self.total.burst_bytes / self.total.vm_ceiling.max(1)
    }

    /// Number of reservations refused so far.
    #[must_use]
    pub const fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Bytes spent so far.
    #[must_use]
    pub const fn spent_bytes(&self) -> u64 {
        self.spent_bytes
    }
}

/// Most retries that can be saved up.
const RETRY_BURST: u64 = 10;

/// Retry budget: extra attempts, which are retries or hedges, as a percentage of the calls.
#[derive(Clone, Debug)]
pub struct Retry {
    percent: u64,
    /// Hundredths of an attempt.
    saved: u64,
}

impl Retry {
    /// A budget with no attempt saved up.
    #[must_use]
    pub const fn new(percent: u64) -> Self {
        Self { percent, saved: 0 }
    }

    /// Changes the percentage.
    pub const fn update(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Adds `percent` hundredths of an attempt for a call that is made for the first time.
    pub fn record_call(&mut self) {
        let saved = self.saved.saturating_add(self.percent);
        self.saved = saved.min(RETRY_BURST * 100);
    }

    /// Takes one extra attempt; false if none is saved up.
    #[must_use]
    pub const fn take(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(100) else {
            return false;
        };
        self.saved = left;
        true
    }
}
