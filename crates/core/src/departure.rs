//! Evidence of leaving targets that VMs exchange: what is known, what is new to a VM, and what
//! peers should have.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;

use crate::map::Map;
use crate::member;
use crate::message::Departure;
use crate::time::Instant;
use crate::time::Span;

/// Most pieces of evidence that a VM keeps: one from every source for each target of the largest
/// catalogue.
pub const MAX_DEPARTURES: usize = 16_384;

// Evidence replaces older evidence only if it is newer by this much. Ages lack the transmission
// time, so each hop makes evidence look newer; without a threshold, two peers would renew each
// other's evidence for ever.
const RENEW_AFTER: Span = Span::from_millis(5_000);
// Evidence with at most this share of its time left is no longer repaired, because VMs forget it at
// slightly different times.
const UNREPAIRED_PERCENT: u64 = 25;

/// Root hash of an empty table; zero stands for "not stated" on the wire.
const EMPTY_ROOT: u64 = 1;

/// Newest evidence of leaving, by target and source.
#[derive(Debug)]
pub struct Table {
    hold: Span,
    /// Time at which each piece expires. The time of the evidence itself, which may lie before the
    /// start of this process, is not kept.
    expiries: Map<(SocketAddr, Box<str>), Instant>,
}

impl Table {
    /// An empty table; evidence expires `hold` after its time.
    #[must_use]
    pub fn new(hold: Span) -> Self {
        Self {
            hold,
            expiries: Map::default(),
        }
    }

    /// Records evidence; returns whether it has to be pushed to other peers.
    pub fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        let age = Span::from_millis(departure.age_ms);
        if age >= self.hold {
            return false;
        }
        let key = (departure.target, departure.source.clone());
        let expiry = now + self.hold.saturating_sub(age);
        let has_room = self.expiries.len() < MAX_DEPARTURES;
        match self.expiries.entry(key) {
            Entry::Occupied(known) if expiry < *known.get() + RENEW_AFTER => false,
            Entry::Occupied(mut known) => {
                known.insert(expiry);
                true
            }
            Entry::Vacant(unknown) if has_room => {
                unknown.insert(expiry);
                true
            }
            Entry::Vacant(_) => false,
        }
    }

    /// Forgets expired evidence.
    pub fn expire(&mut self, now: Instant) {
        self.expiries.retain(|_, expiry| now < *expiry);
    }

    /// Hash of the evidence that peers should have.
    #[must_use]
    pub fn root(&self, now: Instant) -> u64 {
        self.repairable(now)
            .map(|((target, source), _)| {
                member::hash(&[target.to_string().as_bytes(), source.as_bytes()])
            })
            .fold(EMPTY_ROOT, |root, hash| root ^ hash)
    }

    /// The evidence that peers should have, with its age at `now`.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<Departure> {
        let departure =
            |((target, source), expiry): (&(SocketAddr, Box<str>), &Instant)| Departure {
                target: *target,
                source: source.clone(),
                age_ms: self.hold.saturating_sub(expiry.since(now)).as_millis(),
            };
        let mut found: Vec<Departure> = self.repairable(now).map(departure).collect();
        found
            .sort_by(|left, right| (left.target, &left.source).cmp(&(right.target, &right.source)));
        found
    }

    // Evidence that is not about to expire.
    fn repairable(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&(SocketAddr, Box<str>), &Instant)> {
        let min_left = Span::from_micros(self.hold.as_micros() / 100 * UNREPAIRED_PERCENT);
        self.expiries
            .iter()
            .filter(move |(_, expiry)| expiry.since(now) > min_left)
    }
}
