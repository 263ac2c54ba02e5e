//! Placement with perfect knowledge, as the limit that no VM can reach: a queue in each region that
//! sees the state of all targets at this moment.

use oriolecleat_core::estimate::seconds;
use oriolecleat_core::time::Span;

use super::load::Defect;
use super::load::float;
use super::policy::Policy;
use super::run::Model;

/// Tries that wait.
#[derive(Default)]
pub(super) struct Queues {
    waiting: Vec<usize>,
}

impl Queues {
    pub(super) fn push(&mut self, tried: usize) {
        self.waiting.push(tried);
    }

    pub(super) fn remove(&mut self, tried: usize) {
        self.waiting.retain(|other| *other != tried);
    }
}

impl Model<'_> {
    /// Sends the tries that wait to free targets, the most urgent ones first, and refuses those that
    /// would be late.
    pub(super) fn dispatch_perfect(&mut self, now: u64) {
        let mut order = std::mem::take(&mut self.queues.waiting);
        order.sort_by_key(|tried| (self.stream(*tried).urgency, self.tries[*tried].arrived));
        let mut sent = self.reserved();
        for tried in order {
            let stream = self.stream(tried);
            let call = &self.calls[self.tries[tried].call];
            let left = (call.at + stream.objective_us).saturating_sub(now);
            let left = seconds(Span::from_micros(left)) * 1e6;
            match self.best_target(now, tried, &sent) {
                Some((target, time)) if time <= left => {
                    sent[target] += 1;
                    self.send(now, tried, target);
                }
                Some(_) | None if call.work_us <= left => self.queues.push(tried),
                Some(_) | None => self.refuse(now, tried, 100_000),
            }
        }
    }

    /// Requests at each target, those on the way included.
    fn reserved(&self) -> Vec<usize> {
        let mut counts = vec![0; self.targets.len()];
        for attempt in self.attempts.iter().rev().take(4 * self.site.slots()) {
            if attempt.open && attempt.outcome == super::run::Outcome::Pending {
                counts[attempt.target] += 1;
            }
        }
        counts
    }

    /// The target in the region of a try that would answer it first, with the microseconds that it
    /// takes.
    fn best_target(&self, now: u64, tried: usize, counts: &[usize]) -> Option<(usize, f64)> {
        let region = self.site.vms[self.tries[tried].vm].region;
        let work_us = self.calls[self.tries[tried].call].work_us;
        let time = |target: usize| {
            let found = &self.targets[target];
            let slow = self.load.defects(now, target).map(|defect| match defect {
                Defect::Slow(factor) => factor,
                Defect::Sheds(share) | Defect::Fails(share) | Defect::Hangs(share) => {
                    1.0 / (1.0 - share).max(0.01)
                }
                Defect::Flaps(_) => 1_000.0,
            });
            let congestion = if counts[target] + 1 > found.full_speed_load() {
                self.site.targets[target].1.congested
            } else {
                1.0
            };
            let way_us = match self.policy {
                Policy::Global => self.site.round_trip(self.tries[tried].vm, target),
                _ => 0,
            };
            let way_us = seconds(Span::from_micros(way_us)) * 1e6;
            way_us
                + work_us * found.noise(now) * slow.product::<f64>() * congestion
                + float(counts[target]) * 1e-3
        };
        let open = |target: &usize| {
            let near = self.site.targets[*target].0 == region;
            (near || self.policy == Policy::Global)
                && counts[*target] < self.targets[*target].slots()
        };
        let open = (0..self.targets.len()).filter(open);
        let timed = open.map(|target| (target, time(target)));
        timed.min_by(|left, right| left.1.total_cmp(&right.1))
    }
}
