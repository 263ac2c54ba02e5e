//! Membership of the fleet: the VMs that this VM knows, with their incarnations and states.

mod record;

use std::cmp::Ordering;

use sha2::Digest;
use sha2::Sha256;

use crate::map::Map;
use crate::time::Instant;
use crate::time::Span;

pub use record::Record;
pub use record::Stamp;
pub use record::State;
pub use record::USUAL_CAPACITY;

/// Members that a VM remembers, dead ones included.
pub const MAX_MEMBERS: usize = 1_024;
/// Time without a refutation after which a suspected member counts as dead.
pub const SUSPICION_TIMEOUT: Span = Span::from_millis(5_000);
/// Window over which suspicions of one member are counted.
pub const FLAP_WINDOW: Span = Span::from_millis(60_000);
/// Time for which a flapping member counts as suspect.
pub const FLAP_HOLD: Span = Span::from_millis(60_000);
/// Gap between two ticks above which this process counts as having been frozen.
pub const FREEZE_LIMIT: Span = Span::from_millis(1_500);
/// Time for which a dead member is remembered, so that its older records are not taken for new
/// ones. A region can be cut off for an hour, and its members are redialled from these records.
pub const DEAD_RETENTION: Span = Span::from_millis(7_200_000);

// Suspicions in the window from which a member counts as flapping.
const FLAP_SUSPICIONS: usize = 3;

data! {
    /// Result of merging a record.
    pub enum Merge {
        /// The record is now in effect; the state before is given for a known member.
        Newer(Option<State>),
        /// The same record is already in effect.
        Known,
        /// A newer record is in effect.
        Behind,
        /// The record described this VM wrongly; the own record was raised above it.
        Refuted,
        /// A newer incarnation of this VM's name serves elsewhere.
        Superseded,
        /// There is no room for another member.
        Full,
    }
}

/// One member.
#[derive(Clone, Debug)]
pub struct Member {
    record: Record,
    rank: u64,
    received: Instant,
    state_since: Instant,
    suspicions: Vec<Instant>,
    flapping_until: Instant,
}

/// All known members, this VM included.
#[derive(Clone, Debug)]
pub struct Fleet {
    own: Box<str>,
    is_incarnation_fixed: bool,
    last_tick: Instant,
    changes: u64,
    members: Map<Box<str>, Member>,
}

impl Member {
    fn new(now: Instant, record: Record) -> Self {
        Self {
            rank: rank(&record.vm, record.incarnation),
            record,
            received: now,
            state_since: now,
            suspicions: Vec::new(),
            flapping_until: Instant::default(),
        }
    }

    /// The record as last received; its uptime is that of the moment of receipt.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Position among the members of a data centre; see [`rank`].
    #[must_use]
    pub fn rank(&self) -> u64 {
        self.rank
    }

    /// Whether `other` is alive, in the same data centre and ranks before this member.
    #[must_use]
    pub fn is_preceded_by(&self, other: &Self) -> bool {
        other.record.data_center == self.record.data_center
            && other.record.state == State::Alive
            && (other.rank, &other.record.vm) < (self.rank, &self.record.vm)
    }

    /// When this VM learned that the member entered its state.
    #[must_use]
    pub fn state_since(&self) -> Instant {
        self.state_since
    }

    /// A lower bound of the member's uptime.
    #[must_use]
    pub fn uptime(&self, now: Instant) -> Span {
        Span::from_millis(self.record.uptime_ms) + now.since(self.received)
    }

    /// State for the choice of addresses: a flapping member counts as suspect for [`FLAP_HOLD`].
    #[must_use]
    pub fn effective_state(&self, now: Instant) -> State {
        if self.record.state == State::Alive && now < self.flapping_until {
            return State::Suspect;
        }
        self.record.state
    }

    /// The record with its uptime brought forward to `now`.
    #[must_use]
    pub fn record_at(&self, now: Instant) -> Record {
        Record {
            uptime_ms: self.uptime(now).as_millis(),
            ..self.record.clone()
        }
    }

    fn raise_uptime(&mut self, now: Instant, uptime_ms: u64) {
        if uptime_ms > self.uptime(now).as_millis() {
            self.record.uptime_ms = uptime_ms;
            self.received = now;
        }
    }

    fn replace(&mut self, now: Instant, record: Record) {
        let same_incarnation = record.incarnation == self.record.incarnation;
        let before = if same_incarnation {
            self.record.state
        } else {
            State::Alive
        };
        let uptime_ms = if same_incarnation {
            record.uptime_ms.max(self.uptime(now).as_millis())
        } else {
            record.uptime_ms
        };
        if record.state != before {
            self.state_since = now;
        }
        if record.state == State::Suspect && before != State::Suspect {
            self.count_suspicion(now);
        }
        self.rank = rank(&record.vm, record.incarnation);
        self.record = Record {
            uptime_ms,
            ..record
        };
        self.received = now;
    }

    fn count_suspicion(&mut self, now: Instant) {
        self.suspicions
            .retain(|earlier| now.since(*earlier) < FLAP_WINDOW);
        self.suspicions.push(now);
        if self.suspicions.len() >= FLAP_SUSPICIONS {
            self.flapping_until = now + FLAP_HOLD;
            self.suspicions.clear();
        }
    }
}

impl Fleet {
    /// A fleet of which only this VM is known.
    #[must_use]
    pub fn new(now: Instant, own: Record) -> Self {
        let mut members = Map::default();
        let name = own.vm.clone();
        members.insert(name.clone(), Member::new(now, own));
        Self {
            own: name,
            is_incarnation_fixed: false,
            last_tick: now,
            changes: 0,
            members,
        }
    }

    /// This VM.
    ///
    /// # Panics
    ///
    /// Never: this VM's own member is never removed.
    #[must_use]
    pub fn own(&self) -> &Member {
        self.members.get(&self.own).expect("the own member is kept")
    }

    /// Fixes the own incarnation, under which this VM serves from now on.
    pub fn fix_incarnation(&mut self) {
        self.is_incarnation_fixed = true;
    }

    /// Whether the own incarnation is fixed.
    #[must_use]
    pub fn is_incarnation_fixed(&self) -> bool {
        self.is_incarnation_fixed
    }

    /// Number of changes of members so far, by which derived values can be cached.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The member named `vm`.
    #[must_use]
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// All members, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are not dead, in no order.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.record.state != State::Dead)
    }

    /// Root hash of the stamps of all members that are not dead. Dead members are left out, because
    /// VMs forget them at different times.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.live()
            .map(|member| stamp_hash(&member.record))
            .fold(0, |root, hash| root ^ hash)
    }

    /// Takes over `record` if it is newer than what is known.
    pub fn merge(&mut self, now: Instant, record: Record) -> Merge {
        if record.vm == self.own {
            return self.merge_own(now, &record);
        }
        if !self.members.contains_key(&record.vm) && !self.make_room() {
            return Merge::Full;
        }
        let Some(member) = self.members.get_mut(&record.vm) else {
            self.changes += 1;
            let name = record.vm.clone();
            self.members.insert(name, Member::new(now, record));
            return Merge::Newer(None);
        };
        let order = record.order(&member.record);
        let newer = order.then_with(|| record.details().cmp(&member.record.details()));
        if record.incarnation == member.record.incarnation {
            member.raise_uptime(now, record.uptime_ms);
        }
        match newer {
            Ordering::Less => Merge::Behind,
            Ordering::Equal => Merge::Known,
            Ordering::Greater => {
                let before = member.record.state;
                member.replace(now, record);
                self.changes += 1;
                Merge::Newer(Some(before))
            }
        }
    }

    fn merge_own(&mut self, now: Instant, record: &Record) -> Merge {
        let own = self.own().record.clone();
        match record.order(&own) {
            Ordering::Less => Merge::Behind,
            Ordering::Equal => Merge::Known,
            Ordering::Greater if record.incarnation > own.incarnation => {
                if self.is_incarnation_fixed {
                    return Merge::Superseded;
                }
                self.update_own(now, record.incarnation.saturating_add(1), 0, own.state);
                Merge::Refuted
            }
            Ordering::Greater => {
                let sequence = record.sequence.saturating_add(1);
                self.update_own(now, own.incarnation, sequence, own.state);
                Merge::Refuted
            }
        }
    }

    /// Sets the state of this VM itself under a new sequence number; `Dead` is final.
    pub fn announce(&mut self, now: Instant, state: State) {
        let own = self.own().record.clone();
        if own.state != State::Dead {
            let sequence = own.sequence.saturating_add(1);
            self.update_own(now, own.incarnation, sequence, state);
        }
    }

    fn update_own(&mut self, now: Instant, incarnation: u64, sequence: u64, state: State) {
        let name = self.own.clone();
        if let Some(member) = self.members.get_mut(&name) {
            let record = Record {
                incarnation,
                sequence,
                state,
                uptime_ms: now.as_micros() / 1_000,
                ..member.record.clone()
            };
            member.replace(now, record);
            self.changes += 1;
        }
    }

    /// Marks a member that cannot be reached: one in a planned shutdown becomes dead, another one
    /// suspect. Returns its new record for the peers, none if nothing changed.
    pub fn suspect(&mut self, now: Instant, vm: &str) -> Option<Record> {
        if vm == &*self.own {
            return None;
        }
        let member = self.members.get_mut(vm)?;
        let state = match member.record.state {
            State::Alive => State::Suspect,
            State::Leaving => State::Dead,
            State::Suspect | State::Dead => return None,
        };
        let record = Record {
            state,
            ..member.record_at(now)
        };
        member.replace(now, record);
        self.changes += 1;
        Some(member.record_at(now))
    }

    /// Declares overdue suspects dead and forgets members that died long ago. Returns the records
    /// of the new dead.
    pub fn expire(&mut self, now: Instant) -> Vec<Record> {
        let mut dead = Vec::new();
        for member in self.members.values_mut() {
            if member.record.state == State::Suspect
                && now.since(member.state_since) >= SUSPICION_TIMEOUT
            {
                let record = Record {
                    state: State::Dead,
                    ..member.record_at(now)
                };
                member.replace(now, record.clone());
                dead.push(record);
            }
        }
        self.changes += dead.len() as u64;
        let own = &self.own;
        self.members.retain(|name, member| {
            name == own
                || member.record.state != State::Dead
                || now.since(member.state_since) < DEAD_RETENTION
        });
        dead.sort_by(|left, right| left.vm.cmp(&right.vm));
        dead
    }

    /// Detects freezes; called several times a second. After a freeze, this VM raises the sequence
    /// number of its own record and restarts the timeout of every suspicion, because refutations
    /// may wait unread. Returns whether there was a freeze.
    pub fn tick(&mut self, now: Instant) -> bool {
        let was_frozen = now.since(self.last_tick) > FREEZE_LIMIT;
        self.last_tick = now;
        if was_frozen {
            for member in self.members.values_mut() {
                if member.record.state == State::Suspect {
                    member.state_since = now;
                }
            }
            let state = self.own().record.state;
            self.announce(now, state);
        }
        was_frozen
    }

    // Removes the member that died first if there are [`MAX_MEMBERS`]. Returns whether there is
    // room.
    fn make_room(&mut self) -> bool {
        if self.members.len() < MAX_MEMBERS {
            return true;
        }
        let oldest = self
            .members
            .values()
            .filter(|member| member.record.state == State::Dead && member.record.vm != self.own)
            .min_by_key(|member| member.state_since)
            .map(|member| member.record.vm.clone());
        oldest.is_some_and(|name| self.members.remove(&name).is_some())
    }
}

/// Position of an incarnation of a VM in rings and elections; the same on every VM and build.
#[must_use]
pub fn rank(vm: &str, incarnation: u64) -> u64 {
    hash(&[vm.as_bytes(), &incarnation.to_be_bytes()])
}

fn stamp_hash(record: &Record) -> u64 {
    let state = [record.state as u8];
    let incarnation = record.incarnation.to_be_bytes();
    let sequence = record.sequence.to_be_bytes();
    hash(&[record.vm.as_bytes(), &incarnation, &sequence, &state])
}

pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut sha = Sha256::new();
    for part in parts {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    let digest = sha.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
