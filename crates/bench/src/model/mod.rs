//! Queueing model in virtual time that drives the product's own balancer.

mod drive;
pub mod hosted;
pub mod ideal;
pub mod policy;
pub mod run;
pub mod scenario;
pub mod server;
pub mod summary;
pub mod work;
pub mod world;
