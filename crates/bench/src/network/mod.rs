//! Simulated network: the gossip of many VMs in virtual time, connected by a queue of events.

mod event;
mod link;
mod machine;
mod site;
mod traffic;
mod vm;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Opaque;
use oriolecleat_core::catalogue::Verdict;
use oriolecleat_core::gossip::Action;
use oriolecleat_core::gossip::Context;
use oriolecleat_core::gossip::Gossip;
use oriolecleat_core::gossip::Link;
use oriolecleat_core::message::Message;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_wire::handshake::Established;
use oriolecleat_wire::handshake::Hello;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::network::event::Event;
use crate::network::link::Connection;
use crate::network::link::establish;
use crate::network::site::index;

pub use crate::network::machine::Machine;
pub use crate::network::site::Site;
pub use crate::network::site::sites;
pub use crate::network::vm::Cost;
pub use crate::network::vm::Vm;

/// Time between two ticks of a VM.
pub const TICK: Span = Span::from_millis(200);
/// Time for which evidence of leaving targets holds.
pub const DEPARTURE_HOLD: Span = Span::from_millis(60_000);

// One-way delay of a message within a region.
const LOCAL_DELAY: Span = Span::from_millis(1);
// One-way delay of a message between regions.
const REGION_DELAY: Span = Span::from_millis(20);
const DIAL_TIMEOUT: Span = Span::from_millis(1_000);

/// Faults that the network applies to messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost, in percent.
    pub lost: u32,
    /// Messages delivered twice, in percent.
    pub doubled: u32,
    /// Messages delayed by up to two seconds, in percent; later ones overtake them.
    pub delayed: u32,
    /// Whether messages that push updates over several links are lost, so that only repairs spread
    /// the updates.
    pub pushes_lost: bool,
}

/// A simulated fleet in virtual time.
pub struct Network {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Faults of messages.
    pub faults: Faults,
    /// Link and processor of each VM; without them, sending and applying take no time.
    pub machine: Option<Machine>,
    /// Partition of the network that each VM is in; messages between partitions are lost.
    pub partitions: Vec<u8>,
    /// Catalogue keys with the VMs that received a change of them, and when.
    pub accepted: BTreeMap<Box<str>, Vec<(usize, Instant)>>,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Event>,
    links: BTreeMap<Link, Connection>,
    /// Links and events created so far.
    counter: u64,
    random: SmallRng,
    codec: bool,
    /// Codec that only measures the size of messages, for a network without `codec`.
    scratch: Established,
}

fn is_update(message: &Message) -> bool {
    matches!(
        message,
        Message::Entries(_) | Message::Leaving(_) | Message::Members(_) | Message::Offers(_)
    )
}

impl Network {
    /// A fleet whose VMs start within a second. With `codec`, every message is sealed and opened as
    /// on a real link, which needs a network without faults.
    #[must_use]
    pub fn new(sites: &[Site], seed: u64, codec: bool) -> Self {
        let now = Instant::from_micros(1_000_000);
        let mut network = Self {
            vms: Vec::new(),
            faults: Faults::default(),
            machine: None,
            partitions: vec![0; sites.len()],
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

    /// A fleet without codec whose catalogues also store the keys of `opaque`, as on a hosting
    /// platform.
    #[must_use]
    pub fn hosted(sites: &[Site], seed: u64, opaque: &[Opaque]) -> Self {
        let mut network = Self::new(sites, seed, false);
        for vm in &mut network.vms {
            vm.catalogue = Catalogue::with_opaque(opaque.to_vec());
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

    /// Kills a VM; its links close if `reset`, else the peers only stop getting messages.
    pub fn kill(&mut self, vm: usize, reset: bool) {
        self.vms[vm].running = false;
        if reset {
            let links: Vec<Link> = self.links_of(vm).collect();
            for link in links {
                self.close(vm, link);
            }
        }
    }

    /// Closes all links, as a middlebox does that loses its state.
    pub fn reset_links(&mut self) {
        for vm in 0..self.vms.len() {
            let links: Vec<Link> = self.links_of(vm).collect();
            for link in links {
                self.close(vm, link);
                self.act(vm, |gossip, context| gossip.remove_link(context, link));
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

    /// Freezes a VM for `span`; its events wait until then.
    pub fn freeze(&mut self, vm: usize, span: Span) {
        self.vms[vm].frozen_until = self.now + span;
    }

    /// Applies an event to the state of a VM and carries out the actions that follow.
    pub fn act(&mut self, vm: usize, event: impl FnOnce(&mut Gossip, &mut Context) -> Vec<Action>) {
        let actions = self.vms[vm].handle(self.now, event);
        self.perform(vm, actions);
    }

    fn links_of(&self, vm: usize) -> impl Iterator<Item = Link> {
        let is_own = move |(_, connection): &(&Link, &Connection)| connection.vms.contains(&vm);
        self.links.iter().filter(is_own).map(|(link, _)| *link)
    }

    fn schedule(&mut self, delay: Span, event: Event) {
        self.counter += 1;
        self.queue.insert((self.now + delay, self.counter), event);
    }

    fn is_running(&self, vm: usize, incarnation: u64) -> bool {
        self.vms[vm].running && self.vms[vm].incarnation == incarnation
    }

    fn handle(&mut self, event: Event) {
        let (Event::Tick(vm, incarnation)
        | Event::Deliver(vm, incarnation, ..)
        | Event::Dialled(vm, incarnation, _)
        | Event::Closed(vm, incarnation, _)) = event;
        if !self.is_running(vm, incarnation) {
            return;
        }
        let frozen_until = self.vms[vm].frozen_until.max(self.vms[vm].busy_until);
        if frozen_until > self.now {
            // Events of a frozen or busy VM keep their order.
            self.schedule(frozen_until.since(self.now), event);
            return;
        }
        match event {
            Event::Tick(..) => {
                self.act(vm, Gossip::tick);
                self.schedule(TICK, Event::Tick(vm, incarnation));
            }
            Event::Deliver(_, _, link, packet) => self.deliver(vm, link, packet),
            Event::Dialled(_, _, acceptor) => self.end_dial(vm, acceptor),
            Event::Closed(_, _, link) => {
                self.act(vm, |gossip, context| gossip.remove_link(context, link));
            }
        }
    }

    fn delay(&self, sender: usize, receiver: usize) -> Span {
        if self.vms[sender].site.region == self.vms[receiver].site.region {
            LOCAL_DELAY
        } else {
            REGION_DELAY
        }
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        self.occupy(vm, &actions);
        for action in actions {
            match action {
                Action::Send(links, message) => {
                    let is_push = links.len() > 1 && is_update(&message);
                    for link in links {
                        self.send(vm, link, &message, is_push);
                    }
                }
                Action::Dial(address) => {
                    let Some(acceptor) = index(address).filter(|vm| *vm < self.vms.len()) else {
                        continue;
                    };
                    // A dial takes two round trips, and one that cannot succeed its whole timeout.
                    let is_reachable = self.vms[acceptor].running
                        && self.partitions[vm] == self.partitions[acceptor];
                    let span = if is_reachable {
                        Span::from_micros(4 * self.delay(vm, acceptor).as_micros())
                    } else {
                        DIAL_TIMEOUT
                    };
                    let incarnation = self.vms[vm].incarnation;
                    self.schedule(span, Event::Dialled(vm, incarnation, acceptor));
                }
                Action::Close(link) => self.close(vm, link),
                Action::Verdict(key, _) => {
                    // A change is in force once it is applied.
                    let now = self.now.max(self.vms[vm].busy_until);
                    self.accepted.entry(key).or_default().push((vm, now));
                }
                Action::Departure(_)
                | Action::Load(..)
                | Action::Members
                | Action::Incarnation(_)
                | Action::Superseded
                | Action::Resumed => {}
            }
        }
    }

    /// Occupies the processor of `vm` for as long as it takes to apply the texts that `actions`
    /// accepted. The process does nothing else in that time, so messages leave it afterwards.
    fn occupy(&mut self, vm: usize, actions: &[Action]) {
        let Some(machine) = self.machine else {
            return;
        };
        let state = &mut self.vms[vm];
        let accepted = actions.iter().filter_map(|action| match action {
            Action::Verdict(key, Verdict::Accepted) => state.catalogue.text(key),
            _ => None,
        });
        let bytes: u64 = accepted.map(|text| text.len() as u64).sum();
        state.busy_until = self.now.max(state.busy_until) + machine.apply_time(bytes);
    }

    /// Indexes of the VMs that run.
    #[must_use]
    pub fn running(&self) -> BTreeSet<usize> {
        let is_running = |vm: &usize| self.vms[*vm].running;
        (0..self.vms.len()).filter(is_running).collect()
    }

    /// Resets the measured costs of all VMs to zero.
    pub fn reset_costs(&mut self) {
        for vm in &mut self.vms {
            vm.cost = Cost::default();
        }
    }
}
