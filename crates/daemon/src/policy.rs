//! The balancing policy of a service: the product's own protocol with its targets, or the load that
//! the targets of a hosting platform report.

use oriolecleat_core::balance;
use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Balancer;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::entry;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::map::Map;
use oriolecleat_core::map::Set;
use oriolecleat_core::place;
use oriolecleat_core::place::Estimate;
use oriolecleat_core::place::Placer;
use oriolecleat_core::place::cold;
use oriolecleat_core::place::spill;
use oriolecleat_core::place::spill::Tally;
use oriolecleat_core::place::spill::Terms;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::stated::Change;
use oriolecleat_core::stated::Statement;
use oriolecleat_core::target;
use oriolecleat_core::target::Standing;
use oriolecleat_core::target::Table;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::rngs::SmallRng;

/// Queue and targets of one service.
pub(crate) enum Policy {
    /// Targets that speak the product's own protocol.
    Own(Box<Balancer>),
    /// Targets of a platform.
    Hosted(Box<Placer>),
}

impl Policy {
    /// Sets the limits of the service on this VM.
    pub(crate) fn set_limits(&mut self, now: Instant, limits: balance::Limits) {
        match self {
            Self::Own(balancer) => balancer.set_limits(now, limits),
            Self::Hosted(placer) => placer.set_limits(place::Limits {
                queue: limits.queue,
            }),
        }
    }

    /// Replaces the targets; `cold` gives the time until which a target is slow after its start.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        targets: &[entry::Target],
        cold: impl Fn(&str) -> Option<Instant>,
    ) {
        match self {
            Self::Own(balancer) => balancer.update(now, targets),
            Self::Hosted(placer) => placer.update(now, targets, cold),
        }
    }

    /// Sets the names of the targets that are assigned to this VM.
    pub(crate) fn set_own_targets(&mut self, targets: Option<Set<Box<str>>>) {
        match self {
            Self::Own(_) => {}
            Self::Hosted(placer) => placer.set_own_targets(targets),
        }
    }

    /// The targets that state a limit.
    pub(crate) fn limited_targets(&self) -> Vec<&entry::Target> {
        match self {
            Self::Own(_) => Vec::new(),
            Self::Hosted(placer) => placer.limited_targets().collect(),
        }
    }

    /// Sets the names of the targets that this VM may use while they state a limit, each with the number
    /// of VMs that may.
    pub(crate) fn set_users(&mut self, users: Map<Box<str>, usize>) {
        match self {
            Self::Own(_) => {}
            Self::Hosted(placer) => placer.set_users(users),
        }
    }

    /// Sets what cold targets tolerate of all VMs together, if it is bounded.
    pub(crate) fn set_cold_bound(&mut self, bound: Option<cold::Bound>) {
        match self {
            Self::Own(_) => {}
            Self::Hosted(placer) => placer.set_cold_bound(bound),
        }
    }

    /// The targets that are cold and have a bound.
    pub(crate) fn cold_targets(&self, now: Instant) -> Vec<&entry::Target> {
        match self {
            Self::Own(_) => Vec::new(),
            Self::Hosted(placer) => placer.cold_targets(now).collect(),
        }
    }

    /// Sets the names of the cold targets that this VM may use.
    pub(crate) fn set_cold_users(&mut self, targets: Set<Box<str>>) {
        match self {
            Self::Own(_) => {}
            Self::Hosted(placer) => placer.set_cold_users(targets),
        }
    }

    /// Records that a target states that it is cold for `left`.
    pub(crate) fn record_cold(&mut self, now: Instant, target: target::Key, left: Span) {
        match self {
            Self::Own(_) => {}
            Self::Hosted(placer) => placer.record_cold(now, target, left),
        }
    }

    /// Takes over what an answer to a request sent at `sent` states of its target.
    pub(crate) fn record_statement(
        &mut self,
        now: Instant,
        target: target::Key,
        sent: Instant,
        statement: Statement,
    ) -> Vec<Change> {
        match self {
            Self::Own(_) => Vec::new(),
            Self::Hosted(placer) => placer.record_statement(now, target, sent, statement),
        }
    }

    /// Whether the target states that it takes nothing from this VM.
    pub(crate) fn is_closed(&self, now: Instant, target: target::Key) -> bool {
        match self {
            Self::Own(_) => false,
            Self::Hosted(placer) => placer.is_closed(now, target),
        }
    }

    /// Sets how calls leave their data centre, and the VMs by data centre.
    pub(crate) fn set_spill(&mut self, terms: Terms, vms: Map<Box<str>, usize>) {
        match self {
            Self::Own(_) => {}
            Self::Hosted(placer) => {
                placer.set_spill(terms);
                placer.set_vms(vms);
            }
        }
    }

    /// Removes and returns where leaving the data centre began and ended.
    pub(crate) fn take_spill_changes(&mut self, now: Instant) -> Vec<spill::Change> {
        match self {
            Self::Own(_) => Vec::new(),
            Self::Hosted(placer) => placer.take_spill_changes(now),
        }
    }

    /// What left the data centre; none for the product's own targets.
    pub(crate) fn spilled(&self) -> Option<&Tally> {
        match self {
            Self::Own(_) => None,
            Self::Hosted(placer) => Some(placer.spilled()),
        }
    }

    pub(crate) fn targets(&self) -> &Table {
        match self {
            Self::Own(balancer) => balancer.targets(),
            Self::Hosted(placer) => placer.targets(),
        }
    }

    /// The state of `target` on which a decision is based; none for the product's own targets.
    pub(crate) fn target_state(&self, now: Instant, target: target::Key) -> Option<Estimate> {
        match self {
            Self::Own(_) => None,
            Self::Hosted(placer) => placer.estimate(now, target),
        }
    }

    /// Number of calls that wait for a target.
    pub(crate) fn waiting(&self) -> usize {
        match self {
            Self::Own(balancer) => balancer.waiting(),
            Self::Hosted(placer) => placer.waiting(),
        }
    }

    /// Sets whether `target` may get calls.
    pub(crate) fn set_standing(&mut self, target: target::Key, standing: Standing) {
        match self {
            Self::Own(balancer) => balancer.set_standing(target, standing),
            Self::Hosted(placer) => placer.set_standing(target, standing),
        }
    }

    /// Whether a probe can confirm a target whose evidence is old. On a platform the registrations
    /// determine which targets are used, so none has to be confirmed.
    pub(crate) fn can_probe(&self) -> bool {
        match self {
            Self::Own(balancer) => balancer.can_probe(),
            Self::Hosted(_) => false,
        }
    }

    /// Submits a new call.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        job: Job,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        match self {
            Self::Own(balancer) => balancer.arrive(now, job, rng, out),
            Self::Hosted(placer) => placer.arrive(now, job, rng, out),
        }
    }

    /// Records the load that `target` reported on an answer.
    pub(crate) fn record_report(&mut self, now: Instant, target: target::Key, report: Report) {
        match self {
            Self::Own(balancer) => balancer.record_report(now, target, report, Span::ZERO),
            Self::Hosted(placer) => placer.record_report(now, target, report),
        }
    }

    /// Records a load report that a peer received `age` ago and passed on.
    pub(crate) fn record_peer_load(
        &mut self,
        now: Instant,
        target: target::Key,
        report: Report,
        age: Span,
    ) {
        match self {
            Self::Own(balancer) => balancer.record_peer_report(now, target, report, age),
            // The targets of a platform are probed for their load when it is needed.
            Self::Hosted(_) => {}
        }
    }

    /// Records the end of an attempt; returns what becomes of the call.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        ending: Ending,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) -> Progress {
        match self {
            Self::Own(balancer) => balancer.finish(now, call, target, ending, rng, out),
            Self::Hosted(placer) => placer.finish(now, call, target, ending, rng, out),
        }
    }

    /// Withdraws a call, whether it waits or runs.
    pub(crate) fn withdraw(&mut self, now: Instant, call: Call, out: &mut Vec<Action>) {
        match self {
            Self::Own(balancer) => balancer.withdraw(now, call, out),
            Self::Hosted(placer) => placer.withdraw(call, out),
        }
    }

    /// Records the end of the probe that was sent to confirm `target`.
    pub(crate) fn end_confirmation(&mut self, target: target::Key) {
        match self {
            Self::Own(balancer) => balancer.record_probe(target, false),
            Self::Hosted(_) => {}
        }
    }

    /// Records the result of a load probe of `target`: its report, or none.
    pub(crate) fn record_load_probe(
        &mut self,
        now: Instant,
        target: target::Key,
        report: Option<Report>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        match self {
            Self::Own(_) => {}
            Self::Hosted(placer) => placer.record_probe(now, target, report, rng, out),
        }
    }

    /// Counts the bytes that the exchange of `call` with `target` carried.
    pub(crate) fn record_bytes(
        &mut self,
        now: Instant,
        call: Call,
        target: target::Key,
        bytes: u64,
    ) {
        match self {
            Self::Own(balancer) => balancer.charge_exchange(now, target, bytes),
            Self::Hosted(placer) => placer.record_bytes(call, target, bytes),
        }
    }

    pub(crate) fn tick(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        match self {
            Self::Own(balancer) => balancer.tick(now, rng, out),
            Self::Hosted(placer) => placer.tick(now, rng, out),
        }
    }

    /// When the next tick is due at the latest, if one is.
    pub(crate) fn next_tick(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Own(balancer) => balancer.next_tick(now),
            Self::Hosted(placer) => placer.next_tick(now),
        }
    }

    /// Expected wait of a new call to `regions`; none for the product's own targets.
    pub(crate) fn expected_wait(&self, now: Instant, regions: &Scope) -> Option<Span> {
        match self {
            Self::Own(_) => None,
            Self::Hosted(placer) => Some(placer.expected_wait_in(now, regions)),
        }
    }

    /// Bytes of the measuring budget spent so far.
    pub(crate) fn measuring_bytes(&self) -> u64 {
        match self {
            Self::Own(balancer) => balancer.measuring_bytes(),
            Self::Hosted(_) => 0,
        }
    }

    /// Bytes to and from other regions so far.
    pub(crate) fn remote_bytes(&self) -> u64 {
        match self {
            Self::Own(balancer) => balancer.remote_bytes(),
            Self::Hosted(_) => 0,
        }
    }
}
