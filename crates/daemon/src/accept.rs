//! Accepts the connections of callers and serves each until it ends.

use std::cell::Cell;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::stop::Phase;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::caller;
use crate::caller::HEADERS_MAX;
use crate::clock;
use crate::linger;
use crate::linger::Rest;
use crate::node::Shared;
use crate::pipeline;
use crate::refusal;
use crate::stream::State;
use crate::stream::Stream;
use crate::stream::Turn;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections of callers until the process ends.
pub(crate) async fn serve(node: Shared, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let guard = Guard::new(&open);
                let limit = node.borrow().settings.http.connections;
                if open.get() > limit {
                    drop(guard);
                    tokio::task::spawn_local(refuse_connection(node.clone(), stream));
                } else {
                    tokio::task::spawn_local(serve_connection(node.clone(), stream, guard));
                }
            }
            Err(error) => {
                log::warn!(cause:% = error; "accepting a caller's connection failed");
                // Without a free file descriptor each accept fails at once: do not spin.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts one connection of a caller while it is open.
struct Guard(Rc<Cell<u64>>);

impl Guard {
    fn new(open: &Rc<Cell<u64>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Refuses a connection above the limit. No request was read, so the outcome of the ticket that one
/// may carry is unknown.
async fn refuse_connection(node: Shared, stream: TcpStream) {
    let answer = refusal::raw(Code::Overloaded, Outcome::Unknown);
    // Best effort: the caller may have closed the connection.
    let _ = stream.try_write(&answer);
    log::info!(
        code = Code::Overloaded.as_str();
        "caller's connection refused: the limit on open connections is reached"
    );
    let end = Instant::now() + linger_limit(&node);
    linger::close(&node, &stream, Rest::Discard, end).await;
}

/// Longest time that a connection lingers.
fn linger_limit(node: &Shared) -> Duration {
    clock::duration(node.borrow().settings.http.linger)
}

/// Serves the requests on one connection of a caller.
async fn serve_connection(node: Shared, stream: TcpStream, guard: Guard) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "TCP_NODELAY could not be set on a caller's connection");
        return;
    }
    let http = node.borrow().settings.http.clone();
    let phases = node.borrow().phases.subscribe();
    let head = usize::try_from(http.head_bytes).unwrap_or(usize::MAX);
    let connection_state = Rc::new(State::default());
    let idle = clock::duration(http.body_idle);
    let ahead = pipeline::Ahead::new(&node, &connection_state, http.read_ahead);
    let buffer = ahead.as_ref().map(pipeline::Ahead::buffer);
    let stream = Stream::new(stream, Rc::clone(&connection_state), buffer, head, idle);
    let service = {
        let (node, ahead) = (node.clone(), ahead.clone());
        service_fn(move |request| {
            let turn = Turn::new(&connection_state);
            // hyper may read the end of the stream before it first polls the future below.
            let ready = ahead.as_ref().is_some_and(|ahead| ahead.is_next_ready());
            connection_state.set_owed(ready);
            caller::take_turn(node.clone(), ahead.clone(), turn, request)
        })
    };
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(clock::duration(http.head_timeout))
        .max_buf_size(head)
        .max_headers(HEADERS_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let mut refusing = std::pin::pin!(wait_until_refusing(phases));
    let (mut is_refusing, mut is_closing) = (false, false);
    let served = poll_fn(|context| {
        let mut repeated = false;
        loop {
            if let Poll::Ready(served) = Pin::new(&mut serving).poll(context) {
                return Poll::Ready(served);
            }
            is_refusing = is_refusing || refusing.as_mut().poll(context).is_ready();
            let early = ahead.as_ref().is_some_and(|ahead| ahead.has_early());
            if is_refusing && !is_closing && !early {
                // Closes the connection as soon as no request is in progress on it.
                Pin::new(&mut serving).graceful_shutdown();
                is_closing = true;
                continue;
            }
            if let Some(ahead) = &ahead {
                ahead.start();
                // hyper is not woken by bytes that are already read. Once is enough: if it takes
                // none now, it waits for the caller to accept an answer.
                if !repeated && ahead.is_waiting() {
                    repeated = true;
                    continue;
                }
            }
            return Poll::Pending;
        }
    })
    .await;
    if let Err(error) = served {
        log::debug!(cause:% = error; "caller's connection ended with an error");
    }
    let stream = serving.into_parts().io.into_inner();
    // A connection that lingers takes no place from new ones, and holds nothing for requests.
    drop((guard, ahead));
    stream.close(&node, linger_limit(&node)).await;
}

/// Waits until the VM refuses new requests.
async fn wait_until_refusing(mut phases: watch::Receiver<Phase>) {
    // The channel ends only with the process.
    let _ = phases.wait_for(|phase| !phase.is_accepting()).await;
}
