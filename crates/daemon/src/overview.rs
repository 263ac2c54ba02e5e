//! What the operator pages say of the view, the fleet and the audit trail.

use oriolecleat_core::ticket::Ticket;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;

use crate::halt;
use crate::node::Node;
use crate::query::Answer;
use crate::query::Filter;

impl Node {
    /// Why this VM should not be used; nothing if it should.
    pub(crate) fn unready(&self) -> Vec<&'static str> {
        let mut reasons = Vec::new();
        if self.catalogue.entries().next().is_none() {
            reasons.push("no_catalogue");
        }
        if !self.phase().is_named() {
            reasons.push(halt::name(self.phase()));
        }
        reasons
    }

    pub(crate) fn view_age_ms(&self) -> Option<u64> {
        None
    }

    pub(crate) fn view_status(&self) -> Value {
        json!({ "age_ms": self.view_age_ms() })
    }

    pub(crate) fn vm_list_status(&self) -> Value {
        json!({ "age_ms": null })
    }

    pub(crate) fn member_counts(&self) -> Value {
        json!({ "alive": self.members_alive })
    }

    pub(crate) fn links(&self) -> usize {
        0
    }

    pub(crate) fn explain_vm(&self, name: &str) -> Answer {
        Answer::unknown(&format!("no VM named {name}"))
    }

    pub(crate) fn fleet_page(&self) -> Value {
        json!({ "vm": self.settings.vm, "members": [] })
    }

    pub(crate) fn audit_page(&self, _filter: &Filter) -> Value {
        json!({ "records": [] })
    }

    pub(crate) fn addresses(&mut self, service: &str) -> Answer {
        let now = self.clock.now();
        let ttl = self.settings.stop.address_ttl;
        let ticket = Ticket {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            id: self.rng.random(),
            expires_us: (now + ttl).as_micros(),
        };
        Answer::ok(json!({
            "service": service,
            "ttl_ms": ttl.as_millis(),
            "addresses": [{
                "vm": self.settings.vm,
                "address": self.settings.listen.caller.to_string(),
                "ticket": self.issuer.sign(&ticket),
            }],
        }))
    }
}
