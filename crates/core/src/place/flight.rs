//! Targets that fail, shed or turn slow: calls that run, and what their ends tell of the targets.

use crate::balance::Action;
use crate::balance::Call;
use crate::balance::Ending;
use crate::balance::Job;
use crate::balance::Progress;
use crate::estimate::seconds;
use crate::place::hold::Held;
use crate::place::loss::CROWDED;
use crate::place::placer::Choice;
use crate::place::placer::Placer;
use crate::target;
use crate::time::Instant;

/// One copy of a call at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) target: target::Key,
    pub(super) sent: Instant,
    /// Seconds of work of a call of its entry on a usual target.
    pub(super) work: f64,
    /// Seconds until the answer as expected when it was sent.
    pub(super) time: f64,
    /// How many times longer the load of the target made the work.
    pub(super) crowded: f64,
    /// Pace of the target's machine when it was sent.
    pub(super) pace: f64,
}

/// A call that runs.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) ask: Job,
    pub(super) arrived: Instant,
    pub(super) attempts: Vec<Attempt>,
    pub(super) tried: Vec<target::Key>,
    pub(super) hedged: bool,
}

impl Placer {
    pub(super) fn attempt(
        &mut self,
        now: Instant,
        call: Call,
        choice: &Choice,
        work: f64,
    ) -> Attempt {
        let time = choice.view.time(work);
        let mut pace = 1.0;
        if let Some(sight) = self.sights.get_mut(choice.target) {
            sight.sent(now, call, time);
            pace = sight.pace();
        }
        if let Some(target) = self.targets.get_mut(choice.target) {
            target.in_flight += 1;
        }
        Attempt {
            target: choice.target,
            sent: now,
            work,
            time,
            crowded: if choice.view.is_crowded() {
                CROWDED
            } else {
                1.0
            },
            pace,
        }
    }

    pub(super) fn send(
        &mut self,
        now: Instant,
        held: Held,
        choice: &Choice,
        work: f64,
        out: &mut Vec<Action>,
    ) {
        let call = held.ask.call;
        let attempt = self.attempt(now, call, choice, work);
        out.push(Action::Assign {
            call,
            target: choice.target,
            queue: held.ask.deadline.since(now),
            report: true,
        });
        let flight = Flight {
            ask: held.ask,
            arrived: held.arrived,
            attempts: vec![attempt],
            tried: held.tried,
            hedged: false,
        };
        self.flights.insert(call, flight);
    }

    pub(super) fn settle(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        ending: Ending,
        out: &mut Vec<Action>,
    ) -> Progress {
        let Some(flight) = self.flights.get_mut(&call) else {
            return Progress::Done;
        };
        let ended = flight
            .attempts
            .iter()
            .position(|attempt| attempt.target == target);
        let Some(ended) = ended else {
            return Progress::Pending;
        };
        let attempt = flight.attempts.swap_remove(ended);
        let alone = flight.attempts.is_empty();
        let entry = flight.ask.entry;
        self.leave(call, target);
        self.learn(now, entry, &attempt, ending);
        match ending {
            Ending::Answered { failed: false, .. } => {
                self.drop_flight(call, out);
                Progress::Done
            }
            _ if !alone => Progress::Pending,
            Ending::Shed { .. } | Ending::Broken { written: false } => {
                let Some(flight) = self.flights.remove(&call) else {
                    return Progress::Done;
                };
                let mut tried = flight.tried;
                tried.push(target);
                self.queue.push(Held {
                    ask: flight.ask,
                    arrived: flight.arrived,
                    settles: None,
                    tried,
                });
                Progress::Pending
            }
            Ending::Answered { .. } | Ending::Broken { .. } | Ending::Cancelled => {
                self.flights.remove(&call);
                Progress::Done
            }
        }
    }

    /// Forgets a call and cancels its attempts.
    pub(super) fn drop_flight(&mut self, call: Call, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        for attempt in flight.attempts {
            let target = attempt.target;
            self.leave(call, target);
            out.push(Action::Cancel { call, target });
        }
    }

    /// An attempt is not at its target any more.
    pub(super) fn leave(&mut self, call: Call, target: target::Key) {
        if let Some(sight) = self.sights.get_mut(target) {
            sight.left(call);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn learn(&mut self, now: Instant, entry: u32, attempt: &Attempt, ending: Ending) {
        let slots = self
            .targets
            .get(attempt.target)
            .map_or(1, |target| target.spec.slots);
        let Some(sight) = self.sights.get_mut(attempt.target) else {
            return;
        };
        match ending {
            Ending::Answered {
                latency,
                failed: false,
            } => {
                let ended = sight.pace();
                let pace = f64::midpoint(attempt.pace, ended);
                let trip = self
                    .targets
                    .get(attempt.target)
                    .map_or(0.0, |target| target.round_trip);
                let taken = (seconds(latency) - trip).max(0.000_1);
                let factor = pace * attempt.crowded;
                sight.answered(now, taken / (attempt.work * factor).max(f64::MIN_POSITIVE));
                let slowness = sight.speed(now);
                self.work.add(entry, taken / (factor * slowness));
            }
            Ending::Answered { failed: true, .. } | Ending::Broken { .. } => sight.failed(now),
            Ending::Shed { .. } => {
                let own = sight.own();
                sight.full(now, slots, own);
                sight.failed(now);
            }
            Ending::Cancelled => {}
        }
    }
}
