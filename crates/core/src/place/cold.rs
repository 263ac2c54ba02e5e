//! Targets that have just started and tolerate only few requests a second: which VMs send to such a
//! target, and how much each.
//!
//! The bound on a cold target holds over all VMs together, so it is divided into a fixed number of
//! shares, whatever a VM believes of the fleet. A VM uses one share, and only if it is among the first
//! [`USERS_MAX`] of the VMs of the target's region that it remembers, in an order by hash. One that has
//! never heard of `d` of these VMs is among the first `USERS_MAX + d` of all, so at most that many VMs
//! send. The shares are [`SHARES`], so the bound holds if each VM misses up to four others.

use crate::entry;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::home;
use crate::home::USERS_MAX;
use crate::map::Set;
use crate::place::placer::Placer;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// Shares that the bound is divided into. Twice as many as there are users, for VMs that do not know
/// of all others: those that started after it was cut off, or in the part that it is cut off from.
pub const SHARES: usize = 2 * USERS_MAX;
/// Time from the start of a VM until it uses cold targets. Members spread within two seconds; a VM
/// that knows few of them takes itself for one of the first.
pub const SETTLE_AFTER: Span = Span::from_millis(5_000);
/// Seconds by which the time to a target may differ between two requests: a new connection takes up
/// to 120 ms, and a busy VM sends as much later.
const SPREAD_S: f64 = 0.25;

/// Time without a sign of life after which a target whose probe fails counts as silent.
const SILENT_AFTER: Span = Span::from_millis(1_000);

data! {
    /// What a cold target of a service tolerates, of all VMs together.
    #[derive(Copy)]
    pub struct Bound {
        /// Time for which a target is cold after its start.
        pub start: Span,
        /// Thousandths of a request in each second.
        pub per_s_thousandths: u64,
        /// Thousandths of a request in any second beyond these.
        pub slack_thousandths: u64,
    }
}

impl Bound {
    /// Requests a second that one share allows, if all requests take equally long to the target.
    fn rate(&self) -> f64 {
        let whole = number(self.per_s_thousandths) / 1_000.0;
        whole / shares() / (1.0 + SPREAD_S)
    }

    /// Requests that one share allows at once.
    fn burst(&self) -> f64 {
        number(self.slack_thousandths) / 1_000.0 / shares()
    }
}

fn shares() -> f64 {
    number(u64::try_from(SHARES).unwrap_or(u64::MAX))
}

/// Whether the VM `own` may use the cold target `target`, if it remembers the VMs `known` of the
/// target's region, itself included. A VM that knows no other may be cut off from all, so it may not.
#[must_use]
pub fn is_user<'a>(target: &str, own: &str, known: impl Iterator<Item = &'a str>) -> bool {
    let users = home::users(target, known);
    users.len() > 1 && users.contains(&own)
}

/// Until when a target is cold, and what this VM may send to it while it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    until: Instant,
    /// Whether the target failed and has not answered since.
    lost: bool,
    /// Requests that may be sent at once. Those to a warm target count as well, as it may turn cold.
    tokens: f64,
    refilled: Instant,
    /// Newest sign of life.
    heard: Instant,
}

impl Cold {
    /// The state of a target that is new at `now`. It starts without an allowance, so that one that
    /// vanishes and comes back gets no more than one that stays.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            refilled: now,
            heard: now,
            ..Self::default()
        }
    }

    /// Records that the target is cold until `until`.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Records that the target refused a connection. It may be starting again.
    pub fn record_loss(&mut self, now: Instant, bound: &Bound) {
        self.lost = true;
        self.extend(now + bound.start);
    }

    /// Records a probe without an answer in time. One alone may be due to a busy VM.
    pub fn record_silence(&mut self, now: Instant, bound: &Bound) {
        if now.since(self.heard) >= SILENT_AFTER {
            self.record_loss(now, bound);
        }
    }

    /// Records a sign of life. If the target was lost, it may have started just now.
    pub fn record_answer(&mut self, now: Instant, bound: &Bound) {
        self.heard = now;
        if std::mem::take(&mut self.lost) {
            self.extend(now + bound.start);
        }
    }

    /// When the target is warm.
    #[must_use]
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Requests that may be sent at `now` by a VM that has a share.
    #[must_use]
    pub fn tokens(&self, now: Instant, bound: &Bound) -> f64 {
        let gained = seconds(now.since(self.refilled)) * bound.rate();
        (self.tokens + gained).min(bound.burst())
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Instant, bound: &Bound) {
        self.tokens = (self.tokens(now, bound) - 1.0).max(0.0);
        self.refilled = now;
    }
}

impl Placer {
    /// Sets what cold targets tolerate; none for any number of requests.
    pub fn set_cold_bound(&mut self, bound: Option<Bound>) {
        self.cold_bound = bound.filter(|bound| bound.per_s_thousandths > 0);
    }

    /// Sets the names of the cold targets that this VM may use.
    pub fn set_cold_users(&mut self, targets: Set<Box<str>>) {
        self.cold_users = targets;
    }

    /// The targets that are cold at `now` and have a bound.
    pub fn cold_targets(&self, now: Instant) -> impl Iterator<Item = &entry::Target> {
        let bounded = self.cold_bound.is_some();
        let cold = self.cold.iter();
        let cold = cold.filter(move |(_, cold)| bounded && now < cold.until);
        cold.filter_map(|(key, _)| Some(&self.targets.get(key)?.spec))
    }

    /// Records that a target states that it is cold for `left`, if cold targets have a bound.
    pub fn record_cold(&mut self, now: Instant, key: target::Key, left: Span) {
        self.change_cold(key, |cold, _| cold.extend(now + left));
    }

    /// Records that a target is cold until `until`: it is slower and, with a bound, takes less.
    pub(super) fn set_cold_until(&mut self, key: target::Key, until: Instant) {
        if self.cold_bound.is_some() {
            self.change_cold(key, |cold, _| cold.extend(until));
        } else if let Some(stats) = self.stats.get_mut(key) {
            stats.set_cold_until(until);
        }
    }

    /// Changes until when a target is cold, if cold targets have a bound.
    pub(super) fn change_cold(&mut self, key: target::Key, change: impl FnOnce(&mut Cold, &Bound)) {
        let (Some(bound), Some(cold)) = (&self.cold_bound, self.cold.get_mut(key)) else {
            return;
        };
        change(cold, bound);
        if let Some(stats) = self.stats.get_mut(key) {
            stats.set_cold_until(cold.until);
        }
    }

    /// Counts a request that is sent to a target.
    pub(super) fn count_cold(&mut self, now: Instant, key: target::Key) {
        if let (Some(bound), Some(cold)) = (self.cold_bound, self.cold.get_mut(key)) {
            cold.count_request(now, &bound);
        }
    }

    /// Requests that a target may get at once; infinite if it is warm.
    pub(super) fn cold_allowance(&self, now: Instant, key: target::Key, name: &str) -> f64 {
        match (&self.cold_bound, self.cold.get(key)) {
            (Some(bound), Some(cold)) if now < cold.until => {
                if self.cold_users.contains(name) {
                    cold.tokens(now, bound)
                } else {
                    0.0
                }
            }
            _ => f64::INFINITY,
        }
    }

    /// Requests a second that a cold target leaves to this VM; none if it is warm.
    pub(super) fn cold_rate(&self, now: Instant, key: target::Key, name: &str) -> Option<f64> {
        let bound = self.cold_bound.as_ref()?;
        let is_cold = now < self.cold.get(key)?.until;
        let share = if self.cold_users.contains(name) {
            bound.rate()
        } else {
            0.0
        };
        is_cold.then_some(share)
    }
}
