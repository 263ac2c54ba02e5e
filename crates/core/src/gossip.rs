//! What to tell whom on which event.
//!
//! News is pushed over all links at once, and each VM forwards only what was new to it. Each beat
//! carries hashes of what its sender holds; a difference starts a repair over that link.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;

use crate::audit;
use crate::audit::Change;
use crate::catalogue::Catalogue;
use crate::catalogue::Verdict;
use crate::departure::Table;
use crate::dial::Dials;
use crate::map::Map;
use crate::member;
use crate::member::Fleet;
use crate::member::Merge;
use crate::member::State;
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

const LOAD_BATCH: usize = 1_024;

key! {
    /// A link; numbers are never used twice.
    pub struct Link(pub u64);
}

data! {
    /// The peer at the other end of a new link.
    pub struct Remote {
        /// Name of the VM.
        pub vm: Box<str>,
        /// Its incarnation.
        pub incarnation: u64,
        /// Its data centre.
        pub data_center: Box<str>,
        /// The address dialled, if this VM dialled.
        pub dialled: Option<SocketAddr>,
    }

    /// What the I/O shell and the owner of the state have to do.
    pub enum Action {
        /// Send a message over links.
        Send(Vec<Link>, Message),
        /// Dial a peer.
        Dial(SocketAddr),
        /// Close a link.
        Close(Link),
        /// Content of a catalogue key was judged and is new.
        Verdict(Box<str>, Verdict),
        /// A target is leaving.
        Departure(Departure),
        /// A peer reported loads.
        Load(Box<str>, Vec<Report>),
        /// Members changed.
        Members,
        /// The own incarnation was raised before serving.
        Incarnation(u64),
        /// A newer incarnation of this VM's name serves elsewhere.
        Superseded,
        /// The process was frozen: buffered input says nothing about now.
        Resumed,
    }
}

/// What an event may use besides the state of the links.
pub struct Context<'a> {
    /// Monotonic time.
    pub now: Instant,
    /// Wall clock for audit records.
    pub wall_ms: u64,
    /// Entries in effect.
    pub catalogue: &'a mut Catalogue,
    /// Audit trail.
    pub audit: &'a mut audit::Ring,
    /// Age of the view.
    pub reader: &'a mut Reader,
    /// Random numbers.
    pub random: &'a mut dyn Rng,
}

impl Context<'_> {
    pub(crate) fn note(&mut self, kind: &str, subject: &str, source: &str, cause: &str) {
        let change = Change::new(kind, subject, source, cause);
        self.audit.record(self.wall_ms, change);
    }
}

/// One VM's part in the fleet.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) fleet: Fleet,
    pub(crate) peers: BTreeMap<Link, Peer>,
    pub(crate) dials: Dials,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) hints: Vec<SocketAddr>,
    pub(crate) neighbours: Vec<Box<str>>,
    pub(crate) neighbours_at: Option<u64>,
    pub(crate) missing: BTreeMap<Box<str>, Instant>,
    pub(crate) accused: BTreeMap<Box<str>, Vec<Instant>>,
    pub(crate) rejoin: Instant,
    pub(crate) news: Table,
    pub(crate) roots: [Root; 3],
    pub(crate) members_at: Option<u64>,
    pub(crate) beat: Instant,
    pub(crate) fetch: Option<(Link, Instant)>,
    pub(crate) copies_audit: bool,
}

impl Gossip {
    /// A VM without links. `seeds` are peer addresses to try before any member is known; news of
    /// leaving targets holds for `hold`.
    #[must_use]
    pub fn new(now: Instant, own: member::Record, seeds: Vec<SocketAddr>, hold: Span) -> Self {
        Self {
            fleet: Fleet::new(now, own),
            peers: BTreeMap::new(),
            dials: Dials::default(),
            seeds,
            hints: Vec::new(),
            neighbours: Vec::new(),
            neighbours_at: None,
            missing: BTreeMap::new(),
            accused: BTreeMap::new(),
            rejoin: now,
            news: Table::new(hold),
            roots: [Root::default(); 3],
            members_at: None,
            beat: now,
            fetch: None,
            copies_audit: true,
        }
    }

    /// Keeps the audit records of this VM from its peers, where something else collects them.
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

    /// Fixes the own incarnation: from now on, this VM serves under it.
    pub fn fix_incarnation(&mut self) {
        self.fleet.fix_incarnation();
    }

    /// The names of the VMs that links lead to, in order.
    pub fn linked(&self) -> impl Iterator<Item = &str> {
        self.peers.values().map(|peer| &*peer.vm)
    }

    /// Replaces the peer addresses from the VM list.
    pub fn set_peer_hints(&mut self, addresses: Vec<SocketAddr>) {
        self.hints = addresses;
    }

    /// Leaving targets that are known now.
    #[must_use]
    pub fn departures(&self, now: Instant) -> Vec<Departure> {
        self.news.departures(now)
    }

    /// Takes a message from the peer of `link`.
    pub fn receive(&mut self, context: &mut Context, link: Link, message: Message) -> Vec<Action> {
        let now = context.now;
        let Some(peer) = self.peers.get_mut(&link) else {
            return Vec::new();
        };
        peer.heard = now;
        let (vm, incarnation) = (peer.vm.clone(), peer.incarnation);
        match message {
            Message::Members(members) => self.merge(context, Some(link), members.records),
            Message::Roster(roster) => reply(link, repair::reconcile(now, &self.fleet, &roster)),
            // The answer would make the peer send everything.
            Message::Digest(_) if self.is_awaiting_near(context, link) => Vec::new(),
            Message::Digest(digest) => {
                let versions = repair::versions(context.catalogue, &digest);
                // A peer without a catalogue only takes, and many may at once.
                let is_empty = digest.hashes.iter().all(|hash| *hash == 0);
                let answer = |found: &Message| is_empty || self.may_fetch(now, link, found);
                reply(link, versions.filter(answer))
            }
            Message::Versions(versions) => {
                let mut messages = repair::exchange(context.catalogue, &versions);
                messages.retain(|message| self.may_fetch(now, link, message));
                reply(link, messages)
            }
            Message::Want(want) => {
                let mut keys: Vec<&str> = want.keys.iter().map(|key| &**key).collect();
                keys.sort_unstable();
                keys.dedup();
                let mut messages = repair::entries(context.catalogue, keys);
                messages.extend(repair::records(now, &self.fleet, &want));
                reply(link, messages)
            }
            Message::Entries(entries) => self.offer(context, Some(link), entries.contents),
            Message::Leaving(leaving) => self.hear(context, Some(link), leaving.departures),
            Message::Load(load) => vec![Action::Load(vm, load.reports)],
            Message::Audit(audit) => {
                let Audit { oldest, records } = audit;
                context.audit.copy(&vm, incarnation, oldest, records);
                Vec::new()
            }
            Message::Heartbeat(heartbeat) => self.compare(context, link, &heartbeat),
        }
    }

    /// Takes own evidence that targets are leaving.
    pub fn report_departures(
        &mut self,
        context: &mut Context,
        departures: Vec<Departure>,
    ) -> Vec<Action> {
        self.hear(context, None, departures)
    }

    /// Reports loads to the peers of the same data centre.
    #[must_use]
    pub fn load(&self, reports: &[Report]) -> Vec<Action> {
        let own = &self.fleet.own().record().data_center;
        let near = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.data_center == *own);
        let near: Vec<Link> = near.map(|(link, _)| *link).collect();
        if near.is_empty() {
            return Vec::new();
        }
        let load = |reports: &[Report]| Load {
            reports: reports.to_vec(),
        };
        reports
            .chunks(LOAD_BATCH)
            .map(|reports| Action::Send(near.clone(), Message::Load(load(reports))))
            .collect()
    }

    /// Announces a new state of this VM.
    pub fn announce(&mut self, context: &mut Context, state: State) -> Vec<Action> {
        self.fleet.announce(context.now, state);
        let cause = format!("{state:?}");
        context.note("member", &self.fleet.own().record().vm, "own", &cause);
        self.restate(context.now)
    }

    fn hear(
        &mut self,
        context: &mut Context,
        from: Option<Link>,
        departures: Vec<Departure>,
    ) -> Vec<Action> {
        let source = self.source(from, "own");
        let mut actions = Vec::new();
        let mut fresh = Vec::new();
        for departure in departures {
            if self.news.hear(context.now, &departure) {
                let target = departure.target.to_string();
                context.note("leaving", &target, &source, &departure.source);
                actions.push(Action::Departure(departure.clone()));
                fresh.push(departure);
            }
        }
        if !fresh.is_empty() {
            let message = Message::Leaving(Leaving { departures: fresh });
            actions.extend(self.push(from, message));
        }
        actions
    }

    pub(crate) fn merge(
        &mut self,
        context: &mut Context,
        from: Option<Link>,
        records: Vec<member::Record>,
    ) -> Vec<Action> {
        let now = context.now;
        let source = self.source(from, "own");
        let mut actions = Vec::new();
        let mut fresh = Vec::new();
        let mut newer = Vec::new();
        let own = self.fleet.own().record().incarnation;
        for record in records {
            let (vm, state, incarnation) = (record.vm.clone(), record.state, record.incarnation);
            match self.fleet.merge(now, record) {
                Merge::Newer(before) => {
                    if before != Some(state) {
                        context.note("member", &vm, &source, &format!("{state:?}"));
                    }
                    self.identify(from, &vm, incarnation);
                    fresh.extend(self.fleet.get(&vm).map(|member| member.current(now)));
                }
                Merge::Refuted => {
                    actions.extend(self.restate(now));
                    let raised = self.fleet.own().record().incarnation;
                    if raised != own {
                        context.audit.raise(raised);
                        actions.push(Action::Incarnation(raised));
                    }
                    context.note("member", &vm, &source, "refuted");
                }
                Merge::Behind => {
                    newer.extend(self.fleet.get(&vm).map(|member| member.current(now)));
                }
                Merge::Superseded => actions.push(Action::Superseded),
                Merge::Known | Merge::Full => {}
            }
        }
        if let Some(link) = from
            && !newer.is_empty()
        {
            actions.extend(reply(link, [Message::Members(Members { records: newer })]));
        }
        if !fresh.is_empty() {
            actions.push(Action::Members);
            actions.extend(self.push(from, Message::Members(Members { records: fresh })));
        }
        actions
    }

    // A starting peer may raise its incarnation after the link was established.
    fn identify(&mut self, from: Option<Link>, vm: &str, incarnation: u64) {
        if let Some(peer) = from.and_then(|link| self.peers.get_mut(&link))
            && &*peer.vm == vm
            && peer.incarnation < incarnation
        {
            peer.incarnation = incarnation;
        }
    }

    /// Tells all peers this VM's own record.
    pub(crate) fn restate(&self, now: Instant) -> Vec<Action> {
        let records = vec![self.fleet.own().current(now)];
        let mut actions = vec![Action::Members];
        actions.extend(self.push(None, Message::Members(Members { records })));
        actions
    }

    /// Pushes over the links to present and former neighbours. A seed has links to many starting VMs
    /// besides, over which beats compare: each news of each of them over each link would grow with the
    /// square of the fleet. A VM without a neighbour uses what it has.
    pub(crate) fn push(&self, except: Option<Link>, message: Message) -> Option<Action> {
        let is_alone = !self.peers.values().any(|peer| peer.settled);
        let carries =
            |(link, peer): &(&Link, &Peer)| Some(**link) != except && (peer.settled || is_alone);
        let links = self.peers.iter().filter(carries);
        let links: Vec<Link> = links.map(|(link, _)| *link).collect();
        (!links.is_empty()).then_some(Action::Send(links, message))
    }

    pub(crate) fn source(&self, from: Option<Link>, own: &str) -> Box<str> {
        from.and_then(|link| self.peers.get(&link))
            .map_or_else(|| own.into(), |peer| peer.vm.clone())
    }

    /// Members by name of their VM that no link leads to.
    pub(crate) fn linked_names(&self) -> Map<Box<str>, Link> {
        let named = |(link, peer): (&Link, &Peer)| (peer.vm.clone(), *link);
        self.peers.iter().map(named).collect()
    }
}

pub(crate) fn reply(link: Link, messages: impl IntoIterator<Item = Message>) -> Vec<Action> {
    messages
        .into_iter()
        .map(|message| Action::Send(vec![link], message))
        .collect()
}
