//! A machine that turns slow, or falls silent, under a call: when an idempotent call gets a copy.

use rand::rngs::SmallRng;

use crate::balance::Action;
use crate::entry::Class;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::place::flight::Flight;
use crate::place::hold::Held;
use crate::place::placer::Placer;
use crate::place::placer::pick;
use crate::time::Instant;
use crate::time::Span;

/// A copy is sent once a call took this many times the expected time, and at least this long.
const HEDGE_AFTER: f64 = 1.6;
const HEDGE_AFTER_LEAST: Span = Span::from_millis(15);
/// A call that took this many times the expected time is taken for stuck.
const STUCK: f64 = 4.0;

impl Flight {
    /// When the call has taken so long that a copy may be of use; none if it gets none.
    pub(super) fn copy_from(&self) -> Option<Instant> {
        let [attempt] = self.attempts.as_slice() else {
            return None;
        };
        let after = span(HEDGE_AFTER * attempt.time).max(HEDGE_AFTER_LEAST);
        (self.ask.class != Class::Once && !self.hedged).then(|| attempt.sent + after)
    }
}

impl Placer {
    /// Sends copies of the calls whose target turned slow, where another one is faster.
    pub(super) fn hedge(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let slow = |flight: &&Flight| flight.copy_from().is_some_and(|due| due <= now);
        let mut slow: Vec<Flight> = self.flights.values().filter(slow).cloned().collect();
        slow.sort_by_key(|flight| (flight.arrived, flight.ask.call));
        for flight in slow {
            self.copy(now, &flight, rng, out);
        }
    }

    pub(super) fn copy(
        &mut self,
        now: Instant,
        flight: &Flight,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let Some(first) = flight.attempts.first() else {
            return;
        };
        let held = Held {
            ask: flight.ask.clone(),
            arrived: flight.arrived,
            settles: None,
            tried: flight.tried.clone(),
        };
        let work = self.work_of(&flight.ask);
        let views = self.views(now);
        let Some(choice) = pick(&views, now, &held, work, &[first.target], rng) else {
            return;
        };
        let elapsed = seconds(now.since(first.sent));
        let time = choice.view.time(work);
        let is_stuck = elapsed > STUCK * first.time;
        let left = seconds(flight.ask.deadline.since(now));
        // A call that took long so far is expected to take half as long again.
        let faster = time < elapsed / 2.0;
        let useful = time < held.left(now) || (is_stuck && time < left);
        if !faster || !useful {
            return;
        }
        let call = flight.ask.call;
        let attempt = self.attempt(now, call, &choice, work);
        if let Some(flight) = self.flights.get_mut(&call) {
            flight.attempts.push(attempt);
            flight.hedged = true;
        }
        out.push(Action::Hedge {
            call,
            target: choice.target,
            queue: flight.ask.deadline.since(now),
            report: true,
        });
    }
}
