//! Takes catalogue changes into use.

use oriolecleat_core::catalogue::Verdict;
use oriolecleat_core::map::Set;
use oriolecleat_core::route;
use oriolecleat_core::version::Version;
use serde_json::Value;

use crate::metrics::Count;
use crate::node::Node;
use crate::service;
use crate::service::Service;

/// Largest number of entry VM processes alive at once until the catalogue states it.
const DEFAULT_VM_CEILING: u64 = 64;

impl Node {
    /// Offers catalogue content read from the configuration service.
    pub(crate) fn offer(&mut self, key: &str, revision: u64, text: Option<&str>) {
        let generation = text.map_or(0, generation);
        let version = Version {
            generation,
            revision,
        };
        match self.catalogue.offer(key, version, text) {
            Verdict::Accepted => {
                log::info!(key, revision; "catalogue change accepted");
                self.metrics.add(Count::CatalogueAccepted, 1);
                self.apply();
            }
            Verdict::Rejected(faults) => {
                let faults = format!("{faults:?}");
                log::warn!(key, revision, faults = faults.as_str(); "catalogue change rejected");
                self.metrics.add(Count::CatalogueRejected, 1);
            }
            Verdict::Known | Verdict::Behind => {}
        }
    }

    /// Brings routes and services in line with the catalogue.
    pub(crate) fn apply(&mut self) {
        self.routes = route::Table::build(&self.catalogue);
        let now = self.clock.now();
        let place = self.place();
        let mut named = Set::default();
        for (name, entries) in self.routes.services() {
            let limits = service::limits(entries, DEFAULT_VM_CEILING);
            let targets = service::targets(entries);
            let key = *self.names.entry(name.into()).or_insert_with(|| {
                self.services
                    .insert(Service::new(name, place.clone(), limits.clone()))
            });
            named.insert(key);
            if let Some(service) = self.services.get_mut(key) {
                service.balancer.limit(limits);
                service.balancer.update(now, &targets);
            }
        }
        for (key, service) in &mut self.services {
            if !named.contains(&key) {
                service.balancer.update(now, &[]);
            }
        }
    }
}

/// The generation written in the text of an entry, zero if there is none.
fn generation(text: &str) -> u64 {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    value.get("generation").and_then(Value::as_u64).unwrap_or(0)
}
