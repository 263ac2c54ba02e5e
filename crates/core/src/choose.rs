//! Chooses the target of a call: the one with the lowest expected delay in the own region, or one
//! in another region once the wait at home outweighs the longer round trip.

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::balance::Job;
use crate::entry::Class;
use crate::estimate::Report;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::map::Map;
use crate::target::Key;
use crate::target::Table;
use crate::target::Target;
use crate::time::Instant;
use crate::time::Span;

/// Typical latency that is assumed until an answer has arrived.
const ASSUMED_LATENCY_S: f64 = 0.020;
/// Weight of a new latency in the running mean.
const LATENCY_WEIGHT: f64 = 1.0 / 64.0;
/// Mean number of answers for each target before targets are compared. The first answers are those
/// of short requests, so the typical latency is underestimated at first.
const ANSWERS_TO_COMPARE: usize = 8;
/// Age of a report, in typical latencies, at which it weighs as much as the usual load. Other VMs
/// fill a free slot within a fraction of a request's work, so trusting a report for longer sends
/// all VMs to the same target: with 4, p99 at 90 % in the load table rises from 1.10 to 1.18 times
/// the ideal.
const HALF_WEIGHT_LATENCIES: f64 = 0.2;
/// Age, in typical latencies, up to which the newest report tells how full the targets are.
const FRESH_LATENCIES: f64 = 4.0;
/// Weight of an own request in flight against one of another VM. Above 1, a VM spreads its own
/// requests more evenly and sends work to other regions sooner.
const OWN_WEIGHT: f64 = 1.25;
/// Requests by which an estimate of the load may be wrong. It smooths the expected queue of a
/// target that is about full.
const LOAD_ERROR_REQUESTS: f64 = 1.5;
/// A target that is this many times slower than typical is slow.
const SLOW_FACTOR: f64 = 1.6;
/// Calls that may wait in a target, for each of its slots.
const DEPTH_PER_SLOT: f64 = 2.0;
/// Growth of the window for deferrable calls after an answer that left a slot of its target free.
const WINDOW_STEP: f64 = 0.5;
/// Factor on the window after an answer that left calls waiting in its target.
const WINDOW_DECLINE: f64 = 0.9;
/// Upper bound on the window, as a multiple of the calls in flight.
const WINDOW_BOUND: f64 = 2.0;
/// Random part of the cost, as a share of the typical latency, that breaks ties between targets.
const JITTER_SHARE: f64 = 0.02;
/// Calls go to another region once the cost in the own region exceeds the cost there times
/// the first factor, until it falls below the cost there times the second.
const SPILL_START: f64 = 1.25;
const SPILL_STOP: f64 = 0.75;
/// An entry without a call for this long takes no part in fair sharing.
const ACTIVE_FOR: Span = Span::from_millis(1_000);

/// Calls that the entry of a call has queued and in flight, and all calls in flight of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Queued calls of the entry and class.
    pub(crate) waiting: usize,
    /// Calls of the entry in flight.
    pub(crate) entry_in_flight: usize,
    /// Calls of all entries in flight.
    pub(crate) in_flight: usize,
}

/// State of the choice that all targets share.
#[derive(Debug, Default)]
pub(crate) struct Chooser {
    mean_latency: Option<f64>,
    answers: usize,
    median_latency: Option<f64>,
    /// Requests of other VMs for each slot, over the targets that reported.
    usual_load: f64,
    spilling: bool,
    /// Calls of this VM in flight up to which deferrable calls may be sent.
    window: f64,
    /// When the newest call of each entry arrived.
    last_calls: Map<u32, Instant>,
    /// When the newest load report was made.
    last_report: Option<Instant>,
}

/// A target with the delay that a call is expected to have there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) target: Key,
    /// Expected seconds on top of the typical latency.
    pub(crate) cost: f64,
}

impl Chooser {
    /// Records the latency of an answer.
    pub(crate) fn record_latency(&mut self, latency: Span) {
        self.answers = self.answers.saturating_add(1);
        let latency = seconds(latency);
        let mean = self.mean_latency.get_or_insert(latency);
        *mean += (latency - *mean) * LATENCY_WEIGHT;
    }

    /// Latency of a typical target in seconds: the median over targets once they are known.
    pub(crate) fn typical(&self) -> f64 {
        self.median_latency
            .or(self.mean_latency)
            .unwrap_or(ASSUMED_LATENCY_S)
    }

    /// Records that a call of `entry` arrived.
    pub(crate) fn record_call(&mut self, now: Instant, entry: u32) {
        self.last_calls.insert(entry, now);
    }

    /// Whether calls like `job` are held back in favour of other entries: batch calls, and calls of
    /// an entry that has a backlog and at least its share of the calls in flight.
    fn is_deferrable(&self, now: Instant, job: &Job, usage: Usage) -> bool {
        let is_rival = |(entry, last): &(&u32, &Instant)| {
            **entry != job.entry && now.since(**last) < ACTIVE_FOR
        };
        let rivals = self.last_calls.iter().filter(is_rival).count();
        let has_share =
            usage.waiting > 1 && usage.entry_in_flight * (rivals + 1) >= usage.in_flight;
        rivals > 0 && (has_share || job.class == Class::Batch)
    }

    /// Updates what is derived from all targets: typical latency, usual load and ejections.
    pub(crate) fn refresh(&mut self, now: Instant, targets: &mut Table) {
        let mut means: Vec<f64> = targets
            .iter()
            .filter_map(|(_, target)| target.estimate.mean_latency())
            .collect();
        means.sort_by(f64::total_cmp);
        self.median_latency = means.get(means.len() / 2).copied();
        let typical = self.typical();
        if self.answers >= ANSWERS_TO_COMPARE * means.len() {
            for (_, target) in targets.iter_mut() {
                let (in_flight, slots) = (target.in_flight, target.spec.slots);
                target.estimate.update_outlier(typical, in_flight, slots);
            }
        }
        self.usual_load = usual_load(now, targets, typical);
        self.last_report = targets
            .iter()
            .filter_map(|(_, target)| target.estimate.others())
            .map(|(at, _)| at)
            .max();
        update_ejections(now, targets, typical);
    }

    /// Expected delay of a call at `target`, in seconds on top of the typical latency.
    fn cost(&self, now: Instant, target: &Target) -> f64 {
        let typical = self.typical();
        let slowness = target.estimate.slowness(typical);
        let slots = target
            .estimate
            .usable_slots(now, target.spec.slots, typical);
        let load = self.load(now, target, self.usual_load, OWN_WEIGHT);
        let wait = expected_queue(load + 1.0 - slots) * typical / slots;
        target.round_trip + wait * slowness.max(1.0) + typical * (slowness - SLOW_FACTOR).max(0.0)
    }

    /// Estimated requests at `target`, with `usual` requests of other VMs for each slot and own
    /// ones counted `weight` times.
    fn load(&self, now: Instant, target: &Target, usual: f64, weight: f64) -> f64 {
        let usual = usual
            * target
                .estimate
                .usable_slots(now, target.spec.slots, self.typical());
        let half_age = HALF_WEIGHT_LATENCIES * self.typical();
        number(target.in_flight) * weight + target.estimate.expected_others(now, usual, half_age)
    }

    /// Adapts the window for deferrable calls to the report on an answer, with `in_flight` requests
    /// of this VM left. Additive increase and multiplicative decrease make the windows of all VMs
    /// converge.
    pub(crate) fn adapt_window(&mut self, report: Report, slots: u64, in_flight: u64) {
        if report.running + report.queued < slots {
            self.window += WINDOW_STEP;
        } else if report.queued > 0 {
            self.window *= WINDOW_DECLINE;
        }
        let bound = WINDOW_BOUND * (number(in_flight) + 1.0);
        self.window = self.window.min(bound).max(1.0);
    }

    /// Whether `target` may get another call of this VM.
    fn has_room(&self, now: Instant, target: &Target) -> bool {
        let slots = target
            .estimate
            .usable_slots(now, target.spec.slots, self.typical());
        let depth = DEPTH_PER_SLOT * number(target.spec.slots);
        // Old reports must not keep calls away for long, since only calls bring new reports.
        let is_fresh = |at| seconds(now.since(at)) < FRESH_LATENCIES * self.typical();
        let usual = if self.last_report.is_some_and(is_fresh) {
            self.usual_load
        } else {
            self.usual_load.min(1.0)
        };
        self.load(now, target, usual, 1.0) < slots + depth
    }

    /// The cheapest target with room for `job` in the own region and the cheapest one outside it;
    /// `skip` is left out.
    pub(crate) fn choose(
        &self,
        now: Instant,
        targets: &Table,
        job: &Job,
        usage: Usage,
        skip: Option<Key>,
        rng: &mut SmallRng,
    ) -> (Option<Choice>, Option<Choice>) {
        let is_deferrable = self.is_deferrable(now, job, usage);
        let in_flight: u64 = targets.iter().map(|(_, target)| target.in_flight).sum();
        if is_deferrable && number(in_flight) + 1.0 > self.window.max(1.0) {
            return (None, None);
        }
        let idle = in_flight == 0;
        let jitter = self.typical() * JITTER_SHARE;
        let (mut near, mut far) = (None, None);
        for (key, target) in targets.iter() {
            if !target.is_open() || Some(key) == skip {
                continue;
            }
            if !idle && !self.has_room(now, target) {
                continue;
            }
            let choice = Choice {
                target: key,
                cost: self.cost(now, target) + jitter * rng.random::<f64>(),
            };
            let best: &mut Option<Choice> = if target.remote { &mut far } else { &mut near };
            if best.is_none_or(|best| choice.cost < best.cost) {
                *best = Some(choice);
            }
        }
        (near, far)
    }

    /// Decides whether a call goes to another region, with a hysteresis against switching back and
    /// forth.
    pub(crate) fn decide_spill(&mut self, near: Option<Choice>, far: Option<Choice>) -> bool {
        let (Some(near), Some(far)) = (near, far) else {
            return near.is_none() && far.is_some();
        };
        let factor = if self.spilling {
            SPILL_STOP
        } else {
            SPILL_START
        };
        self.spilling = near.cost > far.cost * factor;
        self.spilling
    }
}

/// Expected number of calls queued in a target that has `excess` more requests than slots. The
/// estimate of the load is uncertain, so the result is also positive just below zero.
fn expected_queue(excess: f64) -> f64 {
    if excess <= -LOAD_ERROR_REQUESTS {
        0.0
    } else if excess >= LOAD_ERROR_REQUESTS {
        excess
    } else {
        (excess + LOAD_ERROR_REQUESTS).powi(2) / (4.0 * LOAD_ERROR_REQUESTS)
    }
}

/// Requests of other VMs for each slot, over the targets that reported; old reports count less.
fn usual_load(now: Instant, targets: &Table, typical: f64) -> f64 {
    let (mut others, mut slots) = (0.0, 0.0);
    for (_, target) in targets.iter() {
        if let Some((at, reported)) = target.estimate.others() {
            let weight = 1.0 / (1.0 + seconds(now.since(at)) / (FRESH_LATENCIES * typical));
            others += weight * reported;
            slots += weight * number(target.spec.slots);
        }
    }
    if slots > 0.0 { others / slots } else { 0.0 }
}

/// Ejects the worst targets, up to a third of the slots; none if all targets are candidates.
fn update_ejections(now: Instant, targets: &mut Table, typical: f64) {
    let total: u64 = targets.iter().map(|(_, target)| target.spec.slots).sum();
    let mut bad: Vec<(Key, f64, u64)> = targets
        .iter()
        .filter_map(|(key, target)| Some((key, target.ejection_rank(typical)?, target.spec.slots)))
        .collect();
    if bad.len() == targets.iter().count() {
        bad.clear();
    }
    bad.sort_by(|left, right| right.1.total_cmp(&left.1));
    let mut budget = total / 3;
    bad.retain(|(_, _, slots)| {
        let fits = *slots <= budget;
        budget -= if fits { *slots } else { 0 };
        fits
    });
    for (key, target) in targets.iter_mut() {
        target.set_ejected(now, bad.iter().any(|(bad, _, _)| *bad == key));
    }
}
