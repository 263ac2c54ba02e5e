//! A builder for catalogue entries.

use super::Class;
use super::Entry;
use super::Hedge;
use super::Limits;
use super::Retry;
use super::Target;
use crate::time::Span;

/// Builds an entry in code. Fields that are not set have the documented defaults.
pub struct Builder {
    entry: Entry,
}

impl Builder {
    /// An entry of `service` without targets.
    #[must_use]
    pub fn new(service: &str, class: Class) -> Self {
        let once = class == Class::Once;
        let entry = Entry {
            service: service.into(),
            owner: "owner".into(),
            class,
            methods: Vec::new(),
            generation: 0,
            deleted: false,
            deadline: Span::from_millis(10_000),
            limits: Limits::default(),
            retry: Retry {
                attempts: if once { 1 } else { 2 },
                budget_percent: 10,
            },
            hedge: Hedge {
                enabled: false,
                budget_percent: 2,
            },
            targets: Vec::new(),
        };
        Self { entry }
    }

    /// Sets the person or team responsible for the entry.
    #[must_use]
    pub fn owner(mut self, owner: &str) -> Self {
        self.entry.owner = owner.into();
        self
    }

    /// Sets the methods that the entry matches.
    #[must_use]
    pub fn methods(mut self, methods: &[&str]) -> Self {
        self.entry.methods = methods.iter().map(|&method| method.into()).collect();
        self
    }

    /// Sets the generation.
    #[must_use]
    pub fn generation(mut self, generation: u64) -> Self {
        self.entry.generation = generation;
        self
    }

    /// Sets whether this content deletes the entry.
    #[must_use]
    pub fn deleted(mut self, deleted: bool) -> Self {
        self.entry.deleted = deleted;
        self
    }

    /// Sets the deadline.
    #[must_use]
    pub fn deadline(mut self, deadline: Span) -> Self {
        self.entry.deadline = deadline;
        self
    }

    /// Sets the limits.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.entry.limits = limits;
        self
    }

    /// Sets the bounds on retries.
    #[must_use]
    pub fn retry(mut self, retry: Retry) -> Self {
        self.entry.retry = retry;
        self
    }

    /// Sets the bounds on hedging.
    #[must_use]
    pub fn hedge(mut self, hedge: Hedge) -> Self {
        self.entry.hedge = hedge;
        self
    }

    /// Adds a target.
    #[must_use]
    pub fn target(mut self, target: Target) -> Self {
        self.entry.targets.push(target);
        self
    }

    /// The entry, without validation; [`parse`] validates its JSON text.
    #[must_use]
    pub fn build(self) -> Entry {
        self.entry
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate_per_s: 10_000,
            rate_burst: 10_000,
            concurrency: 10_000,
            queue: 1_000,
            measuring_bytes_per_s: 65_536,
            measuring_burst_bytes: 65_536,
            cross_region_bytes_per_s: 0,
            cross_region_burst_bytes: 0,
        }
    }
}
