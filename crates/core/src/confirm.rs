//! Probes of unconfirmed targets, which have to answer before they get calls.

use crate::balance::Action;
use crate::balance::Balancer;
use crate::balance::PROBE_BYTES;
use crate::budget::Path;
use crate::target;
use crate::target::Standing;
use crate::time::Instant;
use crate::time::Span;

/// Time from a probe to the next one of the same target. It doubles with each probe that did not
/// confirm the target; otherwise a target that fails at once would use up the budget of all others.
const RETRY_WAIT: Span = Span::from_millis(500);
/// Most doublings of the time between probes.
const MAX_DOUBLINGS: u32 = 4;
/// Number of targets that are kept confirmed while no call waits.
const MIN_CONFIRMED_TARGETS: usize = 2;
/// Most probes in flight at once.
const MAX_PROBES_IN_FLIGHT: usize = 3;
/// Time without a call after which no target is kept confirmed.
const IDLE_AFTER: Span = Span::from_millis(10_000);

impl Balancer {
    /// Whether a target has to be probed now: because calls wait, or to keep a few targets
    /// confirmed.
    pub(crate) fn needs_probes(&self, now: Instant) -> bool {
        let count = |standing| {
            self.targets
                .iter()
                .filter(move |(_, target)| target.standing == standing)
                .count()
        };
        let is_active = self
            .last_arrival
            .is_some_and(|arrival| now.since(arrival) < IDLE_AFTER);
        let needed =
            self.queue.len() > 0 || (is_active && count(Standing::Open) < MIN_CONFIRMED_TARGETS);
        needed && count(Standing::Unconfirmed) > 0
    }

    /// Probes the nearest unconfirmed targets, within the measuring budget.
    pub(crate) fn probe_unconfirmed(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.needs_probes(now) {
            return;
        }
        let is_recent = |target: &target::Target| {
            let wait = RETRY_WAIT.as_micros() << target.ended_probes.min(MAX_DOUBLINGS);
            target
                .last_probe
                .is_some_and(|sent| now.since(sent) < Span::from_micros(wait))
        };
        let is_in_flight = |key: &&target::Key| {
            let sent = self.targets.get(**key).and_then(|target| target.last_probe);
            sent.is_some_and(|sent| now.since(sent) < RETRY_WAIT)
        };
        let in_flight = self.probes.keys().filter(is_in_flight).count();
        let mut candidates: Vec<(target::Key, f64)> = self
            .targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Unconfirmed && !is_recent(target))
            .map(|(key, target)| (key, target.round_trip))
            .collect();
        candidates.sort_by(|left, right| left.1.total_cmp(&right.1));
        for (key, _) in candidates
            .into_iter()
            .take(MAX_PROBES_IN_FLIGHT.saturating_sub(in_flight))
        {
            let Some(target) = self.targets.get_mut(key) else {
                continue;
            };
            let cost_bytes = Path::new(target.remote).cost(PROBE_BYTES);
            if self.measuring.reserve(now, cost_bytes, 0) {
                target.last_probe = Some(now);
                if let Some(unanswered) = self.probes.insert(key, cost_bytes) {
                    self.measuring.settle(now, unanswered, unanswered);
                }
                out.push(Action::Probe { target: key });
            }
        }
    }
}
