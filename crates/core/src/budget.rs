//! Budgets that hold over all VMs together without shared state.
//!
//! Each VM spends at most the whole divided by the ceiling on VMs, whatever it knows of the fleet,
//! and starts with nothing. At most `ceiling` processes run at once, so their lifetimes fit into
//! `ceiling` seats without overlap, and each seat spends at most its share: over any window, all
//! VMs together spend at most rate × window + burst.

use crate::limit::Bucket;
use crate::limit::Rate;
use crate::time::Instant;

key! {
    /// The whole of a budget in bytes, over all VMs.
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
        Within,
        /// Between regions: both regions bill the bytes, so they count twice.
        Between,
    }
}

impl Path {
    /// The path to or from a target that is `remote`, in another region.
    #[must_use]
    pub const fn to(remote: bool) -> Self {
        if remote { Self::Between } else { Self::Within }
    }

    /// What `bytes` count.
    #[must_use]
    pub const fn cost(self, bytes: u64) -> u64 {
        match self {
            Self::Within => bytes,
            Self::Between => bytes.saturating_mul(2),
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

/// This VM's share of a budget in bytes; bytes between regions are given as [`Path::cost`] has them.
#[derive(Clone, Debug)]
pub struct Meter {
    bucket: Bucket,
    whole: Total,
    refused: u64,
    spent: u64,
}

impl Meter {
    /// A meter that has nothing to spend yet.
    #[must_use]
    pub fn new(now: Instant, whole: Total) -> Self {
        Self {
            bucket: Bucket::new(now, whole.rate()),
            whole,
            refused: 0,
            spent: 0,
        }
    }

    /// Takes over another budget and keeps what was spent and reserved.
    pub fn update(&mut self, now: Instant, whole: Total) {
        if whole != self.whole {
            self.bucket.update(now, whole.rate());
            self.whole = whole;
        }
    }

    /// Sets aside an upper bound of the bytes of both directions before the first is sent, if at
    /// least `keep` bytes are left afterwards. What is never settled stays reserved.
    pub fn hold(&mut self, now: Instant, bytes: u64, keep: u64) -> bool {
        let held = self.bucket.reserve_above(now, bytes, keep);
        self.refused += u64::from(!held);
        held
    }

    /// Ends a reservation of `held` bytes of which `spent` were carried. Bytes above the
    /// reservation leave a debt that later measurements pay.
    pub fn settle(&mut self, now: Instant, held: u64, spent: u64) {
        self.spent += spent;
        self.bucket.settle(now, held, spent);
    }

    /// Spends `bytes` at once, if at least `keep` bytes are left afterwards.
    pub fn take(&mut self, now: Instant, bytes: u64, keep: u64) -> bool {
        let held = self.hold(now, bytes, keep);
        if held {
            self.settle(now, bytes, bytes);
        }
        held
    }

    /// Counts `bytes` that were carried without a reservation; they leave a debt.
    pub fn charge(&mut self, now: Instant, bytes: u64) {
        self.settle(now, 0, bytes);
    }

    /// Whether a measurement of `bytes` can ever fit into this VM's share.
    #[must_use]
    pub fn fits(&self, bytes: u64) -> bool {
        self.whole.bytes_per_s > 0 && self.bucket.fits(bytes)
    }

    /// The share of the burst of this VM.
    #[must_use]
    pub fn burst(&self) -> u64 {
        self.whole.burst_bytes / self.whole.vm_ceiling.max(1)
    }

    /// Reservations refused so far.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Bytes spent so far.
    #[must_use]
    pub const fn spent(&self) -> u64 {
        self.spent
    }
}

/// Most retries that can be saved up.
const RETRY_BURST: u64 = 10;

/// Permission for extra attempts, retries or hedges, as a percentage of calls.
#[derive(Clone, Debug)]
pub struct Retry {
    percent: u64,
    /// Hundredths of an attempt.
    saved: u64,
}

impl Retry {
    /// No attempt saved up.
    #[must_use]
    pub const fn new(percent: u64) -> Self {
        Self { percent, saved: 0 }
    }

    /// Takes over another percentage.
    pub const fn update(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// A call was made for the first time.
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
