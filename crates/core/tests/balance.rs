//! Tests of the balancer, each of one rule.

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
use oriolecleat_core::site::region::Scope;
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

fn job(call: u64, class: Class, deadline: u64) -> Job {
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
        regions: Scope::ANY,
    }
}

struct Harness {
    balancer: Balancer,
    rng: SmallRng,
    out: Vec<Action>,
}

impl Harness {
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

    fn arrive(&mut self, now: u64, job: Job) {
        self.balancer
            .arrive(at(now), job, &mut self.rng, &mut self.out);
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

/// Guards against a call that is lost, or reported as done, after its target shed it.
#[test]
fn shed_call_goes_to_another_attempt() {
    let mut harness = Harness::new(&["a", "b"], 10);
    harness.arrive(1, job(1, Class::Once, 10_000));
    let Some(Action::Assign { call, target, .. }) = harness.out.pop() else {
        panic!("no assignment");
    };
    let progress = harness.balancer.finish(
        at(2),
        call,
        target,
        Ending::Shed {
            bytes: REFUSED_BYTES,
        },
        &mut harness.rng,
        &mut harness.out,
    );
    assert_eq!(progress, Progress::Pending);
    assert_eq!(harness.assigned(), [1]);
}

/// Guards against a call that waits for longer than half of the time until its deadline.
#[test]
fn waiting_call_is_refused_at_half_of_its_deadline() {
    let mut harness = Harness::new(&["a"], 100);
    for call in 0..20 {
        harness.arrive(0, job(call, Class::Interactive, 1_000));
    }
    let waiting = harness.balancer.waiting();
    assert!(waiting > 0);
    harness.tick(499);
    assert_eq!(harness.refused(), []);
    harness.tick(500);
    assert_eq!(harness.refused().len(), waiting);
}

/// Guards against batch calls that displace other classes when the queue is full.
#[test]
fn full_queue_sheds_batch_first_and_once_last() {
    let mut harness = Harness::new(&["a"], 1);
    for call in 0..10 {
        harness.arrive(0, job(call, Class::Batch, 60_000));
    }
    harness.out.clear();
    harness.arrive(0, job(20, Class::Interactive, 60_000));
    harness.arrive(0, job(21, Class::Interactive, 60_000));
    harness.arrive(0, job(22, Class::Interactive, 60_000));
    harness.arrive(0, job(23, Class::Interactive, 60_000));
    harness.out.clear();
    harness.arrive(0, job(30, Class::Batch, 60_000));
    assert_eq!(harness.refused(), [(30, Refusal::Overloaded)]);
    harness.out.clear();
    harness.arrive(0, job(40, Class::Once, 60_000));
    let shed = harness.refused();
    assert!(shed.iter().all(|(call, _)| *call < 40), "{shed:?}");
}

/// Guards against new work for a leaving target, even when no other target is left.
#[test]
fn leaving_target_gets_no_work() {
    let mut harness = Harness::new(&["a"], 10);
    let key = harness
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    harness.balancer.set_standing(key, Standing::Leaving);
    harness.arrive(0, job(1, Class::Interactive, 1_000));
    assert_eq!(harness.assigned(), [0_u64; 0]);
    assert_eq!(harness.refused(), [(1, Refusal::NoTarget)]);
}

/// Guards against a probe that is sent before the measuring budget pays for it, and against a call
/// that is assigned to a target before the target was confirmed.
#[test]
fn probe_waits_for_the_measuring_budget() {
    let mut harness = Harness::new(&["a"], 10);
    let key = harness
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    harness.balancer.set_standing(key, Standing::Unconfirmed);
    harness.arrive(0, job(1, Class::Interactive, 1_000));
    harness.tick(0);
    assert_eq!(harness.out, []);
    harness.tick(100);
    assert_eq!(harness.out, [Action::Probe { target: key }]);
    harness.balancer.record_probe(key, true);
    harness.tick(101);
    assert_eq!(harness.assigned(), [1]);
    assert_eq!(
        harness.balancer.next_tick(at(101)),
        Some(at(101) + Span::from_millis(20))
    );
}

/// Guards against probes for a service that gets no calls.
#[test]
fn idle_service_is_not_probed() {
    let mut harness = Harness::new(&["a"], 10);
    let key = harness
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    harness.balancer.set_standing(key, Standing::Unconfirmed);
    for now in [100, 1_000, 60_000] {
        harness.tick(now);
        assert_eq!(harness.out, []);
        assert_eq!(harness.balancer.next_tick(at(now)), None);
    }
}

/// Runs `calls` one after the other; those at the targets in `bad` fail.
fn run_calls(harness: &mut Harness, bad: &[&str], calls: std::ops::Range<u64>) {
    for call in calls {
        harness.out.clear();
        harness.arrive(call, job(call, Class::Interactive, call + 1_000));
        for action in std::mem::take(&mut harness.out) {
            let Action::Assign { call, target, .. } = action else {
                continue;
            };
            let name = harness
                .balancer
                .targets()
                .get(target)
                .map(|t| &*t.spec.name);
            let ending = Ending::Answered {
                latency: Span::from_millis(1),
                failed: bad.contains(&name.expect("target is known")),
            };
            let (rng, out) = (&mut harness.rng, &mut harness.out);
            let now = at(call.0 + 1);
            assert_eq!(
                harness.balancer.finish(now, call, target, ending, rng, out),
                Progress::Done
            );
        }
    }
}

fn ejected(harness: &Harness) -> Vec<Box<str>> {
    let targets = harness.balancer.targets().iter();
    let bad = targets.filter(|(_, target)| target.is_ejected());
    bad.map(|(_, target)| target.spec.name.clone()).collect()
}

/// Guards against ejections of more than a third of the slots, and against ejections that leave no
/// target when all of them fail.
#[test]
fn ejection_removes_at_most_a_third_and_nothing_if_all_fail() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let cases: [(&[&str], usize); 4] = [(&[], 0), (&["a"], 1), (&["a", "b", "c"], 2), (&names, 0)];
    for (bad, most) in cases {
        let mut harness = Harness::new(&names, 10);
        run_calls(&mut harness, bad, 1..400);
        assert_eq!(ejected(&harness).len(), most, "{bad:?}");
    }
}

/// Guards against a trial at an ejected target that is also leaving.
#[test]
fn leaving_target_gets_no_trial() {
    let mut harness = Harness::new(&["a", "b", "c"], 10);
    run_calls(&mut harness, &["a"], 1..400);
    assert_eq!(ejected(&harness), ["a".into()]);
    let key = harness
        .balancer
        .targets()
        .find("a")
        .expect("target a is known");
    let assigned = |harness: &Harness| {
        let is_to_key =
            |action: &Action| matches!(action, Action::Assign { target, .. } if *target == key);
        harness.out.iter().any(is_to_key)
    };
    harness.balancer.set_standing(key, Standing::Leaving);
    harness.out.clear();
    harness.arrive(60_000, job(1_000, Class::Interactive, 61_000));
    assert!(!assigned(&harness));
    harness.balancer.set_standing(key, Standing::Open);
    harness.arrive(60_001, job(1_001, Class::Interactive, 61_000));
    assert!(assigned(&harness), "a trial is due");
}

/// Guards against shedding a call of a higher class while one of a lower class waits.
#[test]
fn mixed_queue_sheds_by_class() {
    let mut harness = Harness::new(&["a"], 2);
    let mut call = 0;
    while harness.balancer.waiting() == 0 {
        call += 1;
        harness.arrive(0, job(call, Class::Interactive, 60_000));
    }
    harness.arrive(0, job(100, Class::Batch, 60_000));
    assert_eq!(harness.refused(), []);
    harness.arrive(0, job(101, Class::Once, 60_000));
    assert_eq!(harness.refused(), [(100, Refusal::Overloaded)]);
    harness.arrive(0, job(102, Class::Once, 60_000));
    assert_eq!(harness.refused()[1..], [(call, Refusal::Overloaded)]);
    harness.arrive(0, job(103, Class::Once, 60_000));
    assert_eq!(harness.refused()[2..], [(103, Refusal::Overloaded)]);
}
