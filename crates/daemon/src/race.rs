//! Races the copies of one written request; the first usable answer goes to the caller.

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

/// Time within which a broken connection counts as one that the target had dropped while it was
/// idle. Its reset arrives within a round trip, 40 ms between regions; when a connection breaks
/// later, the target was at work on the request.
const STALE_RESET_WITHIN: Span = Span::from_millis(60);

/// An answer whose head was read; the body follows on `connection`.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) attempt: Attempt,
}

impl Reply {
    /// Whether the target answered with an error of its own.
    pub(crate) fn is_error(&self) -> bool {
        head::is_server_error(self.response.status())
    }
}

/// Result of the race between the copies of a request.
pub(crate) enum Conclusion {
    /// One copy got an answer for the caller.
    Answer(Box<Reply>),
    /// All copies were shed.
    Shed(Shed, Progress),
    /// No copy got an answer.
    Failed(Code),
    /// A target sent an answer that must not be passed on.
    Discarded(Code),
    /// The deadline of the request passed.
    Deadline,
}

/// How the exchange of one copy ended, or that the head of its answer arrived.
enum Event {
    /// The head arrived.
    Head(Box<(Response<Incoming>, Connection)>),
    /// The connection broke; with the time that it had been idle before, unless it was new.
    Broken(hyper::Error, Option<Span>),
    /// No connection could be opened.
    Unconnected(Unconnected),
}

/// One copy of a request on its way to a target.
pub(crate) struct Dispatch {
    attempt: Attempt,
    future: Pin<Box<dyn Future<Output = Event>>>,
}

impl Dispatch {
    /// Sends `request` on `connection` once the copy is polled.
    pub(crate) fn new(attempt: Attempt, connection: Connection, request: Request<Upload>) -> Self {
        let future = async move { exchange(connection, request).await };
        Self {
            attempt,
            future: Box::pin(future),
        }
    }
}

/// Sends `request` and waits for the head of its answer.
async fn exchange(mut connection: Connection, request: Request<Upload>) -> Event {
    match connection.send(request).await {
        Ok(response) => Event::Head(Box::new((response, connection))),
        Err(error) => Event::Broken(error, connection.last_idle()),
    }
}

impl Exchange {
    /// Waits for the first usable answer. `allow_copy` is asked before a second copy is sent.
    pub(crate) async fn race(
        &mut self,
        first: Dispatch,
        mut allow_copy: impl FnMut() -> bool,
    ) -> Conclusion {
        let mut copies = vec![first];
        let mut failure = None;
        poll_fn(|context| {
            self.apply_decisions(context, &mut copies, &mut allow_copy);
            if let Some(conclusion) = self.poll_copies(context, &mut copies, &mut failure) {
                return Poll::Ready(conclusion);
            }
            if self.deadline_timer.as_mut().poll(context).is_ready() {
                return Poll::Ready(Conclusion::Deadline);
            }
            Poll::Pending
        })
        .await
    }

    fn apply_decisions(
        &mut self,
        context: &mut Context<'_>,
        copies: &mut Vec<Dispatch>,
        allow_copy: &mut impl FnMut() -> bool,
    ) {
        while let Poll::Ready(decision) = self.call.poll_decision(context) {
            match decision {
                Decision::Hedge(grant) => {
                    let attempt = self.call.start_attempt(grant.target);
                    let allowed = self.body.is_replayable() && self.take_repeat();
                    if allowed && allow_copy() {
                        copies.push(self.hedge(&grant, attempt));
                    }
                }
                Decision::Cancel(target) => {
                    let ended = copies.extract_if(.., |copy| copy.attempt.target() == target);
                    ended.for_each(|copy| copy.attempt.forget());
                }
                Decision::Send(grant) => drop(self.call.start_attempt(grant.target)),
                Decision::Refuse(refusal) => {
                    log::debug!(refusal:? = refusal; "refusal of a call in progress ignored");
                }
            }
        }
    }

    /// Creates a second copy, which opens its connection while the first copy runs.
    fn hedge(&self, grant: &Grant, attempt: Attempt) -> Dispatch {
        let left = self.remaining();
        let request = self.outgoing.request(grant, 1, left, &self.body);
        let connected = self.connect(grant);
        let node = self.node.clone();
        let (service, target) = (self.service, grant.target);
        let mut origin = self.origin.clone();
        let future = async move {
            match connected.await {
                Ok(_) if !node.borrow().is_fit(service, target, &mut origin) => {
                    Event::Unconnected(Unconnected::Unfit)
                }
                Ok(connection) => exchange(connection, request).await,
                Err(unconnected) => Event::Unconnected(unconnected),
            }
        };
        Dispatch {
            attempt,
            future: Box::pin(future),
        }
    }

    fn poll_copies(
        &mut self,
        context: &mut Context<'_>,
        copies: &mut Vec<Dispatch>,
        failure: &mut Option<Conclusion>,
    ) -> Option<Conclusion> {
        let mut index = 0;
        while index < copies.len() {
            let Poll::Ready(event) = copies[index].future.as_mut().poll(context) else {
                index += 1;
                continue;
            };
            let copy = copies.swap_remove(index);
            let ended = self.conclude(context, copy.attempt, event, copies.is_empty());
            if matches!(ended, Conclusion::Answer(_)) {
                return Some(ended);
            }
            // An attempt whose result is unknown takes precedence over one that was shed.
            if !matches!((&ended, &failure), (Conclusion::Shed(..), Some(_))) {
                *failure = Some(ended);
            }
        }
        if copies.is_empty() {
            failure.take()
        } else {
            None
        }
    }

    fn conclude(
        &mut self,
        context: &mut Context<'_>,
        attempt: Attempt,
        event: Event,
        is_last: bool,
    ) -> Conclusion {
        match event {
            Event::Head(head) => {
                let (response, connection) = *head;
                self.accept_answer(context, attempt, response, connection, is_last)
            }
            Event::Broken(error, idle) => self.conclude_broken(attempt, &error, idle),
            Event::Unconnected(unconnected) => {
                log::debug!(cause:% = unconnected, id = self.call.id(); "second copy not sent");
                attempt.end(match unconnected {
                    Unconnected::Unfit => Ending::Cancelled,
                    Unconnected::Full | Unconnected::Deadline | Unconnected::Failed(_) => {
                        Ending::Broken { written: false }
                    }
                });
                Conclusion::Failed(Code::TargetFailed)
            }
        }
    }

    fn conclude_broken(
        &self,
        attempt: Attempt,
        error: &hyper::Error,
        idle: Option<Span>,
    ) -> Conclusion {
        let rested_ms = idle.map(Span::as_millis);
        let after = attempt.elapsed();
        log::info!(
            cause:% = logs::chain(error),
            id = self.call.id(),
            rested_ms,
            after_ms = after.as_millis();
            "attempt failed"
        );
        let fault = self.body.fault();
        if let (None, Some(idle)) = (fault, idle)
            && after <= STALE_RESET_WITHIN
        {
            let mut node = self.node.borrow_mut();
            let now = node.clock.now();
            node.idle_limit.record_break(now, idle);
        }
        attempt.end(match fault {
            Some(_) => Ending::Cancelled,
            None => Ending::Broken { written: true },
        });
        Conclusion::Failed(match fault {
            Some(Fault::Slow) => Code::SlowCaller,
            Some(Fault::Broken | Fault::Discarded) => Code::BadRequest,
            None if error.is_parse() => Code::TargetBadAnswer,
            None => Code::TargetFailed,
        })
    }

    fn dialect(&self) -> Rc<Dialect> {
        Rc::clone(&self.node.borrow().dialect)
    }

    /// Whether a success lacks the proof that a target gave it: its signature is missing, or it has
    /// a content encoding, which no target applies unless asked.
    fn is_unsigned(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let dialect = self.dialect();
        let Some(signature) = &dialect.signature else {
            return false;
        };
        let proved = headers.contains_key(signature) && !headers.contains_key(CONTENT_ENCODING);
        status.is_success() && !proved
    }

    fn accept_answer(
        &mut self,
        context: &mut Context<'_>,
        attempt: Attempt,
        response: Response<Incoming>,
        connection: Connection,
        is_last: bool,
    ) -> Conclusion {
        let status = response.status();
        let headers = response.headers();
        attempt.record_head(headers);
        let length = response.body().size_hint().exact();
        let is_first = connection.last_idle().is_none();
        let limit = self.node.borrow().settings.http.head_bytes;
        let defect = if head::is_too_large(headers, limit) {
            Some("the head of the answer exceeds the limit head_bytes")
        } else if status == StatusCode::SWITCHING_PROTOCOLS {
            Some("the target switched protocols although the request asked for no upgrade")
        } else if !self.outgoing.is_answered_by(headers, is_first) {
            Some("the answer carries another request id than its request, or none")
        } else if !self.dialect().open_ended && !head::is_delimited(headers, length) {
            Some("the answer has no length and is not chunked")
        } else if self.is_unsigned(status, headers) {
            Some("the answer has no signature of a target or has a content encoding")
        } else {
            None
        };
        if let Some(cause) = defect {
            log::warn!(cause, id = self.call.id(); "answer discarded");
            attempt.end(Ending::Broken { written: true });
            return Conclusion::Discarded(Code::TargetBadAnswer);
        }
        let dialect = self.dialect();
        if (dialect.is_misdirected)(status) {
            log::info!(id = self.call.id(); "address of the target is in use by another target");
            let mut node = self.node.borrow_mut();
            node.record_misdirection(self.service, attempt.target());
        } else {
            let statement = (dialect.stated)(status, headers);
            attempt.record_statement(self.call.id(), statement);
        }
        if let Some(shed) = Shed::declared((dialect.is_shed)(status, headers)) {
            if response.body().is_end_stream() {
                self.node.borrow_mut().pool.put(connection, context);
            }
            let bytes = self.outgoing.bytes() + self.body.sent_bytes() + head::bytes(headers);
            let bytes = bytes + length.unwrap_or(0);
            return Conclusion::Shed(shed, attempt.end(Ending::Shed { bytes }));
        }
        if head::is_server_error(status) && !is_last {
            attempt.end_answered(true);
            return Conclusion::Failed(Code::TargetFailed);
        }
        Conclusion::Answer(Box::new(Reply {
            response,
            connection,
            attempt,
        }))
    }
}
