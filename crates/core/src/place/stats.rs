//! Statistics of one target: its load, the slowdown of its machine, its latency and its failures.
//! For load that shifts within milliseconds, each figure counts by its age.
//!
//! The slowdown of a machine changes several times a second, and the requests of other VMs end
//! within the work of one call, so both figures decay towards the usual ones. The usual figures are
//! those of all targets: where every target is busy, a target without reports is assumed to be
//! busy, too.

use crate::balance::Call;
use crate::estimate::Report;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::time::Instant;
use crate::time::Span;

/// Time after which a reported slowdown counts for 1/e; the slowdown of a machine changes after
/// about 300 ms.
const SLOWDOWN_DECAY_S: f64 = 0.25;
/// Time after which the failures of a target count for 1/e, so that it is tried again.
const FAILURE_DECAY_S: f64 = 3.0;
/// Time after which the latency ratio counts for 1/e without new answers.
const LATENCY_RATIO_DECAY_S: f64 = 6.0;
/// Time after which the difference between the mean load of other VMs at this target and at all
/// targets counts for 1/e without new reports.
const OTHERS_DECAY_S: f64 = 1.0;
/// Weight of a new answer in the latency ratio and the failure share, and of a new report in the
/// mean load of other VMs.
const WEIGHT: f64 = 0.2;
/// Bound on the latency ratio of one answer, and on its inverse.
const MAX_RATIO: f64 = 8.0;
/// A call that takes this many times the expected time is overdue; the work of calls spreads by a
/// third.
const OVERDUE_RATIO: f64 = 1.5;
/// How many times longer work takes on a target that has just started.
const COLD_SLOWDOWN: f64 = 1.8;

/// One call of this VM in flight at the target.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    call: Call,
    sent: Instant,
    /// Seconds that it was expected to take.
    expected: f64,
}

/// Statistics of one target.
#[derive(Clone, Debug)]
pub(crate) struct Stats {
    /// When the newest report was true.
    reported: Option<Instant>,
    /// Requests of other VMs at the newest report.
    others: f64,
    /// Moving average of the requests of other VMs over the last reports.
    mean_others: f64,
    /// How many times longer work took at the newest report that told it, 1 for as usual.
    machine_slowdown: f64,
    /// Moving average of the natural logarithm of the time that answers took against what was
    /// expected.
    log_ratio: f64,
    log_ratio_at: Instant,
    /// Share of failures among the newest results.
    failures: f64,
    failures_at: Instant,
    cold_until: Instant,
    attempts: Vec<Attempt>,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            reported: None,
            others: 0.0,
            mean_others: 0.0,
            machine_slowdown: 1.0,
            log_ratio: 0.0,
            log_ratio_at: Instant::default(),
            failures: 0.0,
            failures_at: Instant::default(),
            cold_until: Instant::default(),
            attempts: Vec::new(),
        }
    }
}

impl Stats {
    /// Records a report that was true at `now`, when `own` calls of this VM were at the target.
    /// Returns the requests of other VMs there.
    pub(crate) fn add_report(&mut self, now: Instant, report: Report, own: usize) -> f64 {
        let own = u64::try_from(own).unwrap_or(u64::MAX);
        self.others = number((report.running + report.queued).saturating_sub(own));
        self.mean_others += (self.others - self.mean_others) * WEIGHT;
        if let Some(percent) = report.slowdown_percent {
            self.machine_slowdown = number(percent).max(1.0) / 100.0;
        }
        self.reported = Some(now);
        self.others
    }

    /// Records that the target, which has `own` calls of this VM, had no free slot.
    pub(crate) fn mark_full(&mut self, now: Instant, slots: u64, own: usize) {
        let own = u64::try_from(own).unwrap_or(u64::MAX);
        self.others = number(slots.saturating_sub(own));
        self.reported = Some(now);
    }

    /// How many times longer work took on the machine at the newest report, 1 for as usual or if
    /// there is none.
    pub(crate) fn machine_slowdown(&self) -> f64 {
        self.reported.map_or(1.0, |_| self.machine_slowdown)
    }

    /// How many times longer answers take than expected.
    pub(crate) fn latency_ratio(&self, now: Instant) -> f64 {
        self.log_ratio_now(now).exp()
    }

    /// Sets until when the target is slow after its start.
    pub(crate) fn set_cold_until(&mut self, until: Instant) {
        self.cold_until = until;
    }

    /// Adds a call that was sent and is expected to take `expected` seconds.
    pub(crate) fn add_attempt(&mut self, now: Instant, call: Call, expected: f64) {
        self.attempts.push(Attempt {
            call,
            sent: now,
            expected,
        });
    }

    /// Removes a call that is no longer at the target.
    pub(crate) fn remove_attempt(&mut self, call: Call) {
        self.attempts.retain(|attempt| attempt.call != call);
    }

    /// Number of calls of this VM at the target.
    pub(crate) fn own_calls(&self) -> usize {
        self.attempts.len()
    }

    /// Records an answer that took `ratio` times as long as expected.
    pub(crate) fn add_answer(&mut self, now: Instant, ratio: f64) {
        let ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let known = self.log_ratio_now(now);
        self.log_ratio = known + (ratio - known) * WEIGHT;
        self.log_ratio_at = now;
        self.add_result(now, 0.0);
    }

    /// Records a call that failed at the target.
    pub(crate) fn add_failure(&mut self, now: Instant) {
        self.add_result(now, 1.0);
    }

    fn add_result(&mut self, now: Instant, failed: f64) {
        let known = self.failure_share(now);
        self.failures = known + (failed - known) * WEIGHT;
        self.failures_at = now;
    }

    /// Share of calls that fail.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        self.failures * decay(now.since(self.failures_at), FAILURE_DECAY_S)
    }

    fn log_ratio_now(&self, now: Instant) -> f64 {
        self.log_ratio * decay(now.since(self.log_ratio_at), LATENCY_RATIO_DECAY_S)
    }

    /// How many times longer work takes than on a usual target, apart from its load;
    /// `usual_slowdown` is the mean slowdown of all machines.
    pub(crate) fn slowdown(&self, now: Instant, usual_slowdown: f64) -> f64 {
        let machine = match self.reported {
            Some(at) => {
                let weight = decay(now.since(at), SLOWDOWN_DECAY_S);
                usual_slowdown + (self.machine_slowdown - usual_slowdown) * weight
            }
            None => usual_slowdown,
        };
        let cold = if now < self.cold_until {
            COLD_SLOWDOWN
        } else {
            1.0
        };
        // Overdue calls show that a target is slow before any answer does.
        let overdue = self.attempts.iter().map(|attempt| {
            let elapsed = seconds(now.since(attempt.sent));
            (elapsed / attempt.expected.max(f64::MIN_POSITIVE) / OVERDUE_RATIO).max(1.0)
        });
        let overdue = overdue.fold(1.0, f64::max).min(MAX_RATIO);
        machine * cold * self.log_ratio_now(now).exp().max(overdue)
    }

    /// Expected requests at the target, own ones included. `usual` is the number of requests of
    /// other VMs at a usual target, and `decay_s` the seconds after which the requests of other VMs
    /// in the newest report count for 1/e.
    pub(crate) fn load(&self, now: Instant, decay_s: f64, usual: f64) -> f64 {
        let others = self.reported.map_or(usual, |at| {
            let age = now.since(at);
            usual
                + (self.mean_others - usual) * decay(age, OTHERS_DECAY_S)
                + (self.others - self.mean_others) * decay(age, decay_s)
        });
        let own = u64::try_from(self.attempts.len()).unwrap_or(u64::MAX);
        number(own) + others
    }

    /// Age of the newest report; none without any.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Span> {
        self.reported.map(|at| now.since(at))
    }
}

/// Weight of a figure of `age` that decays exponentially to 1/e within `decay_s` seconds.
fn decay(age: Span, decay_s: f64) -> f64 {
    (-seconds(age) / decay_s.max(f64::MIN_POSITIVE)).exp()
}
