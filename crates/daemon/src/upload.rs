//! Streams the bodies of requests to targets and keeps small ones for another attempt.

use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Largest body that is kept for another attempt. A larger body is only streamed, and its request
/// cannot be sent again once a target has taken a part of the body.
const REPLAY_BYTES: usize = 65_536;

/// Why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The caller paused for too long.
    Slow,
    /// The caller's connection or its framing broke.
    Broken,
    /// Parts that this attempt needs are no longer kept.
    Discarded,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Slow => {
                "the caller paused in the body of its request for longer than body_idle_ms"
            }
            Self::Broken => "the caller's connection or its framing broke within the body",
            Self::Discarded => "the start of the body is no longer kept for another attempt",
        })
    }
}

impl std::error::Error for Fault {}

/// The body of a caller's request, read once for all attempts.
pub(crate) struct Source {
    body: Incoming,
    /// The parts read so far; empty once they exceed `REPLAY_BYTES`.
    kept: Vec<Bytes>,
    /// Bytes of all parts read so far.
    read_bytes: usize,
    /// Parts read so far.
    read_parts: usize,
    ended: bool,
    length: Option<u64>,
    idle: Duration,
    idle_timer: Option<Pin<Box<Sleep>>>,
    fault: Option<Fault>,
}

/// How the end of a request's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    None,
    /// Its stated length is zero.
    Zero,
    /// Its length is stated.
    Length,
    /// It is sent in chunks.
    Chunks,
}

/// A body that several attempts may read.
#[derive(Clone)]
pub(crate) struct Shared {
    source: Option<Rc<RefCell<Source>>>,
    framing: Framing,
}

impl Shared {
    /// Wraps the `body` of a request with `headers`, in which the caller may pause for at most `idle`.
    pub(crate) fn new(body: Incoming, headers: &HeaderMap, idle: Duration) -> Self {
        if body.is_end_stream() {
            let framing = if headers.contains_key(CONTENT_LENGTH) {
                Framing::Zero
            } else {
                Framing::None
            };
            return Self {
                source: None,
                framing,
            };
        }
        let length = body.size_hint().exact();
        let framing = length.map_or(Framing::Chunks, |_| Framing::Length);
        let source = Rc::new(RefCell::new(Source {
            body,
            kept: Vec::new(),
            read_bytes: 0,
            read_parts: 0,
            ended: false,
            length,
            idle,
            idle_timer: None,
            fault: None,
        }));
        Self {
            source: Some(source),
            framing,
        }
    }

    /// An empty body.
    pub(crate) fn empty() -> Self {
        Self {
            source: None,
            framing: Framing::None,
        }
    }

    /// Upper bound on the bytes that are kept for another attempt.
    pub(crate) fn kept_max(&self) -> u64 {
        self.source.as_ref().map_or(0, |source| {
            let most = u64::try_from(REPLAY_BYTES).unwrap_or(u64::MAX);
            source
                .borrow()
                .length
                .map_or(most, |length| length.min(most))
        })
    }

    /// How the end of the body is marked.
    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Creates a reader of the whole body for one attempt.
    pub(crate) fn upload(&self) -> Upload {
        Upload {
            source: self.clone(),
            next: 0,
        }
    }

    /// Whether another attempt can read the whole body.
    pub(crate) fn is_replayable(&self) -> bool {
        self.source.as_ref().is_none_or(|source| {
            let source = source.borrow();
            source.fault.is_none() && source.kept.len() == source.read_parts
        })
    }

    /// Upper bound on the bytes of the body that one attempt has sent.
    pub(crate) fn sent_bytes(&self) -> u64 {
        let bytes = self
            .source
            .as_ref()
            .map_or(0, |source| source.borrow().read_bytes);
        u64::try_from(bytes).unwrap_or(u64::MAX / 2)
    }

    /// Why the body ended early, if it did.
    pub(crate) fn fault(&self) -> Option<Fault> {
        self.source
            .as_ref()
            .and_then(|source| source.borrow().fault)
    }
}

impl Source {
    /// Polls for the part with number `index`; none at the end of the body.
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
        index: usize,
    ) -> Poll<Option<Result<Bytes, Fault>>> {
        if index < self.read_parts {
            let part = self.kept.get(index).cloned();
            return Poll::Ready(Some(part.ok_or(Fault::Discarded)));
        }
        if let Some(fault) = self.fault {
            return Poll::Ready(Some(Err(fault)));
        }
        while !self.ended {
            match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Pending => return self.poll_idle(context),
                Poll::Ready(None) => self.ended = true,
                Poll::Ready(Some(Err(error))) => {
                    log::debug!(cause:% = error; "reading the body of a caller's request failed");
                    return self.fail(Fault::Broken);
                }
                Poll::Ready(Some(Ok(frame))) => {
                    self.idle_timer = None;
                    // Trailers of requests are dropped: no target of the catalogue asks for them.
                    if let Ok(part) = frame.into_data() {
                        self.keep(&part);
                        return Poll::Ready(Some(Ok(part)));
                    }
                }
            }
        }
        Poll::Ready(None)
    }

    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        let idle = self.idle;
        let idle_timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(Instant::now() + idle)));
        if idle_timer.as_mut().poll(context).is_ready() {
            return self.fail(Fault::Slow);
        }
        Poll::Pending
    }

    fn fail(&mut self, fault: Fault) -> Poll<Option<Result<Bytes, Fault>>> {
        self.fault = Some(fault);
        Poll::Ready(Some(Err(fault)))
    }

    fn keep(&mut self, part: &Bytes) {
        let whole = self.kept.len() == self.read_parts;
        self.read_parts += 1;
        self.read_bytes = self.read_bytes.saturating_add(part.len());
        if whole && self.read_bytes <= REPLAY_BYTES {
            self.kept.push(part.clone());
        } else {
            self.kept.clear();
        }
    }
}

/// The body of one attempt.
pub(crate) struct Upload {
    source: Shared,
    next: usize,
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let Some(source) = self.source.source.clone() else {
            return Poll::Ready(None);
        };
        let polled = source.borrow_mut().poll_part(context, self.next);
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            self.next += 1;
        }
        polled.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        self.source.source.as_ref().is_none_or(|source| {
            let source = source.borrow();
            source.fault.is_none()
                && self.next == source.read_parts
                && (source.ended || source.body.is_end_stream())
        })
    }

    fn size_hint(&self) -> SizeHint {
        let Some(source) = &self.source.source else {
            return SizeHint::with_exact(0);
        };
        let length = source.borrow().length;
        length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
