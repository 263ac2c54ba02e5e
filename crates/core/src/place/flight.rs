//! Calls in flight, and what the end of an attempt tells of its target. For targets that fail, shed
//! or turn slow.

use crate::balance::Action;
use crate::balance::Call;
use crate::balance::Ending;
use crate::balance::Progress;
use crate::balance::Refusal;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::place::dispatch::refusal;
use crate::place::placer::Choice;
use crate::place::placer::Placer;
use crate::place::queue::Item;
use crate::place::queue::Line;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// Age up to which a report tells the slowdown of a machine at the start or the end of a call.
const TOLD_WITHIN: Span = Span::from_millis(50);

/// Change of the slowdown of a machine, as a share, up to which its speed counts as steady.
const STEADY: f64 = 0.2;

/// One copy of a call at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) target: target::Key,
    pub(super) sent: Instant,
    /// Seconds of work of a call of its entry on a usual target.
    pub(super) work: f64,
    /// Seconds until the answer as expected when it was sent.
    pub(super) expected: f64,
    /// Requests at the target with this one, and its slots.
    pub(super) load: f64,
    pub(super) slots: f64,
    /// Slowdown of the target's machine when it was sent, if a report told it.
    pub(super) machine_slowdown: Option<f64>,
}

/// A call in flight.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) item: Item,
    pub(super) attempts: Vec<Attempt>,
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
        let expected = choice.candidate.expected_time(work, &self.noise);
        let mut machine_slowdown = None;
        if let Some(stats) = self.stats.get_mut(choice.target) {
            stats.add_attempt(now, call, expected);
            machine_slowdown = stats.machine_slowdown(now, TOLD_WITHIN);
        }
        if let Some(target) = self.targets.get_mut(choice.target) {
            target.in_flight += 1;
        }
        let users = self.targets.get(choice.target);
        let users = users.map_or(0, |target| self.users_of(&target.spec));
        if let Some(stated) = self.stated.get_mut(choice.target) {
            stated.count_request(now, users);
        }
        Attempt {
            target: choice.target,
            sent: now,
            work,
            expected,
            load: choice.candidate.load,
            slots: choice.candidate.slots,
            machine_slowdown,
        }
    }

    /// Sends a call that waited to the chosen target.
    pub(super) fn send(
        &mut self,
        now: Instant,
        item: Item,
        choice: &Choice,
        out: &mut Vec<Action>,
    ) {
        let call = item.job.call;
        let attempt = self.start_attempt(now, call, choice, item.work);
        out.push(Action::Assign {
            call,
            target: choice.target,
            queue: item.job.deadline.since(now),
            report: true,
        });
        let flight = Flight {
            item,
            attempts: vec![attempt],
        };
        self.schedule_hedge(call, &flight);
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
        let entry = flight.item.job.entry;
        self.release(call, target);
        self.record_ending(now, entry, &attempt, ending);
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
                let mut item = flight.item;
                item.tried.push(target);
                item.probe_deadline = None;
                self.wait_again(now, item, out);
                Progress::Pending
            }
            Ending::Answered { .. } | Ending::Broken { .. } | Ending::Cancelled => {
                self.flights.remove(&call);
                Progress::Done
            }
        }
    }

    /// Lets a call wait that did not run where it was sent, or refuses it.
    fn wait_again(&mut self, now: Instant, item: Item, out: &mut Vec<Action>) {
        let work = item.work;
        let slack = item.remaining(now) - work;
        let line = if slack > 0.0 {
            Some(Line::First(now + span(slack)))
        } else {
            self.late_line(now, &item.job, work)
        };
        if let Some(line) = line {
            self.queue.push(item, line);
        } else {
            out.push(refusal(item.job.call, Refusal::Overloaded));
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
                let at_end = stats.machine_slowdown(now, TOLD_WITHIN).unwrap_or(1.0);
                let at_start = attempt.machine_slowdown.unwrap_or(at_end);
                let machine_slowdown = f64::midpoint(at_start, at_end);
                let round_trip = self
                    .targets
                    .get(attempt.target)
                    .map_or(0.0, |target| target.round_trip);
                let taken = (seconds(latency) - round_trip).max(0.000_1);
                let on_usual = taken / machine_slowdown;
                // A change of the machine's speed meanwhile hides how long the call took by itself.
                let is_steady = (at_start - at_end).abs() <= STEADY * at_end;
                if is_steady && (attempt.machine_slowdown.is_some() || at_end <= 1.0 + STEADY) {
                    self.speed
                        .record(entry, attempt.load, attempt.slots, on_usual);
                }
                let congestion = self.speed.factor(attempt.load, attempt.slots);
                stats.add_answer(now, on_usual / (attempt.work * congestion));
                stats.mark_silent(now, attempt.sent);
                let full = self.speed.max_load(slots);
                self.full_congestion = self.speed.factor(number(full), number(slots));
                self.full_share = number(full) / number(slots.max(1));
                self.record_took(seconds(latency));
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
