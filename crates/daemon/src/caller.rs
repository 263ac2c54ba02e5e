//! Handles the requests of callers: admission, the exchange with a target and the response.

use std::convert::Infallible;
use std::rc::Rc;
use std::task::Poll;

use http::request::Parts;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use oriolecleat_core::balance::Job;
use oriolecleat_core::entry::Class;
use oriolecleat_core::entry::Entry;
use oriolecleat_core::estimate::seconds;
use oriolecleat_core::request::Admitted;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Failure;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::request::Received;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::stop::Arrival;
use oriolecleat_core::time::Span;
use rand::RngExt;

use crate::attempt::Handle;
use crate::clock;
use crate::exchange::Exchange;
use crate::framing::Defect;
use crate::gather::Answer;
use crate::head;
use crate::head::Facts;
use crate::head::Outgoing;
use crate::held;
use crate::inflight;
use crate::metrics::Count;
use crate::node::Shared;
use crate::pipeline;
use crate::quota;
use crate::quota::Permit;
use crate::refusal;
use crate::region::Origin;
use crate::relay::Delivery;
use crate::relay::Download;
use crate::relay::Reply;
use crate::service;
use crate::stream::Tracker;
use crate::stream::Turn;
use crate::ticketed;
use crate::unanswered::Unanswered;
use crate::upload;

/// Most header fields in the head of one request.
pub(crate) const HEADERS_MAX: usize = 64;
/// Bounds on the `Retry-After` of a refusal in seconds. The minimum is about the time in which one
/// slot becomes free; callers do not wait longer than a third of the time that they have.
const RETRY_AFTER_MIN_S: f64 = 0.04;
const RETRY_AFTER_MAX_S: f64 = 0.5;
/// Range of the random factor on the expected wait in `Retry-After`.
const RETRY_AFTER_SPREAD: std::ops::Range<f64> = 0.75..1.5;

/// Answers the request whose turn it is.
pub(crate) async fn take_turn(
    node: Shared,
    ahead: Option<Rc<pipeline::Ahead>>,
    turn: Turn,
    request: Request<Incoming>,
) -> Result<Response<Reply>, Infallible> {
    let (parts, body) = request.into_parts();
    let closes = pipeline::closes(&parts);
    let early = ahead.as_ref().and_then(|ahead| ahead.take(&parts));
    let mut response = if let Some(early) = early {
        early.answer().await
    } else {
        turn.state.set_owed(false);
        let in_flight = inflight::Guard::new(&node);
        let tracker = Tracker::new(&turn.state, turn.defect(), in_flight);
        let admitted = admit(&node, &tracker, &parts, body.size_hint().exact());
        let may_precede = admitted.as_ref().is_ok_and(|admission| {
            admission.is_idempotent() && (ahead.is_none() || admission.is_replaceable(&node))
        });
        turn.state
            .set_parallel(may_precede && body.is_end_stream() && !closes);
        let idle = clock::duration(node.borrow().settings.http.body_idle);
        let body = upload::Shared::new(body, &parts.headers, idle);
        handle(node.clone(), tracker, parts, body, admitted).await
    };
    turn.state.set_owed(true);
    // Those read ahead may have been sent, so the last of them closes the connection.
    let early = ahead.is_some_and(|ahead| ahead.has_early());
    if !early && !node.borrow().phase().is_advertised() {
        close_connection(&mut response);
    }
    let closing = closes || response.headers().contains_key(CONNECTION);
    turn.state.set_closing(closing);
    Ok(response.map(|download| Reply::new(download, turn)))
}

/// A request that its entry admitted.
pub(crate) struct Admission {
    service: service::Key,
    admitted: Admitted,
    job: Job,
    quota: quota::Key,
}

impl Admission {
    /// Whether the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.job.class != Class::Once
    }

    /// Whether an answer that breaks off can be replaced, as far as earlier answers show, so that it
    /// does not end the connection. Counts the request if not.
    pub(crate) fn is_replaceable(&self, node: &Shared) -> bool {
        let mut node = node.borrow_mut();
        let now = node.clock.now();
        let quota = node.quotas.get(self.quota);
        let is_replaceable = quota.is_some_and(|quota| quota.buffers_answers(now));
        node.metrics
            .add(Count::NotAhead, u64::from(!is_replaceable));
        is_replaceable
    }
}

/// Handles one request of a caller.
pub(crate) async fn handle(
    node: Shared,
    mut tracker: Tracker,
    parts: Parts,
    body: upload::Shared,
    admitted: Result<Admission, Failure>,
) -> Response<Download> {
    node.borrow_mut().metrics.add(Count::Calls, 1);
    let dialect = Rc::clone(&node.borrow().dialect);
    let id = head::request_id(&parts.headers, &dialect).unwrap_or_else(|| new_id(&node));
    let prepared = admitted.and_then(|admission| {
        let Admission {
            service,
            admitted,
            job,
            quota,
        } = admission;
        node.borrow_mut().record_request(service);
        tracker.permit = Permit::acquire(&node, quota);
        if tracker.permit.is_none() {
            let outcome = ticketed::earlier_outcome(&node.borrow(), &parts.headers);
            let code = Code::RateLimited;
            return Err(Failure { code, outcome });
        }
        let Some(held) = held::Body::reserve(&node, body.kept_max()) else {
            let outcome = ticketed::earlier_outcome(&node.borrow(), &parts.headers);
            let code = Code::Overloaded;
            return Err(Failure { code, outcome });
        };
        let ticket = match job.class {
            Class::Once if dialect.own => ticketed::Guard::claim(&node, &parts.headers)?,
            Class::Once | Class::Interactive | Class::Batch => ticketed::Guard::none(&node),
        };
        Ok((service, quota, admitted, job, ticket, held))
    });
    // Given back once no attempt needs the body any more.
    let (service, quota, admitted, job, ticket, _held) = match prepared {
        Ok(prepared) => prepared,
        Err(failure) => return refuse(&node, tracker, failure, id, None),
    };
    let depth = admitted.terms().depth;
    let deadline = job.deadline;
    node.borrow_mut().in_flight.record_deadline(deadline);
    let left = clock::duration(deadline.since(node.borrow().clock.now()));
    let expires_at = tokio::time::Instant::now() + left;
    tracker.set_deadline(expires_at);
    let outgoing = Outgoing::new(parts, depth, id.clone(), dialect);
    let origin = Origin {
        host: outgoing.host().into(),
        path: outgoing.path().into(),
        plan: node.borrow().plan_version(),
        regions: job.regions.clone(),
    };
    let mut exchange = Exchange {
        node: node.clone(),
        service,
        quota,
        call: Handle::new(&node, service, job, id.clone()),
        outgoing,
        origin,
        body,
        ticket,
        deadline,
        deadline_timer: Box::pin(tokio::time::sleep_until(expires_at)),
        refused_by: Vec::new(),
    };
    let arrived = tracker.arrived;
    let unanswered = Unanswered::new(&exchange, arrived);
    let ran = exchange.run(admitted).await;
    unanswered.end();
    match ran {
        Ok((answer, outcome)) => deliver(exchange, tracker, answer, outcome, id).await,
        Err(failure) => {
            if failure.outcome != Outcome::NotRun {
                node.borrow_mut().record_duration(quota, arrived);
            }
            let wanted = (service, &exchange.origin.regions);
            refuse(&node, tracker, failure, id, Some(wanted))
        }
    }
}

/// Checks the head of a request and admits the request to its entry.
pub(crate) fn admit(
    node: &Shared,
    tracker: &Tracker,
    parts: &Parts,
    body: Option<u64>,
) -> Result<Admission, Failure> {
    let earlier_outcome = || ticketed::earlier_outcome(&node.borrow(), &parts.headers);
    // An earlier request may have used the ticket.
    let refused = |code| Failure {
        code,
        outcome: earlier_outcome(),
    };
    match tracker.defect {
        Some(Defect::Lengths) => return Err(refused(Code::LengthConflict)),
        Some(Defect::Fragment) => {
            log::info!(cause = "the request target has a fragment"; "request has a malformed head");
            return Err(refused(Code::BadRequest));
        }
        None => {}
    }
    let limit = node.borrow().settings.http.head_bytes;
    if head::is_too_large(&parts.headers, limit) {
        return Err(refused(Code::HeadTooLarge));
    }
    if !node.borrow().phase().is_accepting() {
        return Err(refused(Code::Stopping));
    }
    let dialect = Rc::clone(&node.borrow().dialect);
    let facts = head::check(parts, &dialect).map_err(|cause| {
        log::info!(cause; "request has a malformed head");
        refused(Code::BadRequest)
    })?;
    admit_to_entry(node, parts, body, &facts).map_err(|failure| refused(failure.code))
}

/// Finds the entry of a request and admits the request under its terms.
fn admit_to_entry(
    node: &Shared,
    parts: &Parts,
    body: Option<u64>,
    facts: &Facts,
) -> Result<Admission, Failure> {
    let mut node = node.borrow_mut();
    let call = node.new_call();
    let received = Received::new(node.clock.now(), facts.timeout, facts.depth);
    let destination = match node.resolve(facts, parts) {
        Ok(destination) => destination,
        Err(code) => return Err(received.refuse(code)),
    };
    let key = node.names.get(&destination.service).copied();
    let found = match &destination.entry {
        Some(name) => node.routes.get(&destination.service, name),
        None => node
            .routes
            .find(&destination.service, parts.method.as_str()),
    };
    let (Some(key), Some((name, entry))) = (key, found) else {
        return Err(received.refuse(Code::UnknownService));
    };
    let quota = node.entries.get(name).copied().unwrap_or_default();
    let found = node.quotas.get(quota);
    let hosted = node.hosted.is_some();
    let mut admitted = received.admit(entry)?;
    if hosted {
        admitted = admitted.limit_sends(entry.retry.attempts);
    }
    let terms = admitted.terms();
    let now = node.clock.now();
    let arrival = Arrival {
        deadline: terms.deadline,
        longest: found.and_then(|quota| quota.longest.get(now)),
        idempotent: terms.class != Class::Once,
    };
    if !node.phase().admits(now, arrival) {
        return Err(admitted.refuse(Code::Stopping));
    }
    let job = Job {
        call,
        class: terms.class,
        arrived: now,
        deadline: terms.deadline,
        objective: destination.objective,
        urgency: destination.urgency,
        avoid: None,
        entry: found.map_or(0, |quota| quota.number),
        hedge_percent: hedge_percent(entry),
        bytes: body.map(|body| body + head::outgoing_bytes(parts)),
        regions: destination.regions,
    };
    Ok(Admission {
        service: key,
        admitted,
        job,
        quota,
    })
}

/// Generates an id for a request that carries none.
fn new_id(node: &Shared) -> HeaderValue {
    let id: u128 = node.borrow_mut().rng.random();
    let text = format!("{id:032x}");
    HeaderValue::try_from(text).expect("hexadecimal digits form a header value")
}

fn hedge_percent(entry: &Entry) -> u8 {
    if entry.hedge.enabled {
        u8::try_from(entry.hedge.budget_percent).unwrap_or(u8::MAX)
    } else {
        0
    }
}

/// Turns the answer of a target into the response to the caller.
async fn deliver(
    exchange: Exchange,
    mut tracker: Tracker,
    answer: Answer,
    outcome: Outcome,
    id: HeaderValue,
) -> Response<Download> {
    exchange.node.borrow_mut().metrics.add(Count::Ran, 1);
    tracker.count(outcome);
    let dialect = Rc::clone(&exchange.node.borrow().dialect);
    exchange.log_answer(answer.status());
    let reply = match answer {
        Answer::Whole(mut parts, bytes, reserved) => {
            head::rewrite_answer(&mut parts.headers, &dialect, id, outcome.as_str());
            tracker.hold_answer(reserved);
            let body = Download::Own {
                bytes: (!bytes.is_empty()).then_some(bytes),
                _tracker: tracker,
            };
            return Response::from_parts(*parts, body);
        }
        Answer::Stream(reply) => *reply,
    };
    let body_idle = exchange.body_idle();
    let sent = exchange.outgoing.bytes() + exchange.body.sent_bytes();
    let (mut parts, body) = reply.response.into_parts();
    let bytes = sent + head::bytes(&parts.headers);
    head::rewrite_answer(&mut parts.headers, &dialect, id, outcome.as_str());
    let mut delivery = Box::new(Delivery {
        node: exchange.node,
        body,
        connection: Some(reply.connection),
        attempt: Some(reply.attempt),
        bytes,
        failed: head::is_server_error(parts.status),
        ticket: exchange.ticket,
        call: exchange.call,
        deadline_timer: exchange.deadline_timer,
        body_idle,
        idle_timer: None,
        tracker,
    });
    std::future::poll_fn(|context| {
        delivery.complete_if_empty(context);
        Poll::Ready(())
    })
    .await;
    Response::from_parts(parts, Download::Target(delivery))
}

/// Refuses a request, with the code and outcome in `failure`. `wanted` is its service and the regions
/// that it may reach there, as far as they are known.
fn refuse(
    node: &Shared,
    tracker: Tracker,
    failure: Failure,
    id: HeaderValue,
    wanted: Option<(service::Key, &Scope)>,
) -> Response<Download> {
    let text = id.to_str().unwrap_or_default();
    let (waiting, wait) = {
        let state = node.borrow();
        let now = state.clock.now();
        let found = wanted.and_then(|(service, regions)| {
            let balancer = &state.services.get(service)?.balancer;
            Some((balancer.waiting(), balancer.expected_wait(now, regions)))
        });
        let (waiting, wait) = found.unzip();
        (waiting, wait.flatten())
    };
    log::info!(
        id = text,
        code = failure.code.as_str(),
        outcome = failure.outcome.as_str(),
        waiting,
        expected_wait_ms = wait.map(Span::as_millis);
        "request refused: {}", refusal::message(failure.code)
    );
    let count = match failure.outcome {
        Outcome::Ran => Count::Ran,
        Outcome::NotRun => Count::NotRun,
        Outcome::Unknown => Count::Unknown,
    };
    node.borrow_mut().metrics.add(count, 1);
    tracker.count(failure.outcome);
    refusal(node, tracker, failure, id, wait)
}

/// Replaces an answer that is streamed and whose deadline passed before its turn by a refusal. The
/// request is already counted as one that ran.
pub(crate) fn refuse_late(mut delivery: Box<Delivery>) -> Response<Download> {
    delivery.cancel();
    let Delivery {
        node,
        tracker,
        call,
        ..
    } = *delivery;
    let failure = Failure {
        code: Code::Deadline,
        outcome: Outcome::Ran,
    };
    log::info!(
        id = call.id(),
        code = failure.code.as_str(),
        outcome = failure.outcome.as_str();
        "answer replaced: its deadline passed before its turn on the connection"
    );
    refusal(&node, tracker, failure, call.id_value(), None)
}

/// The response that refuses a request after an expected wait of `wait`.
fn refusal(
    node: &Shared,
    tracker: Tracker,
    failure: Failure,
    id: HeaderValue,
    wait: Option<Span>,
) -> Response<Download> {
    let body = refusal::body(failure, id.to_str().ok());
    // After a malformed head, the framing of what follows cannot be trusted.
    let close = matches!(
        failure.code,
        Code::BadRequest | Code::LengthConflict | Code::Stopping
    );
    let mut response = Response::new(Download::Own {
        bytes: Some(body),
        _tracker: tracker,
    });
    let hosted = node.borrow().hosted.is_some();
    let (status, mut headers) = refusal::head(failure, hosted);
    if hosted && status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, retry_after(node, wait));
    }
    let name = node.borrow().dialect.request_id.clone();
    headers.insert(name, id);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if close {
        close_connection(&mut response);
    }
    response
}

/// Seconds after which a refused caller may retry: the expected wait with random jitter, so that
/// callers that were refused together do not return together.
fn retry_after(node: &Shared, wait: Option<Span>) -> HeaderValue {
    let wait = wait
        .map_or(0.0, seconds)
        .clamp(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
    let spread: f64 = node.borrow_mut().rng.random_range(RETRY_AFTER_SPREAD);
    let text = format!("{:.3}", wait * spread);
    HeaderValue::try_from(text).expect("a decimal number forms a header value")
}

/// Asks the caller to use a new connection for its next request.
fn close_connection(response: &mut Response<Download>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
