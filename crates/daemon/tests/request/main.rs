//! Tests of the request path over raw TCP connections, with scripted targets.

mod answers;
mod callers;
mod correlation;
mod pipelining;
mod repeats;
mod support;
