//! The routing table: finds the entry of a request by service and method.

use crate::entry::Entry;
use crate::map::Map;

data! {
    /// An entry that gets fewer requests than it matches, since another entry precedes it by name.
    pub struct Shadow {
        /// Service of both entries.
        pub service: Box<str>,
        /// Name of the entry that gets fewer requests.
        pub entry: Box<str>,
        /// Name of the entry that precedes it.
        pub by: Box<str>,
        /// Methods that both entries match; empty for all.
        pub methods: Vec<Box<str>>,
    }
}

/// Entries by service, ordered by name within a service.
#[derive(Default)]
pub struct Table {
    services: Map<Box<str>, Vec<(Box<str>, Entry)>>,
}

impl Table {
    /// Builds the table from the entries in force with their names.
    #[must_use]
    pub fn build(entries: impl Iterator<Item = (Box<str>, Entry)>) -> Self {
        let mut services: Map<Box<str>, Vec<(Box<str>, Entry)>> = Map::default();
        for (name, entry) in entries {
            let entries = services.entry(entry.service.clone()).or_default();
            entries.push((name, entry));
        }
        for entries in services.values_mut() {
            entries.sort_by(|left, right| left.0.cmp(&right.0));
        }
        Self { services }
    }

    /// The first entry by name that matches, with its name.
    #[must_use]
    pub fn find(&self, service: &str, method: &str) -> Option<(&str, &Entry)> {
        let matches = |entry: &Entry| {
            entry.methods.is_empty() || entry.methods.iter().any(|known| &**known == method)
        };
        let entries = self.services.get(service)?;
        let (key, entry) = entries.iter().find(|(_, entry)| matches(entry))?;
        Some((key, entry))
    }

    /// The entry of `service` with the name `name`, with its name.
    #[must_use]
    pub fn get(&self, service: &str, name: &str) -> Option<(&str, &Entry)> {
        let entries = self.services.get(service)?;
        let index = entries.binary_search_by(|(known, _)| (**known).cmp(name));
        let (name, entry) = &entries[index.ok()?];
        Some((name, entry))
    }

    /// Names of the services with their entries.
    pub fn services(&self) -> impl Iterator<Item = (&str, &[(Box<str>, Entry)])> {
        self.services
            .iter()
            .map(|(service, entries)| (&**service, entries.as_slice()))
    }

    /// Entries that share methods with an entry that precedes them, ordered by service and name.
    #[must_use]
    pub fn shadows(&self) -> Vec<Shadow> {
        let mut shadows = Vec::new();
        for (service, entries) in &self.services {
            for (index, (name, entry)) in entries.iter().enumerate() {
                for (by, preceding) in &entries[..index] {
                    shadows.extend(shared_methods(preceding, entry).map(|methods| Shadow {
                        service: service.clone(),
                        entry: name.clone(),
                        by: by.clone(),
                        methods,
                    }));
                }
            }
        }
        shadows.sort_by(|left, right| {
            let order = |shadow: &Shadow| (shadow.service.clone(), shadow.entry.clone());
            order(left).cmp(&order(right))
        });
        shadows
    }
}

/// The methods that both entries match: empty for all, `None` if they share none.
fn shared_methods(first: &Entry, second: &Entry) -> Option<Vec<Box<str>>> {
    if first.methods.is_empty() {
        return Some(second.methods.clone());
    }
    if second.methods.is_empty() {
        return Some(first.methods.clone());
    }
    let mut methods = second.methods.clone();
    methods.retain(|method| first.methods.contains(method));
    (!methods.is_empty()).then_some(methods)
}
