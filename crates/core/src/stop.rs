//! The planned stop of a VM: `Serving`, `Leaving`, `Draining`, `Stopped`.

use crate::settings;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// What a draining VM still has to do.
    pub struct Work {
        /// Requests in flight.
        pub in_flight: u64,
        /// The latest deadline of a request in flight.
        pub latest_deadline: Instant,
        /// When a caller last sent a request.
        pub last_arrival: Instant,
        /// Whether the newest audit records were handed to peers.
        pub handed_over: bool,
    }

    /// The VM serves and is named in address answers.
    pub struct Serving;

    /// The VM serves but is not named any more.
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
        /// Requests that outlasted both the limit and their own deadline.
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

/// Time for the news of leaving to reach the VMs that give address answers.
const NOTICE: Span = Span::from_millis(2_000);

/// Time without a new request after which the listener may close. A request that waits in the
/// listener's backlog when the process exits would be cut.
const QUIET: Span = Span::from_millis(500);

/// Time that a stop takes besides its phases: the timer between them, the last messages to peers and
/// the last lines of the log.
const EXIT: Span = Span::from_millis(700);

/// `bounds` as far as a process can keep them that is ended by force after `grace`: it drains for less
/// time, if need be.
#[must_use]
pub fn within(grace: Span, bounds: &settings::Stop) -> settings::Stop {
    let left = grace.saturating_sub(bounds.address_ttl + NOTICE + EXIT);
    settings::Stop {
        drain_limit: bounds.drain_limit.min(left),
        ..bounds.clone()
    }
}

impl Serving {
    /// Starts the stop.
    #[must_use]
    pub fn leave(self, now: Instant, bounds: &settings::Stop) -> Leaving {
        Leaving {
            refuses_at: now + bounds.address_ttl + NOTICE,
        }
    }
}

impl Leaving {
    /// Refuses new requests once every address answer that names this VM has expired.
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
    /// Stops once nothing is in flight. The limit does not cut a request before its own deadline.
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
        let quiet = now.since(self.since.max(work.last_arrival)) >= QUIET;
        let done = quiet && work.handed_over;
        (done || now >= self.until)
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
    /// Starts the stop; a second signal changes nothing.
    #[must_use]
    pub fn leave(self, now: Instant, bounds: &settings::Stop) -> Self {
        match self {
            Self::Serving(serving) => Self::Leaving(serving.leave(now, bounds)),
            later @ (Self::Leaving(_) | Self::Draining(_) | Self::Stopped(_)) => later,
        }
    }

    /// Goes on to the next phase if it is time.
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
    pub const fn is_named(self) -> bool {
        matches!(self, Self::Serving(_))
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub const fn accepts(self) -> bool {
        matches!(self, Self::Serving(_) | Self::Leaving(_))
    }
}
