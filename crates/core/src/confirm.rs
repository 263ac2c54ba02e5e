//! Which targets are confirmed by a probe before they get work.

use crate::balance::Action;
use crate::balance::Balancer;
use crate::balance::PROBE_BYTES;
use crate::budget::Path;
use crate::target;
use crate::target::Standing;
use crate::time::Instant;
use crate::time::Span;

/// Time from a probe to the next one of the same target; doubles with each probe that did not
/// confirm it. A target that fails at once would otherwise use up the budget of all others.
const PROBE_AGAIN: Span = Span::from_millis(500);
const DOUBLINGS: u32 = 4;
/// Targets that are kept confirmed while no call waits.
const WARM_TARGETS: usize = 2;
/// Probes under way at once.
const PROBES_AT_ONCE: usize = 3;
/// Time without a call after which no target is kept confirmed.
const COLD_AFTER: Span = Span::from_millis(10_000);

impl Balancer {
    /// Whether a target has to be confirmed now: if calls wait, or to keep a few confirmed.
    pub(crate) fn wants_probes(&self, now: Instant) -> bool {
        let standing = |standing| {
            self.targets
                .iter()
                .filter(move |(_, target)| target.standing == standing)
                .count()
        };
        let warm = self
            .arrived
            .is_some_and(|arrived| now.since(arrived) < COLD_AFTER);
        let wanted = self.queue.len() > 0 || (warm && standing(Standing::Open) < WARM_TARGETS);
        wanted && standing(Standing::Unconfirmed) > 0
    }

    /// Probes the nearest targets that have to be confirmed, within the measuring budget.
    pub(crate) fn confirm(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.wants_probes(now) {
            return;
        }
        let recent = |target: &target::Target| {
            let pause = PROBE_AGAIN.as_micros() << target.probed.min(DOUBLINGS);
            target
                .probe
                .is_some_and(|sent| now.since(sent) < Span::from_micros(pause))
        };
        let is_under_way = |key: &&target::Key| {
            let sent = self.targets.get(**key).and_then(|target| target.probe);
            sent.is_some_and(|sent| now.since(sent) < PROBE_AGAIN)
        };
        let under_way = self.probes.keys().filter(is_under_way).count();
        let mut candidates: Vec<(target::Key, f64)> = self
            .targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Unconfirmed && !recent(target))
            .map(|(key, target)| (key, target.round_trip))
            .collect();
        candidates.sort_by(|left, right| left.1.total_cmp(&right.1));
        for (key, _) in candidates
            .into_iter()
            .take(PROBES_AT_ONCE.saturating_sub(under_way))
        {
            let Some(target) = self.targets.get_mut(key) else {
                continue;
            };
            let price = Path::to(target.remote).cost(PROBE_BYTES);
            if self.measuring.hold(now, price, 0) {
                target.probe = Some(now);
                if let Some(unanswered) = self.probes.insert(key, price) {
                    self.measuring.settle(now, unanswered, unanswered);
                }
                out.push(Action::Probe { target: key });
            }
        }
    }
}
