//! State of the daemon, owned in one place and shared by its tasks.

use std::cell::RefCell;
use std::rc::Rc;

use oriolecleat_core::audit;
use oriolecleat_core::balance::Call;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::gossip::Gossip;
use oriolecleat_core::idle;
use oriolecleat_core::limit::Space;
use oriolecleat_core::map::Map;
use oriolecleat_core::member;
use oriolecleat_core::reader::Reader;
use oriolecleat_core::route;
use oriolecleat_core::settings::Settings;
use oriolecleat_core::site::directory::Homes;
use oriolecleat_core::stop::Phase;
use oriolecleat_core::target::Place;
use oriolecleat_core::ticket;
use oriolecleat_core::time::Span;
use oriolecleat_core::vmlist;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::fleet::Links;
use crate::halt::Phases;
use crate::held;
use crate::homes::Basis;
use crate::host::Host;
use crate::host::Hosted;
use crate::inflight;
use crate::linger::LINGERING_MAX;
use crate::metrics::Metrics;
use crate::pipeline::EARLY_MAX;
use crate::pipeline::READ_AHEAD_MAX_BYTES;
use crate::pool::Pool;
use crate::probe;
use crate::quota;
use crate::quota::Quota;
use crate::service;
use crate::service::Mailbox;
use crate::service::Service;
use crate::trail::Trail;

pub(crate) const LEDGER_CAPACITY: usize = 100_000;

/// State shared by the tasks of the event loop; no borrow is held across an await.
pub(crate) type Shared = Rc<RefCell<Node>>;

/// State of the daemon.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u64,
    pub(crate) routes: route::Table,
    pub(crate) issuer: ticket::Issuer,
    pub(crate) ledger: ticket::Ledger,
    pub(crate) pool: Pool,
    /// How long ago registrations may have vanished whose removal is being applied; none if at any time.
    pub(crate) removal_age: Option<Span>,
    /// Space for answers that are buffered before the caller gets their first byte.
    pub(crate) buffered: Space,
    /// Space for bodies of requests that are kept for another attempt.
    pub(crate) bodies: Space,
    /// Requests that may be processed before their turn.
    pub(crate) early: Space,
    /// Connections of callers that linger after their last answer.
    pub(crate) lingering: Space,
    /// Space for bytes of requests that are read ahead.
    pub(crate) read_ahead: Space,
    /// Longest idle time of a connection that may carry a request which must not run twice.
    pub(crate) idle_limit: idle::Limit,
    pub(crate) revision: u64,
    pub(crate) metrics: Metrics,
    pub(crate) catalogue: Catalogue,
    pub(crate) vm_list: vmlist::List,
    pub(crate) services: SlotMap<service::Key, Service>,
    pub(crate) names: Map<Box<str>, service::Key>,
    pub(crate) quotas: SlotMap<quota::Key, Quota>,
    pub(crate) entries: Map<Box<str>, quota::Key>,
    pub(crate) calls: Map<Call, Mailbox>,
    pub(crate) next_call: u64,
    pub(crate) next_entry: u32,
    /// How often routes and services were rebuilt from the catalogue.
    pub(crate) applied: u64,
    /// Number of address answers given; rotates the VMs that answers name.
    pub(crate) address_answers: usize,
    /// Members known to be alive, this VM included.
    pub(crate) members_alive: u64,
    pub(crate) rng: SmallRng,
    pub(crate) probes: mpsc::UnboundedSender<probe::Order>,
    /// Wakes the timer task when a service needs an earlier tick.
    pub(crate) timer: Rc<Notify>,
    /// Membership and gossip of this VM.
    pub(crate) gossip: Gossip,
    pub(crate) links: Links,
    pub(crate) audit: audit::Ring,
    pub(crate) trail: Trail,
    /// When to read the configuration service, and how old the view is.
    pub(crate) reader: Reader,
    pub(crate) in_flight: inflight::Counter,
    pub(crate) phases: Phases,
    pub(crate) dialect: Rc<Dialect>,
    /// State taken from the platform that hosts the fleet, if one does.
    pub(crate) hosted: Option<Hosted>,
    pub(crate) homes: Homes,
    pub(crate) homes_basis: Basis,
    /// Whether the targets, rules or regions changed since the homes were assigned.
    pub(crate) homes_outdated: bool,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        mut rng: SmallRng,
        probes: mpsc::UnboundedSender<probe::Order>,
        host: Option<Rc<dyn Host>>,
    ) -> Self {
        let incarnation = clock::wall_ms();
        let now = clock.now();
        let hold = settings.evidence.leaving_hold;
        let own = record(&settings, incarnation);
        let gossip = Gossip::new(now, own, settings.seeds.clone(), hold);
        // A platform collects the logs, which hold every audit record.
        let gossip = if host.is_some() {
            gossip.without_audit_copies()
        } else {
            gossip
        };
        let reader = Reader::new(now, settings.view.clone(), &mut rng);
        let dialect = host
            .as_ref()
            .map_or_else(Dialect::own, |host| host.dialect());
        let foreign = host.as_ref().map_or_else(Vec::new, |host| host.keys());
        let hosted = host
            .zip(settings.hosting.clone())
            .map(|(host, hosting)| Hosted::new(host, hosting));
        Self {
            dialect: Rc::new(dialect),
            hosted,
            homes: Homes::default(),
            homes_basis: Basis::default(),
            homes_outdated: true,
            issuer: ticket::Issuer::new(settings.fleet_key.as_bytes()),
            ledger: ticket::Ledger::new(&settings.vm, incarnation, LEDGER_CAPACITY),
            metrics: Metrics::new(settings.statsd, &settings.vm),
            clock,
            incarnation,
            routes: route::Table::default(),
            pool: Pool::default(),
            removal_age: Some(Span::ZERO),
            buffered: held::answers(&settings),
            bodies: held::bodies(&settings),
            early: Space::new(EARLY_MAX),
            lingering: Space::new(LINGERING_MAX),
            read_ahead: Space::new(READ_AHEAD_MAX_BYTES),
            idle_limit: idle::Limit::default(),
            revision: 0,
            catalogue: Catalogue::with_opaque(foreign),
            vm_list: vmlist::List::default(),
            services: SlotMap::with_key(),
            names: Map::default(),
            quotas: SlotMap::with_key(),
            entries: Map::default(),
            calls: Map::default(),
            next_call: 0,
            next_entry: 0,
            applied: 0,
            address_answers: 0,
            members_alive: 1,
            rng,
            probes,
            timer: Rc::new(Notify::new()),
            gossip,
            links: Links::default(),
            audit: audit::Ring::new(&settings.vm, incarnation),
            trail: Trail::default(),
            reader,
            in_flight: inflight::Counter::default(),
            phases: Rc::new(watch::Sender::new(Phase::default())),
            settings,
        }
    }

    /// Region and data centre of this VM.
    pub(crate) fn place(&self) -> Place {
        Place {
            region: self.settings.region.clone(),
            data_center: self.settings.data_center.clone(),
        }
    }
}

/// The member record of this VM as it starts.
fn record(settings: &Settings, incarnation: u64) -> member::Record {
    member::Record {
        vm: settings.vm.clone(),
        incarnation,
        sequence: 0,
        state: member::State::Alive,
        caller: settings.listen.caller,
        directory: settings.listen.directory,
        peer: settings.listen.peer,
        region: settings.region.clone(),
        data_center: settings.data_center.clone(),
        uptime_ms: 0,
        build: env!("CARGO_PKG_VERSION").into(),
        capacity: settings.hosting.as_ref().map_or(
            member::USUAL_CAPACITY,
            oriolecleat_core::settings::Hosting::capacity,
        ),
    }
}
