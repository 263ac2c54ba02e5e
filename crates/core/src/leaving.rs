//! Evidence of whether a target is leaving, from every source that may say so.
//!
//! Positive evidence is dated by the time at which its request was sent: an answer proves nothing
//! about the target after the request reached it. A process that was frozen reads old answers from
//! its socket buffers; dated this way they are too old, so every target must be confirmed before
//! new work. Evidence of leaving is dated by its arrival less the age that its sender stated, so a
//! delay on the way makes it hold longer.

use crate::settings;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Whether a target may get new work.
    pub enum Standing {
        /// It may.
        Fit,
        /// A probe sent from now on has to succeed first.
        Confirm,
        /// It may not.
        Leaving,
    }

    /// Who says that a target is leaving.
    pub enum Source {
        /// The target itself, in an answer or a probe.
        Drain,
        /// The target refused a connection; a probe that succeeds later cancels this.
        Refused,
        /// The platform's VM list.
        List,
        /// The catalogue does not name the target any more.
        Removal,
    }

    /// Result of a probe.
    pub enum Probe {
        /// The target answered without a sign of draining.
        Fit,
        /// The target answered that it is draining.
        Draining,
        /// The target refused the connection.
        Refused,
        /// The probe failed in another way or timed out.
        Silent,
    }

    /// State of a target's VM in the VM list.
    pub enum Listed {
        /// The list has the VM as live.
        Live,
        /// The list has the VM as leaving.
        Leaving,
    }

    /// What one VM tells its peers of a target.
    pub struct News {
        /// Who said it first.
        pub source: Source,
        /// Time since it was said.
        pub age: Span,
    }

    /// Bounds on the age of evidence.
    pub struct Bounds {
        /// Age from which positive evidence has to be renewed by a probe.
        pub confirm_after: Span,
        /// Time that evidence of leaving holds.
        pub hold: Span,
    }

    /// Evidence of leaving from one source.
    struct Mark {
        /// Time until which it holds.
        until: Instant,
        /// Value of `until` when peers were last told.
        told: Instant,
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

/// Peers are told again only when evidence has become newer by this much. Ages do not include the
/// time on the way, so each hop makes news look younger; without a threshold two peers would renew
/// each other's evidence forever.
const RENEW_AFTER: Span = Span::from_millis(5_000);

const SOURCES: [Source; 4] = [
    Source::Drain,
    Source::Refused,
    Source::List,
    Source::Removal,
];

/// What this VM knows of one target.
#[derive(Clone, Debug)]
pub struct Evidence {
    bounds: Bounds,
    /// What speaks against the target, by source; kept after its time until a probe ends it.
    marks: [Option<Mark>; SOURCES.len()],
    /// When the newest request or probe was sent that got an answer without a sign of draining.
    positive: Option<Instant>,
    /// When the newest probe was sent that succeeded.
    probed: Option<Instant>,
    /// When the probe was sent that last made the target fit again after it was leaving.
    returned: Option<Instant>,
}

impl Evidence {
    /// No evidence: the target has to be confirmed.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            marks: [None; SOURCES.len()],
            positive: None,
            probed: None,
            returned: None,
        }
    }

    /// Whether the target may get new work at `now`.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        let fresh = |sent| now.since(sent) < self.bounds.confirm_after;
        let marked = self.marks.iter().flatten();
        match marked.map(|mark| mark.until).max() {
            Some(until) if now < until => Standing::Leaving,
            None if self.positive.is_some_and(fresh) => Standing::Fit,
            Some(_) | None => Standing::Confirm,
        }
    }

    /// Whether a probe can change the standing: the target has to be confirmed, or only a refused
    /// connection speaks against it.
    #[must_use]
    pub fn wants_probe(&self, now: Instant) -> bool {
        match self.standing(now) {
            Standing::Fit => false,
            Standing::Confirm => true,
            Standing::Leaving => SOURCES
                .iter()
                .all(|source| *source == Source::Refused || !self.holds(now, *source)),
        }
    }

    /// An answer to a request sent at `sent` arrived. Returns whether peers have to be told.
    #[must_use]
    pub fn answered(&mut self, now: Instant, sent: Instant, draining: bool) -> bool {
        if draining {
            return self.mark(now, Source::Drain, Span::ZERO);
        }
        self.positive = self.positive.max(Some(sent));
        false
    }

    /// A probe sent at `sent` ended. Returns whether peers have to be told.
    #[must_use]
    pub fn probed(&mut self, now: Instant, sent: Instant, probe: Probe) -> bool {
        match probe {
            Probe::Fit => {
                self.confirm(sent);
                false
            }
            Probe::Draining => self.mark(now, Source::Drain, Span::ZERO),
            Probe::Refused => self.refused(now),
            Probe::Silent => {
                self.positive = None;
                false
            }
        }
    }

    /// The target refused a connection. Returns whether peers have to be told.
    #[must_use]
    pub fn refused(&mut self, now: Instant) -> bool {
        self.mark(now, Source::Refused, Span::ZERO)
    }

    /// The VM list, `age` old, has the target's VM as `listed`. Returns whether peers have to be
    /// told. A list that says "live" may lag and therefore changes nothing.
    #[must_use]
    pub fn listed(&mut self, now: Instant, listed: Listed, age: Span) -> bool {
        match listed {
            Listed::Live => false,
            Listed::Leaving => self.hear(now, Source::List, age),
        }
    }

    /// A peer sent `news`. Returns whether other peers have to be told.
    #[must_use]
    pub fn heard(&mut self, now: Instant, news: News) -> bool {
        self.hear(now, news.source, news.age)
    }

    /// The catalogue does not name the target any more. Peers learn this from the catalogue, whose
    /// versions order a removal and a return; ages could not.
    pub fn removed(&mut self, now: Instant) {
        self.mark(now, Source::Removal, Span::ZERO);
    }

    /// The catalogue names the target again; a probe has to confirm it.
    pub fn restored(&mut self) {
        self.marks[Source::Removal as usize] = None;
        self.positive = None;
    }

    /// What to tell a peer that has just connected.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = News> {
        let news = move |source: &Source| {
            let mark = self.marks[*source as usize]?;
            let left = mark.until.since(now);
            (*source != Source::Removal && left > RENEW_AFTER).then(|| News {
                source: *source,
                age: self.bounds.hold.saturating_sub(left),
            })
        };
        SOURCES.iter().filter_map(news)
    }

    fn holds(&self, now: Instant, source: Source) -> bool {
        self.marks[source as usize].is_some_and(|mark| now < mark.until)
    }

    /// A probe sent at `sent` succeeded.
    fn confirm(&mut self, sent: Instant) {
        self.positive = self.positive.max(Some(sent));
        self.probed = self.probed.max(Some(sent));
        let refused = &mut self.marks[Source::Refused as usize];
        if refused.is_some_and(|mark| mark.until <= sent + self.bounds.hold) {
            *refused = None;
        }
        let mut marked = self.marks.iter().flatten().peekable();
        if marked.peek().is_some() && marked.all(|mark| mark.until <= sent) {
            self.marks = [None; SOURCES.len()];
            self.returned = Some(sent);
        }
    }

    /// Takes over evidence that is `age` old, unless this VM has heard from the target since.
    fn hear(&mut self, now: Instant, source: Source, age: Span) -> bool {
        let until = now + self.bounds.hold.saturating_sub(age);
        let since = match source {
            Source::Refused => self.probed,
            Source::Drain | Source::List | Source::Removal => self.returned,
        };
        let outdated = since.is_some_and(|sent| until <= sent + self.bounds.hold);
        if outdated || age >= self.bounds.hold {
            return false;
        }
        self.mark(now, source, age)
    }

    /// Records that `source` said "leaving" `age` ago. Returns whether peers have to be told.
    fn mark(&mut self, now: Instant, source: Source, age: Span) -> bool {
        let left = self.bounds.hold.saturating_sub(age);
        let until = now + left;
        let slot = &mut self.marks[source as usize];
        let Some(mark) = slot else {
            *slot = Some(Mark { until, told: until });
            return left > RENEW_AFTER;
        };
        mark.until = mark.until.max(until);
        let newer = until >= mark.told + RENEW_AFTER && left > RENEW_AFTER;
        if newer {
            mark.told = until;
        }
        newer
    }
}
