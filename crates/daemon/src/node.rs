//! The one owner of the daemon's state.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Ask;
use oriolecleat_core::balance::Balancer;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Fate;
use oriolecleat_core::balance::Limits;
use oriolecleat_core::balance::Refusal;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Verdict;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::map::Map;
use oriolecleat_core::route;
use oriolecleat_core::settings::Settings;
use oriolecleat_core::target;
use oriolecleat_core::ticket;
use oriolecleat_core::ticket::Ticket;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_core::version::Version;
use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use crate::clock;
use crate::clock::Clock;
use crate::pool::Pool;
use crate::query::Question;

const LEDGER_CAPACITY: usize = 100_000;

/// State shared by the tasks of the loop; no borrow lives across an await.
pub(crate) type Shared = Rc<RefCell<Node>>;

/// A target that a call may be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) target: target::Key,
    pub(crate) address: SocketAddr,
    pub(crate) queue: Span,
}

type Decision = Result<Grant, Refusal>;

struct Service {
    balancer: Balancer,
    waiting: Map<Call, oneshot::Sender<Decision>>,
}

/// Limits of a service until those of its entries are applied.
const LIMITS: Limits = Limits {
    queue: 1_000,
    measuring_rate: 3_640,
    measuring_burst: 3_640,
    remote_rate: 0,
    remote_burst: 0,
    exchange: 2_000,
};

impl Service {
    fn new(settings: &Settings) -> Self {
        let place = target::Place {
            region: settings.region.clone(),
            data_center: settings.data_center.clone(),
        };
        Self {
            balancer: Balancer::new(place, LIMITS),
            waiting: Map::default(),
        }
    }
}

/// State of the daemon.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) routes: route::Table,
    pub(crate) issuer: ticket::Issuer,
    pub(crate) ledger: ticket::Ledger,
    pub(crate) pool: Pool,
    pub(crate) revision: u64,
    catalogue: Catalogue,
    services: Map<Box<str>, Service>,
    rng: SmallRng,
    next_call: u64,
}

impl Node {
    pub(crate) fn new(settings: Settings, clock: Clock, rng: SmallRng) -> Self {
        let incarnation = clock::wall_ms();
        Self {
            issuer: ticket::Issuer::new(settings.fleet_key.as_bytes()),
            ledger: ticket::Ledger::new(&settings.vm, incarnation, LEDGER_CAPACITY),
            settings,
            clock,
            incarnation,
            routes: route::Table::default(),
            pool: Pool::default(),
            revision: 0,
            catalogue: Catalogue::default(),
            services: Map::default(),
            rng,
            next_call: 0,
        }
    }

    /// Offers catalogue content read from the configuration service.
    pub(crate) fn offer(&mut self, key: &str, revision: u64, text: Option<&str>) {
        let generation = text.map_or(0, generation);
        let version = Version {
            generation,
            revision,
        };
        match self.catalogue.offer(key, version, text) {
            Verdict::Accepted => {
                log::info!(key, revision; "catalogue change accepted");
                self.apply();
            }
            Verdict::Rejected(faults) => {
                let faults = format!("{faults:?}");
                log::warn!(key, revision, faults = faults.as_str(); "catalogue change rejected");
            }
            Verdict::Known | Verdict::Behind => {}
        }
    }

    fn apply(&mut self) {
        self.routes = route::Table::build(&self.catalogue);
        let mut specs: Map<Box<str>, Vec<entry::Target>> = Map::default();
        for (service, entries) in self.routes.services() {
            let targets = specs.entry(service.into()).or_default();
            for (_, entry) in entries {
                let new = entry
                    .targets
                    .iter()
                    .filter(|target| !targets.contains(target));
                let new: Vec<entry::Target> = new.cloned().collect();
                targets.extend(new);
            }
        }
        let now = self.clock.now();
        for (name, service) in &mut self.services {
            let targets = specs.get(name).map_or(&[][..], Vec::as_slice);
            service.balancer.update(now, targets);
        }
        for (name, targets) in &specs {
            let settings = &self.settings;
            let service = self.services.entry(name.clone());
            let service = service.or_insert_with(|| Service::new(settings));
            service.balancer.update(now, targets);
        }
    }

    /// Asks for a target; the receiver resolves as soon as one is granted.
    pub(crate) fn arrive(
        &mut self,
        service: &str,
        class: Class,
        deadline: Instant,
    ) -> (Call, oneshot::Receiver<Decision>) {
        self.next_call += 1;
        let call = Call(self.next_call);
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let mut actions = Vec::new();
        if let Some(found) = self.services.get_mut(service) {
            found.waiting.insert(call, sender);
            let ask = Ask {
                call,
                class,
                deadline,
                entry: 0,
                hedge_percent: 0,
            };
            found.balancer.arrive(now, ask, &mut self.rng, &mut actions);
        }
        self.act(service, actions);
        (call, receiver)
    }

    /// Tells how an attempt ended.
    pub(crate) fn finish(
        &mut self,
        service: &str,
        call: Call,
        target: target::Key,
        ending: Ending,
    ) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        if let Some(found) = self.services.get_mut(service) {
            let balancer = &mut found.balancer;
            let fate = balancer.finish(now, call, target, ending, &mut self.rng, &mut actions);
            // The caller was answered, so a call that did not run is not sent again.
            if fate == Fate::Pending {
                balancer.withdraw(now, call, &mut actions);
            }
        }
        self.act(service, actions);
    }

    /// A waiting call is not wanted any more.
    pub(crate) fn withdraw(&mut self, service: &str, call: Call) {
        if let Some(found) = self.services.get_mut(service) {
            found.waiting.remove(&call);
            let now = self.clock.now();
            found.balancer.withdraw(now, call, &mut Vec::new());
        }
    }

    fn act(&mut self, service: &str, actions: Vec<Action>) {
        let Some(found) = self.services.get_mut(service) else {
            return;
        };
        for action in actions {
            let (call, decision) = match action {
                Action::Assign {
                    call,
                    target,
                    queue,
                    ..
                } => {
                    let Some(spec) = found.balancer.targets().get(target) else {
                        continue;
                    };
                    (
                        call,
                        Ok(Grant {
                            target,
                            address: spec.spec.address,
                            queue,
                        }),
                    )
                }
                Action::Refuse { call, reason } => (call, Err(reason)),
                Action::Hedge { .. } | Action::Cancel { .. } | Action::Probe { .. } => continue,
            };
            if let Some(sender) = found.waiting.remove(&call) {
                // The receiver withdraws the call when it goes away, so it is still there.
                let _ = sender.send(decision);
            }
        }
    }

    /// Answers a question of an HTTP handler.
    pub(crate) fn answer(&mut self, question: Question) -> Value {
        match question {
            Question::Addresses(service) => self.addresses(&service),
            Question::Status => json!({
                "vm": self.settings.vm,
                "incarnation": self.incarnation,
                "revision": self.revision,
                "uptime_ms": self.clock.now().as_micros() / 1_000,
            }),
        }
    }

    fn addresses(&mut self, service: &str) -> Value {
        let now = self.clock.now();
        let ttl = self.settings.stop.address_ttl;
        let ticket = Ticket {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            id: self.rng.random(),
            expires_us: (now + ttl).as_micros(),
        };
        json!({
            "service": service,
            "ttl_ms": ttl.as_millis(),
            "addresses": [{
                "vm": self.settings.vm,
                "address": self.settings.listen.caller.to_string(),
                "ticket": self.issuer.sign(&ticket),
            }],
        })
    }
}

/// The generation written in the text of an entry, zero if there is none.
fn generation(text: &str) -> u64 {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    value.get("generation").and_then(Value::as_u64).unwrap_or(0)
}
