//! Requests of callers that are malformed, slow or too many.

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Daemon;
use crate::support::Target;
use crate::support::Then;
use crate::support::answer;
use crate::support::entry;
use crate::support::read_to_end;
use crate::support::run;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const GET: &str = "GET / HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n";

struct Case {
    guards_against: &'static str,
    head: String,
    status: u16,
    refusal: (&'static str, &'static str),
}

fn case(
    guards_against: &'static str,
    head: &str,
    status: u16,
    refusal: (&'static str, &'static str),
) -> Case {
    Case {
        guards_against,
        head: format!("{head}\r\nconnection: close\r\n\r\n"),
        status,
        refusal,
    }
}

fn get(lines: &str) -> String {
    format!("GET / HTTP/1.1\r\nhost: s\r\n{lines}")
}

fn post(lines: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: s\r\n{lines}")
}

fn refused_heads() -> Vec<Case> {
    let bad = ("bad_request", "not-run");
    let unread = ("bad_request", "unknown");
    vec![
        case(
            "a request without a service",
            "GET / HTTP/1.1\r\nx: 1",
            400,
            bad,
        ),
        case("two services", &get("host: t"), 400, bad),
        case(
            "an open proxy",
            "GET http://t/ HTTP/1.1\r\nhost: s",
            400,
            bad,
        ),
        case("a tunnel", "CONNECT t:1 HTTP/1.1\r\nhost: s", 400, bad),
        case("a head that is no HTTP", "hello", 400, unread),
        case(
            "an unknown service that goes to some target",
            "GET / HTTP/1.1\r\nhost: t",
            404,
            ("unknown_service", "not-run"),
        ),
        case(
            "a depth that is no number",
            &get("oriolecleat-depth: +1"),
            400,
            bad,
        ),
        case(
            "a deadline that is no number",
            &get("oriolecleat-deadline-ms: 1s"),
            400,
            bad,
        ),
        case(
            "a repeated deadline",
            &get("oriolecleat-deadline-ms: 1\r\noriolecleat-deadline-ms: 2"),
            400,
            bad,
        ),
        case(
            "an id that breaks log lines",
            &get("oriolecleat-request-id: a b"),
            400,
            bad,
        ),
        case(
            "call chains without end",
            &get("oriolecleat-depth: 16"),
            508,
            ("depth_exceeded", "not-run"),
        ),
        case(
            "a request that is sent after its caller stopped waiting",
            &get("oriolecleat-deadline-ms: 0"),
            504,
            ("deadline", "not-run"),
        ),
    ]
}

fn bad_lengths_and_sizes() -> Vec<Case> {
    let unread = ("bad_request", "unknown");
    let conflict = ("length_conflict", "not-run");
    let many: Vec<String> = (0..70).map(|number| format!("x-{number}: 1")).collect();
    let large = format!("x: {}", "x".repeat(33_000));
    vec![
        case(
            "two ways to find the end of the body",
            &post("content-length: 3\r\ntransfer-encoding: chunked"),
            400,
            conflict,
        ),
        case(
            "the same in the other order",
            &post("Transfer-Encoding: chunked\r\nContent-Length: 3"),
            400,
            conflict,
        ),
        case(
            "a repeated length",
            &post("content-length: 3\r\ncontent-length: 3"),
            400,
            conflict,
        ),
        case(
            "two lengths",
            &post("content-length: 3\r\ncontent-length: 4"),
            400,
            ("length_conflict", "unknown"),
        ),
        case(
            "a length that is no number",
            &post("content-length: -1"),
            400,
            unread,
        ),
        case(
            "a head without bounds",
            &get(&format!("x: {}", "x".repeat(200_000))),
            431,
            ("head_too_large", "unknown"),
        ),
        case(
            "a head slightly too large",
            &get(&large),
            431,
            ("head_too_large", ""),
        ),
        case(
            "headers without number",
            &get(&many.join("\r\n")),
            431,
            ("head_too_large", "unknown"),
        ),
    ]
}

async fn daemon(target: &Target, http: serde_json::Value) -> Daemon {
    Daemon::start(&[entry("interactive", &[target.address])], http).await
}

/// Each case names the failure that it guards against.
#[test]
fn malformed_requests_reach_no_target() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let daemon = daemon(&target, json!({})).await;
        for case in refused_heads().into_iter().chain(bad_lengths_and_sizes()) {
            let reply = daemon.call(case.head.as_bytes()).await;
            let start: String = reply.text.chars().take(1_000).collect();
            let what = format!("{}: {start}", case.guards_against);
            assert_eq!(reply.status(), case.status, "{what}");
            let (code, outcome) = reply.refusal();
            assert_eq!(code, case.refusal.0, "{what}");
            // Which limit applies first depends on how the bytes are split on arrival.
            if !case.refusal.1.is_empty() {
                assert_eq!(outcome, case.refusal.1, "{what}");
            }
        }
        assert_eq!(target.requests(), 0);
    });
}

/// Guards against request smuggling by contradictory lengths.
#[test]
fn nothing_follows_contradictory_lengths() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let daemon = daemon(&target, json!({})).await;
        let head = "POST / HTTP/1.1\r\nhost: s\r\n";
        for lengths in [
            "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "content-length: 0\r\ncontent-length: 0\r\n\r\n",
        ] {
            for first in [
                "",
                "POST / HTTP/1.1\r\nhost: s\r\ncontent-length: 3\r\n\r\nabc",
            ] {
                let before = target.requests();
                let bytes = format!("{first}{head}{lengths}{GET}");
                let reply = daemon.call(bytes.as_bytes()).await;
                assert!(reply.text.contains("length_conflict"), "{reply:?}");
                let expected = usize::from(!first.is_empty());
                assert_eq!(target.requests() - before, expected, "{reply:?}");
            }
        }
    });
}

/// Guards against internal and hop-by-hop headers that are passed on, in either direction, and
/// against the loss of other headers.
#[test]
fn headers_are_filtered() {
    run(async {
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-hop\r\nx-hop: 1\r\n\
                    keep-alive: timeout=9\r\noriolecleat-outcome: not-run\r\n\
                    oriolecleat-secret: 1\r\nx-end: 1\r\n\r\nok";
        let target = Target::start(vec![answer(text, Then::Keep)]).await;
        let daemon = daemon(&target, json!({})).await;
        let reply = daemon
            .call(
                b"GET /a?b HTTP/1.1\r\nHost: s\r\nConnection: close, x-hop\r\nX-Hop: 1\r\n\
                  Keep-Alive: 1\r\nUpgrade: x\r\nX-End: 1\r\nOriolecleat-Attempt: 7\r\n\
                  oriolecleat-queue-ms: 9999\r\noriolecleat-depth: 3\r\n\
                  oriolecleat-request-id: id-1\r\noriolecleat-secret: 1\r\n\r\n",
            )
            .await;
        let heads = target.heads.borrow();
        let head = heads[0].to_lowercase();
        assert!(head.starts_with("get /a?b http/1.1\r\n"), "{head}");
        for present in [
            "host: s",
            "x-end: 1",
            "oriolecleat-attempt: 1",
            "oriolecleat-depth: 4",
            "oriolecleat-request-id: id-1",
        ] {
            assert!(
                head.contains(&format!("\r\n{present}\r\n")),
                "{present}: {head}"
            );
        }
        for absent in [
            "x-hop",
            "keep-alive",
            "upgrade",
            "oriolecleat-secret",
            "9999",
        ] {
            assert!(!head.contains(absent), "{absent}: {head}");
        }
        assert_eq!(reply.header("oriolecleat-outcome"), Some("ran"));
        assert_eq!(reply.header("oriolecleat-request-id"), Some("id-1"));
        assert_eq!(reply.header("x-end"), Some("1"));
        for absent in ["x-hop", "keep-alive", "oriolecleat-secret"] {
            assert_eq!(reply.header(absent), None);
        }
    });
}

/// Guards against a caller that pauses within its body and so keeps a target busy.
#[test]
fn slow_body_is_refused() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let daemon = daemon(&target, json!({})).await;
        let head = "POST / HTTP/1.1\r\nhost: s\r\ncontent-length: 10\r\n\r\nabc";
        let reply = daemon.call(head.as_bytes()).await;
        assert_eq!(reply.status(), 408);
        assert_eq!(
            reply.refusal(),
            ("slow_caller".to_owned(), "unknown".to_owned())
        );
    });
}

/// Guards against a caller that never completes its head and so keeps a connection open.
#[test]
fn slow_head_is_closed() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let daemon = daemon(&target, json!({})).await;
        let reply = daemon.call(b"GET / HTTP/1.1\r\nhost: s\r\n").await;
        assert_eq!(reply.text, "");
        assert_eq!(target.requests(), 0);
    });
}

/// Guards against a caller that does not read its answer and so keeps a target busy or delays other
/// callers.
#[test]
fn caller_that_does_not_read_is_cut() {
    run(async {
        let size = 64 << 20;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
        let mut large = answer(&head, Then::Wait);
        large.bytes.resize(head.len() + size, b'x');
        let target = Target::start(vec![large, answer(OK, Then::Keep)]).await;
        let daemon = daemon(&target, json!({})).await;
        let mut slow = TcpStream::connect(daemon.ports.caller).await.unwrap();
        slow.write_all(GET.as_bytes()).await.unwrap();
        while target.requests() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for _ in 0..20 {
            assert_eq!(daemon.call(GET.as_bytes()).await.body(), "ok");
        }
        tokio::time::sleep(Duration::from_millis(3 * crate::support::IDLE_MS)).await;
        let reply = read_to_end(&mut slow).await;
        assert!(!reply.clean);
        assert!(reply.text.len() < size);
    });
}

/// Guards against an unbounded number of connections.
#[test]
fn connections_are_limited() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let http = json!({ "connections": 3, "head_timeout_ms": 30_000 });
        let daemon = daemon(&target, http).await;
        let mut open = Vec::new();
        for _ in 0..3 {
            let mut stream = TcpStream::connect(daemon.ports.caller).await.unwrap();
            let keep = "GET / HTTP/1.1\r\nhost: s\r\n\r\n";
            // A connection of an earlier step may still be open in the daemon.
            stream.write_all(keep.as_bytes()).await.unwrap();
            assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
            open.push(stream);
        }
        let mut refused = TcpStream::connect(daemon.ports.caller).await.unwrap();
        let reply = read_to_end(&mut refused).await;
        assert_eq!(
            reply.refusal(),
            ("overloaded".to_owned(), "unknown".to_owned())
        );
        drop(open);
    });
}
