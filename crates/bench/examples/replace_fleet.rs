//! Replaces every VM of a fleet under load: first by planned stops, then after kills.

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
const SETTLE: Duration = Duration::from_secs(2);

type Outcome<T> = Result<T, Box<dyn Error>>;

/// What the callers saw in one part of the run.
#[derive(Clone, Copy, Default)]
struct Seen {
    answered: u64,
    not_run: u64,
    unknown: u64,
    /// Requests whose connection broke before the whole answer.
    cut: u64,
    /// Requests for which no VM could be asked or reached.
    unreached: u64,
}

#[derive(Default)]
struct Shared {
    directories: RefCell<Vec<SocketAddr>>,
    seen: Cell<Seen>,
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
    name(&deployment, &shared);
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        callers.spawn_local(call(Rc::clone(&shared), index));
    }
    tokio::time::sleep(SETTLE).await;
    report("before", &shared);
    for _ in 0..VMS {
        deployment.add_daemon().await?;
        let mut old = deployment.daemons.remove(0);
        name(&deployment, &shared);
        old.signal(Signal::SIGTERM)?;
        let status = old.wait(STOP_LIMIT).await?;
        if !status.success() {
            return Err(format!("a planned stop ended with {status}").into());
        }
    }
    report("planned stops of all VMs", &shared);
    for _ in 0..VMS {
        drop(deployment.daemons.remove(0));
        name(&deployment, &shared);
        deployment.add_daemon().await?;
        name(&deployment, &shared);
        tokio::time::sleep(SETTLE).await;
    }
    report("kills of all VMs", &shared);
    tokio::time::sleep(SETTLE).await;
    report("after", &shared);
    shared.stopping.set(true);
    while callers.join_next().await.is_some() {}
    check(&deployment, &shared)
}

/// Tells the callers which directories to ask.
fn name(deployment: &Deployment, shared: &Shared) {
    let directories = deployment
        .daemons
        .iter()
        .map(|daemon| daemon.ports().directory);
    shared.directories.replace(directories.collect());
}

fn report(part: &str, shared: &Shared) {
    let seen = shared.seen.take();
    let row = json!({
        "part": part, "answered": seen.answered, "not_run": seen.not_run,
        "unknown": seen.unknown, "cut": seen.cut, "unreached": seen.unreached,
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
        let seen = attempt(endpoints.unwrap_or_default(), service, &id).await;
        add(&shared, seen);
    }
}

/// Sends one request to the first address that accepts the connection.
async fn attempt(endpoints: Vec<Endpoint>, service: &str, id: &str) -> Seen {
    let mut seen = Seen::default();
    for (address, ticket) in endpoints {
        match send(address, service, &ticket, id).await {
            Ok(outcome) => match &*outcome {
                "ran" => seen.answered = 1,
                "not-run" => seen.not_run = 1,
                _ => seen.unknown = 1,
            },
            Err(error) if is_refused(&*error) => continue,
            Err(_) => seen.cut = 1,
        }
        return seen;
    }
    seen.unreached = 1;
    seen
}

fn add(shared: &Shared, more: Seen) {
    let seen = shared.seen.get();
    shared.seen.set(Seen {
        answered: seen.answered + more.answered,
        not_run: seen.not_run + more.not_run,
        unknown: seen.unknown + more.unknown,
        cut: seen.cut + more.cut,
        unreached: seen.unreached + more.unreached,
    });
}

fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let error = error.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// The outcome of one request.
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
