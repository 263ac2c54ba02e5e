//! Events of the simulated network.

use oriolecleat_core::gossip::Link;
use oriolecleat_core::message::Message;

/// An event of the VM with the given index and incarnation.
pub(crate) enum Event {
    Tick(usize, u64),
    Deliver(usize, u64, Link, Packet),
    /// A dial of the VM with the second index ends.
    Dialled(usize, u64, usize),
    Closed(usize, u64, Link),
}

#[derive(Clone)]
pub(crate) enum Packet {
    /// A message with the bytes of its frame.
    Plain(Message, u64),
    /// A frame of the real codec.
    Sealed(Vec<u8>),
}
