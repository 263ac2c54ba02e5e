//! Bursts that exceed the slots: which calls wait here, in which order, and for how long.
//!
//! A place in a target's queue cannot be given to a more urgent call, and a full target resets
//! connections, so calls wait here. Those that can still be answered in time go first, by urgency
//! and by what is left of their time; the others only take slots that nobody else needs.

use crate::balance::Call;
use crate::balance::Job;
use crate::estimate::seconds;
use crate::target;
use crate::time::Instant;

/// Share of its objective for which a call may wait that cannot be answered in time any more.
const LATE_HOLD: f64 = 0.125;

/// A call that waits.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) ask: Job,
    pub(crate) arrived: Instant,
    /// Until when answers to probes are waited for.
    pub(crate) settles: Option<Instant>,
    /// Targets that failed or shed the call.
    pub(crate) tried: Vec<target::Key>,
}

impl Held {
    /// Seconds of the objective that are left.
    pub(crate) fn left(&self, now: Instant) -> f64 {
        seconds(self.ask.objective) - seconds(now.since(self.arrived))
    }

    /// Whether `work` seconds of work can still end within the objective.
    pub(crate) fn is_timely(&self, now: Instant, work: f64) -> bool {
        self.left(now) > work
    }

    /// Seconds that a call with `work` seconds of work may wait: as long as it is in time, and for a
    /// short while if it is late anyway.
    pub(crate) fn patience(&self, now: Instant, work: f64) -> f64 {
        let late = seconds(self.ask.objective) * LATE_HOLD;
        (self.left(now) - work).max(late)
    }

    /// Whether the call has to be refused now: its work cannot end before the caller leaves, or it
    /// is late and has waited for its share.
    pub(crate) fn is_overdue(&self, now: Instant, work: f64) -> bool {
        let waited = seconds(now.since(self.arrived));
        let left = seconds(self.ask.deadline.since(now));
        let late = !self.is_timely(now, work);
        left < work || (late && waited > seconds(self.ask.objective) * LATE_HOLD)
    }
}

/// Calls that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    calls: Vec<Held>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(crate) fn push(&mut self, held: Held) {
        self.calls.push(held);
    }

    pub(crate) fn remove(&mut self, call: Call) -> Option<Held> {
        let index = self.calls.iter().position(|held| held.ask.call == call)?;
        Some(self.calls.swap_remove(index))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Held> {
        self.calls.iter()
    }

    /// The calls in the order in which they get targets; `work` tells the seconds of a call's work.
    pub(crate) fn order(&self, now: Instant, work: impl Fn(&Job) -> f64) -> Vec<Call> {
        let rank = |held: &&Held| {
            let timely = held.is_timely(now, work(&held.ask));
            let end = held.arrived + held.ask.objective;
            (!timely, held.ask.urgency, end, held.ask.call)
        };
        let mut calls: Vec<&Held> = self.calls.iter().collect();
        calls.sort_by_cached_key(rank);
        calls.into_iter().map(|held| held.ask.call).collect()
    }

    /// Calls that get a target before one of `urgency` that can be answered in time.
    pub(crate) fn ahead(&self, now: Instant, urgency: u8, work: impl Fn(&Job) -> f64) -> usize {
        let before =
            |held: &&Held| held.ask.urgency <= urgency && held.is_timely(now, work(&held.ask));
        self.calls.iter().filter(before).count()
    }

    /// Takes out every call for which `gone` holds.
    pub(crate) fn extract(&mut self, gone: impl Fn(&Held) -> bool) -> Vec<Held> {
        self.calls.extract_if(.., |held| gone(held)).collect()
    }
}
