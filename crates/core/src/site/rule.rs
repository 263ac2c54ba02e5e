//! Routing rules of a hosting platform's plan: finds the rule of a request by host and longest path
//! prefix, and draws the destination by weight.

use rand::Rng;
use rand::RngExt;

use crate::entry::Class;
use crate::map::Map;
use crate::site::region::Scope;
use crate::time::Span;

data! {
    /// One of the services among which the requests of a rule are divided.
    pub struct Destination {
        /// The service.
        pub service: Box<str>,
        /// Share of the requests, in proportion to the weights of the other destinations.
        pub weight: u32,
    }

    /// How the requests below a path of a host are served.
    pub struct Rule {
        /// Name, unique within the plan.
        pub name: Box<str>,
        /// Host that callers name, in lower case.
        pub host: Box<str>,
        /// Start of the path; begins and ends with a slash.
        pub prefix: Box<str>,
        /// Class of its requests, which says how they may be treated.
        pub class: Class,
        /// Longest time until a final answer.
        pub timeout: Span,
        /// Time within which an answer is of full use to the caller.
        pub objective: Span,
        /// Rank against other rules of the service; 0 goes first.
        pub urgency: u8,
        /// Targets that one request may be sent to, the first included.
        pub attempts: u64,
        /// Where its requests go; never empty.
        pub destinations: Vec<Destination>,
        /// Regions whose targets its requests may reach.
        pub regions: Scope,
    }
}

impl Rule {
    /// Draws a destination at random, in proportion to the weights.
    #[must_use]
    pub fn draw(&self, random: &mut dyn Rng) -> Option<&Destination> {
        if let [only] = self.destinations.as_slice() {
            return Some(only);
        }
        let total: u32 = self
            .destinations
            .iter()
            .map(|destination| destination.weight)
            .sum();
        if total == 0 {
            return self.destinations.first();
        }
        let mut left = random.random_range(0..total);
        self.destinations.iter().find(|destination| {
            let drawn = left < destination.weight;
            left = left.saturating_sub(destination.weight);
            drawn
        })
    }
}

/// Rules by host.
#[derive(Debug, Default)]
pub struct Table {
    /// Longest prefix first.
    hosts: Map<Box<str>, Vec<Rule>>,
}

impl Table {
    /// Builds the table of `rules`.
    #[must_use]
    pub fn build(rules: &[Rule]) -> Self {
        let mut hosts: Map<Box<str>, Vec<Rule>> = Map::default();
        for rule in rules {
            let rules = hosts.entry(rule.host.clone()).or_default();
            rules.push(rule.clone());
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        Self { hosts }
    }

    /// The rule of `host` with the longest prefix of `path`. The case and the port of `host` do not
    /// matter.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rule> {
        let rules = self.rules_of(host)?;
        rules.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// The rules of `host`, longest prefix first. The case and the port of `host` do not matter.
    #[must_use]
    pub fn rules_of(&self, host: &str) -> Option<&[Rule]> {
        let name = host.split(':').next().unwrap_or_default();
        if let Some(rules) = self.hosts.get(name) {
            return Some(rules);
        }
        let lower = name.to_ascii_lowercase();
        self.hosts.get(&*lower).map(Vec::as_slice)
    }

    /// The hosts, each with the service whose homes its callers are told, and all its services.
    pub fn services_by_host(&self) -> impl Iterator<Item = (&str, Vec<&str>)> {
        self.hosts.values().filter_map(|rules| {
            let destinations = rules.iter().flat_map(|rule| &rule.destinations);
            let services: Vec<&str> = destinations.map(|part| &*part.service).collect();
            Some((*services.first()?, services))
        })
    }

    /// All rules.
    pub fn iter(&self) -> impl Iterator<Item = &Rule> {
        self.hosts.values().flatten()
    }
}
