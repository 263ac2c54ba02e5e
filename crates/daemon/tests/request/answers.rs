//! Answers of targets reach the right caller whole, or are visibly truncated or refused.

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::Answer;
use crate::support::Daemon;
use crate::support::Target;
use crate::support::Then;
use crate::support::answer;
use crate::support::entry;
use crate::support::run;

const GET: &str = "GET / HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn daemon(targets: &[&Target]) -> Daemon {
    let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
    Daemon::start(&[entry("interactive", &addresses)], json!({})).await
}

#[derive(Clone)]
struct Case {
    guards_against: &'static str,
    request: &'static str,
    answer: Answer,
    status: u16,
    code: Option<(&'static str, &'static str)>,
    body: &'static str,
    clean: bool,
}

fn answer_case(guards_against: &'static str, text: &str, then: Then, body: &'static str) -> Case {
    Case {
        guards_against,
        request: GET,
        answer: answer(text, then),
        status: 200,
        code: None,
        body,
        clean: true,
    }
}

fn refusal_case(
    guards_against: &'static str,
    text: &str,
    then: Then,
    code: (&'static str, &'static str),
) -> Case {
    Case {
        status: 502,
        code: Some(code),
        ..answer_case(guards_against, text, then, "")
    }
}

fn whole_answers() -> Vec<Case> {
    vec![
        answer_case("a changed body", OK, Then::Keep, "ok"),
        answer_case(
            "a connection that the target closes after its answer",
            OK,
            Then::Close,
            "ok",
        ),
        answer_case(
            "an interim answer taken for the final one",
            &format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n{OK}"
            ),
            Then::Keep,
            "ok",
        ),
        Case {
            status: 204,
            ..answer_case(
                "a wait for a body that a 204 does not have",
                "HTTP/1.1 204 No Content\r\n\r\n",
                Then::Keep,
                "",
            )
        },
        Case {
            status: 304,
            ..answer_case(
                "a wait for a body that a 304 only describes",
                "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
                Then::Keep,
                "",
            )
        },
        Case {
            request: "HEAD / HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n",
            ..answer_case(
                "a wait for the body that HEAD leaves out",
                "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
                Then::Keep,
                "",
            )
        },
        Case {
            status: 503,
            ..answer_case(
                "an error of the target's own taken for a shed answer",
                "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\nno",
                Then::Keep,
                "no",
            )
        },
    ]
}

fn truncated_answers() -> Vec<Case> {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345";
    let cut_chunk = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n";
    vec![
        Case {
            clean: false,
            ..answer_case(
                "a cut answer with a length that ends cleanly",
                cut,
                Then::Close,
                "12345",
            )
        },
        Case {
            clean: false,
            ..answer_case("a reset that ends cleanly", cut, Then::Reset, "12345")
        },
        Case {
            clean: false,
            ..answer_case(
                "a cut answer in chunks that ends cleanly",
                cut_chunk,
                Then::Close,
                "",
            )
        },
        Case {
            request: "GET / HTTP/1.0\r\nhost: s\r\n\r\n",
            clean: false,
            ..answer_case(
                "a cut answer to a caller that reads until the end",
                cut_chunk,
                Then::Close,
                "",
            )
        },
        Case {
            clean: false,
            ..answer_case(
                "a target that stops in its answer",
                cut,
                Then::Wait,
                "12345",
            )
        },
    ]
}

fn refused_answers() -> Vec<Case> {
    let big = format!(
        "HTTP/1.1 200 OK\r\nx: {}\r\ncontent-length: 0\r\n\r\n",
        "x".repeat(200_000)
    );
    let unknown = ("target_bad_answer", "unknown");
    let ran = ("target_bad_answer", "ran");
    vec![
        refusal_case(
            "an answer whose end looks like a lost connection",
            "HTTP/1.1 200 OK\r\n\r\n12345",
            Then::Close,
            ran,
        ),
        refusal_case(
            "an upgrade that nobody asked for",
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
            Then::Keep,
            ran,
        ),
        refusal_case(
            "an answer that carries the id of another request",
            "HTTP/1.1 200 OK\r\noriolecleat-request-id: x\r\ncontent-length: 2\r\n\r\nok",
            Then::Keep,
            ran,
        ),
        refusal_case(
            "lengths that contradict each other",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
            Then::Keep,
            unknown,
        ),
        refusal_case("a head without bounds", &big, Then::Keep, unknown),
        refusal_case(
            "an answer in another protocol",
            "hello\r\n\r\n",
            Then::Keep,
            unknown,
        ),
        refusal_case(
            "a closed connection reported as not run",
            "",
            Then::Close,
            ("target_failed", "unknown"),
        ),
    ]
}

/// Each case names the failure that it guards against.
#[test]
fn answers_are_whole_or_visibly_cut() {
    run(async {
        let cases = [whole_answers(), truncated_answers(), refused_answers()].concat();
        let mut entries = Vec::new();
        for (number, case) in cases.iter().enumerate() {
            let target = Target::start(vec![case.answer.clone()]).await;
            let mut entry = entry("interactive", &[target.address]);
            entry["service"] = json!(format!("case-{number}"));
            entries.push(entry);
        }
        let daemon = Daemon::start(&entries, json!({})).await;
        for (number, case) in cases.iter().enumerate() {
            let host = format!("host: case-{number}\r\n");
            let request = case.request.replace("host: s\r\n", &host);
            let reply = daemon.call(request.as_bytes()).await;
            let start: String = reply.text.chars().take(1_000).collect();
            let what = format!("{}: {start}", case.guards_against);
            // A reset may discard the part of the answer that was sent before it.
            if case.clean || !reply.text.is_empty() {
                assert_eq!(reply.status(), case.status, "{what}");
            }
            match case.code {
                Some((code, outcome)) => {
                    assert_eq!(
                        reply.refusal(),
                        (code.to_owned(), outcome.to_owned()),
                        "{what}"
                    );
                }
                None if case.clean => {
                    assert_eq!(reply.body(), case.body, "{what}");
                    assert_eq!(reply.header("oriolecleat-outcome"), Some("ran"), "{what}");
                }
                None => {
                    let length = reply.header("content-length").map(str::parse::<usize>);
                    let short = matches!(length, Some(Ok(length)) if reply.body().len() < length);
                    let open = reply.header("transfer-encoding").is_some()
                        && !reply.text.ends_with("0\r\n\r\n");
                    assert!(!reply.clean || short || open, "{what}");
                }
            }
        }
    });
}

/// Guards against an oversized head that arrives before hyper stops reading.
#[test]
fn head_slightly_too_large_is_refused() {
    run(async {
        let pad = "x".repeat(33_000);
        let text = format!("HTTP/1.1 200 OK\r\nx: {pad}\r\ncontent-length: 0\r\n\r\n");
        let target = Target::start(vec![answer(&text, Then::Keep)]).await;
        let daemon = daemon(&[&target]).await;
        let reply = daemon.call(GET.as_bytes()).await;
        assert_eq!(reply.refusal().0, "target_bad_answer");
    });
}

/// Guards against a connection that is pooled although its answer was late or was not read to the
/// end.
#[test]
fn connection_of_a_caller_that_left_is_closed() {
    run(async {
        let cut = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345";
        let target = Target::start(vec![answer(cut, Then::Wait), answer(OK, Then::Keep)]).await;
        let daemon = daemon(&[&target]).await;
        let mut stream = TcpStream::connect(daemon.ports.caller).await.unwrap();
        stream.write_all(GET.as_bytes()).await.unwrap();
        assert!(stream.read(&mut [0; 16]).await.unwrap() > 0);
        drop(stream);
        assert_eq!(daemon.call(GET.as_bytes()).await.body(), "ok");
        assert_eq!(target.connections.get(), 2);
    });
}

/// Guards against a delay of an answer that the target sent before it had the whole request, and
/// against reuse of the connection on which the rest of the request may follow.
#[test]
fn early_answer_is_passed_on() {
    run(async {
        let early = Answer {
            early: true,
            ..answer(OK, Then::Keep)
        };
        let target = Target::start(vec![early]).await;
        let daemon = daemon(&[&target]).await;
        let mut stream = TcpStream::connect(daemon.ports.caller).await.unwrap();
        let head = "POST / HTTP/1.1\r\nhost: s\r\ncontent-length: 100000\r\n\r\nstart";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut answer = vec![0; 4096];
        let read = stream.read(&mut answer).await.unwrap();
        assert!(answer[..read].starts_with(b"HTTP/1.1 200"));
        assert_eq!(daemon.call(GET.as_bytes()).await.body(), "ok");
        assert_eq!(target.connections.get(), 2);
    });
}

/// Guards against a new connection for each request.
#[test]
fn clean_connection_is_reused() {
    run(async {
        let target = Target::start(vec![answer(OK, Then::Keep)]).await;
        let daemon = daemon(&[&target]).await;
        for _ in 0..10 {
            assert_eq!(daemon.call(GET.as_bytes()).await.body(), "ok");
        }
        assert_eq!(target.connections.get(), 1);
    });
}

/// Guards against answers of pipelined requests that are lost or out of order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let first = OK.replace("ok", "1.");
        let second = OK.replace("ok", "2.");
        let answers = vec![answer(&first, Then::Keep), answer(&second, Then::Keep)];
        let target = Target::start(answers).await;
        let daemon = daemon(&[&target]).await;
        let both = format!("GET / HTTP/1.1\r\nhost: s\r\n\r\n{GET}");
        let reply = daemon.call(both.as_bytes()).await;
        let order: Vec<_> = reply.text.matches(['1', '2']).collect();
        let bodies: Vec<_> = reply.text.match_indices("\r\n\r\n").collect();
        assert_eq!(bodies.len(), 2, "{order:?}");
        assert!(reply.text.find("\r\n\r\n1.") < reply.text.find("\r\n\r\n2."));
    });
}

/// Guards against trailers that break the framing, and against their loss for a caller that asked
/// for them.
#[test]
fn trailers_are_passed_to_callers_that_ask() {
    run(async {
        let text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: sum\r\n\r\n\
                    2\r\nok\r\n0\r\nsum: 7\r\n\r\n";
        let target = Target::start(vec![answer(text, Then::Keep)]).await;
        let daemon = daemon(&[&target]).await;
        let plain = daemon.call(GET.as_bytes()).await;
        assert!(plain.body().ends_with("2\r\nok\r\n0\r\n\r\n"), "{plain:?}");
        let asking = GET.replace("connection: close", "te: trailers\r\nconnection: te, close");
        let reply = daemon.call(asking.as_bytes()).await;
        assert!(reply.body().ends_with("0\r\nsum: 7\r\n\r\n"), "{reply:?}");
    });
}
