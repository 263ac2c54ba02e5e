//! Guards against a fleet that repeats more requests than its bound while requests move between VMs, as they
//! do when VMs are added, stop, are killed, freeze and return.

mod seeded;

use oriolecleat_core::repeat::Budget;
use oriolecleat_core::settings::Repeats;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;

const FLEETS: [usize; 5] = [3, 17, 60, 120, 300];
/// Length of a step in milliseconds.
const STEP: u64 = 100;
/// Steps of a window of the bound.
const WINDOW: usize = 100;
/// Steps of a run.
const STEPS: usize = 600;
/// Step from which all requests fail. The VMs have saved what they can by then.
const FAILING: usize = 300;
/// Most processes that are replaced in a window of a case.
const RESTARTS: usize = 33;
/// VMs that get most requests of a service, one for each region.
const HOMES: usize = 3;

fn bound(vms: usize, slack: u64) -> Repeats {
    Repeats {
        ratio_thousandths: 200,
        slack,
        window: Span::from_millis(10_000),
        vm_ceiling: (vms + RESTARTS) as u64,
    }
}

fn at(step: usize) -> Instant {
    Instant::from_micros(step as u64 * STEP * 1_000)
}

/// A fleet, and the requests and repeats of one service by step.
struct Fleet {
    bound: Repeats,
    budgets: Vec<Budget>,
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl Fleet {
    fn new(vms: usize, slack: u64) -> Self {
        let bound = bound(vms, slack);
        Self {
            bound,
            budgets: vec![Budget::new(bound); vms],
            requests: vec![0; STEPS],
            repeats: vec![0; STEPS],
        }
    }

    /// Replaces the process of a VM.
    fn restart(&mut self, vm: usize) {
        self.budgets[vm] = Budget::new(self.bound);
    }

    /// Requests reach a VM, which repeats as often as it may if they fail.
    fn send(&mut self, step: usize, vm: usize, requests: u64, fails: bool) {
        let budget = &mut self.budgets[vm];
        for _ in 0..requests {
            budget.record_request(at(step));
            while fails && budget.take(at(step)) {
                self.repeats[step] += 1;
            }
        }
        self.requests[step] += requests;
    }

    /// The first window with more repeats than the platform allows: the ratio of the requests in this
    /// window, in the one before it or in the one half a window before it, whichever has most, and the slack.
    fn first_excess(&self) -> Option<String> {
        let count = |counts: &[u64], end: usize| -> u64 {
            counts[end.saturating_sub(WINDOW)..end].iter().sum()
        };
        (WINDOW..=STEPS).find_map(|end| {
            let sent = count(&self.repeats, end);
            let requests =
                [end, end - WINDOW / 2, end - WINDOW].map(|end| count(&self.requests, end));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = requests * self.bound.ratio_thousandths / 1_000 + self.bound.slack;
            (sent > allowed).then(|| {
                format!("{sent} repeats of {requests} requests until step {end}, allowed {allowed}")
            })
        })
    }
}

struct Case {
    name: &'static str,
    /// The VM that gets the requests of a region at a step of a fleet of so many VMs.
    home: fn(region: usize, step: usize, vms: usize) -> usize,
    /// Whether the process of a VM is replaced when it becomes a home.
    restarts: bool,
    /// Requests of a region in a step, for each VM of the fleet.
    requests: fn(step: usize) -> u64,
}

/// The home of a region, which is another VM from step `moved` on.
fn home_until(moved: usize, region: usize, step: usize, vms: usize) -> usize {
    if step < moved {
        region
    } else {
        vms - 1 - region
    }
}

const CASES: &[Case] = &[
    Case {
        name: "homes that stay",
        home: |region, _, _| region,
        restarts: false,
        requests: |_| 1,
    },
    Case {
        name: "VMs are added and become homes",
        home: |region, step, vms| home_until(FAILING + 10, region, step, vms),
        restarts: false,
        requests: |_| 1,
    },
    Case {
        name: "homes stop one after the other",
        home: |region, step, vms| (region + step.saturating_sub(FAILING).div_ceil(10)) % vms,
        restarts: true,
        requests: |_| 1,
    },
    Case {
        name: "homes freeze and return",
        home: |region, step, vms| {
            let returned = step >= FAILING + 60;
            let frozen_at = if returned { STEPS } else { FAILING + 5 };
            home_until(frozen_at, region, step, vms)
        },
        restarts: false,
        requests: |_| 1,
    },
    Case {
        name: "requests move to and fro",
        home: |region, step, vms| (region + step / 70) % vms,
        restarts: false,
        requests: |_| 1,
    },
    Case {
        name: "requests move during a burst",
        home: |region, step, vms| home_until(FAILING + 20, region, step, vms),
        restarts: false,
        requests: |step| {
            if (FAILING - 20..FAILING + 40).contains(&step) {
                3
            } else {
                1
            }
        },
    },
    Case {
        name: "requests move as most callers leave",
        home: |region, step, vms| home_until(FAILING + 20, region, step, vms),
        restarts: false,
        requests: |step| if step < FAILING { 3 } else { 1 },
    },
];

/// Plays a case: requests reach the homes, and all fail from step [`FAILING`] on.
fn play(case: &Case, vms: usize, slack: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, slack);
    let mut homes = [usize::MAX; HOMES];
    for step in 0..STEPS {
        for (region, known) in homes.iter_mut().enumerate() {
            let home = (case.home)(region, step, vms);
            if std::mem::replace(known, home) != home && case.restarts {
                fleet.restart(home);
            }
            let requests = (case.requests)(step) * vms as u64;
            fleet.send(step, home, requests, step >= FAILING);
        }
    }
    fleet
}

#[test]
fn repeats_stay_within_the_bound_while_requests_move_between_vms() {
    for case in CASES {
        for vms in FLEETS {
            for slack in [0, 60] {
                let excess = play(case, vms, slack).first_excess();
                assert_eq!(excess, None, "{}: {vms} VMs, slack {slack}", case.name);
            }
        }
    }
}

#[test]
fn failing_requests_are_repeated_at_once_from_what_was_saved() {
    for vms in FLEETS {
        let fleet = play(&CASES[0], vms, 0);
        let saved: u64 = fleet.repeats[FAILING..FAILING + 10].iter().sum();
        let requests: u64 = fleet.requests[FAILING..FAILING + 10].iter().sum();
        assert!(
            saved * 10 >= requests * 9,
            "{vms} VMs: {saved} repeats of {requests} requests"
        );
    }
}

proptest! {
    #![proptest_config(seeded::config(54, 48))]

    /// In no window do the repeats of a fleet exceed the bound, whichever VMs the requests go to, and
    /// whichever processes are replaced.
    #[test]
    fn no_window_passes_the_bound_while_requests_move(
        vms in 3_usize..40,
        moves in proptest::collection::vec(
            (any::<usize>(), 1_usize..60, 0_u64..12, any::<bool>(), any::<bool>()),
            10..60,
        ),
    ) {
        let mut fleet = Fleet::new(vms, 0);
        let mut step = 0;
        for (home, steps, requests, fails, restarts) in moves {
            let home = home % vms;
            if restarts {
                fleet.restart(home);
            }
            for step in step..(step + steps).min(STEPS) {
                fleet.send(step, home, requests, fails);
            }
            step += steps;
        }
        prop_assert_eq!(fleet.first_excess(), None);
    }
}
