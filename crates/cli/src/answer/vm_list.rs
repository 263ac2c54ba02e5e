//! Parts of answers that come from the platform's VM list.

use serde::Deserialize;

use crate::answer::known::Known;

/// Age and size of the platform's VM list.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct List {
    #[serde(default)]
    pub(crate) age_ms: Known<u64>,
    #[serde(default)]
    pub(crate) vms: Known<u64>,
}

/// The VM list's record of a VM.
#[derive(Debug, Deserialize)]
pub(crate) struct Record {
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
