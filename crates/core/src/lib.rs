//! Decisions of the load balancer, without I/O, clock or randomness of their own.
//!
//! Events, a monotonic time and a caller's random generator go in; outcomes come out.

#[macro_use]
mod derive;

pub mod audit;
pub mod balance;
pub mod catalogue;
pub mod entry;
pub mod gateway;
pub mod link;
pub mod map;
pub mod member;
pub mod message;
pub mod read;
pub mod reader;
pub mod request;
pub mod route;
pub mod settings;
pub mod target;
pub mod ticket;
pub mod time;
pub mod version;
