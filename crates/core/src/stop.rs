//! The phases of a planned stop of a VM: `Serving` → `Leaving` → `Draining` → `Stopped`.
//!
//! Callers learn to which VMs they can send from address answers, which expire after a while. A VM
//! that stops is first left out of them, and refuses requests only once the last one that names it
//! has expired.

use crate::settings;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Work that a draining VM still has to finish.
    pub struct Work {
        /// Requests in flight.
        pub in_flight: u64,
        /// The latest deadline of a request in flight.
        pub latest_deadline: Instant,
        /// When a caller last sent a request.
        pub last_arrival: Instant,
        /// Whether the newest audit records were handed over to peers.
        pub handed_over: bool,
    }

    /// The VM serves, and address answers name it.
    pub struct Serving;

    /// The VM serves, but address answers do not name it any more.
    pub struct Leaving {
        refuses_at: Instant,
    }

    /// The VM refuses new requests and waits for those in flight.
    pub struct Draining {
        since: Instant,
        until: Instant,
    }

    /// The process may exit.
    pub struct Stopped {
        /// Number of requests that were cut after both the limit and their own deadline.
        pub cut: u64,
    }

    /// The phase that a VM is in.
    pub enum Phase {
        /// See [`Serving`].
        Serving(Serving),
        /// See [`Leaving`].
        Leaving(Leaving),
        /// See [`Draining`].
        Draining(Draining),
        /// See [`Stopped`].
        Stopped(Stopped),
    }
}

/// Time for the notice of leaving to reach the VMs that give address answers.
const NOTICE: Span = Span::from_millis(2_000);

/// Time without a new request after which the process may exit. A request that waits in the backlog
/// of the listener at that time would be cut.
const QUIET: Span = Span::from_millis(500);

/// Time that a stop takes besides its phases: for the timer between them, the last messages to
/// peers and the last log lines.
const EXIT: Span = Span::from_millis(700);

/// `bounds` with the drain limit reduced, to zero if need be, to the time that the rest of a stop
/// leaves of `grace`, after which the platform ends the process by force.
#[must_use]
pub fn clamp_to_grace(grace: Span, bounds: &settings::Stop) -> settings::Stop {
    let drain = grace.saturating_sub(bounds.address_ttl + NOTICE + EXIT);
    settings::Stop {
        drain_limit: bounds.drain_limit.min(drain),
        ..bounds.clone()
    }
}

impl Serving {
    /// Starts the planned stop.
    #[must_use]
    pub fn leave(self, now: Instant, bounds: &settings::Stop) -> Leaving {
        Leaving {
            refuses_at: now + bounds.address_ttl + NOTICE,
        }
    }
}

impl Leaving {
    /// Starts to refuse new requests once every address answer that names this VM has expired.
    ///
    /// # Errors
    ///
    /// Returns itself while an answer may still be in use.
    pub fn drain(self, now: Instant, bounds: &settings::Stop) -> Result<Draining, Self> {
        if now < self.refuses_at {
            return Err(self);
        }
        Ok(Draining {
            since: now,
            until: now + bounds.drain_limit,
        })
    }
}

impl Draining {
    /// Stops once no request is in flight, callers no longer send requests, and the audit records
    /// were handed over; at the latest at the drain limit, which does not cut a request before its
    /// own deadline.
    ///
    /// # Errors
    ///
    /// Returns itself while there is work.
    pub fn stop(self, now: Instant, work: Work) -> Result<Stopped, Self> {
        if work.in_flight > 0 {
            let expired = now >= self.until.max(work.latest_deadline);
            return expired
                .then_some(Stopped {
                    cut: work.in_flight,
                })
                .ok_or(self);
        }
        let is_quiet = now.since(self.since.max(work.last_arrival)) >= QUIET;
        let is_done = is_quiet && work.handed_over;
        (is_done || now >= self.until)
            .then_some(Stopped { cut: 0 })
            .ok_or(self)
    }
}

impl Default for Phase {
    fn default() -> Self {
        Self::Serving(Serving)
    }
}

impl Phase {
    /// Starts the planned stop; a second signal changes nothing.
    #[must_use]
    pub fn leave(self, now: Instant, bounds: &settings::Stop) -> Self {
        match self {
            Self::Serving(serving) => Self::Leaving(serving.leave(now, bounds)),
            later @ (Self::Leaving(_) | Self::Draining(_) | Self::Stopped(_)) => later,
        }
    }

    /// Moves on to the next phase if its time has come.
    #[must_use]
    pub fn advance(self, now: Instant, bounds: &settings::Stop, work: Work) -> Self {
        match self {
            Self::Leaving(leaving) => leaving
                .drain(now, bounds)
                .map_or_else(Self::Leaving, Self::Draining),
            Self::Draining(draining) => draining
                .stop(now, work)
                .map_or_else(Self::Draining, Self::Stopped),
            same @ (Self::Serving(_) | Self::Stopped(_)) => same,
        }
    }

    /// Whether address answers may name this VM.
    #[must_use]
    pub const fn is_advertised(self) -> bool {
        matches!(self, Self::Serving(_))
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub const fn is_accepting(self) -> bool {
        matches!(self, Self::Serving(_) | Self::Leaving(_))
    }
}
