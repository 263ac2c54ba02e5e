//! A target: slots, a queue, and how it deals with a limit on the wait.

use std::collections::VecDeque;

use oriolecleat_core::estimate::Report;

/// What a target does with a request that reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It runs.
    Started,
    /// It waits.
    Queued,
    /// It is refused at once.
    Shed,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Server {
    slots: usize,
    honours: bool,
    running: Vec<usize>,
    queue: VecDeque<usize>,
    /// Requests that still run slowly as the target is cold.
    pub cold: u32,
}

impl Server {
    /// An idle target; `honours` tells whether it sheds when told to.
    #[must_use]
    pub fn new(slots: usize, honours: bool) -> Self {
        Self {
            slots,
            honours,
            running: Vec::new(),
            queue: VecDeque::new(),
            cold: 0,
        }
    }

    /// An attempt arrives that may wait for `patience` microseconds.
    pub fn enter(&mut self, attempt: usize, patience: u64) -> Entry {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            Entry::Started
        } else if self.honours && patience == 0 {
            Entry::Shed
        } else {
            self.queue.push_back(attempt);
            Entry::Queued
        }
    }

    /// An attempt waited for as long as it may; whether it is shed.
    pub fn give_up(&mut self, attempt: usize) -> bool {
        let waits = self.queue.iter().any(|other| *other == attempt);
        if waits && self.honours {
            self.queue.retain(|other| *other != attempt);
            return true;
        }
        false
    }

    /// An attempt ends or is cancelled; returns the next one that starts, if any.
    pub fn leave(&mut self, attempt: usize) -> Option<usize> {
        self.queue.retain(|other| *other != attempt);
        let before = self.running.len();
        self.running.retain(|other| *other != attempt);
        if before == self.running.len() || self.running.len() >= self.slots {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Whether the attempt runs.
    #[must_use]
    pub fn runs(&self, attempt: usize) -> bool {
        self.running.contains(&attempt)
    }

    /// The load.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            running: u64::try_from(self.running.len()).unwrap_or(u64::MAX),
            queued: u64::try_from(self.queue.len()).unwrap_or(u64::MAX),
            slowdown_percent: None,
        }
    }
}
