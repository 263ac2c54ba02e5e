//! The copies of one written request, of which one answer goes to the caller.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Shed;
use oriolecleat_core::time::Span;

use crate::attempt::Attempt;
use crate::dialect::Dialect;
use crate::exchange::Exchange;
use crate::exchange::Unconnected;
use crate::head;
use crate::logs;
use crate::pool::Connection;
use crate::service::Decision;
use crate::service::Grant;
use crate::upload::Fault;
use crate::upload::Upload;

/// A target that has forgotten a connection resets it within the way there and back, which is 40 ms
/// between regions. What breaks later was at work.
const FORGOTTEN_WITHIN: Span = Span::from_millis(60);

/// An answer whose head was read.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) attempt: Attempt,
}

impl Reply {
    /// Whether the target answered with an error of its own.
    pub(crate) fn is_error(&self) -> bool {
        self.response.status().is_server_error()
    }
}

/// How the copies of a request ended.
pub(crate) enum Raced {
    /// One has an answer.
    Answer(Box<Reply>),
    /// All were shed.
    Shed(Shed, Progress),
    /// None has an answer.
    Failed(Code),
    /// A target sent an answer that must not be passed on.
    Discarded(Code),
    /// The deadline passed.
    Late,
}

enum Flow {
    Head(Box<(Response<Incoming>, Connection)>),
    /// The connection broke; how long it had rested before, unless it was new.
    Broken(hyper::Error, Option<Span>),
    Unconnected(Unconnected),
}

/// One copy of a request.
pub(crate) struct Copy {
    attempt: Attempt,
    flow: Pin<Box<dyn Future<Output = Flow>>>,
}

impl Copy {
    /// Writes `request` to `connection`.
    pub(crate) fn new(attempt: Attempt, connection: Connection, request: Request<Upload>) -> Self {
        let flow = async move { exchange(connection, request).await };
        Self {
            attempt,
            flow: Box::pin(flow),
        }
    }
}

async fn exchange(mut connection: Connection, request: Request<Upload>) -> Flow {
    match connection.send(request).await {
        Ok(response) => Flow::Head(Box::new((response, connection))),
        Err(error) => Flow::Broken(error, connection.rested()),
    }
}

impl Exchange {
    /// Waits for the first answer; `permit` allows a second copy.
    pub(crate) async fn race(&mut self, first: Copy, mut permit: impl FnMut() -> bool) -> Raced {
        let mut copies = vec![first];
        let mut last = None;
        poll_fn(|context| {
            self.decide(context, &mut copies, &mut permit);
            if let Some(raced) = self.advance(context, &mut copies, &mut last) {
                return Poll::Ready(raced);
            }
            if self.deadline.as_mut().poll(context).is_ready() {
                return Poll::Ready(Raced::Late);
            }
            Poll::Pending
        })
        .await
    }

    fn decide(
        &mut self,
        context: &mut Context<'_>,
        copies: &mut Vec<Copy>,
        permit: &mut impl FnMut() -> bool,
    ) {
        while let Poll::Ready(decision) = self.line.poll_decision(context) {
            match decision {
                Decision::Hedge(grant) => {
                    let attempt = self.line.attempt(grant.target);
                    let allowed = self.body.is_replayable()
                        && self.node.borrow_mut().may_repeat(self.service);
                    if allowed && permit() {
                        copies.push(self.copy(&grant, attempt));
                    }
                }
                Decision::Cancel(target) => {
                    let ended = copies.extract_if(.., |copy| copy.attempt.target() == target);
                    ended.for_each(|copy| copy.attempt.forget());
                }
                Decision::Send(grant) => drop(self.line.attempt(grant.target)),
                Decision::Refuse(refusal) => {
                    log::debug!(refusal:? = refusal; "refusal of a call that runs");
                }
            }
        }
    }

    /// A second copy; it opens its connection while the first copy runs.
    fn copy(&self, grant: &Grant, attempt: Attempt) -> Copy {
        let left = self.left();
        let request = self.outgoing.request(grant, 1, left, &self.body);
        let connected = self.connect(grant);
        let flow = async move {
            match connected.await {
                Ok(connection) => exchange(connection, request).await,
                Err(unconnected) => Flow::Unconnected(unconnected),
            }
        };
        Copy {
            attempt,
            flow: Box::pin(flow),
        }
    }

    fn advance(
        &mut self,
        context: &mut Context<'_>,
        copies: &mut Vec<Copy>,
        last: &mut Option<Raced>,
    ) -> Option<Raced> {
        let mut index = 0;
        while index < copies.len() {
            let Poll::Ready(flow) = copies[index].flow.as_mut().poll(context) else {
                index += 1;
                continue;
            };
            let copy = copies.swap_remove(index);
            let ended = self.judge(context, copy.attempt, flow, copies.is_empty());
            if matches!(ended, Raced::Answer(_)) {
                return Some(ended);
            }
            // An attempt whose result is unknown outweighs one that was shed.
            if !matches!((&ended, &last), (Raced::Shed(..), Some(_))) {
                *last = Some(ended);
            }
        }
        if copies.is_empty() { last.take() } else { None }
    }

    fn judge(
        &mut self,
        context: &mut Context<'_>,
        attempt: Attempt,
        flow: Flow,
        alone: bool,
    ) -> Raced {
        match flow {
            Flow::Head(head) => {
                let (response, connection) = *head;
                self.answered(context, attempt, response, connection, alone)
            }
            Flow::Broken(error, rested) => self.broken(attempt, &error, rested),
            Flow::Unconnected(unconnected) => {
                log::debug!(cause:% = unconnected, id = self.line.id(); "copy was not sent");
                attempt.end(Ending::Broken { written: false });
                Raced::Failed(Code::TargetFailed)
            }
        }
    }

    fn broken(&self, attempt: Attempt, error: &hyper::Error, rested: Option<Span>) -> Raced {
        let rested_ms = rested.map(Span::as_millis);
        let after = attempt.elapsed();
        log::info!(
            cause:% = logs::chain(error),
            id = self.line.id(),
            rested_ms,
            after_ms = after.as_millis();
            "attempt failed"
        );
        let fault = self.body.fault();
        if let (None, Some(rested)) = (fault, rested)
            && after <= FORGOTTEN_WITHIN
        {
            let mut node = self.node.borrow_mut();
            let now = node.clock.now();
            node.rest.record_break(now, rested);
        }
        attempt.end(match fault {
            Some(_) => Ending::Cancelled,
            None => Ending::Broken { written: true },
        });
        Raced::Failed(match fault {
            Some(Fault::Slow) => Code::SlowCaller,
            Some(Fault::Broken | Fault::Gone) => Code::BadRequest,
            None if error.is_parse() => Code::TargetBadAnswer,
            None => Code::TargetFailed,
        })
    }

    fn dialect(&self) -> Rc<Dialect> {
        Rc::clone(&self.node.borrow().dialect)
    }

    /// Whether a success lacks the proof that a target gave it. A body with an encoding that nobody
    /// asked for is not the target's.
    fn is_unsigned(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let dialect = self.dialect();
        let Some(signature) = &dialect.signature else {
            return false;
        };
        let proved = headers.contains_key(signature) && !headers.contains_key(CONTENT_ENCODING);
        status.is_success() && !proved
    }

    fn answered(
        &mut self,
        context: &mut Context<'_>,
        attempt: Attempt,
        response: Response<Incoming>,
        connection: Connection,
        alone: bool,
    ) -> Raced {
        let status = response.status();
        let headers = response.headers();
        attempt.observe(headers);
        let length = response.body().size_hint().exact();
        let limit = self.node.borrow().settings.http.head_bytes;
        let bad = if head::is_too_large(headers, limit) {
            Some("the head of the answer is too large")
        } else if status == StatusCode::SWITCHING_PROTOCOLS {
            Some("the target switched protocols unasked")
        } else if !self.outgoing.is_answered_by(headers) {
            Some("the answer carries the id of another request")
        } else if !self.dialect().open_ended && !head::is_delimited(headers, length) {
            Some("the answer has no length and is not chunked")
        } else if self.is_unsigned(status, headers) {
            Some("the answer does not prove that a target gave it")
        } else {
            None
        };
        if let Some(cause) = bad {
            log::warn!(cause, id = self.line.id(); "answer discarded");
            attempt.end(Ending::Broken { written: true });
            return Raced::Discarded(Code::TargetBadAnswer);
        }
        let dialect = self.dialect();
        if (dialect.is_misdirected)(status) {
            log::info!(id = self.line.id(); "another target has the address");
            let mut node = self.node.borrow_mut();
            node.misdirected(self.service, attempt.target());
        }
        if let Some(shed) = Shed::declared((dialect.is_shed)(status, headers)) {
            if response.body().is_end_stream() {
                self.node.borrow_mut().pool.put(connection, context);
            }
            let bytes = self.outgoing.bytes() + self.body.sent() + head::bytes(headers);
            let bytes = bytes + length.unwrap_or(0);
            return Raced::Shed(shed, attempt.end(Ending::Shed { bytes }));
        }
        if status.is_server_error() && !alone {
            attempt.answered(true);
            return Raced::Failed(Code::TargetFailed);
        }
        Raced::Answer(Box::new(Reply {
            response,
            connection,
            attempt,
        }))
    }
}
