//! Neighbours that slow a machine fourfold for some hundred milliseconds: what a call is expected to
//! lose at a target, as a share of the worth of an answer in time.

use crate::estimate::number;

/// What a late answer loses.
const LATE: f64 = 0.9;
/// Steepness of the share that is late around the objective, for work that spreads by a third.
const STEEPNESS: f64 = 4.8;
/// What a failed call loses; one that may be repeated loses less.
const FAILED: f64 = 1.0;
const FAILED_REPEATABLE: f64 = 0.6;
/// What the bytes of a longer way cost, to another data centre and to another region.
const DATA_CENTER: f64 = 0.12;
const REGION: f64 = 0.7;
/// The same for calls of urgency 0 and 1, which are worth more than the bytes of their way.
const REGION_URGENT: [f64; 2] = [0.25, 0.35];
/// What a call loses at a target that belongs to another VM, which knows its load better.
const FOREIGN: f64 = 0.1;
/// Loss for each objective's length of expected time, so that of two targets in time the faster one
/// is taken.
const TIME: f64 = 0.15;
/// Objectives' lengths of expected time above which more time loses nothing more.
const TIME_LIMIT: f64 = 4.0;
/// Share of its slots up to which a target works at full speed.
const KNEE: f64 = 0.8;
/// How many times longer work takes above it.
pub(crate) const CROWDED: f64 = 1.7;
/// Load by which a target may be too full, as the load of other VMs is a fraction once it ages.
const ROUNDING: f64 = 0.5;
/// What the other calls at a target lose when it gets crowded.
const CROWDING: f64 = 0.25;

/// How far a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    Within,
    DataCenter,
    Region,
}

/// A target as a call would find it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View {
    /// Requests there, this call included.
    pub(crate) load: f64,
    pub(crate) slots: f64,
    /// Requests that it gets at most.
    pub(crate) room: f64,
    /// How many times longer work takes than usual, apart from the load.
    pub(crate) factor: f64,
    /// Share of calls that fail.
    pub(crate) failing: f64,
    /// Seconds to the target and back.
    pub(crate) round_trip: f64,
    pub(crate) way: Way,
    /// Whether another VM sends there first.
    pub(crate) foreign: bool,
}

/// A call that needs a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    /// Seconds of work on a usual target.
    pub(crate) work: f64,
    /// Seconds within which an answer is of full use, from the arrival of the call.
    pub(crate) objective: f64,
    /// Seconds of them that are left.
    pub(crate) left: f64,
    pub(crate) repeatable: bool,
    /// Rank against other calls, 0 for the most urgent ones.
    pub(crate) urgency: u8,
}

impl View {
    pub(crate) fn is_crowded(&self) -> bool {
        self.load > KNEE * self.slots && self.slots > 1.0
    }

    /// Whether there is room for the call that the load includes.
    pub(crate) fn has_room(&self) -> bool {
        self.load <= self.room + ROUNDING
    }

    /// Expected seconds until the answer.
    pub(crate) fn time(&self, work: f64) -> f64 {
        let crowded = if self.is_crowded() { CROWDED } else { 1.0 };
        let each = work * self.factor * crowded;
        let waiting = (self.load - self.slots).max(0.0);
        self.round_trip + each + waiting * each / self.slots.max(1.0)
    }

    /// What `need` is expected to lose here.
    pub(crate) fn loss(&self, need: &Need) -> f64 {
        let time = self.time(need.work);
        let failed = if need.repeatable {
            FAILED_REPEATABLE
        } else {
            FAILED
        };
        let way = match self.way {
            Way::Within => 0.0,
            Way::DataCenter => DATA_CENTER,
            Way::Region => REGION_URGENT
                .get(usize::from(need.urgency))
                .copied()
                .unwrap_or(REGION),
        };
        let foreign = if self.foreign { FOREIGN } else { 0.0 };
        let crowding = if self.is_crowded() { CROWDING } else { 0.0 };
        let objective = need.objective.max(f64::MIN_POSITIVE);
        late(time, need.left) * LATE
            + self.failing * failed
            + way
            + foreign
            + crowding
            + TIME * (time / objective).min(TIME_LIMIT)
    }
}

/// Share of answers that take longer than `left` if `time` is expected.
fn late(time: f64, left: f64) -> f64 {
    if left <= 0.0 {
        return 1.0;
    }
    let distance = (time.max(f64::MIN_POSITIVE) / left).ln();
    1.0 / (1.0 + (-STEEPNESS * distance).exp())
}

/// Calls that a target with `slots` gets at most: up to its knee, if that gives more work than all
/// slots above it.
pub(crate) fn room(slots: u64) -> u64 {
    let knee = number(slots) * KNEE;
    let below = (1..=slots)
        .rev()
        .find(|count| number(*count) <= knee)
        .unwrap_or(1);
    if number(below) >= number(slots) / CROWDED {
        below
    } else {
        slots
    }
}
