//! Compares what targets and callers get with and without reading ahead, for streams of requests
//! that are split at random.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Daemon;
use crate::support::LIMIT;
use crate::support::Target;
use crate::support::Then;
use crate::support::answer;
use crate::support::entry;
use crate::support::run;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const STREAMS: u64 = 150;
const SEED: u64 = 11;

/// Requests whose end may be read in two ways; `{id}` stands for their id.
const REQUESTS: &[&str] = &[
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\n\r\n",
    "GET /a?b HTTP/1.1\r\nHOST: s\r\nid: {id}\r\nconnection: keep-alive\r\n\r\n",
    "HEAD / HTTP/1.1\r\nhost: s\r\nid: {id}\r\n\r\n",
    "OPTIONS * HTTP/1.1\r\nhost: s\r\nid: {id}\r\n\r\n",
    "DELETE / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ncontent-length: 0\r\n\r\n",
    "POST / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ncontent-length: 5\r\n\r\nGET /",
    "POST / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ncontent-length: 41\r\n\r\n\
     GET / HTTP/1.1\r\nhost: s\r\nid: inner\r\n\r\n..",
    "GET / HTTP/1.1\nhost: s\nid: {id}\n\n",
    "\r\n\r\nGET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\nlong: {long}\r\n\r\n",
];

/// Requests that end the connection.
const LAST: &[&str] = &[
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\nconnection: close\r\n\r\n",
    "GET / HTTP/1.0\r\nhost: s\r\nid: {id}\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\nx: 1\r\n folded\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ncontent-length : 9\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\n content-length: 9\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ncontent-length: +9\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ncontent-length: 2\r\ncontent-length: 0\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ntransfer-encoding: xchunked\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\ntransfer-encoding: chunked, x\r\n\r\n",
    "GET http://s/ HTTP/1.1\r\nhost: s\r\nid: {id}\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nhost: s\r\nid: {id}\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\rid: {id}\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\nid: {id}\r\n\r\r\n\r\n",
    "GET  / HTTP/1.1\r\nhost: s\r\nid: {id}\r\n\r\n",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
];

/// What one stream led to: statuses of the answers, and how often each head reached a target.
#[derive(Debug, PartialEq)]
struct Result {
    statuses: Vec<String>,
    heads: BTreeMap<String, usize>,
}

/// Sends `parts` one after the other and reads the answers.
async fn send(daemon: &Daemon, target: &Target, parts: &[&[u8]]) -> Result {
    target.heads.borrow_mut().clear();
    let stream = TcpStream::connect(daemon.ports.caller).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut reading, mut writing) = stream.into_split();
    let write = async {
        for part in parts {
            if writing.write_all(part).await.is_err() {
                break;
            }
            tokio::time::sleep(Duration::from_micros(300)).await;
        }
    };
    let mut text = Vec::new();
    let read = async { while reading.read_buf(&mut text).await.is_ok_and(|read| read > 0) {} };
    let exchange = async { tokio::join!(write, read) };
    let ended = tokio::time::timeout(LIMIT, exchange).await;
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(ended.is_ok(), "{text}");
    let statuses = text.split("HTTP/1.1 ").skip(1);
    let statuses = statuses.map(|answer| answer[..3].to_owned()).collect();
    let mut heads = BTreeMap::new();
    for head in target.heads.borrow().iter() {
        let kept = |line: &&str| !line.to_ascii_lowercase().starts_with("oriolecleat-");
        let lines: Vec<&str> = head.lines().filter(kept).collect();
        *heads.entry(lines.join("\n")).or_default() += 1;
    }
    Result { statuses, heads }
}

/// A stream of requests of which the last one ends the connection.
fn stream(rng: &mut SmallRng) -> String {
    let count = rng.random_range(0..8);
    let last = LAST[rng.random_range(0..LAST.len())];
    let behind = REQUESTS[0].replace("{id}", "behind");
    let mut text = String::new();
    for number in 0..count {
        let request = REQUESTS[rng.random_range(0..REQUESTS.len())];
        text += &request.replace("{id}", &number.to_string());
    }
    let long = "x".repeat(rng.random_range(1_000..20_000));
    (text + &last.replace("{id}", "last") + &behind).replace("{long}", &long)
}

/// Guards against requests that reading ahead adds, drops, changes or answers in another order.
#[test]
fn reading_ahead_changes_nothing_but_the_time() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let entries = [entry("interactive", &[target.address])];
        let plain = Daemon::start(&entries, json!({})).await;
        let ahead = Daemon::start(&entries, json!({ "read_ahead": 3 })).await;
        let mut rng = SmallRng::seed_from_u64(SEED);
        for number in 0..STREAMS {
            let text = stream(&mut rng);
            let mut parts = Vec::new();
            let mut rest = text.as_bytes();
            let longest = [20, 200, 40_000][rng.random_range(0..3)];
            while !rest.is_empty() && parts.len() < 40 {
                let length = rng.random_range(1..=longest).min(rest.len());
                let (part, behind) = rest.split_at(length);
                parts.push(part);
                rest = behind;
            }
            parts.push(rest);
            let wanted = send(&plain, &target, &parts).await;
            let got = send(&ahead, &target, &parts).await;
            let same_heads = got.heads == wanted.heads;
            // A close with unread bytes may take the last answers from the caller.
            let shorter = got.statuses.len().min(wanted.statuses.len());
            let same_statuses = got.statuses[..shorter] == wanted.statuses[..shorter];
            assert!(
                same_heads && same_statuses,
                "stream {number} of seed {SEED}: {text:?}\n{got:#?}\n{wanted:#?}"
            );
        }
    });
}
