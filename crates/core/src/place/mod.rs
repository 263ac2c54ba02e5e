//! Placement of the calls to one service whose targets report their load and the slowdown of their
//! machine: which target a call gets, and whether it waits or is refused.
//!
//! Each module makes one kind of decision, and its head names the load that it is for. Events go
//! in as method calls of [`Placer`]; the resulting actions come out as
//! [`Action`](crate::balance::Action)s.

pub mod cold;
mod count;
mod flight;
mod hedge;
mod loss;
mod placer;
mod probe;
mod queue;
mod region;
pub mod spill;
mod stated;
mod stats;
mod wait;
mod work;

pub use placer::Estimate;
pub use placer::Limits;
pub use placer::Placer;
