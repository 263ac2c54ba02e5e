//! Targets that forget connections which rest: how long one may have rested that carries a call which
//! must not run twice, as such a call is lost when its connection turns out to be gone.

use crate::time::Instant;
use crate::time::Span;

/// Rest that is allowed without evidence. Idle timeouts of servers are some seconds and more.
const USUAL: Span = Span::from_millis(4_000);
/// Time for which a broken connection is remembered; until then idempotent calls, which are retried,
/// show whether targets still forget connections.
const MEMORY: Span = Span::from_millis(10_000);
/// Rest below which a connection is not taken for forgotten: what breaks then has another cause.
const LEAST: Span = Span::from_millis(50);

/// Limit on the rest of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    /// The bound that broken connections led to, and until when it holds.
    tightened: Option<(Span, Instant)>,
}

impl Limit {
    /// Longest rest at `now`.
    #[must_use]
    pub fn get(&self, now: Instant) -> Span {
        match self.tightened {
            Some((bound, until)) if now < until => bound,
            Some(_) | None => USUAL,
        }
    }

    /// A connection that had rested broke before its target answered anything. The rest after which
    /// targets forget connections is not known, only that it is no longer than this one.
    pub fn record_break(&mut self, now: Instant, rested: Span) {
        if rested < LEAST {
            return;
        }
        let bound = rested.half().max(LEAST).min(self.get(now));
        self.tightened = Some((bound, now + MEMORY));
    }
}
