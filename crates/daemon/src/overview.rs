//! Readiness, the operator pages for the view, the fleet and the audit trail, and address answers.

use oriolecleat_core::address;
use oriolecleat_core::address::Candidate;
use oriolecleat_core::address::Place;
use oriolecleat_core::audit;
use oriolecleat_core::member::Member;
use oriolecleat_core::member::State;
use oriolecleat_core::ticket::Ticket;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;

use crate::halt;
use crate::node::Node;
use crate::query::Answer;
use crate::query::Filter;

impl Node {
    /// Reasons why this VM should not be used; empty if it is ready.
    pub(crate) fn unready_reasons(&self) -> Vec<&'static str> {
        let mut reasons = Vec::new();
        let planless = self
            .hosted
            .as_ref()
            .is_some_and(|hosted| hosted.plan.is_none());
        if planless || self.catalogue.records().next().is_none() {
            reasons.push("no_catalogue");
        }
        if self.is_catching_up() {
            reasons.push("catching_up");
        }
        // A platform's store may be unreachable for long; the last state read then stays in force.
        if self.hosted.is_none() && self.reader.is_stale(self.clock.now()) {
            reasons.push("view_stale");
        }
        if !self.phase().is_advertised() {
            reasons.push(halt::name(self.phase()));
        }
        reasons
    }

    /// Whether this VM has started and does not know yet what a platform's store holds: what it has
    /// read or received so far was never confirmed to be complete. It then may lack an order that
    /// takes a data centre out of service, as keys arrive in any order.
    pub(crate) fn is_catching_up(&self) -> bool {
        self.hosted.is_some() && self.view_age_ms().is_none()
    }

    pub(crate) fn view_age_ms(&self) -> Option<u64> {
        let age = self.reader.age(self.clock.now());
        age.map(Span::as_millis)
    }

    pub(crate) fn view_status(&self) -> Value {
        let stale = self.reader.is_stale(self.clock.now());
        let reader = *self.links.reading.borrow();
        json!({ "age_ms": self.view_age_ms(), "stale": stale, "reader": reader })
    }

    pub(crate) fn vm_list_status(&self) -> Value {
        let age = self.vm_list.age(self.clock.now());
        json!({ "age_ms": age.map(Span::as_millis), "vms": self.vm_list.iter().count() })
    }

    pub(crate) fn member_counts(&self) -> Value {
        let now = self.clock.now();
        let count = |state: State| {
            let members = self.gossip.fleet().iter();
            members
                .filter(|member| member.effective_state(now) == state)
                .count()
        };
        json!({
            "alive": count(State::Alive),
            "suspect": count(State::Suspect),
            "leaving": count(State::Leaving),
            "dead": count(State::Dead),
        })
    }

    pub(crate) fn explain_vm(&self, name: &str) -> Answer {
        let member = self
            .gossip
            .fleet()
            .get(name)
            .map(|member| self.member(member));
        let mut targets = Vec::new();
        for service in self.services.values() {
            for (_, target) in service.balancer.targets().iter() {
                if *target.spec.vm == *name {
                    targets.push(json!({
                        "service": service.name,
                        "name": target.spec.name,
                        "standing": self.standing(service, &target.spec.name),
                    }));
                }
            }
        }
        let listed = self.vm_list.get(name).map(|vm| {
            json!({
                "state": vm.state,
                "region": vm.region,
                "data_center": vm.data_center,
                "age_ms": self.vm_list.age(self.clock.now()).map(Span::as_millis),
            })
        });
        if member.is_none() && listed.is_none() && targets.is_empty() {
            return Answer::unknown(&format!("no VM named {name}"));
        }
        Answer::ok(json!({ "name": name, "member": member, "vm_list": listed, "targets": targets }))
    }

    pub(crate) fn fleet_page(&self) -> Value {
        let members = self.gossip.fleet().iter().map(|member| self.member(member));
        json!({ "vm": self.settings.vm, "members": members.collect::<Vec<Value>>() })
    }

    fn member(&self, member: &Member) -> Value {
        let now = self.clock.now();
        let record = member.record();
        json!({
            "vm": record.vm,
            "incarnation": record.incarnation,
            "sequence": record.sequence,
            "state": state(member.effective_state(now)),
            "region": record.region,
            "data_center": record.data_center,
            "directory": record.directory.to_string(),
            "caller": record.caller.to_string(),
            "peer": record.peer.to_string(),
            "uptime_ms": member.uptime(now).as_millis(),
            "build": record.build,
            "link": self.gossip.linked().any(|vm| *vm == *record.vm),
        })
    }

    pub(crate) fn audit_page(&self, filter: &Filter) -> Value {
        let query = audit::Query {
            subject: filter.subject.clone(),
            kind: filter.kind.clone(),
            after_ms: filter
                .after
                .as_ref()
                .and_then(|after| after.parse().ok())
                .unwrap_or(0),
            newest: filter.limit,
        };
        let records = self.audit.query(&query);
        let cursor = records.iter().map(|record| record.wall_ms).max();
        let cursor = cursor.unwrap_or(query.after_ms).to_string();
        let rows: Vec<Value> = records.iter().map(audit_row).collect();
        json!({ "cursor": cursor, "records": rows })
    }

    pub(crate) fn addresses(&mut self, service: &str) -> Answer {
        let now = self.clock.now();
        let candidates = self.candidates(now);
        let place = Place {
            region: &self.settings.region,
            data_center: &self.settings.data_center,
        };
        self.address_answers = self.address_answers.wrapping_add(1);
        let ttl = self.settings.stop.address_ttl;
        let mut addresses = Vec::new();
        for candidate in address::choose(place, &candidates, self.address_answers) {
            let Some(member) = self.gossip.fleet().get(&candidate.vm) else {
                continue;
            };
            let ticket = Ticket {
                vm: candidate.vm.clone(),
                incarnation: candidate.incarnation,
                id: self.rng.random(),
                expires_us: (member.uptime(now) + ttl).as_micros(),
            };
            addresses.push(json!({
                "vm": candidate.vm,
                "address": candidate.address.to_string(),
                "ticket": self.issuer.sign(&ticket),
            }));
        }
        Answer::ok(json!({
            "service": service,
            "ttl_ms": ttl.as_millis(),
            "addresses": addresses,
        }))
    }

    pub(crate) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let candidate = |member: &Member| {
            let record = member.record();
            Candidate {
                vm: record.vm.clone(),
                incarnation: record.incarnation,
                address: record.caller,
                region: record.region.clone(),
                data_center: record.data_center.clone(),
                state: if self.is_listed_leaving(&record.vm) {
                    State::Leaving
                } else {
                    member.effective_state(now)
                },
                capacity: record.capacity,
            }
        };
        self.gossip.fleet().iter().map(candidate).collect()
    }
}

fn audit_row(record: &audit::Record) -> Value {
    json!({
        "seq": record.seq,
        "vm": record.vm,
        "incarnation": record.incarnation,
        "wall_ms": record.wall_ms,
        "kind": record.kind,
        "subject": record.subject,
        "version": record.version,
        "source": record.source,
        "cause": record.cause,
    })
}

const fn state(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    }
}
