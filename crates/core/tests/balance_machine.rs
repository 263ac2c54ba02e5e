//! State-machine test of the balancer against a small oracle of its guarantees.

use std::collections::BTreeMap;

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Balancer;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Limits;
use oriolecleat_core::balance::Progress;
use oriolecleat_core::budget::Total;
use oriolecleat_core::entry::Class;
use oriolecleat_core::entry::Target;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::arbitrary::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REQUEST_BYTES: u64 = 300;
const REFUSED_BYTES: u64 = 500;

const TARGETS: u16 = 5;
const SLOTS: u64 = 2;
/// The documented bound on own requests at one target: its slots, and two more for each slot.
const MAX_IN_FLIGHT: u64 = 3 * SLOTS;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(Class, u32, u64, u8),
    Finish(usize, Ending),
    Withdraw(usize),
    Tick(u64),
    Update(u16),
    SetStanding(usize, Standing),
    Report(usize, Report),
    ProbeEnd(usize, bool),
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![
        Just(Class::Once),
        Just(Class::Interactive),
        Just(Class::Batch)
    ]
}

fn ending() -> impl Strategy<Value = Ending> {
    let answered = |(latency, failed)| Ending::Answered {
        latency: Span::from_millis(latency),
        failed,
    };
    prop_oneof![
        6 => (1..500_u64, any::<bool>()).prop_map(answered),
        2 => Just(Ending::Shed { bytes: REFUSED_BYTES }),
        1 => any::<bool>().prop_map(|written| Ending::Broken { written }),
        1 => Just(Ending::Cancelled),
    ]
}

fn standing() -> impl Strategy<Value = Standing> {
    prop_oneof![
        4 => Just(Standing::Open),
        1 => Just(Standing::Unconfirmed),
        1 => Just(Standing::Leaving),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let report = |(target, running, queued)| {
        Step::Report(
            target,
            Report {
                running,
                queued,
                slowdown_percent: None,
            },
        )
    };
    prop_oneof![
        12 => (class(), 0..3_u32, 10..5_000_u64, 0..50_u8)
            .prop_map(|(class, entry, deadline, hedge)| Step::Arrive(class, entry, deadline, hedge)),
        10 => (any::<usize>(), ending()).prop_map(|(call, ending)| Step::Finish(call, ending)),
        2 => any::<usize>().prop_map(Step::Withdraw),
        6 => (1..400_u64).prop_map(Step::Tick),
        1 => (0..1_u16 << TARGETS).prop_map(Step::Update),
        2 => (any::<usize>(), standing()).prop_map(|(target, to)| Step::SetStanding(target, to)),
        2 => (any::<usize>(), 0..9_u64, 0..9_u64).prop_map(report),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(target, ok)| Step::ProbeEnd(target, ok)),
    ]
}

#[derive(Clone, Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// What the oracle expects of a call that is not done.
#[derive(Clone, Debug)]
struct Expected {
    class: Class,
    latest: Instant,
    targets: Vec<target::Key>,
}

struct Machine {
    balancer: Balancer,
    rng: SmallRng,
    now: Instant,
    next: u64,
    calls: BTreeMap<u64, Expected>,
}

fn spec(index: u16) -> Target {
    Target {
        name: format!("t{index}").into(),
        address: ([10, 0, 0, 1], index + 1).into(),
        vm: format!("v{index}").into(),
        region: if index < 3 { "near" } else { "far" }.into(),
        data_center: "c".into(),
        slots: SLOTS,
        incarnation: 0,
    }
}

fn specs(mask: u16) -> Vec<Target> {
    let named = |index: &u16| mask & (1 << index) != 0;
    (0..TARGETS).filter(named).map(spec).collect()
}

impl Machine {
    fn new() -> Self {
        let place = Place {
            region: "near".into(),
            data_center: "c".into(),
        };
        let limits = Limits {
            queue: 12,
            measuring: Total {
                bytes_per_s: 5_000,
                burst_bytes: 5_000,
                vm_ceiling: 1,
            },
            remote: Total {
                bytes_per_s: 20_000,
                burst_bytes: 20_000,
                vm_ceiling: 1,
            },
            exchange_bytes: 1_000,
        };
        let mut balancer = Balancer::new(Instant::default(), place, limits);
        balancer.update(Instant::default(), &specs(u16::MAX));
        Self {
            balancer,
            rng: SmallRng::seed_from_u64(7),
            now: Instant::default(),
            next: 0,
            calls: BTreeMap::new(),
        }
    }

    fn key(&self, pick: usize) -> Option<target::Key> {
        let keys: Vec<_> = self.balancer.targets().iter().map(|(key, _)| key).collect();
        keys.get(pick % keys.len().max(1)).copied()
    }

    fn count(&self, key: target::Key) -> u64 {
        let targets = self.calls.values().flat_map(|expected| &expected.targets);
        u64::try_from(targets.filter(|target| **target == key).count()).expect("counts are small")
    }

    fn check_open(&self, key: target::Key) {
        let target = self.balancer.targets().get(key).expect("target is known");
        assert_eq!(target.standing, Standing::Open, "{key:?} may not get work");
        assert!(self.count(key) < MAX_IN_FLIGHT, "{key:?} is full");
    }

    /// Checks every action against the oracle.
    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign { call, target, .. } => {
                    self.check_open(target);
                    let expected = self.calls.get_mut(&call.0).expect("call is not done");
                    assert!(expected.targets.is_empty(), "{call:?} is assigned twice");
                    expected.targets.push(target);
                }
                Action::Hedge { call, target, .. } => {
                    self.check_open(target);
                    let expected = self.calls.get_mut(&call.0).expect("call is not done");
                    assert_eq!(
                        expected.targets.len(),
                        1,
                        "{call:?} has no single first copy"
                    );
                    assert!(
                        !expected.targets.contains(&target),
                        "copy at the same target"
                    );
                    assert_ne!(expected.class, Class::Once, "{call:?} must not be copied");
                    expected.targets.push(target);
                }
                Action::Cancel { call, target } => {
                    if let Some(expected) = self.calls.get_mut(&call.0) {
                        assert!(expected.targets.contains(&target), "nothing to cancel");
                        expected.targets.retain(|key| *key != target);
                    }
                }
                Action::Refuse { call, .. } => {
                    let expected = self.calls.remove(&call.0).expect("call is not done");
                    assert!(expected.targets.is_empty(), "{call:?} runs and is refused");
                }
                Action::Probe { target } => {
                    let target = self.balancer.targets().get(target);
                    let standing = target.map(|target| target.standing);
                    assert_eq!(standing, Some(Standing::Unconfirmed));
                }
            }
        }
    }

    fn finish(&mut self, pick: usize, ending: Ending) {
        let running = |(_, expected): &(&u64, &Expected)| !expected.targets.is_empty();
        let running: Vec<u64> = self
            .calls
            .iter()
            .filter(running)
            .map(|(id, _)| *id)
            .collect();
        let Some(id) = running.get(pick % running.len().max(1)) else {
            return;
        };
        let expected = self.calls.get_mut(id).expect("call runs");
        let key = expected.targets.remove(pick % expected.targets.len());
        let last = expected.targets.is_empty();
        let ran = matches!(ending, Ending::Answered { failed: false, .. });
        let not_run = matches!(
            ending,
            Ending::Shed { .. } | Ending::Broken { written: false }
        );
        let over = ran || (last && !not_run);
        let mut out = Vec::new();
        let rng = &mut self.rng;
        let call = Call(*id);
        let progress = self
            .balancer
            .finish(self.now, call, key, ending, rng, &mut out);
        assert_eq!(progress == Progress::Done, over, "{ending:?} of {call:?}");
        if over {
            let removed = self.calls.remove(id).expect("call runs");
            let is_cancelled = |target: &target::Key| {
                let target = *target;
                out.contains(&Action::Cancel { call, target })
            };
            assert!(
                removed.targets.iter().all(is_cancelled),
                "a copy of {call:?} runs on"
            );
        }
        self.check(out);
    }

    fn arrive(&mut self, class: Class, entry: u32, deadline: u64, hedge_percent: u8) {
        self.next += 1;
        let deadline = Span::from_millis(deadline);
        let expected = Expected {
            class,
            latest: self.now + deadline.half(),
            targets: Vec::new(),
        };
        self.calls.insert(self.next, expected);
        let job = Job {
            call: Call(self.next),
            class,
            deadline: self.now + deadline,
            arrived: self.now,
            objective: Span::ZERO,
            urgency: 0,
            avoid: None,
            entry,
            hedge_percent,
            bytes: Some(REQUEST_BYTES),
            regions: Scope::ANY,
        };
        let mut out = Vec::new();
        self.balancer.arrive(self.now, job, &mut self.rng, &mut out);
        self.check(out);
    }

    fn withdraw(&mut self, pick: usize) {
        let ids: Vec<u64> = self.calls.keys().copied().collect();
        let Some(id) = ids.get(pick % ids.len().max(1)) else {
            return;
        };
        let mut out = Vec::new();
        self.balancer.withdraw(self.now, Call(*id), &mut out);
        let expected = self.calls.remove(id).expect("call is not done");
        assert_eq!(
            out.len(),
            expected.targets.len(),
            "each copy is cancelled once"
        );
    }

    fn tick(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
        let mut out = Vec::new();
        self.balancer.tick(self.now, &mut self.rng, &mut out);
        self.check(out);
        for (id, expected) in &self.calls {
            let is_late = expected.targets.is_empty() && self.now >= expected.latest;
            assert!(!is_late, "call {id} waits beyond half of its deadline");
        }
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Arrive(class, entry, deadline, hedge) => {
                self.arrive(class, entry, deadline, hedge);
            }
            Step::Finish(pick, ending) => self.finish(pick, ending),
            Step::Withdraw(pick) => self.withdraw(pick),
            Step::Tick(millis) => self.tick(millis),
            Step::Update(mask) => self.balancer.update(now, &specs(mask)),
            Step::SetStanding(pick, standing) => {
                if let Some(key) = self.key(pick) {
                    self.balancer.set_standing(key, standing);
                }
            }
            Step::Report(pick, report) => {
                if let Some(key) = self.key(pick) {
                    self.balancer
                        .record_peer_report(now, key, report, Span::ZERO);
                }
            }
            Step::ProbeEnd(pick, answered) => {
                if let Some(key) = self.key(pick) {
                    self.balancer.record_probe(key, answered);
                }
            }
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut machine: Self, (): &(), step: Step) -> Self {
        machine.step(step);
        machine
    }

    fn check_invariants(machine: &Self, (): &()) {
        let waiting = machine
            .calls
            .values()
            .filter(|expected| expected.targets.is_empty());
        assert_eq!(machine.balancer.waiting(), waiting.count());
        for (key, target) in machine.balancer.targets().iter() {
            assert_eq!(target.in_flight, machine.count(key), "in flight at {key:?}");
        }
    }
}

/// The seed of the run: fixed, or `ORIOLECLEAT_SEED`.
fn config() -> Config {
    let seed = std::env::var("ORIOLECLEAT_SEED").ok();
    let seed = seed.and_then(|text| text.parse().ok()).unwrap_or(20_260);
    println!("seed {seed}");
    Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against calls that are lost, assigned twice, refused while they are in flight or sent
    /// again after they were withdrawn, against wrong counts, and against work for targets that
    /// must not get any.
    #[test]
    fn balancer_follows_the_oracle(sequential 1..150 => Machine);
}
