//! Tests of what follows from what targets state of themselves.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Refusal;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::home::USERS_MAX;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::stated::Change;
use oriolecleat_core::stated::Stated;
use oriolecleat_core::stated::Statement;
use oriolecleat_core::stated::Unreadable;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Instant = Instant::from_micros(1_000_000);
const STEP: Span = Span::from_millis(10);
/// Time over which requests are counted against a limit.
const WINDOW: Span = Span::from_millis(4_000);

fn limit(per_s: f64) -> Statement {
    Statement {
        limit: Some(Ok(per_s)),
        ..Statement::default()
    }
}

// Guards against VMs that together send more than one and a half times the limit, and five requests, in
// any four seconds, or much less than the limit.
#[test]
fn all_users_keep_any_limit_in_every_window() {
    for per_s in [0.0, 0.1, 0.5, 2.0, 7.7, 50.0] {
        for users in 1..=USERS_MAX {
            let mut all = vec![Stated::default(); users];
            for stated in &mut all {
                stated.record(START, START, limit(per_s));
            }
            let mut sent: Vec<Instant> = Vec::new();
            let mut now = START;
            for step in 0..4_000_u32 {
                now = now + STEP;
                // Pauses let the allowance grow as far as it can.
                let is_pause = step % 1_000 < 300;
                for stated in &mut all {
                    while !is_pause && stated.allowance(now, users) >= 1.0 {
                        stated.count_request(now, users);
                        sent.push(now);
                    }
                }
            }
            let in_window = |start: &Instant| {
                let within = |time: &&Instant| **time >= *start && **time < *start + WINDOW;
                sent.iter().filter(within).count()
            };
            let most = sent.iter().map(in_window).max().unwrap_or(0);
            let most = f64::from(u32::try_from(most).expect("a count"));
            assert!(most <= 1.5 * per_s * 4.0 + 5.0, "{per_s}, {users}: {most}");
            assert!(most >= per_s * 3.5, "{per_s}, {users}: only {most}");
            assert!(
                !sent.is_empty(),
                "{per_s}: without a request the limit never ends"
            );
        }
    }
}

struct Case {
    name: &'static str,
    /// When the second statement arrives, when its request was sent, and what it states, after a
    /// limit of 2 that was stated at 1,000 ms.
    at: u64,
    sent: u64,
    second: Statement,
    change: Option<Change>,
    limit: Option<f64>,
}

#[test]
fn a_limit_holds_until_a_later_answer_lacks_it() {
    let unreadable = Statement {
        limit: Some(Err(Unreadable)),
        ..Statement::default()
    };
    let none = Statement::default();
    let cases = [
        Case {
            name: "an answer to an earlier request",
            at: 2_000,
            sent: 900,
            second: none,
            change: None,
            limit: Some(2.0),
        },
        Case {
            name: "an answer to a later request",
            at: 2_000,
            sent: 1_100,
            second: none,
            change: Some(Change::Unlimited),
            limit: None,
        },
        Case {
            name: "a limit that cannot be read",
            at: 2_000,
            sent: 1_100,
            second: unreadable,
            change: None,
            limit: Some(2.0),
        },
        Case {
            name: "the same limit",
            at: 2_000,
            sent: 1_100,
            second: limit(2.0),
            change: None,
            limit: Some(2.0),
        },
        Case {
            name: "another limit",
            at: 2_000,
            sent: 1_100,
            second: limit(3.0),
            change: Some(Change::Limited(3.0)),
            limit: Some(3.0),
        },
    ];
    for case in cases {
        let at = |millis: u64| Instant::from_micros(millis * 1_000);
        let mut stated = Stated::default();
        let first = stated.record(at(1_000), at(900), limit(2.0));
        assert_eq!(first, [Change::Limited(2.0)]);
        let change = stated.record(at(case.at), at(case.sent), case.second);
        let expected: Vec<Change> = case.change.into_iter().collect();
        assert_eq!(change, expected, "{}", case.name);
        assert_eq!(stated.limit(), case.limit, "{}", case.name);
    }
}

// Guards against VMs that each keep a limit and together exceed it, and against one that never uses
// the target again.
#[test]
fn a_vm_that_is_no_user_sends_nothing_to_a_target_with_a_limit() {
    let mut stated = Stated::default();
    assert!(stated.allowance(START, 0).is_infinite());
    stated.record(START, START, limit(100.0));
    let later = START + Span::from_millis(10_000);
    assert!(stated.allowance(later, 1) >= 1.0);
    assert!(stated.allowance(later, 0) < 1.0);
    let forgotten = START + Span::from_millis(60_000);
    assert!(stated.allowance(forgotten, 0).is_infinite());
    assert!(stated.allowance(forgotten, 1).is_finite());
}

/// Load of an idle target.
const IDLE: Report = Report {
    running: 0,
    queued: 0,
    slowdown_percent: Some(100),
};

fn probe(action: &Action) -> Option<target::Key> {
    match action {
        Action::Probe { target } => Some(*target),
        _ => None,
    }
}

/// A service with two targets.
struct Service {
    placer: Placer,
    targets: Vec<target::Key>,
    rng: SmallRng,
    calls: u64,
}

impl Service {
    fn new() -> Self {
        let place = Place {
            region: "r".into(),
            data_center: "c".into(),
        };
        let mut service = Self {
            placer: Placer::new(place, Limits { queue: 256 }),
            targets: Vec::new(),
            rng: SmallRng::seed_from_u64(1),
            calls: 0,
        };
        service.set_targets([0, 0]);
        service
    }

    /// Replaces the targets by ones with these incarnations.
    fn set_targets(&mut self, incarnations: [u64; 2]) {
        let specs: Vec<entry::Target> = (1_000..).zip(incarnations).map(spec).collect();
        self.placer.update(START, &specs, |_| None);
        let find = |spec: &entry::Target| self.placer.targets().find(&spec.name).expect("a target");
        self.targets = specs.iter().map(find).collect();
        for target in &self.targets {
            self.placer.set_standing(*target, Standing::Open);
        }
    }

    fn state(&mut self, target: usize, per_s: f64) {
        let target = self.targets[target];
        self.placer
            .record_statement(START, target, START, limit(per_s));
    }

    /// Lets a call arrive and end at once. Returns what becomes of it: the target that got it, or why
    /// it was refused; none if it waits.
    fn call(&mut self, now: Instant) -> Option<Result<usize, Refusal>> {
        self.calls += 1;
        let call = Call(self.calls);
        let job = Job {
            call,
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
        };
        let mut out = Vec::new();
        self.placer.arrive(now, job, &mut self.rng, &mut out);
        let probed: Vec<target::Key> = out.iter().filter_map(probe).collect();
        for target in probed {
            let (placer, rng) = (&mut self.placer, &mut self.rng);
            placer.record_probe(now, target, Some(IDLE), rng, &mut out);
        }
        let result = out.iter().find_map(|action| match action {
            Action::Assign { target, .. } => Some(Ok(*target)),
            Action::Refuse { reason, .. } => Some(Err(*reason)),
            _ => None,
        });
        if let Some(Ok(target)) = result {
            let ending = Ending::Answered {
                latency: Span::from_millis(50),
                failed: false,
            };
            let (placer, rng) = (&mut self.placer, &mut self.rng);
            placer.finish(now, call, target, ending, rng, &mut Vec::new());
        }
        let position = |key| self.targets.iter().position(|target| *target == key);
        result.map(|result| result.map(|key| position(key).expect("a target")))
    }
}

fn spec((port, incarnation): (u16, u64)) -> entry::Target {
    entry::Target {
        name: format!("t{port}").into(),
        address: ([10, 0, 0, 1], port).into(),
        vm: format!("v{port}").into(),
        region: "r".into(),
        data_center: "c".into(),
        slots: 4,
        incarnation,
    }
}

// Guards against calls that a limited target gets while another one has room, and against calls that
// wait for a target which gets none in time.
#[test]
fn calls_go_to_other_targets_or_are_refused_at_once() {
    let now = START + Span::from_millis(100);
    let mut service = Service::new();
    service.state(0, 0.5);
    for _ in 0..20 {
        assert_eq!(service.call(now), Some(Ok(1)));
    }
    service.state(1, 0.5);
    assert_eq!(service.call(now), Some(Err(Refusal::Overloaded)));
    let wait = service.placer.expected_wait(now);
    assert!(
        wait >= Span::from_millis(900) && wait <= Span::from_millis(1_100),
        "{wait:?}"
    );
    // After two seconds each of them takes one call, and no more.
    let later = now + Span::from_millis(2_000);
    assert!(matches!(service.call(later), Some(Ok(_))));
    assert!(matches!(service.call(later), Some(Ok(_))));
    assert_eq!(service.call(later), Some(Err(Refusal::Overloaded)));
}

// Guards against a VM that sends to the limited targets of another one.
#[test]
fn limited_targets_of_other_vms_get_no_calls() {
    let now = START + Span::from_millis(10_000);
    let mut service = Service::new();
    service.state(0, 100.0);
    service.state(1, 100.0);
    service
        .placer
        .set_users([("t1001".into(), 1)].into_iter().collect());
    assert_eq!(service.call(now), Some(Ok(1)));
    service.placer.set_users([].into_iter().collect());
    assert_eq!(service.call(now), Some(Err(Refusal::Overloaded)));
}

// Guards against a limit that a target inherits from an earlier one under its name and address.
#[test]
fn a_new_incarnation_begins_with_nothing_stated() {
    let now = START + Span::from_millis(100);
    let mut service = Service::new();
    service.state(0, 0.0);
    service.state(1, 0.0);
    assert_eq!(service.call(now), Some(Err(Refusal::Overloaded)));
    service.set_targets([0, 1]);
    for _ in 0..20 {
        assert_eq!(service.call(now), Some(Ok(1)));
    }
}

/// A statement that the target leaves.
fn leaving() -> Statement {
    Statement {
        leaving: Some(Ok(true)),
        ..Statement::default()
    }
}

/// A statement that the target wants nothing for `seconds`.
fn wait(seconds: f64) -> Statement {
    Statement {
        wait: Some(Ok(seconds)),
        ..Statement::default()
    }
}

// Guards against a wait that a shorter one cuts, that ends early, or that does not end.
#[test]
fn the_longest_wait_holds_until_it_ends() {
    let mut stated = Stated::default();
    let second = |seconds: u64| START + Span::from_millis(1_000 * seconds);
    assert_eq!(
        stated.record(START, START, wait(5.0)),
        [Change::Waiting(Span::from_millis(5_000))]
    );
    assert_eq!(stated.record(second(1), second(1), wait(2.0)), []);
    assert_eq!(
        stated.record(second(1), second(1), Statement::default()),
        []
    );
    assert!(stated.allowance(second(4), 1) < 1.0);
    assert!(stated.allowance(second(5), 1).is_infinite());
    stated.record(second(4), second(4), wait(10.0));
    assert!(stated.allowance(second(13), 1) < 1.0);
    assert!(stated.allowance(second(14), 1).is_infinite());
}

// Guards against calls for a target that leaves or asks for a wait, and against callers who wait for
// such targets or are told a wrong time.
#[test]
fn targets_that_leave_or_wait_get_no_calls() {
    let mut service = Service::new();
    let record = |service: &mut Service, target: usize, statement| {
        let target = service.targets[target];
        service
            .placer
            .record_statement(START, target, START, statement);
    };
    record(&mut service, 0, leaving());
    record(&mut service, 0, Statement::default());
    for _ in 0..20 {
        assert_eq!(service.call(START), Some(Ok(1)));
    }
    assert!(service.placer.is_closed(START, service.targets[0]));
    record(&mut service, 1, wait(3.0));
    assert_eq!(service.call(START), Some(Err(Refusal::Overloaded)));
    assert_eq!(
        service.placer.expected_wait(START),
        Span::from_millis(3_000)
    );
    let later = START + Span::from_millis(3_000);
    assert_eq!(service.call(later), Some(Ok(1)));
    record(&mut service, 1, leaving());
    assert_eq!(service.call(later), Some(Err(Refusal::Overloaded)));
    service.set_targets([1, 0]);
    assert_eq!(service.call(later), Some(Ok(0)));
}
