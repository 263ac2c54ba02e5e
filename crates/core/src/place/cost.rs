//! What the bytes of a call cost between data centres and regions, as a share of the worth of its answer.
//! For regions that are full while others have room, where the bytes may cost more than the answer is
//! worth.

use crate::map::Map;

/// Bytes of a call and its answer until any are counted.
const ASSUMED_BYTES: f64 = 4_096.0;
/// Weight of a new call in the mean bytes of its entry.
const WEIGHT: f64 = 1.0 / 32.0;
/// Worth of an answer to a call of the most urgent rank and of the next one, against one of the others.
const WORTH: [f64; 2] = [3.0, 2.0];
const BYTES_PER_GIGABYTE: f64 = 1e9;

/// Mean bytes of a call, request and answer, by entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bytes {
    entries: Map<u32, f64>,
}

impl Bytes {
    /// Records that a call of `entry` carried `bytes` in both directions.
    pub(crate) fn record(&mut self, entry: u32, bytes: f64) {
        let mean = self.entries.entry(entry).or_insert(bytes);
        *mean += (bytes - *mean) * WEIGHT;
    }

    /// Loss of a call of `entry` with `urgency` for its bytes, if a gigabyte costs `per_gigabyte`
    /// answers.
    pub(crate) fn loss(&self, entry: u32, urgency: u8, per_gigabyte: f64) -> f64 {
        let bytes = self.entries.get(&entry).copied().unwrap_or(ASSUMED_BYTES);
        let worth = WORTH.get(usize::from(urgency)).copied().unwrap_or(1.0);
        bytes * per_gigabyte / BYTES_PER_GIGABYTE / worth
    }
}
