//! Answer of `/v1/catalogue`: the keys of the catalogue.

use oriolecleat_core::read::Fault;
use serde::Deserialize;

use crate::answer::known::Known;
use crate::answer::known::Shown;

/// Answer of `/v1/catalogue`.
#[derive(Debug, Deserialize)]
pub(crate) struct Keys {
    pub(crate) keys: Vec<Item>,
}

/// A key of the catalogue with its version and, if there is one, its rejected content.
#[derive(Debug, Deserialize)]
pub(crate) struct Item {
    pub(crate) key: Box<str>,
    #[serde(default)]
    pub(crate) version: Known<Shown>,
    pub(crate) rejected: Option<Rejected>,
}

/// A content that was rejected.
#[derive(Debug, Deserialize)]
pub(crate) struct Rejected {
    pub(crate) version: Shown,
    pub(crate) faults: Vec<Fault>,
}
