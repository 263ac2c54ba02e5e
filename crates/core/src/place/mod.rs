//! Waiting, refusal and placement of the calls to one service whose targets tell their load and the
//! pace of their machine.
//!
//! Each module holds one decision, and its first line names the load that it answers. Events go in
//! as method calls of [`Placer`]; what to do comes out as [`Action`](crate::balance::Action)s.

mod copy;
mod flight;
mod hold;
mod loss;
mod placer;
mod sight;
mod sound;
mod work;

pub use placer::Estimate;
pub use placer::Limits;
pub use placer::Placer;
