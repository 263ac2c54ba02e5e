//! Discrete-event simulation of the VMs, the targets and the network between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Balancer;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::policy;
use super::policy::Policy;
use super::scenario::WARM_UP_US;
use super::server::Admission;
use super::server::Server;
use super::summary::Summary;
use super::work::Plan;
use super::work::Request;
use super::world::World;

/// Requests that a target runs slowly after a cold start.
const COLD_REQUESTS: u32 = 40;
/// How many times slower a cold target runs them.
const COLD_FACTOR: u64 = 4;
/// Time that a failing target takes for an error, in microseconds.
const ERROR_LATENCY_US: u64 = 1_000;
/// Most attempts for a call that a target answers with an error.
pub(super) const ATTEMPTS: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize),
    ReachTarget(usize),
    Complete(usize),
    QueueTimeout(usize),
    Reply(usize, Answer),
    Cancel(usize),
    ProbeAnswer(usize, usize),
    Deadline(usize),
    Tick(usize),
    ShareReports,
    ReplaceTarget(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Answer {
    Good,
    Failed,
    Shed,
}

/// One attempt of a request: from the VM to a target, in the target, and back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) target: usize,
    pub(super) key: Option<target::Key>,
    /// Longest wait in the target's queue, in microseconds.
    pub(super) max_wait_us: u64,
    /// Whether the answer carries a load report.
    pub(super) wants_report: bool,
    pub(super) report: Report,
    pub(super) open: bool,
    pub(super) sent: u64,
}

/// One VM.
pub(super) struct Vm {
    pub(super) balancer: Option<Balancer>,
    /// Requests of this VM in flight to each target.
    pub(super) in_flight: Vec<u32>,
    /// When the balancer's next tick is due.
    pub(super) tick: Option<u64>,
    pub(super) rng: SmallRng,
    pub(super) actions: Vec<Action>,
}

/// State of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Whether the call has a result.
    pub(super) over: bool,
    pub(super) attempts: u8,
}

pub(super) struct Model<'run> {
    pub(super) world: &'run World,
    pub(super) plan: &'run Plan,
    pub(super) policy: Policy,
    pub(super) requests: &'run [Request],
    pub(super) progress: Vec<Progress>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) vms: Vec<Vm>,
    pub(super) summary: Summary,
    pub(super) entries: Vec<Summary>,
    servers: Vec<Server>,
    /// Replacements of each target so far.
    generations: Vec<u32>,
    /// Reports that the comparison policies see on every VM.
    shared_reports: Vec<Report>,
    /// The last report of each target before the reports froze.
    last_reports: Vec<Report>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
}

/// Runs `policy` over `requests`; returns the results over all entries and of each entry.
#[must_use]
pub fn run(
    world: &World,
    plan: &Plan,
    policy: Policy,
    requests: &[Request],
) -> (Summary, Vec<Summary>) {
    let mut model = Model::new(world, plan, policy, requests);
    for (index, request) in requests.iter().enumerate() {
        model.schedule(request.at, Event::Arrive(index));
    }
    for (at, target) in plan.scenario.replacements(plan.end, world.targets.len()) {
        model.schedule(at, Event::ReplaceTarget(target));
    }
    model.schedule(0, Event::ShareReports);
    // After the last arrival, requests in progress get twice the deadline to finish.
    let end = plan.end + 2 * plan.deadline;
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        if at > end {
            break;
        }
        model.step(at, event);
    }
    (model.summary, model.entries)
}

impl<'run> Model<'run> {
    fn new(
        world: &'run World,
        plan: &'run Plan,
        policy: Policy,
        requests: &'run [Request],
    ) -> Self {
        let targets = world.targets.len();
        let vm = |index: usize| {
            let mut balancer =
                (policy == Policy::Ours).then(|| policy::balancer(world, plan, index));
            if let Some(balancer) = &mut balancer {
                let specs = world.specs(&vec![0; targets]);
                balancer.update(Instant::from_micros(0), &specs);
                policy::record_round_trips(world, index, balancer);
            }
            Vm {
                balancer,
                in_flight: vec![0; targets],
                tick: None,
                rng: SmallRng::seed_from_u64(plan.seed + u64::try_from(index).unwrap_or(0)),
                actions: Vec::new(),
            }
        };
        let entries = plan.streams.iter().map(|stream| stream.entry).max();
        let entries = usize::try_from(entries.unwrap_or(0)).unwrap_or(0) + 1;
        let idle = Report {
            running: 0,
            queued: 0,
            slowdown_percent: None,
        };
        Self {
            world,
            plan,
            policy,
            requests,
            progress: vec![Progress::default(); requests.len()],
            attempts: Vec::new(),
            vms: (0..world.vms.len()).map(vm).collect(),
            summary: Summary::default(),
            entries: vec![Summary::default(); entries],
            servers: vec![Server::new(world.slots, plan.targets_shed); targets],
            generations: vec![0; targets],
            shared_reports: vec![idle; targets],
            last_reports: vec![idle; targets],
            events: BinaryHeap::new(),
            next: 0,
        }
    }

    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        let vm = match event {
            Event::Reply(attempt, _) => Some(self.requests[self.attempts[attempt].request].vm),
            Event::Tick(vm) | Event::ProbeAnswer(vm, _) => Some(vm),
            Event::Deadline(request) => Some(self.requests[request].vm),
            _ => None,
        };
        if let Some(resume) = vm.and_then(|vm| self.plan.scenario.resume_time(now, vm)) {
            return self.schedule(resume, event);
        }
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::ReachTarget(attempt) => self.reach_target(now, attempt),
            Event::Complete(attempt) => self.complete(now, attempt),
            Event::QueueTimeout(attempt) => {
                let target = self.attempts[attempt].target;
                if self.attempts[attempt].open && self.servers[target].shed_queued(attempt) {
                    self.reply(now, attempt, Answer::Shed);
                }
            }
            Event::Reply(attempt, answer) => self.receive_reply(now, attempt, answer),
            Event::Cancel(attempt) => self.release(now, attempt),
            Event::ProbeAnswer(vm, target) => self.record_probe(vm, target),
            Event::Deadline(request) => self.expire(now, request),
            Event::Tick(vm) => self.tick(now, vm),
            Event::ShareReports => {
                self.shared_reports = (0..self.servers.len())
                    .map(|target| self.report(now, target))
                    .collect();
                if now < self.plan.end {
                    self.schedule(now + policy::STALE_REFRESH_US, Event::ShareReports);
                }
            }
            Event::ReplaceTarget(target) => self.replace(now, target),
        }
    }

    /// The load report of `target`; the scenario may hide the load or freeze the reports.
    fn report(&mut self, now: u64, target: usize) -> Report {
        if self.plan.scenario.hides_load(target) {
            return Report {
                running: 0,
                queued: 0,
                slowdown_percent: None,
            };
        }
        if !self.plan.scenario.reports_frozen(now) {
            self.last_reports[target] = self.servers[target].report();
        }
        self.last_reports[target]
    }

    fn arrive(&mut self, now: u64, request: usize) {
        self.schedule(now + self.plan.deadline, Event::Deadline(request));
        self.dispatch(now, request);
    }

    /// Has the policy of the call's VM choose a target for another attempt.
    pub(super) fn dispatch(&mut self, now: u64, request: usize) {
        self.progress[request].attempts += 1;
        if self.policy == Policy::Ours {
            return self.submit(now, request);
        }
        let vm = self.requests[request].vm;
        if self.policy == Policy::Fresh {
            self.shared_reports = self.servers.iter().map(Server::report).collect();
        }
        let Vm { in_flight, rng, .. } = &mut self.vms[vm];
        let target = self
            .policy
            .pick(self.world, vm, in_flight, &self.shared_reports, rng);
        in_flight[target] += 1;
        self.send(now, request, target, None, u64::MAX, false);
    }

    /// Sends a new attempt to `target`.
    pub(super) fn send(
        &mut self,
        now: u64,
        request: usize,
        target: usize,
        key: Option<target::Key>,
        max_wait_us: u64,
        wants_report: bool,
    ) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            target,
            key,
            max_wait_us,
            wants_report,
            report: Report {
                running: 0,
                queued: 0,
                slowdown_percent: None,
            },
            open: true,
            sent: now,
        });
        if now >= WARM_UP_US && self.is_remote(attempt) {
            self.summary.cross_region += policy::EXCHANGE_BYTES;
        }
        self.schedule_delivery(now, attempt, Event::ReachTarget(attempt));
    }

    pub(super) fn is_remote(&self, attempt: usize) -> bool {
        let Attempt {
            request, target, ..
        } = self.attempts[attempt];
        self.world.vms[self.requests[request].vm].region != self.world.targets[target].region
    }

    /// Schedules an event after the network delay of an attempt. The message is lost if it would
    /// cross regions that are cut off from each other.
    pub(super) fn schedule_delivery(&mut self, now: u64, attempt: usize, event: Event) {
        let cut = self.plan.scenario.is_cut(now, self.plan.end);
        if cut && self.is_remote(attempt) {
            return;
        }
        let Attempt {
            request, target, ..
        } = self.attempts[attempt];
        let vm = self.world.vms[self.requests[request].vm];
        let delay = self.world.delay(vm, self.world.targets[target]);
        self.schedule(now + delay, event);
    }

    fn reach_target(&mut self, now: u64, attempt: usize) {
        let Attempt {
            target,
            max_wait_us,
            open,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        if self.plan.scenario.is_failing(target) {
            return self.reply(now + ERROR_LATENCY_US, attempt, Answer::Failed);
        }
        match self.servers[target].admit(attempt, max_wait_us) {
            Admission::Started => self.start(now, attempt),
            Admission::Shed => self.reply(now, attempt, Answer::Shed),
            Admission::Queued if self.plan.targets_shed && max_wait_us < self.plan.deadline * 2 => {
                self.schedule(now + max_wait_us, Event::QueueTimeout(attempt));
            }
            Admission::Queued => {}
        }
    }

    fn start(&mut self, now: u64, attempt: usize) {
        let Attempt {
            request, target, ..
        } = self.attempts[attempt];
        let mut factor = self.plan.scenario.slowness(now, target);
        if self.servers[target].cold_requests > 0 {
            self.servers[target].cold_requests -= 1;
            factor *= COLD_FACTOR;
        }
        let work = self.requests[request].work * factor;
        self.schedule(now + work, Event::Complete(attempt));
    }

    fn complete(&mut self, now: u64, attempt: usize) {
        let target = self.attempts[attempt].target;
        if self.servers[target].is_running(attempt) {
            self.release(now, attempt);
            self.reply(now, attempt, Answer::Good);
        }
    }

    fn release(&mut self, now: u64, attempt: usize) {
        let target = self.attempts[attempt].target;
        if let Some(next) = self.servers[target].release(attempt) {
            self.start(now, next);
        }
    }

    fn reply(&mut self, now: u64, attempt: usize, answer: Answer) {
        let target = self.attempts[attempt].target;
        self.attempts[attempt].report = self.report(now, target);
        self.schedule_delivery(now, attempt, Event::Reply(attempt, answer));
    }

    /// Ends a call; its result counts if the call arrived after the warm-up.
    pub(super) fn conclude(&mut self, now: u64, request: usize, good: bool) {
        if std::mem::replace(&mut self.progress[request].over, true) {
            return;
        }
        let Request {
            arrived_at, entry, ..
        } = self.requests[request];
        if arrived_at < WARM_UP_US {
            return;
        }
        let entry = usize::try_from(entry).unwrap_or(0);
        for summary in [&mut self.summary, &mut self.entries[entry]] {
            if good {
                summary.record_success(now - arrived_at);
            } else {
                summary.record_failure(self.plan.deadline);
            }
        }
    }

    /// Closes the connection of an open attempt, which cancels it at the target.
    pub(super) fn cancel_attempt(&mut self, now: u64, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].open, false) {
            let Attempt {
                request, target, ..
            } = self.attempts[attempt];
            let vm = self.requests[request].vm;
            self.vms[vm].in_flight[target] = self.vms[vm].in_flight[target].saturating_sub(1);
            self.schedule_delivery(now, attempt, Event::Cancel(attempt));
        }
    }

    fn replace(&mut self, now: u64, target: usize) {
        self.servers[target].cold_requests = COLD_REQUESTS;
        self.generations[target] += 1;
        let specs = self.world.specs(&self.generations);
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if let Some(balancer) = &mut vm.balancer {
                balancer.update(Instant::from_micros(now), &specs);
                policy::record_round_trips(self.world, index, balancer);
            }
        }
    }
}
