//! The life of a request and the words its caller gets.
//!
//! `Received` → `Admitted` → `Assigned` → `Written` → `Answered`. Every step consumes the state
//! before it, and every early end gives an [`End`] whose outcome covers all attempts so far.

use std::marker::PhantomData;

use crate::balance::Refusal;
use crate::entry::Class;
use crate::entry::Entry;
use crate::time::Instant;
use crate::time::Span;

/// Longest chain of calls; a request further down is refused.
pub const DEPTH_LIMIT: u64 = 15;

/// Targets that may shed one request before its caller is told that it did not run. It bounds the
/// bytes spent on one request while every target is full.
const SHED_LIMIT: u64 = 16;

key! {
    /// What a caller is told about the work of a request.
    pub enum Outcome {
        /// A target ran it and answered.
        Ran,
        /// It did not run.
        NotRun,
        /// Nobody can tell.
        Unknown,
    }

    /// Stable code of an error that the balancer itself answers.
    pub enum Code {
        /// The head of the request does not hold.
        BadRequest,
        /// No entry matches.
        UnknownService,
        /// The head of the request is larger than allowed.
        HeadTooLarge,
        /// The lengths in the head contradict each other.
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
        /// The queue is full, or the wait would be too long.
        Overloaded,
        /// The deadline passed.
        Deadline,
        /// No target may get new work.
        NoTarget,
        /// This VM is stopping.
        Stopping,
        /// The connection to the target failed.
        TargetFailed,
        /// The target's answer does not hold.
        TargetBadAnswer,
        /// The call chain is too deep.
        DepthExceeded,
        /// The caller sent its body too slowly.
        SlowCaller,
    }
}

impl Outcome {
    /// The word in the `oriolecleat-outcome` header.
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
    /// The word in the `oriolecleat-code` header.
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

key! {
    /// Terms under which a request is served.
    pub struct Terms {
        /// Class of its entry.
        pub class: Class,
        /// When the caller stops waiting.
        pub deadline: Instant,
        /// Calls above this one in the chain.
        pub depth: u64,
        /// Attempts in all, the first included.
        pub attempts: u64,
    }

    /// An end without an answer of a target.
    pub struct End {
        /// Why.
        pub code: Code,
        /// What became of the work, all attempts considered.
        pub outcome: Outcome,
    }

    /// Proof that a target answered that it did not run the request.
    pub struct Shed(());
}

impl Shed {
    /// Reads the status and the `oriolecleat-outcome` header of an answer.
    #[must_use]
    pub fn read(status: u16, outcome: Option<&[u8]>) -> Option<Self> {
        let not_run = outcome == Some(Outcome::NotRun.as_str().as_bytes());
        (status == 503 && not_run).then_some(Self(()))
    }
}

/// What the attempts so far leave open.
#[derive(Debug)]
struct Course {
    terms: Terms,
    attempt: u64,
    sheds: u64,
    /// `NotRun` until an attempt was written and not shed.
    outcome: Outcome,
}

impl Course {
    fn end(&self, code: Code) -> End {
        End {
            code,
            outcome: self.outcome,
        }
    }
}

/// A request whose head was read.
#[derive(Debug)]
pub struct Received {
    arrived: Instant,
    limit: Option<Span>,
    depth: u64,
}

impl Received {
    /// A request that arrived at `arrived`; its caller waits for at most `limit`.
    #[must_use]
    pub const fn new(arrived: Instant, limit: Option<Span>, depth: u64) -> Self {
        Self {
            arrived,
            limit,
            depth,
        }
    }

    /// Applies the terms of `entry`; the caller can only shorten the deadline.
    ///
    /// # Errors
    ///
    /// Returns the end if the call chain is too deep.
    pub fn admit(self, entry: &Entry) -> Result<Admitted, End> {
        if self.depth > DEPTH_LIMIT {
            return Err(self.refuse(Code::DepthExceeded));
        }
        let limit = self
            .limit
            .map_or(entry.deadline, |limit| limit.min(entry.deadline));
        let terms = Terms {
            class: entry.class,
            deadline: self.arrived + limit,
            depth: self.depth,
            attempts: entry.retry.attempts.max(1),
        };
        Ok(Admitted(Course {
            terms,
            attempt: 1,
            sheds: 0,
            outcome: Outcome::NotRun,
        }))
    }

    /// Ends the request.
    #[must_use]
    pub fn refuse(self, code: Code) -> End {
        End {
            code,
            outcome: Outcome::NotRun,
        }
    }
}

/// A request that waits for a target.
#[derive(Debug)]
pub struct Admitted(Course);

impl Admitted {
    /// Terms of the request.
    #[must_use]
    pub const fn terms(&self) -> Terms {
        self.0.terms
    }

    /// Ends the request.
    #[must_use]
    pub fn refuse(self, code: Code) -> End {
        self.0.end(code)
    }

    /// A target was chosen.
    ///
    /// # Errors
    ///
    /// Returns the end if the deadline passed during the wait.
    pub fn assign(self, now: Instant) -> Result<Assigned, End> {
        if now >= self.0.terms.deadline {
            return Err(self.0.end(Code::Deadline));
        }
        Ok(Assigned(self.0))
    }
}

/// A request with a target, of which no byte was handed to a connection in this attempt.
#[derive(Debug)]
pub struct Assigned(Course);

impl Assigned {
    /// Terms of the request.
    #[must_use]
    pub const fn terms(&self) -> Terms {
        self.0.terms
    }

    /// Number of this attempt, from 1.
    #[must_use]
    pub const fn attempt(&self) -> u64 {
        self.0.attempt
    }

    /// Gives the target back; the request waits for another one.
    #[must_use]
    pub fn requeue(self) -> Admitted {
        Admitted(self.0)
    }

    /// Ends the request.
    #[must_use]
    pub fn refuse(self, code: Code) -> End {
        self.0.end(code)
    }

    /// Marks the request as written; call it right before the first byte is handed over.
    ///
    /// # Errors
    ///
    /// Returns the end if the deadline passed.
    pub fn write(self, now: Instant) -> Result<Sent, End> {
        if now >= self.0.terms.deadline {
            return Err(self.0.end(Code::Deadline));
        }
        Ok(match self.0.terms.class {
            Class::Once => Sent::Once(Written(self.0, PhantomData)),
            Class::Interactive | Class::Batch => Sent::Idempotent(Written(self.0, PhantomData)),
        })
    }
}

/// Marks a non-idempotent request.
#[derive(Debug)]
pub struct Once;

/// Marks an idempotent request.
#[derive(Debug)]
pub struct Idempotent;

/// A written request by the kind of its class.
#[derive(Debug)]
pub enum Sent {
    /// It is never sent again, unless the target shed it.
    Once(Written<Once>),
    /// It may be sent again.
    Idempotent(Written<Idempotent>),
}

/// A request of which bytes may have reached a target.
///
/// An idempotent request has a way back:
///
/// ```
/// use oriolecleat_core::request::Admitted;
/// use oriolecleat_core::request::Code;
/// use oriolecleat_core::request::End;
/// use oriolecleat_core::request::Idempotent;
/// use oriolecleat_core::request::Written;
///
/// fn resend(written: Written<Idempotent>) -> Result<Admitted, End> {
///     written.retry(Code::TargetFailed, true)
/// }
/// ```
///
/// A non-idempotent one has none:
///
/// ```compile_fail,E0599
/// use oriolecleat_core::request::Admitted;
/// use oriolecleat_core::request::Code;
/// use oriolecleat_core::request::End;
/// use oriolecleat_core::request::Once;
/// use oriolecleat_core::request::Written;
///
/// fn resend(written: Written<Once>) -> Result<Admitted, End> {
///     written.retry(Code::TargetFailed, true)
/// }
/// ```
///
/// Nor can a written request be written a second time:
///
/// ```compile_fail,E0382
/// use oriolecleat_core::request::Assigned;
/// use oriolecleat_core::time::Instant;
///
/// fn resend(assigned: Assigned, now: Instant) {
///     let _ = assigned.write(now);
///     let _ = assigned.write(now);
/// }
/// ```
#[derive(Debug)]
pub struct Written<K>(Course, PhantomData<K>);

impl<K> Written<K> {
    /// The target answered that it did not run this attempt; the next target may get the request.
    ///
    /// # Errors
    ///
    /// Returns the end if too many targets shed the request, or if its body cannot be sent again.
    pub fn shed(mut self, _proof: Shed, replayable: bool) -> Result<Admitted, End> {
        self.0.sheds += 1;
        if !replayable || self.0.sheds >= SHED_LIMIT {
            return Err(self.0.end(Code::Overloaded));
        }
        Ok(Admitted(self.0))
    }

    /// A whole answer head arrived.
    #[must_use]
    pub fn answer(self) -> Answered {
        Answered(())
    }

    /// No answer head arrived.
    #[must_use]
    pub fn fail(self, code: Code) -> End {
        End {
            code,
            outcome: Outcome::Unknown,
        }
    }

    /// A whole answer head arrived that must not be passed on.
    #[must_use]
    pub fn discard(self, code: Code) -> End {
        End {
            code,
            outcome: Outcome::Ran,
        }
    }
}

impl Written<Idempotent> {
    /// No answer head arrived; the request waits for another target if `allowed` and if it is at
    /// the top of its call chain, so that attempts in a chain add up and do not multiply.
    ///
    /// # Errors
    ///
    /// Returns the end if the request must not be sent again.
    pub fn retry(mut self, code: Code, allowed: bool) -> Result<Admitted, End> {
        let terms = self.0.terms;
        if !allowed || terms.depth > 0 || self.0.attempt >= terms.attempts {
            return Err(self.fail(code));
        }
        self.0.attempt += 1;
        self.0.outcome = Outcome::Unknown;
        Ok(Admitted(self.0))
    }
}

/// A request whose target sent a whole answer head.
#[derive(Debug)]
pub struct Answered(());

impl Answered {
    /// What the caller is told.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        Outcome::Ran
    }
}
