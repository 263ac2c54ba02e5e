//! The byte stream of a target, which can still be checked while hyper owns a handle to it.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Keep-alive probes without an answer after which the kernel closes a connection.
const KEEP_ALIVE_RETRIES: u32 = 2;
/// Time after which the kernel closes a connection whose sent bytes were not acknowledged.
const UNCONFIRMED: Duration = Duration::from_secs(3);

/// Makes the kernel close a connection whose other end fell silent without a reset.
pub(crate) fn keep_alive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE)
        .with_interval(KEEP_ALIVE)
        .with_retries(KEEP_ALIVE_RETRIES);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(UNCONFIRMED))
}

/// Takes a unit of the budget of the current task; pending once it has to let other tasks run, whatever
/// a target has sent.
pub(crate) fn poll_turn(context: &mut Context<'_>) -> Poll<()> {
    pin!(tokio::task::consume_budget()).poll(context)
}

/// A connection to a target.
///
/// It bounds the bytes that a target may send without a part of a body for the caller: those of heads,
/// interim answers, the framing of chunks, and trailers.
#[derive(Clone)]
pub(crate) struct Socket {
    stream: Rc<TcpStream>,
    bound: usize,
    /// How many bytes may be read until [`Socket::record_progress`].
    left: Rc<Cell<usize>>,
}

impl Socket {
    /// A connection on which at most `bound` bytes are read without progress.
    pub(crate) fn new(stream: TcpStream, bound: usize) -> Self {
        Self {
            stream: Rc::new(stream),
            bound,
            left: Rc::new(Cell::new(bound)),
        }
    }

    /// Records that a request was sent, or that a part of the body of its answer was taken.
    pub(crate) fn record_progress(&self) {
        self.left.set(self.bound);
    }

    /// Makes the end of the connection a reset, which discards what the target has not got yet.
    pub(crate) fn discard_unsent(&self) {
        // The call fails if the connection is already closed, which does no harm.
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Whether the connection is open and has no unread bytes from the target.
    pub(crate) fn is_quiet(&self) -> bool {
        // Peeks in the kernel's buffer, as the event loop may not yet know what arrived last.
        let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit(); 1]);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.left.get() == 0 {
            let cause = "the target sent too many bytes without a part of an answer's body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        // The direct reads below use up nothing of the task's budget.
        ready!(poll_turn(context));
        loop {
            match self.stream.try_read_buf(buffer) {
                Ok(read) => {
                    self.left.set(self.left.get().saturating_sub(read));
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
            if self.stream.poll_read_ready(context)?.is_pending() {
                return Poll::Pending;
            }
        }
    }
}

impl Socket {
    fn write(
        &self,
        context: &mut Context<'_>,
        mut attempt: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match attempt(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
            if self.stream.poll_write_ready(context)?.is_pending() {
                return Poll::Pending;
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
