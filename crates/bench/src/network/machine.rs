//! Links and processors of limited speed.

use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

use crate::network::vm::Vm;

const MICROS_PER_S: u64 = 1_000_000;

/// Speed of the link and the processor of each VM.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Rate of the link in bytes per second, in each direction.
    pub link_bytes_per_s: u64,
    /// Bytes of catalogue text that the processor decodes and applies in a second.
    pub apply_bytes_per_s: u64,
}

impl Machine {
    /// Time to decode and apply `bytes` of catalogue text.
    pub(crate) fn apply_time(self, bytes: u64) -> Span {
        Span::from_micros(bytes * MICROS_PER_S / self.apply_bytes_per_s)
    }

    /// Time in which `bytes` pass the link.
    fn transfer_time(self, bytes: u64) -> Span {
        Span::from_micros(bytes * MICROS_PER_S / self.link_bytes_per_s)
    }
}

/// When `bytes` sent at `now` have arrived, `delay` after they left. Both links carry one message
/// after the other; a sender that is busy sends when it is done.
pub(crate) fn arrival(
    machine: Machine,
    now: Instant,
    [sender, receiver]: [&mut Vm; 2],
    bytes: u64,
    delay: Span,
) -> Instant {
    let transfer = machine.transfer_time(bytes);
    let start = now.max(sender.busy_until).max(sender.uplink_free);
    sender.uplink_free = start + transfer;
    let arrival = (sender.uplink_free + delay).max(receiver.downlink_free + transfer);
    receiver.downlink_free = arrival;
    arrival
}
