//! Position in the history of one range of keys of the platform's store: pages first, then waits
//! for what changes.

use crate::gateway::Change;
use crate::gateway::Update;

data! {
    /// What the session asks next.
    pub enum Call {
        /// The keys after `after`, all of them if none is given.
        Page {
            /// Last key of the page before.
            after: Option<Box<str>>,
            /// Whether the page may be some seconds old, which is cheaper.
            stale: bool,
        },
        /// What changed after the revision `after`, as soon as something did.
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

    /// What a wait gave.
    pub enum Changes {
        /// The changes in order, and the revision that they reach.
        Known(Vec<Change>, u64),
        /// The store no longer has the history since the revision that was asked for.
        Gone,
    }
}

/// Reads one range of keys.
#[derive(Debug, Default)]
pub struct Session {
    /// Pages read so far, while the range is being listed.
    listed: Vec<Change>,
    /// The lowest revision of the pages read so far. Pages are no snapshot: changes after the first
    /// page may be missing from it, so the waits begin there.
    first: Option<u64>,
    /// Where the next wait begins, once the range was listed.
    next: Option<u64>,
    /// Whether old pages are of no use, as the store dropped the history since them.
    exact: bool,
}

impl Session {
    /// What to ask next.
    #[must_use]
    pub fn call(&self) -> Call {
        match self.next {
            Some(after) => Call::Wait { after },
            None => Call::Page {
                after: self.listed.last().map(|last| last.key.clone()),
                stale: !self.exact,
            },
        }
    }

    /// Whether the range was listed and changes are being waited for.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.next.is_some()
    }

    /// Starts over with the first page. A wait that begins at an old page would miss changes again,
    /// so the pages have to be current.
    fn restart(&mut self) {
        *self = Self {
            exact: true,
            ..Self::default()
        };
    }

    /// Takes a page; news come with the last one.
    pub fn page(&mut self, page: Page) -> Option<Update> {
        let first = self
            .first
            .map_or(page.revision, |first| first.min(page.revision));
        self.first = Some(first);
        // A page that says that more follows but holds nothing would be asked for without end.
        let more = page.more && !page.items.is_empty();
        self.listed.extend(page.items);
        if more {
            return None;
        }
        self.next = Some(first);
        self.first = None;
        Some(Update {
            changes: std::mem::take(&mut self.listed),
            snapshot_revision: Some(first),
            confirmed: std::mem::take(&mut self.exact),
            ended: false,
        })
    }

    /// Takes the result of a wait; none if the range has to be listed anew.
    pub fn changes(&mut self, changes: Changes) -> Option<Update> {
        let Changes::Known(changes, revision) = changes else {
            self.restart();
            return None;
        };
        // A store that answers with an older revision than it did before has lost changes.
        if self.next.is_some_and(|next| revision < next) {
            self.restart();
            return None;
        }
        self.next = Some(revision);
        Some(Update {
            changes,
            snapshot_revision: None,
            confirmed: true,
            ended: false,
        })
    }
}
