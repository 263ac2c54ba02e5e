//! The byte stream of a caller: bounded waits, contradictory heads, answers that are cut.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Outcome;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::framing::Scanner;
use crate::inflight;
use crate::quota::Pass;
use crate::refusal;

/// What the request path and the byte stream of one caller tell each other.
#[derive(Default)]
pub(crate) struct Watch {
    /// Requests whose answer hyper has not taken whole.
    active: Cell<u64>,
    /// Whether bytes of an answer may be left in hyper's buffer.
    pending: Cell<bool>,
    /// Requests seen.
    seen: Cell<u64>,
    /// Number of the request whose lengths contradict each other.
    conflict: Cell<Option<u64>>,
    /// Whether an answer was cut, so that the connection must not end cleanly.
    cut: Cell<bool>,
    /// When the caller of the newest request stops waiting.
    deadline: Cell<Option<Instant>>,
}

impl Watch {
    /// Marks the answer of the request as cut.
    pub(crate) fn cut(&self) {
        self.cut.set(true);
    }

    /// Bounds the writing of the answer.
    pub(crate) fn limit(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }
}

/// A request between its head and the last part of its answer.
pub(crate) struct Active {
    pub(crate) watch: Rc<Watch>,
    /// Whether the lengths in its head contradict each other.
    pub(crate) conflict: bool,
    pub(crate) in_flight: inflight::Guard,
    /// Set once the limits of the entry let the request in.
    pub(crate) pass: Option<Pass>,
}

impl Active {
    pub(crate) fn new(watch: &Rc<Watch>, in_flight: inflight::Guard) -> Self {
        watch.active.set(watch.active.get() + 1);
        watch.pending.set(true);
        let number = watch.seen.get();
        watch.seen.set(number + 1);
        Self {
            watch: Rc::clone(watch),
            conflict: watch.conflict.get() == Some(number),
            in_flight,
            pass: None,
        }
    }

    /// Counts what became of the request.
    pub(crate) fn count(&self, outcome: Outcome) {
        if let Some(pass) = &self.pass {
            pass.count(outcome);
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.watch.active.set(self.watch.active.get() - 1);
    }
}

/// The connection of a caller.
pub(crate) struct Stream {
    inner: TcpStream,
    watch: Rc<Watch>,
    scanner: Scanner,
    idle: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
    /// Answer in place of hyper's own answer to a head that does not hold.
    refusal: Bytes,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, watch: Rc<Watch>, head: usize, idle: Duration) -> Self {
        Self {
            inner,
            watch,
            scanner: Scanner::new(head),
            idle,
            stalled: None,
            refusal: Bytes::new(),
        }
    }

    /// Bounds a write that the caller does not take.
    fn bounded(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if polled.is_ready() {
            self.stalled = None;
            return polled;
        }
        let (idle, watch) = (self.idle, &self.watch);
        let stalled = self.stalled.get_or_insert_with(|| {
            let idle = Instant::now() + idle;
            let end = watch
                .deadline
                .get()
                .map_or(idle, |deadline| deadline.min(idle));
            Box::pin(tokio::time::sleep_until(end))
        });
        if stalled.as_mut().poll(context).is_ready() {
            self.watch.cut();
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    /// Whether `bytes` come from hyper itself and not from the request path.
    fn unasked(&self, bytes: &[u8]) -> bool {
        !self.watch.pending.get() && !bytes.is_empty()
    }

    /// Replaces hyper's bare refusal by one that has a code.
    fn replace(&mut self, bytes: &[u8]) {
        let status = bytes.get(9..12).unwrap_or_default();
        let code = match status {
            b"414" | b"431" => Code::HeadTooLarge,
            _ if self.watch.conflict.get().is_some() => Code::LengthConflict,
            _ => Code::BadRequest,
        };
        // The head was not read, so nothing is known of the ticket that it may have carried.
        self.refusal = refusal::raw(code, Outcome::Unknown);
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.watch.cut.get() {
            // A reset cannot be taken for the end of an answer without a length. The connection
            // may be gone already.
            let _ = SockRef::from(&self.inner).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if polled.is_ready()
            && let Some(number) = self.scanner.read(&buffer.filled()[before..])
        {
            self.watch.conflict.set(Some(number));
        }
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unasked(bytes) {
            self.replace(bytes);
            return Poll::Ready(Ok(bytes.len()));
        }
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.bounded(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(first) = slices.iter().find(|slice| !slice.is_empty())
            && self.unasked(first)
        {
            self.replace(first);
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.bounded(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.refusal.is_empty() {
            let rest = self.refusal.clone();
            let polled = Pin::new(&mut self.inner).poll_write(context, &rest);
            match self.bounded(context, polled) {
                Poll::Ready(Ok(written)) => self.refusal.advance(written),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        // hyper flushes only after its buffer is empty.
        if self.watch.active.get() == 0 {
            self.watch.pending.set(false);
        }
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.watch.cut.get() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
