//! How the catalogue spreads.

use crate::audit::Change;
use crate::catalogue;
use crate::catalogue::Verdict;
use crate::gossip::Action;
use crate::gossip::Context;
use crate::gossip::Gossip;
use crate::gossip::Link;
use crate::message::Content;
use crate::message::Entries;
use crate::message::Message;
use crate::peer::Peer;
use crate::time::Instant;
use crate::time::Span;

// Buckets or keys up to which a repair is not held back.
const SMALL_FETCH: usize = 8;
const FETCH_TURN: Span = Span::from_millis(2_000);
/// Time from its start for which a VM without a catalogue leaves it to the VMs of its data centre to
/// tell it, as bytes from elsewhere are dear. The first readers need about as long.
const NEAR_FIRST: Span = Span::from_millis(3_000);

impl Gossip {
    /// Takes content of the configuration service.
    pub fn publish(&mut self, context: &mut Context, contents: Vec<Content>) -> Vec<Action> {
        self.offer(context, None, contents)
    }

    /// Takes a read of the whole catalogue at `revision` whose keys were published before: keys that
    /// it lacks are deleted. See [`Catalogue::apply_snapshot`].
    pub fn snapshot(
        &mut self,
        context: &mut Context,
        revision: u64,
        present: &[(&str, u64)],
    ) -> Vec<Action> {
        let deletions = match context.catalogue.apply_snapshot(revision, present) {
            Ok(deletions) => deletions,
            Err(restored) => {
                let cause = "the service serves an older content than it had";
                context.note("behind", &restored.key, "configuration service", cause);
                return Vec::new();
            }
        };
        let mut actions = Vec::new();
        let mut contents = Vec::new();
        for deletion in deletions {
            let source = "configuration service";
            let change = Change::new("catalogue", &deletion.key, source, "deleted");
            let change = change.at(deletion.version);
            context.audit.record(context.wall_ms, change);
            actions.push(Action::Offered(deletion.key.clone(), Verdict::Accepted));
            contents.push(Content {
                key: deletion.key,
                version: deletion.version,
                text: None,
            });
        }
        if !contents.is_empty() {
            actions.extend(self.push(None, Message::Entries(Entries { contents })));
        }
        actions
    }

    pub(crate) fn offer(
        &mut self,
        context: &mut Context,
        from: Option<Link>,
        contents: Vec<Content>,
    ) -> Vec<Action> {
        let source = self.source(from, "configuration service");
        let was_empty = context.catalogue.is_empty();
        let mut behind = None;
        let delivered = match from {
            Some(_) => catalogue::Source::Peer(source.clone()),
            None => catalogue::Source::Service,
        };
        let mut actions = Vec::new();
        let mut fresh = Vec::new();
        for content in contents {
            let text = content.text.as_deref();
            let (key, version) = (&content.key, content.version);
            let verdict = context
                .catalogue
                .offer(key, version, text, delivered.clone());
            let (kind, cause) = match &verdict {
                Verdict::Known => continue,
                Verdict::Behind => {
                    behind.get_or_insert(content);
                    continue;
                }
                Verdict::Accepted if text.is_none() => ("catalogue", "deleted"),
                Verdict::Accepted => ("catalogue", "accepted"),
                Verdict::Conflict { kept: true } => ("conflict", "kept"),
                Verdict::Conflict { kept: false } => ("conflict", "not kept"),
                Verdict::Rejected(_) => ("rejected", "entry is not valid"),
                Verdict::Refused(reason) => ("refused", &**reason),
            };
            let change = Change::new(kind, &content.key, &source, cause).at(content.version);
            context.audit.record(context.wall_ms, change);
            let spreads = verdict.is_change();
            actions.push(Action::Offered(content.key.clone(), verdict));
            if spreads {
                fresh.push(content);
            }
        }
        // One record stands for a whole read of a service that lags or was restored.
        if let Some(content) = behind.filter(|_| from.is_none()) {
            let cause = "older than what is in effect";
            let change = Change::new("behind", &content.key, &source, cause).at(content.version);
            context.audit.record(context.wall_ms, change);
        }
        if fresh.len() > SMALL_FETCH && was_empty {
            // All VMs that start together would send each other the whole catalogue.
            actions.extend(self.beat_over_all(context));
        } else if !fresh.is_empty() {
            let message = Message::Entries(Entries { contents: fresh });
            actions.extend(self.push(from, message));
        }
        actions
    }

    /// Whether this VM, which has no catalogue yet, is to get it from another peer than that of `link`.
    pub(crate) fn is_awaiting_near(&self, context: &Context, link: Link) -> bool {
        let own = self.fleet.own();
        let is_near = |data_center: &str| *data_center == *own.record().data_center;
        let starting = own.uptime(context.now) < NEAR_FIRST;
        let far = |peer: &Peer| !is_near(&peer.data_center);
        let mut others = self.fleet.live();
        starting
            && context.catalogue.is_empty()
            && self.peers.get(&link).is_some_and(far)
            && others.any(|member| {
                let record = member.record();
                record.vm != own.record().vm && is_near(&record.data_center)
            })
    }

    // Whether a message that makes the peer send contents may go out now: a large part of the
    // catalogue is fetched over one link at a time, so that a starting VM gets it once.
    pub(crate) fn may_fetch(&mut self, now: Instant, link: Link, message: &Message) -> bool {
        let size = if let Message::Versions(versions) = message {
            versions.buckets.len()
        } else if let Message::Want(want) = message {
            want.keys.len()
        } else {
            0
        };
        if size <= SMALL_FETCH {
            return true;
        }
        let free = self
            .fetch
            .is_none_or(|(other, since)| other == link || now.since(since) >= FETCH_TURN);
        if free {
            self.fetch = Some((link, now));
        }
        free
    }
}
