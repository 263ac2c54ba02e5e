//! Age of this VM's view of the catalogue: the time since the configuration service last confirmed
//! that the view was complete.

use crate::settings;
use crate::time::Instant;
use crate::time::Span;

/// Age of the view, as given by the most recent confirmation.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    confirmed: Option<Confirmation>,
}

#[derive(Clone, Copy, Debug)]
struct Confirmation {
    received: Instant,
    age: Span,
}

impl View {
    /// Records a confirmation that is `age` old at `now`; the age is zero if it comes from the
    /// service itself.
    ///
    /// Returns whether the age of the view decreased, in which case peers should be notified.
    pub fn confirm(&mut self, now: Instant, age: Span) -> bool {
        let is_newer = self.age(now).is_none_or(|known| age < known);
        if is_newer {
            self.confirmed = Some(Confirmation { received: now, age });
        }
        is_newer
    }

    /// Age of the view; none if it was never confirmed.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Span> {
        let confirmed = self.confirmed?;
        Some(confirmed.age + now.since(confirmed.received))
    }

    /// Whether the view is older than `bounds.stale_after` and must be reported as stale. A view
    /// that was never confirmed is stale.
    #[must_use]
    pub fn is_stale(&self, now: Instant, bounds: &settings::View) -> bool {
        self.age(now).is_none_or(|age| age > bounds.stale_after)
    }

    /// Whether this VM must read the configuration service itself.
    ///
    /// `jitter` is added to the bound, so that VMs do not reach it at the same moment.
    #[must_use]
    pub fn needs_takeover(&self, now: Instant, bounds: &settings::View, jitter: Span) -> bool {
        let bound = bounds.takeover_after + jitter;
        self.age(now).is_none_or(|age| age > bound)
    }
}
