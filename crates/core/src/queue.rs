//! Calls that wait for a target, ordered by class and shared fairly between entries.

use std::collections::VecDeque;

use crate::balance::Job;
use crate::entry::Class;
use crate::time::Instant;

/// A call that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ask: Job,
    pub(crate) arrived: Instant,
}

impl Waiting {
    /// When the call has waited for half of its time.
    pub(crate) fn latest(&self) -> Instant {
        self.arrived + self.ask.deadline.since(self.arrived).half()
    }
}

/// Calls of one class and entry, oldest first.
#[derive(Debug)]
struct Lane {
    class: Class,
    entry: u32,
    pass: u64,
    calls: VecDeque<Waiting>,
}

/// Names a lane until the next change of the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lead(usize);

/// All calls of a service that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: Vec<Lane>,
    pass: u64,
    len: usize,
}

/// Batch calls get a target after all others.
fn rank(class: Class) -> u8 {
    u8::from(class == Class::Batch)
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a new call behind those of its lane.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.lane(&waiting.ask).calls.push_back(waiting);
        self.len += 1;
    }

    /// Puts a call that did not run back in its place by arrival.
    pub(crate) fn put_back(&mut self, waiting: Waiting) {
        let calls = &mut self.lane(&waiting.ask).calls;
        let place = calls.partition_point(|other| other.arrived <= waiting.arrived);
        calls.insert(place, waiting);
        self.len += 1;
    }

    fn lane(&mut self, ask: &Job) -> &mut Lane {
        let known = |lane: &Lane| lane.class == ask.class && lane.entry == ask.entry;
        let index = self.lanes.iter().position(known).unwrap_or_else(|| {
            self.lanes.push(Lane {
                class: ask.class,
                entry: ask.entry,
                pass: self.pass,
                calls: VecDeque::new(),
            });
            self.lanes.len() - 1
        });
        let lane = &mut self.lanes[index];
        if lane.calls.is_empty() {
            lane.pass = lane.pass.max(self.pass);
        }
        lane
    }

    /// Lanes with calls in the order in which they are served.
    pub(crate) fn leads(&self) -> Vec<Lead> {
        let mut leads: Vec<usize> = (0..self.lanes.len())
            .filter(|index| !self.lanes[*index].calls.is_empty())
            .collect();
        leads.sort_by_key(|index| (rank(self.lanes[*index].class), self.lanes[*index].pass));
        leads.into_iter().map(Lead).collect()
    }

    /// The oldest call of a lane.
    pub(crate) fn front(&self, lead: Lead) -> Option<&Waiting> {
        self.lanes.get(lead.0)?.calls.front()
    }

    /// Calls that wait in the lane of `ask`.
    pub(crate) fn backlog(&self, ask: &Job) -> usize {
        let own = |lane: &&Lane| lane.class == ask.class && lane.entry == ask.entry;
        self.lanes
            .iter()
            .find(own)
            .map_or(0, |lane| lane.calls.len())
    }

    /// When the first of the oldest calls has waited for half of its time.
    pub(crate) fn latest(&self) -> Option<Instant> {
        let fronts = self.lanes.iter().filter_map(|lane| lane.calls.front());
        fronts.map(Waiting::latest).min()
    }

    /// Takes the oldest call of a lane, which then yields to the other lanes of its class.
    pub(crate) fn pop(&mut self, lead: Lead) -> Option<Waiting> {
        let lane = self.lanes.get_mut(lead.0)?;
        let waiting = lane.calls.pop_front()?;
        self.pass = self.pass.max(lane.pass);
        lane.pass += 1;
        self.len -= 1;
        Some(waiting)
    }

    /// Takes out every call for which `gone` holds.
    pub(crate) fn extract(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut out = Vec::new();
        for lane in &mut self.lanes {
            let (left, kept): (VecDeque<_>, _) = lane.calls.drain(..).partition(&gone);
            lane.calls = kept;
            out.extend(left);
        }
        self.len -= out.len();
        out
    }

    /// Takes the call to shed in favour of one of `class`: the newest batch call first, then the
    /// newest interactive one, from the lane with the most calls.
    pub(crate) fn shed_for(&mut self, class: Class) -> Option<Waiting> {
        let worst = self
            .lanes
            .iter_mut()
            .filter(|lane| !lane.calls.is_empty() && lane.class > class)
            .max_by_key(|lane| (lane.class, lane.calls.len()))?;
        self.len -= 1;
        worst.calls.pop_back()
    }

    /// Calls that are served before a new call of `class` and `entry`, with fair sharing.
    pub(crate) fn ahead(&self, class: Class, entry: u32) -> usize {
        let own = |lane: &&Lane| lane.class == class && lane.entry == entry;
        let behind = self
            .lanes
            .iter()
            .find(own)
            .map_or(0, |lane| lane.calls.len());
        let served = |lane: &Lane| match rank(lane.class).cmp(&rank(class)) {
            std::cmp::Ordering::Less => lane.calls.len(),
            std::cmp::Ordering::Equal => lane.calls.len().min(behind + 1),
            std::cmp::Ordering::Greater => 0,
        };
        let others = self.lanes.iter().filter(|lane| !own(lane));
        behind + others.map(served).sum::<usize>()
    }
}
