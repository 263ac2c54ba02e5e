//! The aggregate of one service: its targets, the calls that wait and those that run.

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
use crate::place::hold::Held;
use crate::place::hold::Queue;
use crate::place::loss::Need;
use crate::place::loss::View;
use crate::place::loss::Way;
use crate::place::loss::room;
use crate::place::sight::Sight;
use crate::place::work::Work;
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

/// What a decision about a target rested on.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Requests there, own ones included.
    pub load: f64,
    /// How many times longer work takes than usual.
    pub factor: f64,
    /// Share of calls that fail.
    pub failing: f64,
    /// Age of the newest report.
    pub age: Option<Span>,
}

/// A target with what a call is expected to lose there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) target: target::Key,
    pub(super) view: View,
    pub(super) loss: f64,
}

/// Weight of a new figure in the usual pace.
const PACE_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of a new report in the usual load of other VMs.
const OTHERS_WEIGHT: f64 = 1.0 / 16.0;
/// Random part of a loss, so that equal targets take turns.
const JITTER: f64 = 0.01;
/// Seconds of work that are assumed before any answer.
const ASSUMED_WORK_S: f64 = 0.050;
/// Time after which the answer to a probe is not waited for any more; a probe times out before.
const PROBE_FORGOTTEN: Span = Span::from_millis(500);
/// Time between two ticks while calls wait for room, or for a target that is worth a copy. The ends of
/// calls and the answers to probes bring news at once; in between, figures only age.
const TICK: Span = Span::from_millis(10);

/// Places the calls to one service.
#[derive(Debug)]
pub struct Placer {
    pub(super) place: Place,
    pub(super) limits: Limits,
    pub(super) targets: Table,
    /// Names of the targets that belong to this VM, if they are told apart.
    pub(super) own: Option<Set<Box<str>>>,
    pub(super) sights: SecondaryMap<target::Key, Sight>,
    pub(super) queue: Queue,
    pub(super) flights: Map<Call, Flight>,
    pub(super) work: Work,
    /// Mean pace of the machines, 1 for as usual.
    pub(super) usual_pace: f64,
    /// Mean requests of other VMs at a target, for each of its slots.
    pub(super) usual_others: f64,
    /// When the newest probe of a target was sent, while it is not answered.
    pub(super) probes: SecondaryMap<target::Key, Instant>,
    /// When a target was last probed.
    pub(super) probed: SecondaryMap<target::Key, Instant>,
}

impl Placer {
    /// A service without targets.
    #[must_use]
    pub fn new(place: Place, limits: Limits) -> Self {
        Self {
            place,
            limits,
            targets: Table::default(),
            own: None,
            sights: SecondaryMap::new(),
            queue: Queue::default(),
            flights: Map::default(),
            work: Work::default(),
            usual_pace: 1.0,
            usual_others: 0.0,
            probes: SecondaryMap::new(),
            probed: SecondaryMap::new(),
        }
    }

    /// Takes over the targets in force; `cold` tells until when one is slow after its start.
    pub fn update(
        &mut self,
        now: Instant,
        specs: &[entry::Target],
        cold: impl Fn(&str) -> Option<Instant>,
    ) {
        self.targets.update(now, &self.place, specs);
        let targets = &self.targets;
        self.sights.retain(|key, _| targets.get(key).is_some());
        for (key, target) in self.targets.iter() {
            if !self.sights.contains_key(key) {
                self.sights.insert(key, Sight::default());
            }
            if let (Some(until), Some(sight)) = (cold(&target.spec.name), self.sights.get_mut(key))
            {
                sight.cold(until);
            }
        }
    }

    /// Takes over the names of the targets that belong to this VM; none if none is told apart.
    pub fn own(&mut self, targets: Option<Set<Box<str>>>) {
        self.own = targets;
    }

    /// Takes over changed limits.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// The targets.
    #[must_use]
    pub fn targets(&self) -> &Table {
        &self.targets
    }

    /// What is known of the load of `target`.
    #[must_use]
    pub fn known(&self, now: Instant, target: target::Key) -> Option<Known> {
        let sight = self.sights.get(target)?;
        let memory = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let slots = self.targets.get(target)?.spec.slots;
        Some(Known {
            load: sight.load(now, memory, self.usual_others * number(slots)),
            factor: sight.factor(now, self.usual_pace),
            failing: sight.failing(now),
            age: sight.age(now),
        })
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Says whether `target` may get new work.
    pub fn stand(&mut self, target: target::Key, standing: Standing) {
        if let Some(target) = self.targets.get_mut(target) {
            target.set_standing(standing);
        }
    }

    /// A call arrived, or a call that was over is offered again.
    pub fn arrive(&mut self, now: Instant, ask: Job, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let work = self.work_of(&ask);
        let mut held = Held {
            arrived: ask.arrived,
            tried: ask.avoid.into_iter().collect(),
            settles: None,
            ask,
        };
        let views = self.views(now);
        held.settles = self.sound(now, &held, work, &views, out);
        if self.queue.len() >= self.limits.queue || self.is_hopeless(now, &held, work) {
            let call = held.ask.call;
            let reason = Refusal::Overloaded;
            out.push(Action::Refuse { call, reason });
            return;
        }
        self.queue.push(held);
        self.assign(now, views, rng, out);
    }

    /// `target` reported its load on an answer; goes before the `finish` of its attempt.
    pub fn report(&mut self, now: Instant, target: target::Key, report: Report) {
        self.heard(now, target, report, 1);
    }

    /// A probe of `target` was answered with `report`, or not in time.
    pub fn probed(
        &mut self,
        now: Instant,
        target: target::Key,
        report: Option<Report>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        self.probes.remove(target);
        match report {
            Some(report) => self.heard(now, target, report, 0),
            None => {
                if let Some(sight) = self.sights.get_mut(target) {
                    sight.failed(now);
                }
            }
        }
        self.dispatch(now, rng, out);
    }

    /// Takes a report that counts `own` calls of this VM that have ended.
    fn heard(&mut self, now: Instant, target: target::Key, report: Report, own: usize) {
        if let Some(pace) = report.pace {
            let pace = number(pace) / 100.0;
            self.usual_pace += (pace - self.usual_pace) * PACE_WEIGHT;
        }
        let slots = self.targets.get(target).map(|target| target.spec.slots);
        if let (Some(slots), Some(sight)) = (slots, self.sights.get_mut(target)) {
            let running = sight.own().saturating_sub(own);
            let others = sight.report(now, report, running) / number(slots.max(1));
            self.usual_others += (others - self.usual_others) * OTHERS_WEIGHT;
        }
    }

    /// The attempt of `call` at `target` ended.
    pub fn finish(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        ending: Ending,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) -> Progress {
        let fate = self.settle(now, call, target, ending, out);
        self.dispatch(now, rng, out);
        fate
    }

    /// A call is not wanted any more, whether it waits or runs.
    pub fn withdraw(&mut self, call: Call, out: &mut Vec<Action>) {
        self.queue.remove(call);
        self.drop_flight(call, out);
    }

    /// Time passed.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.probes
            .retain(|_, sent| now.since(*sent) < PROBE_FORGOTTEN);
        self.dispatch(now, rng, out);
        self.hedge(now, rng, out);
    }

    /// The latest moment for the next `tick`, as seen from `now`.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let wait = |held: &Held| match held.settles {
            Some(settles) if now < settles => settles,
            Some(_) | None => now + TICK,
        };
        let waiting = self.queue.iter().map(wait);
        let running = self.flights.values().filter_map(Flight::copy_from);
        let running = running.map(|due| if now < due { due } else { now + TICK });
        waiting.chain(running).min()
    }

    /// Expected wait of a new call, after which a refused caller may come again.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Span {
        let ahead = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        span(number(ahead + 1) / self.rate(now).max(f64::MIN_POSITIVE))
    }

    /// Calls a second that the open targets end when they are as full as they may be.
    fn rate(&self, now: Instant) -> f64 {
        let typical = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let rate = |(key, target): (target::Key, &target::Target)| {
            let factor = self
                .sights
                .get(key)
                .map_or(1.0, |sight| sight.factor(now, self.usual_pace));
            number(room(target.spec.slots)) / (typical * factor)
        };
        let open = self
            .targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Open);
        open.map(rate).sum()
    }

    pub(super) fn work_of(&self, ask: &Job) -> f64 {
        self.work.expected(ask.entry, seconds(ask.objective))
    }

    /// Whether so many calls wait that the call could not be served before its caller leaves, or would
    /// wait for longer than it may.
    fn is_hopeless(&self, now: Instant, held: &Held, work: f64) -> bool {
        let ahead = self
            .queue
            .ahead(now, held.ask.urgency, |ask| self.work_of(ask));
        if ahead == 0 {
            return false;
        }
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let wait = number(ahead) / self.rate(now).max(f64::MIN_POSITIVE);
        wait > held.patience(now, work * self.usual_pace)
            || wait + work > seconds(held.ask.deadline.since(now))
    }

    /// The targets that take new work, each as one more call would find it.
    pub(super) fn views(&self, now: Instant) -> Vec<(target::Key, View)> {
        let memory = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let view = |(key, target): (target::Key, &target::Target)| {
            let sight = self.sights.get(key)?;
            let slots = number(target.spec.slots);
            let view = View {
                load: sight.load(now, memory, self.usual_others * slots) + 1.0,
                slots,
                room: number(room(target.spec.slots)),
                factor: sight.factor(now, self.usual_pace),
                failing: sight.failing(now),
                round_trip: target.round_trip,
                way: self.way(&target.spec),
                foreign: self.is_foreign(&target.spec),
            };
            Some((key, view))
        };
        self.targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Open)
            .filter_map(view)
            .collect()
    }

    /// Whether another VM of the region sends to the target first.
    fn is_foreign(&self, spec: &entry::Target) -> bool {
        let own = self.own.as_ref();
        spec.region == self.place.region && own.is_some_and(|own| !own.contains(&spec.name))
    }

    fn way(&self, spec: &entry::Target) -> Way {
        if spec.region != self.place.region {
            Way::Region
        } else if spec.data_center != self.place.data_center {
            Way::DataCenter
        } else {
            Way::Within
        }
    }

    /// Acts on news for the calls that wait, if any does.
    fn dispatch(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        if !self.queue.is_empty() {
            let views = self.views(now);
            self.assign(now, views, rng, out);
        }
    }

    /// Gives targets to as many waiting calls as have room, and refuses those that waited too long.
    fn assign(
        &mut self,
        now: Instant,
        mut views: Vec<(target::Key, View)>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        if views.is_empty() {
            for held in self.queue.extract(|_| true) {
                let call = held.ask.call;
                let reason = Refusal::NoTarget;
                out.push(Action::Refuse { call, reason });
            }
            return;
        }
        // Under overload many calls wait, for each of which the targets look alike.
        for call in self.queue.order(now, |ask| self.work_of(ask)) {
            let Some(held) = self.queue.iter().find(|held| held.ask.call == call) else {
                continue;
            };
            let sounding = held.settles.is_some_and(|settles| now < settles);
            let work = self.work_of(&held.ask);
            if sounding && !self.is_sounded(now, held, work, &views) {
                continue;
            }
            let choice = pick(&views, now, held, work, &held.tried, rng)
                .or_else(|| pick(&views, now, held, work, &[], rng));
            match choice {
                Some(choice) => {
                    if let Some(held) = self.queue.remove(call) {
                        self.send(now, held, &choice, work, out);
                    }
                    let mut sent = views.iter_mut();
                    if let Some((_, view)) = sent.find(|(key, _)| *key == choice.target) {
                        view.load += 1.0;
                    }
                }
                None if held.is_overdue(now, work) => {
                    self.queue.remove(call);
                    let reason = Refusal::Overloaded;
                    out.push(Action::Refuse { call, reason });
                }
                None => {}
            }
        }
    }
}

/// The targets that may get the call, the best one first.
pub(super) fn choices(
    views: &[(target::Key, View)],
    now: Instant,
    held: &Held,
    work: f64,
    skip: &[target::Key],
) -> Vec<Choice> {
    let mut choices: Vec<Choice> = rated(views, now, held, work, skip).collect();
    choices.sort_by(|left, right| left.loss.total_cmp(&right.loss));
    choices
}

/// The best target with room for the call.
pub(super) fn pick(
    views: &[(target::Key, View)],
    now: Instant,
    held: &Held,
    work: f64,
    skip: &[target::Key],
    rng: &mut SmallRng,
) -> Option<Choice> {
    let mut best: Option<Choice> = None;
    for mut choice in rated(views, now, held, work, skip) {
        if !choice.view.has_room() {
            continue;
        }
        choice.loss += JITTER * rng.random::<f64>();
        if best.is_none_or(|best| choice.loss < best.loss) {
            best = Some(choice);
        }
    }
    best
}

/// The targets apart from `skip` with what the call is expected to lose there.
pub(super) fn rated<'a>(
    views: &'a [(target::Key, View)],
    now: Instant,
    held: &Held,
    work: f64,
    skip: &'a [target::Key],
) -> impl Iterator<Item = Choice> + 'a {
    let need = Need {
        work,
        objective: seconds(held.ask.objective),
        left: held.left(now),
        repeatable: held.ask.class != Class::Once,
        urgency: held.ask.urgency,
    };
    let open = views.iter().filter(|(key, _)| !skip.contains(key));
    open.map(move |(target, view)| Choice {
        target: *target,
        view: *view,
        loss: view.loss(&need),
    })
}
