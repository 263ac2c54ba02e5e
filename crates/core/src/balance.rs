//! Queue and choice of target of one service.
//!
//! Events go in as method calls; what to do comes out as [`Action`]s.

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
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::target;
use crate::target::Place;
use crate::target::Standing;
use crate::target::Table;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Names a call that was offered to a [`Balancer`].
    pub struct Call(pub u64);

    /// Why a call was refused before any byte of it was written.
    pub enum Refusal {
        /// The queue is full, or the call would wait too long.
        Overloaded,
        /// Half of the deadline passed in the queue.
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
            /// Where it goes.
            target: target::Key,
            /// Longest wait in the target before it sheds the call.
            queue: Span,
            /// Whether the target is to report its load; if not, the request says so.
            report: bool,
        },
        /// Send a copy of `call`, which runs elsewhere already, to `target`.
        Hedge {
            /// The call.
            call: Call,
            /// Where the copy goes.
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
            /// Where the copy is.
            target: target::Key,
        },
        /// Probe `target` and report the answer by `probed`.
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

    /// What becomes of a call whose attempt ended.
    pub enum Progress {
        /// The caller gets this ending; the balancer has forgotten the call.
        Done,
        /// Another copy runs, or the call waits again, or an action for it was given.
        Pending,
    }
}

data! {
    /// A call that asks for a target.
    pub struct Job {
        /// Names the call in later events.
        pub call: Call,
        /// Class of its entry.
        pub class: Class,
        /// When the request arrived at this VM.
        pub arrived: Instant,
        /// When the caller stops waiting.
        pub deadline: Instant,
        /// Time since the arrival within which an answer is of full use.
        pub objective: Span,
        /// Rank against the calls of other entries; 0 goes first.
        pub urgency: u8,
        /// A target that failed the request before.
        pub avoid: Option<target::Key>,
        /// Tells the entries of the service apart.
        pub entry: u32,
        /// Copies permitted, as a percentage of the calls; zero for none.
        pub hedge_percent: u8,
        /// Bytes of the request on the wire; none if they are not known.
        pub bytes: Option<u64>,
    }

    /// What the calls of a service may consume on this VM.
    pub struct Limits {
        /// Calls that may wait.
        pub queue: usize,
        /// Bytes spent on measuring targets.
        pub measuring: Total,
        /// Bytes to and from other regions.
        pub remote: Total,
        /// Typical bytes of a request and its answer.
        pub exchange_bytes: u64,
    }
}

/// Bound on the bytes of a target's answer that it did not run a request.
pub const REFUSAL_BYTES: u64 = 200;
/// Bytes of a load report on an answer, by the format of the header.
pub const REPORT_BYTES: u64 = 78;
/// Bytes of a probe and its answer.
pub const PROBE_BYTES: u64 = 320;

/// A gap between two events during which this process must have stood still, as `next_tick` asks
/// for shorter waits.
const PAUSE: Span = Span::from_millis(500);
const TICK_WAITING: Span = Span::from_millis(2);
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
    /// Measuring bytes held for probes that have not ended, by target.
    pub(crate) probes: Map<target::Key, u64>,
    pub(crate) remote: Meter,
    pub(crate) hedges: Map<u32, hedge::Budget>,
    pub(crate) latency: hedge::Quantile,
    last: Instant,
    pub(crate) arrived: Option<Instant>,
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
            hedges: Map::default(),
            latency: hedge::Quantile::default(),
            last: Instant::default(),
            arrived: None,
            limits,
        }
    }

    /// Takes over the targets that the catalogue names.
    pub fn update(&mut self, now: Instant, specs: &[entry::Target]) {
        self.pass(now);
        self.targets.update(now, &self.place, specs);
    }

    /// Takes over changed limits.
    pub fn set_limits(&mut self, now: Instant, limits: Limits) {
        self.measuring.update(now, limits.measuring);
        self.remote.update(now, limits.remote);
        self.limits = limits;
    }

    /// The targets with what is known of each.
    #[must_use]
    pub fn targets(&self) -> &Table {
        &self.targets
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Says whether `target` may get new work.
    pub fn set_standing(&mut self, target: target::Key, standing: Standing) {
        if let Some(target) = self.targets.get_mut(target) {
            target.set_standing(standing);
        }
    }

    /// The round trip to `target` was measured, as when a connection was opened.
    pub fn record_round_trip(&mut self, target: target::Key, round_trip: Span) {
        if let Some(target) = self.targets.get_mut(target) {
            target.round_trip = crate::estimate::seconds(round_trip);
        }
    }

    /// A call arrived, or a call that was over is offered again.
    pub fn arrive(&mut self, now: Instant, ask: Job, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.pass(now);
        self.arrived = Some(now);
        let arrived = now;
        self.admit(now, Waiting { ask, arrived }, out);
        self.dispatch(now, rng, out);
        self.confirm(now, out);
    }

    /// `target` reported its load; the report is `age` old. Goes before the `finish` of the
    /// attempt whose answer carried it.
    pub fn record_report(&mut self, now: Instant, target: target::Key, report: Report, age: Span) {
        self.pass(now);
        if let Some(target) = self.targets.get_mut(target) {
            let own = target.in_flight.saturating_sub(1);
            target.estimate.report(now - age, report, own);
            let slots = target.spec.slots;
            let all: u64 = self
                .targets
                .iter()
                .map(|(_, target)| target.in_flight)
                .sum();
            self.chooser.adapt(report, slots, all.saturating_sub(1));
        }
    }

    /// A VM of the same data centre passed on a report that it got `age` ago.
    pub fn record_peer_report(
        &mut self,
        now: Instant,
        target: target::Key,
        report: Report,
        age: Span,
    ) {
        self.pass(now);
        if let Some(target) = self.targets.get_mut(target) {
            let own = target.in_flight;
            target.estimate.report(now - age, report, own);
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
        self.pass(now);
        let fate = self.settle(now, call, target, ending, out);
        self.dispatch(now, rng, out);
        fate
    }

    /// A call is not wanted any more, whether it waits or runs.
    pub fn withdraw(&mut self, now: Instant, call: Call, out: &mut Vec<Action>) {
        self.pass(now);
        self.queue.extract(|waiting| waiting.ask.call == call);
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

    /// An exchange with `target` carried `bytes`; what is above the assumed bytes of an exchange with
    /// another region leaves a debt.
    pub fn charge_exchange(&mut self, now: Instant, target: target::Key, bytes: u64) {
        let target = self.targets.get(target);
        if target.is_some_and(|target| target.remote) {
            let above = bytes.saturating_sub(self.limits.exchange_bytes);
            self.remote.charge(now, above);
        }
    }

    /// Bytes to and from other regions so far.
    #[must_use]
    pub fn remote_bytes(&self) -> u64 {
        self.remote.spent()
    }

    /// Measuring bytes spent so far.
    #[must_use]
    pub fn measuring_bytes(&self) -> u64 {
        self.measuring.spent()
    }

    /// Measuring bytes were spent apart from the balancer's own actions, as on load frames.
    pub fn charge_measuring(&mut self, now: Instant, bytes: u64) {
        self.measuring.charge(now, bytes);
    }

    /// A probe of `target` was answered, or not.
    pub fn record_probe(&mut self, target: target::Key, answered: bool) {
        if let Some(price) = self.probes.remove(&target) {
            self.measuring.settle(self.last, price, price);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.probed = target.probed.saturating_add(1);
            if answered && target.standing == Standing::Unconfirmed {
                target.set_standing(Standing::Open);
            }
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.pass(now);
        self.expire(now, out);
        self.confirm(now, out);
        self.dispatch(now, rng, out);
        self.hedge(now, rng, out);
    }

    /// The latest moment for the next `tick`, as seen from `now`.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        if let Some(latest) = self.queue.latest() {
            Some(latest.max(now).min(now + TICK_WAITING))
        } else if !self.flights.is_empty() || self.wants_probes(now) {
            Some(now + TICK_RUNNING)
        } else {
            None
        }
    }

    /// Accounts for the time since the last event.
    fn pass(&mut self, now: Instant) {
        let paused = now.since(self.last) > PAUSE;
        self.last = self.last.max(now);
        for (_, target) in self.targets.iter_mut() {
            if paused {
                target.estimate.skip(now);
            }
            target.estimate.accrue(now, target.in_flight);
        }
    }

    /// Ends an attempt in the counts without a result.
    pub(crate) fn release(&mut self, now: Instant, attempt: &Attempt) {
        self.measuring.settle(now, attempt.reserved, 0);
        // The report may be on its way.
        self.measuring.settle(now, attempt.report, attempt.report);
        if let Some(target) = self.targets.get_mut(attempt.target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
