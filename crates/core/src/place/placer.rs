//! Placement of the calls to one service: holds its targets, the calls that wait and those in
//! flight.

use rand::RngExt;
use rand::rngs::SmallRng;
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
use crate::place::flight::Flight;
use crate::place::loss::Candidate;
use crate::place::loss::Criteria;
use crate::place::loss::Distance;
use crate::place::loss::max_load;
use crate::place::queue::Item;
use crate::place::queue::Queue;
use crate::place::stats::Stats;
use crate::place::work::Work;
use crate::stated::Change;
use crate::stated::Stated;
use crate::stated::Statement;
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

/// A target with the expected loss of a call there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) target: target::Key,
    pub(super) candidate: Candidate,
    pub(super) loss: f64,
}

/// Weight of a new report in the mean slowdown of the machines.
const SLOWDOWN_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of a new report in the mean load of other VMs.
const OTHERS_WEIGHT: f64 = 1.0 / 16.0;
/// Random part of a loss, so that equal targets take turns.
const JITTER: f64 = 0.01;
/// Seconds of work that are assumed before any answer.
const ASSUMED_WORK_S: f64 = 0.050;
/// Calls a second below which no target counts as getting any.
const MIN_THROUGHPUT: f64 = 0.001;
/// Longest wait that a refused caller is told. What binds now may end long before.
const EXPECTED_WAIT_MAX: Span = Span::from_millis(10_000);
/// Time after which an unanswered probe is forgotten. The probe itself times out earlier.
const PROBE_FORGOTTEN_AFTER: Span = Span::from_millis(500);
/// Time between two ticks while calls wait for room, or for a target that is worth a copy. The ends
/// of calls and the answers to probes are handled at once; meanwhile, estimates only age.
const TICK: Span = Span::from_millis(10);

/// Places the calls to one service.
#[derive(Debug)]
pub struct Placer {
    pub(super) place: Place,
    pub(super) limits: Limits,
    pub(super) targets: Table,
    /// Names of the targets that belong to this VM; none if no target counts as foreign.
    pub(super) own_targets: Option<Set<Box<str>>>,
    /// Names of the targets that this VM may use while they state a limit, each with the number of VMs
    /// that may; none before homes are known, when this VM may use all by itself.
    users: Option<Map<Box<str>, usize>>,
    /// What targets state of themselves.
    pub(super) stated: SecondaryMap<target::Key, Stated>,
    pub(super) stats: SecondaryMap<target::Key, Stats>,
    pub(super) queue: Queue,
    pub(super) flights: Map<Call, Flight>,
    pub(super) work: Work,
    /// Mean slowdown of the machines, 1 for as usual.
    pub(super) mean_slowdown: f64,
    /// Mean requests of other VMs at a target, for each of its slots.
    pub(super) mean_others: f64,
    /// When the newest probe of a target was sent, until it is answered or forgotten.
    pub(super) pending_probes: SecondaryMap<target::Key, Instant>,
    /// When a target was last probed.
    pub(super) last_probes: SecondaryMap<target::Key, Instant>,
}

impl Placer {
    /// A placer without targets.
    #[must_use]
    pub fn new(place: Place, limits: Limits) -> Self {
        Self {
            place,
            limits,
            targets: Table::default(),
            own_targets: None,
            users: None,
            stated: SecondaryMap::new(),
            stats: SecondaryMap::new(),
            queue: Queue::default(),
            flights: Map::default(),
            work: Work::default(),
            mean_slowdown: 1.0,
            mean_others: 0.0,
            pending_probes: SecondaryMap::new(),
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
    }

    /// Sets the names of the targets that belong to this VM; none if no target counts as foreign.
    pub fn set_own_targets(&mut self, targets: Option<Set<Box<str>>>) {
        self.own_targets = targets;
    }

    /// Sets the names of the targets that this VM may use while they state a limit, each with the number
    /// of VMs that may.
    pub fn set_users(&mut self, users: Map<Box<str>, usize>) {
        self.users = Some(users);
    }

    /// Takes over what an answer to a request sent at `sent` states of its target.
    pub fn record_statement(
        &mut self,
        now: Instant,
        target: target::Key,
        sent: Instant,
        statement: Statement,
    ) -> Vec<Change> {
        let known = self.targets.get(target);
        let Some(stated) = known.and_then(|_| self.stated.entry(target)) else {
            return Vec::new();
        };
        stated.or_default().record(now, sent, statement)
    }

    /// Whether the target states that it takes nothing from this VM at `now`.
    #[must_use]
    pub fn is_closed(&self, now: Instant, target: target::Key) -> bool {
        let stated = self.stated.get(target);
        stated.is_some_and(|stated| stated.wait(now).is_none_or(|wait| wait > Span::ZERO))
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
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
        let decay_s = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let slots = self.targets.get(target)?.spec.slots;
        Some(Estimate {
            load: stats.load(now, decay_s, self.usual_others(target, number(slots))),
            slowdown: stats.slowdown(now, self.mean_slowdown),
            failure_share: stats.failure_share(now),
            report_age: stats.report_age(now),
            limit_per_s: self.stated.get(target).and_then(Stated::limit),
        })
    }

    /// Number of calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Sets whether `target` may get new work.
    pub fn set_standing(&mut self, target: target::Key, standing: Standing) {
        if let Some(target) = self.targets.get_mut(target) {
            target.set_standing(standing);
        }
    }

    /// Handles a call that arrived, or one that ended and is offered again: sends it, lets it wait
    /// or refuses it.
    pub fn arrive(&mut self, now: Instant, job: Job, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let work = self.expected_work(&job);
        let mut item = Item {
            arrived: job.arrived,
            tried: job.avoid.into_iter().collect(),
            probe_deadline: None,
            job,
        };
        let candidates = self.candidates(now);
        item.probe_deadline = self.probe_best(now, &item, work, &candidates, out);
        let is_limited = candidates.iter().all(|(_, target)| !target.is_allowed());
        if self.queue.len() >= self.limits.queue
            || self.would_wait_too_long(now, &item, work, is_limited)
        {
            let call = item.job.call;
            let reason = Refusal::Overloaded;
            out.push(Action::Refuse { call, reason });
            return;
        }
        self.queue.push(item);
        self.assign(now, candidates, rng, out);
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
        self.dispatch(now, rng, out);
    }

    /// Adds a report of `target`, where `ended` of the attempts counted here have ended already.
    fn add_report(&mut self, now: Instant, target: target::Key, report: Report, ended: usize) {
        if let Some(percent) = report.slowdown_percent {
            let slowdown = number(percent) / 100.0;
            self.mean_slowdown += (slowdown - self.mean_slowdown) * SLOWDOWN_WEIGHT;
        }
        let slots = self.targets.get(target).map(|target| target.spec.slots);
        if let (Some(slots), Some(stats)) = (slots, self.stats.get_mut(target)) {
            let running = stats.own_calls().saturating_sub(ended);
            let others = stats.add_report(now, report, running) / number(slots.max(1));
            self.mean_others += (others - self.mean_others) * OTHERS_WEIGHT;
        }
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
        self.dispatch(now, rng, out);
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
        self.dispatch(now, rng, out);
        self.hedge(now, rng, out);
    }

    /// The latest moment for the next `tick`, as seen from `now`; none while no call needs one.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let wait = |item: &Item| match item.probe_deadline {
            Some(deadline) if now < deadline => deadline,
            Some(_) | None => now + TICK,
        };
        let waiting = self.queue.iter().map(wait);
        let running = self.flights.values().filter_map(Flight::hedge_due);
        let running = running.map(|due| if now < due { due } else { now + TICK });
        waiting.chain(running).min()
    }

    /// Expected wait of a new call, after which a refused caller may retry.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Span {
        let ahead = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let throughput = self.throughput(now);
        if throughput < MIN_THROUGHPUT {
            let targets = self.stated.values().filter_map(|stated| stated.wait(now));
            let first = targets.filter(|wait| *wait > Span::ZERO).min();
            return first.map_or(EXPECTED_WAIT_MAX, |wait| wait.min(EXPECTED_WAIT_MAX));
        }
        span(number(ahead + 1) / throughput).min(EXPECTED_WAIT_MAX)
    }

    /// Calls a second that the open targets complete when each has its largest load.
    fn throughput(&self, now: Instant) -> f64 {
        let typical = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let throughput = |(key, target): (target::Key, &target::Target)| {
            let slowdown = self
                .stats
                .get(key)
                .map_or(1.0, |stats| stats.slowdown(now, self.mean_slowdown));
            let throughput = number(max_load(target.spec.slots)) / (typical * slowdown);
            match self.limit_of(now, key, target) {
                Some(limit) => throughput.min(limit),
                None => throughput,
            }
        };
        let open = self
            .targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Open);
        open.map(throughput).sum()
    }

    /// Requests a second that the limit which the target states leaves to this VM; none without one.
    fn limit_of(&self, now: Instant, key: target::Key, target: &target::Target) -> Option<f64> {
        let users = self.users_of(&target.spec);
        self.stated.get(key)?.rate(now, users)
    }

    /// Requests of other VMs that are expected at a target without reports. A target with a limit gets
    /// few: only some VMs send there, and no more than their shares.
    fn usual_others(&self, key: target::Key, slots: f64) -> f64 {
        let limit = self.stated.get(key).and_then(Stated::limit);
        limit.map_or(self.mean_others * slots, |_| 0.0)
    }

    /// Number of VMs that may use the target while it states a limit, this one included; zero if this
    /// one may not.
    pub(super) fn users_of(&self, spec: &entry::Target) -> usize {
        let users = self.users.as_ref();
        users.map_or(1, |users| users.get(&spec.name).copied().unwrap_or(0))
    }

    /// Expected seconds of work of a call on a usual target.
    pub(super) fn expected_work(&self, job: &Job) -> f64 {
        self.work.expected(job.entry, seconds(job.objective))
    }

    /// Whether so many calls wait that the call could not be served before its caller leaves, or
    /// would wait for longer than it may. `is_limited` states that no target may get it at once
    /// because of the limits that they state: then it waits like a call behind another one.
    fn would_wait_too_long(&self, now: Instant, item: &Item, work: f64, is_limited: bool) -> bool {
        let ahead = self
            .queue
            .ahead(now, item.job.urgency, |job| self.expected_work(job))
            + usize::from(is_limited);
        if ahead == 0 {
            return false;
        }
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let wait = number(ahead) / self.throughput(now).max(f64::MIN_POSITIVE);
        wait > item.max_wait(now, work * self.mean_slowdown)
            || wait + work > seconds(item.job.deadline.since(now))
    }

    /// The targets that take new work, each in the state in which one more call would find it.
    pub(super) fn candidates(&self, now: Instant) -> Vec<(target::Key, Candidate)> {
        let decay_s = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let candidate = |(key, target): (target::Key, &target::Target)| {
            let stats = self.stats.get(key)?;
            let slots = number(target.spec.slots);
            let candidate = Candidate {
                load: stats.load(now, decay_s, self.usual_others(key, slots)) + 1.0,
                slots,
                max_load: number(max_load(target.spec.slots)),
                slowdown: stats.slowdown(now, self.mean_slowdown),
                failure_share: stats.failure_share(now),
                round_trip: target.round_trip,
                distance: self.distance(&target.spec),
                foreign: self.is_foreign(&target.spec),
                allowance: self.stated.get(key).map_or(f64::INFINITY, |stated| {
                    stated.allowance(now, self.users_of(&target.spec))
                }),
            };
            Some((key, candidate))
        };
        self.targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Open)
            .filter_map(candidate)
            .collect()
    }

    /// Whether the target belongs to another VM of the region.
    fn is_foreign(&self, spec: &entry::Target) -> bool {
        let own = self.own_targets.as_ref();
        spec.region == self.place.region && own.is_some_and(|own| !own.contains(&spec.name))
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

    /// Assigns calls that wait to the targets as they are known now, if any call waits.
    fn dispatch(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        if !self.queue.is_empty() {
            let candidates = self.candidates(now);
            self.assign(now, candidates, rng, out);
        }
    }

    /// Sends the waiting calls for which a target has room, and refuses those that waited too long.
    /// Refuses all if no target takes new work.
    fn assign(
        &mut self,
        now: Instant,
        mut candidates: Vec<(target::Key, Candidate)>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        if candidates.is_empty() {
            for item in self.queue.extract(|_| true) {
                let call = item.job.call;
                let reason = Refusal::NoTarget;
                out.push(Action::Refuse { call, reason });
            }
            return;
        }
        // Under overload many calls wait, so the candidates are derived once for all of them.
        for call in self.queue.by_priority(now, |job| self.expected_work(job)) {
            let Some(item) = self.queue.iter().find(|item| item.job.call == call) else {
                continue;
            };
            let probing = item.probe_deadline.is_some_and(|deadline| now < deadline);
            let work = self.expected_work(&item.job);
            if probing && !self.is_best_probed(now, item, work, &candidates) {
                continue;
            }
            let choice = pick(&candidates, now, item, work, &item.tried, rng)
                .or_else(|| pick(&candidates, now, item, work, &[], rng));
            match choice {
                Some(choice) => {
                    if let Some(item) = self.queue.remove(call) {
                        self.send(now, item, &choice, work, out);
                    }
                    let mut chosen = candidates.iter_mut();
                    if let Some((_, candidate)) = chosen.find(|(key, _)| *key == choice.target) {
                        candidate.load += 1.0;
                        candidate.allowance -= 1.0;
                    }
                }
                None if item.is_expired(now, work) => {
                    self.queue.remove(call);
                    let reason = Refusal::Overloaded;
                    out.push(Action::Refuse { call, reason });
                }
                None => {}
            }
        }
    }
}

/// The targets that may get the call, apart from `skip`, by ascending expected loss of the call.
pub(super) fn rank(
    candidates: &[(target::Key, Candidate)],
    now: Instant,
    item: &Item,
    work: f64,
    skip: &[target::Key],
) -> Vec<Choice> {
    let mut choices: Vec<Choice> = score(candidates, now, item, work, skip).collect();
    choices.sort_by(|left, right| left.loss.total_cmp(&right.loss));
    choices
}

/// The target with room for the call, apart from `skip`, that has the smallest expected loss.
pub(super) fn pick(
    candidates: &[(target::Key, Candidate)],
    now: Instant,
    item: &Item,
    work: f64,
    skip: &[target::Key],
    rng: &mut SmallRng,
) -> Option<Choice> {
    let mut best: Option<Choice> = None;
    for mut choice in score(candidates, now, item, work, skip) {
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

/// The targets that may get the call, apart from `skip`, each with the expected loss of the call
/// there.
pub(super) fn score<'a>(
    candidates: &'a [(target::Key, Candidate)],
    now: Instant,
    item: &Item,
    work: f64,
    skip: &'a [target::Key],
) -> impl Iterator<Item = Choice> + 'a {
    let criteria = Criteria {
        work,
        objective: seconds(item.job.objective),
        remaining: item.remaining(now),
        repeatable: item.job.class != Class::Once,
        urgency: item.job.urgency,
    };
    let open = candidates
        .iter()
        .filter(|(key, candidate)| !skip.contains(key) && candidate.is_allowed());
    open.map(move |(target, candidate)| Choice {
        target: *target,
        candidate: *candidate,
        loss: candidate.loss(&criteria),
    })
}
