//! Load that shifts within milliseconds: what is known of one target now, by the age of each figure.
//!
//! A report is worth its age. The pace of a machine changes several times a second, and the requests
//! of other VMs end within the work of one call, so both are drawn towards the usual as they age. The
//! usual is that of all targets: where every target is busy, one of which nothing is known is, too.

use crate::balance::Call;
use crate::estimate::Report;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::time::Instant;
use crate::time::Span;

/// Time after which a figure of the pace counts for 1/e; machines change their pace after about
/// 300 ms.
const PACE_MEMORY_S: f64 = 0.25;
/// Time after which what a target failed counts for 1/e, so that it is tried again.
const FAILURE_MEMORY_S: f64 = 3.0;
/// Time after which a difference in speed counts for 1/e without new answers.
const SPEED_MEMORY_S: f64 = 6.0;
/// Time after which the difference between the usual load of other VMs here and at all targets counts
/// for 1/e without new reports.
const OTHERS_MEMORY_S: f64 = 1.0;
/// Weight of a new answer in speed and failures, and of a report in the usual load of others.
const WEIGHT: f64 = 0.2;
/// Times slower or faster than predicted that one answer may count.
const RATIO_LIMIT: f64 = 8.0;
/// A call that takes this many times the expected time is overdue; the work of calls spreads by a third.
const OVERDUE_AFTER: f64 = 1.5;
/// How many times longer work takes on a target that has just started.
const COLD_FACTOR: f64 = 1.8;

/// One call that runs at the target.
#[derive(Clone, Copy, Debug)]
struct Run {
    call: Call,
    sent: Instant,
    /// Seconds that it was expected to take.
    expected: f64,
}

/// What is known of one target.
#[derive(Clone, Debug)]
pub(crate) struct Sight {
    /// When the newest report was true.
    heard: Option<Instant>,
    /// Requests of other VMs at the newest report.
    others: f64,
    /// Their mean over the last reports.
    usual_others: f64,
    /// How long work took at the newest report that told it, 1 for as usual.
    pace: f64,
    /// Natural logarithm of the time that answers took against what was expected.
    slowness: f64,
    slowness_at: Instant,
    /// Share of failures among the newest results.
    failures: f64,
    failures_at: Instant,
    cold_until: Instant,
    runs: Vec<Run>,
}

impl Default for Sight {
    fn default() -> Self {
        Self {
            heard: None,
            others: 0.0,
            usual_others: 0.0,
            pace: 1.0,
            slowness: 0.0,
            slowness_at: Instant::default(),
            failures: 0.0,
            failures_at: Instant::default(),
            cold_until: Instant::default(),
            runs: Vec::new(),
        }
    }
}

impl Sight {
    /// The target, which has `own` calls of this VM, reported its load at `now`; the requests of other
    /// VMs there.
    pub(crate) fn report(&mut self, now: Instant, report: Report, own: usize) -> f64 {
        let own = u64::try_from(own).unwrap_or(u64::MAX);
        self.others = number((report.running + report.queued).saturating_sub(own));
        self.usual_others += (self.others - self.usual_others) * WEIGHT;
        if let Some(pace) = report.slowdown_percent {
            self.pace = number(pace).max(1.0) / 100.0;
        }
        self.heard = Some(now);
        self.others
    }

    /// The target, of which this VM has `own` calls, had no slot left.
    pub(crate) fn full(&mut self, now: Instant, slots: u64, own: usize) {
        let own = u64::try_from(own).unwrap_or(u64::MAX);
        self.others = number(slots.saturating_sub(own));
        self.heard = Some(now);
    }

    /// Pace of the machine at the newest report, 1 for as usual or if there is none.
    pub(crate) fn pace(&self) -> f64 {
        self.heard.map_or(1.0, |_| self.pace)
    }

    /// How many times longer answers take than expected.
    pub(crate) fn speed(&self, now: Instant) -> f64 {
        self.slowness_now(now).exp()
    }

    /// The target is slow after its start until `until`.
    pub(crate) fn cold(&mut self, until: Instant) {
        self.cold_until = until;
    }

    /// A call was sent that is expected to take `expected` seconds.
    pub(crate) fn sent(&mut self, now: Instant, call: Call, expected: f64) {
        self.runs.push(Run {
            call,
            sent: now,
            expected,
        });
    }

    /// The call left the target.
    pub(crate) fn left(&mut self, call: Call) {
        self.runs.retain(|run| run.call != call);
    }

    /// Own calls at the target.
    pub(crate) fn own(&self) -> usize {
        self.runs.len()
    }

    /// An answer took `ratio` times as long as expected.
    pub(crate) fn answered(&mut self, now: Instant, ratio: f64) {
        let ratio = ratio.clamp(1.0 / RATIO_LIMIT, RATIO_LIMIT).ln();
        let known = self.slowness_now(now);
        self.slowness = known + (ratio - known) * WEIGHT;
        self.slowness_at = now;
        self.result(now, 0.0);
    }

    /// A call failed at the target.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.result(now, 1.0);
    }

    fn result(&mut self, now: Instant, failed: f64) {
        let known = self.failing(now);
        self.failures = known + (failed - known) * WEIGHT;
        self.failures_at = now;
    }

    /// Share of calls that fail.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        self.failures * fade(now.since(self.failures_at), FAILURE_MEMORY_S)
    }

    fn slowness_now(&self, now: Instant) -> f64 {
        self.slowness * fade(now.since(self.slowness_at), SPEED_MEMORY_S)
    }

    /// How many times longer work takes than on a usual target, apart from its load.
    pub(crate) fn factor(&self, now: Instant, usual_pace: f64) -> f64 {
        let pace = match self.heard {
            Some(at) => {
                let weight = fade(now.since(at), PACE_MEMORY_S);
                usual_pace + (self.pace - usual_pace) * weight
            }
            None => usual_pace,
        };
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        // Calls that are overdue show a slow target before any answer does.
        let overdue = self.runs.iter().map(|run| {
            let elapsed = seconds(now.since(run.sent));
            (elapsed / run.expected.max(f64::MIN_POSITIVE) / OVERDUE_AFTER).max(1.0)
        });
        let overdue = overdue.fold(1.0, f64::max).min(RATIO_LIMIT);
        pace * cold * self.slowness_now(now).exp().max(overdue)
    }

    /// Requests at the target, own ones included; `memory` is the time after which other VMs'
    /// requests of a report count for 1/e, and `usual` their number at a usual target.
    pub(crate) fn load(&self, now: Instant, memory: f64, usual: f64) -> f64 {
        let others = self.heard.map_or(usual, |at| {
            let age = now.since(at);
            usual
                + (self.usual_others - usual) * fade(age, OTHERS_MEMORY_S)
                + (self.others - self.usual_others) * fade(age, memory)
        });
        let own = u64::try_from(self.runs.len()).unwrap_or(u64::MAX);
        number(own) + others
    }

    /// Age of the newest report; none without any.
    pub(crate) fn age(&self, now: Instant) -> Option<Span> {
        self.heard.map(|at| now.since(at))
    }
}

/// What remains of a figure of `age` that counts for 1/e after `memory` seconds.
fn fade(age: Span, memory: f64) -> f64 {
    (-seconds(age) / memory.max(f64::MIN_POSITIVE)).exp()
}
