//! Homes: the few entry VMs that send to the targets of a service in one region.
//!
//! A VM that knows all that runs at its targets places calls better than many that see a part each, so
//! a service has as few homes in a region as can carry it. Each target belongs to one home, which
//! sends there first. Homes stand where the targets are.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::address::Candidate;
use crate::estimate::number;
use crate::map::Map;
use crate::member::State;
use crate::member::USUAL_CAPACITY;
use crate::member::hash;

data! {
    /// A target as far as homes are concerned.
    pub struct Target {
        /// Name of the target.
        pub name: Box<str>,
        /// Its region.
        pub region: Box<str>,
        /// Its data centre.
        pub data_center: Box<str>,
        /// Requests that it works on at once.
        pub slots: u64,
    }

    /// An entry VM with the targets of a service that belong to it.
    pub struct Home {
        /// Name of the VM.
        pub vm: Box<str>,
        /// Where callers connect.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_center: Box<str>,
        /// Names of its targets.
        pub targets: Vec<Box<str>>,
        /// Slots of its targets.
        pub slots: u64,
    }
}

/// Resolution of a load in slots for each slot of capacity.
const LOAD_UNIT: u64 = 1_000;

/// The homes of each service for the callers of `region`. `services` are all services in order of
/// their names with their targets; a VM becomes home to a second one only if there are too few.
#[must_use]
pub fn assign(
    region: &str,
    candidates: &[Candidate],
    services: &[(Box<str>, Vec<Target>)],
) -> Map<Box<str>, Vec<Home>> {
    let alive = |candidate: &&Candidate| candidate.state == State::Alive;
    let all: Vec<&Candidate> = candidates.iter().filter(alive).collect();
    let near = |candidate: &&Candidate| *candidate.region == *region;
    let mut pool: Vec<&Candidate> = all.iter().copied().filter(near).collect();
    if pool.is_empty() {
        pool = all;
    }
    let mut taken: Map<&str, u64> = Map::default();
    let mut homes = Map::default();
    for (service, spots) in services {
        let spots: Vec<&Target> = spots
            .iter()
            .filter(|spot| *spot.region == *region)
            .collect();
        let chosen = choose(&pool, &taken, service, &spots);
        let assigned = assign_targets(&chosen, &spots);
        for (candidate, home) in chosen.iter().zip(&assigned) {
            *taken.entry(&candidate.vm).or_default() += home.slots;
        }
        homes.insert(service.clone(), assigned);
    }
    homes
}

/// The candidates that become homes of `service`, in the data centres of its targets.
fn choose<'a>(
    pool: &[&'a Candidate],
    taken: &Map<&str, u64>,
    service: &str,
    spots: &[&Target],
) -> Vec<&'a Candidate> {
    let needed: u64 = spots.iter().map(|spot| spot.slots).sum();
    // A VM that is home to another service, too, carries less of this one. Few callers move when a VM
    // joins or leaves, as the order of equal ones rests on a hash.
    let order = |candidate: &&Candidate| {
        let carried = taken.get(&*candidate.vm).copied().unwrap_or(0);
        let load = (carried + USUAL_CAPACITY) * LOAD_UNIT / candidate.capacity.max(1);
        let weight = hash(&[candidate.vm.as_bytes(), service.as_bytes()]);
        (load, Reverse(weight))
    };
    let mut ranked = pool.to_vec();
    ranked.sort_by_cached_key(order);
    let mut centers: BTreeMap<&str, Center> = BTreeMap::new();
    for candidate in ranked.into_iter().rev() {
        let center = centers.entry(&candidate.data_center).or_default();
        center.free.push(candidate);
    }
    for spot in spots {
        if let Some(center) = centers.get_mut(&*spot.data_center) {
            center.slots += spot.slots;
        }
    }
    let mut chosen: Vec<&Candidate> = Vec::new();
    let mut capacity = 0;
    while chosen.is_empty() || capacity < needed {
        // The data centre with the most slots for each of its homes comes next.
        let open = centers
            .values_mut()
            .filter(|center| !center.free.is_empty());
        let Some(next) = open.rev().max_by(|left, right| left.order(right)) else {
            break;
        };
        next.homes += 1;
        if let Some(candidate) = next.free.pop() {
            capacity += candidate.capacity;
            chosen.push(candidate);
        }
    }
    chosen
}

/// A data centre in which homes are chosen.
#[derive(Default)]
struct Center<'a> {
    /// Candidates that are not chosen, the best one last.
    free: Vec<&'a Candidate>,
    /// Slots of the targets there.
    slots: u64,
    /// Candidates that were chosen.
    homes: u64,
}

impl Center<'_> {
    /// Compares the slots for each home, with one more.
    fn order(&self, other: &Self) -> Ordering {
        let quotient = |center: &Self| number(center.slots) / number(center.homes + 1);
        quotient(self).total_cmp(&quotient(other))
    }
}

/// Gives each target to one of the chosen: one of its data centre if there is one, and none gets many
/// more than its part by capacity.
fn assign_targets(chosen: &[&Candidate], spots: &[&Target]) -> Vec<Home> {
    let mut homes: Vec<Home> = chosen
        .iter()
        .map(|candidate| Home {
            vm: candidate.vm.clone(),
            address: candidate.address,
            data_center: candidate.data_center.clone(),
            targets: Vec::new(),
            slots: 0,
        })
        .collect();
    let capacity: u64 = chosen.iter().map(|candidate| candidate.capacity).sum();
    let count = u64::try_from(spots.len()).unwrap_or(u64::MAX);
    let part = |candidate: &&Candidate| (count * candidate.capacity).div_ceil(capacity.max(1));
    let parts: Vec<u64> = chosen.iter().map(part).collect();
    let mut spots = spots.to_vec();
    spots.sort_by(|left, right| left.name.cmp(&right.name));
    for spot in spots {
        let order = |(home, part): &(&mut Home, &u64)| {
            let held = u64::try_from(home.targets.len()).unwrap_or(u64::MAX);
            let is_full = held >= **part;
            let is_away = home.data_center != spot.data_center;
            let weight = hash(&[home.vm.as_bytes(), spot.name.as_bytes()]);
            (is_full, is_away, Reverse(weight))
        };
        if let Some((home, _)) = homes.iter_mut().zip(&parts).min_by_key(order) {
            home.targets.push(spot.name.clone());
            home.slots += spot.slots;
        }
    }
    homes
}

/// The homes to name to one caller, the preferred one first: `draw` in 0..1 divides callers by slots.
#[must_use]
pub fn select(homes: &[Home], draw: f64, count: usize) -> Vec<&Home> {
    let total: u64 = homes.iter().map(|home| home.slots.max(1)).sum();
    let mut left = draw * number(total);
    let drawn = homes.iter().position(|home| {
        left -= number(home.slots.max(1));
        left < 0.0
    });
    let first = drawn.unwrap_or(0);
    let turned = homes.iter().cycle().skip(first).take(homes.len());
    turned.take(count).collect()
}
