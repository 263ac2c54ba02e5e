//! VMs' shares in the fleet, connected by a list of messages in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use oriolecleat_core::gossip::Action;
use oriolecleat_core::gossip::Context;
use oriolecleat_core::gossip::Gossip;
use oriolecleat_core::gossip::Joined;
use oriolecleat_core::gossip::Link;
use oriolecleat_core::message::Message;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_wire::frame::Frame;
use oriolecleat_wire::handshake::Acceptor;
use oriolecleat_wire::handshake::Dialer;
use oriolecleat_wire::handshake::Established;
use oriolecleat_wire::handshake::Hello;
use oriolecleat_wire::handshake::Key;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::vm::Cost;
use crate::vm::Site;
use crate::vm::Vm;
use crate::vm::address;
use crate::vm::index;

/// Time between two ticks of a VM.
pub const TICK: Span = Span::from_millis(200);
const FLEET_KEY: &[u8] = b"0123456789abcdef0123456789abcdef";
const LOCAL_DELAY: Span = Span::from_millis(1);
const REGION_DELAY: Span = Span::from_millis(20);
const DIAL_TIMEOUT: Span = Span::from_millis(1_000);
// Two messages and a proof, with the HTTP upgrade of both sides.
const HANDSHAKE_BYTES: u64 = 900;

/// What the network does to messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost, in percent.
    pub lost: u32,
    /// Messages delivered twice, in percent.
    pub doubled: u32,
    /// Messages delayed by up to two seconds, in percent; later ones overtake them.
    pub delayed: u32,
    /// Whether frames that push news over several links are lost, so that only repairs spread it.
    pub pushes_lost: bool,
}

enum Event {
    Tick(usize, u64),
    Deliver(usize, u64, Link, Packet),
    Dialled(usize, u64, usize),
    Closed(usize, u64, Link),
}

#[derive(Clone)]
enum Packet {
    Plain(Message),
    Sealed(Vec<u8>),
}

struct Ends {
    vms: [usize; 2],
    incarnations: [u64; 2],
    codecs: Option<[Established; 2]>,
}

/// A fleet in virtual time.
pub struct Network {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// What happens to messages.
    pub faults: Faults,
    /// Part of the network that each VM is in; messages between parts are lost.
    pub parts: Vec<u8>,
    /// Hashes of contents that changed, with the time at which each VM accepted them.
    pub accepted: BTreeMap<Box<str>, Vec<(usize, Instant)>>,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Event>,
    links: BTreeMap<Link, Ends>,
    counter: u64,
    random: SmallRng,
    codec: bool,
    scratch: Established,
}

fn establish(near: Hello, far: &Hello) -> [Established; 2] {
    let key = Key::new(FLEET_KEY);
    let (dialer, first) = Dialer::start(key.clone(), near);
    let (acceptor, second) = Acceptor::start(key, far, &first).expect("hellos of one fleet");
    let (near, third) = dialer.receive(&second).expect("proofs under one key");
    let far = acceptor.receive(&third).expect("proofs under one key");
    [near, far]
}

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

fn is_news(message: &Message) -> bool {
    matches!(
        message,
        Message::Entries(_) | Message::Leaving(_) | Message::Members(_)
    )
}

impl Network {
    /// A fleet whose VMs start within a second. With `codec`, every message is sealed and opened
    /// as on a real link, which needs a network without faults.
    #[must_use]
    pub fn new(sites: &[Site], seed: u64, codec: bool) -> Self {
        let now = Instant::from_micros(1_000_000);
        let mut network = Self {
            vms: Vec::new(),
            faults: Faults::default(),
            parts: vec![0; sites.len()],
            accepted: BTreeMap::new(),
            now,
            queue: BTreeMap::new(),
            links: BTreeMap::new(),
            counter: 0,
            random: SmallRng::seed_from_u64(seed),
            codec,
            scratch: {
                let hello = |vm, nonce| Hello::new("fleet", vm, 1, "dc", [nonce; 32]);
                let [near, _] = establish(hello("a", 1), &hello("b", 2));
                near
            },
        };
        for (index, site) in sites.iter().enumerate() {
            let incarnation = 1_000 + index as u64;
            let vm = Vm::start(index, site.clone(), incarnation, now, seed);
            network.vms.push(vm);
            let first = network.random.random_range(0..=TICK.as_micros());
            network.schedule(Span::from_micros(first), Event::Tick(index, incarnation));
        }
        network
    }

    /// Virtual time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Runs all events of the next `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    /// Kills a VM; its links close if `reset`, else they fall silent.
    pub fn kill(&mut self, vm: usize, reset: bool) {
        self.vms[vm].running = false;
        if reset {
            let links: Vec<Link> = self.links_of(vm).collect();
            for link in links {
                self.close(vm, link);
            }
        }
    }

    /// Starts a new incarnation of a killed VM at the same address.
    pub fn start(&mut self, vm: usize) {
        let incarnation = self.vms[vm].incarnation + 100_000;
        let site = self.vms[vm].site.clone();
        let seed = self.random.next_u64();
        self.vms[vm] = Vm::start(vm, site, incarnation, self.now, seed);
        self.schedule(Span::ZERO, Event::Tick(vm, incarnation));
    }

    /// Stops a VM from running for `span`; what arrives waits.
    pub fn freeze(&mut self, vm: usize, span: Span) {
        self.vms[vm].frozen = self.now + span;
    }

    /// Lets an event of a running VM change its state and carries out the actions.
    pub fn act(&mut self, vm: usize, event: impl FnOnce(&mut Gossip, &mut Context) -> Vec<Action>) {
        let actions = self.vms[vm].handle(self.now, event);
        self.perform(vm, actions);
    }

    fn links_of(&self, vm: usize) -> impl Iterator<Item = Link> {
        let own = move |(_, ends): &(&Link, &Ends)| ends.vms.contains(&vm);
        self.links.iter().filter(own).map(|(link, _)| *link)
    }

    fn schedule(&mut self, delay: Span, event: Event) {
        self.counter += 1;
        self.queue.insert((self.now + delay, self.counter), event);
    }

    fn alive(&self, vm: usize, incarnation: u64) -> bool {
        self.vms[vm].running && self.vms[vm].incarnation == incarnation
    }

    fn handle(&mut self, event: Event) {
        let (Event::Tick(vm, incarnation)
        | Event::Deliver(vm, incarnation, ..)
        | Event::Dialled(vm, incarnation, _)
        | Event::Closed(vm, incarnation, _)) = event;
        if !self.alive(vm, incarnation) {
            return;
        }
        let frozen = self.vms[vm].frozen;
        if frozen > self.now {
            // Events of a frozen VM keep their order.
            self.schedule(frozen.since(self.now), event);
            return;
        }
        match event {
            Event::Tick(..) => {
                self.act(vm, Gossip::tick);
                self.schedule(TICK, Event::Tick(vm, incarnation));
            }
            Event::Deliver(_, _, link, packet) => self.deliver(vm, link, packet),
            Event::Dialled(_, _, far) => self.dialled(vm, far),
            Event::Closed(_, _, link) => self.act(vm, |gossip, context| gossip.down(context, link)),
        }
    }

    fn delay(&self, near: usize, far: usize) -> Span {
        if self.vms[near].site.region == self.vms[far].site.region {
            LOCAL_DELAY
        } else {
            REGION_DELAY
        }
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(links, message) => {
                    let push = links.len() > 1 && is_news(&message);
                    for link in links {
                        self.send(vm, link, &message, push);
                    }
                }
                Action::Dial(address) => {
                    let Some(far) = index(address).filter(|far| *far < self.vms.len()) else {
                        continue;
                    };
                    // A dial takes two round trips, and a blocked one its whole timeout.
                    let reachable = self.vms[far].running && self.parts[vm] == self.parts[far];
                    let span = if reachable {
                        Span::from_micros(4 * self.delay(vm, far).as_micros())
                    } else {
                        DIAL_TIMEOUT
                    };
                    let incarnation = self.vms[vm].incarnation;
                    self.schedule(span, Event::Dialled(vm, incarnation, far));
                }
                Action::Close(link) => self.close(vm, link),
                Action::Offered(key, _) => {
                    let now = self.now;
                    self.accepted.entry(key).or_default().push((vm, now));
                }
                Action::Departed(_)
                | Action::Loaded(..)
                | Action::Members
                | Action::Raised(_)
                | Action::Superseded
                | Action::Resumed => {}
            }
        }
    }

    fn dialled(&mut self, near: usize, far: usize) {
        let blocked = self.parts[near] != self.parts[far] || self.vms[far].frozen > self.now;
        if near == far || blocked || !self.vms[far].running {
            let target = address(far);
            return self.act(near, |gossip, context| {
                gossip.failed(context.now, target, context.random);
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
            let joined = Joined {
                vm: hellos[peer].vm.clone(),
                incarnation: hellos[peer].incarnation,
                data_center: hellos[peer].data_center.clone(),
                dialled,
            };
            self.act(vm, |gossip, context| gossip.up(context, link, joined));
        }
    }

    fn close(&mut self, vm: usize, link: Link) {
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

    fn send(&mut self, vm: usize, link: Link, message: &Message, push: bool) {
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
        let cost = &mut self.vms[vm].cost;
        cost.bytes += web_socket_bytes(frame.len());
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

    fn deliver(&mut self, vm: usize, link: Link, packet: Packet) {
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

    /// The VMs that run.
    #[must_use]
    pub fn running(&self) -> BTreeSet<usize> {
        let running = |vm: &usize| self.vms[*vm].running;
        (0..self.vms.len()).filter(running).collect()
    }

    /// Sets all traffic to zero.
    pub fn reset_costs(&mut self) {
        for vm in &mut self.vms {
            vm.cost = Cost::default();
        }
    }
}
