//! How long ago the configuration service was known to agree with this VM's view.

use crate::settings;
use crate::time::Instant;
use crate::time::Span;

/// Age of the view, from the freshest confirmation received.
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
    /// Takes a confirmation that was `age` old at `now`; zero from the service itself.
    ///
    /// Returns whether the view became fresher, and so whether to tell peers.
    pub fn confirm(&mut self, now: Instant, age: Span) -> bool {
        let fresher = self.age(now).is_none_or(|known| age < known);
        if fresher {
            self.confirmed = Some(Confirmation { received: now, age });
        }
        fresher
    }

    /// Age of the view; none if it was never confirmed.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Span> {
        let confirmed = self.confirmed?;
        Some(confirmed.age + now.since(confirmed.received))
    }

    /// Whether the view must be reported as stale.
    #[must_use]
    pub fn is_stale(&self, now: Instant, bounds: &settings::View) -> bool {
        self.age(now).is_none_or(|age| age > bounds.stale_after)
    }

    /// Whether this VM must read the configuration service itself.
    ///
    /// `jitter` spreads the VMs that reach the bound at the same moment.
    #[must_use]
    pub fn needs_takeover(&self, now: Instant, bounds: &settings::View, jitter: Span) -> bool {
        let bound = bounds.takeover_after + jitter;
        self.age(now).is_none_or(|age| age > bound)
    }
}
