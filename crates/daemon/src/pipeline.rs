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

/// Most requests of all connections that are processed before their turn. Their answers take up to
/// 8 MiB, less than a third of the 28 MiB that a VM with 112 MB has for buffered answers, and with work
/// of 160 ms they are 400 requests a second. Above it, requests wait for their turn.
pub(crate) const EARLY_MAX: u64 = 64;

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

    /// Whether the answer to the next request that is processed before its turn is ready.
    pub(crate) fn is_next_ready(&self) -> bool {
        let early = self.early.borrow();
        early.front().is_some_and(|next| next.task.is_finished())
    }

    /// Whether a request is processed before its turn.
    pub(crate) fn has_early(&self) -> bool {
        !self.early.borrow().is_empty()
    }

    /// Whether hyper has finished all requests that it has, while bytes of the next one are here.
    pub(crate) fn is_waiting(&self) -> bool {
        self.state.is_idle() && !self.buffer.is_empty()
    }

    /// Starts the requests that were read and may be processed before their turn.
    pub(crate) fn start(&self) {
        while !self.buffer.is_examined()
            && self.early.borrow().len() < self.limit
            && self.state.is_parallel()
            && self.node.borrow().phase().is_advertised()
        {
            let Some(slot) = Slot::take(&self.node) else {
                return;
            };
            let Some(parts) = self.buffer.next() else {
                return;
            };
            let Some(early) = self.process(parts, slot) else {
                return self.buffer.block();
            };
            let may_precede = early.may_precede;
            self.early.borrow_mut().push_back(early);
            if !may_precede {
                return self.buffer.block();
            }
        }
    }

    /// Processes the request with the head `parts`; none if it has to wait for its turn.
    fn process(&self, parts: Parts, slot: Slot) -> Option<Early> {
        let in_flight = inflight::Guard::new(&self.node);
        let mut tracker = Tracker::new(&self.state, None, in_flight);
        let admission = caller::admit(&self.node, &tracker, &parts, Some(0)).ok()?;
        if !admission.is_idempotent() {
            return None;
        }
        let may_precede = !closes(&parts) && admission.is_replaceable(&self.node);
        let early_deadline = Rc::new(Deadline::default());
        tracker.early_deadline = Some(Rc::clone(&early_deadline));
        let head = parts.clone();
        let body = upload::Shared::empty();
        let node = self.node.clone();
        let handled = caller::handle(node, tracker, parts, body, Ok(admission));
        Some(Early {
            head,
            state: Rc::clone(&self.state),
            may_precede,
            deadline: early_deadline,
            task: tokio::task::spawn_local(handled),
            _slot: slot,
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
    /// Whether requests behind it may be processed before its answer: it does not end the connection.
    may_precede: bool,
    deadline: Rc<Deadline>,
    task: JoinHandle<Response<Download>>,
    _slot: Slot,
}

/// One of the requests that the VM may process before their turn. Dropping it admits another one.
struct Slot(Shared);

impl Slot {
    /// Takes a slot; none if `EARLY_MAX` requests have one.
    fn take(node: &Shared) -> Option<Self> {
        let taken = node.borrow_mut().early.try_take(1);
        taken.then(|| Self(node.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.borrow_mut().early.give_back(1);
    }
}

impl Early {
    /// Waits for the answer, now that it is the turn of the request.
    pub(crate) async fn answer(mut self) -> Response<Download> {
        self.state.set_parallel(self.may_precede);
        self.deadline.begin_turn(&self.state);
        let response = match (&mut self.task).await {
            Ok(response) => response,
            // The task is only cancelled when this future is dropped.
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        };
        let (parts, body) = response.into_parts();
        match body {
            // Its body would be cut off at the first pause of the target.
            Download::Target(delivery) if delivery.is_late() => caller::refuse_late(delivery),
            body => Response::from_parts(parts, body),
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
pub(crate) struct Deadline {
    in_turn: Cell<bool>,
    at: Cell<Option<Instant>>,
}

impl Deadline {
    pub(crate) fn set(&self, state: &State, deadline: Instant) {
        self.at.set(Some(deadline));
        if self.in_turn.get() {
            state.set_deadline(deadline);
        }
    }

    fn begin_turn(&self, state: &State) {
        self.in_turn.set(true);
        let now = Instant::now();
        // An answer that is ready is delivered also when late: only the pauses of its writing are
        // bounded. A limit in the past would reset the connection at the first blocked write, and
        // destroy what the kernel still holds of the answers before.
        let ahead = self.at.get().filter(|deadline| *deadline > now);
        state.replace_deadline(ahead);
    }
}
