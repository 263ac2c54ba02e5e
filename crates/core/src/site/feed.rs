//! Reading session over one range of keys of the platform's store: lists the range page by page,
//! then waits for changes.

use crate::gateway::Change;
use crate::gateway::Update;

data! {
    /// The next call of a session to the store.
    pub enum Call {
        /// Read the keys after `after`, or from the first one if none is given.
        Page {
            /// Last key of the page before.
            after: Option<Box<str>>,
            /// Whether the page may be some seconds old, which is cheaper.
            stale: bool,
        },
        /// Wait until something changes after the revision `after`, and read the changes.
        Wait {
            /// Revision up to which the changes are known.
            after: u64,
        },
    }

    /// A page of keys.
    pub struct Page {
        /// Keys with their values, in order.
        pub items: Vec<Change>,
        /// Whether keys follow after the last one.
        pub more: bool,
        /// Revision of the store at the read.
        pub revision: u64,
    }

    /// Result of a wait.
    pub enum Changes {
        /// The changes in order, and the revision that they reach.
        Known(Vec<Change>, u64),
        /// The store no longer has the history since the revision that was asked for.
        Gone,
    }
}

data! {
    /// How an answer relates to the times at which the store was restored from a copy, which begin a
    /// new era each.
    #[derive(Copy)]
    pub enum Standing {
        /// It is of the era that the session reads.
        Current,
        /// It is the first one of a new era. What the session has read may be lost in the store, and
        /// its revisions are given out again: the range is listed anew.
        Restored,
        /// It is of an era that is over, and must not be used.
        Outdated,
    }
}

/// Whether the store answers, by the calls so far.
#[derive(Debug, Default)]
pub struct Contact {
    failures: u32,
}

impl Contact {
    /// Calls that failed since the last answer.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether a call failed since the last answer. The next one then has to be answered at once,
    /// since what it returns tells the changes made meanwhile from later ones.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.failures > 0
    }

    /// Records a failed call.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records an answer. Returns whether the store was away before it: a single failed call may have
    /// been cut or its answer lost, and the answer to the next call shows that the store was there.
    pub fn record_answer(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 1
    }
}

/// Reading session over one range of keys.
#[derive(Debug, Default)]
pub struct Session {
    /// Keys of the pages read so far, while the range is being listed.
    listed: Vec<Change>,
    /// The lowest revision of the pages read so far. Together they are no snapshot: a page lacks
    /// the changes made after it was read, so the waits begin at the lowest revision.
    lowest_revision: Option<u64>,
    /// Revision after which the next wait begins, once the range was listed.
    wait_after: Option<u64>,
    /// Whether the pages have to be current, as the store no longer has the history since old ones.
    current_only: bool,
    /// Whether the state read so far was complete at some moment since the start. Pages that may be
    /// old lack the newest changes, which the first wait returns.
    caught_up: bool,
    /// Era of the answers so far.
    era: u64,
}

impl Session {
    /// A session that begins with a listing. `era` is the highest era known.
    #[must_use]
    pub fn new(era: u64) -> Self {
        Self {
            era,
            ..Self::default()
        }
    }

    /// Era of the answers so far; 0 if the store states none.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Compares the era that an answer states with that of the answers before it and with `newest`,
    /// the highest one that this VM knows. Call it before the answer is applied, and apply the answer
    /// only if it is [`Standing::Current`]. An answer that states no era is of the one before.
    pub fn check_era(&mut self, newest: u64, stated: Option<u64>) -> Standing {
        let Some(stated) = stated else {
            return Standing::Current;
        };
        if stated < self.era.max(newest) {
            self.restart();
            return Standing::Outdated;
        }
        let is_first = self.wait_after.is_none() && self.lowest_revision.is_none();
        let is_new = stated != self.era;
        self.era = stated;
        if is_new && !is_first {
            self.restart();
            return Standing::Restored;
        }
        Standing::Current
    }

    /// The next call to the store.
    #[must_use]
    pub fn next_call(&self) -> Call {
        match self.wait_after {
            Some(after) => Call::Wait { after },
            None => Call::Page {
                after: self.listed.last().map(|last| last.key.clone()),
                stale: !self.current_only,
            },
        }
    }

    /// Whether the range was listed, so that the next call is a wait.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.wait_after.is_some()
    }

    /// Whether the state read so far was complete at some moment since the start. Until then a wait
    /// should be answered at once, since nobody may use the state before.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Starts over with the first page. A wait that begins at an old page would miss changes again,
    /// so the pages have to be current.
    fn restart(&mut self) {
        *self = Self {
            current_only: true,
            ..Self::new(self.era)
        };
    }

    /// Applies a page. Returns all keys with the last page, none before.
    pub fn apply_page(&mut self, page: Page) -> Option<Update> {
        let lowest = self
            .lowest_revision
            .map_or(page.revision, |lowest| lowest.min(page.revision));
        self.lowest_revision = Some(lowest);
        // An empty page that says that more follows would be asked for without end.
        let more = page.more && !page.items.is_empty();
        self.listed.extend(page.items);
        if more {
            return None;
        }
        self.wait_after = Some(lowest);
        self.lowest_revision = None;
        self.caught_up = self.current_only;
        Some(Update {
            changes: std::mem::take(&mut self.listed),
            snapshot_revision: Some(lowest),
            era: Some(self.era),
            confirmed: std::mem::take(&mut self.current_only),
            ended: false,
        })
    }

    /// Applies the result of a wait. Returns the changes; none if the range has to be listed again.
    pub fn apply_changes(&mut self, changes: Changes) -> Option<Update> {
        let Changes::Known(changes, revision) = changes else {
            self.restart();
            return None;
        };
        // A store that answers with an older revision than it did before has lost changes.
        if self.wait_after.is_some_and(|after| revision < after) {
            self.restart();
            return None;
        }
        self.wait_after = Some(revision);
        self.caught_up = true;
        Some(Update {
            changes,
            snapshot_revision: None,
            era: Some(self.era),
            confirmed: true,
            ended: false,
        })
    }
}
