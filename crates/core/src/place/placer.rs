//! Placement of the calls to one service: holds its targets, the calls that wait and those in
//! flight.

use std::collections::BTreeSet;

use rand::RngExt;
use rand::rngs::SmallRng;
use slotmap::Key;
use slotmap::SecondaryMap;

use crate::balance::Action;
use crate::balance::Call;
use crate::balance::Ending;
use crate::balance::Job;
use crate::balance::Progress;
use crate::balance::Refusal;
use crate::entry;
use crate::entry::Class;
use crate::estimate::Report;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::map::Map;
use crate::map::Set;
use crate::place::cost::Bytes;
use crate::place::dispatch::refusal;
use crate::place::flight::Flight;
use crate::place::loss::Candidate;
use crate::place::loss::Criteria;
use crate::place::loss::Distance;
use crate::place::noise::Noise;
use crate::place::queue::Item;
use crate::place::queue::Line;
use crate::place::queue::Queue;
use crate::place::returns::Returns;
use crate::place::search::Search;
use crate::place::speed::Speed;
use crate::place::stats::Stats;
use crate::place::view::Groups;
use crate::place::view::is_foreign;
use crate::settings::Cost;
use crate::stated::Stated;
use crate::target;
use crate::target::Place;
use crate::target::Standing;
use crate::target::Table;
use crate::time::Instant;
use crate::time::Span;

data! {
    /// What the calls of a service may use on this VM.
    #[derive(Copy)]
    pub struct Limits {
        /// Calls that may wait.
        pub queue: usize,
        /// Price of bytes between places.
        pub cost: Cost,
    }
}

/// What this VM expects of a target, as used by a decision.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Requests at the target, own ones included.
    pub load: f64,
    /// How many times longer work takes than usual.
    pub slowdown: f64,
    /// Share of calls that fail.
    pub failure_share: f64,
    /// Age of the newest report; none without any.
    pub report_age: Option<Span>,
    /// Requests a second that the target states that it takes from all VMs, if it states a limit.
    pub limit_per_s: Option<f64>,
}

/// What this VM has learned of the targets of a service.
#[derive(Clone, Debug)]
pub struct Learned {
    /// How many times longer a request takes at a target with one request, and with each further eighth
    /// of its slots in use.
    pub congestion: Vec<f64>,
    /// Mean slowdown of the machines, 1 for as usual.
    pub mean_slowdown: f64,
    /// Slowdown that one report in twenty exceeds.
    pub peak_slowdown: f64,
    /// Seconds for which a reported slowdown holds on average.
    pub slowdown_holds_s: f64,
    /// Mean seconds that calls take at the targets; none before any answer.
    pub took_s: Option<f64>,
}

/// A target with the expected loss of a call there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) target: target::Key,
    pub(super) candidate: Candidate,
    pub(super) loss: f64,
}

/// The targets that a decision looks at, each in the state in which one more call would find it.
pub(super) type View = Vec<(target::Key, Candidate)>;

/// Weight of a new report in the mean load of other VMs.
const OTHERS_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of a new answer in the mean time that calls take at the targets.
const TOOK_WEIGHT: f64 = 1.0 / 32.0;
/// Random part of a loss, so that equal targets take turns.
const JITTER: f64 = 0.01;
/// Seconds of work that are assumed before any answer.
const ASSUMED_WORK_S: f64 = 0.050;
/// Time after which an unanswered probe is forgotten. The probe itself times out earlier.
const PROBE_FORGOTTEN_AFTER: Span = Span::from_millis(500);
/// Time between two ticks while calls wait for room, or for a target that is worth a copy. The ends
/// of calls and the answers to probes are handled at once; meanwhile, estimates only age.
const TICK: Span = Span::from_millis(10);
/// Of this many targets, one gets a smaller load while it is not known how the load slows them.
const EXPLORED_OF: u64 = 6;
/// Time for which a target gets a smaller load.
const EXPLORED_FOR: Span = Span::from_millis(2_000);

/// Places the calls to one service.
#[derive(Debug)]
pub struct Placer {
    /// Name of this VM.
    vm: Box<str>,
    pub(super) place: Place,
    pub(super) limits: Limits,
    pub(super) targets: Table,
    /// Number of targets that may get new work.
    open_targets: usize,
    /// Names of the targets that belong to this VM; none if no target counts as foreign.
    pub(super) own_targets: Option<Set<Box<str>>>,
    /// The targets by their relation to this VM; none after a change.
    pub(super) groups: Option<Groups>,
    /// Names of the targets that this VM may use while they state a limit, each with the number of VMs
    /// that may; none before homes are known, when this VM may use all by itself.
    pub(super) users: Option<Map<Box<str>, usize>>,
    /// What targets state of themselves.
    pub(super) stated: SecondaryMap<target::Key, Stated>,
    pub(super) stats: SecondaryMap<target::Key, Stats>,
    pub(super) queue: Queue,
    pub(super) flights: Map<Call, Flight>,
    /// When to look for a target for the copy of a call. Calls that have ended stay until then.
    pub(super) hedges: BTreeSet<(Instant, Call)>,
    pub(super) speed: Speed,
    pub(super) bytes: Bytes,
    pub(super) noise: Noise,
    pub(super) returns: Returns,
    /// Slowdown of a target with its largest load.
    pub(super) full_congestion: f64,
    /// Largest load of a target as a share of its slots.
    pub(super) full_share: f64,
    /// Mean seconds that the last calls took at their targets; none before any answer.
    pub(super) took_s: Option<f64>,
    /// When a call last became late, or was refused, for lack of a target.
    pub(super) short_at: Instant,
    /// Mean requests of other VMs at a target, for each of its slots: at those that belong to this VM, and
    /// at the others.
    pub(super) own_others: f64,
    pub(super) foreign_others: f64,
    /// When the newest probe of a target was sent, until it is answered or forgotten.
    pub(super) pending_probes: SecondaryMap<target::Key, Instant>,
    pub(super) search: Search,
    /// When a target was last probed.
    pub(super) last_probes: SecondaryMap<target::Key, Instant>,
}

impl Placer {
    /// A placer without targets on the VM with the name `vm`.
    #[must_use]
    pub fn new(vm: &str, place: Place, limits: Limits) -> Self {
        Self {
            vm: vm.into(),
            place,
            limits,
            targets: Table::default(),
            open_targets: 0,
            own_targets: None,
            groups: None,
            users: None,
            stated: SecondaryMap::new(),
            stats: SecondaryMap::new(),
            queue: Queue::default(),
            flights: Map::default(),
            hedges: BTreeSet::new(),
            speed: Speed::default(),
            bytes: Bytes::default(),
            noise: Noise::default(),
            returns: Returns::default(),
            full_congestion: 1.0,
            full_share: 1.0,
            took_s: None,
            short_at: Instant::default(),
            own_others: 0.0,
            foreign_others: 0.0,
            pending_probes: SecondaryMap::new(),
            search: Search::default(),
            last_probes: SecondaryMap::new(),
        }
    }

    /// Replaces the targets by `specs`, keeping what is known of those that stay. `cold_until`
    /// returns until when the target of a name is slow after its start.
    pub fn update(
        &mut self,
        now: Instant,
        specs: &[entry::Target],
        cold_until: impl Fn(&str) -> Option<Instant>,
    ) {
        self.targets.update(now, &self.place, specs);
        let targets = &self.targets;
        self.stats.retain(|key, _| targets.get(key).is_some());
        self.stated.retain(|key, _| targets.get(key).is_some());
        for (key, target) in self.targets.iter() {
            if !self.stats.contains_key(key) {
                self.stats.insert(key, Stats::default());
            }
            if let (Some(until), Some(stats)) =
                (cold_until(&target.spec.name), self.stats.get_mut(key))
            {
                stats.set_cold_until(until);
            }
        }
        let open = |(_, target): &(target::Key, &target::Target)| target.standing == Standing::Open;
        self.open_targets = self.targets.iter().filter(open).count();
        self.groups = None;
    }

    /// Sets the VM to which each target belongs, by name; none if no target counts as foreign.
    pub fn set_owners(&mut self, owners: Option<&Map<Box<str>, Box<str>>>) {
        self.own_targets = owners.map(|owners| {
            let own = owners.iter().filter(|(_, vm)| **vm == self.vm);
            own.map(|(target, _)| target.clone()).collect()
        });
        self.groups = None;
        let mut numbers: Map<&str, u32> = Map::default();
        let mut known = Vec::new();
        for (key, target) in self.targets.iter() {
            if let Some(vm) = owners.and_then(|owners| owners.get(&target.spec.name)) {
                let next = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
                known.push((key, *numbers.entry(vm).or_insert(next)));
            }
        }
        self.search.set_owners(known.into_iter());
    }

    /// Sets how many calls may wait.
    pub fn set_queue(&mut self, queue: usize) {
        self.limits.queue = queue;
    }

    /// The targets.
    #[must_use]
    pub fn targets(&self) -> &Table {
        &self.targets
    }

    /// What is expected of `target` at `now`; none if there is no such target.
    #[must_use]
    pub fn estimate(&self, now: Instant, target: target::Key) -> Option<Estimate> {
        let stats = self.stats.get(target)?;
        let slots = self.targets.get(target)?.spec.slots;
        let others = self.usual_others(target, number(slots));
        Some(Estimate {
            load: stats.load(now, self.typical_work(), others),
            slowdown: stats.machine(now, &self.noise) * stats.slowness(now),
            failure_share: stats.failure_share(now),
            report_age: stats.report_age(now),
            limit_per_s: self.stated.get(target).and_then(Stated::limit),
        })
    }

    /// What this VM has learned of the targets.
    #[must_use]
    pub fn learned(&self) -> Learned {
        Learned {
            congestion: self.speed.factors().to_vec(),
            mean_slowdown: self.noise.mean(),
            peak_slowdown: self.noise.peak(),
            slowdown_holds_s: self.noise.memory_s(),
            took_s: self.took_s,
        }
    }

    /// Number of calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Sets whether `target` may get new work.
    pub fn set_standing(&mut self, target: target::Key, standing: Standing) {
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        if target.standing != standing {
            let open = |standing| usize::from(standing == Standing::Open);
            self.open_targets = self.open_targets + open(standing) - open(target.standing);
            target.set_standing(standing);
        }
    }

    /// Whether any target may get new work.
    pub(super) fn has_open_target(&self) -> bool {
        self.open_targets > 0
    }

    /// Handles a call that arrived, or one that ended and is offered again: sends it, lets it wait
    /// or refuses it.
    pub fn arrive(&mut self, now: Instant, job: Job, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let mut item = self.item(job);
        if !self.has_open_target() {
            return out.push(refusal(item.job.call, Refusal::NoTarget));
        }
        let mut view = self.view(now, None, rng);
        item.probe_deadline = self.probe_best(now, &item, &view, out);
        if item.probe_deadline.is_none() {
            item.probe_deadline = self.search(now, &item, &view, out);
        }
        let line = if self.queue.len() >= self.limits.queue {
            None
        } else if self.queue.is_empty() && has_room(&item, &view) {
            let slack = item.remaining(now) - item.work;
            Some(Line::First(now + span(slack)))
        } else {
            let is_limited = view.iter().all(|(_, target)| !target.is_allowed());
            let line = self.line(now, &item, is_limited);
            if !matches!(line, Some(Line::First(_)))
                && item.remaining(now) > self.loaded_time(item.work)
            {
                self.short_at = now;
            }
            line
        };
        let Some(line) = line else {
            return out.push(refusal(item.job.call, Refusal::Overloaded));
        };
        self.queue.push(item, line);
        self.assign(now, &mut view, rng, out);
    }

    /// A call as it waits.
    fn item(&mut self, job: Job) -> Item {
        let waited = match job.patience {
            // A call that is offered again is no new request.
            Some(patience) if job.avoid.is_none() => self.returns.record(job.entry, patience),
            Some(_) | None => Span::ZERO,
        };
        Item {
            objective_end: job.arrived + job.objective - waited,
            work: self.expected_work(&job),
            tried: job.avoid.into_iter().collect(),
            probe_deadline: None,
            job,
        }
    }

    /// Records the load that `target` reported on an answer; goes before the `finish` of its
    /// attempt.
    pub fn record_report(&mut self, now: Instant, target: target::Key, report: Report) {
        self.add_report(now, target, report, 1);
    }

    /// Records the end of a probe of `target`: its report, or none if it did not answer in time.
    pub fn record_probe(
        &mut self,
        now: Instant,
        target: target::Key,
        report: Option<Report>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        self.pending_probes.remove(target);
        match report {
            Some(report) => self.add_report(now, target, report, 0),
            None => {
                if let Some(stats) = self.stats.get_mut(target) {
                    stats.add_failure(now);
                }
            }
        }
        self.dispatch(now, Some(target), rng, out);
    }

    /// Adds a report of `target`, where `ended` of the attempts counted here have ended already.
    fn add_report(&mut self, now: Instant, target: target::Key, report: Report, ended: usize) {
        let Some(slots) = self.targets.get(target).map(|target| target.spec.slots) else {
            return;
        };
        let is_own = self.is_own(target);
        let Some(stats) = self.stats.get_mut(target) else {
            return;
        };
        if let Some(percent) = report.slowdown_percent {
            let before = stats.last_slowdown(now);
            self.noise.record(number(percent) / 100.0, before);
        }
        if !is_own {
            let load = report.running + report.queued + 1;
            let has_room = load <= self.speed.easy_load(slots);
            self.search.record_room(now, target, has_room);
        }
        let running = stats.own_calls().saturating_sub(ended);
        let others = stats.add_report(now, report, running) / number(slots.max(1));
        let mean = if is_own {
            &mut self.own_others
        } else {
            &mut self.foreign_others
        };
        *mean += (others - *mean) * OTHERS_WEIGHT;
    }

    /// Number of targets that belong to this VM.
    pub(super) fn own_count(&self) -> usize {
        self.groups.as_ref().map_or(0, Groups::own_count)
    }

    /// Whether the target belongs to this VM.
    pub(super) fn is_own(&self, target: target::Key) -> bool {
        self.targets.get(target).is_some_and(|target| {
            target.spec.region == self.place.region
                && !is_foreign(&self.place, self.own_targets.as_ref(), &target.spec)
        })
    }

    /// Records the bytes that `call` carried in both directions.
    pub fn record_bytes(&mut self, call: Call, bytes: u64) {
        if let Some(flight) = self.flights.get(&call) {
            self.bytes.record(flight.item.job.entry, number(bytes));
        }
    }

    /// Records that a call took `seconds` at its target.
    pub(super) fn record_took(&mut self, seconds: f64) {
        let took = self.took_s.get_or_insert(seconds);
        *took += (seconds - *took) * TOOK_WEIGHT;
    }

    /// Ends the attempt of `call` at `target`, and sends calls that wait.
    pub fn finish(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        ending: Ending,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) -> Progress {
        let progress = self.end_attempt(now, call, target, ending, out);
        self.dispatch(now, Some(target), rng, out);
        progress
    }

    /// Removes a call that is no longer wanted, whether it waits or is in flight.
    pub fn withdraw(&mut self, call: Call, out: &mut Vec<Action>) {
        self.queue.remove(call);
        self.cancel_flight(call, out);
    }

    /// Handles the passing of time: forgets old probes, sends or refuses calls that wait and sends
    /// copies of slow ones.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.pending_probes
            .retain(|_, sent| now.since(*sent) < PROBE_FORGOTTEN_AFTER);
        self.dispatch(now, None, rng, out);
        self.hedge(now, rng, out);
    }

    /// The latest moment for the next `tick`, as seen from `now`; none while no call needs one.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let waiting = (!self.queue.is_empty()).then(|| {
            let end = self.queue.next_end().unwrap_or(now);
            end.clamp(now, now + TICK)
        });
        let copies = self.hedges.first().map(|(due, _)| (*due).max(now));
        waiting.into_iter().chain(copies).min()
    }

    /// Expected seconds of work of a call on a usual target.
    pub(super) fn expected_work(&self, job: &Job) -> f64 {
        self.speed.work(job.entry, seconds(job.objective))
    }

    /// Mean seconds of work over the entries.
    pub(super) fn typical_work(&self) -> f64 {
        self.speed.typical().unwrap_or(ASSUMED_WORK_S)
    }

    /// The targets that a decision looks at, and `freed` if it takes new work.
    pub(super) fn view(
        &mut self,
        now: Instant,
        freed: Option<target::Key>,
        rng: &mut SmallRng,
    ) -> View {
        let groups = self.groups.take().unwrap_or_else(|| {
            let own = self.own_targets.as_ref();
            Groups::new(&self.vm, &self.place, own, &self.targets)
        });
        let candidate = |key| Some((key, self.candidate(now, key)?));
        let mut view: View = groups.own(rng).filter_map(candidate).collect();
        let has_own = !view.is_empty();
        if !view.iter().any(|(_, target)| target.is_good()) {
            view.extend(groups.others(rng).into_iter().filter_map(candidate));
        }
        if let Some(freed) = freed
            && !view.iter().any(|(key, _)| *key == freed)
        {
            view.extend(candidate(freed));
        }
        // Without targets of its own, a VM sends to others whatever it knows of them.
        if !has_own {
            for (_, target) in &mut view {
                target.known = true;
            }
        }
        self.groups = Some(groups);
        view
    }

    /// Brings the state of `target` in `view` up to date.
    pub(super) fn refresh(&self, now: Instant, view: &mut View, target: target::Key) {
        let found = view.iter_mut().find(|(key, _)| *key == target);
        if let (Some((_, known)), Some(candidate)) = (found, self.candidate(now, target)) {
            *known = candidate;
        }
    }

    /// The target of `key` in the state in which one more call would find it; none if it takes no new
    /// work.
    fn candidate(&self, now: Instant, key: target::Key) -> Option<Candidate> {
        let target = self.targets.get(key)?;
        if target.standing != Standing::Open {
            return None;
        }
        let stats = self.stats.get(key)?;
        let slots = number(target.spec.slots);
        let load = stats.load(now, self.typical_work(), self.usual_others(key, slots)) + 1.0;
        let own = self.is_own(key);
        let allowance = self.stated.get(key).map_or(f64::INFINITY, |stated| {
            stated.allowance(now, self.users_of(&target.spec))
        });
        Some(Candidate {
            load,
            slots,
            max_load: number(self.max_load(now, key, target.spec.slots)),
            easy_load: number(self.speed.easy_load(target.spec.slots)),
            congestion: self.speed.factor(load, slots),
            machine: stats.machine(now, &self.noise),
            usual_machine: self.noise.usual(),
            slowness: stats.slowness(now),
            failure_share: stats.failure_share(now),
            round_trip: target.round_trip,
            distance: self.distance(&target.spec),
            foreign: !own && target.spec.region == self.place.region,
            known: own || self.is_known(now, key, target.round_trip),
            allowance,
        })
    }

    /// Largest load that the target gets. Some targets get less for a while if that tells how the load
    /// slows them.
    fn max_load(&self, now: Instant, key: target::Key, slots: u64) -> u64 {
        let max = self.speed.max_load(slots);
        if max < slots.max(2) || !self.speed.wants_answers(max - 1, slots) {
            return max;
        }
        let turn = now.as_micros() / EXPLORED_FOR.as_micros();
        let explored = (key.data().as_ffi() + turn).is_multiple_of(EXPLORED_OF);
        if explored { max - 1 } else { max }
    }

    fn distance(&self, spec: &entry::Target) -> Distance {
        if spec.region != self.place.region {
            Distance::Region
        } else if spec.data_center != self.place.data_center {
            Distance::DataCenter
        } else {
            Distance::Local
        }
    }

    fn criteria(&self, now: Instant, item: &Item) -> Criteria {
        let Job { entry, urgency, .. } = item.job;
        let cost = self.limits.cost;
        Criteria {
            work: item.work,
            objective: seconds(item.job.objective),
            remaining: item.remaining(now),
            repeatable: item.job.class != Class::Once,
            data_center_loss: self.bytes.loss(entry, urgency, number(cost.data_center)),
            region_loss: self.bytes.loss(entry, urgency, number(cost.region)),
        }
    }

    /// The targets of `view` that may get the call, apart from `skip`, by ascending expected loss of the
    /// call.
    pub(super) fn rank(
        &self,
        now: Instant,
        item: &Item,
        view: &View,
        skip: &[target::Key],
    ) -> Vec<Choice> {
        let mut choices: Vec<Choice> = self.score(now, item, view, skip).collect();
        choices.sort_by(|left, right| left.loss.total_cmp(&right.loss));
        choices
    }

    /// The target of `view` with room for the call that has the smallest expected loss. One that the call
    /// has tried is chosen only if no other has room.
    pub(super) fn pick(
        &self,
        now: Instant,
        item: &Item,
        view: &View,
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        let picked = self.pick_from(now, item, view, &item.tried, rng);
        if picked.is_none() && !item.tried.is_empty() {
            return self.pick_from(now, item, view, &[], rng);
        }
        picked
    }

    /// The target of `view` with room for the call, apart from `skip`, that has the smallest expected
    /// loss.
    pub(super) fn pick_from(
        &self,
        now: Instant,
        item: &Item,
        view: &View,
        skip: &[target::Key],
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        for mut choice in self.score(now, item, view, skip) {
            if !choice.candidate.has_room() {
                continue;
            }
            choice.loss += JITTER * rng.random::<f64>();
            if best.is_none_or(|best| choice.loss < best.loss) {
                best = Some(choice);
            }
        }
        best
    }

    /// The targets of `view` that may get the call, apart from `skip`, each with the expected loss of the
    /// call there.
    pub(super) fn score<'a>(
        &'a self,
        now: Instant,
        item: &Item,
        view: &'a View,
        skip: &'a [target::Key],
    ) -> impl Iterator<Item = Choice> + 'a {
        let criteria = self.criteria(now, item);
        let open = view
            .iter()
            .filter(|(key, candidate)| !skip.contains(key) && candidate.is_allowed());
        open.map(move |(target, candidate)| Choice {
            target: *target,
            candidate: *candidate,
            loss: candidate.loss(&criteria, &self.noise),
        })
    }
}

/// Whether a target of `view` that the call has not tried has room.
fn has_room(item: &Item, view: &View) -> bool {
    let free =
        |(key, target): &(target::Key, Candidate)| target.has_room() && !item.tried.contains(key);
    view.iter().any(free)
}
