//! Links: dialled, established and closed.

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
// Two messages and a proof, with the HTTP upgrade of both sides.
const HANDSHAKE_BYTES: u64 = 900;

pub(crate) struct Ends {
    pub(crate) vms: [usize; 2],
    pub(crate) incarnations: [u64; 2],
    pub(crate) codecs: Option<[Established; 2]>,
}

pub(crate) fn establish(near: Hello, far: &Hello) -> [Established; 2] {
    let key = Key::new(FLEET_KEY);
    let (dialer, first) = Dialer::start(key.clone(), near);
    let (acceptor, second) = Acceptor::start(key, far, &first).expect("hellos of one fleet");
    let (near, third) = dialer.receive(&second).expect("proofs under one key");
    let far = acceptor.receive(&third).expect("proofs under one key");
    [near, far]
}

impl Network {
    pub(super) fn dialled(&mut self, near: usize, far: usize) {
        let blocked = self.parts[near] != self.parts[far] || self.vms[far].frozen > self.now;
        if near == far || blocked || !self.vms[far].running {
            let target = address(far);
            return self.act(near, |gossip, context| {
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
            hello(&self.vms[near], link.0),
            hello(&self.vms[far], !link.0),
        ];
        let started = std::time::Instant::now();
        let codecs = self.codec.then(|| establish(hellos[0].clone(), &hellos[1]));
        let spent = started.elapsed() / 2;
        let ends = Ends {
            vms: [near, far],
            incarnations: [self.vms[near].incarnation, self.vms[far].incarnation],
            codecs,
        };
        self.links.insert(link, ends);
        for (vm, peer, dialled) in [(near, 1, Some(address(far))), (far, 0, None)] {
            self.vms[vm].cost.bytes += HANDSHAKE_BYTES;
            self.vms[vm].cost.busy += spent;
            let remote = Remote {
                vm: hellos[peer].vm.clone(),
                incarnation: hellos[peer].incarnation,
                data_center: hellos[peer].data_center.clone(),
                dialled,
            };
            self.act(vm, |gossip, context| gossip.add_link(context, link, remote));
        }
    }

    pub(super) fn close(&mut self, vm: usize, link: Link) {
        let Some(ends) = self.links.remove(&link) else {
            return;
        };
        let far = usize::from(ends.vms[0] == vm);
        let (other, incarnation) = (ends.vms[far], ends.incarnations[far]);
        if self.parts[vm] == self.parts[other] {
            let delay = self.delay(vm, other);
            self.schedule(delay, Event::Closed(other, incarnation, link));
        }
    }
}
