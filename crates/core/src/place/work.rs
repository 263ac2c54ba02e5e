//! Mean work of a call by entry, for calls that differ in work: how long the calls of an entry take
//! on a usual target.

use crate::map::Map;

/// Work that is assumed before any answer, as a share of the objective.
const ASSUMED_SHARE: f64 = 0.35;
/// Weight of a new answer in the moving average.
const WEIGHT: f64 = 1.0 / 32.0;
/// Weight of a new answer until `FIRST_ANSWERS` are known.
const FIRST_WEIGHT: f64 = 0.25;
const FIRST_ANSWERS: u32 = 8;

/// Moving average of the work of the calls of one entry.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    answers: u32,
}

/// Mean work by entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Work {
    entries: Map<u32, Mean>,
    /// Moving average of the natural logarithm of the latency ratios of the targets that answered.
    mean_log_ratio: f64,
}

impl Work {
    /// Records that a call of `entry` took `seconds` of work.
    pub(crate) fn add(&mut self, entry: u32, seconds: f64) {
        let mean = self.entries.entry(entry).or_default();
        let weight = if mean.answers == 0 {
            1.0
        } else if mean.answers < FIRST_ANSWERS {
            FIRST_WEIGHT
        } else {
            WEIGHT
        };
        mean.answers = mean.answers.saturating_add(1);
        mean.seconds += (seconds - mean.seconds) * weight;
    }

    /// Records the latency ratio of a target that answered, and returns by how much it exceeds the
    /// mean of the targets.
    ///
    /// Answers only tell the product of the work and the ratio. If a ratio that all targets share
    /// stayed out of the work, the work would drift away from the time that calls take.
    pub(crate) fn relative_ratio(&mut self, ratio: f64) -> f64 {
        self.mean_log_ratio += (ratio.ln() - self.mean_log_ratio) * WEIGHT;
        ratio / self.mean_log_ratio.exp()
    }

    /// Expected seconds of work of a call of `entry`; `objective` is the time in seconds within
    /// which its answer is of full use.
    pub(crate) fn expected(&self, entry: u32, objective: f64) -> f64 {
        match self.entries.get(&entry) {
            Some(mean) => mean.seconds.max(0.000_5),
            None => objective * ASSUMED_SHARE,
        }
    }

    /// Mean seconds of work over the entries seen; none before any answer.
    pub(crate) fn typical(&self) -> Option<f64> {
        let count = u32::try_from(self.entries.len())
            .ok()
            .filter(|count| *count > 0)?;
        let sum: f64 = self.entries.values().map(|mean| mean.seconds).sum();
        Some(sum / f64::from(count))
    }
}
