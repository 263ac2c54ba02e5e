//! Checks the bounds of the load table (docs/load-table.md) in virtual time, with a fixed seed.

use oriolecleat_bench::model::ideal;
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

const SEED: u64 = 1;
const SECONDS: u64 = 40;

fn plan(scenario: Scenario) -> Plan {
    let mut plan = Plan::new(scenario, SEED);
    plan.end = WARM_UP_US + SECONDS * 1_000_000;
    plan
}

fn ratio(world: &World, plan: &Plan, policy: Policy) -> (f64, Summary) {
    let requests = work::draw(world, plan);
    let limit = ideal::run(world, plan, &requests);
    let (summary, _) = run::run(world, plan, policy, &requests);
    (summary.quantile(0.99) / limit.quantile(0.99), summary)
}

/// Guards against a model whose p99 differs from queueing theory at the same sizes.
#[test]
fn model_reproduces_the_bounds_of_theory() {
    struct Case {
        scenario: Scenario,
        policy: Policy,
        bounds: (f64, f64),
    }
    let case = |scenario, policy, bounds| Case {
        scenario,
        policy,
        bounds,
    };
    let cases = [
        case(Scenario::Calm, Policy::Random, (1.15, 1.25)),
        case(Scenario::Peak, Policy::Random, (2.6, 3.2)),
        case(Scenario::Calm, Policy::TwoChoices, (1.05, 1.12)),
        case(Scenario::Peak, Policy::TwoChoices, (1.2, 1.36)),
        case(Scenario::Calm, Policy::Stale, (8.0, f64::INFINITY)),
        case(
            Scenario::Straggler,
            Policy::TwoChoices,
            (7.0, f64::INFINITY),
        ),
    ];
    for Case {
        scenario,
        policy,
        bounds,
    } in cases
    {
        let (ratio, _) = ratio(&World::theory(), &plan(scenario), policy);
        let name = (scenario.name(), policy.name());
        assert!(bounds.0 <= ratio && ratio <= bounds.1, "{name:?}: {ratio}");
    }
}

/// Guards against a p99 too far above that of the ideal queue, and against measuring beyond the
/// budget, with targets that shed at their limit on the wait and with targets that queue.
#[test]
fn tail_stays_near_the_ideal_within_the_measuring_budget() {
    let cases = [
        (Scenario::Calm, 1.05),
        (Scenario::Peak, 1.10),
        (Scenario::Bursts, 1.10),
        (Scenario::Straggler, 1.10),
    ];
    for world in [World::nilewing(), World::ninera()] {
        for targets_shed in [true, false] {
            for (scenario, max_ratio) in cases {
                let mut plan = plan(scenario);
                plan.targets_shed = targets_shed;
                let (ratio, summary) = ratio(&world, &plan, Policy::Ours);
                let name = (world.name, scenario.name(), targets_shed);
                assert!(ratio <= max_ratio, "{name:?}: {ratio}");
                let budget = plan.measuring * SECONDS + plan.measuring;
                assert!(summary.measuring <= budget, "{name:?}: {summary:?}");
            }
        }
    }
}

/// Guards against goodput that breaks down under overload, against late refusals, and against
/// measuring beyond the budget when calls wait.
#[test]
fn overload_keeps_goodput_and_refuses_early() {
    for world in [World::nilewing(), World::ninera()] {
        let plan = plan(Scenario::Overload);
        let (_, summary) = ratio(&world, &plan, Policy::Ours);
        let slots = u64::try_from(world.capacity()).expect("capacity is small");
        let capacity = slots * SECONDS * 1_000 / 40;
        assert!(summary.good * 100 >= capacity * 95, "{}", summary.good);
        assert_eq!(summary.failed, 0);
        let budget = plan.measuring * SECONDS + plan.measuring;
        assert!(summary.measuring <= budget, "{}", summary.measuring);
        assert!(
            summary.latest_refusal <= plan.deadline / 2,
            "{}: {}",
            world.name,
            summary.latest_refusal
        );
    }
}

fn run_streams(world: &World, streams: &[(u32, Class, f64)]) -> Vec<Summary> {
    let mut plan = plan(Scenario::Calm);
    let stream = |(entry, class, factor): &(u32, Class, f64)| Stream {
        entry: *entry,
        class: *class,
        factor: *factor,
    };
    plan.streams = streams.iter().map(stream).collect();
    let requests = work::draw(world, &plan);
    run::run(world, &plan, Policy::Ours, &requests).1
}

/// Guards against batch calls that displace calls of the other classes under overload.
#[test]
fn overload_sheds_batch_calls_only() {
    let streams = [
        (0, Class::Once, 0.3),
        (1, Class::Interactive, 0.6),
        (2, Class::Batch, 0.96),
    ];
    for world in [World::nilewing(), World::ninera()] {
        let entries = run_streams(&world, &streams);
        assert_eq!((entries[0].shed, entries[1].shed), (0, 0));
        assert!(entries[2].shed > 0);
    }
}

/// Guards against a load spike on one entry that slows down another entry of the service.
#[test]
fn storm_moves_the_tail_of_another_entry_by_at_most_a_tenth() {
    let calm = Class::Interactive;
    for world in [World::nilewing(), World::ninera()] {
        let before = run_streams(&world, &[(0, calm, 0.5), (1, calm, 0.5)]);
        let during = run_streams(&world, &[(0, calm, 0.5), (1, calm, 2.5)]);
        let ratio = during[0].quantile(0.99) / before[0].quantile(0.99);
        assert_eq!(during[0].shed, 0);
        assert!(ratio <= 1.10, "{}: {ratio}", world.name);
    }
}

/// Guards against measuring beyond a budget that is far smaller than what the policy would spend.
#[test]
fn small_measuring_budget_is_kept_under_overload() {
    let mut plan = plan(Scenario::Overload);
    plan.measuring = 8_192;
    let world = World::nilewing();
    let requests = work::draw(&world, &plan);
    let (summary, _) = run::run(&world, &plan, Policy::Ours, &requests);
    let budget = plan.measuring * (SECONDS + 1);
    assert!(summary.measuring <= budget, "{}", summary.measuring);
}
