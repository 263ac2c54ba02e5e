//! A pool of connections to targets, by address.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oriolecleat_core::map::Map;
use oriolecleat_core::map::Set;
use oriolecleat_core::time::Span;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::socket;
use crate::socket::Socket;
use crate::upload::Upload;

/// Connections returned between two checks of the oldest idle one. Each check is a system call.
const RETURNS_PER_STALE_CHECK: u64 = 16;

/// Bytes that a target may send without a part of a body for the caller, in heads of the largest size:
/// one for the head and what is read with it, one for interim answers.
const UNTAKEN_HEADS: usize = 2;

/// Bounds on connections to targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Largest head of an answer in bytes.
    pub(crate) head: usize,
    /// Most connections of this VM to one target.
    pub(crate) connections: usize,
    /// Longest idle time of a connection that is used again, if it is bounded.
    pub(crate) idle: Option<Span>,
    /// Whether no connection is used again.
    pub(crate) only_new: bool,
}

type Driver = http1::Connection<TokioIo<Socket>, Upload>;

/// A connection that carries one request at a time.
///
/// It makes progress only while it is polled by the task that uses it, so an exchange costs no
/// switch between tasks, and dropping the connection closes it at once. If its exchange has not ended,
/// the connection is reset: bytes of a request that nobody waits for any more would otherwise still reach
/// the target, seconds later if the path to it is interrupted.
pub(crate) struct Connection {
    sender: http1::SendRequest<Upload>,
    driver: Option<Box<Driver>>,
    socket: Socket,
    reservation: Reservation,
    /// Whether a request was sent and the connection not yet returned to the pool.
    is_in_use: bool,
    /// When it was last returned to the pool.
    idle_since: Option<Instant>,
    /// Its idle time when it was last taken from the pool; none for a new one.
    last_idle: Option<Span>,
}

/// Counts one connection to a target as open until it is dropped.
struct Reservation {
    address: SocketAddr,
    open: Rc<std::cell::Cell<usize>>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// Permission to open one connection whose answers have heads of at most this many bytes.
pub(crate) struct Permit(Reservation, usize);

impl Permit {
    /// Opens the connection.
    pub(crate) async fn open(self) -> io::Result<Connection> {
        let Self(reservation, head) = self;
        let stream = TcpStream::connect(reservation.address).await?;
        stream.set_nodelay(true)?;
        socket::keep_alive(&stream)?;
        let socket = Socket::new(stream, UNTAKEN_HEADS * head);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(head)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            driver: Some(Box::new(driver)),
            socket,
            reservation,
            is_in_use: false,
            idle_since: None,
            last_idle: None,
        })
    }
}

impl Connection {
    /// How long it had been idle before this use; none for a new one.
    pub(crate) fn last_idle(&self) -> Option<Span> {
        self.last_idle
    }

    fn idle_time(&self) -> Span {
        let idle = self
            .idle_since
            .map_or(Duration::ZERO, |since| since.elapsed());
        Span::from_micros(u64::try_from(idle.as_micros()).unwrap_or(u64::MAX))
    }

    /// Sends one request. Once this was polled, bytes may have reached the target.
    pub(crate) async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.is_in_use = true;
        self.record_progress();
        let mut answer = std::pin::pin!(self.sender.send_request(request));
        let driver = &mut self.driver;
        std::future::poll_fn(|context| {
            drive(driver, context);
            answer.as_mut().poll(context)
        })
        .await
    }

    /// Records that a part of the body of an answer was taken.
    pub(crate) fn record_progress(&self) {
        self.socket.record_progress();
    }

    /// Reads and writes what is possible without waiting.
    pub(crate) fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, context);
    }

    /// Whether the connection can carry another request: the last one was sent whole, its answer
    /// was read whole and no byte followed it.
    fn is_clean(&mut self, context: &mut Context<'_>) -> bool {
        self.drive(context);
        self.driver.is_some() && self.sender.is_ready()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_in_use {
            self.socket.discard_unsent();
        }
    }
}

fn drive(driver: &mut Option<Box<Driver>>, context: &mut Context<'_>) {
    if let Some(running) = driver
        && let Poll::Ready(ended) = Pin::new(&mut **running).poll(context)
    {
        if let Err(error) = ended {
            log::debug!(cause:% = error; "connection to a target ended");
        }
        *driver = None;
    }
}

/// The connections to one address.
#[derive(Default)]
struct Connections {
    idle: VecDeque<Connection>,
    /// Connections returned so far.
    returned: u64,
    open: Rc<std::cell::Cell<usize>>,
}

/// Idle connections by target address, and the number of open ones.
#[derive(Default)]
pub(crate) struct Pool {
    by_address: Map<SocketAddr, Connections>,
}

/// What the pool gives to a request.
pub(crate) enum Checkout {
    /// An idle connection that is still open.
    Idle(Connection),
    /// No connection is idle: a new one may be opened.
    New(Permit),
    /// The limit on connections of this VM to the target is reached.
    Full,
}

impl Pool {
    /// Takes the idle connection to `address` that was used last, or the permit for a new one.
    pub(crate) fn take(&mut self, address: SocketAddr, bounds: Bounds) -> Checkout {
        let connections = self.by_address.entry(address).or_default();
        // The last connection was returned last; if it was idle for too long, all were.
        let is_usable = |connection: &mut Connection| {
            let idle = bounds.idle;
            !bounds.only_new && idle.is_none_or(|idle| connection.idle_time() <= idle)
        };
        while let Some(mut connection) = connections.idle.pop_back_if(is_usable) {
            if connection.socket.is_quiet() {
                connection.last_idle = Some(connection.idle_time());
                return Checkout::Idle(connection);
            }
        }
        // The idle connections that are left are not to be used: at the limit, closing the oldest one
        // makes room for a new one.
        if connections.open.get() >= bounds.connections && connections.idle.pop_front().is_none() {
            return Checkout::Full;
        }
        connections.open.set(connections.open.get() + 1);
        let open = Rc::clone(&connections.open);
        Checkout::New(Permit(Reservation { address, open }, bounds.head))
    }

    /// Closes the idle connections to all addresses but `addresses`.
    pub(crate) fn retain(&mut self, addresses: &Set<SocketAddr>) {
        for (address, connections) in &mut self.by_address {
            if !addresses.contains(address) {
                connections.idle.clear();
            }
        }
        self.by_address
            .retain(|_, connections| connections.open.get() > 0);
    }

    /// Returns a connection to the pool if it can carry another request, else closes it.
    pub(crate) fn put(&mut self, mut connection: Connection, context: &mut Context<'_>) {
        let address = connection.reservation.address;
        connection.is_in_use = false;
        let clean = connection.is_clean(context);
        let connections = self.by_address.entry(address).or_default();
        // The oldest connections are used only after all others, so without this check they would
        // stay after the target closed them.
        connections.returned = connections.returned.wrapping_add(1);
        let stale = |oldest: &Connection| !oldest.socket.is_quiet();
        if connections.returned.is_multiple_of(RETURNS_PER_STALE_CHECK)
            && connections.idle.front().is_some_and(stale)
        {
            connections.idle.pop_front();
        }
        if clean {
            connection.idle_since = Some(Instant::now());
            connections.idle.push_back(connection);
        }
    }
}
