//! Limit on the idle time of a connection that carries a request which must not run twice. For
//! targets that drop idle connections without notice: such a request is lost when its connection
//! turns out to be gone.

use crate::time::Instant;
use crate::time::Span;

/// Idle time that is allowed without evidence. Idle timeouts of servers are some seconds and more.
const DEFAULT_LIMIT: Span = Span::from_millis(4_000);
/// Time for which a broken connection tightens the limit. Meanwhile idempotent calls, which are
/// retried and have no limit, show whether targets still drop idle connections.
const BREAK_MEMORY: Span = Span::from_millis(10_000);
/// Shortest limit; a connection that breaks after a shorter idle time breaks for another reason.
const MIN_LIMIT: Span = Span::from_millis(50);

/// Limit on the idle time of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    /// The limit that broken connections led to, and until when it holds.
    tightened: Option<(Span, Instant)>,
}

impl Limit {
    /// Longest idle time at `now`.
    #[must_use]
    pub fn get(&self, now: Instant) -> Span {
        match self.tightened {
            Some((limit, until)) if now < until => limit,
            Some(_) | None => DEFAULT_LIMIT,
        }
    }

    /// Records that a connection that had been idle for `idle` broke before its target answered
    /// anything. The time after which targets drop connections is not known, only that it is no
    /// longer than `idle`.
    pub fn record_break(&mut self, now: Instant, idle: Span) {
        if idle < MIN_LIMIT {
            return;
        }
        let limit = idle.half().max(MIN_LIMIT).min(self.get(now));
        self.tightened = Some((limit, now + BREAK_MEMORY));
    }
}
