//! Decisions of the load balancer, without I/O, clock or randomness of their own.
//!
//! Events, a monotonic time and a caller's random generator go in; outcomes come out.

#[macro_use]
mod derive;

pub mod address;
pub mod balance;
pub mod budget;
pub mod catalogue;
mod choose;
pub mod constants;
mod dispatch;
pub mod entry;
pub mod estimate;
mod flight;
pub mod hedge;
mod json;
pub mod leaving;
pub mod limit;
pub mod map;
mod outcome;
pub mod purse;
mod queue;
pub mod read;
pub mod request;
pub mod route;
pub mod settings;
pub mod stop;
pub mod target;
pub mod ticket;
pub mod time;
pub mod version;
pub mod view;
pub mod vmlist;
