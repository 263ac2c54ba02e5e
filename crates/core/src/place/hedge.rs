//! Hedging: when an idempotent call gets a copy at a second target. For machines that turn slow, or
//! stop answering, while they run a call.

use rand::rngs::SmallRng;

use crate::balance::Action;
use crate::entry::Class;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::place::flight::Flight;
use crate::place::placer::Placer;
use crate::place::placer::pick;
use crate::place::queue::Item;
use crate::time::Instant;
use crate::time::Span;

/// A copy is sent once a call took this many times the expected time, and at least
/// `HEDGE_AFTER_MIN`.
const HEDGE_AFTER_RATIO: f64 = 1.6;
const HEDGE_AFTER_MIN: Span = Span::from_millis(15);
/// A call that took this many times the expected time counts as stuck.
const STUCK_RATIO: f64 = 4.0;

impl Flight {
    /// When the call has taken so long that a copy may be of use; none if it gets none.
    pub(super) fn hedge_due(&self) -> Option<Instant> {
        let [attempt] = self.attempts.as_slice() else {
            return None;
        };
        let after = span(HEDGE_AFTER_RATIO * attempt.expected).max(HEDGE_AFTER_MIN);
        (self.job.class != Class::Once && !self.hedged).then(|| attempt.sent + after)
    }
}

impl Placer {
    /// Sends copies of the calls that take too long, where another target is faster.
    pub(super) fn hedge(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let slow = |flight: &&Flight| flight.hedge_due().is_some_and(|due| due <= now);
        let mut slow: Vec<Flight> = self.flights.values().filter(slow).cloned().collect();
        slow.sort_by_key(|flight| (flight.arrived, flight.job.call));
        for flight in slow {
            self.hedge_call(now, &flight, rng, out);
        }
    }

    /// Sends a copy of the call to the best other target with room, if it is expected to answer
    /// first and early enough.
    pub(super) fn hedge_call(
        &mut self,
        now: Instant,
        flight: &Flight,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let Some(first) = flight.attempts.first() else {
            return;
        };
        let item = Item {
            job: flight.job.clone(),
            arrived: flight.arrived,
            probe_deadline: None,
            tried: flight.tried.clone(),
            cost: self.cost(&flight.job),
        };
        let work = self.expected_work(&flight.job);
        let mut candidates = self.candidates(now);
        self.bound_leaving(now, &mut candidates, rng);
        let Some(choice) = pick(&candidates, now, &item, work, &[first.target], rng) else {
            return;
        };
        let elapsed = seconds(now.since(first.sent));
        let time = choice.candidate.expected_time(work);
        let is_stuck = elapsed > STUCK_RATIO * first.expected;
        let left = seconds(flight.job.deadline.since(now));
        // A call that took long so far is expected to take half as long again.
        let faster = time < elapsed / 2.0;
        let useful = time < item.remaining(now) || (is_stuck && time < left);
        if !faster || !useful {
            return;
        }
        let call = flight.job.call;
        let attempt = self.start_attempt(now, call, &choice, work);
        if let Some(flight) = self.flights.get_mut(&call) {
            flight.attempts.push(attempt);
            flight.hedged = true;
        }
        let remaining = item.remaining(now);
        self.record_leaving(now, call, remaining, &choice, &mut candidates);
        out.push(Action::Hedge {
            call,
            target: choice.target,
            queue: flight.job.deadline.since(now),
            report: true,
        });
    }
}
