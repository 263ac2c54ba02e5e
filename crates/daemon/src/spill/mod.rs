//! Passes the prices and the fleet to spillover, and its counts to the metrics and the log.

use oriolecleat_core::map::Map;
use oriolecleat_core::place::spill::Reason;
use oriolecleat_core::place::spill::Scope;
use oriolecleat_core::place::spill::Tally;
use oriolecleat_core::place::spill::Terms;

use crate::metrics::Count;
use crate::node::Node;

/// The counts of the calls and of the bytes that left for each reason.
const COUNTS: [(Scope, Reason, Count, Count); 8] = [
    (
        Scope::DataCenter,
        Reason::Full,
        Count::SpillDataCenterFullCalls,
        Count::SpillDataCenterFullBytes,
    ),
    (
        Scope::DataCenter,
        Reason::Slow,
        Count::SpillDataCenterSlowCalls,
        Count::SpillDataCenterSlowBytes,
    ),
    (
        Scope::DataCenter,
        Reason::NoneOpen,
        Count::SpillDataCenterNoneOpenCalls,
        Count::SpillDataCenterNoneOpenBytes,
    ),
    (
        Scope::DataCenter,
        Reason::Cheaper,
        Count::SpillDataCenterCheaperCalls,
        Count::SpillDataCenterCheaperBytes,
    ),
    (
        Scope::Region,
        Reason::Full,
        Count::SpillRegionFullCalls,
        Count::SpillRegionFullBytes,
    ),
    (
        Scope::Region,
        Reason::Slow,
        Count::SpillRegionSlowCalls,
        Count::SpillRegionSlowBytes,
    ),
    (
        Scope::Region,
        Reason::NoneOpen,
        Count::SpillRegionNoneOpenCalls,
        Count::SpillRegionNoneOpenBytes,
    ),
    (
        Scope::Region,
        Reason::Cheaper,
        Count::SpillRegionCheaperCalls,
        Count::SpillRegionCheaperBytes,
    ),
];

impl Node {
    /// Applies the prices in force and the members known, counts what left the data centre, and logs
    /// where leaving began and ended. Called once a second.
    pub(crate) fn update_spill(&mut self) {
        let Some(hosted) = &self.hosted else {
            return;
        };
        let prices = hosted.settings.prices.clone();
        let now = self.clock.now();
        let mut vms: Map<Box<str>, usize> = Map::default();
        for candidate in self.candidates(now) {
            *vms.entry(candidate.data_center).or_default() += 1;
        }
        for service in self.services.values_mut() {
            let terms = Terms {
                prices: prices.clone(),
                ..Terms::default()
            };
            service.balancer.set_spill(terms, vms.clone());
            for change in service.balancer.take_spill_changes(now) {
                let (service, data_center) = (&*service.name, &*change.data_center);
                if let Some(reason) = change.began {
                    log::info!(service, data_center, reason:? = reason; "calls leave for another data centre");
                } else {
                    let calls = change.calls;
                    log::info!(service, data_center, calls; "calls no longer leave for another data centre");
                }
            }
        }
        for (scope, reason, calls, bytes) in COUNTS {
            let tallies = self.services.values();
            let tallies = tallies.filter_map(|service| service.balancer.spilled());
            let totals = tallies.map(|tally: &Tally| tally.total(scope, reason));
            let (sent, carried) = totals.fold((0, 0), |(sent, carried), total| {
                (sent + total.calls, carried + total.bytes)
            });
            self.metrics.set(calls, sent);
            self.metrics.set(bytes, carried);
        }
    }
}
