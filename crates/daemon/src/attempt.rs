//! A call in the balancer and its attempts at targets.

use std::cell::Cell;
use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::balance::Refusal;
use oriolecleat_core::entry::Class;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::stated::Statement;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

use crate::node::Shared;
use crate::service;
use crate::service::Decision;
use crate::service::Grant;

/// Handle of a request's call in the balancer. The call is withdrawn when the handle is dropped.
pub(crate) struct Handle {
    node: Shared,
    service: service::Key,
    job: Job,
    id: HeaderValue,
    /// Whether the balancer still has the call.
    open: bool,
    /// Target of the newest attempt.
    last: Cell<Option<target::Key>>,
}

impl Handle {
    /// Submits a call to the balancer.
    pub(crate) fn new(node: &Shared, service: service::Key, job: Job, id: HeaderValue) -> Self {
        node.borrow_mut().submit(service, job.clone());
        Self {
            node: node.clone(),
            service,
            job,
            id,
            open: true,
            last: Cell::new(None),
        }
    }

    /// Id of the request.
    pub(crate) fn id(&self) -> &str {
        self.id.to_str().unwrap_or_default()
    }

    /// Header value of the id of the request.
    pub(crate) fn id_value(&self) -> HeaderValue {
        self.id.clone()
    }

    /// Class of the request.
    pub(crate) fn class(&self) -> Class {
        self.job.class
    }

    /// When the request arrived at this VM.
    pub(crate) fn arrived(&self) -> Instant {
        self.job.arrived
    }

    /// Marks the call as finished in the balancer, so that it is not withdrawn.
    pub(crate) fn mark_finished(&mut self) {
        self.open = false;
    }

    /// Replaces the regions that the request may reach when it is submitted again.
    pub(crate) fn set_regions(&mut self, regions: Scope) {
        self.job.regions = regions;
    }

    /// Submits the request as a new call that avoids the target of the newest attempt.
    pub(crate) fn resubmit(&mut self) {
        self.withdraw();
        let mut node = self.node.borrow_mut();
        self.job.call = node.new_call();
        self.job.avoid = self.last.get();
        node.submit(self.service, self.job.clone());
        self.open = true;
    }

    /// Polls for the next decision of the balancer.
    pub(crate) fn poll_decision(&self, context: &mut Context<'_>) -> Poll<Decision> {
        let mut node = self.node.borrow_mut();
        node.poll_decision(self.job.call, context)
    }

    /// Waits until the balancer grants a target or refuses the call.
    pub(crate) async fn wait_for_grant(&self) -> Result<Grant, Refusal> {
        loop {
            match poll_fn(|context| self.poll_decision(context)).await {
                Decision::Send(grant) => return Ok(grant),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Hedge(grant) => drop(self.start_attempt(grant.target)),
                Decision::Cancel(target) => log::debug!(target:? = target; "no copy to cancel"),
            }
        }
    }

    /// Starts an attempt at a target that the balancer granted.
    pub(crate) fn start_attempt(&self, target: target::Key) -> Attempt {
        let started = self.node.borrow().clock.now();
        self.last.set(Some(target));
        Attempt {
            node: self.node.clone(),
            service: self.service,
            call: self.job.call,
            target,
            started,
            head_latency: Cell::new(Span::ZERO),
            open: true,
        }
    }

    fn withdraw(&mut self) {
        if std::mem::replace(&mut self.open, false) {
            self.node.borrow_mut().withdraw(self.service, self.job.call);
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.withdraw();
    }
}

/// One attempt at a target. An attempt that is dropped before it ended counts as cancelled.
pub(crate) struct Attempt {
    node: Shared,
    service: service::Key,
    call: Call,
    target: target::Key,
    started: Instant,
    /// Time from the choice of the target to the head of its answer.
    head_latency: Cell<Span>,
    /// Whether the end of the attempt has yet to be reported to the balancer.
    open: bool,
}

impl Attempt {
    pub(crate) fn target(&self) -> target::Key {
        self.target
    }

    /// Time since the choice of the target.
    pub(crate) fn elapsed(&self) -> Span {
        self.node.borrow().clock.now().since(self.started)
    }

    /// Records that the head of the answer arrived, and the load in its headers.
    pub(crate) fn record_head(&self, headers: &HeaderMap) {
        let mut node = self.node.borrow_mut();
        self.head_latency.set(node.clock.now().since(self.started));
        node.record_head(self.service, self.target, self.started, headers);
    }

    /// Records what the target states of itself in its answer to the request `id`.
    pub(crate) fn record_statement(&self, id: &str, statement: Statement) {
        let mut node = self.node.borrow_mut();
        node.record_statement(self.service, self.target, self.started, id, statement);
    }

    /// Records the time spent inside this VM on a request whose head was read at `arrived` and
    /// whose whole answer was passed on.
    pub(crate) fn record_delivery(&self, arrived: Instant) {
        let mut node = self.node.borrow_mut();
        let total = node.clock.now().since(arrived);
        node.metrics
            .record_inside(total.saturating_sub(self.head_latency.get()));
    }

    /// Counts the bytes that the exchange carried in both directions.
    pub(crate) fn record_bytes(&self, bytes: u64) {
        let mut node = self.node.borrow_mut();
        let now = node.clock.now();
        if let Some(found) = node.services.get_mut(self.service) {
            found
                .balancer
                .record_bytes(now, self.call, self.target, bytes);
        }
    }

    /// Ends the attempt after the whole answer was read; `failed` if it is a server error.
    pub(crate) fn end_answered(self, failed: bool) -> Progress {
        let latency = self.node.borrow().clock.now().since(self.started);
        self.end(Ending::Answered { latency, failed })
    }

    /// Ends the attempt.
    pub(crate) fn end(mut self, ending: Ending) -> Progress {
        self.finish(ending)
    }

    /// Drops an attempt that the balancer ended itself, without a report to it.
    pub(crate) fn forget(mut self) {
        self.open = false;
    }

    fn finish(&mut self, ending: Ending) -> Progress {
        if !std::mem::replace(&mut self.open, false) {
            return Progress::Done;
        }
        let mut node = self.node.borrow_mut();
        node.finish(self.service, self.call, self.target, ending)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(Ending::Cancelled);
    }
}
