//! Guards against repeats of requests, such as retries and hedged copies, of which all VMs together
//! send more than the bound of the platform.

mod seeded;

use oriolecleat_core::repeat::Budget;
use oriolecleat_core::settings::Repeats;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

const BOUND: Repeats = Repeats {
    ratio_thousandths: 200,
    slack: 60,
    window: Span::from_millis(10_000),
    vm_ceiling: 20,
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn taken(budget: &mut Budget, now: Instant) -> usize {
    std::iter::repeat_with(|| budget.take(now))
        .take_while(|taken| *taken)
        .count()
}

struct Case {
    name: &'static str,
    /// Number of requests at each time in milliseconds.
    requests: &'static [(u64, usize)],
    at: u64,
    taken: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "a share of the slack",
        requests: &[],
        at: 0,
        taken: 3,
    },
    Case {
        name: "half of a fifth of the requests besides",
        requests: &[(0, 50)],
        at: 100,
        taken: 8,
    },
    Case {
        name: "still inside the window",
        requests: &[(0, 50)],
        at: 9_400,
        taken: 8,
    },
    Case {
        name: "requests leave the window",
        requests: &[(0, 50)],
        at: 10_000,
        taken: 3,
    },
    Case {
        name: "long after",
        requests: &[(0, 50)],
        at: 3_600_000,
        taken: 3,
    },
    Case {
        name: "requests at both ends of the window",
        requests: &[(0, 50), (9_000, 50)],
        at: 9_900,
        taken: 13,
    },
];

#[test]
fn a_vm_spends_half_the_ratio_of_its_requests_and_its_share_of_the_slack() {
    for case in CASES {
        let mut budget = Budget::new(BOUND);
        for (millis, count) in case.requests {
            for _ in 0..*count {
                budget.record_request(at(*millis));
            }
        }
        let now = at(case.at);
        assert_eq!(taken(&mut budget, now), case.taken, "{}", case.name);
        assert_eq!(
            taken(&mut budget, now),
            0,
            "{}: nothing is spent twice",
            case.name
        );
    }
}

#[test]
fn what_was_spent_comes_back_with_the_window() {
    let mut budget = Budget::new(BOUND);
    assert_eq!(taken(&mut budget, at(0)), 3);
    assert_eq!(taken(&mut budget, at(9_400)), 0);
    assert_eq!(taken(&mut budget, at(10_500)), 3);
}

proptest! {
    #![proptest_config(seeded::config(11, 64))]

    /// In no window do the repeats of all VMs exceed the bound, whatever each VM knows of the
    /// others.
    #[test]
    fn no_window_passes_the_bound(
        steps in proptest::collection::vec((0_usize..20, 0_u64..700, any::<bool>()), 1..400),
    ) {
        let mut budgets: Vec<Budget> = (0..20).map(|_| Budget::new(BOUND)).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (vm, pause, repeat) in steps {
            now += pause;
            if repeat {
                let count = taken(&mut budgets[vm], at(now));
                repeats.extend(std::iter::repeat_n(now, count));
            } else {
                budgets[vm].record_request(at(now));
                requests.push(now);
            }
        }
        for end in &repeats {
            let inside = |time: &&u64| **time <= *end && **time + 10_000 > *end;
            let sent = repeats.iter().filter(inside).count();
            let asked = requests.iter().filter(inside).count();
            prop_assert!(sent <= asked / 5 + 60, "{sent} repeats of {asked} requests until {end}");
        }
    }
}
