//! What happens in the network at a time.

use oriolecleat_core::gossip::Link;
use oriolecleat_core::message::Message;

pub(crate) enum Event {
    Tick(usize, u64),
    Deliver(usize, u64, Link, Packet),
    Dialled(usize, u64, usize),
    Closed(usize, u64, Link),
}

#[derive(Clone)]
pub(crate) enum Packet {
    Plain(Message),
    Sealed(Vec<u8>),
}
