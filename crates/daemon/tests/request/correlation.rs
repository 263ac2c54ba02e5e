//! Many concurrent requests to misbehaving targets: each complete answer belongs to its request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriolecleat_bench::loopback;
use oriolecleat_core::map::Map;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::Daemon;
use crate::support::entry;
use crate::support::read_head;
use crate::support::run;

const SEED: u64 = 42;
const TARGETS: usize = 4;
const CALLERS: usize = 24;
const REQUESTS: usize = 60;

type Random = Rc<RefCell<SmallRng>>;
type Runs = Rc<RefCell<Map<String, u64>>>;

/// Answers with the path of the request, but sometimes late, truncated, twice or not at all.
async fn misbehave(mut stream: TcpStream, random: Random, runs: Runs) {
    while let Some(head) = read_head(&mut stream).await {
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let line = head
            .lines()
            .find(|line| line.starts_with("oriolecleat-request-id"));
        let id = line.unwrap_or("x: 1").to_owned();
        *runs.borrow_mut().entry(path.clone()).or_default() += 1;
        let length = path.len();
        let whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{id}\r\n\r\n{path}");
        let (fault, pause) = {
            let mut random = random.borrow_mut();
            (random.random_range(0..12), random.random_range(0..5))
        };
        let pause = Duration::from_millis(pause);
        let written = match fault {
            0 => {
                tokio::time::sleep(Duration::from_millis(120)).await;
                stream.write_all(whole.as_bytes()).await
            }
            1 => {
                let part = &whole[..whole.len() - 3];
                let written = stream.write_all(part.as_bytes()).await;
                drop(stream);
                return drop(written);
            }
            2 => stream.write_all(format!("{whole}{whole}").as_bytes()).await,
            3 => {
                let first = stream.write_all(whole.as_bytes()).await;
                tokio::time::sleep(pause).await;
                first.and(stream.write_all(whole.as_bytes()).await)
            }
            4 => {
                let _ = stream.write_all(&whole.as_bytes()[..20]).await;
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                return;
            }
            5 => {
                let written = stream.write_all(whole.as_bytes()).await;
                drop(stream);
                return drop(written);
            }
            _ => {
                tokio::time::sleep(pause).await;
                stream.write_all(whole.as_bytes()).await
            }
        };
        if written.is_err() {
            return;
        }
    }
}

async fn start_target(random: Random, runs: Runs) -> SocketAddr {
    let listener = TcpListener::bind(loopback::any_port().unwrap())
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(misbehave(stream, random.clone(), runs.clone()));
        }
    });
    address
}

/// Reads the next answer and returns its status and whole body, or none if it is truncated.
async fn read_answer(stream: &mut TcpStream) -> Option<(String, String)> {
    let head = read_head(stream).await?;
    let status = head.split(' ').nth(1)?.to_owned();
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let (_, length) = lines.find(|(name, _)| *name == "content-length")?;
    let mut body = vec![0; length.parse().ok()?];
    stream.read_exact(&mut body).await.ok()?;
    Some((status, String::from_utf8(body).ok()?))
}

async fn call_many(caller: usize, address: SocketAddr, tickets: Vec<String>) -> (usize, usize) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (mut whole, mut other) = (0, 0);
    for number in 0..REQUESTS {
        let path = format!("/{caller}-{number}");
        let ticket = tickets.get(number).map_or(String::new(), |ticket| {
            format!("oriolecleat-ticket: {ticket}\r\n")
        });
        let deadline = if number % 3 == 0 { 60 } else { 4_000 };
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: s\r\noriolecleat-deadline-ms: {deadline}\r\n{ticket}\r\n"
        );
        let sent = stream.write_all(request.as_bytes()).await;
        let answered = read_answer(&mut stream).await;
        match answered {
            Some((status, body)) if status == "200" => {
                assert_eq!(body, path, "an answer of another request");
                whole += 1;
            }
            Some(_) => other += 1,
            None => {
                other += 1;
                drop(sent);
                stream = TcpStream::connect(address).await.unwrap();
            }
        }
    }
    (whole, other)
}

async fn fuzz(class: &str) -> (usize, usize, Runs) {
    let random: Random = Rc::new(RefCell::new(SmallRng::seed_from_u64(SEED)));
    let runs = Runs::default();
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(start_target(random.clone(), runs.clone()).await);
    }
    let daemon = Daemon::start(&[entry(class, &targets)], json!({})).await;
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let mut tickets = Vec::new();
        if class == "once" {
            for _ in 0..REQUESTS {
                tickets.push(daemon.ticket().await);
            }
        }
        let address = daemon.ports.caller;
        callers.push(tokio::task::spawn_local(call_many(
            caller, address, tickets,
        )));
    }
    let (mut whole, mut other) = (0, 0);
    for caller in callers {
        let (more_whole, more_other) = caller.await.unwrap();
        whole += more_whole;
        other += more_other;
    }
    (whole, other, runs)
}

/// Guards against an answer that reaches the caller of another request.
#[test]
fn each_whole_answer_is_the_callers_own() {
    run(async {
        let (whole, other, _) = fuzz("interactive").await;
        assert_eq!(whole + other, CALLERS * REQUESTS);
        assert!(whole > CALLERS * REQUESTS / 4, "{whole} whole answers");
    });
}

/// Guards against an answer that reaches the caller of another request, and against non-idempotent
/// work that runs twice.
#[test]
fn each_non_idempotent_request_runs_at_most_once() {
    run(async {
        let (whole, _, runs) = fuzz("once").await;
        assert!(whole > CALLERS * REQUESTS / 4, "{whole} whole answers");
        assert!(runs.borrow().values().all(|runs| *runs == 1));
    });
}
