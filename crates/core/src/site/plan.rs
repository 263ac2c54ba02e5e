//! The plan of a hosting platform: its rules, its services and the bounds on its callers.

use crate::entry;
use crate::entry::Entry;
use crate::site::rule::Rule;
use crate::time::Span;

data! {
    /// A service as the plan describes it.
    pub struct Service {
        /// Its name.
        pub name: Box<str>,
        /// Path at which its targets report their health.
        pub health_path: Box<str>,
        /// Connections that one target accepts from all VMs together; none if the plan does not
        /// say.
        pub connections: Option<u64>,
        /// Time for which a target is cold after its start; zero if the plan does not say.
        pub cold_start: Span,
        /// Requests a second that a cold target tolerates from all VMs together, in thousandths; zero
        /// for any number.
        pub cold_per_s_thousandths: u64,
    }

    /// Bounds on the size and the time of a caller's requests.
    #[derive(Copy)]
    pub struct Bounds {
        /// Largest head of a request.
        pub head_bytes: u64,
        /// Largest body of a request.
        pub body_bytes: u64,
        /// Longest wait for the head of a request.
        pub head_timeout: Span,
        /// Longest time that a connection may stay idle.
        pub idle_timeout: Span,
    }

    /// A word of the plan that the adapter does not know.
    pub struct Unread {
        /// Which part of the plan it stands for, in the words of the platform.
        pub part: &'static str,
        /// The word, cut to a bounded length.
        pub word: Box<str>,
        /// Rules that are treated as not repeatable because of it; 0 if it is only ignored.
        pub rules: u64,
    }

    /// One version of the plan.
    pub struct Plan {
        /// Orders plans; a lower one never replaces a higher one.
        pub version: u64,
        /// Its rules.
        pub rules: Vec<Rule>,
        /// Its services.
        pub services: Vec<Service>,
        /// Bounds on callers; none if the plan does not say.
        pub bounds: Option<Bounds>,
        /// What the adapter does not know, in a bounded number.
        pub unread: Vec<Unread>,
    }
}

/// Requests that may wait on one VM for a target of one service.
const QUEUE_LIMIT: u64 = 256;
/// Rate in calls a second, burst and concurrency of an entry without a limit. The plan states no
/// rate limit.
const UNLIMITED_CALLS: u64 = 1_000_000;
/// Bytes between regions of an entry without a limit. The plan states no limit, and the choice of a
/// target weighs the longer way.
const UNLIMITED_BYTES: u64 = 1 << 40;

impl Plan {
    /// Name of the entry of `rule` at `service`.
    #[must_use]
    pub fn entry_name(rule: &str, service: &str) -> Box<str> {
        format!("{rule}/{service}").into()
    }

    /// Number of the unknown words because of which rules are treated as not repeatable.
    #[must_use]
    pub fn unread_classes(&self) -> u64 {
        let classes = self.unread.iter().filter(|unread| unread.rules > 0);
        u64::try_from(classes.count()).unwrap_or(u64::MAX)
    }

    /// Number of the rules that allow some regions only.
    #[must_use]
    pub fn restricted_rules(&self) -> usize {
        let rules = self.rules.iter();
        rules.filter(|rule| rule.regions.is_restricted()).count()
    }

    /// The entries that the rules stand for, one for each destination, with their names.
    pub fn entries(&self) -> impl Iterator<Item = (Box<str>, Entry)> {
        self.rules.iter().flat_map(|rule| {
            rule.destinations.iter().map(|destination| {
                let name = Self::entry_name(&rule.name, &destination.service);
                (name, entry(rule, &destination.service))
            })
        })
    }
}

/// The entry of `rule` at `service`. The plan names no owner, so the rule's name stands for it.
fn entry(rule: &Rule, service: &str) -> Entry {
    let limits = entry::Limits {
        rate_per_s: UNLIMITED_CALLS,
        rate_burst: UNLIMITED_CALLS,
        concurrency: UNLIMITED_CALLS,
        queue: QUEUE_LIMIT,
        measuring_bytes_per_s: 0,
        measuring_burst_bytes: 0,
        cross_region_bytes_per_s: UNLIMITED_BYTES,
        cross_region_burst_bytes: UNLIMITED_BYTES,
    };
    Entry {
        deadline: rule.timeout,
        limits,
        retry: entry::Retry {
            attempts: rule.attempts,
            budget_percent: 0,
        },
        ..entry::Builder::new(service, rule.class)
            .owner(&rule.name)
            .build()
    }
}
