//! Which entry VMs a caller is told to use.
//!
//! A caller keeps its answer for the lifetime stated in it. A VM that was named therefore goes on
//! serving for that long after it has left the answers (see `stop`).

use std::net::SocketAddr;

use crate::member::State;

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
        /// Slots of targets that it can send to.
        pub capacity: u64,
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
