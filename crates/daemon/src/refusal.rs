//! Refusals: the answers that the balancer itself gives to requests.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Failure;
use oriolecleat_core::request::Outcome;
use serde_json::json;

/// The message for the reader of a refusal with `code`.
pub(crate) const fn message(code: Code) -> &'static str {
    match code {
        Code::BadRequest => "the request line or a header is malformed",
        Code::UnknownService => "no entry matches the service in the Host header and the method",
        Code::HeadTooLarge => "the head of the request is too large",
        Code::LengthConflict => "the lengths in the head contradict each other",
        Code::TicketRequired => "this service needs a ticket from the directory",
        Code::TicketInvalid => "the ticket was not issued by this fleet",
        Code::TicketExpired => "the ticket expired",
        Code::TicketElsewhere => "the ticket belongs to another VM or an earlier incarnation",
        Code::TicketUsed => "the ticket was used",
        Code::RateLimited => "the entry's rate or concurrency limit is reached",
        Code::Overloaded => "there is no room for the request",
        Code::Deadline => "the deadline passed",
        Code::NoTarget => "no target may get new work",
        Code::Stopping => "this VM is stopping",
        Code::TargetFailed => "the connection to the target failed",
        Code::TargetBadAnswer => "the target's answer is malformed or cannot be checked",
        Code::DepthExceeded => "the call chain is too deep",
        Code::SlowCaller => "the body of the request arrived too slowly",
    }
}

/// The JSON body of a refusal.
pub(crate) fn body(failure: Failure, request_id: Option<&str>) -> Bytes {
    let body = json!({
        "code": failure.code.as_str(),
        "outcome": failure.outcome.as_str(),
        "message": message(failure.code),
        "request_id": request_id,
    });
    body.to_string().into()
}

/// The status of a refusal for callers of a platform. There, several statuses promise that the
/// request did not run and never will, so they are sent only if that is true.
fn hosted_status(failure: Failure) -> u16 {
    let own = failure.code.status();
    match (failure.outcome, own) {
        (Outcome::NotRun, 400 | 404 | 408 | 413 | 429 | 431) => own,
        (Outcome::NotRun, _) => 503,
        (Outcome::Ran | Outcome::Unknown, 504) => 504,
        (Outcome::Ran | Outcome::Unknown, _) => 502,
    }
}

/// Status and headers of a refusal; `hosted` selects the statuses of a platform.
pub(crate) fn head(failure: Failure, hosted: bool) -> (StatusCode, HeaderMap) {
    let status = if hosted {
        hosted_status(failure)
    } else {
        failure.code.status()
    };
    let status = StatusCode::from_u16(status).expect("codes have valid statuses");
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let code = HeaderValue::from_static(failure.code.as_str());
    headers.insert("oriolecleat-code", code);
    let outcome = HeaderValue::from_static(failure.outcome.as_str());
    headers.insert("oriolecleat-outcome", outcome);
    (status, headers)
}

/// A whole refusal as bytes, for a connection on which no request was read.
pub(crate) fn raw(code: Code, outcome: Outcome) -> Bytes {
    let body = body(Failure { code, outcome }, None);
    let reason = StatusCode::from_u16(code.status())
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {} {reason}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         oriolecleat-code: {}\r\noriolecleat-outcome: {}\r\nconnection: close\r\n\r\n",
        code.status(),
        body.len(),
        code.as_str(),
        outcome.as_str(),
    );
    [head.as_bytes(), &body].concat().into()
}
