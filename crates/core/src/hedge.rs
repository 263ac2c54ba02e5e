//! Hedging: decides when an idempotent call gets a second copy, within a budget.

use crate::estimate::seconds;
use crate::estimate::span;
use crate::time::Instant;
use crate::time::Span;

/// Quantile of the latency after which a call is late.
const QUANTILE: f64 = 0.95;
/// Step of the estimate, as a share of the estimate.
const STEP: f64 = 0.05;
/// Most copies that can be saved up.
const MAX_SAVED_COPIES: f64 = 4.0;

/// Running estimate of a high quantile of the latency.
#[derive(Clone, Debug, Default)]
pub struct Quantile {
    seconds: Option<f64>,
}

impl Quantile {
    /// Adds a latency.
    pub fn add(&mut self, latency: Span) {
        let latency = seconds(latency);
        let Some(level) = self.seconds else {
            self.seconds = Some(latency * 2.0);
            return;
        };
        let step = if latency > level {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.seconds = Some(level * (1.0 + STEP * step));
    }

    /// The estimate, once a latency is known.
    #[must_use]
    pub fn get(&self) -> Option<Span> {
        self.seconds.map(span)
    }
}

/// Budget for copies, as a percentage of the calls; it starts empty.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    copies: f64,
}

impl Budget {
    /// Adds `percent` hundredths of a copy for a call that was sent.
    pub fn earn(&mut self, percent: u8) {
        self.copies = (self.copies + f64::from(percent) / 100.0).min(MAX_SAVED_COPIES);
    }

    /// Takes one copy; false if none is saved up.
    pub fn take(&mut self) -> bool {
        let available = self.copies >= 1.0;
        if available {
            self.copies -= 1.0;
        }
        available
    }

    /// Returns a copy that was not sent.
    pub fn refund(&mut self) {
        self.copies += 1.0;
    }
}

/// Whether a call sent at `sent` gets a copy: it is older than the quantile, and its target is
/// slow. `slowness` is the mean latency of the target as a multiple of the typical one. Age alone
/// is no reason, since a long request is long at any target and its copy would only add load.
#[must_use]
pub fn is_due(sent: Instant, now: Instant, quantile: Option<Span>, slowness: f64) -> bool {
    const SLOW_FACTOR: f64 = 2.0;
    let age = now.since(sent);
    quantile.is_some_and(|quantile| age > quantile && slowness > SLOW_FACTOR)
}
