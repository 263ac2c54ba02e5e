//! Takes catalogue changes into use.

use oriolecleat_core::leaving;
use oriolecleat_core::map::Set;
use oriolecleat_core::route;

use crate::node::Node;
use crate::quota;
use crate::quota::Division;
use crate::quota::Quota;
use crate::service;
use crate::service::Service;

/// Largest number of entry VM processes alive at once until the catalogue states it.
const DEFAULT_VM_CEILING: u64 = 64;

impl Node {
    /// Largest number of entry VM processes alive at once.
    pub(crate) fn vm_ceiling(&self) -> u64 {
        let constants = self.catalogue.constants();
        constants.map_or(DEFAULT_VM_CEILING, |constants| constants.vm_ceiling)
    }

    /// How limits are divided over the fleet now.
    pub(crate) fn division(&self) -> Division {
        Division {
            members: self.members_alive,
            ceiling: self.vm_ceiling(),
        }
    }

    /// Brings quotas in line with the entries in force and the fleet.
    pub(crate) fn divide(&mut self) {
        let now = self.clock.now();
        let division = self.division();
        let entries = self.routes.services().flat_map(|(_, entries)| entries);
        for (name, entry) in entries {
            let limits = &entry.limits;
            let key = *self.entries.entry(name.clone()).or_insert_with(|| {
                self.next_entry += 1;
                self.quotas
                    .insert(Quota::new(now, self.next_entry, limits, division))
            });
            if let Some(quota) = self.quotas.get_mut(key) {
                quota.update(now, limits, division);
                quota.retry.update(entry.retry.budget_percent);
            }
        }
        let routes = &self.routes;
        let is_named = |name: &str| {
            let mut entries = routes.services().flat_map(|(_, entries)| entries);
            entries.any(|(named, _)| **named == *name)
        };
        self.entries.retain(|name, _| is_named(name));
        let kept: Set<quota::Key> = self.entries.values().copied().collect();
        self.quotas.retain(|key, _| kept.contains(&key));
    }

    /// Brings routes and services in line with the catalogue.
    pub(crate) fn apply(&mut self) {
        self.routes = route::Table::build(&self.catalogue);
        self.applied += 1;
        let now = self.clock.now();
        let place = self.place();
        let ceiling = self.vm_ceiling();
        let bounds = leaving::Bounds::from(&self.settings.evidence);
        let mut named = Set::default();
        for (name, entries) in self.routes.services() {
            let limits = service::limits(entries, ceiling);
            let targets = service::targets(entries);
            let key = *self.names.entry(name.into()).or_insert_with(|| {
                self.services
                    .insert(Service::new(now, name, place.clone(), limits.clone()))
            });
            named.insert(key);
            if let Some(service) = self.services.get_mut(key) {
                service.balancer.limit(now, limits);
                service.balancer.update(now, &targets);
                service.align(bounds);
            }
        }
        for (key, service) in &mut self.services {
            if !named.contains(&key) {
                service.balancer.update(now, &[]);
                service.align(bounds);
            }
        }
        self.divide();
        let services = self.services.values();
        let targets = services.flat_map(|service| service.balancer.targets().iter());
        let addresses = targets.map(|(_, target)| target.spec.address).collect();
        self.pool.retain(&addresses);
    }
}
