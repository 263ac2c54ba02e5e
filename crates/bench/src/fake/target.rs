//! Fake target with slots, a queue, shedding, draining, cancellation and a log of the requests that
//! it ran.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oriolecleat_core::map::Map;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::fake::server::Server;

const DEFAULT_SLOTS: usize = 4;

struct State {
    name: Box<str>,
    runs: Map<Box<str>, u64>,
    order: Vec<Box<str>>,
    running: u64,
    queued: u64,
    drain: bool,
    honours_queue_limit: bool,
    work: Duration,
}

/// The target; its methods also change its behaviour and read its log.
#[derive(Clone)]
pub struct Target {
    state: Rc<RefCell<State>>,
    slots: Arc<Semaphore>,
}

impl Target {
    /// Creates a target that takes `work` for each request without a `fake-work-us` header.
    #[must_use]
    pub fn new(name: &str, work: Duration) -> Self {
        let state = State {
            name: name.into(),
            runs: Map::default(),
            order: Vec::new(),
            running: 0,
            queued: 0,
            drain: false,
            honours_queue_limit: true,
            work,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            slots: Arc::new(Semaphore::new(DEFAULT_SLOTS)),
        }
    }

    /// Sets whether the target signals on its answers that it is draining.
    pub fn set_drain(&self, drain: bool) {
        self.state.borrow_mut().drain = drain;
    }

    /// Sets whether the target sheds requests that would wait longer than `oriolecleat-queue-ms`.
    pub fn set_honours_queue_limit(&self, honours: bool) {
        self.state.borrow_mut().honours_queue_limit = honours;
    }

    /// Sets the number of requests that run at once, at least 4; call it before the first request.
    pub fn set_slots(&self, slots: usize) {
        self.slots.add_permits(slots.saturating_sub(DEFAULT_SLOTS));
    }

    /// How often the request with this `fake-id` header ran.
    #[must_use]
    pub fn runs(&self, id: &str) -> u64 {
        self.state.borrow().runs.get(id).copied().unwrap_or(0)
    }

    /// The `fake-id` headers of all runs in order.
    #[must_use]
    pub fn order(&self) -> Vec<Box<str>> {
        self.state.borrow().order.clone()
    }

    /// Serves on `address` from the current `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be opened.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::task::spawn_local(self.clone().accept(listener));
        Ok(Server { address, task })
    }

    async fn accept(self, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let target = self.clone();
            connections.spawn_local(async move {
                let service = service_fn(move |request| {
                    let target = target.clone();
                    async move { Ok::<_, Infallible>(target.answer(request).await) }
                });
                // A client cancels its request by closing the connection, which is no error here.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/healthz" => return self.health(),
            "/load" => return self.load(),
            _ => {}
        }
        let number = |name: &str| -> Option<u64> {
            request.headers().get(name)?.to_str().ok()?.parse().ok()
        };
        let queue_limit = number("oriolecleat-queue-ms").map(Duration::from_millis);
        let work = number("fake-work-us").map(Duration::from_micros);
        let work = work.unwrap_or(self.state.borrow().work);
        let id = request
            .headers()
            .get("fake-id")
            .and_then(|id| id.to_str().ok());
        let id: Option<Box<str>> = id.map(Into::into);
        let wait = if self.state.borrow().honours_queue_limit {
            queue_limit
        } else {
            None
        };
        let Some(_slot) = self.acquire_slot(wait).await else {
            return self.shed_response();
        };
        self.record_start(id);
        let _running = Running(self.state.clone());
        let Ok(body) = request.into_body().collect().await else {
            return self.finish(StatusCode::BAD_REQUEST, Bytes::new());
        };
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        self.finish(StatusCode::OK, body.to_bytes())
    }

    /// Waits for a slot; returns none if that takes longer than `wait`.
    async fn acquire_slot(&self, wait: Option<Duration>) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        self.state.borrow_mut().queued += 1;
        let _queued = Queued(self.state.clone());
        let acquire = Arc::clone(&self.slots).acquire_owned();
        let slot = match wait {
            Some(wait) => tokio::time::timeout(wait, acquire).await.ok()?,
            None => acquire.await,
        };
        slot.ok()
    }

    fn record_start(&self, id: Option<Box<str>>) {
        let mut state = self.state.borrow_mut();
        state.running += 1;
        if let Some(id) = id {
            *state.runs.entry(id.clone()).or_default() += 1;
            state.order.push(id);
        }
    }

    fn finish(&self, status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        self.add_report(&mut response);
        response
    }

    fn shed_response(&self) -> Response<Full<Bytes>> {
        let mut response = self.finish(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        response
            .headers_mut()
            .insert("oriolecleat-outcome", HeaderValue::from_static("not-run"));
        response
    }

    fn add_report(&self, response: &mut Response<Full<Bytes>>) {
        let state = self.state.borrow();
        let load = format!(
            "TEXT named_metrics.running={},named_metrics.queued={}",
            state.running.saturating_sub(1),
            state.queued
        );
        let headers = response.headers_mut();
        if let Ok(load) = HeaderValue::from_str(&load) {
            headers.insert("endpoint-load-metrics", load);
        }
        if state.drain {
            headers.insert("oriolecleat-drain", HeaderValue::from_static("1"));
        }
        if let Ok(name) = HeaderValue::from_str(&state.name) {
            headers.insert("fake-target", name);
        }
    }

    fn health(&self) -> Response<Full<Bytes>> {
        let word = if self.state.borrow().drain {
            "draining"
        } else {
            "ok"
        };
        let mut response = Response::new(Full::new(Bytes::from(word)));
        self.add_report(&mut response);
        response
    }

    fn load(&self) -> Response<Full<Bytes>> {
        let state = self.state.borrow();
        let load = json!({ "running": state.running, "queued": state.queued });
        Response::new(Full::new(Bytes::from(load.to_string())))
    }
}

struct Running(Rc<RefCell<State>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.borrow_mut().running -= 1;
    }
}

struct Queued(Rc<RefCell<State>>);

impl Drop for Queued {
    fn drop(&mut self) {
        self.0.borrow_mut().queued -= 1;
    }
}
