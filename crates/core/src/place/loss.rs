//! Expected loss of a call at a target, as a share of the value of an answer in time. It weighs the
//! risk of a late or failed answer against the distance and the load of the target.
//!
//! For noisy neighbours, which slow a machine fourfold for some hundred milliseconds.

use crate::estimate::number;
use crate::place::spill::Cost;
use crate::site::region;

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
/// Share of its slots up to which a target works at full speed.
const KNEE_SHARE: f64 = 0.8;
/// How many times longer work takes above the knee.
pub(crate) const CONGESTED_SLOWDOWN: f64 = 1.7;
/// Requests by which an estimated load may exceed the maximum: the load of other VMs is a fraction
/// once its report ages.
const LOAD_TOLERANCE: f64 = 0.5;
/// Loss of the other calls at a target when it becomes congested.
const CONGESTION_LOSS: f64 = 0.25;

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
    /// How many times longer work takes than usual, apart from the load.
    pub(crate) slowdown: f64,
    /// Share of calls that fail.
    pub(crate) failure_share: f64,
    /// Seconds to the target and back.
    pub(crate) round_trip: f64,
    pub(crate) distance: Distance,
    /// Its region.
    pub(crate) region: region::Key,
    /// Whether the target belongs to another VM of the region.
    pub(crate) foreign: bool,
    /// Requests that the target may get at once under the limit that it states, and while it is cold.
    pub(crate) allowance: f64,
    /// Index of the data centre if the calls that leave for it are bounded.
    pub(crate) leave: Option<usize>,
    /// Whether this VM may send one more call to that data centre.
    pub(crate) may_leave: bool,
    /// Whether no recent report tells the load of that data centre.
    pub(crate) unreported: bool,
    /// Congestion price of the data centre.
    pub(crate) price: f64,
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
    /// Loss by the way to the target and back.
    pub(crate) cost: Cost,
}

impl Candidate {
    /// Whether the load is above the knee, so that work takes longer.
    pub(crate) fn is_congested(&self) -> bool {
        self.load > KNEE_SHARE * self.slots && self.slots > 1.0
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
        self.is_below_max_load() && self.is_allowed() && self.may_leave
    }

    /// Expected seconds until the answer.
    pub(crate) fn expected_time(&self, work: f64) -> f64 {
        let congestion = if self.is_congested() {
            CONGESTED_SLOWDOWN
        } else {
            1.0
        };
        let each = work * self.slowdown * congestion;
        let waiting = (self.load - self.slots).max(0.0);
        self.round_trip + each + waiting * each / self.slots.max(1.0)
    }

    /// Expected loss of a call with `criteria` at this target.
    pub(crate) fn loss(&self, criteria: &Criteria) -> f64 {
        let time = self.expected_time(criteria.work);
        let failure = if criteria.repeatable {
            FAILURE_LOSS_REPEATABLE
        } else {
            FAILURE_LOSS
        };
        let distance = criteria.cost.loss(self.distance) + self.price;
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
fn late_share(expected: f64, remaining: f64) -> f64 {
    if remaining <= 0.0 {
        return 1.0;
    }
    let distance = (expected.max(f64::MIN_POSITIVE) / remaining).ln();
    1.0 / (1.0 + (-LATE_STEEPNESS * distance).exp())
}

/// Largest number of calls that a target with `slots` gets: up to the knee, if the target completes
/// at least as much work there as with all slots in use, and all slots otherwise.
pub(crate) fn max_load(slots: u64) -> u64 {
    let knee = number(slots) * KNEE_SHARE;
    let below = (1..=slots)
        .rev()
        .find(|count| number(*count) <= knee)
        .unwrap_or(1);
    if number(below) >= number(slots) / CONGESTED_SLOWDOWN {
        below
    } else {
        slots
    }
}
