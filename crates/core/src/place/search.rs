//! The search for targets of other VMs that have room. For callers that are spread unevenly over the VMs:
//! one has too few targets while those of another are idle.
//!
//! What another VM has at its targets is not known here, so a target of another VM gets a call only with a
//! new report. A search probes some of them; while none has room, the next search waits for longer. A VM
//! that is short itself fills a free place at once, without knowing of a call from here, and both calls
//! would be slow. So calls go only to VMs of which most targets that were probed had room.

use slotmap::SecondaryMap;

use crate::balance::Action;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::map::Map;
use crate::place::placer::Placer;
use crate::place::placer::View;
use crate::place::queue::Item;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// Targets that a search probes.
const SEARCHED: usize = 3;
/// Time between two searches, which doubles from the first to the last while no target has room.
const PAUSE_MIN: Span = Span::from_millis(5);
const PAUSE_MAX: Span = Span::from_millis(320);
/// Age up to which a report of a target of another VM tells that it has room, and the same as a multiple of
/// the round trip.
const KNOWN_FOR: Span = Span::from_millis(30);
const KNOWN_FOR_TRIPS: f64 = 1.5;
/// Longest wait of a call for answers to the probes, as a multiple of the round trip and in seconds.
const WAIT_TRIPS: f64 = 3.0;
const WAIT_MAX_S: f64 = 0.006;

/// Share of the probed targets of a VM that must have had room.
const MIN_ROOM: f64 = 0.5;
/// Share that is assumed of a VM of which no target was probed lately.
const ASSUMED_ROOM: f64 = 0.6;
/// Weight of a new answer in the share, and time after which the answers count for 1/e.
const ROOM_WEIGHT: f64 = 0.25;
const ROOM_DECAY_S: f64 = 1.0;

key! {
    /// A VM to which targets belong.
    pub(crate) struct Owner(u32);
}

/// How many targets of a VM had room.
#[derive(Clone, Copy, Debug)]
struct Room {
    share: f64,
    at: Instant,
}

impl Room {
    fn share(&self, now: Instant) -> f64 {
        let weight = (-seconds(now.since(self.at)) / ROOM_DECAY_S).exp();
        ASSUMED_ROOM + (self.share - ASSUMED_ROOM) * weight
    }
}

/// When to search next, and what is known of the VMs to which targets belong.
#[derive(Clone, Debug)]
pub(crate) struct Search {
    due: Instant,
    pause: Span,
    /// The owner of each target; one that is not listed is an owner of its own.
    owners: SecondaryMap<target::Key, Owner>,
    rooms: Map<Owner, Room>,
}

impl Default for Search {
    fn default() -> Self {
        Self {
            due: Instant::default(),
            pause: PAUSE_MIN,
            owners: SecondaryMap::new(),
            rooms: Map::default(),
        }
    }
}

impl Search {
    fn start(&mut self, now: Instant) {
        self.due = now + self.pause;
        self.pause = (self.pause + self.pause).min(PAUSE_MAX);
    }

    /// Sets the owner of each target, a number for each VM.
    pub(super) fn set_owners(&mut self, owners: impl Iterator<Item = (target::Key, u32)>) {
        self.owners = owners.map(|(key, owner)| (key, Owner(owner))).collect();
        self.rooms.clear();
    }

    /// Records whether a target of another VM has room.
    pub(super) fn record_room(&mut self, now: Instant, key: target::Key, has_room: bool) {
        if has_room {
            self.pause = PAUSE_MIN;
        }
        let Some(owner) = self.owners.get(key) else {
            return;
        };
        let room = self.rooms.entry(*owner).or_insert(Room {
            share: ASSUMED_ROOM,
            at: now,
        });
        let seen = if has_room { 1.0 } else { 0.0 };
        let share = room.share(now);
        room.share = share + (seen - share) * ROOM_WEIGHT;
        room.at = now;
    }

    /// Whether most targets of the owner of a target have room.
    fn is_owner_idle(&self, now: Instant, key: target::Key) -> bool {
        let room = self.owners.get(key).and_then(|owner| self.rooms.get(owner));
        room.is_none_or(|room| room.share(now) >= MIN_ROOM)
    }
}

impl Placer {
    /// Whether the state of a target of another VM is known well enough to send a call there.
    pub(super) fn is_known(&self, now: Instant, key: target::Key, round_trip: f64) -> bool {
        let age = self.stats.get(key).and_then(|stats| stats.report_age(now));
        let limit = KNOWN_FOR.max(span(round_trip * KNOWN_FOR_TRIPS));
        age.is_some_and(|age| age <= limit) && self.search.is_owner_idle(now, key)
    }

    /// Searches for targets of other VMs that have room for the call, if none of `view` is good. Returns
    /// until when the call waits for the answers; none if it does not.
    pub(super) fn search(
        &mut self,
        now: Instant,
        item: &Item,
        view: &View,
        out: &mut Vec<Action>,
    ) -> Option<Instant> {
        if now < self.search.due || view.iter().any(|(_, target)| target.is_good()) {
            return None;
        }
        let ranked = self.rank(now, item, view, &item.tried);
        let mut unknown = ranked
            .iter()
            .filter(|choice| !choice.candidate.known)
            .take(SEARCHED)
            .peekable();
        unknown.peek()?;
        self.search.start(now);
        let mut wait: Option<f64> = None;
        for choice in unknown {
            let target = choice.target;
            self.pending_probes.insert(target, now);
            self.last_probes.insert(target, now);
            out.push(Action::Probe { target });
            let trips = choice.candidate.round_trip * WAIT_TRIPS;
            if trips <= WAIT_MAX_S {
                wait = Some(wait.map_or(trips, |wait| wait.max(trips)));
            }
        }
        wait.map(|wait| now + span(wait))
    }
}
