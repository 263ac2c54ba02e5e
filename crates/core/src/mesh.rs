//! Which links to open, keep and close, and whom to suspect.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use crate::gossip::Action;
use crate::gossip::Context;
use crate::gossip::Gossip;
use crate::gossip::Link;
use crate::gossip::Remote;
use crate::gossip::reply;
use crate::map::Set;
use crate::member::State;
use crate::message::Members;
use crate::message::Message;
use crate::peer::Peer;
use crate::peer::SILENCE_LIMIT;
use crate::time::Instant;
use crate::time::Span;
use crate::topology;

/// Links that a VM holds at most. A seed of the settings is linked to by every starting VM until
/// that VM knows its neighbours.
pub const MAX_LINKS: usize = 64;

// The end with the greater name leaves the other one this long to dial.
const DIAL_TURN: Span = Span::from_millis(2_000);
const MISSING_LIMIT: Span = Span::from_millis(4_000);
// A link that is not wanted is closed only after this time, so that a changing view does not open
// and close links.
const LINGER: Span = Span::from_millis(10_000);
const REJOIN_ALONE: Span = Span::from_millis(1_000);
const REJOIN: Span = Span::from_millis(10_000);
const ACCUSATION_WINDOW: Span = Span::from_millis(60_000);
// A VM that alone cannot reach a member must not keep the whole fleet from using it.
const MAX_ACCUSATIONS: usize = 2;

impl Gossip {
    /// A link was established.
    pub fn add_link(&mut self, context: &mut Context, link: Link, remote: Remote) -> Vec<Action> {
        let now = context.now;
        if let Some(address) = remote.dialled {
            self.dials.succeed(address);
        }
        let mut actions = Vec::new();
        if let Some(other) = self.linked_names().get(&remote.vm).copied() {
            if !self.replaces(other, &remote) {
                return vec![Action::Close(link)];
            }
            self.peers.remove(&other);
            actions.push(Action::Close(other));
        }
        actions.extend(self.make_room());
        context.note("link", &remote.vm, "own", "up");
        let Remote {
            vm,
            incarnation,
            data_center,
            dialled,
        } = remote;
        let settled = self.neighbours.contains(&vm);
        let mut peer = Peer::new(now, vm, incarnation, data_center, dialled);
        peer.settled = settled;
        self.peers.insert(link, peer);
        let records = vec![self.fleet.own().current(now)];
        actions.extend(reply(link, [Message::Members(Members { records })]));
        actions.push(self.beat_over(context, link));
        actions
    }

    /// A link was closed by the peer or by a fault.
    pub fn remove_link(&mut self, context: &mut Context, link: Link) -> Vec<Action> {
        if let Some(peer) = self.peers.remove(&link) {
            context.note("link", &peer.vm, "own", "down");
            if let Some(address) = peer.dialled {
                self.dials.fail(context.now, address, context.random);
            }
        }
        Vec::new()
    }

    /// A dial did not lead to a link.
    pub fn record_dial_failure(&mut self, now: Instant, address: SocketAddr, random: &mut dyn Rng) {
        self.dials.fail(now, address, random);
    }

    /// Time passed; called several times a second.
    pub fn tick(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let mut actions = Vec::new();
        if self.fleet.tick(now) {
            for peer in self.peers.values_mut() {
                peer.heard = now;
            }
            for since in self.missing.values_mut() {
                *since = now;
            }
            actions.push(Action::Resumed);
            actions.extend(self.restate(now));
        }
        actions.extend(self.close_silent(context));
        actions.extend(self.bury(context));
        self.choose(now);
        actions.extend(self.close_unwanted(context));
        actions.extend(self.dial_missing(context));
        actions.extend(self.dial_lost(context));
        actions.extend(self.copy_audit(context));
        actions.extend(self.beats(context));
        actions
    }

    // Two links between the same VMs arise when both dial. Both ends keep the one that the VM with
    // the smaller name dialled; of two dialled by the same VM, the newer one.
    fn replaces(&self, other: Link, remote: &Remote) -> bool {
        let Some(old) = self.peers.get(&other) else {
            return true;
        };
        if old.incarnation != remote.incarnation {
            return old.incarnation < remote.incarnation;
        }
        let smaller = self.fleet.own().record().vm < remote.vm;
        let rightful = |dialled: bool| dialled == smaller;
        rightful(remote.dialled.is_some()) || !rightful(old.dialled.is_some())
    }

    fn make_room(&mut self) -> Vec<Action> {
        if self.peers.len() < MAX_LINKS {
            return Vec::new();
        }
        let wanted: Set<&str> = self.neighbours.iter().map(|vm| &**vm).collect();
        let surplus = self
            .peers
            .iter()
            .filter(|(_, peer)| !wanted.contains(&*peer.vm))
            .map(|(link, _)| *link)
            .next();
        surplus.map_or_else(Vec::new, |link| {
            self.peers.remove(&link);
            vec![Action::Close(link)]
        })
    }

    fn close_silent(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let silent: Vec<(Link, Box<str>)> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) > SILENCE_LIMIT)
            .map(|(link, peer)| (*link, peer.vm.clone()))
            .collect();
        let mut actions = Vec::new();
        for (link, vm) in silent {
            actions.extend(self.remove_link(context, link));
            actions.push(Action::Close(link));
            actions.extend(self.accuse(context, &vm, "silent"));
        }
        actions
    }

    fn accuse(&mut self, context: &mut Context, vm: &str, cause: &str) -> Vec<Action> {
        let now = context.now;
        let times = self.accused.entry(vm.into()).or_default();
        times.retain(|time| now.since(*time) < ACCUSATION_WINDOW);
        if times.len() >= MAX_ACCUSATIONS {
            return Vec::new();
        }
        let Some(record) = self.fleet.suspect(now, vm) else {
            return Vec::new();
        };
        times.push(now);
        context.note("member", vm, "own", &format!("{:?}: {cause}", record.state));
        let records = vec![record];
        let mut actions = vec![Action::Members];
        actions.extend(self.push(None, Message::Members(Members { records })));
        actions
    }

    // Every VM declares overdue suspects dead by itself; only the VM that suspected them tells.
    fn bury(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let dead = self.fleet.expire(now);
        if dead.is_empty() {
            return Vec::new();
        }
        for record in &dead {
            context.note("member", &record.vm, "own", "Dead: not refuted");
        }
        let accused = &self.accused;
        let told = dead.into_iter();
        let records: Vec<_> = told
            .filter(|record| accused.contains_key(&record.vm))
            .collect();
        let mut actions = vec![Action::Members];
        if !records.is_empty() {
            actions.extend(self.push(None, Message::Members(Members { records })));
        }
        actions
    }

    fn choose(&mut self, now: Instant) {
        let changes = self.fleet.changes();
        if self.neighbours_at != Some(changes) {
            self.neighbours_at = Some(changes);
            let places = topology::places(&self.fleet);
            let own = &self.fleet.own().record().vm;
            let neighbours = topology::neighbours(&places, own);
            self.neighbours = neighbours.into_iter().map(Into::into).collect();
            self.accused.retain(|_, times| {
                times.retain(|time| now.since(*time) < ACCUSATION_WINDOW);
                !times.is_empty()
            });
        }
        let linked = self.linked_names();
        let neighbours = &self.neighbours;
        self.missing
            .retain(|vm, _| neighbours.contains(vm) && !linked.contains_key(vm));
        for vm in neighbours {
            if !linked.contains_key(vm) && !self.missing.contains_key(vm) {
                self.missing.insert(vm.clone(), now);
            }
        }
    }

    fn close_unwanted(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let neighbours = &self.neighbours;
        let mut unwanted = Vec::new();
        for (link, peer) in &mut self.peers {
            if neighbours.contains(&peer.vm) {
                peer.wanted = now;
                peer.settled = true;
            } else if now.since(peer.wanted) >= LINGER {
                unwanted.push(*link);
            }
        }
        for link in &unwanted {
            if let Some(peer) = self.peers.remove(link) {
                context.note("link", &peer.vm, "own", "not wanted");
            }
        }
        unwanted.into_iter().map(Action::Close).collect()
    }

    fn dial_missing(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let mut actions = Vec::new();
        let mut unreachable = Vec::new();
        for (vm, since) in &self.missing {
            let waited = now.since(*since);
            let first = self.fleet.own().record().vm < *vm;
            if waited >= MISSING_LIMIT {
                unreachable.push(vm.clone());
            }
            if let Some(member) = self.fleet.get(vm)
                && (first || waited >= DIAL_TURN)
                && self.dials.start(now, member.record().peer)
            {
                actions.push(Action::Dial(member.record().peer));
            }
        }
        for vm in unreachable {
            actions.extend(self.accuse(context, &vm, "unreachable"));
        }
        actions
    }

    // Dials one address at which a lost part of the fleet may be: a dead member, a seed or an
    // address of the VM list that no live member has.
    fn dial_lost(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        if now < self.rejoin {
            return Vec::new();
        }
        let pause = if self.peers.is_empty() {
            REJOIN_ALONE
        } else {
            REJOIN
        };
        let jitter = context.random.random_range(0..=pause.half().as_micros());
        self.rejoin = now + pause.half() + Span::from_micros(jitter);
        self.dials.expire(now);
        let live: Set<SocketAddr> = self
            .fleet
            .live()
            .map(|member| member.record().peer)
            .collect();
        let dead = self
            .fleet
            .iter()
            .filter(|member| member.record().state == State::Dead);
        let mut lost: Vec<SocketAddr> = dead
            .map(|member| member.record().peer)
            .chain(self.seeds.iter().copied())
            .chain(self.hints.iter().copied())
            .filter(|address| !live.contains(address))
            .collect();
        lost.sort_unstable();
        lost.dedup();
        if lost.is_empty() {
            return Vec::new();
        }
        let address = lost[context.random.random_range(0..lost.len())];
        if self.dials.start(now, address) {
            vec![Action::Dial(address)]
        } else {
            Vec::new()
        }
    }
}
