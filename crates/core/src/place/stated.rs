//! What the targets of a service state of themselves, in placement: which of them may get calls, and how
//! many. For targets in need, and targets that leave before any other source says so.

use crate::entry;
use crate::map::Map;
use crate::place::placer::Placer;
use crate::stated::Change;
use crate::stated::Stated;
use crate::stated::Statement;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

impl Placer {
    /// The targets that state a limit.
    pub fn limited_targets(&self) -> impl Iterator<Item = &entry::Target> {
        let limited = self
            .stated
            .iter()
            .filter(|(_, stated)| stated.limit().is_some());
        limited.filter_map(|(key, _)| Some(&self.targets.get(key)?.spec))
    }

    /// Sets the names of the targets that this VM may use while they state a limit, each with the number
    /// of VMs that may.
    pub fn set_users(&mut self, users: Map<Box<str>, usize>) {
        self.users = Some(users);
    }

    /// Takes over what an answer to a request sent at `sent` states of its target.
    pub fn record_statement(
        &mut self,
        now: Instant,
        target: target::Key,
        sent: Instant,
        statement: Statement,
    ) -> Vec<Change> {
        let known = self.targets.get(target);
        let Some(stated) = known.and_then(|_| self.stated.entry(target)) else {
            return Vec::new();
        };
        stated.or_default().record(now, sent, statement)
    }

    /// Whether the target states that it takes nothing from this VM at `now`.
    #[must_use]
    pub fn is_closed(&self, now: Instant, target: target::Key) -> bool {
        let stated = self.stated.get(target);
        stated.is_some_and(|stated| stated.wait(now).is_none_or(|wait| wait > Span::ZERO))
    }

    /// Requests a second that the limit which the target states, and its cold start, leave to this VM;
    /// none without any.
    pub(super) fn limit_of(
        &self,
        now: Instant,
        key: target::Key,
        target: &target::Target,
    ) -> Option<f64> {
        let stated = self.stated.get(key);
        let stated = stated.and_then(|stated| stated.rate(now, self.users_of(&target.spec)));
        let cold = self.cold_rate(now, key, &target.spec.name);
        stated.into_iter().chain(cold).reduce(f64::min)
    }

    /// Requests of other VMs that are expected at a target without reports. A target with a limit gets
    /// few: only some VMs send there, and no more than their shares.
    pub(super) fn usual_others(&self, key: target::Key, slots: f64) -> f64 {
        let limit = self.stated.get(key).and_then(Stated::limit);
        limit.map_or(self.mean_others * slots, |_| 0.0)
    }

    /// Number of VMs that may use the target while it states a limit, this one included; zero if this
    /// one may not.
    pub(super) fn users_of(&self, spec: &entry::Target) -> usize {
        let users = self.users.as_ref();
        users.map_or(1, |users| users.get(&spec.name).copied().unwrap_or(0))
    }
}
