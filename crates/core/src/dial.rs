//! Limits how often each peer address is dialled, with a growing wait after failures.

use std::net::SocketAddr;

use rand::Rng;

use crate::map::Map;
use crate::reader::Backoff;
use crate::time::Instant;
use crate::time::Span;

// A dial that neither succeeds nor fails within this time may be repeated.
const DIAL_TIMEOUT: Span = Span::from_millis(3_000);
// Time past the next allowed dial after which an address is forgotten.
const FORGET_AFTER: Span = Span::from_millis(60_000);

#[derive(Debug, Default)]
struct Attempt {
    next: Instant,
    backoff: Backoff,
}

/// Recent dial attempts, by address.
#[derive(Debug, Default)]
pub(crate) struct Dials {
    attempts: Map<SocketAddr, Attempt>,
}

impl Dials {
    /// Starts a dial of `address` if one is allowed now. Returns whether the caller has to dial.
    pub(crate) fn start(&mut self, now: Instant, address: SocketAddr) -> bool {
        let attempt = self.attempts.entry(address).or_default();
        let is_due = now >= attempt.next;
        if is_due {
            attempt.next = now + DIAL_TIMEOUT;
        }
        is_due
    }

    /// Records that a dial of `address`, or the link that it led to, failed.
    pub(crate) fn record_failure(
        &mut self,
        now: Instant,
        address: SocketAddr,
        random: &mut dyn Rng,
    ) {
        let attempt = self.attempts.entry(address).or_default();
        attempt.next = now + attempt.backoff.next_delay(random);
    }

    /// Records that a peer at `address` completed a handshake: its failures are forgotten.
    pub(crate) fn record_success(&mut self, address: SocketAddr) {
        self.attempts.remove(&address);
    }

    /// Forgets addresses that have not been dialled for a while.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.attempts
            .retain(|_, attempt| now.since(attempt.next) < FORGET_AFTER);
    }
}
