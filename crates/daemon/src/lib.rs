//! The daemon of an entry VM: a thin I/O shell around the decisions in `oriolecleat-core`.

mod caller;
mod clock;
mod directory;
mod logs;
mod node;
mod operator;
mod platform;
mod pool;
mod query;
mod relay;
mod start;

pub use logs::init as init_logs;
pub use start::run;
