//! Spillover in virtual time: the decision that the daemon takes against always local first, the former fixed losses and
//! the ideal with full knowledge, in the same run of each load.

use oriolecleat_bench::model::hosted::policy::Policy;
use oriolecleat_bench::model::hosted::run::run;
use oriolecleat_bench::model::hosted::spillover;
use oriolecleat_core::place::spill::Terms;
use oriolecleat_core::place::spill::Way;

const SEEDS: [u64; 2] = [1, 2];

/// What the decision has to reach on a load.
struct Case {
    load: &'static str,
    /// Share of the worth, bytes paid.
    min: f64,
    /// Gain over the fixed losses; a negative one is the spread between seeds.
    gain: f64,
}

#[rustfmt::skip]
const CASES: [Case; 11] = [
    Case { load: "calm", min: 0.97, gain: -0.006 },
    Case { load: "busy", min: 0.955, gain: -0.008 },
    Case { load: "full beside free", min: 0.96, gain: -0.004 },
    Case { load: "all full", min: 0.47, gain: 0.03 },
    Case { load: "one slow", min: 0.87, gain: -0.01 },
    Case { load: "stale reports", min: 0.955, gain: -0.006 },
    Case { load: "lossy link", min: 0.95, gain: -0.008 },
    Case { load: "lost and back", min: 0.965, gain: -0.008 },
    Case { load: "region lost and back", min: 0.955, gain: -0.01 },
    Case { load: "six of different size", min: 0.96, gain: -0.006 },
    Case { load: "many VMs at once", min: 0.87, gain: 0.03 },
];

/// Mean share of the worth over the seeds.
fn play(load: &str, policy: Policy, way: Way) -> f64 {
    let scenarios = spillover::all();
    let found = scenarios.iter().find(|found| found.load.name == load);
    let scenario = found.expect("a load of this name");
    let site = scenario.site.clone().with_way(way);
    let shares = SEEDS.map(|seed| run(&site, &scenario.load, policy, seed).net(&site.terms.prices));
    shares.iter().sum::<f64>() / 2.0
}

fn check(load: &str) {
    let case = CASES.iter().find(|case| case.load == load);
    let case = case.expect("a case of this load");
    let local = play(load, Policy::Product, Way::LocalFirst);
    let fixed = play(load, Policy::Product, Way::Fixed);
    let chosen = play(load, Policy::Product, Terms::default().way);
    let ideal = play(load, Policy::Global, Way::Shares);
    let line = format!(
        "{load}: local first {local:.3} fixed {fixed:.3} chosen {chosen:.3} ideal {ideal:.3}"
    );
    println!("{line}");
    assert!(chosen >= case.min, "{line}");
    assert!(chosen >= fixed + case.gain, "{line}");
    assert!(chosen >= local - 0.01, "{line}");
    assert!(chosen <= ideal + 0.01, "{line}");
}

macro_rules! loads {
    ($($name:ident: $load:literal, $guard:literal;)+) => {
        $(
            #[doc = $guard]
            #[test]
            fn $name() {
                check($load);
            }
        )+
    };
}

loads! {
    calm: "calm", "Guards against calls that leave without need.";
    busy: "busy", "Guards against calls that are kept at busy targets.";
    full_beside_free: "full beside free", "Guards against free slots that stay unused.";
    data_centers_that_are_all_full: "all full", "Guards against calls that full data centres send to each other.";
    one_slow: "one slow", "Guards against calls that stay in a slow data centre.";
    stale_reports: "stale reports", "Guards against trust in reports of a second ago.";
    lossy_link: "lossy link", "Guards against a way that is slower than it seems.";
    lost_and_back: "lost and back", "Guards against calls that are kept in a lost data centre.";
    region_lost_and_back: "region lost and back", "Guards against calls kept in a lost region.";
    six_of_different_size: "six of different size", "Guards against a small data centre that is flooded.";
    many_vms_at_once: "many VMs at once", "Guards against free slots that many VMs fill together.";
}
