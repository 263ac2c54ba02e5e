//! The timer task: ticks the balancers, advances a planned stop and reports metrics.

use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::metrics::Count;
use crate::metrics::Gauge;
use crate::node::Node;
use crate::node::Shared;
use crate::policy::Policy;

const IDLE_TICK: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the timer task until the process ends.
pub(crate) async fn run(node: Shared) {
    let notify = node.borrow().timer.clone();
    let mut report = Instant::now() + REPORT_INTERVAL;
    loop {
        let wait = {
            let mut node = node.borrow_mut();
            let next = node.tick();
            node.advance();
            let now = node.clock.now();
            next.map_or(IDLE_TICK, |next| {
                clock::duration(next.since(now)).min(IDLE_TICK)
            })
        };
        if Instant::now() >= report {
            report = Instant::now() + REPORT_INTERVAL;
            let mut node = node.borrow_mut();
            let gauges = gauges(&node);
            count_bytes(&mut node);
            node.update_spill();
            node.metrics.report(&gauges);
        }
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = notify.notified() => {}
        }
    }
}

fn count_bytes(node: &mut Node) {
    let balancers = || node.services.values().map(|service| &service.balancer);
    let measuring = balancers().map(Policy::measuring_bytes).sum();
    let remote = balancers().map(Policy::remote_bytes).sum();
    node.metrics.set(Count::MeasuringBytes, measuring);
    node.metrics.set(Count::CrossRegionBytes, remote);
}

/// Current values of all gauges but those that are derived from histograms.
pub(crate) fn gauges(node: &Node) -> Vec<(Gauge, u64)> {
    let sum = |count: fn(&crate::service::Service) -> u64| -> u64 {
        node.services.values().map(count).sum()
    };
    let now = node.clock.now();
    let leaving = node
        .services
        .values()
        .map(|service| service.leaving_count(now))
        .sum();
    let mut gauges = vec![
        (Gauge::TargetsLeaving, leaving),
        (Gauge::InFlight, node.in_flight.count()),
        (Gauge::AnswersHeld, node.buffered.in_use()),
        (Gauge::BodiesHeld, node.bodies.in_use()),
        (Gauge::ReadAhead, node.read_ahead.in_use()),
        (Gauge::Lingering, node.lingering.in_use()),
        (Gauge::Links, node.gossip.linked().count() as u64),
        (Gauge::Members, node.members_alive),
        (
            Gauge::Waiting,
            sum(|service| service.balancer.waiting() as u64),
        ),
    ];
    let withdrawn = node
        .hosted
        .as_ref()
        .map(|hosted| hosted.registry.withdrawn());
    gauges.extend(withdrawn.map(|orders| (Gauge::DataCentersOut, orders.count() as u64)));
    if node.hosted.is_some() {
        gauges.push((Gauge::StoreEra, node.catalogue.era()));
    }
    gauges.extend(node.view_age_ms().map(|age| (Gauge::ViewAgeMs, age)));
    gauges
}
