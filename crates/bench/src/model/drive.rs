//! Connects the VMs of the model to the balancer under test: submits calls, carries out its
//! actions and reports answers, probes and deadlines back to it.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::PROBE_BYTES;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::balance::REFUSAL_BYTES;
use oriolecleat_core::balance::REPORT_BYTES;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

use super::policy;
use super::run::ATTEMPTS;
use super::run::Answer;
use super::run::Attempt;
use super::run::Event;
use super::run::Model;
use super::scenario::WARM_UP_US;

/// Bytes of a request on the wire.
const REQUEST_BYTES: u64 = 300;
/// Bytes of a request that a target sheds, with the answer.
const REFUSED_BYTES: u64 = REQUEST_BYTES + REFUSAL_BYTES;

fn call(request: usize) -> Call {
    Call(u64::try_from(request).unwrap_or(u64::MAX))
}

fn request(call: Call) -> usize {
    usize::try_from(call.0).unwrap_or(usize::MAX)
}

impl Model<'_> {
    /// Submits a call to the balancer of its VM.
    pub(super) fn submit(&mut self, now: u64, request: usize) {
        let details = self.requests[request];
        let job = Job {
            call: call(request),
            class: details.class,
            deadline: Instant::from_micros(details.at + self.plan.deadline),
            arrived: Instant::from_micros(now),
            objective: Span::ZERO,
            urgency: 0,
            avoid: None,
            entry: details.entry,
            hedge_percent: self.plan.hedge_percent,
            bytes: Some(REQUEST_BYTES),
            regions: Scope::ANY,
        };
        let vm = &mut self.vms[details.vm];
        if let Some(balancer) = &mut vm.balancer {
            balancer.arrive(Instant::from_micros(now), job, &mut vm.rng, &mut vm.actions);
        }
        self.apply_actions(now, details.vm);
    }

    pub(super) fn tick(&mut self, now: u64, index: usize) {
        let vm = &mut self.vms[index];
        if vm.tick.is_none_or(|due| due > now) {
            return;
        }
        vm.tick = None;
        if let Some(balancer) = &mut vm.balancer {
            balancer.tick(Instant::from_micros(now), &mut vm.rng, &mut vm.actions);
        }
        self.apply_actions(now, index);
    }

    /// Carries out the actions that the balancer of a VM asked for, and schedules its next tick.
    fn apply_actions(&mut self, now: u64, index: usize) {
        let actions = std::mem::take(&mut self.vms[index].actions);
        for action in actions {
            match action {
                Action::Assign {
                    call,
                    target,
                    queue,
                    report,
                } => self.forward(now, index, call, target, queue, report),
                Action::Hedge {
                    call,
                    target,
                    queue,
                    report,
                } => {
                    self.summary.hedges += 1;
                    self.forward(now, index, call, target, queue, report);
                }
                Action::Cancel { call, target } => {
                    let open = |attempt: &Attempt| {
                        attempt.open
                            && attempt.request == request(call)
                            && attempt.key == Some(target)
                    };
                    if let Some(attempt) = self.attempts.iter().rposition(open) {
                        self.cancel_attempt(now, attempt);
                    }
                }
                Action::Probe { target } => self.probe(now, index, target),
                Action::Refuse { call, .. } => self.refuse(now, request(call)),
            }
        }
        let vm = &mut self.vms[index];
        let Some(balancer) = &vm.balancer else {
            return;
        };
        let next = balancer.next_tick(Instant::from_micros(now));
        let next = next.map(Instant::as_micros);
        if let Some(next) = next
            && vm.tick.is_none_or(|due| due > next)
        {
            vm.tick = Some(next);
            self.schedule(next, Event::Tick(index));
        }
    }

    fn forward(
        &mut self,
        now: u64,
        vm: usize,
        call: Call,
        key: target::Key,
        queue: Span,
        report: bool,
    ) {
        let Some(balancer) = &self.vms[vm].balancer else {
            return;
        };
        let Some(target) = balancer.targets().get(key) else {
            return;
        };
        let target = policy::index(&target.spec.name);
        let queue = queue.as_micros();
        self.send(now, request(call), target, Some(key), queue, report);
    }

    fn probe(&mut self, now: u64, vm: usize, key: target::Key) {
        let Some(balancer) = &self.vms[vm].balancer else {
            return;
        };
        let Some(target) = balancer.targets().get(key) else {
            return;
        };
        let target = policy::index(&target.spec.name);
        let delay = self
            .world
            .delay(self.world.vms[vm], self.world.targets[target]);
        self.count_measuring(
            now,
            PROBE_BYTES,
            self.world.vms[vm].region != self.world.targets[target].region,
        );
        self.schedule(
            now + 2 * delay + self.world.probe,
            Event::ProbeAnswer(vm, target),
        );
    }

    pub(super) fn record_probe(&mut self, vm: usize, target: usize) {
        if let Some(balancer) = &mut self.vms[vm].balancer {
            let has_index = |(_, known): &(target::Key, &target::Target)| {
                policy::index(&known.spec.name) == target
            };
            let found = balancer
                .targets()
                .iter()
                .find(has_index)
                .map(|(key, _)| key);
            if let Some(key) = found {
                balancer.record_probe(key, true);
            }
        }
    }

    fn refuse(&mut self, now: u64, request: usize) {
        if std::mem::replace(&mut self.progress[request].over, true) {
            return;
        }
        let details = self.requests[request];
        if details.arrived_at >= WARM_UP_US {
            let entry = usize::try_from(details.entry).unwrap_or(0);
            self.summary.record_refusal(now - details.at);
            self.entries[entry].record_refusal(now - details.at);
        }
    }

    /// Counts bytes spent on measuring; bytes between regions count twice.
    fn count_measuring(&mut self, now: u64, bytes: u64, remote: bool) {
        if now >= WARM_UP_US {
            self.summary.measuring += if remote { 2 * bytes } else { bytes };
            self.summary.cross_region += if remote { bytes } else { 0 };
        }
    }

    /// Handles the answer of an attempt when it arrives at its VM.
    pub(super) fn receive_reply(&mut self, now: u64, attempt: usize, answer: Answer) {
        let Attempt {
            request,
            target,
            key,
            wants_report,
            report,
            open,
            sent,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        self.attempts[attempt].open = false;
        let remote = self.is_remote(attempt);
        let index = self.requests[request].vm;
        self.vms[index].in_flight[target] = self.vms[index].in_flight[target].saturating_sub(1);
        if answer == Answer::Shed {
            self.summary.shed_attempts += 1;
            self.count_measuring(now, REFUSED_BYTES, remote);
        } else if wants_report {
            self.count_measuring(now, REPORT_BYTES, remote);
        }
        let time = Instant::from_micros(now);
        let latency = Span::from_micros(now - sent);
        let ending = match answer {
            Answer::Good => Ending::Answered {
                latency,
                failed: false,
            },
            Answer::Failed => Ending::Answered {
                latency,
                failed: true,
            },
            Answer::Shed => Ending::Shed {
                bytes: REFUSED_BYTES,
            },
        };
        let vm = &mut self.vms[index];
        let mut outcome = Progress::Done;
        if let (Some(balancer), Some(key)) = (&mut vm.balancer, key) {
            if wants_report || answer == Answer::Shed {
                let age = balancer
                    .targets()
                    .get(key)
                    .map_or(Span::ZERO, |_| Span::ZERO);
                balancer.record_report(time, key, report, age);
            }
            let (rng, actions) = (&mut vm.rng, &mut vm.actions);
            outcome = balancer.finish(time, call(request), key, ending, rng, actions);
        }
        if outcome == Progress::Done {
            self.retry_or_conclude(now, request, answer);
        }
        self.apply_actions(now, index);
    }

    fn retry_or_conclude(&mut self, now: u64, request: usize, answer: Answer) {
        let progress = self.progress[request];
        if progress.over {
            return;
        }
        if answer == Answer::Failed && progress.attempts < ATTEMPTS {
            self.dispatch(now, request);
        } else {
            self.conclude(now, request, answer == Answer::Good);
        }
    }

    /// Ends a call whose deadline has passed, and cancels its attempt.
    pub(super) fn expire(&mut self, now: u64, request: usize) {
        if self.progress[request].over {
            return;
        }
        let index = self.requests[request].vm;
        let vm = &mut self.vms[index];
        if let Some(balancer) = &mut vm.balancer {
            balancer.withdraw(Instant::from_micros(now), call(request), &mut vm.actions);
        } else {
            let is_open =
                |(_, attempt): &(usize, &Attempt)| attempt.open && attempt.request == request;
            let found = self.attempts.iter().enumerate().rev().find(is_open);
            if let Some((attempt, _)) = found {
                self.cancel_attempt(now, attempt);
            }
        }
        self.conclude(now, request, false);
        self.apply_actions(now, index);
    }
}
