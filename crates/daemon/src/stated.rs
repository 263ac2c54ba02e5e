//! What targets state of themselves in their answers.

use hyper::HeaderMap;
use oriolecleat_core::stated::Change;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;

use crate::metrics::Count;
use crate::node::Node;
use crate::service;

impl Node {
    /// Records what the answer to the request `id`, sent at `sent`, states of its target.
    pub(crate) fn record_statement(
        &mut self,
        service: service::Key,
        target: target::Key,
        sent: Instant,
        id: &str,
        headers: &HeaderMap,
    ) {
        let now = self.clock.now();
        let statement = (self.dialect.stated)(headers);
        if let Some(Err(_)) = statement.limit {
            self.metrics.add(Count::UnreadableStatements, 1);
        }
        let Some(found) = self.services.get_mut(service) else {
            return;
        };
        let change = found
            .balancer
            .record_statement(now, target, sent, statement);
        let (Some(change), Some(known)) = (change, found.balancer.targets().get(target)) else {
            return;
        };
        let (service, target) = (&*found.name, &*known.spec.name);
        match change {
            Change::Limited(per_s) => {
                log::info!(service, target, per_s, id; "target states a limit");
            }
            Change::Unlimited => log::info!(service, target, id; "target states no limit any more"),
        }
    }
}
