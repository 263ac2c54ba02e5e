//! Measures what calls, targets and services cost a daemon in processor time and memory.

use std::error::Error;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use oriolecleat_bench::fake::platform::Platform;
use oriolecleat_bench::fake::target::Target;
use oriolecleat_bench::load;
use oriolecleat_bench::load::Plan;
use oriolecleat_bench::loopback;
use oriolecleat_bench::process;
use oriolecleat_bench::process::Daemon;
use oriolecleat_bench::process::Ports;
use oriolecleat_bench::process::Usage;
use serde_json::Value;
use serde_json::json;

const RUNS: usize = 3;
const LOAD_LENGTH: Duration = Duration::from_secs(3);
const START_LIMIT: Duration = Duration::from_secs(20);
const IDLE_LENGTH: Duration = Duration::from_secs(5);

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Size of the catalogue of one daemon.
#[derive(Clone, Copy)]
struct Catalogue {
    services: usize,
    targets: usize,
}

/// Calls, processor time and memory of a daemon under a load.
struct Sample {
    calls_per_s: f64,
    cpu_us_per_s: f64,
    memory_bytes: f64,
}

fn main() -> Outcome<()> {
    process::experiment(run)
}

async fn run(binary: &Path) -> Outcome<()> {
    let small = Catalogue {
        services: 1,
        targets: 4,
    };
    let idle = || Plan {
        rate_per_s: 0,
        ..plan(8, 0)
    };
    let mut rows = Rows::default();
    for _ in 0..RUNS {
        let idle_sample = run_daemon(binary, small, idle()).await?;
        let low = run_daemon(binary, small, plan(8, 500)).await?;
        let high = run_daemon(binary, small, plan(8, 2_500)).await?;
        rows.add(
            "processor time",
            "µs",
            "call",
            slope(&low, &high, |s| s.cpu_us_per_s, |s| s.calls_per_s),
        );
        rows.add(
            "processor time, idle",
            "µs/s",
            "VM",
            idle_sample.cpu_us_per_s,
        );
        let more = run_daemon(binary, small, plan(208, 500)).await?;
        rows.add(
            "memory",
            "bytes",
            "caller connection",
            (more.memory_bytes - low.memory_bytes) / 200.0,
        );
        let many_services = run_daemon(
            binary,
            Catalogue {
                services: 150,
                targets: 14,
            },
            idle(),
        )
        .await?;
        let targets = 150.0 * 14.0 - 4.0;
        rows.add(
            "memory",
            "bytes",
            "target",
            (many_services.memory_bytes - idle_sample.memory_bytes) / targets,
        );
        rows.add(
            "memory, 150 services of 14 targets",
            "bytes",
            "VM",
            many_services.memory_bytes,
        );
        rows.add(
            "processor time, idle, 150 services of 14 targets",
            "µs/s",
            "VM",
            many_services.cpu_us_per_s,
        );
    }
    rows.print();
    Ok(())
}

fn slope(low: &Sample, high: &Sample, cost: fn(&Sample) -> f64, amount: fn(&Sample) -> f64) -> f64 {
    (cost(high) - cost(low)) / (amount(high) - amount(low))
}

fn plan(connections: usize, rate_per_s: u32) -> Plan {
    Plan {
        // Replaced by the address of the daemon when the load starts.
        address: (Ipv4Addr::UNSPECIFIED, 0).into(),
        host: "service-0",
        connections,
        rate_per_s,
        length: LOAD_LENGTH,
    }
}

async fn run_daemon(binary: &Path, catalogue: Catalogue, plan: Plan) -> Outcome<Sample> {
    let target = Target::new("target", Duration::ZERO);
    target.set_slots(1_024);
    let mut servers = Vec::new();
    for _ in 0..catalogue.targets {
        servers.push(target.serve(loopback::any_port()?).await?);
    }
    let platform = Platform::default();
    let service = platform.serve(loopback::any_port()?).await?;
    let targets: Vec<Value> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| {
            json!({
                "name": format!("target-{index}"),
                "address": server.address().to_string(),
                "vm": format!("vm-{index}"),
                "region": "local",
                "data_center": "local-a",
                "slots": 256,
            })
        })
        .collect();
    for index in 0..catalogue.services {
        let name = format!("service-{index}");
        let entry = json!({
            "service": name, "owner": "bench", "class": "interactive", "targets": targets,
            "limits": { "rate_per_s": 1_000_000, "rate_burst": 1_000_000 },
        });
        platform.put(&format!("entries/{name}"), &entry.to_string());
    }
    let ports = Ports::free()?;
    let settings = process::settings("vm-0", &ports, service.address(), service.address());
    let log = log_file();
    let daemon = Daemon::start(binary, ports, &settings, &log)?;
    daemon.wait_until_ready("service-0", START_LIMIT).await?;
    let before = daemon.usage()?;
    let measured = measure(plan, &ports).await?;
    let after = daemon.usage()?;
    std::fs::remove_file(&log)?;
    Ok(usage_rates(before, after, measured))
}

/// Runs the load, or waits if there is none; returns the number of answered requests and the
/// elapsed seconds.
async fn measure(plan: Plan, ports: &Ports) -> Outcome<(f64, f64)> {
    if plan.rate_per_s == 0 {
        tokio::time::sleep(IDLE_LENGTH).await;
        return Ok((0.0, IDLE_LENGTH.as_secs_f64()));
    }
    let outcome = load::run(Plan {
        address: ports.caller,
        ..plan
    })
    .await?;
    if outcome.failed > 0 {
        eprintln!("{} of the requests failed", outcome.failed);
    }
    let answered = u32::try_from(outcome.latency_us.len())?;
    Ok((f64::from(answered), outcome.elapsed.as_secs_f64()))
}

fn usage_rates(before: Usage, after: Usage, (calls, seconds): (f64, f64)) -> Sample {
    let cpu = after.cpu.saturating_sub(before.cpu);
    Sample {
        calls_per_s: calls / seconds,
        cpu_us_per_s: cpu.as_secs_f64() * 1e6 / seconds,
        memory_bytes: f64::from(u32::try_from(after.memory_kib).unwrap_or(u32::MAX)) * 1_024.0,
    }
}

fn log_file() -> PathBuf {
    let name = format!(
        "oriolecleat-slopes-{}-{:?}.log",
        std::process::id(),
        thread::current().id()
    );
    std::env::temp_dir().join(name)
}

/// Values by quantity, in the order in which each was first added.
#[derive(Default)]
struct Rows {
    rows: Vec<(&'static str, &'static str, &'static str, Vec<f64>)>,
}

impl Rows {
    fn add(&mut self, quantity: &'static str, unit: &'static str, per: &'static str, value: f64) {
        let existing = self
            .rows
            .iter_mut()
            .find(|row| (row.0, row.2) == (quantity, per));
        match existing {
            Some(row) => row.3.push(value),
            None => self.rows.push((quantity, unit, per, vec![value])),
        }
    }

    fn print(&self) {
        for (quantity, unit, per, values) in &self.rows {
            let mut sorted = values.clone();
            sorted.sort_by(f64::total_cmp);
            let row = json!({
                "quantity": quantity, "slope": sorted[sorted.len() / 2], "unit": unit, "per": per,
                "runs": sorted.len(), "least": sorted[0], "most": sorted[sorted.len() - 1],
            });
            println!("{row}");
        }
    }
}
