//! Streams bodies between callers and targets.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use hyper::body::Incoming;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Fate;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;

use crate::node::Shared;
use crate::pool::Connection;
use crate::service;

/// Body of a request on its way to a target.
pub(crate) type Upload = Incoming;

/// One attempt at a target; an attempt that is dropped unfinished is cancelled.
pub(crate) struct Attempt {
    node: Shared,
    service: service::Key,
    call: Call,
    target: target::Key,
    started: Instant,
    connection: Option<Connection>,
    open: bool,
}

impl Attempt {
    pub(crate) fn new(
        node: &Shared,
        service: service::Key,
        call: Call,
        target: target::Key,
    ) -> Self {
        let started = node.borrow().clock.now();
        let node = node.clone();
        Self {
            node,
            service,
            call,
            target,
            started,
            connection: None,
            open: true,
        }
    }

    pub(crate) fn attach(&mut self, connection: Connection) -> &mut Connection {
        self.connection.insert(connection)
    }

    /// The attempt ended without a whole answer.
    pub(crate) fn fail(mut self, ending: Ending) -> Fate {
        self.end(ending)
    }

    fn complete(&mut self, failed: bool) {
        if let Some(connection) = self.connection.take() {
            self.node.borrow_mut().pool.put(connection);
        }
        let latency = self.node.borrow().clock.now().since(self.started);
        self.end(Ending::Answered { latency, failed });
    }

    fn end(&mut self, ending: Ending) -> Fate {
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
        if std::mem::replace(&mut self.open, false) {
            let mut node = self.node.borrow_mut();
            return node.finish(self.service, self.call, self.target, ending);
        }
        Fate::Over
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end(Ending::Cancelled);
    }
}

/// Body of an answer to a caller.
pub(crate) enum Download {
    /// An answer of the balancer itself.
    Own(Option<Bytes>),
    /// An answer of a target.
    Target {
        body: Incoming,
        attempt: Attempt,
        failed: bool,
    },
}

impl Body for Download {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Own(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Target {
                body,
                attempt,
                failed,
            } => {
                let polled = Pin::new(body).poll_frame(context);
                if matches!(polled, Poll::Ready(None)) {
                    attempt.complete(*failed);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(bytes) => bytes.is_none(),
            Self::Target { .. } => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Own(bytes) => http_body::SizeHint::with_exact(
                bytes.as_ref().map_or(0, |bytes| bytes.len() as u64),
            ),
            Self::Target { body, .. } => body.size_hint(),
        }
    }
}
