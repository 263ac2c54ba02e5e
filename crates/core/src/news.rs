//! News of leaving targets as it spreads between VMs.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;

use crate::map::Map;
use crate::member;
use crate::message::Departure;
use crate::time::Instant;
use crate::time::Span;

/// Most pieces of news that a VM keeps: every source for the targets of the largest catalogue.
pub const MAX_NEWS: usize = 16_384;

// An age does not include the time on the way, so that each hop makes news look younger. Without a
// threshold, two peers would renew each other's news for ever.
const RENEW_AFTER: Span = Span::from_millis(5_000);
// News that is about to run out is no longer repaired, because VMs forget it at slightly different
// times.
const UNREPAIRED_PERCENT: u64 = 25;

/// Hash of no news; zero stands for "not stated" on the wire.
const EMPTY_ROOT: u64 = 1;

/// Newest evidence of leaving, by target and source.
#[derive(Debug)]
pub struct News {
    hold: Span,
    /// Time until which each piece holds. The time of the evidence itself may lie before the start
    /// of this process.
    until: Map<(SocketAddr, Box<str>), Instant>,
}

impl News {
    /// No news; each piece is kept for `hold`.
    #[must_use]
    pub fn new(hold: Span) -> Self {
        Self {
            hold,
            until: Map::default(),
        }
    }

    /// Takes news; returns whether it has to be told to others.
    pub fn hear(&mut self, now: Instant, departure: &Departure) -> bool {
        let age = Span::from_millis(departure.age_ms);
        if age >= self.hold {
            return false;
        }
        let key = (departure.target, departure.source.clone());
        let until = now + self.hold.saturating_sub(age);
        let room = self.until.len() < MAX_NEWS;
        match self.until.entry(key) {
            Entry::Occupied(known) if until < *known.get() + RENEW_AFTER => false,
            Entry::Occupied(mut known) => {
                known.insert(until);
                true
            }
            Entry::Vacant(unknown) if room => {
                unknown.insert(until);
                true
            }
            Entry::Vacant(_) => false,
        }
    }

    /// Forgets news that no longer holds.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }

    /// Hash of the news that peers should know.
    #[must_use]
    pub fn root(&self, now: Instant) -> u64 {
        self.current(now)
            .map(|((target, source), _)| {
                member::hash(&[target.to_string().as_bytes(), source.as_bytes()])
            })
            .fold(EMPTY_ROOT, |root, hash| root ^ hash)
    }

    /// The news that peers should know, with its age.
    #[must_use]
    pub fn departures(&self, now: Instant) -> Vec<Departure> {
        let departure =
            |((target, source), until): (&(SocketAddr, Box<str>), &Instant)| Departure {
                target: *target,
                source: source.clone(),
                age_ms: self.hold.saturating_sub(until.since(now)).as_millis(),
            };
        let mut found: Vec<Departure> = self.current(now).map(departure).collect();
        found
            .sort_by(|left, right| (left.target, &left.source).cmp(&(right.target, &right.source)));
        found
    }

    fn current(&self, now: Instant) -> impl Iterator<Item = (&(SocketAddr, Box<str>), &Instant)> {
        let rest = Span::from_micros(self.hold.as_micros() / 100 * UNREPAIRED_PERCENT);
        self.until
            .iter()
            .filter(move |(_, until)| until.since(now) > rest)
    }
}
