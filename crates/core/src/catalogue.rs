//! The replicated catalogue of this VM: for each key the valid content with the highest version.
//!
//! Two registers are kept per key: the valid content and the rejected content with the highest
//! mark. The mark of a register never decreases, so the state depends on the set of contents
//! offered and not on their order or number. VMs that received the same contents therefore agree.

mod check;
mod exchange;
mod opaque;
mod record;

pub use exchange::Content;
pub use exchange::Stamp;
pub use opaque::Opaque;
pub use opaque::Order;
pub use record::Mark;
pub use record::Record;
pub use record::Rejected;
pub use record::Source;
pub use record::Valid;
pub use record::Value;
pub use record::mark;

use crate::constants::Constants;
use crate::entry::Entry;
use crate::map::Map;
use crate::map::Set;
use crate::read::Fault;
use crate::version::Version;

/// Key prefix of the entries.
pub const ENTRY_PREFIX: &str = "entries/";
/// Key that holds the constants of the deployment.
pub const FLEET_KEY: &str = "fleet";
/// Maximum number of keys, tombstones included.
pub const MAX_KEYS: usize = 4_096;
/// Maximum length of the text of one key, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
/// Maximum length of all texts together, in bytes.
pub const MAX_TOTAL_BYTES: usize = 64 << 20;
/// Number of hash buckets of the anti-entropy digest.
pub const BUCKETS: usize = 64;

data! {
    /// Result of offering a content to the catalogue.
    pub enum Verdict {
        /// The content is valid, newer than the one before, and now in effect.
        Accepted,
        /// The same content is already stored.
        Known,
        /// A content with a higher version is already stored.
        Behind,
        /// Another content has the same version; the one with the larger digest is kept.
        Conflict {
            /// Whether the offered content is the one kept.
            kept: bool,
        },
        /// The content is not valid, for these faults; the last valid content stays in effect.
        Rejected(Vec<Fault>),
        /// The content was not stored, for this reason.
        Refused(Box<str>),
    }

    /// A key that is missing in a read of the whole catalogue and was therefore deleted.
    pub struct Deletion {
        /// The key.
        pub key: Box<str>,
        /// Version of the deletion.
        pub version: Version,
    }

    /// A read that shows an older content of a key than the configuration service had at that
    /// revision: the service was restored from a backup.
    pub struct Rollback {
        /// The key with the older content.
        pub key: Box<str>,
    }
}

impl Verdict {
    /// Whether the offer changed the catalogue. Such contents are forwarded to peers.
    #[must_use]
    pub fn is_change(&self) -> bool {
        matches!(
            self,
            Self::Accepted | Self::Rejected(_) | Self::Conflict { kept: true }
        )
    }
}

/// The catalogue of this VM.
pub struct Catalogue {
    records: Map<Box<str>, Record>,
    bytes: usize,
    digest: [u64; BUCKETS],
    /// The keys whose texts an adapter decodes.
    opaque: Vec<Opaque>,
    /// Highest era of the contents of keys that are ordered by it; never decreases.
    era: u64,
}

impl Default for Catalogue {
    fn default() -> Self {
        Self {
            records: Map::default(),
            bytes: 0,
            digest: [0; BUCKETS],
            opaque: Vec::new(),
            era: 0,
        }
    }
}

impl Catalogue {
    /// A catalogue that also stores the keys of `opaque`. Their texts are not checked here; an
    /// adapter decodes them.
    #[must_use]
    pub fn with_opaque(opaque: Vec<Opaque>) -> Self {
        Self {
            opaque,
            ..Self::default()
        }
    }

    /// The version of a content that the configuration service delivered at `revision`.
    ///
    /// A deletion, and a text whose generation cannot be read, get the highest generation stored
    /// for the key. `text` is none for a deletion.
    #[must_use]
    pub fn version(&self, key: &str, revision: u64, text: Option<&str>) -> Version {
        let newest = self.records.get(key).and_then(Record::newest);
        let highest = newest.map_or(0, |mark| mark.version.generation);
        let stated = text.filter(|_| self.order(key).is_none());
        let generation = stated
            .and_then(check::written_generation)
            .unwrap_or(highest);
        Version {
            generation,
            revision,
        }
    }

    /// Offers the content of `key` at `version`, and stores it if it is newer than the stored one.
    /// `text` is none for a deletion.
    pub fn offer(
        &mut self,
        key: &str,
        version: Version,
        text: Option<&str>,
        source: Source,
    ) -> Verdict {
        let is_opaque = self.order(key).is_some();
        if let Err(reason) = check::check_offer(key, text, is_opaque) {
            return Verdict::Refused(reason.into());
        }
        if self.is_lost(key, version) {
            return Verdict::Behind;
        }
        let mark = record::mark(version, text);
        let record = self.records.get(key);
        if let Some(verdict) = record.and_then(|record| check::verdict_from_marks(record, mark)) {
            return verdict;
        }
        let checked = if is_opaque {
            Ok((None, check::opaque_value(text)))
        } else {
            check::check_text(key, text)
        };
        match checked {
            Ok((stated, _)) if stated.is_some_and(|stated| stated != version.generation) => {
                Verdict::Refused(
                    "the generation in the text differs from the generation of its version".into(),
                )
            }
            Ok((_, value)) => self.accept(key, mark, text, source, value),
            Err(faults) => self.reject(key, mark, text.unwrap_or_default(), source, faults),
        }
    }

    /// Applies a read of the whole catalogue at `revision`, which lists each key present with its
    /// `mod_revision`. Keys that are not listed and are older than `revision` are deleted.
    ///
    /// Call it after each key present was offered. A reader that holds a watch may call it again
    /// with the keys and the revision that the watch has reached, after peers delivered keys.
    ///
    /// Keys whose generation is below the highest one are not deleted: operators raise the
    /// generation after a restore, and a key that was not published again since then may be newer
    /// than the backup.
    ///
    /// # Errors
    ///
    /// Deletes nothing if the read shows an older content of a key than the service had at that
    /// revision, which proves that the service was restored from a backup. Keys of lower
    /// generations are ignored in this check: their restore is already known, since the generation
    /// was raised after it.
    pub fn apply_snapshot(
        &mut self,
        revision: u64,
        present: &[(&str, u64)],
    ) -> Result<Vec<Deletion>, Rollback> {
        let marks = self.records.values().filter_map(Record::valid_mark);
        let generation = marks.map(|mark| mark.version.generation).max();
        let is_rolled_back = |(key, read_revision): &&(&str, u64)| {
            let newest = self.records.get(*key).and_then(Record::newest);
            newest.is_some_and(|mark| {
                let stored_revision = mark.version.revision;
                let is_current = Some(mark.version.generation) >= generation;
                is_current && *read_revision < stored_revision && stored_revision <= revision
            })
        };
        if let Some((key, _)) = present.iter().find(is_rolled_back) {
            return Err(Rollback { key: (*key).into() });
        }
        let present: Set<&str> = present.iter().map(|(key, _)| *key).collect();
        let missing = self.records.iter().filter_map(|(key, record)| {
            let version = record.newest()?.version;
            let is_older = version.revision < revision && Some(version.generation) >= generation;
            let is_absent = !present.contains(&**key) && &**key != FLEET_KEY;
            (is_older && is_absent && !record.is_tombstone()).then(|| Deletion {
                key: key.clone(),
                version: Version {
                    revision,
                    ..version
                },
            })
        });
        let deletions = missing.collect();
        Ok(self.delete(deletions))
    }

    /// Offers `deletions` and returns them.
    fn delete(&mut self, deletions: Vec<Deletion>) -> Vec<Deletion> {
        for deletion in &deletions {
            self.offer(&deletion.key, deletion.version, None, Source::Service);
        }
        deletions
    }

    /// The entries in effect with their names, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Entry)> {
        self.records.iter().filter_map(|(key, record)| {
            let name = key.strip_prefix(ENTRY_PREFIX)?;
            match &record.valid.as_ref()?.value {
                Value::Entry(entry) => Some((name, entry)),
                Value::Constants(_) | Value::Opaque | Value::Deleted => None,
            }
        })
    }

    /// Clones of the entries in effect with their names, in no particular order.
    pub fn cloned_entries(&self) -> impl Iterator<Item = (Box<str>, Entry)> {
        let entries = self.entries();
        entries.map(|(name, entry)| (name.into(), entry.clone()))
    }

    /// The constants of the deployment, if they were received.
    #[must_use]
    pub fn constants(&self) -> Option<Constants> {
        match self.get(FLEET_KEY)?.valid.as_ref()?.value {
            Value::Constants(constants) => Some(constants),
            Value::Entry(_) | Value::Opaque | Value::Deleted => None,
        }
    }

    /// The rejected contents with their keys, versions and faults.
    pub fn faults(&self) -> impl Iterator<Item = (&str, Version, &[Fault])> {
        self.records.iter().filter_map(|(key, record)| {
            let rejected = record.rejected.as_ref()?;
            Some((&**key, rejected.mark.version, &*rejected.faults))
        })
    }

    /// The text in effect of `key`; none if the key is not stored or was deleted.
    #[must_use]
    pub fn text(&self, key: &str) -> Option<&str> {
        self.get(key)?.valid.as_ref()?.text.as_deref()
    }

    /// The text of `key` with exactly `mark`, in effect or rejected.
    #[must_use]
    pub fn text_of(&self, key: &str, mark: Mark) -> Option<&str> {
        let record = self.get(key)?;
        let valid = record.valid.as_ref().filter(|valid| valid.mark == mark);
        let rejected = record.rejected.as_ref();
        let rejected = rejected.filter(|rejected| rejected.mark == mark);
        valid
            .and_then(|valid| valid.text.as_deref())
            .or_else(|| rejected.map(|rejected| &*rejected.text))
    }

    /// Whether a content with `mark` would be new: it is above the one in effect and is not the one
    /// that was rejected.
    #[must_use]
    pub fn lacks(&self, key: &str, mark: Mark) -> bool {
        let own = self.get(key);
        let rejected = own.and_then(Record::rejected_mark);
        Some(mark) > own.and_then(Record::valid_mark) && Some(mark) != rejected
    }

    /// The record of `key`; none if the key is not stored.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Whether no key is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All keys with their records, in no particular order.
    pub fn records(&self) -> impl Iterator<Item = (&str, &Record)> {
        self.records.iter().map(|(key, record)| (&**key, record))
    }

    /// Length of all stored texts together, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn accept(
        &mut self,
        key: &str,
        mark: Mark,
        text: Option<&str>,
        source: Source,
        value: Value,
    ) -> Verdict {
        let old = self.records.get(key);
        let marks = old.map(|record| [record.valid_mark(), record.rejected_mark()]);
        let conflict = check::is_conflict(marks, mark);
        let rejected = old.and_then(|record| record.rejected.clone());
        let record = Record {
            valid: Some(Valid {
                mark,
                text: text.map(Into::into),
                source,
                value,
            }),
            rejected: rejected.filter(|rejected| rejected.mark > mark),
        };
        match self.store(key, record) {
            Err(reason) => Verdict::Refused(reason.into()),
            Ok(()) if conflict => Verdict::Conflict { kept: true },
            Ok(()) => Verdict::Accepted,
        }
    }

    fn reject(
        &mut self,
        key: &str,
        mark: Mark,
        text: &str,
        source: Source,
        faults: Vec<Fault>,
    ) -> Verdict {
        let old = self.records.get(key);
        let marks = old.map(|record| [record.valid_mark(), record.rejected_mark()]);
        let conflict = check::is_conflict(marks, mark);
        if let Some([_, rejected]) = marks
            && rejected > Some(mark)
        {
            return if conflict {
                Verdict::Conflict { kept: false }
            } else {
                Verdict::Behind
            };
        }
        let record = Record {
            valid: old.and_then(|record| record.valid.clone()),
            rejected: Some(Rejected {
                mark,
                text: text.into(),
                source,
                faults: faults.clone(),
            }),
        };
        match self.store(key, record) {
            Err(reason) => Verdict::Refused(reason.into()),
            Ok(()) if conflict => Verdict::Conflict { kept: true },
            Ok(()) => Verdict::Rejected(faults),
        }
    }

    /// Replaces the record of `key`, unless that exceeds a bound of the catalogue.
    fn store(&mut self, key: &str, record: Record) -> Result<(), &'static str> {
        let old = self.records.get(key).map_or(0, Record::bytes);
        let bytes = self.bytes - old + record.bytes();
        if bytes > MAX_TOTAL_BYTES && record.bytes() > old {
            return Err("the texts of the catalogue would exceed 64 MB");
        }
        if self.records.len() == MAX_KEYS && !self.records.contains_key(key) {
            self.evict_tombstone(&record)?;
        }
        self.remove(key);
        self.raise_era(key, &record);
        self.bytes += record.bytes();
        self.digest[record::bucket(key, BUCKETS)] ^= record.fingerprint(key);
        self.records.insert(key.into(), record);
        Ok(())
    }

    /// Removes the oldest tombstone, unless `record` is an older tombstone itself.
    fn evict_tombstone(&mut self, record: &Record) -> Result<(), &'static str> {
        let tombstones = self
            .records
            .iter()
            .filter(|(_, known)| known.is_tombstone());
        let oldest = tombstones.min_by_key(|(key, known)| (known.newest(), *key));
        match oldest.map(|(key, known)| (key.clone(), known.newest())) {
            Some((key, mark)) if !record.is_tombstone() || record.newest() > mark => {
                self.remove(&key);
                Ok(())
            }
            Some(_) | None => Err("the catalogue is full: it holds 4096 keys"),
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(old) = self.records.remove(key) {
            self.bytes -= old.bytes();
            self.digest[record::bucket(key, BUCKETS)] ^= old.fingerprint(key);
        }
    }
}
