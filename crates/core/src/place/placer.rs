//! The aggregate of one service: its targets, the calls that wait and those that run.

use rand::RngExt;
use rand::rngs::SmallRng;
use slotmap::SecondaryMap;

use crate::balance::Action;
use crate::balance::Ask;
use crate::balance::Call;
use crate::balance::Ending;
use crate::balance::Fate;
use crate::balance::Refusal;
use crate::entry;
use crate::entry::Class;
use crate::estimate::Report;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::map::Map;
use crate::map::Set;
use crate::place::hold::Held;
use crate::place::hold::Queue;
use crate::place::loss::CROWDED;
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

/// One copy of a call at a target.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    target: target::Key,
    sent: Instant,
    /// Seconds of work of a call of its entry on a usual target.
    work: f64,
    /// Seconds until the answer as expected when it was sent.
    time: f64,
    /// How many times longer the load of the target made the work.
    crowded: f64,
    /// Pace of the target's machine when it was sent.
    pace: f64,
}

/// A call that runs.
#[derive(Clone, Debug)]
struct Flight {
    ask: Ask,
    arrived: Instant,
    attempts: Vec<Attempt>,
    tried: Vec<target::Key>,
    hedged: bool,
}

/// A target with what a call is expected to lose there.
#[derive(Clone, Copy, Debug)]
struct Choice {
    target: target::Key,
    view: View,
    loss: f64,
}

/// Age up to which a report needs no probe. A few calls of a busy service share a probe.
const FRESH: Span = Span::from_millis(25);
/// Shortest time between two probes of a target by this VM.
const PROBE_EVERY: Span = Span::from_millis(50);
/// Targets probed for one call.
const PROBE_BREADTH: usize = 3;
/// Longest wait of a call for answers to probes, as a multiple of the way to the target, and bound.
const PROBE_WAIT_TRIPS: f64 = 3.0;
const PROBE_WAIT_MAX_S: f64 = 0.006;
/// How many times longer than usual work takes on a machine with a noisy neighbour.
const NOISY: f64 = 4.0;
/// Weight of a new figure in the usual pace.
const PACE_WEIGHT: f64 = 1.0 / 64.0;
/// A copy is sent once a call took this many times the expected time, and at least this long.
const HEDGE_AFTER: f64 = 1.6;
const HEDGE_AFTER_LEAST: Span = Span::from_millis(15);
/// A call that took this many times the expected time is taken for stuck.
const STUCK: f64 = 4.0;
/// Random part of a loss, so that equal targets take turns.
const JITTER: f64 = 0.01;
/// Seconds of work that are assumed before any answer.
const ASSUMED_WORK_S: f64 = 0.050;
const TICK_WAITING: Span = Span::from_millis(2);
const TICK_RUNNING: Span = Span::from_millis(10);

/// Places the calls to one service.
#[derive(Debug)]
pub struct Placer {
    place: Place,
    limits: Limits,
    targets: Table,
    /// Names of the targets that belong to this VM, if they are told apart.
    own: Option<Set<Box<str>>>,
    sights: SecondaryMap<target::Key, Sight>,
    queue: Queue,
    flights: Map<Call, Flight>,
    work: Work,
    /// Mean pace of the machines, 1 for as usual.
    usual_pace: f64,
    /// When the newest probe of a target was sent, while it is not answered.
    probes: SecondaryMap<target::Key, Instant>,
    /// When a target was last probed.
    probed: SecondaryMap<target::Key, Instant>,
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
        Some(Known {
            load: sight.load(now, memory),
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
            target.stand(standing);
        }
    }

    /// A call arrived, or a call that was over is offered again.
    pub fn arrive(&mut self, now: Instant, ask: Ask, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let work = self.work_of(&ask);
        let mut held = Held {
            arrived: ask.arrived,
            tried: ask.avoid.into_iter().collect(),
            settles: None,
            ask,
        };
        held.settles = self.sound(now, &held, work, out);
        if self.queue.len() >= self.limits.queue || self.is_hopeless(now, &held, work) {
            let call = held.ask.call;
            let reason = Refusal::Overloaded;
            out.push(Action::Refuse { call, reason });
            return;
        }
        self.queue.push(held);
        self.dispatch(now, rng, out);
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
        if let Some(sight) = self.sights.get_mut(target) {
            let running = sight.own().saturating_sub(own);
            sight.report(now, report, running);
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
    ) -> Fate {
        let fate = self.settle(now, call, target, ending, out);
        self.dispatch(now, rng, out);
        fate
    }

    fn settle(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        ending: Ending,
        out: &mut Vec<Action>,
    ) -> Fate {
        let Some(flight) = self.flights.get_mut(&call) else {
            return Fate::Over;
        };
        let ended = flight
            .attempts
            .iter()
            .position(|attempt| attempt.target == target);
        let Some(ended) = ended else {
            return Fate::Pending;
        };
        let attempt = flight.attempts.swap_remove(ended);
        let alone = flight.attempts.is_empty();
        let entry = flight.ask.entry;
        self.leave(call, target);
        self.learn(now, entry, &attempt, ending);
        match ending {
            Ending::Answered { failed: false, .. } => {
                self.drop_flight(call, out);
                Fate::Over
            }
            _ if !alone => Fate::Pending,
            Ending::Shed { .. } | Ending::Broken { written: false } => {
                let Some(flight) = self.flights.remove(&call) else {
                    return Fate::Over;
                };
                let mut tried = flight.tried;
                tried.push(target);
                self.queue.push(Held {
                    ask: flight.ask,
                    arrived: flight.arrived,
                    settles: None,
                    tried,
                });
                Fate::Pending
            }
            Ending::Answered { .. } | Ending::Broken { .. } | Ending::Cancelled => {
                self.flights.remove(&call);
                Fate::Over
            }
        }
    }

    /// Forgets a call and cancels its attempts.
    fn drop_flight(&mut self, call: Call, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        for attempt in flight.attempts {
            let target = attempt.target;
            self.leave(call, target);
            out.push(Action::Cancel { call, target });
        }
    }

    /// An attempt is not at its target any more.
    fn leave(&mut self, call: Call, target: target::Key) {
        if let Some(sight) = self.sights.get_mut(target) {
            sight.left(call);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    fn learn(&mut self, now: Instant, entry: u32, attempt: &Attempt, ending: Ending) {
        let slots = self
            .targets
            .get(attempt.target)
            .map_or(1, |target| target.spec.slots);
        let Some(sight) = self.sights.get_mut(attempt.target) else {
            return;
        };
        match ending {
            Ending::Answered {
                latency,
                failed: false,
            } => {
                let ended = sight.pace();
                let pace = f64::midpoint(attempt.pace, ended);
                let trip = self
                    .targets
                    .get(attempt.target)
                    .map_or(0.0, |target| target.round_trip);
                let taken = (seconds(latency) - trip).max(0.000_1);
                let factor = pace * attempt.crowded;
                sight.answered(now, taken / (attempt.work * factor).max(f64::MIN_POSITIVE));
                let slowness = sight.speed(now);
                self.work.add(entry, taken / (factor * slowness));
            }
            Ending::Answered { failed: true, .. } | Ending::Broken { .. } => sight.failed(now),
            Ending::Shed { .. } => {
                let own = sight.own();
                sight.full(now, slots, own);
                sight.failed(now);
            }
            Ending::Cancelled => {}
        }
    }

    /// A call is not wanted any more, whether it waits or runs.
    pub fn withdraw(&mut self, call: Call, out: &mut Vec<Action>) {
        self.queue.remove(call);
        self.drop_flight(call, out);
    }

    /// Time passed.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.probes
            .retain(|_, sent| now.since(*sent) < Span::from_millis(500));
        self.dispatch(now, rng, out);
        self.hedge(now, rng, out);
    }

    /// The latest moment for the next `tick`, as seen from `now`.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        if !self.queue.is_empty() {
            Some(now + TICK_WAITING)
        } else if !self.flights.is_empty() {
            Some(now + TICK_RUNNING)
        } else {
            None
        }
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

    fn work_of(&self, ask: &Ask) -> f64 {
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

    /// Probes the best targets for a call if their load is not known well enough; until when their
    /// answers are waited for.
    fn sound(
        &mut self,
        now: Instant,
        held: &Held,
        work: f64,
        out: &mut Vec<Action>,
    ) -> Option<Instant> {
        // A call that is in time even beside a noisy neighbour needs no probe.
        if work * NOISY < held.left(now) || !held.is_timely(now, work) {
            return None;
        }
        let mut choices = self.choices(now, held, work, &[]);
        choices.truncate(PROBE_BREADTH);
        let mut wait: Option<f64> = None;
        for (rank, choice) in choices.iter().enumerate() {
            let age = self
                .sights
                .get(choice.target)
                .and_then(|sight| sight.age(now));
            if age.is_some_and(|age| age < FRESH) {
                continue;
            }
            let recent = self
                .probed
                .get(choice.target)
                .is_some_and(|sent| now.since(*sent) < PROBE_EVERY);
            if !recent {
                self.probed.insert(choice.target, now);
                self.probes.insert(choice.target, now);
                let target = choice.target;
                out.push(Action::Probe { target });
            }
            if rank == 0 && self.probes.contains_key(choice.target) {
                let trips = choice.view.round_trip * PROBE_WAIT_TRIPS;
                wait = Some(trips.min(PROBE_WAIT_MAX_S));
            }
        }
        wait.map(|wait| now + span(wait))
    }

    /// The targets that may get the call, the best one first.
    fn choices(&self, now: Instant, held: &Held, work: f64, skip: &[target::Key]) -> Vec<Choice> {
        let need = Need {
            work,
            objective: seconds(held.ask.objective),
            left: held.left(now),
            repeatable: held.ask.class != Class::Once,
        };
        let memory = self.work.typical().unwrap_or(ASSUMED_WORK_S);
        let choice = |(key, target): (target::Key, &target::Target)| {
            let sight = self.sights.get(key)?;
            let view = View {
                load: sight.load(now, memory) + 1.0,
                slots: number(target.spec.slots),
                room: number(room(target.spec.slots)),
                factor: sight.factor(now, self.usual_pace),
                failing: sight.failing(now),
                round_trip: target.round_trip,
                way: self.way(&target.spec),
                foreign: self.is_foreign(&target.spec),
            };
            Some(Choice {
                target: key,
                view,
                loss: view.loss(&need),
            })
        };
        let open = |(key, target): &(target::Key, &target::Target)| {
            target.standing == Standing::Open && !skip.contains(key)
        };
        let mut choices: Vec<Choice> = self
            .targets
            .iter()
            .filter(open)
            .filter_map(choice)
            .collect();
        choices.sort_by(|left, right| left.loss.total_cmp(&right.loss));
        choices
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

    /// The best target with room for the call.
    fn pick(
        &self,
        now: Instant,
        held: &Held,
        work: f64,
        skip: &[target::Key],
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        let mut choices = self.choices(now, held, work, skip);
        choices.retain(|choice| choice.view.has_room());
        for choice in &mut choices {
            choice.loss += JITTER * rng.random::<f64>();
        }
        choices
            .into_iter()
            .min_by(|left, right| left.loss.total_cmp(&right.loss))
    }

    /// Gives targets to as many waiting calls as have room, and refuses those that waited too long.
    fn dispatch(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let none = |(_, target): (_, &target::Target)| target.standing != Standing::Open;
        if self.targets.iter().all(none) {
            for held in self.queue.extract(|_| true) {
                let call = held.ask.call;
                let reason = Refusal::NoTarget;
                out.push(Action::Refuse { call, reason });
            }
            return;
        }
        for call in self.queue.order(now, |ask| {
            self.work.expected(ask.entry, seconds(ask.objective))
        }) {
            let Some(held) = self.queue.iter().find(|held| held.ask.call == call) else {
                continue;
            };
            let sounding = held.settles.is_some_and(|settles| now < settles);
            let work = self.work_of(&held.ask);
            if sounding && !self.is_sounded(now, held, work) {
                continue;
            }
            let choice = self
                .pick(now, held, work, &held.tried, rng)
                .or_else(|| self.pick(now, held, work, &[], rng));
            match choice {
                Some(choice) => {
                    if let Some(held) = self.queue.remove(call) {
                        self.send(now, held, &choice, work, out);
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

    /// Whether the best target for the call has answered its probe.
    fn is_sounded(&self, now: Instant, held: &Held, work: f64) -> bool {
        let choices = self.choices(now, held, work, &held.tried);
        choices
            .first()
            .is_none_or(|best| !self.probes.contains_key(best.target))
    }

    fn attempt(&mut self, now: Instant, call: Call, choice: &Choice, work: f64) -> Attempt {
        let time = choice.view.time(work);
        let mut pace = 1.0;
        if let Some(sight) = self.sights.get_mut(choice.target) {
            sight.sent(now, call, time);
            pace = sight.pace();
        }
        if let Some(target) = self.targets.get_mut(choice.target) {
            target.in_flight += 1;
        }
        Attempt {
            target: choice.target,
            sent: now,
            work,
            time,
            crowded: if choice.view.is_crowded() {
                CROWDED
            } else {
                1.0
            },
            pace,
        }
    }

    fn send(
        &mut self,
        now: Instant,
        held: Held,
        choice: &Choice,
        work: f64,
        out: &mut Vec<Action>,
    ) {
        let call = held.ask.call;
        let attempt = self.attempt(now, call, choice, work);
        out.push(Action::Assign {
            call,
            target: choice.target,
            queue: held.ask.deadline.since(now),
            report: true,
        });
        let flight = Flight {
            ask: held.ask,
            arrived: held.arrived,
            attempts: vec![attempt],
            tried: held.tried,
            hedged: false,
        };
        self.flights.insert(call, flight);
    }

    /// Sends copies of the calls whose target turned slow, where another one is faster.
    fn hedge(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let slow = |flight: &&Flight| {
            let [attempt] = flight.attempts.as_slice() else {
                return false;
            };
            let elapsed = now.since(attempt.sent);
            flight.ask.class != Class::Once
                && !flight.hedged
                && elapsed >= HEDGE_AFTER_LEAST
                && seconds(elapsed) > HEDGE_AFTER * attempt.time
        };
        let mut slow: Vec<Flight> = self.flights.values().filter(slow).cloned().collect();
        slow.sort_by_key(|flight| (flight.arrived, flight.ask.call));
        for flight in slow {
            self.copy(now, &flight, rng, out);
        }
    }

    fn copy(&mut self, now: Instant, flight: &Flight, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let Some(first) = flight.attempts.first() else {
            return;
        };
        let held = Held {
            ask: flight.ask.clone(),
            arrived: flight.arrived,
            settles: None,
            tried: flight.tried.clone(),
        };
        let work = self.work_of(&flight.ask);
        let Some(choice) = self.pick(now, &held, work, &[first.target], rng) else {
            return;
        };
        let elapsed = seconds(now.since(first.sent));
        let time = choice.view.time(work);
        let is_stuck = elapsed > STUCK * first.time;
        let left = seconds(flight.ask.deadline.since(now));
        // A call that took long so far is expected to take half as long again.
        let faster = time < elapsed / 2.0;
        let useful = time < held.left(now) || (is_stuck && time < left);
        if !faster || !useful {
            return;
        }
        let call = flight.ask.call;
        let attempt = self.attempt(now, call, &choice, work);
        if let Some(flight) = self.flights.get_mut(&call) {
            flight.attempts.push(attempt);
            flight.hedged = true;
        }
        out.push(Action::Hedge {
            call,
            target: choice.target,
            queue: flight.ask.deadline.since(now),
            report: true,
        });
    }
}
