//! How long calls wait for a target, and which are refused because they would wait for too long.

use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::place::loss::max_load;
use crate::place::placer::ASSUMED_WORK_S;
use crate::place::placer::Placer;
use crate::place::queue::Item;
use crate::place::region::MIN_THROUGHPUT;
use crate::place::region::Throughput;
use crate::site::region::Scope;
use crate::target;
use crate::target::Standing;
use crate::time::Instant;
use crate::time::Span;

/// Longest wait that a refused caller is told. What binds now may end long before.
const EXPECTED_WAIT_MAX: Span = Span::from_millis(10_000);

impl Placer {
    /// Expected wait of a new call to any region, after which a refused caller may retry.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Span {
        self.expected_wait_in(now, &Scope::ANY)
    }

    /// Expected wait of a new call to the regions of `scope`, by their targets alone.
    #[must_use]
    pub fn expected_wait_in(&self, now: Instant, scope: &Scope) -> Span {
        let throughput = self.throughput(now);
        let own = throughput.of(scope);
        if own < MIN_THROUGHPUT {
            let stated = self.stated.iter().filter(|(key, _)| {
                let target = self.targets.get(*key);
                target.is_some_and(|target| scope.includes(target.region))
            });
            let waits = stated.filter_map(|(_, stated)| stated.wait(now));
            let first = waits.filter(|wait| *wait > Span::ZERO).min();
            return first.map_or(EXPECTED_WAIT_MAX, |wait| wait.min(EXPECTED_WAIT_MAX));
        }
        let wait = throughput.wait(scope, self.queue.iter()) + 1.0 / own;
        if wait >= seconds(EXPECTED_WAIT_MAX) {
            return EXPECTED_WAIT_MAX;
        }
        span(wait)
    }

    /// Calls a second that the open targets of each region complete when each has its largest
    /// load.
    fn throughput(&self, now: Instant) -> Throughput {
        let typical = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let per_s = |key: target::Key, target: &target::Target| {
            let slowdown = self
                .stats
                .get(key)
                .map_or(1.0, |stats| stats.slowdown(now, self.mean_slowdown));
            let throughput = number(max_load(target.spec.slots)) / (typical * slowdown);
            match self.limit_of(now, key, target) {
                Some(limit) => throughput.min(limit),
                None => throughput,
            }
        };
        let open = self
            .targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Open);
        let mut throughput = Throughput::default();
        for (key, target) in open {
            throughput.add(target.region, per_s(key, target));
        }
        throughput
    }

    /// Whether so many calls wait for its regions that the call could not be served before its caller leaves, or
    /// would wait for longer than it may. `is_limited` states that no target may get it at once
    /// because of the limits that they state: then it waits like a call behind another one.
    pub(super) fn would_wait_too_long(
        &self,
        now: Instant,
        item: &Item,
        work: f64,
        is_limited: bool,
    ) -> bool {
        let ahead = || {
            self.queue
                .ahead(now, item.job.urgency, |job| self.expected_work(job))
        };
        if !is_limited && ahead().next().is_none() {
            return false;
        }
        let throughput = self.throughput(now);
        let scope = &item.job.regions;
        let mut wait = throughput.wait(scope, ahead());
        if is_limited {
            wait += 1.0 / throughput.of(scope).max(f64::MIN_POSITIVE);
        }
        if wait <= 0.0 {
            return false;
        }
        wait > item.max_wait(now, work * self.mean_slowdown)
            || wait + work > seconds(item.job.deadline.since(now))
    }
}
