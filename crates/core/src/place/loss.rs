//! Expected loss of a call at a target, as a share of the value of an answer in time. It weighs the
//! risk of a late or failed answer against the distance and the load of the target.
//!
//! For noisy neighbours, which slow a machine fourfold for some hundred milliseconds.

use crate::place::noise::Noise;

/// Loss of a late answer.
const LATE_LOSS: f64 = 0.9;
/// Steepness of the share of late answers around the objective, for work that spreads by a third.
const LATE_STEEPNESS: f64 = 4.8;
/// Loss of a failed call; one that may be repeated loses less.
const FAILURE_LOSS: f64 = 1.0;
const FAILURE_LOSS_REPEATABLE: f64 = 0.6;
/// Loss at a target that belongs to another VM of the region, which knows the target's load better.
const FOREIGN_LOSS: f64 = 0.1;
/// Loss for an expected time equal to the objective. It grows in proportion to the time, so that of
/// two targets in time the faster one is chosen.
const TIME_LOSS: f64 = 0.15;
/// Expected time above which the loss stops growing, as a multiple of the objective.
const TIME_LOSS_LIMIT: f64 = 4.0;
/// Requests by which an estimated load may exceed the maximum: the load of other VMs is a fraction
/// once its report ages.
const LOAD_TOLERANCE: f64 = 0.5;
/// Loss of the other calls at a target when it becomes congested.
const CONGESTION_LOSS: f64 = 0.25;

/// Slowdown above which a target counts as slow, as a multiple of the usual one.
const SLOW: f64 = 1.5;

/// How far a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    /// In the same data centre.
    Local,
    /// In another data centre of the region.
    DataCenter,
    /// In another region.
    Region,
}

/// A target that may get a call, in the state in which the call would find it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Requests at the target, this call included.
    pub(crate) load: f64,
    pub(crate) slots: f64,
    /// Largest load that the target may get.
    pub(crate) max_load: f64,
    /// Largest load at which the target works at full speed.
    pub(crate) easy_load: f64,
    /// How many times longer the load makes work.
    pub(crate) congestion: f64,
    /// How many times longer work takes than usual on the machine now.
    pub(crate) machine: f64,
    /// Slowdown of long work on any machine.
    pub(crate) usual_machine: f64,
    /// How many times longer work takes than on a usual target, apart from load and machine.
    pub(crate) slowness: f64,
    /// Share of calls that fail.
    pub(crate) failure_share: f64,
    /// Seconds to the target and back.
    pub(crate) round_trip: f64,
    pub(crate) distance: Distance,
    /// Whether the target belongs to another VM of the region.
    pub(crate) foreign: bool,
    /// Whether the state of the target is known well enough to send a call there.
    pub(crate) known: bool,
    /// Requests that the target may get at once under the limit that it states.
    pub(crate) allowance: f64,
}

/// Properties of a call on which its loss depends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Criteria {
    /// Seconds of work on a usual target.
    pub(crate) work: f64,
    /// Seconds from the arrival of the call within which an answer is of full use.
    pub(crate) objective: f64,
    /// Seconds of the objective that are left; negative once it has passed.
    pub(crate) remaining: f64,
    /// Whether the call may run twice.
    pub(crate) repeatable: bool,
    /// Loss for the bytes sent to another data centre, and to another region.
    pub(crate) data_center_loss: f64,
    pub(crate) region_loss: f64,
}

impl Candidate {
    /// Whether the load is beyond that of full speed.
    pub(crate) fn is_congested(&self) -> bool {
        self.load > self.easy_load + LOAD_TOLERANCE
    }

    /// Whether the target belongs to this VM.
    pub(crate) fn is_own(&self) -> bool {
        !self.foreign && self.distance != Distance::Region
    }

    /// Whether the load leaves room for the call that it includes.
    pub(crate) fn is_below_max_load(&self) -> bool {
        self.load <= self.max_load + LOAD_TOLERANCE
    }

    /// Whether the limit that the target states allows the call.
    pub(crate) fn is_allowed(&self) -> bool {
        self.allowance >= 1.0
    }

    /// Whether the target may get the call.
    pub(crate) fn has_room(&self) -> bool {
        let below = if self.is_own() {
            self.is_below_max_load()
        } else {
            !self.is_congested()
        };
        self.known && below && self.is_allowed()
    }

    /// Whether the machine or the target is slower now than most.
    pub(crate) fn is_slow(&self) -> bool {
        self.machine * self.slowness > SLOW * self.usual_machine
    }

    /// Whether the target answers the call as fast as a usual one without load.
    pub(crate) fn is_good(&self) -> bool {
        self.has_room() && !self.is_congested() && !self.is_slow()
    }

    /// Expected seconds until the answer, on machines with `noise`.
    pub(crate) fn expected_time(&self, work: f64, noise: &Noise) -> f64 {
        let each = work * self.slowness * self.congestion;
        let waiting = (self.load - self.slots).max(0.0) / self.slots.max(1.0);
        self.round_trip + noise.time(each * (1.0 + waiting), self.machine)
    }

    /// Expected loss of a call with `criteria` at this target.
    pub(crate) fn loss(&self, criteria: &Criteria, noise: &Noise) -> f64 {
        let time = self.expected_time(criteria.work, noise);
        let failure = if criteria.repeatable {
            FAILURE_LOSS_REPEATABLE
        } else {
            FAILURE_LOSS
        };
        let distance = match self.distance {
            Distance::Local => 0.0,
            Distance::DataCenter => criteria.data_center_loss,
            Distance::Region => criteria.region_loss,
        };
        let foreign = if self.foreign { FOREIGN_LOSS } else { 0.0 };
        let congestion = if self.is_congested() {
            CONGESTION_LOSS
        } else {
            0.0
        };
        let objective = criteria.objective.max(f64::MIN_POSITIVE);
        late_share(time, criteria.remaining) * LATE_LOSS
            + self.failure_share * failure
            + distance
            + foreign
            + congestion
            + TIME_LOSS * (time / objective).min(TIME_LOSS_LIMIT)
    }
}

/// Share of answers that take longer than `remaining` seconds if `expected` seconds are expected.
pub(crate) fn late_share(expected: f64, remaining: f64) -> f64 {
    if remaining <= 0.0 {
        return 1.0;
    }
    let distance = (expected.max(f64::MIN_POSITIVE) / remaining).ln();
    1.0 / (1.0 + (-LATE_STEEPNESS * distance).exp())
}
