//! Calls and faults that the model plays.

use oriolecleat_core::entry::Class;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::site::Site;

/// Calls of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Whether its calls may run twice.
    pub class: Class,
    /// Rank against other streams, 0 for the most urgent one.
    pub urgency: u8,
    /// Mean work in microseconds; it spreads by a third.
    pub work_us: f64,
    /// Time from the first try within which an answer has its full value, in microseconds.
    pub objective_us: u64,
    /// Time from the first try after which the caller leaves, in microseconds.
    pub patience_us: u64,
    /// Time after which the VM has to answer, in microseconds.
    pub timeout_us: u64,
    /// Value of an answer within the objective. A later one has a tenth of it.
    pub value: f64,
    /// Share of the work of all streams.
    pub share: f64,
    /// Further tries after a refusal, and after a failure if the calls may run twice.
    pub retries: u8,
    /// Bytes of a request and its answer.
    pub bytes: u64,
}

/// What goes wrong with a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    /// Work takes so many times as long.
    Slow(f64),
    /// It refuses this share of the requests, which do not run.
    Sheds(f64),
    /// It answers this share of the requests with an error at once.
    Fails(f64),
    /// It never answers this share of the requests.
    Hangs(f64),
    /// It refuses connections in every other period of so many microseconds; running requests break.
    Flaps(u64),
}

/// A defect of some targets for some time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Start in microseconds.
    pub from_us: u64,
    /// End in microseconds.
    pub to_us: u64,
    /// Of this many targets, one has the defect.
    pub every: usize,
    /// The defect.
    pub defect: Defect,
    /// Indices of the targets that have it; all if none.
    pub only: Option<(usize, usize)>,
}

/// Trouble on the way between data centres.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Share of the messages that are sent again after `resend_us`.
    pub loss: f64,
    /// Microseconds until a lost message is sent again.
    pub resend_us: u64,
    /// Reports from another data centre are this old at most, and not renewed before.
    pub stale_us: u64,
}

/// Calls above or below the usual rate for some time.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start in microseconds.
    pub from_us: u64,
    /// End in microseconds.
    pub to_us: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// What the model plays at a site.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name in the output.
    pub name: &'static str,
    /// Work that arrives, as a share of what all slots complete without noise and congestion.
    pub utilization: f64,
    /// Streams of calls.
    pub streams: Vec<Stream>,
    /// Times of other rates.
    pub bursts: Vec<Burst>,
    /// Faults of targets.
    pub faults: Vec<Fault>,
    /// Share of the calls from each region; equal ones if empty.
    pub weights: Vec<f64>,
    /// The way between data centres.
    pub link: Link,
    /// Calls that arrive earlier do not count, in microseconds.
    pub warm_up_us: u64,
    /// Length in microseconds.
    pub end_us: u64,
}

/// One call as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// First try in microseconds.
    pub at: u64,
    /// Index of its stream.
    pub stream: usize,
    /// Region of the caller.
    pub region: usize,
    /// Microseconds of work on a usual target.
    pub work_us: f64,
}

impl Fault {
    /// Whether `target` has the defect.
    pub(super) fn hits(&self, target: usize) -> bool {
        let within = |(first, end): (usize, usize)| (first..end).contains(&target);
        target.is_multiple_of(self.every) && self.only.is_none_or(within)
    }
}

impl Stream {
    /// Calls that must not run twice, with `work_ms` of work, an objective of two and a half times
    /// and a patience of twenty-five times the work.
    #[must_use]
    pub fn new(work_ms: u32) -> Self {
        let micros = u64::from(work_ms) * 1_000;
        Self {
            class: Class::Once,
            urgency: 1,
            work_us: f64::from(work_ms) * 1_000.0,
            objective_us: micros * 5 / 2,
            patience_us: micros * 25,
            timeout_us: micros * 12,
            value: 1.0,
            share: 1.0,
            retries: 0,
            bytes: 5_000,
        }
    }
}

impl Load {
    /// Twenty seconds of one stream at a steady rate after two that do not count.
    #[must_use]
    pub fn new(name: &'static str, utilization: f64) -> Self {
        Self {
            name,
            utilization,
            streams: vec![Stream::new(60)],
            bursts: Vec::new(),
            faults: Vec::new(),
            weights: Vec::new(),
            link: Link::default(),
            warm_up_us: 2_000_000,
            end_us: 22_000_000,
        }
    }

    /// The same load with a burst.
    #[must_use]
    pub fn with_burst(mut self, from_us: u64, to_us: u64, factor: f64) -> Self {
        self.bursts.push(Burst {
            from_us,
            to_us,
            factor,
        });
        self
    }

    /// The same load while every `every`th target has a defect.
    #[must_use]
    pub fn with_fault(mut self, from_us: u64, to_us: u64, every: usize, defect: Defect) -> Self {
        self.faults.push(Fault {
            from_us,
            to_us,
            every,
            defect,
            only: None,
        });
        self
    }

    /// The same load while the targets with an index from `only.0` to below `only.1` have a defect.
    #[must_use]
    pub fn with_center_fault(
        mut self,
        from_us: u64,
        to_us: u64,
        only: (usize, usize),
        defect: Defect,
    ) -> Self {
        self.faults.push(Fault {
            from_us,
            to_us,
            every: 1,
            defect,
            only: Some(only),
        });
        self
    }

    /// The same load with shares of the calls from each region.
    #[must_use]
    pub fn with_weights(mut self, weights: &[f64]) -> Self {
        self.weights = weights.to_vec();
        self
    }

    /// Draws the region of a caller.
    fn region(&self, site: &Site, rng: &mut SmallRng) -> usize {
        if self.weights.is_empty() {
            return rng.random_range(0..site.regions());
        }
        let mut draw = rng.random::<f64>() * self.weights.iter().sum::<f64>();
        let below = |weight: &f64| {
            draw -= weight;
            draw < 0.0
        };
        let found = self.weights.iter().position(below);
        found.unwrap_or(self.weights.len() - 1)
    }

    /// The same load with other streams.
    #[must_use]
    pub fn with_streams(mut self, streams: Vec<Stream>) -> Self {
        self.streams = streams;
        self
    }

    fn factor(&self, at: f64) -> f64 {
        let now = microseconds(at);
        let active = |burst: &&Burst| (burst.from_us..burst.to_us).contains(&now);
        let bursts = self.bursts.iter().filter(active);
        bursts.map(|burst| burst.factor).product()
    }

    /// Defects of `target` at `now`.
    pub(super) fn defects(&self, now: u64, target: usize) -> impl Iterator<Item = Defect> {
        let active =
            move |fault: &&Fault| (fault.from_us..fault.to_us).contains(&now) && fault.hits(target);
        self.faults.iter().filter(active).map(|fault| fault.defect)
    }

    /// Draws the calls of a run, ordered by their first try. The same seed gives the same calls
    /// whatever the policy.
    #[must_use]
    pub fn draw(&self, site: &Site, seed: u64) -> Vec<Call> {
        let mut calls = Vec::new();
        let slots = float(site.slots());
        for (stream, properties) in self.streams.iter().enumerate() {
            let index = u64::try_from(stream).unwrap_or(0);
            let mut rng = SmallRng::seed_from_u64(seed * 1_009 + index);
            let rate = self.utilization * properties.share * slots / properties.work_us;
            let mut at = 0.0;
            loop {
                at -= (1.0 - rng.random::<f64>()).ln() / (rate * self.factor(at));
                if microseconds(at) >= self.end_us {
                    break;
                }
                calls.push(Call {
                    at: microseconds(at),
                    stream,
                    region: self.region(site, &mut rng),
                    work_us: properties.work_us * spread(&mut rng),
                });
            }
        }
        calls.sort_by_key(|call| call.at);
        calls
    }
}

/// A factor with mean 1 and a standard deviation of about a third.
fn spread(rng: &mut SmallRng) -> f64 {
    // The sum of three uniform draws is close to normal.
    let sum: f64 = (0..3).map(|_| rng.random_range(0.0..1.0)).sum();
    (1.0 + (sum - 1.5) * 0.6).max(0.1)
}

pub(super) fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

pub(super) fn microseconds(time: f64) -> u64 {
    let time = std::time::Duration::from_secs_f64((time / 1e6).max(0.0));
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
