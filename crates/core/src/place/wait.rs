//! How long calls wait for a target, and which are refused because they would wait for too long.

use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::place::loss::max_load;
use crate::place::placer::ASSUMED_WORK_S;
use crate::place::placer::Placer;
use crate::place::queue::Item;
use crate::target;
use crate::target::Standing;
use crate::time::Instant;
use crate::time::Span;

/// Calls a second below which no target counts as getting any.
const MIN_THROUGHPUT: f64 = 0.001;
/// Longest wait that a refused caller is told. What binds now may end long before.
const EXPECTED_WAIT_MAX: Span = Span::from_millis(10_000);

impl Placer {
    /// Expected wait of a new call, after which a refused caller may retry.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Span {
        let ahead = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let throughput = self.throughput(now);
        if throughput < MIN_THROUGHPUT {
            let targets = self.stated.values().filter_map(|stated| stated.wait(now));
            let first = targets.filter(|wait| *wait > Span::ZERO).min();
            return first.map_or(EXPECTED_WAIT_MAX, |wait| wait.min(EXPECTED_WAIT_MAX));
        }
        span(number(ahead + 1) / throughput).min(EXPECTED_WAIT_MAX)
    }

    /// Calls a second that the open targets complete when each has its largest load.
    fn throughput(&self, now: Instant) -> f64 {
        let typical = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let throughput = |(key, target): (target::Key, &target::Target)| {
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
        open.map(throughput).sum()
    }

    /// Whether so many calls wait that the call could not be served before its caller leaves, or
    /// would wait for longer than it may. `is_limited` states that no target may get it at once
    /// because of the limits that they state: then it waits like a call behind another one.
    pub(super) fn would_wait_too_long(
        &self,
        now: Instant,
        item: &Item,
        work: f64,
        is_limited: bool,
    ) -> bool {
        let ahead = self
            .queue
            .ahead(now, item.job.urgency, |job| self.expected_work(job))
            + usize::from(is_limited);
        if ahead == 0 {
            return false;
        }
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let wait = number(ahead) / self.throughput(now).max(f64::MIN_POSITIVE);
        wait > item.max_wait(now, work * self.mean_slowdown)
            || wait + work > seconds(item.job.deadline.since(now))
    }
}
