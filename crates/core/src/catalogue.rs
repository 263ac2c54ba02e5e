//! The entries in force on this VM, each with the highest version accepted.

use crate::entry;
use crate::entry::Entry;
use crate::map::Map;
use crate::read::Fault;
use crate::version::Version;

data! {
    /// What became of content that was offered.
    pub enum Verdict {
        /// The content is in force now.
        Accepted,
        /// The content was known.
        Known,
        /// A higher version was accepted before.
        Behind,
        /// The content does not hold; the last valid one stays in force.
        Rejected(Vec<Fault>),
    }

    /// One key with the highest version accepted.
    pub struct Record {
        /// Version of the content.
        pub version: Version,
        /// Text as published; none for a deletion.
        pub text: Option<Box<str>>,
        /// The last valid entry; none for a deletion.
        pub entry: Option<Entry>,
    }
}

/// The entries in force, by key.
#[derive(Default)]
pub struct Catalogue {
    records: Map<Box<str>, Record>,
}

impl Catalogue {
    /// Offers the content of `key` at `version`; `text` is none for a deletion.
    pub fn offer(&mut self, key: &str, version: Version, text: Option<&str>) -> Verdict {
        if let Some(record) = self.records.get(key) {
            if record.version == version {
                return Verdict::Known;
            }
            if record.version > version {
                return Verdict::Behind;
            }
        }
        let entry = match text.map(entry::parse).transpose() {
            Ok(entry) => entry.filter(|entry| !entry.deleted),
            Err(faults) => return Verdict::Rejected(faults),
        };
        let record = Record {
            version,
            text: text.map(Into::into),
            entry,
        };
        self.records.insert(key.into(), record);
        Verdict::Accepted
    }

    /// The entries in force, by key, in no order.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Entry)> {
        self.records
            .iter()
            .filter_map(|(key, record)| Some((&**key, record.entry.as_ref()?)))
    }
}
