//! Which targets a decision looks at: a bounded number of them, however many the service has. For large
//! services on small VMs, where looking at every target for every call uses the whole processor.
//!
//! Targets that belong to this VM go first; of the others it prefers few, which are the same for
//! a long time, so that it keeps few connections. Each VM draws its own few by hash.

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::entry;
use crate::map::Set;
use crate::rendezvous::weight;
use crate::target;
use crate::target::Place;
use crate::target::Table;

/// Targets of this VM that a decision looks at.
const OWN: usize = 24;
/// Targets of other VMs of the region, and of other regions, that a decision looks at first.
const NEAR: usize = 6;
const FAR: usize = 4;
/// Further ones that are drawn anew for each decision.
const DRAWN: usize = 2;

/// Targets of a service by their relation to this VM, each in the order of this VM's preference.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    own: Vec<target::Key>,
    near: Vec<target::Key>,
    far: Vec<target::Key>,
    own_slots: u64,
}

/// Whether the target belongs to another VM of the region.
pub(crate) fn is_foreign(
    place: &Place,
    own_targets: Option<&Set<Box<str>>>,
    spec: &entry::Target,
) -> bool {
    spec.region == place.region && own_targets.is_some_and(|own| !own.contains(&spec.name))
}

impl Groups {
    /// Divides `targets` for the VM with the name `vm`.
    pub(crate) fn new(
        vm: &str,
        place: &Place,
        own_targets: Option<&Set<Box<str>>>,
        targets: &Table,
    ) -> Self {
        let mut groups = Self::default();
        let weight = |target: &target::Target| weight(vm, &target.spec.name);
        let mut order: Vec<(u64, target::Key, &entry::Target)> = targets
            .iter()
            .map(|(key, target)| (weight(target), key, &target.spec))
            .collect();
        order.sort_unstable_by_key(|(weight, key, _)| (*weight, *key));
        for (_, key, spec) in order {
            if spec.region != place.region {
                groups.far.push(key);
            } else if is_foreign(place, own_targets, spec) {
                groups.near.push(key);
            } else {
                groups.own.push(key);
                groups.own_slots += spec.slots;
            }
        }
        groups
    }

    /// Number of targets of this VM.
    pub(crate) fn own_count(&self) -> usize {
        self.own.len()
    }

    /// Slots of the targets of this VM.
    pub(crate) fn own_slots(&self) -> u64 {
        self.own_slots
    }

    /// The targets of this VM that a decision looks at.
    pub(crate) fn own(&self, rng: &mut SmallRng) -> impl Iterator<Item = target::Key> {
        let count = self.own.len();
        let start = if count > OWN {
            rng.random_range(0..count)
        } else {
            0
        };
        let around = self.own.iter().cycle().skip(start);
        around.take(count.min(OWN)).copied()
    }

    /// The other targets that a decision looks at.
    pub(crate) fn others(&self, rng: &mut SmallRng) -> Vec<target::Key> {
        let mut others = Vec::with_capacity(NEAR + FAR + 2 * DRAWN);
        for (group, kept) in [(&self.near, NEAR), (&self.far, FAR)] {
            others.extend(group.iter().take(kept).copied());
            let rest = group.get(kept..).unwrap_or_default();
            if rest.len() <= DRAWN {
                others.extend(rest);
            } else {
                let start = rng.random_range(0..rest.len());
                others.extend(rest.iter().cycle().skip(start).take(DRAWN));
            }
        }
        others
    }
}
