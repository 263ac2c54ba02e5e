//! Answers of the operator port, with the fields that are printed; see `docs/operator-api.md`.

pub(crate) mod audit;
pub(crate) mod catalogue;
pub(crate) mod entry;
pub(crate) mod fleet;
pub(crate) mod known;
pub(crate) mod machine;
pub(crate) mod status;
pub(crate) mod target;
pub(crate) mod vm_list;
