//! Which requests are sent to a target again, and which outcome callers get.

use std::net::SocketAddr;

use oriolecleat_bench::loopback;
use serde_json::json;
use tokio::net::TcpSocket;

use crate::support::Daemon;
use crate::support::Reply;
use crate::support::Target;
use crate::support::Then;
use crate::support::answer;
use crate::support::entry;
use crate::support::run;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\noriolecleat-outcome: not-run\r\n\
                    content-length: 0\r\n\r\n";

async fn daemon(class: &str, targets: &[SocketAddr]) -> Daemon {
    Daemon::start(&[entry(class, targets)], json!({})).await
}

async fn post(daemon: &Daemon, headers: &str, body: &str) -> Reply {
    let length = body.len();
    let bytes = format!(
        "POST / HTTP/1.1\r\nhost: s\r\nconnection: close\r\ncontent-length: {length}\r\n\
         {headers}\r\n{body}"
    );
    daemon.call(bytes.as_bytes()).await
}

async fn post_with_ticket(daemon: &Daemon, ticket: &str) -> Reply {
    post(daemon, &format!("oriolecleat-ticket: {ticket}\r\n"), "{}").await
}

fn refusal_of(code: &str, outcome: &str) -> (String, String) {
    (code.to_owned(), outcome.to_owned())
}

/// An address that refuses connections; the held socket keeps the port on it from all others.
fn refusing_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(loopback::any_port().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// Guards against non-idempotent work that runs twice after its connection broke, also on a reused
/// connection that the target closes at the same moment.
#[test]
fn written_request_of_class_once_is_never_sent_again() {
    run(async {
        for (first, then) in [
            (vec![], Then::Close),
            (vec![], Then::Reset),
            (vec![answer(OK, Then::Keep)], Then::Close),
            (vec![answer(OK, Then::Keep)], Then::Reset),
        ] {
            let reused = !first.is_empty();
            let answers = [first, vec![answer("", then)]].concat();
            let target = Target::start(answers).await;
            let daemon = daemon("once", &[target.address]).await;
            if reused {
                let ticket = daemon.ticket().await;
                assert_eq!(post_with_ticket(&daemon, &ticket).await.body(), "ok");
            }
            let before = target.requests();
            let ticket = daemon.ticket().await;
            let reply = post_with_ticket(&daemon, &ticket).await;
            assert_eq!(reply.refusal(), refusal_of("target_failed", "unknown"));
            for _ in 0..3 {
                let again = post_with_ticket(&daemon, &ticket).await;
                assert_eq!(again.refusal(), refusal_of("ticket_used", "unknown"));
            }
            assert_eq!(target.requests() - before, 1);
        }
    });
}

/// Guards against an extra answer that is taken for that of the next request, and against a request
/// of class `once` that is sent on a connection which is known to be unusable.
#[test]
fn unclean_connection_is_not_reused() {
    run(async {
        let other = OK.replace("ok", "no");
        for (text, then) in [
            (format!("{OK}{other}"), Then::Keep),
            (OK.to_owned(), Then::Again),
            (OK.to_owned(), Then::Close),
            (
                OK.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n"),
                Then::Keep,
            ),
        ] {
            let target = Target::start(vec![answer(&text, then), answer(OK, Then::Keep)]).await;
            let daemon = daemon("once", &[target.address]).await;
            for _ in 0..3 {
                let ticket = daemon.ticket().await;
                let reply = post_with_ticket(&daemon, &ticket).await;
                assert_eq!(
                    (reply.status(), reply.body()),
                    (200, "ok"),
                    "{text} {then:?}"
                );
                while target.done.get() == 0 {
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                }
            }
            assert_eq!(target.connections.get(), 2, "{text} {then:?}");
        }
    });
}

/// Guards against work that runs again after its answer was delivered, and against an outcome other
/// than "ran", whatever the later request with the ticket is refused for.
#[test]
fn used_ticket_is_reported_as_ran() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let daemon = daemon("once", &[target.address]).await;
        let ticket = daemon.ticket().await;
        assert_eq!(post_with_ticket(&daemon, &ticket).await.body(), "ok");
        assert_eq!(
            post_with_ticket(&daemon, &ticket).await.refusal(),
            refusal_of("ticket_used", "ran")
        );
        for (header, code) in [
            ("oriolecleat-depth: 99", "depth_exceeded"),
            ("oriolecleat-depth: x", "bad_request"),
            ("transfer-encoding: chunked", "length_conflict"),
        ] {
            let headers = format!("oriolecleat-ticket: {ticket}\r\n{header}\r\n");
            assert_eq!(
                post(&daemon, &headers, "").await.refusal(),
                refusal_of(code, "ran")
            );
        }
        assert_eq!(target.requests(), 1);
    });
}

/// Guards against non-idempotent work without a ticket, or with one of another fleet or VM.
#[test]
fn work_needs_a_valid_ticket() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let [daemon, other] = [
            daemon("once", &[target.address]).await,
            daemon("once", &[target.address]).await,
        ];
        let none = post(&daemon, "", "{}").await;
        assert_eq!(none.refusal(), refusal_of("ticket_required", "not-run"));
        assert_eq!(
            post_with_ticket(&daemon, "abc").await.refusal(),
            refusal_of("ticket_invalid", "not-run")
        );
        let elsewhere = post_with_ticket(&daemon, &other.ticket().await).await;
        assert_eq!(
            elsewhere.refusal(),
            refusal_of("ticket_elsewhere", "unknown")
        );
        assert_eq!(target.requests(), 0);
    });
}

/// Guards against a shed request that is refused although another target is free, and against a
/// ticket that counts as used by it.
#[test]
fn shed_request_goes_to_the_next_target() {
    run(async {
        for class in ["once", "interactive"] {
            let full = Target::start(vec![answer(SHED, Then::Keep)]).await;
            let free = Target::start(vec![answer(OK, Then::Keep)]).await;
            let daemon = daemon(class, &[full.address, free.address]).await;
            for _ in 0..10 {
                let ticket = daemon.ticket().await;
                let reply = post_with_ticket(&daemon, &ticket).await;
                assert_eq!((reply.status(), reply.body()), (200, "ok"), "{reply:?}");
            }
            assert_eq!(free.requests(), 10);
        }
    });
}

/// Guards against the outcome "unknown" where every target answered that it did not run the
/// request, and against a request that is sent again without end.
#[test]
fn ticket_of_a_shed_request_can_be_used_again() {
    run(async {
        let sheds = vec![answer(SHED, Then::Keep); 100];
        let target = Target::start([sheds, vec![answer(OK, Then::Keep)]].concat()).await;
        let daemon = daemon("once", &[target.address]).await;
        let ticket = daemon.ticket().await;
        for _ in 0..100 {
            let reply = post_with_ticket(&daemon, &ticket).await;
            if reply.status() == 200 {
                assert_eq!(target.requests(), 101);
                return;
            }
            assert_eq!(reply.refusal().1, "not-run", "{reply:?}");
        }
        panic!("the request was refused 100 times");
    });
}

/// Guards against a next target that gets only a part of the body.
#[test]
fn body_is_sent_whole_to_the_next_target() {
    run(async {
        let answers = vec![answer(SHED, Then::Keep), answer(OK, Then::Keep)];
        let target = Target::start(answers).await;
        let daemon = daemon("once", &[target.address]).await;
        let ticket = daemon.ticket().await;
        let headers = format!("oriolecleat-ticket: {ticket}\r\n");
        let reply = post(&daemon, &headers, &"x".repeat(60_000)).await;
        assert_eq!(reply.body(), "ok", "{reply:?}");
        assert_eq!(*target.bodies.borrow(), vec![60_000; 2]);
    });
}

/// Guards against a request that is sent again without the start of its body, which is no longer
/// kept.
#[test]
fn large_body_is_not_sent_again() {
    run(async {
        let full = Target::start(vec![answer(SHED, Then::Keep)]).await;
        let daemon = daemon("once", &[full.address]).await;
        let ticket = daemon.ticket().await;
        let headers = format!("oriolecleat-ticket: {ticket}\r\n");
        let reply = post(&daemon, &headers, &"x".repeat(1 << 20)).await;
        assert_eq!(reply.refusal(), refusal_of("overloaded", "not-run"));
        assert_eq!(*full.bodies.borrow(), vec![1 << 20]);
    });
}

/// Guards against a failure that the caller sees although a second attempt would succeed.
#[test]
fn idempotent_request_is_sent_again() {
    run(async {
        let target = Target::start(vec![answer("", Then::Close), answer(OK, Then::Keep)]).await;
        let daemon = daemon("interactive", &[target.address]).await;
        let reply = post(&daemon, "", "body").await;
        assert_eq!(reply.body(), "ok", "{reply:?}");
        let heads = target.heads.borrow();
        assert!(heads[0].contains("oriolecleat-attempt: 1\r\n"));
        assert!(heads[1].contains("oriolecleat-attempt: 2\r\n"));
    });
}

/// Guards against retries that multiply along a call chain, or exceed the attempts of the entry.
#[test]
fn retries_happen_only_at_depth_zero() {
    run(async {
        for (headers, requests) in [("", 2), ("oriolecleat-depth: 1\r\n", 1)] {
            let target = Target::start(vec![answer("", Then::Close)]).await;
            let daemon = daemon("interactive", &[target.address]).await;
            let reply = post(&daemon, headers, "").await;
            assert_eq!(reply.refusal(), refusal_of("target_failed", "unknown"));
            assert_eq!(target.requests(), requests);
        }
    });
}

/// Guards against the outcome "unknown" for a request of which no byte was written, and against a
/// ticket that counts as used by it.
#[test]
fn refused_connection_is_not_run() {
    run(async {
        let (_socket, address) = refusing_address();
        let daemon = daemon("once", &[address]).await;
        let ticket = daemon.ticket().await;
        for _ in 0..2 {
            let reply = post_with_ticket(&daemon, &ticket).await;
            assert_eq!(reply.refusal().1, "not-run", "{reply:?}");
        }
    });
}

/// Guards against a caller that waits for a stalled target while others could answer, and against a
/// cancelled copy whose connection stays open.
#[test]
fn late_request_gets_a_second_copy() {
    run(async {
        let ok = answer(OK, Then::Keep);
        let answers = [vec![ok.clone(); 200], vec![answer("", Then::Wait), ok]].concat();
        // Four addresses share the list of answers; the one that gets the 201st request stalls.
        let target = Target::start(answers.clone()).await;
        let mut addresses = vec![target.address];
        for _ in 0..3 {
            addresses.push(target.listen(answers.clone()).await);
        }
        let mut entry = entry("interactive", &addresses);
        entry["hedge"] = json!({ "enabled": true, "budget_percent": 20 });
        let daemon = Daemon::start(&[entry], json!({})).await;
        // Concurrent callers use all targets, so that their latencies can be compared.
        let caller = async || {
            while target.requests() <= 200 {
                let reply = post(&daemon, "", "body").await;
                assert_eq!(reply.body(), "ok", "{reply:?}");
            }
        };
        tokio::join!(caller(), caller(), caller(), caller(), caller(), caller());
        while target.done.get() < target.requests() {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        assert!(target.bodies.borrow().iter().all(|length| *length == 4));
    });
}
