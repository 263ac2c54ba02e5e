//! Single rules of the balancer.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Balancer;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Limits;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::balance::Refusal;
use oriolecleat_core::budget::Total;
use oriolecleat_core::entry::Class;
use oriolecleat_core::entry::Target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REQUEST_BYTES: u64 = 300;
const REFUSED_BYTES: u64 = 500;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn target(name: &str, port: u16) -> Target {
    Target {
        name: name.into(),
        address: ([127, 0, 0, 1], port).into(),
        vm: name.into(),
        region: "cai".into(),
        data_center: "cai-1".into(),
        slots: 1,
        incarnation: 0,
    }
}

fn ask(call: u64, class: Class, deadline: u64) -> Job {
    Job {
        call: Call(call),
        class,
        deadline: at(deadline),
        arrived: at(0),
        objective: Span::ZERO,
        urgency: 0,
        avoid: None,
        entry: 0,
        hedge_percent: 0,
        bytes: Some(REQUEST_BYTES),
    }
}

struct Bench {
    balancer: Balancer,
    rng: SmallRng,
    out: Vec<Action>,
}

impl Bench {
    fn new(names: &[&str], queue: usize) -> Self {
        let place = Place {
            region: "cai".into(),
            data_center: "cai-1".into(),
        };
        let limits = Limits {
            queue,
            measuring: Total {
                bytes_per_s: 4_000,
                burst_bytes: 4_000,
                vm_ceiling: 1,
            },
            remote: Total {
                bytes_per_s: 0,
                burst_bytes: 0,
                vm_ceiling: 1,
            },
            exchange_bytes: 2_000,
        };
        let mut balancer = Balancer::new(Instant::default(), place, limits);
        let specs: Vec<Target> = names.iter().zip(1..).map(|(n, p)| target(n, p)).collect();
        balancer.update(at(0), &specs);
        let rng = SmallRng::seed_from_u64(1);
        let out = Vec::new();
        Self { balancer, rng, out }
    }

    fn arrive(&mut self, now: u64, ask: Job) {
        self.balancer
            .arrive(at(now), ask, &mut self.rng, &mut self.out);
    }

    fn tick(&mut self, now: u64) {
        self.balancer.tick(at(now), &mut self.rng, &mut self.out);
    }

    fn assigned(&self) -> Vec<u64> {
        let call = |action: &Action| match action {
            Action::Assign { call, .. } => Some(call.0),
            _ => None,
        };
        self.out.iter().filter_map(call).collect()
    }

    fn refused(&self) -> Vec<(u64, Refusal)> {
        let call = |action: &Action| match action {
            Action::Refuse { call, reason } => Some((call.0, *reason)),
            _ => None,
        };
        self.out.iter().filter_map(call).collect()
    }
}

/// Guards against a call that is lost or answered as run after its target shed it.
#[test]
fn shed_call_goes_to_another_attempt() {
    let mut bench = Bench::new(&["a", "b"], 10);
    bench.arrive(1, ask(1, Class::Once, 10_000));
    let Some(Action::Assign { call, target, .. }) = bench.out.pop() else {
        panic!("no assignment");
    };
    let fate = bench.balancer.finish(
        at(2),
        call,
        target,
        Ending::Shed {
            bytes: REFUSED_BYTES,
        },
        &mut bench.rng,
        &mut bench.out,
    );
    assert_eq!(fate, Progress::Pending);
    assert_eq!(bench.assigned(), [1]);
}

/// Guards against a refusal later than half of the deadline.
#[test]
fn waiting_call_is_refused_at_half_of_its_deadline() {
    let mut bench = Bench::new(&["a"], 100);
    for call in 0..20 {
        bench.arrive(0, ask(call, Class::Interactive, 1_000));
    }
    let waiting = bench.balancer.waiting();
    assert!(waiting > 0);
    bench.tick(499);
    assert_eq!(bench.refused(), []);
    bench.tick(500);
    assert_eq!(bench.refused().len(), waiting);
}

/// Guards against batch work that displaces other classes when the queue is full.
#[test]
fn full_queue_sheds_batch_first_and_once_last() {
    let mut bench = Bench::new(&["a"], 1);
    for call in 0..10 {
        bench.arrive(0, ask(call, Class::Batch, 60_000));
    }
    bench.out.clear();
    bench.arrive(0, ask(20, Class::Interactive, 60_000));
    bench.arrive(0, ask(21, Class::Interactive, 60_000));
    bench.arrive(0, ask(22, Class::Interactive, 60_000));
    bench.arrive(0, ask(23, Class::Interactive, 60_000));
    bench.out.clear();
    bench.arrive(0, ask(30, Class::Batch, 60_000));
    assert_eq!(bench.refused(), [(30, Refusal::Overloaded)]);
    bench.out.clear();
    bench.arrive(0, ask(40, Class::Once, 60_000));
    let shed = bench.refused();
    assert!(shed.iter().all(|(call, _)| *call < 40), "{shed:?}");
}

/// Guards against new work for a leaving target, even when no other is left.
#[test]
fn leaving_target_gets_no_work() {
    let mut bench = Bench::new(&["a"], 10);
    let key = bench
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    bench.balancer.set_standing(key, Standing::Leaving);
    bench.arrive(0, ask(1, Class::Interactive, 1_000));
    assert_eq!(bench.assigned(), [0_u64; 0]);
    assert_eq!(bench.refused(), [(1, Refusal::NoTarget)]);
}

/// Guards against measuring that starts before its budget was earned, and against a call that goes
/// to a target before it was confirmed.
#[test]
fn probe_waits_for_the_measuring_budget() {
    let mut bench = Bench::new(&["a"], 10);
    let key = bench
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    bench.balancer.set_standing(key, Standing::Unconfirmed);
    bench.arrive(0, ask(1, Class::Interactive, 1_000));
    bench.tick(0);
    assert_eq!(bench.out, []);
    bench.tick(100);
    assert_eq!(bench.out, [Action::Probe { target: key }]);
    bench.balancer.record_probe(key, true);
    bench.tick(101);
    assert_eq!(bench.assigned(), [1]);
    assert_eq!(
        bench.balancer.next_tick(at(101)),
        Some(at(101) + Span::from_millis(20))
    );
}

/// Guards against measuring traffic for a service that nobody calls.
#[test]
fn idle_service_is_not_probed() {
    let mut bench = Bench::new(&["a"], 10);
    let key = bench
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    bench.balancer.set_standing(key, Standing::Unconfirmed);
    for now in [100, 1_000, 60_000] {
        bench.tick(now);
        assert_eq!(bench.out, []);
        assert_eq!(bench.balancer.next_tick(at(now)), None);
    }
}

/// Ends `calls` calls in turn; those at the targets in `bad` fail.
fn work(bench: &mut Bench, bad: &[&str], calls: std::ops::Range<u64>) {
    for call in calls {
        bench.out.clear();
        bench.arrive(call, ask(call, Class::Interactive, call + 1_000));
        for action in std::mem::take(&mut bench.out) {
            let Action::Assign { call, target, .. } = action else {
                continue;
            };
            let name = bench.balancer.targets().get(target).map(|t| &*t.spec.name);
            let ending = Ending::Answered {
                latency: Span::from_millis(1),
                failed: bad.contains(&name.expect("target is known")),
            };
            let (rng, out) = (&mut bench.rng, &mut bench.out);
            let now = at(call.0 + 1);
            assert_eq!(
                bench.balancer.finish(now, call, target, ending, rng, out),
                Progress::Done
            );
        }
    }
}

fn ejected(bench: &Bench) -> Vec<Box<str>> {
    let targets = bench.balancer.targets().iter();
    let bad = targets.filter(|(_, target)| target.is_ejected());
    bad.map(|(_, target)| target.spec.name.clone()).collect()
}

/// Guards against ejections that take away more than a third of the slots, and against evidence
/// that leaves no target when all look bad.
#[test]
fn ejection_removes_at_most_a_third_and_nothing_if_all_fail() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let cases: [(&[&str], usize); 4] = [(&[], 0), (&["a"], 1), (&["a", "b", "c"], 2), (&names, 0)];
    for (bad, most) in cases {
        let mut bench = Bench::new(&names, 10);
        work(&mut bench, bad, 1..400);
        assert_eq!(ejected(&bench).len(), most, "{bad:?}");
    }
}

/// Guards against a trial at a failing target that is leaving, too.
#[test]
fn leaving_target_gets_no_trial() {
    let mut bench = Bench::new(&["a", "b", "c"], 10);
    work(&mut bench, &["a"], 1..400);
    assert_eq!(ejected(&bench), ["a".into()]);
    let key = bench
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    let assigned = |bench: &Bench| {
        let to =
            |action: &Action| matches!(action, Action::Assign { target, .. } if *target == key);
        bench.out.iter().any(to)
    };
    bench.balancer.set_standing(key, Standing::Leaving);
    bench.out.clear();
    bench.arrive(60_000, ask(1_000, Class::Interactive, 61_000));
    assert!(!assigned(&bench));
    bench.balancer.set_standing(key, Standing::Open);
    bench.arrive(60_001, ask(1_001, Class::Interactive, 61_000));
    assert!(assigned(&bench), "a trial is due");
}

/// Guards against shedding a call of a higher class while one of a lower class waits.
#[test]
fn mixed_queue_sheds_by_class() {
    let mut bench = Bench::new(&["a"], 2);
    let mut call = 0;
    while bench.balancer.waiting() == 0 {
        call += 1;
        bench.arrive(0, ask(call, Class::Interactive, 60_000));
    }
    bench.arrive(0, ask(100, Class::Batch, 60_000));
    assert_eq!(bench.refused(), []);
    bench.arrive(0, ask(101, Class::Once, 60_000));
    assert_eq!(bench.refused(), [(100, Refusal::Overloaded)]);
    bench.arrive(0, ask(102, Class::Once, 60_000));
    assert_eq!(bench.refused()[1..], [(call, Refusal::Overloaded)]);
    bench.arrive(0, ask(103, Class::Once, 60_000));
    assert_eq!(bench.refused()[2..], [(103, Refusal::Overloaded)]);
}
