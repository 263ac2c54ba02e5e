//! Test deployment: fakes, daemons and a directory for their logs.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use oriolecleat_bench::fake::platform::Platform;
use oriolecleat_bench::fake::server::Server;
use oriolecleat_bench::fake::target::Target;
use oriolecleat_bench::loopback;
use oriolecleat_bench::process;
use oriolecleat_bench::process::Daemon;
use oriolecleat_bench::process::Ports;
use serde_json::Value;
use serde_json::json;
use tokio::task::LocalSet;

/// Generous limit for events without a bound of their own.
pub const LIMIT: Duration = Duration::from_secs(40);
pub const ADDRESS_TTL_MS: u64 = 1_000;
const TEST_LIMIT: Duration = Duration::from_mins(3);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A target with its port; without a server it refuses connections.
pub struct Served {
    pub name: Box<str>,
    pub target: Target,
    pub server: Option<Server>,
    pub address: SocketAddr,
}

pub struct World {
    pub configuration: Platform,
    pub list: Platform,
    /// None while the service is down.
    pub configuration_server: Option<Server>,
    pub list_server: Option<Server>,
    pub targets: Vec<Served>,
    pub daemons: Vec<Daemon>,
    addresses: (SocketAddr, SocketAddr),
    binary: PathBuf,
    logs: PathBuf,
    started: usize,
}

/// Runs `test` while no other test of this binary runs, so that few processes run at once.
pub fn run<F: Future<Output = ()>>(name: &str, test: impl FnOnce(World) -> F) {
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(name).await;
        tokio::time::timeout(TEST_LIMIT, test(world))
            .await
            .expect("the test ends");
    });
}

/// Waits until `condition` returns true; panics with `what` after [`LIMIT`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(LIMIT, poll).await;
    assert!(waited.is_ok(), "{what} did not happen");
}

impl World {
    async fn new(name: &str) -> Self {
        static BINARY: OnceLock<PathBuf> = OnceLock::new();
        let binary = BINARY.get_or_init(|| process::build().expect("the daemon builds"));
        let configuration = Platform::default();
        let list = Platform::default();
        let serve = |platform: &Platform| {
            let platform = platform.clone();
            let address = loopback::any_port().expect("an address");
            async move { platform.serve(address).await.expect("a port") }
        };
        let configuration_server = serve(&configuration).await;
        let list_server = serve(&list).await;
        let logs = std::env::temp_dir().join(format!("oriolecleat-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&logs).expect("a place for logs");
        let fleet = json!({ "generation": 0, "vm_ceiling": 3, "configuration_calls_per_s": 2_000 });
        configuration.put("fleet", &fleet.to_string());
        Self {
            addresses: (configuration_server.address(), list_server.address()),
            configuration,
            list,
            configuration_server: Some(configuration_server),
            list_server: Some(list_server),
            targets: Vec::new(),
            daemons: Vec::new(),
            binary: binary.clone(),
            logs,
            started: 0,
        }
    }

    /// Starts `count` targets that take `millis` milliseconds for each request.
    pub async fn start_targets(&mut self, count: usize, millis: u64) {
        for _ in 0..count {
            let name = format!("target-{}", self.targets.len());
            let target = Target::new(&name, Duration::from_millis(millis));
            let address = loopback::any_port().expect("an address");
            let server = target.serve(address).await.expect("a port");
            let address = server.address();
            self.targets.push(Served {
                name: name.into(),
                target,
                server: Some(server),
                address,
            });
        }
    }

    /// Publishes an entry with all targets except `without`; the fields of `more` are added to it.
    pub fn publish(&self, service: &str, class: &str, more: &Value, without: Option<&str>) {
        let named = self
            .targets
            .iter()
            .filter(|served| Some(&*served.name) != without);
        let targets: Vec<Value> = named
            .map(|served| {
                json!({
                    "name": served.name,
                    "address": served.address.to_string(),
                    "vm": format!("vm-of-{}", served.name),
                    "region": "local",
                    "data_center": "local-a",
                })
            })
            .collect();
        let mut entry =
            json!({ "service": service, "owner": "test", "class": class, "targets": targets });
        for (field, value) in more.as_object().into_iter().flatten() {
            entry[field] = value.clone();
        }
        let key = format!("entries/{service}");
        self.configuration.put(&key, &entry.to_string());
    }

    /// Starts a daemon with the others as seeds and waits until it serves `service`.
    pub async fn start_daemon(&mut self, service: &str) {
        let ports = Ports::free().expect("four ports");
        let name = format!("vm-{}", self.started);
        self.started += 1;
        let (configuration, list) = self.addresses;
        let mut settings = process::settings(&name, &ports, configuration, list);
        settings["stop"] = json!({ "address_ttl_ms": ADDRESS_TTL_MS });
        let peers = self.daemons.iter();
        let seeds = peers.map(|daemon| Value::from(daemon.ports().peer.to_string()));
        settings["seeds"] = seeds.collect();
        let log = self.logs.join(format!("{name}.log"));
        let daemon = Daemon::start(&self.binary, ports, &settings, &log).expect("a process");
        daemon
            .wait_until_ready(service, LIMIT)
            .await
            .expect("the daemon serves");
        self.daemons.push(daemon);
    }

    /// Stops the configuration service and the VM list; what is published from now on reaches no VM.
    pub async fn stop_platform(&mut self) {
        let servers = [self.configuration_server.take(), self.list_server.take()];
        for server in servers.into_iter().flatten() {
            server.stop().await;
        }
    }

    /// Restarts the configuration service and the VM list at their old addresses.
    pub async fn restore_platform(&mut self) {
        let (configuration, list) = self.addresses;
        let server = self.configuration.serve(configuration).await;
        self.configuration_server = Some(server.expect("the port is free again"));
        let server = self.list.serve(list).await;
        self.list_server = Some(server.expect("the port is free again"));
    }

    /// How often the request with this id ran, over all targets.
    pub fn runs(&self, id: &str) -> u64 {
        self.targets
            .iter()
            .map(|served| served.target.runs(id))
            .sum()
    }

    /// Identifiers of the requests that `target` ran, in order.
    pub fn order(&self, target: usize) -> Vec<Box<str>> {
        self.targets[target].target.order()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // The logs of a failed test are kept.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.logs);
        }
    }
}
