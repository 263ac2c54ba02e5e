//! Admission and dispatch: assigns queued calls to targets, sends hedges, and refuses the calls
//! that would wait too long.

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
use crate::flight::time_left;
use crate::hedge;
use crate::queue::Item;
use crate::target;
use crate::target::Standing;
use crate::time::Instant;
use crate::time::Span;

/// Longest wait in a target before it sheds a call, in typical latencies.
const QUEUE_WAIT_LATENCIES: f64 = 3.0;
/// Interval between the load reports asked of a target, in typical latencies. More frequent reports
/// did not lower p99 in the load table. While calls wait, each answer has to carry a report, since
/// the queued calls share the free slots of the targets.
const REPORT_INTERVAL_LATENCIES: f64 = 8.0;
/// Reservations for refusals leave the measuring burst divided by this to reports. Under overload
/// they would otherwise take all of the burst, and full targets would look like slow ones. Reports
/// and refusals leave the cost of a probe, or else long requests could keep every target
/// unconfirmed.
const REFUSAL_BURST_DIVISOR: u64 = 2;
/// A call of class `once` is used for a trial only if the trial has been due for this long, which
/// means that no other call came.
const ONCE_TRIAL_DELAY: Span = Span::from_millis(10_000);

impl Balancer {
    /// Queues a new call, or refuses it if it would wait too long. If the queue is full, the call
    /// or a queued one of a lower class is refused.
    pub(crate) fn admit(&mut self, now: Instant, item: Item, out: &mut Vec<Action>) {
        let job = &item.job;
        self.chooser.record_call(now, job.entry);
        if self.expected_wait(job) > seconds(item.refusal_time().since(now)) {
            return refuse(&item, Refusal::Overloaded, out);
        }
        if self.queue.len() >= self.limits.queue.max(1) {
            match self.queue.shed_for(job.class) {
                Some(shed) => refuse(&shed, Refusal::Overloaded, out),
                None => return refuse(&item, Refusal::Overloaded, out),
            }
        }
        self.queue.push(item);
    }

    /// Expected wait of a new call in seconds, by Little's law: the calls in flight end within the
    /// typical latency.
    fn expected_wait(&self, job: &Job) -> f64 {
        let in_flight = u64::try_from(self.flights.len()).unwrap_or(u64::MAX);
        let ahead = u64::try_from(self.queue.ahead(job.class, job.entry)).unwrap_or(u64::MAX);
        number(ahead) * self.chooser.typical() / number(in_flight.max(1))
    }

    /// Refuses the calls that waited for half of the time until their deadline.
    pub(crate) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        for item in self.queue.extract(|item| now >= item.refusal_time()) {
            refuse(&item, Refusal::Deadline, out);
        }
    }

    /// Assigns queued calls to targets until no target has room. If all targets are leaving,
    /// refuses all queued calls.
    pub(crate) fn dispatch(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.chooser.refresh(now, &mut self.targets);
        let is_leaving = |(_, target): (_, &target::Target)| target.standing == Standing::Leaving;
        if self.targets.iter().all(is_leaving) {
            for item in self.queue.extract(|_| true) {
                refuse(&item, Refusal::NoTarget, out);
            }
        }
        while self.dispatch_one(now, rng, out) {}
    }

    /// Assigns or refuses one queued call; false if no call can be assigned.
    fn dispatch_one(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) -> bool {
        for index in self.queue.order() {
            let Some(item) = self.queue.front(index) else {
                continue;
            };
            if now >= item.refusal_time() {
                if let Some(item) = self.queue.pop(index) {
                    refuse(&item, Refusal::Deadline, out);
                }
                return true;
            }
            let job = item.job.clone();
            let trial = self.begin_trial(now, &job);
            let chosen = trial.or_else(|| self.choose(now, &job, None, rng));
            if let Some(target) = chosen
                && let Some(item) = self.queue.pop(index)
            {
                self.assign(now, item, target, trial.is_some(), out);
                return true;
            }
        }
        false
    }

    /// Takes an ejected target whose trial is due, and schedules its next trial.
    fn begin_trial(&mut self, now: Instant, job: &Job) -> Option<target::Key> {
        let delay = if job.class == Class::Once {
            ONCE_TRIAL_DELAY
        } else {
            Span::ZERO
        };
        for (key, target) in self.targets.iter_mut() {
            let available = target.standing == Standing::Open && !target.remote;
            let available = available && target.in_flight < target.spec.slots;
            if let Some(trial) = &mut target.ejected
                && available
                && now >= trial.due + delay
            {
                trial.record_start(now);
                return Some(key);
            }
        }
        None
    }

    fn choose(
        &mut self,
        now: Instant,
        job: &Job,
        skip: Option<target::Key>,
        rng: &mut SmallRng,
    ) -> Option<target::Key> {
        let flights = self.flights.values();
        let usage = Usage {
            waiting: self.queue.waiting(job),
            entry_in_flight: flights
                .filter(|flight| flight.job.entry == job.entry)
                .count(),
            in_flight: self.flights.len(),
        };
        let (near, far) = self
            .chooser
            .choose(now, &self.targets, job, usage, skip, rng);
        let exchange_bytes = self.limits.exchange_bytes;
        match (self.chooser.decide_spill(near, far), far) {
            (true, Some(far)) if self.remote.take(now, exchange_bytes, 0) => Some(far.target),
            _ => near.map(|near| near.target),
        }
    }

    fn assign(
        &mut self,
        now: Instant,
        item: Item,
        target: target::Key,
        trial: bool,
        out: &mut Vec<Action>,
    ) {
        let (first, queue) = self.start_attempt(now, &item, target, trial);
        let Item { job, arrived } = item;
        let call = job.call;
        let report = first.report_bytes > 0;
        out.push(Action::Assign {
            call,
            target,
            queue,
            report,
        });
        let budget = self.hedge_budgets.entry(job.entry).or_default();
        budget.earn(job.hedge_percent);
        let flight = Flight {
            job,
            arrived,
            first,
            copy: None,
        };
        self.flights.insert(call, flight);
    }

    /// Counts an attempt at `target` and reserves the measuring bytes that it may spend. Returns
    /// the attempt with the longest wait in the target.
    fn start_attempt(
        &mut self,
        now: Instant,
        item: &Item,
        target: target::Key,
        trial: bool,
    ) -> (Attempt, Span) {
        let typical = self.chooser.typical();
        let mut path = Path::SameRegion;
        let calls_wait = self.queue.len() > 0;
        let mut due = false;
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight += 1;
            due = calls_wait
                || target
                    .estimate
                    .is_report_due(now, REPORT_INTERVAL_LATENCIES * typical);
            path = Path::new(target.remote);
        }
        // A call that its target sheds has to be back before half of the time until its deadline
        // has passed.
        let round_trip = self
            .targets
            .get(target)
            .map_or(0.0, |target| target.round_trip);
        let shed_by = item.refusal_time() - span(round_trip);
        let refusal = item.job.bytes.map(|bytes| path.cost(bytes + REFUSAL_BYTES));
        let report_bytes = path.cost(REPORT_BYTES);
        let report = due && self.measuring.reserve(now, report_bytes, PROBE_BYTES);
        let keep = (self.measuring.burst() / REFUSAL_BURST_DIVISOR).max(PROBE_BYTES);
        let affordable =
            |refusal: &u64| now < shed_by && self.measuring.reserve(now, *refusal, keep);
        let reserved = refusal.filter(affordable);
        if report && let Some(target) = self.targets.get_mut(target) {
            target.estimate.record_report_request(now);
        }
        let queue = if reserved.is_some() {
            span(QUEUE_WAIT_LATENCIES * typical).min(shed_by.since(now))
        } else {
            time_left(now, &item.job)
        };
        let attempt = Attempt {
            target,
            sent: now,
            path,
            refusal_bytes: reserved.unwrap_or(0),
            report_bytes: if report { report_bytes } else { 0 },
            trial,
        };
        (attempt, queue)
    }

    /// Sends second copies of the calls that are late because their target is slow.
    pub(crate) fn send_hedges(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let quantile = self.latency_quantile.get();
        let typical = self.chooser.typical();
        let targets = &self.targets;
        let is_late = |flight: &&Flight| {
            let slowness = |target: &target::Target| target.estimate.slowness(typical);
            let first_slowness = targets.get(flight.first.target).map_or(0.0, slowness);
            let permitted = flight.job.class != Class::Once && flight.job.hedge_percent > 0;
            permitted
                && flight.copy.is_none()
                && hedge::is_due(flight.first.sent, now, quantile, first_slowness)
        };
        let mut late: Vec<Flight> = self.flights.values().filter(is_late).cloned().collect();
        late.sort_by_key(|flight| flight.first.sent);
        for flight in late {
            self.send_hedge(now, &flight, rng, out);
        }
    }

    fn send_hedge(
        &mut self,
        now: Instant,
        flight: &Flight,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let budget = self.hedge_budgets.entry(flight.job.entry).or_default();
        if !budget.take() {
            return;
        }
        let item = Item {
            job: flight.job.clone(),
            arrived: flight.arrived,
        };
        let job = &item.job;
        let call = job.call;
        let Some(target) = self.choose(now, job, Some(flight.first.target), rng) else {
            self.hedge_budgets.entry(job.entry).or_default().refund();
            return;
        };
        let (copy, queue) = self.start_attempt(now, &item, target, false);
        let report = copy.report_bytes > 0;
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

fn refuse(item: &Item, reason: Refusal, out: &mut Vec<Action>) {
    let call = item.job.call;
    out.push(Action::Refuse { call, reason });
}
