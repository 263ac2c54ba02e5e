//! Evidence of whether a target is leaving, from every source that may say so.
//!
//! Positive evidence is dated by the time at which its request was sent, since an answer proves
//! nothing about the target after the request reached it. A process that was suspended reads old
//! answers from its socket buffers; dated this way they are too old, so every target must be
//! confirmed before it gets new work. Evidence of leaving is dated by its arrival minus the age
//! that its sender stated, so a delay on the way makes it valid for longer.

use crate::settings;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Whether a target may get new work.
    pub enum Standing {
        /// It may.
        Usable,
        /// Only after a probe sent from now on has succeeded.
        Unconfirmed,
        /// It may not.
        Leaving,
    }

    /// Source of the evidence that a target is leaving.
    pub enum Source {
        /// The target itself, in an answer or a probe.
        Drain,
        /// The target refused a connection; a later probe that succeeds removes this evidence.
        Refused,
        /// The VM list of the platform.
        List,
        /// The catalogue does not name the target any more.
        Removal,
    }

    /// Result of a probe.
    pub enum Probe {
        /// The target answered without a sign of draining.
        Ready,
        /// The target answered that it is draining.
        Draining,
        /// The target refused the connection.
        Refused,
        /// The probe failed in another way or timed out.
        Failed,
    }

    /// State of a target's VM in the VM list.
    pub enum Listed {
        /// The list has the VM as live.
        Live,
        /// The list has the VM as leaving.
        Leaving,
    }

    /// Evidence of leaving as one VM passes it on to its peers.
    pub struct News {
        /// Original source of the evidence.
        pub source: Source,
        /// Age of the evidence.
        pub age: Span,
    }

    /// Bounds on the age of evidence.
    pub struct Bounds {
        /// Age from which positive evidence has to be renewed by a probe.
        pub confirm_after: Span,
        /// Time for which evidence of leaving is valid.
        pub hold: Span,
    }

    /// Evidence of leaving from one source.
    struct Record {
        /// End of its validity.
        expires: Instant,
        /// Value of `expires` when peers were last told.
        announced: Instant,
    }
}

impl From<&settings::Evidence> for Bounds {
    fn from(settings: &settings::Evidence) -> Self {
        Self {
            confirm_after: settings.confirm_after,
            hold: settings.leaving_hold,
        }
    }
}

/// Peers are told again only of evidence that is newer by this much. Ages do not include the time
/// on the way, so each hop makes news look younger; without a threshold two peers would renew each
/// other's evidence forever.
const RENEW_AFTER: Span = Span::from_millis(5_000);

const SOURCES: [Source; 4] = [
    Source::Drain,
    Source::Refused,
    Source::List,
    Source::Removal,
];

/// Evidence that this VM has of one target.
#[derive(Clone, Debug)]
pub struct Evidence {
    bounds: Bounds,
    /// Evidence of leaving, by source; kept after its validity until a probe succeeds.
    records: [Option<Record>; SOURCES.len()],
    /// When the newest request or probe was sent that got an answer without a sign of draining.
    last_positive: Option<Instant>,
    /// When the newest probe was sent that succeeded.
    last_success: Option<Instant>,
    /// When the probe was sent whose success last removed all evidence of leaving.
    cleared: Option<Instant>,
}

impl Evidence {
    /// No evidence yet: the target has to be confirmed.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            records: [None; SOURCES.len()],
            last_positive: None,
            last_success: None,
            cleared: None,
        }
    }

    /// Whether the target may get new work at `now`.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        let is_fresh = |sent| now.since(sent) < self.bounds.confirm_after;
        let present = self.records.iter().flatten();
        match present.map(|record| record.expires).max() {
            Some(expires) if now < expires => Standing::Leaving,
            None if self.last_positive.is_some_and(is_fresh) => Standing::Usable,
            Some(_) | None => Standing::Unconfirmed,
        }
    }

    /// Whether a probe can change the standing: the target has to be confirmed, or a refused
    /// connection is the only valid evidence of leaving.
    #[must_use]
    pub fn wants_probe(&self, now: Instant) -> bool {
        match self.standing(now) {
            Standing::Usable => false,
            Standing::Unconfirmed => true,
            Standing::Leaving => SOURCES
                .iter()
                .all(|source| *source == Source::Refused || !self.is_in_effect(now, *source)),
        }
    }

    /// Records an answer to a request sent at `sent`, with a sign of draining if `draining`.
    /// Returns whether peers have to be told.
    #[must_use]
    pub fn record_answer(&mut self, now: Instant, sent: Instant, draining: bool) -> bool {
        if draining {
            return self.record_leaving(now, Source::Drain, Span::ZERO);
        }
        self.last_positive = self.last_positive.max(Some(sent));
        false
    }

    /// Records the result of a probe sent at `sent`. Returns whether peers have to be told.
    #[must_use]
    pub fn record_probe(&mut self, now: Instant, sent: Instant, probe: Probe) -> bool {
        match probe {
            Probe::Ready => {
                self.record_success(sent);
                false
            }
            Probe::Draining => self.record_leaving(now, Source::Drain, Span::ZERO),
            Probe::Refused => self.record_refusal(now),
            Probe::Failed => {
                self.last_positive = None;
                false
            }
        }
    }

    /// Records a refused connection. Returns whether peers have to be told.
    #[must_use]
    pub fn record_refusal(&mut self, now: Instant) -> bool {
        self.record_leaving(now, Source::Refused, Span::ZERO)
    }

    /// Records that the VM list, `age` old, has the VM of the target as `listed`. Returns whether
    /// peers have to be told. A list that says "live" may lag and therefore changes nothing.
    #[must_use]
    pub fn record_listing(&mut self, now: Instant, listed: Listed, age: Span) -> bool {
        match listed {
            Listed::Live => false,
            Listed::Leaving => self.record_reported(now, Source::List, age),
        }
    }

    /// Records `news` from a peer. Returns whether other peers have to be told.
    #[must_use]
    pub fn record_news(&mut self, now: Instant, news: News) -> bool {
        self.record_reported(now, news.source, news.age)
    }

    /// Records that the catalogue does not name the target any more. Peers learn this from the
    /// catalogue, since its versions order a removal and a return, which ages cannot.
    pub fn record_removal(&mut self, now: Instant) {
        self.record_leaving(now, Source::Removal, Span::ZERO);
    }

    /// Removes the evidence of [`Source::Removal`], as the catalogue names the target again. A
    /// probe has to confirm the target.
    pub fn clear_removal(&mut self) {
        self.records[Source::Removal as usize] = None;
        self.last_positive = None;
    }

    /// The evidence to pass on to a peer that has just connected.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = News> {
        let news = move |source: &Source| {
            let record = self.records[*source as usize]?;
            let left = record.expires.since(now);
            (*source != Source::Removal && left > RENEW_AFTER).then(|| News {
                source: *source,
                age: self.bounds.hold.saturating_sub(left),
            })
        };
        SOURCES.iter().filter_map(news)
    }

    fn is_in_effect(&self, now: Instant, source: Source) -> bool {
        self.records[source as usize].is_some_and(|record| now < record.expires)
    }

    /// Records that a probe sent at `sent` succeeded.
    fn record_success(&mut self, sent: Instant) {
        self.last_positive = self.last_positive.max(Some(sent));
        self.last_success = self.last_success.max(Some(sent));
        let refused = &mut self.records[Source::Refused as usize];
        if refused.is_some_and(|record| record.expires <= sent + self.bounds.hold) {
            *refused = None;
        }
        let mut present = self.records.iter().flatten().peekable();
        if present.peek().is_some() && present.all(|record| record.expires <= sent) {
            self.records = [None; SOURCES.len()];
            self.cleared = Some(sent);
        }
    }

    /// Records evidence from elsewhere that is `age` old, unless a later probe refutes it. A
    /// refused connection is refuted by any probe that succeeded, other evidence only by the one
    /// that removed all evidence.
    fn record_reported(&mut self, now: Instant, source: Source, age: Span) -> bool {
        let expires = now + self.bounds.hold.saturating_sub(age);
        let success = match source {
            Source::Refused => self.last_success,
            Source::Drain | Source::List | Source::Removal => self.cleared,
        };
        let outdated = success.is_some_and(|sent| expires <= sent + self.bounds.hold);
        if outdated || age >= self.bounds.hold {
            return false;
        }
        self.record_leaving(now, source, age)
    }

    /// Records evidence of leaving from `source` that is `age` old. Returns whether peers have to
    /// be told.
    fn record_leaving(&mut self, now: Instant, source: Source, age: Span) -> bool {
        let left = self.bounds.hold.saturating_sub(age);
        let expires = now + left;
        let slot = &mut self.records[source as usize];
        let Some(record) = slot else {
            *slot = Some(Record {
                expires,
                announced: expires,
            });
            return left > RENEW_AFTER;
        };
        record.expires = record.expires.max(expires);
        let is_newer = expires >= record.announced + RENEW_AFTER && left > RENEW_AFTER;
        if is_newer {
            record.announced = expires;
        }
        is_newer
    }
}
