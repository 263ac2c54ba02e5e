//! Anti-entropy repair: the messages by which two VMs whose catalogues or members differ send each
//! other what they lack.

use crate::catalogue;
use crate::catalogue::BUCKETS;
use crate::catalogue::Catalogue;
use crate::catalogue::Stamp;
use crate::gossip::Delivery;
use crate::map::Set;
use crate::member;
use crate::member::Fleet;
use crate::member::State;
use crate::message;
use crate::message::Digest;
use crate::message::Entries;
use crate::message::Members;
use crate::message::Message;
use crate::message::Offer;
use crate::message::Offers;
use crate::message::Roster;
use crate::message::Versions;
use crate::message::Want;
use crate::time::Instant;
use crate::transfer::LARGE_TEXT_BYTES;

/// Most bytes of text in one message of entries, unless a single text is larger.
const ENTRIES_BYTES: usize = 262_144;

/// Root hash of the whole catalogue.
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

/// The versions in the buckets that differ from the peer's digest, if any.
pub(crate) fn versions(catalogue: &Catalogue, theirs: &Digest) -> Option<Message> {
    let mut versions = Versions::default();
    for (bucket, hash) in catalogue.digest().iter().enumerate() {
        if theirs.hashes.get(bucket) != Some(hash) {
            versions.buckets.push(bucket as u64);
            versions.keys.extend(catalogue.stamps(bucket));
        }
    }
    (!versions.buckets.is_empty()).then_some(Message::Versions(versions))
}

/// The contents that the peer lacks of the buckets that it listed, and a request for what this VM
/// lacks of them.
pub(crate) fn exchange(
    catalogue: &Catalogue,
    theirs: &Versions,
    delivery: Delivery,
) -> Vec<Message> {
    let listed: Set<usize> = theirs
        .buckets
        .iter()
        .filter_map(|bucket| usize::try_from(*bucket).ok())
        .filter(|bucket| *bucket < BUCKETS)
        .collect();
    let mut contents: Vec<catalogue::Content> = listed
        .iter()
        .flat_map(|bucket| catalogue.missing_contents(*bucket, &theirs.keys))
        .collect();
    contents.sort_by_key(|content| (content.key, content.version));
    let mut messages = batches(contents, delivery);
    let wanted = theirs.keys.iter().filter(|stamp| lacks(catalogue, stamp));
    let keys: Vec<Box<str>> = wanted.map(|stamp| stamp.key.clone()).collect();
    if !keys.is_empty() {
        let members = Vec::new();
        messages.push(Message::Want(Want { keys, members }));
    }
    messages
}

/// Whether the peer has a newer valid version of a key that this VM did not reject, or a newer
/// rejected one.
fn lacks(catalogue: &Catalogue, theirs: &Stamp) -> bool {
    let own = catalogue.get(&theirs.key);
    let valid = own.and_then(catalogue::Record::valid_mark);
    let rejected = own.and_then(catalogue::Record::rejected_mark);
    (theirs.valid > valid && theirs.valid != rejected) || theirs.rejected > valid.max(rejected)
}

/// The contents of `keys`, in messages of bounded size.
pub(crate) fn entries<'a>(
    catalogue: &'a Catalogue,
    keys: impl IntoIterator<Item = &'a str>,
    delivery: Delivery,
) -> Vec<Message> {
    let keys = keys.into_iter();
    let contents = keys.flat_map(|key| catalogue.contents(key)).collect();
    batches(contents, delivery)
}

/// Messages with `contents` for a peer: an offer of the large ones, if it knows offers, and the
/// texts of the others.
fn batches(contents: Vec<catalogue::Content>, delivery: Delivery) -> Vec<Message> {
    let is_large = |content: &catalogue::Content| {
        let bytes = content.text.map_or(0, str::len);
        delivery == Delivery::Offered && bytes >= LARGE_TEXT_BYTES
    };
    let (large, contents): (Vec<_>, Vec<_>) = contents.into_iter().partition(is_large);
    let offer = |content: &catalogue::Content| Offer {
        key: content.key.into(),
        mark: catalogue::mark(content.version, content.text),
    };
    let offers: Vec<Offer> = large.iter().map(offer).collect();
    let mut messages = Vec::new();
    if !offers.is_empty() {
        messages.push(Message::Offers(Offers { offers }));
    }
    let mut batch = Entries::default();
    let mut bytes = 0;
    for content in contents {
        let size = content.text.map_or(0, str::len);
        if bytes + size > ENTRIES_BYTES && !batch.contents.is_empty() {
            messages.push(Message::Entries(std::mem::take(&mut batch)));
            bytes = 0;
        }
        bytes += size;
        batch.contents.push(message::Content {
            key: content.key.into(),
            version: content.version,
            text: content.text.map(Into::into),
        });
    }
    if !batch.contents.is_empty() {
        messages.push(Message::Entries(batch));
    }
    messages
}

/// The stamps of all members that are not dead.
pub(crate) fn roster(fleet: &Fleet) -> Message {
    let mut stamps: Vec<member::Stamp> =
        fleet.live().map(|member| member.record().stamp()).collect();
    stamps.sort_unstable();
    Message::Roster(Roster { stamps })
}

/// The records of members that the peer lacks, and a request for those that this VM lacks.
pub(crate) fn reconcile(now: Instant, fleet: &Fleet, theirs: &Roster) -> Vec<Message> {
    let listed: Set<&str> = theirs.stamps.iter().map(|stamp| &*stamp.vm).collect();
    let unlisted = fleet
        .live()
        .filter(|member| !listed.contains(&*member.record().vm));
    let mut records: Vec<member::Record> = unlisted.map(|member| member.record_at(now)).collect();
    let mut wanted = Vec::new();
    for stamp in &theirs.stamps {
        match fleet.get(&stamp.vm) {
            Some(member) if member.record().stamp() > *stamp => records.push(member.record_at(now)),
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
        .filter_map(|vm| Some(fleet.get(vm)?.record_at(now)))
        .collect();
    (!records.is_empty()).then_some(Message::Members(Members { records }))
}
