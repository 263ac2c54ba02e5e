//! Failure tests with daemons as separate processes and fakes of the external systems in this one.
//!
//! The tests build the daemon themselves, so that they never run a stale binary.

mod freeze;
mod kill;
mod leaving;
mod outage;
mod stop;
mod traffic;
mod world;
