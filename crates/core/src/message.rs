//! Messages between VMs. The field names are short on the wire.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

use crate::audit;
use crate::catalogue;
use crate::member;
use crate::version::Version;

/// Most elements of a list in a message.
pub const MAX_LIST: usize = 4_096;

data! {
    /// A message over a link.
    pub enum Message {
        /// Records that are new to the sender or that the receiver lacks.
        Members(Members),
        /// Stamps of all members that are not dead.
        Roster(Roster),
        /// Hashes of the catalogue's buckets.
        Digest(Digest),
        /// Versions of the keys of the buckets that differ.
        Versions(Versions),
        /// Request for what the sender lacks.
        Want(Want),
        /// Contents of catalogue keys.
        Entries(Entries),
        /// Targets that are leaving.
        Leaving(Leaving),
        /// Load reports of targets.
        Load(Load),
        /// Audit records of the sender.
        Audit(Audit),
        /// Sign that the sender runs, with hashes of its state.
        Heartbeat(Heartbeat),
        /// Large texts that the sender has.
        Offers(Offers),
        /// Request for a part of a large text.
        Fetch(Fetch),
        /// Part of a large text.
        Part(Part),
    }

    /// Member records.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Members {
        /// Records.
        #[serde(rename = "r", deserialize_with = "bounded")]
        pub records: Vec<member::Record>,
    }

    /// Stamps of members.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Roster {
        /// Stamps.
        #[serde(rename = "s", deserialize_with = "bounded")]
        pub stamps: Vec<member::Stamp>,
    }

    /// Hashes of the catalogue's buckets.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Digest {
        /// Hash of each bucket.
        #[serde(rename = "h", deserialize_with = "bounded")]
        pub hashes: Vec<u64>,
    }

    /// Versions of the keys of the buckets that differ.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Versions {
        /// Buckets that differ.
        #[serde(rename = "b", deserialize_with = "bounded")]
        pub buckets: Vec<u64>,
        /// All keys of these buckets.
        #[serde(rename = "k", deserialize_with = "bounded")]
        pub keys: Vec<catalogue::Stamp>,
    }

    /// Request for the contents of keys and the records of members that the sender lacks.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Want {
        /// Catalogue keys.
        #[serde(rename = "k", default, deserialize_with = "bounded")]
        pub keys: Vec<Box<str>>,
        /// Names of members.
        #[serde(rename = "m", default, deserialize_with = "bounded")]
        pub members: Vec<Box<str>>,
    }

    /// Contents of catalogue keys.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Entries {
        /// Contents.
        #[serde(rename = "e", deserialize_with = "bounded")]
        pub contents: Vec<Content>,
    }

    /// Content of a catalogue key.
    #[derive(Serialize, Deserialize)]
    pub struct Content {
        /// Key.
        #[serde(rename = "k")]
        pub key: Box<str>,
        /// Version.
        #[serde(rename = "v", with = "pair")]
        pub version: Version,
        /// Text; none for a deletion.
        #[serde(rename = "t")]
        pub text: Option<Box<str>>,
    }

    /// Targets that are leaving.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Leaving {
        /// Departures.
        #[serde(rename = "t", deserialize_with = "bounded")]
        pub departures: Vec<Departure>,
    }

    /// Evidence that a target is leaving.
    #[derive(Serialize, Deserialize)]
    pub struct Departure {
        /// Address of the target.
        #[serde(rename = "t")]
        pub target: SocketAddr,
        /// Name of the source of the evidence.
        #[serde(rename = "o")]
        pub source: Box<str>,
        /// Age of the evidence when the message was sent, in milliseconds.
        #[serde(rename = "a")]
        pub age_ms: u64,
    }

    /// Load reports of targets.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Load {
        /// Reports.
        #[serde(rename = "l", deserialize_with = "bounded")]
        pub reports: Vec<Report>,
    }

    /// Load of a target.
    #[derive(Serialize, Deserialize)]
    pub struct Report {
        /// Address of the target.
        #[serde(rename = "t")]
        pub target: SocketAddr,
        /// Requests that the target processes or queues.
        #[serde(rename = "n")]
        pub in_flight: u64,
        /// Age of the report when the message was sent, in milliseconds.
        #[serde(rename = "a")]
        pub age_ms: u64,
    }

    /// Audit records of the sender.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Audit {
        /// Sequence number of the oldest record that the sender still sends.
        #[serde(rename = "o", default)]
        pub oldest: u64,
        /// Records in order of their sequence numbers.
        #[serde(rename = "r", deserialize_with = "bounded")]
        pub records: Vec<audit::Record>,
    }

    /// Large texts that the sender has.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Offers {
        /// Keys with the marks of their texts.
        #[serde(rename = "o", deserialize_with = "bounded")]
        pub offers: Vec<Offer>,
    }

    /// A large text that the sender has.
    #[derive(Serialize, Deserialize)]
    pub struct Offer {
        /// Key.
        #[serde(rename = "k")]
        pub key: Box<str>,
        /// Version and digest of the text.
        #[serde(rename = "m")]
        pub mark: catalogue::Mark,
    }

    /// Request for a part of a large text.
    #[derive(Serialize, Deserialize)]
    pub struct Fetch {
        /// Key.
        #[serde(rename = "k")]
        pub key: Box<str>,
        /// Version and digest of the text.
        #[serde(rename = "m")]
        pub mark: catalogue::Mark,
        /// Offset of the part in the compressed text, in bytes.
        #[serde(rename = "o")]
        pub offset: u64,
    }

    /// Part of a large text.
    #[derive(Serialize, Deserialize)]
    pub struct Part {
        /// Key.
        #[serde(rename = "k")]
        pub key: Box<str>,
        /// Version and digest of the text.
        #[serde(rename = "m")]
        pub mark: catalogue::Mark,
        /// Offset of the part in the compressed text, in bytes.
        #[serde(rename = "o")]
        pub offset: u64,
        /// Length of the compressed text in bytes.
        #[serde(rename = "n")]
        pub total: u64,
        /// The part of the compressed text.
        #[serde(rename = "b", with = "block")]
        pub bytes: Box<[u8]>,
    }

    /// Sign that the sender runs, with hashes of its state; a hash of zero means "not stated".
    #[derive(Default, Serialize, Deserialize)]
    pub struct Heartbeat {
        /// Hash of the catalogue.
        #[serde(rename = "c", default)]
        pub catalogue: u64,
        /// Hash of the members.
        #[serde(rename = "m", default)]
        pub members: u64,
        /// Hash of the leaving targets.
        #[serde(rename = "l", default)]
        pub leaving: u64,
        /// Age of the sender's view of the configuration service in milliseconds, if it has one.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        pub view_age_ms: Option<u64>,
        /// Sequence number up to which the sender has copies of the receiver's audit records.
        #[serde(rename = "u", default)]
        pub audit: u64,
    }
}

/// Deserializes a list of at most [`MAX_LIST`] elements without reserving what its length claims.
///
/// # Errors
///
/// Returns an error if the list is longer or one of its elements is invalid.
fn bounded<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(List(PhantomData))
}

struct List<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for List<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "a list of at most {MAX_LIST} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut list = Vec::new();
        while let Some(element) = access.next_element()? {
            if list.len() == MAX_LIST {
                return Err(A::Error::invalid_length(MAX_LIST + 1, &self));
            }
            list.push(element);
        }
        Ok(list)
    }
}

mod block {
    use std::fmt;

    use super::Deserializer;
    use super::Error;
    use super::Serializer;
    use super::Visitor;

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Box<[u8]>, D::Error> {
        deserializer.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl Visitor<'_> for Bytes {
        type Value = Box<[u8]>;

        fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
            formatter.write_str("a byte string")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
            Ok(bytes.into())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
            Ok(bytes.into())
        }
    }
}

mod pair {
    use super::Deserialize;
    use super::Deserializer;
    use super::Serialize;
    use super::Serializer;
    use super::Version;

    pub fn serialize<S: Serializer>(version: &Version, serializer: S) -> Result<S::Ok, S::Error> {
        (version.generation, version.revision).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
        let (generation, revision) = <(u64, u64)>::deserialize(deserializer)?;
        Ok(Version {
            generation,
            revision,
        })
    }
}
