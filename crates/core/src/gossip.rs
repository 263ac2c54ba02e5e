//! Gossip state of one VM: takes messages of peers and local events, and returns the actions to
//! carry out.
//!
//! Updates are pushed over all links to neighbours at once, and each VM forwards only updates that
//! are new to it. Each heartbeat carries hashes of the sender's state; a difference starts a repair
//! over that link.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;

use crate::audit;
use crate::audit::Change;
use crate::catalogue::Catalogue;
use crate::catalogue::Verdict;
use crate::departure;
use crate::dial::Dials;
use crate::map::Map;
use crate::member;
use crate::member::Fleet;
use crate::member::Merge;
use crate::member::State;
use crate::mesh::Hearing;
use crate::message::Audit;
use crate::message::Departure;
use crate::message::Leaving;
use crate::message::Load;
use crate::message::Members;
use crate::message::Message;
use crate::message::Report;
use crate::peer::Peer;
use crate::peer::Root;
use crate::reader::Reader;
use crate::repair;
use crate::time::Instant;
use crate::time::Span;
use crate::transfer;

/// Most load reports in one message.
const LOAD_BATCH: usize = 1_024;

key! {
    /// Number of a link; numbers are never used twice.
    pub struct Link(pub u64);
}

data! {
    /// How large texts reach a peer.
    #[derive(Copy)]
    pub enum Delivery {
        /// Like other contents; the release of the peer knows no offers.
        Whole,
        /// As offers; the peer fetches what it lacks.
        Offered,
    }

    /// The peer at the other end of a new link.
    pub struct Remote {
        /// Name of the VM.
        pub vm: Box<str>,
        /// Its incarnation.
        pub incarnation: u64,
        /// Its data centre.
        pub data_center: Box<str>,
        /// The address that this VM dialled; none if the peer dialled.
        pub dialled: Option<SocketAddr>,
        /// How large texts reach it.
        pub delivery: Delivery,
    }

    /// What the I/O layer and the owner of the state have to do.
    pub enum Action {
        /// Send a message over links.
        Send(Vec<Link>, Message),
        /// Dial a peer.
        Dial(SocketAddr),
        /// Close a link.
        Close(Link),
        /// The catalogue gave a verdict on new content of a key.
        Verdict(Box<str>, Verdict),
        /// Use new evidence that a target is leaving.
        Departure(Departure),
        /// Use the load reports of the named peer VM.
        Load(Box<str>, Vec<Report>),
        /// Update what is derived from the members, which changed.
        Members,
        /// Use this incarnation: the own one was raised before it was fixed.
        Incarnation(u64),
        /// Shut down: a newer incarnation of this VM's name serves elsewhere.
        Superseded,
        /// The process was frozen: buffered input does not show the current state.
        Resumed,
    }
}

/// State, clocks and random numbers that an event uses besides [`Gossip`].
pub struct Context<'a> {
    /// Monotonic time.
    pub now: Instant,
    /// Wall clock for audit records, in milliseconds.
    pub wall_ms: u64,
    /// Entries in effect.
    pub catalogue: &'a mut Catalogue,
    /// Audit trail.
    pub audit: &'a mut audit::Ring,
    /// Age of the view of the configuration service.
    pub reader: &'a mut Reader,
    /// Random numbers.
    pub random: &'a mut dyn Rng,
}

impl Context<'_> {
    pub(crate) fn record_change(&mut self, kind: &str, subject: &str, source: &str, cause: &str) {
        let change = Change::new(kind, subject, source, cause);
        self.audit.record(self.wall_ms, change);
    }
}

/// Members, links, neighbours and leaving targets that this VM knows.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) fleet: Fleet,
    pub(crate) peers: BTreeMap<Link, Peer>,
    pub(crate) dials: Dials,
    pub(crate) seeds: Vec<SocketAddr>,
    /// Peer addresses from the VM list.
    pub(crate) hints: Vec<SocketAddr>,
    pub(crate) neighbours: Vec<Box<str>>,
    /// Change count of the fleet for which `neighbours` was computed.
    pub(crate) neighbours_version: Option<u64>,
    /// Neighbours without a link, and since when.
    pub(crate) unlinked: BTreeMap<Box<str>, Instant>,
    /// Whether neighbours are heard.
    pub(crate) hearing: Hearing,
    /// When this VM recently suspected each member.
    pub(crate) suspicions: BTreeMap<Box<str>, Vec<Instant>>,
    /// When the next address of a lost member, a seed or the VM list is dialled.
    pub(crate) next_rejoin: Instant,
    pub(crate) departures: departure::Table,
    /// Own root hashes, by [`crate::peer::Dataset`].
    pub(crate) roots: [Root; 3],
    /// Change count of the fleet for which the root hash of the members was computed.
    pub(crate) members_version: Option<u64>,
    pub(crate) next_heartbeat: Instant,
    /// The link over which a large part of the catalogue was last requested, and when.
    pub(crate) fetch: Option<(Link, Instant)>,
    /// Whether peers get copies of the own audit records.
    pub(crate) copies_audit: bool,
    /// Large texts that are being fetched, and those that peers fetch.
    pub(crate) transfers: transfer::Table,
}

impl Gossip {
    /// The state of a VM without links. `seeds` are peer addresses to dial before any member is
    /// known; evidence that a target is leaving expires after `hold`.
    #[must_use]
    pub fn new(now: Instant, own: member::Record, seeds: Vec<SocketAddr>, hold: Span) -> Self {
        Self {
            fleet: Fleet::new(now, own),
            peers: BTreeMap::new(),
            dials: Dials::default(),
            seeds,
            hints: Vec::new(),
            neighbours: Vec::new(),
            neighbours_version: None,
            unlinked: BTreeMap::new(),
            hearing: Hearing::Starting,
            suspicions: BTreeMap::new(),
            next_rejoin: now,
            departures: departure::Table::new(hold),
            roots: [Root::default(); 3],
            members_version: None,
            next_heartbeat: now,
            fetch: None,
            copies_audit: true,
            transfers: transfer::Table::default(),
        }
    }

    /// Sends no copies of this VM's audit records to its peers; for deployments in which something
    /// else collects them.
    #[must_use]
    pub fn without_audit_copies(mut self) -> Self {
        self.copies_audit = false;
        self
    }

    /// The members.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Fixes the own incarnation, under which this VM serves from now on.
    pub fn fix_incarnation(&mut self) {
        self.fleet.fix_incarnation();
    }

    /// The names of the VMs that this VM has links to, in order of the links.
    pub fn linked(&self) -> impl Iterator<Item = &str> {
        self.peers.values().map(|peer| &*peer.vm)
    }

    /// Whether this VM hears none of its neighbours any more.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.hearing == Hearing::Lost
    }

    /// Replaces the seeds; one that no live member has is dialled at the next tick.
    pub fn set_seeds(&mut self, now: Instant, seeds: Vec<SocketAddr>) {
        if seeds != self.seeds {
            self.seeds = seeds;
            self.next_rejoin = now;
        }
    }

    /// Replaces the peer addresses that the VM list gives; they are dialled like seeds.
    pub fn set_peer_hints(&mut self, addresses: Vec<SocketAddr>) {
        self.hints = addresses;
    }

    /// Evidence that targets are leaving, as peers should have it at `now`.
    #[must_use]
    pub fn departures(&self, now: Instant) -> Vec<Departure> {
        self.departures.list(now)
    }

    /// Handles a message from the peer of `link`; ignores it if the link is not known.
    pub fn receive(&mut self, context: &mut Context, link: Link, message: Message) -> Vec<Action> {
        let now = context.now;
        let Some(peer) = self.peers.get_mut(&link) else {
            return Vec::new();
        };
        peer.last_received = now;
        let (vm, incarnation) = (peer.vm.clone(), peer.incarnation);
        let delivery = peer.delivery;
        match message {
            Message::Members(members) => self.merge_members(context, Some(link), members.records),
            Message::Roster(roster) => reply(link, repair::reconcile(now, &self.fleet, &roster)),
            // A reply would make the peer send its whole catalogue.
            Message::Digest(_) if self.is_waiting_for_local_catalogue(context, link) => Vec::new(),
            Message::Digest(digest) => {
                let versions = repair::versions(context.catalogue, &digest);
                // A peer without a catalogue sends no contents, so any number of them is answered.
                let is_empty = digest.hashes.iter().all(|hash| *hash == 0);
                let may_send = |found: &Message| is_empty || self.reserve_fetch(now, link, found);
                reply(link, versions.filter(may_send))
            }
            Message::Versions(versions) => {
                let mut messages = repair::exchange(context.catalogue, &versions, delivery);
                messages.retain(|message| self.reserve_fetch(now, link, message));
                reply(link, messages)
            }
            Message::Want(want) => {
                let mut keys: Vec<&str> = want.keys.iter().map(|key| &**key).collect();
                keys.sort_unstable();
                keys.dedup();
                let mut messages = repair::entries(context.catalogue, keys, delivery);
                messages.extend(repair::records(now, &self.fleet, &want));
                reply(link, messages)
            }
            Message::Entries(entries) => self.offer(context, Some(link), entries.contents),
            Message::Leaving(leaving) => {
                self.merge_departures(context, Some(link), leaving.departures)
            }
            Message::Load(load) => vec![Action::Load(vm, load.reports)],
            Message::Audit(audit) => {
                let Audit { oldest, records } = audit;
                context
                    .audit
                    .store_copies(&vm, incarnation, oldest, records);
                Vec::new()
            }
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(context, link, &heartbeat),
            Message::Offers(offers) => self.handle_offers(context, link, &offers),
            Message::Fetch(fetch) => self.handle_fetch(context, link, &fetch),
            Message::Part(part) => self.handle_part(context, link, &part),
        }
    }

    /// Records own evidence that targets are leaving and pushes what is new of it.
    pub fn report_departures(
        &mut self,
        context: &mut Context,
        departures: Vec<Departure>,
    ) -> Vec<Action> {
        self.merge_departures(context, None, departures)
    }

    /// Sends load reports of targets to the peers of the same data centre.
    #[must_use]
    pub fn report_load(&self, reports: &[Report]) -> Vec<Action> {
        let own = &self.fleet.own().record().data_center;
        let local = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.data_center == *own);
        let local: Vec<Link> = local.map(|(link, _)| *link).collect();
        if local.is_empty() {
            return Vec::new();
        }
        let load = |reports: &[Report]| Load {
            reports: reports.to_vec(),
        };
        reports
            .chunks(LOAD_BATCH)
            .map(|reports| Action::Send(local.clone(), Message::Load(load(reports))))
            .collect()
    }

    /// Sets the state of this VM itself and pushes it to the peers.
    pub fn announce(&mut self, context: &mut Context, state: State) -> Vec<Action> {
        self.fleet.announce(context.now, state);
        let cause = format!("{state:?}");
        context.record_change("member", &self.fleet.own().record().vm, "own", &cause);
        self.push_own_record(context.now)
    }

    // Records evidence that targets are leaving, from a peer or of this VM, and pushes what is new.
    fn merge_departures(
        &mut self,
        context: &mut Context,
        from: Option<Link>,
        departures: Vec<Departure>,
    ) -> Vec<Action> {
        let source = self.source(from, "own");
        let mut actions = Vec::new();
        let mut updates = Vec::new();
        for departure in departures {
            if self.departures.record(context.now, &departure) {
                let target = departure.target.to_string();
                context.record_change("leaving", &target, &source, &departure.source);
                actions.push(Action::Departure(departure.clone()));
                updates.push(departure);
            }
        }
        if !updates.is_empty() {
            let message = Message::Leaving(Leaving {
                departures: updates,
            });
            actions.extend(self.push(from, message));
        }
        actions
    }

    /// Merges member records of a peer, pushes newer ones on and returns newer own ones to the
    /// peer.
    pub(crate) fn merge_members(
        &mut self,
        context: &mut Context,
        from: Option<Link>,
        records: Vec<member::Record>,
    ) -> Vec<Action> {
        let now = context.now;
        let source = self.source(from, "own");
        let mut actions = Vec::new();
        let mut updates = Vec::new();
        let mut corrections = Vec::new();
        let own_incarnation = self.fleet.own().record().incarnation;
        for record in records {
            let (vm, state, incarnation) = (record.vm.clone(), record.state, record.incarnation);
            match self.fleet.merge(now, record) {
                Merge::Newer(before) => {
                    if before != Some(state) {
                        context.record_change("member", &vm, &source, &format!("{state:?}"));
                    }
                    self.raise_peer_incarnation(from, &vm, incarnation);
                    updates.extend(self.fleet.get(&vm).map(|member| member.record_at(now)));
                }
                Merge::Refuted => {
                    actions.extend(self.push_own_record(now));
                    let raised = self.fleet.own().record().incarnation;
                    if raised != own_incarnation {
                        context.audit.set_incarnation(raised);
                        actions.push(Action::Incarnation(raised));
                    }
                    context.record_change("member", &vm, &source, "refuted");
                }
                Merge::Behind => {
                    corrections.extend(self.fleet.get(&vm).map(|member| member.record_at(now)));
                }
                Merge::Superseded => actions.push(Action::Superseded),
                Merge::Known | Merge::Full => {}
            }
        }
        if let Some(link) = from
            && !corrections.is_empty()
        {
            actions.extend(reply(
                link,
                [Message::Members(Members {
                    records: corrections,
                })],
            ));
        }
        if !updates.is_empty() {
            actions.push(Action::Members);
            actions.extend(self.push(from, Message::Members(Members { records: updates })));
        }
        actions
    }

    // A starting peer may raise its incarnation after the link was established.
    fn raise_peer_incarnation(&mut self, from: Option<Link>, vm: &str, incarnation: u64) {
        if let Some(peer) = from.and_then(|link| self.peers.get_mut(&link))
            && &*peer.vm == vm
            && peer.incarnation < incarnation
        {
            peer.incarnation = incarnation;
        }
    }

    /// Pushes this VM's own record to the peers.
    pub(crate) fn push_own_record(&self, now: Instant) -> Vec<Action> {
        let records = vec![self.fleet.own().record_at(now)];
        let mut actions = vec![Action::Members];
        actions.extend(self.push(None, Message::Members(Members { records })));
        actions
    }

    /// Pushes a message over the links to current and former neighbours, except over `except`. A
    /// seed also has links to many starting VMs, which it updates only after a comparison by
    /// heartbeats: pushing every update of each of them over each link would cost traffic in
    /// proportion to the square of the fleet size. A VM without a link to a neighbour pushes over
    /// all its links.
    pub(crate) fn push(&self, except: Option<Link>, message: Message) -> Option<Action> {
        let links: Vec<Link> = self
            .push_peers()
            .map(|(link, _)| link)
            .filter(|link| Some(*link) != except)
            .collect();
        (!links.is_empty()).then_some(Action::Send(links, message))
    }

    /// The peers that updates are pushed to.
    pub(crate) fn push_peers(&self) -> impl Iterator<Item = (Link, &Peer)> {
        let no_neighbour = !self.peers.values().any(|peer| peer.was_neighbour);
        let takes_push = move |(_, peer): &(&Link, &Peer)| peer.was_neighbour || no_neighbour;
        let peers = self.peers.iter().filter(takes_push);
        peers.map(|(link, peer)| (*link, peer))
    }

    /// Name of the peer VM at the other end of `from`, or `own` for an event of this VM.
    pub(crate) fn source(&self, from: Option<Link>, own: &str) -> Box<str> {
        from.and_then(|link| self.peers.get(&link))
            .map_or_else(|| own.into(), |peer| peer.vm.clone())
    }

    /// Links by the name of the peer VM.
    pub(crate) fn links_by_vm(&self) -> Map<Box<str>, Link> {
        let named = |(link, peer): (&Link, &Peer)| (peer.vm.clone(), *link);
        self.peers.iter().map(named).collect()
    }
}

/// Sends messages over one link.
pub(crate) fn reply(link: Link, messages: impl IntoIterator<Item = Message>) -> Vec<Action> {
    messages
        .into_iter()
        .map(|message| Action::Send(vec![link], message))
        .collect()
}
