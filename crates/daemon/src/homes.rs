//! Assigns entry VMs (homes) to the callers of a platform and answers their address queries.

use std::net::SocketAddr;

use oriolecleat_core::address::Candidate;
use oriolecleat_core::entry;
use oriolecleat_core::home;
use oriolecleat_core::home::Target;
use oriolecleat_core::map::Map;
use oriolecleat_core::map::Set;
use oriolecleat_core::member::Member;
use oriolecleat_core::place::cold;
use oriolecleat_core::place::cold::SETTLE_AFTER;
use oriolecleat_core::site::directory;
use oriolecleat_core::site::directory::Homes;
use oriolecleat_core::site::directory::Query;
use oriolecleat_core::site::rule;
use oriolecleat_core::time::Instant;
use rand::RngExt;
use serde_json::json;

use crate::clock;
use crate::node::Node;
use crate::query::Answer;

/// Input of the assignment of homes; homes are assigned anew only when it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Basis {
    candidates: Vec<Candidate>,
    services: Vec<(Box<str>, Vec<Target>)>,
    regions: Set<Box<str>>,
    entrances: Entrances,
}

/// By service, the services whose homes get its calls: a caller asks for a host, and is told the homes
/// of the first service of this host.
pub(crate) type Entrances = Map<Box<str>, Set<Box<str>>>;

/// The entrances of the services of `rules`.
pub(crate) fn entrances(rules: &rule::Table) -> Entrances {
    let mut entrances = Entrances::default();
    for (first, services) in rules.services_by_host() {
        for service in services {
            let known = entrances.entry(service.into()).or_default();
            if !known.contains(first) {
                known.insert(first.into());
            }
        }
    }
    entrances
}

impl Node {
    /// Updates the homes to the current members and targets.
    pub(crate) fn update_homes(&mut self) {
        let Some(hosted) = &self.hosted else {
            return;
        };
        let now = self.clock.now();
        let candidates = self.candidates(now);
        // The comparison below copies the names of all targets, and this runs five times a second.
        if !self.homes_outdated && candidates == self.homes_basis.candidates {
            return;
        }
        self.homes_outdated = false;
        let mut services: Vec<(Box<str>, Vec<Target>)> = hosted
            .services()
            .into_iter()
            .map(|name| {
                let spots = self.home_targets(&name);
                (name, spots)
            })
            .collect();
        services.sort_by(|left, right| left.0.cmp(&right.0));
        let known = hosted
            .settings
            .regions
            .iter()
            .map(|region| region.name.clone());
        let regions: Set<Box<str>> = known.chain([self.settings.region.clone()]).collect();
        let basis = Basis {
            candidates,
            services,
            regions,
            entrances: hosted.entrances.clone(),
        };
        if basis == self.homes_basis {
            return;
        }
        let regions = basis.regions.iter();
        let homes: Homes = regions
            .map(|region| {
                let homes = home::assign(region, &basis.candidates, &basis.services);
                (region.clone(), homes)
            })
            .collect();
        self.homes_basis = basis;
        if homes == self.homes {
            return self.update_users();
        }
        let own = homes
            .get(&self.settings.region)
            .cloned()
            .unwrap_or_default();
        for (service, homes) in own {
            let mine = homes.iter().find(|home| home.vm == self.settings.vm);
            let targets = mine.map(|home| home.targets.iter().cloned().collect());
            let key = self.names.get(&service).copied();
            if let Some(found) = key.and_then(|key| self.services.get_mut(key)) {
                let count = mine.map(|home| home.targets.len());
                log::info!(service = &*service, homes = homes.len(), own_targets = count; "homes changed");
                found.balancer.set_own_targets(targets);
            }
        }
        self.homes = homes;
        self.update_users();
    }

    /// Tells each service how many VMs use each target that states a limit and that this VM may use.
    pub(crate) fn update_users(&mut self) {
        let vm = &*self.settings.vm;
        let homes = &self.homes;
        for service in self.services.values_mut() {
            let entrances = self.homes_basis.entrances.get(&service.name);
            let users = |spec: &entry::Target| {
                let region = homes.get(&spec.region);
                let services = entrances.into_iter().flatten();
                let senders = services
                    .filter_map(|service| region?.get(service))
                    .flatten();
                let users = home::users(&spec.name, senders.map(|home| &*home.vm));
                users
                    .contains(&vm)
                    .then(|| (spec.name.clone(), users.len()))
            };
            let limited = service.balancer.limited_targets().into_iter();
            let users = limited.filter_map(users).collect();
            service.balancer.set_users(users);
        }
    }

    /// Chooses the cold targets that this VM uses, among those of its region. A VM that has just
    /// started uses none, since it does not know yet who else does.
    pub(crate) fn update_cold_users(&mut self) {
        let now = self.clock.now();
        let Some(hosted) = &mut self.hosted else {
            return;
        };
        if hosted.settings.cold.is_none() || now < Instant::default() + SETTLE_AFTER {
            return;
        }
        let region = &self.settings.region;
        let cold = self.services.iter().map(|(key, service)| {
            let targets = service.balancer.cold_targets(now).into_iter();
            let near = targets.filter(|spec| spec.region == *region);
            let mut names: Vec<Box<str>> = near.map(|spec| spec.name.clone()).collect();
            names.sort_unstable();
            (key, names)
        });
        let fleet = self.gossip.fleet();
        let basis = (fleet.changes(), cold.collect());
        if basis == hosted.cold_basis {
            return;
        }
        // Members that died lately count as well: they may only be cut off.
        let members = fleet.iter().map(Member::record);
        let near = members.filter(|record| record.region == *region);
        let known: Vec<&str> = near.map(|record| &*record.vm).collect();
        for (key, names) in &basis.1 {
            let used = |name: &&str| cold::is_user(name, &self.settings.vm, known.iter().copied());
            let used: Set<Box<str>> = names
                .iter()
                .map(|name| &**name)
                .filter(used)
                .map(Into::into)
                .collect();
            if let Some(service) = self.services.get_mut(*key) {
                if !names.is_empty() {
                    let (service, cold) = (&*service.name, names.len());
                    log::info!(service, cold, used = used.len(); "cold targets changed");
                }
                service.balancer.set_cold_users(used);
            }
        }
        hosted.cold_basis = basis;
    }

    /// The targets of `service`, as input of the assignment of homes.
    fn home_targets(&self, service: &str) -> Vec<Target> {
        let key = self.names.get(service);
        let found = key.and_then(|key| self.services.get(*key));
        let targets = found
            .into_iter()
            .flat_map(|found| found.balancer.targets().iter());
        targets
            .map(|(_, target)| Target {
                name: target.spec.name.clone(),
                region: target.spec.region.clone(),
                data_center: target.spec.data_center.clone(),
                slots: target.spec.slots,
            })
            .collect()
    }

    /// Answers a caller of the platform that asks for addresses.
    pub(crate) fn home_addresses(&mut self, query: &str) -> Answer {
        let Some(hosted) = &self.hosted else {
            return Answer::unknown("no platform hosts the fleet");
        };
        let caller = hosted.host.caller(query);
        let rules = hosted.rules.rules_of(&caller.host).unwrap_or_default();
        let query = Query {
            region: &caller.region,
            default_region: &self.settings.region,
            count: hosted.settings.named,
        };
        let draw = self.rng.random();
        let named = directory::select(&self.homes, rules, query, draw);
        let addresses: Vec<SocketAddr> = named.iter().map(|home| home.address).collect();
        if addresses.is_empty() {
            return Answer::unavailable(json!({ "error": "no VM is known to serve" }));
        }
        let ttl = clock::duration(self.settings.stop.address_ttl);
        Answer::ok(hosted.host.addresses(&addresses, ttl))
    }
}
