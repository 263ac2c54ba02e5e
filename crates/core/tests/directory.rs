//! Guards against a directory that names VMs of a region which the rules of a host do not allow.

use std::net::SocketAddr;

use oriolecleat_core::address::Candidate;
use oriolecleat_core::entry::Class;
use oriolecleat_core::home;
use oriolecleat_core::map::Map;
use oriolecleat_core::member::State;
use oriolecleat_core::site::directory;
use oriolecleat_core::site::directory::Homes;
use oriolecleat_core::site::directory::Query;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::site::rule::Destination;
use oriolecleat_core::site::rule::Rule;
use oriolecleat_core::time::Span;

fn scope(regions: &[&str]) -> Scope {
    if regions.is_empty() {
        Scope::ANY
    } else {
        Scope::only(regions.iter().copied())
    }
}

fn vm(region: &str, index: usize, state: State) -> Candidate {
    Candidate {
        vm: format!("{region}-{index}").into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        region: region.into(),
        data_center: format!("{region}-1").into(),
        state,
        capacity: 24,
    }
}

/// Homes of the service `desk` with three VMs in each of `living` and targets in each of `targets`.
fn homes(living: &[&str], targets: &[(&str, usize)]) -> Homes {
    let state = |region: &str| {
        if living.contains(&region) {
            State::Alive
        } else {
            State::Dead
        }
    };
    let vms: Vec<Candidate> = ["a", "b", "c"]
        .into_iter()
        .flat_map(|region| (0..3).map(move |index| vm(region, index, state(region))))
        .collect();
    let targets = targets.iter().flat_map(|(region, count)| {
        (0..*count).map(move |index| home::Target {
            name: format!("t-{region}-{index}").into(),
            region: (*region).into(),
            data_center: format!("{region}-1").into(),
            slots: 4,
        })
    });
    let services = [(Box::from("desk"), targets.collect())];
    let of = |region: &str| (region.into(), home::assign(region, &vms, &services));
    ["a", "b", "c"].into_iter().map(of).collect()
}

fn rule(regions: &[&str]) -> Rule {
    Rule {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        class: Class::Once,
        timeout: Span::from_millis(800),
        objective: Span::from_millis(200),
        urgency: 1,
        attempts: 2,
        destinations: vec![Destination {
            service: "desk".into(),
            weight: 1,
        }],
        regions: scope(regions),
    }
}

struct Case {
    name: &'static str,
    /// Allowed regions of each rule of the host.
    rules: &'static [&'static [&'static str]],
    caller: &'static str,
    /// Regions with living VMs.
    living: &'static [&'static str],
    /// Share of the answers that name a VM of a region, in percent.
    named: &'static [(&'static str, u64)],
}

/// There are 6 targets in region `a`, 3 in `b` and 9 in `c`.
const CASES: &[Case] = &[
    Case {
        name: "no restriction",
        rules: &[&[]],
        caller: "c",
        living: &["a", "b", "c"],
        named: &[("c", 100)],
    },
    Case {
        name: "no restriction, and the region is lost: any",
        rules: &[&[]],
        caller: "c",
        living: &["a"],
        named: &[("a", 100)],
    },
    Case {
        name: "the caller's region is allowed",
        rules: &[&["a", "b"]],
        caller: "b",
        living: &["a", "b", "c"],
        named: &[("b", 100)],
    },
    Case {
        name: "it is not: the allowed ones, in proportion to their capacity",
        rules: &[&["a", "b"]],
        caller: "c",
        living: &["a", "b", "c"],
        named: &[("a", 67), ("b", 33)],
    },
    Case {
        name: "an allowed region has lost its VMs",
        rules: &[&["a", "b"]],
        caller: "c",
        living: &["b", "c"],
        named: &[("b", 100)],
    },
    Case {
        name: "both have: the caller's own",
        rules: &[&["a", "b"]],
        caller: "c",
        living: &["c"],
        named: &[("c", 100)],
    },
    Case {
        name: "only a third region has VMs: none",
        rules: &[&["a"]],
        caller: "c",
        living: &["b"],
        named: &[],
    },
    Case {
        name: "the caller's region is allowed and has lost its VMs: not the third one",
        rules: &[&["a", "b"]],
        caller: "b",
        living: &["a", "c"],
        named: &[("a", 100)],
    },
    Case {
        name: "several rules: what suits all",
        rules: &[&["a", "b"], &["b"]],
        caller: "c",
        living: &["a", "b", "c"],
        named: &[("b", 100)],
    },
    Case {
        name: "rules without a common region: the caller's own suits all",
        rules: &[&["a"], &["b"]],
        caller: "c",
        living: &["a", "b", "c"],
        named: &[("c", 100)],
    },
    Case {
        name: "a rule without a restriction keeps callers in their region",
        rules: &[&["a"], &[]],
        caller: "c",
        living: &["a", "b", "c"],
        named: &[("c", 100)],
    },
    Case {
        name: "until that is lost",
        rules: &[&["a"], &[]],
        caller: "c",
        living: &["a", "b"],
        named: &[("a", 100)],
    },
    Case {
        name: "a caller of an unknown region",
        rules: &[&["b"]],
        caller: "",
        living: &["a", "b", "c"],
        named: &[("b", 100)],
    },
    Case {
        name: "a region that no VM knows",
        rules: &[&["nowhere"]],
        caller: "c",
        living: &["a", "b", "c"],
        named: &[("c", 100)],
    },
];

/// Guards against a directory that names VMs of a third region.
#[test]
fn the_directory_names_allowed_regions_or_the_callers_own() {
    const DRAWS: u32 = 1_000;
    for case in CASES {
        let homes = homes(case.living, &[("a", 6), ("b", 3), ("c", 9)]);
        let rules: Vec<Rule> = case.rules.iter().map(|regions| rule(regions)).collect();
        let query = Query {
            region: case.caller,
            default_region: "a",
            count: 1,
        };
        let mut counts: Map<&str, u64> = Map::default();
        for draw in 0..DRAWS {
            let draw = f64::from(draw) / f64::from(DRAWS);
            for home in directory::select(&homes, &rules, query, draw) {
                *counts.entry(&home.region).or_default() += 1;
            }
        }
        let share = |(region, count): (&'static str, u64)| {
            let found = counts.get(region).copied().unwrap_or(0);
            assert!(
                found.abs_diff(count * 10) <= 10,
                "{}: {counts:?}",
                case.name
            );
        };
        case.named.iter().copied().for_each(share);
        assert_eq!(counts.len(), case.named.len(), "{}: {counts:?}", case.name);
        // The further addresses of an answer obey the same rule.
        let query = Query { count: 3, ..query };
        for home in directory::select(&homes, &rules, query, 0.0) {
            let known = case
                .named
                .iter()
                .any(|(region, _)| **region == *home.region);
            assert!(known, "{}: {}", case.name, home.region);
        }
    }
}
