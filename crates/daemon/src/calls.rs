//! Passes calls and their results from the request path to the balancers, and decisions back.

use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::HeaderMap;
use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::leaving::Probe;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

use crate::metrics::Count;
use crate::node::Node;
use crate::probe;
use crate::service;
use crate::service::Decision;
use crate::service::Grant;
use crate::service::Mailbox;

impl Node {
    /// Returns the id of a new call.
    pub(crate) fn new_call(&mut self) -> Call {
        self.next_call += 1;
        Call(self.next_call)
    }

    /// Submits a call to the balancer of `service`; [`Node::poll_decision`] gives the decisions.
    pub(crate) fn submit(&mut self, service: service::Key, job: Job) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        if let Some(found) = self.services.get_mut(service) {
            self.calls.insert(job.call, Mailbox::default());
            found.update_standings(now);
            found.balancer.submit(now, job, &mut self.rng, &mut actions);
            if found.balancer.waiting() > 0 {
                self.timer.notify_one();
            }
        }
        self.perform(service, &actions);
    }

    /// Polls for the next decision on `call`.
    pub(crate) fn poll_decision(
        &mut self,
        call: Call,
        context: &mut Context<'_>,
    ) -> Poll<Decision> {
        let Some(mailbox) = self.calls.get_mut(&call) else {
            return Poll::Pending;
        };
        if let Some(decision) = mailbox.decisions.pop_front() {
            return Poll::Ready(decision);
        }
        mailbox.waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Reports the end of an attempt to the balancer and removes the call if it is done.
    pub(crate) fn finish(
        &mut self,
        service: service::Key,
        call: Call,
        target: target::Key,
        ending: Ending,
    ) -> Progress {
        let now = self.clock.now();
        match ending {
            Ending::Answered { latency, .. } => self.metrics.record(latency),
            Ending::Shed { .. } => self.metrics.add(Count::Sheds, 1),
            Ending::Broken { .. } | Ending::Cancelled => {}
        }
        let Some(found) = self.services.get_mut(service) else {
            return Progress::Done;
        };
        let mut actions = Vec::new();
        found.update_standings(now);
        let progress =
            found
                .balancer
                .finish(now, call, target, ending, &mut self.rng, &mut actions);
        if progress == Progress::Done {
            self.calls.remove(&call);
        }
        self.perform(service, &actions);
        progress
    }

    /// Records the load and the drain mark in the head of an answer to a request sent at `sent`.
    pub(crate) fn record_head(
        &mut self,
        service: service::Key,
        target: target::Key,
        sent: Instant,
        headers: &HeaderMap,
    ) {
        let now = self.clock.now();
        let Some(found) = self.services.get_mut(service) else {
            return;
        };
        let dialect = Rc::clone(&self.dialect);
        if let Some(report) = (dialect.load)(headers) {
            found.balancer.record_report(now, target, report);
        }
        let draining = dialect.own && headers.contains_key("oriolecleat-drain");
        if found.record_answer(now, target, sent, draining) {
            self.record_leaving(service, target, "drain header on an answer");
        }
    }

    /// Records that the store of the platform is back after an outage.
    pub(crate) fn record_return(&mut self) {
        let now = self.clock.now();
        if let Some(hosted) = &mut self.hosted {
            hosted.registry.record_return(now);
        }
    }

    /// Path at which the targets of the service report their load.
    pub(crate) fn health_path(&self, service: service::Key) -> Box<str> {
        let plan = self.hosted.as_ref().and_then(|hosted| hosted.plan.as_ref());
        let name = self.services.get(service).map(|found| &found.name);
        let mut services = plan.into_iter().flat_map(|plan| &plan.services);
        services
            .find(|known| Some(&known.name) == name)
            .map_or_else(|| "/".into(), |known| known.health_path.clone())
    }

    /// Counts a new request in the repeat budget of the service.
    pub(crate) fn record_request(&mut self, service: service::Key) {
        let now = self.clock.now();
        if let (Some(hosted), Some(found)) = (&mut self.hosted, self.services.get(service)) {
            hosted.repeats(&found.name).record_request(now);
        }
    }

    /// Takes one repeat of the request `id` from the budget that a service has on a platform; false if
    /// none is left. Without a platform there is no such budget.
    pub(crate) fn take_repeat(&mut self, service: service::Key, id: &str) -> bool {
        let now = self.clock.now();
        let Some(found) = self.services.get(service) else {
            return false;
        };
        let Some(hosted) = &mut self.hosted else {
            return true;
        };
        let budget = hosted.repeats(&found.name);
        let taken = budget.take(now);
        if taken {
            self.metrics.add(Count::Repeats, 1);
        } else {
            let (requests, repeats) = budget.counts(now);
            log::info!(
                id, service = &*found.name, requests, repeats;
                "no repeat: the budget of the service is used up"
            );
            self.metrics.add(Count::RepeatsRefused, 1);
        }
        taken
    }

    /// Records that another target has the address of `target`.
    pub(crate) fn record_misdirection(&mut self, service: service::Key, target: target::Key) {
        // The target has left, as one has that refuses connections.
        self.record_refused_connection(service, target);
    }

    /// Records that the target refused a connection.
    pub(crate) fn record_refused_connection(&mut self, service: service::Key, target: target::Key) {
        let now = self.clock.now();
        let found = self.services.get_mut(service);
        if found.is_some_and(|found| found.record_refused_connection(now, target)) {
            self.record_leaving(service, target, "connection refused");
        }
    }

    /// Logs that a target is leaving and notes it for the peers.
    pub(crate) fn record_leaving(
        &mut self,
        service: service::Key,
        target: target::Key,
        cause: &str,
    ) {
        if let Some(found) = self.services.get(service)
            && let Some(target) = found.balancer.targets().get(target)
        {
            let target = &*target.spec.name;
            log::info!(service = &*found.name, target, cause; "target is leaving");
        }
        self.note_departure(service, target);
    }

    /// Withdraws a call, whether it waits or runs.
    pub(crate) fn withdraw(&mut self, service: service::Key, call: Call) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        if let Some(found) = self.services.get_mut(service) {
            found.balancer.withdraw(now, call, &mut actions);
        }
        self.calls.remove(&call);
        self.perform(service, &actions);
    }

    /// Ticks each balancer that needs a tick; returns when the next one is due at the latest.
    pub(crate) fn tick(&mut self) -> Option<Instant> {
        let now = self.clock.now();
        let keys: Vec<service::Key> = self.services.keys().collect();
        let mut next: Option<Instant> = None;
        for key in keys {
            let mut actions = Vec::new();
            if let Some(found) = self.services.get_mut(key)
                && found.balancer.next_tick(now).is_some()
            {
                found.update_standings(now);
                found.balancer.tick(now, &mut self.rng, &mut actions);
                let own = found.balancer.next_tick(now);
                next = next.into_iter().chain(own).min();
            }
            self.perform(key, &actions);
        }
        next
    }

    /// Carries out the actions of a balancer.
    fn perform(&mut self, service: service::Key, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Assign {
                    call,
                    target,
                    queue,
                    report,
                } => {
                    self.grant(service, call, target, queue, report, Decision::Send);
                }
                Action::Hedge {
                    call,
                    target,
                    queue,
                    report,
                } => {
                    self.metrics.add(Count::Hedges, 1);
                    self.grant(service, call, target, queue, report, Decision::Hedge);
                }
                Action::Cancel { call, target } => self.notify(call, Decision::Cancel(target)),
                Action::Refuse { call, reason } => self.notify(call, Decision::Refuse(reason)),
                Action::Probe { target } => self.order_probe(service, target),
            }
        }
    }

    /// Passes the choice of a target on to the call.
    fn grant(
        &mut self,
        service: service::Key,
        call: Call,
        target: target::Key,
        queue: Span,
        report: bool,
        decision: fn(Grant) -> Decision,
    ) {
        let spec = self
            .services
            .get(service)
            .and_then(|found| found.balancer.targets().get(target));
        if let Some(spec) = spec.map(|target| &target.spec) {
            let remote = spec.region != self.settings.region;
            let address = spec.address;
            self.notify(
                call,
                decision(Grant {
                    target,
                    name: spec.name.clone(),
                    address,
                    queue,
                    report,
                    remote,
                }),
            );
        }
    }

    fn notify(&mut self, call: Call, decision: Decision) {
        if let Some(mailbox) = self.calls.get_mut(&call) {
            mailbox.push(decision);
        }
    }

    fn order_probe(&mut self, service: service::Key, target: target::Key) {
        let spec = self
            .services
            .get(service)
            .and_then(|found| found.balancer.targets().get(target));
        if let Some(spec) = spec {
            log::debug!(target = &*spec.spec.name; "probing a target");
            self.metrics.add(Count::Probes, 1);
            let address = spec.spec.address;
            // The receiver lives as long as the process.
            let _ = self.probes.send(probe::Order {
                service,
                target,
                address,
            });
        }
    }

    /// Records that a target states that it is cold for `left`.
    pub(crate) fn record_cold(&mut self, order: probe::Order, left: Span) {
        let now = self.clock.now();
        if let Some(found) = self.services.get_mut(order.service) {
            found.balancer.record_cold(now, order.target, left);
        }
    }

    /// Records the result of a load probe of a platform's target: its report, or none if the probe
    /// failed or timed out.
    pub(crate) fn record_load_probe(&mut self, order: probe::Order, report: Option<Report>) {
        let now = self.clock.now();
        let Some(found) = self.services.get_mut(order.service) else {
            return;
        };
        let mut actions = Vec::new();
        found
            .balancer
            .record_load_probe(now, order.target, report, &mut self.rng, &mut actions);
        self.perform(order.service, &actions);
    }

    /// Records the result of a health probe sent at `sent`.
    pub(crate) fn record_probe(&mut self, order: probe::Order, sent: Instant, result: Probe) {
        let now = self.clock.now();
        let Some(found) = self.services.get_mut(order.service) else {
            return;
        };
        let news = found.record_probe(now, order.target, sent, result);
        found.update_standings(now);
        let mut actions = Vec::new();
        found.balancer.tick(now, &mut self.rng, &mut actions);
        self.perform(order.service, &actions);
        if news {
            self.record_leaving(order.service, order.target, "probe");
        }
    }
}
