//! Process-level failure tests: daemons as processes, fakes of the outside systems in this one.
//!
//! The daemon is built by the test itself, so that a stale binary is never tested.

mod freeze;
mod kill;
mod leaving;
mod outage;
mod stop;
mod traffic;
mod world;
