//! Answer of `/v1/explain/entry/NAME`: what is in effect for an entry.

use serde::Deserialize;

use crate::answer::catalogue::Rejected;
use crate::answer::known::Known;
use crate::answer::known::Shown;
use crate::answer::target::Candidate;

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

/// Number of an entry's requests by outcome.
#[derive(Debug, Deserialize)]
pub(crate) struct Outcomes {
    #[serde(default)]
    pub(crate) ran: Known<u64>,
    #[serde(default)]
    pub(crate) not_run: Known<u64>,
    #[serde(default)]
    pub(crate) unknown: Known<u64>,
}
