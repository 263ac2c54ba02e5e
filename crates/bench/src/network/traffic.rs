//! Sending and delivery of messages over links, with the faults of the network.

use oriolecleat_core::gossip::Link;
use oriolecleat_core::message::Message;
use oriolecleat_core::time::Span;
use oriolecleat_wire::frame::Frame;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::network::Network;
use crate::network::event::Event;
use crate::network::event::Packet;
use crate::network::machine::arrival;

// A WebSocket frame has a header of 2 bytes, of 4 from 126 bytes and of 10 from 65,536; half of the
// frames, those of the dialer, have a mask of 4 bytes, which makes 2 bytes on average.
fn web_socket_bytes(payload: usize) -> u64 {
    let header = match payload {
        0..126 => 2,
        126..65_536 => 4,
        _ => 10,
    };
    payload as u64 + header + 2
}

impl Network {
    /// Sends a message from `vm`; `is_push` marks an update that goes over several links.
    pub(super) fn send(&mut self, vm: usize, link: Link, message: &Message, is_push: bool) {
        let Some(connection) = self.links.get_mut(&link) else {
            return;
        };
        let own_end = usize::from(connection.vms[0] != vm);
        let (receiver, incarnation) = (
            connection.vms[1 - own_end],
            connection.incarnations[1 - own_end],
        );
        let started = std::time::Instant::now();
        let sealer = match &mut connection.codecs {
            Some(codecs) => &mut codecs[own_end].sealer,
            None => &mut self.scratch.sealer,
        };
        let frame = sealer
            .seal(message)
            .expect("messages fit")
            .expect("one release");
        let is_cross_center = self.vms[vm].site.data_center != self.vms[receiver].site.data_center;
        let bytes = web_socket_bytes(frame.len());
        let cost = &mut self.vms[vm].cost;
        cost.bytes += bytes;
        if is_cross_center {
            cost.cross_center_bytes += bytes;
        }
        cost.frames += 1;
        let packet = if self.codec {
            cost.busy += started.elapsed();
            Packet::Sealed(frame)
        } else {
            Packet::Plain(message.clone(), bytes)
        };
        self.transmit((vm, receiver, incarnation), link, (&packet, bytes), is_push);
    }

    fn transmit(
        &mut self,
        (sender, receiver, incarnation): (usize, usize, u64),
        link: Link,
        (packet, bytes): (&Packet, u64),
        is_push: bool,
    ) {
        let chance = |random: &mut SmallRng, percent| random.random_range(0..100) < percent;
        let is_lost = chance(&mut self.random, self.faults.lost);
        if is_lost
            || (is_push && self.faults.pushes_lost)
            || self.partitions[sender] != self.partitions[receiver]
        {
            return;
        }
        let copies = 1 + u32::from(chance(&mut self.random, self.faults.doubled));
        for _ in 0..copies {
            let mut delay = self.delay(sender, receiver);
            if chance(&mut self.random, self.faults.delayed) {
                let extra = self.random.random_range(0..2_000_000);
                delay = delay + Span::from_micros(extra);
            }
            if let Some(machine) = self.machine
                && let Ok(ends) = self.vms.get_disjoint_mut([sender, receiver])
            {
                delay = arrival(machine, self.now, ends, bytes, delay).since(self.now);
            }
            self.schedule(
                delay,
                Event::Deliver(receiver, incarnation, link, packet.clone()),
            );
        }
    }

    pub(super) fn deliver(&mut self, vm: usize, link: Link, packet: Packet) {
        let Some(connection) = self.links.get_mut(&link) else {
            return;
        };
        let own_end = usize::from(connection.vms[0] != vm);
        let started = std::time::Instant::now();
        let message = match (packet, &mut connection.codecs) {
            (Packet::Plain(message, bytes), _) => {
                self.vms[vm].cost.bytes += bytes;
                message
            }
            (Packet::Sealed(frame), Some(codecs)) => {
                let opened = codecs[own_end]
                    .opener
                    .open(&frame)
                    .expect("a faultless network");
                let cost = &mut self.vms[vm].cost;
                cost.bytes += web_socket_bytes(frame.len());
                cost.busy += started.elapsed();
                match opened {
                    Frame::Known(message) => message,
                    Frame::Unknown(_) => return,
                }
            }
            (Packet::Sealed(_), None) => return,
        };
        self.vms[vm].cost.frames += 1;
        self.act(vm, |gossip, context| gossip.receive(context, link, message));
    }
}
