//! Handle of a running fake server.

use std::net::SocketAddr;

use tokio::task::JoinHandle;

/// A running server; dropping it closes the port and all connections.
pub struct Server {
    pub(crate) address: SocketAddr,
    pub(crate) task: JoinHandle<()>,
}

impl Server {
    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
