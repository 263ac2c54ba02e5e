//! Answer of `/v1/explain/target/SERVICE/NAME`: what a VM knows of a target.

use serde::Deserialize;

use crate::answer::known::Known;

/// A target and whether it gets requests.
#[derive(Debug, Deserialize)]
pub(crate) struct Candidate {
    #[serde(default)]
    pub(crate) service: Known<Box<str>>,
    pub(crate) name: Box<str>,
    pub(crate) standing: Box<str>,
    #[serde(default)]
    pub(crate) reasons: Vec<Cause>,
}

/// Reason for a target's standing.
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

/// How often a target was chosen, and how long ago the last time was.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Chosen {
    #[serde(default)]
    pub(crate) count: Known<u64>,
    #[serde(default)]
    pub(crate) last_age_ms: Known<u64>,
}

/// An observation about a target.
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

/// The VM's estimate of a target's load and latency.
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
