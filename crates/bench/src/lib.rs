//! Fakes of the external systems, load generators and experiments for tests and measurements; not
//! shipped.

pub mod client;
pub mod cost;
pub mod deployment;
pub mod fake;
pub mod load;
pub mod loopback;
pub mod model;
pub mod network;
pub mod process;
