//! Guards against requests that go to another service than their rule names, and against
//! destinations that do not get their share.

use oriolecleat_core::entry::Class;
use oriolecleat_core::map::Map;
use oriolecleat_core::site::plan::Plan;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::site::rule::Destination;
use oriolecleat_core::site::rule::Rule;
use oriolecleat_core::site::rule::Table;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn rule(name: &str, host: &str, prefix: &str) -> Rule {
    Rule {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        class: Class::Once,
        timeout: Span::from_millis(800),
        objective: Span::from_millis(200),
        urgency: 1,
        attempts: 2,
        destinations: vec![Destination {
            service: "desk".into(),
            weight: 1,
        }],
        regions: Scope::ANY,
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        host: "a.example",
        path: "/x/",
        found: Some("short"),
    },
    Case {
        host: "a.example",
        path: "/x/y",
        found: Some("short"),
    },
    Case {
        host: "a.example",
        path: "/x/y/",
        found: Some("long"),
    },
    Case {
        host: "a.example",
        path: "/x/y/z/1",
        found: Some("long"),
    },
    Case {
        host: "a.example:8080",
        path: "/x/1",
        found: Some("short"),
    },
    Case {
        host: "A.Example",
        path: "/x/1",
        found: Some("short"),
    },
    Case {
        host: "a.example",
        path: "/x",
        found: None,
    },
    Case {
        host: "a.example",
        path: "/xy/",
        found: None,
    },
    Case {
        host: "b.example",
        path: "/x/y/",
        found: Some("other"),
    },
    Case {
        host: "c.example",
        path: "/x/",
        found: None,
    },
    Case {
        host: "",
        path: "/x/",
        found: None,
    },
];

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let rules = [
        rule("short", "a.example", "/x/"),
        rule("long", "a.example", "/x/y/"),
        rule("other", "b.example", "/"),
    ];
    let table = Table::build(&rules);
    for case in CASES {
        let found = table.find(case.host, case.path).map(|rule| &*rule.name);
        assert_eq!(found, case.found, "{}{}", case.host, case.path);
    }
}

#[test]
fn destinations_get_their_shares() {
    struct Case {
        weights: &'static [u32],
        shares: &'static [f64],
    }
    let cases = [
        Case {
            weights: &[1],
            shares: &[1.0],
        },
        Case {
            weights: &[90, 10],
            shares: &[0.9, 0.1],
        },
        Case {
            weights: &[0, 5, 5],
            shares: &[0.0, 0.5, 0.5],
        },
    ];
    let mut random = SmallRng::seed_from_u64(1);
    for case in cases {
        let mut rule = rule("split", "a.example", "/");
        let destination = |(index, weight): (usize, &u32)| Destination {
            service: index.to_string().into(),
            weight: *weight,
        };
        rule.destinations = case.weights.iter().enumerate().map(destination).collect();
        let mut drawn: Map<Box<str>, u32> = Map::default();
        for _ in 0..10_000 {
            let destination = rule.draw(&mut random).expect("a destination");
            *drawn.entry(destination.service.clone()).or_default() += 1;
        }
        for (index, share) in case.shares.iter().enumerate() {
            let count = drawn.get(&*index.to_string()).copied().unwrap_or(0);
            let error = (f64::from(count) / 10_000.0 - share).abs();
            assert!(
                error < 0.02,
                "{:?}: destination {index} got {count}",
                case.weights
            );
        }
    }
}

/// Every entry names its service, its owner, its class and its limits.
#[test]
fn a_plan_stands_for_entries() {
    let mut split = rule("split", "a.example", "/");
    split.destinations.push(Destination {
        service: "ledger".into(),
        weight: 1,
    });
    let plan = Plan {
        version: 7,
        rules: vec![split],
        services: Vec::new(),
        bounds: None,
        unread: Vec::new(),
    };
    let entries: Vec<_> = plan.entries().collect();
    let names: Vec<&str> = entries.iter().map(|(name, _)| &**name).collect();
    assert_eq!(names, ["split/desk", "split/ledger"]);
    for (name, entry) in &entries {
        assert_eq!(*name, Plan::entry_name("split", &entry.service));
        assert_eq!(&*entry.owner, "split");
        assert_eq!(entry.class, Class::Once);
        assert_eq!(entry.deadline, Span::from_millis(800));
        assert_eq!(entry.retry.attempts, 2);
        assert!(entry.limits.concurrency > 0 && entry.limits.queue > 0);
    }
}
