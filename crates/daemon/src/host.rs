//! The platform that hosts the fleet: the trait of its adapter, and the state that this VM takes
//! from it.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Opaque;
use oriolecleat_core::map::Map;
use oriolecleat_core::map::Set;
use oriolecleat_core::place::cold;
use oriolecleat_core::repeat;
use oriolecleat_core::settings::Hosting;
use oriolecleat_core::site::feed;
use oriolecleat_core::site::plan;
use oriolecleat_core::site::plan::Plan;
use oriolecleat_core::site::registry::Registration;
use oriolecleat_core::site::registry::Registry;
use oriolecleat_core::site::rule;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use serde_json::Value;

use crate::dialect::Dialect;
use crate::homes;
use crate::homes::Entrances;
use crate::service;

/// Why a message of the platform is not understood.
pub type Fault = Box<dyn Error + Send + Sync>;

/// What a key of the platform's store holds.
#[derive(Debug)]
pub enum Content {
    /// The plan.
    Plan(Plan),
    /// The registration of a target.
    Registration(Registration),
    /// This data centre is out of service for as long as the key exists.
    Withdrawn(Box<str>),
}

/// Query of a caller that asks for addresses.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// Host that it wants to reach.
    pub host: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Its data centre.
    pub data_center: Box<str>,
}

/// Paths of the calls that a platform and its callers make.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Page on the readiness address that says whether callers may use this VM.
    pub ready: &'static str,
    /// Page on the directory address that lists the addresses for a caller.
    pub addresses: &'static str,
}

/// Translates between a platform and the product. An adapter holds no state and decides nothing.
pub trait Host {
    /// Headers that callers and targets speak.
    fn dialect(&self) -> Dialect;
    /// Paths of the calls that arrive.
    fn paths(&self) -> Paths;
    /// The keys that the adapter understands.
    fn keys(&self) -> Vec<Opaque>;
    /// The number that orders the contents of `key`, as stated by its text; none if the text states
    /// none or cannot be used.
    fn number(&self, key: &str, text: &str) -> Option<u64>;
    /// The era of the store that an answer states; none if it states none. A store that was restored
    /// from a copy begins a higher era.
    ///
    /// # Errors
    ///
    /// Returns what is not understood.
    fn era(&self, headers: &HeaderMap) -> Result<Option<u64>, Fault>;
    /// Path and query of a call to the store that answers within `wait`.
    fn call(&self, call: &feed::Call, wait: Duration) -> Box<str>;
    /// Reads a page of keys.
    ///
    /// # Errors
    ///
    /// Returns what is not understood.
    fn page(&self, body: &[u8]) -> Result<feed::Page, Fault>;
    /// Reads the result of a wait.
    ///
    /// # Errors
    ///
    /// Returns what is not understood.
    fn changes(&self, status: StatusCode, body: &[u8]) -> Result<feed::Changes, Fault>;
    /// Reads the text of a key.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be used.
    fn content(&self, key: &str, text: &str) -> Result<Content, Fault>;
    /// Reads the query of a caller that asks for addresses.
    fn caller(&self, query: &str) -> Caller;
    /// The answer to a caller that asks for addresses.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Value;
}

/// State that this VM takes from the platform.
pub(crate) struct Hosted {
    pub(crate) host: Rc<dyn Host>,
    pub(crate) settings: Hosting,
    /// The plan in force.
    pub(crate) plan: Option<Plan>,
    pub(crate) rules: rule::Table,
    /// Those of `rules`.
    pub(crate) entrances: Entrances,
    pub(crate) registry: Registry,
    /// Era of the store whose keys were last applied; 0 before the first one.
    era: u64,
    pub(crate) repeats: Map<Box<str>, repeat::Budget>,
    /// Input of the last choice of the cold targets that this VM uses.
    pub(crate) cold_basis: Basis,
}

/// Count of the changes of members, and the cold targets by service, in order of their names.
pub(crate) type Basis = (u64, Vec<(service::Key, Vec<Box<str>>)>);

/// What a change of a key means for the services.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Another plan is in force.
    Plan,
    /// The targets of these services changed.
    Targets(Vec<Box<str>>),
}

impl Hosted {
    pub(crate) fn new(host: Rc<dyn Host>, settings: Hosting) -> Self {
        Self {
            host,
            settings,
            plan: None,
            rules: rule::Table::default(),
            entrances: Entrances::default(),
            registry: Registry::default(),
            era: 0,
            repeats: Map::default(),
            cold_basis: Basis::default(),
        }
    }

    /// Applies changed settings.
    pub(crate) fn configure(&mut self, settings: Hosting) {
        for budget in self.repeats.values_mut() {
            budget.set_bound(settings.repeats);
        }
        self.settings = settings;
    }

    /// Applies the text of `key` in `catalogue`. If it has none, it vanished at `removed` or later, or at any
    /// time if none is given.
    pub(crate) fn apply_key(
        &mut self,
        now: Instant,
        removed: Option<Instant>,
        catalogue: &Catalogue,
        key: &str,
    ) -> Effect {
        let Some(text) = catalogue.text(key) else {
            return Effect::Targets(self.remove_key(now, removed, key));
        };
        match self.host.content(key, text) {
            Ok(Content::Plan(plan)) => self.set_plan(plan),
            Ok(Content::Registration(registration)) => {
                Effect::Targets(self.registry.put(now, key, Some(registration)))
            }
            Ok(Content::Withdrawn(data_center)) => {
                Effect::Targets(self.withdraw(key, &data_center))
            }
            Err(fault) => {
                log::warn!(key, cause:% = fault; "the value of a key in the store is not valid");
                Effect::Targets(self.registry.put(now, key, None))
            }
        }
    }

    /// Records the era of the store whose keys are applied next. Returns whether the store was restored
    /// from a copy: registrations that the copy lacks then come back.
    pub(crate) fn record_era(&mut self, now: Instant, era: u64) -> bool {
        let before = std::mem::replace(&mut self.era, era);
        let is_restored = before > 0 && era > before;
        if is_restored {
            log::warn!(era, before; "the store was restored from a copy");
            self.registry.record_restore(now);
        }
        is_restored
    }

    /// Takes a data centre out of service. Returns the services whose targets changed.
    fn withdraw(&mut self, key: &str, data_center: &str) -> Vec<Box<str>> {
        let Some(services) = self.registry.withdraw(key, data_center) else {
            return Vec::new();
        };
        log::warn!(data_center, services = services.len(); "data centre out of service");
        services
    }

    /// Applies the removal of a key that vanished at `removed` or later, or at any time if none is given.
    /// Returns the services whose targets changed.
    fn remove_key(&mut self, now: Instant, removed: Option<Instant>, key: &str) -> Vec<Box<str>> {
        match self.registry.restore(now, key) {
            Some(returned) => log_return(returned),
            None => self.registry.remove(removed, key),
        }
    }

    /// Removes what vanished and did not come back in time. Returns the services whose targets changed.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Box<str>> {
        let returned = self.registry.lapse_orders(now).into_iter();
        let mut services: Vec<Box<str>> = returned.flat_map(log_return).collect();
        services.extend(self.registry.expire(now));
        services
    }

    /// Puts `plan` in force if its version is higher.
    fn set_plan(&mut self, plan: Plan) -> Effect {
        let known = self.plan.as_ref().map(|plan| plan.version);
        if known.is_some_and(|known| plan.version <= known) {
            log::warn!(
                version = plan.version, known = known.unwrap_or_default();
                "plan ignored: its version is not higher than that of the plan in force"
            );
            return Effect::Targets(Vec::new());
        }
        log::info!(
            version = plan.version, before = known, rules = plan.rules.len(),
            restricted = plan.restricted_rules();
            "plan in force"
        );
        for unread in &plan.unread {
            let word = &*unread.word;
            let (part, rules) = (unread.part, unread.rules);
            match unread.effect {
                plan::Effect::None => log::warn!(
                    version = plan.version, part, word;
                    "unknown word in the plan ignored"
                ),
                plan::Effect::NotRepeatable => log::warn!(
                    version = plan.version, part, word, rules;
                    "unknown word in the plan; its rules are treated as not repeatable"
                ),
                plan::Effect::NoRegion => log::warn!(
                    version = plan.version, part, word, rules;
                    "unknown word in the plan; its rules allow no region and refuse all requests"
                ),
            }
        }
        self.rules = rule::Table::build(&plan.rules);
        self.entrances = homes::entrances(&self.rules);
        self.plan = Some(plan);
        Effect::Plan
    }

    /// The budget for repeats of requests to `service`.
    pub(crate) fn repeats(&mut self, service: &str) -> &mut repeat::Budget {
        if !self.repeats.contains_key(service) {
            let budget = repeat::Budget::new(self.settings.repeats);
            self.repeats.insert(service.into(), budget);
        }
        self.repeats
            .get_mut(service)
            .expect("the budget was inserted if it was missing")
    }

    /// What cold targets of `service` tolerate, if the plan and the settings bound it.
    pub(crate) fn cold_bound(&self, service: &str) -> Option<cold::Bound> {
        let settings = self.settings.cold?;
        let mut services = self.plan.iter().flat_map(|plan| &plan.services);
        let found = services.find(|known| *known.name == *service)?;
        let per_s = found.cold_per_s_thousandths * settings.over_thousandths / 1_000;
        (per_s > 0 && found.cold_start > Span::ZERO).then_some(cold::Bound {
            start: found.cold_start,
            per_s_thousandths: per_s,
            slack_thousandths: settings.slack_thousandths,
        })
    }

    /// The services of the plan.
    pub(crate) fn services(&self) -> Set<Box<str>> {
        let rules = self.rules.iter().flat_map(|rule| &rule.destinations);
        rules.map(|part| part.service.clone()).collect()
    }
}

/// Logs that a data centre is back in service and returns the services whose targets changed.
fn log_return((data_center, services): (Box<str>, Vec<Box<str>>)) -> Vec<Box<str>> {
    let data_center = &*data_center;
    log::warn!(data_center, services = services.len(); "data centre back in service");
    services
}
