//! Selects the entry VMs that an address answer names to a caller.
//!
//! A caller caches an answer for the lifetime stated in it. A VM that an answer named therefore
//! keeps serving for that long after answers no longer name it (see `stop`).

use std::net::SocketAddr;

use crate::member::State;

data! {
    /// An entry VM that an answer may name.
    pub struct Candidate {
        /// Its name.
        pub vm: Box<str>,
        /// The incarnation that tickets of the VM are bound to.
        pub incarnation: u64,
        /// Address that callers connect to.
        pub address: SocketAddr,
        /// Its region.
        pub region: Box<str>,
        /// Its data centre.
        pub data_center: Box<str>,
        /// Its state.
        pub state: State,
        /// Number of target slots that it can forward calls to.
        pub capacity: u64,
    }
}

/// Location of the VM that gives the answer.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Its region.
    pub region: &'a str,
    /// Its data centre.
    pub data_center: &'a str,
}

/// Maximum number of entry VMs in an answer: two near ones, and one that survives the loss of their
/// data centre.
pub const MAX_VMS_PER_ANSWER: usize = 3;

impl Candidate {
    /// Distance from `place`: 0 in the same data centre, 1 in the same region, 2 elsewhere.
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

/// The candidates to name, the preferred one first. `turn` is the number of answers given so far;
/// the candidates of each distance rotate by it, so that they take turns.
#[must_use]
pub fn choose<'a>(
    place: Place<'_>,
    candidates: &'a [Candidate],
    turn: usize,
) -> Vec<&'a Candidate> {
    let ranked = ranked(place, candidates, turn);
    let mut chosen: Vec<&Candidate> = ranked.iter().copied().take(MAX_VMS_PER_ANSWER).collect();
    let elsewhere = ranked
        .iter()
        .find(|candidate| !candidate.shares_data_center(ranked[0]));
    let is_covered =
        |other: &&Candidate| chosen.iter().any(|known| known.shares_data_center(other));
    if let Some(other) = elsewhere.filter(|other| !is_covered(other))
        && let Some(last) = chosen.last_mut()
    {
        *last = other;
    }
    chosen
}

/// The alive candidates, nearest first, with those of the same distance rotated by `turn`.
fn ranked<'a>(place: Place<'_>, candidates: &'a [Candidate], turn: usize) -> Vec<&'a Candidate> {
    let mut ranked = Vec::new();
    for distance in 0..=2 {
        let is_serving = |candidate: &&Candidate| {
            candidate.state == State::Alive && candidate.distance(place) == distance
        };
        let mut near: Vec<&Candidate> = candidates.iter().filter(is_serving).collect();
        near.sort_by(|left, right| left.vm.cmp(&right.vm));
        if !near.is_empty() {
            let offset = turn % near.len();
            near.rotate_left(offset);
        }
        ranked.append(&mut near);
    }
    ranked
}
