//! Calls in flight at targets, and the accounting when an attempt ends.

use crate::balance::Action;
use crate::balance::Balancer;
use crate::balance::Call;
use crate::balance::Ending;
use crate::balance::Job;
use crate::balance::Progress;
use crate::balance::Refusal;
use crate::budget::Path;
use crate::queue::Item;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// One copy of a call at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) target: target::Key,
    pub(crate) sent: Instant,
    /// Whether its bytes cross regions.
    pub(crate) path: Path,
    /// Measuring bytes reserved for a refusal by the target.
    pub(crate) refusal_bytes: u64,
    /// Measuring bytes reserved for a load report on the answer.
    pub(crate) report_bytes: u64,
    /// Whether it is a trial of an ejected target.
    pub(crate) trial: bool,
}

/// A call in flight at one target, or at two if it was hedged.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) job: Job,
    pub(crate) arrived: Instant,
    pub(crate) first: Attempt,
    pub(crate) copy: Option<Attempt>,
}

impl Flight {
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        std::iter::once(&self.first).chain(self.copy.as_ref())
    }

    /// Separates the attempt at `target` from the rest of the call: the other attempt, if any.
    fn split(self, target: target::Key) -> (Option<Attempt>, Option<Self>) {
        if self.first.target == target {
            let rest = self.copy.map(|first| Self {
                first,
                copy: None,
                ..self.clone()
            });
            return (Some(self.first), rest);
        }
        let copy = self.copy.filter(|copy| copy.target == target);
        let rest = Self {
            copy: self.copy.filter(|copy| copy.target != target),
            ..self
        };
        (copy, Some(rest))
    }
}

impl Balancer {
    /// Records the end of an attempt and decides whether its call is done.
    pub(crate) fn end_attempt(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        ending: Ending,
        out: &mut Vec<Action>,
    ) -> Progress {
        let Some(flight) = self.flights.remove(&call) else {
            return Progress::Done;
        };
        let job = flight.job.clone();
        let arrived = flight.arrived;
        let (ended, rest) = flight.split(target);
        let Some(ended) = ended else {
            if let Some(rest) = rest {
                self.flights.insert(call, rest);
            }
            return Progress::Pending;
        };
        self.record_ending(now, &ended, ending);
        match (ending, rest) {
            (Ending::Answered { failed: false, .. }, rest) => {
                for attempt in rest.iter().flat_map(Flight::attempts) {
                    self.release(now, attempt);
                    let target = attempt.target;
                    out.push(Action::Cancel { call, target });
                }
                Progress::Done
            }
            (_, Some(rest)) => {
                self.flights.insert(call, rest);
                Progress::Pending
            }
            (Ending::Shed { .. } | Ending::Broken { written: false }, None) => {
                self.requeue(now, Item { job, arrived }, out);
                Progress::Pending
            }
            (_, None) => Progress::Done,
        }
    }

    fn requeue(&mut self, now: Instant, item: Item, out: &mut Vec<Action>) {
        if now >= item.refusal_time() {
            let call = item.job.call;
            let reason = Refusal::Deadline;
            out.push(Action::Refuse { call, reason });
        } else {
            self.queue.put_back(item);
        }
    }

    fn record_ending(&mut self, now: Instant, ended: &Attempt, ending: Ending) {
        if let Ending::Shed { bytes } = ending {
            let spent = ended.path.cost(bytes);
            self.measuring.settle(now, ended.refusal_bytes, spent);
            self.measuring.settle(now, ended.report_bytes, 0);
        } else {
            self.measuring.settle(now, ended.refusal_bytes, 0);
            // A cancelled attempt may have received the report already.
            self.measuring
                .settle(now, ended.report_bytes, ended.report_bytes);
        }
        let Some(target) = self.targets.get_mut(ended.target) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        match ending {
            Ending::Answered { failed: false, .. } => {
                target.estimate.record_answer(target.spec.slots);
                self.latency_quantile.add(now.since(ended.sent));
                self.chooser.record_latency(now.since(ended.sent));
            }
            Ending::Answered { failed: true, .. } | Ending::Broken { .. } => {
                target.estimate.record_failure(now.since(ended.sent));
            }
            Ending::Shed { .. } => {
                let elapsed = now.since(ended.sent);
                target
                    .estimate
                    .record_shed(now, elapsed, target.spec.slots, target.in_flight);
            }
            Ending::Cancelled => {}
        }
        if ended.trial {
            let answered = matches!(ending, Ending::Answered { failed: false, .. });
            let typical = self.chooser.typical();
            target.record_trial(now, answered, now.since(ended.sent), typical);
        }
    }
}

/// Time until the deadline. As the longest wait in a target, it makes the target shed nothing
/// before the caller has stopped waiting.
pub(crate) fn time_left(now: Instant, job: &Job) -> Span {
    job.deadline.since(now)
}
