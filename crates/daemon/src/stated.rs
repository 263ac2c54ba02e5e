//! What targets state of themselves in their answers.

use oriolecleat_core::stated::Change;
use oriolecleat_core::stated::Statement;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

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
        statement: Statement,
    ) {
        let now = self.clock.now();
        let unreadable = statement.unreadable();
        self.metrics.add(Count::UnreadableStatements, unreadable);
        let Some(found) = self.services.get_mut(service) else {
            return;
        };
        let changes = found
            .balancer
            .record_statement(now, target, sent, statement);
        for change in changes {
            self.log_statement(service, target, id, change);
            match change {
                Change::Leaving => self.record_stated_leaving(service, target, sent),
                Change::Limited(_) => self.update_users(),
                Change::Unlimited | Change::Waiting(_) => {}
            }
        }
    }

    /// Tells the peers that a target states that it leaves.
    fn record_stated_leaving(&mut self, service: service::Key, target: target::Key, sent: Instant) {
        let now = self.clock.now();
        let found = self.services.get_mut(service);
        if found.is_some_and(|found| found.record_answer(now, target, sent, true)) {
            self.record_leaving(service, target, "stated on an answer");
        }
    }

    fn log_statement(&self, service: service::Key, target: target::Key, id: &str, change: Change) {
        let Some(found) = self.services.get(service) else {
            return;
        };
        let Some(known) = found.balancer.targets().get(target) else {
            return;
        };
        let (service, target) = (&*found.name, &*known.spec.name);
        match change {
            Change::Limited(per_s) => {
                log::info!(service, target, per_s, id; "target states a limit");
            }
            Change::Unlimited => log::info!(service, target, id; "target states no limit any more"),
            Change::Leaving => log::info!(service, target, id; "target states that it leaves"),
            Change::Waiting(wait) => {
                let wait_ms = Span::as_millis(wait);
                log::info!(service, target, wait_ms, id; "target states a wait");
            }
        }
    }
}
