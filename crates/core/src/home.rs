//! Home VMs: the few entry VMs that send to the targets of a service in one region.
//!
//! A VM that knows all that runs at its targets places calls better than many that know a part
//! each, so a service has as few homes in a region as can carry it. Each target belongs to one
//! home, and other VMs prefer other targets. Homes are in the data centres of the targets.

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
    /// A target, with the properties by which it is assigned to a home.
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
        /// Its region.
        pub region: Box<str>,
        /// Its data centre.
        pub data_center: Box<str>,
        /// Names of its targets.
        pub targets: Vec<Box<str>>,
        /// Slots of its targets.
        pub slots: u64,
    }
}

/// Scale of a load in slots for each slot of capacity, which is an integer.
const LOAD_SCALE: u64 = 1_000;

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
    let mut carried: Map<&str, u64> = Map::default();
    let mut homes = Map::default();
    for (service, targets) in services {
        let targets: Vec<&Target> = targets
            .iter()
            .filter(|target| *target.region == *region)
            .collect();
        let chosen = choose(&pool, &carried, service, &targets);
        let assigned = assign_targets(&chosen, &targets);
        for (candidate, home) in chosen.iter().zip(&assigned) {
            *carried.entry(&candidate.vm).or_default() += home.slots;
        }
        homes.insert(service.clone(), assigned);
    }
    homes
}

/// The candidates that become homes of `service`, in the data centres of its targets. `carried`
/// holds the slots that each VM carries of other services.
fn choose<'a>(
    pool: &[&'a Candidate],
    carried: &Map<&str, u64>,
    service: &str,
    targets: &[&Target],
) -> Vec<&'a Candidate> {
    let needed: u64 = targets.iter().map(|target| target.slots).sum();
    // A VM that is also home to another service carries less of this one. Few callers move when a
    // VM joins or leaves, as the order of equal ones rests on a hash.
    let order = |candidate: &&Candidate| {
        let carried = carried.get(&*candidate.vm).copied().unwrap_or(0);
        let load = (carried + USUAL_CAPACITY) * LOAD_SCALE / candidate.capacity.max(1);
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
    for target in targets {
        if let Some(center) = centers.get_mut(&*target.data_center) {
            center.slots += target.slots;
        }
    }
    let mut chosen: Vec<&Candidate> = Vec::new();
    let mut capacity = 0;
    while chosen.is_empty() || capacity < needed {
        // The next home goes to the data centre with the most slots for each of its homes.
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
    /// Number of candidates that were chosen.
    homes: u64,
}

impl Center<'_> {
    /// Compares the slots for each home, if each data centre got one more.
    fn order(&self, other: &Self) -> Ordering {
        let quotient = |center: &Self| number(center.slots) / number(center.homes + 1);
        quotient(self).total_cmp(&quotient(other))
    }
}

/// Weight of a pair for rendezvous hashing, from the hashes of its members. With a hash of both names
/// for each pair, an assignment for 300 VMs and 3,000 targets took 18 ms instead of 5 ms (the benchmark
/// `fleet_growth`).
const fn pair_weight(left: u64, right: u64) -> u64 {
    // The finalizer of SplitMix64, in which each bit of the input changes half of the output.
    let mixed = left ^ right.rotate_left(32);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Assigns each target to one of the `chosen` VMs that has less than its share of the targets by
/// capacity, preferably to one in the data centre of the target.
fn assign_targets(chosen: &[&Candidate], targets: &[&Target]) -> Vec<Home> {
    let mut homes: Vec<Home> = chosen
        .iter()
        .map(|candidate| Home {
            vm: candidate.vm.clone(),
            address: candidate.address,
            region: candidate.region.clone(),
            data_center: candidate.data_center.clone(),
            targets: Vec::new(),
            slots: 0,
        })
        .collect();
    let capacity: u64 = chosen.iter().map(|candidate| candidate.capacity).sum();
    let count = u64::try_from(targets.len()).unwrap_or(u64::MAX);
    let share = |candidate: &&Candidate| (count * candidate.capacity).div_ceil(capacity.max(1));
    let shares: Vec<u64> = chosen.iter().map(share).collect();
    let keys: Vec<u64> = homes
        .iter()
        .map(|home| hash(&[home.vm.as_bytes()]))
        .collect();
    let mut targets = targets.to_vec();
    targets.sort_by(|left, right| left.name.cmp(&right.name));
    for target in targets {
        let key = hash(&[target.name.as_bytes()]);
        let order = |((home, share), home_key): &((&mut Home, &u64), &u64)| {
            let assigned = u64::try_from(home.targets.len()).unwrap_or(u64::MAX);
            let is_full = assigned >= **share;
            let is_remote = home.data_center != target.data_center;
            (is_full, is_remote, Reverse(pair_weight(**home_key, key)))
        };
        let open = homes.iter_mut().zip(&shares).zip(&keys);
        if let Some(((home, _), _)) = open.min_by_key(order) {
            home.targets.push(target.name.clone());
            home.slots += target.slots;
        }
    }
    homes
}

/// Most VMs that use a target which takes only so many requests from all VMs together. Each of them may
/// exceed its share by a request, and a target tolerates five.
pub const USERS_MAX: usize = 4;

/// The VMs, of those that callers of a service are sent to, that use one of its targets while it takes
/// only so many requests from all VMs together. The targets are spread over the senders.
#[must_use]
pub fn users<'a>(target: &str, senders: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut users: Vec<&str> = senders.collect();
    users.sort_unstable_by_key(|vm| (hash(&[vm.as_bytes(), target.as_bytes()]), *vm));
    users.dedup();
    users.truncate(USERS_MAX);
    users
}

/// Selects at most `count` homes for one caller, the preferred one first. A random `draw` in 0..1
/// divides the callers among the homes by slots.
#[must_use]
pub fn select<'a>(homes: &[&'a Home], draw: f64, count: usize) -> Vec<&'a Home> {
    let total: u64 = homes.iter().map(|home| home.slots.max(1)).sum();
    let mut left = draw * number(total);
    let drawn = homes.iter().position(|home| {
        left -= number(home.slots.max(1));
        left < 0.0
    });
    let first = drawn.unwrap_or(0);
    let rotated = homes.iter().copied().cycle().skip(first).take(homes.len());
    rotated.take(count).collect()
}
