//! Plays the loads of spillover under each way to leave a data centre, and prints the worth of the
//! answers, the worst windows, and what left.

use bpaf::Bpaf;
use oriolecleat_bench::model::hosted::policy::Policy;
use oriolecleat_bench::model::hosted::run::run;
use oriolecleat_bench::model::hosted::spillover;
use oriolecleat_core::place::spill::Way;

/// Options of the run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// First seed
    #[bpaf(fallback(1))]
    seed: u64,
    /// Seeds for each load
    #[bpaf(fallback(3))]
    repeats: u64,
    /// Only loads whose name contains this
    only: Option<String>,
    /// Only the ways whose name contains this
    way: Option<String>,
}

fn main() {
    let options = options().run();
    let only = options.only.as_deref();
    let ways = [
        (Policy::Product, Way::LocalFirst),
        (Policy::Product, Way::Fixed),
        (Policy::Product, Way::Threshold),
        (Policy::Product, Way::Unbounded),
        (Policy::Product, Way::Congestion),
        (Policy::Product, Way::Shares),
        (Policy::Global, Way::Shares),
    ];
    let scenarios = spillover::all();
    let wanted = scenarios
        .iter()
        .filter(|scenario| only.is_none_or(|only| scenario.load.name.contains(only)));
    for scenario in wanted {
        for (policy, way) in ways {
            let name = match policy {
                Policy::Product => format!("{way:?}"),
                _ => policy.name().to_owned(),
            };
            if options
                .way
                .as_deref()
                .is_some_and(|way| !name.contains(way))
            {
                continue;
            }
            let site = scenario.site.clone().with_way(way);
            let mut sums = [0.0; 6];
            for seed in options.seed..options.seed + options.repeats {
                let found = run(&site, &scenario.load, policy, seed);
                let number = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
                let calls = number(found.all.calls.max(1));
                let figures = [
                    found.net(&site.terms.prices),
                    found.worst_windows(),
                    number(found.all.refused) * 1e3 / calls,
                    number(found.overfilled) * 1e3 / calls,
                    number(found.to_center.0) * 1e3 / calls,
                    number(found.to_region.0) * 1e3 / calls,
                ];
                for (sum, figure) in sums.iter_mut().zip(figures) {
                    *sum += figure / number(options.repeats.max(1));
                }
            }
            let [net, worst, refused, overfilled, center, region] = sums;
            println!(
                "{:28} {name:11} net {net:.3} worst {worst:.3}; per mill: refused {refused:.0} \
                 overfilled {overfilled:.0} to another data centre {center:.0} region {region:.0}",
                scenario.load.name
            );
        }
    }
}
