//! Token bucket in bytes with reservations that can be handed back.
//!
//! Bytes held and bytes left together never pass the burst. Otherwise a reservation made before a
//! window could be spent in the window on top of a purse that was full again.

use crate::time::Instant;

/// Bytes that may be spent, refilled at a fixed rate; starts empty.
#[derive(Clone, Debug)]
pub struct Purse {
    rate_per_s: u64,
    burst: u64,
    micro_bytes: i128,
    held: u64,
    filled: Option<Instant>,
}

const MICRO: i128 = 1_000_000;

impl Purse {
    /// A purse that gains `rate_per_s` bytes a second and holds at most `burst` bytes.
    #[must_use]
    pub fn new(rate_per_s: u64, burst: u64) -> Self {
        Self {
            rate_per_s,
            burst,
            micro_bytes: 0,
            held: 0,
            filled: None,
        }
    }

    /// Changes the rate and the bound; what was saved above the bound is lost.
    pub fn resize(&mut self, rate_per_s: u64, burst: u64) {
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.micro_bytes = self.micro_bytes.min(self.room());
    }

    /// Spends `bytes` at once if at least `keep` bytes remain afterwards.
    pub fn take(&mut self, now: Instant, bytes: u64, keep: u64) -> bool {
        self.fill(now);
        let fits = self.micro_bytes >= (i128::from(bytes) + i128::from(keep)) * MICRO;
        if fits {
            self.micro_bytes -= i128::from(bytes) * MICRO;
        }
        fits
    }

    /// Reserves `bytes` for later if at least `keep` bytes remain afterwards; ends with
    /// [`Purse::spend`] or [`Purse::give`].
    pub fn hold(&mut self, now: Instant, bytes: u64, keep: u64) -> bool {
        let held = self.take(now, bytes, keep);
        if held {
            self.held += bytes;
        }
        held
    }

    /// Ends a reservation of `bytes` that were spent.
    pub fn spend(&mut self, now: Instant, bytes: u64) {
        self.fill(now);
        self.held = self.held.saturating_sub(bytes);
    }

    /// Takes `bytes` that were spent without a reservation; the level may fall below zero.
    pub fn charge(&mut self, now: Instant, bytes: u64) {
        self.fill(now);
        self.micro_bytes -= i128::from(bytes) * MICRO;
    }

    /// Ends a reservation of `bytes` that were not spent.
    pub fn give(&mut self, now: Instant, bytes: u64) {
        self.spend(now, bytes);
        self.micro_bytes = (self.micro_bytes + i128::from(bytes) * MICRO).min(self.room());
    }

    fn room(&self) -> i128 {
        (i128::from(self.burst) - i128::from(self.held)).max(0) * MICRO
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = self.filled.map_or(0, |last| now.since(last).as_micros());
        self.filled = Some(self.filled.map_or(now, |last| last.max(now)));
        let gain = i128::from(elapsed) * i128::from(self.rate_per_s);
        self.micro_bytes = (self.micro_bytes + gain).min(self.room());
    }
}
