//! Hedging: when an idempotent call gets a copy at a second target. For machines that turn slow, or
//! stop answering, while they run a call.

use rand::rngs::SmallRng;

use crate::balance::Action;
use crate::balance::Call;
use crate::entry::Class;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::place::flight::Flight;
use crate::place::placer::Placer;
use crate::time::Instant;
use crate::time::Span;

/// A copy is sent once a call took this many times the expected time, and at least
/// `HEDGE_AFTER_MIN`.
const HEDGE_AFTER_RATIO: f64 = 1.6;
const HEDGE_AFTER_MIN: Span = Span::from_millis(15);
/// A call that took this many times the expected time counts as stuck.
const STUCK_RATIO: f64 = 4.0;

/// Time between two looks for a target for the copy of a call, as a share of the time that the call was
/// expected to take, and at least.
const LOOK_SHARE: f64 = 0.2;
const LOOK_MIN: Span = Span::from_millis(10);
/// Calls for which one tick looks for a target.
const LOOKS: usize = 4;

impl Placer {
    /// Schedules the first look for a target for a copy of a call that was just sent, if it may get one.
    pub(super) fn schedule_hedge(&mut self, call: Call, flight: &Flight) {
        let [attempt] = flight.attempts.as_slice() else {
            return;
        };
        if flight.item.job.class != Class::Once {
            let after = span(HEDGE_AFTER_RATIO * attempt.expected).max(HEDGE_AFTER_MIN);
            self.hedges.insert((attempt.sent + after, call));
        }
    }

    /// Sends copies of the calls that take too long, where another target is faster.
    pub(super) fn hedge(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        for _ in 0..LOOKS {
            let Some((_, call)) = self.hedges.first().copied().filter(|(due, _)| *due <= now)
            else {
                return;
            };
            self.hedges.pop_first();
            let Some(flight) = self.flights.get(&call).cloned() else {
                continue;
            };
            if !self.hedge_call(now, &flight, rng, out)
                && let [attempt] = flight.attempts.as_slice()
            {
                let next = span(LOOK_SHARE * attempt.expected).max(LOOK_MIN);
                self.hedges.insert((now + next, call));
            }
        }
    }

    /// Sends a copy of the call to the best other target with room, if it is expected to answer
    /// first and early enough. Returns whether no later copy can be of use.
    fn hedge_call(
        &mut self,
        now: Instant,
        flight: &Flight,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) -> bool {
        let [first] = flight.attempts.as_slice() else {
            return true;
        };
        let item = &flight.item;
        let work = item.work;
        let view = self.view(now, None, rng);
        let Some(choice) = self.pick_from(now, item, &view, &[first.target], rng) else {
            return false;
        };
        let elapsed = seconds(now.since(first.sent));
        let time = choice.candidate.expected_time(work, &self.noise);
        let is_stuck = elapsed > STUCK_RATIO * first.expected;
        let left = seconds(flight.item.job.deadline.since(now));
        // A call that took long so far is expected to take half as long again.
        let faster = time < elapsed / 2.0;
        let useful = time < item.remaining(now) || (is_stuck && time < left);
        if !faster || !useful {
            return false;
        }
        let call = flight.item.job.call;
        let attempt = self.start_attempt(now, call, &choice, work);
        if let Some(flight) = self.flights.get_mut(&call) {
            flight.attempts.push(attempt);
        }
        out.push(Action::Hedge {
            call,
            target: choice.target,
            queue: flight.item.job.deadline.since(now),
            report: true,
        });
        true
    }
}
