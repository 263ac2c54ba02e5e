//! Fixtures: a daemon in this process, scripted targets and callers on raw connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use oriolecleat_bench::client;
use oriolecleat_bench::fake::platform::Platform;
use oriolecleat_bench::loopback;
use oriolecleat_bench::process;
use oriolecleat_bench::process::Ports;
use oriolecleat_core::settings;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Longest wait for any step; far more than one takes.
pub const LIMIT: Duration = Duration::from_secs(30);
/// Head timeout and body idle timeout of the daemon, in milliseconds.
pub const IDLE_MS: u64 = 400;

/// Runs a test on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(LIMIT * 2, test)
            .await
            .expect("the test ends in time");
    });
}

/// A daemon that serves until the test process ends.
pub struct Daemon {
    pub ports: Ports,
    _platform: oriolecleat_bench::fake::platform::Server,
}

impl Daemon {
    /// Starts a daemon with `entries`; the fields of `http` override its HTTP settings.
    pub async fn start(entries: &[Value], http: Value) -> Self {
        let platform = Platform::default();
        for (index, entry) in entries.iter().enumerate() {
            platform.put(&format!("entries/{index}"), &entry.to_string());
        }
        let address = loopback::any_port().unwrap();
        let server = platform.serve(address).await.unwrap();
        let service = entries[0]["service"].as_str().unwrap();
        // Another process that listens on all addresses may bind a chosen port before the daemon
        // does.
        for _ in 0..5 {
            let ports = Ports::free().unwrap();
            let (at, vms) = (server.address(), server.address());
            let mut text = process::settings("vm-0", &ports, at, vms);
            // There are no peers to wait for.
            text["view"] = json!({ "peer_wait_ms": 1 });
            text["http"] = json!({ "head_timeout_ms": IDLE_MS, "body_idle_ms": IDLE_MS });
            for (name, value) in http.as_object().unwrap() {
                text["http"][name] = value.clone();
            }
            let settings = settings::parse(&text.to_string()).expect("the settings hold");
            let thread = std::thread::spawn(move || oriolecleatd::run(settings, Path::new("")));
            if wait_until_ready(ports.caller, service, &thread).await {
                return Self {
                    ports,
                    _platform: server,
                };
            }
        }
        panic!("the daemon does not start");
    }

    /// Sends `bytes` and reads until the connection ends.
    pub async fn call(&self, bytes: &[u8]) -> Reply {
        let mut stream = TcpStream::connect(self.ports.caller).await.unwrap();
        // The daemon may answer and close before it has the whole request.
        let _ = stream.write_all(bytes).await;
        read_to_end(&mut stream).await
    }

    /// Gets a ticket from the directory.
    pub async fn ticket(&self) -> String {
        let path = "/v1/addresses?service=s";
        let answer = client::get(self.ports.directory, "directory", path)
            .await
            .unwrap();
        let answer: Value = serde_json::from_slice(answer.body()).unwrap();
        answer["addresses"][0]["ticket"]
            .as_str()
            .unwrap()
            .to_owned()
    }
}

/// Waits until the entries are in effect, by requests that are refused before they reach a target;
/// false if the daemon ended.
async fn wait_until_ready<T>(address: SocketAddr, service: &str, thread: &JoinHandle<T>) -> bool {
    let request = format!("GET / HTTP/1.1\r\nhost: {service}\r\noriolecleat-depth: 16\r\n\r\n");
    while !thread.is_finished() {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut answer = [0; 64];
            let read = stream.read(&mut answer).await.unwrap_or(0);
            if answer[..read].starts_with(b"HTTP/1.1 508") {
                return true;
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// What a caller received until its connection ended.
#[derive(Debug)]
pub struct Reply {
    pub text: String,
    /// Whether the connection ended with a close, not with a reset.
    pub clean: bool,
}

impl Reply {
    /// Value of the first header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.text.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }

    pub fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }

    /// Code and outcome of a refusal. Headers and body have to agree.
    pub fn refusal(&self) -> (String, String) {
        let body: Value = serde_json::from_str(self.body()).expect("the body is JSON");
        let field = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        assert_eq!(self.header("oriolecleat-code"), Some(&*field("code")));
        assert_eq!(self.header("oriolecleat-outcome"), Some(&*field("outcome")));
        (field("code"), field("outcome"))
    }
}

/// Reads until the connection ends.
pub async fn read_to_end(stream: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(LIMIT, stream.read_to_end(&mut bytes))
        .await
        .expect("the connection ends");
    Reply {
        text: String::from_utf8_lossy(&bytes).into_owned(),
        clean: read.is_ok(),
    }
}

/// What a target does after it has sent an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Then {
    Keep,
    Close,
    Reset,
    Wait,
    /// Sends the answer a second time after a pause.
    Again,
}

/// An answer of a scripted target.
#[derive(Clone, Debug)]
pub struct Answer {
    pub bytes: Vec<u8>,
    pub then: Then,
    /// Whether it is sent before the body of the request is read.
    pub early: bool,
}

/// An answer with these bytes, after the body of the request was read.
pub fn answer(text: &str, then: Then) -> Answer {
    Answer {
        bytes: text.as_bytes().to_vec(),
        then,
        early: false,
    }
}

/// A target that sends its answers in order and repeats the last one.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    pub heads: Rc<RefCell<Vec<String>>>,
    /// Lengths of the bodies read.
    pub bodies: Rc<RefCell<Vec<usize>>>,
    pub connections: Rc<Cell<usize>>,
    /// Answers whose follow-up is complete.
    pub done: Rc<Cell<usize>>,
}

impl Target {
    pub async fn start(answers: Vec<Answer>) -> Self {
        let mut target = Self {
            address: (Ipv4Addr::UNSPECIFIED, 0).into(),
            heads: Rc::default(),
            bodies: Rc::default(),
            connections: Rc::default(),
            done: Rc::default(),
        };
        target.address = target.listen(answers).await;
        target
    }

    /// Listens on a further address.
    pub async fn listen(&self, answers: Vec<Answer>) -> SocketAddr {
        let listener = TcpListener::bind(loopback::any_port().unwrap())
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let state = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                state.connections.set(state.connections.get() + 1);
                tokio::task::spawn_local(serve(stream, state.clone(), answers.clone()));
            }
        });
        address
    }

    /// Content-Length of the newest request.
    fn length(&self) -> usize {
        let heads = self.heads.borrow();
        let last = heads.last().map_or("", |head| head.as_str());
        let mut lines = last.lines().filter_map(|line| line.split_once(": "));
        let length = lines.find(|(name, _)| *name == "content-length");
        length.map_or(0, |(_, length)| length.parse().unwrap())
    }

    /// Requests seen.
    pub fn requests(&self) -> usize {
        self.heads.borrow().len()
    }
}

async fn serve(mut stream: TcpStream, target: Target, answers: Vec<Answer>) {
    while let Some(head) = read_head(&mut stream).await {
        let number = target.requests().min(answers.len() - 1);
        target.heads.borrow_mut().push(head);
        let answer = &answers[number];
        if !answer.early {
            let length = target.length();
            let mut body = vec![0; length];
            if stream.read_exact(&mut body).await.is_err() {
                return;
            }
            target.bodies.borrow_mut().push(length);
        }
        if stream.write_all(&answer.bytes).await.is_err() {
            return;
        }
        match answer.then {
            Then::Keep => {}
            Then::Again => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                stream.write_all(&answer.bytes).await.unwrap();
            }
            Then::Close => {
                drop(stream);
                return target.done.set(target.done.get() + 1);
            }
            Then::Reset => {
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                return;
            }
            Then::Wait => {
                // Holds the connection until the other side closes it.
                let mut bytes = [0; 1024];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
                return target.done.set(target.done.get() + 1);
            }
        }
        target.done.set(target.done.get() + 1);
    }
}

/// Reads the head of the next request and leaves its body in the connection.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// An entry of service `s` with these targets.
pub fn entry(class: &str, targets: &[SocketAddr]) -> Value {
    let target = |(index, address): (usize, &SocketAddr)| {
        json!({
            "name": format!("target-{index}"), "address": address.to_string(), "vm": "v",
            "region": "local", "data_center": "local-a", "slots": 64,
        })
    };
    let targets: Vec<Value> = targets.iter().enumerate().map(target).collect();
    // A measuring budget of zero keeps probes away from the scripted targets.
    let limits = json!({
        "measuring_bytes_per_s": 0, "measuring_burst_bytes": 0, "rate_per_s": 10_000_000,
        "rate_burst": 10_000_000, "concurrency": 1_000_000,
    });
    let mut entry = json!({
        "service": "s", "owner": "o", "class": class, "deadline_ms": 5_000, "targets": targets,
        "limits": limits,
    });
    if class != "once" {
        entry["retry"] = json!({ "attempts": 2, "budget_percent": 100 });
    }
    entry
}
