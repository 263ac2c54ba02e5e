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

/// The `count` candidates that the callers at `place` use for `service`, the preferred one first.
///
/// All callers of a region get the same candidates for a service, so that few VMs send to the
/// targets of the service in the region and know what they have there. `services` are all services
/// in order: each one has its own VMs as far as there are enough.
#[must_use]
pub fn homes<'a>(
    place: Place<'_>,
    candidates: &'a [Candidate],
    services: &[&str],
    service: &str,
    count: usize,
) -> Vec<&'a Candidate> {
    let serves = |candidate: &&Candidate| candidate.state == State::Alive;
    let all: Vec<&Candidate> = candidates.iter().filter(serves).collect();
    let near = |candidate: &&Candidate| *candidate.region == *place.region;
    let mut pool: Vec<&Candidate> = all.iter().copied().filter(near).collect();
    if pool.is_empty() {
        pool = all;
    }
    let mut taken: Map<&str, usize> = Map::default();
    for other in services.iter().copied().filter(|other| *other != service) {
        if other > service {
            break;
        }
        for home in ranked_for(&pool, &taken, other).into_iter().take(count) {
            *taken.entry(&home.vm).or_default() += 1;
        }
    }
    let mut homes = ranked_for(&pool, &taken, service);
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
