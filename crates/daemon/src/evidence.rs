//! Evidence about the targets of a service, from which the balancer learns which of them may get
//! requests: answers, probes, refused connections, news of peers and the VM list.

use std::net::SocketAddr;

use oriolecleat_core::leaving;
use oriolecleat_core::leaving::Evidence;
use oriolecleat_core::leaving::Listed;
use oriolecleat_core::leaving::Probe;
use oriolecleat_core::target;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use slotmap::SecondaryMap;

use crate::service::Service;

/// Evidence by target.
pub(crate) type Map = SecondaryMap<target::Key, Evidence>;

impl Service {
    /// Keeps evidence for exactly the targets of the balancer.
    pub(crate) fn sync_targets(&mut self, bounds: leaving::Bounds) {
        let targets = self.balancer.targets();
        self.evidence.retain(|key, _| targets.get(key).is_some());
        for (key, _) in targets.iter() {
            if !self.evidence.contains_key(key) {
                self.evidence.insert(key, Evidence::new(bounds));
            }
        }
    }

    /// Updates the standing of each target in the balancer. Evidence ages without any event, so
    /// this has to run before every decision.
    pub(crate) fn update_standings(&mut self, now: Instant) {
        let can_probe = self.balancer.can_probe();
        for (key, evidence) in &self.evidence {
            let standing = standing(now, evidence, can_probe);
            self.balancer.set_standing(key, standing);
        }
    }

    /// Whether the target may get a request at `now`.
    pub(crate) fn is_fit(&self, now: Instant, target: target::Key) -> bool {
        let can_probe = self.balancer.can_probe();
        let evidence = self.evidence.get(target);
        evidence.is_some_and(|evidence| standing(now, evidence, can_probe) == Standing::Open)
            && !self.balancer.is_closed(now, target)
    }

    /// Number of targets that get no new work because they are leaving.
    pub(crate) fn leaving_count(&self, now: Instant) -> u64 {
        let leaves = |evidence: &&Evidence| evidence.standing(now) == leaving::Standing::Leaving;
        self.evidence.values().filter(leaves).count() as u64
    }

    /// Records an answer to a request sent at `sent`. Returns whether peers have to be told.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        target: target::Key,
        sent: Instant,
        draining: bool,
    ) -> bool {
        let evidence = self.evidence.get_mut(target);
        evidence.is_some_and(|evidence| evidence.record_answer(now, sent, draining))
    }

    /// Records the result of a probe sent at `sent`. Returns whether peers have to be told.
    pub(crate) fn record_probe(
        &mut self,
        now: Instant,
        target: target::Key,
        sent: Instant,
        probe: Probe,
    ) -> bool {
        self.balancer.end_confirmation(target);
        let evidence = self.evidence.get_mut(target);
        evidence.is_some_and(|evidence| evidence.record_probe(now, sent, probe))
    }

    /// Records the news of a peer that the target at `address` is leaving. The gossip passes it on
    /// to the other peers.
    pub(crate) fn record_departure(
        &mut self,
        now: Instant,
        address: SocketAddr,
        news: leaving::News,
    ) {
        for (key, target) in self.balancer.targets().iter() {
            if target.spec.address == address
                && let Some(evidence) = self.evidence.get_mut(key)
            {
                let _ = evidence.record_news(now, news);
            }
        }
    }

    /// Records the state of `vm` in a VM list that is `age` old. Returns the targets of which peers
    /// have to be told.
    pub(crate) fn record_listing(
        &mut self,
        now: Instant,
        vm: &str,
        listed: Listed,
        age: Span,
    ) -> Vec<target::Key> {
        let mut news = Vec::new();
        for (key, target) in self.balancer.targets().iter() {
            if *target.spec.vm == *vm
                && let Some(evidence) = self.evidence.get_mut(key)
                && evidence.record_listing(now, listed, age)
            {
                news.push(key);
            }
        }
        news
    }

    /// Records that the target refused a connection. Returns whether peers have to be told.
    pub(crate) fn record_refused_connection(&mut self, now: Instant, target: target::Key) -> bool {
        let evidence = self.evidence.get_mut(target);
        evidence.is_some_and(|evidence| evidence.record_refusal(now))
    }
}

/// The standing of a target by its `evidence`. A target that only refused a connection is probed,
/// so that it gets work again as soon as it is back.
///
/// Where the measuring budget allows no probe, a target that is not known to leave gets work
/// without confirmation: otherwise its entry would never be served.
fn standing(now: Instant, evidence: &Evidence, can_probe: bool) -> Standing {
    match evidence.standing(now) {
        leaving::Standing::Unconfirmed if can_probe => Standing::Unconfirmed,
        leaving::Standing::Unconfirmed | leaving::Standing::Usable => Standing::Open,
        leaving::Standing::Leaving if can_probe && evidence.wants_probe(now) => {
            Standing::Unconfirmed
        }
        leaving::Standing::Leaving => Standing::Leaving,
    }
}
