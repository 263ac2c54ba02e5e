//! Few calls, so that reports are old: which targets are asked for their load before a call is placed.

use crate::balance::Action;
use crate::estimate::span;
use crate::place::hold::Held;
use crate::place::loss::View;
use crate::place::placer::Placer;
use crate::place::placer::choices;
use crate::place::placer::rated;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// Age up to which a report needs no probe. A few calls of a busy service share a probe.
const FRESH: Span = Span::from_millis(25);
/// Shortest time between two probes of a target by this VM.
const PROBE_EVERY: Span = Span::from_millis(50);
/// Targets probed for one call.
const PROBE_BREADTH: usize = 3;
/// Longest wait of a call for answers to probes, as a multiple of the way to the target, and bound.
const PROBE_WAIT_TRIPS: f64 = 3.0;
const PROBE_WAIT_MAX_S: f64 = 0.006;
/// How many times longer than usual work takes on a machine with a noisy neighbour.
const NOISY: f64 = 4.0;

impl Placer {
    /// Probes the best targets for a call if their load is not known well enough; until when their
    /// answers are waited for.
    pub(super) fn sound(
        &mut self,
        now: Instant,
        held: &Held,
        work: f64,
        views: &[(target::Key, View)],
        out: &mut Vec<Action>,
    ) -> Option<Instant> {
        // Without a probe, nothing would tell that targets that count as full are not.
        let full = views.iter().all(|(_, view)| !view.has_room());
        // A call that is in time even beside a noisy neighbour needs no probe, nor does a late one.
        let needless = work * NOISY < held.left(now) || !held.is_timely(now, work);
        if needless && !full {
            return None;
        }
        let mut choices = choices(views, now, held, work, &[]);
        choices.truncate(PROBE_BREADTH);
        let mut wait: Option<f64> = None;
        for (rank, choice) in choices.iter().enumerate() {
            let age = self
                .sights
                .get(choice.target)
                .and_then(|sight| sight.age(now));
            if age.is_some_and(|age| age < FRESH) {
                continue;
            }
            let recent = self
                .probed
                .get(choice.target)
                .is_some_and(|sent| now.since(*sent) < PROBE_EVERY);
            if !recent {
                self.probed.insert(choice.target, now);
                self.probes.insert(choice.target, now);
                let target = choice.target;
                out.push(Action::Probe { target });
            }
            if rank == 0 && self.probes.contains_key(choice.target) {
                let trips = choice.view.round_trip * PROBE_WAIT_TRIPS;
                wait = Some(trips.min(PROBE_WAIT_MAX_S));
            }
        }
        wait.map(|wait| now + span(wait))
    }

    /// Whether the best target for the call has answered its probe.
    pub(super) fn is_sounded(
        &self,
        now: Instant,
        held: &Held,
        work: f64,
        views: &[(target::Key, View)],
    ) -> bool {
        let choices = rated(views, now, held, work, &held.tried);
        choices
            .min_by(|left, right| left.loss.total_cmp(&right.loss))
            .is_none_or(|best| !self.probes.contains_key(best.target))
    }
}
