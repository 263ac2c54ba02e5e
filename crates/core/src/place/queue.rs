//! Queue of the calls that wait for a target, for bursts that exceed the slots: in which order they get
//! targets, and until when each waits.
//!
//! Calls wait here rather than in a target: a place in a target's queue cannot be given to a more
//! urgent call, and a full target resets connections or stays silent. Calls that can still be answered
//! within their objective, the time in which an answer has its full value, form the first line. The
//! others form the second one, which gets only what the first one leaves.
//!
//! The order of a line is kept as calls join and leave, so that a decision looks at its first calls only.

use std::collections::BTreeSet;

use crate::balance::Call;
use crate::balance::Job;
use crate::estimate::seconds;
use crate::map::Map;
use crate::target;
use crate::time::Instant;

/// Urgencies that are counted apart; the last one counts all that are less urgent, too.
const URGENCIES: usize = 8;

/// A call that waits.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    pub(crate) job: Job,
    /// End of its objective.
    pub(crate) objective_end: Instant,
    /// Expected seconds of work on a usual target.
    pub(crate) work: f64,
    /// Until when the call waits for answers to probes.
    pub(crate) probe_deadline: Option<Instant>,
    /// Targets that failed or shed the call.
    pub(crate) tried: Vec<target::Key>,
}

impl Item {
    /// Whether the call waits for answers to probes.
    pub(crate) fn is_probing(&self, now: Instant) -> bool {
        self.probe_deadline.is_some_and(|deadline| now < deadline)
    }

    /// Seconds of the objective that are left; negative once it has passed.
    pub(crate) fn remaining(&self, now: Instant) -> f64 {
        seconds(self.objective_end.since(now)) - seconds(now.since(self.objective_end))
    }
}

/// The line in which a call waits, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Line {
    /// It can be answered in time if it gets a target by then.
    First(Instant),
    /// It is late; refused then.
    Second(Instant),
}

/// What becomes of a call whose wait in a line is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
    /// It cannot be answered in time any more.
    Late(Call),
    /// It has waited for as long as a late call may.
    Over(Call),
}

type Rank = (u8, Instant, Call);

/// Calls that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    items: Map<Call, (Item, Line)>,
    first: BTreeSet<Rank>,
    second: BTreeSet<Rank>,
    /// Calls by the end of their wait.
    ends: BTreeSet<(Instant, Call)>,
    /// Calls of the first line by urgency.
    first_counts: [usize; URGENCIES],
}

fn rank(item: &Item) -> Rank {
    (item.job.urgency, item.objective_end, item.job.call)
}

fn index(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCIES - 1)
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of calls in the second line.
    pub(crate) fn late(&self) -> usize {
        self.second.len()
    }

    pub(crate) fn get(&self, call: Call) -> Option<&Item> {
        self.items.get(&call).map(|(item, _)| item)
    }

    pub(crate) fn push(&mut self, item: Item, line: Line) {
        let call = item.job.call;
        self.remove(call);
        match line {
            Line::First(end) => {
                self.first.insert(rank(&item));
                self.first_counts[index(item.job.urgency)] += 1;
                self.ends.insert((end, call));
            }
            Line::Second(end) => {
                self.second.insert(rank(&item));
                self.ends.insert((end, call));
            }
        }
        self.items.insert(call, (item, line));
    }

    pub(crate) fn remove(&mut self, call: Call) -> Option<Item> {
        let (item, line) = self.items.remove(&call)?;
        match line {
            Line::First(end) => {
                self.first.remove(&rank(&item));
                self.first_counts[index(item.job.urgency)] -= 1;
                self.ends.remove(&(end, call));
            }
            Line::Second(end) => {
                self.second.remove(&rank(&item));
                self.ends.remove(&(end, call));
            }
        }
        Some(item)
    }

    /// At most `count` calls of the first line, in order.
    pub(crate) fn first(&self, count: usize) -> Vec<Call> {
        self.first.iter().take(count).map(|rank| rank.2).collect()
    }

    /// At most `count` calls of the second line, in order.
    pub(crate) fn second(&self, count: usize) -> Vec<Call> {
        self.second.iter().take(count).map(|rank| rank.2).collect()
    }

    /// Number of calls of the first line that get a target before a new one of `urgency`.
    pub(crate) fn ahead(&self, urgency: u8) -> usize {
        self.first_counts[..=index(urgency)].iter().sum()
    }

    /// The next call whose wait has ended by `now`. It stays in its line.
    pub(crate) fn expired(&self, now: Instant) -> Option<Expiry> {
        let (end, call) = self.ends.first()?;
        if *end > now {
            return None;
        }
        let (_, line) = self.items.get(call)?;
        Some(match line {
            Line::First(_) => Expiry::Late(*call),
            Line::Second(_) => Expiry::Over(*call),
        })
    }

    /// When the wait of the next call ends.
    pub(crate) fn next_end(&self) -> Option<Instant> {
        self.ends.first().map(|(end, _)| *end)
    }

    /// Removes and returns all calls.
    pub(crate) fn drain(&mut self) -> Vec<Item> {
        let calls: Vec<Call> = self.items.keys().copied().collect();
        calls
            .into_iter()
            .filter_map(|call| self.remove(call))
            .collect()
    }
}
