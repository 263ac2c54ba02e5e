//! Plays the loads that placement answers, under the product's placer and for comparison.

use bpaf::Bpaf;
use oriolecleat_bench::model::hosted::fleet;
use oriolecleat_bench::model::hosted::policy::Policy;
use oriolecleat_bench::model::hosted::run::run;
use oriolecleat_bench::model::hosted::scenario;

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
    /// Reports on answers count the request that they answer
    counting: bool,
    /// Only the product
    product: bool,
}

fn main() {
    let options = options().run();
    let all = scenario::all().into_iter().chain(fleet::scenarios());
    for mut scenario in all {
        for (_, kind) in &mut scenario.site.targets {
            kind.counts_answered = options.counting;
        }
        let name = scenario.load.name;
        if options
            .only
            .as_deref()
            .is_some_and(|only| !name.contains(only))
        {
            continue;
        }
        for policy in [Policy::Product, Policy::Fewest, Policy::Perfect] {
            if options.product && policy != Policy::Product {
                continue;
            }
            let mut value = 0.0;
            let mut worst = 0.0;
            let mut last = String::new();
            for seed in options.seed..options.seed + options.repeats {
                let summary = run(&scenario.site, &scenario.load, policy, seed);
                value += summary.all.share();
                worst += summary.worst_windows();
                last = summary.line();
            }
            let count = f64::from(u32::try_from(options.repeats).unwrap_or(1));
            println!(
                "{name:28} {:8} {:.3} {:.3} | {last}",
                policy.name(),
                value / count,
                worst / count
            );
        }
    }
}
