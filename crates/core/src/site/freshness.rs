//! How fresh the state is that a reading session has read, as proved by the answers of the store.

use crate::site::feed::Call;
use crate::time::Instant;
use crate::time::Span;

/// The latest time at which the state read is known to have been complete.
///
/// Only an answer proves anything. A wait that is pending does not: the store may have answered it, and
/// the answer may be lost or held up.
#[derive(Debug, Default)]
pub struct Freshness {
    /// When the first page of the last listing was requested.
    listing: Instant,
    /// None before the first answer.
    complete_at: Option<Instant>,
}

impl Freshness {
    /// Records that `call` is sent.
    pub fn record_call(&mut self, now: Instant, call: &Call) {
        if matches!(call, Call::Page { after: None, .. }) {
            self.listing = now;
        }
    }

    /// Records the last page of a listing. Together the pages hold what the store had when the first one
    /// was read, which was after it was requested.
    pub fn record_listing(&mut self) {
        self.record(self.listing);
    }

    /// Records at `now` the answer to a wait that was sent at `sent` and that the store ends after
    /// `wait` if nothing changes. One `with_changes` may have been on its way for any part of that time.
    pub fn record_wait(&mut self, now: Instant, sent: Instant, wait: Span, with_changes: bool) {
        let ended = if with_changes { sent } else { sent + wait };
        self.record(ended.min(now));
    }

    fn record(&mut self, complete_at: Instant) {
        self.complete_at = self.complete_at.max(Some(complete_at));
    }

    /// Time since the state was complete; none before the first answer.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Span> {
        self.complete_at.map(|complete_at| now.since(complete_at))
    }

    /// Length of the next wait: its answer, if nothing changes, comes when the state is `limit` old.
    #[must_use]
    pub fn next_wait(&self, now: Instant, limit: Span) -> Span {
        limit.saturating_sub(self.age(now).unwrap_or(limit))
    }
}
