//! Link management: opens links to neighbours and to lost parts of the fleet, closes unneeded ones,
//! and suspects peers that send nothing or cannot be reached.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use crate::download::send_fetches;
use crate::gossip::Action;
use crate::gossip::Context;
use crate::gossip::Gossip;
use crate::gossip::Link;
use crate::gossip::Remote;
use crate::gossip::reply;
use crate::map::Map;
use crate::map::Set;
use crate::member::Member;
use crate::member::State;
use crate::message::Members;
use crate::message::Message;
use crate::peer::Peer;
use crate::peer::SILENCE_LIMIT;
use crate::time::Instant;
use crate::time::Span;
use crate::topology;

/// Most links of a VM. Every starting VM links to the seeds of its settings until it knows its
/// neighbours.
pub const MAX_LINKS: usize = 64;

// Time that the VM with the greater name waits for the other one to dial.
const DIAL_WAIT: Span = Span::from_millis(2_000);
// Time without a link after which a neighbour is suspected as unreachable.
const UNREACHABLE_AFTER: Span = Span::from_millis(4_000);
// A link to a VM that is no neighbour is closed only after this time, so that a changing view does
// not open and close links.
const LINGER: Span = Span::from_millis(10_000);
// Longest time between two dials of lost addresses while this VM has no link; the shortest is half.
const REJOIN_INTERVAL_ALONE: Span = Span::from_millis(1_000);
// Longest time between two dials of lost addresses otherwise; the shortest is half.
const REJOIN_INTERVAL: Span = Span::from_millis(10_000);
// Time in which lost links may be opened again before a VM without any counts as cut off.
const RELINK_WAIT: Span = Span::from_millis(500);
// Time without a message after which a peer counts as not heard; it sends a heartbeat more often.
const UNHEARD_AFTER: Span = Span::from_millis(1_500);
// Time over which the own suspicions of one member are counted.
const SUSPICION_WINDOW: Span = Span::from_millis(60_000);
// Most own suspicions of one member in the window: a VM that is the only one that cannot reach a
// member must not keep the whole fleet from using it.
const MAX_SUSPICIONS: usize = 2;

key! {
    /// Whether this VM hears of changes over links to its neighbours.
    pub(crate) enum Hearing {
        /// It had no link to a neighbour yet.
        Starting,
        /// It hears a neighbour.
        Linked,
        /// Its last link to a neighbour ended at this time and may be opened again.
        Unlinked(Instant),
        /// It hears none, and has to learn of changes by itself.
        Lost,
    }
}

impl Gossip {
    /// Takes over a link that was established. Of two links to the same VM, one is closed.
    pub fn add_link(&mut self, context: &mut Context, link: Link, remote: Remote) -> Vec<Action> {
        let now = context.now;
        if let Some(address) = remote.dialled {
            self.dials.record_success(address);
        }
        let mut actions = Vec::new();
        if let Some(other) = self.links_by_vm().get(&remote.vm).copied() {
            if !self.replaces(other, &remote) {
                return vec![Action::Close(link)];
            }
            self.peers.remove(&other);
            actions.push(Action::Close(other));
        }
        actions.extend(self.make_room());
        context.record_change("link", &remote.vm, "own", "up");
        let is_neighbour = self.neighbours.contains(&remote.vm);
        let mut peer = Peer::new(now, remote);
        peer.was_neighbour = is_neighbour;
        self.peers.insert(link, peer);
        let records = vec![self.fleet.own().record_at(now)];
        actions.extend(reply(link, [Message::Members(Members { records })]));
        actions.push(self.heartbeat(context, link));
        actions
    }

    /// Removes a link that the peer or a fault closed.
    pub fn remove_link(&mut self, context: &mut Context, link: Link) -> Vec<Action> {
        if let Some(peer) = self.peers.remove(&link) {
            context.record_change("link", &peer.vm, "own", "down");
            if let Some(address) = peer.dialled {
                self.dials
                    .record_failure(context.now, address, context.random);
            }
        }
        send_fetches(self.transfers.remove_link(context.now, link))
    }

    /// Records that a dial did not lead to a link.
    pub fn record_dial_failure(&mut self, now: Instant, address: SocketAddr, random: &mut dyn Rng) {
        self.dials.record_failure(now, address, random);
    }

    /// Does what is due at this time; called several times a second.
    pub fn tick(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let mut actions = Vec::new();
        if self.fleet.tick(now) {
            for peer in self.peers.values_mut() {
                peer.last_received = now;
            }
            for since in self.unlinked.values_mut() {
                *since = now;
            }
            actions.push(Action::Resumed);
            actions.extend(self.push_own_record(now));
        }
        actions.extend(self.close_silent(context));
        actions.extend(self.expire_suspects(context));
        self.choose_neighbours(now);
        actions.extend(self.close_unneeded(context));
        self.record_hearing(context);
        actions.extend(self.dial_neighbours(context));
        actions.extend(self.dial_lost(context));
        actions.extend(self.send_audit_copies(context));
        actions.extend(self.send_heartbeats(context));
        actions.extend(send_fetches(self.transfers.tick(now)));
        actions
    }

    // Whether a new link replaces an existing one to the same VM. Two links arise when both VMs
    // dial. Both ends keep the one that the VM with the smaller name dialled; of two dialled by the
    // same VM, the newer one.
    fn replaces(&self, other: Link, remote: &Remote) -> bool {
        let Some(old) = self.peers.get(&other) else {
            return true;
        };
        if old.incarnation != remote.incarnation {
            return old.incarnation < remote.incarnation;
        }
        let is_smaller = self.fleet.own().record().vm < remote.vm;
        let is_preferred = |dialled: bool| dialled == is_smaller;
        is_preferred(remote.dialled.is_some()) || !is_preferred(old.dialled.is_some())
    }

    // Closes a link to a VM that is no neighbour if there are already [`MAX_LINKS`].
    fn make_room(&mut self) -> Vec<Action> {
        if self.peers.len() < MAX_LINKS {
            return Vec::new();
        }
        let neighbours: Set<&str> = self.neighbours.iter().map(|vm| &**vm).collect();
        let surplus = self
            .peers
            .iter()
            .filter(|(_, peer)| !neighbours.contains(&*peer.vm))
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
            .filter(|(_, peer)| now.since(peer.last_received) > SILENCE_LIMIT)
            .map(|(link, peer)| (*link, peer.vm.clone()))
            .collect();
        let mut actions = Vec::new();
        for (link, vm) in silent {
            actions.extend(self.remove_link(context, link));
            actions.push(Action::Close(link));
            actions.extend(self.suspect(context, &vm, "silent"));
        }
        actions
    }

    // Marks a member as suspect, or as dead if it was leaving, and pushes its new record, unless
    // this VM did so too often lately.
    fn suspect(&mut self, context: &mut Context, vm: &str, cause: &str) -> Vec<Action> {
        let now = context.now;
        let times = self.suspicions.entry(vm.into()).or_default();
        times.retain(|time| now.since(*time) < SUSPICION_WINDOW);
        if times.len() >= MAX_SUSPICIONS {
            return Vec::new();
        }
        let Some(record) = self.fleet.suspect(now, vm) else {
            return Vec::new();
        };
        times.push(now);
        context.record_change("member", vm, "own", &format!("{:?}: {cause}", record.state));
        let records = vec![record];
        let mut actions = vec![Action::Members];
        actions.extend(self.push(None, Message::Members(Members { records })));
        actions
    }

    // Declares overdue suspects dead. Every VM does so by itself; only a VM that suspected a member
    // also pushes its death.
    fn expire_suspects(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let dead = self.fleet.expire(now);
        if dead.is_empty() {
            return Vec::new();
        }
        for record in &dead {
            context.record_change("member", &record.vm, "own", "Dead: not refuted");
        }
        let suspicions = &self.suspicions;
        let dead = dead.into_iter();
        let records: Vec<_> = dead
            .filter(|record| suspicions.contains_key(&record.vm))
            .collect();
        let mut actions = vec![Action::Members];
        if !records.is_empty() {
            actions.extend(self.push(None, Message::Members(Members { records })));
        }
        actions
    }

    // Recomputes the neighbours if the members changed, and notes which have no link.
    fn choose_neighbours(&mut self, now: Instant) {
        let changes = self.fleet.changes();
        if self.neighbours_version != Some(changes) {
            self.neighbours_version = Some(changes);
            let nodes = topology::nodes(&self.fleet);
            let own = &self.fleet.own().record().vm;
            let neighbours = topology::neighbours(&nodes, own);
            self.neighbours = neighbours.into_iter().map(Into::into).collect();
            self.suspicions.retain(|_, times| {
                times.retain(|time| now.since(*time) < SUSPICION_WINDOW);
                !times.is_empty()
            });
        }
        let linked = self.links_by_vm();
        let neighbours = &self.neighbours;
        self.unlinked
            .retain(|vm, _| neighbours.contains(vm) && !linked.contains_key(vm));
        for vm in neighbours {
            if !linked.contains_key(vm) && !self.unlinked.contains_key(vm) {
                self.unlinked.insert(vm.clone(), now);
            }
        }
    }

    // Tells the reader which neighbours this VM does not hear. One that hears none of them is pushed no
    // changes: over other links, these come only with repairs.
    fn record_hearing(&mut self, context: &mut Context) {
        let now = context.now;
        let linked: Map<&str, &Peer> = self
            .peers
            .values()
            .filter(|peer| self.neighbours.contains(&peer.vm))
            .map(|peer| (&*peer.vm, peer))
            .collect();
        let is_heard = |vm: &str| {
            let peer = linked.get(vm);
            peer.is_some_and(|peer| now.since(peer.last_received) < UNHEARD_AFTER)
        };
        let own = self.fleet.own();
        let unheard = self.neighbours.iter().filter(|vm| {
            let member = self.fleet.get(vm);
            !is_heard(vm) && member.is_some_and(|member| own.is_preceded_by(member))
        });
        let unheard = unheard.count() as u64;
        let hears = self.neighbours.iter().any(|vm| is_heard(vm));
        let relinks = |since: Instant| now.since(since) < RELINK_WAIT;
        self.hearing = match self.hearing {
            _ if self.neighbours.is_empty() => Hearing::Starting,
            _ if !linked.is_empty() && hears => Hearing::Linked,
            Hearing::Linked if linked.is_empty() => Hearing::Unlinked(now),
            Hearing::Unlinked(since) if linked.is_empty() && relinks(since) => self.hearing,
            Hearing::Starting => Hearing::Starting,
            Hearing::Linked | Hearing::Unlinked(_) | Hearing::Lost => Hearing::Lost,
        };
        if self.peers.is_empty() && matches!(self.hearing, Hearing::Unlinked(since) if since == now)
        {
            self.next_rejoin = now;
        }
        context
            .reader
            .record_hearing(now, unheard, self.is_cut_off());
    }

    // Closes links whose peer has not been a neighbour for [`LINGER`].
    fn close_unneeded(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let neighbours = &self.neighbours;
        let mut unneeded = Vec::new();
        for (link, peer) in &mut self.peers {
            if neighbours.contains(&peer.vm) {
                peer.last_needed = now;
                peer.was_neighbour = true;
            } else if now.since(peer.last_needed) >= LINGER {
                unneeded.push(*link);
            }
        }
        for link in &unneeded {
            if let Some(peer) = self.peers.remove(link) {
                context.record_change("link", &peer.vm, "own", "not wanted");
            }
        }
        unneeded.into_iter().map(Action::Close).collect()
    }

    // Dials neighbours without a link, and suspects those that stay without one.
    fn dial_neighbours(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        let mut actions = Vec::new();
        let mut unreachable = Vec::new();
        for (vm, since) in &self.unlinked {
            let waited = now.since(*since);
            let dials_first = self.fleet.own().record().vm < *vm;
            if waited >= UNREACHABLE_AFTER {
                unreachable.push(vm.clone());
            }
            if let Some(member) = self.fleet.get(vm)
                && (dials_first || waited >= DIAL_WAIT)
                && self.dials.start(now, member.record().peer)
            {
                actions.push(Action::Dial(member.record().peer));
            }
        }
        for vm in unreachable {
            actions.extend(self.suspect(context, &vm, "unreachable"));
        }
        actions
    }

    // Dials one address, chosen at random, at which a lost part of the fleet may be reached: that
    // of a dead member, a seed or an address of the VM list, unless a live member has it. A VM
    // without links dials live members, too, as its neighbours may all be lost.
    fn dial_lost(&mut self, context: &mut Context) -> Vec<Action> {
        let now = context.now;
        if now < self.next_rejoin {
            return Vec::new();
        }
        let is_linkless = self.peers.is_empty();
        let pause = if is_linkless {
            REJOIN_INTERVAL_ALONE
        } else {
            REJOIN_INTERVAL
        };
        let jitter = context.random.random_range(0..=pause.half().as_micros());
        self.next_rejoin = now + pause.half() + Span::from_micros(jitter);
        self.dials.expire(now);
        let own = self.fleet.own().record();
        let is_excluded = |member: &&Member| {
            let record = member.record();
            record.vm == own.vm || (record.state != State::Dead && !is_linkless)
        };
        let excluded: Set<SocketAddr> = self
            .fleet
            .iter()
            .filter(is_excluded)
            .map(|member| member.record().peer)
            .collect();
        let mut lost: Vec<SocketAddr> = self
            .fleet
            .iter()
            .map(|member| member.record().peer)
            .chain(self.seeds.iter().copied())
            .chain(self.hints.iter().copied())
            .filter(|address| !excluded.contains(address))
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
