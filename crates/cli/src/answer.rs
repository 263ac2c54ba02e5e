//! The operator port's answers, as far as they are printed; see `docs/operator-api.md`.

use std::fmt;

use oriolecleat_core::read::Fault;
use oriolecleat_core::version::Version;
use serde::Deserialize;

/// Answer of `/v1/status`.
#[derive(Debug, Deserialize)]
pub(crate) struct Status {
    pub(crate) vm: Box<str>,
    #[serde(default)]
    pub(crate) incarnation: Known<u64>,
    #[serde(default)]
    pub(crate) build: Known<Box<str>>,
    #[serde(default)]
    pub(crate) region: Known<Box<str>>,
    #[serde(default)]
    pub(crate) data_center: Known<Box<str>>,
    #[serde(default)]
    pub(crate) fleet: Known<Box<str>>,
    pub(crate) state: Box<str>,
    #[serde(default)]
    pub(crate) uptime_ms: Known<u64>,
    pub(crate) ready: bool,
    #[serde(default)]
    pub(crate) reasons: Vec<Box<str>>,
    #[serde(default)]
    pub(crate) view: View,
    #[serde(default)]
    pub(crate) vm_list: VmList,
    #[serde(default)]
    pub(crate) catalogue: Catalogue,
    #[serde(default)]
    pub(crate) members: Members,
    #[serde(default)]
    pub(crate) links: Known<u64>,
    #[serde(default)]
    pub(crate) requests: Requests,
    #[serde(default)]
    pub(crate) services: Vec<Load>,
}

/// The view of the catalogue.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct View {
    #[serde(default)]
    pub(crate) age_ms: Known<u64>,
    #[serde(default)]
    pub(crate) stale: Known<bool>,
    #[serde(default)]
    pub(crate) reader: Known<bool>,
}

/// The platform's VM list.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct VmList {
    #[serde(default)]
    pub(crate) age_ms: Known<u64>,
    #[serde(default)]
    pub(crate) vms: Known<u64>,
}

/// Counts of the catalogue.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Catalogue {
    #[serde(default)]
    pub(crate) entries: Known<u64>,
    #[serde(default)]
    pub(crate) tombstones: Known<u64>,
    #[serde(default)]
    pub(crate) rejected: Known<u64>,
    #[serde(default)]
    pub(crate) vm_ceiling: Known<u64>,
    #[serde(default)]
    pub(crate) configuration_calls_per_s: Known<u64>,
}

/// Counts of members by state.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Members {
    #[serde(default)]
    pub(crate) alive: Known<u64>,
    #[serde(default)]
    pub(crate) suspect: Known<u64>,
    #[serde(default)]
    pub(crate) leaving: Known<u64>,
    #[serde(default)]
    pub(crate) dead: Known<u64>,
}

/// Counts of requests.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Requests {
    #[serde(default)]
    pub(crate) in_flight: Known<u64>,
    #[serde(default)]
    pub(crate) waiting: Known<u64>,
}

/// Counts of a service.
#[derive(Debug, Deserialize)]
pub(crate) struct Load {
    pub(crate) service: Box<str>,
    #[serde(default)]
    pub(crate) entries: Known<u64>,
    #[serde(default)]
    pub(crate) targets: Known<u64>,
    #[serde(default)]
    pub(crate) usable: Known<u64>,
    #[serde(default)]
    pub(crate) in_flight: Known<u64>,
    #[serde(default)]
    pub(crate) waiting: Known<u64>,
}

/// Answer of `/v1/explain/entry/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct Entry {
    pub(crate) name: Box<str>,
    pub(crate) state: Box<str>,
    #[serde(default)]
    pub(crate) version: Known<Shown>,
    #[serde(default)]
    pub(crate) source: Known<Box<str>>,
    #[serde(default)]
    pub(crate) service: Known<Box<str>>,
    #[serde(default)]
    pub(crate) owner: Known<Box<str>>,
    #[serde(default)]
    pub(crate) class: Known<Box<str>>,
    #[serde(default)]
    pub(crate) methods: Vec<Box<str>>,
    #[serde(default)]
    pub(crate) deadline_ms: Known<u64>,
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
    pub(crate) version: Shown,
    pub(crate) faults: Vec<Fault>,
}

/// A limit of an entry.
#[derive(Debug, Deserialize)]
pub(crate) struct Limit {
    pub(crate) name: Box<str>,
    #[serde(default)]
    pub(crate) configured: Known<u64>,
    #[serde(default)]
    pub(crate) share: Known<u64>,
    #[serde(default)]
    pub(crate) used: Known<u64>,
    #[serde(default)]
    pub(crate) refused: Known<u64>,
}

/// Counts of an entry's outcomes.
#[derive(Debug, Deserialize)]
pub(crate) struct Outcomes {
    #[serde(default)]
    pub(crate) ran: Known<u64>,
    #[serde(default)]
    pub(crate) not_run: Known<u64>,
    #[serde(default)]
    pub(crate) unknown: Known<u64>,
}

/// A target and whether it gets work.
#[derive(Debug, Deserialize)]
pub(crate) struct Candidate {
    #[serde(default)]
    pub(crate) service: Known<Box<str>>,
    pub(crate) name: Box<str>,
    pub(crate) standing: Box<str>,
    #[serde(default)]
    pub(crate) reasons: Vec<Cause>,
}

/// Evidence for a standing.
#[derive(Debug, Deserialize)]
pub(crate) struct Cause {
    pub(crate) reason: Box<str>,
    #[serde(default)]
    pub(crate) age_ms: Known<u64>,
    #[serde(default)]
    pub(crate) source: Known<Box<str>>,
}

/// Answer of `/v1/explain/target/SERVICE/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct Target {
    pub(crate) service: Box<str>,
    pub(crate) name: Box<str>,
    #[serde(default)]
    pub(crate) address: Known<Box<str>>,
    #[serde(default)]
    pub(crate) vm: Known<Box<str>>,
    #[serde(default)]
    pub(crate) region: Known<Box<str>>,
    #[serde(default)]
    pub(crate) data_center: Known<Box<str>>,
    #[serde(default)]
    pub(crate) slots: Known<u64>,
    #[serde(default)]
    pub(crate) entries: Vec<Box<str>>,
    pub(crate) standing: Box<str>,
    #[serde(default)]
    pub(crate) chosen: Chosen,
    #[serde(default)]
    pub(crate) evidence: Vec<Evidence>,
    #[serde(default)]
    pub(crate) estimate: Estimate,
    #[serde(default)]
    pub(crate) reasons: Vec<Box<str>>,
}

/// How often and when a target was last chosen.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Chosen {
    #[serde(default)]
    pub(crate) count: Known<u64>,
    #[serde(default)]
    pub(crate) last_age_ms: Known<u64>,
}

/// One piece of what is known of a target.
#[derive(Debug, Deserialize)]
pub(crate) struct Evidence {
    pub(crate) kind: Box<str>,
    #[serde(default)]
    pub(crate) age_ms: Known<u64>,
    #[serde(default)]
    pub(crate) source: Known<Box<str>>,
    #[serde(default)]
    pub(crate) detail: Known<Box<str>>,
}

/// What the VM estimates of a target.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Estimate {
    #[serde(default)]
    pub(crate) free_slots: Known<u64>,
    #[serde(default)]
    pub(crate) in_flight: Known<u64>,
    #[serde(default)]
    pub(crate) latency_ms: Known<u64>,
    #[serde(default)]
    pub(crate) straggler: Known<bool>,
    #[serde(default)]
    pub(crate) ejected: Known<bool>,
}

/// Answer of `/v1/explain/vm/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct Machine {
    pub(crate) name: Box<str>,
    pub(crate) member: Option<Member>,
    pub(crate) vm_list: Option<Listed>,
    #[serde(default)]
    pub(crate) targets: Vec<Candidate>,
    #[serde(default)]
    pub(crate) reasons: Vec<Box<str>>,
}

/// The VM list's record of a VM.
#[derive(Debug, Deserialize)]
pub(crate) struct Listed {
    #[serde(default)]
    pub(crate) role: Known<Box<str>>,
    #[serde(default)]
    pub(crate) state: Known<Box<str>>,
    #[serde(default)]
    pub(crate) region: Known<Box<str>>,
    #[serde(default)]
    pub(crate) data_center: Known<Box<str>>,
    #[serde(default)]
    pub(crate) age_ms: Known<u64>,
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
    #[serde(default)]
    pub(crate) incarnation: Known<u64>,
    pub(crate) state: Box<str>,
    #[serde(default)]
    pub(crate) region: Known<Box<str>>,
    #[serde(default)]
    pub(crate) data_center: Known<Box<str>>,
    #[serde(default)]
    pub(crate) caller: Known<Box<str>>,
    #[serde(default)]
    pub(crate) uptime_ms: Known<u64>,
    #[serde(default)]
    pub(crate) build: Known<Box<str>>,
    #[serde(default)]
    pub(crate) view_age_ms: Known<u64>,
    #[serde(default)]
    pub(crate) reader: Known<bool>,
    #[serde(default)]
    pub(crate) heard_age_ms: Known<u64>,
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
    #[serde(default)]
    pub(crate) version: Known<Shown>,
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
    #[serde(default)]
    pub(crate) seq: Known<u64>,
    pub(crate) vm: Box<str>,
    #[serde(default)]
    pub(crate) wall_ms: Known<u64>,
    pub(crate) kind: Box<str>,
    pub(crate) subject: Box<str>,
    #[serde(default)]
    pub(crate) version: Known<Shown>,
    #[serde(default)]
    pub(crate) source: Known<Box<str>>,
    #[serde(default)]
    pub(crate) cause: Known<Box<str>>,
}

/// A version as a person reads it.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct Shown(Version);

impl fmt::Display for Shown {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.0.generation, self.0.revision)
    }
}

/// A field that may be missing or null, because the VM does not know it or is of another build;
/// printed as `-`.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct Known<T>(pub(crate) Option<T>);

impl<T> Default for Known<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T: fmt::Display> fmt::Display for Known<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(formatter),
            None => formatter.write_str("-"),
        }
    }
}

impl Known<bool> {
    /// `text` if the field is set.
    pub(crate) fn note(&self, text: &'static str) -> &'static str {
        if self.0 == Some(true) { text } else { "" }
    }
}
