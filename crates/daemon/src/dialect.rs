//! The HTTP headers and statuses that callers and targets use.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::stated::Statement;
use oriolecleat_core::time::Span;

use crate::report;

/// Names of the headers on requests and answers, and how to interpret answers.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Header with the id of a request, which targets return on their answers.
    pub request_id: HeaderName,
    /// Whether targets return the request id on all answers. An answer without one then belongs to a
    /// request that had none, such as a health check.
    pub echoes_id: bool,
    /// Header with the time in milliseconds for which the sender still waits.
    pub deadline: HeaderName,
    /// Header with the name of the only target that may run the request. None: it is not sent.
    pub target: Option<HeaderName>,
    /// Header on an answer which proves that a target gave it. None: no proof is required.
    pub signature: Option<HeaderName>,
    /// Whether the product's own headers are used: ticket, depth, attempt, queue limit and outcome.
    pub own: bool,
    /// Whether an answer may have neither a length nor chunks and end with its connection.
    pub open_ended: bool,
    /// Reads the load that an answer reports.
    pub load: fn(&HeaderMap) -> Option<Report>,
    /// Reads how much longer a target is cold, as an answer of its health path states it.
    pub cold: fn(&HeaderMap) -> Option<Span>,
    /// Reads what an answer states of its target.
    pub stated: fn(StatusCode, &HeaderMap) -> Statement,
    /// Whether an answer says that the target did not run the request.
    pub is_shed: fn(StatusCode, &HeaderMap) -> bool,
    /// Whether an answer says that another target has the address.
    pub is_misdirected: fn(StatusCode) -> bool,
}

impl Dialect {
    /// The product's own headers.
    #[must_use]
    pub fn own() -> Self {
        Self {
            request_id: HeaderName::from_static("oriolecleat-request-id"),
            echoes_id: false,
            deadline: HeaderName::from_static("oriolecleat-deadline-ms"),
            target: None,
            signature: None,
            own: true,
            open_ended: false,
            load: report::parse,
            cold: |_| None,
            stated: |_, _| Statement::default(),
            is_shed,
            is_misdirected: |_| false,
        }
    }
}

fn is_shed(status: StatusCode, headers: &HeaderMap) -> bool {
    let outcome = headers.get("oriolecleat-outcome");
    let not_run = outcome.is_some_and(|outcome| *outcome == Outcome::NotRun.as_str());
    status == StatusCode::SERVICE_UNAVAILABLE && not_run
}
