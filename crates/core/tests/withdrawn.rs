//! Guards against targets of a data centre out of service that get work, and against ones that stay
//! out after it is back.

use std::net::SocketAddr;

use oriolecleat_core::site::registry::RETURN_GRACE;
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

/// Guards against work for the address of a target that takes none, by way of an older registration of
/// the same address in a data centre in service.
#[test]
fn an_older_registration_does_not_own_the_address_of_a_target_out_of_service() {
    struct Case {
        name: &'static str,
        withdrawn: Option<&'static str>,
        state: State,
        usable: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "both in service",
            withdrawn: None,
            state: State::Ready,
            usable: &["new"],
        },
        Case {
            name: "the newer one is in a data centre out of service",
            withdrawn: Some("cai-2"),
            state: State::Ready,
            usable: &[],
        },
        Case {
            name: "the newer one is draining",
            withdrawn: None,
            state: State::Draining,
            usable: &[],
        },
        Case {
            name: "the older one is in a data centre out of service",
            withdrawn: Some("cai-1"),
            state: State::Ready,
            usable: &["new"],
        },
    ];
    let now = Instant::from_micros(1_000_000);
    for case in cases {
        let mut registry = Registry::default();
        let old = Registration {
            id: "old".into(),
            ..registration(1, "cai-1")
        };
        let new = Registration {
            id: "new".into(),
            born: 2,
            state: case.state,
            ..registration(1, "cai-2")
        };
        registry.put(now, "old", Some(old));
        registry.put(now, "new", Some(new));
        if let Some(data_center) = case.withdrawn {
            registry.withdraw("k", data_center);
        }
        let targets = registry.targets("desk", |_| "cai".into());
        let names: Vec<&str> = targets.iter().map(|target| &*target.name).collect();
        assert_eq!(names, case.usable, "{}", case.name);
    }
}

/// Guards against a data centre that gets work while its order, which a restored store has lost, is not
/// written again yet, and against one that stays out although it is not.
#[test]
fn an_order_that_a_restored_store_lacks_holds_until_it_could_be_written_again() {
    struct Case {
        name: &'static str,
        restored: bool,
        written_again: bool,
        /// Targets in use at once, just before the end of the grace, and at its end.
        usable: [usize; 3],
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "the operator removed it", restored: false, written_again: false, usable: [1, 1, 1] },
        Case { name: "the store lost it", restored: true, written_again: false, usable: [0, 0, 1] },
        Case { name: "it is written again", restored: true, written_again: true, usable: [0, 0, 0] },
    ];
    let at = |millis: u64| Instant::from_micros(millis * 1_000);
    let grace = RETURN_GRACE.as_millis();
    for case in cases {
        let mut registry = Registry::default();
        registry.put(at(0), "t0", Some(registration(0, "cai-1")));
        registry.withdraw("k", "cai-1");
        if case.restored {
            registry.record_restore(at(5_000));
        }
        let returned = registry.restore(at(5_000), "k");
        assert_eq!(returned.is_none(), case.restored, "{}", case.name);
        for (millis, usable) in [5_000, 5_000 + grace - 1, 5_000 + grace]
            .into_iter()
            .zip(case.usable)
        {
            let lapsed = registry.lapse_orders(at(millis));
            let is_lapsed = case.restored && !case.written_again && millis == 5_000 + grace;
            assert_eq!(!lapsed.is_empty(), is_lapsed, "{} at {millis}", case.name);
            let targets = registry.targets("desk", |_| "cai".into());
            assert_eq!(targets.len(), usable, "{} at {millis}", case.name);
            if case.written_again {
                registry.withdraw("k", "cai-1");
            }
        }
    }
}
