//! Anti-entropy between the catalogues of two VMs: digests, stamps and the contents to send.

use super::BUCKETS;
use super::Catalogue;
use super::Mark;
use super::Record;
use super::record;
use crate::map::Map;
use crate::version::Version;

data! {
    /// A content to forward to peers.
    #[derive(Copy)]
    pub struct Content<'a> {
        /// Key of the content.
        pub key: &'a str,
        /// Version of the content.
        pub version: Version,
        /// Text as published; none for a deletion.
        pub text: Option<&'a str>,
    }

    /// The marks that a VM stores for a key, for comparison with a peer.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Stamp {
        /// The key.
        pub key: Box<str>,
        /// Mark of the content in effect.
        pub valid: Option<Mark>,
        /// Mark of the newer content that was rejected.
        pub rejected: Option<Mark>,
    }
}

impl Catalogue {
    /// The contents of `key` to forward to peers: the valid one, then a newer rejected one.
    pub fn contents<'a>(&'a self, key: &str) -> impl Iterator<Item = Content<'a>> {
        let found = self.records.get_key_value(key);
        found
            .into_iter()
            .flat_map(|(key, record)| contents_of(key, record))
            .flatten()
    }

    /// A hash of each bucket. VMs that store the same contents have the same hashes.
    #[must_use]
    pub fn digest(&self) -> &[u64; BUCKETS] {
        &self.digest
    }

    /// The stamps of the keys of `bucket`.
    #[must_use]
    pub fn stamps(&self, bucket: usize) -> Vec<Stamp> {
        let keys = self.records.iter();
        let keys = keys.filter(|(key, _)| record::bucket(key, BUCKETS) == bucket);
        keys.map(|(key, record)| Stamp {
            key: key.clone(),
            valid: record.valid_mark(),
            rejected: record.rejected_mark(),
        })
        .collect()
    }

    /// The contents of `bucket` that are missing at a peer with the stamps `theirs`.
    #[must_use]
    pub fn missing_contents(&self, bucket: usize, theirs: &[Stamp]) -> Vec<Content<'_>> {
        let theirs: Map<&str, &Stamp> = theirs.iter().map(|stamp| (&*stamp.key, stamp)).collect();
        let mut contents = Vec::new();
        for (key, record) in &self.records {
            if record::bucket(key, BUCKETS) != bucket {
                continue;
            }
            let valid = theirs.get(&**key).and_then(|stamp| stamp.valid);
            let rejected = theirs.get(&**key).and_then(|stamp| stamp.rejected);
            let [own_valid, own_rejected] = contents_of(key, record);
            // A peer that runs another build may have rejected a content that is valid here.
            let needs_valid = record.valid_mark() > valid && record.valid_mark() != rejected;
            contents.extend(own_valid.filter(|_| needs_valid));
            let needs_rejected = record.rejected_mark() > valid.max(rejected);
            contents.extend(own_rejected.filter(|_| needs_rejected));
        }
        contents
    }
}

/// The valid and the rejected content of a record.
fn contents_of<'a>(key: &'a str, record: &'a Record) -> [Option<Content<'a>>; 2] {
    let valid = record.valid.as_ref().map(|valid| Content {
        key,
        version: valid.mark.version,
        text: valid.text.as_deref(),
    });
    let rejected = record.rejected.as_ref().map(|rejected| Content {
        key,
        version: rejected.mark.version,
        text: Some(&rejected.text),
    });
    [valid, rejected]
}
