//! Guards against requests that reach a region which their rule does not allow, and against calls for
//! one region that hold back calls for another.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Refusal;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::site::region::Key;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Instant = Instant::from_micros(1_000_000);
const QUEUE: usize = 6;

/// A service with targets of four slots each; the VM is in region `a`.
struct Bench {
    placer: Placer,
    rng: SmallRng,
    out: Vec<Action>,
    calls: u64,
}

impl Bench {
    /// Targets `REGION-0`, `REGION-1` and so on in each region.
    fn new(regions: &[(&str, u16)]) -> Self {
        let place = Place {
            region: "a".into(),
            data_center: "a-1".into(),
        };
        let mut placer = Placer::new(place, Limits { queue: QUEUE });
        let specs: Vec<entry::Target> = regions
            .iter()
            .flat_map(|(region, count)| (0..*count).map(move |index| spec(region, index)))
            .collect();
        placer.update(START, &specs, |_| None);
        Self {
            placer,
            rng: SmallRng::seed_from_u64(1),
            out: Vec::new(),
            calls: 0,
        }
    }

    fn keys(&self, region: &str) -> Vec<target::Key> {
        let targets = self.placer.targets().iter();
        let found = targets.filter(|(_, target)| *target.spec.region == *region);
        found.map(|(key, _)| key).collect()
    }

    /// Reports that all targets of the region run so many requests.
    fn report(&mut self, now: Instant, region: &str, running: u64) {
        for key in self.keys(region) {
            let report = Report {
                running,
                queued: 0,
                slowdown_percent: Some(100),
            };
            self.placer.record_report(now, key, report);
        }
    }

    fn close(&mut self, region: &str) {
        for key in self.keys(region) {
            self.placer.set_standing(key, Standing::Leaving);
        }
    }

    /// Lets a call arrive.
    fn send(&mut self, now: Instant, scope: &Scope, class: Class) -> Call {
        self.calls += 1;
        let call = Call(self.calls);
        let job = Job {
            call,
            class,
            arrived: now,
            deadline: now + Span::from_millis(1_500),
            objective: Span::from_millis(500),
            urgency: 1,
            avoid: None,
            entry: 1,
            hedge_percent: 0,
            bytes: None,
            regions: scope.clone(),
        };
        self.placer.arrive(now, job, &mut self.rng, &mut self.out);
        call
    }

    /// Regions that requests, copies and probes were sent to, without repeats.
    fn reached(&self) -> Vec<&str> {
        let targets = self.out.iter().filter_map(|action| match action {
            Action::Assign { target, .. }
            | Action::Hedge { target, .. }
            | Action::Probe { target } => self.placer.targets().get(*target),
            Action::Cancel { .. } | Action::Refuse { .. } => None,
        });
        let mut regions: Vec<&str> = targets.map(|target| &*target.spec.region).collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Where the call was sent, last.
    fn target_of(&self, call: Call) -> Option<target::Key> {
        self.out.iter().rev().find_map(|action| match action {
            Action::Assign {
                call: sent, target, ..
            } if *sent == call => Some(*target),
            _ => None,
        })
    }

    /// Region that a call was sent to first.
    fn first_region(&self) -> Option<&str> {
        let sent = self.out.iter().find_map(|action| match action {
            Action::Assign { target, .. } => Some(*target),
            _ => None,
        });
        Some(&*self.placer.targets().get(sent?)?.spec.region)
    }

    fn refusal(&self, call: Call) -> Option<Refusal> {
        self.out.iter().find_map(|action| match action {
            Action::Refuse {
                call: refused,
                reason,
            } if *refused == call => Some(*reason),
            _ => None,
        })
    }
}

fn spec(region: &str, index: u16) -> entry::Target {
    let first = region.as_bytes()[0];
    entry::Target {
        name: format!("{region}-{index}").into(),
        address: ([10, first, 0, 1], 1_000 + index).into(),
        vm: format!("{region}-{index}").into(),
        region: region.into(),
        data_center: format!("{region}-1").into(),
        slots: 4,
        incarnation: 0,
    }
}

fn scope(regions: &[&str]) -> Scope {
    if regions.is_empty() {
        Scope::ANY
    } else {
        Scope::only(regions.iter().copied())
    }
}

/// Guards against lists of a team and a route that are joined instead of both applied.
#[test]
fn scopes_combine_to_what_both_allow() {
    struct Case {
        left: &'static [&'static str],
        right: &'static [&'static str],
        allowed: &'static [&'static str],
    }
    let cases = [
        Case {
            left: &[],
            right: &[],
            allowed: &["a", "b", "c"],
        },
        Case {
            left: &["a", "b"],
            right: &[],
            allowed: &["a", "b"],
        },
        Case {
            left: &[],
            right: &["c"],
            allowed: &["c"],
        },
        Case {
            left: &["a", "b"],
            right: &["b", "c"],
            allowed: &["b"],
        },
        Case {
            left: &["a"],
            right: &["c"],
            allowed: &[],
        },
    ];
    for case in cases {
        let both = scope(case.left).and(&scope(case.right));
        for region in ["a", "b", "c"] {
            let expected = case.allowed.contains(&region);
            assert_eq!(both.allows(region), expected, "{both:?} {region}");
            assert_eq!(both.includes(Key::of(region)), expected);
        }
    }
}

struct Placement {
    name: &'static str,
    scope: &'static [&'static str],
    /// Requests that run at each target of a region.
    loads: &'static [(&'static str, u64)],
    /// Regions whose targets take no new work.
    closed: &'static [&'static str],
    /// Whether all targets that get the call shed it, again and again.
    shed: bool,
    /// Regions that the call may be sent to first; none if it is not sent.
    first: &'static [&'static str],
    refusal: Option<Refusal>,
}

const PLACEMENTS: &[Placement] = &[
    Placement {
        name: "without a restriction, the near region",
        scope: &[],
        loads: &[("a", 0), ("b", 0), ("c", 0)],
        closed: &[],
        shed: false,
        first: &["a"],
        refusal: None,
    },
    Placement {
        name: "a far region, though the near one is idle",
        scope: &["b", "c"],
        loads: &[("a", 0), ("b", 9), ("c", 0)],
        closed: &[],
        shed: false,
        first: &["c"],
        refusal: None,
    },
    Placement {
        name: "full targets are not left for an idle one that is not allowed, nor is that one probed",
        scope: &["b"],
        loads: &[("a", 0), ("b", 9), ("c", 0)],
        closed: &[],
        shed: false,
        first: &[],
        refusal: Some(Refusal::Overloaded),
    },
    Placement {
        name: "a region that is lost refuses at once",
        scope: &["b"],
        loads: &[("a", 0), ("b", 0), ("c", 0)],
        closed: &["b"],
        shed: false,
        first: &[],
        refusal: Some(Refusal::NoTarget),
    },
    Placement {
        name: "a region without any target refuses at once",
        scope: &["nowhere"],
        loads: &[("a", 0), ("b", 0), ("c", 0)],
        closed: &[],
        shed: false,
        first: &[],
        refusal: Some(Refusal::NoTarget),
    },
    Placement {
        name: "one region is lost, the other one serves",
        scope: &["b", "c"],
        loads: &[("a", 0), ("b", 0), ("c", 0)],
        closed: &["b"],
        shed: false,
        first: &["c"],
        refusal: None,
    },
    Placement {
        name: "what is shed, and what is slow, stays within the regions",
        scope: &["b", "c"],
        loads: &[("a", 0), ("b", 0), ("c", 0)],
        closed: &[],
        shed: true,
        first: &["b", "c"],
        refusal: None,
    },
];

/// Guards against first sends, second sends, copies and probes outside the allowed regions, and
/// against calls that wait although their regions are lost.
#[test]
fn calls_reach_allowed_regions_alone() {
    for case in PLACEMENTS {
        let mut bench = Bench::new(&[("a", 2), ("b", 2), ("c", 2)]);
        for region in case.closed {
            bench.close(region);
        }
        for (region, load) in case.loads {
            for _ in 0..20 {
                bench.report(START, region, *load);
            }
        }
        // Reports of this age make a call for full targets probe them.
        let mut now = START + Span::from_millis(60);
        let call = bench.send(now, &scope(case.scope), Class::Interactive);
        if case.refusal == Some(Refusal::NoTarget) {
            assert_eq!(bench.refusal(call), case.refusal, "{}: at once", case.name);
        }
        for step in 0..200 {
            now = now + Span::from_millis(5);
            if case.refusal == Some(Refusal::Overloaded) {
                for (region, load) in case.loads {
                    bench.report(now, region, *load);
                }
            }
            if let (true, Some(target)) = (case.shed && step < 8, bench.target_of(call)) {
                let (placer, rng, out) = (&mut bench.placer, &mut bench.rng, &mut bench.out);
                let ending = Ending::Shed { bytes: 0 };
                placer.finish(now, call, target, ending, rng, out);
            }
            let (placer, rng, out) = (&mut bench.placer, &mut bench.rng, &mut bench.out);
            placer.tick(now, rng, out);
        }
        let reached = bench.reached();
        let allowed = scope(case.scope);
        assert!(
            reached.iter().all(|region| allowed.allows(region)),
            "{}: {reached:?}",
            case.name
        );
        let is_lost = case.refusal == Some(Refusal::NoTarget);
        assert_eq!(reached.is_empty(), is_lost, "{}: {reached:?}", case.name);
        let first = bench.first_region();
        assert_eq!(first.is_some(), case.refusal.is_none(), "{}", case.name);
        assert!(
            first.is_none_or(|first| case.first.contains(&first)),
            "{}: {first:?}",
            case.name
        );
        assert_eq!(bench.refusal(call), case.refusal, "{}", case.name);
        let hedged = bench
            .out
            .iter()
            .any(|action| matches!(action, Action::Hedge { .. }));
        let expected = case.refusal.is_none() && !case.shed;
        assert!(hedged || !expected, "{}: no copy", case.name);
    }
}

/// Guards against a full region whose calls fill the queue, or make a call of another region be taken
/// for one that would wait too long.
#[test]
fn calls_for_a_full_region_hold_back_no_others() {
    let mut bench = Bench::new(&[("a", 1), ("b", 1)]);
    let fill = |bench: &mut Bench, now| {
        for _ in 0..20 {
            bench.report(now, "a", 0);
            bench.report(now, "b", 9);
        }
    };
    fill(&mut bench, START);
    let near = Scope::only(["a"]);
    let far = Scope::only(["b"]);
    for _ in 0..QUEUE {
        bench.send(START, &far, Class::Once);
    }
    let waiting = bench.placer.waiting();
    assert!(waiting > 1, "calls for the full region wait");
    assert!(bench.target_of(Call(1)).is_none());
    for scope in [&near, &Scope::ANY] {
        let call = bench.send(START, scope, Class::Once);
        assert!(bench.target_of(call).is_some(), "{scope:?}");
    }
    let wait = |scope: &Scope| bench.placer.expected_wait_in(START, scope);
    assert!(
        wait(&far) > wait(&near),
        "it is the far region that is full"
    );
    assert_eq!(wait(&near), wait(&Scope::ANY).max(wait(&near)));
    // The queue has its limit for the calls of each scope.
    let mut refused = 0;
    for _ in 0..2 * QUEUE {
        let call = bench.send(START, &far, Class::Once);
        refused += usize::from(bench.refusal(call).is_some());
    }
    assert!(refused >= QUEUE, "{refused}");
}

/// Guards against a region whose calls are refused for good after a burst, as an idle target of
/// another region makes a probe seem needless.
#[test]
fn full_targets_are_probed_though_another_region_is_idle() {
    let mut bench = Bench::new(&[("a", 1), ("b", 1)]);
    let far = Scope::only(["b"]);
    // Work of 10 ms, with which a call is in time even beside a noisy neighbour.
    let target = bench.keys("b")[0];
    let mut later = START;
    for _ in 0..40 {
        let call = bench.send(later, &far, Class::Once);
        let ending = Ending::Answered {
            latency: Span::from_millis(50),
            failed: false,
        };
        later = later + Span::from_millis(50);
        bench.report(later, "b", 0);
        let (placer, rng, out) = (&mut bench.placer, &mut bench.rng, &mut bench.out);
        placer.finish(later, call, target, ending, rng, out);
    }
    for _ in 0..50 {
        bench.report(later, "a", 0);
        bench.report(later, "b", 12);
    }
    bench.out.clear();
    bench.report(later + Span::from_millis(100), "a", 0);
    bench.send(later + Span::from_millis(100), &far, Class::Once);
    assert_eq!(bench.reached(), ["b"]);
    let probed =
        |action: &Action| matches!(action, Action::Probe { target: key } if *key == target);
    assert!(bench.out.iter().any(probed));
}

/// Guards against a time to retry that counts targets which the call may not reach.
#[test]
fn the_expected_wait_counts_allowed_targets_alone() {
    let mut bench = Bench::new(&[("a", 9), ("b", 1)]);
    let far = Scope::only(["b"]);
    let wait = |bench: &Bench, scope: &Scope| bench.placer.expected_wait_in(START, scope);
    let (any, one) = (wait(&bench, &Scope::ANY), wait(&bench, &far));
    let ratio = one.as_micros() / any.as_micros().max(1);
    assert!((9..=11).contains(&ratio), "{one:?} {any:?}");
    bench.close("b");
    assert!(
        wait(&bench, &far) > Span::from_millis(1_000),
        "none is left"
    );
    assert_eq!(wait(&bench, &Scope::ANY), bench.placer.expected_wait(START));
}
