//! Data centres that the operator has taken out of service. Their targets get no new work, whatever
//! they register; calls that already run there end normally.

use crate::map::Map;
use crate::time::Instant;

/// The orders in force, and when data centres came back.
#[derive(Debug, Default)]
pub struct Orders {
    /// The data centre of each order, by key.
    by_key: Map<Box<str>, Box<str>>,
    /// Orders that a restored store lacks, by key, with the time until which they hold all the same.
    lapsing: Map<Box<str>, Instant>,
    /// When each data centre last came back into service.
    returned: Map<Box<str>, Instant>,
}

impl Orders {
    /// Takes `data_center` out of service until `key` is removed. Returns whether it was in service.
    pub fn put(&mut self, key: &str, data_center: &str) -> bool {
        let was_out = self.contains(data_center);
        self.lapsing.remove(key);
        self.by_key.insert(key.into(), data_center.into());
        !was_out
    }

    /// Keeps the order under `key`, which was removed, until `until`. Returns whether there is one.
    pub fn keep(&mut self, key: &str, until: Instant) -> bool {
        let is_known = self.by_key.contains_key(key);
        if is_known {
            self.lapsing.insert(key.into(), until);
        }
        is_known
    }

    /// Keys of the orders that were kept until `now` or before.
    #[must_use]
    pub fn lapsed(&self, now: Instant) -> Vec<Box<str>> {
        let lapsed = self.lapsing.iter().filter(|(_, until)| **until <= now);
        lapsed.map(|(key, _)| key.clone()).collect()
    }

    /// Removes the order under `key`. Returns the data centre that is back in service, if it was the
    /// last order for one.
    pub fn remove(&mut self, now: Instant, key: &str) -> Option<Box<str>> {
        self.lapsing.remove(key);
        let data_center = self.by_key.remove(key)?;
        if self.contains(&data_center) {
            return None;
        }
        self.returned.insert(data_center.clone(), now);
        Some(data_center)
    }

    /// Whether `data_center` is out of service.
    #[must_use]
    pub fn contains(&self, data_center: &str) -> bool {
        self.by_key.values().any(|known| **known == *data_center)
    }

    /// When `data_center` last came back into service; none if it was never out.
    #[must_use]
    pub fn returned_at(&self, data_center: &str) -> Option<Instant> {
        self.returned.get(data_center).copied()
    }

    /// Number of data centres that are out of service.
    #[must_use]
    pub fn count(&self) -> usize {
        let mut names: Vec<&str> = self.by_key.values().map(|name| &**name).collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    }
}
