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
use crate::map::Map;
use crate::map::Set;
use crate::place::cold;
use crate::place::cold::Cold;
use crate::place::count::Count;
use crate::place::flight::Flight;
use crate::place::loss::Candidate;
use crate::place::loss::Criteria;
use crate::place::loss::Distance;
use crate::place::loss::max_load;
use crate::place::queue::Item;
use crate::place::queue::Queue;
use crate::place::region::is_limited;
use crate::place::region::permitted;
use crate::place::spill::Spill;
use crate::place::stats::Stats;
use crate::place::work::Work;
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

/// The targets among which calls that wait are assigned.
struct Offer {
    candidates: Vec<(target::Key, Candidate)>,
    /// Whether any of them has room.
    open: bool,
}

impl Offer {
    fn new(candidates: Vec<(target::Key, Candidate)>) -> Self {
        let open = candidates.iter().any(|(_, target)| target.has_room());
        Self { candidates, open }
    }

    /// Takes room for one call at `target`.
    fn take(&mut self, target: target::Key) {
        let mut chosen = self.candidates.iter_mut();
        if let Some((_, candidate)) = chosen.find(|(key, _)| *key == target) {
            candidate.load += 1.0;
            candidate.allowance -= 1.0;
        }
        self.open = self.candidates.iter().any(|(_, target)| target.has_room());
    }
}

/// Weight of a new report in the mean slowdown of the machines.
const SLOWDOWN_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of a new report in the mean load of other VMs.
const OTHERS_WEIGHT: f64 = 1.0 / 16.0;
/// Random part of a loss, so that equal targets take turns.
const JITTER: f64 = 0.01;
/// Seconds of work that are assumed before any answer.
pub(super) const ASSUMED_WORK_S: f64 = 0.050;
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
    pub(super) users: Option<Map<Box<str>, usize>>,
    /// What targets state of themselves.
    pub(super) stated: SecondaryMap<target::Key, Stated>,
    pub(super) stats: SecondaryMap<target::Key, Stats>,
    /// What cold targets tolerate; none for any number of requests.
    pub(super) cold_bound: Option<cold::Bound>,
    /// Names of the cold targets that this VM may use.
    pub(super) cold_users: Set<Box<str>>,
    /// Which targets are cold.
    pub(super) cold: SecondaryMap<target::Key, Cold>,
    pub(super) queue: Queue,
    pub(super) flights: Map<Call, Flight>,
    pub(super) work: Work,
    pub(super) spill: Spill,
    /// Mean slowdown of the machines, 1 for as usual.
    pub(super) mean_slowdown: f64,
    /// Mean requests of other VMs at a target, for each of its slots.
    pub(super) mean_others: f64,
    /// Whether reports on answers count the request that they answer.
    count: Count,
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
            cold_bound: None,
            cold_users: Set::default(),
            cold: SecondaryMap::new(),
            queue: Queue::default(),
            flights: Map::default(),
            work: Work::default(),
            spill: Spill::default(),
            mean_slowdown: 1.0,
            mean_others: 0.0,
            count: Count::default(),
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
        self.spill.update(&self.targets, self.own_targets.as_ref());
        let targets = &self.targets;
        self.stats.retain(|key, _| targets.get(key).is_some());
        self.stated.retain(|key, _| targets.get(key).is_some());
        self.cold.retain(|key, _| targets.get(key).is_some());
        let mut cold = Vec::new();
        for (key, target) in self.targets.iter() {
            if !self.stats.contains_key(key) {
                self.stats.insert(key, Stats::default());
                self.cold.insert(key, Cold::new(now));
            }
            cold.extend(cold_until(&target.spec.name).map(|until| (key, until)));
        }
        for (key, until) in cold {
            self.set_cold_until(key, until);
        }
    }

    /// Sets the names of the targets that belong to this VM; none if no target counts as foreign.
    pub fn set_own_targets(&mut self, targets: Option<Set<Box<str>>>) {
        self.own_targets = targets;
        self.spill.update(&self.targets, self.own_targets.as_ref());
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
            cost: self.cost(&job),
            job,
        };
        let mut candidates = self.candidates(now);
        self.bound_leaving(now, &mut candidates, rng);
        item.probe_deadline = self.probe_best(now, &item, work, &candidates, out);
        let is_limited = is_limited(&candidates, &item.job.regions);
        let reason = Refusal::Overloaded;
        if self.would_wait_too_long(now, &item, work, is_limited) {
            let call = item.job.call;
            out.push(Action::Refuse { call, reason });
            return;
        }
        if self.queue.len_of(&item.job.regions) >= self.limits.queue {
            // A full queue keeps the most urgent calls.
            let last = self.queue.remove_last_after(&item.job);
            let call = last.as_ref().unwrap_or(&item).job.call;
            out.push(Action::Refuse { call, reason });
            if last.is_none() {
                return;
            }
        }
        self.queue.push(item);
        self.assign(now, candidates, rng, out);
    }

    /// Records the load that `target` reported on an answer; goes before the `finish` of its
    /// attempt.
    pub fn record_report(&mut self, now: Instant, target: target::Key, report: Report) {
        let stats = self.stats.get(target);
        if stats.is_some_and(|stats| stats.own_calls() == 1) {
            self.count.record(report);
        }
        let ended = usize::from(!self.count.includes_answered());
        self.add_report(now, target, report, ended);
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
        self.change_cold(target, |cold, bound| match report {
            Some(_) => cold.record_answer(now, bound),
            None => cold.record_silence(now, bound),
        });
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

    /// Adds a report of `target`, where `ended` of the attempts counted here are not
    /// in the report, since they have ended.
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

    /// Expected seconds of work of a call on a usual target.
    pub(super) fn expected_work(&self, job: &Job) -> f64 {
        self.work.expected(job.entry, seconds(job.objective))
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
                region: target.region,
                foreign: self.is_foreign(&target.spec),
                allowance: self
                    .stated
                    .get(key)
                    .map_or(f64::INFINITY, |stated| {
                        stated.allowance(now, self.users_of(&target.spec))
                    })
                    .min(self.cold_allowance(now, key, &target.spec.name)),
                leave: None,
                may_leave: true,
                unreported: false,
                price: 0.0,
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
            let mut candidates = self.candidates(now);
            self.bound_leaving(now, &mut candidates, rng);
            self.assign(now, candidates, rng, out);
        }
    }

    /// Sends the waiting calls for which a target has room, and refuses those that waited too long.
    /// Refuses those for which no target in their regions takes new work.
    fn assign(
        &mut self,
        now: Instant,
        candidates: Vec<(target::Key, Candidate)>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let is_lost = |item: &Item| permitted(&candidates, &item.job.regions).next().is_none();
        for item in self.queue.extract(is_lost) {
            let call = item.job.call;
            let reason = Refusal::NoTarget;
            out.push(Action::Refuse { call, reason });
        }
        // Under overload many calls wait, so the candidates are derived once for all of them, and
        // not weighed for each call once none has room.
        let mut offer = Offer::new(candidates);
        let order = self.queue.by_priority(now, |job| self.expected_work(job));
        for group in order.chunk_by(|left, right| left.0 == right.0) {
            // Of the calls of the same rank that leave the data centre, those that gain most for
            // their bytes go first.
            let mut leaving = Vec::new();
            for (_, call) in group {
                let later = (group.len() > 1).then_some(&mut leaving);
                self.assign_call(now, *call, &mut offer, later, rng, out);
            }
            leaving.sort_by(|left: &(f64, Call), right| right.0.total_cmp(&left.0));
            for (_, call) in leaving {
                self.assign_call(now, call, &mut offer, None, rng, out);
            }
        }
    }

    /// Sends a call that waits if a target has room, or refuses it if it waited too long. A call
    /// that would leave the data centre is added to `leaving` instead, with its gain by byte.
    fn assign_call(
        &mut self,
        now: Instant,
        call: Call,
        offer: &mut Offer,
        leaving: Option<&mut Vec<(f64, Call)>>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let Some(item) = self.queue.iter().find(|item| item.job.call == call) else {
            return;
        };
        let probing = item.probe_deadline.is_some_and(|deadline| now < deadline);
        let work = self.expected_work(&item.job);
        if probing && !self.is_best_probed(now, item, work, &offer.candidates) {
            return;
        }
        let choice = offer
            .open
            .then(|| {
                pick(&offer.candidates, now, item, work, &item.tried, rng)
                    .or_else(|| pick(&offer.candidates, now, item, work, &[], rng))
            })
            .flatten();
        match choice {
            Some(choice) => {
                if let Some(leaving) = leaving.filter(|_| choice.candidate.leave.is_some()) {
                    leaving.push((item.gain_by_byte(choice.loss), call));
                    return;
                }
                if let Some(item) = self.queue.remove(call) {
                    let remaining = item.remaining(now);
                    self.send(now, item, &choice, work, out);
                    self.record_leaving(now, call, remaining, &choice, &mut offer.candidates);
                }
                offer.take(choice.target);
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
    item: &'a Item,
    work: f64,
    skip: &'a [target::Key],
) -> impl Iterator<Item = Choice> + 'a {
    let criteria = Criteria {
        work,
        objective: seconds(item.job.objective),
        remaining: item.remaining(now),
        repeatable: item.job.class != Class::Once,
        cost: item.cost,
    };
    let regions = item.job.regions.clone();
    let open = candidates.iter().filter(move |(key, candidate)| {
        !skip.contains(key)
            && candidate.is_allowed()
            && regions.includes(candidate.region)
            && item.cost.pays(candidate.distance)
    });
    open.map(move |(target, candidate)| Choice {
        target: *target,
        candidate: *candidate,
        loss: candidate.loss(&criteria),
    })
}
