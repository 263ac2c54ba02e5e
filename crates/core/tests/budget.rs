//! Property P1: guards against a fleet whose VMs together spend more bytes on measuring targets
//! than the budget allows.

mod seeded;

use oriolecleat_core::budget::Meter;
use oriolecleat_core::budget::Path;
use oriolecleat_core::budget::Retry;
use oriolecleat_core::budget::Total;
use oriolecleat_core::time::Instant;
use proptest::arbitrary::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

#[derive(Clone, Debug)]
enum Step {
    /// Time passes. A VM that takes no step meanwhile stands for a suspended one.
    Pass(u64),
    /// A process is replaced by a new one without state.
    Restart(usize),
    /// Reserves as often as the meter allows, without sending.
    Reserve(usize, u64, bool),
    /// Sends a percentage of each reservation and settles it.
    Send(usize, u64),
}

/// The reference holds only the budget that all processes share.
#[derive(Clone, Debug)]
struct Model(Total);

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        (0..5_000_u64, 0..5_000_u64, 1..6_u64)
            .prop_map(|(bytes_per_s, burst_bytes, vm_ceiling)| {
                Self(Total {
                    bytes_per_s,
                    burst_bytes,
                    vm_ceiling,
                })
            })
            .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let processes = usize::try_from(state.0.vm_ceiling).expect("a small ceiling");
        let burst = (0..processes, 1..200_u64, any::<bool>());
        prop_oneof![
            4 => prop_oneof![0..2_000_000_u64, Just(3_600_000_000)].prop_map(Step::Pass),
            1 => (0..processes).prop_map(Step::Restart),
            6 => burst.prop_map(|(process, bytes, cross_region)| Step::Reserve(process, bytes, cross_region)),
            6 => (0..processes, 0..=100_u64).prop_map(|(process, percent)| Step::Send(process, percent)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Step) -> Self {
        state
    }
}

/// Reserves `bytes` that travel on `path`.
fn reserve(meter: &mut Meter, now: Instant, bytes: u64, path: Path) -> Option<u64> {
    meter.reserve(now, path.cost(bytes), 0).then_some(bytes)
}

struct Process {
    meter: Meter,
    /// Bytes of each reservation, with its path.
    reserved: Vec<(u64, Path)>,
}

struct Fleet {
    total: Total,
    now: u64,
    processes: Vec<Process>,
    /// Time and billed bytes of everything that was sent.
    traffic: Vec<(u64, u64)>,
}

impl Fleet {
    fn process(&self) -> Process {
        Process {
            meter: Meter::new(Instant::from_micros(self.now), self.total),
            reserved: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        let now = Instant::from_micros(self.now);
        match *step {
            Step::Pass(micros) => self.now += micros,
            Step::Restart(process) => self.processes[process] = self.process(),
            Step::Reserve(process, bytes, cross_region) => {
                let path = if cross_region {
                    Path::CrossRegion
                } else {
                    Path::SameRegion
                };
                let Process { meter, reserved } = &mut self.processes[process];
                let granted = std::iter::from_fn(|| reserve(meter, now, bytes, path));
                reserved.extend(granted.take(5_000).map(|bytes| (bytes, path)));
            }
            Step::Send(process, percent) => {
                let Process { meter, reserved } = &mut self.processes[process];
                for (reserved_bytes, path) in reserved.drain(..) {
                    let bytes = reserved_bytes * percent / 100;
                    let factor = if path == Path::CrossRegion { 2 } else { 1 };
                    self.traffic.push((self.now, bytes * factor));
                    meter.settle(now, path.cost(reserved_bytes), path.cost(bytes));
                }
            }
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(model: &Model) -> Self {
        let mut fleet = Self {
            total: model.0,
            now: 0,
            processes: Vec::new(),
            traffic: Vec::new(),
        };
        fleet.processes = (0..model.0.vm_ceiling).map(|_| fleet.process()).collect();
        fleet
    }

    fn apply(mut fleet: Self, _: &Model, step: Step) -> Self {
        let before = fleet.traffic.len();
        fleet.step(&step);
        if fleet.traffic.len() > before {
            check(&fleet.traffic, fleet.total);
        }
        fleet
    }
}

/// Checks the guarantee that no window that ends now holds more than rate × length + burst.
fn check(traffic: &[(u64, u64)], total: Total) {
    let end = traffic.last().expect("something was sent").0;
    let mut spent = 0_u128;
    for (start, bytes) in traffic.iter().rev() {
        spent += u128::from(*bytes) * 1_000_000;
        let earned = u128::from(total.bytes_per_s) * u128::from(end - start);
        let allowed = earned + u128::from(total.burst_bytes) * 1_000_000;
        assert!(spent <= allowed, "{spent} > {allowed} since {start}");
    }
}

prop_state_machine! {
    #![proptest_config(seeded::config(1, 256))]

    #[test]
    fn all_processes_together_stay_within_the_total(sequential 1..60 => Fleet);
}

#[test]
fn a_tiny_budget_is_neither_lost_nor_exceeded_by_rounding() {
    let total = Total {
        bytes_per_s: 7,
        burst_bytes: 90,
        vm_ceiling: 18,
    };
    let mut spent = 0;
    for _ in 0..18 {
        let mut meter = Meter::new(Instant::default(), total);
        for second in 1..=3_600 {
            let now = Instant::from_micros(second * 1_000_000);
            let granted = std::iter::from_fn(|| reserve(&mut meter, now, 1, Path::SameRegion));
            let granted: Vec<u64> = granted.take(100).collect();
            for one in granted {
                meter.settle(now, one, 1);
                spent += 1;
            }
        }
    }
    assert_eq!(spent, 7 * 3_600);
}

#[test]
fn a_meter_keeps_its_debt_when_the_budget_changes() {
    let total = Total {
        bytes_per_s: 1_000,
        burst_bytes: 1_000,
        vm_ceiling: 1,
    };
    let at = |seconds: u64| Instant::from_micros(seconds * 1_000_000);
    let mut meter = Meter::new(at(0), total);
    let one = reserve(&mut meter, at(1), 1_000, Path::SameRegion).expect("full");
    meter.update(
        at(1),
        Total {
            vm_ceiling: 2,
            ..total
        },
    );
    meter.settle(at(1), one, 1_500);
    assert!(reserve(&mut meter, at(2), 1, Path::SameRegion).is_none());
    assert!(reserve(&mut meter, at(3), 400, Path::SameRegion).is_some());
    assert!(!meter.fits(Path::CrossRegion.cost(251)));
    assert_eq!(meter.refusals(), 1);
}

#[test]
fn retries_stay_a_percentage_of_calls() {
    let cases = [(0, 1_000, 0), (10, 95, 9), (10, 1_000, 10), (100, 3, 3)];
    for (percent, calls, most) in cases {
        let mut budget = Retry::new(percent);
        assert!(!budget.take(), "starts empty");
        (0..calls).for_each(|_| budget.record_call());
        let taken = (0..calls).filter(|_| budget.take()).count();
        assert_eq!(taken, most, "{percent} % of {calls}");
    }
}
