//! How the speed of the machines of a service varies, learned from the reports of its targets: how slow
//! they are on average and at their worst, and for how long a reported speed holds. For noisy
//! neighbours, whose strength and rhythm differ between deployments.

use crate::estimate::seconds;
use crate::time::Span;

/// Weight of a new report in the means.
const WEIGHT: f64 = 1.0 / 64.0;
/// Share of the peak that is left after a report that is below it.
const PEAK_KEEP: f64 = 0.997;
/// Upper ends of the ages between two reports of a target for which their likeness is learned apart, in
/// seconds.
const AGES_S: [f64; 7] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];
/// Time after which a report is assumed to count for 1/e until reports tell.
const ASSUMED_MEMORY_S: f64 = 0.25;
/// Pairs of reports that the assumed likeness counts for.
const ASSUMED_PAIRS: f64 = 16.0;
/// Weight that each further pair of reports leaves to those before it, so that the likeness follows
/// changes.
const KEEP: f64 = 0.998;
/// Square of the distance from the mean speed that is assumed for a report until reports tell.
const ASSUMED_SQUARE: f64 = 0.05;
/// Slowdown that no machine exceeds; a larger report is taken for it.
pub(crate) const SLOWDOWN_MAX: f64 = 20.0;

/// Likeness of two reports of a target that are apart by an age: 1 if the later one repeats the earlier
/// one, 0 if it does not depend on it.
#[derive(Clone, Copy, Debug, Default)]
struct Likeness {
    /// Sum of the products of the distances of both reports from the mean speed.
    products: f64,
    /// Sum of the squares of the distance of the earlier report.
    squares: f64,
}

/// Speed of the machines of a service.
#[derive(Clone, Debug)]
pub(crate) struct Noise {
    reports: f64,
    mean: f64,
    mean_speed: f64,
    peak: f64,
    likeness: [Likeness; AGES_S.len()],
    /// Weight of a report by age, and the seconds for which one holds, from `likeness`.
    weights: [f64; AGES_S.len()],
    memory_s: f64,
}

impl Default for Noise {
    fn default() -> Self {
        let mut noise = Self {
            reports: 0.0,
            mean: 1.0,
            mean_speed: 1.0,
            peak: 1.0,
            likeness: [Likeness::default(); AGES_S.len()],
            weights: [0.0; AGES_S.len()],
            memory_s: 0.0,
        };
        noise.update_weights();
        noise
    }
}

impl Noise {
    /// Records a reported slowdown, 1 for as usual, with that of the report before by the same target
    /// and the time between them.
    pub(crate) fn record(&mut self, slowdown: f64, before: Option<(f64, Span)>) {
        let slowdown = slowdown.clamp(1.0 / SLOWDOWN_MAX, SLOWDOWN_MAX);
        self.reports += 1.0;
        let weight = WEIGHT.max(1.0 / self.reports);
        self.mean += (slowdown - self.mean) * weight;
        self.mean_speed += (1.0 / slowdown - self.mean_speed) * weight;
        self.peak = (self.peak * PEAK_KEEP).max(slowdown);
        if let Some((before, age)) = before
            && let Some(index) = bucket(seconds(age))
        {
            let distance = 1.0 / slowdown - self.mean_speed;
            let distance_before = 1.0 / before - self.mean_speed;
            let likeness = &mut self.likeness[index];
            likeness.products = likeness.products * KEEP + distance * distance_before;
            likeness.squares = likeness.squares * KEEP + distance_before * distance_before;
            self.update_weights();
        }
    }

    fn update_weights(&mut self) {
        let mut last = 1.0;
        let mut start = 0.0;
        let mut memory = 0.0;
        for (index, end) in AGES_S.into_iter().enumerate() {
            let assumed = (-f64::midpoint(start, end) / ASSUMED_MEMORY_S).exp();
            let Likeness { products, squares } = self.likeness[index];
            let prior = ASSUMED_PAIRS * ASSUMED_SQUARE;
            let weight = (assumed * prior + products) / (prior + squares);
            // An older report never counts for more.
            last = weight.clamp(0.0, last);
            self.weights[index] = last;
            memory += last * (end - start);
            start = end;
        }
        self.memory_s = memory;
    }

    /// Mean slowdown over the reports.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// How many times longer work takes that lasts for many changes of the speed.
    pub(crate) fn usual(&self) -> f64 {
        1.0 / self.mean_speed.max(1.0 / SLOWDOWN_MAX)
    }

    /// Slowdown that one report in twenty exceeds.
    pub(crate) fn peak(&self) -> f64 {
        self.peak
    }

    /// Seconds for which a reported speed holds on average.
    pub(crate) fn memory_s(&self) -> f64 {
        self.memory_s
    }

    /// Weight of a report of `age` against the mean, from 0 to 1.
    pub(crate) fn weight(&self, age: Span) -> f64 {
        bucket(seconds(age)).map_or(0.0, |index| self.weights[index])
    }

    /// Seconds of `work` on a machine that is `slowdown` times slower now and like the others later.
    pub(crate) fn time(&self, work: f64, slowdown: f64) -> f64 {
        let now = self.memory_s / slowdown;
        if work <= now {
            work * slowdown
        } else {
            self.memory_s + (work - now) * self.usual()
        }
    }
}

fn bucket(age_s: f64) -> Option<usize> {
    AGES_S.iter().position(|end| age_s < *end)
}
