//! What the request path and the byte stream of one caller know of its requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use oriolecleat_core::request::Outcome;
use oriolecleat_core::time;
use tokio::time::Instant;

use crate::framing::Defect;
use crate::gather::Reservation;
use crate::inflight;
use crate::pipeline;
use crate::quota::Permit;

/// State that the request path and the byte stream of one caller share.
#[derive(Default)]
pub(crate) struct State {
    /// Requests whose answer hyper has not yet read to its end.
    pub(super) unfinished: Cell<u64>,
    /// Whether hyper's buffer may still hold bytes of an answer.
    pub(super) answer_pending: Cell<bool>,
    /// Requests seen.
    requests: Cell<u64>,
    /// Number of the request that hyper reads as another one, and why.
    pub(super) defect: Cell<Option<(u64, Defect)>>,
    /// Whether an answer was truncated, so that the connection must end with a reset.
    pub(super) truncated: Cell<bool>,
    /// When the caller of the newest request stops waiting.
    pub(super) deadline: Cell<Option<Instant>>,
    /// Whether the newest request is idempotent and has no body, so that those behind it may be
    /// processed beside it.
    parallel: Cell<bool>,
    /// Whether the answer to the newest request is ready, so that it is written also if the caller closed
    /// its side. Until then, a caller that closes its side counts as gone, and its request is cancelled.
    pub(super) owed: Cell<bool>,
    /// Number of heads that hyper was given up to the end, if nothing was given beyond the last one
    /// and that one has no body.
    pub(super) given: Cell<Option<u64>>,
    /// Whether the newest answer announced the end of the connection.
    pub(super) closing: Cell<bool>,
    /// When the kernel got the last byte of an answer.
    pub(super) written_at: Cell<Option<Instant>>,
    /// Requests whose answer hyper has read to its end and may still have to write.
    unwritten: RefCell<Vec<inflight::Guard>>,
}

impl State {
    /// Marks an answer as truncated.
    pub(crate) fn mark_truncated(&self) {
        self.truncated.set(true);
    }

    /// Sets the time by which the answer has to be written.
    pub(crate) fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Replaces the time by which the answer has to be written; none if only pauses are bounded.
    pub(crate) fn replace_deadline(&self, deadline: Option<Instant>) {
        self.deadline.set(deadline);
    }

    /// Sets whether the answer to the newest request is written also if the caller closed its side.
    pub(crate) fn set_owed(&self, owed: bool) {
        self.owed.set(owed);
    }

    /// Sets whether the newest answer announces the end of the connection.
    pub(crate) fn set_closing(&self, closing: bool) {
        self.closing.set(closing);
    }

    /// Sets whether requests behind the newest one may be processed beside it.
    pub(crate) fn set_parallel(&self, parallel: bool) {
        self.parallel.set(parallel);
    }

    /// Whether hyper processes just one request, and those behind it may be processed beside it.
    pub(crate) fn is_parallel(&self) -> bool {
        let has_one = self.unfinished.get() == 1;
        has_one && self.parallel.get() && self.given.get() == Some(self.requests.get())
    }

    /// Whether hyper has read the answers to all requests to their end.
    pub(crate) fn is_idle(&self) -> bool {
        self.unfinished.get() == 0
    }

    /// Ends requests whose answer the kernel now has, or whose connection has ended.
    pub(super) fn end_written(&self) {
        self.unwritten.borrow_mut().clear();
    }

    /// Requests that hyper has read and whose answer it has read to its end.
    pub(super) fn finished(&self) -> u64 {
        self.requests.get() - self.unfinished.get()
    }
}

/// The turn of a request on its connection: from when hyper read its head until hyper has read the
/// last part of its answer.
pub(crate) struct Turn {
    pub(crate) state: Rc<State>,
    number: u64,
}

impl Turn {
    pub(crate) fn new(state: &Rc<State>) -> Self {
        state.unfinished.set(state.unfinished.get() + 1);
        state.answer_pending.set(true);
        state.parallel.set(false);
        let number = state.requests.get();
        state.requests.set(number + 1);
        Self {
            state: Rc::clone(state),
            number,
        }
    }

    /// Why hyper reads the head of the request as another one, if it does.
    pub(crate) fn defect(&self) -> Option<Defect> {
        let found = self.state.defect.get();
        found
            .filter(|(number, _)| *number == self.number)
            .map(|(_, defect)| defect)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.state.unfinished.set(self.state.unfinished.get() - 1);
    }
}

/// Tracks a request from the moment its head was read, perhaps ahead of its turn, until hyper has
/// read the last part of its answer. The request stays in flight until hyper has written that part.
pub(crate) struct Tracker {
    pub(crate) state: Rc<State>,
    /// Why hyper reads the head as another one, if it does.
    pub(crate) defect: Option<Defect>,
    /// When the head was read.
    pub(crate) arrived: time::Instant,
    in_flight: Option<inflight::Guard>,
    /// Set once the limits of the entry admit the request.
    pub(crate) permit: Option<Permit>,
    /// Set if the request was read ahead of its turn.
    pub(crate) early_deadline: Option<Rc<pipeline::Deadline>>,
}

impl Tracker {
    pub(crate) fn new(
        state: &Rc<State>,
        defect: Option<Defect>,
        in_flight: inflight::Guard,
    ) -> Self {
        Self {
            state: Rc::clone(state),
            defect,
            arrived: in_flight.arrived(),
            in_flight: Some(in_flight),
            permit: None,
            early_deadline: None,
        }
    }

    /// Keeps the space for the answer until it is written.
    pub(crate) fn hold_answer(&mut self, reserved: Reservation) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.hold_answer(reserved);
        }
    }

    /// Sets the time by which the answer has to be written.
    pub(crate) fn set_deadline(&self, deadline: Instant) {
        match &self.early_deadline {
            Some(early) => early.set(&self.state, deadline),
            None => self.state.set_deadline(deadline),
        }
    }

    /// Counts the outcome of the request in the quota of its entry.
    pub(crate) fn count(&self, outcome: Outcome) {
        if let Some(permit) = &self.permit {
            permit.count(outcome);
        }
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        let in_flight = self.in_flight.take();
        self.state.unwritten.borrow_mut().extend(in_flight);
    }
}
