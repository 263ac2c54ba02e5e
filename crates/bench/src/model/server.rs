//! A target of the model: slots, a queue, and a limit on the wait in the queue.

use std::collections::VecDeque;

use oriolecleat_core::estimate::Report;

/// What a target does with a request that reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
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
    sheds: bool,
    running: Vec<usize>,
    queue: VecDeque<usize>,
    /// Requests that still run slowly as the target is cold.
    pub cold_requests: u32,
}

impl Server {
    /// Creates an idle target; `sheds` says whether it sheds requests at their limit on the wait.
    #[must_use]
    pub fn new(slots: usize, sheds: bool) -> Self {
        Self {
            slots,
            sheds,
            running: Vec::new(),
            queue: VecDeque::new(),
            cold_requests: 0,
        }
    }

    /// Starts, queues or sheds an attempt that may wait for `max_wait_us` microseconds.
    pub fn admit(&mut self, attempt: usize, max_wait_us: u64) -> Admission {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            Admission::Started
        } else if self.sheds && max_wait_us == 0 {
            Admission::Shed
        } else {
            self.queue.push_back(attempt);
            Admission::Queued
        }
    }

    /// Sheds an attempt that has reached its limit on the wait; returns whether it was shed.
    pub fn shed_queued(&mut self, attempt: usize) -> bool {
        let waits = self.queue.iter().any(|other| *other == attempt);
        if waits && self.sheds {
            self.queue.retain(|other| *other != attempt);
            return true;
        }
        false
    }

    /// Removes an attempt that ended or was cancelled; returns the queued one that starts, if any.
    pub fn release(&mut self, attempt: usize) -> Option<usize> {
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

    /// Whether the attempt is running.
    #[must_use]
    pub fn is_running(&self, attempt: usize) -> bool {
        self.running.contains(&attempt)
    }

    /// The load report.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            running: u64::try_from(self.running.len()).unwrap_or(u64::MAX),
            queued: u64::try_from(self.queue.len()).unwrap_or(u64::MAX),
            slowdown_percent: None,
        }
    }
}
