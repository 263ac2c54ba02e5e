//! The states of a request, from its arrival to its answer, as types.
//!
//! `Received` → `Admitted` → `Assigned` → `Written` → `Answered`. Every step consumes the state
//! before it, and every early end gives a [`Failure`] whose outcome covers all attempts so far.

use std::marker::PhantomData;

use crate::entry::Class;
use crate::entry::Entry;
pub use crate::outcome::Code;
pub use crate::outcome::Outcome;
use crate::time::Instant;
use crate::time::Span;

/// Longest chain of calls. A request deeper in a chain is refused.
pub const DEPTH_LIMIT: u64 = 15;

/// Times that a request may go back to the queue. It bounds the bytes spent on a request while
/// every target sheds, and the connection attempts while every target refuses connections.
const REQUEUE_LIMIT: u64 = 16;

key! {
    /// Terms under which a request is served.
    pub struct Terms {
        /// Class of its entry.
        pub class: Class,
        /// When the caller stops waiting.
        pub deadline: Instant,
        /// Number of calls above this one in the chain.
        pub depth: u64,
        /// Attempts that the retry policy allows, the first included.
        pub attempts: u64,
        /// Times that the request may be written to a target, shed attempts and copies included.
        pub sends: u64,
    }

    /// End of a request without an answer of a target for its caller.
    pub struct Failure {
        /// Error code for the caller.
        pub code: Code,
        /// Whether the request ran, over all its attempts.
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
        Self::declared(status == 503 && not_run)
    }

    /// The proof, if the target declared that it did not run the request.
    #[must_use]
    pub fn declared(not_run: bool) -> Option<Self> {
        not_run.then_some(Self(()))
    }
}

/// Terms of a request and the attempts made so far.
#[derive(Debug)]
struct Progress {
    terms: Terms,
    attempt: u64,
    requeues: u64,
    /// Times that the request was written to a target, copies included.
    sent: u64,
    /// `NotRun` until an attempt may have run without an answer.
    outcome: Outcome,
}

impl Progress {
    fn fail(&self, code: Code) -> Failure {
        Failure {
            code,
            outcome: self.outcome,
        }
    }

    fn requeue(mut self, code: Code) -> Result<Admitted, Failure> {
        self.requeues += 1;
        if self.requeues >= REQUEUE_LIMIT {
            return Err(self.fail(code));
        }
        Ok(Admitted(self))
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

    /// Applies the terms of `entry`. The time limit of the caller can only shorten the deadline.
    ///
    /// # Errors
    ///
    /// Returns the failure if the call chain is too deep.
    pub fn admit(self, entry: &Entry) -> Result<Admitted, Failure> {
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
            sends: u64::MAX,
        };
        Ok(Admitted(Progress {
            terms,
            attempt: 1,
            requeues: 0,
            sent: 0,
            outcome: Outcome::NotRun,
        }))
    }

    /// Ends the request.
    #[must_use]
    pub fn refuse(self, code: Code) -> Failure {
        Failure {
            code,
            outcome: Outcome::NotRun,
        }
    }
}

/// A request that waits for a target.
#[derive(Debug)]
pub struct Admitted(Progress);

impl Admitted {
    /// Terms of the request.
    #[must_use]
    pub const fn terms(&self) -> Terms {
        self.0.terms
    }

    /// Limits the times that the request may be written to a target.
    #[must_use]
    pub const fn limit_sends(mut self, sends: u64) -> Self {
        self.0.terms.sends = sends;
        self
    }

    /// Whether the request was written to a target before.
    #[must_use]
    pub const fn is_repeated(&self) -> bool {
        self.0.sent > 0
    }

    /// Ends the request.
    #[must_use]
    pub fn refuse(self, code: Code) -> Failure {
        self.0.fail(code)
    }

    /// Moves on once a target was chosen.
    ///
    /// # Errors
    ///
    /// Returns the failure if the deadline passed during the wait.
    pub fn assign(self, now: Instant) -> Result<Assigned, Failure> {
        if now >= self.0.terms.deadline {
            return Err(self.0.fail(Code::Deadline));
        }
        Ok(Assigned(self.0))
    }
}

/// A request with a target. In this attempt, no byte of it was handed to a connection.
#[derive(Debug)]
pub struct Assigned(Progress);

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

    /// Returns the request to the queue, to wait for another target.
    ///
    /// # Errors
    ///
    /// Returns the failure with `code` if the request was returned too often.
    pub fn requeue(self, code: Code) -> Result<Admitted, Failure> {
        self.0.requeue(code)
    }

    /// Ends the request.
    #[must_use]
    pub fn refuse(self, code: Code) -> Failure {
        self.0.fail(code)
    }

    /// Marks the request as written. Call this right before the first byte is handed to the
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns the failure if the deadline passed.
    pub fn write(mut self, now: Instant) -> Result<Sent, Failure> {
        if now >= self.0.terms.deadline {
            return Err(self.0.fail(Code::Deadline));
        }
        self.0.sent += 1;
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

/// A written request, by whether its class is idempotent.
#[derive(Debug)]
pub enum Sent {
    /// It is never sent again, unless the target shed it.
    Once(Written<Once>),
    /// It may be sent again.
    Idempotent(Written<Idempotent>),
}

impl Sent {
    /// See [`Written::shed`].
    ///
    /// # Errors
    ///
    /// Returns the failure if the request cannot go to another target.
    pub fn shed(self, proof: Shed, replayable: bool) -> Result<Admitted, Failure> {
        match self {
            Self::Once(written) => written.shed(proof, replayable),
            Self::Idempotent(written) => written.shed(proof, replayable),
        }
    }

    /// See [`Written::answer`].
    #[must_use]
    pub fn answer(self) -> Answered {
        match self {
            Self::Once(written) => written.answer(),
            Self::Idempotent(written) => written.answer(),
        }
    }

    /// See [`Written::fail`].
    #[must_use]
    pub fn fail(self, code: Code) -> Failure {
        match self {
            Self::Once(written) => written.fail(code),
            Self::Idempotent(written) => written.fail(code),
        }
    }

    /// See [`Written::discard`].
    #[must_use]
    pub fn discard(self, code: Code) -> Failure {
        match self {
            Self::Once(written) => written.discard(code),
            Self::Idempotent(written) => written.discard(code),
        }
    }
}

/// A request of which bytes may have reached a target.
///
/// An idempotent request can be retried:
///
/// ```
/// use oriolecleat_core::request::Admitted;
/// use oriolecleat_core::request::Code;
/// use oriolecleat_core::request::Failure;
/// use oriolecleat_core::request::Idempotent;
/// use oriolecleat_core::request::Written;
///
/// fn resend(written: Written<Idempotent>) -> Result<Admitted, Failure> {
///     written.retry(Code::TargetFailed, true)
/// }
/// ```
///
/// A non-idempotent one cannot:
///
/// ```compile_fail,E0599
/// use oriolecleat_core::request::Admitted;
/// use oriolecleat_core::request::Code;
/// use oriolecleat_core::request::Failure;
/// use oriolecleat_core::request::Once;
/// use oriolecleat_core::request::Written;
///
/// fn resend(written: Written<Once>) -> Result<Admitted, Failure> {
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
pub struct Written<K>(Progress, PhantomData<K>);

impl<K> Written<K> {
    /// Requeues the request for another target after this one proved that it did not run the
    /// attempt.
    ///
    /// # Errors
    ///
    /// Returns the failure if the request was shed too often, or if its body cannot be sent again.
    pub fn shed(self, _proof: Shed, replayable: bool) -> Result<Admitted, Failure> {
        if !replayable || self.0.sent >= self.0.terms.sends {
            return Err(self.0.fail(Code::Overloaded));
        }
        self.0.requeue(Code::Overloaded)
    }

    /// Ends the attempt with the whole head of an answer.
    #[must_use]
    pub fn answer(self) -> Answered {
        Answered(())
    }

    /// Ends the attempt without the whole head of an answer; the request may have run.
    #[must_use]
    pub fn fail(self, code: Code) -> Failure {
        Failure {
            code,
            outcome: Outcome::Unknown,
        }
    }

    /// Ends the attempt with an answer that must not be passed on; the request has run.
    #[must_use]
    pub fn discard(self, code: Code) -> Failure {
        Failure {
            code,
            outcome: Outcome::Ran,
        }
    }
}

impl Written<Idempotent> {
    /// Permits a second copy of the request while the first is in flight. From then on the request
    /// is never reported as not run.
    ///
    /// Returns false, and permits no copy, if the request was written as often as it may be.
    #[must_use]
    pub const fn permit_copy(&mut self) -> bool {
        if self.0.sent >= self.0.terms.sends {
            return false;
        }
        self.0.sent += 1;
        self.0.outcome = Outcome::Unknown;
        true
    }

    /// Whether the terms allow another attempt. Only the top of a call chain retries, so that the
    /// attempts of a chain add up and do not multiply.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        let terms = self.0.terms;
        terms.depth == 0 && self.0.attempt < terms.attempts && self.0.sent < terms.sends
    }

    /// Ends the attempt without an answer that can be passed on. The request waits for another
    /// target if its body and its budget allow it (`allowed`), and if [`Written::may_retry`] does.
    ///
    /// # Errors
    ///
    /// Returns the failure if the request must not be sent again.
    pub fn retry(mut self, code: Code, allowed: bool) -> Result<Admitted, Failure> {
        if !allowed || !self.may_retry() {
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
    /// Outcome for the caller.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        Outcome::Ran
    }
}
