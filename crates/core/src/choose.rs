//! Which target a call gets.

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

/// Typical latency that is assumed until one is known.
const ASSUMED_LATENCY_S: f64 = 0.020;
/// Weight of a new latency in the running mean.
const LATENCY_WEIGHT: f64 = 1.0 / 64.0;
/// Answers for each target before targets are compared: the first answers are those of the short
/// requests, so the typical latency is underestimated at first.
const ANSWERS_TO_COMPARE: usize = 8;
/// After this multiple of the typical latency a report weighs as much as the usual load. Other VMs
/// fill a free slot within a fraction of a request's work, so a longer trust sends all VMs to the
/// same target: in the load table p99 at 90 % rises from 1.10 to 1.18 times the ideal with 4.
const REPORT_HALF: f64 = 0.2;
/// Up to this multiple of the typical latency the newest report tells how full the targets are.
const FRESH: f64 = 4.0;
/// Weight of an own request in flight against one of another VM. Above 1, a VM's own requests are
/// spread more evenly and work leaves the region sooner.
const OWN_WEIGHT: f64 = 1.25;
/// Requests by which an estimate of the load may be off; smooths the wait around a full target.
const LOAD_ERROR: f64 = 1.5;
/// A target this many times slower than typical counts as slow.
const SLOW: f64 = 1.6;
/// Calls that may wait in a target for each slot.
const DEPTH_PER_SLOT: f64 = 2.0;
/// Growth of the window of calls that yield when an answer left a slot free, its decline when
/// calls still waited in the target, and its bound as a multiple of the calls in flight.
const WINDOW_STEP: f64 = 0.5;
const WINDOW_DECLINE: f64 = 0.9;
const WINDOW_SPARE: f64 = 2.0;
/// Share of the typical latency by which equal targets are told apart at random.
const JITTER: f64 = 0.02;
/// Work goes to other regions once the wait at home exceeds the longer way by the first factor,
/// until it falls below the second.
const SPILL_START: f64 = 1.25;
const SPILL_STOP: f64 = 0.75;
/// An entry without a call for this long takes no part in fair sharing.
const ACTIVE: Span = Span::from_millis(1_000);

/// What the entry of a call is using, and the service in all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Calls of the entry that wait.
    pub(crate) backlog: usize,
    /// Calls of the entry in flight.
    pub(crate) own: usize,
    /// Calls of all entries in flight.
    pub(crate) all: usize,
}

/// State of the choice that is common to all targets.
#[derive(Debug, Default)]
pub(crate) struct Chooser {
    latency: Option<f64>,
    answers: usize,
    median: Option<f64>,
    usual: f64,
    spilling: bool,
    /// Calls of this VM in flight up to which calls that yield may be sent.
    window: f64,
    seen: Map<u32, Instant>,
    reported: Option<Instant>,
}

/// A target with what a call is expected to lose there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) target: Key,
    /// Expected seconds on top of the typical latency.
    pub(crate) cost: f64,
}

impl Chooser {
    /// Adds the latency of an answer.
    pub(crate) fn answered(&mut self, latency: Span) {
        self.answers = self.answers.saturating_add(1);
        let latency = seconds(latency);
        let mean = self.latency.get_or_insert(latency);
        *mean += (latency - *mean) * LATENCY_WEIGHT;
    }

    /// Latency of a typical target in seconds.
    pub(crate) fn typical(&self) -> f64 {
        self.median.or(self.latency).unwrap_or(ASSUMED_LATENCY_S)
    }

    /// A call of `entry` arrived.
    pub(crate) fn seen(&mut self, now: Instant, entry: u32) {
        self.seen.insert(entry, now);
    }

    /// Whether calls like `ask` leave room in the targets for those of other entries: batch calls
    /// do, and calls of an entry that has a backlog and at least its share of what is in flight.
    fn yields(&self, now: Instant, ask: &Job, usage: Usage) -> bool {
        let active =
            |(entry, seen): &(&u32, &Instant)| **entry != ask.entry && now.since(**seen) < ACTIVE;
        let rivals = self.seen.iter().filter(active).count();
        let ample = usage.backlog > 1 && usage.own * (rivals + 1) >= usage.all;
        rivals > 0 && (ample || ask.class == Class::Batch)
    }

    /// Renews what is derived from all targets: typical speed, usual load and ejections.
    pub(crate) fn refresh(&mut self, now: Instant, targets: &mut Table) {
        let mut means: Vec<f64> = targets
            .iter()
            .filter_map(|(_, target)| target.estimate.mean())
            .collect();
        means.sort_by(f64::total_cmp);
        self.median = means.get(means.len() / 2).copied();
        let typical = self.typical();
        if self.answers >= ANSWERS_TO_COMPARE * means.len() {
            for (_, target) in targets.iter_mut() {
                let (in_flight, slots) = (target.in_flight, target.spec.slots);
                target.estimate.compare(typical, in_flight, slots);
            }
        }
        self.usual = usual(now, targets, typical);
        self.reported = targets
            .iter()
            .filter_map(|(_, target)| target.estimate.others())
            .map(|(at, _)| at)
            .max();
        eject(now, targets, typical);
    }

    /// Expected seconds that a call loses at `target`.
    fn cost(&self, now: Instant, target: &Target) -> f64 {
        let typical = self.typical();
        let slowness = target.estimate.slowness(typical);
        let slots = target.estimate.slots(now, target.spec.slots, typical);
        let load = self.load(now, target, self.usual, OWN_WEIGHT);
        let wait = queueing(load + 1.0 - slots) * typical / slots;
        target.round_trip + wait * slowness.max(1.0) + typical * (slowness - SLOW).max(0.0)
    }

    /// Requests at `target` as far as this VM can tell, with `usual` others for each slot and own
    /// ones counted `weight` times.
    fn load(&self, now: Instant, target: &Target, usual: f64, weight: f64) -> f64 {
        let usual = usual
            * target
                .estimate
                .slots(now, target.spec.slots, self.typical());
        let half = REPORT_HALF * self.typical();
        number(target.in_flight) * weight + target.estimate.others_at(now, usual, half)
    }

    /// Adapts the window to a report on an answer, with `in_flight` requests left of this VM.
    /// Growth by steps and decline by a share make the windows of all VMs alike.
    pub(crate) fn adapt(&mut self, report: Report, slots: u64, in_flight: u64) {
        if report.running + report.queued < slots {
            self.window += WINDOW_STEP;
        } else if report.queued > 0 {
            self.window *= WINDOW_DECLINE;
        }
        let most = WINDOW_SPARE * (number(in_flight) + 1.0);
        self.window = self.window.min(most).max(1.0);
    }

    fn has_room(&self, now: Instant, target: &Target) -> bool {
        let slots = target
            .estimate
            .slots(now, target.spec.slots, self.typical());
        let depth = DEPTH_PER_SLOT * number(target.spec.slots);
        // Old reports must not keep work back for long, as only work renews them.
        let fresh = |at| seconds(now.since(at)) < FRESH * self.typical();
        let usual = if self.reported.is_some_and(fresh) {
            self.usual
        } else {
            self.usual.min(1.0)
        };
        self.load(now, target, usual, 1.0) < slots + depth
    }

    /// The best target in the own region and the best one outside that have room for `ask`; `skip`
    /// is left out.
    pub(crate) fn choose(
        &self,
        now: Instant,
        targets: &Table,
        ask: &Job,
        usage: Usage,
        skip: Option<Key>,
        rng: &mut SmallRng,
    ) -> (Option<Choice>, Option<Choice>) {
        let yields = self.yields(now, ask, usage);
        let in_flight: u64 = targets.iter().map(|(_, target)| target.in_flight).sum();
        if yields && number(in_flight) + 1.0 > self.window.max(1.0) {
            return (None, None);
        }
        let idle = in_flight == 0;
        let jitter = self.typical() * JITTER;
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

    /// Whether a call goes to another region.
    pub(crate) fn spill(&mut self, near: Option<Choice>, far: Option<Choice>) -> bool {
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

/// Expected calls ahead in the queue of a target that has `excess` more requests than slots. The
/// estimate of the load is uncertain, so the expectation is positive just below zero, too.
fn queueing(excess: f64) -> f64 {
    if excess <= -LOAD_ERROR {
        0.0
    } else if excess >= LOAD_ERROR {
        excess
    } else {
        (excess + LOAD_ERROR).powi(2) / (4.0 * LOAD_ERROR)
    }
}

/// Other VMs' requests for each slot, over the targets that reported; old reports count less.
fn usual(now: Instant, targets: &Table, typical: f64) -> f64 {
    let (mut others, mut slots) = (0.0, 0.0);
    for (_, target) in targets.iter() {
        if let Some((at, reported)) = target.estimate.others() {
            let weight = 1.0 / (1.0 + seconds(now.since(at)) / (FRESH * typical));
            others += weight * reported;
            slots += weight * number(target.spec.slots);
        }
    }
    if slots > 0.0 { others / slots } else { 0.0 }
}

/// Ejects the targets that look worst, up to a third of the slots; none if all look bad.
fn eject(now: Instant, targets: &mut Table, typical: f64) {
    let all: u64 = targets.iter().map(|(_, target)| target.spec.slots).sum();
    let mut bad: Vec<(Key, f64, u64)> = targets
        .iter()
        .filter_map(|(key, target)| Some((key, target.badness(typical)?, target.spec.slots)))
        .collect();
    if bad.len() == targets.iter().count() {
        bad.clear();
    }
    bad.sort_by(|left, right| right.1.total_cmp(&left.1));
    let mut left = all / 3;
    bad.retain(|(_, _, slots)| {
        let fits = *slots <= left;
        left -= if fits { *slots } else { 0 };
        fits
    });
    for (key, target) in targets.iter_mut() {
        target.eject(now, bad.iter().any(|(bad, _, _)| *bad == key));
    }
}
