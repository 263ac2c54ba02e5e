//! Tests of merging, suspicion, flapping and freezes of members.

mod common;

use oriolecleat_core::member::FLAP_HOLD;
use oriolecleat_core::member::Fleet;
use oriolecleat_core::member::MAX_MEMBERS;
use oriolecleat_core::member::Merge;
use oriolecleat_core::member::Record;
use oriolecleat_core::member::SUSPICION_TIMEOUT;
use oriolecleat_core::member::State;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_oneof;
use proptest::proptest;

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(millis)
}

fn record(vm: &str, incarnation: u64, sequence: u64, state: State) -> Record {
    let address = "127.0.0.1:1".parse().expect("an address");
    Record {
        vm: vm.into(),
        incarnation,
        sequence,
        state,
        caller: address,
        directory: address,
        peer: address,
        region: "cai".into(),
        data_center: "cai-1".into(),
        uptime_ms: 0,
        build: "".into(),
        capacity: 24,
    }
}

fn fleet() -> Fleet {
    Fleet::new(at(0), record("own", 10, 0, State::Alive))
}

fn state(fleet: &Fleet, vm: &str) -> State {
    fleet.get(vm).expect("a member").record().state
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let state = prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Leaving),
        Just(State::Dead),
    ];
    let vm = prop_oneof![Just("a"), Just("b"), Just("c")];
    let build = prop_oneof![Just("1"), Just("2")];
    let one = (vm, 0..3_u64, 0..3_u64, state, 0..5_000_u64, build).prop_map(
        |(vm, incarnation, sequence, state, uptime_ms, build)| Record {
            uptime_ms,
            build: build.into(),
            ..record(vm, incarnation, sequence, state)
        },
    );
    proptest::collection::vec(one, 0..12)
}

fn merged(records: &[Record]) -> Vec<Record> {
    let mut fleet = fleet();
    for record in records {
        fleet.merge(at(9), record.clone());
    }
    let mut found: Vec<Record> = fleet.iter().map(|member| member.record_at(at(9))).collect();
    found.sort_by(|left, right| left.vm.cmp(&right.vm));
    found
}

proptest! {
    #![proptest_config(common::fixed(61, 512))]

    // Guards against VMs whose views differ for ever because records arrived in another order, in
    // other groups or twice.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        (left, right, third) in (records(), records(), records())
    ) {
        let joined = |parts: [&[Record]; 3]| merged(&parts.concat());
        let expected = joined([&left, &right, &third]);
        prop_assert_eq!(&joined([&right, &left, &third]), &expected);
        prop_assert_eq!(&joined([&third, &right, &left]), &expected);
        let once = merged(&left);
        let again = merged(&[left.clone(), once.clone()].concat());
        prop_assert_eq!(again, once.clone());
        // Merging a merged view is the same as merging its records.
        prop_assert_eq!(joined([&once, &right, &third]), expected);
    }

    // Guards against outdated records that a frozen VM sends: no record replaces a newer one.
    #[test]
    fn merge_never_replaces_a_newer_record(records in records()) {
        let mut fleet = fleet();
        for record in records {
            let before = fleet.get(&record.vm).map(|member| member.record().stamp());
            fleet.merge(at(9), record.clone());
            let after = fleet.get(&record.vm).expect("a member").record().stamp();
            proptest::prop_assert!(before.is_none_or(|before| before <= after));
        }
    }
}

// Guards against a VM that was suspected while frozen and stays suspected after it resumed.
#[test]
fn refutes_with_a_higher_sequence() {
    struct Case {
        received: (u64, u64, State),
        is_incarnation_fixed: bool,
        merge: Merge,
        own: (u64, u64, State),
    }
    let cases = [
        Case {
            received: (10, 0, State::Suspect),
            is_incarnation_fixed: true,
            merge: Merge::Refuted,
            own: (10, 1, State::Alive),
        },
        Case {
            received: (10, 7, State::Dead),
            is_incarnation_fixed: true,
            merge: Merge::Refuted,
            own: (10, 8, State::Alive),
        },
        Case {
            received: (9, 7, State::Dead),
            is_incarnation_fixed: true,
            merge: Merge::Behind,
            own: (10, 0, State::Alive),
        },
        Case {
            received: (11, 0, State::Alive),
            is_incarnation_fixed: true,
            merge: Merge::Superseded,
            own: (10, 0, State::Alive),
        },
        Case {
            received: (11, 5, State::Dead),
            is_incarnation_fixed: false,
            merge: Merge::Refuted,
            own: (12, 0, State::Alive),
        },
    ];
    for case in cases {
        let mut fleet = fleet();
        if case.is_incarnation_fixed {
            fleet.fix_incarnation();
        }
        let (incarnation, sequence, state) = case.received;
        assert_eq!(
            fleet.merge(at(1), record("own", incarnation, sequence, state)),
            case.merge
        );
        let own = fleet.own().record().stamp();
        assert_eq!((own.incarnation, own.sequence, own.state), case.own);
    }
}

// Guards against a stopped VM that refutes its own death.
#[test]
fn own_death_is_final() {
    let mut fleet = fleet();
    fleet.fix_incarnation();
    fleet.announce(at(1), State::Leaving);
    fleet.announce(at(2), State::Dead);
    fleet.announce(at(3), State::Alive);
    assert_eq!(fleet.own().record().state, State::Dead);
    fleet.merge(at(4), record("own", 10, 2, State::Dead));
    assert_eq!(fleet.own().record().state, State::Dead);
}

// Guards against a restarted VM that is taken for its earlier incarnation at the same address.
#[test]
fn a_restart_is_another_incarnation() {
    let mut fleet = fleet();
    fleet.merge(at(0), record("a", 5, 9, State::Dead));
    let rank = fleet.get("a").expect("a member").rank();
    assert_eq!(
        fleet.merge(at(1), record("a", 6, 0, State::Alive)),
        Merge::Newer(Some(State::Dead))
    );
    assert_ne!(fleet.get("a").expect("a member").rank(), rank);
    assert_eq!(
        fleet.merge(at(2), record("a", 5, 99, State::Dead)),
        Merge::Behind
    );
    assert_eq!(state(&fleet, "a"), State::Alive);
}

// Guards against members that are never declared dead, or too early.
#[test]
fn a_suspect_dies_only_after_the_limit() {
    let mut fleet = fleet();
    fleet.merge(at(0), record("a", 5, 0, State::Alive));
    fleet.merge(at(0), record("b", 5, 0, State::Leaving));
    assert_eq!(
        fleet.suspect(at(1_000), "a").map(|record| record.state),
        Some(State::Suspect)
    );
    assert_eq!(
        fleet.suspect(at(1_000), "b").map(|record| record.state),
        Some(State::Dead)
    );
    assert!(fleet.suspect(at(1_000), "own").is_none());
    let limit = at(1_000) + SUSPICION_TIMEOUT;
    assert!(
        fleet
            .expire(Instant::from_micros(limit.as_micros() - 1))
            .is_empty()
    );
    assert_eq!(fleet.expire(limit).len(), 1);
    assert_eq!(state(&fleet, "a"), State::Dead);
    fleet.merge(limit, record("a", 5, 1, State::Alive));
    assert_eq!(state(&fleet, "a"), State::Alive);
}

// Guards against a flapping VM that is repeatedly added to and removed from the addresses given to
// callers.
#[test]
fn a_flapping_member_counts_as_suspect() {
    let mut fleet = fleet();
    for round in 0..3 {
        let now = at(round * 10_000);
        fleet.merge(now, record("a", 5, round, State::Alive));
        fleet.suspect(now, "a");
    }
    let refuted = at(21_000);
    fleet.merge(refuted, record("a", 5, 3, State::Alive));
    let member = fleet.get("a").expect("a member");
    assert_eq!(member.record().state, State::Alive);
    assert_eq!(member.effective_state(refuted), State::Suspect);
    assert_eq!(member.effective_state(at(20_000) + FLAP_HOLD), State::Alive);
}

// Guards against a VM that, after it was frozen, declares members dead whose messages it has not
// read yet.
#[test]
fn a_freeze_restarts_suspicions_and_raises_the_own_sequence() {
    let mut fleet = fleet();
    fleet.fix_incarnation();
    fleet.merge(at(0), record("a", 5, 0, State::Alive));
    fleet.suspect(at(0), "a");
    assert!(!fleet.tick(at(200)));
    let resumed = at(60_000);
    assert!(fleet.tick(resumed));
    assert!(fleet.expire(resumed).is_empty());
    assert_eq!(fleet.own().record().sequence, 1);
}

// Guards against memory that grows with every VM ever seen, and against dead members that leave no
// room for live ones.
#[test]
fn members_are_bounded_and_dead_ones_are_evicted() {
    let mut fleet = fleet();
    for index in 1..MAX_MEMBERS {
        let state = if index == 1 {
            State::Dead
        } else {
            State::Alive
        };
        fleet.merge(at(0), record(&format!("vm-{index}"), 1, 0, state));
    }
    assert!(matches!(
        fleet.merge(at(1), record("new", 1, 0, State::Alive)),
        Merge::Newer(None)
    ));
    assert!(fleet.get("vm-1").is_none());
    assert_eq!(
        fleet.merge(at(1), record("surplus", 1, 0, State::Alive)),
        Merge::Full
    );
    assert_eq!(fleet.iter().count(), MAX_MEMBERS);
}

// Guards against an estimate above the true uptime, which would let a ticket outlive the ledger
// that records its use.
#[test]
fn uptime_is_a_lower_bound_that_only_improves() {
    let mut fleet = fleet();
    let received = |uptime_ms| Record {
        uptime_ms,
        ..record("a", 5, 0, State::Alive)
    };
    fleet.merge(at(0), received(1_000));
    fleet.merge(at(500), received(400));
    let uptime = |fleet: &Fleet, now| fleet.get("a").expect("a member").uptime(now).as_millis();
    assert_eq!(uptime(&fleet, at(500)), 1_500);
    fleet.merge(at(500), received(1_600));
    assert_eq!(uptime(&fleet, at(600)), 1_700);
}
