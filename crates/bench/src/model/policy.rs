//! Ways to choose a target that the load table compares.

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

/// A policy of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any target of the own region.
    Random,
    /// The one with fewer own requests in flight of two.
    TwoChoices,
    /// The one with the fewest own requests in flight.
    LeastOwn,
    /// The one with the least load in reports that all VMs share.
    Stale,
    /// The one with the least load at this moment, which no VM can know.
    Fresh,
    /// The product's balancer.
    Ours,
}

/// Age of the shared reports of [`Policy::Stale`] in microseconds, from none to this.
pub const STALE_REFRESH: u64 = 250_000;
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

    /// The target of a request at `vm` among those of its region.
    pub fn pick(
        self,
        world: &World,
        vm: usize,
        own: &[u32],
        shared: &[Report],
        rng: &mut SmallRng,
    ) -> usize {
        let region = world.vms[vm].region;
        let near = |target: &usize| world.targets[*target].region == region;
        let near: VecDeque<usize> = (0..world.targets.len()).filter(near).collect();
        let any = |rng: &mut SmallRng| near[rng.random_range(0..near.len())];
        match self {
            Self::TwoChoices => {
                let (first, second) = (any(rng), any(rng));
                if own[second] < own[first] {
                    second
                } else {
                    first
                }
            }
            Self::LeastOwn => least(&near, |target| u64::from(own[target]), rng),
            Self::Stale | Self::Fresh => {
                let load = |target: usize| shared[target].running + shared[target].queued;
                least(&near, load, rng)
            }
            Self::Random | Self::Ours => any(rng),
        }
    }
}

fn least(near: &VecDeque<usize>, load: impl Fn(usize) -> u64, rng: &mut SmallRng) -> usize {
    let key = |target: &&usize| (load(**target), rng.random::<u32>());
    near.iter().min_by_key(key).copied().unwrap_or(0)
}

/// The product's balancer of one VM under the plan's budgets.
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

/// Tells the balancer the round trips, as a daemon measures them when it opens connections.
pub fn measure(world: &World, vm: usize, balancer: &mut Balancer) {
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
