//! The phases of a planned stop of a VM: `Serving` → `Leaving` → `Draining` → `Stopped`.
//!
//! Callers learn to which VMs they can send from address answers, which expire after a while. A VM
//! that stops is first left out of them, and refuses all requests only once the last one that names
//! it has expired. Where a platform ends the process by force after a grace period, the VM refuses
//! earlier what might not end within that period.

use crate::settings;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Work that a draining VM still has to finish.
    pub struct Work {
        /// Requests in flight.
        pub in_flight: u64,
        /// Connections whose callers may still read the last answer.
        pub lingering: u64,
        /// The latest deadline of a request in flight.
        pub latest_deadline: Instant,
        /// When a caller last sent a request.
        pub last_arrival: Instant,
        /// Whether the newest audit records were handed over to peers.
        pub handed_over: bool,
    }

    /// The VM serves, and address answers name it.
    pub struct Serving;

    /// A request that arrives at a VM that stops.
    pub struct Arrival {
        /// When its caller stops waiting.
        pub deadline: Instant,
        /// The longest time that requests of its entry took lately, if enough of them were served.
        pub longest: Option<Span>,
        /// Whether it may run twice, so that its caller may repeat it if it is cut.
        pub idempotent: bool,
    }

    /// The VM serves, but address answers do not name it any more.
    pub struct Leaving {
        refuses_at: Instant,
        force: Option<Force>,
    }

    /// The end of the process that the platform enforces.
    struct Force {
        /// Half of the grace period.
        half: Instant,
        /// When the process has to be done.
        end: Instant,
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
    /// Starts the planned stop. The platform ends the process by force after `grace`, if it does.
    #[must_use]
    pub fn leave(self, now: Instant, bounds: &settings::Stop, grace: Option<Span>) -> Leaving {
        let force = |grace: Span| Force {
            half: now + grace.half(),
            end: now + grace.saturating_sub(EXIT),
        };
        Leaving {
            refuses_at: now + bounds.address_ttl + NOTICE,
            force: grace.map(force),
        }
    }
}

impl Force {
    /// Whether `arrival` may be sent to a target although the process ends.
    ///
    /// Its own deadline lies before the end; or its entry took less than the time that is left, a cut
    /// would not leave its caller with an unknown outcome, and at least half of the grace period is
    /// left.
    fn leaves_time_for(self, now: Instant, arrival: Arrival) -> bool {
        let is_expected = || {
            let ends = arrival.longest.map(|longest| now + longest);
            arrival.idempotent && now < self.half && ends.is_some_and(|ends| ends <= self.end)
        };
        arrival.deadline <= self.end || is_expected()
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
    /// Stops once no request is in flight, no connection lingers, callers no longer send requests, and
    /// the audit records were handed over; at the latest at the drain limit, which does not cut a
    /// request before its own deadline.
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
        let is_done = is_quiet && work.lingering == 0 && work.handed_over;
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
    /// Starts the planned stop; a second signal changes nothing. See [`Serving::leave`].
    #[must_use]
    pub fn leave(self, now: Instant, bounds: &settings::Stop, grace: Option<Span>) -> Self {
        match self {
            Self::Serving(serving) => Self::Leaving(serving.leave(now, bounds, grace)),
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

    /// Whether `arrival` may be sent to a target: a request that a target works on when the process
    /// ends is lost, so it is refused before.
    #[must_use]
    pub fn admits(self, now: Instant, arrival: Arrival) -> bool {
        match self {
            Self::Serving(_) => true,
            Self::Leaving(leaving) => leaving
                .force
                .is_none_or(|force| force.leaves_time_for(now, arrival)),
            Self::Draining(_) | Self::Stopped(_) => false,
        }
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub const fn is_accepting(self) -> bool {
        matches!(self, Self::Serving(_) | Self::Leaving(_))
    }
}
