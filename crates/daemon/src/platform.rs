//! Reads the configuration service through the etcd v3 JSON gateway.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpStream;

use crate::node::Shared;

const RETRY_DELAY_MS: u64 = 200;
/// First key read; the range reaches from the entries to the key `fleet`.
const FIRST_KEY: &str = "entries/";
const RANGE_END: &str = "fleet\0";

/// A read that failed.
type Failure = Box<dyn std::error::Error>;

#[derive(Debug, Deserialize)]
struct Header {
    revision: Box<str>,
}

#[derive(Debug, Deserialize)]
struct Pair {
    key: Box<str>,
    #[serde(default)]
    value: Box<str>,
    mod_revision: Box<str>,
}

#[derive(Debug, Deserialize)]
struct Range {
    header: Header,
    #[serde(default)]
    kvs: Vec<Pair>,
}

#[derive(Debug, Deserialize)]
struct Watch {
    result: Batch,
}

#[derive(Debug, Deserialize)]
struct Batch {
    header: Header,
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
struct Event {
    #[serde(default, rename = "type")]
    kind: Box<str>,
    kv: Pair,
}

/// Reads and watches the configuration service until the process ends.
pub(crate) async fn follow(node: Shared) {
    let address = node.borrow().settings.platform.configuration;
    loop {
        if let Err(error) = read(&node, address).await {
            log::warn!(cause:% = error; "reading the configuration service failed");
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

async fn read(node: &Shared, address: SocketAddr) -> Result<(), Failure> {
    let bounds = json!({ "key": encode(FIRST_KEY), "range_end": encode(RANGE_END) });
    let response = post(address, "/v3/kv/range", bounds.to_string()).await?;
    let bytes = response.into_body().collect().await?.to_bytes();
    let range: Range = serde_json::from_slice(&bytes)?;
    for pair in &range.kvs {
        offer(node, pair, false)?;
    }
    let revision: u64 = range.header.revision.parse()?;
    node.borrow_mut().revision = revision;
    watch(node, address, revision + 1).await
}

async fn watch(node: &Shared, address: SocketAddr, start: u64) -> Result<(), Failure> {
    let create = json!({ "create_request": {
        "key": encode(FIRST_KEY),
        "range_end": encode(RANGE_END),
        "start_revision": start.to_string(),
    }});
    let mut body = post(address, "/v3/watch", create.to_string())
        .await?
        .into_body();
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let watch: Watch = serde_json::from_slice(&line)?;
            for event in &watch.result.events {
                offer(node, &event.kv, &*event.kind == "DELETE")?;
            }
            node.borrow_mut().revision = watch.result.header.revision.parse()?;
        }
    }
    Ok(())
}

fn offer(node: &Shared, pair: &Pair, deleted: bool) -> Result<(), Failure> {
    let key = String::from_utf8(STANDARD.decode(&*pair.key)?)?;
    let value = String::from_utf8(STANDARD.decode(&*pair.value)?)?;
    let revision = pair.mod_revision.parse()?;
    node.borrow_mut()
        .offer(&key, revision, (!deleted).then_some(value.as_str()));
    Ok(())
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

async fn post(
    address: SocketAddr,
    path: &str,
    body: String,
) -> Result<Response<Incoming>, Failure> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    let request = Request::post(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))?;
    Ok(sender.send_request(request).await?)
}
