//! Load generator that sends requests to one address at a fixed rate over persistent connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::client::Failure;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Host header of the requests.
    pub host: &'static str,
    /// Connections, each with one request at a time.
    pub connections: usize,
    /// Requests a second over all connections.
    pub rate_per_s: u32,
    /// Time during which requests are started.
    pub length: Duration,
}

/// Result of a load.
pub struct Outcome {
    /// Latencies in microseconds, from the planned start of each request.
    pub latency_us: Histogram<u64>,
    /// Requests without an answer or with a status other than success.
    pub failed: u64,
    /// Time until the last request ended.
    pub elapsed: Duration,
}

/// Carries out `plan` from the current `LocalSet`.
///
/// # Errors
///
/// Fails if a connection cannot be opened.
///
/// # Panics
///
/// Never: the bounds of the histogram are valid.
pub async fn run(plan: Plan) -> Result<Outcome, Failure> {
    let mut senders = Vec::new();
    for _ in 0..plan.connections {
        senders.push(connect(plan.address).await?);
    }
    let start = Instant::now();
    let connections = u32::try_from(plan.connections)?;
    let interval = Duration::from_secs(1) * connections / plan.rate_per_s;
    let mut tasks = JoinSet::new();
    for (index, sender) in (0..connections).zip(senders) {
        let first = start + interval * index / connections;
        tasks.spawn_local(requests(plan, sender, first, interval));
    }
    let mut outcome = Outcome {
        latency_us: Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid"),
        failed: 0,
        elapsed: Duration::ZERO,
    };
    while let Some(part) = tasks.join_next().await {
        let (latency, failed) = part?;
        outcome.latency_us.add(latency)?;
        outcome.failed += failed;
    }
    outcome.elapsed = start.elapsed();
    Ok(outcome)
}

async fn requests(
    plan: Plan,
    mut sender: SendRequest<Full<Bytes>>,
    first: Instant,
    interval: Duration,
) -> (Histogram<u64>, u64) {
    let mut latency = Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
    let mut failed = 0;
    let mut planned = first;
    let end = first + plan.length;
    while planned < end {
        tokio::time::sleep_until(planned).await;
        if request(plan.host, &mut sender).await {
            let micros = u64::try_from(planned.elapsed().as_micros()).unwrap_or(u64::MAX);
            latency.saturating_record(micros);
        } else {
            failed += 1;
            match connect(plan.address).await {
                Ok(fresh) => sender = fresh,
                Err(_) => return (latency, failed),
            }
        }
        planned += interval;
    }
    (latency, failed)
}

async fn request(host: &str, sender: &mut SendRequest<Full<Bytes>>) -> bool {
    let request = Request::get("/").header("host", host).body(Full::default());
    let Ok(request) = request else {
        return false;
    };
    let Ok(response) = sender.send_request(request).await else {
        return false;
    };
    let success = response.status().is_success();
    let body = response.into_body().collect().await;
    success && body.is_ok() && sender.ready().await.is_ok()
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}
