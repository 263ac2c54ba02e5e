//! Stateful fuzzing of the fleet: lost, repeated, reordered and delayed messages, partitions,
//! freezes and restarts, against an oracle that knows only what was published.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use oriolecleat_bench::network::Faults;
use oriolecleat_bench::network::Network;
use oriolecleat_bench::network::sites;
use oriolecleat_core::catalogue::Record;
use oriolecleat_core::message::Content;
use oriolecleat_core::message::Departure;
use oriolecleat_core::time::Span;
use oriolecleat_core::topology;
use oriolecleat_core::version::Version;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const KEYS: u8 = 6;
/// Time after which all VMs that can reach each other agree: a lost part is dialled at least every
/// 10 s, and a silent VM is dead 3 s + 5 s after it fell silent.
const SETTLE: Span = Span::from_millis(40_000);
/// Time in which news of a leaving target reaches all VMs after a partition has ended.
const NEWS_LIMIT: Span = Span::from_millis(25_000);
const NEWS_MAX_AGE_MS: u64 = 15_000;
const BYTES_PER_S: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Publish {
        vm: usize,
        key: u8,
        valid: bool,
    },
    Delete {
        vm: usize,
        key: u8,
    },
    /// A reader that lags behind offers what it has.
    Stale {
        vm: usize,
        pick: usize,
    },
    Depart {
        vm: usize,
        target: u8,
    },
    Run(u64),
    Split(u8),
    Heal,
    Freeze {
        vm: usize,
        millis: u64,
    },
    Kill {
        vm: usize,
        reset: bool,
    },
    Start {
        vm: usize,
    },
    Disturb {
        lost: u32,
        doubled: u32,
        delayed: u32,
    },
    Calm,
}

fn step() -> impl Strategy<Value = Step> {
    let vm = any::<usize>;
    prop_oneof![
        6 => (vm(), 0..KEYS, any::<u8>())
            .prop_map(|(vm, key, dice)| Step::Publish { vm, key, valid: dice > 40 }),
        1 => (vm(), 0..KEYS).prop_map(|(vm, key)| Step::Delete { vm, key }),
        2 => (vm(), any::<usize>()).prop_map(|(vm, pick)| Step::Stale { vm, pick }),
        2 => (vm(), any::<u8>()).prop_map(|(vm, target)| Step::Depart { vm, target }),
        8 => (1..6_000_u64).prop_map(Step::Run),
        1 => any::<u8>().prop_map(Step::Split),
        1 => Just(Step::Heal),
        1 => (vm(), 500..15_000_u64).prop_map(|(vm, millis)| Step::Freeze { vm, millis }),
        1 => (vm(), any::<bool>()).prop_map(|(vm, reset)| Step::Kill { vm, reset }),
        2 => vm().prop_map(|vm| Step::Start { vm }),
        1 => (0..30_u32, 0..20_u32, 0..30_u32)
            .prop_map(|(lost, doubled, delayed)| Step::Disturb { lost, doubled, delayed }),
        1 => Just(Step::Calm),
    ]
}

fn entry(key: u8, valid: bool, revision: u64) -> Box<str> {
    let class = if valid { "batch" } else { "wrong" };
    let target = format!(
        r#"{{"name":"t","address":"10.1.0.{key}:80","vm":"v","region":"r","data_center":"d"}}"#
    );
    format!(
        r#"{{"service":"s{key}","owner":"revision {revision}","class":"{class}","targets":[{target}]}}"#
    )
    .into()
}

/// Versions of a key: of the entry in effect, and the highest known.
type Seen = (Option<Version>, Version);

struct Oracle {
    network: Network,
    revision: u64,
    published: Vec<Content>,
    seen: BTreeMap<(usize, u64, u8), Version>,
}

impl Oracle {
    fn pick(&self, vm: usize) -> Option<usize> {
        let running: Vec<usize> = self.network.running().into_iter().collect();
        running.get(vm % running.len().max(1)).copied()
    }

    fn publish(&mut self, vm: usize, key: u8, text: Option<Box<str>>) {
        let content = Content {
            key: format!("entries/entry-{key}").into(),
            version: Version {
                generation: 0,
                revision: self.revision,
            },
            text,
        };
        self.published.push(content.clone());
        self.network
            .act(vm, |gossip, context| gossip.publish(context, vec![content]));
    }

    fn record(&self, vm: usize, key: u8) -> Option<&Record> {
        let key = format!("entries/entry-{key}");
        self.network.vms[vm].catalogue.get(&key)
    }

    fn version(&self, vm: usize, key: u8) -> Version {
        let newest = self.record(vm, key).and_then(Record::newest);
        newest.map(|mark| mark.version).unwrap_or_default()
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Publish { vm, key, valid } => {
                self.revision += 1;
                let text = entry(key, valid, self.revision);
                if let Some(vm) = self.pick(vm) {
                    self.publish(vm, key, Some(text));
                }
            }
            Step::Delete { vm, key } => {
                self.revision += 1;
                if let Some(vm) = self.pick(vm) {
                    self.publish(vm, key, None);
                }
            }
            Step::Stale { vm, pick } => {
                if let Some(vm) = self.pick(vm)
                    && !self.published.is_empty()
                {
                    let old = self.published[pick % self.published.len()].clone();
                    self.network
                        .act(vm, |gossip, context| gossip.publish(context, vec![old]));
                }
            }
            Step::Depart { vm, target } => {
                let departure = Departure {
                    target: ([10, 2, 0, target], 80).into(),
                    source: "drain".into(),
                    age_ms: 0,
                };
                if let Some(vm) = self.pick(vm) {
                    self.network.act(vm, |gossip, context| {
                        gossip.report_departures(context, vec![departure])
                    });
                }
            }
            Step::Run(millis) => self.run(Span::from_millis(millis)),
            Step::Split(bits) => {
                for (vm, part) in self.network.parts.iter_mut().enumerate() {
                    *part = bits >> (vm % 8) & 1;
                }
            }
            Step::Heal => self.network.parts.fill(0),
            Step::Freeze { vm, millis } => {
                if let Some(vm) = self.pick(vm) {
                    self.network.freeze(vm, Span::from_millis(millis));
                }
            }
            // The seeds stay, so that every VM that starts finds the fleet.
            Step::Kill { vm, reset } => match self.pick(vm) {
                Some(vm) if vm >= 3 => self.network.kill(vm, reset),
                Some(_) | None => {}
            },
            Step::Start { vm } => {
                let vm = vm % self.network.vms.len();
                if !self.network.vms[vm].running {
                    self.network.start(vm);
                }
            }
            Step::Disturb {
                lost,
                doubled,
                delayed,
            } => {
                self.network.faults = Faults {
                    lost,
                    doubled,
                    delayed,
                    pushes_lost: false,
                };
            }
            Step::Calm => self.network.faults = Faults::default(),
        }
        self.check_versions();
    }

    fn run(&mut self, span: Span) {
        let mut left = span.as_millis();
        while left > 0 {
            let slice = left.min(1_000);
            self.network.run(Span::from_millis(slice));
            self.check_versions();
            left -= slice;
        }
    }

    /// No incarnation goes back to a lower version of a key.
    fn check_versions(&mut self) {
        for vm in self.network.running() {
            let incarnation = self.network.vms[vm]
                .gossip
                .fleet()
                .own()
                .record()
                .incarnation;
            for key in 0..KEYS {
                let version = self.version(vm, key);
                let seen = self.seen.entry((vm, incarnation, key)).or_default();
                assert!(
                    *seen <= version,
                    "vm-{vm} went back from {seen:?} to {version:?}"
                );
                *seen = version;
            }
        }
    }

    /// All VMs of a part hold the highest version that any of them held, with the same content, and
    /// know each other.
    fn check_part(&self, part: &BTreeSet<usize>, held: &BTreeMap<u8, Seen>) {
        let names: BTreeSet<&str> = part.iter().map(|vm| self.network.vms[*vm].name()).collect();
        for vm in part {
            let state = &self.network.vms[*vm];
            let live = state.gossip.fleet().live();
            let live: BTreeSet<&str> = live.map(|member| &*member.record().vm).collect();
            assert_eq!(live, names, "members known to {}", state.name());
            for (key, (effective, highest)) in held {
                let name = format!("entries/entry-{key}");
                assert_eq!(
                    self.version(*vm, *key),
                    *highest,
                    "{name} at {}",
                    state.name()
                );
                let own = self.effective(*vm, *key);
                assert_eq!(own, *effective, "{name} in effect at {}", state.name());
            }
        }
    }

    fn effective(&self, vm: usize, key: u8) -> Option<Version> {
        let valid = self.record(vm, key).and_then(Record::valid_mark);
        valid.map(|mark| mark.version)
    }

    fn held(&self, part: &BTreeSet<usize>) -> BTreeMap<u8, Seen> {
        let highest = |key| part.iter().map(|vm| self.version(*vm, key)).max();
        let effective = |key| part.iter().filter_map(|vm| self.effective(*vm, key)).max();
        (0..KEYS)
            .map(|key| (key, (effective(key), highest(key).unwrap_or_default())))
            .collect()
    }

    fn parts(&self) -> Vec<BTreeSet<usize>> {
        let mut parts: BTreeMap<u8, BTreeSet<usize>> = BTreeMap::new();
        for vm in self.network.running() {
            parts.entry(self.network.parts[vm]).or_default().insert(vm);
        }
        parts.into_values().collect()
    }

    fn news(&self, vm: usize) -> BTreeMap<std::net::SocketAddr, u64> {
        let state = &self.network.vms[vm];
        let departures = state.gossip.departures(state.clock(self.network.now()));
        departures
            .into_iter()
            .map(|news| (news.target, news.age_ms))
            .collect()
    }

    fn settle(&mut self) {
        self.network.faults = Faults::default();
        // The longest freeze ends first.
        self.run(Span::from_millis(15_000));
        // Each part by itself, then all together.
        self.settle_parts(false);
        self.network.parts.fill(0);
        self.settle_parts(true);
        self.check_idle();
    }

    fn settle_parts(&mut self, whole: bool) {
        let parts = self.parts();
        // News whose pushes are all lost spreads by repairs alone.
        self.network.faults.lost = 100;
        for part in &parts {
            let vm = part.first().copied().unwrap_or_default();
            let target = u8::try_from(200 + vm).unwrap_or(u8::MAX);
            self.take(Step::Depart { vm, target });
        }
        self.network.faults.lost = 0;
        let held: Vec<_> = parts.iter().map(|part| self.held(part)).collect();
        let mut fresh = BTreeSet::new();
        for vm in parts.iter().flatten() {
            let news = self.news(*vm).into_iter();
            fresh.extend(
                news.filter(|(_, age)| *age < NEWS_MAX_AGE_MS)
                    .map(|(target, _)| target),
            );
        }
        self.run(NEWS_LIMIT);
        for vm in parts.iter().flatten().filter(|_| whole) {
            let known = self.news(*vm);
            for target in &fresh {
                assert!(
                    known.contains_key(target),
                    "vm-{vm} does not know that {target} leaves"
                );
            }
        }
        self.run(Span::from_micros(
            SETTLE.as_micros() - NEWS_LIMIT.as_micros(),
        ));
        for (part, held) in parts.iter().zip(&held) {
            // VMs that restarted in a part without a seed cannot find each other.
            if whole || part.iter().any(|vm| *vm < 3) {
                self.check_part(part, held);
            }
        }
    }

    fn check_idle(&mut self) {
        self.network.reset_costs();
        self.run(Span::from_millis(10_000));
        for vm in self.network.running() {
            let bytes = self.network.vms[vm].cost.bytes / 10;
            assert!(
                bytes <= BYTES_PER_S,
                "vm-{vm} moves {bytes} bytes per second when idle"
            );
        }
    }
}

// Guards against links that stay open when no end wants them any more, and against neighbours that
// never link: seeds would keep a link to every VM.
#[test]
fn links_settle_on_the_neighbours() {
    let mut network = Network::new(&sites(1, 1, 30), 1, false);
    network.run(Span::from_millis(40_000));
    for vm in &network.vms {
        let places = topology::places(vm.gossip.fleet());
        let wanted: BTreeSet<&str> = topology::neighbours(&places, vm.name())
            .into_iter()
            .collect();
        assert_eq!(vm.gossip.linked().collect::<BTreeSet<_>>(), wanted);
    }
}

/// VMs, keys and bytes of a text, about those of a platform's fleet of six data centres.
const STARTING: usize = 124;
const STARTING_KEYS: u8 = 224;
const TEXT_BYTES: usize = 250;

// Guards against a start at which each VM gets the whole catalogue from several peers, or from
// another data centre. One copy for each VM of one data centre in two is the most that is accepted.
#[test]
fn a_start_of_all_vms_moves_the_catalogue_between_data_centers_few_times() {
    let mut network = Network::new(&sites(3, 6, STARTING), 1, false);
    network.run(Span::from_millis(2_000));
    let text = |key| {
        let mut text = String::from(&*entry(key, true, 1));
        let padding = " ".repeat(TEXT_BYTES.saturating_sub(text.len()));
        text.push_str(&padding);
        text
    };
    let contents: Vec<Content> = (0..STARTING_KEYS)
        .map(|key| Content {
            key: format!("entries/entry-{key}").into(),
            version: Version {
                generation: 0,
                revision: 1,
            },
            text: Some(text(key).into()),
        })
        .collect();
    for vm in 0..6 {
        let contents = contents.clone();
        network.act(vm, |gossip, context| gossip.publish(context, contents));
    }
    network.run(Span::from_millis(3_000));
    for vm in &network.vms {
        let known = vm.catalogue.records().count();
        assert_eq!(known, usize::from(STARTING_KEYS), "{}", vm.name());
    }
    let far: u64 = network.vms.iter().map(|vm| vm.cost.far_bytes).sum();
    let whole = u64::from(STARTING_KEYS) * TEXT_BYTES as u64;
    assert!(far < whole * STARTING as u64 / 2, "{far} B, {whole} B each");
}

fn fixed(seed: u64, cases: u32) -> Config {
    let asked = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: asked.and_then(|text| text.parse().ok()).unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed(67, 24))]

    // Guards against VMs that differ for ever, go back, miss that a target leaves, or spend more
    // than their budget on agreeing, whatever happens between them.
    #[test]
    fn connected_vms_converge_and_none_goes_back(
        (regions, centers, vms, seed, steps) in (
            1..=3_usize,
            1..=4_usize,
            4..=10_usize,
            any::<u64>(),
            proptest::collection::vec(step(), 1..40),
        )
    ) {
        let mut oracle = Oracle {
            network: Network::new(&sites(regions, centers, vms), seed, false),
            revision: 0,
            published: Vec::new(),
            seen: BTreeMap::new(),
        };
        oracle.run(Span::from_millis(5_000));
        for step in steps {
            oracle.take(step);
        }
        oracle.settle();
    }
}
