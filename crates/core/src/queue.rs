//! The queue of calls that wait for a target, ordered by class and shared fairly between entries.
//!
//! Each class and entry has a flow. Among the flows of equal rank, the one with the lowest pass is
//! served next, and each call that is served advances the pass (stride scheduling).

use std::collections::VecDeque;

use crate::balance::Job;
use crate::entry::Class;
use crate::time::Instant;

/// A call in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) job: Job,
    /// When the call was offered to the balancer.
    pub(crate) arrived: Instant,
}

impl Item {
    /// When the call has waited for half of the time until its deadline, and is refused.
    pub(crate) fn refusal_time(&self) -> Instant {
        self.arrived + self.job.deadline.since(self.arrived).half()
    }
}

/// Queued calls of one class and entry, oldest first.
#[derive(Debug)]
struct Flow {
    class: Class,
    entry: u32,
    pass: u64,
    calls: VecDeque<Item>,
}

/// Index of a flow, valid until the next change of the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Index(usize);

/// All queued calls of a service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: Vec<Flow>,
    /// Highest pass that was served. A flow that was empty resumes from there.
    pass: u64,
    len: usize,
}

/// Order in which classes are served: batch calls after all others.
fn rank(class: Class) -> u8 {
    u8::from(class == Class::Batch)
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Appends a new call to its flow.
    pub(crate) fn push(&mut self, item: Item) {
        self.flow(&item.job).calls.push_back(item);
        self.len += 1;
    }

    /// Puts a call that did not run back into its flow, by its arrival.
    pub(crate) fn put_back(&mut self, item: Item) {
        let calls = &mut self.flow(&item.job).calls;
        let position = calls.partition_point(|other| other.arrived <= item.arrived);
        calls.insert(position, item);
        self.len += 1;
    }

    fn flow(&mut self, job: &Job) -> &mut Flow {
        let is_own = |flow: &Flow| flow.class == job.class && flow.entry == job.entry;
        let index = self.flows.iter().position(is_own).unwrap_or_else(|| {
            self.flows.push(Flow {
                class: job.class,
                entry: job.entry,
                pass: self.pass,
                calls: VecDeque::new(),
            });
            self.flows.len() - 1
        });
        let flow = &mut self.flows[index];
        if flow.calls.is_empty() {
            flow.pass = flow.pass.max(self.pass);
        }
        flow
    }

    /// The flows with calls, in the order in which they are served.
    pub(crate) fn order(&self) -> Vec<Index> {
        let mut indices: Vec<usize> = (0..self.flows.len())
            .filter(|index| !self.flows[*index].calls.is_empty())
            .collect();
        indices.sort_by_key(|index| (rank(self.flows[*index].class), self.flows[*index].pass));
        indices.into_iter().map(Index).collect()
    }

    /// The oldest call of a flow.
    pub(crate) fn front(&self, index: Index) -> Option<&Item> {
        self.flows.get(index.0)?.calls.front()
    }

    /// Number of calls in the flow of `job`.
    pub(crate) fn waiting(&self, job: &Job) -> usize {
        let is_own = |flow: &&Flow| flow.class == job.class && flow.entry == job.entry;
        self.flows
            .iter()
            .find(is_own)
            .map_or(0, |flow| flow.calls.len())
    }

    /// The earliest time at which a queued call has waited for half of the time until its deadline.
    pub(crate) fn next_refusal(&self) -> Option<Instant> {
        let fronts = self.flows.iter().filter_map(|flow| flow.calls.front());
        fronts.map(Item::refusal_time).min()
    }

    /// Removes the oldest call of a flow, and advances the pass of the flow.
    pub(crate) fn pop(&mut self, index: Index) -> Option<Item> {
        let flow = self.flows.get_mut(index.0)?;
        let item = flow.calls.pop_front()?;
        self.pass = self.pass.max(flow.pass);
        flow.pass += 1;
        self.len -= 1;
        Some(item)
    }

    /// Removes and returns every call for which `matches` holds.
    pub(crate) fn extract(&mut self, matches: impl Fn(&Item) -> bool) -> Vec<Item> {
        let mut out = Vec::new();
        for flow in &mut self.flows {
            let (removed, kept): (VecDeque<_>, _) = flow.calls.drain(..).partition(&matches);
            flow.calls = kept;
            out.extend(removed);
        }
        self.len -= out.len();
        out
    }

    /// Removes the call to shed in favour of one of `class`: the newest batch call first, then the
    /// newest interactive one, from the flow with the most calls.
    pub(crate) fn shed_for(&mut self, class: Class) -> Option<Item> {
        let victim = self
            .flows
            .iter_mut()
            .filter(|flow| !flow.calls.is_empty() && flow.class > class)
            .max_by_key(|flow| (flow.class, flow.calls.len()))?;
        self.len -= 1;
        victim.calls.pop_back()
    }

    /// Number of calls that are served before a new call of `class` and `entry`, with fair sharing.
    pub(crate) fn ahead(&self, class: Class, entry: u32) -> usize {
        let is_own = |flow: &&Flow| flow.class == class && flow.entry == entry;
        let own_calls = self
            .flows
            .iter()
            .find(is_own)
            .map_or(0, |flow| flow.calls.len());
        let served_before = |flow: &Flow| match rank(flow.class).cmp(&rank(class)) {
            std::cmp::Ordering::Less => flow.calls.len(),
            std::cmp::Ordering::Equal => flow.calls.len().min(own_calls + 1),
            std::cmp::Ordering::Greater => 0,
        };
        let others = self.flows.iter().filter(|flow| !is_own(flow));
        own_calls + others.map(served_before).sum::<usize>()
    }
}
