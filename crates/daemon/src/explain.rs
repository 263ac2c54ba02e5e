//! Answers questions about the node's state.

use oriolecleat_core::ticket::Ticket;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;

use crate::node::Node;
use crate::query::Question;
use crate::service::Service;

impl Node {
    /// Answers a question of an HTTP handler.
    pub(crate) fn answer(&mut self, question: Question) -> Value {
        match question {
            Question::Addresses(service) => self.addresses(&service),
            Question::Status => json!({
                "vm": self.settings.vm,
                "incarnation": self.incarnation,
                "revision": self.revision,
                "uptime_ms": self.clock.now().as_micros() / 1_000,
                "totals": self.metrics.totals(),
                "services": self.services.values().map(service).collect::<Vec<Value>>(),
            }),
        }
    }

    fn addresses(&mut self, service: &str) -> Value {
        let now = self.clock.now();
        let ttl = self.settings.stop.address_ttl;
        let ticket = Ticket {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            id: self.rng.random(),
            expires_us: (now + ttl).as_micros(),
        };
        json!({
            "service": service,
            "ttl_ms": ttl.as_millis(),
            "addresses": [{
                "vm": self.settings.vm,
                "address": self.settings.listen.caller.to_string(),
                "ticket": self.issuer.sign(&ticket),
            }],
        })
    }
}

fn service(service: &Service) -> Value {
    json!({
        "service": service.name,
        "targets": service.balancer.targets().iter().count(),
        "in_flight": service.in_flight(),
        "waiting": service.balancer.waiting(),
    })
}
