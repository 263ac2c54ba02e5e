//! Counts the requests in flight, for which a planned stop waits, and keeps what they hold.

use oriolecleat_core::stop::Work;
use oriolecleat_core::time::Instant;

use crate::gather::Reservation;
use crate::node::Shared;

/// Requests in flight, from the head until the kernel has the last byte of the answer.
#[derive(Debug, Default)]
pub(crate) struct Counter {
    count: u64,
    latest_deadline: Instant,
    last_arrival: Instant,
}

impl Counter {
    /// The work that a planned stop has to wait for, beside the `lingering` connections.
    /// `handed_over` tells whether the newest audit records were handed over to peers.
    pub(crate) fn work(&self, lingering: u64, handed_over: bool) -> Work {
        Work {
            in_flight: self.count,
            lingering,
            latest_deadline: self.latest_deadline,
            last_arrival: self.last_arrival,
            handed_over,
        }
    }

    /// Records when the caller of a request in flight stops waiting.
    pub(crate) fn record_deadline(&mut self, deadline: Instant) {
        self.latest_deadline = self.latest_deadline.max(deadline);
    }

    /// Number of requests in flight.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct Guard {
    node: Shared,
    /// When the head was read.
    arrived: Instant,
    /// Space for the answer, if it is buffered.
    answer: Option<Reservation>,
}

impl Guard {
    /// Counts a request whose head was just read.
    pub(crate) fn new(node: &Shared) -> Self {
        let mut state = node.borrow_mut();
        let now = state.clock.now();
        state.in_flight.count += 1;
        state.in_flight.last_arrival = now;
        drop(state);
        Self {
            node: node.clone(),
            arrived: now,
            answer: None,
        }
    }

    /// Keeps the space for the answer as long as the request is in flight.
    pub(crate) fn hold_answer(&mut self, reserved: Reservation) {
        let _ = self.answer.insert(reserved);
    }

    /// When the head was read.
    pub(crate) fn arrived(&self) -> Instant {
        self.arrived
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.node.borrow_mut().in_flight.count -= 1;
    }
}
