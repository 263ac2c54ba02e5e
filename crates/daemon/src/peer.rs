//! Links to peers: WebSocket connections with the handshake and frames of `oriolecleat-wire`.
//!
//! Each link has one task. It moves frames between its socket and the node; the queue to it is
//! bounded. The link of a peer that reads too slowly is closed when its queue is full; the peer
//! catches up over the next link.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::SinkExt;
use futures_util::StreamExt;
use oriolecleat_core::gossip::Delivery;
use oriolecleat_core::gossip::Link;
use oriolecleat_core::gossip::Remote;
use oriolecleat_core::message::Message;
use oriolecleat_wire::OFFERS_PROTOCOL;
use oriolecleat_wire::frame;
use oriolecleat_wire::frame::Frame;
use oriolecleat_wire::frame::Opener;
use oriolecleat_wire::frame::Sealer;
use oriolecleat_wire::handshake::Acceptor;
use oriolecleat_wire::handshake::Dialer;
use oriolecleat_wire::handshake::Established;
use oriolecleat_wire::handshake::Hello;
use oriolecleat_wire::handshake::Key;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::metrics::Count;
use crate::node::Shared;

/// Messages that wait for a slow peer before its link is closed.
const QUEUE_MESSAGES: usize = 256;
/// Incoming connections that have not completed the handshake and so are not authenticated; more
/// wait in the listener's backlog.
const MAX_HANDSHAKES: usize = 32;
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;
const WRITE_TIMEOUT_MS: u64 = 5_000;
const ACCEPT_RETRY_MS: u64 = 100;
/// Time until a message is written after which the link counts as slow.
const SLOW_WRITE_MS: u64 = 500;

type Socket = WebSocketStream<TcpStream>;

/// Why a link was not established or ended.
type Failure = Box<dyn std::error::Error>;

/// A message with the time at which it was queued.
type Queued = (Instant, Rc<Message>);

/// Send queue of the task of a link.
pub(crate) type Queue = mpsc::Sender<Queued>;

/// Accepts links until the process ends.
pub(crate) async fn serve(node: Shared, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let permit = Arc::clone(&handshakes).acquire_owned().await;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(cause:% = error; "accepting a link failed");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let accepted = with_handshake_timeout(accept(&node, stream)).await;
            drop(permit);
            match accepted {
                Ok((socket, established)) => run(node, socket, established, None).await,
                Err(error) => log::warn!(cause:% = error; "handshake of an incoming link failed"),
            }
        });
    }
}

/// Dials a peer and runs the link.
pub(crate) async fn dial(node: Shared, address: SocketAddr) {
    match with_handshake_timeout(connect(&node, address)).await {
        Ok((socket, established)) => run(node, socket, established, Some(address)).await,
        Err(error) => {
            log::debug!(address:% = address, cause:% = error; "connecting to a peer failed");
            node.borrow_mut().record_dial_failure(address);
        }
    }
}

async fn with_handshake_timeout<T>(
    handshake: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    tokio::time::timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), handshake).await?
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(frame::MAX_BYTES))
        .max_frame_size(Some(frame::MAX_BYTES))
}

fn identity(node: &Shared) -> (Key, Hello) {
    let mut node = node.borrow_mut();
    let nonce = node.rng.random();
    let settings = &node.settings;
    let key = Key::new(settings.fleet_key.as_bytes());
    let (fleet, vm, center) = (&settings.fleet, &settings.vm, &settings.data_center);
    (key, Hello::new(fleet, vm, node.incarnation, center, nonce))
}

async fn connect(node: &Shared, address: SocketAddr) -> Result<(Socket, Established), Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
    let (key, own) = identity(node);
    let (dialer, first) = Dialer::start(key, own);
    write(&mut socket, first).await?;
    let second = read(&mut socket).await?;
    let (established, third) = dialer.receive(&second)?;
    write(&mut socket, third).await?;
    Ok((socket, established))
}

async fn accept(node: &Shared, stream: TcpStream) -> Result<(Socket, Established), Failure> {
    stream.set_nodelay(true)?;
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config())).await?;
    let first = read(&mut socket).await?;
    let (key, own) = identity(node);
    let (acceptor, second) = Acceptor::start(key, &own, &first)?;
    write(&mut socket, second).await?;
    let third = read(&mut socket).await?;
    Ok((socket, acceptor.receive(&third)?))
}

async fn write(socket: &mut Socket, bytes: Vec<u8>) -> Result<(), Failure> {
    Ok(socket.send(tungstenite::Message::binary(bytes)).await?)
}

async fn read(socket: &mut Socket) -> Result<bytes::Bytes, Failure> {
    match socket.next().await {
        Some(Ok(tungstenite::Message::Binary(bytes))) => Ok(bytes),
        Some(Ok(_)) => {
            Err("expected a binary handshake message, but the peer sent another kind".into())
        }
        Some(Err(error)) => Err(error.into()),
        None => Err("the peer closed the connection".into()),
    }
}

async fn run(node: Shared, socket: Socket, established: Established, dialled: Option<SocketAddr>) {
    let Established {
        peer,
        sealer,
        opener,
        protocol,
    } = established;
    let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
    let vm = peer.vm.clone();
    log::info!(vm:% = vm, protocol; "link is up");
    let remote = Remote {
        vm: peer.vm,
        incarnation: peer.incarnation,
        data_center: peer.data_center,
        dialled,
        delivery: delivery(protocol),
    };
    let link = node.borrow_mut().add_link(&node, queue, remote);
    let (sink, stream) = socket.split();
    let ended = tokio::select! {
        ended = send(&node, &vm, sink, sealer, messages) => ended,
        ended = receive(&node, link, stream, opener) => ended,
    };
    match ended {
        Ok(()) => log::info!(vm:% = vm; "link is down"),
        Err(error) => log::warn!(vm:% = vm, cause:% = error; "link is down"),
    }
    node.borrow_mut().remove_link(&node, link);
}

/// How large texts reach a peer over a link with `protocol`.
fn delivery(protocol: u64) -> Delivery {
    if protocol >= OFFERS_PROTOCOL {
        Delivery::Offered
    } else {
        Delivery::Whole
    }
}

/// Sends messages until the node closes the queue.
async fn send(
    node: &Shared,
    vm: &str,
    mut sink: impl futures_util::Sink<tungstenite::Message, Error = tungstenite::Error> + Unpin,
    mut sealer: Sealer,
    mut messages: mpsc::Receiver<Queued>,
) -> Result<(), Failure> {
    let limit = Duration::from_millis(WRITE_TIMEOUT_MS);
    let mut was_slow = false;
    while let Some((queued, message)) = messages.recv().await {
        let frame = match sealer.seal(&message) {
            Ok(Some(frame)) => frame,
            // The peer's release does not know this kind of message.
            Ok(None) => continue,
            Err(error) => {
                log::error!(cause:% = error; "encoding a message for a peer failed");
                continue;
            }
        };
        let bytes = frame.len() as u64;
        tokio::time::timeout(limit, sink.send(tungstenite::Message::binary(frame))).await??;
        let metrics = &mut node.borrow_mut().metrics;
        metrics.add(Count::PeerFramesSent, 1);
        metrics.add(Count::PeerBytesSent, bytes);
        let waited = queued.elapsed();
        let is_slow = waited >= Duration::from_millis(SLOW_WRITE_MS);
        if is_slow {
            metrics.add(Count::PeerSlowWrites, 1);
        }
        if is_slow != was_slow {
            let waited_ms = waited.as_millis();
            log::info!(vm, waited_ms, bytes, waiting = messages.len(), is_slow; "speed of a link changed");
            was_slow = is_slow;
        }
    }
    Ok(())
}

/// Passes received messages to the node until the link ends.
async fn receive(
    node: &Shared,
    link: Link,
    mut stream: impl futures_util::Stream<Item = Result<tungstenite::Message, tungstenite::Error>>
    + Unpin,
    mut opener: Opener,
) -> Result<(), Failure> {
    while let Some(received) = stream.next().await {
        let tungstenite::Message::Binary(bytes) = received? else {
            continue;
        };
        let result = opener.open(&bytes);
        let mut state = node.borrow_mut();
        state
            .metrics
            .add(Count::PeerBytesReceived, bytes.len() as u64);
        match result {
            Ok(Frame::Known(message)) => state.receive(node, link, message),
            Ok(Frame::Unknown(kind)) => log::debug!(kind; "skipped a frame of an unknown kind"),
            Err(fault) => {
                state.metrics.add(Count::PeerFaults, 1);
                state.record_link_fault(node, link, &fault.to_string());
                return Err(fault.into());
            }
        }
    }
    Ok(())
}
