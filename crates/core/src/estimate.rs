//! What one VM can tell about the load and the speed of a target.

use std::time::Duration;

use crate::time::Instant;
use crate::time::Span;

key! {
    /// Load that a target reported.
    pub struct Report {
        /// Requests that the target works on.
        pub running: u64,
        /// Requests that wait in the target.
        pub queued: u64,
        /// How long work takes on the target's machine now, as a percentage of the usual, if told.
        pub slowdown_percent: Option<u64>,
    }
}

/// Weight that each further result leaves to the results before it; 1/16 of the weight is renewed.
const KEEP: f64 = 15.0 / 16.0;
/// Results at typical speed that are assumed before any result is known. With 3, a target without
/// any result is an outlier once its requests were in flight for 6 typical latencies in all.
const ASSUMED_RESULTS: f64 = 3.0;
/// Results that still count once a target is an outlier, so that a few fast trials clear it.
const OUTLIER_RESULTS: f64 = 4.0;
const OUTLIER_ABOVE: f64 = 3.0;
const OUTLIER_BELOW: f64 = 1.7;
/// Own results that end the slow start are one for each further slot, times this.
const RAMP_PER_RESULT: f64 = 0.5;
/// Typical latencies after which the slow start counts on one more slot without any result.
const RAMP_LATENCIES: f64 = 8.0;

/// Seconds of `span`.
#[must_use]
pub fn seconds(span: Span) -> f64 {
    Duration::from_micros(span.as_micros()).as_secs_f64()
}

/// The span of `seconds`, zero if negative or not finite.
#[must_use]
pub fn span(seconds: f64) -> Span {
    let duration = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    Span::from_micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// `count` as a floating-point number.
#[must_use]
pub fn number(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Load and speed of one target as far as this VM can tell.
#[derive(Clone, Debug)]
pub struct Estimate {
    others: Option<(Instant, f64)>,
    busy: f64,
    done: f64,
    outcomes: f64,
    errors: f64,
    accrued: Instant,
    slots: f64,
    added: Instant,
    outlier: bool,
    asked: Option<Instant>,
}

impl Estimate {
    /// Nothing is known yet; the target gets work as if it had one slot.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            others: None,
            busy: 0.0,
            done: 0.0,
            outcomes: 0.0,
            errors: 0.0,
            accrued: now,
            slots: 1.0,
            added: now,
            outlier: false,
            asked: None,
        }
    }

    /// Counts the time that `in_flight` own requests spent at the target since the last call.
    pub fn accrue(&mut self, now: Instant, in_flight: u64) {
        self.busy += seconds(now.since(self.accrued)) * number(in_flight);
        self.accrued = self.accrued.max(now);
    }

    /// Leaves out the time until `now`, during which this process did not run.
    pub fn skip(&mut self, now: Instant) {
        self.accrued = self.accrued.max(now);
    }

    /// The target answered an own request in full.
    pub fn record_answer(&mut self, slots: u64) {
        self.busy *= KEEP;
        self.done = self.done * KEEP + 1.0;
        self.outcome(false);
        self.slots = (self.slots + RAMP_PER_RESULT).min(number(slots));
    }

    /// An own request failed after `latency`; its time says nothing about the target's speed.
    pub fn record_failure(&mut self, latency: Span) {
        self.busy = (self.busy - seconds(latency)).max(0.0);
        self.outcome(true);
    }

    fn outcome(&mut self, failed: bool) {
        self.outcomes = self.outcomes * KEEP + 1.0;
        self.errors = self.errors * KEEP + if failed { 1.0 } else { 0.0 };
    }

    /// Takes over a report that was true at `at`, when `own` requests were of this VM.
    pub fn record_report(&mut self, at: Instant, report: Report, own: u64) {
        if self.others.is_none_or(|(last, _)| at >= last) {
            let others = (report.running + report.queued).saturating_sub(own);
            self.others = Some((at, number(others)));
        }
    }

    /// The target refused an own request for lack of a slot, about half of `round_trip` ago.
    pub fn record_shed(&mut self, now: Instant, round_trip: Span, slots: u64, own: u64) {
        let at = now - round_trip.half();
        if self.others.is_none_or(|(last, _)| at > last) {
            self.others = Some((at, number(slots.saturating_sub(own))));
        }
    }

    /// Lets only a few results count, so that a few good trials clear an ejected target.
    pub fn limit_history(&mut self) {
        if self.done > OUTLIER_RESULTS {
            self.busy *= OUTLIER_RESULTS / self.done;
            self.done = OUTLIER_RESULTS;
        }
        if self.outcomes > OUTLIER_RESULTS {
            self.errors *= OUTLIER_RESULTS / self.outcomes;
            self.outcomes = OUTLIER_RESULTS;
        }
    }

    /// The newest count of other VMs' requests, with the time when it was true.
    #[must_use]
    pub fn others(&self) -> Option<(Instant, f64)> {
        self.others
    }

    /// Whether the newest report was asked for more than `age` seconds ago.
    #[must_use]
    pub fn is_report_due(&self, now: Instant, age: f64) -> bool {
        let past = |asked| seconds(now.since(asked)) > age;
        self.asked.is_none_or(past)
    }

    /// A report was asked for.
    pub fn record_report_request(&mut self, now: Instant) {
        self.asked = Some(now);
    }

    /// Other VMs' requests at `now`: the newest report, drawn towards `usual` as it ages; after
    /// `half` both weigh the same.
    #[must_use]
    pub fn expected_others(&self, now: Instant, usual: f64, half: f64) -> f64 {
        let Some((at, others)) = self.others else {
            return usual;
        };
        let weight = half / (half + seconds(now.since(at)));
        usual + (others - usual) * weight
    }

    /// Slots that may be counted on of `all`, fewer during the slow start. The start ends with
    /// time, too, as a target that gets no work would stay cold.
    #[must_use]
    pub fn usable_slots(&self, now: Instant, all: u64, typical: f64) -> f64 {
        let age = seconds(now.since(self.added)) / typical.max(f64::MIN_POSITIVE);
        (self.slots + age / RAMP_LATENCIES).min(number(all))
    }

    /// Mean latency in seconds, by the time spent in flight for each result. Requests still in
    /// flight count with their age, so a target that stopped answering is seen, too.
    #[must_use]
    pub fn mean_latency(&self) -> Option<f64> {
        (self.done >= 1.0).then(|| self.busy / self.done)
    }

    /// Compares the speed with the `typical` mean latency of the others. A queue in the target,
    /// with `in_flight` own requests and `slots`, explains a longer latency: in overload, targets
    /// that are only fuller than others must not be ejected.
    pub fn update_outlier(&mut self, typical: f64, in_flight: u64, slots: u64) {
        let others = self.others.map_or(0.0, |(_, others)| others);
        let crowding = (number(in_flight) + others) / number(slots.max(1));
        let typical = typical * crowding.max(1.0);
        let mean = (self.busy + ASSUMED_RESULTS * typical) / (self.done + ASSUMED_RESULTS);
        if self.outlier {
            self.outlier = mean > OUTLIER_BELOW * typical;
        } else if mean > OUTLIER_ABOVE * typical {
            self.outlier = true;
        }
    }

    /// How many times slower than `typical` the target is.
    #[must_use]
    pub fn slowness(&self, typical: f64) -> f64 {
        let mean = (self.busy + ASSUMED_RESULTS * typical) / (self.done + ASSUMED_RESULTS);
        mean / typical.max(f64::MIN_POSITIVE)
    }

    /// Whether the target is far slower than the others.
    #[must_use]
    pub fn is_outlier(&self) -> bool {
        self.outlier
    }

    /// Share of failures among the newest results; zero before three results.
    #[must_use]
    pub fn error_share(&self) -> f64 {
        if self.outcomes < 2.5 {
            return 0.0;
        }
        self.errors / self.outcomes
    }
}
