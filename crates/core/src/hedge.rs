//! When an idempotent call gets a second copy.

use crate::estimate::seconds;
use crate::estimate::span;
use crate::time::Instant;
use crate::time::Span;

/// Share of the calls that finish within the estimated quantile.
const QUANTILE: f64 = 0.95;
/// Step of the estimate as a share of itself.
const STEP: f64 = 0.05;
/// Copies that may be saved up.
const SAVED_COPIES: f64 = 4.0;

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

/// Copies that may be sent, as a share of the calls; starts empty.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    copies: f64,
}

impl Budget {
    /// A call was sent, which permits `percent` hundredths of a copy.
    pub fn earn(&mut self, percent: u8) {
        self.copies = (self.copies + f64::from(percent) / 100.0).min(SAVED_COPIES);
    }

    /// Takes one copy, if there is one.
    pub fn take(&mut self) -> bool {
        let some = self.copies >= 1.0;
        if some {
            self.copies -= 1.0;
        }
        some
    }

    /// Hands back a copy that was not sent.
    pub fn refund(&mut self) {
        self.copies += 1.0;
    }
}

/// Whether a call of `age` gets a copy. Age alone is no reason: a long request is long at any
/// target, and its copy would only add load. Its target must also be slow.
#[must_use]
pub fn wanted(sent: Instant, now: Instant, quantile: Option<Span>, slowness: f64) -> bool {
    const SLOW: f64 = 2.0;
    let age = now.since(sent);
    quantile.is_some_and(|quantile| age > quantile && slowness > SLOW)
}
