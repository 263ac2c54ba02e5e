//! Guards against targets that get work after they left, and against dropping living targets whose
//! registrations lapsed during an outage of the store.

use std::net::SocketAddr;

use oriolecleat_core::site::registry::GROUP_GRACE;
use oriolecleat_core::site::registry::RETURN_GRACE;
use oriolecleat_core::site::registry::Registration;
use oriolecleat_core::site::registry::Registry;
use oriolecleat_core::site::registry::SINGLE_GRACE;
use oriolecleat_core::site::registry::State;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn registration(id: u16, born: u64, state: State) -> Registration {
    Registration {
        id: format!("t{id}").into(),
        born,
        service: "desk".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + id)),
        data_center: "cai-1".into(),
        slots: 4,
        state,
        cold_left: Span::from_millis(500),
    }
}

/// A registry of five ready targets.
fn registry() -> Registry {
    let mut registry = Registry::default();
    for id in 0..5 {
        put(&mut registry, 0, id, State::Ready);
    }
    registry
}

fn put(registry: &mut Registry, millis: u64, id: u16, state: State) {
    let known = registration(id, 1, state);
    registry.put(at(millis), &format!("t{id}"), Some(known));
}

fn names(registry: &Registry) -> Vec<Box<str>> {
    let targets = registry.targets("desk", |data_center| data_center.into());
    targets.into_iter().map(|target| target.name).collect()
}

enum Event {
    Put(u16, State),
    Unusable(u16),
    Remove(u16),
    /// It vanished at an unknown time before.
    RemoveEarlier(u16),
    /// The store is back after an outage.
    Return,
}

struct Case {
    name: &'static str,
    /// Events with their time in milliseconds.
    events: &'static [(u64, Event)],
    /// Targets in use at times in milliseconds.
    usable: &'static [(u64, usize)],
}

const CASES: &[Case] = &[
    Case {
        name: "a target that drains gets no new work at once",
        events: &[(100, Event::Put(0, State::Draining))],
        usable: &[(100, 4)],
    },
    Case {
        name: "a registration that cannot be used names no target, and the others stay",
        events: &[(100, Event::Unusable(0))],
        usable: &[(100, 4)],
    },
    Case {
        name: "one that vanishes alone is gone within the time in which others would follow",
        events: &[(1_000, Event::Remove(0))],
        usable: &[
            (1_000, 5),
            (1_000 + SINGLE_GRACE.as_millis() - 1, 5),
            (1_000 + SINGLE_GRACE.as_millis(), 4),
        ],
    },
    Case {
        name: "an earlier outage does not keep one that vanishes later",
        events: &[(1_000, Event::Return), (3_100, Event::Remove(0))],
        usable: &[(3_100 + SINGLE_GRACE.as_millis(), 4)],
    },
    Case {
        name: "one that lapsed in an outage is kept until it should be back",
        events: &[(5_000, Event::Return), (5_000, Event::Remove(0))],
        usable: &[
            (5_000 + RETURN_GRACE.as_millis() - 1, 5),
            (5_000 + RETURN_GRACE.as_millis(), 4),
        ],
    },
    Case {
        name: "one that vanishes after the return of the store is kept no longer",
        events: &[(5_000, Event::Return), (6_900, Event::Remove(0))],
        usable: &[
            (6_900 + SINGLE_GRACE.as_millis() - 1, 5),
            (6_900 + SINGLE_GRACE.as_millis(), 4),
        ],
    },
    Case {
        name: "one that comes back stays",
        events: &[
            (5_000, Event::Return),
            (5_000, Event::Remove(0)),
            (6_000, Event::Put(0, State::Ready)),
        ],
        usable: &[(9_000, 5)],
    },
    Case {
        name: "one that was draining is gone for good, outage or not",
        events: &[
            (500, Event::Put(0, State::Draining)),
            (5_000, Event::Return),
            (5_000, Event::Remove(0)),
        ],
        usable: &[(5_000, 4)],
    },
    Case {
        name: "one that was draining and is ready in a restored store gets no new work",
        events: &[
            (500, Event::Put(0, State::Draining)),
            (5_000, Event::Return),
            (5_000, Event::Put(0, State::Ready)),
        ],
        usable: &[(5_000, 4)],
    },
    Case {
        name: "those that may have vanished at any time before are not kept",
        events: &[
            (1_000, Event::RemoveEarlier(0)),
            (1_000, Event::RemoveEarlier(1)),
        ],
        usable: &[(1_000, 3)],
    },
    Case {
        name: "those that may have lapsed in an outage are kept until they should be back",
        events: &[
            (5_000, Event::Return),
            (5_000, Event::RemoveEarlier(0)),
            (5_000, Event::RemoveEarlier(1)),
        ],
        usable: &[
            (5_000 + RETURN_GRACE.as_millis() - 1, 5),
            (5_000 + RETURN_GRACE.as_millis(), 3),
        ],
    },
    Case {
        name: "those that vanish together are kept, but not until they would have stopped serving",
        events: &[
            (1_000, Event::Remove(0)),
            (1_010, Event::Remove(1)),
            (1_020, Event::Remove(2)),
        ],
        usable: &[
            (1_000 + GROUP_GRACE.as_millis() - 1, 5),
            (1_020 + GROUP_GRACE.as_millis(), 2),
        ],
    },
];

#[test]
fn registrations_that_vanish_are_kept_only_while_they_may_come_back() {
    for case in CASES {
        let mut registry = registry();
        let mut events = case.events.iter().peekable();
        for (millis, usable) in case.usable {
            while let Some((time, event)) = events.next_if(|(time, _)| time <= millis) {
                match event {
                    Event::Put(id, state) => put(&mut registry, *time, *id, *state),
                    Event::Unusable(id) => drop(registry.put(at(*time), &format!("t{id}"), None)),
                    Event::Remove(id) => drop(registry.remove(Some(at(*time)), &format!("t{id}"))),
                    Event::RemoveEarlier(id) => drop(registry.remove(None, &format!("t{id}"))),
                    Event::Return => registry.record_return(at(*time)),
                }
            }
            registry.expire(at(*millis));
            assert_eq!(names(&registry).len(), *usable, "{} at {millis}", case.name);
        }
    }
}

/// A removal takes at most half a second to arrive, and a target that leaves without draining
/// serves for two and a half seconds.
#[test]
fn no_grace_outlasts_a_target_that_leaves_without_draining() {
    let news = Span::from_millis(500);
    let serves = Span::from_millis(2_500);
    assert!(GROUP_GRACE + news < serves);
    assert!(SINGLE_GRACE < GROUP_GRACE);
}

#[test]
fn an_address_belongs_to_the_newest_start() {
    let mut registry = Registry::default();
    let mut old = registration(1, 10, State::Ready);
    old.id = "old".into();
    let mut new = registration(1, 11, State::Ready);
    new.id = "new".into();
    registry.put(at(0), "old", Some(old));
    registry.put(at(0), "new", Some(new));
    assert_eq!(names(&registry), [Box::from("new")]);
}

#[test]
fn a_restart_under_the_same_id_is_another_target() {
    let mut registry = registry();
    let incarnation = |registry: &Registry| {
        let targets = registry.targets("desk", |data_center| data_center.into());
        targets[0].incarnation
    };
    assert_eq!(incarnation(&registry), 1);
    put(&mut registry, 5, 0, State::Draining);
    assert_eq!(names(&registry).len(), 4);
    registry.put(at(10), "t0", Some(registration(0, 2, State::Ready)));
    assert_eq!(incarnation(&registry), 2);
    assert_eq!(names(&registry).len(), 5, "the new start does not drain");
}

/// Guards against a target that counts as warm although it has just started or come back, and against
/// targets that count as cold because this VM has just started.
#[test]
fn a_target_that_appears_or_comes_back_is_taken_for_cold() {
    const COLD: Span = Span::from_millis(3_000);
    type Step = fn(&mut Registry);
    let cases: [(&str, Step, u64); 7] = [
        ("it was there when this VM started", |_| (), 500),
        (
            "it registers again, which the store repeats",
            |registry| put(registry, 6_000, 0, State::Ready),
            6_500,
        ),
        (
            "it started again",
            |registry| drop(registry.put(at(6_000), "t0", Some(registration(0, 2, State::Ready)))),
            9_000,
        ),
        (
            "it was gone and is back",
            |registry| {
                registry.remove(Some(at(6_000)), "t0");
                registry.expire(at(6_500));
                put(registry, 7_000, 0, State::Ready);
            },
            10_000,
        ),
        (
            "its registration lapsed only",
            |registry| {
                registry.remove(Some(at(6_000)), "t0");
                put(registry, 6_100, 0, State::Ready);
            },
            6_600,
        ),
        (
            "its data centre came back",
            |registry| {
                registry.withdraw("k", "cai-1");
                registry.restore(at(8_000), "k");
            },
            11_000,
        ),
        (
            "another data centre came back",
            |registry| {
                registry.withdraw("k", "cai-2");
                registry.restore(at(8_000), "k");
            },
            500,
        ),
    ];
    for (name, step, expected) in cases {
        let mut registry = registry();
        registry.set_complete();
        step(&mut registry);
        let until = |start| {
            let mut all = registry.cold_until("desk", start);
            all.find(|(id, _)| *id == "t0").map(|(_, until)| until)
        };
        assert_eq!(until(COLD), Some(at(expected)), "{name}");
        assert!(
            until(Span::ZERO) <= Some(at(7_500)),
            "{name}: nothing assumed"
        );
    }
}
