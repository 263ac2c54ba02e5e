//! Starts a small deployment, sends requests through it and stops it.

use std::error::Error;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use nix::sys::signal::Signal;
use oriolecleat_bench::client;
use oriolecleat_bench::fake::platform::Platform;
use oriolecleat_bench::fake::server::Server;
use oriolecleat_bench::fake::target::Target;
use oriolecleat_bench::process;
use oriolecleat_bench::process::Daemon;
use oriolecleat_bench::process::Ports;
use serde_json::Value;
use serde_json::json;
use tokio::task::LocalSet;

const TARGETS: usize = 4;
const VMS: usize = 3;
const READS: usize = 30;
const BOOKINGS: usize = 6;
const WORK_MS: u64 = 5;
const START_LIMIT: Duration = Duration::from_secs(20);
const STOP_LIMIT: Duration = Duration::from_secs(90);
const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    let binary = process::build()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(binary))
}

async fn run(binary: PathBuf) -> Outcome<()> {
    let logs = std::env::temp_dir().join(format!("oriolecleat-demo-{}", std::process::id()));
    std::fs::create_dir_all(&logs)?;
    let targets = start_targets().await?;
    let platform = Platform::default();
    publish(&platform, &targets);
    let service = platform.serve(ANY_PORT.into()).await?;
    println!("configuration service and VM list on {}", service.address());
    let mut daemons = Vec::new();
    for index in 0..VMS {
        let name = format!("vm-{index}");
        let ports = Ports::free()?;
        let address = service.address();
        platform.put(&format!("vms/{name}"), &listed(&ports).to_string());
        let mut settings = process::settings(&name, &ports, address, address);
        settings["stop"] = json!({ "address_ttl_ms": 1_000 });
        let log = logs.join(format!("{name}.log"));
        let daemon = Daemon::start(&binary, ports, &settings, &log)?;
        daemon.ready("profiles", START_LIMIT).await?;
        println!(
            "{name} serves callers on {}, directory on {}",
            ports.caller, ports.directory
        );
        daemons.push(daemon);
    }
    read(&daemons).await?;
    book(&daemons, &targets).await?;
    stop(daemons).await?;
    std::fs::remove_dir_all(&logs)?;
    Ok(())
}

async fn start_targets() -> Outcome<Vec<(Target, Server)>> {
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let name = format!("target-{index}");
        let target = Target::new(&name, Duration::from_millis(WORK_MS));
        let server = target.serve(ANY_PORT.into()).await?;
        println!("{name} on {}", server.address());
        targets.push((target, server));
    }
    Ok(targets)
}

fn publish(platform: &Platform, targets: &[(Target, Server)]) {
    let targets: Vec<Value> = targets
        .iter()
        .enumerate()
        .map(|(index, (_, server))| {
            json!({
                "name": format!("target-{index}"),
                "address": server.address().to_string(),
                "vm": format!("target-vm-{index}"),
                "region": "local",
                "data_center": "local-a",
            })
        })
        .collect();
    let entry = |service: &str, class: &str| json!({ "service": service, "owner": "demo", "class": class, "targets": targets });
    platform.put(
        "entries/profiles",
        &entry("profiles", "interactive").to_string(),
    );
    platform.put("entries/bookings", &entry("bookings", "once").to_string());
}

/// The VM list's record of an entry VM.
fn listed(ports: &Ports) -> Value {
    json!({
        "role": "entry",
        "state": "live",
        "region": "local",
        "data_center": "local-a",
        "directory": ports.directory.to_string(),
        "caller": ports.caller.to_string(),
        "peer": ports.peer.to_string(),
        "operator": ports.operator.to_string(),
    })
}

async fn read(daemons: &[Daemon]) -> Outcome<()> {
    let mut answered = 0;
    for index in 0..READS {
        let daemon = &daemons[index % daemons.len()];
        let (address, _) = ask(daemon.ports().directory, "profiles").await?;
        let answer = client::get(address, "profiles", "/profile/7").await?;
        answered += usize::from(answer.status().is_success());
    }
    println!("{answered} of {READS} idempotent requests answered");
    Ok(())
}

async fn book(daemons: &[Daemon], targets: &[(Target, Server)]) -> Outcome<()> {
    let mut outcomes = Vec::new();
    for index in 0..BOOKINGS {
        let daemon = &daemons[index % daemons.len()];
        let (address, ticket) = ask(daemon.ports().directory, "bookings").await?;
        let id = format!("booking-{index}");
        // The second send stands for a caller that lost the answer and tries again.
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
        let runs: u64 = targets.iter().map(|(target, _)| target.runs(&id)).sum();
        if runs != 1 {
            return Err(format!("{id} ran {runs} times").into());
        }
    }
    println!("{BOOKINGS} non-idempotent requests, each sent twice, ran once: {outcomes:?}");
    Ok(())
}

/// The first address and its ticket.
async fn ask(directory: SocketAddr, service: &str) -> Outcome<(SocketAddr, Box<str>)> {
    let path = format!("/v1/addresses?service={service}");
    let answer = client::get(directory, "directory", &path).await?;
    let answer: Value = serde_json::from_slice(answer.body())?;
    let first = &answer["addresses"][0];
    let address = first["address"].as_str().ok_or("no address")?.parse()?;
    let ticket = first["ticket"].as_str().ok_or("no ticket")?;
    Ok((address, ticket.into()))
}

async fn stop(daemons: Vec<Daemon>) -> Outcome<()> {
    for mut daemon in daemons {
        daemon.signal(Signal::SIGTERM)?;
        let status = daemon.wait(STOP_LIMIT).await?;
        println!("VM on {} stopped: {status}", daemon.ports().caller);
    }
    Ok(())
}
