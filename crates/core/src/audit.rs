//! Audit trail: records of this VM's changes, and copies of the records of peers, in bounded
//! memory.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::map::Map;
use crate::version::Version;

/// Own records that a VM keeps.
pub const OWN_RECORDS: usize = 4_096;
/// Records that a VM keeps of each peer incarnation.
pub const COPIED_RECORDS: usize = 512;
/// Peer incarnations of which a VM keeps records.
pub const COPIED_VMS: usize = 16;
/// Longest text of a record's field, in bytes.
pub const TEXT_BYTES: usize = 512;

data! {
    /// One change of what is in effect on one VM. The field names are short on the wire.
    #[derive(Serialize, Deserialize)]
    pub struct Record {
        /// Position in the trail of the incarnation, from 1.
        #[serde(rename = "q")]
        pub seq: u64,
        /// VM on which the change took effect.
        #[serde(rename = "v")]
        pub vm: Box<str>,
        /// Incarnation of that VM.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// Wall clock of that VM in milliseconds.
        #[serde(rename = "t")]
        pub wall_ms: u64,
        /// What kind of change.
        #[serde(rename = "k")]
        pub kind: Box<str>,
        /// What changed: an entry, a target, a VM.
        #[serde(rename = "s")]
        pub subject: Box<str>,
        /// Version now in effect, for a catalogue key.
        #[serde(rename = "n", default)]
        pub version: Option<Version>,
        /// Where the change came from.
        #[serde(rename = "o")]
        pub source: Box<str>,
        /// Why the change was made.
        #[serde(rename = "c")]
        pub cause: Box<str>,
    }

    /// A change to be recorded.
    pub struct Change {
        /// What kind of change.
        pub kind: Box<str>,
        /// What changed.
        pub subject: Box<str>,
        /// Version now in effect, for a catalogue key.
        pub version: Option<Version>,
        /// Where the change came from.
        pub source: Box<str>,
        /// Why the change was made.
        pub cause: Box<str>,
    }

    /// Which records to return; a field left empty matches all.
    #[derive(Default)]
    pub struct Query {
        /// Subject to match.
        pub subject: Option<Box<str>>,
        /// Kind to match.
        pub kind: Option<Box<str>>,
        /// Wall clock in milliseconds; only later records match.
        pub after_ms: u64,
        /// Most records to return, the newest ones; zero for all.
        pub newest: usize,
    }
}

#[derive(Debug, Default)]
struct Copies {
    records: VecDeque<Record>,
    /// Value of [`Ring::updates`] at the last update.
    last_update: u64,
}

/// Bounded store of audit records: the newest own ones and those of some peers.
#[derive(Debug)]
pub struct Ring {
    vm: Box<str>,
    incarnation: u64,
    last: u64,
    own: VecDeque<Record>,
    /// Copies by VM and incarnation.
    copies: Map<(Box<str>, u64), Copies>,
    /// Updates of copies so far.
    updates: u64,
}

impl Change {
    /// A change without a version.
    #[must_use]
    pub fn new(kind: &str, subject: &str, source: &str, cause: &str) -> Self {
        Self {
            kind: kind.into(),
            subject: subject.into(),
            version: None,
            source: source.into(),
            cause: cause.into(),
        }
    }

    /// Adds the version that the change put in effect.
    #[must_use]
    pub fn with_version(self, version: Version) -> Self {
        Self {
            version: Some(version),
            ..self
        }
    }
}

impl Query {
    fn matches(&self, record: &Record) -> bool {
        let matches = |wanted: &Option<Box<str>>, found: &str| {
            wanted.as_ref().is_none_or(|wanted| &**wanted == found)
        };
        record.wall_ms > self.after_ms
            && matches(&self.subject, &record.subject)
            && matches(&self.kind, &record.kind)
    }
}

impl Ring {
    /// An empty trail of one incarnation.
    #[must_use]
    pub fn new(vm: &str, incarnation: u64) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
            last: 0,
            own: VecDeque::new(),
            copies: Map::default(),
            updates: 0,
        }
    }

    /// Sequence number of the newest own record, 0 if there is none.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Replaces the incarnation, which was raised before the VM served, in all own records.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        for record in &mut self.own {
            record.incarnation = incarnation;
        }
    }

    /// Records a change and returns its record.
    pub fn record(&mut self, wall_ms: u64, change: Change) -> Record {
        self.last += 1;
        let record = Record {
            seq: self.last,
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            wall_ms,
            kind: bounded(change.kind),
            subject: bounded(change.subject),
            version: change.version,
            source: bounded(change.source),
            cause: bounded(change.cause),
        };
        if self.own.len() >= OWN_RECORDS {
            self.own.pop_front();
        }
        self.own.push_back(record.clone());
        record
    }

    /// Sequence number of the oldest own record that is still sent to peers.
    #[must_use]
    pub fn oldest_sent(&self) -> u64 {
        self.last.saturating_sub(COPIED_RECORDS as u64) + 1
    }

    /// Up to `limit` own records after sequence number `seq`, oldest first, of those that are still
    /// sent to peers.
    #[must_use]
    pub fn records_after(&self, seq: u64, limit: usize) -> Vec<Record> {
        let start = seq.max(self.oldest_sent() - 1);
        let count = usize::try_from(self.last.saturating_sub(start)).unwrap_or(usize::MAX);
        let skipped = self.own.len().saturating_sub(count);
        self.own.iter().skip(skipped).take(limit).cloned().collect()
    }

    /// Sequence number of the newest copied record of an incarnation of `vm`, 0 if there is none.
    #[must_use]
    pub fn last_copied(&self, vm: &str, incarnation: u64) -> u64 {
        self.copies
            .get(&(vm.into(), incarnation))
            .and_then(|copies| copies.records.back())
            .map_or(0, |record| record.seq)
    }

    /// Stores copies of records of one incarnation of a peer. A record is stored only if it follows
    /// the newest copy, so that a lost frame is sent again; a gap is allowed before `oldest`, the
    /// oldest record that the peer still sends.
    pub fn store_copies(&mut self, vm: &str, incarnation: u64, oldest: u64, records: Vec<Record>) {
        if vm == &*self.vm && incarnation == self.incarnation {
            return;
        }
        self.updates += 1;
        let update = self.updates;
        let copies = self.copies.entry((vm.into(), incarnation)).or_default();
        copies.last_update = update;
        for record in records {
            let last = copies.records.back().map_or(0, |record| record.seq);
            let follows = record.seq == last + 1 || (record.seq > last && record.seq == oldest);
            if follows && &*record.vm == vm && record.incarnation == incarnation {
                copies.records.push_back(record);
            }
        }
        let surplus = copies.records.len().saturating_sub(COPIED_RECORDS);
        copies.records.drain(..surplus);
        self.evict_least_recent();
    }

    // Drops the copies of the least recently updated incarnation if there are more than
    // [`COPIED_VMS`].
    fn evict_least_recent(&mut self) {
        if self.copies.len() <= COPIED_VMS {
            return;
        }
        let least_recent = self
            .copies
            .iter()
            .min_by_key(|(_, copies)| copies.last_update)
            .map(|(key, _)| key.clone());
        if let Some(key) = least_recent {
            self.copies.remove(&key);
        }
    }

    /// Own and copied records that match, ordered by wall clock, VM and sequence number.
    #[must_use]
    pub fn query(&self, query: &Query) -> Vec<Record> {
        let copied = self.copies.values().flat_map(|copies| &copies.records);
        let mut found: Vec<Record> = self
            .own
            .iter()
            .chain(copied)
            .filter(|record| query.matches(record))
            .cloned()
            .collect();
        found.sort_by(|left, right| {
            let key = |record: &Record| (record.wall_ms, record.incarnation, record.seq);
            (key(left), &left.vm).cmp(&(key(right), &right.vm))
        });
        if query.newest > 0 {
            found.drain(..found.len().saturating_sub(query.newest));
        }
        found
    }
}

/// Cuts a text to [`TEXT_BYTES`] at the boundary of a character.
fn bounded(text: Box<str>) -> Box<str> {
    if text.len() <= TEXT_BYTES {
        return text;
    }
    let mut end = TEXT_BYTES;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].into()
}
