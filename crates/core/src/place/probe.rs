//! Load probes before a call is placed: which targets are asked for their load, and how long the
//! call waits for the answers. For a service with few calls, whose reports are old.

use crate::balance::Action;
use crate::estimate::span;
use crate::place::loss::Candidate;
use crate::place::placer::Placer;
use crate::place::placer::rank;
use crate::place::placer::score;
use crate::place::queue::Item;
use crate::place::region::permitted;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// Age up to which a report needs no probe, so that a few calls of a busy service share a probe.
const FRESH_AGE: Span = Span::from_millis(25);
/// Shortest time between two probes of a target by this VM.
const PROBE_INTERVAL: Span = Span::from_millis(50);
/// Targets probed for one call.
const PROBES_PER_CALL: usize = 3;
/// Longest wait of a call for answers to probes, as a multiple of the round trip to the target and
/// in seconds.
const PROBE_WAIT_TRIPS: f64 = 3.0;
const PROBE_WAIT_MAX_S: f64 = 0.006;
/// How many times longer than usual work takes on a machine with a noisy neighbour.
const NOISY_SLOWDOWN: f64 = 4.0;

impl Placer {
    /// Probes the best targets for a call if their load is not known well enough. Returns until
    /// when the call waits for the answers; none if it does not.
    pub(super) fn probe_best(
        &mut self,
        now: Instant,
        item: &Item,
        work: f64,
        candidates: &[(target::Key, Candidate)],
        out: &mut Vec<Action>,
    ) -> Option<Instant> {
        // If all targets count as full, no call is sent, and without a probe no report would tell
        // that one is not.
        let full = permitted(candidates, &item.job.regions)
            .all(|candidate| !candidate.is_below_max_load());
        // A call that is in time even beside a noisy neighbour needs no probe, nor does a late one.
        let needless = work * NOISY_SLOWDOWN < item.remaining(now) || item.remaining(now) <= work;
        // The same holds where calls may not leave for a data centre because no report tells its
        // load.
        let kept = permitted(candidates, &item.job.regions).all(|candidate| !candidate.has_room());
        if needless && !full && !kept {
            return None;
        }
        let mut choices = rank(candidates, now, item, work, &[]);
        if needless && !full {
            choices.retain(|choice| choice.candidate.unreported);
        }
        choices.truncate(PROBES_PER_CALL);
        let mut wait: Option<f64> = None;
        for (index, choice) in choices.iter().enumerate() {
            let age = self
                .stats
                .get(choice.target)
                .and_then(|stats| stats.report_age(now));
            if age.is_some_and(|age| age < FRESH_AGE) {
                continue;
            }
            let recent = self
                .last_probes
                .get(choice.target)
                .is_some_and(|sent| now.since(*sent) < PROBE_INTERVAL);
            if !recent {
                self.last_probes.insert(choice.target, now);
                self.pending_probes.insert(choice.target, now);
                let target = choice.target;
                out.push(Action::Probe { target });
            }
            if index == 0 && self.pending_probes.contains_key(choice.target) {
                let trips = choice.candidate.round_trip * PROBE_WAIT_TRIPS;
                wait = Some(trips.min(PROBE_WAIT_MAX_S));
            }
        }
        wait.map(|wait| now + span(wait))
    }

    /// Whether no probe of the best target for the call is pending.
    pub(super) fn is_best_probed(
        &self,
        now: Instant,
        item: &Item,
        work: f64,
        candidates: &[(target::Key, Candidate)],
    ) -> bool {
        let choices = score(candidates, now, item, work, &item.tried);
        choices
            .min_by(|left, right| left.loss.total_cmp(&right.loss))
            .is_none_or(|best| !self.pending_probes.contains_key(best.target))
    }
}
