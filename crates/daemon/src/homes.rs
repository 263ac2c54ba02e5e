//! Assigns entry VMs (homes) to the callers of a platform and answers their address queries.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use oriolecleat_core::entry;
use oriolecleat_core::home;
use oriolecleat_core::home::Group;
use oriolecleat_core::home::Home;
use oriolecleat_core::home::Target;
use oriolecleat_core::map::Map;
use oriolecleat_core::map::Set;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::RngExt;
use serde_json::json;

use crate::clock;
use crate::node::Node;
use crate::query::Answer;

/// Share of the time that the assignment of homes may use: after one, the next waits for this many times as
/// long as it took.
const PAUSE_FACTOR: u64 = 20;
/// Shortest time between two assignments.
const PAUSE_MIN: Span = Span::from_millis(50);

/// Time after a change of the homes in which more are expected, as when the VMs of a fleet start and find each
/// other one by one.
const SETTLED_AFTER: Span = Span::from_millis(1_500);
/// Lifetime of an address answer meanwhile.
const UNSETTLED_TTL: Span = Span::from_millis(300);

/// The homes and what they were derived from.
#[derive(Debug, Default)]
pub(crate) struct Assignment {
    pub(crate) homes: Homes,
    /// Fingerprint of the members.
    members: u64,
    /// Whether targets or rules changed since.
    stale: bool,
    /// When the homes may be assigned next.
    next: Instant,
    /// When the VMs that callers are told last changed.
    changed: Instant,
}

impl Assignment {
    /// Marks the homes as derived from old targets.
    pub(crate) fn record_targets(&mut self) {
        self.stale = true;
    }

    /// Marks the homes as derived from old rules. Callers are told no VM for a service without homes, so they
    /// are assigned at once.
    pub(crate) fn record_rules(&mut self) {
        self.stale = true;
        self.next = Instant::default();
    }
}

/// Homes of each service, by region of the callers and then by service.
pub(crate) type Homes = Map<Box<str>, Map<Box<str>, Vec<Home>>>;

impl Node {
    /// Updates the homes to the current members, targets and rules, if these changed.
    pub(crate) fn update_homes(&mut self) {
        let now = self.clock.now();
        let members = self.members_fingerprint(now);
        let changed = self.assignment.stale || members != self.assignment.members;
        if self.hosted.is_none() || !changed || now < self.assignment.next {
            return;
        }
        let homes = self.assign_homes(now);
        let took = self.clock.now().since(now).as_micros();
        let pause = Span::from_micros(took * PAUSE_FACTOR).max(PAUSE_MIN);
        self.assignment.members = members;
        self.assignment.stale = false;
        self.assignment.next = now + pause;
        if !names_same_vms(&homes, &self.assignment.homes) {
            self.assignment.changed = now;
        }
        self.assignment.homes = homes;
        self.update_owners();
        self.update_users();
    }

    /// A number that differs if other members may be homes.
    fn members_fingerprint(&self, now: Instant) -> u64 {
        let members = self.gossip.fleet().iter().map(|member| {
            let record = member.record();
            let leaving = self.is_listed_leaving(&record.vm);
            let state = (member.effective_state(now), leaving, record.incarnation);
            let mut hasher = DefaultHasher::new();
            (&record.vm, state).hash(&mut hasher);
            hasher.finish()
        });
        members.fold(0, |sum, member| sum ^ member)
    }

    /// The homes of all services for the callers of each region.
    fn assign_homes(&self, now: Instant) -> Homes {
        let Some(hosted) = &self.hosted else {
            return Homes::default();
        };
        let candidates = self.candidates(now);
        let target = |(_, target): (target::Key, &target::Target)| Target {
            name: target.spec.name.clone(),
            region: target.spec.region.clone(),
            data_center: target.spec.data_center.clone(),
            slots: target.spec.slots,
        };
        let targets = |name: &str| {
            let found = self.names.get(name).and_then(|key| self.services.get(*key));
            let targets = found.map(|found| found.balancer.targets().iter().map(target));
            (Box::from(name), targets.into_iter().flatten().collect())
        };
        let group = |names: &Vec<Box<str>>| Group {
            services: names.iter().map(|name| targets(name)).collect(),
        };
        let groups: Vec<Group> = hosted.groups.iter().map(group).collect();
        let known = hosted.settings.regions.iter();
        let known = known.map(|region| region.name.clone());
        let regions: Set<Box<str>> = known.chain([self.settings.region.clone()]).collect();
        let homes = regions.into_iter().map(|region| {
            let homes = home::assign(&region, &candidates, &groups);
            (region, homes)
        });
        homes.collect()
    }

    /// Tells each service which targets belong to which VM.
    fn update_owners(&mut self) {
        let homes = &self.assignment.homes;
        for service in self.services.values_mut() {
            let all = homes
                .values()
                .filter_map(|region| region.get(&service.name));
            let all: Vec<&Home> = all.flatten().collect();
            let own = all.iter().filter(|home| home.vm == self.settings.vm);
            let own: usize = own.map(|home| home.targets.len()).sum();
            if all.is_empty() {
                service.balancer.set_owners(None);
                continue;
            }
            if service.own_targets != Some(own) {
                service.own_targets = Some(own);
                log::info!(service = &*service.name, homes = all.len(), own_targets = own; "homes changed");
            }
            let owner = |home: &&Home| {
                let vm = home.vm.clone();
                let targets = home.targets.clone().into_iter();
                targets.map(move |target| (target, vm.clone()))
            };
            let owners = all.iter().flat_map(owner).collect();
            service.balancer.set_owners(Some(&owners));
        }
    }

    /// Tells each service how many VMs use each target that states a limit and that this VM may use.
    pub(crate) fn update_users(&mut self) {
        let vm = &*self.settings.vm;
        let homes = &self.assignment.homes;
        for service in self.services.values_mut() {
            let users = |spec: &entry::Target| {
                let region = homes.get(&spec.region);
                let senders = region.and_then(|region| region.get(&service.name));
                let senders = senders.into_iter().flatten();
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

    /// Answers a caller of the platform that asks for addresses.
    pub(crate) fn home_addresses(&mut self, query: &str) -> Answer {
        let Some(hosted) = &self.hosted else {
            return Answer::unknown("no platform hosts the fleet");
        };
        let caller = hosted.host.caller(query);
        let rules = hosted.rules.rules_of(&caller.host).unwrap_or_default();
        let part = rules.iter().flat_map(|rule| &rule.destinations).next();
        let homes = &self.assignment.homes;
        let region = homes
            .get(&caller.region)
            .or_else(|| homes.get(&self.settings.region));
        let homes = region.and_then(|region| match part {
            Some(part) => region.get(&part.service),
            // A host without a rule has no service: any home answers its callers.
            None => region.values().next(),
        });
        let draw = self.rng.random();
        let named = home::select(
            homes.map_or(&[], Vec::as_slice),
            draw,
            hosted.settings.named,
        );
        let addresses: Vec<SocketAddr> = named.iter().map(|home| home.address).collect();
        if addresses.is_empty() {
            return Answer::unavailable(json!({ "error": "no VM is known to serve" }));
        }
        let settled = self.clock.now().since(self.assignment.changed) >= SETTLED_AFTER;
        let ttl = self.settings.stop.address_ttl;
        let ttl = clock::duration(if settled { ttl } else { ttl.min(UNSETTLED_TTL) });
        Answer::ok(hosted.host.addresses(&addresses, ttl))
    }
}

/// Whether callers are told the same VMs.
fn names_same_vms(left: &Homes, right: &Homes) -> bool {
    let vms = |homes: &Homes| -> Set<(Box<str>, Box<str>)> {
        let homes = homes.iter().flat_map(|(region, services)| {
            let vms = services.values().flatten().map(|home| &home.vm);
            vms.map(|vm| (region.clone(), vm.clone()))
        });
        homes.collect()
    };
    vms(left) == vms(right)
}
