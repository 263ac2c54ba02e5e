//! Guards against targets that get work after they left, and against losing living targets whose
//! registrations lapsed while the store was away.

use std::net::SocketAddr;

use oriolecleat_core::site::registry::GROUP_GRACE;
use oriolecleat_core::site::registry::OUTAGE_GRACE;
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

/// A roster of five ready targets.
fn roster() -> Registry {
    let mut roster = Registry::default();
    for id in 0..5 {
        put(&mut roster, 0, id, State::Ready);
    }
    roster
}

fn put(roster: &mut Registry, millis: u64, id: u16, state: State) {
    let known = registration(id, 1, state);
    roster.put(at(millis), &format!("t{id}"), Some(known));
}

fn names(roster: &Registry) -> Vec<Box<str>> {
    let targets = roster.targets("desk", |data_center| data_center.into());
    targets.into_iter().map(|target| target.name).collect()
}

enum Event {
    Put(u16, State),
    Foreign(u16),
    Remove(u16),
    Outage,
    Told,
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
        name: "a registration that cannot be used names no target, and the others hold",
        events: &[(100, Event::Foreign(0))],
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
        events: &[
            (1_000, Event::Outage),
            (1_100, Event::Told),
            (2_500, Event::Remove(0)),
        ],
        usable: &[(2_500 + SINGLE_GRACE.as_millis(), 4)],
    },
    Case {
        name: "one that the first news after an outage lack is kept until it should be back",
        events: &[
            (1_000, Event::Outage),
            (5_000, Event::Remove(0)),
            (5_000, Event::Told),
        ],
        usable: &[
            (5_000 + OUTAGE_GRACE.as_millis() - 1, 5),
            (5_000 + OUTAGE_GRACE.as_millis(), 4),
        ],
    },
    Case {
        name: "one that comes back stays",
        events: &[
            (1_000, Event::Outage),
            (5_000, Event::Remove(0)),
            (5_000, Event::Told),
            (6_000, Event::Put(0, State::Ready)),
        ],
        usable: &[(9_000, 5)],
    },
    Case {
        name: "one that was draining is gone for good, outage or not",
        events: &[
            (500, Event::Put(0, State::Draining)),
            (1_000, Event::Outage),
            (5_000, Event::Remove(0)),
        ],
        usable: &[(5_000, 4)],
    },
    Case {
        name: "those that vanish together are kept, but not beyond their own time to leave",
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
        let mut roster = roster();
        let mut events = case.events.iter().peekable();
        for (millis, usable) in case.usable {
            while let Some((time, event)) = events.next_if(|(time, _)| time <= millis) {
                match event {
                    Event::Put(id, state) => put(&mut roster, *time, *id, *state),
                    Event::Foreign(id) => drop(roster.put(at(*time), &format!("t{id}"), None)),
                    Event::Remove(id) => drop(roster.remove(at(*time), &format!("t{id}"))),
                    Event::Outage => roster.set_after_outage(true),
                    Event::Told => roster.set_after_outage(false),
                }
            }
            roster.expire(at(*millis));
            assert_eq!(names(&roster).len(), *usable, "{} at {millis}", case.name);
        }
    }
}

/// A removal takes at most half a second to arrive, and a target that leaves without a word serves
/// for two and a half seconds.
#[test]
fn no_limit_outlasts_a_target_that_leaves_without_a_word() {
    let news = Span::from_millis(500);
    let serves = Span::from_millis(2_500);
    assert!(GROUP_GRACE + news < serves);
    assert!(SINGLE_GRACE < GROUP_GRACE);
}

#[test]
fn an_address_belongs_to_the_newest_start() {
    let mut roster = Registry::default();
    let mut old = registration(1, 10, State::Ready);
    old.id = "old".into();
    let mut new = registration(1, 11, State::Ready);
    new.id = "new".into();
    roster.put(at(0), "old", Some(old));
    roster.put(at(0), "new", Some(new));
    assert_eq!(names(&roster), [Box::from("new")]);
}

#[test]
fn a_restart_under_the_same_id_is_another_target() {
    let mut roster = roster();
    let incarnation = |roster: &Registry| {
        let targets = roster.targets("desk", |data_center| data_center.into());
        targets[0].incarnation
    };
    assert_eq!(incarnation(&roster), 1);
    roster.put(at(10), "t0", Some(registration(0, 2, State::Ready)));
    assert_eq!(incarnation(&roster), 2);
}
