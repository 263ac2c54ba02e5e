//! Measures what the request path adds to a call: a direct connection, a bare byte relay, HTTP
//! without balancing and the daemon, interleaved in one run.
//!
//! Prints one JSON object a line.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oriolecleat_bench::fake::platform::Platform;
use oriolecleat_bench::fake::server::Server;
use oriolecleat_bench::fake::target::Target;
use oriolecleat_bench::loopback;
use oriolecleat_bench::process;
use oriolecleat_bench::process::Daemon;
use oriolecleat_bench::process::Ports;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

const START_LIMIT: Duration = Duration::from_secs(20);
const TARGETS: usize = 4;
const WARM_UP_CALLS: usize = 200;
const MAX_US: u64 = 10_000_000;
/// Header value that gives the answers of [`answerer`] the size of the fake target's.
const PADDING: &str = "TEXT named_metrics.running=0,named_metrics.queued=0";

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Measures the latency that the request path adds.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Arguments {
    /// Repeats of each case.
    #[bpaf(fallback(5))]
    repeats: usize,
    /// Calls of one caller in a repeat.
    #[bpaf(fallback(4_000))]
    calls: usize,
    /// Callers at low load.
    #[bpaf(fallback(1))]
    low: usize,
    /// Callers at paced and at full load.
    #[bpaf(fallback(16))]
    high: usize,
    /// Pause of a caller between two calls at paced load, in milliseconds.
    #[bpaf(fallback(2))]
    pause_ms: u64,
    /// Setting `http.read_ahead` of the daemon; none leaves it out, as for earlier builds.
    read_ahead: Option<u64>,
    /// The daemon to measure, such as an earlier build; without it, this one is built.
    binary: Option<PathBuf>,
}

/// A route from the callers to a target, with its measurements.
struct Route {
    name: &'static str,
    address: SocketAddr,
    totals: Histogram<u64>,
    runs: Vec<Sample>,
}

#[derive(Clone, Copy)]
struct Sample {
    p50_us: f64,
    p99_us: f64,
    p999_us: f64,
    calls_per_s: f64,
}

fn main() -> Outcome<()> {
    let arguments = arguments().run();
    let binary = match &arguments.binary {
        Some(binary) => binary.clone(),
        None => process::build()?,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(&arguments, &binary))
}

/// Runs `serve` on a thread with its own event loop, as a separate process would.
fn on_thread<F>(serve: impl FnOnce(TcpListener) -> F + Send + 'static) -> Outcome<SocketAddr>
where
    F: Future<Output = ()> + 'static,
{
    let listener = std::net::TcpListener::bind(loopback::any_port()?)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, async move {
            serve(TcpListener::from_std(listener)?).await;
            Ok(())
        })
    });
    Ok(address)
}

async fn serve_target(listener: TcpListener) {
    // `Target::serve` opens the port itself, so only the address of the listener is used.
    let Ok(address) = listener.local_addr() else {
        return;
    };
    drop(listener);
    let target = Target::new("target", Duration::ZERO);
    if let Ok(_server) = target.serve(address).await {
        std::future::pending::<()>().await;
    }
}

/// Copies bytes in both directions without parsing them.
async fn relay(listener: TcpListener, target: SocketAddr) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            let mut caller = caller;
            let mut target_stream = TcpStream::connect(target).await?;
            caller.set_nodelay(true)?;
            target_stream.set_nodelay(true)?;
            tokio::io::copy_bidirectional(&mut caller, &mut target_stream).await
        });
    }
}

/// Answers each request itself, without a target.
async fn answerer(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            stream.set_nodelay(true)?;
            let service = service_fn(async |_request: Request<Incoming>| {
                let mut response = Response::new(Full::<Bytes>::default());
                let headers = response.headers_mut();
                headers.insert("endpoint-load-metrics", PADDING.parse()?);
                Ok::<_, Box<dyn Error + Send + Sync>>(response)
            });
            let served = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            served.await.map_err(std::io::Error::other)
        });
    }
}

/// Forwards each request to one fixed target, over one connection for each caller.
async fn forwarder(listener: TcpListener, target: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            stream.set_nodelay(true)?;
            let target_stream = TcpStream::connect(target).await?;
            target_stream.set_nodelay(true)?;
            let (sender, driver) = client::handshake(TokioIo::new(target_stream))
                .await
                .map_err(std::io::Error::other)?;
            tokio::task::spawn_local(driver);
            let sender = std::cell::RefCell::new(sender);
            let service =
                service_fn(|request: Request<Incoming>| sender.borrow_mut().send_request(request));
            let served = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            served.await.map_err(std::io::Error::other)
        });
    }
}

async fn start_daemon(
    binary: &Path,
    targets: &[SocketAddr],
    read_ahead: Option<u64>,
) -> Outcome<(Daemon, Platform, Server)> {
    let target_specs: Vec<_> = targets
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({
                "name": format!("target-{index}"), "address": address.to_string(),
                "vm": format!("target-vm-{index}"), "region": "local", "data_center": "local-a",
                "slots": 64,
            })
        })
        .collect();
    let entry = json!({
        "service": "s", "owner": "bench", "class": "interactive", "targets": target_specs,
        "limits": { "rate_per_s": 10_000_000, "rate_burst": 10_000_000, "concurrency": 1_000_000 },
    });
    let platform = Platform::default();
    platform.put("entries/s", &entry.to_string());
    let service = platform.serve(loopback::any_port()?).await?;
    let ports = Ports::free()?;
    let mut settings = process::settings("vm-0", &ports, service.address(), service.address());
    if let Some(read_ahead) = read_ahead {
        settings["http"] = json!({ "read_ahead": read_ahead });
    }
    let name = format!("oriolecleat-overhead-{}.log", std::process::id());
    let log = std::env::temp_dir().join(name);
    let daemon = Daemon::start(binary, ports, &settings, &log)?;
    daemon.wait_until_ready("s", START_LIMIT).await?;
    std::fs::remove_file(&log)?;
    Ok((daemon, platform, service))
}

async fn run(arguments: &Arguments, binary: &Path) -> Outcome<()> {
    let mut addresses = Vec::new();
    for _ in 0..TARGETS {
        addresses.push(on_thread(serve_target)?);
    }
    let first = addresses[0];
    tokio::time::sleep(Duration::from_millis(200)).await;
    let relay_address = on_thread(move |listener| relay(listener, first))?;
    let answerer_address = on_thread(answerer)?;
    let forwarder_address = on_thread(move |listener| forwarder(listener, first))?;
    let (daemon, _platform, _service) =
        start_daemon(binary, &addresses, arguments.read_ahead).await?;
    let pause = Duration::from_millis(arguments.pause_ms);
    let loads = [
        ("low", arguments.low, Duration::ZERO),
        ("paced", arguments.high, pause),
        ("full", arguments.high, Duration::ZERO),
    ];
    for (load, callers, pause) in loads {
        // A quarter of the calls at paced load, as the pauses make it slower.
        let calls = arguments.calls / if pause.is_zero() { 1 } else { 4 };
        let mut routes = vec![
            route("direct", first)?,
            route("relay", relay_address)?,
            route("hyper_server", answerer_address)?,
            route("hyper_server_and_client", forwarder_address)?,
            route("daemon", daemon.ports().caller)?,
        ];
        for repeat in 0..arguments.repeats {
            // Each repeat starts with another route, so that the order does not favour any.
            for index in 0..routes.len() {
                let position = (index + repeat) % routes.len();
                measure(&mut routes[position], callers, calls, pause).await?;
            }
        }
        report(load, callers, &routes);
    }
    print_inside_time(&daemon).await?;
    let usage = daemon.usage()?;
    println!(
        "{}",
        json!({
            "case": "processor time and memory of the daemon",
            "cpu_ms": usage.cpu.as_millis(),
            "memory_kib": usage.memory_kib,
        })
    );
    drop(daemon);
    Ok(())
}

/// Prints the daemon's own histogram of the time that a call spends inside the process.
async fn print_inside_time(daemon: &Daemon) -> Outcome<()> {
    let operator = daemon.ports().operator;
    let answer = oriolecleat_bench::client::get(operator, "operator", "/v1/status").await?;
    let status: serde_json::Value = serde_json::from_slice(answer.body())?;
    println!(
        "{}",
        json!({ "case": "inside the process", "inside_us": status["inside_us"] })
    );
    Ok(())
}

fn route(name: &'static str, address: SocketAddr) -> Outcome<Route> {
    Ok(Route {
        name,
        address,
        totals: Histogram::new_with_bounds(1, MAX_US * 1_000, 3)?,
        runs: Vec::new(),
    })
}

async fn measure(route: &mut Route, callers: usize, calls: usize, pause: Duration) -> Outcome<()> {
    let address = route.address;
    let tasks: Vec<_> = (0..callers)
        .map(|_| tokio::task::spawn_local(call(address, calls, pause)))
        .collect();
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_US * 1_000, 3)?;
    let started = Instant::now();
    for task in tasks {
        for nanos in task.await?.map_err(|error| error.to_string())? {
            histogram.record(nanos)?;
        }
    }
    let elapsed = started.elapsed().as_secs_f64();
    let quantile = |quantile| micros(histogram.value_at_quantile(quantile));
    route.runs.push(Sample {
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        p999_us: quantile(0.999),
        calls_per_s: f64::from(u32::try_from(callers * calls)?) / elapsed,
    });
    route.totals.add(&histogram)?;
    Ok(())
}

/// Sends calls one after the other over one connection, with the same bytes on every route.
async fn call(address: SocketAddr, calls: usize, pause: Duration) -> std::io::Result<Vec<u64>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let request = b"GET /profile/7 HTTP/1.1\r\nhost: s\r\nuser-agent: bench\r\naccept: */*\r\n\r\n";
    let mut buffer = vec![0; 4096];
    let mut nanos = Vec::with_capacity(calls);
    for number in 0..WARM_UP_CALLS + calls {
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let started = Instant::now();
        stream.write_all(request).await?;
        let mut read = 0;
        // All answers have an empty body, so they end with their head.
        while !buffer[..read].ends_with(b"\r\n\r\n") {
            let more = stream.read(&mut buffer[read..]).await?;
            if more == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            read += more;
        }
        if !buffer.starts_with(b"HTTP/1.1 200") {
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            return Err(std::io::Error::other(text));
        }
        if number >= WARM_UP_CALLS {
            nanos.push(u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX));
        }
    }
    Ok(nanos)
}

fn micros(nanos: u64) -> f64 {
    f64::from(u32::try_from(nanos).unwrap_or(u32::MAX)) / 1_000.0
}

/// The median over the repeats, which a single outlier does not shift.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn report(load: &str, callers: usize, routes: &[Route]) {
    let direct = &routes[0];
    let relay = &routes[1];
    for route in routes {
        let all = |field: fn(&Sample) -> f64| route.runs.iter().map(field).collect::<Vec<_>>();
        // Repeats are paired: each is compared with the direct calls of the same repeat.
        let added = |field: fn(&Sample) -> f64| -> Vec<f64> {
            let pairs = route.runs.iter().zip(&direct.runs);
            pairs
                .map(|(own, direct)| field(own) - field(direct))
                .collect()
        };
        let ratios = |field: fn(&Sample) -> f64| -> Vec<f64> {
            let pairs = route.runs.iter().zip(&relay.runs);
            pairs
                .map(|(own, relay)| field(own) / field(relay))
                .collect()
        };
        let spread = |values: Vec<f64>| {
            let lowest = values.iter().copied().fold(f64::INFINITY, f64::min);
            let highest = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            [rounded(lowest), rounded(highest)]
        };
        let line = json!({
            "case": format!("{}_{load}", route.name),
            "callers": callers,
            "p50_ms": rounded(median(all(|sample| sample.p50_us)) / 1_000.0),
            "p99_ms": rounded(median(all(|sample| sample.p99_us)) / 1_000.0),
            "p999_ms": rounded(median(all(|sample| sample.p999_us)) / 1_000.0),
            "p50_added_ms": rounded(median(added(|sample| sample.p50_us)) / 1_000.0),
            "p99_added_ms": rounded(median(added(|sample| sample.p99_us)) / 1_000.0),
            "p999_added_ms": rounded(median(added(|sample| sample.p999_us)) / 1_000.0),
            "p50_added_spread_us": spread(added(|sample| sample.p50_us)),
            "p99_added_spread_us": spread(added(|sample| sample.p99_us)),
            "calls_per_s": median(all(|sample| sample.calls_per_s)).round(),
            "p50_to_relay": rounded(median(ratios(|sample| sample.p50_us))),
            "p99_to_relay": rounded(median(ratios(|sample| sample.p99_us))),
            "calls": route.totals.len(),
        });
        println!("{line}");
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
