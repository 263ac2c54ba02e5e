//! Tests of the commands that query the operator port, against a mock server that answers with the
//! examples of `docs/operator-api.md`.

mod tool;

use std::convert::Infallible;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oriolecleat_bench::loopback;
use tokio::net::TcpListener;
use tool::run;

const PAGE: &str = include_str!("../../../docs/operator-api.md");

type Answer = fn(&str) -> (u16, String);

/// The example answer on the documentation page under the heading `## GET path`.
fn example(path: &str) -> String {
    let heading = format!("\n## GET {path}\n");
    let section = PAGE
        .split_once(&heading)
        .expect("the page has the heading")
        .1;
    let block = section
        .split_once("```json\n")
        .expect("the section has an example")
        .1;
    block
        .split_once("```")
        .expect("the block ends")
        .0
        .to_owned()
}

/// Answers a request with the example of the documentation page.
fn page(target: &str) -> (u16, String) {
    let path = target.split('?').next().unwrap_or_default();
    let path = match path.split('/').collect::<Vec<&str>>()[..] {
        [_, _, "explain", kind @ ("entry" | "vm"), _] => format!("/v1/explain/{kind}/NAME"),
        [_, _, "explain", "target", _, _] => "/v1/explain/target/SERVICE/NAME".to_owned(),
        _ => path.to_owned(),
    };
    (200, example(&path))
}

/// Starts a mock server that runs until the test process ends; the receiver gets the target of each
/// request.
fn serve(answer: Answer) -> (SocketAddr, Receiver<String>) {
    let (addresses, address) = mpsc::channel();
    let (requests, received) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let own = loopback::any_port().unwrap();
            let listener = TcpListener::bind(own).await.unwrap();
            addresses.send(listener.local_addr().unwrap()).unwrap();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let requests = requests.clone();
                let respond = service_fn(move |request: Request<Incoming>| {
                    let target = request.uri().to_string();
                    let (status, body) = answer(&target);
                    let _ = requests.send(target);
                    let response = Response::builder().status(status);
                    let response = response.body(Full::new(Bytes::from(body))).unwrap();
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), respond);
                tokio::spawn(connection);
            }
        });
    });
    (address.recv().unwrap(), received)
}

/// Guards against a tool that cannot decode the answers on the documentation page, requests wrong
/// paths, or exits with wrong codes.
#[test]
fn answers_of_the_page() {
    struct Case {
        arguments: &'static [&'static str],
        path: &'static str,
        code: i32,
        output: &'static [&'static str],
    }
    #[rustfmt::skip]
    let cases = [
        Case { arguments: &["status"], path: "/v1/status", code: 0, output: &[
            "state       serving, ready, up 60 min",
            "view        120 ms old, reads the configuration service",
            "catalogue   6 entries, 0 rejected, 1 tombstones, VM ceiling 24, 200 calls/s",
            "status-desk  2        13       12      12         0",
        ] },
        Case { arguments: &["fleet"], path: "/v1/fleet", code: 0, output: &[
            "VM           STATE  REGION  DATA CENTRE  VIEW AGE  READER  HEARD   UP      BUILD",
            "edge-cai1-2  alive  cai     cai-1        95 ms     yes     400 ms  58 min  0.1.0",
        ] },
        Case { arguments: &["explain", "entry", "status-writes"],
               path: "/v1/explain/entry/status-writes", code: 1, output: &[
            "entry       status-writes, in_effect, version 0.17, from configuration service",
            "rejected    0.52: limits.rate_per_s: must be an integer from 1 to 10000000",
            "because     revision 52 is rejected; revision 17 stays in effect",
            "status-desk-cai1-2  leaving   drain header (2300 ms, edge-cai1-2)",
        ] },
        Case { arguments: &["explain", "target", "status-desk", "status-desk-cai1-2"],
               path: "/v1/explain/target/status-desk/status-desk-cai1-2", code: 0, output: &[
            "target      status-desk/status-desk-cai1-2, usable",
            "chosen      20211 times, last 14 ms ago",
            "because     usable: last response without a drain indication is 14 ms old",
            "load report  900 ms  edge-cai1-2  in flight 1",
        ] },
        Case { arguments: &["explain", "vm", "node-cai1-2"], path: "/v1/explain/vm/node-cai1-2",
               code: 0, output: &[
            "listed      target VM, live, cai, cai-1, 300 ms ago",
            "status-desk/status-desk-cai1-2  usable",
        ] },
        Case { arguments: &["audit", "--subject", "entries/a b", "--kind", "rejected"],
               path: "/v1/audit?subject=entries%2Fa+b&kind=rejected", code: 0, output: &[
            "2025-12-04T10:00:00.123Z  edge-cai1-1 #917  rejected  entries/status-writes  0.52     \
             configuration service  limits.rate_per_s: must be an integer from 1 to 10000000",
        ] },
        Case { arguments: &["audit", "--format", "json"], path: "/v1/audit", code: 0,
               output: &["{\"cause\":\"limits.rate_per_s: must be an integer from 1 to 10000000\",\""] },
        Case { arguments: &["fleet", "--format", "json"], path: "/v1/fleet", code: 0,
               output: &["{\"members\":[{\"build\":\"0.1.0\""] },
    ];
    let (address, requests) = serve(page);
    for case in cases {
        let (command, rest) = case.arguments.split_first().unwrap();
        let operator = address.to_string();
        let arguments = [&[*command, "--operator", &operator], rest].concat();
        let (code, output, error) = run(&arguments);
        assert_eq!(
            (code, error.as_str()),
            (case.code, ""),
            "{arguments:?}: {output}"
        );
        assert_eq!(requests.recv().unwrap(), case.path);
        for expected in case.output {
            assert!(
                output.contains(expected),
                "{arguments:?}: {expected}\n{output}"
            );
        }
    }
}

/// Guards against a status that does not show that a VM is not ready, or which entries are
/// rejected.
#[test]
fn status_of_a_vm_with_faults() {
    struct Case {
        answer: Answer,
        output: &'static str,
    }
    #[rustfmt::skip]
    let cases = [
        Case { answer: |target| {
            let body = page(target).1.replace(r#""ready": true"#, r#""ready": false"#);
            (200, body.replace(r#""reasons": []"#, r#""reasons": ["view_stale"]"#))
        }, output: "state       serving, not ready: view_stale" },
        Case { answer: |target| {
            (200, page(target).1.replace(r#""rejected": 0"#, r#""rejected": 1"#))
        }, output: "rejected    entries/status-writes 0.52 (0.17 stays): limits.rate_per_s: must" },
    ];
    for case in cases {
        let (address, _requests) = serve(case.answer);
        let (code, output, _) = run(&["status", "--operator", &address.to_string()]);
        assert_eq!(code, 1, "{output}");
        assert!(output.contains(case.output), "{output}");
    }
}

/// Guards against a tool that requires fields which an older build, or a VM that has just started,
/// does not send.
#[test]
fn missing_fields_are_printed_as_unknown() {
    let (address, _requests) = serve(|target| {
        let body = match target.split('/').nth(3) {
            Some("entry") => {
                r#"{"name": "x", "state": "in_effect", "limits": [{"name": "queue"}]}"#
            }
            Some("target") => r#"{"service": "x", "name": "y", "standing": "usable", "more": 1}"#,
            Some("vm") => r#"{"name": "x", "member": {"vm": "x", "state": "alive"}}"#,
            _ => r#"{"vm": "x", "state": "serving", "ready": true, "view": {"age_ms": null}}"#,
        };
        (200, body.to_owned())
    });
    let operator = address.to_string();
    #[rustfmt::skip]
    let cases: [(&[&str], &str); 4] = [
        (&["status"], "view        - old"),
        (&["explain", "entry", "x"], "queue  -           -        -     -"),
        (&["explain", "target", "x", "y"], "chosen      - times, last - ago"),
        (&["explain", "vm", "x"], "x   alive  -       -"),
    ];
    for (arguments, expected) in cases {
        let arguments = [&arguments[..1], &["--operator", &operator], &arguments[1..]].concat();
        let (code, output, error) = run(&arguments);
        assert_eq!(code, 0, "{arguments:?}: {error}");
        assert!(output.contains(expected), "{arguments:?}: {output}");
    }
}

/// Guards against failed requests that the tool prints as answers.
#[test]
fn failures_of_the_operator_port() {
    struct Case {
        answer: Answer,
        error: &'static str,
    }
    #[rustfmt::skip]
    let cases = [
        Case { answer: |_| (404, r#"{"error": "no entry named x"}"#.to_owned()),
               error: "answered with status 404: no entry named x" },
        Case { answer: |_| (503, String::new()), error: "answered with status 503" },
        Case { answer: |_| (200, "<html>".to_owned()), error: "did not answer with JSON" },
        Case { answer: |_| (200, "{}".to_owned()),
               error: "does not have the expected fields: missing field `name`" },
        Case { answer: |_| (200, " ".repeat(17 << 20)), error: "length limit exceeded" },
    ];
    for case in cases {
        let (address, _requests) = serve(case.answer);
        let operator = address.to_string();
        let (code, output, error) = run(&["explain", "--operator", &operator, "entry", "x"]);
        assert_eq!((code, output.as_str()), (2, ""), "{error}");
        assert!(error.contains(case.error), "{error}");
    }
}

/// Guards against records that `--follow` prints twice or not at all.
#[test]
fn follow_requests_only_later_records() {
    let (address, requests) = serve(|target| {
        let (status, body) = page("/v1/audit");
        match target {
            "/v1/audit" => (status, body),
            "/v1/audit?after=1764838800000-918" => {
                let later = body.replace("0-918", "0-920").replace("917", "919");
                (status, later)
            }
            _ => (500, String::new()),
        }
    });
    let operator = address.to_string();
    let mut child = tool::tool(&["audit", "--follow", "--operator", &operator])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    // The mock server answers the third request with an error. A tool that does not end then is
    // killed.
    let lines: Vec<String> = lines.map(Result::unwrap).take(6).collect();
    if lines.len() == 6 {
        child.kill().unwrap();
    }
    assert_eq!(child.wait().unwrap().code(), Some(2), "{lines:?}");
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].starts_with("TIME"), "{lines:?}");
    assert!(
        lines[1].contains("#917") && lines[2].contains("#919"),
        "{lines:?}"
    );
    let requested: Vec<String> = requests.try_iter().collect();
    assert_eq!(requested[2], "/v1/audit?after=1764838800000-920");
}
