//! Settings of the daemon: parses and validates the settings file.
//!
//! A file is checked completely, so that all of its faults are reported at once.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::read;
use crate::read::Fault;
use crate::read::Reader;
use crate::time::Span;

mod builder;
mod hosting;

pub use builder::Builder;
pub use hosting::Hosting;
pub use hosting::Region;
pub use hosting::Repeats;

data! {
    /// Settings of the daemon of one VM.
    pub struct Settings {
        /// Name of this VM.
        pub vm: Box<str>,
        /// Region of this VM.
        pub region: Box<str>,
        /// Data centre of this VM.
        pub data_center: Box<str>,
        /// Name of the fleet. Connections from VMs of other fleets are refused.
        pub fleet: Box<str>,
        /// Secret that all VMs of the fleet share, at least 32 bytes long.
        pub fleet_key: Box<str>,
        /// Addresses to listen on.
        pub listen: Listen,
        /// Addresses of the services of the platform.
        pub platform: Platform,
        /// Peer addresses through which this VM joins the fleet.
        pub seeds: Vec<SocketAddr>,
        /// Bounds on the age of this VM's view of the catalogue.
        pub view: View,
        /// Bounds on a planned stop and on address answers.
        pub stop: Stop,
        /// Bounds on requests and answers.
        pub http: Http,
        /// Lifetimes of the evidence of a target's state.
        pub evidence: Evidence,
        /// Address of a statsd server; without it no metrics are sent.
        pub statsd: Option<SocketAddr>,
        /// Settings for a platform that hosts the fleet; none if the fleet runs on its own.
        pub hosting: Option<Hosting>,
    }

    /// Addresses to listen on.
    pub struct Listen {
        /// Address of the directory, where callers query the addresses of entry VMs.
        pub directory: SocketAddr,
        /// Address where callers send requests.
        pub caller: SocketAddr,
        /// Address where peers connect.
        pub peer: SocketAddr,
        /// Address of the operator API.
        pub operator: SocketAddr,
    }

    /// Addresses of the services of the platform.
    pub struct Platform {
        /// The configuration service.
        pub configuration: SocketAddr,
        /// The list of live and leaving VMs; without it no list is read.
        pub vm_list: Option<SocketAddr>,
    }

    /// Bounds on the age of this VM's view of the catalogue.
    pub struct View {
        /// Age above which the view is reported as stale.
        pub stale_after: Span,
        /// Age above which this VM reads the configuration service itself.
        pub takeover_after: Span,
        /// Time that a starting VM waits for its peers before it reads the configuration service.
        pub peer_wait: Span,
        /// Number of VMs of each data centre that read the configuration service.
        pub readers_per_data_center: u64,
    }

    /// Bounds on a planned stop and on address answers.
    pub struct Stop {
        /// Time for which a caller may cache an address answer.
        pub address_ttl: Span,
        /// Maximum wait for requests in flight.
        pub drain_limit: Span,
    }

    /// Bounds on requests and answers.
    pub struct Http {
        /// Maximum size of the head of a request or an answer, in bytes.
        pub head_bytes: u64,
        /// Maximum wait for the head of a request.
        pub head_timeout: Span,
        /// Maximum wait for the next part of a body, in either direction.
        pub body_idle: Span,
        /// Maximum time that a connection lingers after its last answer, for its caller to read it.
        pub linger: Span,
        /// Maximum wait for a connection to a target.
        pub connect_timeout: Span,
        /// Maximum number of concurrent connections from callers.
        pub connections: u64,
        /// Maximum number of connections that one target accepts, over all VMs together.
        pub connections_per_target: u64,
        /// Maximum number of requests of one connection that are processed before their turn; 0 to
        /// process them one after the other.
        pub read_ahead: u64,
    }

    /// Lifetimes of the evidence of a target's state.
    pub struct Evidence {
        /// Time since the last confirmation after which a target must be confirmed again before it
        /// gets new work.
        pub confirm_after: Span,
        /// Time for which evidence that a target is leaving stays valid.
        pub leaving_hold: Span,
        /// Maximum wait for the answer to a probe.
        pub probe_timeout: Span,
    }
}

const FLEET_KEY_MIN_BYTES: usize = 32;

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns every fault found.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    read::object(text, settings)
}

fn settings(reader: &mut Reader) -> Option<Settings> {
    let vm = reader.name("vm");
    let region = reader.name("region");
    let data_center = reader.name("data_center");
    let fleet = reader.name("fleet");
    let fleet_key = fleet_key(reader);
    let listen = reader.nested("listen", listen);
    let platform = reader.nested("platform", platform);
    let seeds = reader.addresses("seeds");
    let view = reader.nested("view", view);
    let stop = reader.nested("stop", stop);
    let http = reader.nested("http", http);
    let evidence = reader.nested("evidence", evidence);
    let statsd = reader.optional_address("statsd");
    let hosting = reader.optional("hosting", hosting::read);
    if let (Some(listen), Some(platform)) = (&listen, &platform) {
        check_platform(reader, listen, platform);
    }
    Some(Settings {
        vm: vm?,
        region: region?,
        data_center: data_center?,
        fleet: fleet?,
        fleet_key: fleet_key?,
        listen: listen?,
        platform: platform?,
        seeds,
        view: view?,
        stop: stop?,
        http: http?,
        evidence: evidence?,
        statsd,
        hosting: hosting?,
    })
}

fn fleet_key(reader: &mut Reader) -> Option<Box<str>> {
    let key = reader.text("fleet_key")?;
    if key.len() < FLEET_KEY_MIN_BYTES {
        reader.add_fault(
            "fleet_key",
            &format!("must have at least {FLEET_KEY_MIN_BYTES} bytes"),
        );
    }
    Some(key)
}

fn listen(reader: &mut Reader) -> Option<Listen> {
    let directory = reader.listen_address("directory");
    let caller = reader.listen_address("caller");
    let peer = reader.listen_address("peer");
    let operator = reader.listen_address("operator");
    let addresses = [
        ("directory", directory),
        ("caller", caller),
        ("peer", peer),
        ("operator", operator),
    ];
    check_listen(reader, &addresses);
    Some(Listen {
        directory: directory?,
        caller: caller?,
        peer: peer?,
        operator: operator?,
    })
}

/// Reports addresses that are used for two purposes. Port 0 is exempt, since the system chooses
/// another port each time.
fn check_listen(reader: &Reader, addresses: &[(&str, Option<SocketAddr>)]) {
    for (index, (name, address)) in addresses.iter().enumerate() {
        let same = addresses[..index]
            .iter()
            .find(|(_, other)| other == address);
        let fixed = address.is_some_and(|address| address.port() != 0);
        if let (true, Some((other, _))) = (fixed, same) {
            reader.add_fault(name, &format!("must differ from listen.{other}"));
        }
    }
}

/// Reports platform addresses that this VM listens on itself.
fn check_platform(reader: &Reader, listen: &Listen, platform: &Platform) {
    let own = [
        ("directory", listen.directory),
        ("caller", listen.caller),
        ("peer", listen.peer),
        ("operator", listen.operator),
    ];
    let others = [
        ("configuration", Some(platform.configuration)),
        ("vm_list", platform.vm_list),
    ];
    for (other, address) in others {
        if let Some((name, _)) = own.iter().find(|(_, own)| Some(*own) == address) {
            let path = format!("platform.{other}");
            reader.add_fault(&path, &format!("must differ from listen.{name}"));
        }
    }
}

fn platform(reader: &mut Reader) -> Option<Platform> {
    let configuration = reader.address("configuration");
    let vm_list = reader.optional_address("vm_list");
    Some(Platform {
        configuration: configuration?,
        vm_list,
    })
}

fn view(reader: &mut Reader) -> Option<View> {
    let stale_after = millis(reader, "stale_after_ms", 30_000);
    let takeover_after = millis(reader, "takeover_after_ms", 10_000);
    let peer_wait = millis(reader, "peer_wait_ms", 1_000);
    if takeover_after > stale_after && stale_after.is_some() {
        reader.add_fault(
            "takeover_after_ms",
            "must not be longer than view.stale_after_ms",
        );
    }
    let readers = reader.integer("readers_per_data_center", 1..=16, Some(2));
    Some(View {
        stale_after: stale_after?,
        takeover_after: takeover_after?,
        peer_wait: peer_wait?,
        readers_per_data_center: readers?,
    })
}

fn stop(reader: &mut Reader) -> Option<Stop> {
    let address_ttl = millis(reader, "address_ttl_ms", 10_000);
    let drain_limit = millis(reader, "drain_limit_ms", 60_000);
    if address_ttl > drain_limit && drain_limit.is_some() {
        reader.add_fault(
            "address_ttl_ms",
            "must not be longer than stop.drain_limit_ms",
        );
    }
    Some(Stop {
        address_ttl: address_ttl?,
        drain_limit: drain_limit?,
    })
}

fn http(reader: &mut Reader) -> Option<Http> {
    let head_bytes = reader.integer("head_bytes", 8_192..=1_048_576, Some(32_768));
    let head_timeout = millis(reader, "head_timeout_ms", 5_000);
    let body_idle = millis(reader, "body_idle_ms", 10_000);
    let linger = millis(reader, "linger_ms", 5_000);
    let connect_timeout = millis(reader, "connect_timeout_ms", 250);
    let connections = reader.integer("connections", 1..=1_000_000, Some(10_000));
    let per_target = reader.integer("connections_per_target", 1..=1_000_000, Some(240));
    let read_ahead = reader.integer("read_ahead", 0..=64, Some(0));
    Some(Http {
        head_bytes: head_bytes?,
        head_timeout: head_timeout?,
        body_idle: body_idle?,
        linger: linger?,
        connect_timeout: connect_timeout?,
        connections: connections?,
        connections_per_target: per_target?,
        read_ahead: read_ahead?,
    })
}

fn evidence(reader: &mut Reader) -> Option<Evidence> {
    let confirm_after = millis(reader, "confirm_after_ms", 2_000);
    let leaving_hold = millis(reader, "leaving_hold_ms", 60_000);
    let probe_timeout = millis(reader, "probe_timeout_ms", 250);
    Some(Evidence {
        confirm_after: confirm_after?,
        leaving_hold: leaving_hold?,
        probe_timeout: probe_timeout?,
    })
}

fn millis(reader: &mut Reader, name: &str, default: u64) -> Option<Span> {
    reader
        .integer(name, 1..=3_600_000, Some(default))
        .map(Span::from_millis)
}

impl Settings {
    /// The settings as a settings file has them, with every field present.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        json!({
            "vm": self.vm,
            "region": self.region,
            "data_center": self.data_center,
            "fleet": self.fleet,
            "fleet_key": self.fleet_key,
            "listen": {
                "directory": self.listen.directory.to_string(),
                "caller": self.listen.caller.to_string(),
                "peer": self.listen.peer.to_string(),
                "operator": self.listen.operator.to_string(),
            },
            "platform": {
                "configuration": self.platform.configuration.to_string(),
                "vm_list": self.platform.vm_list.map(|address| address.to_string()),
            },
            "seeds": seeds,
            "view": {
                "stale_after_ms": self.view.stale_after.as_millis(),
                "takeover_after_ms": self.view.takeover_after.as_millis(),
                "peer_wait_ms": self.view.peer_wait.as_millis(),
                "readers_per_data_center": self.view.readers_per_data_center,
            },
            "stop": {
                "address_ttl_ms": self.stop.address_ttl.as_millis(),
                "drain_limit_ms": self.stop.drain_limit.as_millis(),
            },
            "http": {
                "head_bytes": self.http.head_bytes,
                "head_timeout_ms": self.http.head_timeout.as_millis(),
                "body_idle_ms": self.http.body_idle.as_millis(),
                "linger_ms": self.http.linger.as_millis(),
                "connect_timeout_ms": self.http.connect_timeout.as_millis(),
                "connections": self.http.connections,
                "connections_per_target": self.http.connections_per_target,
                "read_ahead": self.http.read_ahead,
            },
            "evidence": {
                "confirm_after_ms": self.evidence.confirm_after.as_millis(),
                "leaving_hold_ms": self.evidence.leaving_hold.as_millis(),
                "probe_timeout_ms": self.evidence.probe_timeout.as_millis(),
            },
            "statsd": self.statsd.map(|address| address.to_string()),
            "hosting": self.hosting.as_ref().map(Hosting::to_json),
        })
    }
}
