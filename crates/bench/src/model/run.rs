//! Event loop of the model.

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
use super::scenario::WARM_UP;
use super::server::Entry;
use super::server::Server;
use super::summary::Summary;
use super::work::Plan;
use super::work::Request;
use super::world::World;

/// Requests that a cold target runs slowly, and how many times slower.
const COLD_REQUESTS: u32 = 40;
const COLD_FACTOR: u64 = 4;
/// Time that a failing target takes for an error, in microseconds.
const ERROR_AFTER: u64 = 1_000;
/// Attempts for a call that a target answered with an error.
pub(super) const ATTEMPTS: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize),
    Reach(usize),
    End(usize),
    GiveUp(usize),
    Reply(usize, Answer),
    CancelReach(usize),
    Probed(usize, usize),
    Deadline(usize),
    Tick(usize),
    Share,
    Replace(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Answer {
    Good,
    Failed,
    Shed,
}

/// One copy of a request on its way to, in or back from a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) target: usize,
    pub(super) key: Option<target::Key>,
    pub(super) patience: u64,
    pub(super) reports: bool,
    pub(super) report: Report,
    pub(super) open: bool,
    pub(super) sent: u64,
}

/// One VM.
pub(super) struct Vm {
    pub(super) balancer: Option<Balancer>,
    pub(super) own: Vec<u32>,
    pub(super) tick: Option<u64>,
    pub(super) rng: SmallRng,
    pub(super) actions: Vec<Action>,
}

/// State of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
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
    lives: Vec<u32>,
    shared: Vec<Report>,
    frozen: Vec<Report>,
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
        model.at(request.at, Event::Arrive(index));
    }
    for (at, target) in plan.scenario.replacements(plan.end, world.targets.len()) {
        model.at(at, Event::Replace(target));
    }
    model.at(0, Event::Share);
    // The events after the end of the arrivals are those of the last requests.
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
                policy::measure(world, index, balancer);
            }
            Vm {
                balancer,
                own: vec![0; targets],
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
            servers: vec![Server::new(world.slots, plan.honours); targets],
            lives: vec![0; targets],
            shared: vec![idle; targets],
            frozen: vec![idle; targets],
            events: BinaryHeap::new(),
            next: 0,
        }
    }

    pub(super) fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        let vm = match event {
            Event::Reply(attempt, _) => Some(self.requests[self.attempts[attempt].request].vm),
            Event::Tick(vm) | Event::Probed(vm, _) => Some(vm),
            Event::Deadline(request) => Some(self.requests[request].vm),
            _ => None,
        };
        if let Some(thaw) = vm.and_then(|vm| self.plan.scenario.thaw(now, vm)) {
            return self.at(thaw, event);
        }
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::Reach(attempt) => self.reach(now, attempt),
            Event::End(attempt) => self.end(now, attempt),
            Event::GiveUp(attempt) => {
                let target = self.attempts[attempt].target;
                if self.attempts[attempt].open && self.servers[target].give_up(attempt) {
                    self.reply(now, attempt, Answer::Shed);
                }
            }
            Event::Reply(attempt, answer) => self.replied(now, attempt, answer),
            Event::CancelReach(attempt) => self.leave(now, attempt),
            Event::Probed(vm, target) => self.probed(vm, target),
            Event::Deadline(request) => self.deadline(now, request),
            Event::Tick(vm) => self.tick(now, vm),
            Event::Share => {
                self.shared = (0..self.servers.len())
                    .map(|target| self.reported(now, target))
                    .collect();
                if now < self.plan.end {
                    self.at(now + policy::STALE_REFRESH, Event::Share);
                }
            }
            Event::Replace(target) => self.replace(now, target),
        }
    }

    /// The report that `target` gives, which may lie or stand still.
    fn reported(&mut self, now: u64, target: usize) -> Report {
        if self.plan.scenario.lies(target) {
            return Report {
                running: 0,
                queued: 0,
                slowdown_percent: None,
            };
        }
        if !self.plan.scenario.reports_frozen(now) {
            self.frozen[target] = self.servers[target].report();
        }
        self.frozen[target]
    }

    fn arrive(&mut self, now: u64, request: usize) {
        self.at(now + self.plan.deadline, Event::Deadline(request));
        self.offer(now, request);
    }

    /// Offers a call to its VM's policy.
    pub(super) fn offer(&mut self, now: u64, request: usize) {
        self.progress[request].attempts += 1;
        if self.policy == Policy::Ours {
            return self.ask(now, request);
        }
        let vm = self.requests[request].vm;
        if self.policy == Policy::Fresh {
            self.shared = self.servers.iter().map(Server::report).collect();
        }
        let Vm { own, rng, .. } = &mut self.vms[vm];
        let target = self.policy.pick(self.world, vm, own, &self.shared, rng);
        own[target] += 1;
        self.send(now, request, target, None, u64::MAX, false);
    }

    /// Puts an attempt on its way; returns its index.
    pub(super) fn send(
        &mut self,
        now: u64,
        request: usize,
        target: usize,
        key: Option<target::Key>,
        patience: u64,
        reports: bool,
    ) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            target,
            key,
            patience,
            reports,
            report: Report {
                running: 0,
                queued: 0,
                slowdown_percent: None,
            },
            open: true,
            sent: now,
        });
        if now >= WARM_UP && self.is_remote(attempt) {
            self.summary.cross_region += policy::EXCHANGE_BYTES;
        }
        self.travel(now, attempt, Event::Reach(attempt));
    }

    pub(super) fn is_remote(&self, attempt: usize) -> bool {
        let Attempt {
            request, target, ..
        } = self.attempts[attempt];
        self.world.vms[self.requests[request].vm].region != self.world.targets[target].region
    }

    /// Schedules an event at the other end of an attempt's way; lost if regions are cut.
    pub(super) fn travel(&mut self, now: u64, attempt: usize, event: Event) {
        let cut = self.plan.scenario.is_cut(now, self.plan.end);
        if cut && self.is_remote(attempt) {
            return;
        }
        let Attempt {
            request, target, ..
        } = self.attempts[attempt];
        let vm = self.world.vms[self.requests[request].vm];
        let delay = self.world.delay(vm, self.world.targets[target]);
        self.at(now + delay, event);
    }

    fn reach(&mut self, now: u64, attempt: usize) {
        let Attempt {
            target,
            patience,
            open,
            ..
        } = self.attempts[attempt];
        if !open {
            return;
        }
        if self.plan.scenario.fails(target) {
            return self.reply(now + ERROR_AFTER, attempt, Answer::Failed);
        }
        match self.servers[target].enter(attempt, patience) {
            Entry::Started => self.start(now, attempt),
            Entry::Shed => self.reply(now, attempt, Answer::Shed),
            Entry::Queued if self.plan.honours && patience < self.plan.deadline * 2 => {
                self.at(now + patience, Event::GiveUp(attempt));
            }
            Entry::Queued => {}
        }
    }

    fn start(&mut self, now: u64, attempt: usize) {
        let Attempt {
            request, target, ..
        } = self.attempts[attempt];
        let mut factor = self.plan.scenario.slowness(now, target);
        if self.servers[target].cold > 0 {
            self.servers[target].cold -= 1;
            factor *= COLD_FACTOR;
        }
        let work = self.requests[request].work * factor;
        self.at(now + work, Event::End(attempt));
    }

    fn end(&mut self, now: u64, attempt: usize) {
        let target = self.attempts[attempt].target;
        if self.servers[target].runs(attempt) {
            self.leave(now, attempt);
            self.reply(now, attempt, Answer::Good);
        }
    }

    fn leave(&mut self, now: u64, attempt: usize) {
        let target = self.attempts[attempt].target;
        if let Some(next) = self.servers[target].leave(attempt) {
            self.start(now, next);
        }
    }

    fn reply(&mut self, now: u64, attempt: usize, answer: Answer) {
        let target = self.attempts[attempt].target;
        self.attempts[attempt].report = self.reported(now, target);
        self.travel(now, attempt, Event::Reply(attempt, answer));
    }

    /// A call is over: its result counts if it came after the warm-up.
    pub(super) fn conclude(&mut self, now: u64, request: usize, good: bool) {
        if std::mem::replace(&mut self.progress[request].over, true) {
            return;
        }
        let Request { came, entry, .. } = self.requests[request];
        if came < WARM_UP {
            return;
        }
        let entry = usize::try_from(entry).unwrap_or(0);
        for summary in [&mut self.summary, &mut self.entries[entry]] {
            if good {
                summary.answered(now - came);
            } else {
                summary.failed(self.plan.deadline);
            }
        }
    }

    /// Closes the connection of an attempt.
    pub(super) fn close(&mut self, now: u64, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].open, false) {
            let Attempt {
                request, target, ..
            } = self.attempts[attempt];
            let vm = self.requests[request].vm;
            self.vms[vm].own[target] = self.vms[vm].own[target].saturating_sub(1);
            self.travel(now, attempt, Event::CancelReach(attempt));
        }
    }

    fn replace(&mut self, now: u64, target: usize) {
        self.servers[target].cold = COLD_REQUESTS;
        self.lives[target] += 1;
        let specs = self.world.specs(&self.lives);
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if let Some(balancer) = &mut vm.balancer {
                balancer.update(Instant::from_micros(now), &specs);
                policy::measure(self.world, index, balancer);
            }
        }
    }
}
