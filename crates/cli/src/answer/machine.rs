//! Answer of `/v1/explain/vm/NAME`: what is known of a VM.

use serde::Deserialize;

use crate::answer::fleet::Member;
use crate::answer::target::Candidate;
use crate::answer::vm_list::Record;

/// Answer of `/v1/explain/vm/NAME`.
#[derive(Debug, Deserialize)]
pub(crate) struct Machine {
    pub(crate) name: Box<str>,
    pub(crate) member: Option<Member>,
    pub(crate) vm_list: Option<Record>,
    #[serde(default)]
    pub(crate) targets: Vec<Candidate>,
    #[serde(default)]
    pub(crate) reasons: Vec<Box<str>>,
}
