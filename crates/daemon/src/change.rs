//! Applies catalogue changes to the routes, services and quotas.

use oriolecleat_core::entry;
use oriolecleat_core::entry::Entry;
use oriolecleat_core::leaving;
use oriolecleat_core::map::Map;
use oriolecleat_core::map::Set;
use oriolecleat_core::route;
use oriolecleat_core::site::plan::Plan;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

use crate::host::Effect;
use crate::metrics::Count;
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

    /// Updates the quotas to the entries in force and the size of the fleet.
    pub(crate) fn update_quotas(&mut self) {
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
        let entries = self.routes.services().flat_map(|(_, entries)| entries);
        let named: Set<&str> = entries.map(|(name, _)| &**name).collect();
        self.entries.retain(|name, _| named.contains(&**name));
        let kept: Set<quota::Key> = self.entries.values().copied().collect();
        self.quotas.retain(|key, _| kept.contains(&key));
    }

    /// Applies changed keys of the catalogue.
    pub(crate) fn apply_keys(&mut self, keys: &[Box<str>]) {
        let now = self.clock.now();
        let removed = self.removal_age.map(|age| now - age);
        let catching_up = self.is_catching_up();
        let Some(hosted) = &mut self.hosted else {
            return self.apply();
        };
        if !catching_up {
            hosted.registry.set_complete();
        }
        if hosted.record_era(now, self.catalogue.era()) {
            self.metrics.add(Count::StoreRestores, 1);
        }
        let mut replanned = false;
        let mut services: Set<Box<str>> = Set::default();
        for key in keys {
            match hosted.apply_key(now, removed, &self.catalogue, key) {
                Effect::Plan => replanned = true,
                Effect::Targets(changed) => services.extend(changed),
            }
        }
        if replanned {
            let plan = hosted.plan.as_ref();
            let unread = plan.map_or(0, Plan::unread_classes);
            self.metrics.add(Count::UnreadClasses, unread);
            self.apply();
            let took_ms = self.clock.now().since(now).as_millis();
            log::info!(took_ms; "plan decoded and applied");
        } else if !services.is_empty() {
            self.update_targets(&services);
        }
        self.update_homes();
    }

    /// Removes registrations that vanished, also in an outage of the store, and did not come back
    /// in time.
    pub(crate) fn expire_registrations(&mut self) {
        let now = self.clock.now();
        let Some(hosted) = &mut self.hosted else {
            return;
        };
        let services: Set<Box<str>> = hosted.expire(now).into_iter().collect();
        if !services.is_empty() {
            self.update_targets(&services);
        }
    }

    /// The entries in force, by name.
    fn entries_in_force(&self) -> Vec<(Box<str>, Entry)> {
        match &self.hosted {
            Some(hosted) => hosted.plan.iter().flat_map(Plan::entries).collect(),
            None => self.catalogue.cloned_entries().collect(),
        }
    }

    /// The targets of `service`, whose entries are `entries`.
    fn targets_of(&self, service: &str, entries: &[(Box<str>, Entry)]) -> Vec<entry::Target> {
        match &self.hosted {
            Some(hosted) => {
                let region = |data_center: &str| hosted.settings.region(data_center);
                hosted.registry.targets(service, region)
            }
            None => service::targets(entries),
        }
    }

    /// Until when the targets of `service` are slow after their start, by id.
    fn cold_targets(&self, service: &str) -> Map<Box<str>, Instant> {
        let now = self.clock.now();
        let Some(hosted) = &self.hosted else {
            return Map::default();
        };
        let bound = hosted.cold_bound(service);
        let start = bound.map_or(Span::ZERO, |bound| bound.start);
        let cold = hosted.registry.cold_until(service, start);
        cold.filter(|(_, until)| *until > now)
            .map(|(id, until)| (id.into(), until))
            .collect()
    }

    /// Updates the targets of `services` from the registrations.
    fn update_targets(&mut self, services: &Set<Box<str>>) {
        let now = self.clock.now();
        let bounds = leaving::Bounds::from(&self.settings.evidence);
        for name in services {
            let Some(key) = self.names.get(name).copied() else {
                continue;
            };
            let targets = self.targets_of(name, &[]);
            let cold = self.cold_targets(name);
            if let Some(service) = self.services.get_mut(key) {
                let cold = |id: &str| cold.get(id).copied();
                service.balancer.update(now, &targets, cold);
                service.sync_targets(bounds);
            }
        }
        self.homes_outdated = true;
        self.release_connections();
    }

    /// Closes idle connections to addresses that no target has.
    fn release_connections(&mut self) {
        let services = self.services.values();
        let targets = services.flat_map(|service| service.balancer.targets().iter());
        let addresses = targets.map(|(_, target)| target.spec.address).collect();
        self.pool.retain(&addresses);
    }

    /// Rebuilds routes and updates services from the entries in force.
    pub(crate) fn apply(&mut self) {
        self.routes = route::Table::build(self.entries_in_force().into_iter());
        self.applied += 1;
        let now = self.clock.now();
        let place = self.place();
        let ceiling = self.vm_ceiling();
        let bounds = leaving::Bounds::from(&self.settings.evidence);
        let hosted = self.hosted.is_some();
        let mut named = Set::default();
        for (name, entries) in self.routes.services() {
            let limits = service::limits(entries, ceiling);
            let targets = self.targets_of(name, entries);
            let cold = self.cold_targets(name);
            let key = *self.names.entry(name.into()).or_insert_with(|| {
                self.services.insert(Service::new(
                    now,
                    name,
                    place.clone(),
                    limits.clone(),
                    hosted,
                ))
            });
            named.insert(key);
            if let Some(service) = self.services.get_mut(key) {
                service.balancer.set_limits(now, limits);
                let hosted = self.hosted.as_ref();
                let bound = hosted.and_then(|hosted| hosted.cold_bound(&service.name));
                service.balancer.set_cold_bound(bound);
                let cold = |id: &str| cold.get(id).copied();
                service.balancer.update(now, &targets, cold);
                service.sync_targets(bounds);
            }
        }
        for (key, service) in &mut self.services {
            if !named.contains(&key) {
                service.balancer.update(now, &[], |_| None);
                service.sync_targets(bounds);
            }
        }
        self.update_quotas();
        self.homes_outdated = true;
        self.release_connections();
    }
}
