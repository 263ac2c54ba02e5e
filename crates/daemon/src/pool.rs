//! Connections to targets.

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

/// Connections put back between two looks at the oldest idle one, each of which is a system call.
const KEPT_PER_LOOK: u64 = 16;

/// Bounds on connections to targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Largest head of an answer.
    pub(crate) head: usize,
    /// Most connections to one target.
    pub(crate) connections: usize,
    /// Longest rest of a connection that is used again, if there is a bound.
    pub(crate) rest: Option<Span>,
}

type Driver = http1::Connection<TokioIo<Socket>, Upload>;

/// A connection that carries one request at a time.
///
/// It makes progress only while it is polled by the task that uses it, so an exchange costs no
/// switch between tasks, and dropping the connection closes it at once.
pub(crate) struct Connection {
    sender: http1::SendRequest<Upload>,
    driver: Option<Box<Driver>>,
    socket: Socket,
    seat: Seat,
    /// When it was put back last.
    kept: Option<Instant>,
    /// How long it had rested when it was taken; none for a new one.
    rested: Option<Span>,
}

/// A place among the connections to one target.
struct Seat {
    address: SocketAddr,
    open: Rc<std::cell::Cell<usize>>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// Permission to open one connection.
pub(crate) struct Permit(Seat, usize);

impl Permit {
    /// Opens the connection.
    pub(crate) async fn open(self) -> io::Result<Connection> {
        let Self(seat, head) = self;
        let stream = TcpStream::connect(seat.address).await?;
        stream.set_nodelay(true)?;
        socket::keep_alive(&stream)?;
        let socket = Socket::new(stream);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(head)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            driver: Some(Box::new(driver)),
            socket,
            seat,
            kept: None,
            rested: None,
        })
    }
}

impl Connection {
    /// How long it had rested before this use; none for a new one.
    pub(crate) fn rested(&self) -> Option<Span> {
        self.rested
    }

    fn rests(&self) -> Span {
        let rests = self.kept.map_or(Duration::ZERO, |kept| kept.elapsed());
        Span::from_micros(u64::try_from(rests.as_micros()).unwrap_or(u64::MAX))
    }

    /// Sends one request; bytes may have reached the target as soon as this is polled.
    pub(crate) async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let mut answer = std::pin::pin!(self.sender.send_request(request));
        let driver = &mut self.driver;
        std::future::poll_fn(|context| {
            drive(driver, context);
            answer.as_mut().poll(context)
        })
        .await
    }

    /// Moves bytes in both directions.
    pub(crate) fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, context);
    }

    /// Whether the last exchange left nothing behind: the request was sent whole, the answer was
    /// read whole and no byte followed it.
    fn is_clean(&mut self, context: &mut Context<'_>) -> bool {
        self.drive(context);
        self.driver.is_some() && self.sender.is_ready()
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

#[derive(Default)]
struct Lane {
    idle: VecDeque<Connection>,
    /// Connections put back so far.
    kept: u64,
    open: Rc<std::cell::Cell<usize>>,
}

/// Connections by target address.
#[derive(Default)]
pub(crate) struct Pool {
    lanes: Map<SocketAddr, Lane>,
}

/// What a request gets.
pub(crate) enum Taken {
    /// An idle connection that is still open.
    Idle(Connection),
    /// No connection is idle.
    New(Permit),
    /// The target has as many connections of this VM as it may.
    Full,
}

impl Pool {
    pub(crate) fn take(&mut self, address: SocketAddr, bounds: Bounds) -> Taken {
        let lane = self.lanes.entry(address).or_default();
        // The last one was used last; if it rested for too long, all did.
        while let Some(mut connection) = lane
            .idle
            .pop_back_if(|connection| bounds.rest.is_none_or(|rest| connection.rests() <= rest))
        {
            if connection.socket.is_quiet() {
                connection.rested = Some(connection.rests());
                return Taken::Idle(connection);
            }
        }
        if lane.open.get() >= bounds.connections && lane.idle.pop_front().is_none() {
            return Taken::Full;
        }
        lane.open.set(lane.open.get() + 1);
        let open = Rc::clone(&lane.open);
        Taken::New(Permit(Seat { address, open }, bounds.head))
    }

    /// Closes the idle connections to other targets than those at `addresses`.
    pub(crate) fn retain(&mut self, addresses: &Set<SocketAddr>) {
        for (address, lane) in &mut self.lanes {
            if !addresses.contains(address) {
                lane.idle.clear();
            }
        }
        self.lanes.retain(|_, lane| lane.open.get() > 0);
    }

    /// Keeps a connection if its last exchange left nothing behind, else closes it.
    pub(crate) fn put(&mut self, mut connection: Connection, context: &mut Context<'_>) {
        let address = connection.seat.address;
        let clean = connection.is_clean(context);
        let lane = self.lanes.entry(address).or_default();
        // The oldest connections are used last and would otherwise stay after the target closed
        // them.
        lane.kept = lane.kept.wrapping_add(1);
        let stale = |oldest: &Connection| !oldest.socket.is_quiet();
        if lane.kept.is_multiple_of(KEPT_PER_LOOK) && lane.idle.front().is_some_and(stale) {
            lane.idle.pop_front();
        }
        if clean {
            connection.kept = Some(Instant::now());
            lane.idle.push_back(connection);
        }
    }
}
