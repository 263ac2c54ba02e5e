//! Finds the entry of a request by service and method.

use crate::catalogue::Catalogue;
use crate::entry::Entry;
use crate::map::Map;

/// Entries by service; within a service ordered by name.
#[derive(Default)]
pub struct Table {
    services: Map<Box<str>, Vec<(Box<str>, Entry)>>,
}

impl Table {
    /// Builds the table of the entries in force.
    #[must_use]
    pub fn build(catalogue: &Catalogue) -> Self {
        let mut services: Map<Box<str>, Vec<(Box<str>, Entry)>> = Map::default();
        for (key, entry) in catalogue.entries() {
            let entries = services.entry(entry.service.clone()).or_default();
            entries.push((key.into(), entry.clone()));
        }
        for entries in services.values_mut() {
            entries.sort_by(|left, right| left.0.cmp(&right.0));
        }
        Self { services }
    }

    /// The first entry by name that matches.
    #[must_use]
    pub fn find(&self, service: &str, method: &str) -> Option<(&str, &Entry)> {
        let matches = |entry: &Entry| {
            entry.methods.is_empty() || entry.methods.iter().any(|known| &**known == method)
        };
        let entries = self.services.get(service)?;
        let (key, entry) = entries.iter().find(|(_, entry)| matches(entry))?;
        Some((key, entry))
    }

    /// Names of the services with their entries.
    pub fn services(&self) -> impl Iterator<Item = (&str, &[(Box<str>, Entry)])> {
        self.services
            .iter()
            .map(|(service, entries)| (&**service, entries.as_slice()))
    }
}
