//! When to dial which address.

use std::net::SocketAddr;

use rand::Rng;

use crate::map::Map;
use crate::reader::Backoff;
use crate::time::Instant;
use crate::time::Span;

// A dial that neither succeeds nor fails within this time may be repeated.
const DIAL_LIMIT: Span = Span::from_millis(3_000);
const FORGET_AFTER: Span = Span::from_millis(60_000);

#[derive(Debug, Default)]
struct Attempt {
    next: Instant,
    backoff: Backoff,
}

/// Addresses dialled lately.
#[derive(Debug, Default)]
pub(crate) struct Dials {
    attempts: Map<SocketAddr, Attempt>,
}

impl Dials {
    /// Whether `address` may be dialled now; a dial is then under way.
    pub(crate) fn start(&mut self, now: Instant, address: SocketAddr) -> bool {
        let attempt = self.attempts.entry(address).or_default();
        let due = now >= attempt.next;
        if due {
            attempt.next = now + DIAL_LIMIT;
        }
        due
    }

    /// A dial of `address` or its link failed.
    pub(crate) fn fail(&mut self, now: Instant, address: SocketAddr, random: &mut dyn Rng) {
        let attempt = self.attempts.entry(address).or_default();
        attempt.next = now + attempt.backoff.next_delay(random);
    }

    /// A peer at `address` has proved itself.
    pub(crate) fn succeed(&mut self, address: SocketAddr) {
        self.attempts.remove(&address);
    }

    /// Forgets addresses that were not dialled for a while.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.attempts
            .retain(|_, attempt| now.since(attempt.next) < FORGET_AFTER);
    }
}
