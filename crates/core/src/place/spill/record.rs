//! What left the data centre and why, and when leaving begins and ends.

use crate::map::Map;
use crate::time::Instant;
use crate::time::Span;

/// Time without a call that had to leave after which leaving has ended. It bounds the log to two
/// lines in this time for each service and data centre.
const QUIET: Span = Span::from_millis(10_000);

key! {
    /// Why a call left its data centre.
    pub enum Reason {
        /// No local target had room.
        Full,
        /// A local target had room but would have answered late.
        Slow,
        /// No local target took new work.
        NoneOpen,
        /// A local target would have answered in time, at a higher loss.
        Cheaper,
    }

    /// How far a call went.
    pub enum Scope {
        /// To another data centre of the region.
        DataCenter,
        /// To another region.
        Region,
    }
}

data! {
    /// Calls and their bytes.
    #[derive(Copy, Default)]
    pub struct Total {
        /// Calls sent.
        pub calls: u64,
        /// Bytes of their exchanges that ended.
        pub bytes: u64,
    }

    /// Leaving for a data centre began or ended.
    pub struct Change {
        /// The data centre that gets calls.
        pub data_center: Box<str>,
        /// Why, if it began; none if it ended.
        pub began: Option<Reason>,
        /// Calls sent since it began.
        pub calls: u64,
    }
}

/// All reasons in the order of their declaration.
pub const REASONS: [Reason; 4] = [
    Reason::Full,
    Reason::Slow,
    Reason::NoneOpen,
    Reason::Cheaper,
];

#[derive(Clone, Copy, Debug)]
struct Episode {
    last: Instant,
    calls: u64,
}

/// Counts of the calls that left.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    totals: [[Total; REASONS.len()]; 2],
    episodes: Map<Box<str>, Episode>,
    changes: Vec<Change>,
}

impl Tally {
    /// Calls and bytes that went to `scope` because of `reason`.
    #[must_use]
    pub fn total(&self, scope: Scope, reason: Reason) -> Total {
        self.totals[scope as usize][reason as usize]
    }

    /// Counts a call sent to `data_center`. Calls that are merely cheaper there begin no episode.
    pub(crate) fn add_call(
        &mut self,
        now: Instant,
        data_center: &str,
        scope: Scope,
        reason: Reason,
    ) {
        self.totals[scope as usize][reason as usize].calls += 1;
        if reason == Reason::Cheaper {
            return;
        }
        self.end_quiet(now);
        if let Some(episode) = self.episodes.get_mut(data_center) {
            episode.last = now;
            episode.calls += 1;
            return;
        }
        let episode = Episode {
            last: now,
            calls: 1,
        };
        self.episodes.insert(data_center.into(), episode);
        self.changes.push(Change {
            data_center: data_center.into(),
            began: Some(reason),
            calls: 1,
        });
    }

    /// Counts the bytes of an exchange that ended.
    pub(crate) fn add_bytes(&mut self, scope: Scope, reason: Reason, bytes: u64) {
        self.totals[scope as usize][reason as usize].bytes += bytes;
    }

    /// Ends the episodes without a call for `QUIET`.
    fn end_quiet(&mut self, now: Instant) {
        let changes = &mut self.changes;
        self.episodes.retain(|data_center, episode| {
            let quiet = now.since(episode.last) >= QUIET;
            if quiet {
                changes.push(Change {
                    data_center: data_center.clone(),
                    began: None,
                    calls: episode.calls,
                });
            }
            !quiet
        });
    }

    /// Removes and returns what began and ended since the last time.
    pub(crate) fn take_changes(&mut self, now: Instant) -> Vec<Change> {
        self.end_quiet(now);
        std::mem::take(&mut self.changes)
    }
}
