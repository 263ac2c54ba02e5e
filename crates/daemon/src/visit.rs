//! Counts the requests that this VM still owes an answer.

use oriolecleat_core::stop::Work;
use oriolecleat_core::time::Instant;

use crate::node::Shared;

/// Requests in flight, from the head to the last byte of the answer.
#[derive(Debug, Default)]
pub(crate) struct Visits {
    in_flight: u64,
    latest_deadline: Instant,
    last_arrival: Instant,
}

impl Visits {
    /// What a planned stop waits for.
    pub(crate) fn work(&self, handed_over: bool) -> Work {
        Work {
            in_flight: self.in_flight,
            latest_deadline: self.latest_deadline,
            last_arrival: self.last_arrival,
            handed_over,
        }
    }

    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight
    }
}

/// One request in flight; dropped with the last byte of its answer.
pub(crate) struct Visit {
    node: Shared,
    /// When the head was read.
    pub(crate) arrived: Instant,
}

impl Visit {
    /// A request arrived.
    pub(crate) fn enter(node: &Shared) -> Self {
        let mut state = node.borrow_mut();
        let now = state.clock.now();
        state.visits.in_flight += 1;
        state.visits.last_arrival = now;
        drop(state);
        Self {
            node: node.clone(),
            arrived: now,
        }
    }

    /// The caller of this request waits until `deadline`.
    pub(crate) fn wait_until(&self, deadline: Instant) {
        let visits = &mut self.node.borrow_mut().visits;
        visits.latest_deadline = visits.latest_deadline.max(deadline);
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.node.borrow_mut().visits.in_flight -= 1;
    }
}
