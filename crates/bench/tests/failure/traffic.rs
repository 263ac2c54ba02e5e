//! Callers that follow the protocol, and the results of their requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use oriolecleat_bench::client;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// One address of a directory answer, with its ticket.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub ticket: Box<str>,
}

/// The parts of a response that the tests check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub outcome: Box<str>,
    pub code: Box<str>,
    pub target: Box<str>,
}

/// Asks `directory` for the addresses of `service`; returns them with their time to live.
pub async fn resolve(directory: SocketAddr, service: &str) -> Option<(Vec<Endpoint>, Duration)> {
    let path = format!("/v1/addresses?service={service}");
    let answer = client::get(directory, "directory", &path).await.ok()?;
    let answer: Value = serde_json::from_slice(answer.body()).ok()?;
    let endpoints = answer["addresses"].as_array()?.iter().map(|row| {
        Some(Endpoint {
            address: row["address"].as_str()?.parse().ok()?,
            ticket: row["ticket"].as_str()?.into(),
        })
    });
    let ttl = Duration::from_millis(answer["ttl_ms"].as_u64()?);
    Some((endpoints.collect::<Option<_>>()?, ttl))
}

/// Sends one request; returns none if the connection broke before the answer was complete.
pub async fn call(to: &Endpoint, service: &str, id: &str, work: Option<Duration>) -> Option<Reply> {
    let mut request = Request::post("/work")
        .header("host", service)
        .header("oriolecleat-ticket", &*to.ticket)
        .header("fake-id", id);
    if let Some(work) = work {
        request = request.header("fake-work-us", work.as_micros().to_string());
    }
    let body = Bytes::copy_from_slice(id.as_bytes());
    let request = request.body(Full::new(body)).expect("a valid request");
    let answer = client::send(to.address, request).await.ok()?;
    let text = |name: &str| -> Box<str> {
        let value = answer.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .into()
    };
    let reply = Reply {
        status: answer.status().as_u16(),
        outcome: text("oriolecleat-outcome"),
        code: text("oriolecleat-code"),
        target: text("fake-target"),
    };
    if reply.status == 200 {
        assert_eq!(
            answer.body(),
            id.as_bytes(),
            "the answer belongs to another request"
        );
    }
    Some(reply)
}

/// Whether a connection to `address` can be opened.
pub async fn is_reachable(address: SocketAddr) -> bool {
    TcpStream::connect(address).await.is_ok()
}

/// Sums over all callers of a load.
#[derive(Debug, Default)]
pub struct Sums {
    /// Requests with a complete answer.
    pub answered: u64,
    /// Refusals that said the request did not run; the caller tried its next address.
    pub refused: u64,
    /// Requests with a broken connection, an unknown outcome or an error.
    pub broken: Vec<String>,
}

/// Callers that each send one request after the other until the load is stopped.
pub struct Load {
    pub sums: Rc<RefCell<Sums>>,
    pub directories: Rc<RefCell<Vec<SocketAddr>>>,
    running: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `callers` callers of `service`, each with one request in flight; those of the
    /// non-idempotent service `bookings` use each ticket once.
    pub fn start(service: &'static str, callers: usize, directories: Vec<SocketAddr>) -> Self {
        let mut load = Self {
            sums: Rc::default(),
            directories: Rc::new(RefCell::new(directories)),
            running: Rc::new(Cell::new(true)),
            callers: Vec::new(),
        };
        for index in 0..callers {
            let caller = Caller {
                service,
                ticketed: service == "bookings",
                index,
                sums: load.sums.clone(),
                directories: load.directories.clone(),
                running: load.running.clone(),
            };
            load.callers.push(tokio::task::spawn_local(caller.run()));
        }
        load
    }

    pub fn answered(&self) -> u64 {
        self.sums.borrow().answered
    }

    /// Lets the callers finish their requests and returns the sums.
    pub async fn stop(self) -> Sums {
        self.running.set(false);
        for caller in self.callers {
            caller.await.expect("a caller does not fail");
        }
        self.sums.take()
    }
}

struct Caller {
    service: &'static str,
    /// Whether every request needs a new ticket, and so a new directory answer.
    ticketed: bool,
    index: usize,
    sums: Rc<RefCell<Sums>>,
    directories: Rc<RefCell<Vec<SocketAddr>>>,
    running: Rc<Cell<bool>>,
}

impl Caller {
    async fn run(self) {
        let mut sent = 0;
        while self.running.get() {
            let directories = self.directories.borrow().clone();
            let directory = directories[sent % directories.len()];
            let Some((endpoints, ttl)) = resolve(directory, self.service).await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let asked = Instant::now();
            let mut next = 0;
            while self.running.get() && next < endpoints.len() && asked.elapsed() < ttl {
                sent += 1;
                if !self.send(&endpoints[next], sent).await {
                    next += 1;
                } else if self.ticketed {
                    break;
                }
            }
        }
    }

    /// Sends one request; returns false if the address refused it, so that the next one is tried.
    async fn send(&self, to: &Endpoint, number: usize) -> bool {
        if !is_reachable(to.address).await {
            self.sums.borrow_mut().refused += 1;
            return false;
        }
        let id = format!("{}-{}-{number}", self.service, self.index);
        let reply = call(to, self.service, &id, None).await;
        let mut sums = self.sums.borrow_mut();
        match reply {
            Some(reply) if reply.status == 200 => {
                sums.answered += 1;
                true
            }
            Some(reply) if &*reply.outcome == "not-run" => {
                sums.refused += 1;
                false
            }
            other => {
                sums.broken.push(format!("{id}: {other:?}"));
                true
            }
        }
    }
}
