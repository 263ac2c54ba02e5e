//! How long calls take at the targets of a service, learned from answers: the work of a call by entry, and
//! how many times longer it takes as the slots of a target fill. For targets that slow down when they are
//! nearly full, at a knee that differs between services.
//!
//! The time that an entry takes is kept by load, so that the slowdown follows from comparing the calls of an
//! entry with each other, and work and slowdown cannot be mistaken for one another.

use crate::estimate::number;
use crate::map::Map;
use crate::place::median::Median;

/// Parts into which the slots of a target are divided; the load of a single request is apart.
const PARTS: usize = 8;
/// Work that is assumed before any answer, as a share of the objective.
const ASSUMED_SHARE: f64 = 0.35;
/// Shortest work of a call, in seconds.
const WORK_MIN_S: f64 = 0.000_5;
/// Answers that count for no slowdown until more are known.
const ASSUMED_ANSWERS: f64 = 8.0;
/// Answers at a load that count for the work of an entry at most.
const COUNTED_ANSWERS: f64 = 64.0;
/// Answers at a load below which some targets get no more, so that there are answers to compare with.
const WANTED_ANSWERS: f64 = 24.0;
/// Answers after which their numbers are halved, so that old ones are renewed.
const HALF_AFTER: f64 = 1_024.0;
/// Largest slowdown by load.
const MAX_FACTOR: f64 = 8.0;
/// A target works at full speed while the slowdown is at most this.
const EASY_FACTOR: f64 = 1.15;
/// A further request at a target has to add at least this share of the work of one slot to what the
/// target completes.
const MIN_GAIN: f64 = 0.1;

/// Times that the calls of an entry took, by part.
type Times = [Median; PARTS + 1];

/// Speed of the targets of a service.
#[derive(Clone, Debug)]
pub(crate) struct Speed {
    entries: Map<u32, Times>,
    /// Seconds of work of a call of any entry.
    typical: Median,
    /// Answers since their numbers were halved.
    answers: f64,
    /// Answers by part.
    counts: [f64; PARTS + 1],
    /// Slowdown by part, which does not fall as the load grows.
    factors: [f64; PARTS + 1],
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            entries: Map::default(),
            typical: Median::default(),
            answers: 0.0,
            counts: [0.0; PARTS + 1],
            factors: [1.0; PARTS + 1],
        }
    }
}

/// Part of the slots that `load` requests use; the last one if they exceed them.
fn part(load: f64, slots: f64) -> usize {
    let load = load.round();
    if load < 1.5 || slots < 1.5 {
        return 0;
    }
    let eighths = (load / slots * 8.0 - 0.01).ceil();
    (1..PARTS)
        .find(|part| number(*part as u64) >= eighths)
        .unwrap_or(PARTS)
}

/// Parts with the same slowdown.
struct Level {
    sum: f64,
    weight: f64,
    parts: usize,
}

impl Level {
    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }

    /// Whether the next level is not above this one, or nothing tells.
    fn joins(&self, next: &Self) -> bool {
        next.weight <= 0.0 || self.weight <= 0.0 || next.mean() <= self.mean()
    }
}

/// Natural logarithm of the work of an entry whose calls took `times`, where `logs` are those of the slowdown
/// by part; none without answers.
fn work_log(times: &Times, logs: &[f64; PARTS + 1]) -> Option<f64> {
    let mut sum = 0.0;
    let mut weights = 0.0;
    for (time, log) in times.iter().zip(logs) {
        let weight = time.count().min(COUNTED_ANSWERS);
        sum += weight * (time.log() - log);
        weights += weight;
    }
    (weights > 0.0).then(|| sum / weights)
}

impl Speed {
    /// Records that a call of `entry`, sent when it made up `load` requests at a target with `slots`, took
    /// `seconds`, apart from the slowdown of the machine.
    pub(crate) fn record(&mut self, entry: u32, load: f64, slots: f64, seconds: f64) {
        let part = part(load, slots);
        self.entries.entry(entry).or_default()[part].add(seconds);
        self.counts[part] += 1.0;
        self.answers += 1.0;
        if self.answers >= HALF_AFTER {
            self.answers /= 2.0;
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            let times = self.entries.values_mut().flatten();
            times.for_each(Median::halve);
        }
        self.update_factors();
        self.typical.add(seconds / self.factors[part]);
    }

    /// Fits the slowdown by part to the times of all entries: the one that does not fall as the load grows
    /// and has the least squares.
    fn update_factors(&mut self) {
        let logs = self.factors.map(f64::ln);
        let mut sums = [0.0; PARTS + 1];
        let mut weights = [0.0; PARTS + 1];
        for times in self.entries.values() {
            let Some(work) = work_log(times, &logs) else {
                continue;
            };
            for (part, time) in times.iter().enumerate() {
                let weight = time.count().min(COUNTED_ANSWERS);
                sums[part] += weight * (time.log() - work);
                weights[part] += weight;
            }
        }
        let mut levels: Vec<Level> = Vec::with_capacity(PARTS + 1);
        for part in 0..=PARTS {
            let mut level = Level {
                sum: sums[part],
                weight: weights[part],
                parts: 1,
            };
            // A level below the one before it joins it.
            while let Some(before) = levels.pop_if(|before| before.joins(&level)) {
                level.sum += before.sum;
                level.weight += before.weight;
                level.parts += before.parts;
            }
            levels.push(level);
        }
        let base = levels.first().map_or(0.0, Level::mean);
        let fitted = levels.iter().flat_map(|level| {
            let trust = level.weight / (level.weight + ASSUMED_ANSWERS);
            let factor = ((level.mean() - base) * trust).exp().min(MAX_FACTOR);
            std::iter::repeat_n(factor, level.parts)
        });
        for (factor, fitted) in self.factors.iter_mut().zip(fitted) {
            *factor = fitted;
        }
    }

    /// Expected seconds of work of a call of `entry`; `objective` is the time in seconds within
    /// which its answer is of full use.
    pub(crate) fn work(&self, entry: u32, objective: f64) -> f64 {
        let logs = self.factors.map(f64::ln);
        let known = self.entries.get(&entry);
        let known = known.and_then(|times| work_log(times, &logs)).map(f64::exp);
        known.map_or(objective * ASSUMED_SHARE, |work| work.max(WORK_MIN_S))
    }

    /// Seconds of work of a call of any entry; none before any answer.
    pub(crate) fn typical(&self) -> Option<f64> {
        self.typical.value()
    }

    /// Slowdown of a single request, and by each further eighth of the slots.
    pub(crate) fn factors(&self) -> &[f64] {
        &self.factors
    }

    /// How many times longer a request takes that makes up `load` requests at a target with `slots`.
    pub(crate) fn factor(&self, load: f64, slots: f64) -> f64 {
        self.factors[part(load, slots)]
    }

    /// Largest load at which a target with `slots` works at full speed.
    pub(crate) fn easy_load(&self, slots: u64) -> u64 {
        let easy = |load: &u64| self.factor(number(*load), number(slots)) <= EASY_FACTOR;
        (1..=slots).rev().find(easy).unwrap_or(1)
    }

    /// Largest load that a target with `slots` gets: as long as each further request adds to what it
    /// completes.
    pub(crate) fn max_load(&self, slots: u64) -> u64 {
        let completes = |load: u64| number(load) / self.factor(number(load), number(slots));
        let mut best = 1;
        for load in 2..=slots {
            if completes(load) >= completes(best) + MIN_GAIN * number(load - best) {
                best = load;
            }
        }
        best
    }

    /// Whether too few answers tell how fast a target with `slots` is at `load`.
    pub(crate) fn wants_answers(&self, load: u64, slots: u64) -> bool {
        self.counts[part(number(load), number(slots))] < WANTED_ANSWERS
    }
}
