//! Small HTTP client for experiments and tests that opens a new connection for each request.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Error of a request that got no complete answer.
pub type Failure = Box<dyn std::error::Error>;

/// Sends `request` to `address` over a new connection and reads the complete answer.
///
/// # Errors
///
/// Fails if the connection breaks or no complete answer arrives.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(connection);
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let bytes = body.collect().await?.to_bytes();
    driver.abort();
    Ok(Response::from_parts(head, bytes))
}

/// Sends a GET request and reads the complete answer.
///
/// # Errors
///
/// Fails if the connection breaks or no complete answer arrives.
pub async fn get(address: SocketAddr, host: &str, path: &str) -> Result<Response<Bytes>, Failure> {
    let request = Request::get(path)
        .header("host", host)
        .body(Full::default())?;
    send(address, request).await
}
