//! Replaces every VM of a fleet under load, first with planned stops, then with kills.

use std::cell::Cell;
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use nix::sys::signal::Signal;
use oriolecleat_bench::client;
use oriolecleat_bench::client::Failure;
use oriolecleat_bench::deployment;
use oriolecleat_bench::deployment::Deployment;
use oriolecleat_bench::deployment::Endpoint;
use oriolecleat_bench::process;
use serde_json::json;
use tokio::task::JoinSet;

const TARGETS: usize = 6;
const VMS: usize = 3;
const CALLERS: usize = 8;
const WORK: Duration = Duration::from_millis(30);
const STOP_LIMIT: Duration = Duration::from_secs(90);
const SETTLE_TIME: Duration = Duration::from_secs(2);

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Results of the requests in one part of the run.
#[derive(Clone, Copy, Default)]
struct Counts {
    answered: u64,
    not_run: u64,
    unknown: u64,
    /// Requests whose connection broke before the answer was complete.
    cut: u64,
    /// Requests for which no directory answered or no VM accepted a connection.
    unreached: u64,
}

#[derive(Default)]
struct Shared {
    directories: RefCell<Vec<SocketAddr>>,
    counts: Cell<Counts>,
    ids: RefCell<Vec<Box<str>>>,
    stopping: Cell<bool>,
}

fn main() -> Outcome<()> {
    process::experiment(run)
}

async fn run(binary: &Path) -> Outcome<()> {
    let mut deployment = Deployment::start(binary, TARGETS, WORK).await?;
    for _ in 0..VMS {
        deployment.add_daemon().await?;
    }
    let shared = Rc::new(Shared::default());
    publish_directories(&deployment, &shared);
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        callers.spawn_local(call(Rc::clone(&shared), index));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    report("before", &shared);
    for _ in 0..VMS {
        deployment.add_daemon().await?;
        let mut old = deployment.daemons.remove(0);
        publish_directories(&deployment, &shared);
        old.signal(Signal::SIGTERM)?;
        let status = old.wait(STOP_LIMIT).await?;
        if !status.success() {
            return Err(format!("a planned stop ended with {status}").into());
        }
    }
    report("planned stops of all VMs", &shared);
    for _ in 0..VMS {
        drop(deployment.daemons.remove(0));
        publish_directories(&deployment, &shared);
        deployment.add_daemon().await?;
        publish_directories(&deployment, &shared);
        tokio::time::sleep(SETTLE_TIME).await;
    }
    report("kills of all VMs", &shared);
    tokio::time::sleep(SETTLE_TIME).await;
    report("after", &shared);
    shared.stopping.set(true);
    while callers.join_next().await.is_some() {}
    check(&deployment, &shared)
}

/// Updates the directories that the callers ask to those of the running daemons.
fn publish_directories(deployment: &Deployment, shared: &Shared) {
    let directories = deployment
        .daemons
        .iter()
        .map(|daemon| daemon.ports().directory);
    shared.directories.replace(directories.collect());
}

fn report(part: &str, shared: &Shared) {
    let counts = shared.counts.take();
    let row = json!({
        "part": part, "answered": counts.answered, "not_run": counts.not_run,
        "unknown": counts.unknown, "cut": counts.cut, "unreached": counts.unreached,
    });
    println!("{row}");
}

/// Checks that each non-idempotent request ran at most once.
fn check(deployment: &Deployment, shared: &Shared) -> Outcome<()> {
    let ids = shared.ids.borrow();
    let twice = ids.iter().filter(|id| deployment.runs(id) > 1).count();
    println!(
        "{}",
        json!({ "bookings": ids.len(), "ran_more_than_once": twice })
    );
    if twice > 0 {
        return Err("a non-idempotent request ran more than once".into());
    }
    Ok(())
}

async fn call(shared: Rc<Shared>, index: usize) {
    let service = if index.is_multiple_of(2) {
        "profiles"
    } else {
        "bookings"
    };
    for number in 0_u64.. {
        if shared.stopping.get() {
            return;
        }
        let directories = shared.directories.borrow().clone();
        let turn = usize::try_from(number).unwrap_or(0) + index;
        let directory = directories[turn % directories.len()];
        let id = format!("{service}-{index}-{number}");
        if service == "bookings" {
            shared.ids.borrow_mut().push(id.as_str().into());
        }
        let endpoints = deployment::resolve(directory, service).await;
        let counts = attempt(endpoints.unwrap_or_default(), service, &id).await;
        add_counts(&shared, counts);
    }
}

/// Sends one request to the first address that accepts the connection.
async fn attempt(endpoints: Vec<Endpoint>, service: &str, id: &str) -> Counts {
    let mut counts = Counts::default();
    for (address, ticket) in endpoints {
        match send(address, service, &ticket, id).await {
            Ok(outcome) => match &*outcome {
                "ran" => counts.answered = 1,
                "not-run" => counts.not_run = 1,
                _ => counts.unknown = 1,
            },
            Err(error) if is_refused(&*error) => continue,
            Err(_) => counts.cut = 1,
        }
        return counts;
    }
    counts.unreached = 1;
    counts
}

fn add_counts(shared: &Shared, other: Counts) {
    let counts = shared.counts.get();
    shared.counts.set(Counts {
        answered: counts.answered + other.answered,
        not_run: counts.not_run + other.not_run,
        unknown: counts.unknown + other.unknown,
        cut: counts.cut + other.cut,
        unreached: counts.unreached + other.unreached,
    });
}

fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Sends one request; returns its `oriolecleat-outcome` header.
async fn send(
    address: SocketAddr,
    service: &str,
    ticket: &str,
    id: &str,
) -> Result<Box<str>, Failure> {
    let request = Request::post("/work")
        .header("host", service)
        .header("oriolecleat-ticket", ticket)
        .header("fake-id", id)
        .body(Full::new(Bytes::copy_from_slice(id.as_bytes())))?;
    let answer = client::send(address, request).await?;
    if answer.status().is_success() && answer.body() != id.as_bytes() {
        return Err("the answer belongs to another request".into());
    }
    if let Some(code) = answer.headers().get("oriolecleat-code") {
        eprintln!("{id}: {code:?}: {:?}", answer.body());
    }
    let outcome = answer.headers().get("oriolecleat-outcome");
    Ok(outcome
        .and_then(|word| word.to_str().ok())
        .unwrap_or_default()
        .into())
}
