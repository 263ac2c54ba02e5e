//! Guards against faults in single decisions of placement that the simulated loads do not show.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::place::spill::Prices;
use oriolecleat_core::place::spill::Terms;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const OBJECTIVE: Span = Span::from_millis(200);
const DEADLINE: Span = Span::from_millis(800);

/// A service with one target in each of `regions`; the VM is in region `r`.
struct Bench {
    placer: Placer,
    targets: Vec<target::Key>,
    rng: SmallRng,
    /// Targets that were probed for the last call.
    probes: Vec<usize>,
}

impl Bench {
    fn new(regions: &[&str]) -> Self {
        let place = Place {
            region: "r".into(),
            data_center: "c".into(),
        };
        let mut placer = Placer::new(place, Limits { queue: 256 });
        let specs: Vec<entry::Target> = (1_000..).zip(regions).map(spec).collect();
        placer.update(Instant::default(), &specs, |_| None);
        let find = |spec: &entry::Target| placer.targets().find(&spec.name).expect("the target");
        let targets: Vec<target::Key> = specs.iter().map(find).collect();
        for target in &targets {
            placer.set_standing(*target, Standing::Open);
        }
        let rng = SmallRng::seed_from_u64(1);
        Self {
            placer,
            targets,
            rng,
            probes: Vec::new(),
        }
    }

    fn report(&mut self, now: Instant, target: usize, running: u64, slowdown_percent: u64) {
        let report = Report {
            running,
            queued: 0,
            slowdown_percent: Some(slowdown_percent),
        };
        self.placer.record_report(now, self.targets[target], report);
    }

    /// Lets a call arrive. Returns the target that it is sent to at once.
    fn send(&mut self, now: Instant, class: Class, urgency: u8) -> Option<usize> {
        let job = Job {
            call: Call(1),
            class,
            arrived: now,
            deadline: now + DEADLINE,
            objective: OBJECTIVE,
            urgency,
            avoid: None,
            entry: 1,
            hedge_percent: 0,
            bytes: None,
            regions: Scope::ANY,
        };
        let mut out = Vec::new();
        self.placer.arrive(now, job, &mut self.rng, &mut out);
        self.probes = targets(&self.targets, &out, |action| match action {
            Action::Probe { target } => Some(*target),
            _ => None,
        });
        self.assigned(&out)
    }

    /// Ends the call with an answer after `latency`.
    fn answer(&mut self, now: Instant, target: usize, latency: Span) {
        let ending = Ending::Answered {
            latency,
            failed: false,
        };
        let (placer, rng, target) = (&mut self.placer, &mut self.rng, self.targets[target]);
        placer.finish(now, Call(1), target, ending, rng, &mut Vec::new());
    }

    /// Answers a pending probe of an idle target. Returns the target that a call is sent to then.
    fn answer_probe(&mut self, now: Instant, target: usize) -> Option<usize> {
        assert!(self.probes.contains(&target), "no probe was sent");
        let report = Report {
            running: 0,
            queued: 0,
            slowdown_percent: Some(100),
        };
        let mut out = Vec::new();
        let (placer, rng) = (&mut self.placer, &mut self.rng);
        placer.record_probe(now, self.targets[target], Some(report), rng, &mut out);
        self.assigned(&out)
    }

    fn assigned(&self, out: &[Action]) -> Option<usize> {
        let sent = targets(&self.targets, out, |action| match action {
            Action::Assign { target, .. } => Some(*target),
            _ => None,
        });
        sent.first().copied()
    }
}

/// Positions of the targets that `found` returns for the actions of `out`.
fn targets(
    known: &[target::Key],
    out: &[Action],
    found: impl Fn(&Action) -> Option<target::Key>,
) -> Vec<usize> {
    let keys = out.iter().filter_map(found);
    keys.filter_map(|key| known.iter().position(|target| *target == key))
        .collect()
}

fn spec((port, region): (u16, &&str)) -> entry::Target {
    entry::Target {
        name: format!("t{port}").into(),
        address: ([10, 0, 0, 1], port).into(),
        vm: format!("v{port}").into(),
        region: (*region).into(),
        data_center: format!("c-{region}").into(),
        slots: 4,
        incarnation: 0,
    }
}

struct Case {
    name: &'static str,
    urgency: u8,
    /// How long work takes at the near target, as a percentage of the usual.
    slowdown_percent: u64,
    goes_far: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "the most urgent call leaves a slow region",
        urgency: 0,
        slowdown_percent: 300,
        goes_far: true,
    },
    Case {
        name: "so does a call of the next urgency",
        urgency: 1,
        slowdown_percent: 300,
        goes_far: true,
    },
    Case {
        name: "a call that is worth less than the bytes to the other region stays",
        urgency: 2,
        slowdown_percent: 300,
        goes_far: false,
    },
    Case {
        name: "no call leaves a region that works as usual",
        urgency: 0,
        slowdown_percent: 100,
        goes_far: false,
    },
];

#[test]
fn urgent_calls_leave_a_slow_region() {
    for case in CASES {
        let mut bench = Bench::new(&["r", "far"]);
        // A call of 4 kB costs 0.7 of a plain answer there, and 0.07 of an urgent one.
        let prices = Prices {
            region_gb: 175_000_000,
            worths: vec![(0, 10_000), (1, 10_000)],
            ..Prices::default()
        };
        bench.placer.set_spill(Terms {
            prices,
            ..Terms::default()
        });
        let now = Instant::from_micros(1_000_000);
        bench.report(now, 0, 0, case.slowdown_percent);
        bench.report(now, 1, 0, 100);
        let sent = bench.send(now, Class::Once, case.urgency);
        assert_eq!(sent, Some(usize::from(case.goes_far)), "{}", case.name);
    }
}

/// Guards against a VM that wakes many times a second while its calls are in flight.
#[test]
fn a_vm_wakes_for_a_call_when_a_copy_may_be_due() {
    let cases = [
        (Class::Once, None),
        (Class::Interactive, Some(Span::from_millis(100))),
    ];
    for (class, least) in cases {
        let mut bench = Bench::new(&["r", "r"]);
        let now = Instant::from_micros(1_000_000);
        bench.report(now, 0, 0, 100);
        bench.report(now, 1, 0, 100);
        assert_eq!(bench.placer.next_tick(now), None, "nothing runs");
        assert!(bench.send(now, class, 0).is_some());
        // The work of a new entry is taken for a third of the objective.
        let next = bench.placer.next_tick(now).map(|next| next.since(now));
        assert_eq!(next.is_some(), least.is_some(), "{class:?}");
        assert!(next >= least, "{class:?}: {next:?}");
        let due = now + Span::from_millis(150);
        let next = bench.placer.next_tick(due).map(|next| next.since(due));
        assert_eq!(next.is_some(), least.is_some(), "{class:?}");
        assert!(
            next <= Some(Span::from_millis(10)),
            "the next tick looks for a copy"
        );
    }
}

/// Guards against a service whose calls are refused for good after a burst: no call is sent while
/// every target counts as full, so without a probe no report tells that a target has room.
#[test]
fn a_burst_that_is_long_over_refuses_no_call() {
    let mut bench = Bench::new(&["r", "r"]);
    let now = Instant::from_micros(1_000_000);
    bench.report(now, 0, 0, 100);
    bench.report(now, 1, 0, 100);
    let sent = bench.send(now, Class::Once, 0).expect("an idle target");
    bench.answer(now + Span::from_millis(10), sent, Span::from_millis(10));
    for _ in 0..50 {
        bench.report(now, 0, 12, 100);
        bench.report(now, 1, 12, 100);
    }
    let later = now + Span::from_millis(60_000);
    assert_eq!(bench.send(later, Class::Once, 0), None, "both may be full");
    let sent = bench.answer_probe(later + Span::from_millis(1), 0);
    assert_eq!(sent, Some(0), "the probe found it idle");
}
