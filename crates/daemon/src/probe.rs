//! Probes the health of targets, and the load of the targets of a platform.

use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::leaving::Probe;
use oriolecleat_core::target;
use oriolecleat_core::time::Span;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock;
use crate::node::Shared;
use crate::pool::Checkout;
use crate::service;
use crate::upload;

/// Most bytes of the body of the answer to a probe that are read.
const BODY_LIMIT_BYTES: usize = 4_096;

/// Largest head of the answer to a probe of a target of the product; the library takes no less.
const HEAD_LIMIT_BYTES: usize = 8_192;

/// An order to probe a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    pub(crate) service: service::Key,
    pub(crate) target: target::Key,
    pub(crate) address: SocketAddr,
}

/// Carries out the orders to probe targets until the process ends.
pub(crate) async fn run(node: Shared, mut orders: mpsc::UnboundedReceiver<Order>) {
    while let Some(order) = orders.recv().await {
        let node = node.clone();
        if node.borrow().hosted.is_some() {
            tokio::task::spawn_local(probe_load(node, order));
            continue;
        }
        tokio::task::spawn_local(async move {
            let limit = clock::duration(node.borrow().settings.evidence.probe_timeout);
            let sent = node.borrow().clock.now();
            let probed = tokio::time::timeout(limit, probe_health(order.address)).await;
            let result = match probed {
                Ok(Ok(result)) => result,
                Ok(Err(_)) | Err(_) => Probe::Failed,
            };
            node.borrow_mut().record_probe(order, sent, result);
        });
    }
}

/// Probes the load of a target of the platform, on a connection from the pool of requests.
async fn probe_load(node: Shared, order: Order) {
    let limit = clock::duration(node.borrow().settings.evidence.probe_timeout);
    let (report, cold) = match tokio::time::timeout(limit, fetch_load(&node, order)).await {
        Ok(Ok(health)) => health,
        Ok(Err(error)) => {
            log::debug!(address:% = order.address, cause:% = error; "load probe failed");
            (None, None)
        }
        Err(_) => {
            log::debug!(address:% = order.address; "load probe not answered in probe_timeout_ms");
            (None, None)
        }
    };
    let mut node = node.borrow_mut();
    if let Some(left) = cold {
        node.record_cold(order, left);
    }
    node.record_load_probe(order, report);
}

/// The load that a target reports at its health path, and how much longer it is cold; none for what it
/// does not state.
async fn fetch_load(
    node: &Shared,
    order: Order,
) -> Result<(Option<Report>, Option<Span>), Box<dyn std::error::Error + Send + Sync>> {
    let (checkout, path, dialect) = {
        let mut node = node.borrow_mut();
        let bounds = node.bounds(order.service, order.target, Class::Batch);
        let path = node.health_path(order.service);
        let dialect = Rc::clone(&node.dialect);
        (node.pool.take(order.address, bounds), path, dialect)
    };
    let mut connection = match checkout {
        Checkout::Idle(connection) => connection,
        Checkout::New(permit) => permit.open().await?,
        Checkout::Full => return Ok((None, None)),
    };
    let request = Request::get(&*path)
        .header("host", order.address.to_string())
        .body(upload::Shared::empty().upload())?;
    let response = connection.send(request).await?;
    let headers = response.headers();
    if headers.contains_key(&dialect.request_id) {
        // The connection ends here, as the answer to the probe is still to come on it.
        return Err("the answer carries the id of a request".into());
    }
    let health = ((dialect.load)(headers), (dialect.cold)(headers));
    let mut body = response.into_body();
    let mut read = 0;
    // The body is of no use; reading it to its end only lets the connection be used again.
    let ended = poll_fn(|context| {
        connection.drive(context);
        loop {
            match Pin::new(&mut body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    read += frame.data_ref().map_or(0, Bytes::len);
                    if read > BODY_LIMIT_BYTES {
                        return Poll::Ready(Ok(false));
                    }
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error)),
                Poll::Ready(None) => return Poll::Ready(Ok(true)),
                Poll::Pending => return Poll::Pending,
            }
        }
    })
    .await?;
    if !ended {
        log::debug!(address:% = order.address; "the answer to a load probe has a large body");
        return Ok(health);
    }
    let mut connection = Some(connection);
    poll_fn(|context| {
        if let Some(connection) = connection.take() {
            node.borrow_mut().pool.put(connection, context);
        }
        Poll::Ready(())
    })
    .await;
    Ok(health)
}

/// A task that ends when this is dropped, also if a target goes on sending.
struct Task<T>(JoinHandle<T>);

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The health that a target of the product reports at its health endpoint.
async fn probe_health(
    address: SocketAddr,
) -> Result<Probe, Box<dyn std::error::Error + Send + Sync>> {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Ok(Probe::Refused),
        Err(error) => return Err(error.into()),
    };
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_LIMIT_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let _driver = Task(tokio::task::spawn_local(connection));
    let request = Request::get("/healthz")
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let draining = response.headers().contains_key("oriolecleat-drain");
    let healthy = response.status().is_success();
    let body = Limited::new(response.into_body(), BODY_LIMIT_BYTES)
        .collect()
        .await?
        .to_bytes();
    if draining || body.starts_with(b"draining") {
        return Ok(Probe::Draining);
    }
    Ok(if healthy { Probe::Ready } else { Probe::Failed })
}
