//! HTTP client of a VM's operator port.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::runtime::Builder;

use crate::failure::Failure;

const ANSWER_TIMEOUT_MS: u64 = 10_000;
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Sends `GET path` to the VM and returns the JSON body of its answer.
///
/// # Errors
///
/// Fails if the VM cannot be reached or does not answer in time, if the status is not 200, or if
/// the body is too large or not JSON.
pub(crate) fn get(address: SocketAddr, path: &str) -> Result<Value, Report<Failure>> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| Failure::new("cannot start the event loop"))?;
    runtime.block_on(async {
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        match tokio::time::timeout(limit, exchange(address, path)).await {
            Ok(answer) => answer,
            Err(_) => Err(Report::new(Failure::new(format!(
                "{address} did not answer within {ANSWER_TIMEOUT_MS} ms"
            )))),
        }
    })
}

/// Decodes the fields of an answer that a command prints.
pub(crate) fn parse<T: DeserializeOwned>(answer: &Value) -> Result<T, Report<Failure>> {
    T::deserialize(answer)
        .change_context_lazy(|| Failure::new("the answer does not have the expected fields"))
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Value, Report<Failure>> {
    let unreachable = || Failure::new(format!("cannot send a request to {address}"));
    let stream = TcpStream::connect(address)
        .await
        .change_context_lazy(unreachable)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .change_context_lazy(unreachable)?;
    let connection = tokio::spawn(connection);
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .change_context_lazy(unreachable)?;
    let response = sender
        .send_request(request)
        .await
        .change_context_lazy(unreachable)?;
    let answer = read(response, address).await;
    connection.abort();
    answer
}

async fn read(
    response: Response<hyper::body::Incoming>,
    address: SocketAddr,
) -> Result<Value, Report<Failure>> {
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| {
        Report::new(Failure::new(format!(
            "cannot read the answer from {address}: {error}"
        )))
    })?;
    let body = body.to_bytes();
    if status == StatusCode::OK {
        return serde_json::from_slice(&body)
            .change_context_lazy(|| Failure::new(format!("{address} did not answer with JSON")));
    }
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    let reason = answer["error"]
        .as_str()
        .map_or_else(String::new, |text| format!(": {text}"));
    let message = format!("{address} answered with status {}{reason}", status.as_u16());
    Err(Report::new(Failure::new(message)))
}
