//! What a VM knows of a target: `/v1/explain/target/SERVICE/NAME`.

use serde::Deserialize;

use crate::answer::known::Known;

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
