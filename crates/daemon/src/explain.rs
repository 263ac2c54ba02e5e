//! Answers queries about the node's state, and explains entries and targets to operators.

use oriolecleat_core::catalogue::Record;
use oriolecleat_core::catalogue::Rejected;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::catalogue::Valid;
use oriolecleat_core::catalogue::Value as Content;
use oriolecleat_core::entry::Entry;
use oriolecleat_core::leaving;
use oriolecleat_core::limit;
use oriolecleat_core::target;
use oriolecleat_core::target::Target;
use serde_json::Value;
use serde_json::json;

use crate::halt;
use crate::node::Node;
use crate::query::Answer;
use crate::query::Question;
use crate::quota::Quota;
use crate::service::Service;
use crate::timer;

/// Leading bytes of a digest that the pages show.
const DIGEST_BYTES: usize = 8;

impl Node {
    /// Answers a question of an HTTP handler.
    pub(crate) fn answer(&mut self, question: Question) -> Answer {
        match question {
            Question::Addresses(service) => self.addresses(&service),
            Question::Homes(query) => self.home_addresses(&query),
            Question::Health => Answer::ok(json!({ "state": "alive" })),
            Question::Readiness => self.readiness(),
            Question::Metrics => Answer::text(self.metrics.text(&timer::gauges(self))),
            Question::Status => Answer::ok(self.status()),
            Question::Catalogue => Answer::ok(self.catalogue_page()),
            Question::Entry(name) => self.explain_entry(&name),
            Question::Target(service, name) => self.explain_target(&service, &name),
            Question::Vm(name) => self.explain_vm(&name),
            Question::Fleet => Answer::ok(self.fleet_page()),
            Question::Audit(filter) => Answer::ok(self.audit_page(&filter)),
        }
    }

    fn readiness(&self) -> Answer {
        let reasons = self.unready_reasons();
        let body = json!({ "ready": reasons.is_empty(), "reasons": reasons });
        if reasons.is_empty() {
            Answer::ok(body)
        } else {
            Answer::unavailable(body)
        }
    }

    fn status(&self) -> Value {
        let reasons = self.unready_reasons();
        let records = || self.catalogue.records().map(|(_, record)| record);
        let tombstones = records().filter(|record| record.is_tombstone()).count();
        let rejected = records().filter(|record| record.rejected.is_some()).count();
        let constants = self.catalogue.constants();
        let waiting = |service: &Service| service.balancer.waiting();
        json!({
            "vm": self.settings.vm,
            "incarnation": self.incarnation,
            "build": env!("CARGO_PKG_VERSION"),
            "region": self.settings.region,
            "data_center": self.settings.data_center,
            "fleet": self.settings.fleet,
            "state": halt::name(self.phase()),
            "uptime_ms": self.clock.now().as_micros() / 1_000,
            "ready": reasons.is_empty(),
            "reasons": reasons,
            "view": self.view_status(),
            "vm_list": self.vm_list_status(),
            "catalogue": {
                "entries": self.catalogue.entries().count(),
                "tombstones": tombstones,
                "rejected": rejected,
                "bytes": self.catalogue.bytes(),
                "vm_ceiling": constants.map(|constants| constants.vm_ceiling),
                "configuration_calls_per_s":
                    constants.map(|constants| constants.configuration_calls_per_s),
            },
            "members": self.member_counts(),
            "links": self.gossip.linked().count(),
            "requests": {
                "in_flight": self.in_flight.count(),
                "waiting": self.services.values().map(waiting).sum::<usize>(),
            },
            "services": self.services.values().map(|service| self.service(service)).collect::<Vec<_>>(),
            "totals": self.metrics.totals(),
            "inside_us": self.metrics.inside(),
        })
    }

    fn service(&self, service: &Service) -> Value {
        let now = self.clock.now();
        let keys = service.balancer.targets().iter().map(|(key, _)| key);
        let entries = self
            .routes
            .services()
            .find(|(name, _)| **name == *service.name);
        json!({
            "service": service.name,
            "entries": entries.map_or(0, |(_, entries)| entries.len()),
            "targets": service.balancer.targets().iter().count(),
            "usable": keys.filter(|key| service.is_fit(now, *key)).count(),
            "in_flight": service.in_flight(),
            "waiting": service.balancer.waiting(),
        })
    }

    fn catalogue_page(&self) -> Value {
        let mut records: Vec<(&str, &Record)> = self.catalogue.records().collect();
        records.sort_by_key(|(key, _)| *key);
        let keys: Vec<Value> = records
            .into_iter()
            .map(|(key, record)| key_row(key, record))
            .collect();
        json!({ "view_age_ms": self.view_age_ms(), "keys": keys })
    }

    fn explain_entry(&self, name: &str) -> Answer {
        let key = format!("entries/{name}");
        let Some(record) = self.catalogue.get(&key) else {
            return Answer::unknown(&format!("no entry named {name}"));
        };
        let entry = record.valid.as_ref().and_then(|valid| match &valid.value {
            Content::Entry(entry) => Some((valid, entry)),
            Content::Constants(_) | Content::Opaque | Content::Deleted => None,
        });
        let mut body = key_row(&key, record);
        body["name"] = json!(name);
        if let Some((valid, entry)) = entry {
            self.describe_entry(name, valid, entry, &mut body);
        }
        body["reasons"] = json!(entry_reasons(record));
        Answer::ok(body)
    }

    fn describe_entry(&self, name: &str, valid: &Valid, entry: &Entry, body: &mut Value) {
        let quota = self.entries.get(name).and_then(|key| self.quotas.get(*key));
        let service = self
            .names
            .get(&entry.service)
            .and_then(|key| self.services.get(*key));
        let shadows = self.routes.shadows();
        let shadowed_by: Vec<&str> = shadows
            .iter()
            .filter(|shadow| *shadow.entry == *name)
            .map(|shadow| &*shadow.by)
            .collect();
        body["version"] = json!(valid.mark.version);
        body["owner"] = json!(entry.owner);
        body["class"] = json!(entry.class);
        body["methods"] = json!(entry.methods);
        body["deadline_ms"] = json!(entry.deadline.as_millis());
        body["shadowed_by"] = json!(shadowed_by);
        body["limits"] = quota.map_or(Value::Null, |quota| self.limits(entry, quota, service));
        body["outcomes"] = quota.map_or(Value::Null, |quota| {
            let [ran, not_run, unknown] = quota.outcomes;
            json!({ "ran": ran, "not_run": not_run, "unknown": unknown })
        });
        let targets = entry.targets.iter().map(|target| {
            let standing = service.map_or("unconfirmed", |service| {
                self.standing(service, &target.name)
            });
            json!({ "name": target.name, "standing": standing })
        });
        body["targets"] = targets.collect();
    }

    fn limits(&self, entry: &Entry, quota: &Quota, service: Option<&Service>) -> Value {
        let limits = &entry.limits;
        let division = self.division();
        let share = |limit| limit::share(limit, division.members, division.ceiling);
        let waiting = service.map_or(0, |service| service.balancer.waiting());
        json!([
            { "name": "rate_per_s", "configured": limits.rate_per_s,
              "share": share(limits.rate_per_s), "refused": quota.rate_refused },
            { "name": "concurrency", "configured": limits.concurrency,
              "share": share(limits.concurrency), "used": quota.concurrency.in_use(),
              "refused": quota.concurrency_refused },
            { "name": "queue", "configured": limits.queue, "share": limits.queue, "used": waiting },
            { "name": "measuring_bytes_per_s", "configured": limits.measuring_bytes_per_s,
              "share": limits.measuring_bytes_per_s / division.ceiling },
            { "name": "cross_region_bytes_per_s", "configured": limits.cross_region_bytes_per_s,
              "share": limits.cross_region_bytes_per_s / division.ceiling },
        ])
    }

    pub(crate) fn standing(&self, service: &Service, target: &str) -> &'static str {
        let now = self.clock.now();
        let Some(key) = service.balancer.targets().find(target) else {
            return "unconfirmed";
        };
        match service
            .evidence
            .get(key)
            .map(|evidence| evidence.standing(now))
        {
            Some(leaving::Standing::Leaving) => "leaving",
            Some(leaving::Standing::Usable) if is_ejected(service, key) => "ejected",
            Some(leaving::Standing::Usable) => "usable",
            Some(leaving::Standing::Unconfirmed) | None => "unconfirmed",
        }
    }

    fn explain_target(&self, service_name: &str, name: &str) -> Answer {
        let service = self
            .names
            .get(service_name)
            .and_then(|key| self.services.get(*key));
        let found = service.and_then(|service| {
            let key = service.balancer.targets().find(name)?;
            Some((service, key, service.balancer.targets().get(key)?))
        });
        let Some((service, key, target)) = found else {
            return Answer::unknown(&format!(
                "service {service_name} has no target named {name}"
            ));
        };
        let now = self.clock.now();
        let news: Vec<Value> = service.evidence.get(key).map_or_else(Vec::new, |evidence| {
            let row = |news: leaving::News| {
                json!({ "kind": "leaving", "age_ms": news.age.as_millis(), "detail": format!("{:?}", news.source) })
            };
            evidence.news(now).map(row).collect()
        });
        let standing = self.standing(service, name);
        let estimate = &target.estimate;
        Answer::ok(json!({
            "service": service_name,
            "name": name,
            "address": target.spec.address.to_string(),
            "vm": target.spec.vm,
            "region": target.spec.region,
            "data_center": target.spec.data_center,
            "slots": target.spec.slots,
            "standing": standing,
            "evidence": news,
            "estimate": {
                "in_flight": target.in_flight,
                "latency_ms": estimate.mean_latency().map(|mean| mean * 1_000.0),
                "error_share": estimate.error_share(),
                "straggler": estimate.is_outlier(),
                "ejected": target.is_ejected(),
            },
            "reasons": [target_reason(standing)],
        }))
    }
}

fn is_ejected(service: &Service, key: target::Key) -> bool {
    let target = service.balancer.targets().get(key);
    target.is_some_and(Target::is_ejected)
}

fn target_reason(standing: &str) -> &'static str {
    match standing {
        "usable" => "usable: it answered recently without a sign of draining",
        "leaving" => "leaving: a source said so within the last minute",
        "ejected" => "ejected: it is slower or fails more than the others; it gets only trials",
        _ => "unconfirmed: a probe has to succeed before it gets work",
    }
}

fn key_row(key: &str, record: &Record) -> Value {
    let valid = record.valid.as_ref();
    let entry = valid.and_then(|valid| match &valid.value {
        Content::Entry(entry) => Some(entry),
        Content::Constants(_) | Content::Opaque | Content::Deleted => None,
    });
    let state = match valid.map(|valid| &valid.value) {
        Some(Content::Entry(_) | Content::Constants(_) | Content::Opaque) => "in_effect",
        Some(Content::Deleted) => "deleted",
        None => "rejected",
    };
    json!({
        "key": key,
        "state": state,
        "version": valid.map(|valid| valid.mark.version),
        "digest": valid.map(|valid| hex(&valid.mark.digest)),
        "source": valid.map(|valid| source(&valid.source)),
        "service": entry.map(|entry| &entry.service),
        "rejected": record.rejected.as_ref().map(rejected),
    })
}

fn rejected(rejected: &Rejected) -> Value {
    json!({
        "version": rejected.mark.version,
        "digest": hex(&rejected.mark.digest),
        "faults": rejected.faults,
    })
}

fn entry_reasons(record: &Record) -> Vec<String> {
    let valid = record
        .valid
        .as_ref()
        .map(|valid| valid.mark.version.revision);
    let rejected = record
        .rejected
        .as_ref()
        .map(|rejected| rejected.mark.version.revision);
    match (valid, rejected) {
        (Some(valid), Some(rejected)) => {
            vec![format!(
                "revision {rejected} is rejected; revision {valid} stays in effect"
            )]
        }
        (Some(valid), None) => vec![format!("revision {valid} is the highest one known")],
        (None, Some(rejected)) => {
            vec![format!(
                "revision {rejected} is rejected; no valid content is known"
            )]
        }
        (None, None) => Vec::new(),
    }
}

/// Description of the source of a content, for operators.
pub(crate) fn source(source: &Source) -> String {
    match source {
        Source::Service => "configuration service".to_owned(),
        Source::Peer(vm) => format!("peer {vm}"),
    }
}

fn hex(digest: &[u8; 32]) -> String {
    let mut first = [0; DIGEST_BYTES];
    first.copy_from_slice(&digest[..DIGEST_BYTES]);
    format!("{:016x}", u64::from_be_bytes(first))
}
