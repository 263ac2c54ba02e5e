//! Heads of requests and answers: checks them, and adds and removes headers where they are passed
//! on.

use std::rc::Rc;

use http::request::Parts;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
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
use crate::upload::Framing;
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

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What the balancer needs from the head of a caller's request.
pub(crate) struct Facts {
    /// Host in the Host header, without its port.
    pub(crate) host: Box<str>,
    /// Longest time that the caller waits.
    pub(crate) timeout: Option<Span>,
    /// Calls above this one in the chain.
    pub(crate) depth: u64,
}

/// Whether the names and values of the headers exceed `limit` bytes together. hyper's own limit
/// only keeps it from reading more, so a head that arrives in one piece may be larger.
pub(crate) fn is_too_large(headers: &HeaderMap, limit: u64) -> bool {
    let size = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>();
    u64::try_from(size).is_ok_and(|size| size > limit)
}

/// The request id in the head, if there is exactly one and it is valid.
pub(crate) fn request_id(headers: &HeaderMap, dialect: &Dialect) -> Option<HeaderValue> {
    let id = single(headers, &dialect.request_id).ok()??;
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.".contains(byte);
    let bytes = id.as_bytes();
    let valid = (1..=REQUEST_ID_MAX_BYTES).contains(&bytes.len()) && bytes.iter().all(allowed);
    valid.then(|| id.clone())
}

/// The text of the ticket; empty if the header is not text.
pub(crate) fn ticket(headers: &HeaderMap) -> Option<&str> {
    let ticket = headers.get(TICKET)?;
    Some(ticket.to_str().unwrap_or_default())
}

/// Checks the head of a caller's request; the error says what is malformed.
pub(crate) fn check(head: &Parts, dialect: &Dialect) -> Result<Facts, &'static str> {
    if head.method == Method::CONNECT {
        return Err("CONNECT is not supported");
    }
    if head.uri.authority().is_some() {
        return Err("the request target must be a path without scheme and host");
    }
    let headers = &head.headers;
    // The body is read out of its chunks and sent in chunks of its own: another coding would be lost.
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if codings.next().is_some_and(|coding| !is_chunked(coding)) || codings.next().is_some() {
        return Err("a body may have no transfer coding but chunked, once");
    }
    let host = single(headers, &HOST)?.ok_or("there is no Host header")?;
    let host = host.to_str().map_err(|_| "the Host header is not text")?;
    let host = host.split(':').next().unwrap_or_default();
    if headers.contains_key(&dialect.request_id) && request_id(headers, dialect).is_none() {
        return Err(
            "the request id must occur once, with 1 to 64 ASCII letters, digits, '-', '_' or '.'",
        );
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
        return Err(
            "a header that may occur only once is repeated: host, ticket, deadline or depth",
        );
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
        _ => Err("the deadline and depth headers must be whole numbers that fit into 64 bits"),
    }
}

/// Removes the hop-by-hop headers and all headers of the product's own.
fn strip(headers: &mut HeaderMap) {
    let mut listed: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        listed.extend(names.filter_map(|name| name.trim().parse::<HeaderName>().ok()));
    }
    // The Connection header must not remove the headers on which routing and framing depend.
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

/// A request as it is sent to targets, without the headers that each attempt adds.
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
        // hyper handles `Expect: 100-continue` and writes the length of a body itself.
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

    /// Host that the caller names; empty without one.
    pub(crate) fn host(&self) -> &str {
        let host = self.head.headers.get(HOST);
        host.and_then(|host| host.to_str().ok()).unwrap_or_default()
    }

    /// Path of the request.
    pub(crate) fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Builds the request of one attempt, which may take the time `left`.
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
        // hyper frames a body without a stated length by the method, and sends none with some.
        match body.framing() {
            Framing::None | Framing::Length => {}
            Framing::Zero => drop(headers.insert(CONTENT_LENGTH, 0.into())),
            Framing::Chunks => {
                let chunked = HeaderValue::from_static("chunked");
                headers.insert(TRANSFER_ENCODING, chunked);
            }
        }
        *request.headers_mut() = headers;
        request
    }

    /// Estimated size of the head of an attempt in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        outgoing_bytes(&self.head)
    }

    /// Whether an answer with these headers may belong to this request. Without a request id, it may
    /// only if targets need not return one, or if nothing else was sent on its connection, which
    /// `is_first` tells.
    pub(crate) fn is_answered_by(&self, headers: &HeaderMap, is_first: bool) -> bool {
        match headers.get(&self.dialect.request_id) {
            Some(id) => *id == self.id,
            None => is_first || !self.dialect.echoes_id,
        }
    }
}

/// Whether the status tells of an error of the server. Those above 599 are not defined, and count as
/// such errors (RFC 9110, section 15).
pub(crate) fn is_server_error(status: StatusCode) -> bool {
    status.as_u16() >= 500
}

/// Whether the answer is framed so that the end of its body differs from a lost connection.
pub(crate) fn is_delimited(headers: &HeaderMap, length: Option<u64>) -> bool {
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    length.is_some() || headers.get(TRANSFER_ENCODING).is_some_and(chunked)
}

/// Rewrites the headers of a target's answer into those for the caller.
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

/// Estimated size of a status line, or of a request line without its path.
const START_LINE_BYTES: u64 = 32;
/// Upper bound on the size of the headers that an attempt adds.
const ADDED_HEADERS_BYTES: u64 = 256;

/// Estimated size on the wire of a head with these headers, in bytes.
pub(crate) fn bytes(headers: &HeaderMap) -> u64 {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    START_LINE_BYTES + u64::try_from(sizes.sum::<usize>()).unwrap_or(u64::MAX / 2)
}

/// Estimated size of the head of an attempt to send the request of `parts`, in bytes.
pub(crate) fn outgoing_bytes(parts: &Parts) -> u64 {
    let path = parts
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    bytes(&parts.headers) + ADDED_HEADERS_BYTES + u64::try_from(path).unwrap_or(u64::MAX / 2)
}
