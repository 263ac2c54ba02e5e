//! Heads of requests and answers: what is checked, passed on and left out.

use std::rc::Rc;

use http::request::Parts;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TE;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use oriolecleat_core::time::Span;

use crate::dialect::Dialect;
use crate::service::Grant;
use crate::upload;
use crate::upload::Upload;

const PREFIX: &str = "oriolecleat-";
const TICKET: HeaderName = HeaderName::from_static("oriolecleat-ticket");
const DEPTH: HeaderName = HeaderName::from_static("oriolecleat-depth");
const ATTEMPT: HeaderName = HeaderName::from_static("oriolecleat-attempt");
const QUEUE: HeaderName = HeaderName::from_static("oriolecleat-queue-ms");
const REPORT: HeaderName = HeaderName::from_static("oriolecleat-report");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const REQUEST_ID_MAX_BYTES: usize = 64;

/// Headers that speak of one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What a caller's head says to the balancer.
pub(crate) struct Facts {
    /// Host that the caller names, without its port.
    pub(crate) host: Box<str>,
    /// Longest time that the caller waits.
    pub(crate) timeout: Option<Span>,
    /// Calls above this one in the chain.
    pub(crate) depth: u64,
}

/// Whether names and values exceed `limit` bytes. hyper's own bound only stops it from reading on,
/// so a head that arrives in one piece may be larger.
pub(crate) fn is_too_large(headers: &HeaderMap, limit: u64) -> bool {
    let size = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>();
    u64::try_from(size).is_ok_and(|size| size > limit)
}

/// The id in the head, if there is exactly one and it holds.
pub(crate) fn request_id(headers: &HeaderMap, dialect: &Dialect) -> Option<HeaderValue> {
    let id = single(headers, &dialect.request_id).ok()??;
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.".contains(byte);
    let bytes = id.as_bytes();
    let valid = (1..=REQUEST_ID_MAX_BYTES).contains(&bytes.len()) && bytes.iter().all(allowed);
    valid.then(|| id.clone())
}

/// The text of the ticket, empty if it holds no text.
pub(crate) fn ticket(headers: &HeaderMap) -> Option<&str> {
    let ticket = headers.get(TICKET)?;
    Some(ticket.to_str().unwrap_or_default())
}

/// Checks a caller's head; the error says what is wrong.
pub(crate) fn check(head: &Parts, dialect: &Dialect) -> Result<Facts, &'static str> {
    if head.method == Method::CONNECT {
        return Err("CONNECT is not supported");
    }
    if head.uri.authority().is_some() {
        return Err("the request target has to be a path");
    }
    let headers = &head.headers;
    let host = single(headers, &HOST)?.ok_or("there is no Host header")?;
    let host = host.to_str().map_err(|_| "the Host header is not text")?;
    let host = host.split(':').next().unwrap_or_default();
    if headers.contains_key(&dialect.request_id) && request_id(headers, dialect).is_none() {
        return Err("the id of the request does not hold");
    }
    single(headers, &TICKET)?;
    Ok(Facts {
        host: host.into(),
        timeout: number(headers, &dialect.deadline)?.map(Span::from_millis),
        depth: number(headers, &DEPTH)?.unwrap_or(0),
    })
}

fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err("a header that has to be single is repeated");
    }
    Ok(first)
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    let Some(value) = single(headers, name)? else {
        return Ok(None);
    };
    let all_digits = value.as_bytes().iter().all(u8::is_ascii_digit);
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    match number {
        Some(number) if all_digits => Ok(Some(number)),
        _ => Err("deadline and depth have to be whole numbers"),
    }
}

/// Leaves out what speaks of one connection, and all internal headers.
fn strip(headers: &mut HeaderMap) {
    let mut listed: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        listed.extend(names.filter_map(|name| name.trim().parse::<HeaderName>().ok()));
    }
    // A caller must not have headers removed on which routing and framing rest.
    listed.retain(|name| *name != HOST && *name != CONTENT_LENGTH);
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    let internal = |name: &&HeaderName| name.as_str().starts_with(PREFIX);
    let internal: Vec<HeaderName> = headers.keys().filter(internal).cloned().collect();
    for name in &internal {
        headers.remove(name);
    }
}

/// A request in the form in which targets get it, but for the headers of each attempt.
pub(crate) struct Outgoing {
    head: Parts,
    depth: u64,
    id: HeaderValue,
    dialect: Rc<Dialect>,
}

impl Outgoing {
    pub(crate) fn new(mut head: Parts, depth: u64, id: HeaderValue, dialect: Rc<Dialect>) -> Self {
        let trailers = head
            .headers
            .get(TE)
            .is_some_and(|te| te.as_bytes().eq_ignore_ascii_case(b"trailers"));
        strip(&mut head.headers);
        // hyper answers the expectation itself and writes the length of the body.
        head.headers.remove(EXPECT);
        head.headers.remove(CONTENT_LENGTH);
        if trailers {
            head.headers
                .insert(TE, HeaderValue::from_static("trailers"));
        }
        Self {
            head,
            depth,
            id,
            dialect,
        }
    }

    /// The request of one attempt.
    pub(crate) fn request(
        &self,
        grant: &Grant,
        attempt: u64,
        left: Span,
        body: &upload::Shared,
    ) -> Request<Upload> {
        let mut request = Request::new(body.upload());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let mut headers = self.head.headers.clone();
        headers.insert(&self.dialect.deadline, left.as_millis().into());
        headers.insert(&self.dialect.request_id, self.id.clone());
        if let Some(name) = &self.dialect.target
            && let Ok(target) = HeaderValue::from_str(&grant.name)
        {
            headers.insert(name, target);
        }
        if self.dialect.own {
            headers.insert(QUEUE, grant.queue.as_millis().into());
            headers.insert(DEPTH, (self.depth + 1).into());
            headers.insert(ATTEMPT, attempt.into());
            if !grant.report {
                headers.insert(REPORT, HeaderValue::from_static("0"));
            }
        }
        *request.headers_mut() = headers;
        request
    }

    /// Bytes of the head of an attempt.
    pub(crate) fn bytes(&self) -> u64 {
        outgoing_bytes(&self.head)
    }

    /// Whether an answer with these headers may belong to this request: a target that returns the
    /// request id returns the right one.
    pub(crate) fn is_answered_by(&self, headers: &HeaderMap) -> bool {
        let id = headers.get(&self.dialect.request_id);
        id.is_none_or(|id| *id == self.id)
    }
}

/// Whether the end of the answer's body can be told from a lost connection.
pub(crate) fn is_delimited(headers: &HeaderMap, length: Option<u64>) -> bool {
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    length.is_some() || headers.get(TRANSFER_ENCODING).is_some_and(chunked)
}

/// Turns the headers of a target's answer into those that the caller gets.
pub(crate) fn rewrite_answer(
    headers: &mut HeaderMap,
    dialect: &Dialect,
    id: HeaderValue,
    outcome: &'static str,
) {
    strip(headers);
    if dialect.own {
        headers.insert("oriolecleat-outcome", HeaderValue::from_static(outcome));
    }
    headers.insert(&dialect.request_id, id);
}

/// Bytes of a status line, or of a request line without its path.
const START_LINE_BYTES: u64 = 32;
/// Bound on the bytes of the headers that an attempt adds.
const ADDED_HEADERS_BYTES: u64 = 256;

/// Bytes of a head with these headers on the wire.
pub(crate) fn bytes(headers: &HeaderMap) -> u64 {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    START_LINE_BYTES + u64::try_from(sizes.sum::<usize>()).unwrap_or(u64::MAX / 2)
}

/// Bytes of the head of an attempt to send the request of `parts`.
pub(crate) fn outgoing_bytes(parts: &Parts) -> u64 {
    let path = parts
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    bytes(&parts.headers) + ADDED_HEADERS_BYTES + u64::try_from(path).unwrap_or(u64::MAX / 2)
}
