//! Serde functions for byte strings of a fixed length.

use std::fmt;

use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

/// Length of nonces, tags and proofs in bytes.
pub(crate) const LENGTH: usize = 32;

pub(crate) fn serialize<S: Serializer>(
    bytes: &[u8; LENGTH],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<[u8; LENGTH], D::Error> {
    deserializer.deserialize_bytes(Fixed)
}

struct Fixed;

impl Visitor<'_> for Fixed {
    type Value = [u8; LENGTH];

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{LENGTH} bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        bytes
            .try_into()
            .map_err(|_| E::invalid_length(bytes.len(), &self))
    }
}
