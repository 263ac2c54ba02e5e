//! Allowed regions in placement: which targets a call may reach, and how long the calls that wait
//! for some regions hold back a call. For plans that keep requests within regions.
//!
//! Calls wait for their own regions alone: one region without room delays no call that another
//! region can serve.

use crate::place::loss::Candidate;
use crate::place::queue::Item;
use crate::site::region;
use crate::site::region::Scope;
use crate::target;

/// Calls a second below which a region counts as completing none.
pub(super) const MIN_THROUGHPUT: f64 = 0.001;

/// The candidates whose regions `scope` allows.
pub(super) fn permitted<'a>(
    candidates: &'a [(target::Key, Candidate)],
    scope: &'a Scope,
) -> impl Iterator<Item = &'a Candidate> {
    let candidates = candidates.iter().map(|(_, candidate)| candidate);
    candidates.filter(|candidate| scope.includes(candidate.region))
}

/// Whether there are candidates in the regions of `scope`, and none may get a call at once because
/// of the limits that they state.
pub(super) fn is_limited(candidates: &[(target::Key, Candidate)], scope: &Scope) -> bool {
    let mut targets = permitted(candidates, scope).peekable();
    targets.peek().is_some() && targets.all(|target| !target.is_allowed())
}

/// Calls a second that the open targets of each region complete.
#[derive(Debug, Default)]
pub(super) struct Throughput(Vec<(region::Key, f64)>);

impl Throughput {
    /// Adds a target of `region` that completes `per_s` calls a second.
    pub(super) fn add(&mut self, region: region::Key, per_s: f64) {
        match self.0.iter_mut().find(|(known, _)| *known == region) {
            Some((_, sum)) => *sum += per_s,
            None => self.0.push((region, per_s)),
        }
    }

    /// Calls a second that the regions of `scope` complete together.
    pub(super) fn of(&self, scope: &Scope) -> f64 {
        let allowed = self.0.iter().filter(|(region, _)| scope.includes(*region));
        allowed.map(|(_, per_s)| per_s).sum()
    }

    /// Seconds until a call with `scope` gets a target behind the calls `ahead`. Each of these takes
    /// its regions for the time in which they complete one call. The call goes to the region that
    /// is free first, so one without calls ahead does not make it wait. Infinite if its regions
    /// complete nothing.
    pub(super) fn wait<'a>(&self, scope: &Scope, ahead: impl Iterator<Item = &'a Item>) -> f64 {
        let mut waits = vec![0.0; self.0.len()];
        for item in ahead {
            let scope = &item.job.regions;
            let each = 1.0 / self.of(scope).max(f64::MIN_POSITIVE);
            for ((region, _), wait) in self.0.iter().zip(&mut waits) {
                if scope.includes(*region) {
                    *wait += each;
                }
            }
        }
        let regions = self.0.iter().zip(waits);
        let open = regions
            .filter(|((region, per_s), _)| scope.includes(*region) && *per_s >= MIN_THROUGHPUT);
        open.map(|(_, wait)| wait).fold(f64::INFINITY, f64::min)
    }
}
