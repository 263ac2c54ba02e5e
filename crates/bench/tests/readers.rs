//! Guards against VMs that learn late of a change because readers that hear nothing of the store vouch for
//! the view, and against readers that a fleet without faults does not need. In virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use oriolecleat_bench::network::Network;
use oriolecleat_bench::network::sites;
use oriolecleat_core::catalogue::Opaque;
use oriolecleat_core::catalogue::Order;
use oriolecleat_core::message::Content;
use oriolecleat_core::reader::Step;
use oriolecleat_core::settings::View;
use oriolecleat_core::site::feed::Call;
use oriolecleat_core::site::freshness::Freshness;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_core::version::Version;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The settings of the hosted fleet.
const VIEW: View = View {
    stale_after: Span::from_millis(30_000),
    takeover_after: Span::from_millis(1_500),
    peer_wait: Span::from_millis(1),
    readers_per_data_center: 1,
};
/// Time in which VMs have to know a change of the store: how long a target that leaves serves on, and in
/// which a configuration has to be in force.
const BOUND: Span = Span::from_millis(2_500);
/// Time between two looks at the readers; the daemon steps them at its tick.
const LOOK: Span = Span::from_millis(20);
const LOOKS_PER_TICK: u64 = 10;
/// Time of a call to the store without a wait, and time after which it counts as failed.
const ROUND_TRIP: Span = Span::from_millis(60);
const CALL_TIMEOUT: Span = Span::from_millis(700);
/// Pauses after changes and after a failed call.
const CHANGE_PAUSE: Span = Span::from_millis(200);
const RETRY: Span = Span::from_millis(150);
/// Time after which the links have settled.
const SETTLED: Span = Span::from_millis(20_000);
const KEY: &str = "targets/a";

/// A call to the store.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: Instant,
    /// Longest wait for changes; none for a listing.
    wait: Option<Span>,
}

/// A VM that reads the store.
#[derive(Debug, Default)]
struct Reading {
    freshness: Freshness,
    pending: Option<Pending>,
    /// When the next call is made.
    next: Instant,
    /// Whether all keys were listed, and whether the last call failed.
    listed: bool,
    failed: bool,
    /// Revision up to which the changes are known.
    revision: usize,
}

/// What keeps a VM from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The VM does not reach the store.
    Store,
    /// It reaches neither the store nor another VM.
    All,
    /// The process stands still until then; answers wait in its socket.
    Frozen(Instant),
}

struct Fleet {
    network: Network,
    readings: BTreeMap<usize, Reading>,
    faults: BTreeMap<usize, Fault>,
    /// When the store got each revision, from 1.
    changes: Vec<Instant>,
    calls: u64,
    looks: u64,
}

impl Fleet {
    fn start(size: (usize, usize, usize)) -> Self {
        let (regions, centers, vms) = size;
        let opaque = Opaque {
            prefix: "targets/".into(),
            order: Order::Era,
        };
        let mut network = Network::hosted(&sites(regions, centers, vms), 7, &[opaque]);
        let mut random = SmallRng::seed_from_u64(5);
        for vm in &mut network.vms {
            vm.reader.set_limits(VIEW, &mut random);
        }
        let mut fleet = Self {
            network,
            readings: BTreeMap::new(),
            faults: BTreeMap::new(),
            changes: vec![Instant::default()],
            calls: 0,
            looks: 0,
        };
        fleet.run(SETTLED);
        fleet
    }

    fn run(&mut self, span: Span) {
        for _ in 0..span.as_millis() / LOOK.as_millis() {
            self.look();
        }
    }

    fn look(&mut self) {
        self.network.run(LOOK);
        self.looks += 1;
        let now = self.network.now();
        for vm in self.network.running() {
            if matches!(self.faults.get(&vm), Some(Fault::Frozen(until)) if *until > now) {
                continue;
            }
            if (self.looks + vm as u64).is_multiple_of(LOOKS_PER_TICK) {
                self.step_reader(vm);
            }
            if let Some(mut reading) = self.readings.remove(&vm) {
                self.advance(vm, &mut reading);
                self.readings.insert(vm, reading);
            }
        }
    }

    fn step_reader(&mut self, vm: usize) {
        let now = self.network.now();
        let step = self.network.vms[vm].handle(now, |gossip, context| {
            let reader = &mut *context.reader;
            reader.step(context.now, gossip.fleet(), context.random)
        });
        match step {
            Some(Step::Open) => drop(self.readings.insert(vm, Reading::default())),
            Some(Step::Close) => drop(self.readings.remove(&vm)),
            None => {}
        }
    }

    /// Makes the next call of `vm`, or takes the answer to the last one.
    fn advance(&mut self, vm: usize, reading: &mut Reading) {
        let now = self.network.now();
        let Some(Pending { sent, wait }) = reading.pending else {
            if now >= reading.next {
                self.call(vm, reading);
            }
            return;
        };
        if matches!(self.faults.get(&vm), Some(Fault::Store | Fault::All)) {
            if now.since(sent) >= wait.unwrap_or_default() + CALL_TIMEOUT {
                reading.pending = None;
                reading.failed = true;
                reading.next = now + RETRY;
                let state = &mut self.network.vms[vm];
                let clock = state.clock(now);
                state.reader.record_failure(clock);
            }
            return;
        }
        // The store answers a wait when something changes, at once if it has, and else at its end.
        let next_change = self.changes.get(reading.revision).copied();
        let change = next_change.filter(|change| *change <= sent + wait.unwrap_or_default());
        let answered = match (wait, change) {
            (None, _) => sent,
            (Some(_), Some(change)) => sent.max(change),
            (Some(wait), None) => sent + wait,
        };
        if now >= answered + ROUND_TRIP {
            let revision = self.changes.partition_point(|change| *change <= answered);
            let changed = wait.is_none() || change.is_some();
            self.take(vm, reading, changed.then_some(revision));
        }
    }

    /// Takes the answer to the pending call, with the revision that it reaches if it has changes.
    fn take(&mut self, vm: usize, reading: &mut Reading, revision: Option<usize>) {
        let now = self.network.now();
        let Some(Pending { sent, wait }) = reading.pending.take() else {
            return;
        };
        match wait {
            Some(wait) => {
                let with_changes = revision.is_some();
                reading.freshness.record_wait(now, sent, wait, with_changes);
            }
            None => reading.freshness.record_listing(),
        }
        reading.listed = true;
        reading.failed = false;
        reading.next = now;
        let clock = self.network.vms[vm].clock(now);
        self.network.vms[vm].reader.record_response(clock);
        if let Some(revision) = revision {
            reading.revision = revision;
            reading.next = now + CHANGE_PAUSE;
            let content = Content {
                key: KEY.into(),
                version: Version {
                    generation: 1,
                    revision: revision as u64,
                },
                text: Some(revision.to_string().into()),
            };
            self.network
                .act(vm, |gossip, context| gossip.publish(context, vec![content]));
        }
        let age = reading.freshness.age(now).expect("an answer was taken");
        self.network
            .act(vm, |gossip, context| gossip.confirm_view(context, age));
    }

    fn call(&mut self, vm: usize, reading: &mut Reading) {
        let now = self.network.now();
        self.calls += 1;
        let wait = if !reading.listed {
            let (after, stale) = (None, false);
            let call = Call::Page { after, stale };
            reading.freshness.record_call(now, &call);
            None
        } else if reading.failed {
            Some(Span::ZERO)
        } else {
            let state = &self.network.vms[vm];
            let limit = state.reader.longest_wait(state.gossip.fleet());
            Some(reading.freshness.next_wait(now, limit))
        };
        reading.pending = Some(Pending { sent: now, wait });
    }

    fn disturb(&mut self, vm: usize, fault: Fault) {
        match fault {
            Fault::Store => {}
            Fault::All => {
                self.network.partitions[vm] = u8::try_from(vm + 1).expect("a small fleet");
            }
            Fault::Frozen(until) => {
                let span = until.since(self.network.now());
                self.network.freeze(vm, span);
            }
        }
        self.faults.insert(vm, fault);
    }

    /// The VMs without a fault that do not know the last change.
    fn behind(&self) -> Vec<&str> {
        let newest = self.changes.len().to_string();
        let vms = self.network.vms.iter().enumerate();
        let sound = vms.filter(|(vm, _)| !self.faults.contains_key(vm));
        let behind = sound.filter(|(_, vm)| vm.catalogue.text(KEY) != Some(&*newest));
        behind.map(|(_, vm)| vm.name()).collect()
    }
}

/// Fleets by regions, data centres and VMs.
const SIZES: &[(usize, usize, usize)] =
    &[(1, 1, 4), (1, 2, 6), (3, 6, 17), (3, 6, 60), (2, 4, 120)];

struct Case {
    name: &'static str,
    fault: fn(Instant) -> Fault,
    /// How many VMs of each data centre get the fault when they take over.
    successors: usize,
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "readers are cut from the store", fault: |_| Fault::Store, successors: 0 },
    Case { name: "readers are cut from everyone", fault: |_| Fault::All, successors: 0 },
    Case { name: "readers stand still", fault: |now| Fault::Frozen(now + Span::from_millis(10_000)), successors: 0 },
    Case { name: "the first to take over are cut as well", fault: |_| Fault::Store, successors: 1 },
    Case { name: "the first to take over are cut from everyone as well", fault: |_| Fault::All, successors: 1 },
    Case { name: "two successors are cut in turn", fault: |_| Fault::Store, successors: 2 },
    Case { name: "three successors are cut in turn", fault: |_| Fault::Store, successors: 3 },
];

/// Guards against changes that reach VMs too late, although the store answers them, while its readers do not get
/// them, at any moment of a wait.
#[test]
fn a_change_arrives_in_time_when_all_readers_are_lost() {
    for size in SIZES {
        for case in CASES {
            // A data centre needs a VM that is left, and the largest fleet takes long to simulate.
            if size.2 / size.1 < case.successors + 2 || size.2 > 60 {
                continue;
            }
            for phase in [0, 300, 700] {
                let mut fleet = Fleet::start(*size);
                fleet.changes.push(fleet.network.now());
                fleet.run(Span::from_millis(3_000 + phase));
                assert_eq!(fleet.behind(), Vec::<&str>::new());
                let took = time_to_learn(&mut fleet, case);
                println!(
                    "{size:?}, {}, {phase} ms: {} ms",
                    case.name,
                    took.as_millis()
                );
                assert!(
                    took <= BOUND,
                    "{size:?}, {}, {phase} ms: {took:?}",
                    case.name
                );
            }
        }
    }
}

/// Gives all readers the fault of `case`, changes a key, and returns how long it takes until all VMs
/// without a fault know it.
fn time_to_learn(fleet: &mut Fleet, case: &Case) -> Span {
    let now = fleet.network.now();
    let readers: Vec<usize> = fleet.readings.keys().copied().collect();
    let mut lost: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for vm in &readers {
        fleet.disturb(*vm, (case.fault)(now));
    }
    fleet.look();
    let changed = fleet.network.now();
    fleet.changes.push(changed);
    while !fleet.behind().is_empty() && fleet.network.now().since(changed) < SETTLED {
        fleet.look();
        let reading: Vec<usize> = fleet.readings.keys().copied().collect();
        for vm in reading {
            let center = fleet.network.vms[vm].site().data_center.clone();
            let lost = lost.entry(center).or_default();
            if !fleet.faults.contains_key(&vm) && *lost < case.successors {
                *lost += 1;
                fleet.disturb(vm, (case.fault)(now));
            }
        }
    }
    fleet.network.now().since(changed)
}

/// Guards against takeovers and calls in a fleet without faults, whether nothing changes, or something
/// does from time to time or all the time.
#[test]
fn only_designated_readers_call_a_store_that_answers() {
    for size in SIZES {
        let centers = size.1 as u64;
        for gap in [None, Some(3_300), Some(700), Some(300)] {
            let mut fleet = Fleet::start(*size);
            let designated: BTreeSet<usize> = fleet.readings.keys().copied().collect();
            assert_eq!(designated.len() as u64, centers, "{size:?}");
            fleet.calls = 0;
            let mut changes = 0;
            for look in 0..1_500 {
                if gap.is_some_and(|gap| look % (gap / LOOK.as_millis()) == 0) {
                    fleet.changes.push(fleet.network.now());
                    changes += 1;
                }
                fleet.look();
                let readers: BTreeSet<usize> = fleet.readings.keys().copied().collect();
                assert_eq!(
                    readers, designated,
                    "{size:?}, changes each {gap:?} ms, look {look}"
                );
            }
            // Two readers make a call each second and the others one each two seconds, in 30 s; each
            // change ends one call and begins another one.
            let waits = 30 * centers.min(2) + 15 * centers.saturating_sub(2);
            let bound = waits + 2 * centers * changes;
            println!(
                "{size:?}, changes each {gap:?} ms: {} calls, bound {bound}",
                fleet.calls
            );
            assert!(
                fleet.calls <= bound + centers,
                "{size:?}, {gap:?}: {} calls",
                fleet.calls
            );
        }
    }
}
