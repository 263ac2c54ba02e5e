//! Guards against targets of a data centre out of service that get work, and against ones that stay
//! out after it is back.

use std::net::SocketAddr;

use oriolecleat_core::site::registry::Registration;
use oriolecleat_core::site::registry::Registry;
use oriolecleat_core::site::registry::State;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

enum Event {
    /// A ready target registers, by its number and data centre.
    Put(u16, &'static str),
    /// A data centre is taken out of service under a key.
    Withdraw(&'static str, &'static str),
    /// A key vanishes.
    Remove(&'static str),
}

struct Case {
    name: &'static str,
    /// Events, each with whether the targets of the service change with it.
    events: &'static [(Event, bool)],
    usable: &'static [&'static str],
    /// Data centres out of service at the end.
    out: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "the targets there get no work, the others do",
        events: &[
            (Event::Put(0, "cai-1"), true),
            (Event::Put(1, "cai-2"), true),
            (Event::Withdraw("k1", "cai-1"), true),
        ],
        usable: &["t1"],
        out: 1,
    },
    Case {
        name: "a target that registers later gets none either",
        events: &[
            (Event::Withdraw("k1", "cai-1"), false),
            (Event::Put(0, "cai-1"), true),
        ],
        usable: &[],
        out: 1,
    },
    Case {
        name: "they get work again once the key is gone",
        events: &[
            (Event::Put(0, "cai-1"), true),
            (Event::Withdraw("k1", "cai-1"), true),
            (Event::Remove("k1"), true),
        ],
        usable: &["t0"],
        out: 0,
    },
    Case {
        name: "an order that is written again changes nothing",
        events: &[
            (Event::Put(0, "cai-1"), true),
            (Event::Withdraw("k1", "cai-1"), true),
            (Event::Withdraw("k1", "cai-1"), false),
        ],
        usable: &[],
        out: 1,
    },
    Case {
        name: "the end of one order leaves another in force",
        events: &[
            (Event::Put(0, "cai-1"), true),
            (Event::Put(1, "cai-2"), true),
            (Event::Withdraw("k1", "cai-1"), true),
            (Event::Withdraw("k2", "cai-2"), true),
            (Event::Remove("k1"), true),
        ],
        usable: &["t0"],
        out: 1,
    },
    Case {
        name: "a data centre without targets is known, too",
        events: &[
            (Event::Put(0, "cai-1"), true),
            (Event::Withdraw("k1", "cai"), false),
        ],
        usable: &["t0"],
        out: 1,
    },
];

fn registration(id: u16, data_center: &str) -> Registration {
    Registration {
        id: format!("t{id}").into(),
        born: 1,
        service: "desk".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + id)),
        data_center: data_center.into(),
        slots: 4,
        state: State::Ready,
        cold_left: Span::ZERO,
    }
}

#[test]
fn a_data_centre_is_out_for_as_long_as_its_key_exists() {
    let now = Instant::from_micros(1_000_000);
    for case in CASES {
        let mut registry = Registry::default();
        for (event, is_change) in case.events {
            let changed = match event {
                Event::Put(id, data_center) => {
                    let known = registration(*id, data_center);
                    registry.put(now, &format!("t{id}"), Some(known))
                }
                Event::Withdraw(key, data_center) => {
                    registry.withdraw(key, data_center).unwrap_or_default()
                }
                Event::Remove(key) => registry
                    .restore(now, key)
                    .map(|(_, services)| services)
                    .unwrap_or_default(),
            };
            assert_eq!(
                changed.contains(&"desk".into()),
                *is_change,
                "{}",
                case.name
            );
        }
        let targets = registry.targets("desk", |data_center| data_center.into());
        let names: Vec<&str> = targets.iter().map(|target| &*target.name).collect();
        assert_eq!(names, case.usable, "{}", case.name);
        assert_eq!(registry.withdrawn().count(), case.out, "{}", case.name);
    }
}
