//! Logs requests whose callers leave before the answer; no other line tells of them while they wait.

use hyper::header::HeaderValue;
use oriolecleat_core::time::Instant;

use crate::exchange::Exchange;
use crate::node::Shared;
use crate::service;

/// A request that was admitted and has no answer yet. If it is dropped in this state, its caller left.
pub(crate) struct Unanswered {
    node: Shared,
    id: HeaderValue,
    service: service::Key,
    arrived: Instant,
    deadline: Instant,
    ended: bool,
}

impl Unanswered {
    /// The request of `exchange`, whose head was read at `arrived`.
    pub(crate) fn new(exchange: &Exchange, arrived: Instant) -> Self {
        Self {
            node: exchange.node.clone(),
            id: exchange.call.id_value(),
            service: exchange.service,
            arrived,
            deadline: exchange.deadline,
            ended: false,
        }
    }

    /// Records that there is an answer or a refusal.
    pub(crate) fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let node = self.node.borrow();
        let now = node.clock.now();
        let found = node.services.get(self.service);
        log::info!(
            id = self.id.to_str().unwrap_or_default(),
            service = found.map(|found| &*found.name),
            after_ms = now.since(self.arrived).as_millis(),
            left_ms = self.deadline.since(now).as_millis(),
            waiting = found.map(|found| found.balancer.waiting());
            "caller left before the answer"
        );
    }
}
