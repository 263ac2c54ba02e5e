//! Beats: signs of life that compare what two VMs hold, and copies of the audit trail.

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
use crate::peer::Part;
use crate::peer::Peer;
use crate::repair;
use crate::time::Span;

/// Time between two beats over a link.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);
/// VMs that keep copies of a VM's audit records.
pub const AUDIT_COPIES: usize = 2;

const AUDIT_BATCH: usize = 64;
// A peer's view counts only if it is fresher by this much. The age does not include the time on
// the way, so that two peers would otherwise rejuvenate each other's view.
const VIEW_GAIN: Span = Span::from_millis(500);

impl Gossip {
    pub(crate) fn compare(
        &mut self,
        context: &mut Context,
        link: Link,
        beat: &Heartbeat,
    ) -> Vec<Action> {
        let now = context.now;
        self.refresh(context);
        let awaits_near = self.is_awaiting_near(context, link);
        let [catalogue, members, leaving] = self.roots;
        let own = &self.fleet.own().record().vm;
        let Some(peer) = self.peers.get_mut(&link) else {
            return Vec::new();
        };
        let lead = *own < peer.vm;
        peer.acknowledge(now, beat.audit);
        let mut messages = Vec::new();
        if peer.differs(now, Part::Members, members, beat.members, lead) {
            messages.push(repair::roster(&self.fleet));
        }
        // A VM that just started knows nothing that a push on its way could make equal.
        let is_new = context.catalogue.is_empty() && beat.catalogue != catalogue.hash;
        let differs = peer.differs(now, Part::Catalogue, catalogue, beat.catalogue, lead);
        if (differs || is_new) && !awaits_near {
            messages.push(repair::digest(context.catalogue));
        }
        if peer.differs(now, Part::Leaving, leaving, beat.leaving, true) {
            let departures = self.news.departures(now);
            if !departures.is_empty() {
                messages.push(Message::Leaving(Leaving { departures }));
            }
        }
        if beat.catalogue == catalogue.hash
            && let Some(age_ms) = beat.view_age_ms
        {
            let age = Span::from_millis(age_ms);
            let gains = |own: Span| own > age + VIEW_GAIN;
            if context.reader.age(now).is_none_or(gains) {
                context.reader.confirm(now, age);
            }
        }
        reply(link, messages)
    }

    /// Brings the own hashes up to date.
    fn refresh(&mut self, context: &Context) {
        let now = context.now;
        let [catalogue, members, leaving] = &mut self.roots;
        catalogue.update(now, repair::root(context.catalogue));
        leaving.update(now, self.news.root(now));
        if self.members_at != Some(self.fleet.changes()) {
            self.members_at = Some(self.fleet.changes());
            members.update(now, self.fleet.root());
        }
    }

    pub(crate) fn beats(&mut self, context: &mut Context) -> Vec<Action> {
        if context.now < self.beat {
            return Vec::new();
        }
        self.beat = context.now + HEARTBEAT_INTERVAL;
        self.news.expire(context.now);
        self.beat_over_all(context)
    }

    pub(crate) fn beat_over_all(&mut self, context: &mut Context) -> Vec<Action> {
        let links: Vec<Link> = self.peers.keys().copied().collect();
        links
            .into_iter()
            .map(|link| self.beat_over(context, link))
            .collect()
    }

    pub(crate) fn beat_over(&mut self, context: &mut Context, link: Link) -> Action {
        self.refresh(context);
        let [catalogue, members, leaving] = self.roots;
        let held = |peer: &Peer| context.audit.held(&peer.vm, peer.incarnation);
        let beat = Heartbeat {
            catalogue: catalogue.hash,
            members: members.hash,
            leaving: leaving.hash,
            view_age_ms: context.reader.age(context.now).map(Span::as_millis),
            audit: self.peers.get(&link).map_or(0, held),
        };
        Action::Send(vec![link], Message::Heartbeat(beat))
    }

    /// Sends own audit records to the peers that keep copies: two of the same data centre, or any
    /// if there is none.
    pub(crate) fn copy_audit(&mut self, context: &mut Context) -> Vec<Action> {
        if !self.copies_audit {
            return Vec::new();
        }
        let own = self.fleet.own().record().data_center.clone();
        let mut keepers: Vec<(bool, u64, Link)> = self
            .peers
            .iter()
            .map(|(link, peer)| {
                let rank = member::rank(&peer.vm, peer.incarnation);
                (peer.data_center != own, rank, *link)
            })
            .collect();
        keepers.sort_unstable();
        let near = keepers.iter().any(|(far, ..)| !far);
        keepers.retain(|(far, ..)| !(near && *far));
        let mut actions = Vec::new();
        for (_, _, link) in keepers.into_iter().take(AUDIT_COPIES) {
            let Some(peer) = self.peers.get_mut(&link) else {
                continue;
            };
            let Some(sent) = peer.sent().filter(|sent| *sent < context.audit.last()) else {
                continue;
            };
            let records = context.audit.records_after(sent, AUDIT_BATCH);
            if let Some(last) = records.last() {
                peer.send(context.now, last.seq);
                let oldest = context.audit.oldest();
                actions.extend(reply(link, [Message::Audit(Audit { oldest, records })]));
            }
        }
        actions
    }
}
