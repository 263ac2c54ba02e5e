//! Property P1 at the balancer: guards against measuring traffic (probes, load reports, refusals)
//! that exceeds its budget because reserved bytes are spent late, when the budget was refilled.

mod seeded;

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Balancer;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::balance::Limits;
use oriolecleat_core::balance::PROBE_BYTES;
use oriolecleat_core::balance::REPORT_BYTES;
use oriolecleat_core::budget::Total;
use oriolecleat_core::entry::Class;
use oriolecleat_core::entry::Target;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use proptest::arbitrary::any;
use proptest::collection;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REQUEST_BYTES: u64 = 300;
const REFUSED_BYTES: u64 = 500;

const RATE: u64 = 2_000;
const BURST: u64 = 6_000;

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Arrive(u64),
    /// Ends this many of the oldest attempts, as shed or as answered.
    End(usize, bool),
    Unconfirm,
    Probed,
}

struct Harness {
    balancer: Balancer,
    rng: SmallRng,
    now: u64,
    calls: u64,
    running: Vec<(Call, target::Key, Span, bool)>,
    probes: Vec<target::Key>,
    wire: Vec<(u64, u64)>,
}

impl Harness {
    fn new() -> Self {
        let limits = Limits {
            queue: 1_000,
            measuring: Total {
                bytes_per_s: RATE,
                burst_bytes: BURST,
                vm_ceiling: 1,
            },
            remote: Total {
                bytes_per_s: 0,
                burst_bytes: 0,
                vm_ceiling: 1,
            },
            exchange_bytes: 0,
        };
        let mut balancer = Balancer::new(Instant::default(), Place::default(), limits);
        let target = |port: u16| Target {
            name: port.to_string().into(),
            address: ([127, 0, 0, 1], port).into(),
            vm: "vm".into(),
            region: "".into(),
            data_center: "".into(),
            slots: 64,
            incarnation: 0,
        };
        let targets: Vec<Target> = (1..4).map(target).collect();
        balancer.update(Instant::default(), &targets);
        Self {
            balancer,
            rng: SmallRng::seed_from_u64(1),
            now: 0,
            calls: 0,
            running: Vec::new(),
            probes: Vec::new(),
            wire: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        let mut out = Vec::new();
        match *step {
            Step::Pass(millis) => self.now += millis * 1_000,
            Step::Arrive(count) => (0..count).for_each(|_| self.arrive(&mut out)),
            Step::End(count, shed) => {
                let count = count.min(self.running.len());
                for attempt in self.running.drain(..count).collect::<Vec<_>>() {
                    self.end(attempt, shed, &mut out);
                }
            }
            Step::Unconfirm => {
                let keys: Vec<_> = self.balancer.targets().iter().map(|(key, _)| key).collect();
                for key in keys {
                    self.balancer.set_standing(key, Standing::Unconfirmed);
                }
            }
            Step::Probed => {
                for key in std::mem::take(&mut self.probes) {
                    self.record_bytes(PROBE_BYTES);
                    self.balancer.record_probe(key, true);
                }
            }
        }
        let now = Instant::from_micros(self.now);
        self.balancer.tick(now, &mut self.rng, &mut out);
        for action in out {
            match action {
                Action::Assign {
                    call,
                    target,
                    queue,
                    report,
                } => self.running.push((call, target, queue, report)),
                Action::Probe { target } if self.probes.contains(&target) => {
                    // The probe before it has timed out.
                    self.record_bytes(PROBE_BYTES);
                }
                Action::Probe { target } => self.probes.push(target),
                Action::Hedge { .. } | Action::Cancel { .. } | Action::Refuse { .. } => {}
            }
        }
    }

    fn arrive(&mut self, out: &mut Vec<Action>) {
        self.calls += 1;
        let job = Job {
            call: Call(self.calls),
            class: Class::Interactive,
            deadline: Instant::from_micros(self.now + 600_000_000),
            arrived: Instant::from_micros(self.now),
            objective: Span::ZERO,
            urgency: 0,
            avoid: None,
            entry: 0,
            hedge_percent: 0,
            bytes: Some(REQUEST_BYTES),
            regions: Scope::ANY,
        };
        let now = Instant::from_micros(self.now);
        self.balancer.arrive(now, job, &mut self.rng, out);
    }

    /// Ends an attempt. A target that follows the protocol sheds only if it was sent a longest
    /// wait.
    fn end(
        &mut self,
        (call, target, queue, report): (Call, target::Key, Span, bool),
        shed: bool,
        out: &mut Vec<Action>,
    ) {
        let may_shed = queue < Span::from_millis(100_000);
        let ending = if shed && may_shed {
            self.record_bytes(REFUSED_BYTES);
            Ending::Shed {
                bytes: REFUSED_BYTES,
            }
        } else {
            if report {
                self.record_bytes(REPORT_BYTES);
            }
            Ending::Answered {
                latency: Span::from_millis(10),
                failed: false,
            }
        };
        let now = Instant::from_micros(self.now);
        self.balancer
            .finish(now, call, target, ending, &mut self.rng, out);
    }

    fn record_bytes(&mut self, bytes: u64) {
        self.wire.push((self.now, bytes));
        let mut sum = 0;
        for (start, bytes) in self.wire.iter().rev() {
            sum += bytes * 1_000_000;
            let allowed = RATE * (self.now - start) + BURST * 1_000_000;
            assert!(sum <= allowed, "{sum} > {allowed} since {start}");
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..4_000_u64).prop_map(Step::Pass),
        4 => (1..20_u64).prop_map(Step::Arrive),
        3 => (1..20_usize, any::<bool>()).prop_map(|(count, shed)| Step::End(count, shed)),
        1 => Just(Step::Unconfirm),
        2 => Just(Step::Probed),
    ];
    collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(seeded::config(1, 256))]

    #[test]
    fn a_balancer_stays_within_its_share(steps in steps()) {
        let mut harness = Harness::new();
        for step in &steps {
            harness.step(step);
        }
    }
}

/// Guards against a target that refuses each probe at once, and so uses up the budget for the
/// probes of all others.
#[test]
fn a_dead_target_leaves_budget_for_the_probes_of_others() {
    let mut harness = Harness::new();
    let keys: Vec<_> = harness
        .balancer
        .targets()
        .iter()
        .map(|(key, _)| key)
        .collect();
    for key in &keys {
        harness.balancer.set_standing(*key, Standing::Unconfirmed);
    }
    harness.step(&Step::Arrive(1));
    let mut probed = Vec::new();
    for _ in 0..200 {
        harness.step(&Step::Pass(20));
        for key in std::mem::take(&mut harness.probes) {
            probed.push(key);
            harness.balancer.record_probe(key, false);
        }
    }
    for key in keys {
        let count = probed.iter().filter(|other| **other == key).count();
        assert!((1..=6).contains(&count), "probed {count} times in 4 s");
    }
}
