//! Daemon processes for demonstrations and failure tests.

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
const MILLIS_PER_TICK: u64 = 10;

/// Ports of one VM on a loopback address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Callers ask here for addresses.
    pub directory: SocketAddr,
    /// Callers send requests here.
    pub caller: SocketAddr,
    /// Peers connect here.
    pub peer: SocketAddr,
    /// Operators read here.
    pub operator: SocketAddr,
}

impl Ports {
    /// Four ports that were free a moment ago.
    ///
    /// # Errors
    ///
    /// Returns why no port could be opened.
    pub fn free() -> io::Result<Self> {
        let address = loopback::address()?;
        // All four are held at once, so that they differ.
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

/// What a process has used so far.
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
    /// Returns why the process could not be started.
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
    /// Returns why the signal could not be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        Ok(signal::kill(Pid::from_raw(id), signal)?)
    }

    /// What the process has used so far.
    ///
    /// # Errors
    ///
    /// Returns why the kernel's account of the process could not be read.
    pub fn usage(&self) -> io::Result<Usage> {
        let id = self.child.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let malformed = || io::Error::other("the account of the process does not hold");
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
            cpu: Duration::from_millis(ticks * MILLIS_PER_TICK),
            memory_kib: memory.ok_or_else(malformed)?,
        })
    }

    /// Waits for the process to end, at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if it did not end in time.
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

    /// Waits until the directory names an address for `service`, at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if it did not in time.
    pub async fn ready(&self, service: &str, limit: Duration) -> io::Result<()> {
        let poll = async {
            while !self.serves(service).await {
                tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        };
        tokio::time::timeout(limit, poll)
            .await
            .map_err(io::Error::other)
    }

    async fn serves(&self, service: &str) -> bool {
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

/// Builds the daemon and runs `experiment` with its path on an event loop of its own.
///
/// # Errors
///
/// Returns why the build or the experiment failed.
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
        .ok_or_else(|| io::Error::other("no build directory"))?
        .to_owned())
}
