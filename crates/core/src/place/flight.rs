//! Calls in flight, and what the end of an attempt tells of its target. For targets that fail, shed
//! or turn slow.

use crate::balance::Action;
use crate::balance::Call;
use crate::balance::Ending;
use crate::balance::Job;
use crate::balance::Progress;
use crate::estimate::seconds;
use crate::place::loss::CONGESTED_SLOWDOWN;
use crate::place::placer::Choice;
use crate::place::placer::Placer;
use crate::place::queue::Item;
use crate::place::spill::Reason;
use crate::place::spill::Scope;
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
    pub(super) expected: f64,
    /// How many times longer the load of the target made the work.
    pub(super) congestion: f64,
    /// Slowdown of the target's machine when it was sent.
    pub(super) machine_slowdown: f64,
    /// How far and why it left the data centre, if it did.
    pub(super) leaving: Option<(Scope, Reason)>,
}

/// A call in flight.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) job: Job,
    pub(super) arrived: Instant,
    pub(super) attempts: Vec<Attempt>,
    /// Targets that failed or shed the call.
    pub(super) tried: Vec<target::Key>,
    pub(super) hedged: bool,
}

impl Placer {
    /// Starts an attempt of `call` in the counts of the chosen target.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        call: Call,
        choice: &Choice,
        work: f64,
    ) -> Attempt {
        let expected = choice.candidate.expected_time(work);
        let mut machine_slowdown = 1.0;
        if let Some(stats) = self.stats.get_mut(choice.target) {
            stats.add_attempt(now, call, expected);
            machine_slowdown = stats.machine_slowdown();
        }
        if let Some(target) = self.targets.get_mut(choice.target) {
            target.in_flight += 1;
        }
        let users = self.targets.get(choice.target);
        let users = users.map_or(0, |target| self.users_of(&target.spec));
        if let Some(stated) = self.stated.get_mut(choice.target) {
            stated.count_request(now, users);
        }
        self.count_cold(now, choice.target);
        Attempt {
            target: choice.target,
            sent: now,
            work,
            expected,
            congestion: if choice.candidate.is_congested() {
                CONGESTED_SLOWDOWN
            } else {
                1.0
            },
            machine_slowdown,
            leaving: None,
        }
    }

    /// Sends a call that waited to the chosen target.
    pub(super) fn send(
        &mut self,
        now: Instant,
        item: Item,
        choice: &Choice,
        work: f64,
        out: &mut Vec<Action>,
    ) {
        let call = item.job.call;
        let attempt = self.start_attempt(now, call, choice, work);
        out.push(Action::Assign {
            call,
            target: choice.target,
            queue: item.job.deadline.since(now),
            report: true,
        });
        let flight = Flight {
            job: item.job,
            arrived: item.arrived,
            attempts: vec![attempt],
            tried: item.tried,
            hedged: false,
        };
        self.flights.insert(call, flight);
    }

    /// Ends the attempt of `call` at `target`. The call waits again if it did not run and has no
    /// other attempt.
    pub(super) fn end_attempt(
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
        let last = flight.attempts.is_empty();
        let entry = flight.job.entry;
        self.release(call, target);
        self.record_ending(now, entry, &attempt, ending);
        self.change_cold(target, |cold, bound| match ending {
            // A target that runs refuses no connection. One that breaks is often reset on the way, and
            // those of a target that died are refused next.
            Ending::Broken { written: false } => cold.record_loss(now, bound),
            Ending::Answered { .. } | Ending::Shed { .. } => cold.record_answer(now, bound),
            Ending::Broken { written: true } | Ending::Cancelled => {}
        });
        match ending {
            Ending::Answered { failed: false, .. } => {
                self.cancel_flight(call, out);
                Progress::Done
            }
            _ if !last => Progress::Pending,
            Ending::Shed { .. } | Ending::Broken { written: false } => {
                let Some(flight) = self.flights.remove(&call) else {
                    return Progress::Done;
                };
                let mut tried = flight.tried;
                tried.push(target);
                self.queue.push(Item {
                    cost: self.cost(&flight.job),
                    job: flight.job,
                    arrived: flight.arrived,
                    probe_deadline: None,
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

    /// Removes a call in flight and cancels its attempts.
    pub(super) fn cancel_flight(&mut self, call: Call, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        for attempt in flight.attempts {
            let target = attempt.target;
            self.release(call, target);
            out.push(Action::Cancel { call, target });
        }
    }

    /// Removes an attempt that is no longer at its target from the counts of the target.
    pub(super) fn release(&mut self, call: Call, target: target::Key) {
        if let Some(stats) = self.stats.get_mut(target) {
            stats.remove_attempt(call);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Updates the statistics of the target and the mean work of the entry by the end of an
    /// attempt.
    pub(super) fn record_ending(
        &mut self,
        now: Instant,
        entry: u32,
        attempt: &Attempt,
        ending: Ending,
    ) {
        let slots = self
            .targets
            .get(attempt.target)
            .map_or(1, |target| target.spec.slots);
        let Some(stats) = self.stats.get_mut(attempt.target) else {
            return;
        };
        match ending {
            Ending::Answered {
                latency,
                failed: false,
            } => {
                let at_end = stats.machine_slowdown();
                let machine_slowdown = f64::midpoint(attempt.machine_slowdown, at_end);
                let round_trip = self
                    .targets
                    .get(attempt.target)
                    .map_or(0.0, |target| target.round_trip);
                let taken = (seconds(latency) - round_trip).max(0.000_1);
                let slowdown = machine_slowdown * attempt.congestion;
                stats.add_answer(
                    now,
                    taken / (attempt.work * slowdown).max(f64::MIN_POSITIVE),
                );
                let ratio = self.work.relative_ratio(stats.latency_ratio(now));
                self.work.add(entry, taken / (slowdown * ratio));
            }
            Ending::Answered { failed: true, .. } | Ending::Broken { .. } => stats.add_failure(now),
            Ending::Shed { .. } => {
                let own = stats.own_calls();
                stats.mark_full(now, slots, own);
                stats.add_failure(now);
            }
            Ending::Cancelled => {}
        }
    }
}
