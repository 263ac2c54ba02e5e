//! Heartbeats over links, and copies of audit records.
//!
//! A heartbeat shows that its sender runs, carries root hashes of the sender's state, by which two
//! VMs find out whether they differ, and acknowledges copies of audit records.

use crate::gossip::Action;
use crate::gossip::Context;
use crate::gossip::Gossip;
use crate::gossip::Link;
use crate::gossip::reply;
use crate::member;
use crate::message::Audit;
use crate::message::Heartbeat;
use crate::message::Leaving;
use crate::message::Message;
use crate::peer::Dataset;
use crate::peer::Peer;
use crate::repair;
use crate::time::Span;

/// Time between two heartbeats over a link.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);
/// VMs that keep copies of a VM's audit records.
pub const AUDIT_COPIES: usize = 2;

// Most audit records in one message.
const AUDIT_BATCH: usize = 64;
// A peer's view of the configuration service replaces the own age only if it is fresher by this
// much. The stated age lacks the transmission time, so without a threshold two peers would keep
// making each other's view look younger.
const VIEW_GAIN: Span = Span::from_millis(500);

impl Gossip {
    /// Handles a heartbeat: starts repairs of what differs, and takes over the age of the peer's
    /// view of the configuration service if the catalogues are equal and that view is fresher.
    pub(crate) fn handle_heartbeat(
        &mut self,
        context: &mut Context,
        link: Link,
        heartbeat: &Heartbeat,
    ) -> Vec<Action> {
        let now = context.now;
        self.update_roots(context);
        let mut actions = Vec::new();
        let waits_for_local = self.is_waiting_for_local_catalogue(context, link);
        let [catalogue, members, leaving] = self.roots;
        let own = &self.fleet.own().record().vm;
        let Some(peer) = self.peers.get_mut(&link) else {
            return Vec::new();
        };
        let is_initiator = *own < peer.vm;
        peer.acknowledge(now, heartbeat.audit);
        let mut messages = Vec::new();
        if peer.compare_root(
            now,
            Dataset::Members,
            members,
            heartbeat.members,
            is_initiator,
        ) {
            messages.push(repair::roster(&self.fleet));
        }
        // A VM without a catalogue does not wait: no push under way could make it equal to the
        // peer.
        let is_new = context.catalogue.is_empty() && heartbeat.catalogue != catalogue.hash;
        let is_due = peer.compare_root(
            now,
            Dataset::Catalogue,
            catalogue,
            heartbeat.catalogue,
            is_initiator,
        );
        if (is_due || is_new) && !waits_for_local {
            messages.push(repair::digest(context.catalogue));
        }
        if peer.compare_root(now, Dataset::Leaving, leaving, heartbeat.leaving, true) {
            let departures = self.departures.list(now);
            if !departures.is_empty() {
                messages.push(Message::Leaving(Leaving { departures }));
            }
        }
        if heartbeat.catalogue == catalogue.hash
            && let Some(age_ms) = heartbeat.view_age_ms
        {
            let age = Span::from_millis(age_ms);
            if is_gain(context.reader.age(now), age) {
                actions.extend(self.confirm_view(context, age));
            }
        }
        actions.extend(reply(link, messages));
        actions
    }

    /// Records that the view was complete `age` ago. If that is much fresher than what was known, all
    /// peers are told at once: so the view of every VM has nearly the same age, however many links
    /// lie between it and a reader, and one that is older shows that readers were lost.
    pub fn confirm_view(&mut self, context: &mut Context, age: Span) -> Vec<Action> {
        let now = context.now;
        let known = context.reader.age(now);
        context.reader.confirm(now, age);
        if !is_gain(known, age) {
            return Vec::new();
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.heartbeat_all(context)
    }

    /// Recomputes the own root hashes.
    fn update_roots(&mut self, context: &Context) {
        let now = context.now;
        let [catalogue, members, leaving] = &mut self.roots;
        catalogue.update(now, repair::root(context.catalogue));
        leaving.update(now, self.departures.root(now));
        if self.members_version != Some(self.fleet.changes()) {
            self.members_version = Some(self.fleet.changes());
            members.update(now, self.fleet.root());
        }
    }

    /// Sends heartbeats over all links if they are due.
    pub(crate) fn send_heartbeats(&mut self, context: &mut Context) -> Vec<Action> {
        if context.now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = context.now + HEARTBEAT_INTERVAL;
        self.departures.expire(context.now);
        self.heartbeat_all(context)
    }

    /// Heartbeats to all peers.
    pub(crate) fn heartbeat_all(&mut self, context: &mut Context) -> Vec<Action> {
        let links: Vec<Link> = self.peers.keys().copied().collect();
        links
            .into_iter()
            .map(|link| self.heartbeat(context, link))
            .collect()
    }

    /// A heartbeat to the peer of `link`.
    pub(crate) fn heartbeat(&mut self, context: &mut Context, link: Link) -> Action {
        self.update_roots(context);
        let [catalogue, members, leaving] = self.roots;
        let last_copied = |peer: &Peer| context.audit.last_copied(&peer.vm, peer.incarnation);
        let heartbeat = Heartbeat {
            catalogue: catalogue.hash,
            members: members.hash,
            leaving: leaving.hash,
            view_age_ms: context.reader.age(context.now).map(Span::as_millis),
            audit: self.peers.get(&link).map_or(0, last_copied),
        };
        Action::Send(vec![link], Message::Heartbeat(heartbeat))
    }

    /// Sends own audit records to the [`AUDIT_COPIES`] lowest-ranked peers of the same data centre,
    /// or of others if it has none.
    pub(crate) fn send_audit_copies(&mut self, context: &mut Context) -> Vec<Action> {
        if !self.copies_audit {
            return Vec::new();
        }
        let own = self.fleet.own().record().data_center.clone();
        let mut candidates: Vec<(bool, u64, Link)> = self
            .peers
            .iter()
            .map(|(link, peer)| {
                let rank = member::rank(&peer.vm, peer.incarnation);
                (peer.data_center != own, rank, *link)
            })
            .collect();
        candidates.sort_unstable();
        let has_local = candidates.iter().any(|(is_remote, ..)| !is_remote);
        candidates.retain(|(is_remote, ..)| !(has_local && *is_remote));
        let mut actions = Vec::new();
        for (_, _, link) in candidates.into_iter().take(AUDIT_COPIES) {
            let Some(peer) = self.peers.get_mut(&link) else {
                continue;
            };
            let Some(last_sent) = peer.last_sent().filter(|seq| *seq < context.audit.last()) else {
                continue;
            };
            let records = context.audit.records_after(last_sent, AUDIT_BATCH);
            if let Some(last) = records.last() {
                peer.record_sent(context.now, last.seq);
                let oldest = context.audit.oldest_sent();
                actions.extend(reply(link, [Message::Audit(Audit { oldest, records })]));
            }
        }
        actions
    }
}

/// Whether a view of the age `stated` is much fresher than one of the age `known`.
fn is_gain(known: Option<Span>, stated: Span) -> bool {
    known.is_none_or(|known| known > stated + VIEW_GAIN)
}
