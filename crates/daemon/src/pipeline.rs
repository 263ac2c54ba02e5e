//! Requests that a caller sends before the answer to an earlier one: reads them ahead and processes
//! them before their turn.
//!
//! hyper stays the only judge of where a request ends and the only writer of answers. What is done
//! ahead is taken for a request only if hyper reads the same head when it is the turn of the request.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use hyper::Response;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller;
use crate::inflight;
use crate::node::Shared;
use crate::relay::Download;
use crate::stream::State;
use crate::stream::Tracker;
use crate::upload;

mod buffer;
mod parse;

pub(crate) use buffer::Buffer;
pub(crate) use buffer::READ_AHEAD_MAX_BYTES;
pub(crate) use parse::closes;

/// Interval of the checks for a reset while a connection is not read. All calls of a caller that
/// resets its connection have to end within 500 ms.
pub(crate) const WATCH: Duration = Duration::from_millis(100);

/// The requests of one connection behind the one that hyper processes.
pub(crate) struct Ahead {
    node: Shared,
    state: Rc<State>,
    buffer: Buffer,
    limit: usize,
    early: RefCell<VecDeque<Early>>,
}

impl Ahead {
    /// Reads up to `limit` requests ahead on the connection with `state`; none if it is zero.
    pub(crate) fn new(node: &Shared, state: &Rc<State>, limit: u64) -> Option<Rc<Self>> {
        (limit > 0).then(|| {
            Rc::new(Self {
                node: node.clone(),
                state: Rc::clone(state),
                buffer: Buffer::new(node),
                limit: usize::try_from(limit).unwrap_or(usize::MAX),
                early: RefCell::default(),
            })
        })
    }

    pub(crate) fn buffer(self: &Rc<Self>) -> Buffer {
        self.buffer.clone()
    }

    /// Whether a request is processed before its turn.
    pub(crate) fn has_early(&self) -> bool {
        !self.early.borrow().is_empty()
    }

    /// Starts the requests that were read and may be processed before their turn.
    pub(crate) fn start(&self) {
        while !self.buffer.is_examined()
            && self.early.borrow().len() < self.limit
            && self.state.is_parallel()
            && self.node.borrow().phase().is_advertised()
        {
            let Some(parts) = self.buffer.next() else {
                return;
            };
            let closes = closes(&parts);
            let Some(early) = self.process(parts) else {
                return self.buffer.block();
            };
            self.early.borrow_mut().push_back(early);
            if closes {
                return self.buffer.block();
            }
        }
    }

    /// Processes the request with the head `parts`; none if it has to wait for its turn.
    fn process(&self, parts: Parts) -> Option<Early> {
        let in_flight = inflight::Guard::new(&self.node);
        let mut tracker = Tracker::new(&self.state, None, in_flight);
        let admission = caller::admit(&self.node, &tracker, &parts, Some(0)).ok()?;
        if !admission.is_idempotent() {
            return None;
        }
        let lane = Rc::new(Lane::default());
        tracker.lane = Some(Rc::clone(&lane));
        let head = parts.clone();
        let body = upload::Shared::empty();
        let node = self.node.clone();
        let handled = caller::handle(node, tracker, parts, body, Ok(admission));
        Some(Early {
            head,
            state: Rc::clone(&self.state),
            lane,
            task: tokio::task::spawn_local(handled),
        })
    }

    /// Takes what was done ahead for the request whose turn it is, with the head `parts`.
    pub(crate) fn take(&self, parts: &Parts) -> Option<Early> {
        let early = self.early.borrow_mut().pop_front()?;
        let head = &early.head;
        let same = head.method == parts.method
            && head.uri == parts.uri
            && head.version == parts.version
            && head.headers == parts.headers;
        if !same {
            log::warn!("requests were read ahead in another way than in their turn");
            self.early.borrow_mut().clear();
            return None;
        }
        Some(early)
    }
}

/// A request that is processed before its turn. Dropping it cancels the request.
pub(crate) struct Early {
    head: Parts,
    state: Rc<State>,
    lane: Rc<Lane>,
    task: JoinHandle<Response<Download>>,
}

impl Early {
    /// Waits for the answer, now that it is the turn of the request.
    pub(crate) async fn answer(mut self) -> Response<Download> {
        self.state.set_parallel(!closes(&self.head));
        self.lane.begin_turn(&self.state);
        match (&mut self.task).await {
            Ok(response) => response,
            // The task is only cancelled when this future is dropped.
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }
}

impl Drop for Early {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The deadline of a request that is processed before its turn. It bounds the writing of answers
/// from the turn of the request on.
#[derive(Default)]
pub(crate) struct Lane {
    in_turn: Cell<bool>,
    deadline: Cell<Option<Instant>>,
}

impl Lane {
    pub(crate) fn set_deadline(&self, state: &State, deadline: Instant) {
        self.deadline.set(Some(deadline));
        if self.in_turn.get() {
            state.set_deadline(deadline);
        }
    }

    fn begin_turn(&self, state: &State) {
        self.in_turn.set(true);
        if let Some(deadline) = self.deadline.get() {
            state.set_deadline(deadline);
        }
    }
}
