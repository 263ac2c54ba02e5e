//! Bytes of a call and its answer, learned for each entry from the exchanges that ended.

use crate::map::Map;

/// Bytes that are assumed before any exchange of an entry. Plain calls have 1 kB to 10 kB.
const ASSUMED: f64 = 4_000.0;
/// Weight of a new exchange: the mean follows a change of the entry within some tens of calls.
const WEIGHT: f64 = 1.0 / 16.0;

/// Mean bytes of an exchange by entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sizes {
    entries: Map<u32, f64>,
}

impl Sizes {
    /// Records an exchange of `entry` that carried `bytes` in both directions.
    pub(crate) fn add(&mut self, entry: u32, bytes: f64) {
        let mean = self.entries.entry(entry).or_insert(bytes);
        *mean += (bytes - *mean) * WEIGHT;
    }

    /// Expected bytes of a call of `entry` and its answer; `request` is the size of the request if
    /// it is known.
    pub(crate) fn expected(&self, entry: u32, request: Option<f64>) -> f64 {
        let mean = self.entries.get(&entry).copied().unwrap_or(ASSUMED);
        mean.max(request.unwrap_or(0.0))
    }
}
