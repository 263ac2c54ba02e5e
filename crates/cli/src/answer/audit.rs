//! Answer of `/v1/audit`: audit records.

use serde::Deserialize;

use crate::answer::known::Known;
use crate::answer::known::Shown;

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
