//! State-machine test of guarantee P7: an accepted change takes effect on every VM and never
//! reverts.
//!
//! Three VMs read a configuration service. The operator publishes valid and invalid contents,
//! deletes keys, and backs up and restores the service. After a restore the operator publishes
//! everything again with a higher generation, as `docs/catalogue.md` says, and deletes with
//! `"deleted": true` until that is in effect on every VM. Reads are stale or fail; VMs restart and
//! exchange contents.
//!
//! Longer run: `PROPTEST_CASES=20000 cargo test -p oriolecleat-core --release --test
//! catalogue_state`; another seed: `PROPTEST_RNG_SEED=7`.

mod seeded;

use std::collections::BTreeMap;

use oriolecleat_core::catalogue::BUCKETS;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::catalogue::Value;
use oriolecleat_core::version::Version;
use proptest::arbitrary::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const VMS: usize = 3;
const KEYS: [&str; 3] = ["entries/a", "entries/b", "fleet"];

/// Revision and text of each key of the service, by index in [`KEYS`].
type Keys = BTreeMap<usize, (u64, String)>;
/// By (generation, revision) of each action of the operator, the text intended to be in effect.
type Intents = BTreeMap<(u64, u64), Option<String>>;

#[derive(Clone, Debug)]
enum Step {
    Publish {
        key: usize,
        number: u32,
    },
    /// With `readable`, the generation can be read although the text is not valid.
    PublishInvalid {
        key: usize,
        readable: bool,
    },
    Delete {
        key: usize,
    },
    Backup,
    Restore,
    Republish,
    /// Starts or ends an outage of the service.
    Outage,
    Read {
        vm: usize,
        lag: usize,
    },
    Watch {
        vm: usize,
    },
    Push {
        from: usize,
        to: usize,
        key: usize,
    },
    Exchange {
        one: usize,
        other: usize,
    },
    Restart {
        vm: usize,
        peer: usize,
    },
    RestartAll,
    Settle,
}

/// Model of the configuration service and of the operator.
#[derive(Clone, Debug, Default)]
struct World {
    generation: u64,
    revision: u64,
    keys: Keys,
    down: bool,
    epoch: u64,
    /// Changes since the last restore.
    log: Vec<(usize, u64, Option<String>)>,
    /// The contents before each change of the log and after the last one.
    snapshots: Vec<(u64, Keys)>,
    backup: Option<(u64, Keys)>,
    intents: [Intents; KEYS.len()],
    /// Keys to publish again after a restore.
    pending: Vec<usize>,
    /// Whether every VM has the contents that were published again after the last restore.
    settled: bool,
}

impl World {
    fn put(&mut self, key: usize, text: Option<String>) {
        self.revision += 1;
        match &text {
            Some(text) => self.keys.insert(key, (self.revision, text.clone())),
            None => self.keys.remove(&key),
        };
        self.log.push((key, self.revision, text));
        self.snapshots.push((self.revision, self.keys.clone()));
    }

    fn put_intended(&mut self, key: usize, text: Option<String>, intent: Option<String>) {
        self.put(key, text);
        self.intents[key].insert((self.generation, self.revision), intent);
    }

    fn intent(&self, key: usize) -> Option<String> {
        self.intents[key].last_key_value()?.1.clone()
    }

    fn restore(&mut self) {
        (self.revision, self.keys) = self.backup.clone().expect("checked by preconditions");
        self.generation += 1;
        self.epoch += 1;
        self.settled = false;
        self.log.clear();
        self.snapshots = vec![(self.revision, self.keys.clone())];
        self.pending = (0..KEYS.len())
            .filter(|key| !self.intents[*key].is_empty())
            .collect();
    }

    fn republish(&mut self) {
        let key = self.pending.pop().expect("checked by preconditions");
        let intent = self.intent(key);
        let number = intent.as_deref().map_or(0, number);
        let text = valid(key, number, self.generation, intent.is_none());
        let intent = intent.is_some().then(|| text.clone());
        self.put_intended(key, Some(text), intent);
    }
}

fn valid(key: usize, number: u32, generation: u64, deleted: bool) -> String {
    if KEYS[key] == "fleet" {
        return format!(
            r#"{{"vm_ceiling":{},"configuration_calls_per_s":1,"generation":{generation}}}"#,
            number + 1
        );
    }
    let class = r#""service":"s","class":"once""#;
    format!(r#"{{{class},"generation":{generation},"deleted":{deleted},"owner":"{number}"}}"#)
}

fn is_valid(text: &str) -> bool {
    text != "{" && !text.contains("nonsense")
}

fn number(text: &str) -> u32 {
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    let owner = value["owner"].as_str().map(|owner| owner.parse().unwrap());
    let ceiling = || u32::try_from(value["vm_ceiling"].as_u64().unwrap() - 1).unwrap();
    owner.unwrap_or_else(ceiling)
}

impl ReferenceStateMachine for World {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let world = Self {
            snapshots: vec![(0, Keys::new())],
            settled: true,
            ..Self::default()
        };
        Just(world).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let vm = 0..VMS;
        let key = 0..KEYS.len();
        prop_oneof![
            4 => (key.clone(), 0..100_u32).prop_map(|(key, number)| Step::Publish { key, number }),
            2 => (key.clone(), any::<bool>())
                .prop_map(|(key, readable)| Step::PublishInvalid { key, readable }),
            2 => (0..KEYS.len() - 1).prop_map(|key| Step::Delete { key }),
            2 => Just(Step::Backup),
            4 => Just(Step::Restore),
            4 => Just(Step::Republish),
            1 => Just(Step::Outage),
            6 => (vm.clone(), 0..3_usize).prop_map(|(vm, lag)| Step::Read { vm, lag }),
            6 => vm.clone().prop_map(|vm| Step::Watch { vm }),
            4 => (vm.clone(), vm.clone(), key)
                .prop_map(|(from, to, key)| Step::Push { from, to, key }),
            2 => (vm.clone(), vm.clone()).prop_map(|(one, other)| Step::Exchange { one, other }),
            2 => (vm.clone(), vm).prop_map(|(vm, peer)| Step::Restart { vm, peer }),
            1 => Just(Step::RestartAll),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn preconditions(world: &Self, step: &Step) -> bool {
        let idle = !world.down && world.pending.is_empty();
        match step {
            Step::Publish { .. } | Step::PublishInvalid { .. } | Step::Backup => idle,
            Step::Delete { key } => idle && world.keys.contains_key(key),
            Step::Restore => idle && world.backup.is_some(),
            Step::Republish => !world.down && !world.pending.is_empty(),
            Step::Restart { vm, peer } => vm != peer,
            _ => true,
        }
    }

    fn apply(mut world: Self, step: &Step) -> Self {
        match *step {
            Step::Publish { key, number } => {
                let text = valid(key, number, world.generation, false);
                world.put_intended(key, Some(text.clone()), Some(text));
            }
            Step::PublishInvalid { key, readable } => {
                let generation = world.generation;
                let text = format!(r#"{{"generation":{generation},"nonsense":1}}"#);
                world.put(key, Some(if readable { text } else { "{".to_owned() }));
            }
            Step::Delete { key } if world.settled => world.put_intended(key, None, None),
            Step::Delete { key } => {
                let text = valid(key, 0, world.generation, true);
                world.put_intended(key, Some(text), None);
            }
            Step::Backup => world.backup = Some((world.revision, world.keys.clone())),
            Step::Restore => world.restore(),
            Step::Republish => world.republish(),
            Step::Outage => world.down = !world.down,
            Step::Settle => {
                world.down = false;
                while !world.pending.is_empty() {
                    world.republish();
                }
                // An invalid content replaces what was published before it, so readers miss that.
                world.settled |= world.keys.values().all(|(_, text)| is_valid(text));
            }
            _ => (),
        }
        world
    }
}

#[derive(Default)]
struct Vm {
    catalogue: Catalogue,
    /// Epoch of the watch and index in the log of the next change that it delivers.
    watch: Option<(u64, usize)>,
    /// Version of each key that was in effect at the last check.
    seen: [Option<Version>; KEYS.len()],
}

impl Vm {
    fn in_effect(&self, key: usize) -> Option<(Version, Option<String>)> {
        let valid = self.catalogue.get(KEYS[key])?.valid.as_ref()?;
        let is_deleted = matches!(valid.value, Value::Deleted);
        let text = valid.text.as_deref().filter(|_| !is_deleted);
        Some((valid.mark.version, text.map(str::to_owned)))
    }

    fn deliver(&mut self, key: usize, revision: u64, text: Option<&str>) {
        let before = self.in_effect(key);
        let version = self.catalogue.version(KEYS[key], revision, text);
        self.catalogue
            .offer(KEYS[key], version, text, Source::Service);
        if text.is_some_and(|text| !is_valid(text)) {
            assert_eq!(
                self.in_effect(key),
                before,
                "an invalid content changed what is in effect"
            );
            let newer = before.is_none_or(|(valid, _)| version > valid);
            let reported = self
                .catalogue
                .faults()
                .any(|(found, ..)| found == KEYS[key]);
            assert!(
                reported || !newer,
                "a newer invalid content is not reported"
            );
        }
    }

    fn read(&mut self, world: &World, lag: usize) {
        if world.down {
            return;
        }
        let index = (world.snapshots.len() - 1).saturating_sub(lag);
        let (revision, keys) = &world.snapshots[index];
        for (key, (mod_revision, text)) in keys {
            self.deliver(*key, *mod_revision, Some(text));
        }
        let present = keys
            .iter()
            .map(|(key, (mod_revision, _))| (KEYS[*key], *mod_revision));
        let present: Vec<(&str, u64)> = present.collect();
        let _ = self.catalogue.apply_snapshot(*revision, &present);
        self.watch = Some((world.epoch, index));
    }

    fn watch(&mut self, world: &World) {
        let Some((epoch, next)) = self.watch.filter(|(epoch, _)| *epoch == world.epoch) else {
            return;
        };
        if let Some((key, revision, text)) = world.log.get(next).filter(|_| !world.down) {
            self.deliver(*key, *revision, text.as_deref());
            self.watch = Some((epoch, next + 1));
        }
    }

    fn receive(&mut self, contents: Vec<(String, Version, Option<String>)>) {
        for (key, version, text) in contents {
            let source = Source::Peer("peer".into());
            self.catalogue.offer(&key, version, text.as_deref(), source);
        }
    }

    /// The contents that are missing at `peer`, found by digest and stamps.
    fn contents_missing_at(&self, peer: &Self) -> Vec<(String, Version, Option<String>)> {
        let (own, theirs) = (self.catalogue.digest(), peer.catalogue.digest());
        let differ = (0..BUCKETS).filter(|bucket| own[*bucket] != theirs[*bucket]);
        let contents = differ.flat_map(|bucket| {
            self.catalogue
                .missing_contents(bucket, &peer.catalogue.stamps(bucket))
        });
        contents
            .map(|content| {
                (
                    content.key.into(),
                    content.version,
                    content.text.map(str::to_owned),
                )
            })
            .collect()
    }

    fn all_contents(&self) -> Vec<(String, Version, Option<String>)> {
        let contents = KEYS.iter().flat_map(|key| self.catalogue.contents(key));
        contents
            .map(|content| {
                (
                    content.key.into(),
                    content.version,
                    content.text.map(str::to_owned),
                )
            })
            .collect()
    }
}

struct Fleet {
    vms: [Vm; VMS],
}

impl Fleet {
    fn exchange(&mut self, one: usize, other: usize) {
        let there = self.vms[one].contents_missing_at(&self.vms[other]);
        let back = self.vms[other].contents_missing_at(&self.vms[one]);
        self.vms[other].receive(there);
        self.vms[one].receive(back);
        let (one, other) = (&self.vms[one], &self.vms[other]);
        assert_eq!(
            one.all_contents(),
            other.all_contents(),
            "VMs differ after an exchange"
        );
        assert_eq!(one.catalogue.digest(), other.catalogue.digest());
    }

    fn exchange_all(&mut self) {
        for _ in 0..2 {
            for one in 0..VMS {
                self.exchange(one, (one + 1) % VMS);
            }
        }
    }

    fn restart_all(&mut self) {
        self.exchange_all();
        let before = self.vms[0].all_contents();
        for vm in 0..VMS {
            self.vms[vm] = Vm::default();
            self.exchange(vm, (vm + 1) % VMS);
            assert_eq!(
                self.vms[vm].all_contents(),
                before,
                "a rolling restart lost contents"
            );
        }
    }

    /// Lets all VMs read the current contents and exchange them, and checks the result.
    fn settle(&mut self, world: &World) {
        for _ in 0..2 {
            self.vms.iter_mut().for_each(|vm| vm.read(world, 0));
            self.exchange_all();
        }
        for (key, name) in KEYS.iter().enumerate() {
            if world.keys.get(&key).is_none_or(|(_, text)| is_valid(text)) {
                let found = self.vms[0].in_effect(key).and_then(|(_, text)| text);
                assert_eq!(
                    found,
                    world.intent(key),
                    "{name} is not as the operator left it"
                );
            }
        }
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = World;

    fn init_test(_: &World) -> Self {
        Self {
            vms: Default::default(),
        }
    }

    fn apply(mut fleet: Self, world: &World, step: Step) -> Self {
        match step {
            Step::Read { vm, lag } => fleet.vms[vm].read(world, lag),
            Step::Watch { vm } => fleet.vms[vm].watch(world),
            Step::Push { from, to, key } => {
                let contents = fleet.vms[from].all_contents().into_iter();
                let contents = contents.filter(|(name, ..)| *name == KEYS[key]).collect();
                fleet.vms[to].receive(contents);
            }
            Step::Exchange { one, other } => fleet.exchange(one, other),
            Step::Restart { vm, peer } => {
                fleet.vms[vm] = Vm::default();
                fleet.exchange(vm, peer);
            }
            Step::RestartAll => fleet.restart_all(),
            Step::Settle => fleet.settle(world),
            _ => (),
        }
        for vm in &mut fleet.vms {
            check(vm, world);
        }
        fleet
    }
}

/// Checks that the version in effect never decreases, and that the content in effect is what the
/// operator published or deleted.
fn check(vm: &mut Vm, world: &World) {
    for (key, name) in KEYS.iter().enumerate() {
        let Some((version, text)) = vm.in_effect(key) else {
            assert_eq!(vm.seen[key], None, "{name} is no longer known");
            continue;
        };
        assert!(vm.seen[key] <= Some(version), "{name} went back");
        vm.seen[key] = Some(version);
        let at = (version.generation, version.revision);
        let intents = &world.intents[key];
        let Some((when, intent)) = intents.range(..=at).next_back() else {
            assert_eq!(text, None, "{name} was never published");
            continue;
        };
        if text.is_some() {
            assert_eq!((*when, intent), (at, &text), "{name} was not published so");
        } else {
            // A VM that has not seen a raised generation gives a deletion the one that it knows.
            let deleted = intents.range(*when..).any(|(_, intent)| intent.is_none());
            assert!(deleted, "{name} was not deleted, but is at {at:?}");
        }
    }
}

prop_state_machine! {
    // Steps whose preconditions fail are drawn again, which happens often in long runs.
    #![proptest_config(Config {
        max_local_rejects: u32::MAX,
        ..seeded::config(0x0ca7_a109, 768)
    })]

    /// Guards against accepted changes that revert, get lost, or differ between VMs.
    #[test]
    fn accepted_changes_never_revert(sequential 1..60 => Fleet);
}
