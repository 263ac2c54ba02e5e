//! Guards against cold targets that get more requests than they tolerate.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::home;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::place::cold;
use oriolecleat_core::place::cold::Bound;
use oriolecleat_core::place::cold::Cold;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Instant = Instant::from_micros(1_000_000);
/// 5.5 requests a second, 1.5 times that and 8 more.
const BOUND: Bound = Bound {
    start: Span::from_millis(3_000),
    per_s_thousandths: 8_250,
    slack_thousandths: 8_000,
};
/// Longest time by which a request reaches a target later than another one.
const ARRIVES_WITHIN_MS: u64 = 250;

fn at(millis: u64) -> Instant {
    START + Span::from_millis(millis)
}

/// What a VM knows of the others.
#[derive(Clone, Copy, Debug)]
enum View {
    Everything,
    Nothing,
    /// All but up to four.
    Misses(u8),
    /// It knows nobody of the other half, as one that started while the halves were cut off.
    OwnHalf,
}

fn views() -> impl Strategy<Value = Vec<View>> {
    let near = prop_oneof![
        1 => Just(View::Everything),
        1 => Just(View::Nothing),
        3 => (1..=4_u8).prop_map(View::Misses),
    ];
    let halves = prop_oneof![20 => Just(View::OwnHalf), 1 => Just(View::Nothing)];
    prop_oneof![
        prop::collection::vec(near, 1..70),
        prop::collection::vec(halves, 1..70),
    ]
}

/// The most requests that reach a target within a second, if each VM with a share sends all that it
/// may.
fn most_in_a_second(target: &str, views: &[View], bound: &Bound, rng: &mut SmallRng) -> usize {
    let names: Vec<String> = (0..views.len()).map(|id| format!("vm-{id}")).collect();
    let mut ranked: Vec<&str> = Vec::new();
    while ranked.len() < names.len() {
        let left = names.iter().map(|name| &**name);
        let left = left.filter(|name| !ranked.contains(name));
        ranked.extend(home::users(target, left));
    }
    let mut arrivals: Vec<u64> = Vec::new();
    // All VMs pause and send at the same times, which is the worst case.
    let mut bursts: Vec<(u64, u64)> = Vec::new();
    let mut from = 0;
    while from < 8_000 {
        from += rng.random_range(0..4_000);
        let until = from + rng.random_range(0..2_000);
        bursts.push((from, until));
        from = until;
    }
    for (own, view) in views.iter().enumerate() {
        let mut known: Vec<usize> = (0..views.len()).collect();
        match view {
            View::Everything => {}
            View::Nothing => known.retain(|id| *id == own),
            View::Misses(count) => {
                // The worst case: it misses those that would use the target instead of it.
                let others = ranked.iter().filter(|name| **name != names[own]);
                let missed: Vec<&&str> = others.take(usize::from(*count)).collect();
                known.retain(|id| !missed.contains(&&&*names[*id]));
            }
            View::OwnHalf => known.retain(|id| id % 2 == own % 2),
        }
        let known = known.iter().map(|id| &*names[*id]);
        if !cold::is_user(target, &names[own], known) {
            continue;
        }
        let mut state = Cold::new(START);
        for (from, until) in &bursts {
            for millis in (*from..*until).step_by(10) {
                while state.tokens(at(millis), bound) >= 1.0 {
                    state.count_request(at(millis), bound);
                    // The first ones take longest to the target, so that more arrive together.
                    arrivals.push(millis.max(from + ARRIVES_WITHIN_MS));
                }
            }
        }
    }
    let in_window = |start: &u64| {
        let window = *start..*start + 1_000;
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

proptest! {
    /// Guards against VMs that together send more than the bound because they know of different
    /// other VMs.
    #[test]
    fn all_vms_together_keep_the_bound(
        views in views(),
        per_s_thousandths in prop_oneof![Just(8_250_u64), 1..100_000_u64],
        slack_thousandths in prop_oneof![Just(8_000_u64), 0..100_000_u64],
        seed: u64,
    ) {
        let bound = Bound { per_s_thousandths, slack_thousandths, ..BOUND };
        let mut rng = SmallRng::seed_from_u64(seed);
        let most = most_in_a_second("i-1", &views, &bound, &mut rng);
        let most = u64::try_from(most).unwrap();
        prop_assert!(most * 1_000 <= per_s_thousandths + slack_thousandths, "{most}");
    }
}

/// Guards against shares so small that a cold target never gets warm work.
#[test]
fn vms_that_know_each_other_use_most_of_what_is_tolerated() {
    let mut rng = SmallRng::seed_from_u64(1);
    let most = most_in_a_second("i-1", &[View::Everything; 40], &BOUND, &mut rng);
    assert!((4..=8).contains(&most), "{most}");
}

enum Event {
    /// The target is cold for so many milliseconds.
    Stated(u64),
    /// A call to it breaks.
    Refused,
    /// The connection of a running request is reset.
    Reset,
    /// A probe gets no answer.
    Silence,
    /// A probe is answered.
    Answer,
}

struct Case {
    name: &'static str,
    bound: Option<Bound>,
    is_user: bool,
    events: &'static [(u64, Event)],
    /// Calls that the target gets within a second from a time in milliseconds.
    sent: &'static [(u64, std::ops::RangeInclusive<usize>)],
}

const ALL: std::ops::RangeInclusive<usize> = 100..=100;

const CASES: &[Case] = &[
    Case {
        name: "a warm target gets all",
        bound: Some(BOUND),
        is_user: true,
        events: &[],
        sent: &[(0, ALL)],
    },
    Case {
        name: "without a bound a cold target gets all",
        bound: None,
        is_user: false,
        events: &[(0, Event::Stated(3_000)), (0, Event::Refused)],
        sent: &[(0, ALL)],
    },
    Case {
        name: "a VM with a share sends no more than that",
        bound: Some(BOUND),
        is_user: true,
        events: &[(0, Event::Stated(3_000))],
        sent: &[(1_500, 1..=2), (3_000, ALL)],
    },
    Case {
        name: "a VM without a share sends nothing",
        bound: Some(BOUND),
        is_user: false,
        events: &[(0, Event::Stated(3_000))],
        sent: &[(1_500, 0..=0), (3_000, ALL)],
    },
    Case {
        name: "a connection that was reset while a request ran tells nothing of a start",
        bound: Some(BOUND),
        is_user: false,
        events: &[(5_000, Event::Reset)],
        sent: &[(5_000, ALL)],
    },
    Case {
        name: "a target that refuses a connection may start again until it answers",
        bound: Some(BOUND),
        is_user: false,
        events: &[(5_000, Event::Refused)],
        sent: &[(5_000, 0..=0), (8_000, 1..=1), (11_000, ALL)],
    },
    Case {
        name: "a lost target may have started just before its first answer",
        bound: Some(BOUND),
        is_user: false,
        events: &[(5_000, Event::Refused), (7_000, Event::Answer)],
        sent: &[(8_500, 0..=0), (10_000, ALL)],
    },
    Case {
        name: "one probe without an answer is no loss, as this VM may be busy",
        bound: Some(BOUND),
        is_user: false,
        events: &[(4_500, Event::Answer), (5_000, Event::Silence)],
        sent: &[(5_000, ALL)],
    },
    Case {
        name: "a silent target may have started again",
        bound: Some(BOUND),
        is_user: false,
        events: &[(4_500, Event::Answer), (5_600, Event::Silence)],
        sent: &[(5_600, 0..=0)],
    },
];

fn job(call: u64, now: Instant) -> Job {
    Job {
        call: Call(call),
        class: Class::Once,
        arrived: now,
        deadline: now + Span::from_millis(800),
        objective: Span::from_millis(200),
        urgency: 0,
        avoid: None,
        entry: 1,
        hedge_percent: 0,
        bytes: None,
        regions: Scope::ANY,
    }
}

/// Lets a call arrive. Returns whether it is sent; it is withdrawn if not.
fn arrives(placer: &mut Placer, now: Instant, call: u64, rng: &mut SmallRng) -> bool {
    let mut out = Vec::new();
    placer.arrive(now, job(call, now), rng, &mut out);
    // Calls wait for probes only as long as one is pending.
    let later = now + Span::from_millis(8);
    placer.tick(later, rng, &mut out);
    let is_sent = out
        .iter()
        .any(|action| matches!(action, Action::Assign { .. }));
    if !is_sent {
        placer.withdraw(Call(call), &mut out);
    }
    is_sent
}

#[test]
fn a_cold_target_gets_its_share_until_it_is_warm() {
    for case in CASES {
        let mut rng = SmallRng::seed_from_u64(1);
        let place = Place {
            region: "r".into(),
            data_center: "c".into(),
        };
        let mut placer = Placer::new(place, Limits { queue: 256 });
        placer.set_cold_bound(case.bound);
        let spec = entry::Target {
            name: "i-1".into(),
            address: ([10, 0, 0, 1], 1_000).into(),
            vm: "i-1".into(),
            region: "r".into(),
            data_center: "c".into(),
            slots: 4,
            incarnation: 1,
        };
        placer.update(START, std::slice::from_ref(&spec), |_| None);
        let key: target::Key = placer.targets().find("i-1").expect("the target");
        placer.set_standing(key, Standing::Open);
        if case.is_user {
            placer.set_cold_users(std::iter::once("i-1".into()).collect());
        }
        let mut call = 0;
        let mut events = case.events.iter().peekable();
        for (from, expected) in case.sent {
            while let Some((time, event)) = events.next_if(|(time, _)| time <= from) {
                let now = at(*time);
                let mut out = Vec::new();
                match event {
                    Event::Stated(left) => placer.record_cold(now, key, Span::from_millis(*left)),
                    Event::Silence => placer.record_probe(now, key, None, &mut rng, &mut out),
                    Event::Answer => {
                        let report = oriolecleat_core::estimate::Report {
                            running: 0,
                            queued: 0,
                            slowdown_percent: Some(100),
                        };
                        placer.record_probe(now, key, Some(report), &mut rng, &mut out);
                    }
                    Event::Refused | Event::Reset => {
                        call += 1;
                        assert!(arrives(&mut placer, now, call, &mut rng), "{}", case.name);
                        let written = matches!(event, Event::Reset);
                        let ending = Ending::Broken { written };
                        placer.finish(now, Call(call), key, ending, &mut rng, &mut out);
                        placer.withdraw(Call(call), &mut out);
                    }
                }
            }
            let mut sent = 0;
            for step in 0..100 {
                call += 1;
                let now = at(from + step * 10);
                if arrives(&mut placer, now, call, &mut rng) {
                    sent += 1;
                    let ending = Ending::Answered {
                        latency: Span::from_millis(50),
                        failed: false,
                    };
                    let mut out = Vec::new();
                    placer.finish(now, Call(call), key, ending, &mut rng, &mut out);
                }
            }
            assert!(expected.contains(&sent), "{} at {from}: {sent}", case.name);
        }
    }
}
