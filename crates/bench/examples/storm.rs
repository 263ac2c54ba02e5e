//! Measures how a load spike on one entry affects another entry, and how an overload affects the
//! entries of each class.
//!
//! Prints one JSON object a line.

use bpaf::Bpaf;
use oriolecleat_bench::model::policy::Policy;
use oriolecleat_bench::model::run;
use oriolecleat_bench::model::scenario::Scenario;
use oriolecleat_bench::model::scenario::WARM_UP_US;
use oriolecleat_bench::model::summary::Summary;
use oriolecleat_bench::model::work;
use oriolecleat_bench::model::work::Plan;
use oriolecleat_bench::model::work::Stream;
use oriolecleat_bench::model::world::World;
use oriolecleat_core::entry::Class;

/// Options of the run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// First seed
    #[bpaf(fallback(1))]
    seed: u64,
    /// Seeds for each case, whose results are added up
    #[bpaf(fallback(3))]
    repeats: u64,
}

const fn stream(entry: u32, class: Class, factor: f64) -> Stream {
    Stream {
        entry,
        class,
        factor,
    }
}

fn main() {
    let options = options().run();
    let calm = Class::Interactive;
    // The scenario's load is 0.7, so a factor of 0.5 is 35 % of the slots and 2.5 is 175 %.
    let before = [stream(0, calm, 0.5), stream(1, calm, 0.5)];
    let storm = [stream(0, calm, 0.5), stream(1, calm, 2.5)];
    let classes = [
        stream(0, Class::Once, 0.3),
        stream(1, Class::Interactive, 0.6),
        stream(2, Class::Batch, 0.96),
    ];
    for world in [World::nilewing(), World::ninera()] {
        for targets_shed in [true, false] {
            let quiet = measure(&options, &world, &before, targets_shed);
            let stormy = measure(&options, &world, &storm, targets_shed);
            let ratio = stormy[0].quantile(0.99) / quiet[0].quantile(0.99);
            print(&world, "before_storm", targets_shed, &quiet, 1.0);
            print(&world, "storm", targets_shed, &stormy, ratio);
            let mixed = measure(&options, &world, &classes, targets_shed);
            print(&world, "classes_130", targets_shed, &mixed, 1.0);
        }
    }
}

fn measure(
    options: &Options,
    world: &World,
    streams: &[Stream],
    targets_shed: bool,
) -> Vec<Summary> {
    let mut sums = vec![Summary::default(); streams.len()];
    for repeat in 0..options.repeats {
        let mut plan = Plan::new(Scenario::Calm, options.seed + repeat);
        plan.streams = streams.to_vec();
        plan.targets_shed = targets_shed;
        let requests = work::draw(world, &plan);
        let (_, entries) = run::run(world, &plan, Policy::Ours, &requests);
        for (sum, entry) in sums.iter_mut().zip(&entries) {
            sum.merge(entry);
        }
    }
    sums
}

fn print(world: &World, case: &str, targets_shed: bool, entries: &[Summary], ratio: f64) {
    for (entry, summary) in entries.iter().enumerate() {
        let row = serde_json::json!({
            "user": world.name,
            "scenario": case,
            "targets_honour_queue_ms": targets_shed,
            "entry": entry,
            "p50": summary.quantile(0.5),
            "p99": summary.quantile(0.99),
            "good": summary.good,
            "shed": summary.shed,
            "failed": summary.failed,
            "latest_refusal_ms": summary.latest_refusal / 1_000,
            "p99_of_entry_0_over_quiet": ratio,
            "warm_up_s": WARM_UP_US / 1_000_000,
        });
        println!("{row}");
    }
}
