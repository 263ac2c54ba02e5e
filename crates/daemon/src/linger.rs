//! Lingering close of callers' connections.
//!
//! When a closed socket gets further bytes, or has unread ones, the kernel answers with a reset, which
//! destroys what the caller has not read yet of the answers before. So only the writing side is closed
//! at first, and the socket once the caller has closed its side.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::framing::Scanner;
use crate::metrics::Count;
use crate::node::Shared;

/// Most connections whose callers may still read an answer. Each takes a file descriptor and the
/// buffers of the kernel.
pub(crate) const LINGERING_MAX: u64 = 256;

/// Most bytes that are dropped after one read.
const DISCARD_BYTES: usize = 4_096;

/// Interval of the checks whether a caller, whose bytes are left unread, has closed its side.
const POLL: Duration = Duration::from_millis(50);

/// What happens to bytes that the caller sends after the last answer.
pub(crate) enum Rest<'a> {
    /// They are read and dropped: they come behind an answer that announced the end of the connection.
    Discard,
    /// Only the rest of a body is read, so that the caller can send it. What is behind it stays unread,
    /// as the caller may send such a request again.
    Leave(&'a mut Scanner),
}

/// One of the connections that linger.
struct Place(Shared);

impl Place {
    /// Takes a place; none if [`LINGERING_MAX`] connections linger.
    fn take(node: &Shared) -> Option<Self> {
        let taken = node.borrow_mut().lingering.try_take(1);
        taken.then(|| Self(node.clone()))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.borrow_mut().lingering.give_back(1);
    }
}

/// Closes the writing side of `stream` and waits until its caller has closed the other one, at most
/// until `end`.
pub(crate) async fn close(node: &Shared, stream: &TcpStream, rest: Rest<'_>, end: Instant) {
    // Fails if the caller has reset the connection.
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() || end <= Instant::now() {
        return;
    }
    let Some(_place) = Place::take(node) else {
        node.borrow_mut().metrics.add(Count::LingerRefused, 1);
        return;
    };
    let ended = async {
        match rest {
            Rest::Discard => while read(stream, DISCARD_BYTES, |_| ()).await {},
            Rest::Leave(scanner) => {
                if discard_body(stream, scanner).await {
                    wait_for_end(stream).await;
                }
            }
        }
    };
    if tokio::time::timeout_at(end, ended).await.is_err() {
        node.borrow_mut().metrics.add(Count::LingerExpired, 1);
        log::debug!("caller did not close its side of the connection in time");
    }
}

/// Reads the rest of a body and drops it. Returns false if the caller closes or resets the connection
/// before.
async fn discard_body(stream: &TcpStream, scanner: &mut Scanner) -> bool {
    loop {
        let rest = usize::try_from(scanner.rest_of_body()).unwrap_or(usize::MAX);
        if rest == 0 {
            return true;
        }
        let scan = |bytes: &[u8]| {
            scanner.scan(bytes);
        };
        if !read(stream, rest.min(DISCARD_BYTES), scan).await {
            return false;
        }
    }
}

/// Reads up to `most` bytes and passes them on. Returns false once the caller has closed or reset the
/// connection.
async fn read(stream: &TcpStream, most: usize, use_bytes: impl FnOnce(&[u8])) -> bool {
    tokio::task::consume_budget().await;
    if stream.readable().await.is_err() {
        return false;
    }
    let mut bytes = [0; DISCARD_BYTES];
    match stream.try_read(&mut bytes[..most]) {
        Ok(0) => false,
        Ok(read) => {
            use_bytes(&bytes[..read]);
            true
        }
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Waits until the caller closes or resets the connection, and reads nothing.
async fn wait_for_end(stream: &TcpStream) {
    while let Ok(ready) = stream.ready(Interest::READABLE).await {
        let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
        let is_open = match peeked {
            Ok(read) => read > 0,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        if ready.is_read_closed() || !is_open {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}
