//! Guards against calls to the store that grow with the size of a data centre while the store is away,
//! and against an end of the outage that is noticed late.

use oriolecleat_core::member::Fleet;
use oriolecleat_core::member::Record;
use oriolecleat_core::member::State;
use oriolecleat_core::reader::Reader;
use oriolecleat_core::reader::Step;
use oriolecleat_core::settings::View;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The settings of the hosted fleet.
const LIMITS: View = View {
    stale_after: Span::from_millis(30_000),
    takeover_after: Span::from_millis(1_500),
    peer_wait: Span::from_millis(1_000),
    readers_per_data_center: 1,
};
/// Tick of the daemon, in milliseconds.
const TICK: u64 = 200;
/// Time between two steps of the simulation, in milliseconds.
const STEP: u64 = 20;
/// When the store goes away, in milliseconds.
const AWAY: u64 = 10_000;
/// Pauses after failed calls, as in the daemon, in milliseconds.
const RETRY_FIRST: u64 = 150;
const RETRY_LAST: u64 = 1_000;
/// Time from an answer to the next one for a reader that confirms the view of all, in milliseconds.
const WAIT: u64 = 1_000;

struct Vm {
    fleet: Fleet,
    reader: Reader,
    reads: bool,
    next_call: u64,
    failures: u32,
}

/// A data centre whose VMs hear each other.
struct Center {
    vms: Vec<Vm>,
    random: SmallRng,
    /// Time of each call, with the rank of the VM that made it.
    calls: Vec<(u64, usize)>,
    /// Longest age of the view that any VM had, with the time.
    ages: Vec<(u64, u64)>,
}

fn at(millis: u64) -> Instant {
    Instant::default() + Span::from_millis(millis)
}

fn record(vm: usize) -> Record {
    let address = "127.0.0.1:1".parse().expect("an address");
    Record {
        vm: format!("vm-{vm}").into(),
        incarnation: 1,
        sequence: 0,
        state: State::Alive,
        caller: address,
        directory: address,
        peer: address,
        region: "cai".into(),
        data_center: "cai-1".into(),
        uptime_ms: 0,
        build: "".into(),
        capacity: 24,
    }
}

impl Center {
    fn new(count: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(11);
        let mut vms: Vec<Vm> = (0..count)
            .map(|own| {
                let mut fleet = Fleet::new(at(0), record(own));
                for other in 0..count {
                    fleet.merge(at(0), record(other));
                }
                Vm {
                    fleet,
                    reader: Reader::new(at(0), LIMITS, &mut random),
                    reads: false,
                    next_call: 0,
                    failures: 0,
                }
            })
            .collect();
        vms.sort_by_cached_key(rank);
        Self {
            vms,
            random,
            calls: Vec::new(),
            ages: Vec::new(),
        }
    }

    /// Runs until `end`. `serves` tells whether the store answers a VM by its rank at a time.
    fn run(&mut self, end: u64, serves: impl Fn(u64, usize) -> bool) {
        for now in (0..end).step_by(usize::try_from(STEP).expect("a step")) {
            for index in 0..self.vms.len() {
                self.advance(now, index, &serves);
            }
            let ages = self.vms.iter().filter_map(|vm| vm.reader.age(at(now)));
            self.ages
                .push((now, ages.max().unwrap_or_default().as_millis()));
        }
    }

    fn advance(&mut self, now: u64, index: usize, serves: &impl Fn(u64, usize) -> bool) {
        let vm = &mut self.vms[index];
        if (now + index as u64 * STEP).is_multiple_of(TICK) {
            match vm.reader.step(at(now), &vm.fleet, &mut self.random) {
                Some(Step::Open) => {
                    vm.reads = true;
                    vm.next_call = now;
                    vm.failures = 0;
                }
                Some(Step::Close) => vm.reads = false,
                None => {}
            }
        }
        if !vm.reads || now < vm.next_call {
            return;
        }
        self.calls.push((now, index));
        if serves(now, index) {
            vm.reader.record_response(at(now));
            vm.failures = 0;
            vm.next_call = now + WAIT;
            for other in &mut self.vms {
                other.reader.confirm(at(now), Span::ZERO);
            }
        } else {
            let limit = RETRY_FIRST << vm.failures.min(8);
            vm.failures += 1;
            vm.next_call = if vm.reader.record_failure(at(now)) {
                now + RETRY_LAST
            } else {
                let limit = limit.min(RETRY_LAST);
                now + self.random.random_range(limit / 2..limit)
            };
        }
    }

    fn calls_in(&self, from: u64, until: u64) -> usize {
        let within = |(time, _): &&(u64, usize)| (from..until).contains(time);
        self.calls.iter().filter(within).count()
    }

    fn oldest_in(&self, from: u64, until: u64) -> u64 {
        let within = self.ages.iter();
        let within = within.filter(|(time, _)| (from..until).contains(time));
        within.map(|(_, age)| *age).max().unwrap_or_default()
    }
}

/// Number of members that rank before a VM.
fn rank(vm: &Vm) -> usize {
    let own = vm.fleet.own();
    vm.fleet
        .live()
        .filter(|member| own.is_preceded_by(member))
        .count()
}

/// Readers while the store is away: the designated one and the eight that take over. Each calls at most
/// twice a second, as the shortest pause after repeated failures is 0.5 s.
const READERS: usize = 9;
/// Most calls of a data centre in any second of an outage, of any size: those of the readers, and one
/// in each interval of 187.5 ms by another VM, which is at most six in a second. The requirement is a
/// number that does not depend on the size (docs/design/regions-and-load.md, section 2.9).
const CALLS_PER_S: usize = 2 * READERS + 6;

/// Guards against VMs that take over and call for as long as an outage lasts, and against ones that
/// all wait at the store for a long time after it.
#[test]
fn calls_in_an_outage_do_not_grow_with_the_data_center() {
    // After 24 s, the eight VMs that took over have just done so for the third time.
    for (count, outage) in [
        (30, 24_000),
        (30, 30_000),
        (60, 30_000),
        (120, 24_000),
        (120, 30_000),
    ] {
        let mut center = Center::new(count);
        let back = AWAY + outage;
        let end = back + 15_000;
        center.run(end, |now, _| !(AWAY..back).contains(&now));
        // The first calls of the readers are closer together: three in the first half second.
        let most = (AWAY + 4_000..back)
            .step_by(100)
            .map(|from| center.calls_in(from, from + 1_000))
            .max();
        let (during, after) = (center.calls_in(AWAY, back), center.calls_in(back, end));
        println!("{count} VMs: {during} calls, at most {most:?} a second; {after} after it");
        assert!(
            most <= Some(CALLS_PER_S),
            "{count} VMs: {most:?} calls in a second"
        );
        assert!(during <= CALLS_PER_S * 30, "{count} VMs: {during} calls");
        // Each VM that calls in the second until the view is confirmed has no time for a further call
        // until it stops; the designated one calls on every second.
        let bound = READERS + 6 + 15 + 1;
        assert!(
            after <= bound,
            "{count} VMs: {after} calls after the outage"
        );
        let age = center.oldest_in(back + 1_500, end);
        assert!(age <= 2 * 1_500, "{count} VMs: view of {age} ms");
    }
}

/// Guards against a data centre without a link to another one that learns late of changes because the
/// store refuses the first VMs of it.
#[test]
fn a_vm_that_the_store_serves_finds_out_before_the_view_is_old() {
    for refused in [1, 2, 8, 9] {
        for count in [10, 30, 120] {
            let mut center = Center::new(count);
            center.run(AWAY + 30_000, |now, rank| now < AWAY || rank >= refused);
            let age = center.oldest_in(AWAY, AWAY + 30_000);
            println!("{refused} of {count} refused: view of {age} ms");
            assert!(
                age <= 2 * 1_500,
                "{refused} of {count} refused: view of {age} ms"
            );
        }
    }
}

/// Guards against other VMs that call the store while the designated reader is served.
#[test]
fn only_the_designated_reader_calls_a_store_that_serves_it() {
    let mut center = Center::new(30);
    center.run(AWAY + 30_000, |_, _| true);
    assert!(center.calls.iter().all(|(_, rank)| *rank == 0));
}

/// Guards against a VM that loses its peers during a single turn and stops reading after a call that
/// failed.
#[test]
fn a_vm_that_is_cut_off_goes_on_reading() {
    let mut center = Center::new(30);
    let last = center.vms.last_mut().expect("a VM");
    last.reader.confirm(at(1_000), Span::ZERO);
    let mut times = (1_000..60_000).step_by(20);
    let opened = times.find(|now| {
        let step = last.reader.step(at(*now), &last.fleet, &mut center.random);
        step == Some(Step::Open)
    });
    let opened = opened.expect("every VM calls in the end");
    last.reader.record_hearing(at(opened), 0, true);
    assert!(!last.reader.record_failure(at(opened)));
    let step = last
        .reader
        .step(at(opened + 200), &last.fleet, &mut center.random);
    assert_eq!(step, None);
}
