//! Which entry VMs a caller is told to use.
//!
//! A caller keeps its answer for the lifetime stated in it. A VM that was named therefore goes on
//! serving for that long after it has left the answers (see `stop`).

use std::net::SocketAddr;

use crate::map::Map;
use crate::member::State;
use crate::member::hash;

data! {
    /// An entry VM that might be named.
    pub struct Candidate {
        /// Its name.
        pub vm: Box<str>,
        /// The incarnation that a ticket would be bound to.
        pub incarnation: u64,
        /// Where callers connect.
        pub address: SocketAddr,
        /// Its region.
        pub region: Box<str>,
        /// Its data centre.
        pub data_center: Box<str>,
        /// Its state.
        pub state: State,
    }
}

/// Where the VM stands that gives the answer.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Its region.
    pub region: &'a str,
    /// Its data centre.
    pub data_center: &'a str,
}

/// Entry VMs named in an answer: two near ones and one that survives the loss of the data centre.
pub const NAMED: usize = 3;

impl Candidate {
    /// How far it is from `place`.
    fn distance(&self, place: Place<'_>) -> u8 {
        if *self.region == *place.region {
            u8::from(*self.data_center != *place.data_center)
        } else {
            2
        }
    }

    fn shares_data_center(&self, other: &Self) -> bool {
        self.region == other.region && self.data_center == other.data_center
    }
}

/// The candidates to name, the preferred one first. `turn` counts the answers given, so that the
/// candidates of each distance take turns.
#[must_use]
pub fn choose<'a>(
    place: Place<'_>,
    candidates: &'a [Candidate],
    turn: usize,
) -> Vec<&'a Candidate> {
    let ranked = ranked(place, candidates, turn);
    let mut chosen: Vec<&Candidate> = ranked.iter().copied().take(NAMED).collect();
    let elsewhere = ranked
        .iter()
        .find(|candidate| !candidate.shares_data_center(ranked[0]));
    let covered = |other: &&Candidate| chosen.iter().any(|known| known.shares_data_center(other));
    if let Some(other) = elsewhere.filter(|other| !covered(other))
        && let Some(last) = chosen.last_mut()
    {
        *last = other;
    }
    chosen
}

/// The candidates that serve, nearest first, those of one distance rotated by `turn`.
fn ranked<'a>(place: Place<'_>, candidates: &'a [Candidate], turn: usize) -> Vec<&'a Candidate> {
    let mut ranked = Vec::new();
    for distance in 0..=2 {
        let serves = |candidate: &&Candidate| {
            candidate.state == State::Alive && candidate.distance(place) == distance
        };
        let mut near: Vec<&Candidate> = candidates.iter().filter(serves).collect();
        near.sort_by(|left, right| left.vm.cmp(&right.vm));
        if !near.is_empty() {
            let offset = turn % near.len();
            near.rotate_left(offset);
        }
        ranked.append(&mut near);
    }
    ranked
}

data! {
    /// Slots of the targets of a service in one data centre.
    pub struct Capacity {
        /// The data centre.
        pub data_center: Box<str>,
        /// Its region.
        pub region: Box<str>,
        /// Slots of its targets.
        pub slots: u64,
    }
}

/// The `count` candidates that a caller at `place` uses for `service`, the preferred one first.
///
/// All callers of a region get the same home, so that one VM sends to the targets of the service
/// there and knows what they have to do. It stands where most of these targets are. `services` are
/// all services in order: each one has its own home as far as there are enough VMs.
#[must_use]
pub fn homes<'a>(
    place: Place<'_>,
    candidates: &'a [Candidate],
    capacities: &[Capacity],
    services: &[&str],
    service: &str,
    count: usize,
) -> Vec<&'a Candidate> {
    let serves = |candidate: &&Candidate| candidate.state == State::Alive;
    let all: Vec<&Candidate> = candidates.iter().filter(serves).collect();
    let near: Vec<&Candidate> = all
        .iter()
        .copied()
        .filter(|candidate| *candidate.region == *place.region)
        .collect();
    let pool = if near.is_empty() { all } else { near };
    let center = largest_center(place, &pool, capacities);
    let mut homes = Vec::new();
    if let Some(center) = center {
        let within = |candidate: &&Candidate| *candidate.data_center == *center;
        let within: Vec<&Candidate> = pool.iter().copied().filter(within).collect();
        homes.extend(homes_within(&within, services, service, count));
    }
    for home in homes_within(&pool, services, service, pool.len()) {
        if homes.len() < count && !homes.iter().any(|known| known.vm == home.vm) {
            homes.push(home);
        }
    }
    homes
}

/// The data centre of the region that has candidates and the most slots.
fn largest_center<'a>(
    place: Place<'_>,
    pool: &[&Candidate],
    capacities: &'a [Capacity],
) -> Option<&'a str> {
    let usable = |capacity: &&Capacity| {
        let holds = |candidate: &&Candidate| candidate.data_center == capacity.data_center;
        *capacity.region == *place.region && pool.iter().any(holds)
    };
    let usable = capacities.iter().filter(usable);
    // Of equal ones, the first by name on every VM.
    let largest = usable.max_by_key(|known| (known.slots, std::cmp::Reverse(&known.data_center)));
    largest.map(|capacity| &*capacity.data_center)
}

/// The candidates of `pool` for `service`, the preferred one first.
fn homes_within<'a>(
    pool: &[&'a Candidate],
    services: &[&str],
    service: &str,
    count: usize,
) -> Vec<&'a Candidate> {
    let mut taken: Map<&str, usize> = Map::default();
    for other in services
        .iter()
        .copied()
        .take_while(|other| *other < service)
    {
        if let Some(home) = ranked_for(pool, &taken, other).first() {
            *taken.entry(&home.vm).or_default() += 1;
        }
    }
    let mut homes = ranked_for(pool, &taken, service);
    homes.truncate(count);
    homes
}

/// The candidates by the number of services that they are home to already, then by a hash of VM and
/// service: few callers move when a VM joins or leaves.
fn ranked_for<'a>(
    pool: &[&'a Candidate],
    taken: &Map<&str, usize>,
    service: &str,
) -> Vec<&'a Candidate> {
    let order = |candidate: &&Candidate| {
        let homes = taken.get(&*candidate.vm).copied().unwrap_or(0);
        let weight = hash(&[candidate.vm.as_bytes(), service.as_bytes()]);
        (homes, std::cmp::Reverse(weight))
    };
    let mut ranked = pool.to_vec();
    ranked.sort_by_cached_key(order);
    ranked
}
