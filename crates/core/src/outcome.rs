//! The outcome and the error code that a caller gets for its request.

use crate::balance::Refusal;

key! {
    /// Whether a request ran, as its caller is told.
    pub enum Outcome {
        /// A target ran it and answered.
        Ran,
        /// No target ran it.
        NotRun,
        /// A target may have run it.
        Unknown,
    }

    /// Stable code of an error answer that the balancer itself gives.
    pub enum Code {
        /// The head of the request is malformed.
        BadRequest,
        /// No entry matches.
        UnknownService,
        /// The head of the request is larger than allowed.
        HeadTooLarge,
        /// The length fields in the head contradict each other.
        LengthConflict,
        /// A request of class `once` came without a ticket.
        TicketRequired,
        /// The ticket was not issued by this fleet.
        TicketInvalid,
        /// The ticket expired.
        TicketExpired,
        /// The ticket belongs to another VM or incarnation.
        TicketElsewhere,
        /// The ticket was used.
        TicketUsed,
        /// The entry's rate or concurrency limit is reached.
        RateLimited,
        /// The queue is full, or the request would wait too long.
        Overloaded,
        /// The deadline passed.
        Deadline,
        /// No target may get new work.
        NoTarget,
        /// This VM is stopping.
        Stopping,
        /// The connection to the target failed.
        TargetFailed,
        /// The answer of the target is invalid.
        TargetBadAnswer,
        /// The call chain is too deep.
        DepthExceeded,
        /// The caller sent its body too slowly.
        SlowCaller,
    }
}

impl Outcome {
    /// The value of the `oriolecleat-outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Code {
    /// All codes.
    pub const ALL: [Self; 18] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::HeadTooLarge,
        Self::LengthConflict,
        Self::TicketRequired,
        Self::TicketInvalid,
        Self::TicketExpired,
        Self::TicketElsewhere,
        Self::TicketUsed,
        Self::RateLimited,
        Self::Overloaded,
        Self::Deadline,
        Self::NoTarget,
        Self::Stopping,
        Self::TargetFailed,
        Self::TargetBadAnswer,
        Self::DepthExceeded,
        Self::SlowCaller,
    ];

    /// The value of the `oriolecleat-code` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownService => "unknown_service",
            Self::HeadTooLarge => "head_too_large",
            Self::LengthConflict => "length_conflict",
            Self::TicketRequired => "ticket_required",
            Self::TicketInvalid => "ticket_invalid",
            Self::TicketExpired => "ticket_expired",
            Self::TicketElsewhere => "ticket_elsewhere",
            Self::TicketUsed => "ticket_used",
            Self::RateLimited => "rate_limited",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::NoTarget => "no_target",
            Self::Stopping => "stopping",
            Self::TargetFailed => "target_failed",
            Self::TargetBadAnswer => "target_bad_answer",
            Self::DepthExceeded => "depth_exceeded",
            Self::SlowCaller => "slow_caller",
        }
    }

    /// The HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::LengthConflict | Self::TicketInvalid => 400,
            Self::UnknownService => 404,
            Self::SlowCaller => 408,
            Self::TicketExpired | Self::TicketElsewhere | Self::TicketUsed => 409,
            Self::TicketRequired => 428,
            Self::RateLimited => 429,
            Self::HeadTooLarge => 431,
            Self::TargetFailed | Self::TargetBadAnswer => 502,
            Self::Overloaded | Self::NoTarget | Self::Stopping => 503,
            Self::Deadline => 504,
            Self::DepthExceeded => 508,
        }
    }
}

impl From<Refusal> for Code {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Overloaded => Self::Overloaded,
            Refusal::Deadline => Self::Deadline,
            Refusal::NoTarget => Self::NoTarget,
        }
    }
}
