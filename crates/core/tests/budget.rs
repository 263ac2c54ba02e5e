//! P1: guards against a fleet that spends more on measuring than its budget allows.

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
    /// Time passes; a frozen VM is one that takes no step meanwhile.
    Pass(u64),
    /// The process in a seat is replaced by one that knows nothing.
    Restart(usize),
    /// Reserves as often as the meter allows, without sending yet.
    Burst(usize, u64, bool),
    /// Sends a percentage of each reservation and settles it.
    Carry(usize, u64),
}

/// The reference holds only what no seat can know: the true budget.
#[derive(Clone, Debug)]
struct Plan(Total);

impl ReferenceStateMachine for Plan {
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
        let seats = usize::try_from(state.0.vm_ceiling).expect("a small ceiling");
        let burst = (0..seats, 1..200_u64, any::<bool>());
        prop_oneof![
            4 => prop_oneof![0..2_000_000_u64, Just(3_600_000_000)].prop_map(Step::Pass),
            1 => (0..seats).prop_map(Step::Restart),
            6 => burst.prop_map(|(seat, bytes, between)| Step::Burst(seat, bytes, between)),
            6 => (0..seats, 0..=100_u64).prop_map(|(seat, part)| Step::Carry(seat, part)),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Step) -> Self {
        state
    }
}

/// Reserves `bytes` that travel on `path`.
fn reserve(meter: &mut Meter, now: Instant, bytes: u64, path: Path) -> Option<u64> {
    meter.hold(now, path.cost(bytes), 0).then_some(bytes)
}

struct Seat {
    meter: Meter,
    /// Bytes of each reservation, with its path.
    reserved: Vec<(u64, Path)>,
}

struct Fleet {
    whole: Total,
    now: u64,
    seats: Vec<Seat>,
    /// Time and billed bytes of everything on the wire.
    wire: Vec<(u64, u64)>,
}

impl Fleet {
    fn seat(&self) -> Seat {
        Seat {
            meter: Meter::new(Instant::from_micros(self.now), self.whole),
            reserved: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        let now = Instant::from_micros(self.now);
        match *step {
            Step::Pass(micros) => self.now += micros,
            Step::Restart(seat) => self.seats[seat] = self.seat(),
            Step::Burst(seat, bytes, between) => {
                let path = if between { Path::Between } else { Path::Within };
                let Seat { meter, reserved } = &mut self.seats[seat];
                let granted = std::iter::from_fn(|| reserve(meter, now, bytes, path));
                reserved.extend(granted.take(5_000).map(|bytes| (bytes, path)));
            }
            Step::Carry(seat, part) => {
                let Seat { meter, reserved } = &mut self.seats[seat];
                for (held, path) in reserved.drain(..) {
                    let bytes = held * part / 100;
                    let factor = if path == Path::Between { 2 } else { 1 };
                    self.wire.push((self.now, bytes * factor));
                    meter.settle(now, path.cost(held), path.cost(bytes));
                }
            }
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Plan;

    fn init_test(plan: &Plan) -> Self {
        let mut fleet = Self {
            whole: plan.0,
            now: 0,
            seats: Vec::new(),
            wire: Vec::new(),
        };
        fleet.seats = (0..plan.0.vm_ceiling).map(|_| fleet.seat()).collect();
        fleet
    }

    fn apply(mut fleet: Self, _: &Plan, step: Step) -> Self {
        let before = fleet.wire.len();
        fleet.step(&step);
        if fleet.wire.len() > before {
            check(&fleet.wire, fleet.whole);
        }
        fleet
    }
}

/// The guarantee: no window that ends now holds more than rate × length + burst.
fn check(wire: &[(u64, u64)], whole: Total) {
    let end = wire.last().expect("something was sent").0;
    let mut spent = 0_u128;
    for (start, bytes) in wire.iter().rev() {
        spent += u128::from(*bytes) * 1_000_000;
        let earned = u128::from(whole.bytes_per_s) * u128::from(end - start);
        let allowed = earned + u128::from(whole.burst_bytes) * 1_000_000;
        assert!(spent <= allowed, "{spent} > {allowed} since {start}");
    }
}

prop_state_machine! {
    #![proptest_config(seeded::config(1, 256))]

    #[test]
    fn all_seats_together_stay_within_the_whole(sequential 1..60 => Fleet);
}

#[test]
fn a_tiny_budget_is_neither_lost_nor_exceeded_by_rounding() {
    let whole = Total {
        bytes_per_s: 7,
        burst_bytes: 90,
        vm_ceiling: 18,
    };
    let mut spent = 0;
    for _ in 0..18 {
        let mut meter = Meter::new(Instant::default(), whole);
        for second in 1..=3_600 {
            let now = Instant::from_micros(second * 1_000_000);
            let granted = std::iter::from_fn(|| reserve(&mut meter, now, 1, Path::Within));
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
    let whole = Total {
        bytes_per_s: 1_000,
        burst_bytes: 1_000,
        vm_ceiling: 1,
    };
    let at = |seconds: u64| Instant::from_micros(seconds * 1_000_000);
    let mut meter = Meter::new(at(0), whole);
    let one = reserve(&mut meter, at(1), 1_000, Path::Within).expect("full");
    meter.update(
        at(1),
        Total {
            vm_ceiling: 2,
            ..whole
        },
    );
    meter.settle(at(1), one, 1_500);
    assert!(reserve(&mut meter, at(2), 1, Path::Within).is_none());
    assert!(reserve(&mut meter, at(3), 400, Path::Within).is_some());
    assert!(!meter.fits(Path::Between.cost(251)));
    assert_eq!(meter.refused(), 1);
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
