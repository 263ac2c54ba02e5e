//! The daemon of an entry VM: a thin I/O shell around the decisions in `oriolecleat-core`.

mod attempt;
mod caller;
mod calls;
mod change;
mod clock;
mod directory;
mod evidence;
mod exchange;
mod explain;
mod framing;
mod halt;
mod head;
mod logs;
pub mod metrics;
mod node;
mod operator;
mod platform;
mod pool;
mod probe;
mod query;
mod quota;
mod race;
mod refusal;
mod relay;
mod report;
mod service;
mod socket;
mod start;
mod stream;
mod ticketed;
mod timer;
mod upload;
mod visit;

pub use logs::init as init_logs;
pub use start::run;
