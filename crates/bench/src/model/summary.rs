//! Results of a run.

use hdrhistogram::Histogram;

/// Longest latency that the histogram resolves, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What a run measured after the warm-up.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Latency of good answers in microseconds; failures and timeouts count as the deadline.
    pub latency: Histogram<u64>,
    /// Answers within the deadline.
    pub good: u64,
    /// Calls refused without being run.
    pub shed: u64,
    /// Longest time until a refusal, in microseconds.
    pub latest_refusal: u64,
    /// Calls that failed or timed out.
    pub failed: u64,
    /// Bytes spent on measuring.
    pub measuring: u64,
    /// Bytes between regions, measuring included.
    pub cross_region: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Attempts that targets shed.
    pub shed_attempts: u64,
}

impl Default for Summary {
    fn default() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds are valid"),
            good: 0,
            shed: 0,
            latest_refusal: 0,
            failed: 0,
            measuring: 0,
            cross_region: 0,
            hedges: 0,
            shed_attempts: 0,
        }
    }
}

impl Summary {
    /// Adds a good answer.
    pub fn record_success(&mut self, latency: u64) {
        self.good += 1;
        self.latency.saturating_record(latency.max(1));
    }

    /// Adds a call without a good answer.
    pub fn record_failure(&mut self, deadline: u64) {
        self.failed += 1;
        self.latency.saturating_record(deadline.max(1));
    }

    /// Adds a refusal after `waited` microseconds.
    pub fn record_refusal(&mut self, waited: u64) {
        self.shed += 1;
        self.latest_refusal = self.latest_refusal.max(waited);
    }

    /// Adds the results of another run.
    pub fn merge(&mut self, other: &Self) {
        self.latency += &other.latency;
        self.good += other.good;
        self.shed += other.shed;
        self.latest_refusal = self.latest_refusal.max(other.latest_refusal);
        self.failed += other.failed;
        self.measuring += other.measuring;
        self.cross_region += other.cross_region;
        self.hedges += other.hedges;
        self.shed_attempts += other.shed_attempts;
    }

    /// Latency quantile in milliseconds.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        let micros = self.latency.value_at_quantile(quantile);
        std::time::Duration::from_micros(micros).as_secs_f64() * 1_000.0
    }
}
