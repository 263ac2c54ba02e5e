//! Connections to targets.

use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use oriolecleat_core::map::Map;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::relay;

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    sender: SendRequest<relay::Upload>,
    driver: AbortHandle,
    address: SocketAddr,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, std::io::Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let io = TokioIo::new(stream);
        let (sender, connection) = http1::handshake(io).await.map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(cause:% = error; "connection to a target ended");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            address,
        })
    }

    /// Sends one request; bytes may have reached the target as soon as this is called.
    pub(crate) async fn send(
        &mut self,
        request: hyper::Request<relay::Upload>,
    ) -> Result<hyper::Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }

    /// Closes the connection at once, with all bytes in either direction.
    pub(crate) fn close(self) {
        self.driver.abort();
    }
}

/// Idle connections by target address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Map<SocketAddr, Vec<Connection>>,
}

impl Pool {
    /// An idle connection that is still open.
    pub(crate) fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn put(&mut self, connection: Connection) {
        self.idle
            .entry(connection.address)
            .or_default()
            .push(connection);
    }
}
