//! Tests of which VMs read the configuration service and how often they call it.

mod common;

use oriolecleat_core::member::Fleet;
use oriolecleat_core::member::Record;
use oriolecleat_core::member::State;
use oriolecleat_core::reader;
use oriolecleat_core::reader::BACKOFF_MAX;
use oriolecleat_core::reader::BACKOFF_MIN;
use oriolecleat_core::reader::Backoff;
use oriolecleat_core::reader::Budget;
use oriolecleat_core::reader::READ_BACKOFF_MAX;
use oriolecleat_core::reader::Reader;
use oriolecleat_core::reader::Step;
use oriolecleat_core::reader::TAKEOVER_HOLD;
use oriolecleat_core::settings::View;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prelude::prop_assert;
use proptest::proptest;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMITS: View = View {
    stale_after: Span::from_millis(30_000),
    takeover_after: Span::from_millis(10_000),
    peer_wait: Span::from_millis(1_000),
    readers_per_data_center: 2,
};

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(millis)
}

fn record(vm: &str, data_center: &str, state: State) -> Record {
    let address = "127.0.0.1:1".parse().expect("an address");
    Record {
        vm: vm.into(),
        incarnation: 1,
        sequence: 0,
        state,
        caller: address,
        directory: address,
        peer: address,
        region: "cai".into(),
        data_center: data_center.into(),
        uptime_ms: 0,
        build: "".into(),
        capacity: 24,
    }
}

fn fleet(own: &str, vms: &[(String, State)]) -> Fleet {
    let mut fleet = Fleet::new(at(0), record(own, "cai-1", State::Alive));
    for (vm, state) in vms {
        fleet.merge(at(0), record(vm, "cai-1", *state));
    }
    fleet.merge(at(0), record("elsewhere", "cai-2", State::Alive));
    fleet
}

fn random(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

// Guards against a data centre with no reader, or with as many readers as VMs.
#[test]
fn few_live_members_are_designated() {
    let mut vms: Vec<(String, State)> = (0..9)
        .map(|index| (format!("vm-{index}"), State::Alive))
        .collect();
    let chosen = |vms: &[(String, State)]| -> Vec<String> {
        let live = vms.iter().filter(|(_, state)| *state == State::Alive);
        live.filter(|(vm, _)| reader::is_designated(&fleet(vm, vms), 2))
            .map(|(vm, _)| vm.clone())
            .collect()
    };
    let before = chosen(&vms);
    assert_eq!(before.len(), 2);
    for (vm, state) in &mut vms {
        if *vm == before[0] {
            *state = State::Suspect;
        }
    }
    let after = chosen(&vms);
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]) && !after.contains(&before[0]));
}

// Guards against exceeding the call rate of the service when all VMs start at once while the
// service is down, and each sees no other member.
#[test]
fn a_start_of_all_vms_stays_under_the_rate() {
    for (vms, calls_per_s, ceiling, known) in [
        (200, 2_000, 210, true),
        (18, 2_000, 30, true),
        (900, 2_000, 900, false),
    ] {
        let mut calls: Vec<u64> = Vec::new();
        for vm in 0..vms {
            let mut random = random(vm);
            let alone = Fleet::new(at(0), record(&format!("vm-{vm}"), "cai-1", State::Alive));
            let mut reader = Reader::new(at(0), LIMITS, &mut random);
            if known {
                reader.budget().set_share(at(0), calls_per_s, ceiling);
            }
            let mut reading = false;
            for millis in (0..20_000).step_by(20) {
                reading |= reader.step(at(millis), &alone, &mut random) == Some(Step::Open);
                // Worst case: each VM calls as soon as the budget allows it, and every call fails.
                if reading && reader.budget().spend(at(millis)) {
                    calls.push(millis);
                    reader.record_end(at(millis), &mut random);
                    reading = false;
                }
            }
        }
        calls.sort_unstable();
        let most = (0..calls.len())
            .map(|first| calls[first..].partition_point(|call| *call < calls[first] + 1_000))
            .max();
        assert!(
            most.is_some_and(|most| most as u64 <= calls_per_s),
            "{most:?} calls in a second"
        );
        assert!(!calls.is_empty());
    }
}

proptest! {
    #![proptest_config(common::fixed(63, 256))]

    // Guards against exceeding the share in any second, for any pattern of calls.
    #[test]
    fn no_second_exceeds_the_share(
        (calls_per_s, ceiling, gaps) in
            (2_u64..3_000, 1_u64..1_000, proptest::collection::vec(0_u64..400_000, 1..400))
    ) {
        let mut budget = Budget::new(at(0));
        budget.set_share(at(0), calls_per_s, ceiling);
        let mut now = Instant::default();
        let mut spent: Vec<u64> = Vec::new();
        for gap in gaps {
            now = now + Span::from_micros(gap);
            while budget.spend(now) {
                spent.push(now.as_micros());
            }
        }
        let share = (calls_per_s / ceiling).max(1);
        for (index, first) in spent.iter().enumerate() {
            let within = spent[index..].partition_point(|call| *call < first + 1_000_000);
            prop_assert!(within as u64 <= share, "{} calls, share {}", within, share);
        }
    }
}

// Guards against a pending watch that is not charged to the budget.
#[test]
fn a_waiting_watch_counts_as_one_call_a_second() {
    let calls = |pending| {
        let mut budget = Budget::new(at(0));
        budget.set_share(at(0), 100, 10);
        budget.set_watch_pending(at(0), pending);
        (0..100_u64)
            .map(|tenth| at(tenth * 100))
            .filter(|now| budget.spend(*now))
            .count()
    };
    let (without, pending) = (calls(false), calls(true));
    assert!(
        without - pending >= 9 && without - pending <= 11,
        "{without} and {pending}"
    );
}

// Guards against readers that all wait for long when the service is back after an outage.
#[test]
fn a_reader_asks_again_soon_however_long_the_outage() {
    for seed in 0..200 {
        let mut random = random(seed);
        let alone = Fleet::new(at(0), record("vm-0", "cai-1", State::Alive));
        let mut reader = Reader::new(at(0), LIMITS, &mut random);
        let mut now = at(0);
        for failures in 0..12 {
            let limit = now + READ_BACKOFF_MAX.max(LIMITS.peer_wait);
            while reader.step(now, &alone, &mut random) != Some(Step::Open) {
                now = now + Span::from_millis(50);
                assert!(
                    now <= limit,
                    "seed {seed}: a longer wait after {failures} failures"
                );
            }
            reader.record_end(now, &mut random);
        }
    }
}

// Guards against VMs that retry at the same time, and against a delay without a bound.
#[test]
fn backoff_doubles_up_to_a_limit_with_full_jitter() {
    let mut random = random(1);
    let maxima = [BACKOFF_MAX, READ_BACKOFF_MAX];
    for (max, failures) in maxima
        .into_iter()
        .flat_map(|max| (0..12_u32).map(move |n| (max, n)))
    {
        let limit = (BACKOFF_MIN.as_micros() << failures).min(max.as_micros());
        let waits: Vec<u64> = (0..400)
            .map(|_| {
                let mut backoff = Backoff::up_to(max);
                for _ in 0..failures {
                    backoff.next_delay(&mut random);
                }
                backoff.next_delay(&mut random).as_micros()
            })
            .collect();
        assert!(waits.iter().all(|wait| *wait <= limit));
        assert!(waits.iter().any(|wait| *wait < limit / 10));
        assert!(waits.iter().any(|wait| *wait > limit / 10 * 9));
    }
}

/// Age of the view in milliseconds at which the VM `own` of a data centre of `vms` takes over, if it
/// does not hear `unheard` of the neighbours before it.
fn takeover_age(own: &str, vms: &[(String, State)], unheard: u64, random: &mut SmallRng) -> u64 {
    let fleet = fleet(own, vms);
    let mut reader = Reader::new(at(0), LIMITS, random);
    reader.confirm(at(5_000), Span::ZERO);
    reader.record_hearing(at(5_000), unheard, false);
    let mut times = (5_000..200_000).step_by(100);
    let opened = times.find(|millis| reader.step(at(*millis), &fleet, random) == Some(Step::Open));
    let opened = opened.expect("every VM takes over in the end");
    reader.confirm(at(opened), Span::ZERO);
    // Reading refreshes the view, which must not end the takeover at once.
    assert_eq!(reader.step(at(opened + 1_000), &fleet, random), None);
    let released = at(opened) + TAKEOVER_HOLD;
    reader.confirm(released, Span::ZERO);
    assert_eq!(reader.step(released, &fleet, random), Some(Step::Close));
    opened - 5_000
}

/// The VMs of a large data centre, and those of them that are not designated.
fn large_data_center() -> (Vec<(String, State)>, Vec<String>) {
    let vms: Vec<(String, State)> = (0..40)
        .map(|index| (format!("vm-{index}"), State::Alive))
        .collect();
    let names = vms.iter().map(|(vm, _)| vm.clone());
    let others = names.filter(|vm| !reader::is_designated(&fleet(vm, &vms), 2));
    let others = others.collect();
    (vms, others)
}

// Guards against a data centre whose readers are all lost or cut off: any other VM that does not
// hear one of those before it takes over.
#[test]
fn any_vm_takes_over_an_old_view() {
    let (vms, others) = large_data_center();
    let mut random = random(2);
    for own in &others {
        let age = takeover_age(own, &vms, 1, &mut random);
        assert!((10_000..20_000).contains(&age), "{own}: {age} ms");
    }
}

// Guards against an outage that turns all VMs of a large data centre into readers: each of them
// calls the service about once a second until it answers. Also guards against a VM that never takes
// over although the service refuses all those before it.
#[test]
fn an_outage_turns_few_vms_of_a_large_data_center_into_readers() {
    let (vms, others) = large_data_center();
    let mut random = random(7);
    let mut readers: Vec<u64> = Vec::new();
    let mut single: Vec<u64> = Vec::new();
    for own in &others {
        let fleet = fleet(own, &vms);
        let mut reader = Reader::new(at(0), LIMITS, &mut random);
        reader.confirm(at(5_000), Span::ZERO);
        let mut times = (5_000..200_000).step_by(100);
        let opened = times
            .find(|millis| reader.step(at(*millis), &fleet, &mut random) == Some(Step::Open))
            .expect("every VM calls in the end");
        let stops = reader.record_failure(at(opened));
        let step = reader.step(at(opened + 100), &fleet, &mut random);
        assert_eq!(step, stops.then_some(Step::Close), "{own}");
        let ages = if stops { &mut single } else { &mut readers };
        ages.push(opened - 5_000);
    }
    assert_eq!(readers.len(), 8, "{readers:?}");
    assert!(readers.iter().all(|age| *age < 20_000), "{readers:?}");
    // The first one has its answer before the view is twice takeover_after old; the others follow at
    // intervals of an eighth of it, each with a random part of that.
    single.sort_unstable();
    assert!(single[0] < 20_000 - 1_250, "{single:?}");
    for (turn, age) in (0..).zip(&single) {
        let first = 16_250 + 1_250 * turn;
        assert!((first..=first + 1_350).contains(age), "{single:?}");
    }
}

// Guards against a starting VM that calls the service before its peers could answer, and against a
// VM that was frozen and treats buffered messages as the current state.
#[test]
fn waits_for_peers_and_reopens_after_a_freeze() {
    let fleet = Fleet::new(at(0), record("own", "cai-1", State::Alive));
    let mut random = random(3);
    let mut reader = Reader::new(at(0), LIMITS, &mut random);
    assert_eq!(reader.close_after_freeze(at(0)), None);
    assert_eq!(reader.step(at(999), &fleet, &mut random), None);
    assert_eq!(
        reader.step(at(1_000), &fleet, &mut random),
        Some(Step::Open)
    );
    assert_eq!(reader.close_after_freeze(at(2_000)), Some(Step::Close));
    assert_eq!(
        reader.step(at(2_000), &fleet, &mut random),
        Some(Step::Open)
    );
}

// Guards against a view that is reported as current although it was not confirmed.
#[test]
fn the_view_ages_until_it_is_confirmed() {
    let mut reader = Reader::new(at(0), LIMITS, &mut random(4));
    assert_eq!(reader.age(at(1)), None);
    assert!(!reader.is_stale(at(30_000)));
    assert!(reader.is_stale(at(30_001)));
    reader.confirm(at(40_000), Span::from_millis(5_000));
    reader.confirm(at(40_000), Span::from_millis(9_000));
    assert_eq!(reader.age(at(41_000)), Some(Span::from_millis(6_000)));
    assert!(!reader.is_stale(at(41_000)));
}

// Guards against an outage that turns every VM of a data centre into a reader at once, since each
// reader adds calls to the service.
#[test]
fn vms_take_over_one_after_the_other() {
    let vms: Vec<(String, State)> = (0..10)
        .map(|index| (format!("vm-{index}"), State::Alive))
        .collect();
    let mut random = random(6);
    let mut opened: Vec<u64> = Vec::new();
    for (vm, _) in &vms {
        let fleet = fleet(vm, &vms);
        if reader::is_designated(&fleet, LIMITS.readers_per_data_center) {
            continue;
        }
        let mut reader = Reader::new(at(0), LIMITS, &mut random);
        reader.confirm(at(1_000), Span::ZERO);
        let mut times = (1_000..40_000).step_by(100);
        let takeover =
            times.find(|millis| reader.step(at(*millis), &fleet, &mut random) == Some(Step::Open));
        opened.push(takeover.expect("every VM takes over in the end") - 1_000);
    }
    opened.sort_unstable();
    assert_eq!(opened.len(), 8);
    assert!(opened[0] <= 11_400, "the first one: {opened:?}");
    assert!(opened[7] < 20_000, "the last one: {opened:?}");
    // Takeovers are 1.25 s apart, an eighth of 10 s, plus a random part of that.
    for (turn, time) in (0..6).zip(&opened) {
        assert!(*time >= 10_000 + 1_250 * turn, "{opened:?}");
    }
}
