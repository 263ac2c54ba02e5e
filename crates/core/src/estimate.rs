//! Estimates the load and the speed of a target from its reports and from the requests of one VM.

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
/// A target becomes an outlier above the first multiple of the typical latency, until it falls to
/// the second.
const OUTLIER_ABOVE: f64 = 3.0;
const OUTLIER_BELOW: f64 = 1.7;
/// Slots that the slow start adds for each answered request of this VM.
const RAMP_PER_RESULT: f64 = 0.5;
/// Typical latencies after which the slow start adds one more slot without any result.
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

/// `count` as a floating-point number, `u32::MAX` at most.
#[must_use]
pub fn number(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Load and speed of one target as far as this VM can tell.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Requests of other VMs by the newest report, with the time when it was true.
    others: Option<(Instant, f64)>,
    /// Seconds that requests of this VM spent in flight, older ones with less weight.
    busy: f64,
    /// Answered requests, older ones with less weight.
    answers: f64,
    /// Answered and failed requests, older ones with less weight.
    results: f64,
    /// Failed requests, older ones with less weight.
    errors: f64,
    /// Time up to which `busy` is counted.
    accrued_until: Instant,
    /// Slots that answers have earned in the slow start.
    ramp_slots: f64,
    created: Instant,
    outlier: bool,
    /// When a report was last asked for.
    report_asked: Option<Instant>,
}

impl Estimate {
    /// An estimate without any result; the target gets work as if it had one slot.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            others: None,
            busy: 0.0,
            answers: 0.0,
            results: 0.0,
            errors: 0.0,
            accrued_until: now,
            ramp_slots: 1.0,
            created: now,
            outlier: false,
            report_asked: None,
        }
    }

    /// Adds the time that `in_flight` requests of this VM spent at the target since the last call.
    pub fn accrue(&mut self, now: Instant, in_flight: u64) {
        self.busy += seconds(now.since(self.accrued_until)) * number(in_flight);
        self.accrued_until = self.accrued_until.max(now);
    }

    /// Leaves out the time until `now`, during which this process did not run.
    pub fn skip(&mut self, now: Instant) {
        self.accrued_until = self.accrued_until.max(now);
    }

    /// Records that the target, which has `slots`, answered a request of this VM in full.
    pub fn record_answer(&mut self, slots: u64) {
        self.busy *= KEEP;
        self.answers = self.answers * KEEP + 1.0;
        self.record_result(false);
        self.ramp_slots = (self.ramp_slots + RAMP_PER_RESULT).min(number(slots));
    }

    /// Records that a request of this VM failed after `latency`, which says nothing about the
    /// target's speed.
    pub fn record_failure(&mut self, latency: Span) {
        self.busy = (self.busy - seconds(latency)).max(0.0);
        self.record_result(true);
    }

    fn record_result(&mut self, failed: bool) {
        self.results = self.results * KEEP + 1.0;
        self.errors = self.errors * KEEP + if failed { 1.0 } else { 0.0 };
    }

    /// Records a report that was true at `at`, when `own` requests of this VM were at the target;
    /// an older one than the last is ignored.
    pub fn record_report(&mut self, at: Instant, report: Report, own: u64) {
        if self.others.is_none_or(|(last, _)| at >= last) {
            let others = (report.running + report.queued).saturating_sub(own);
            self.others = Some((at, number(others)));
        }
    }

    /// Records that the target refused a request of this VM for lack of a slot, about half of
    /// `round_trip` ago; `own` requests of this VM are still there.
    pub fn record_shed(&mut self, now: Instant, round_trip: Span, slots: u64, own: u64) {
        let at = now - round_trip.half();
        if self.others.is_none_or(|(last, _)| at > last) {
            self.others = Some((at, number(slots.saturating_sub(own))));
        }
    }

    /// Reduces the weight of the results so far to that of a few, so that a few good trials clear
    /// an ejected target.
    pub fn limit_history(&mut self) {
        if self.answers > OUTLIER_RESULTS {
            self.busy *= OUTLIER_RESULTS / self.answers;
            self.answers = OUTLIER_RESULTS;
        }
        if self.results > OUTLIER_RESULTS {
            self.errors *= OUTLIER_RESULTS / self.results;
            self.results = OUTLIER_RESULTS;
        }
    }

    /// The newest count of other VMs' requests, with the time when it was true.
    #[must_use]
    pub fn others(&self) -> Option<(Instant, f64)> {
        self.others
    }

    /// Whether the newest report was asked for more than `max_age` seconds ago.
    #[must_use]
    pub fn is_report_due(&self, now: Instant, max_age: f64) -> bool {
        let past = |asked| seconds(now.since(asked)) > max_age;
        self.report_asked.is_none_or(past)
    }

    /// Records that a report was asked for.
    pub fn record_report_request(&mut self, now: Instant) {
        self.report_asked = Some(now);
    }

    /// Expected requests of other VMs at `now`: the newest report, drawn towards `usual` as it
    /// ages. After `half_s` seconds each weighs half.
    #[must_use]
    pub fn expected_others(&self, now: Instant, usual: f64, half_s: f64) -> f64 {
        let Some((at, others)) = self.others else {
            return usual;
        };
        let weight = half_s / (half_s + seconds(now.since(at)));
        usual + (others - usual) * weight
    }

    /// Slots of `all` that may be used, fewer during the slow start; `typical` is the typical
    /// latency in seconds. The start ends with time, too, as a target that gets no work would stay
    /// in it.
    #[must_use]
    pub fn usable_slots(&self, now: Instant, all: u64, typical: f64) -> f64 {
        let age = seconds(now.since(self.created)) / typical.max(f64::MIN_POSITIVE);
        (self.ramp_slots + age / RAMP_LATENCIES).min(number(all))
    }

    /// Mean latency in seconds, by the time spent in flight for each answer; none before an answer.
    /// Requests still in flight count with their age, so a target that stopped answering is seen,
    /// too.
    #[must_use]
    pub fn mean_latency(&self) -> Option<f64> {
        (self.answers >= 1.0).then(|| self.busy / self.answers)
    }

    /// Updates whether the target is an outlier by the `typical` latency of the others in seconds.
    /// A queue in the target, with `in_flight` requests of this VM and `slots`, explains a longer
    /// latency: in overload, targets that are only fuller than others must not be ejected.
    pub fn update_outlier(&mut self, typical: f64, in_flight: u64, slots: u64) {
        let others = self.others.map_or(0.0, |(_, others)| others);
        let utilization = (number(in_flight) + others) / number(slots.max(1));
        let typical = typical * utilization.max(1.0);
        let mean = (self.busy + ASSUMED_RESULTS * typical) / (self.answers + ASSUMED_RESULTS);
        if self.outlier {
            self.outlier = mean > OUTLIER_BELOW * typical;
        } else if mean > OUTLIER_ABOVE * typical {
            self.outlier = true;
        }
    }

    /// Mean latency as a multiple of the `typical` one in seconds.
    #[must_use]
    pub fn slowness(&self, typical: f64) -> f64 {
        let mean = (self.busy + ASSUMED_RESULTS * typical) / (self.answers + ASSUMED_RESULTS);
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
        if self.results < 2.5 {
            return 0.0;
        }
        self.errors / self.results
    }
}
