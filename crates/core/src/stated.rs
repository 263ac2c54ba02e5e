//! What targets state of themselves in their answers, and what follows for the requests that they
//! get.
//!
//! A target in need states how many requests a second it takes from all VMs together. The few VMs that
//! callers of its service are sent to divide them evenly, and no other VM sends any, so that the sum
//! holds without messages between VMs.
//!
//! A target that leaves, or that asks a VM to wait, gets nothing from the VM that was told so, whatever
//! other sources say.

use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::time::Instant;
use crate::time::Span;

/// A value that a target stated and that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

/// What one answer states of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Requests a second that the target takes from all VMs together.
    pub limit: Option<Result<f64, Unreadable>>,
    /// Whether the target leaves.
    pub leaving: Option<Result<bool, Unreadable>>,
    /// Seconds for which the target wants nothing from this VM.
    pub wait: Option<Result<f64, Unreadable>>,
}

impl Statement {
    /// Number of values that cannot be read.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        let limit = matches!(self.limit, Some(Err(_)));
        let leaving = matches!(self.leaving, Some(Err(_)));
        let wait = matches!(self.wait, Some(Err(_)));
        u64::from(limit) + u64::from(leaving) + u64::from(wait)
    }
}

/// What changes with a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The target now takes this many requests a second.
    Limited(f64),
    /// The target takes any number of requests again.
    Unlimited,
    /// The target leaves.
    Leaving,
    /// The target wants nothing for so long.
    Waiting(Span),
}

/// Largest limit that counts as one; a larger number is taken for a mistake.
pub const LIMIT_MAX_PER_S: f64 = 1_000_000.0;
/// Longest wait that counts as one; a longer one is taken for a mistake.
pub const WAIT_MAX_S: f64 = 3_600.0;
/// Seconds of its share of the limit that a VM may send at once after a pause.
const BURST_S: f64 = 0.25;
/// Sum of the shares of all VMs that may use a target, as a multiple of its limit. Not all of them have
/// requests, and a target tolerates one and a half times its limit over four seconds.
const SHARES_SUM: f64 = 1.4;
/// Requests a second that a target gets however low its limit is. Without any, this VM would never
/// learn that the limit has ended.
const TRIAL_PER_S: f64 = 0.25;
/// Time after which a limit that was not stated again no longer binds a VM that may not use the target.
/// Its next request there tells whether the limit still holds.
const FORGET_AFTER: Span = Span::from_millis(30_000);

/// Requests that a target with a limit may still get from this VM.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    /// When it was last stated.
    stated: Instant,
    tokens: f64,
    refilled: Instant,
}

/// What a target states now. A new incarnation of a target begins with nothing stated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stated {
    limit: Option<Limit>,
    leaving: bool,
    /// Until when the target wants nothing from this VM.
    wait_until: Instant,
}

impl Limit {
    /// Share of one of `users` VMs, in requests a second.
    fn share(&self, users: usize) -> f64 {
        let users = number(u64::try_from(users).unwrap_or(u64::MAX));
        let share = self.per_s * (SHARES_SUM / users).min(1.0);
        share.max(TRIAL_PER_S / users)
    }

    /// Requests that may be sent at once, if the share is `rate`.
    fn tokens(&self, now: Instant, rate: f64) -> f64 {
        let gained = seconds(now.since(self.refilled)) * rate;
        (self.tokens + gained).min(1.0 + rate * BURST_S)
    }
}

impl Stated {
    /// Takes over what an answer to a request sent at `sent` states. Answers can overtake each other,
    /// so a limit ends only with an answer to a request that was sent after it was stated. Leaving does
    /// not end, and a shorter wait does not shorten one.
    pub fn record(&mut self, now: Instant, sent: Instant, statement: Statement) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(self.record_limit(now, sent, statement));
        if statement.leaving == Some(Ok(true)) && !self.leaving {
            self.leaving = true;
            changes.push(Change::Leaving);
        }
        if let Some(Ok(wait)) = statement.wait {
            let wait = span(wait);
            if now + wait > self.wait_until {
                self.wait_until = now + wait;
                changes.push(Change::Waiting(wait));
            }
        }
        changes
    }

    fn record_limit(
        &mut self,
        now: Instant,
        sent: Instant,
        statement: Statement,
    ) -> Option<Change> {
        match statement.limit {
            Some(Ok(per_s)) => self.set_limit(now, per_s),
            Some(Err(Unreadable)) => None,
            None => {
                let ended = self.limit.take_if(|limit| limit.stated <= sent);
                ended.map(|_| Change::Unlimited)
            }
        }
    }

    fn set_limit(&mut self, now: Instant, per_s: f64) -> Option<Change> {
        let before = self.limit;
        let known = before.unwrap_or(Limit {
            per_s,
            stated: now,
            tokens: 0.0,
            refilled: now,
        });
        self.limit = Some(Limit {
            per_s,
            stated: now,
            ..known
        });
        let changed = before.is_none_or(|before| before.per_s.to_bits() != per_s.to_bits());
        changed.then_some(Change::Limited(per_s))
    }

    /// Requests a second that the limit of the target leaves to this VM, one of `users` that may use
    /// it; zero if this VM is none of them, or if the target takes nothing from it, and none without a
    /// limit.
    #[must_use]
    pub fn rate(&self, now: Instant, users: usize) -> Option<f64> {
        if self.leaving || now < self.wait_until {
            return Some(0.0);
        }
        let limit = self.limit?;
        if users > 0 {
            return Some(limit.share(users));
        }
        (now.since(limit.stated) < FORGET_AFTER).then_some(0.0)
    }

    /// Requests that the target may get from this VM at once; infinite without a limit.
    #[must_use]
    pub fn allowance(&self, now: Instant, users: usize) -> f64 {
        let Some(rate) = self.rate(now, users) else {
            return f64::INFINITY;
        };
        let limit = self.limit.filter(|_| rate > 0.0);
        limit.map_or(0.0, |limit| limit.tokens(now, rate))
    }

    /// Counts a request that is sent to the target by this VM, one of `users` that may use it.
    pub fn count_request(&mut self, now: Instant, users: usize) {
        let rate = self.rate(now, users).unwrap_or_default();
        if let Some(limit) = &mut self.limit {
            limit.tokens = (limit.tokens(now, rate) - 1.0).max(0.0);
            limit.refilled = now;
        }
    }

    /// Whether the target states that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Time for which the target still wants nothing from this VM; none if it leaves.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Option<Span> {
        (!self.leaving).then(|| self.wait_until.since(now))
    }

    /// Requests a second that the target states that it takes, if it states a limit.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }
}
