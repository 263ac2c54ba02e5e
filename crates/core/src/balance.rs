//! The load balancer of one service: queues calls, assigns them to targets and accounts for their
//! attempts.
//!
//! Events go in as method calls; what the daemon has to do comes out as [`Action`]s.

use rand::rngs::SmallRng;

use crate::budget::Meter;
use crate::budget::Total;
use crate::choose::Chooser;
use crate::entry;
use crate::entry::Class;
use crate::estimate::Report;
use crate::flight::Attempt;
use crate::flight::Flight;
use crate::hedge;
use crate::map::Map;
use crate::queue::Item;
use crate::queue::Queue;
use crate::site::region::Scope;
use crate::target;
use crate::target::Place;
use crate::target::Standing;
use crate::target::Table;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Identifies a call at a [`Balancer`].
    pub struct Call(pub u64);

    /// Why a call was refused before any byte of it was written.
    pub enum Refusal {
        /// The queue is full, or the call would wait too long.
        Overloaded,
        /// The call waited in the queue for half of the time until its deadline.
        Deadline,
        /// No target may get new work.
        NoTarget,
    }

    /// What the daemon has to do.
    pub enum Action {
        /// Send `call` to `target`, which may keep it waiting for at most `queue`.
        Assign {
            /// The call.
            call: Call,
            /// Target of the call.
            target: target::Key,
            /// Longest wait in the target before it sheds the call.
            queue: Span,
            /// Whether the target is to report its load; if not, the request says so.
            report: bool,
        },
        /// Send a copy of `call`, which is in flight at another target, to `target`.
        Hedge {
            /// The call.
            call: Call,
            /// Target of the copy.
            target: target::Key,
            /// Longest wait in the target before it sheds the copy.
            queue: Span,
            /// Whether the target is to report its load; if not, the request says so.
            report: bool,
        },
        /// Close the connection of the copy of `call` at `target`; it needs no `finish`.
        Cancel {
            /// The call.
            call: Call,
            /// Target of the copy.
            target: target::Key,
        },
        /// Probe `target` and report the result with [`Balancer::record_probe`].
        Probe {
            /// The target.
            target: target::Key,
        },
        /// Answer the caller that `call` did not run.
        Refuse {
            /// The call.
            call: Call,
            /// Why.
            reason: Refusal,
        },
    }

    /// How an attempt at a target ended.
    pub enum Ending {
        /// The target answered, with an error status of its own if `failed`.
        Answered {
            /// From the first byte written to the last byte read.
            latency: Span,
            /// Whether the target answered with a server error.
            failed: bool,
        },
        /// The target answered that it did not run the call.
        Shed {
            /// Bytes of the request and the answer on the wire.
            bytes: u64,
        },
        /// The connection failed; `written` tells whether bytes may have reached the target.
        Broken {
            /// Whether bytes may have reached the target.
            written: bool,
        },
        /// The caller left, the deadline passed, or the attempt was cancelled.
        Cancelled,
    }

    /// Progress of a call after one of its attempts ended.
    pub enum Progress {
        /// The caller gets the result of this attempt; the balancer keeps no state of the call.
        Done,
        /// Another copy is in flight, the call is queued again, or an action for it was emitted.
        Pending,
    }
}

data! {
    /// A call that needs a target, with the terms under which it is served.
    pub struct Job {
        /// Identifies the call in later events.
        pub call: Call,
        /// Class of its entry.
        pub class: Class,
        /// When the request arrived at this VM.
        pub arrived: Instant,
        /// When the caller stops waiting.
        pub deadline: Instant,
        /// Time since the arrival within which an answer has its full value.
        pub objective: Span,
        /// Priority against the calls of other entries; 0 is served first.
        pub urgency: u8,
        /// A target that failed the request before.
        pub avoid: Option<target::Key>,
        /// Number of the entry of the call within the service.
        pub entry: u32,
        /// Copies permitted, as a percentage of the calls; zero for none.
        pub hedge_percent: u8,
        /// Bytes of the request on the wire; none if they are not known.
        pub bytes: Option<u64>,
        /// Regions whose targets the call may reach. [`Balancer`] takes calls without a restriction
        /// only: the entries of the product's own catalogue state none.
        pub regions: Scope,
    }

    /// Limits on what the calls of a service consume.
    pub struct Limits {
        /// Calls that may wait in the queue of this VM.
        pub queue: usize,
        /// Budget for the bytes spent on measuring targets: probes, load reports and refusals.
        pub measuring: Total,
        /// Budget for the bytes to and from other regions.
        pub remote: Total,
        /// Typical bytes of a request and its answer.
        pub exchange_bytes: u64,
    }
}

/// Upper bound on the bytes of a target's answer that it did not run a request.
pub const REFUSAL_BYTES: u64 = 200;
/// Bytes that a load report adds to an answer, by the format of the header.
pub const REPORT_BYTES: u64 = 78;
/// Bytes of a probe and its answer.
pub const PROBE_BYTES: u64 = 320;

/// A longer gap between two events shows that this process was suspended, since `next_tick` asks
/// for shorter waits.
const MIN_SUSPENSION: Span = Span::from_millis(500);
/// Longest wait between ticks while calls are queued.
const TICK_WAITING: Span = Span::from_millis(2);
/// Longest wait between ticks while calls are in flight or probes are due.
const TICK_RUNNING: Span = Span::from_millis(20);

/// Queue and targets of one service.
#[derive(Debug)]
pub struct Balancer {
    place: Place,
    pub(crate) limits: Limits,
    pub(crate) targets: Table,
    pub(crate) queue: Queue,
    pub(crate) flights: Map<Call, Flight>,
    pub(crate) chooser: Chooser,
    pub(crate) measuring: Meter,
    /// Measuring bytes reserved for probes that have not ended, by target.
    pub(crate) probes: Map<target::Key, u64>,
    pub(crate) remote: Meter,
    /// Budgets for copies, by entry.
    pub(crate) hedge_budgets: Map<u32, hedge::Budget>,
    pub(crate) latency_quantile: hedge::Quantile,
    last_event: Instant,
    pub(crate) last_arrival: Option<Instant>,
}

impl Balancer {
    /// A balancer without targets.
    #[must_use]
    pub fn new(now: Instant, place: Place, limits: Limits) -> Self {
        Self {
            place,
            targets: Table::default(),
            queue: Queue::default(),
            flights: Map::default(),
            chooser: Chooser::default(),
            measuring: Meter::new(now, limits.measuring),
            probes: Map::default(),
            remote: Meter::new(now, limits.remote),
            hedge_budgets: Map::default(),
            latency_quantile: hedge::Quantile::default(),
            last_event: Instant::default(),
            last_arrival: None,
            limits,
        }
    }

    /// Updates the targets to those that the catalogue names.
    pub fn update(&mut self, now: Instant, specs: &[entry::Target]) {
        self.advance(now);
        self.targets.update(now, &self.place, specs);
    }

    /// Applies changed limits.
    pub fn set_limits(&mut self, now: Instant, limits: Limits) {
        self.measuring.update(now, limits.measuring);
        self.remote.update(now, limits.remote);
        self.limits = limits;
    }

    /// The targets with what this VM knows of each.
    #[must_use]
    pub fn targets(&self) -> &Table {
        &self.targets
    }

    /// Number of calls in the queue.
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

    /// Records a measured round trip to `target`, for example of opening a connection.
    pub fn record_round_trip(&mut self, target: target::Key, round_trip: Span) {
        if let Some(target) = self.targets.get_mut(target) {
            target.round_trip = crate::estimate::seconds(round_trip);
        }
    }

    /// Admits a call that arrived, or that is offered again after it was done.
    pub fn arrive(&mut self, now: Instant, job: Job, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.advance(now);
        self.last_arrival = Some(now);
        let arrived = now;
        self.admit(now, Item { job, arrived }, out);
        self.dispatch(now, rng, out);
        self.probe_unconfirmed(now, out);
    }

    /// Records a load report of `target` that is `age` old. Call it before the `finish` of the
    /// attempt whose answer carried the report.
    pub fn record_report(&mut self, now: Instant, target: target::Key, report: Report, age: Span) {
        self.advance(now);
        if let Some(target) = self.targets.get_mut(target) {
            let own = target.in_flight.saturating_sub(1);
            target.estimate.record_report(now - age, report, own);
            let slots = target.spec.slots;
            let in_flight: u64 = self
                .targets
                .iter()
                .map(|(_, target)| target.in_flight)
                .sum();
            self.chooser
                .adapt_window(report, slots, in_flight.saturating_sub(1));
        }
    }

    /// Records a load report that a VM of the same data centre got `age` ago and passed on.
    pub fn record_peer_report(
        &mut self,
        now: Instant,
        target: target::Key,
        report: Report,
        age: Span,
    ) {
        self.advance(now);
        if let Some(target) = self.targets.get_mut(target) {
            let own = target.in_flight;
            target.estimate.record_report(now - age, report, own);
        }
    }

    /// Records how the attempt of `call` at `target` ended, and dispatches queued calls.
    pub fn finish(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        ending: Ending,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) -> Progress {
        self.advance(now);
        let progress = self.end_attempt(now, call, target, ending, out);
        self.dispatch(now, rng, out);
        progress
    }

    /// Removes a call that is queued or in flight; its attempts are cancelled.
    pub fn withdraw(&mut self, now: Instant, call: Call, out: &mut Vec<Action>) {
        self.advance(now);
        self.queue.extract(|item| item.job.call == call);
        if let Some(flight) = self.flights.remove(&call) {
            for attempt in flight.attempts() {
                self.release(now, attempt);
                let target = attempt.target;
                out.push(Action::Cancel { call, target });
            }
        }
    }

    /// Whether the measuring budget can ever pay for a probe.
    #[must_use]
    pub fn can_probe(&self) -> bool {
        self.measuring.fits(PROBE_BYTES)
    }

    /// Charges an exchange with `target` that carried `bytes`. For a target in another region, the
    /// bytes above the typical size of an exchange leave a debt.
    pub fn charge_exchange(&mut self, now: Instant, target: target::Key, bytes: u64) {
        let target = self.targets.get(target);
        if target.is_some_and(|target| target.remote) {
            let excess = bytes.saturating_sub(self.limits.exchange_bytes);
            self.remote.charge(now, excess);
        }
    }

    /// Bytes to and from other regions so far.
    #[must_use]
    pub fn remote_bytes(&self) -> u64 {
        self.remote.spent_bytes()
    }

    /// Measuring bytes spent so far.
    #[must_use]
    pub fn measuring_bytes(&self) -> u64 {
        self.measuring.spent_bytes()
    }

    /// Charges measuring bytes that the balancer's own actions did not spend, such as load frames.
    pub fn charge_measuring(&mut self, now: Instant, bytes: u64) {
        self.measuring.charge(now, bytes);
    }

    /// Records the end of a probe of `target`; `answered` tells whether the probe was answered.
    pub fn record_probe(&mut self, target: target::Key, answered: bool) {
        if let Some(cost_bytes) = self.probes.remove(&target) {
            self.measuring
                .settle(self.last_event, cost_bytes, cost_bytes);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.ended_probes = target.ended_probes.saturating_add(1);
            if answered && target.standing == Standing::Unconfirmed {
                target.set_standing(Standing::Open);
            }
        }
    }

    /// Refuses calls that waited too long, sends due probes and hedges, and dispatches queued
    /// calls.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.advance(now);
        self.expire(now, out);
        self.probe_unconfirmed(now, out);
        self.dispatch(now, rng, out);
        self.send_hedges(now, rng, out);
    }

    /// The latest time for the next `tick`, as seen from `now`; none if no tick is needed.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        if let Some(refusal) = self.queue.next_refusal() {
            Some(refusal.max(now).min(now + TICK_WAITING))
        } else if !self.flights.is_empty() || self.needs_probes(now) {
            Some(now + TICK_RUNNING)
        } else {
            None
        }
    }

    /// Accounts for the time since the last event.
    fn advance(&mut self, now: Instant) {
        let suspended = now.since(self.last_event) > MIN_SUSPENSION;
        self.last_event = self.last_event.max(now);
        for (_, target) in self.targets.iter_mut() {
            if suspended {
                target.estimate.skip(now);
            }
            target.estimate.accrue(now, target.in_flight);
        }
    }

    /// Removes an attempt that gave no result from the counts.
    pub(crate) fn release(&mut self, now: Instant, attempt: &Attempt) {
        self.measuring.settle(now, attempt.refusal_bytes, 0);
        // The report may be on its way already, so its bytes count as spent.
        self.measuring
            .settle(now, attempt.report_bytes, attempt.report_bytes);
        if let Some(target) = self.targets.get_mut(attempt.target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
