//! The operator port's answers, as far as they are printed; see `docs/operator-api.md`.

use std::fmt;

use oriolecleat_core::read::Fault;
use oriolecleat_core::version::Version;
use serde::Deserialize;

/// Answer of `/v1/status`.
#[derive(Debug, Deserialize)]
pub(crate) struct Status {
    pub(crate) vm: Box<str>,
    pub(crate) incarnation: u64,
    pub(crate) build: Box<str>,
    pub(crate) region: Box<str>,
    pub(crate) data_center: Box<str>,
    pub(crate) fleet: Box<str>,
    pub(crate) state: Box<str>,
    pub(crate) uptime_ms: u64,
    pub(crate) ready: bool,
    pub(crate) reasons: Vec<Box<str>>,
    pub(crate) view: View,
    pub(crate) vm_list: VmList,
    pub(crate) catalogue: Catalogue,
    pub(crate) members: Members,
    pub(crate) links: u64,
    pub(crate) requests: Requests,
    pub(crate) services: Vec<Load>,
}

/// The view of the catalogue.
#[derive(Debug, Deserialize)]
pub(crate) struct View {
    pub(crate) age_ms: Option<u64>,
    pub(crate) stale: bool,
    pub(crate) reader: bool,
}

/// The platform's VM list.
#[derive(Debug, Deserialize)]
pub(crate) struct VmList {
    pub(crate) age_ms: Option<u64>,
    pub(crate) vms: u64,
}

/// Counts of the catalogue.
#[derive(Debug, Deserialize)]
pub(crate) struct Catalogue {
    pub(crate) entries: u64,
    pub(crate) tombstones: u64,
    pub(crate) rejected: u64,
    pub(crate) vm_ceiling: Option<u64>,
    pub(crate) configuration_calls_per_s: Option<u64>,
}

/// Counts of members by state.
#[derive(Debug, Deserialize)]
pub(crate) struct Members {
    pub(crate) alive: u64,
    pub(crate) suspect: u64,
    pub(crate) leaving: u64,
    pub(crate) dead: u64,
}

/// Counts of requests.
#[derive(Debug, Deserialize)]
pub(crate) struct Requests {
    pub(crate) in_flight: u64,
    pub(crate) waiting: u64,
}

/// Counts of a service.
#[derive(Debug, Deserialize)]
pub(crate) struct Load {
    pub(crate) service: Box<str>,
    pub(crate) entries: u64,
    pub(crate) targets: u64,
    pub(crate) usable: u64,
    pub(crate) in_flight: u64,
    pub(crate) waiting: u64,
}

/// Answer of `/v1/explain/entry/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct Entry {
    pub(crate) name: Box<str>,
    pub(crate) state: Box<str>,
    pub(crate) version: Option<Version>,
    pub(crate) source: Option<Box<str>>,
    pub(crate) service: Option<Box<str>>,
    pub(crate) owner: Option<Box<str>>,
    pub(crate) class: Option<Box<str>>,
    #[serde(default)]
    pub(crate) methods: Vec<Box<str>>,
    pub(crate) deadline_ms: Option<u64>,
    #[serde(default)]
    pub(crate) shadowed_by: Vec<Box<str>>,
    pub(crate) rejected: Option<Rejected>,
    #[serde(default)]
    pub(crate) limits: Vec<Limit>,
    pub(crate) outcomes: Option<Outcomes>,
    #[serde(default)]
    pub(crate) targets: Vec<Candidate>,
    #[serde(default)]
    pub(crate) reasons: Vec<Box<str>>,
}

/// A content that was rejected.
#[derive(Debug, Deserialize)]
pub(crate) struct Rejected {
    pub(crate) version: Version,
    pub(crate) faults: Vec<Fault>,
}

/// A limit of an entry.
#[derive(Debug, Deserialize)]
pub(crate) struct Limit {
    pub(crate) name: Box<str>,
    pub(crate) configured: u64,
    pub(crate) share: u64,
    pub(crate) used: u64,
    pub(crate) refused: u64,
}

/// Counts of an entry's outcomes.
#[derive(Debug, Deserialize)]
pub(crate) struct Outcomes {
    pub(crate) ran: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
}

/// A target and whether it gets work.
#[derive(Debug, Deserialize)]
pub(crate) struct Candidate {
    pub(crate) service: Option<Box<str>>,
    pub(crate) name: Box<str>,
    pub(crate) standing: Box<str>,
    #[serde(default)]
    pub(crate) reasons: Vec<Cause>,
}

/// Evidence for a standing.
#[derive(Debug, Deserialize)]
pub(crate) struct Cause {
    pub(crate) reason: Box<str>,
    pub(crate) age_ms: Option<u64>,
    pub(crate) source: Option<Box<str>>,
}

/// Answer of `/v1/explain/target/SERVICE/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct Target {
    pub(crate) service: Box<str>,
    pub(crate) name: Box<str>,
    pub(crate) address: Box<str>,
    pub(crate) vm: Box<str>,
    pub(crate) region: Box<str>,
    pub(crate) data_center: Box<str>,
    pub(crate) slots: u64,
    pub(crate) entries: Vec<Box<str>>,
    pub(crate) standing: Box<str>,
    pub(crate) chosen: Chosen,
    pub(crate) evidence: Vec<Evidence>,
    pub(crate) estimate: Estimate,
    pub(crate) reasons: Vec<Box<str>>,
}

/// How often and when a target was last chosen.
#[derive(Debug, Deserialize)]
pub(crate) struct Chosen {
    pub(crate) count: u64,
    pub(crate) last_age_ms: Option<u64>,
}

/// One piece of what is known of a target.
#[derive(Debug, Deserialize)]
pub(crate) struct Evidence {
    pub(crate) kind: Box<str>,
    pub(crate) age_ms: Option<u64>,
    pub(crate) source: Box<str>,
    pub(crate) detail: Box<str>,
}

/// What the VM estimates of a target.
#[derive(Debug, Deserialize)]
pub(crate) struct Estimate {
    pub(crate) free_slots: u64,
    pub(crate) in_flight: u64,
    pub(crate) latency_ms: Option<u64>,
    pub(crate) straggler: bool,
    pub(crate) ejected: bool,
}

/// Answer of `/v1/explain/vm/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct Machine {
    pub(crate) name: Box<str>,
    pub(crate) member: Option<Member>,
    pub(crate) vm_list: Option<Listed>,
    pub(crate) targets: Vec<Candidate>,
    pub(crate) reasons: Vec<Box<str>>,
}

/// The VM list's record of a VM.
#[derive(Debug, Deserialize)]
pub(crate) struct Listed {
    pub(crate) role: Box<str>,
    pub(crate) state: Box<str>,
    pub(crate) region: Box<str>,
    pub(crate) data_center: Box<str>,
    pub(crate) age_ms: Option<u64>,
}

/// Answer of `/v1/fleet`.
#[derive(Debug, Deserialize)]
pub(crate) struct Fleet {
    pub(crate) members: Vec<Member>,
}

/// An entry VM.
#[derive(Debug, Deserialize)]
pub(crate) struct Member {
    pub(crate) vm: Box<str>,
    pub(crate) incarnation: u64,
    pub(crate) state: Box<str>,
    pub(crate) region: Box<str>,
    pub(crate) data_center: Box<str>,
    pub(crate) caller: Box<str>,
    pub(crate) uptime_ms: Option<u64>,
    pub(crate) build: Box<str>,
    pub(crate) view_age_ms: Option<u64>,
    pub(crate) reader: Option<bool>,
    pub(crate) heard_age_ms: Option<u64>,
}

/// Answer of `/v1/catalogue`.
#[derive(Debug, Deserialize)]
pub(crate) struct Keys {
    pub(crate) keys: Vec<Held>,
}

/// A key of the catalogue.
#[derive(Debug, Deserialize)]
pub(crate) struct Held {
    pub(crate) key: Box<str>,
    pub(crate) version: Option<Version>,
    pub(crate) rejected: Option<Rejected>,
}

/// Answer of `/v1/audit`.
#[derive(Debug, Deserialize)]
pub(crate) struct Audit {
    pub(crate) cursor: Box<str>,
    pub(crate) records: Vec<Record>,
}

/// An audit record.
#[derive(Debug, Deserialize)]
pub(crate) struct Record {
    pub(crate) seq: u64,
    pub(crate) vm: Box<str>,
    pub(crate) wall_ms: u64,
    pub(crate) kind: Box<str>,
    pub(crate) subject: Box<str>,
    pub(crate) version: Option<Version>,
    pub(crate) source: Option<Box<str>>,
    pub(crate) cause: Option<Box<str>>,
}

/// A version as a person reads it.
pub(crate) struct Shown(pub(crate) Option<Version>);

impl fmt::Display for Shown {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => formatter.write_str("-"),
            Some(version) => write!(formatter, "{}.{}", version.generation, version.revision),
        }
    }
}
