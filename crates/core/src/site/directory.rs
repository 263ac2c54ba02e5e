//! Which entry VMs the directory names to a caller of a host whose rules may allow some regions only.
//!
//! A caller names its host and its region but no path, so one answer has to suit all rules of the
//! host. A request of a rule with allowed regions may pass through a VM of an allowed region, which
//! knows the load of the targets there, or of the caller's own region, but of no third one.

use crate::home;
use crate::home::Home;
use crate::map::Map;
use crate::site::region::Scope;
use crate::site::rule::Rule;

/// Homes of each service, by region of the callers and then by service.
pub type Homes = Map<Box<str>, Map<Box<str>, Vec<Home>>>;

data! {
    /// What a caller asks for.
    #[derive(Copy)]
    pub struct Query<'a> {
        /// Its region.
        pub region: &'a str,
        /// The region whose homes callers of an unknown region are told.
        pub default_region: &'a str,
        /// Most homes to name.
        pub count: usize,
    }
}

/// The homes to name to a caller of the host with `rules`, the preferred one first. A random `draw` in
/// 0..1 divides the callers among the homes by their slots.
#[must_use]
pub fn select<'a>(homes: &'a Homes, rules: &[Rule], query: Query, draw: f64) -> Vec<&'a Home> {
    let mut parts = rules.iter().flat_map(|rule| &rule.destinations);
    let service = parts.next().map(|part| &*part.service);
    let mut restricted = rules.iter().filter(|rule| rule.regions.is_restricted());
    let chosen = match restricted.next() {
        None => usual(homes, service, query),
        Some(first) => {
            let scope = restricted.fold(first.regions.clone(), |scope, rule| {
                scope.and(&rule.regions)
            });
            restricted_homes(homes, rules, &scope, service, query)
        }
    };
    home::select(&chosen, draw, query.count)
}

/// The homes for callers of a host without a rule that allows some regions only.
fn usual<'a>(homes: &'a Homes, service: Option<&str>, query: Query) -> Vec<&'a Home> {
    let region = homes.get(query.region);
    let region = region.or_else(|| homes.get(query.default_region));
    let found = region.and_then(|region| match service {
        Some(service) => region.get(service),
        // A host without a rule has no service: any home answers its callers.
        None => region.values().next(),
    });
    found.into_iter().flatten().collect()
}

/// The homes for callers of a host with such rules, all of which allow the regions of `scope`.
fn restricted_homes<'a>(
    homes: &'a Homes,
    rules: &[Rule],
    scope: &Scope,
    service: Option<&str>,
    query: Query,
) -> Vec<&'a Home> {
    let own = || living(homes, service, |region| *region == *query.region);
    let allowed = || living(homes, service, |region| scope.allows(region));
    let is_own_allowed = rules.iter().any(|rule| rule.regions.allows(query.region));
    let (first, second) = if is_own_allowed {
        (own(), allowed())
    } else {
        (allowed(), own())
    };
    if !first.is_empty() {
        first
    } else if !second.is_empty() {
        second
    } else if rules.iter().all(|rule| rule.regions.is_restricted()) {
        Vec::new()
    } else {
        // Requests of the rules without a restriction may pass through any VM.
        usual(homes, service, query)
    }
}

/// The homes of `service` that are in the regions that `matches` accepts, in the order of the
/// regions. Those without targets are left out if others have some.
fn living<'a>(
    homes: &'a Homes,
    service: Option<&str>,
    matches: impl Fn(&str) -> bool,
) -> Vec<&'a Home> {
    let mut regions: Vec<&Box<str>> = homes.keys().filter(|region| matches(region)).collect();
    regions.sort_unstable();
    let found = regions.into_iter().flat_map(|region| {
        let found = service.and_then(|service| homes[region].get(service));
        // A region that has lost its VMs has the VMs of other regions for homes.
        found
            .into_iter()
            .flatten()
            .filter(|home| matches(&home.region))
    });
    let found: Vec<&Home> = found.collect();
    let with_targets = found.iter().copied().filter(|home| home.slots > 0);
    let with_targets: Vec<&Home> = with_targets.collect();
    if with_targets.is_empty() {
        found
    } else {
        with_targets
    }
}
