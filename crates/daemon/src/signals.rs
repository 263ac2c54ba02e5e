//! The signals that a process acts on.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Signals received since `open`; before it, each of them ends the process.
pub(crate) struct Signals {
    /// The settings file has changed.
    pub(crate) hangup: Signal,
    /// The process has to stop.
    pub(crate) terminate: Signal,
    /// The process has to stop; sent from a terminal.
    pub(crate) interrupt: Signal,
}

impl Signals {
    pub(crate) fn open() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}
