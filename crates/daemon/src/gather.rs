//! Buffers small answers whole before the caller gets their first byte, so that an answer that is
//! truncated can be replaced by that of another target.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http::response::Parts;
use http_body::Body;
use oriolecleat_core::balance::Ending;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::exchange::Exchange;
use crate::head;
use crate::node::Shared;
use crate::race::Reply;

/// Largest answer that is buffered. A larger one is streamed to the caller.
const BUFFER_MAX_BYTES: u64 = 131_072;

/// Most bytes of answers that are buffered at once, over all targets and callers. Further answers are
/// streamed, so that slow targets and callers do not make the process use ever more memory.
pub(crate) const BUFFERED_MAX_BYTES: u64 = 32 << 20;

/// Space for a buffered answer, given back when it is dropped.
pub(crate) struct Reservation {
    node: Shared,
    bytes: u64,
}

impl Reservation {
    /// Reserves `bytes`; none if too many are buffered.
    fn new(node: &Shared, bytes: u64) -> Option<Self> {
        let reserved = node.borrow_mut().buffered.try_take(bytes);
        reserved.then(|| Self {
            node: node.clone(),
            bytes,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.node.borrow_mut().buffered.give_back(self.bytes);
    }
}

/// An answer for the caller.
pub(crate) enum Answer {
    /// It was buffered whole.
    Whole(Box<Parts>, Bytes, Reservation),
    /// Its head was read; the body is streamed.
    Stream(Box<Reply>),
}

impl Answer {
    /// Status of the answer.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Whole(parts, ..) => parts.status.as_u16(),
            Self::Stream(reply) => reply.response.status().as_u16(),
        }
    }
}

/// How the buffering of an answer ended.
pub(crate) enum Buffering {
    /// There is an answer for the caller.
    Answer(Answer),
    /// The answer ended early, or paused for too long.
    Truncated,
    /// The deadline passed.
    Deadline,
}

/// How the reading of a body ended.
enum Progress {
    Whole,
    Truncated,
    Deadline,
}

impl Exchange {
    /// Buffers the answer of a platform's target if it is small and its length is known. Other
    /// answers are streamed.
    pub(crate) async fn buffer(&mut self, mut reply: Reply) -> Buffering {
        let length = reply.response.body().size_hint().exact();
        let small = length.filter(|length| *length <= BUFFER_MAX_BYTES);
        let small = small.filter(|_| !self.node.borrow().dialect.own);
        let reserved = small.and_then(|length| Reservation::new(&self.node, length));
        self.record_answer(reserved.is_some());
        let Some(reserved) = reserved else {
            return Buffering::Answer(Answer::Stream(Box::new(reply)));
        };
        let mut bytes = BytesMut::new();
        let mut idle = Box::pin(tokio::time::sleep(self.body_idle()));
        let progress =
            poll_fn(|context| self.poll_buffer(context, &mut reply, &mut bytes, &mut idle)).await;
        match progress {
            Progress::Whole => {}
            Progress::Truncated => {
                log::info!(
                    id = self.call.id();
                    "answer of the target ended early or paused for too long"
                );
                reply.attempt.end(Ending::Broken { written: true });
                return Buffering::Truncated;
            }
            Progress::Deadline => {
                reply.attempt.end(Ending::Cancelled);
                return Buffering::Deadline;
            }
        }
        let Reply {
            response,
            connection,
            attempt,
        } = reply;
        let mut connection = Some(connection);
        poll_fn(|context| {
            if let Some(connection) = connection.take() {
                self.node.borrow_mut().pool.put(connection, context);
            }
            Poll::Ready(())
        })
        .await;
        let (parts, _) = response.into_parts();
        let sent = self.outgoing.bytes() + self.body.sent_bytes();
        let received = head::bytes(&parts.headers) + length.unwrap_or(0);
        attempt.record_bytes(sent + received);
        attempt.record_delivery(self.call.arrived());
        self.node
            .borrow_mut()
            .record_duration(self.quota, self.call.arrived());
        attempt.end_answered(head::is_server_error(parts.status));
        self.ticket.mark_ran();
        self.call.mark_finished();
        Buffering::Answer(Answer::Whole(Box::new(parts), bytes.freeze(), reserved))
    }

    fn record_answer(&self, buffered: bool) {
        let mut node = self.node.borrow_mut();
        let now = node.clock.now();
        if let Some(quota) = node.quotas.get_mut(self.quota) {
            quota.record_answer(now, buffered);
        }
    }

    fn poll_buffer(
        &mut self,
        context: &mut Context<'_>,
        reply: &mut Reply,
        bytes: &mut BytesMut,
        idle: &mut Pin<Box<Sleep>>,
    ) -> Poll<Progress> {
        let mut driven = false;
        loop {
            match Pin::new(reply.response.body_mut()).poll_frame(context) {
                Poll::Ready(None) => return Poll::Ready(Progress::Whole),
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Progress::Truncated),
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                    reply.connection.record_progress();
                    idle.as_mut().reset(Instant::now() + self.body_idle());
                    driven = false;
                }
                Poll::Pending if !driven => {
                    reply.connection.drive(context);
                    driven = true;
                }
                Poll::Pending => break,
            }
        }
        if self.deadline_timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Progress::Deadline);
        }
        idle.as_mut().poll(context).map(|()| Progress::Truncated)
    }
}
