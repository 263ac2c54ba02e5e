//! Builds the daemon and runs it as a separate process, for demonstrations and failure tests.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use tokio::task::LocalSet;

use crate::client;
use crate::loopback;

const POLL_INTERVAL_MS: u64 = 20;
/// The kernel counts processor time in hundredths of a second.
const TICK_MS: u64 = 10;

/// Ports of one VM on a loopback address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Directory port, where callers ask for addresses.
    pub directory: SocketAddr,
    /// Caller port, where callers send requests.
    pub caller: SocketAddr,
    /// Peer port, where other VMs connect.
    pub peer: SocketAddr,
    /// Operator port.
    pub operator: SocketAddr,
}

impl Ports {
    /// Finds four free ports on a new loopback address; they are closed again before the return.
    ///
    /// # Errors
    ///
    /// Fails if no address is available or a port cannot be opened.
    pub fn free() -> io::Result<Self> {
        let address = loopback::address()?;
        // All four are open at the same time, so that they differ.
        let bind = || TcpListener::bind((address, 0));
        let (directory, caller, peer, operator) = (bind()?, bind()?, bind()?, bind()?);
        Ok(Self {
            directory: directory.local_addr()?,
            caller: caller.local_addr()?,
            peer: peer.local_addr()?,
            operator: operator.local_addr()?,
        })
    }
}

/// Settings of a VM in a test deployment; fields may be overwritten before the start.
#[must_use]
pub fn settings(vm: &str, ports: &Ports, platform: SocketAddr, vm_list: SocketAddr) -> Value {
    json!({
        "vm": vm,
        "region": "local",
        "data_center": "local-a",
        "fleet": "demo",
        "fleet_key": "a key of the local demonstration only",
        "listen": {
            "directory": ports.directory.to_string(),
            "caller": ports.caller.to_string(),
            "peer": ports.peer.to_string(),
            "operator": ports.operator.to_string(),
        },
        "platform": {
            "configuration": platform.to_string(),
            "vm_list": vm_list.to_string(),
        },
    })
}

/// Processor time and memory that a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time in user and kernel mode.
    pub cpu: Duration,
    /// Resident memory.
    pub memory_kib: u64,
}

/// A running daemon; dropping it kills the process.
pub struct Daemon {
    child: Child,
    ports: Ports,
    settings: PathBuf,
}

impl Daemon {
    /// Starts `binary` with `settings`; the log goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or the process cannot be started.
    pub fn start(binary: &Path, ports: Ports, settings: &Value, log: &Path) -> io::Result<Self> {
        let file = log.with_extension("settings.json");
        std::fs::write(&file, settings.to_string())?;
        let log = std::fs::File::create(log)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            ports,
            settings: file,
        })
    }

    /// The ports of the VM.
    #[must_use]
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Sends `signal` to the process.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        Ok(signal::kill(Pid::from_raw(id), signal)?)
    }

    /// Reads the processor time and memory that the process has used.
    ///
    /// # Errors
    ///
    /// Fails if `/proc` cannot be read or has an unexpected format.
    pub fn usage(&self) -> io::Result<Usage> {
        let id = self.child.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let malformed =
            || io::Error::other("/proc/<pid>/stat or /proc/<pid>/status has an unexpected format");
        // The fields after the name in parentheses: user and kernel ticks are the 12th and 13th.
        let fields = stat.rsplit(')').next().ok_or_else(malformed)?;
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok(Usage {
            cpu: Duration::from_millis(ticks * TICK_MS),
            memory_kib: memory.ok_or_else(malformed)?,
        })
    }

    /// Waits for the process to end, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not end in time or its status cannot be read.
    pub async fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let poll = async {
            loop {
                if let Some(status) = self.child.try_wait()? {
                    return Ok(status);
                }
                tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        };
        tokio::time::timeout(limit, poll)
            .await
            .map_err(io::Error::other)?
    }

    /// Waits until the caller port answers a request to `service` with success, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if it does not within the limit.
    pub async fn wait_until_ready(&self, service: &str, limit: Duration) -> io::Result<()> {
        let poll = async {
            while !self.is_serving(service).await {
                tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        };
        tokio::time::timeout(limit, poll)
            .await
            .map_err(io::Error::other)
    }

    async fn is_serving(&self, service: &str) -> bool {
        let answer = client::get(self.ports.caller, service, "/ready").await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Builds the daemon and runs `experiment` with the path of the binary on a new event loop.
///
/// # Errors
///
/// Fails if the build or the experiment fails.
pub fn experiment(
    experiment: impl AsyncFnOnce(&Path) -> Result<(), client::Failure>,
) -> Result<(), client::Failure> {
    let binary = build()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, experiment(&binary))
}

/// Builds the daemon with cargo and returns its path.
///
/// # Errors
///
/// Returns an error if the build failed.
pub fn build() -> io::Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--package", "oriolecleatd"]);
    let directory = profile_directory()?;
    if directory.ends_with("release") {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(io::Error::other("cargo build failed"));
    }
    Ok(directory.join("oriolecleatd"))
}

/// The directory of the build profile that this executable belongs to.
fn profile_directory() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable.parent().and_then(Path::parent);
    Ok(directory
        .ok_or_else(|| io::Error::other("this executable is not in a build directory of cargo"))?
        .to_owned())
}
