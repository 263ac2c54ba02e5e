//! Compares the policies for choosing a target in virtual time; prints one JSON object a line, then
//! a table.

use bpaf::Bpaf;
use oriolecleat_bench::model::ideal;
use oriolecleat_bench::model::policy;
use oriolecleat_bench::model::policy::Policy;
use oriolecleat_bench::model::run;
use oriolecleat_bench::model::scenario;
use oriolecleat_bench::model::scenario::Scenario;
use oriolecleat_bench::model::scenario::WARM_UP_US;
use oriolecleat_bench::model::summary::Summary;
use oriolecleat_bench::model::work;
use oriolecleat_bench::model::work::Plan;
use oriolecleat_bench::model::world::World;

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
    /// A fifth of the virtual time and one seed
    quick: bool,
    /// Mean work of a request in ms
    #[bpaf(fallback(40))]
    mean_ms: u32,
    /// Bytes a second for measuring, over all VMs
    #[bpaf(fallback(65_536))]
    measuring: u64,
    /// Bytes a second between regions, over all VMs
    #[bpaf(fallback(262_144))]
    cross_region: u64,
    /// Hedges permitted, as a percentage of the calls
    #[bpaf(fallback(2))]
    hedge_percent: u8,
    /// Only the scenario of this name
    scenario: Option<String>,
    /// Only this deployment: nilewing, ninera or theory
    user: Option<String>,
    /// Only this policy
    policy: Option<String>,
}

struct Row {
    user: &'static str,
    scenario: &'static str,
    policy: &'static str,
    summary: Summary,
    ratio: f64,
    seconds: f64,
}

fn main() {
    let options = options().run();
    let mut rows = Vec::new();
    for world in [World::nilewing(), World::ninera(), World::theory()] {
        if options
            .user
            .as_deref()
            .is_some_and(|user| user != world.name)
        {
            continue;
        }
        for scenario in scenario::ALL {
            let only = options.scenario.as_deref();
            if only.is_none_or(|only| only == scenario.name()) {
                run_scenario(&options, &world, scenario, &mut rows);
            }
        }
    }
    print_table(&rows);
}

fn plan(options: &Options, scenario: Scenario, repeat: u64) -> Plan {
    let mut plan = Plan::new(scenario, options.seed + repeat);
    plan.mean = f64::from(options.mean_ms) / 1_000.0;
    plan.deadline = u64::from(options.mean_ms) * 50_000;
    plan.measuring = options.measuring;
    plan.cross_region = options.cross_region;
    plan.hedge_percent = options.hedge_percent;
    if options.quick {
        plan.end = WARM_UP_US + (plan.end - WARM_UP_US) / 5;
    }
    plan
}

fn run_scenario(options: &Options, world: &World, scenario: Scenario, rows: &mut Vec<Row>) {
    let repeats = if options.quick { 1 } else { options.repeats };
    let mut ideal_summary = Summary::default();
    let mut policies: Vec<(&'static str, Summary)> = Vec::new();
    let mut seconds = 0.0;
    for repeat in 0..repeats {
        let mut plan = plan(options, scenario, repeat);
        seconds += std::time::Duration::from_micros(plan.end - WARM_UP_US).as_secs_f64();
        let requests = work::draw(world, &plan);
        ideal_summary.merge(&ideal::run(world, &plan, &requests));
        for policy in policy::ALL {
            for targets_shed in [true, false] {
                if !targets_shed && policy != Policy::Ours {
                    continue;
                }
                let name = if targets_shed {
                    policy.name()
                } else {
                    "ours_queueing"
                };
                if options.policy.as_deref().is_some_and(|only| only != name) {
                    continue;
                }
                plan.targets_shed = targets_shed;
                let (summary, _) = run::run(world, &plan, policy, &requests);
                match policies.iter_mut().find(|(other, _)| *other == name) {
                    Some((_, sum)) => sum.merge(&summary),
                    None => policies.push((name, summary)),
                }
            }
        }
    }
    policies.insert(0, ("ideal", ideal_summary.clone()));
    for (policy, summary) in policies {
        let row = Row {
            user: world.name,
            scenario: scenario.name(),
            policy,
            ratio: summary.quantile(0.99) / ideal_summary.quantile(0.99),
            summary,
            seconds,
        };
        println!("{}", json(&row));
        rows.push(row);
    }
}

fn json(row: &Row) -> serde_json::Value {
    serde_json::json!({
        "user": row.user,
        "scenario": row.scenario,
        "policy": row.policy,
        "p50": row.summary.quantile(0.5),
        "p99": row.summary.quantile(0.99),
        "p999": row.summary.quantile(0.999),
        "p99_over_ideal": row.ratio,
        "measuring_bytes": row.summary.measuring,
        "cross_region_bytes": row.summary.cross_region,
        "shed": row.summary.shed,
        "good": row.summary.good,
        "failed": row.summary.failed,
        "refused_by_targets": row.summary.shed_attempts,
        "hedges": row.summary.hedges,
        "latest_refusal_ms": row.summary.latest_refusal / 1_000,
        "seconds": row.seconds,
    })
}

fn per_second(count: u64, seconds: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds
}

fn print_table(rows: &[Row]) {
    println!();
    println!(
        "{:9} {:15} {:14} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9} {:>7} {:>7} {:>7}",
        "user",
        "scenario",
        "policy",
        "p50 ms",
        "p99 ms",
        "p999 ms",
        "ratio",
        "meas B/s",
        "xreg B/s",
        "good/s",
        "shed/s",
        "fail/s"
    );
    for row in rows {
        let summary = &row.summary;
        println!(
            "{:9} {:15} {:14} {:8.1} {:8.1} {:8.1} {:7.3} {:9.0} {:9.0} {:7.1} {:7.1} {:7.2}",
            row.user,
            row.scenario,
            row.policy,
            summary.quantile(0.5),
            summary.quantile(0.99),
            summary.quantile(0.999),
            row.ratio,
            per_second(summary.measuring, row.seconds),
            per_second(summary.cross_region, row.seconds),
            per_second(summary.good, row.seconds),
            per_second(summary.shed, row.seconds),
            per_second(summary.failed, row.seconds),
        );
    }
}
