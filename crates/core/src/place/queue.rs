//! Queue of the calls that wait for a target, for bursts that exceed the slots: which calls wait,
//! in which order they get targets, and for how long they wait.
//!
//! Calls wait here rather than in a target: a place in a target's queue cannot be given to a more
//! urgent call, and a full target resets connections. Calls that can still be answered within their
//! objective, the time in which an answer has its full value, go first, ordered by urgency and by
//! the end of the objective; the others only take slots that no other call needs.

use crate::balance::Call;
use crate::balance::Job;
use crate::estimate::seconds;
use crate::place::spill::Cost;
use crate::site::region::Scope;
use crate::target;
use crate::time::Instant;

/// How long a call that cannot be answered in time any more may wait, as a share of its objective.
const LATE_WAIT_SHARE: f64 = 0.125;
/// Multiple of the expected work that must be left of the objective for a call to count as timely.
/// The work of calls spreads by a third: with the mean alone, half of the calls that start last
/// miss the objective and keep slots from calls that could still meet it. Under the loads of the
/// hosted model 1.4 and 1.7 serve alike, and 1 serves up to 0.03 less of the value.
const TIMELY_MARGIN: f64 = 1.4;

/// A call that waits.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) job: Job,
    pub(crate) arrived: Instant,
    /// Until when the call waits for answers to probes.
    pub(crate) probe_deadline: Option<Instant>,
    /// Targets that failed or shed the call.
    pub(crate) tried: Vec<target::Key>,
    /// What the call loses by the way to another data centre.
    pub(crate) cost: Cost,
}

impl Item {
    /// Seconds of the objective that are left; negative once it has passed.
    pub(crate) fn remaining(&self, now: Instant) -> f64 {
        seconds(self.job.objective) - seconds(now.since(self.arrived))
    }

    /// What an answer at an expected `loss` gains for each byte, in the worth of the answer.
    pub(crate) fn gain_by_byte(&self, loss: f64) -> f64 {
        (1.0 - loss).max(0.0) / self.cost.bytes.max(1.0)
    }

    /// Whether a call with `work` seconds of expected work is likely to end within the objective.
    pub(crate) fn is_timely(&self, now: Instant, work: f64) -> bool {
        self.remaining(now) > work * TIMELY_MARGIN
    }

    /// Seconds that a call with `work` seconds of work may wait: until it is no longer timely, and for
    /// `LATE_WAIT_SHARE` of the objective at least.
    pub(crate) fn max_wait(&self, now: Instant, work: f64) -> f64 {
        let late = seconds(self.job.objective) * LATE_WAIT_SHARE;
        (self.remaining(now) - work * TIMELY_MARGIN).max(late)
    }

    /// Whether the call has to be refused now: its work cannot end before its deadline, or it
    /// is late and has waited for `LATE_WAIT_SHARE` of its objective.
    pub(crate) fn is_expired(&self, now: Instant, work: f64) -> bool {
        let waited = seconds(now.since(self.arrived));
        let left = seconds(self.job.deadline.since(now));
        let late = !self.is_timely(now, work);
        left < work || (late && waited > seconds(self.job.objective) * LATE_WAIT_SHARE)
    }
}

/// Calls that wait, in no order.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    items: Vec<Item>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    /// Number of calls that may reach the same regions as a call with `scope`. The calls for other
    /// regions leave the queue at another rate, so they do not count against its limit.
    pub(crate) fn len_of(&self, scope: &Scope) -> usize {
        let same = self.items.iter().filter(|item| item.job.regions == *scope);
        same.count()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(crate) fn push(&mut self, item: Item) {
        self.items.push(item);
    }

    pub(crate) fn remove(&mut self, call: Call) -> Option<Item> {
        let index = self.items.iter().position(|item| item.job.call == call)?;
        Some(self.items.swap_remove(index))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.iter()
    }

    /// The calls in the order in which they get targets, each with its rank by time and urgency;
    /// `work` returns the expected seconds of work of a call.
    pub(crate) fn by_priority(
        &self,
        now: Instant,
        work: impl Fn(&Job) -> f64,
    ) -> Vec<((bool, u8), Call)> {
        let rank = |item: &&Item| {
            let timely = item.is_timely(now, work(&item.job));
            let end = item.arrived + item.job.objective;
            ((!timely, item.job.urgency), end, item.job.call)
        };
        let mut ranks: Vec<_> = self.items.iter().map(|item| rank(&item)).collect();
        ranks.sort_unstable();
        ranks
            .into_iter()
            .map(|(rank, _, call)| (rank, call))
            .collect()
    }

    /// The calls that get a target before a new call of `urgency` that can be answered in time.
    pub(crate) fn ahead(
        &self,
        now: Instant,
        urgency: u8,
        work: impl Fn(&Job) -> f64,
    ) -> impl Iterator<Item = &Item> {
        let before =
            move |item: &&Item| item.job.urgency <= urgency && item.is_timely(now, work(&item.job));
        self.items.iter().filter(before)
    }

    /// Removes and returns the call that arrived last among the least urgent ones that may reach the same
    /// regions as `job`, if it is less urgent than `job`.
    pub(crate) fn remove_last_after(&mut self, job: &Job) -> Option<Item> {
        let order = |item: &&Item| (item.job.urgency, item.arrived, item.job.call);
        let same = self
            .items
            .iter()
            .filter(|item| item.job.regions == job.regions);
        let last = same.max_by_key(order)?;
        let call = (last.job.urgency > job.urgency).then_some(last.job.call)?;
        self.remove(call)
    }

    /// Removes and returns every call for which `matches` holds.
    pub(crate) fn extract(&mut self, matches: impl Fn(&Item) -> bool) -> Vec<Item> {
        self.items.extract_if(.., |item| matches(item)).collect()
    }
}
