//! Spillover of one VM, and of many that see the same reports.

use oriolecleat_core::balance::Action;
use oriolecleat_core::balance::Call;
use oriolecleat_core::balance::Ending;
use oriolecleat_core::balance::Job;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Class;
use oriolecleat_core::estimate::Report;
use oriolecleat_core::map::Map;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::place::spill::Prices;
use oriolecleat_core::place::spill::Reason;
use oriolecleat_core::place::spill::Scope;
use oriolecleat_core::place::spill::Terms;
use oriolecleat_core::place::spill::Way;
use oriolecleat_core::site::region;
use oriolecleat_core::target;
use oriolecleat_core::target::Place;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u64 = 4;
const OBJECTIVE: Span = Span::from_millis(400);
const DEADLINE: Span = Span::from_millis(1_500);

fn at(millis: u64) -> Instant {
    Instant::from_micros(10_000_000 + millis * 1_000)
}

/// A VM beside one local target and some in another region.
struct Vm {
    placer: Placer,
    /// The local target first.
    targets: Vec<target::Key>,
    rng: SmallRng,
}

impl Vm {
    fn new(remote: u16, seed: u64) -> Self {
        let place = Place {
            region: "r".into(),
            data_center: "c".into(),
        };
        let mut placer = Placer::new(place, Limits { queue: 256 });
        let spec = |index: u16| entry::Target {
            name: format!("t{index}").into(),
            address: ([10, 0, 0, 1], 1_000 + index).into(),
            vm: format!("v{index}").into(),
            region: if index == 0 { "r" } else { "far" }.into(),
            data_center: if index == 0 { "c" } else { "far-1" }.into(),
            slots: SLOTS,
            incarnation: 0,
        };
        let specs: Vec<entry::Target> = (0..=remote).map(spec).collect();
        placer.update(at(0), &specs, |_| None);
        let find = |spec: &entry::Target| placer.targets().find(&spec.name).expect("the target");
        let targets: Vec<target::Key> = specs.iter().map(find).collect();
        for target in &targets {
            placer.set_standing(*target, Standing::Open);
        }
        placer.set_own_targets(Some(["t0".into()].into_iter().collect()));
        Self {
            placer,
            targets,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn set_terms(&mut self, way: Way, prices: Prices) {
        self.placer.set_spill(Terms { way, prices });
    }

    fn report(&mut self, now: Instant, target: usize, running: u64) {
        let report = Report {
            running,
            queued: 0,
            slowdown_percent: Some(100),
        };
        self.placer.record_report(now, self.targets[target], report);
    }

    /// Reports a full local target and `running` requests at each other one.
    fn report_all(&mut self, now: Instant, running: u64) {
        self.report(now, 0, SLOTS);
        for target in 1..self.targets.len() {
            self.report(now, target, running);
        }
    }

    fn arrive(&mut self, now: Instant, call: u64, entry: u32, urgency: u8) -> Vec<Action> {
        let job = Job {
            call: Call(call),
            class: Class::Once,
            arrived: now,
            deadline: now + DEADLINE,
            objective: OBJECTIVE,
            urgency,
            avoid: None,
            entry,
            hedge_percent: 0,
            regions: region::Scope::ANY,
            bytes: None,
        };
        let mut out = Vec::new();
        self.placer.arrive(now, job, &mut self.rng, &mut out);
        out
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut out = Vec::new();
        self.placer.tick(now, &mut self.rng, &mut out);
        out
    }

    /// Calls of `out` that left, in their order.
    fn left(&self, out: &[Action]) -> Vec<u64> {
        let left = out.iter().filter_map(|action| match action {
            Action::Assign { call, target, .. } if *target != self.targets[0] => Some(call.0),
            _ => None,
        });
        left.collect()
    }
}

/// Guards against bytes that are sent although the answer is worth less, and against calls that are
/// kept beside a full target although the answer is worth more.
#[test]
fn a_call_leaves_if_its_answer_is_worth_its_bytes() {
    struct Case {
        region_gb: u64,
        worths: &'static [(u8, u64)],
        bytes: u64,
        leaves: bool,
    }
    // 100 kB at 20,000 worths a gigabyte cost two answers, 10 kB a fifth of one.
    let dear = 20_000_000;
    #[rustfmt::skip]
    let cases = [
        Case { region_gb: 32_000, worths: &[], bytes: 100_000, leaves: true },
        Case { region_gb: dear, worths: &[], bytes: 100_000, leaves: false },
        Case { region_gb: dear, worths: &[], bytes: 10_000, leaves: true },
        Case { region_gb: dear, worths: &[(1, 5_000)], bytes: 100_000, leaves: true },
        Case { region_gb: dear, worths: &[(0, 5_000)], bytes: 100_000, leaves: false },
        Case { region_gb: 0, worths: &[], bytes: 1_000_000_000, leaves: true },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut vm = Vm::new(2, 1);
        let prices = Prices {
            region_gb: case.region_gb,
            worths: case.worths.to_vec(),
            ..Prices::default()
        };
        vm.set_terms(Way::Shares, prices);
        // A first call at the local target tells the bytes of the entry.
        vm.report(at(0), 0, 0);
        vm.arrive(at(0), 1, 7, 1);
        let local = vm.targets[0];
        vm.placer.record_bytes(Call(1), local, case.bytes);
        let ending = Ending::Answered {
            latency: Span::from_millis(50),
            failed: false,
        };
        let out = &mut Vec::new();
        vm.placer
            .finish(at(50), Call(1), local, ending, &mut vm.rng, out);
        vm.report_all(at(60), 0);
        let out = vm.arrive(at(60), 2, 7, 1);
        assert_eq!(!vm.left(&out).is_empty(), case.leaves, "case {index}");
    }
}

/// Guards against many VMs that fill the same free slots at the same moment: load of 60 VMs beside
/// full local targets, with three free slots of nine in the other region.
#[test]
fn many_vms_send_no_more_than_is_free() {
    let sent = |way: Way| {
        let mut sent = 0;
        for seed in 0..60 {
            let mut vm = Vm::new(3, seed);
            vm.set_terms(way, Prices::default());
            vm.placer
                .set_vms([("c".into(), 60)].into_iter().collect::<Map<_, _>>());
            // The mean load of all targets is learned from several reports.
            for _ in 0..40 {
                vm.report_all(at(0), 2);
            }
            for call in 0..3 {
                let out = vm.arrive(at(0), call, 1, 1);
                sent += vm.left(&out).len();
            }
            let out = vm.tick(at(10));
            sent += vm.left(&out).len();
        }
        sent
    };
    let (unbounded, bounded) = (sent(Way::Unbounded), sent(Way::Shares));
    assert!(unbounded >= 60, "{unbounded} without a bound");
    assert!((1..=3).contains(&bounded), "{bounded} with shares");
}

/// Guards against calls that wait beside a full local target while another data centre has room, and
/// against calls whose bytes cost more than their answers, as the VM decides without further terms.
#[test]
fn calls_leave_a_full_data_center_at_once_if_they_are_worth_their_bytes() {
    for (region_gb, leave) in [(Prices::default().region_gb, 3), (1_000_000_000, 0)] {
        let mut vm = Vm::new(4, 1);
        let way = Terms::default().way;
        let prices = Prices {
            region_gb,
            ..Prices::default()
        };
        vm.set_terms(way, prices);
        let vms = [("c".into(), 120)].into_iter().collect::<Map<_, _>>();
        vm.placer.set_vms(vms);
        vm.report_all(at(0), 2);
        let mut left = 0;
        for call in 0..3 {
            let out = vm.arrive(at(1), call, 1, 1);
            left += vm.left(&out).len();
        }
        assert_eq!(left, leave, "{region_gb}");
    }
}

/// Guards against more than a trial a second where no report tells the load while a local target
/// has room but is slow, and against a trial that is never renewed.
#[test]
fn without_reports_only_trials_leave() {
    let mut vm = Vm::new(4, 1);
    vm.set_terms(Way::Shares, Prices::default());
    let slow = |vm: &mut Vm, millis| {
        let report = Report {
            running: 0,
            queued: 0,
            slowdown_percent: Some(4_000),
        };
        vm.placer.record_report(at(millis), vm.targets[0], report);
    };
    let mut left = Vec::new();
    for (millis, expected) in [(0, 1), (500, 1), (990, 1), (1_020, 2)] {
        slow(&mut vm, millis);
        let mut out = vm.arrive(at(millis), millis, 1, 1);
        // The call waits for answers to probes, which are not given.
        out.extend(vm.tick(at(millis + 10)));
        left.extend(vm.left(&out));
        assert_eq!(left.len(), expected, "at {millis}: {left:?}");
    }
}

/// Guards against calls that are kept until the next trial although no local target may get them,
/// and against more than a call at a time where no report tells the load.
#[test]
fn calls_without_a_local_target_do_not_wait_for_the_next_trial() {
    for lost in [false, true] {
        let mut vm = Vm::new(4, 1);
        vm.set_terms(Way::Shares, Prices::default());
        if lost {
            vm.placer.set_standing(vm.targets[0], Standing::Leaving);
        }
        let mut left = 0;
        for (millis, expected) in [(0, 1), (30, 1), (60, 2), (120, 3)] {
            vm.report(at(millis), 0, SLOTS);
            let mut out = vm.arrive(at(millis), millis, 1, 1);
            out.extend(vm.tick(at(millis + 10)));
            left += vm.left(&out).len();
            assert_eq!(left, expected, "at {millis}, lost: {lost}");
        }
    }
}

/// Guards against a call that waits until its caller leaves since the share of one VM of 120 accrues
/// slowly, and against one that is sent where all slots are in use.
#[test]
fn a_call_without_a_local_target_leaves_within_a_fifth_of_a_second() {
    for (running, leaves) in [(2, true), (SLOTS, false)] {
        for seed in 0..8 {
            let mut vm = Vm::new(3, seed);
            vm.set_terms(Way::Shares, Prices::default());
            let vms = [("c".into(), 120)].into_iter().collect::<Map<_, _>>();
            vm.placer.set_vms(vms);
            let mut out = Vec::new();
            for millis in (0..220).step_by(10) {
                vm.report_all(at(millis), running);
                if millis == 0 {
                    out.extend(vm.arrive(at(0), 1, 1, 1));
                }
                out.extend(vm.tick(at(millis)));
            }
            assert_eq!(!vm.left(&out).is_empty(), leaves, "{running}, seed {seed}");
        }
    }
}

/// Guards against a long answer that leaves while a short one of the same urgency waits: two calls
/// wait and one may leave.
#[test]
fn the_call_that_gains_most_for_its_bytes_leaves_first() {
    for (first, second) in [(1, 2), (2, 1)] {
        let mut vm = Vm::new(1, 1);
        vm.placer
            .set_vms([("c".into(), 4)].into_iter().collect::<Map<_, _>>());
        for (entry, bytes) in [(1, 500_000), (2, 1_000)] {
            vm.report(at(0), 0, 0);
            let call = u64::from(entry);
            vm.arrive(at(0), call, entry, 1);
            vm.placer.record_bytes(Call(call), vm.targets[0], bytes);
            vm.placer.withdraw(Call(call), &mut Vec::new());
        }
        vm.report_all(at(10), 3);
        vm.arrive(at(10), 11, first, 1);
        vm.arrive(at(11), 12, second, 1);
        let mut left = Vec::new();
        for millis in 0..200 {
            vm.report_all(at(12 + millis), 2);
            let out = vm.tick(at(12 + millis));
            left.extend(vm.left(&out));
            if !left.is_empty() {
                break;
            }
        }
        let short = if first == 2 { 11 } else { 12 };
        assert_eq!(left, [short]);
    }
}

/// Guards against calls that leave uncounted or under another reason, and against a log without
/// begin or end, or with a line for each call.
#[test]
fn leaving_is_counted_by_reason_and_told_once() {
    let mut vm = Vm::new(2, 1);
    vm.report_all(at(0), 0);
    let out = vm.arrive(at(0), 1, 1, 1);
    assert_eq!(vm.left(&out), [1]);
    vm.placer.record_bytes(Call(1), vm.sent_to(&out), 4_000);
    vm.placer.set_standing(vm.targets[0], Standing::Leaving);
    vm.report_all(at(100), 0);
    let out = vm.arrive(at(100), 2, 1, 1);
    assert_eq!(vm.left(&out), [2]);
    let total = |vm: &Vm, reason| vm.placer.spilled().total(Scope::Region, reason);
    let full = total(&vm, Reason::Full);
    assert_eq!((full.calls, full.bytes), (1, 4_000));
    assert_eq!(total(&vm, Reason::NoneOpen).calls, 1);
    assert_eq!(total(&vm, Reason::Cheaper).calls, 0);
    let told = |vm: &mut Vm, millis| {
        let changes = vm.placer.take_spill_changes(at(millis));
        let changes = changes.into_iter();
        changes
            .map(|change| (change.began, change.calls))
            .collect::<Vec<_>>()
    };
    assert_eq!(told(&mut vm, 200), [(Some(Reason::Full), 1)]);
    assert_eq!(told(&mut vm, 9_000), []);
    assert_eq!(told(&mut vm, 10_200), [(None, 2)]);
    assert_eq!(told(&mut vm, 30_000), []);
}

impl Vm {
    /// Target of the first call of `out` that was sent.
    fn sent_to(&self, out: &[Action]) -> target::Key {
        let sent = out.iter().find_map(|action| match action {
            Action::Assign { target, .. } => Some(*target),
            _ => None,
        });
        sent.unwrap_or(self.targets[0])
    }
}
