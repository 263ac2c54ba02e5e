//! Handle of a running fake server.

use std::net::SocketAddr;

use tokio::task::JoinHandle;

/// A running server; dropping it closes the port and all connections once the runtime next runs.
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

    /// Stops the server and returns when the port and all connections are closed.
    pub async fn stop(mut self) {
        self.task.abort();
        // The error is the cancellation.
        let _ = (&mut self.task).await;
        // The tasks of the connections, which end with it, come before this one.
        tokio::task::yield_now().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
