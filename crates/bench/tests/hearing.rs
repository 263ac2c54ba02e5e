//! Guards against VMs that learn of changes too late since their readers or links are lost, and
//! against losses that make readers of VMs that still hear of changes.

use std::collections::BTreeSet;

use oriolecleat_bench::network::Network;
use oriolecleat_bench::network::sites;
use oriolecleat_core::reader::Step;
use oriolecleat_core::time::Span;

/// Time between two looks at the readers.
const LOOK: Span = Span::from_millis(20);
/// Looks after which a VM that reads confirms its view again; the platform's feed does so each
/// second.
const CONFIRM_LOOKS: u64 = 50;
/// Time after which the links have settled: those that are not needed are closed after 10 s.
const SETTLED: Span = Span::from_millis(20_000);
/// Age that no view reaches while one VM confirms its own each second: `takeover_after_ms` of the
/// hosted fleet.
const TAKEOVER_AFTER: Span = Span::from_millis(1_500);

/// A simulated fleet with VMs that read the configuration service.
struct Fleet {
    network: Network,
    reading: BTreeSet<usize>,
    looks: u64,
}

impl Fleet {
    fn start(regions: usize, centers: usize, vms: usize) -> Self {
        let mut fleet = Self {
            network: Network::new(&sites(regions, centers, vms), 7, false),
            reading: BTreeSet::new(),
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

    /// Runs until `vm` reads, at most for `limit`.
    fn runs_until_reading(&mut self, vm: usize, limit: Span) -> bool {
        (0..limit.as_millis() / LOOK.as_millis()).any(|_| {
            self.look();
            self.reading.contains(&vm)
        })
    }

    fn look(&mut self) {
        self.network.run(LOOK);
        self.looks += 1;
        let now = self.network.now();
        for vm in self.network.running() {
            let step = self.network.vms[vm].handle(now, |gossip, context| {
                let reader = &mut *context.reader;
                reader.step(context.now, gossip.fleet(), context.random)
            });
            match step {
                Some(Step::Open) => drop(self.reading.insert(vm)),
                Some(Step::Close) => drop(self.reading.remove(&vm)),
                None => {}
            }
            let is_due = (self.looks + vm as u64).is_multiple_of(CONFIRM_LOOKS);
            if is_due && self.reading.contains(&vm) {
                self.confirm(vm);
            }
        }
    }

    fn confirm(&mut self, vm: usize) {
        self.network.act(vm, |gossip, context| {
            gossip.confirm_view(context, Span::ZERO)
        });
    }

    fn kill(&mut self, vm: usize, reset: bool) {
        self.network.kill(vm, reset);
        self.reading.remove(&vm);
    }

    /// A VM with links into its own data centre only, and the others of that data centre.
    fn find_inner(&self) -> (usize, Vec<usize>) {
        let vms = &self.network.vms;
        let others = |vm: usize| -> Vec<usize> {
            let is_near = |other: &usize| {
                *other != vm && vms[*other].site().data_center == vms[vm].site().data_center
            };
            (0..vms.len()).filter(is_near).collect()
        };
        let is_inner = |vm: &usize| {
            let near = others(*vm);
            let mut linked = vms[*vm].gossip.linked();
            linked.all(|name| near.iter().any(|other| vms[*other].name() == name))
        };
        let inner = (0..vms.len()).find(is_inner);
        let inner = inner.expect("a data centre of three has two VMs with links to others");
        (inner, others(inner))
    }
}

struct Loss {
    name: &'static str,
    /// Whether the links of the lost VMs end, or only fall silent.
    reset: bool,
    /// Time in which the VM that lost its peers has to read: half of the 2.5 s in which a change is
    /// to be in force, or what remains of it after the silence of a peer can be told from a pause.
    limit: Span,
}

const LOSSES: &[Loss] = &[
    Loss {
        name: "processes are killed",
        reset: true,
        limit: Span::from_millis(1_250),
    },
    Loss {
        name: "machines lose power",
        reset: false,
        limit: Span::from_millis(2_000),
    },
];

/// Guards against a VM that lost all its links and waits for its view to get old before it reads.
#[test]
fn a_vm_that_hears_nobody_reads_at_once() {
    for loss in LOSSES {
        let mut fleet = Fleet::start(3, 3, 9);
        let (inner, others) = fleet.find_inner();
        assert!(!fleet.reading.contains(&inner), "{}", loss.name);
        for other in others {
            fleet.kill(other, loss.reset);
        }
        let reads = fleet.runs_until_reading(inner, loss.limit);
        assert!(reads, "{}", loss.name);
    }
}

/// Guards against a VM without links that dials only the lost neighbours until it declares them
/// dead.
#[test]
fn a_vm_without_links_dials_other_members() {
    let mut fleet = Fleet::start(3, 3, 9);
    let (inner, others) = fleet.find_inner();
    for other in others {
        fleet.kill(other, true);
    }
    fleet.run(Span::from_millis(2_000));
    let linked = fleet.network.vms[inner].gossip.linked().count();
    assert!(linked > 0, "no link after 2 s");
}

/// Guards against a reset of all links that makes each VM a reader, although the links are opened
/// again at once.
#[test]
fn links_that_are_opened_again_make_no_reader() {
    let mut fleet = Fleet::start(3, 3, 9);
    let before = fleet.reading.clone();
    for _ in 0..3 {
        fleet.network.reset_links();
        fleet.run(Span::from_millis(5_000));
    }
    assert_eq!(fleet.reading, before);
}

/// Guards against a view that gets older with each link between it and a reader, so that the loss of
/// readers is noticed late.
#[test]
fn views_of_all_vms_have_nearly_the_same_age() {
    let mut network = Network::new(&sites(3, 6, 60), 7, false);
    let mut oldest = Span::ZERO;
    for second in 0..40 {
        network.act(0, |gossip, context| {
            gossip.confirm_view(context, Span::ZERO)
        });
        for _ in 0..CONFIRM_LOOKS {
            network.run(LOOK);
            if second < SETTLED.as_millis() / 1_000 {
                continue;
            }
            let now = network.now();
            for vm in &network.vms {
                let age = vm.reader.age(vm.clock(now));
                oldest = oldest.max(age.expect("every view was confirmed"));
            }
        }
    }
    assert!(oldest < TAKEOVER_AFTER, "{oldest:?}");
}
