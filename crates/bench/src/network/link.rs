//! Dialling, establishing and closing of links.

use oriolecleat_core::gossip::Delivery;
use oriolecleat_core::gossip::Link;
use oriolecleat_core::gossip::Remote;
use oriolecleat_wire::handshake::Acceptor;
use oriolecleat_wire::handshake::Dialer;
use oriolecleat_wire::handshake::Established;
use oriolecleat_wire::handshake::Hello;
use oriolecleat_wire::handshake::Key;

use crate::network::Network;
use crate::network::event::Event;
use crate::network::site::address;
use crate::network::vm::Vm;

const FLEET_KEY: &[u8] = b"0123456789abcdef0123456789abcdef";
// Two handshake messages and a proof, with the HTTP upgrade of both sides.
const HANDSHAKE_BYTES: u64 = 900;

/// Both ends of a link, the dialer first.
pub(crate) struct Connection {
    pub(crate) vms: [usize; 2],
    pub(crate) incarnations: [u64; 2],
    pub(crate) codecs: Option<[Established; 2]>,
}

/// The codecs of both ends after a handshake between them.
pub(crate) fn establish(near: Hello, far: &Hello) -> [Established; 2] {
    let key = Key::new(FLEET_KEY);
    let (dialer, first) = Dialer::start(key.clone(), near);
    let (acceptor, second) = Acceptor::start(key, far, &first).expect("hellos of one fleet");
    let (near, third) = dialer.receive(&second).expect("proofs under one key");
    let far = acceptor.receive(&third).expect("proofs under one key");
    [near, far]
}

impl Network {
    /// Ends a dial: establishes the link, or reports the failure to the dialer.
    pub(super) fn end_dial(&mut self, dialer: usize, acceptor: usize) {
        let is_blocked = self.partitions[dialer] != self.partitions[acceptor]
            || self.vms[acceptor].frozen_until > self.now;
        if dialer == acceptor || is_blocked || !self.vms[acceptor].running {
            let target = address(acceptor);
            return self.act(dialer, |gossip, context| {
                gossip.record_dial_failure(context.now, target, context.random);
                Vec::new()
            });
        }
        self.counter += 1;
        let link = Link(self.counter);
        let hello = |vm: &Vm, nonce: u64| {
            let mut bytes = [0; 32];
            bytes[..8].copy_from_slice(&nonce.to_be_bytes());
            Hello::new(
                "fleet",
                &vm.name,
                vm.incarnation,
                &vm.site.data_center,
                bytes,
            )
        };
        let hellos = [
            hello(&self.vms[dialer], link.0),
            hello(&self.vms[acceptor], !link.0),
        ];
        let started = std::time::Instant::now();
        let codecs = self.codec.then(|| establish(hellos[0].clone(), &hellos[1]));
        let spent = started.elapsed() / 2;
        let connection = Connection {
            vms: [dialer, acceptor],
            incarnations: [self.vms[dialer].incarnation, self.vms[acceptor].incarnation],
            codecs,
        };
        self.links.insert(link, connection);
        for (vm, peer, dialled) in [(dialer, 1, Some(address(acceptor))), (acceptor, 0, None)] {
            self.vms[vm].cost.bytes += HANDSHAKE_BYTES;
            self.vms[vm].cost.busy += spent;
            let remote = Remote {
                vm: hellos[peer].vm.clone(),
                incarnation: hellos[peer].incarnation,
                data_center: hellos[peer].data_center.clone(),
                dialled,
                delivery: Delivery::Offered,
            };
            self.act(vm, |gossip, context| gossip.add_link(context, link, remote));
        }
    }

    /// Closes a link from the side of `vm`; the other end learns it unless it is partitioned.
    pub(super) fn close(&mut self, vm: usize, link: Link) {
        let Some(connection) = self.links.remove(&link) else {
            return;
        };
        let other_end = usize::from(connection.vms[0] == vm);
        let (other, incarnation) = (
            connection.vms[other_end],
            connection.incarnations[other_end],
        );
        if self.partitions[vm] == self.partitions[other] {
            let delay = self.delay(vm, other);
            self.schedule(delay, Event::Closed(other, incarnation, link));
        }
    }
}
