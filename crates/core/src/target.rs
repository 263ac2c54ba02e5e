//! Targets of one service with what this VM knows of each.

use slotmap::SlotMap;

use crate::entry;

slotmap::new_key_type! {
    /// Names a target of a [`Table`].
    pub struct Key;
}

/// One target.
#[derive(Debug)]
pub struct Target {
    /// The target as the catalogue has it.
    pub spec: entry::Target,
    /// Requests of this VM that the target works on.
    pub in_flight: u64,
}

/// Arena of the targets of one service.
#[derive(Debug, Default)]
pub struct Table {
    targets: SlotMap<Key, Target>,
}

impl Table {
    /// Takes over `specs`: adds new targets, keeps known ones, removes the rest.
    pub fn update(&mut self, specs: &[entry::Target]) {
        self.targets
            .retain(|_, target| specs.contains(&target.spec));
        for spec in specs {
            if !self.targets.values().any(|target| target.spec == *spec) {
                self.targets.insert(Target {
                    spec: spec.clone(),
                    in_flight: 0,
                });
            }
        }
    }

    /// The target of `key`, if it is still in the table.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The target of `key` for a change, if it is still in the table.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Target)> {
        self.targets.iter()
    }
}
