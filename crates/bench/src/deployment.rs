//! A small deployment on loopback addresses: fakes of the targets, the configuration service and
//! the VM list run in this process, each daemon in a process of its own.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::client;
use crate::client::Failure;
use crate::fake::platform::Platform;
use crate::fake::server::Server;
use crate::fake::target::Target;
use crate::loopback;
use crate::process;
use crate::process::Daemon;
use crate::process::Ports;

const START_LIMIT: Duration = Duration::from_secs(20);
const ADDRESS_TTL_MS: u64 = 1_000;

/// Fakes and daemons with an idempotent service `profiles` and a non-idempotent one `bookings`.
pub struct Deployment {
    /// The configuration service and the VM list.
    pub platform: Platform,
    /// Targets of both services.
    pub targets: Vec<(Target, Server)>,
    /// Running daemons.
    pub daemons: Vec<Daemon>,
    service: Server,
    binary: PathBuf,
    logs: PathBuf,
    started: usize,
}

impl Deployment {
    /// Starts the fakes; the daemons log to a new temporary directory.
    ///
    /// # Errors
    ///
    /// Fails if the log directory cannot be created or a fake cannot be started.
    pub async fn start(binary: &Path, targets: usize, work: Duration) -> io::Result<Self> {
        let logs = format!("oriolecleat-deployment-{}", std::process::id());
        let logs = std::env::temp_dir().join(logs);
        std::fs::create_dir_all(&logs)?;
        let mut running = Vec::new();
        for index in 0..targets {
            let target = Target::new(&format!("target-{index}"), work);
            let server = target.serve(loopback::any_port()?).await?;
            running.push((target, server));
        }
        let platform = Platform::default();
        let service = platform.serve(loopback::any_port()?).await?;
        let deployment = Self {
            platform,
            targets: running,
            daemons: Vec::new(),
            service,
            binary: binary.to_owned(),
            logs,
            started: 0,
        };
        deployment.publish_catalogue();
        Ok(deployment)
    }

    /// Address of the configuration service and the VM list.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.service.address()
    }

    /// Starts another daemon and waits until it serves; it is the last of [`Deployment::daemons`].
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be started or does not serve within 20 s.
    pub async fn add_daemon(&mut self) -> io::Result<()> {
        let name = format!("vm-{}", self.started);
        self.started += 1;
        let ports = Ports::free()?;
        let record = vm_list_record(&ports).to_string();
        self.platform.put(&format!("vms/{name}"), &record);
        let address = self.service.address();
        let mut settings = process::settings(&name, &ports, address, address);
        settings["stop"] = json!({ "address_ttl_ms": ADDRESS_TTL_MS });
        let peers = self
            .daemons
            .iter()
            .map(|daemon| daemon.ports().peer.to_string());
        settings["seeds"] = peers.collect();
        let log = self.logs.join(format!("{name}.log"));
        let daemon = Daemon::start(&self.binary, ports, &settings, &log)?;
        daemon.wait_until_ready("profiles", START_LIMIT).await?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// How often the request with this `fake-id` header ran on all targets together.
    #[must_use]
    pub fn runs(&self, id: &str) -> u64 {
        self.targets.iter().map(|(target, _)| target.runs(id)).sum()
    }

    fn publish_catalogue(&self) {
        let target = |(index, (_, server)): (usize, &(Target, Server))| {
            json!({
                "name": format!("target-{index}"),
                "address": server.address().to_string(),
                "vm": format!("target-vm-{index}"),
                "region": "local",
                "data_center": "local-a",
            })
        };
        let targets: Vec<Value> = self.targets.iter().enumerate().map(target).collect();
        for (service, class) in [("profiles", "interactive"), ("bookings", "once")] {
            let entry = json!({
                "service": service, "owner": "bench", "class": class, "targets": targets,
            });
            self.platform
                .put(&format!("entries/{service}"), &entry.to_string());
        }
        let constants = json!({ "vm_ceiling": 16, "configuration_calls_per_s": 200 });
        self.platform.put("fleet", &constants.to_string());
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        // Leftover files in the temporary directory are harmless.
        let _ = std::fs::remove_dir_all(&self.logs);
    }
}

/// Builds the record of an entry VM in the VM list.
fn vm_list_record(ports: &Ports) -> Value {
    json!({
        "role": "entry",
        "state": "live",
        "region": "local",
        "data_center": "local-a",
        "directory": ports.directory.to_string(),
        "caller": ports.caller.to_string(),
        "peer": ports.peer.to_string(),
        "operator": ports.operator.to_string(),
    })
}

/// An address from a directory answer, and the ticket for it.
pub type Endpoint = (SocketAddr, Box<str>);

/// Asks `directory` for the addresses of `service`; returns them in its order.
///
/// # Errors
///
/// Fails if the directory does not answer or its answer is malformed.
pub async fn resolve(directory: SocketAddr, service: &str) -> Result<Vec<Endpoint>, Failure> {
    let path = format!("/v1/addresses?service={service}");
    let answer = client::get(directory, "directory", &path).await?;
    let answer: Value = serde_json::from_slice(answer.body())?;
    let addresses = answer["addresses"]
        .as_array()
        .ok_or("the directory answer has no list of addresses")?;
    let mut endpoints = Vec::new();
    for row in addresses {
        let address = row["address"]
            .as_str()
            .ok_or("the directory answer has a row without an address")?
            .parse()?;
        let ticket = row["ticket"]
            .as_str()
            .ok_or("the directory answer has a row without a ticket")?;
        endpoints.push((address, ticket.into()));
    }
    Ok(endpoints)
}
