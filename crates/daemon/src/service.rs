//! One service of the catalogue as the daemon runs it.

use std::task::Waker;

use oriolecleat_core::balance::Balancer;
use oriolecleat_core::balance::Limits;
use oriolecleat_core::budget::Total;
use oriolecleat_core::data;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Entry;
use oriolecleat_core::place;
use oriolecleat_core::place::Placer;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

use crate::evidence;
use crate::policy::Policy;

slotmap::new_key_type! {
    /// Key of a service of the node.
    pub(crate) struct Key;
}

/// Typical bytes of a request and its answer.
const EXCHANGE_BYTES: u64 = 4_096;

/// A service with its balancer.
pub(crate) struct Service {
    pub(crate) name: Box<str>,
    pub(crate) balancer: Policy,
    pub(crate) evidence: evidence::Map,
}

data! {
    /// A target that a call may be sent to.
    pub(crate) struct Grant {
        pub(crate) target: target::Key,
        /// Name of the target.
        pub(crate) name: Box<str>,
        pub(crate) address: std::net::SocketAddr,
        /// Longest wait in the target before it sheds the request.
        pub(crate) queue: Span,
        /// Whether the target is to report its load on the answer.
        pub(crate) report: bool,
        /// Whether the target is in another region.
        pub(crate) remote: bool,
    }
}

/// Decisions of the balancer for one call, in order, until the call takes them.
#[derive(Default)]
pub(crate) struct Mailbox {
    pub(crate) decisions: std::collections::VecDeque<Decision>,
    pub(crate) waker: Option<Waker>,
}

/// A decision for one call.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// Send the request.
    Send(Grant),
    /// Send a second copy.
    Hedge(Grant),
    /// Cancel the copy at the target by closing its connection.
    Cancel(target::Key),
    /// Refuse the request, which did not run.
    Refuse(oriolecleat_core::balance::Refusal),
}

impl Mailbox {
    pub(crate) fn push(&mut self, decision: Decision) {
        self.decisions.push_back(decision);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Service {
    /// Creates a service with the product's own targets, or with those of a platform if `hosted`.
    pub(crate) fn new(
        now: Instant,
        name: &str,
        place: Place,
        limits: Limits,
        hosted: bool,
    ) -> Self {
        let balancer = if hosted {
            let queue = limits.queue;
            Policy::Hosted(Box::new(Placer::new(place, place::Limits { queue })))
        } else {
            Policy::Own(Box::new(Balancer::new(now, place, limits)))
        };
        Self {
            name: name.into(),
            balancer,
            evidence: evidence::Map::new(),
        }
    }

    /// Requests of this VM that are in progress at the targets.
    pub(crate) fn in_flight(&self) -> u64 {
        self.balancer
            .targets()
            .iter()
            .map(|(_, target)| target.in_flight)
            .sum()
    }
}

/// The limits of a service: the sums over its entries. The budgets in bytes are for all VMs, of
/// which there are at most `ceiling`.
pub(crate) fn limits(entries: &[(Box<str>, Entry)], ceiling: u64) -> Limits {
    let sum = |field: fn(&entry::Limits) -> u64| -> u64 {
        entries.iter().map(|(_, entry)| field(&entry.limits)).sum()
    };
    let whole = |rate: fn(&entry::Limits) -> u64, burst: fn(&entry::Limits) -> u64| Total {
        bytes_per_s: sum(rate),
        burst_bytes: sum(burst),
        vm_ceiling: ceiling,
    };
    let queue = sum(|limits| limits.queue);
    Limits {
        queue: usize::try_from(queue).unwrap_or(usize::MAX),
        measuring: whole(
            |limits| limits.measuring_bytes_per_s,
            |limits| limits.measuring_burst_bytes,
        ),
        remote: whole(
            |limits| limits.cross_region_bytes_per_s,
            |limits| limits.cross_region_burst_bytes,
        ),
        exchange_bytes: EXCHANGE_BYTES,
    }
}

/// The targets of the entries without duplicates, by name.
pub(crate) fn targets(entries: &[(Box<str>, Entry)]) -> Vec<entry::Target> {
    let mut targets: Vec<entry::Target> = Vec::new();
    for target in entries.iter().flat_map(|(_, entry)| &entry.targets) {
        if !targets.iter().any(|known| known.name == target.name) {
            targets.push(target.clone());
        }
    }
    targets
}
