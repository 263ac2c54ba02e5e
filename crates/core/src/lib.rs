//! Decisions of the load balancer, without I/O, clock or randomness of their own.
//!
//! Events, a monotonic time and a caller's random generator go in; outcomes come out.

#[macro_use]
mod derive;

pub mod balance;
pub mod catalogue;
mod choose;
mod dispatch;
pub mod entry;
pub mod estimate;
mod flight;
pub mod hedge;
pub mod map;
pub mod purse;
mod queue;
pub mod read;
pub mod request;
pub mod route;
pub mod settings;
pub mod target;
pub mod ticket;
pub mod time;
pub mod version;
