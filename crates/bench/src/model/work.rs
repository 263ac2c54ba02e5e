//! Generates the requests of a run, which are the same for all policies.

use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::scenario::Scenario;
use super::world::World;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Arrival at its VM in microseconds.
    pub arrived_at: u64,
    /// When its VM handles it, in microseconds; later than the arrival only if the VM was frozen.
    pub at: u64,
    /// VM that receives it.
    pub vm: usize,
    /// Microseconds that a healthy target works on it. The value is drawn once for each request,
    /// so a hedge of a long request is long, too.
    pub work: u64,
    /// Class of its entry.
    pub class: Class,
    /// Entry.
    pub entry: u32,
}

/// One entry's traffic.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Entry.
    pub entry: u32,
    /// Class.
    pub class: Class,
    /// Factor on the scenario's load.
    pub factor: f64,
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Scenario.
    pub scenario: Scenario,
    /// Virtual length in microseconds.
    pub end: u64,
    /// Mean work of a request in seconds.
    pub mean: f64,
    /// Seed of arrivals and work.
    pub seed: u64,
    /// Whether targets shed requests that reach their limit on the wait.
    pub targets_shed: bool,
    /// Time after which callers give up, in microseconds.
    pub deadline: u64,
    /// Bytes a second for measuring, over all VMs.
    pub measuring: u64,
    /// Bytes a second between regions, over all VMs.
    pub cross_region: u64,
    /// Hedges permitted, as a percentage of the calls.
    pub hedge_percent: u8,
    /// Entries of the service.
    pub streams: Vec<Stream>,
}

impl Plan {
    /// A plan with the defaults of the catalogue.
    #[must_use]
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            end: 65_000_000,
            mean: 0.040,
            seed,
            targets_shed: true,
            deadline: 2_000_000,
            measuring: 65_536,
            cross_region: 262_144,
            hedge_percent: 2,
            streams: vec![Stream {
                entry: 0,
                class: Class::Interactive,
                factor: 1.0,
            }],
        }
    }
}

/// Draws the requests of a run, ordered by arrival.
#[must_use]
pub fn draw(world: &World, plan: &Plan) -> Vec<Request> {
    let mut requests = Vec::new();
    for stream in &plan.streams {
        for vm in 0..world.vms.len() {
            let seed = plan.seed * 1_000_003 + u64::from(stream.entry) * 1_009;
            let seed = seed + u64::try_from(vm).unwrap_or(0);
            requests.append(&mut arrivals(world, plan, stream, vm, seed));
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Arrivals at one VM by thinning a Poisson process of twice the nominal rate.
fn arrivals(world: &World, plan: &Plan, stream: &Stream, vm: usize, seed: u64) -> Vec<Request> {
    const PEAK: f64 = 2.0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let slots = u32::try_from(world.capacity()).unwrap_or(u32::MAX);
    let full = f64::from(slots) * world.share(vm) / plan.mean;
    let rate = PEAK * full * stream.factor;
    let mut requests = Vec::new();
    let mut at = 0;
    loop {
        at += span(exponential(&mut rng) / rate).as_micros().max(1);
        if at >= plan.end {
            return requests;
        }
        let load = plan.scenario.load(at, world.vms[vm].region);
        let work = span(exponential(&mut rng) * plan.mean).as_micros().max(1);
        if rng.random::<f64>() * PEAK < load {
            requests.push(Request {
                arrived_at: at,
                at: plan.scenario.resume_time(at, vm).unwrap_or(at),
                vm,
                work,
                class: stream.class,
                entry: stream.entry,
            });
        }
    }
}
