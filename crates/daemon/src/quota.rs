//! Rate and concurrency limits of each entry on this VM, and the counts of its requests.

use oriolecleat_core::budget::Retry;
use oriolecleat_core::entry::Limits;
use oriolecleat_core::limit;
use oriolecleat_core::limit::Bucket;
use oriolecleat_core::limit::Rate;
use oriolecleat_core::limit::Semaphore;
use oriolecleat_core::recent::Maximum;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

use crate::node::Node;
use crate::node::Shared;

/// Time after a streamed answer for which those of its entry count as streamed.
const STREAMED_HOLD: Span = Span::from_millis(60_000);

slotmap::new_key_type! {
    /// Key of the quota of an entry.
    pub(crate) struct Key;
}

/// How the limits of an entry are divided among the VMs of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Division {
    /// Members known to be alive, this VM included.
    pub(crate) members: u64,
    /// Largest number of entry VM processes alive at once.
    pub(crate) ceiling: u64,
}

/// Limits and counts of one entry on this VM.
pub(crate) struct Quota {
    /// Number of the entry in the balancer.
    pub(crate) number: u32,
    pub(crate) rate: Bucket,
    pub(crate) concurrency: Semaphore,
    /// Retry budget of idempotent requests.
    pub(crate) retry: Retry,
    pub(crate) rate_refused: u64,
    pub(crate) concurrency_refused: u64,
    /// Requests by outcome: ran, not run, unknown.
    pub(crate) outcomes: [u64; 3],
    /// Longest time from the head of a request to the end of its answer.
    pub(crate) longest: Maximum,
    /// When an answer was last buffered whole, and when one was last streamed.
    buffered_at: Option<Instant>,
    streamed_at: Option<Instant>,
}

impl Quota {
    pub(crate) fn new(now: Instant, number: u32, limits: &Limits, division: Division) -> Self {
        Self {
            number,
            rate: Bucket::new(now, rate(limits, division)),
            concurrency: Semaphore::new(share(limits, division)),
            retry: Retry::new(0),
            rate_refused: 0,
            concurrency_refused: 0,
            outcomes: [0; 3],
            longest: Maximum::default(),
            buffered_at: None,
            streamed_at: None,
        }
    }

    /// Records whether an answer was buffered whole, or is streamed to the caller.
    pub(crate) fn record_answer(&mut self, now: Instant, buffered: bool) {
        let at = if buffered {
            &mut self.buffered_at
        } else {
            &mut self.streamed_at
        };
        *at = Some(now);
    }

    /// Whether answers are buffered whole, as far as is known, so that one that breaks off can be
    /// replaced. A streamed one that breaks off ends the connection and what was sent behind it.
    pub(crate) fn buffers_answers(&self, now: Instant) -> bool {
        let streams = self
            .streamed_at
            .is_some_and(|at| now.since(at) < STREAMED_HOLD);
        self.buffered_at.is_some() && !streams
    }

    /// Applies changed limits or a changed division.
    pub(crate) fn update(&mut self, now: Instant, limits: &Limits, division: Division) {
        self.rate.update(now, rate(limits, division));
        self.concurrency.update(share(limits, division));
    }

    /// Admits one request, or counts which limit refused it.
    fn admit(&mut self, now: Instant) -> bool {
        if !self.concurrency.try_acquire() {
            self.concurrency_refused += 1;
            return false;
        }
        let taken = self.rate.take(now, 1);
        if taken {
            self.retry.record_call();
        } else {
            self.concurrency.release();
            self.rate_refused += 1;
        }
        taken
    }
}

fn rate(limits: &Limits, division: Division) -> Rate {
    Rate::shared(
        limits.rate_per_s,
        limits.rate_burst,
        division.members,
        division.ceiling,
    )
}

fn share(limits: &Limits, division: Division) -> u64 {
    limit::share(limits.concurrency, division.members, division.ceiling)
}

/// Permit of one request within the limits of its entry. Its place in the concurrency limit is
/// freed when it is dropped.
pub(crate) struct Permit {
    node: Shared,
    key: Key,
}

impl Permit {
    /// Acquires a permit for a request; none if a limit of the entry is reached.
    pub(crate) fn acquire(node: &Shared, key: Key) -> Option<Self> {
        let mut state = node.borrow_mut();
        let now = state.clock.now();
        let admitted = state.quotas.get_mut(key)?.admit(now);
        admitted.then(|| Self {
            node: node.clone(),
            key,
        })
    }

    /// Records that the whole answer to the request, which arrived at `arrived`, was read.
    pub(crate) fn record_duration(&self, arrived: Instant) {
        self.node.borrow_mut().record_duration(self.key, arrived);
    }

    /// Counts the outcome of the request.
    pub(crate) fn count(&self, outcome: Outcome) {
        if let Some(quota) = self.node.borrow_mut().quotas.get_mut(self.key) {
            quota.outcomes[outcome as usize] += 1;
        }
    }
}

impl Node {
    /// Records that a request of the entry, which arrived at `arrived`, was answered or given up.
    pub(crate) fn record_duration(&mut self, key: Key, arrived: Instant) {
        let now = self.clock.now();
        if let Some(quota) = self.quotas.get_mut(key) {
            quota.longest.record(now, now.since(arrived));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(quota) = self.node.borrow_mut().quotas.get_mut(self.key) {
            quota.concurrency.release();
        }
    }
}
