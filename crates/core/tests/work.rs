//! Guards against an expected work that drifts from the time that calls take. With one that is too
//! small, calls wait until their callers leave; with one that is too large, calls that could be
//! served are refused.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TARGETS: u64 = 6;
const WORK_MS: u64 = 200;
const OBJECTIVE_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 8_000;

struct Case {
    name: &'static str,
    /// Percentages of the mean work that successive calls take.
    spread: &'static [u64],
    /// Answers, and how many times longer all targets take for them.
    phases: &'static [(u64, u64)],
}

const EQUAL: Case = Case {
    name: "equal calls",
    spread: &[100],
    phases: &[(200, 1)],
};

const CASES: &[Case] = &[
    Case {
        name: "calls that differ in work",
        spread: &[20, 60, 20, 300],
        phases: &[(2_000, 1)],
    },
    Case {
        name: "all targets slow for a while",
        spread: &[100],
        phases: &[(200, 1), (200, 6), (200, 1)],
    },
    Case {
        name: "all targets slow several times, calls that differ in work",
        spread: &[20, 60, 20, 300],
        phases: &[(400, 1), (200, 4), (400, 1), (200, 4), (400, 1)],
    },
];

struct Run {
    placer: Placer,
    now: Instant,
    rng: SmallRng,
    calls: u64,
}

impl Run {
    fn new() -> Self {
        let place = Place {
            region: "r".into(),
            data_center: "c".into(),
        };
        let mut placer = Placer::new(place, Limits { queue: 256 });
        let specs: Vec<entry::Target> = (0..TARGETS).map(spec).collect();
        placer.update(Instant::default(), &specs, |_| None);
        for spec in &specs {
            let key = placer.targets().find(&spec.name).expect("the target");
            placer.set_standing(key, Standing::Open);
        }
        Self {
            placer,
            now: Instant::default(),
            rng: SmallRng::seed_from_u64(1),
            calls: 0,
        }
    }

    /// Sends a call, and answers the probes for it.
    fn arrive(&mut self) -> Vec<Action> {
        self.calls += 1;
        let job = Job {
            call: Call(self.calls),
            class: Class::Once,
            arrived: self.now,
            deadline: self.now + Span::from_millis(DEADLINE_MS),
            objective: Span::from_millis(OBJECTIVE_MS),
            urgency: 1,
            avoid: None,
            entry: 1,
            hedge_percent: 0,
            bytes: None,
            regions: Scope::ANY,
        };
        let mut out = Vec::new();
        self.placer.arrive(self.now, job, &mut self.rng, &mut out);
        self.answer_probes(out)
    }

    fn tick(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        self.placer.tick(self.now, &mut self.rng, &mut out);
        self.answer_probes(out)
    }

    fn answer_probes(&mut self, mut out: Vec<Action>) -> Vec<Action> {
        for action in out.clone() {
            if let Action::Probe { target } = action {
                let in_flight = self
                    .placer
                    .targets()
                    .get(target)
                    .expect("the target")
                    .in_flight;
                let report = Report {
                    running: in_flight,
                    queued: 0,
                    slowdown_percent: None,
                };
                self.placer
                    .record_probe(self.now, target, Some(report), &mut self.rng, &mut out);
            }
        }
        out
    }

    /// Sends a call that is answered after `taken`.
    fn answer(&mut self, taken: Span) {
        let out = self.arrive();
        let sent = out.iter().find_map(|action| match action {
            Action::Assign { call, target, .. } => Some((*call, *target)),
            _ => None,
        });
        let (call, target) = sent.expect("an idle target gets the call");
        self.now = self.now + taken;
        let ending = Ending::Answered {
            latency: taken,
            failed: false,
        };
        self.placer.finish(
            self.now,
            call,
            target,
            ending,
            &mut self.rng,
            &mut Vec::new(),
        );
    }

    /// Milliseconds after which a call is refused while no target has room.
    fn wait_in_vain(&mut self) -> u64 {
        for _ in 0..TARGETS {
            self.arrive();
        }
        self.arrive();
        let refused = Call(self.calls);
        let is_refused =
            |action: &Action| matches!(action, Action::Refuse { call, .. } if *call == refused);
        let start = self.now;
        while !self.tick().iter().any(is_refused) {
            self.now = self.now + Span::from_millis(10);
        }
        self.now.since(start).as_micros() / 1_000
    }
}

fn spec(index: u64) -> entry::Target {
    entry::Target {
        name: format!("t{index}").into(),
        address: ([10, 0, 0, 1], 1_000 + u16::try_from(index).unwrap()).into(),
        vm: format!("v{index}").into(),
        region: "r".into(),
        data_center: "c".into(),
        slots: 1,
        incarnation: 0,
    }
}

impl Case {
    /// Milliseconds left of the objective when a call that gets no target is refused, which are in
    /// proportion to the expected work.
    fn left_at_refusal(&self) -> u64 {
        let mut run = Run::new();
        for (answers, slowdown) in self.phases {
            let spread = self.spread.iter().cycle();
            for (_, percent) in (0..*answers).zip(spread) {
                run.answer(Span::from_millis(WORK_MS * slowdown * percent / 100));
            }
        }
        OBJECTIVE_MS.saturating_sub(run.wait_in_vain())
    }
}

/// The expected work stays within a factor of 1.5 of that after equal calls on usual targets.
#[test]
fn expected_work_follows_the_time_that_calls_take() {
    let usual = EQUAL.left_at_refusal();
    assert!(usual >= WORK_MS - 10, "refused with {usual} ms left");
    let mut faults = Vec::new();
    for case in CASES {
        let left = case.left_at_refusal();
        println!(
            "{}: refused with {left} ms left, usually {usual}",
            case.name
        );
        if left * 3 < usual * 2 || left * 2 > usual * 3 {
            faults.push(case.name);
        }
    }
    assert!(faults.is_empty(), "{faults:?}");
}
