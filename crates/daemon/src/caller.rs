//! The request path: from a caller's request to a target's answer.

use std::convert::Infallible;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::entry::Class;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::ticket;
use oriolecleat_core::time::Instant;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clock;
use crate::node::Grant;
use crate::node::Shared;
use crate::pool::Connection;
use crate::relay::Attempt;
use crate::relay::Download;

/// Accepts callers until the process ends.
pub(crate) async fn serve(node: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(node.clone(), stream));
            }
            Err(error) => log::warn!(cause:% = error; "accepting a caller failed"),
        }
    }
}

async fn connection(node: Shared, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "caller's connection is gone");
        return;
    }
    let (head_bytes, head_timeout) = {
        let node = node.borrow();
        (
            node.settings.http.head_bytes,
            node.settings.http.head_timeout,
        )
    };
    let service = service_fn(move |request| handle(node.clone(), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(clock::duration(head_timeout))
        .max_buf_size(usize::try_from(head_bytes).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(cause:% = error; "caller's connection ended");
    }
}

async fn handle(
    node: Shared,
    request: Request<Incoming>,
) -> Result<Response<Download>, Infallible> {
    Ok(respond(&node, request)
        .await
        .unwrap_or_else(|(code, outcome)| refusal(code, outcome)))
}

type Refused = (Code, Outcome);

async fn respond(node: &Shared, request: Request<Incoming>) -> Result<Response<Download>, Refused> {
    let service = service_name(&request).ok_or((Code::BadRequest, Outcome::NotRun))?;
    let (class, deadline) = admit(node, &service, &request)?;
    let claimed = claim(node, class, &request)?;
    let answered = forward(node, &service, class, deadline, request).await;
    if let Some(id) = claimed {
        settle(node, id, &answered);
    }
    answered
}

fn service_name(request: &Request<Incoming>) -> Option<Box<str>> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    let name = host.split(':').next()?;
    Some(name.into())
}

fn admit(
    node: &Shared,
    service: &str,
    request: &Request<Incoming>,
) -> Result<(Class, Instant), Refused> {
    let node = node.borrow();
    let found = node.routes.find(service, request.method().as_str());
    let (_, entry) = found.ok_or((Code::UnknownService, Outcome::NotRun))?;
    Ok((entry.class, node.clock.now() + entry.deadline))
}

/// Claims the ticket of a non-idempotent request.
fn claim(
    node: &Shared,
    class: Class,
    request: &Request<Incoming>,
) -> Result<Option<u128>, Refused> {
    if class != Class::Once {
        return Ok(None);
    }
    let header = request.headers().get("oriolecleat-ticket");
    let text = header
        .ok_or((Code::TicketRequired, Outcome::NotRun))?
        .to_str()
        .unwrap_or_default();
    let mut node = node.borrow_mut();
    let ticket = node
        .issuer
        .verify(text)
        .ok_or((Code::TicketInvalid, Outcome::NotRun))?;
    let now = node.clock.now();
    match node.ledger.claim(now, &ticket) {
        Ok(()) => Ok(Some(ticket.id)),
        Err(ticket::Refusal::Invalid) => Err((Code::TicketInvalid, Outcome::NotRun)),
        Err(ticket::Refusal::Elsewhere) => Err((Code::TicketElsewhere, Outcome::Unknown)),
        Err(ticket::Refusal::Expired) => Err((Code::TicketExpired, Outcome::Unknown)),
        Err(ticket::Refusal::Used(ticket::State::Ran)) => Err((Code::TicketUsed, Outcome::Ran)),
        Err(ticket::Refusal::Used(ticket::State::Undecided)) => {
            Err((Code::TicketUsed, Outcome::Unknown))
        }
        Err(ticket::Refusal::Full) => Err((Code::Overloaded, Outcome::NotRun)),
    }
}

fn settle(node: &Shared, id: u128, answered: &Result<Response<Download>, Refused>) {
    let mut node = node.borrow_mut();
    match answered {
        Ok(_) => node.ledger.ran(id),
        Err((_, Outcome::NotRun)) => node.ledger.release(id),
        Err((_, Outcome::Ran | Outcome::Unknown)) => {}
    }
}

async fn forward(
    node: &Shared,
    service: &str,
    class: Class,
    deadline: Instant,
    request: Request<Incoming>,
) -> Result<Response<Download>, Refused> {
    let (call, decision) = node.borrow_mut().arrive(service, class, deadline);
    let grant = match decision.await {
        Ok(Ok(grant)) => grant,
        Ok(Err(refusal)) => return Err((Code::from(refusal), Outcome::NotRun)),
        Err(_) => {
            node.borrow_mut().withdraw(service, call);
            return Err((Code::UnknownService, Outcome::NotRun));
        }
    };
    let mut attempt = Attempt::new(node, service, call, grant.target);
    let pooled = node.borrow_mut().pool.take(grant.address);
    let opened = match pooled {
        Some(connection) => Ok(connection),
        None => Connection::open(grant.address).await,
    };
    let Ok(connection) = opened else {
        attempt.fail(Ending::Broken { written: false });
        return Err((Code::TargetFailed, Outcome::NotRun));
    };
    let request = outgoing(request, grant);
    match attempt.attach(connection).send(request).await {
        Ok(response) => Ok(incoming(response, attempt)),
        Err(error) => {
            log::debug!(cause:% = error; "target failed");
            attempt.fail(Ending::Broken { written: true });
            Err((Code::TargetFailed, Outcome::Unknown))
        }
    }
}

fn outgoing(mut request: Request<Incoming>, grant: Grant) -> Request<Incoming> {
    let queue = HeaderValue::from(grant.queue.as_millis());
    request.headers_mut().insert("oriolecleat-queue-ms", queue);
    request
}

fn incoming(response: Response<Incoming>, attempt: Attempt) -> Response<Download> {
    let failed = response.status().is_server_error();
    let mut response = response.map(|body| Download::Target {
        body,
        attempt,
        failed,
    });
    let outcome = HeaderValue::from_static(Outcome::Ran.as_str());
    response
        .headers_mut()
        .insert("oriolecleat-outcome", outcome);
    response
}

fn refusal(code: Code, outcome: Outcome) -> Response<Download> {
    let body = serde_json::json!({ "code": code.as_str(), "outcome": outcome.as_str() });
    let mut response = Response::new(Download::Own(Some(body.to_string().into())));
    *response.status_mut() =
        hyper::StatusCode::from_u16(code.status()).expect("codes have valid statuses");
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert("oriolecleat-code", HeaderValue::from_static(code.as_str()));
    headers.insert(
        "oriolecleat-outcome",
        HeaderValue::from_static(outcome.as_str()),
    );
    response
}
