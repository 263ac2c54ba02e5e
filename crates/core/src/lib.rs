//! Core of the load balancer: its data structures and decisions, without I/O.
//!
//! The core reads no clock and has no random generator. The program that uses it passes in events,
//! a monotonic time and a random generator, and carries out the actions that the core returns.

#[macro_use]
mod derive;

pub mod address;
pub mod audit;
pub mod balance;
pub mod budget;
pub mod catalogue;
mod choose;
mod confirm;
pub mod constants;
pub mod departure;
mod dial;
mod dispatch;
mod download;
pub mod entry;
pub mod estimate;
mod flight;
pub mod gateway;
pub mod gossip;
pub mod heartbeat;
pub mod hedge;
pub mod home;
pub mod idle;
mod json;
pub mod leaving;
pub mod limit;
pub mod map;
pub mod member;
mod mesh;
pub mod message;
mod outcome;
mod peer;
pub mod place;
mod propagation;
mod queue;
pub mod read;
pub mod reader;
pub mod recent;
mod repair;
pub mod repeat;
pub mod request;
pub mod route;
pub mod settings;
pub mod site;
pub mod stated;
pub mod stop;
pub mod target;
pub mod ticket;
pub mod time;
pub mod topology;
pub mod transfer;
pub mod version;
pub mod view;
pub mod vmlist;
