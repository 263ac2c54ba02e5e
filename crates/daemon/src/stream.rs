//! The byte stream of a caller: bounds the time of writes, detects heads with contradictory
//! lengths or a fragment, replaces hyper's own refusals and resets the connection after a truncated answer.

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

use crate::framing::Defect;
use crate::framing::Scanner;
use crate::linger;
use crate::linger::Rest;
use crate::node::Shared;
use crate::pipeline;
use crate::refusal;

mod state;

pub(crate) use state::State;
pub(crate) use state::Tracker;
pub(crate) use state::Turn;

/// The connection of a caller.
pub(crate) struct Stream {
    inner: TcpStream,
    state: Rc<State>,
    scanner: Scanner,
    /// Bytes of requests behind the one that hyper processes; none if nothing is read ahead.
    ahead: Option<pipeline::Buffer>,
    /// Fires when the connection is checked for a reset, while it is not read.
    watch_timer: Option<Pin<Box<Sleep>>>,
    idle: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Sent in place of hyper's own answer to a malformed head.
    refusal: Bytes,
}

impl Stream {
    pub(crate) fn new(
        inner: TcpStream,
        state: Rc<State>,
        ahead: Option<pipeline::Buffer>,
        head: usize,
        idle: Duration,
    ) -> Self {
        Self {
            inner,
            state,
            scanner: Scanner::new(head),
            ahead,
            watch_timer: None,
            idle,
            write_timer: None,
            refusal: Bytes::new(),
        }
    }

    /// Whether hyper needs no byte until it has finished a request that it has.
    fn is_busy(&self) -> bool {
        self.scanner.is_after_bodiless() && self.scanner.heads() > self.state.finished()
    }

    /// Reads requests ahead while hyper is busy. Ready with the end of the stream or its error, of
    /// which hyper has to know at once; the end waits for an answer that the caller still gets.
    fn poll_ahead(
        &mut self,
        context: &mut Context<'_>,
        ahead: &pipeline::Buffer,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let held = ahead.has_ended() && (!ahead.is_empty() || self.state.owed.get());
            let room = ahead.room().min(buffer.remaining());
            if !held && room > 0 && ahead.reserve(room) {
                let mut part = buffer.take(room);
                let polled = Pin::new(&mut self.inner).poll_read(context, &mut part);
                let read = part.filled();
                ahead.append(read, room);
                match polled {
                    Poll::Ready(Ok(())) if read.is_empty() => {
                        ahead.set_ended();
                        if ahead.is_empty() && !self.state.owed.get() {
                            return polled;
                        }
                    }
                    Poll::Ready(Ok(())) => {}
                    Poll::Ready(Err(_)) | Poll::Pending => return polled,
                }
            } else {
                let watch = Instant::now() + pipeline::WATCH;
                let timer = self
                    .watch_timer
                    .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(watch)));
                std::task::ready!(timer.as_mut().poll(context));
                timer.as_mut().reset(watch);
                if let Some(error) = self.inner.take_error()? {
                    return Poll::Ready(Err(error));
                }
            }
        }
    }

    /// Gives hyper bytes up to the end of the first request without a body, and keeps the rest.
    fn poll_one(
        &mut self,
        context: &mut Context<'_>,
        ahead: &pipeline::Buffer,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !ahead.is_empty() {
            let defect = ahead.hand_over(buffer, &mut self.scanner);
            self.record_scan(defect);
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if polled.is_ready() {
            let bytes = &buffer.filled()[before..];
            let scan = self.scanner.scan_one(bytes);
            self.record_scan(scan.defect);
            let (_, rest) = bytes.split_at(scan.length);
            if !rest.is_empty() {
                if ahead.reserve(rest.len()) {
                    ahead.append(rest, rest.len());
                    buffer.set_filled(before + scan.length);
                } else {
                    let defect = self.scanner.scan(rest);
                    self.record_scan(defect);
                }
            }
        }
        polled
    }

    /// Records what a scan of the bytes that hyper gets has found.
    fn record_scan(&self, defect: Option<(u64, Defect)>) {
        if defect.is_some() {
            self.state.defect.set(defect);
        }
        let ends = self.scanner.is_after_bodiless();
        self.state.given.set(ends.then(|| self.scanner.heads()));
    }

    /// Closes the connection, on which hyper has finished, so that the caller can read the last answer
    /// for as long as `linger` after it was written.
    pub(crate) async fn close(mut self, node: &Shared, linger: Duration) {
        self.ahead = None;
        let Some(written_at) = self.state.written_at.get() else {
            return;
        };
        if self.state.truncated.get() {
            return;
        }
        let rest = if self.state.closing.get() {
            Rest::Discard
        } else {
            Rest::Leave(&mut self.scanner)
        };
        linger::close(node, &self.inner, rest, written_at + linger).await;
    }

    /// Fails a write that the caller has not accepted within the limits.
    fn bound_write(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if polled.is_ready() {
            self.write_timer = None;
            return polled;
        }
        let (idle, state) = (self.idle, &self.state);
        let write_timer = self.write_timer.get_or_insert_with(|| {
            let idle = Instant::now() + idle;
            let end = state
                .deadline
                .get()
                .map_or(idle, |deadline| deadline.min(idle));
            Box::pin(tokio::time::sleep_until(end))
        });
        if write_timer.as_mut().poll(context).is_ready() {
            self.state.mark_truncated();
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    /// Whether hyper wrote `bytes` by itself, so that they come from no answer of the request path.
    fn is_from_hyper(&self, bytes: &[u8]) -> bool {
        !self.state.answer_pending.get() && !bytes.is_empty()
    }

    /// Replaces hyper's bare refusal with one that has a code and an outcome.
    fn replace_refusal(&mut self, bytes: &[u8]) {
        let status = bytes.get(9..12).unwrap_or_default();
        let code = match status {
            b"414" | b"431" => Code::HeadTooLarge,
            _ if matches!(self.state.defect.get(), Some((_, Defect::Lengths))) => {
                Code::LengthConflict
            }
            _ => Code::BadRequest,
        };
        // The head was not read, so the state of the ticket that it may carry is unknown.
        self.refusal = refusal::raw(code, Outcome::Unknown);
        self.state.set_closing(true);
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.state.end_written();
        if self.state.truncated.get() {
            // Unlike a close, a reset cannot be taken for the end of an answer without a length.
            // The call fails if the connection is already closed, which does no harm.
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
        if let Some(ahead) = self.ahead.clone() {
            return if self.is_busy() {
                self.poll_ahead(context, &ahead, buffer)
            } else {
                self.watch_timer = None;
                self.poll_one(context, &ahead, buffer)
            };
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if polled.is_ready()
            && let Some(defect) = self.scanner.scan(&buffer.filled()[before..])
        {
            self.state.defect.set(Some(defect));
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
        if self.is_from_hyper(bytes) {
            self.replace_refusal(bytes);
            return Poll::Ready(Ok(bytes.len()));
        }
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.bound_write(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(first) = slices.iter().find(|slice| !slice.is_empty())
            && self.is_from_hyper(first)
        {
            self.replace_refusal(first);
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.bound_write(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.refusal.is_empty() {
            let rest = self.refusal.clone();
            let polled = Pin::new(&mut self.inner).poll_write(context, &rest);
            match self.bound_write(context, polled) {
                Poll::Ready(Ok(written)) => {
                    self.refusal.advance(written);
                    self.state.written_at.set(Some(Instant::now()));
                }
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        // hyper flushes the stream only once its own buffer is empty.
        self.state.end_written();
        if self.state.unfinished.get() == 0 && self.state.answer_pending.replace(false) {
            self.state.written_at.set(Some(Instant::now()));
        }
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.truncated.get() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
