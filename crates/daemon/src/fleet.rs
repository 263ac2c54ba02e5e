//! Membership of this VM in the fleet: passes events to the gossip core and carries out the
//! actions that it returns.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use oriolecleat_core::audit::Change;
use oriolecleat_core::catalogue::Verdict;
use oriolecleat_core::estimate;
use oriolecleat_core::gossip::Action;
use oriolecleat_core::gossip::Context;
use oriolecleat_core::gossip::Gossip;
use oriolecleat_core::gossip::Link;
use oriolecleat_core::gossip::Remote;
use oriolecleat_core::leaving::News;
use oriolecleat_core::leaving::Source;
use oriolecleat_core::map::Map;
use oriolecleat_core::member::State;
use oriolecleat_core::message::Departure;
use oriolecleat_core::message::Message;
use oriolecleat_core::message::Report;
use oriolecleat_core::reader;
use oriolecleat_core::reader::Step;
use oriolecleat_core::stop::Phase;
use oriolecleat_core::target;
use oriolecleat_core::ticket;
use oriolecleat_core::time::Span;
use tokio::sync::watch;

use crate::clock;
use crate::metrics::Count;
use crate::node::LEDGER_CAPACITY;
use crate::node::Node;
use crate::node::Shared;
use crate::peer;
use crate::peer::Queue;
use crate::service;

const TICK: Duration = Duration::from_millis(200);
/// Time given to the link tasks to send the last messages before the process ends.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

/// Links to peers, with their send queues and the state that their tasks share.
pub(crate) struct Links {
    queues: Map<Link, Queue>,
    next: u64,
    /// Own evidence that targets are leaving, sent to the peers at the next tick.
    pub(crate) departures: Vec<Departure>,
    /// Whether this VM reads the configuration service.
    pub(crate) reading: Rc<watch::Sender<bool>>,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            queues: Map::default(),
            next: 0,
            departures: Vec::new(),
            reading: Rc::new(watch::Sender::new(false)),
        }
    }
}

/// Runs the periodic work of the fleet until the process ends.
pub(crate) async fn run(node: Shared) {
    loop {
        {
            let mut state = node.borrow_mut();
            state.announce_leaving(&node);
            let departures = std::mem::take(&mut state.links.departures);
            state.event(&node, |gossip, context| {
                gossip.report_departures(context, departures)
            });
            state.event(&node, Gossip::tick);
            state.step_reader();
            state.expire_registrations();
            state.update_homes();
            state.update_cold_users();
            state.record_changes();
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Waits until peers could report an earlier incarnation of this VM, then fixes its own.
///
/// A platform runs no two processes of a VM, so under one a newer incarnation is always an earlier
/// process whose clock was ahead. The VM goes above it whenever it hears of it.
pub(crate) async fn join(node: &Shared) {
    if node.borrow().hosted.is_some() {
        return;
    }
    let wait = {
        let node = node.borrow();
        if node.settings.seeds.is_empty() {
            Span::ZERO
        } else {
            node.settings.view.peer_wait
        }
    };
    tokio::time::sleep(clock::duration(wait)).await;
    node.borrow_mut().gossip.fix_incarnation();
}

/// Tells the peers that this VM has stopped, with its newest audit records.
pub(crate) async fn announce_stop(node: &Shared) {
    {
        let mut state = node.borrow_mut();
        state.event(node, |gossip, context| {
            gossip.announce(context, State::Dead)
        });
        state.event(node, Gossip::tick);
    }
    tokio::time::sleep(FLUSH_WAIT).await;
}

impl Node {
    /// Tells the peers that this VM is leaving.
    fn announce_leaving(&mut self, node: &Shared) {
        let serving = matches!(self.phase(), Phase::Serving(_));
        if !serving && self.gossip.fleet().own().record().state == State::Alive {
            self.event(node, |gossip, context| {
                gossip.announce(context, State::Leaving)
            });
        }
    }

    /// Queues own evidence that a target is leaving; the next tick sends it to the peers.
    pub(crate) fn note_departure(&mut self, service: service::Key, target: target::Key) {
        let now = self.clock.now();
        let Some(found) = self.services.get(service) else {
            return;
        };
        let address = found
            .balancer
            .targets()
            .get(target)
            .map(|target| target.spec.address);
        let evidence = found.evidence.get(target);
        if let (Some(target), Some(evidence)) = (address, evidence) {
            let departures = evidence.news(now).map(|news| Departure {
                target,
                source: name(news.source).into(),
                age_ms: news.age.as_millis(),
            });
            self.links.departures.extend(departures);
        }
    }

    /// Passes an event to the core and carries out the actions that follow.
    pub(crate) fn event(
        &mut self,
        node: &Shared,
        event: impl FnOnce(&mut Gossip, &mut Context) -> Vec<Action>,
    ) {
        let mut context = Context {
            now: self.clock.now(),
            wall_ms: clock::wall_ms(),
            catalogue: &mut self.catalogue,
            audit: &mut self.audit,
            reader: &mut self.reader,
            random: &mut self.rng,
        };
        let mut actions: VecDeque<Action> = event(&mut self.gossip, &mut context).into();
        let mut changed = Vec::new();
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Send(links, message) => self.send(node, &links, message),
                Action::Dial(address) => {
                    tokio::task::spawn_local(peer::dial(node.clone(), address));
                }
                Action::Close(link) => drop(self.links.queues.remove(&link)),
                Action::Verdict(key, verdict) => {
                    if self.record_verdict(&key, &verdict) {
                        changed.push(key);
                    }
                }
                Action::Departure(departure) => self.record_departure(&departure),
                Action::Load(_, reports) => self.record_reports(&reports),
                Action::Members => self.update_member_count(),
                Action::Incarnation(incarnation) => self.raise_incarnation(incarnation),
                Action::Superseded => {
                    log::error!("a newer incarnation of this VM's name serves: leaving");
                    self.start_stop();
                }
                Action::Resumed => {
                    log::warn!("the process was frozen");
                    let now = self.clock.now();
                    if self.reader.close_after_freeze(now).is_some() {
                        self.links.reading.send_replace(false);
                    }
                }
            }
        }
        if !changed.is_empty() {
            self.apply_keys(&changed);
            self.update_call_budget();
        }
    }

    fn send(&mut self, node: &Shared, links: &[Link], message: Message) {
        let message = Rc::new(message);
        for link in links {
            let Some(queue) = self.links.queues.get(link) else {
                continue;
            };
            if queue
                .try_send((Instant::now(), Rc::clone(&message)))
                .is_err()
            {
                log::warn!(link = link.0; "the send queue of a link is full or closed: closing the link");
                self.links.queues.remove(link);
                let (node, link) = (node.clone(), *link);
                // Deferred, because the current event must end first.
                tokio::task::spawn_local(async move {
                    node.borrow_mut().remove_link(&node, link);
                });
            }
        }
    }

    /// Adds an established link; messages to its peer go into `queue`.
    pub(crate) fn add_link(&mut self, node: &Shared, queue: Queue, remote: Remote) -> Link {
        self.links.next += 1;
        let link = Link(self.links.next);
        self.links.queues.insert(link, queue);
        self.event(node, |gossip, context| {
            gossip.add_link(context, link, remote)
        });
        link
    }

    /// Removes a link that ended.
    pub(crate) fn remove_link(&mut self, node: &Shared, link: Link) {
        self.links.queues.remove(&link);
        self.event(node, |gossip, context| gossip.remove_link(context, link));
    }

    /// Records that the peer of a link sent an invalid frame, and removes the link.
    pub(crate) fn record_link_fault(&mut self, node: &Shared, link: Link, cause: &str) {
        let change = Change::new("link", &link.0.to_string(), "peer", cause);
        self.audit.record(clock::wall_ms(), change);
        self.remove_link(node, link);
    }

    /// Handles a message that arrived over a link.
    pub(crate) fn receive(&mut self, node: &Shared, link: Link, message: Message) {
        self.metrics.add(Count::PeerTextBytes, text_bytes(&message));
        self.event(node, |gossip, context| {
            gossip.receive(context, link, message)
        });
    }

    /// Records that dialling `address` did not establish a link.
    pub(crate) fn record_dial_failure(&mut self, address: SocketAddr) {
        let now = self.clock.now();
        self.gossip.record_dial_failure(now, address, &mut self.rng);
    }

    /// Logs and counts a verdict; returns whether the change was accepted.
    fn record_verdict(&mut self, key: &str, verdict: &Verdict) -> bool {
        match verdict {
            Verdict::Accepted | Verdict::Conflict { kept: true } => {
                let bytes = self.catalogue.text(key).map_or(0, str::len) as u64;
                log::info!(key, bytes; "catalogue change accepted");
                self.metrics.add(Count::CatalogueAccepted, 1);
                self.metrics.add(Count::CatalogueBytes, bytes);
                return true;
            }
            Verdict::Rejected(faults) => {
                let faults = format!("{faults:?}");
                log::warn!(key, faults = faults.as_str(); "catalogue change rejected");
                self.metrics.add(Count::CatalogueRejected, 1);
            }
            Verdict::Refused(reason) => {
                log::warn!(key, reason = &**reason; "catalogue change refused");
                self.metrics.add(Count::CatalogueRejected, 1);
            }
            Verdict::Known | Verdict::Behind | Verdict::Conflict { kept: false } => {}
        }
        false
    }

    /// Applies this VM's share of the call rate of the configuration service.
    fn update_call_budget(&mut self) {
        if let Some(constants) = self.catalogue.constants() {
            let now = self.clock.now();
            let (calls, ceiling) = (constants.configuration_calls_per_s, constants.vm_ceiling);
            self.reader.budget().set_share(now, calls, ceiling);
        }
    }

    fn record_departure(&mut self, departure: &Departure) {
        let now = self.clock.now();
        let news = News {
            source: source(&departure.source),
            age: Span::from_millis(departure.age_ms),
        };
        for service in self.services.values_mut() {
            service.record_departure(now, departure.target, news);
        }
    }

    fn record_reports(&mut self, reports: &[Report]) {
        let now = self.clock.now();
        for service in self.services.values_mut() {
            for report in reports {
                let found = service.balancer.targets().iter();
                let key = found
                    .filter(|(_, target)| target.spec.address == report.target)
                    .map(|(key, _)| key)
                    .next();
                if let Some(key) = key {
                    let load = estimate::Report {
                        running: report.in_flight,
                        queued: 0,
                        slowdown_percent: None,
                    };
                    let age = Span::from_millis(report.age_ms);
                    service.balancer.record_peer_load(now, key, load, age);
                }
            }
        }
    }

    fn update_member_count(&mut self) {
        let now = self.clock.now();
        let members = self.gossip.fleet().iter();
        let alive = members.filter(|member| member.effective_state(now) == State::Alive);
        self.members_alive = (alive.count() as u64).max(1);
        self.update_quotas();
    }

    fn raise_incarnation(&mut self, incarnation: u64) {
        log::info!(incarnation; "incarnation raised above an earlier one");
        self.incarnation = incarnation;
        self.ledger = ticket::Ledger::new(&self.settings.vm, incarnation, LEDGER_CAPACITY);
    }

    fn step_reader(&mut self) {
        let now = self.clock.now();
        // A VM that makes no call while the store is away notices it by the age of its view. What lapsed
        // meanwhile then counts as lapsed in an outage, whoever reports it.
        if self.reader.is_view_old(now) {
            self.record_return();
        }
        let Some(step) = self.reader.step(now, self.gossip.fleet(), &mut self.rng) else {
            return;
        };
        let view_age_ms = self.reader.age(now).map(Span::as_millis);
        match step {
            Step::Open => {
                let cut_off = self.gossip.is_cut_off();
                let readers = self.settings.view.readers_per_data_center;
                let takes_over = !reader::is_designated(self.gossip.fleet(), readers);
                self.metrics.add(Count::Takeovers, u64::from(takes_over));
                log::info!(view_age_ms, cut_off, takes_over; "reading of the store starts");
            }
            Step::Close => log::info!(view_age_ms; "reading of the store ends"),
        }
        self.links.reading.send_replace(step == Step::Open);
    }
}

/// Bytes of the catalogue texts in `message`, as they are carried.
fn text_bytes(message: &Message) -> u64 {
    match message {
        Message::Entries(entries) => {
            let texts = entries.contents.iter().flat_map(|content| &content.text);
            texts.map(|text| text.len() as u64).sum()
        }
        Message::Part(part) => part.bytes.len() as u64,
        _ => 0,
    }
}

fn name(source: Source) -> &'static str {
    match source {
        Source::Drain => "drain",
        Source::Refused => "refused",
        Source::List => "list",
        Source::Removal => "removal",
    }
}

/// The source that a departure names; an unknown one, from a newer release, counts as a drain
/// announced by the target itself.
fn source(name: &str) -> Source {
    match name {
        "refused" => Source::Refused,
        "list" => Source::List,
        _ => Source::Drain,
    }
}
