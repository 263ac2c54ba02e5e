//! Property P6: guards against a planned stop that cuts a request, or that refuses a caller with a
//! valid address answer that names the VM.

mod seeded;

use oriolecleat_core::recent::Maximum;
use oriolecleat_core::settings::Stop;
use oriolecleat_core::stop;
use oriolecleat_core::stop::Arrival;
use oriolecleat_core::stop::Phase;
use oriolecleat_core::stop::Work;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const BOUNDS: Stop = Stop {
    address_ttl: Span::from_millis(10_000),
    drain_limit: Span::from_millis(60_000),
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes; a long time stands for a suspended process.
    Pass(u64),
    /// The VM gets the signal to stop.
    Term,
    /// A caller asks a peer for addresses. The peer learns of a stop up to 2 s late.
    Resolve,
    /// A request that follows an address answer of this age in milliseconds, with its deadline.
    Arrive(u64, u64),
    Finish,
}

/// Time, and what the peers of the VM know.
#[derive(Clone, Debug, Default)]
struct World {
    now: u64,
    /// When the stop was requested.
    term: Option<u64>,
    /// When the newest address answer that names the VM was given.
    named: Option<u64>,
}

impl ReferenceStateMachine for World {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => prop_oneof![3 => 1..2_000_u64, 1 => 1..30_000_u64].prop_map(Step::Pass),
            1 => Just(Step::Term),
            2 => Just(Step::Resolve),
            4 => (0..10_000_u64, prop_oneof![1..10_000_u64, 1..600_000_u64])
                .prop_map(|(ago, deadline)| Step::Arrive(ago, deadline)),
            2 => Just(Step::Finish),
        ]
        .boxed()
    }

    fn apply(mut world: Self, step: &Step) -> Self {
        match step {
            Step::Pass(millis) => world.now += millis,
            Step::Term => world.term = world.term.or(Some(world.now)),
            Step::Resolve if world.term.is_none_or(|term| world.now < term + 2_000) => {
                world.named = Some(world.now);
            }
            Step::Resolve | Step::Arrive(..) | Step::Finish => {}
        }
        world
    }
}

struct Subject {
    phase: Phase,
    /// Deadlines of the requests in flight.
    in_flight: Vec<u64>,
    last_arrival: u64,
}

impl Subject {
    fn work(&self) -> Work {
        Work {
            in_flight: self.in_flight.len() as u64,
            lingering: 0,
            latest_deadline: at(self.in_flight.iter().copied().max().unwrap_or(0)),
            last_arrival: at(self.last_arrival),
            handed_over: true,
        }
    }

    fn arrive(&mut self, world: &World, ago: u64, deadline: u64) {
        let asked = world.now.saturating_sub(ago);
        if matches!(self.phase, Phase::Stopped(_)) {
            return;
        }
        self.last_arrival = world.now;
        if self.phase.is_accepting() {
            self.in_flight.push(world.now + deadline);
        } else {
            let has_answer = world.named.is_some_and(|named| asked <= named);
            assert!(
                !has_answer,
                "refused a caller whose address answer is valid"
            );
        }
    }
}

impl StateMachineTest for Subject {
    type SystemUnderTest = Self;
    type Reference = World;

    fn init_test(_: &World) -> Self {
        Self {
            phase: Phase::default(),
            in_flight: Vec::new(),
            last_arrival: 0,
        }
    }

    fn apply(mut subject: Self, world: &World, step: Step) -> Self {
        match step {
            Step::Pass(_) | Step::Resolve => {}
            Step::Term => subject.phase = subject.phase.leave(at(world.now), &BOUNDS, None),
            Step::Arrive(ago, deadline) => subject.arrive(world, ago, deadline),
            Step::Finish => {
                subject.in_flight.pop();
            }
        }
        let before = subject.phase;
        subject.phase = before.advance(at(world.now), &BOUNDS, subject.work());
        let stopped = matches!(subject.phase, Phase::Stopped(_));
        if stopped && !matches!(before, Phase::Stopped(_)) {
            let cut = subject
                .in_flight
                .iter()
                .filter(|deadline| **deadline > world.now);
            assert_eq!(cut.count(), 0, "the stop cut requests");
        }
        assert_eq!(subject.phase.is_advertised(), world.term.is_none());
        subject
    }
}

prop_state_machine! {
    #![proptest_config(seeded::config(1, 256))]

    #[test]
    fn a_planned_stop_cuts_nothing(sequential 1..60 => Subject);
}

struct Case {
    name: &'static str,
    work: Work,
    stops_at: u64,
}

const IDLE: Work = Work {
    in_flight: 0,
    lingering: 0,
    latest_deadline: Instant::from_micros(0),
    last_arrival: Instant::from_micros(0),
    handed_over: true,
};

/// A stop at 0 ms drains from 12,000 ms on.
const CASES: &[Case] = &[
    Case {
        name: "an idle VM waits for requests in the backlog",
        work: IDLE,
        stops_at: 12_500,
    },
    Case {
        name: "requests that still arrive are refused before the exit",
        work: Work {
            last_arrival: Instant::from_micros(14_000_000),
            ..IDLE
        },
        stops_at: 14_500,
    },
    Case {
        name: "audit records that no peer takes do not delay the stop forever",
        work: Work {
            handed_over: false,
            ..IDLE
        },
        stops_at: 72_000,
    },
    Case {
        name: "callers that do not close their side do not delay the stop forever",
        work: Work {
            lingering: 1,
            ..IDLE
        },
        stops_at: 72_000,
    },
    Case {
        name: "a request past its deadline does not delay the stop forever",
        work: Work {
            in_flight: 1,
            latest_deadline: Instant::from_micros(20_000_000),
            ..IDLE
        },
        stops_at: 72_000,
    },
    Case {
        name: "the limit does not cut a request with a longer deadline",
        work: Work {
            in_flight: 1,
            latest_deadline: Instant::from_micros(300_000_000),
            ..IDLE
        },
        stops_at: 300_000,
    },
];

#[test]
fn a_stop_ends_in_time() {
    for case in CASES {
        let mut phase = Phase::default().leave(at(0), &BOUNDS, None);
        let mut now = 0;
        while !matches!(phase, Phase::Stopped(_)) && now < 1_000_000 {
            now += 100;
            phase = phase.advance(at(now), &BOUNDS, case.work);
            phase = phase.leave(at(now), &BOUNDS, None);
            assert_eq!(phase.is_accepting(), now < 12_000, "{}", case.name);
        }
        assert_eq!(now, case.stops_at, "{}", case.name);
    }
}

struct Grace {
    name: &'static str,
    address_ttl: u64,
    drain_limit: u64,
    drains_for: u64,
}

const GRACES: &[Grace] = &[
    Grace {
        name: "enough time",
        address_ttl: 1_000,
        drain_limit: 1_500,
        drains_for: 1_500,
    },
    Grace {
        name: "too long a limit",
        address_ttl: 1_500,
        drain_limit: 2_200,
        drains_for: 1_800,
    },
    Grace {
        name: "no time at all",
        address_ttl: 10_000,
        drain_limit: 60_000,
        drains_for: 0,
    },
];

/// Guards against a stop that is still in progress when the platform ends the process by force,
/// since callers go on sending requests.
#[test]
fn a_stop_ends_before_the_process_is_ended_by_force() {
    let grace = Span::from_millis(6_000);
    for case in GRACES {
        let bounds = Stop {
            address_ttl: Span::from_millis(case.address_ttl),
            drain_limit: Span::from_millis(case.drain_limit),
        };
        let kept = stop::clamp_to_grace(grace, &bounds);
        assert_eq!(kept.address_ttl, bounds.address_ttl, "{}", case.name);
        assert_eq!(
            kept.drain_limit,
            Span::from_millis(case.drains_for),
            "{}",
            case.name
        );
    }
}

struct Late {
    name: &'static str,
    at: u64,
    deadline: u64,
    longest: Option<u64>,
    idempotent: bool,
    admitted: bool,
}

/// Requests at a VM that gets the signal at 0 ms and is ended by force at 6,000 ms.
const LATE: &[Late] = &[
    Late {
        name: "its deadline is before the end",
        at: 3_400,
        deadline: 5_200,
        longest: None,
        idempotent: false,
        admitted: true,
    },
    Late {
        name: "its deadline is after the end and nothing else is known",
        at: 100,
        deadline: 6_000,
        longest: None,
        idempotent: true,
        admitted: false,
    },
    Late {
        name: "its entry took less than the time left",
        at: 2_900,
        deadline: 20_000,
        longest: Some(2_000),
        idempotent: true,
        admitted: true,
    },
    Late {
        name: "its entry took longer than the time left",
        at: 2_900,
        deadline: 20_000,
        longest: Some(3_000),
        idempotent: true,
        admitted: false,
    },
    Late {
        name: "it must not run twice, so that a cut leaves its outcome unknown",
        at: 100,
        deadline: 20_000,
        longest: Some(100),
        idempotent: false,
        admitted: false,
    },
    Late {
        name: "less than half of the time is left",
        at: 3_000,
        deadline: 20_000,
        longest: Some(100),
        idempotent: true,
        admitted: false,
    },
];

/// Guards against a request that is accepted during a planned stop although the platform ends the
/// process by force before the request may end.
#[test]
fn a_stop_admits_no_request_that_its_end_would_cut() {
    let bounds = Stop {
        address_ttl: Span::from_millis(1_500),
        drain_limit: Span::from_millis(1_800),
    };
    for case in LATE {
        let arrival = Arrival {
            deadline: at(case.deadline),
            longest: case.longest.map(Span::from_millis),
            idempotent: case.idempotent,
        };
        let serving = Phase::default();
        assert!(serving.admits(at(case.at), arrival), "{}", case.name);
        let hosted = serving.leave(at(0), &bounds, Some(Span::from_millis(6_000)));
        assert_eq!(
            hosted.admits(at(case.at), arrival),
            case.admitted,
            "{}",
            case.name
        );
        let unbounded = serving.leave(at(0), &bounds, None);
        assert!(unbounded.admits(at(case.at), arrival), "{}", case.name);
    }
}

/// Guards against a maximum that a few short requests, or requests of long ago, make too low or keep
/// for ever.
#[test]
fn the_longest_time_is_that_of_many_recent_requests() {
    let mut longest = Maximum::default();
    for number in 0..49 {
        longest.record(at(number), Span::from_millis(number));
    }
    assert_eq!(longest.get(at(50)), None);
    longest.record(at(50), Span::from_millis(7));
    assert_eq!(longest.get(at(59_999)), Some(Span::from_millis(48)));
    assert_eq!(longest.get(at(60_000)), None);
}
