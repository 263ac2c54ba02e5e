//! Protocol between the VMs of a fleet: handshake, authenticated frames, their codec and their size
//! limits.
//!
//! `docs/peer-protocol.md` describes the protocol.

mod bytes;
pub mod frame;
pub mod handshake;

/// Number of the newest protocol that this release speaks.
pub const PROTOCOL: u64 = 2;
/// Number of the oldest protocol that this release speaks: the one of the previous release.
pub const MIN_PROTOCOL: u64 = 1;
/// First protocol in which large texts are offered and fetched in parts.
pub const OFFERS_PROTOCOL: u64 = 2;
