//! Homes: the few entry VMs that send to the targets of a service in one region.
//!
//! A VM that knows all that runs at its targets places calls better than many that see a part each, so
//! a service has as few homes in a region as can carry it. Each target belongs to one home, which
//! sends there first. Homes stand where the targets are.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::address::Candidate;
use crate::estimate::number;
use crate::map::Map;
use crate::member::State;
use crate::member::hash;

data! {
    /// A target as far as homes are concerned.
    pub struct Spot {
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

/// Slots of the targets that one home sends to. Six targets of four slots leave a choice of calm ones,
/// and their calls are a small part of the work that the smallest VM can do.
const SLOTS_PER_HOME: u64 = 24;

/// The homes of each service for the callers of `region`. `services` are all services in order of
/// their names with their targets; a VM becomes home to a second one only if there are too few.
#[must_use]
pub fn divide(
    region: &str,
    candidates: &[Candidate],
    services: &[(Box<str>, Vec<Spot>)],
) -> Map<Box<str>, Vec<Home>> {
    let alive = |candidate: &&Candidate| candidate.state == State::Alive;
    let all: Vec<&Candidate> = candidates.iter().filter(alive).collect();
    let near = |candidate: &&Candidate| *candidate.region == *region;
    let mut pool: Vec<&Candidate> = all.iter().copied().filter(near).collect();
    if pool.is_empty() {
        pool = all;
    }
    let mut taken: Map<&str, usize> = Map::default();
    let mut homes = Map::default();
    for (service, spots) in services {
        let spots: Vec<&Spot> = spots
            .iter()
            .filter(|spot| *spot.region == *region)
            .collect();
        let chosen = choose(&pool, &taken, service, &spots);
        for candidate in &chosen {
            *taken.entry(&candidate.vm).or_default() += 1;
        }
        homes.insert(service.clone(), assign(&chosen, &spots));
    }
    homes
}

/// The candidates that become homes of `service`, in the data centres of its targets.
fn choose<'a>(
    pool: &[&'a Candidate],
    taken: &Map<&str, usize>,
    service: &str,
    spots: &[&Spot],
) -> Vec<&'a Candidate> {
    let all: u64 = spots.iter().map(|spot| spot.slots).sum();
    let count = usize::try_from(all.div_ceil(SLOTS_PER_HOME).max(1)).unwrap_or(usize::MAX);
    // Few callers move when a VM joins or leaves, as the order rests on a hash.
    let order = |candidate: &&Candidate| {
        let homes = taken.get(&*candidate.vm).copied().unwrap_or(0);
        let weight = hash(&[candidate.vm.as_bytes(), service.as_bytes()]);
        (homes, Reverse(weight))
    };
    let mut ranked = pool.to_vec();
    ranked.sort_by_cached_key(order);
    let mut chosen: Vec<&Candidate> = Vec::new();
    while chosen.len() < count.min(pool.len()) {
        let free = ranked
            .iter()
            .copied()
            .filter(|candidate| !chosen.iter().any(|known| known.vm == candidate.vm));
        // The data centre with the most slots for each of its homes comes next.
        let quotient = |candidate: &&Candidate| {
            let center = &candidate.data_center;
            let here = spots.iter().filter(|spot| spot.data_center == *center);
            let held: u64 = here.map(|spot| spot.slots).sum();
            let homes = chosen.iter().filter(|known| known.data_center == *center);
            let homes = u64::try_from(homes.count()).unwrap_or(u64::MAX);
            number(held) / number(homes + 1)
        };
        let mut best: Option<(&Candidate, f64)> = None;
        for candidate in free {
            let value = quotient(&candidate);
            let is_better = best.is_none_or(|(known, known_value)| {
                value > known_value
                    || (value >= known_value && candidate.data_center < known.data_center)
            });
            if is_better {
                best = Some((candidate, value));
            }
        }
        let Some((candidate, _)) = best else {
            break;
        };
        chosen.push(candidate);
    }
    chosen
}

/// Gives each target to one of the chosen: one of its data centre if there is one, and none gets many
/// more than its part.
fn assign(chosen: &[&Candidate], spots: &[&Spot]) -> Vec<Home> {
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
    let part = spots.len().div_ceil(homes.len().max(1));
    let mut spots = spots.to_vec();
    spots.sort_by(|left, right| left.name.cmp(&right.name));
    for spot in spots {
        let order = |home: &&mut Home| {
            let is_full = home.targets.len() >= part;
            let is_away = home.data_center != spot.data_center;
            let weight = hash(&[home.vm.as_bytes(), spot.name.as_bytes()]);
            (is_full, is_away, Reverse(weight))
        };
        if let Some(home) = homes.iter_mut().min_by_key(order) {
            home.targets.push(spot.name.clone());
            home.slots += spot.slots;
        }
    }
    homes
}

/// The homes to name to one caller, the preferred one first: `draw` in 0..1 divides callers by slots.
#[must_use]
pub fn name(homes: &[Home], draw: f64, count: usize) -> Vec<&Home> {
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
