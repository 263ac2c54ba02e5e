//! Propagation of catalogue changes: takes them from the configuration service and from peers,
//! pushes what is new, and limits large fetches.

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

// Most keys or buckets of a fetch that is sent at once, and most changes that a VM pushes on if its
// catalogue was empty.
const SMALL_FETCH: usize = 8;
// Time for which a large fetch over one link holds back those over other links.
const FETCH_LEASE: Span = Span::from_millis(2_000);
/// Time after its start for which a VM without a catalogue fetches it only from VMs of its own data
/// centre, because traffic between data centres is costly. The first readers need about as long.
const LOCAL_ONLY_WINDOW: Span = Span::from_millis(3_000);

impl Gossip {
    /// Takes content that this VM read from the configuration service.
    pub fn publish(&mut self, context: &mut Context, contents: Vec<Content>) -> Vec<Action> {
        self.offer(context, None, contents)
    }

    /// Completes a read of the whole catalogue at `revision`, whose contents were published before:
    /// keys that are not `present` are deleted. See [`catalogue::Catalogue::apply_snapshot`], and
    /// [`catalogue::Catalogue::apply_listing`] for a platform's store, which has an `era`.
    pub fn publish_snapshot(
        &mut self,
        context: &mut Context,
        era: Option<u64>,
        revision: u64,
        present: &[(&str, u64)],
    ) -> Vec<Action> {
        let deletions = match era {
            Some(era) => context.catalogue.apply_listing(era, revision, present),
            None => context.catalogue.apply_snapshot(revision, present),
        };
        let deletions = match deletions {
            Ok(deletions) => deletions,
            Err(restored) => {
                let cause = "the service serves an older content than it had";
                context.record_change("behind", &restored.key, "configuration service", cause);
                return Vec::new();
            }
        };
        let mut actions = Vec::new();
        let mut contents = Vec::new();
        for deletion in deletions {
            let source = "configuration service";
            let change = Change::new("catalogue", &deletion.key, source, "deleted");
            let change = change.with_version(deletion.version);
            context.audit.record(context.wall_ms, change);
            actions.push(Action::Verdict(deletion.key.clone(), Verdict::Accepted));
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

    /// Offers contents to the catalogue, records the verdicts in the audit trail and pushes what is
    /// new to the other peers.
    pub(crate) fn offer(
        &mut self,
        context: &mut Context,
        from: Option<Link>,
        contents: Vec<Content>,
    ) -> Vec<Action> {
        let source = self.source(from, "configuration service");
        let was_empty = context.catalogue.is_empty();
        let mut outdated = None;
        let delivered_by = match from {
            Some(_) => catalogue::Source::Peer(source.clone()),
            None => catalogue::Source::Service,
        };
        let mut actions = Vec::new();
        let mut updates = Vec::new();
        let mut waiting = Vec::new();
        for content in contents {
            let text = content.text.as_deref();
            let (key, version) = (&content.key, content.version);
            let verdict = context
                .catalogue
                .offer(key, version, text, delivered_by.clone());
            let (kind, cause) = match &verdict {
                Verdict::Known => continue,
                Verdict::Behind => {
                    outdated.get_or_insert(content);
                    continue;
                }
                Verdict::Accepted if text.is_none() => ("catalogue", "deleted"),
                Verdict::Accepted => ("catalogue", "accepted"),
                Verdict::Conflict { kept: true } => ("conflict", "kept"),
                Verdict::Conflict { kept: false } => ("conflict", "not kept"),
                Verdict::Rejected(_) => ("rejected", "entry is not valid"),
                Verdict::Refused(reason) => ("refused", &**reason),
            };
            let change =
                Change::new(kind, &content.key, &source, cause).with_version(content.version);
            context.audit.record(context.wall_ms, change);
            let must_push = verdict.is_change();
            if must_push {
                let mark = catalogue::mark(version, text);
                waiting.extend(self.transfers.finish(key, mark));
            }
            actions.push(Action::Verdict(content.key.clone(), verdict));
            if must_push {
                updates.push(content);
            }
        }
        // One audit record covers a whole read of a service that lags or was restored.
        if let Some(content) = outdated.filter(|_| from.is_none()) {
            let cause = "older than what is in effect";
            let change =
                Change::new("behind", &content.key, &source, cause).with_version(content.version);
            context.audit.record(context.wall_ms, change);
        }
        if updates.len() > SMALL_FETCH && was_empty {
            // With a push, all VMs that start together would send each other the whole catalogue.
            // Heartbeats let each peer fetch what it lacks.
            actions.extend(self.heartbeat_all(context));
        } else {
            actions.extend(self.push_contents(from, updates));
        }
        actions.extend(self.send_parts(context, waiting));
        actions
    }

    /// Whether this VM has just started, has no catalogue and should not fetch it over `link`,
    /// because the peer is in another data centre and a VM of the own one can send it.
    pub(crate) fn is_waiting_for_local_catalogue(&self, context: &Context, link: Link) -> bool {
        let own = self.fleet.own();
        let is_local = |data_center: &str| *data_center == *own.record().data_center;
        let is_starting = own.uptime(context.now) < LOCAL_ONLY_WINDOW;
        let is_remote = |peer: &Peer| !is_local(&peer.data_center);
        let mut members = self.fleet.live();
        is_starting
            && context.catalogue.is_empty()
            && self.peers.get(&link).is_some_and(is_remote)
            && members.any(|member| {
                let record = member.record();
                record.vm != own.record().vm && is_local(&record.data_center)
            })
    }

    // Returns whether a message that makes the peer send contents may be sent now, and reserves
    // large fetches for `link` if so. A large part of the catalogue is fetched over one link at a
    // time, so that a starting VM receives it only once.
    pub(crate) fn reserve_fetch(&mut self, now: Instant, link: Link, message: &Message) -> bool {
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
        let is_free = self
            .fetch
            .is_none_or(|(other, since)| other == link || now.since(since) >= FETCH_LEASE);
        if is_free {
            self.fetch = Some((link, now));
        }
        is_free
    }
}
