//! Answer of `/v1/status`: the state of the VM that is asked.

use serde::Deserialize;

use crate::answer::known::Known;
use crate::answer::vm_list;

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
    pub(crate) vm_list: vm_list::List,
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

/// State of the VM's view of the catalogue.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct View {
    #[serde(default)]
    pub(crate) age_ms: Known<u64>,
    #[serde(default)]
    pub(crate) stale: Known<bool>,
    /// Whether the VM reads the configuration service itself.
    #[serde(default)]
    pub(crate) reader: Known<bool>,
}

/// Counts of the catalogue's contents, and the limits that it sets for the fleet.
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

/// Number of requests by state.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Requests {
    #[serde(default)]
    pub(crate) in_flight: Known<u64>,
    #[serde(default)]
    pub(crate) waiting: Known<u64>,
}

/// Counts of a service's entries, targets and requests.
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
