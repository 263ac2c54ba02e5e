//! Median of times or ratios, which follows changes and which a minority of odd values does not move. For
//! answers that a noisy neighbour or an error made slow or fast.

/// Step of the logarithm for a value, once many are known.
const STEP: f64 = 0.01;
/// Step for the first values, divided by their number.
const FIRST_STEP: f64 = 0.4;

/// Running median of positive values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Median {
    log: f64,
    count: f64,
}

impl Median {
    /// Adds a value.
    pub(crate) fn add(&mut self, value: f64) {
        let log = value.max(f64::MIN_POSITIVE).ln();
        if self.count < 1.0 {
            self.log = log;
        } else {
            let step = STEP.max(FIRST_STEP / self.count);
            self.log += (log - self.log).clamp(-step, step);
        }
        self.count += 1.0;
    }

    /// The median; none without values.
    pub(crate) fn value(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.log.exp())
    }

    /// Natural logarithm of the median; zero without values.
    pub(crate) fn log(&self) -> f64 {
        self.log
    }

    /// Halves the number of values, so that new ones count for more.
    pub(crate) fn halve(&mut self) {
        self.count /= 2.0;
    }

    /// Number of values.
    pub(crate) fn count(&self) -> f64 {
        self.count
    }
}
