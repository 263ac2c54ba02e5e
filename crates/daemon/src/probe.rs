//! Probes targets.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oriolecleat_core::target;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::clock;
use crate::node::Shared;
use crate::service;

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
            let probed = tokio::time::timeout(limit, probe(order.address)).await;
            let answered = matches!(probed, Ok(Ok(true)));
            node.borrow_mut()
                .probed(order.service, order.target, answered);
        });
    }
}

/// Whether the target answered that it takes new work.
async fn probe(address: SocketAddr) -> Result<bool, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(connection);
    let request = Request::get("/healthz")
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let draining = response.headers().contains_key("oriolecleat-drain");
    let healthy = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok(healthy && !draining && !body.starts_with(b"draining"))
}
