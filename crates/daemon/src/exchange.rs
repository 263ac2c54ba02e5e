//! Sends an admitted request to targets until the head of an answer arrives or the request ends.

use std::fmt;
use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::time::Duration;

use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::entry::Class;
use oriolecleat_core::request::Admitted;
use oriolecleat_core::request::Assigned;
use oriolecleat_core::request::Code;
use oriolecleat_core::request::Failure;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::request::Sent;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use tokio::time::Sleep;

use crate::attempt::Handle;
use crate::clock;
use crate::gather::Answer;
use crate::gather::Buffering;
use crate::head::Outgoing;
use crate::metrics::Count;
use crate::node::Node;
use crate::node::Shared;
use crate::pool::Bounds;
use crate::pool::Checkout;
use crate::pool::Connection;
use crate::quota;
use crate::race::Conclusion;
use crate::race::Dispatch;
use crate::region::Origin;
use crate::service;
use crate::service::Grant;
use crate::ticketed;
use crate::upload;

/// Lower bound on the limit of this VM's connections to one target, per slot of the target.
const CONNECTIONS_PER_SLOT: u64 = 2;

/// Why there is no connection to a target.
#[derive(Debug)]
pub(crate) enum Unconnected {
    /// This VM has reached its limit on connections to the target.
    Full,
    /// The deadline passed.
    Deadline,
    /// The connection attempt failed or timed out.
    Failed(std::io::Error),
    /// The target may not get the request any more.
    Unfit,
}

impl fmt::Display for Unconnected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => formatter
                .write_str("the limit on connections to the target is reached and none is idle"),
            Self::Deadline => formatter
                .write_str("the deadline of the request passed before the connection was open"),
            Self::Failed(error) => error.fmt(formatter),
            Self::Unfit => formatter.write_str("the target may not get the request any more"),
        }
    }
}

impl Node {
    /// Bounds on the connections of this VM to `target` for calls of `class`.
    pub(crate) fn bounds(
        &self,
        service: service::Key,
        target: target::Key,
        class: Class,
    ) -> Bounds {
        let found = self.services.get(service);
        let target = found.and_then(|found| found.balancer.targets().get(target));
        let slots = target.map_or(1, |target| target.spec.slots);
        let http = &self.settings.http;
        let share = http.connections_per_target / self.vm_ceiling();
        let connections = share.max(CONNECTIONS_PER_SLOT * slots);
        Bounds {
            head: usize::try_from(http.head_bytes).unwrap_or(usize::MAX),
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            // An idempotent request can be retried, so it may use a connection that was idle for
            // longer; its result shows whether targets drop idle connections.
            idle: (class == Class::Once).then(|| self.idle_limit.get(self.clock.now())),
            only_new: false,
        }
    }
}

/// A request from its admission to the head of its answer.
pub(crate) struct Exchange {
    pub(crate) node: Shared,
    pub(crate) service: service::Key,
    pub(crate) quota: quota::Key,
    pub(crate) call: Handle,
    pub(crate) outgoing: Outgoing,
    pub(crate) origin: Origin,
    pub(crate) body: upload::Shared,
    pub(crate) ticket: ticketed::Guard,
    /// When the caller stops waiting, on the clock of the node.
    pub(crate) deadline: Instant,
    /// Fires at `deadline`.
    pub(crate) deadline_timer: Pin<Box<Sleep>>,
    /// Targets that refused the request. A faulty one may write its refusal again on the connection,
    /// where it would be taken for the answer to the same request.
    pub(crate) refused_by: Vec<target::Key>,
}

impl Exchange {
    /// Sends the request, again where that is allowed, until there is an answer. The error tells
    /// how the request ended without one.
    pub(crate) async fn run(&mut self, admitted: Admitted) -> Result<(Answer, Outcome), Failure> {
        let mut admitted = admitted;
        loop {
            let (assigned, grant) = self.assign(admitted).await?;
            let attempt = self.call.start_attempt(grant.target);
            let connection = match self.connect(&grant).await {
                Ok(connection) => connection,
                Err(unconnected) => {
                    log::info!(cause:% = unconnected, id = self.call.id(); "attempt not sent");
                    let code = match unconnected {
                        Unconnected::Full => return Err(assigned.refuse(Code::Overloaded)),
                        Unconnected::Deadline => return Err(assigned.refuse(Code::Deadline)),
                        Unconnected::Unfit => Code::NoTarget,
                        Unconnected::Failed(error) => {
                            if error.kind() == ErrorKind::ConnectionRefused {
                                self.node
                                    .borrow_mut()
                                    .record_refused_connection(self.service, grant.target);
                            }
                            Code::TargetFailed
                        }
                    };
                    admitted = assigned.requeue(code)?;
                    let progress = attempt.end(Ending::Broken { written: false });
                    self.requeue(progress);
                    continue;
                }
            };
            // The evidence may have become too old, or another plan come into force, while the
            // request waited or the connection was opened.
            if !self.is_fit(grant.target) {
                admitted = assigned.requeue(Code::NoTarget)?;
                let progress = attempt.end(Ending::Cancelled);
                self.requeue(progress);
                continue;
            }
            let now = self.node.borrow().clock.now();
            let number = assigned.attempt();
            let left = self.deadline.since(now);
            let request = self.outgoing.request(&grant, number, left, &self.body);
            let mut sent = assigned.write(now)?;
            self.log_sent(&grant, number, left);
            self.ticket.mark_written();
            let copy = Dispatch::new(attempt, connection, request);
            let conclusion = self.race(copy, || allow_copy(&mut sent)).await;
            admitted = match conclusion {
                Conclusion::Answer(reply) => {
                    if self.retries_errors() && reply.is_error() && self.can_retry(&sent) {
                        reply.attempt.end_answered(true);
                        self.retry(sent, Code::TargetFailed)?
                    } else {
                        match self.buffer(*reply).await {
                            Buffering::Answer(answer) => {
                                return Ok((answer, sent.answer().outcome()));
                            }
                            Buffering::Truncated if self.retries_errors() => {
                                self.retry(sent, Code::TargetBadAnswer)?
                            }
                            Buffering::Truncated => return Err(sent.discard(Code::TargetBadAnswer)),
                            Buffering::Deadline => return Err(sent.fail(Code::Deadline)),
                        }
                    }
                }
                Conclusion::Shed(shed, progress) => {
                    self.ticket.mark_shed();
                    self.refused_by.push(grant.target);
                    let admitted = sent.shed(shed, self.body.is_replayable())?;
                    if !self.take_repeat() {
                        return Err(admitted.refuse(Code::Overloaded));
                    }
                    self.requeue(progress);
                    admitted
                }
                Conclusion::Failed(code) => self.retry(sent, code)?,
                Conclusion::Discarded(code) if self.retries_errors() => self.retry(sent, code)?,
                Conclusion::Discarded(code) => return Err(sent.discard(code)),
                Conclusion::Deadline => return Err(sent.fail(Code::Deadline)),
            };
        }
    }

    /// Logs the target of the request and the data on which the choice is based.
    fn log_sent(&self, grant: &Grant, attempt: u64, left: Span) {
        let node = self.node.borrow();
        let Some(found) = node.services.get(self.service) else {
            return;
        };
        let Some(state) = found.balancer.target_state(node.clock.now(), grant.target) else {
            return;
        };
        let plan = node.hosted.as_ref().and_then(|hosted| hosted.plan.as_ref());
        log::info!(
            id = self.call.id(),
            service = &*found.name,
            target = &*grant.name,
            attempt,
            left_ms = left.as_millis(),
            load = state.load,
            slowness = state.slowdown,
            failing = state.failure_share,
            report_age_ms = state.report_age.map(Span::as_millis),
            plan = plan.map(|plan| plan.version);
            "request sent"
        );
    }

    /// Logs the status that the caller gets, if a platform hosts the fleet.
    pub(crate) fn log_answer(&self, status: u16) {
        let node = self.node.borrow();
        if node.hosted.is_some() {
            let took = node.clock.now().since(self.call.arrived());
            log::info!(id = self.call.id(), status, took_ms = took.as_millis(); "request answered");
        }
    }

    /// Waits until the balancer assigns a target.
    async fn assign(&mut self, admitted: Admitted) -> Result<(Assigned, Grant), Failure> {
        let granted = tokio::select! {
            biased;
            granted = self.call.wait_for_grant() => granted.map_err(Code::from),
            () = self.deadline_timer.as_mut() => Err(Code::Deadline),
        };
        match granted {
            Ok(grant) => {
                let now = self.node.borrow().clock.now();
                match admitted.assign(now) {
                    Ok(assigned) => Ok((assigned, grant)),
                    Err(failure) => {
                        drop(self.call.start_attempt(grant.target));
                        Err(failure)
                    }
                }
            }
            Err(code) => Err(admitted.refuse(code)),
        }
    }

    /// Puts a sent request back into the queue for a retry, if its terms and the retry budget allow
    /// one.
    fn retry(&mut self, sent: Sent, code: Code) -> Result<Admitted, Failure> {
        match sent {
            Sent::Once(written) => Err(written.fail(code)),
            Sent::Idempotent(written) => {
                // The budget is checked last, so that only retries that are made use it up.
                let allowed = self.body.is_replayable() && written.may_retry() && self.take_retry();
                let admitted = written.retry(code, allowed)?;
                self.node.borrow_mut().metrics.add(Count::Retries, 1);
                self.resubmit();
                Ok(admitted)
            }
        }
    }

    /// Takes one retry from the budget; false if none is left.
    fn take_retry(&self) -> bool {
        if self.node.borrow().hosted.is_some() {
            return self.take_repeat();
        }
        let mut node = self.node.borrow_mut();
        let quota = node.quotas.get_mut(self.quota);
        quota.is_some_and(|quota| quota.retry.take())
    }

    /// Takes one repeat from the budget of the service; false if none is left.
    pub(crate) fn take_repeat(&self) -> bool {
        let mut node = self.node.borrow_mut();
        node.take_repeat(self.service, self.call.id())
    }

    /// Whether server errors and bad answers of targets are retried. With the product's own targets
    /// they are not: such a target answers an error only where another target would, too.
    fn retries_errors(&self) -> bool {
        self.node.borrow().hosted.is_some()
    }

    /// Whether the terms and the body allow another attempt.
    fn can_retry(&self, sent: &Sent) -> bool {
        match sent {
            Sent::Once(_) => false,
            Sent::Idempotent(written) => written.may_retry() && self.body.is_replayable(),
        }
    }

    /// Submits the request to the balancer again. If `progress` is pending, the balancer still has
    /// it.
    fn requeue(&mut self, progress: Progress) {
        if progress == Progress::Done {
            self.resubmit();
        }
    }

    /// Submits the request to the balancer again, for the regions of the plan in force.
    fn resubmit(&mut self) {
        self.node.borrow().update_origin(&mut self.origin);
        self.call.set_regions(self.origin.regions.clone());
        self.call.resubmit();
    }

    /// Whether the target may get the request now.
    fn is_fit(&mut self, target: target::Key) -> bool {
        let node = self.node.borrow();
        node.is_fit(self.service, target, &mut self.origin)
    }

    /// Takes an idle connection to a target or opens a new one.
    pub(crate) fn connect(
        &self,
        grant: &Grant,
    ) -> impl Future<Output = Result<Connection, Unconnected>> + use<> {
        let (checkout, limit, left) = {
            let mut node = self.node.borrow_mut();
            let mut bounds = node.bounds(self.service, grant.target, self.call.class());
            bounds.only_new = self.refused_by.contains(&grant.target);
            let limit = node.settings.http.connect_timeout;
            let checkout = node.pool.take(grant.address, bounds);
            (checkout, limit, self.deadline.since(node.clock.now()))
        };
        async move {
            let permit = match checkout {
                Checkout::Idle(connection) => return Ok(connection),
                Checkout::Full => return Err(Unconnected::Full),
                Checkout::New(permit) => permit,
            };
            let wait = clock::duration(limit.min(left));
            match tokio::time::timeout(wait, permit.open()).await {
                Ok(Ok(connection)) => Ok(connection),
                Ok(Err(error)) => Err(Unconnected::Failed(error)),
                Err(_) if left <= limit => Err(Unconnected::Deadline),
                Err(elapsed) => Err(Unconnected::Failed(elapsed.into())),
            }
        }
    }

    /// Time until the caller stops waiting.
    pub(crate) fn remaining(&self) -> Span {
        self.deadline.since(self.node.borrow().clock.now())
    }

    /// Longest pause between two parts of a body.
    pub(crate) fn body_idle(&self) -> Duration {
        clock::duration(self.node.borrow().settings.http.body_idle)
    }
}

/// Takes permission to send a second copy of a written request; false if there is none.
fn allow_copy(sent: &mut Sent) -> bool {
    match sent {
        Sent::Once(_) => false,
        Sent::Idempotent(written) => written.permit_copy(),
    }
}
