//! Fake key-value service with the part of the etcd v3 JSON gateway that the daemon uses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

pub use crate::fake::server::Server;

const PROGRESS_INTERVAL_MS: u64 = 1_000;

type Body = UnsyncBoxBody<Bytes, Infallible>;

#[derive(Clone)]
struct Change {
    key: Box<str>,
    value: Option<Box<str>>,
    revision: u64,
}

struct State {
    values: BTreeMap<Box<str>, (Box<str>, u64)>,
    log: Vec<Change>,
    revision: watch::Sender<u64>,
    calls: u64,
}

/// The service; its methods also change the stored keys.
#[derive(Clone)]
pub struct Platform {
    state: Rc<RefCell<State>>,
}

impl Default for Platform {
    fn default() -> Self {
        let (revision, _) = watch::channel(1);
        let state = State {
            values: BTreeMap::new(),
            log: Vec::new(),
            revision,
            calls: 0,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }
}

impl Platform {
    /// Publishes `value` under `key`.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    /// Deletes `key`.
    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    /// The newest revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        *self.state.borrow().revision.borrow()
    }

    /// Calls received so far; an open watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.borrow_mut();
        let revision = *state.revision.borrow() + 1;
        match value {
            Some(value) => state.values.insert(key.into(), (value.into(), revision)),
            None => state.values.remove(key),
        };
        state.log.push(Change {
            key: key.into(),
            value: value.map(Into::into),
            revision,
        });
        state.revision.send_replace(revision);
    }

    /// Serves on `address` from the current `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be opened.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let platform = self.clone();
        let task = tokio::task::spawn_local(platform.accept(listener));
        Ok(Server { address, task })
    }

    async fn accept(self, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let platform = self.clone();
            connections.spawn_local(async move {
                let service = service_fn(move |request| {
                    let platform = platform.clone();
                    async move { Ok::<_, Infallible>(platform.answer(request).await) }
                });
                let io = TokioIo::new(stream);
                // An error only means that the client closed the connection.
                let _ = http1::Builder::new().serve_connection(io, service).await;
            });
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        self.state.borrow_mut().calls += 1;
        let path = request.uri().path().to_owned();
        let bytes = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let request: Value = serde_json::from_slice(&bytes.unwrap_or_default()).unwrap_or_default();
        match path.as_str() {
            "/v3/kv/range" => json_response(&self.range(&request)),
            "/v3/watch" => self.watch(&request["create_request"]),
            _ => {
                let mut response = json_response(&json!({ "error": "not found", "code": 5 }));
                *response.status_mut() = hyper::StatusCode::NOT_FOUND;
                response
            }
        }
    }

    fn range(&self, request: &Value) -> Value {
        let range = Range::decode(request);
        let state = self.state.borrow();
        let values = state.values.iter().filter(|(key, _)| range.contains(key));
        let kvs: Vec<Value> = values
            .map(|(key, (value, revision))| {
                json!({
                    "key": STANDARD.encode(&**key),
                    "value": STANDARD.encode(&**value),
                    "mod_revision": revision.to_string(),
                })
            })
            .collect();
        let count = kvs.len().to_string();
        json!({ "header": header(*state.revision.borrow()), "kvs": kvs, "count": count })
    }

    fn watch(&self, request: &Value) -> Response<Body> {
        let range = Range::decode(request);
        let start = request["start_revision"]
            .as_str()
            .and_then(|text| text.parse().ok());
        let (sender, receiver) = mpsc::channel(16);
        tokio::task::spawn_local(self.clone().stream(range, start.unwrap_or(0), sender));
        let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
            let frame = receiver.recv().await?;
            Some((Ok(frame), receiver))
        });
        Response::new(StreamBody::new(stream).boxed_unsync())
    }

    async fn stream(self, range: Range, start: u64, sender: mpsc::Sender<Frame<Bytes>>) {
        let mut next = start;
        let mut revisions = self.state.borrow().revision.subscribe();
        loop {
            let revision = *revisions.borrow_and_update();
            let message = self.changes_message(&range, next, revision);
            next = revision + 1;
            if sender.send(Frame::data(message)).await.is_err() {
                return;
            }
            let progress = Duration::from_millis(PROGRESS_INTERVAL_MS);
            // Without a change, the batch is empty and serves as a progress notification.
            let _ = tokio::time::timeout(progress, revisions.changed()).await;
        }
    }

    fn changes_message(&self, range: &Range, start: u64, revision: u64) -> Bytes {
        let state = self.state.borrow();
        let changes = state.log.iter().filter(|change| {
            change.revision >= start && change.revision <= revision && range.contains(&change.key)
        });
        let events: Vec<Value> = changes.map(event).collect();
        let message = json!({ "result": { "header": header(revision), "events": events } });
        format!("{message}\n").into()
    }
}

struct Range {
    first: Vec<u8>,
    end: Vec<u8>,
}

impl Range {
    fn decode(request: &Value) -> Self {
        let field = |name: &str| {
            STANDARD
                .decode(request[name].as_str().unwrap_or_default())
                .unwrap_or_default()
        };
        Self {
            first: field("key"),
            end: field("range_end"),
        }
    }

    fn contains(&self, key: &str) -> bool {
        let key = key.as_bytes();
        key >= self.first.as_slice() && key < self.end.as_slice()
    }
}

fn header(revision: u64) -> Value {
    json!({ "revision": revision.to_string() })
}

fn event(change: &Change) -> Value {
    let key = STANDARD.encode(&*change.key);
    let revision = change.revision.to_string();
    match &change.value {
        Some(value) => json!({
            "kv": { "key": key, "value": STANDARD.encode(&**value), "mod_revision": revision },
        }),
        None => json!({ "type": "DELETE", "kv": { "key": key, "mod_revision": revision } }),
    }
}

fn json_response(value: &Value) -> Response<Body> {
    Response::new(Full::new(Bytes::from(value.to_string())).boxed_unsync())
}
