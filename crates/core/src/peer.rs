//! State of one link and of the peer at its other end.

use std::net::SocketAddr;

use crate::gossip::Delivery;
use crate::gossip::Remote;
use crate::time::Instant;
use crate::time::Span;

/// Time without a message after which a link is closed and its peer is suspected.
pub(crate) const SILENCE_LIMIT: Span = Span::from_millis(3_000);

// A push and a heartbeat that cross on a link make two equal VMs look different for one round trip,
// so a repair waits until the own state has not changed for this time.
const STABLE_AFTER: Span = Span::from_millis(100);
// Differences in a row after which a repair is due even if the own state keeps changing.
const MAX_MISMATCHES: u8 = 3;
// Time after which audit records that the peer has not acknowledged are sent again.
const RESEND_AFTER: Span = Span::from_millis(1_500);

/// Replicated state that two VMs compare by a root hash.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Dataset {
    Catalogue,
    Members,
    Leaving,
}

/// Own root hash of a dataset and when it last changed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Root {
    pub(crate) hash: u64,
    changed: Instant,
}

/// The peer of one link.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) vm: Box<str>,
    pub(crate) incarnation: u64,
    pub(crate) data_center: Box<str>,
    pub(crate) delivery: Delivery,
    /// The address that this VM dialled; none if the peer dialled.
    pub(crate) dialled: Option<SocketAddr>,
    /// When the peer was last a neighbour, or the link established.
    pub(crate) last_needed: Instant,
    /// Whether the peer is or was a neighbour.
    pub(crate) was_neighbour: bool,
    pub(crate) last_received: Instant,
    /// Heartbeats in a row whose root hash differed, by dataset.
    mismatches: [u8; 3],
    /// Sequence number up to which the peer holds own audit records, once it has stated it.
    acknowledged: Option<u64>,
    /// Sequence number up to which own audit records were sent or are acknowledged.
    last_sent: u64,
    sent_at: Instant,
}

impl Root {
    pub(crate) fn update(&mut self, now: Instant, hash: u64) {
        if hash != self.hash {
            *self = Self { hash, changed: now };
        }
    }
}

impl Peer {
    pub(crate) fn new(now: Instant, remote: Remote) -> Self {
        Self {
            vm: remote.vm,
            incarnation: remote.incarnation,
            data_center: remote.data_center,
            delivery: remote.delivery,
            dialled: remote.dialled,
            last_needed: now,
            was_neighbour: false,
            last_received: now,
            mismatches: [0; 3],
            acknowledged: None,
            last_sent: 0,
            sent_at: now,
        }
    }

    /// Compares the own root hash of `dataset` with the one that the peer stated, zero if none.
    /// Returns whether a repair is due. The initiator starts at the first difference; the other end
    /// waits for another heartbeat, as otherwise both would start.
    pub(crate) fn compare_root(
        &mut self,
        now: Instant,
        dataset: Dataset,
        own: Root,
        theirs: u64,
        is_initiator: bool,
    ) -> bool {
        let mismatches = &mut self.mismatches[dataset as usize];
        if theirs == 0 || theirs == own.hash {
            *mismatches = 0;
            return false;
        }
        *mismatches += 1;
        let is_stable = now.since(own.changed) >= STABLE_AFTER;
        let due = (is_stable && (is_initiator || *mismatches > 1)) || *mismatches >= MAX_MISMATCHES;
        if due {
            *mismatches = 0;
        }
        due
    }

    /// Records that the peer holds own audit records up to sequence number `seq`. Records that were
    /// sent a while ago and did not arrive are sent again.
    pub(crate) fn acknowledge(&mut self, now: Instant, seq: u64) {
        let is_lost = seq < self.last_sent && now.since(self.sent_at) >= RESEND_AFTER;
        if self.acknowledged.is_none() || is_lost || seq > self.last_sent {
            self.last_sent = seq;
        }
        self.acknowledged = Some(seq);
    }

    /// Sequence number up to which own audit records need not be sent; none before the peer has
    /// stated what it holds.
    pub(crate) fn last_sent(&self) -> Option<u64> {
        self.acknowledged.map(|_| self.last_sent)
    }

    /// Records that own audit records up to sequence number `seq` were sent.
    pub(crate) fn record_sent(&mut self, now: Instant, seq: u64) {
        self.last_sent = seq;
        self.sent_at = now;
    }
}
