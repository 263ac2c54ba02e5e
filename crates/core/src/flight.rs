//! Calls that run at targets: what happens when an attempt ends.

use crate::balance::Action;
use crate::balance::Balancer;
use crate::balance::Call;
use crate::balance::Ending;
use crate::balance::Job;
use crate::balance::Progress;
use crate::balance::Refusal;
use crate::budget::Path;
use crate::queue::Waiting;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// One copy of a call at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) target: target::Key,
    pub(crate) sent: Instant,
    /// Where its bytes travel.
    pub(crate) path: Path,
    /// Measuring bytes reserved for a refusal by the target.
    pub(crate) reserved: u64,
    /// Measuring bytes taken for a load report on the answer.
    pub(crate) report: u64,
    /// Whether it was sent to find out about a target that looks bad.
    pub(crate) trial: bool,
}

/// A call that runs at one target, or at two.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) ask: Job,
    pub(crate) arrived: Instant,
    pub(crate) first: Attempt,
    pub(crate) copy: Option<Attempt>,
}

impl Flight {
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        std::iter::once(&self.first).chain(self.copy.as_ref())
    }

    /// Takes out the attempt at `target`; the other one, if any, is left as the only one.
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
    /// Accounts for the end of an attempt and decides what becomes of its call.
    pub(crate) fn settle(
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
        let ask = flight.ask.clone();
        let arrived = flight.arrived;
        let (ended, rest) = flight.split(target);
        let Some(ended) = ended else {
            if let Some(rest) = rest {
                self.flights.insert(call, rest);
            }
            return Progress::Pending;
        };
        self.learn(now, &ended, ending);
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
                self.requeue(now, Waiting { ask, arrived }, out);
                Progress::Pending
            }
            (_, None) => Progress::Done,
        }
    }

    fn requeue(&mut self, now: Instant, waiting: Waiting, out: &mut Vec<Action>) {
        if now >= waiting.latest() {
            let call = waiting.ask.call;
            let reason = Refusal::Deadline;
            out.push(Action::Refuse { call, reason });
        } else {
            self.queue.put_back(waiting);
        }
    }

    fn learn(&mut self, now: Instant, ended: &Attempt, ending: Ending) {
        if let Ending::Shed { bytes } = ending {
            let spent = ended.path.cost(bytes);
            self.measuring.settle(now, ended.reserved, spent);
            self.measuring.settle(now, ended.report, 0);
        } else {
            self.measuring.settle(now, ended.reserved, 0);
            // A cancelled answer may have brought its report already.
            self.measuring.settle(now, ended.report, ended.report);
        }
        let Some(target) = self.targets.get_mut(ended.target) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        match ending {
            Ending::Answered { failed: false, .. } => {
                target.estimate.answered(target.spec.slots);
                self.latency.add(now.since(ended.sent));
                self.chooser.answered(now.since(ended.sent));
            }
            Ending::Answered { failed: true, .. } | Ending::Broken { .. } => {
                target.estimate.failed(now.since(ended.sent));
            }
            Ending::Shed { .. } => {
                let elapsed = now.since(ended.sent);
                target
                    .estimate
                    .shed(now, elapsed, target.spec.slots, target.in_flight);
            }
            Ending::Cancelled => {}
        }
        if ended.trial {
            let answered = matches!(ending, Ending::Answered { failed: false, .. });
            let typical = self.chooser.typical();
            target.tried(now, answered, now.since(ended.sent), typical);
        }
    }
}

/// Longest wait in a target that makes it shed nothing before the caller has stopped waiting.
pub(crate) fn unbounded(now: Instant, ask: &Job) -> Span {
    ask.deadline.since(now)
}
