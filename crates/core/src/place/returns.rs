//! For how long the caller of a request has waited already. For callers that were refused and return: their
//! requests look like new ones, but an answer to them is late sooner.
//!
//! Callers state the time that they have left. Most of those of an entry begin with the same time, so
//! a time that many state is one to begin with, and a shorter one is what is left of it.

use crate::estimate::seconds;
use crate::estimate::span;
use crate::map::Map;
use crate::time::Span;

/// Times to begin with that are known at once for an entry.
const TIMES: usize = 4;
/// Requests after which the counts are halved, so that they follow changes.
const HALF_AFTER: u32 = 256;
/// Share of the requests of an entry that state a time to begin with.
const MIN_SHARE: f64 = 0.15;
/// Requests of an entry before which none of its times is trusted.
const MIN_REQUESTS: u32 = 16;
/// Difference up to which two times count as the same, as a share of the longer one.
const TOLERANCE: f64 = 0.003;

/// A time that requests stated, and how many did.
#[derive(Clone, Copy, Debug, Default)]
struct Time {
    left: f64,
    count: u32,
}

/// Times that the requests of one entry stated.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    times: [Time; TIMES],
    requests: u32,
}

/// Times that requests stated, by entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Returns {
    entries: Map<u32, Entry>,
}

impl Entry {
    fn record(&mut self, left: f64) {
        self.requests += 1;
        let same = |time: &&mut Time| (time.left - left).abs() <= TOLERANCE * time.left.max(left);
        if let Some(time) = self.times.iter_mut().find(same) {
            time.count += 1;
        } else if let Some(rarest) = self.times.iter_mut().min_by_key(|time| time.count) {
            // A rare time loses its place to new ones unless it comes again.
            if rarest.count <= 1 {
                *rarest = Time { left, count: 1 };
            } else {
                rarest.count -= 1;
            }
        }
        if self.requests >= HALF_AFTER {
            self.requests /= 2;
            self.times.iter_mut().for_each(|time| time.count /= 2);
        }
    }

    /// The shortest time to begin with that is not below `left`.
    fn beginning(&self, left: f64) -> Option<f64> {
        if self.requests < MIN_REQUESTS {
            return None;
        }
        let least = MIN_SHARE * f64::from(self.requests);
        let usual = self
            .times
            .iter()
            .filter(|time| f64::from(time.count) >= least);
        let longer = usual.filter(|time| time.left * (1.0 + TOLERANCE) >= left);
        longer.map(|time| time.left).min_by(f64::total_cmp)
    }
}

impl Returns {
    /// Records a request of `entry` whose caller has `left`, and returns for how long the caller has
    /// probably waited before.
    pub(crate) fn record(&mut self, entry: u32, left: Span) -> Span {
        let left = seconds(left);
        let known = self.entries.entry(entry).or_default();
        known.record(left);
        let beginning = known.beginning(left);
        beginning.map_or(Span::ZERO, |beginning| {
            let waited = beginning - left;
            if waited > TOLERANCE * beginning {
                span(waited)
            } else {
                Span::ZERO
            }
        })
    }
}
