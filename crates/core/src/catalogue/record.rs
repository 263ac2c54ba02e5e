//! The record that the catalogue stores for one key.

use sha2::Digest;
use sha2::Sha256;

use crate::constants::Constants;
use crate::entry::Entry;
use crate::read::Fault;
use crate::version::Version;

key! {
    /// Orders the contents of a key, by version and then by digest. The highest mark wins.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Mark {
        /// Version of the content.
        pub version: Version,
        /// SHA-256 of the text; all zero for a deletion, so that a text of the same version wins.
        pub digest: [u8; 32],
    }
}

data! {
    /// The sender of a content.
    pub enum Source {
        /// The configuration service.
        Service,
        /// The VM of that name.
        Peer(Box<str>),
    }

    /// The parsed value of a valid content.
    pub enum Value {
        /// An entry in effect.
        Entry(Entry),
        /// The constants of the deployment.
        Constants(Constants),
        /// A text that only an adapter decodes.
        Opaque,
        /// The key was deleted.
        Deleted,
    }

    /// The valid content with the highest mark.
    pub struct Valid {
        /// Version and digest.
        pub mark: Mark,
        /// Text as published; none for a deletion.
        pub text: Option<Box<str>>,
        /// Its first sender.
        pub source: Source,
        /// The parsed value.
        pub value: Value,
    }

    /// A content that is not valid and is newer than the valid one.
    pub struct Rejected {
        /// Version and digest.
        pub mark: Mark,
        /// Text as published.
        pub text: Box<str>,
        /// Its first sender.
        pub source: Source,
        /// Why it is not valid.
        pub faults: Vec<Fault>,
    }

    /// One key: the content in effect, and a newer one that was rejected.
    #[derive(Default)]
    pub struct Record {
        /// The valid content with the highest mark.
        pub valid: Option<Valid>,
        /// The rejected content with the highest mark, if it is above the valid one.
        pub rejected: Option<Rejected>,
    }
}

/// The mark of `text` at `version`; `text` is none for a deletion.
#[must_use]
pub fn mark(version: Version, text: Option<&str>) -> Mark {
    let digest = text.map_or([0; 32], |text| Sha256::digest(text).into());
    Mark { version, digest }
}

impl Record {
    /// The highest mark of the stored contents.
    #[must_use]
    pub fn newest(&self) -> Option<Mark> {
        self.rejected_mark().max(self.valid_mark())
    }

    /// The mark of the content in effect.
    #[must_use]
    pub fn valid_mark(&self) -> Option<Mark> {
        self.valid.as_ref().map(|valid| valid.mark)
    }

    /// The mark of the rejected content.
    #[must_use]
    pub fn rejected_mark(&self) -> Option<Mark> {
        self.rejected.as_ref().map(|rejected| rejected.mark)
    }

    /// Whether the record holds a deletion only.
    #[must_use]
    pub fn is_tombstone(&self) -> bool {
        let deleted = |valid: &Valid| valid.text.is_none();
        self.rejected.is_none() && self.valid.as_ref().is_some_and(deleted)
    }

    /// Length of the stored texts, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let valid = self.valid.as_ref().and_then(|valid| valid.text.as_ref());
        let rejected = self.rejected.as_ref().map(|rejected| &rejected.text);
        valid.map_or(0, |text| text.len()) + rejected.map_or(0, |text| text.len())
    }

    /// A hash of `key` and its marks, the same on every VM that stores the same contents.
    pub(crate) fn fingerprint(&self, key: &str) -> u64 {
        let mut hash = Sha256::new();
        hash.update(key);
        for mark in [self.valid_mark(), self.rejected_mark()] {
            hash.update([u8::from(mark.is_some())]);
            if let Some(mark) = mark {
                hash.update(mark.version.generation.to_be_bytes());
                hash.update(mark.version.revision.to_be_bytes());
                hash.update(mark.digest);
            }
        }
        first_u64(&hash.finalize())
    }
}

/// The anti-entropy bucket of `key`, the same on every VM.
pub(crate) fn bucket(key: &str, buckets: usize) -> usize {
    usize::from(Sha256::digest(key)[0]) % buckets
}

fn first_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .take(8)
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}
