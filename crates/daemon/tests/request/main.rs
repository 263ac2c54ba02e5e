//! The request path over raw connections, with scripted targets.

mod answers;
mod callers;
mod correlation;
mod repeats;
mod support;
