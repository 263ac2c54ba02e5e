//! Policies for the choice of a target that the load table compares.

use std::collections::VecDeque;

use oriolecleat_core::balance::Balancer;
use oriolecleat_core::balance::Limits;
use oriolecleat_core::budget::Total;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::work::Plan;
use super::world::World;

/// A policy for the choice of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random target in the region of the VM.
    Random,
    /// The one of two random targets with fewer requests in flight from this VM.
    TwoChoices,
    /// The target with the fewest requests in flight from this VM.
    LeastOwn,
    /// The target with the least load by reports that all VMs share, up to 250 ms old.
    Stale,
    /// The target with the least load at this moment, which no VM can know.
    Fresh,
    /// The product's balancer.
    Ours,
}

/// Interval at which the reports of [`Policy::Stale`] are refreshed, in microseconds.
pub const STALE_REFRESH_US: u64 = 250_000;
/// Bytes of a request and its answer.
pub const EXCHANGE_BYTES: u64 = 2_000;

/// All policies in the order of the table.
pub const ALL: [Policy; 6] = [
    Policy::Random,
    Policy::TwoChoices,
    Policy::LeastOwn,
    Policy::Stale,
    Policy::Fresh,
    Policy::Ours,
];

impl Policy {
    /// Name in the output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::TwoChoices => "two_choices",
            Self::LeastOwn => "least_own",
            Self::Stale => "stale_reports",
            Self::Fresh => "fresh_reports",
            Self::Ours => "ours",
        }
    }

    /// Chooses a target for a request at `vm` among those of its region.
    pub fn pick(
        self,
        world: &World,
        vm: usize,
        in_flight: &[u32],
        shared_reports: &[Report],
        rng: &mut SmallRng,
    ) -> usize {
        let region = world.vms[vm].region;
        let candidates = |target: &usize| world.targets[*target].region == region;
        let candidates: VecDeque<usize> = (0..world.targets.len()).filter(candidates).collect();
        let random = |rng: &mut SmallRng| candidates[rng.random_range(0..candidates.len())];
        match self {
            Self::TwoChoices => {
                let (first, second) = (random(rng), random(rng));
                if in_flight[second] < in_flight[first] {
                    second
                } else {
                    first
                }
            }
            Self::LeastOwn => least_loaded(&candidates, |target| u64::from(in_flight[target]), rng),
            Self::Stale | Self::Fresh => {
                let load =
                    |target: usize| shared_reports[target].running + shared_reports[target].queued;
                least_loaded(&candidates, load, rng)
            }
            Self::Random | Self::Ours => random(rng),
        }
    }
}

fn least_loaded(
    candidates: &VecDeque<usize>,
    load: impl Fn(usize) -> u64,
    rng: &mut SmallRng,
) -> usize {
    let key = |target: &&usize| (load(**target), rng.random::<u32>());
    candidates.iter().min_by_key(key).copied().unwrap_or(0)
}

/// Creates the product's balancer for one VM, with the budgets of the plan.
#[must_use]
pub fn balancer(world: &World, plan: &Plan, vm: usize) -> Balancer {
    let vms = u64::try_from(world.vms.len()).unwrap_or(1);
    let whole = |bytes| Total {
        bytes_per_s: bytes,
        burst_bytes: bytes,
        vm_ceiling: vms,
    };
    let limits = Limits {
        queue: 1_000,
        measuring: whole(plan.measuring),
        remote: whole(plan.cross_region),
        exchange_bytes: EXCHANGE_BYTES,
    };
    Balancer::new(Instant::default(), world.place(vm), limits)
}

/// Records the round trip to each target, which a daemon measures when it opens connections.
pub fn record_round_trips(world: &World, vm: usize, balancer: &mut Balancer) {
    let keys: Vec<_> = balancer.targets().iter().map(|(key, _)| key).collect();
    for key in keys {
        let name = balancer.targets().get(key).map(|target| &target.spec.name);
        let site = world.targets[name.map_or(0, |name| index(name))];
        let delay = world.delay(world.vms[vm], site);
        balancer.record_round_trip(key, Span::from_micros(2 * delay));
    }
}

/// Index of the target whose name in the catalogue is `name`.
#[must_use]
pub fn index(name: &str) -> usize {
    let number = name.trim_start_matches('t').split('-').next();
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
