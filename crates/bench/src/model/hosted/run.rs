//! Discrete-event simulation of the callers, the VMs and the targets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call as CallId;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target::Key;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::load::Call;
use super::load::Defect;
use super::load::Load;
use super::load::Stream;
use super::perfect::Queues;
use super::policy::Policy;
use super::site::Full;
use super::site::Site;
use super::summary::End;
use super::summary::Summary;
use super::target::Admission;
use super::target::Target;
use super::vm::Vm;
use super::vm::cost;

/// Most sends of one try.
const MAX_SENDS: u8 = 3;
/// Time that a failing target takes for an error, in microseconds.
const ERROR_US: u64 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A try reaches its VM.
    Arrive(usize),
    /// An attempt reaches its target.
    Reach(usize),
    /// The work of an attempt ends.
    Done(usize),
    /// The result of an attempt reaches its VM.
    Reply(usize),
    /// The connection of an attempt was closed by the VM.
    Close(usize),
    /// A probe reaches a target.
    Probe(usize, usize),
    /// The answer to a probe reaches its VM.
    Probed(usize, usize),
    /// The time of a try ends.
    Leave(usize),
    Tick(usize),
    /// A target goes down.
    Down(usize),
    /// A target that was lost is known to be back.
    Back(usize),
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Pending,
    Good,
    Error,
    Shed,
    Reset,
    Refused,
}

/// One try of a call, at one VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Try {
    pub(super) call: usize,
    pub(super) vm: usize,
    pub(super) arrived: u64,
    pub(super) deadline: u64,
    pub(super) over: bool,
    pub(super) sends: u8,
    /// Target of the last send.
    pub(super) last: Option<usize>,
}

/// One send of a try to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) parent: usize,
    pub(super) target: usize,
    pub(super) sent: u64,
    pub(super) open: bool,
    pub(super) outcome: Outcome,
    pub(super) report: Option<Report>,
}

pub(super) struct Model<'run> {
    pub(super) site: &'run Site,
    pub(super) load: &'run Load,
    pub(super) policy: Policy,
    pub(super) calls: &'run [Call],
    pub(super) targets: Vec<Target>,
    pub(super) tries: Vec<Try>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) queues: Queues,
    /// Tries of each call so far, and whether it ended.
    state: Vec<(u8, bool)>,
    vms: Vec<Vm>,
    /// The VMs that callers of each region are sent to, each with its weight.
    senders: Vec<Vec<(usize, u64)>>,
    summary: Summary,
    /// Reports on their way from probed targets to VMs.
    probed: Vec<Vec<Option<Report>>>,
    /// Reports that other data centres see, with their time.
    old_reports: Vec<Option<(u64, Report)>>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
}

/// Plays `load` at `site` under `policy`. The same seed gives the same calls and noise whatever the
/// policy.
#[must_use]
pub fn run(site: &Site, load: &Load, policy: Policy, seed: u64) -> Summary {
    let calls = load.draw(site, seed);
    let mut model = Model::new(site, load, policy, &calls, seed);
    for (index, call) in calls.iter().enumerate() {
        model.begin(call.at, index);
    }
    model.schedule_flaps();
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.step(at, event);
    }
    model.summary
}

impl<'run> Model<'run> {
    fn new(
        site: &'run Site,
        load: &'run Load,
        policy: Policy,
        calls: &'run [Call],
        seed: u64,
    ) -> Self {
        let mut noise = SmallRng::seed_from_u64(seed + 7);
        let target =
            |(_, kind): &(usize, super::site::Kind)| Target::new(*kind, load.end_us, &mut noise);
        let targets: Vec<Target> = site.targets.iter().map(target).collect();
        let vms = (0..site.vms.len()).map(|index| Vm::new(site, index, seed));
        Self {
            site,
            load,
            policy,
            calls,
            probed: vec![vec![None; targets.len()]; site.vms.len()],
            old_reports: vec![None; targets.len()],
            targets,
            tries: Vec::new(),
            attempts: Vec::new(),
            queues: Queues::default(),
            state: vec![(0, false); calls.len()],
            vms: vms.collect(),
            senders: (0..site.regions())
                .map(|region| site.senders(region))
                .collect(),
            summary: Summary::new(load),
            rng: SmallRng::seed_from_u64(seed + 13),
            events: BinaryHeap::new(),
            next: 0,
        }
    }

    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn schedule_flaps(&mut self) {
        let load = self.load;
        for fault in &load.faults {
            let Defect::Flaps(period) = fault.defect else {
                continue;
            };
            for target in (0..self.targets.len()).filter(|target| fault.hits(*target)) {
                if fault.only.is_some() {
                    self.schedule(fault.to_us, Event::Back(target));
                }
                let mut at = fault.from_us;
                while at < fault.to_us {
                    self.schedule(at, Event::Down(target));
                    at += 2 * period;
                }
            }
        }
    }

    /// Whether a target refuses connections at `now`.
    fn is_down(&self, now: u64, target: usize) -> bool {
        let load = self.load;
        load.faults.iter().any(|fault| {
            let Defect::Flaps(period) = fault.defect else {
                return false;
            };
            fault.hits(target)
                && (fault.from_us..fault.to_us).contains(&now)
                && ((now - fault.from_us) / period).is_multiple_of(2)
        })
    }

    pub(super) fn stream(&self, tried: usize) -> &'run Stream {
        &self.load.streams[self.calls[self.tries[tried].call].stream]
    }

    /// Starts another try of a call at a random VM of the caller's region.
    fn begin(&mut self, at: u64, call: usize) {
        let details = &self.calls[call];
        let stream = &self.load.streams[details.stream];
        let senders = &self.senders[details.region];
        let total: u64 = senders.iter().map(|(_, weight)| *weight).sum();
        let mut draw = self.rng.random_range(0..total);
        let drawn = senders.iter().find(|(_, weight)| {
            let found = draw < *weight;
            draw = draw.saturating_sub(*weight);
            found
        });
        let vm = drawn.map_or(0, |(vm, _)| *vm);
        let deadline = (at + stream.timeout_us).min(details.at + stream.patience_us);
        self.state[call].0 += 1;
        self.tries.push(Try {
            call,
            vm,
            arrived: at,
            deadline,
            over: false,
            sends: 0,
            last: None,
        });
        let way = self.site.caller_us / 2;
        self.schedule(at + way, Event::Arrive(self.tries.len() - 1));
    }

    fn step(&mut self, now: u64, event: Event) {
        let vm = match event {
            Event::Arrive(tried) | Event::Leave(tried) => Some(self.tries[tried].vm),
            Event::Reply(attempt) => Some(self.tries[self.attempts[attempt].parent].vm),
            Event::Probed(vm, _) | Event::Tick(vm) => Some(vm),
            _ => None,
        };
        let busy = vm.map(|vm| self.vms[vm].busy_until);
        if let Some(until) = busy.filter(|until| *until > now) {
            return self.schedule(until, event);
        }
        match event {
            Event::Arrive(tried) => self.arrive(now, tried),
            Event::Reach(attempt) => self.reach(now, attempt),
            Event::Done(attempt) => self.done(now, attempt),
            Event::Reply(attempt) => self.reply(now, attempt),
            Event::Close(attempt) => self.release(now, attempt),
            Event::Probe(vm, target) => {
                let up = !self.is_down(now, target);
                self.probed[vm][target] = up.then(|| self.report(now, vm, target));
                let back = self.one_way(vm, target);
                self.schedule(now + back, Event::Probed(vm, target));
            }
            Event::Probed(vm, target) => {
                let report = self.probed[vm][target];
                self.vms[vm].occupy(now, cost::PROBE);
                self.with_vm(now, vm, |vm, rng| {
                    let key = vm.keys[target];
                    let time = Instant::from_micros(now);
                    vm.placer
                        .record_probe(time, key, report, rng, &mut vm.actions);
                });
            }
            Event::Leave(tried) => self.leave(now, tried),
            Event::Tick(vm) => self.tick(now, vm),
            Event::Down(target) => self.take_down(now, target),
            Event::Back(target) => {
                for vm in &mut self.vms {
                    let key = vm.keys[target];
                    vm.placer.set_standing(key, Standing::Open);
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, tried: usize) {
        let Try {
            vm, deadline, call, ..
        } = self.tries[tried];
        if now >= deadline {
            return self.leave(now, tried);
        }
        self.schedule(deadline, Event::Leave(tried));
        self.vms[vm].occupy(now, cost::REQUEST);
        let time = Instant::from_micros(now);
        self.vms[vm].budget.record_request(time);
        match self.policy {
            Policy::Product => self.submit(now, tried, None),
            Policy::Fewest => {
                let region = self.site.vms[vm].region;
                let near =
                    (0..self.targets.len()).filter(|index| self.site.targets[*index].0 == region);
                let fewest = near
                    .min_by_key(|index| (self.vms[vm].in_flight[*index], (*index * 7 + call) % 13));
                self.send(now, tried, fewest.unwrap_or(0));
            }
            Policy::Perfect | Policy::Global => {
                self.queues.push(tried);
                self.dispatch_perfect(now);
            }
        }
    }

    /// Submits a try to the placer of its VM.
    fn submit(&mut self, now: u64, tried: usize, avoid: Option<usize>) {
        let stream = self.stream(tried);
        let Try {
            vm,
            arrived,
            deadline,
            call,
            ..
        } = self.tries[tried];
        let job = Job {
            call: CallId(u64::try_from(tried).unwrap_or(u64::MAX)),
            class: stream.class,
            arrived: Instant::from_micros(arrived),
            deadline: Instant::from_micros(deadline),
            objective: Span::from_micros(stream.objective_us),
            urgency: stream.urgency,
            avoid: avoid.map(|target| self.vms[vm].keys[target]),
            entry: u32::try_from(self.calls[call].stream).unwrap_or(u32::MAX),
            hedge_percent: 0,
            bytes: None,
            regions: Scope::ANY,
        };
        self.with_vm(now, vm, |vm, rng| {
            let time = Instant::from_micros(now);
            vm.placer.arrive(time, job, rng, &mut vm.actions);
        });
    }

    /// Passes an event to a VM and carries out the actions that follow.
    fn with_vm(&mut self, now: u64, index: usize, event: impl FnOnce(&mut Vm, &mut SmallRng)) {
        let vm = &mut self.vms[index];
        let mut rng = vm.rng.clone();
        event(vm, &mut rng);
        vm.rng = rng;
        let actions = std::mem::take(&mut vm.actions);
        for action in actions {
            self.perform(now, index, &action);
        }
        let vm = &mut self.vms[index];
        let next = vm.placer.next_tick(Instant::from_micros(now));
        let next = next
            .map(Instant::as_micros)
            .filter(|next| vm.tick.is_none_or(|due| *next < due));
        if let Some(next) = next {
            vm.tick = Some(next);
            self.schedule(next.max(now), Event::Tick(index));
        }
    }

    fn tick(&mut self, now: u64, vm: usize) {
        if self.vms[vm].tick.is_none_or(|due| due > now) {
            return;
        }
        self.vms[vm].tick = None;
        self.vms[vm].occupy(now, cost::TIMER);
        self.with_vm(now, vm, |vm, rng| {
            vm.placer
                .tick(Instant::from_micros(now), rng, &mut vm.actions);
        });
    }

    fn perform(&mut self, now: u64, vm: usize, action: &Action) {
        let of = |call: CallId| usize::try_from(call.0).unwrap_or(usize::MAX);
        let index = |key: Key| self.vms[vm].index(key).unwrap_or(0);
        match *action {
            Action::Assign { call, target, .. } => {
                let target = index(target);
                self.send(now, of(call), target);
            }
            Action::Hedge { call, target, .. } => {
                let target = index(target);
                let time = Instant::from_micros(now);
                if self.tries[of(call)].sends < MAX_SENDS && self.vms[vm].budget.take(time) {
                    self.send(now, of(call), target);
                } else {
                    let key = self.vms[vm].keys[target];
                    self.with_vm(now, vm, |vm, rng| {
                        let out = &mut vm.actions;
                        let _ = vm
                            .placer
                            .finish(time, call, key, Ending::Cancelled, rng, out);
                    });
                }
            }
            Action::Cancel { call, target } => {
                let (target, parent) = (index(target), of(call));
                let matches = |attempt: &Attempt| {
                    attempt.open && attempt.parent == parent && attempt.target == target
                };
                if let Some(attempt) = self.attempts.iter().rposition(matches) {
                    self.attempts[attempt].open = false;
                    let way = self.site.round_trip(vm, target) / 2;
                    self.schedule(now + way, Event::Close(attempt));
                }
            }
            Action::Probe { target } => {
                let target = index(target);
                self.summary.probes += 1;
                let way = self.one_way(vm, target);
                self.schedule(now + way, Event::Probe(vm, target));
            }
            Action::Refuse { call, .. } => {
                let time = Instant::from_micros(now);
                let wait = self.vms[vm].placer.expected_wait(time).as_micros();
                let spread = self.vms[vm].rng.random_range(0.75..1.5);
                let wait = super::load::microseconds(
                    std::time::Duration::from_micros(wait.clamp(40_000, 500_000)).as_secs_f64()
                        * 1e6
                        * spread,
                );
                self.refuse(now, of(call), wait);
            }
        }
    }

    pub(super) fn send(&mut self, now: u64, tried: usize, target: usize) {
        if self.tries[tried].sends > 0 {
            self.summary.repeats += 1;
        }
        self.summary.sends += 1;
        let found = self.targets[target].load();
        self.summary.record_send(self.load, now, found);
        let vm = self.tries[tried].vm;
        self.tries[tried].sends += 1;
        self.tries[tried].last = Some(target);
        self.vms[vm].in_flight[target] += 1;
        self.attempts.push(Attempt {
            parent: tried,
            target,
            sent: now,
            open: true,
            outcome: Outcome::Pending,
            report: None,
        });
        self.summary
            .count_way(self.site, vm, target, self.stream(tried).bytes);
        let way = self.one_way(vm, target);
        self.schedule(now + way, Event::Reach(self.attempts.len() - 1));
    }

    /// Microseconds of a message between `vm` and `target`.
    fn one_way(&mut self, vm: usize, target: usize) -> u64 {
        let way = self.site.round_trip(vm, target) / 2;
        let link = self.load.link;
        let between = self.site.vms[vm].center != self.site.centers[target];
        let lost = between && link.loss > 0.0 && self.rng.random::<f64>() < link.loss;
        way + if lost { link.resend_us } else { 0 }
    }

    /// The report of `target` that reaches `vm`.
    fn report(&mut self, now: u64, vm: usize, target: usize) -> Report {
        let between = self.site.vms[vm].center != self.site.centers[target];
        if !between || self.load.link.stale_us == 0 {
            return self.targets[target].report(now);
        }
        match self.old_reports[target] {
            Some((at, report)) if now - at < self.load.link.stale_us => report,
            _ => {
                let report = self.targets[target].report(now);
                self.old_reports[target] = Some((now, report));
                report
            }
        }
    }

    fn reach(&mut self, now: u64, attempt: usize) {
        let Attempt { target, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        if self.is_down(now, target) {
            return self.answer(now, attempt, Outcome::Refused);
        }
        let defects: Vec<Defect> = self.load.defects(now, target).collect();
        for defect in &defects {
            let draw: f64 = self.rng.random();
            match defect {
                Defect::Sheds(share) if draw < *share => {
                    return self.answer(now, attempt, Outcome::Shed);
                }
                Defect::Fails(share) if draw < *share => {
                    return self.answer(now + ERROR_US, attempt, Outcome::Error);
                }
                Defect::Hangs(share) if draw < *share => return,
                _ => {}
            }
        }
        match self.targets[target].admit(attempt) {
            Admission::Started => self.start(now, attempt),
            Admission::Queued => {}
            Admission::Full(full) => {
                self.summary.overfilled += 1;
                match full {
                    Full::Hang => {}
                    Full::Reset => self.answer(now, attempt, Outcome::Reset),
                    Full::Reject => self.answer(now, attempt, Outcome::Shed),
                }
            }
        }
    }

    fn start(&mut self, now: u64, attempt: usize) {
        let Attempt { target, parent, .. } = self.attempts[attempt];
        let defects: Vec<Defect> = self.load.defects(now, target).collect();
        let work_us = self.calls[self.tries[parent].call].work_us;
        let end = self.targets[target].end_of(now, work_us, &defects);
        self.schedule(end, Event::Done(attempt));
    }

    fn done(&mut self, now: u64, attempt: usize) {
        let target = self.attempts[attempt].target;
        if self.targets[target].is_running(attempt) {
            self.release(now, attempt);
            self.answer(now, attempt, Outcome::Good);
        }
    }

    /// Frees the place of an attempt at its target.
    fn release(&mut self, now: u64, attempt: usize) {
        let target = self.attempts[attempt].target;
        if let Some(next) = self.targets[target].release(attempt) {
            self.start(now, next);
        }
        if matches!(self.policy, Policy::Perfect | Policy::Global) {
            self.dispatch_perfect(now);
        }
    }

    fn take_down(&mut self, now: u64, target: usize) {
        for attempt in self.targets[target].clear() {
            self.answer(now, attempt, Outcome::Reset);
        }
    }

    fn answer(&mut self, now: u64, attempt: usize, outcome: Outcome) {
        let Attempt { target, parent, .. } = self.attempts[attempt];
        let told = matches!(outcome, Outcome::Good | Outcome::Shed | Outcome::Error);
        self.attempts[attempt].outcome = outcome;
        let vm = self.tries[parent].vm;
        self.attempts[attempt].report = told.then(|| {
            let report = self.report(now, vm, target);
            match outcome {
                Outcome::Good => self.targets[target].count_answered(report),
                _ => report,
            }
        });
        let way = self.one_way(vm, target);
        self.schedule(now + way, Event::Reply(attempt));
    }

    fn reply(&mut self, now: u64, attempt: usize) {
        let Attempt {
            parent,
            target,
            sent,
            open,
            outcome,
            report,
        } = self.attempts[attempt];
        if !open {
            return;
        }
        self.attempts[attempt].open = false;
        let vm = self.tries[parent].vm;
        self.vms[vm].in_flight[target] -= 1;
        self.vms[vm].occupy(now, cost::ANSWER);
        let latency = Span::from_micros(now - sent);
        let ending = match outcome {
            Outcome::Good | Outcome::Pending => Ending::Answered {
                latency,
                failed: false,
            },
            Outcome::Error => Ending::Answered {
                latency,
                failed: true,
            },
            Outcome::Shed => Ending::Shed { bytes: 0 },
            Outcome::Reset => Ending::Broken { written: true },
            Outcome::Refused => Ending::Broken { written: false },
        };
        let mut progress = Progress::Done;
        if self.policy == Policy::Product {
            let shed = matches!(outcome, Outcome::Shed);
            let time = Instant::from_micros(now);
            let may = !shed || self.vms[vm].budget.take(time);
            let call = CallId(u64::try_from(parent).unwrap_or(u64::MAX));
            let is_down = outcome == Outcome::Refused;
            let bytes = (outcome == Outcome::Good).then_some(self.stream(parent).bytes);
            self.with_vm(now, vm, |vm, rng| {
                let key = vm.keys[target];
                if let Some(report) = report {
                    vm.placer.record_report(time, key, report);
                }
                if is_down {
                    vm.placer.set_standing(key, Standing::Leaving);
                }
                if let Some(bytes) = bytes {
                    vm.placer.record_bytes(call, key, bytes);
                }
                let out = &mut vm.actions;
                progress = vm.placer.finish(time, call, key, ending, rng, out);
                if !may {
                    vm.placer.withdraw(call, out);
                }
            });
            if !may && !self.tries[parent].over && progress == Progress::Pending {
                return self.refuse(now, parent, 40_000);
            }
        }
        if self.tries[parent].over {
            return;
        }
        match outcome {
            Outcome::Good => self.conclude(now, parent),
            Outcome::Pending => {}
            _ if progress == Progress::Pending => {}
            _ => self.repeat_or_fail(now, parent, target),
        }
    }

    /// Sends a failed try once more if its class and the budget allow it.
    fn repeat_or_fail(&mut self, now: u64, tried: usize, target: usize) {
        let vm = self.tries[tried].vm;
        let repeatable = self.stream(tried).class != Class::Once;
        let time = Instant::from_micros(now);
        if repeatable
            && self.policy == Policy::Product
            && self.tries[tried].sends < MAX_SENDS
            && self.vms[vm].budget.take(time)
        {
            return self.submit(now, tried, Some(target));
        }
        self.fail(now, tried);
    }

    /// Ends a try with an answer.
    fn conclude(&mut self, now: u64, tried: usize) {
        self.tries[tried].over = true;
        let call = self.tries[tried].call;
        if std::mem::replace(&mut self.state[call].1, true) {
            return;
        }
        let took = now + self.site.caller_us / 2 - self.calls[call].at;
        self.summary
            .record(self.load, &self.calls[call], End::Answered(took));
    }

    /// Ends a try with a refusal; its caller returns after `wait` microseconds.
    pub(super) fn refuse(&mut self, now: u64, tried: usize, wait: u64) {
        if std::mem::replace(&mut self.tries[tried].over, true) {
            return;
        }
        self.summary.refusals += 1;
        let vm = self.tries[tried].vm;
        self.vms[vm].occupy(now, cost::REFUSAL);
        let stream = self.stream(tried);
        let call = self.tries[tried].call;
        let left = (self.calls[call].at + stream.patience_us).saturating_sub(now);
        if self.state[call].0 <= stream.retries && left > 10_000 {
            return self.begin(now + wait.min(left / 3), call);
        }
        self.end(call, End::Refused);
    }

    /// Ends a try that failed. Callers repeat only what may run twice.
    fn fail(&mut self, now: u64, tried: usize) {
        if std::mem::replace(&mut self.tries[tried].over, true) {
            return;
        }
        let stream = self.stream(tried);
        let call = self.tries[tried].call;
        let left = (self.calls[call].at + stream.patience_us).saturating_sub(now);
        let repeatable = stream.class != Class::Once;
        if repeatable && self.state[call].0 <= stream.retries && left > 10_000 {
            return self.begin(now + 10_000, call);
        }
        self.end(call, End::Failed);
    }

    fn end(&mut self, call: usize, end: End) {
        if !std::mem::replace(&mut self.state[call].1, true) {
            self.summary.record(self.load, &self.calls[call], end);
        }
    }

    /// The time of a try is over: its attempts are closed.
    fn leave(&mut self, now: u64, tried: usize) {
        if self.tries[tried].over {
            return;
        }
        let vm = self.tries[tried].vm;
        if self.policy == Policy::Product {
            let call = CallId(u64::try_from(tried).unwrap_or(u64::MAX));
            self.with_vm(now, vm, |vm, _| vm.placer.withdraw(call, &mut vm.actions));
        } else {
            self.queues.remove(tried);
            let open = |attempt: &Attempt| attempt.open && attempt.parent == tried;
            if let Some(attempt) = self.attempts.iter().rposition(open) {
                let target = self.attempts[attempt].target;
                self.attempts[attempt].open = false;
                self.vms[vm].in_flight[target] -= 1;
                self.schedule(now, Event::Close(attempt));
            }
        }
        self.fail(now, tried);
    }
}
