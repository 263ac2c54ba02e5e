//! Starts a small deployment, sends requests through it and stops it.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use nix::sys::signal::Signal;
use oriolecleat_bench::client;
use oriolecleat_bench::deployment;
use oriolecleat_bench::deployment::Deployment;
use oriolecleat_bench::deployment::Endpoint;
use oriolecleat_bench::process;
use oriolecleat_bench::process::Daemon;

const TARGETS: usize = 4;
const VMS: usize = 3;
const READS: usize = 30;
const BOOKINGS: usize = 6;
const WORK: Duration = Duration::from_millis(5);
const STOP_LIMIT: Duration = Duration::from_secs(90);

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    process::experiment(run)
}

async fn run(binary: &Path) -> Outcome<()> {
    let mut deployment = Deployment::start(binary, TARGETS, WORK).await?;
    println!(
        "configuration service and VM list on {}",
        deployment.platform_address()
    );
    for (index, (_, server)) in deployment.targets.iter().enumerate() {
        println!("target-{index} on {}", server.address());
    }
    for index in 0..VMS {
        deployment.add_daemon().await?;
        let ports = deployment.daemons[index].ports();
        println!(
            "vm-{index} serves callers on {}, directory on {}, operators on {}",
            ports.caller, ports.directory, ports.operator
        );
    }
    send_reads(&deployment).await?;
    send_bookings(&deployment).await?;
    stop_daemons(&mut deployment).await
}

async fn send_reads(deployment: &Deployment) -> Outcome<()> {
    let mut answered = 0;
    for index in 0..READS {
        let daemon = &deployment.daemons[index % VMS];
        let (address, _) = first_endpoint(daemon, "profiles").await?;
        let answer = client::get(address, "profiles", "/profile/7").await?;
        answered += usize::from(answer.status().is_success());
    }
    println!("{answered} of {READS} idempotent requests answered");
    Ok(())
}

async fn send_bookings(deployment: &Deployment) -> Outcome<()> {
    let mut outcomes = Vec::new();
    for index in 0..BOOKINGS {
        let daemon = &deployment.daemons[index % VMS];
        let (address, ticket) = first_endpoint(daemon, "bookings").await?;
        let id = format!("booking-{index}");
        // The second request simulates a caller that lost the answer and retries.
        for _ in 0..2 {
            let request = Request::post("/bookings")
                .header("host", "bookings")
                .header("oriolecleat-ticket", &*ticket)
                .header("fake-id", &id)
                .body(Full::new(Bytes::from_static(b"{}")))?;
            let answer = client::send(address, request).await?;
            let outcome = answer.headers().get("oriolecleat-outcome");
            let outcome = outcome
                .and_then(|word| word.to_str().ok())
                .unwrap_or("none");
            outcomes.push(format!("{} {outcome}", answer.status().as_u16()));
        }
        let runs = deployment.runs(&id);
        if runs != 1 {
            return Err(format!("{id} ran {runs} times").into());
        }
    }
    println!("{BOOKINGS} non-idempotent requests, each sent twice, ran once: {outcomes:?}");
    Ok(())
}

/// Returns the first address in the answer of the daemon's directory.
async fn first_endpoint(daemon: &Daemon, service: &str) -> Outcome<Endpoint> {
    let endpoints = deployment::resolve(daemon.ports().directory, service).await?;
    Ok(endpoints
        .into_iter()
        .next()
        .ok_or("the directory returned no address")?)
}

async fn stop_daemons(deployment: &mut Deployment) -> Outcome<()> {
    for daemon in &mut deployment.daemons {
        daemon.signal(Signal::SIGTERM)?;
        let status = daemon.wait(STOP_LIMIT).await?;
        println!("VM on {} stopped: {status}", daemon.ports().caller);
    }
    Ok(())
}
