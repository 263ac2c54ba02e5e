//! The daemon of an entry VM: a thin I/O shell around the decisions in `oriolecleat-core`.

mod caller;
mod calls;
mod change;
mod clock;
mod directory;
mod explain;
mod logs;
pub mod metrics;
mod node;
mod operator;
mod platform;
mod pool;
mod probe;
mod query;
mod relay;
mod report;
mod service;
mod start;
mod timer;

pub use logs::init as init_logs;
pub use start::run;
