//! Answer of `/v1/fleet`: the members of the fleet.

use serde::Deserialize;

use crate::answer::known::Known;

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
