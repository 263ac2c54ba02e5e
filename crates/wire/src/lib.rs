//! Protocol between VMs: handshake, authenticated frames, their codec and their size limits.
//!
//! `docs/peer-protocol.md` describes the protocol.

mod bytes;
pub mod frame;
pub mod handshake;

/// Newest protocol that this release speaks.
pub const PROTOCOL: u64 = 1;
/// Oldest protocol that this release speaks: that of the release before.
pub const MIN_PROTOCOL: u64 = 1;
