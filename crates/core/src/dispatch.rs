//! Gives waiting calls to targets and refuses those that would wait too long.

use rand::rngs::SmallRng;

use crate::balance::Action;
use crate::balance::Balancer;
use crate::balance::Job;
use crate::balance::PROBE_BYTES;
use crate::balance::REFUSAL_BYTES;
use crate::balance::REPORT_BYTES;
use crate::balance::Refusal;
use crate::budget::Path;
use crate::choose::Usage;
use crate::entry::Class;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::flight::Attempt;
use crate::flight::Flight;
use crate::flight::unbounded;
use crate::hedge;
use crate::queue::Waiting;
use crate::target;
use crate::target::Standing;
use crate::time::Instant;
use crate::time::Span;

/// Longest wait in a target before it sheds a call, as a multiple of the typical latency.
const PATIENCE: f64 = 3.0;
/// A target is asked for a report once the newest one is older than this multiple of the typical
/// latency; more frequent reports did not lower p99 in the load table. While calls wait, each answer
/// has to carry a report, as the room in the targets is shared by them.
const REPORT_EVERY: f64 = 8.0;
/// Share of the measuring burst that refusals leave for reports: one of this many. Under overload,
/// reservations for refusals would take all of it, and full targets would look like slow ones.
/// Reports and refusals leave the price of a probe, else long requests could keep every target
/// unconfirmed.
const KEPT_FOR_REPORTS: u64 = 2;
/// A trial falls to a call of class `once` only if no other call came for this much longer.
const ONCE_TRIAL_AFTER: Span = Span::from_millis(10_000);

impl Balancer {
    /// Takes a new call into the queue, or refuses it or one of a lower class.
    pub(crate) fn admit(&mut self, now: Instant, waiting: Waiting, out: &mut Vec<Action>) {
        let ask = &waiting.ask;
        self.chooser.seen(now, ask.entry);
        if self.expected_wait(ask) > seconds(waiting.latest().since(now)) {
            return refuse(&waiting, Refusal::Overloaded, out);
        }
        if self.queue.len() >= self.limits.queue.max(1) {
            match self.queue.shed_for(ask.class) {
                Some(shed) => refuse(&shed, Refusal::Overloaded, out),
                None => return refuse(&waiting, Refusal::Overloaded, out),
            }
        }
        self.queue.push(waiting);
    }

    /// Seconds that a new call would wait, by Little's law: the calls in flight leave within the
    /// typical latency.
    fn expected_wait(&self, ask: &Job) -> f64 {
        let in_flight = u64::try_from(self.flights.len()).unwrap_or(u64::MAX);
        let ahead = u64::try_from(self.queue.ahead(ask.class, ask.entry)).unwrap_or(u64::MAX);
        number(ahead) * self.chooser.typical() / number(in_flight.max(1))
    }

    /// Refuses the calls that waited for half of their time.
    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        for waiting in self.queue.extract(|waiting| now >= waiting.latest()) {
            refuse(&waiting, Refusal::Deadline, out);
        }
    }

    /// Gives targets to as many waiting calls as have room.
    pub(crate) fn dispatch(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.chooser.refresh(now, &mut self.targets);
        let leaving = |(_, target): (_, &target::Target)| target.standing == Standing::Leaving;
        if self.targets.iter().all(leaving) {
            for waiting in self.queue.extract(|_| true) {
                refuse(&waiting, Refusal::NoTarget, out);
            }
        }
        while self.place(now, rng, out) {}
    }

    /// Places or refuses one call; false if none can be placed.
    fn place(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) -> bool {
        for lead in self.queue.leads() {
            let Some(waiting) = self.queue.front(lead) else {
                continue;
            };
            if now >= waiting.latest() {
                if let Some(waiting) = self.queue.pop(lead) {
                    refuse(&waiting, Refusal::Deadline, out);
                }
                return true;
            }
            let ask = waiting.ask.clone();
            let trial = self.trial(now, &ask);
            let chosen = trial.or_else(|| self.pick(now, &ask, None, rng));
            if let Some(target) = chosen
                && let Some(waiting) = self.queue.pop(lead)
            {
                self.send(now, waiting, target, trial.is_some(), out);
                return true;
            }
        }
        false
    }

    /// An ejected target whose trial is due.
    fn trial(&mut self, now: Instant, ask: &Job) -> Option<target::Key> {
        let after = if ask.class == Class::Once {
            ONCE_TRIAL_AFTER
        } else {
            Span::ZERO
        };
        for (key, target) in self.targets.iter_mut() {
            let open = target.standing == Standing::Open && !target.remote;
            let open = open && target.in_flight < target.spec.slots;
            if let Some(trial) = &mut target.ejected
                && open
                && now >= trial.due + after
            {
                trial.sent(now);
                return Some(key);
            }
        }
        None
    }

    fn pick(
        &mut self,
        now: Instant,
        ask: &Job,
        skip: Option<target::Key>,
        rng: &mut SmallRng,
    ) -> Option<target::Key> {
        let flights = self.flights.values();
        let usage = Usage {
            backlog: self.queue.backlog(ask),
            own: flights
                .filter(|flight| flight.ask.entry == ask.entry)
                .count(),
            all: self.flights.len(),
        };
        let (near, far) = self
            .chooser
            .choose(now, &self.targets, ask, usage, skip, rng);
        let exchange = self.limits.exchange_bytes;
        match (self.chooser.spill(near, far), far) {
            (true, Some(far)) if self.remote.take(now, exchange, 0) => Some(far.target),
            _ => near.map(|near| near.target),
        }
    }

    fn send(
        &mut self,
        now: Instant,
        waiting: Waiting,
        target: target::Key,
        trial: bool,
        out: &mut Vec<Action>,
    ) {
        let (first, queue) = self.attempt(now, &waiting, target, trial);
        let Waiting { ask, arrived } = waiting;
        let call = ask.call;
        let report = first.report > 0;
        out.push(Action::Assign {
            call,
            target,
            queue,
            report,
        });
        let budget = self.hedges.entry(ask.entry).or_default();
        budget.earn(ask.hedge_percent);
        let flight = Flight {
            ask,
            arrived,
            first,
            copy: None,
        };
        self.flights.insert(call, flight);
    }

    /// Counts an attempt at `target` and reserves what it may spend on measuring.
    fn attempt(
        &mut self,
        now: Instant,
        waiting: &Waiting,
        target: target::Key,
        trial: bool,
    ) -> (Attempt, Span) {
        let typical = self.chooser.typical();
        let mut path = Path::Within;
        let crowded = self.queue.len() > 0;
        let mut due = false;
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight += 1;
            due = crowded || target.estimate.report_due(now, REPORT_EVERY * typical);
            path = Path::to(target.remote);
        }
        // A call that a target sheds has to be back before half of its time has passed.
        let round_trip = self
            .targets
            .get(target)
            .map_or(0.0, |target| target.round_trip);
        let back = waiting.latest() - span(round_trip);
        let refusal = waiting
            .ask
            .bytes
            .map(|bytes| path.cost(bytes + REFUSAL_BYTES));
        let price = path.cost(REPORT_BYTES);
        let report = due && self.measuring.hold(now, price, PROBE_BYTES);
        let keep = (self.measuring.burst() / KEPT_FOR_REPORTS).max(PROBE_BYTES);
        let affordable = |refusal: &u64| now < back && self.measuring.hold(now, *refusal, keep);
        let reserved = refusal.filter(affordable);
        if report && let Some(target) = self.targets.get_mut(target) {
            target.estimate.report_asked(now);
        }
        let queue = if reserved.is_some() {
            span(PATIENCE * typical).min(back.since(now))
        } else {
            unbounded(now, &waiting.ask)
        };
        let attempt = Attempt {
            target,
            sent: now,
            path,
            reserved: reserved.unwrap_or(0),
            report: if report { price } else { 0 },
            trial,
        };
        (attempt, queue)
    }

    /// Sends copies of the calls that are late because their target is slow.
    pub(crate) fn hedge(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let quantile = self.latency.get();
        let typical = self.chooser.typical();
        let targets = &self.targets;
        let late = |flight: &&Flight| {
            let slowness = |target: &target::Target| target.estimate.slowness(typical);
            let slow = targets.get(flight.first.target).map_or(0.0, slowness);
            let permitted = flight.ask.class != Class::Once && flight.ask.hedge_percent > 0;
            permitted
                && flight.copy.is_none()
                && hedge::wanted(flight.first.sent, now, quantile, slow)
        };
        let mut late: Vec<Flight> = self.flights.values().filter(late).cloned().collect();
        late.sort_by_key(|flight| flight.first.sent);
        for flight in late {
            self.copy(now, &flight, rng, out);
        }
    }

    fn copy(&mut self, now: Instant, flight: &Flight, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let budget = self.hedges.entry(flight.ask.entry).or_default();
        if !budget.take() {
            return;
        }
        let waiting = Waiting {
            ask: flight.ask.clone(),
            arrived: flight.arrived,
        };
        let ask = &waiting.ask;
        let call = ask.call;
        let Some(target) = self.pick(now, ask, Some(flight.first.target), rng) else {
            self.hedges.entry(ask.entry).or_default().refund();
            return;
        };
        let (copy, queue) = self.attempt(now, &waiting, target, false);
        let report = copy.report > 0;
        out.push(Action::Hedge {
            call,
            target,
            queue,
            report,
        });
        if let Some(flight) = self.flights.get_mut(&call) {
            flight.copy = Some(copy);
        }
    }
}

fn refuse(waiting: &Waiting, reason: Refusal, out: &mut Vec<Action>) {
    let call = waiting.ask.call;
    out.push(Action::Refuse { call, reason });
}
