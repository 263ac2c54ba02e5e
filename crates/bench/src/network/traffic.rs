//! Messages on their way over a link.

use oriolecleat_core::gossip::Link;
use oriolecleat_core::message::Message;
use oriolecleat_core::time::Span;
use oriolecleat_wire::frame::Frame;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::network::Network;
use crate::network::event::Event;
use crate::network::event::Packet;

// A frame carries a header of 2 bytes, of 4 from 126 bytes and of 10 from 65,536; half of the
// frames, those of the dialer, carry a mask of 4 bytes.
fn web_socket_bytes(payload: usize) -> u64 {
    let header = match payload {
        0..126 => 2,
        126..65_536 => 4,
        _ => 10,
    };
    payload as u64 + header + 2
}

impl Network {
    pub(super) fn send(&mut self, vm: usize, link: Link, message: &Message, push: bool) {
        let Some(ends) = self.links.get_mut(&link) else {
            return;
        };
        let near = usize::from(ends.vms[0] != vm);
        let (far, incarnation) = (ends.vms[1 - near], ends.incarnations[1 - near]);
        let started = std::time::Instant::now();
        let sealer = match &mut ends.codecs {
            Some(codecs) => &mut codecs[near].sealer,
            None => &mut self.scratch.sealer,
        };
        let frame = sealer
            .seal(message)
            .expect("messages fit")
            .expect("one release");
        let between = self.vms[vm].site.data_center != self.vms[far].site.data_center;
        let cost = &mut self.vms[vm].cost;
        cost.bytes += web_socket_bytes(frame.len());
        if between {
            cost.far_bytes += web_socket_bytes(frame.len());
        }
        cost.frames += 1;
        let packet = if self.codec {
            cost.busy += started.elapsed();
            Packet::Sealed(frame)
        } else {
            Packet::Plain(message.clone())
        };
        self.transmit((vm, far, incarnation), link, &packet, push);
    }

    fn transmit(
        &mut self,
        (vm, far, incarnation): (usize, usize, u64),
        link: Link,
        packet: &Packet,
        push: bool,
    ) {
        let chance = |random: &mut SmallRng, percent| random.random_range(0..100) < percent;
        let lost = chance(&mut self.random, self.faults.lost);
        if lost || (push && self.faults.pushes_lost) || self.parts[vm] != self.parts[far] {
            return;
        }
        let copies = 1 + u32::from(chance(&mut self.random, self.faults.doubled));
        for _ in 0..copies {
            let mut delay = self.delay(vm, far);
            if chance(&mut self.random, self.faults.delayed) {
                let extra = self.random.random_range(0..2_000_000);
                delay = delay + Span::from_micros(extra);
            }
            self.schedule(
                delay,
                Event::Deliver(far, incarnation, link, packet.clone()),
            );
        }
    }

    pub(super) fn deliver(&mut self, vm: usize, link: Link, packet: Packet) {
        let Some(ends) = self.links.get_mut(&link) else {
            return;
        };
        let own = usize::from(ends.vms[0] != vm);
        let started = std::time::Instant::now();
        let message = match (packet, &mut ends.codecs) {
            (Packet::Plain(message), _) => {
                let frame = self.scratch.sealer.seal(&message).expect("messages fit");
                let bytes = web_socket_bytes(frame.expect("one release").len());
                self.vms[vm].cost.bytes += bytes;
                message
            }
            (Packet::Sealed(frame), Some(codecs)) => {
                let opened = codecs[own]
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
