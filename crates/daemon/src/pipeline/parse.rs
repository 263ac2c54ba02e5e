//! Heads of requests that may be processed before their turn.

use http::Method;
use http::Request;
use http::Version;
use http::request::Parts;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use crate::caller::HEADERS_MAX;

/// Whether `bytes` hold the end of a head.
pub(crate) fn has_end(bytes: &[u8]) -> bool {
    let has = |end: &[u8]| bytes.windows(end.len()).any(|window| window == end);
    has(b"\n\r\n") || has(b"\n\n")
}

/// The first head in `bytes` and its length, if its request has no body and nothing in it is
/// unusual.
pub(crate) fn head(bytes: &[u8]) -> Option<(Parts, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = parsed.parse(bytes).ok()? else {
        return None;
    };
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let plain = [Method::GET, Method::HEAD, Method::OPTIONS, Method::DELETE].contains(&method);
    // A fragment would be cut off below; its request is refused in its turn.
    if !plain || parsed.version != Some(1) || parsed.path?.contains('#') {
        return None;
    }
    let mut request = Request::builder()
        .method(method)
        .uri(parsed.path?)
        .version(Version::HTTP_11);
    for header in parsed.headers.iter() {
        request = request.header(header.name, header.value);
    }
    let (parts, ()) = request.body(()).ok()?.into_parts();
    let unusual = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE]
        .iter()
        .any(|name| parts.headers.contains_key(name));
    (!unusual).then_some((parts, length))
}

/// Whether the connection may end with the answer to this request, so that those behind it may not
/// be processed before their turn.
pub(crate) fn closes(parts: &Parts) -> bool {
    let mut options = parts.headers.get_all(CONNECTION).iter();
    parts.version != Version::HTTP_11
        || options.any(|value| !value.as_bytes().eq_ignore_ascii_case(b"keep-alive"))
}
