//! What to tell a peer whose catalogue or members differ.

use crate::catalogue::Catalogue;
use crate::map::Map;
use crate::map::Set;
use crate::member;
use crate::member::Fleet;
use crate::member::Stamp;
use crate::member::State;
use crate::message::Content;
use crate::message::Digest;
use crate::message::Entries;
use crate::message::Held;
use crate::message::Members;
use crate::message::Message;
use crate::message::Roster;
use crate::message::Versions;
use crate::message::Want;
use crate::time::Instant;

/// Text in one message of entries, unless a single text is larger.
const ENTRIES_BYTES: usize = 262_144;

/// Hash of the whole catalogue.
pub(crate) fn root(catalogue: &Catalogue) -> u64 {
    let mut bytes = Vec::new();
    for hash in catalogue.digest() {
        bytes.extend_from_slice(&hash.to_be_bytes());
    }
    member::hash(&[&bytes])
}

/// The hashes of all buckets.
pub(crate) fn digest(catalogue: &Catalogue) -> Message {
    Message::Digest(Digest {
        hashes: catalogue.digest().to_vec(),
    })
}

/// The versions in the buckets that differ from the peer's digest.
pub(crate) fn versions(catalogue: &Catalogue, theirs: &Digest) -> Option<Message> {
    let mut versions = Versions::default();
    for (bucket, hash) in catalogue.digest().iter().enumerate() {
        if theirs.hashes.get(bucket) != Some(hash) {
            versions.buckets.push(bucket as u64);
            versions.keys.extend(held(catalogue, bucket));
        }
    }
    (!versions.buckets.is_empty()).then_some(Message::Versions(versions))
}

/// What the peer lacks of the buckets that it listed, and what this VM lacks of them.
pub(crate) fn exchange(catalogue: &Catalogue, theirs: &Versions) -> Vec<Message> {
    let known: Map<&str, &Held> = theirs.keys.iter().map(|held| (&*held.key, held)).collect();
    let buckets = catalogue.digest().len();
    let mut own: Map<Box<str>, Held> = Map::default();
    for bucket in &theirs.buckets {
        match usize::try_from(*bucket) {
            Ok(bucket) if bucket < buckets => {
                let held = held(catalogue, bucket);
                own.extend(held.into_iter().map(|held| (held.key.clone(), held)));
            }
            Ok(_) | Err(_) => {}
        }
    }
    // With equal versions and different hashes, each side may hold what the other lacks.
    let ahead = |held: &Held, other: Option<&Held>| {
        other.is_none_or(|other| held.hash != other.hash && held.version >= other.version)
    };
    let mut sent: Vec<&str> = own
        .values()
        .filter(|held| ahead(held, known.get(&*held.key).copied()))
        .map(|held| &*held.key)
        .collect();
    sent.sort_unstable();
    let mut messages = entries(catalogue, sent);
    let wanted: Vec<Box<str>> = theirs
        .keys
        .iter()
        .filter(|held| ahead(held, own.get(&held.key)))
        .map(|held| held.key.clone())
        .collect();
    if !wanted.is_empty() {
        messages.push(Message::Want(Want {
            keys: wanted,
            members: Vec::new(),
        }));
    }
    messages
}

/// The contents of `keys`, in messages of bounded size.
pub(crate) fn entries<'a>(
    catalogue: &Catalogue,
    keys: impl IntoIterator<Item = &'a str>,
) -> Vec<Message> {
    let mut messages = Vec::new();
    let mut batch = Entries::default();
    let mut bytes = 0;
    for content in keys.into_iter().flat_map(|key| contents(catalogue, key)) {
        let size = content.text.as_ref().map_or(0, |text| text.len());
        if bytes + size > ENTRIES_BYTES && !batch.contents.is_empty() {
            messages.push(Message::Entries(std::mem::take(&mut batch)));
            bytes = 0;
        }
        bytes += size;
        batch.contents.push(content);
    }
    if !batch.contents.is_empty() {
        messages.push(Message::Entries(batch));
    }
    messages
}

fn held(catalogue: &Catalogue, bucket: usize) -> Vec<Held> {
    catalogue.versions(bucket)
}

fn contents(catalogue: &Catalogue, key: &str) -> Vec<Content> {
    catalogue.contents(key)
}

/// The stamps of all members that are not dead.
pub(crate) fn roster(fleet: &Fleet) -> Message {
    let mut stamps: Vec<Stamp> = fleet.live().map(|member| member.record().stamp()).collect();
    stamps.sort_unstable();
    Message::Roster(Roster { stamps })
}

/// What the peer lacks of the members, and what this VM lacks.
pub(crate) fn reconcile(now: Instant, fleet: &Fleet, theirs: &Roster) -> Vec<Message> {
    let listed: Set<&str> = theirs.stamps.iter().map(|stamp| &*stamp.vm).collect();
    let unlisted = fleet
        .live()
        .filter(|member| !listed.contains(&*member.record().vm));
    let mut records: Vec<member::Record> = unlisted.map(|member| member.current(now)).collect();
    let mut wanted = Vec::new();
    for stamp in &theirs.stamps {
        match fleet.get(&stamp.vm) {
            Some(member) if member.record().stamp() > *stamp => records.push(member.current(now)),
            Some(member) if member.record().stamp() == *stamp => {}
            None if stamp.state == State::Dead => {}
            Some(_) | None => wanted.push(stamp.vm.clone()),
        }
    }
    records.sort_by(|left, right| left.vm.cmp(&right.vm));
    let mut messages = Vec::new();
    if !records.is_empty() {
        messages.push(Message::Members(Members { records }));
    }
    if !wanted.is_empty() {
        messages.push(Message::Want(Want {
            keys: Vec::new(),
            members: wanted,
        }));
    }
    messages
}

/// The records of the members that the peer wants.
pub(crate) fn records(now: Instant, fleet: &Fleet, wanted: &Want) -> Option<Message> {
    let records: Vec<member::Record> = wanted
        .members
        .iter()
        .collect::<Set<_>>()
        .into_iter()
        .filter_map(|vm| Some(fleet.get(vm)?.current(now)))
        .collect();
    (!records.is_empty()).then_some(Message::Members(Members { records }))
}
