//! Stand-ins for the platform's store, upstreams and requesters, and the processes under test.
//! Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Writes what was sent, answered and run, with the milliseconds since the start of the script.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }
}

/// Sleeps until `at` after `start`.
pub fn sleep_until(at: Instant) {
    let now = Instant::now();
    if at > now {
        thread::sleep(at - now);
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` if the connection ends before the message is whole.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = loop {
                if let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
                    buffer.drain(..end + 2);
                    break usize::from_str_radix(text.trim(), 16).ok()?;
                }
                fill(stream, buffer)?;
            };
            while buffer.len() < size + 2 {
                fill(stream, buffer)?;
            }
            message.body.extend_from_slice(&buffer[..size]);
            buffer.drain(..size + 2);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 65_536];
    match stream.read(&mut part) {
        Ok(0) | Err(_) => None,
        Ok(read) => {
            buffer.extend_from_slice(&part[..read]);
            Some(())
        }
    }
}

/// One request on a new connection. The error tells how the connection ended without an answer.
pub fn ask(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|error| format!("no connection: {error}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream
        .write_all(&bytes)
        .map_err(|error| format!("not sent: {error}"))?;
    let start = Instant::now();
    let mut buffer = Vec::new();
    read_message(&mut stream, &mut buffer).ok_or_else(|| {
        if start.elapsed() >= limit {
            "no answer within the time limit".to_owned()
        } else {
            "connection ended without a complete answer".to_owned()
        }
    })
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - part.len()));
        for index in 0..4 {
            if index <= part.len() {
                let digit = (number >> (18 - 6 * index)) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A loopback address of this run.
fn host() -> IpAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = std::process::id();
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = id.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        16 + high % 200,
        low,
        1 + (next % 250) as u8,
    ))
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Items {
    items: BTreeMap<String, (String, u64)>,
    /// Changes in order: key, text unless deleted, revision.
    history: Vec<(String, Option<String>, u64)>,
    revision: u64,
    /// How often the waiting watches were cut.
    cuts: u64,
}

/// A store that can only be read: ranges and watches. All its answers are current.
#[derive(Clone)]
pub struct Store {
    items: Arc<(Mutex<Items>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind((host(), 0)).expect("a loopback port is free");
        let store = Self {
            items: Arc::default(),
            address: listener.local_addr().unwrap(),
        };
        store.items.0.lock().unwrap().revision = 10;
        let served = store.clone();
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                let record = record.clone();
                thread::spawn(move || store.serve(stream, &record));
            }
        });
        store
    }

    pub fn put(&self, key: &str, text: &str) {
        self.change(key, Some(text));
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, text: Option<&str>) {
        let mut items = self.items.0.lock().unwrap();
        Self::apply(&mut items, key, text);
        self.items.1.notify_all();
    }

    fn apply(items: &mut Items, key: &str, text: Option<&str>) {
        items.revision += 1;
        let revision = items.revision;
        match text {
            Some(text) => items
                .items
                .insert(key.to_owned(), (text.to_owned(), revision)),
            None => items.items.remove(key),
        };
        items
            .history
            .push((key.to_owned(), text.map(str::to_owned), revision));
    }

    /// Cuts all watches that wait now, then deletes `key`. All later calls are answered as usual.
    pub fn cut_watches_and_delete(&self, key: &str) {
        let mut items = self.items.0.lock().unwrap();
        items.cuts += 1;
        Self::apply(&mut items, key, None);
        self.items.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let (path, query) = request
                .path()
                .split_once('?')
                .unwrap_or((request.path(), ""));
            let query: BTreeMap<&str, &str> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .collect();
            let text = |name: &str| {
                let text = query.get(name).copied().unwrap_or("");
                text.replace("%2F", "/").replace("%2f", "/")
            };
            let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
            let answer = match path {
                "/oriolecleat/kv-range" => Some(self.range(&text("prefix"), &text("after"))),
                "/oriolecleat/kv-watch" => self.watch(
                    &text("prefix"),
                    number("after"),
                    ms(number("wait_ms").min(30_000)),
                ),
                _ => Some("{}".to_owned()),
            };
            let Some(answer) = answer else {
                record.line("store: a waiting watch is cut");
                return;
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if stream
                .write_all(&[head.as_bytes(), answer.as_bytes()].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.0.lock().unwrap();
        let found = items.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let rows: Vec<String> = found
            .map(|(key, (text, revision))| item(key, Some(text), *revision))
            .collect();
        format!(
            r#"{{"items":[{}],"more_pages":false,"as_of":{}}}"#,
            rows.join(","),
            items.revision
        )
    }

    /// The events after a revision, as soon as there are any; `None` if the watch was cut.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let end = Instant::now() + wait;
        let mut items = self.items.0.lock().unwrap();
        let cuts = items.cuts;
        loop {
            if items.cuts > cuts {
                return None;
            }
            let events = items
                .history
                .iter()
                .filter(|(key, _, revision)| *revision > after && key.starts_with(prefix));
            let rows: Vec<String> = events
                .map(|(key, text, revision)| item(key, text.as_deref(), *revision))
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                let rows = rows.join(",");
                let revision = items.revision;
                return Some(format!(r#"{{"events":[{rows}],"as_of":{revision}}}"#));
            }
            items = self.items.1.wait_timeout(items, end - now).unwrap().0;
        }
    }
}

fn item(key: &str, text: Option<&str>, revision: u64) -> String {
    match text {
        Some(text) => format!(
            r#"{{"key":"{key}","value":"{}","rev":{revision},"create_revision":{revision},"lease":0}}"#,
            base64(text.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","rev":{revision},"deleted":true}}"#),
    }
}

// ---------------------------------------------------------------------------------------------
// Upstreams

/// A request as an upstream got it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub upstream: String,
    pub id: String,
    pub method: String,
    pub body: Vec<u8>,
}

/// A sound upstream. A path that ends with `/wN` takes N ms of work.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    running: Arc<AtomicU64>,
    record: Record,
    /// Whether each arrival is written to the record.
    loud: bool,
}

pub const SLOTS: u64 = 4;

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
        loud: bool,
    ) -> Self {
        let listener = TcpListener::bind((host(), 0)).expect("a loopback port is free");
        let upstream = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            arrivals: Arc::clone(arrivals),
            running: Arc::default(),
            record: record.clone(),
            loud,
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = served.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    /// The entry under which it registers.
    pub fn entry(&self, state: &str, seq: u64) -> String {
        format!(
            r#"{{"address":"{}","born":1700000000000,"info":{{"service":"{}","version":"v1","zone":"{}","slots":{SLOTS}}},"status":{{"state":"{state}","seq":{seq},"cold_left_s":0}}}}"#,
            self.address, self.service, self.zone
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let load = format!("{},0,{SLOTS},100", self.running.load(Ordering::Relaxed));
            if request.path() == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Upstream-Load: {load}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request
                .header("x-request-attempt-id")
                .unwrap_or("")
                .to_owned();
            let echo = format!("X-Request-Attempt-Id: {id}\r\n");
            if request
                .header("x-target-instance")
                .is_some_and(|target| target != self.id)
            {
                self.record
                    .line(&format!("upstream {} answers 421 to {id}", self.id));
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{echo}X-Instance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.arrivals.lock().unwrap().push(Arrival {
                at: Instant::now(),
                upstream: self.id.clone(),
                id: id.clone(),
                method: request
                    .first
                    .split(' ')
                    .next()
                    .unwrap_or_default()
                    .to_owned(),
                body: request.body.clone(),
            });
            if self.loud {
                self.record.line(&format!("upstream {} runs {id}", self.id));
            }
            let work = request.path().rsplit("/w").next();
            let work = ms(work.and_then(|work| work.parse().ok()).unwrap_or(1));
            self.running.fetch_add(1, Ordering::Relaxed);
            let stayed = work_for(&mut stream, work);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if !stayed {
                if self.loud {
                    self.record.line(&format!(
                        "upstream {} drops {id}: its connection closed",
                        self.id
                    ));
                }
                return;
            }
            let body = format!("whole body of {id}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{echo}X-Upstream-Signature: sig.{}.{id}\r\n\
                 X-Upstream-Load: {load}\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            if self.loud {
                self.record
                    .line(&format!("upstream {} answers {id}", self.id));
            }
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Works for some time; false if the connection was closed meanwhile.
fn work_for(stream: &mut TcpStream, work: Duration) -> bool {
    let end = Instant::now() + work;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let _ = stream.set_read_timeout(None);
            return true;
        }
        let _ = stream.set_read_timeout(Some(left.max(ms(1))));
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            // The next request must wait.
            Ok(_) => thread::sleep(left),
            Err(error) => match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {}
                _ => return false,
            },
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Machines of the system

pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
}

/// A machine that runs the process of the deploy file.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    operator: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What the settings of all machines share. The text is that of `deploy/settings.json`, with the
/// figures of the small site files.
pub struct Deployment {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zones: &'static [Place],
}

impl Deployment {
    pub fn machine(&self, name: &str, place: &Place, seeds: &[SocketAddr]) -> Machine {
        let ip = host();
        let open: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind((ip, 0)).expect("a loopback port is free"))
            .collect();
        let port: Vec<SocketAddr> = open.iter().map(|open| open.local_addr().unwrap()).collect();
        drop(open);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let regions: Vec<String> = self
            .zones
            .iter()
            .map(|place| format!("\"{}\":\"{}\"", place.zone, place.region))
            .collect();
        let settings = format!(
            r#"{{
  "vm": "{name}",
  "region": "{region}",
  "data_center": "{zone}",
  "fleet": "hosted",
  "fleet_key": "hosted-fleet: the platform gives no secret to its processes",
  "listen": {{"directory": "{}", "caller": "{}", "peer": "{}", "operator": "{}"}},
  "platform": {{"configuration": "{}"}},
  "seeds": [{}],
  "view": {{"stale_after_ms": 30000, "takeover_after_ms": 2500, "peer_wait_ms": 1, "readers_per_data_center": 1}},
  "stop": {{"address_ttl_ms": 1500, "drain_limit_ms": 2200}},
  "http": {{"head_timeout_ms": 20000, "connect_timeout_ms": 120, "connections": 3000}},
  "evidence": {{"leaving_hold_ms": 1000}},
  "hosting": {{
    "ready": "{}", "metrics": "{}",
    "repeats": {{"ratio": 0.2, "slack": 62, "window_s": 10, "vm_ceiling": 512}},
    "grace_s": 6, "named": 1, "cores": 0.2, "link_mbps": 1000.0,
    "regions": {{{}}}
  }}
}}
"#,
            port[1],
            port[0],
            port[2],
            port[3],
            self.store,
            seeds.join(","),
            port[4],
            port[5],
            regions.join(","),
            region = place.region,
            zone = place.zone,
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the temporary folder can be written");
        Machine {
            name: name.to_owned(),
            front: port[0],
            directory: port[1],
            ready: port[4],
            peer: port[2],
            operator: port[3],
            program: self.program.clone(),
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }
}

impl Machine {
    pub fn start(&mut self) {
        let log = File::options()
            .append(true)
            .create(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(&self.program)
            .env_clear()
            .env("ORIOLECLEAT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program can be started");
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: kill takes two integers and touches no memory of this process.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        matches!(child.try_wait(), Ok(None))
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /oriolecleat/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        ask(self.ready, head, b"", ms(500)).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether it reads the store now, by the newest line of its log on that.
    pub fn reads_store(&self) -> bool {
        let log = self.log();
        let starts = log.rfind("reading of the store starts");
        starts.is_some() && starts > log.rfind("reading of the store ends")
    }

    /// Age of its view of the store in ms, as its page for operators states it.
    pub fn view_age_ms(&self) -> Option<u64> {
        let head = "GET /v1/status HTTP/1.1\r\nHost: operator\r\nConnection: close\r\n\r\n";
        let text = ask(self.operator, head, b"", ms(500)).ok()?.text();
        let (_, rest) = text.split_once("\"view\":{\"age_ms\":")?;
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    }

    /// The addresses that its directory names to a requester.
    pub fn resolve(&self, name: &str, place: &Place) -> Vec<SocketAddr> {
        let head = format!(
            "GET /oriolecleat/resolve?name={name}&region={}&zone={} HTTP/1.1\r\nHost: d\r\n\
             Connection: close\r\n\r\n",
            place.region, place.zone
        );
        let Ok(answer) = ask(self.directory, &head, b"", ms(1_000)) else {
            return Vec::new();
        };
        let text = answer.text();
        let found = text.split('"').filter_map(|part| part.parse().ok());
        found.collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `holds`; false after the limit.
pub fn wait(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        thread::sleep(ms(20));
    }
    false
}

/// A request as a requester sends it, without a body.
pub fn get(host: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}
