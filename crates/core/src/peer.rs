//! What a VM knows of the peer at the other end of a link.

use std::net::SocketAddr;

use crate::time::Instant;
use crate::time::Span;

/// Silence after which a neighbour is suspected.
pub(crate) const SILENCE_LIMIT: Span = Span::from_millis(3_000);

// A push and a beat that cross on a link make two equal VMs look different for one round trip.
const CALM: Span = Span::from_millis(100);
const MAX_STRIKES: u8 = 3;
const RESEND_AFTER: Span = Span::from_millis(1_500);

/// State that two VMs compare by hash.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Part {
    Catalogue,
    Members,
    Leaving,
}

/// Own hash of a part and when it last changed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Root {
    pub(crate) hash: u64,
    changed: Instant,
}

/// One link.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) vm: Box<str>,
    pub(crate) incarnation: u64,
    pub(crate) data_center: Box<str>,
    /// The address that was dialled, if this VM dialled.
    pub(crate) dialled: Option<SocketAddr>,
    /// When the link was last wanted.
    pub(crate) wanted: Instant,
    /// Whether the peer is or was a neighbour.
    pub(crate) settled: bool,
    pub(crate) heard: Instant,
    strikes: [u8; 3],
    /// Own audit records that the peer holds, once it has told.
    acknowledged: Option<u64>,
    sent: u64,
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
    pub(crate) fn new(
        now: Instant,
        vm: Box<str>,
        incarnation: u64,
        data_center: Box<str>,
        dialled: Option<SocketAddr>,
    ) -> Self {
        Self {
            vm,
            incarnation,
            data_center,
            dialled,
            wanted: now,
            settled: false,
            heard: now,
            strikes: [0; 3],
            acknowledged: None,
            sent: 0,
            sent_at: now,
        }
    }

    /// Whether a repair of `part` is due, given the hash that the peer stated. `lead` tells the end
    /// that starts at the first difference from the end that leaves it a beat to do so; else both
    /// would start.
    pub(crate) fn differs(
        &mut self,
        now: Instant,
        part: Part,
        own: Root,
        theirs: u64,
        lead: bool,
    ) -> bool {
        let strikes = &mut self.strikes[part as usize];
        if theirs == 0 || theirs == own.hash {
            *strikes = 0;
            return false;
        }
        *strikes += 1;
        let calm = now.since(own.changed) >= CALM;
        let due = (calm && (lead || *strikes > 1)) || *strikes >= MAX_STRIKES;
        if due {
            *strikes = 0;
        }
        due
    }

    /// The peer holds own audit records up to `held`. What was sent a while ago and did not arrive
    /// is sent again.
    pub(crate) fn acknowledge(&mut self, now: Instant, held: u64) {
        let lost = held < self.sent && now.since(self.sent_at) >= RESEND_AFTER;
        if self.acknowledged.is_none() || lost || held > self.sent {
            self.sent = held;
        }
        self.acknowledged = Some(held);
    }

    /// Own audit records up to this sequence number need not be sent; none before the peer has told
    /// what it holds.
    pub(crate) fn sent(&self) -> Option<u64> {
        self.acknowledged.map(|_| self.sent)
    }

    pub(crate) fn send(&mut self, now: Instant, last: u64) {
        self.sent = last;
        self.sent_at = now;
    }
}
