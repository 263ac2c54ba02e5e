//! Keys of a platform's store, whose texts an adapter decodes.
//!
//! The store can be restored from a copy that lacks its latest changes. Its revisions then go back
//! and are given out again, so they order contents only within one era of the store.

use super::Catalogue;
use super::Deletion;
use super::Record;
use super::Rollback;
use crate::map::Set;
use crate::version::Version;

data! {
    /// Keys whose texts an adapter decodes.
    pub struct Opaque {
        /// Prefix of the keys.
        pub prefix: Box<str>,
        /// What orders the contents of a key.
        pub order: Order,
    }

    /// What orders the contents of a key.
    #[derive(Copy)]
    pub enum Order {
        /// The number that its text states. A restored store may show a content with a lower number,
        /// which does not replace one with a higher number.
        Number,
        /// The era of the store, then the revision. In a higher era, the store decides anew.
        Era,
    }
}

impl Catalogue {
    /// What orders the contents of `key`; none if no adapter decodes its text.
    pub(super) fn order(&self, key: &str) -> Option<Order> {
        let mut opaque = self.opaque.iter();
        let found = opaque.find(|opaque| key.starts_with(&*opaque.prefix))?;
        Some(found.order)
    }

    /// Highest era of the store in which a known content was read; 0 before the first one.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Raises the era to that of `record`, which is stored under `key`.
    pub(super) fn raise_era(&mut self, key: &str, record: &Record) {
        if self.order(key) == Some(Order::Era) {
            let generation = record.newest().map_or(0, |mark| mark.version.generation);
            self.era = self.era.max(generation);
        }
    }

    /// Whether `version` of `key` is from an earlier era, and the key is missing since: the restored
    /// store lacks it. Versions without an era come from VMs that do not know eras yet.
    pub(super) fn is_lost(&self, key: &str, version: Version) -> bool {
        let is_earlier = version.generation > 0 && version.generation < self.era;
        is_earlier && self.get(key).is_none() && self.order(key) == Some(Order::Era)
    }

    /// The version of a content of `key` that the store delivered at `revision` in its `era`. `number`
    /// is the number that the text states; none if it has none, or cannot be used.
    #[must_use]
    pub fn opaque_version(
        &self,
        key: &str,
        era: u64,
        revision: u64,
        number: Option<u64>,
    ) -> Version {
        let generation = match self.order(key) {
            Some(Order::Era) => era,
            Some(Order::Number) | None => match number {
                Some(number) => number,
                None => return self.version(key, revision, None),
            },
        };
        Version {
            generation,
            revision,
        }
    }

    /// Applies a listing of the whole store at `revision` in its `era`, which has the keys `present`
    /// with the revisions of their contents. Keys that are ordered by the era, are not listed, and are
    /// older than the listing are deleted; call it after each key present was offered.
    ///
    /// A key ordered by its number is kept: the copy from which the store was restored may be older.
    ///
    /// # Errors
    ///
    /// Deletes nothing if the listing shows an older content of a key than the store had at that
    /// revision of the same era.
    pub fn apply_listing(
        &mut self,
        era: u64,
        revision: u64,
        present: &[(&str, u64)],
    ) -> Result<Vec<Deletion>, Rollback> {
        let is_rolled_back = |(key, listed): &&(&str, u64)| {
            let newest = self.get(key).and_then(Record::newest);
            self.order(key) == Some(Order::Era)
                && newest.is_some_and(|mark| {
                    let stored = mark.version;
                    stored.generation == era
                        && *listed < stored.revision
                        && stored.revision <= revision
                })
        };
        if let Some((key, _)) = present.iter().find(is_rolled_back) {
            return Err(Rollback { key: (*key).into() });
        }
        let present: Set<&str> = present.iter().map(|(key, _)| *key).collect();
        let version = Version {
            generation: era,
            revision,
        };
        let missing = self.records().filter(|(key, record)| {
            let is_older = record.newest().is_some_and(|mark| mark.version < version);
            let is_listed = present.contains(key) || self.order(key) != Some(Order::Era);
            is_older && !is_listed && !record.is_tombstone()
        });
        let deletions = missing.map(|(key, _)| Deletion {
            key: key.into(),
            version,
        });
        let deletions = deletions.collect();
        Ok(self.delete(deletions))
    }
}
