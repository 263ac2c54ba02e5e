//! Streams answers of targets to callers.

use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use oriolecleat_core::balance::Ending;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::attempt::Attempt;
use crate::attempt::Handle;
use crate::node::Shared;
use crate::pool::Connection;
use crate::socket::poll_turn;
use crate::stream::Tracker;
use crate::stream::Turn;
use crate::ticketed;

/// Why an answer was aborted.
type Fault = Box<dyn Error + Send + Sync>;

/// Body of an answer to a caller.
pub(crate) enum Download {
    /// An answer of the balancer itself, or one of a target that was buffered whole.
    Own {
        bytes: Option<Bytes>,
        _tracker: Tracker,
    },
    /// An answer of a target.
    Target(Box<Delivery>),
}

/// Body of the answer whose turn it is on its connection.
pub(crate) struct Reply {
    download: Download,
    _turn: Turn,
}

impl Reply {
    pub(crate) fn new(download: Download, turn: Turn) -> Self {
        Self {
            download,
            _turn: turn,
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        Pin::new(&mut self.get_mut().download).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.download.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.download.size_hint()
    }
}

/// An answer of a target that is streamed to the caller.
pub(crate) struct Delivery {
    pub(crate) node: Shared,
    pub(crate) body: Incoming,
    pub(crate) connection: Option<Connection>,
    pub(crate) attempt: Option<Attempt>,
    /// Bytes of the exchange so far, in both directions.
    pub(crate) bytes: u64,
    /// Whether the target answered with a server error.
    pub(crate) failed: bool,
    pub(crate) ticket: ticketed::Guard,
    pub(crate) call: Handle,
    pub(crate) deadline_timer: Pin<Box<Sleep>>,
    pub(crate) body_idle: Duration,
    pub(crate) idle_timer: Option<Pin<Box<Sleep>>>,
    pub(crate) tracker: Tracker,
}

impl Delivery {
    /// Ends the exchange after the whole answer was read.
    pub(crate) fn complete(&mut self, context: &mut Context<'_>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if let Some(connection) = self.connection.take() {
            let mut node = self.node.borrow_mut();
            node.pool.put(connection, context);
        }
        self.ticket.mark_ran();
        attempt.record_bytes(self.bytes);
        let arrived = self.tracker.arrived;
        attempt.record_delivery(arrived);
        if let Some(permit) = &self.tracker.permit {
            permit.record_duration(arrived);
        }
        attempt.end_answered(self.failed);
        self.call.mark_finished();
    }

    /// Ends the exchange if the answer has no body, which hyper drops without reading it.
    pub(crate) fn complete_if_empty(&mut self, context: &mut Context<'_>) {
        if self.body.is_end_stream() {
            self.complete(context);
        }
    }

    /// Whether the deadline passed before anything of the body was read.
    pub(crate) fn is_late(&self) -> bool {
        self.attempt.is_some() && self.deadline_timer.deadline() <= Instant::now()
    }

    /// Ends the exchange before anything of the answer was written to the caller.
    pub(crate) fn cancel(&mut self) {
        self.end(Ending::Cancelled);
    }

    fn end(&mut self, ending: Ending) {
        self.connection = None;
        if let Some(attempt) = self.attempt.take() {
            attempt.record_bytes(self.bytes);
            attempt.end(ending);
        }
    }

    /// Aborts the answer so that the caller cannot take it for a whole one.
    fn abort(&mut self, ending: Ending, cause: Fault) -> Fault {
        log::info!(cause:% = cause, id = self.call.id(); "answer to the caller aborted");
        self.end(ending);
        self.tracker.state.mark_truncated();
        cause
    }

    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if polled.is_ready() {
            return polled;
        }
        if let Some(connection) = &mut self.connection {
            connection.drive(context);
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn poll_timeouts(&mut self, context: &mut Context<'_>) -> Poll<Fault> {
        if self.deadline_timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(self.abort(
                Ending::Cancelled,
                "the deadline of the request passed".into(),
            ));
        }
        let idle = self.body_idle;
        let idle_timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(Instant::now() + idle)));
        if idle_timer.as_mut().poll(context).is_ready() {
            let cause = "the target paused in its answer for longer than body_idle_ms".into();
            return Poll::Ready(self.abort(Ending::Broken { written: true }, cause));
        }
        Poll::Pending
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        // One read may hold thousands of small parts.
        ready!(poll_turn(context));
        match self.poll_body(context) {
            Poll::Pending => self.poll_timeouts(context).map(|fault| Some(Err(fault))),
            Poll::Ready(None) => {
                self.complete(context);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.idle_timer = None;
                if let Some(connection) = &self.connection {
                    connection.record_progress();
                }
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.bytes += u64::try_from(bytes).unwrap_or(0);
                if self.body.is_end_stream() {
                    self.complete(context);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let fault = self.abort(Ending::Broken { written: true }, error.into());
                Poll::Ready(Some(Err(fault)))
            }
        }
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match self.get_mut() {
            Self::Own { bytes, .. } => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Target(delivery) => delivery.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own { bytes, .. } => bytes.is_none(),
            Self::Target(delivery) => delivery.attempt.is_none() && delivery.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own { bytes, .. } => SizeHint::with_exact(
                bytes
                    .as_ref()
                    .map_or(0, |bytes| u64::try_from(bytes.len()).unwrap_or(u64::MAX)),
            ),
            Self::Target(delivery) => delivery.body.size_hint(),
        }
    }
}
