//! The request path: from a caller's request to a target's answer.

use std::convert::Infallible;
use std::future::poll_fn;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use oriolecleat_core::balance::Ask;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Fate;
use oriolecleat_core::entry::Class;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::ticket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clock;
use crate::node::Shared;
use crate::pool::Connection;
use crate::relay::Attempt;
use crate::relay::Download;
use crate::report;
use crate::service;
use crate::service::Decision;
use crate::service::Grant;

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
    let (service, ask) = admit(node, &service, &request)?;
    let claimed = claim(node, ask.class, &request)?;
    let answered = forward(node, service, ask, request).await;
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
) -> Result<(service::Key, Ask), Refused> {
    let mut node = node.borrow_mut();
    let call = node.new_call();
    let unknown = (Code::UnknownService, Outcome::NotRun);
    let key = *node.names.get(service).ok_or(unknown)?;
    let (_, entry) = node
        .routes
        .find(service, request.method().as_str())
        .ok_or(unknown)?;
    let deadline = node.clock.now() + entry.deadline;
    let ask = Ask {
        call,
        class: entry.class,
        deadline,
        entry: 0,
        hedge_percent: 0,
    };
    Ok((key, ask))
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
    service: service::Key,
    ask: Ask,
    request: Request<Incoming>,
) -> Result<Response<Download>, Refused> {
    let call = ask.call;
    node.borrow_mut().arrive(service, ask);
    let grant = granted(node, service, call).await?;
    let mut attempt = Attempt::new(node, service, call, grant.target);
    let pooled = node.borrow_mut().pool.take(grant.address);
    let opened = match pooled {
        Some(connection) => Ok(connection),
        None => Connection::open(grant.address).await,
    };
    let Ok(connection) = opened else {
        let fate = attempt.fail(Ending::Broken { written: false });
        abandon(node, service, call, fate);
        return Err((Code::TargetFailed, Outcome::NotRun));
    };
    let request = outgoing(request, grant);
    match attempt.attach(connection).send(request).await {
        Ok(response) => {
            if let Some(report) = report::parse(response.headers()) {
                node.borrow_mut().report(service, grant.target, report);
            }
            Ok(incoming(response, attempt))
        }
        Err(error) => {
            log::debug!(cause:% = error; "target failed");
            let fate = attempt.fail(Ending::Broken { written: true });
            abandon(node, service, call, fate);
            Err((Code::TargetFailed, Outcome::Unknown))
        }
    }
}

/// Waits for the first decision that sends or refuses the call.
async fn granted(node: &Shared, service: service::Key, call: Call) -> Result<Grant, Refused> {
    loop {
        match poll_fn(|context| node.borrow_mut().poll_decision(call, context)).await {
            Decision::Send(grant) => return Ok(grant),
            Decision::Refuse(refusal) => return Err((Code::from(refusal), Outcome::NotRun)),
            Decision::Hedge(grant) => {
                node.borrow_mut()
                    .finish(service, call, grant.target, Ending::Cancelled);
            }
            Decision::Cancel(target) => log::debug!(target:? = target; "no copy to cancel"),
        }
    }
}

fn abandon(node: &Shared, service: service::Key, call: Call, fate: Fate) {
    if fate == Fate::Pending {
        node.borrow_mut().withdraw(service, call);
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
