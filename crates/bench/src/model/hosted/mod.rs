//! Queueing model in virtual time of the targets of a platform and of VMs that place calls there
//! with [`place::Placer`](oriolecleat_core::place::Placer).
//!
//! A [`site::Site`] holds the VMs and the targets, a [`load::Load`] the calls and the faults, and
//! [`run::run`] plays them under a [`policy::Policy`].

pub mod fleet;
pub mod load;
mod perfect;
pub mod policy;
pub mod run;
pub mod scenario;
pub mod site;
pub mod spillover;
pub mod summary;
mod target;
mod vm;
