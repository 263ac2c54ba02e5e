//! Fakes of targets, the configuration service and the VM list.

pub mod platform;
pub mod server;
pub mod target;
