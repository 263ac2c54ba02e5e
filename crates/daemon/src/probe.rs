//! Probes targets.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oriolecleat_core::leaving::Probe;
use oriolecleat_core::target;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::clock;
use crate::node::Shared;
use crate::service;

const BODY_LIMIT_BYTES: usize = 4_096;

/// A target to probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    pub(crate) service: service::Key,
    pub(crate) target: target::Key,
    pub(crate) address: SocketAddr,
}

/// Carries out orders until the process ends.
pub(crate) async fn run(node: Shared, mut orders: mpsc::UnboundedReceiver<Order>) {
    while let Some(order) = orders.recv().await {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let limit = clock::duration(node.borrow().settings.evidence.probe_timeout);
            let sent = node.borrow().clock.now();
            let probed = tokio::time::timeout(limit, probe(order.address)).await;
            let result = match probed {
                Ok(Ok(result)) => result,
                Ok(Err(_)) | Err(_) => Probe::Silent,
            };
            node.borrow_mut().probed(order, sent, result);
        });
    }
}

/// What the target answers on its health endpoint.
async fn probe(address: SocketAddr) -> Result<Probe, Box<dyn std::error::Error + Send + Sync>> {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Ok(Probe::Refused),
        Err(error) => return Err(error.into()),
    };
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(connection);
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
    driver.abort();
    if draining || body.starts_with(b"draining") {
        return Ok(Probe::Draining);
    }
    Ok(if healthy { Probe::Fit } else { Probe::Silent })
}
