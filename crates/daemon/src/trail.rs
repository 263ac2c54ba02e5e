//! Records changes of the daemon's own state in the audit trail, and logs every new record.

use oriolecleat_core::audit::Change;
use oriolecleat_core::map::Set;
use oriolecleat_core::route::Shadow;
use oriolecleat_core::target;

use crate::clock;
use crate::halt;
use crate::node::Node;
use crate::quota::Division;
use crate::service;

/// Records logged at once.
const LOG_BATCH: usize = 256;

/// State that was recorded last, to detect changes.
#[derive(Default)]
pub(crate) struct Trail {
    logged: u64,
    stale: bool,
    phase: &'static str,
    division: Option<Division>,
    ejected: Set<(service::Key, target::Key)>,
    shadows: Vec<Shadow>,
    /// The node's count of applied catalogue changes when the shadows were computed.
    applied: u64,
}

impl Node {
    /// Records what changed since the last call, and logs all new records.
    pub(crate) fn record_changes(&mut self) {
        self.record_view();
        self.record_phase();
        self.record_limits();
        self.record_ejections();
        self.record_shadows();
        self.log_records();
    }

    fn record_change(&mut self, kind: &str, subject: &str, cause: &str) {
        let change = Change::new(kind, subject, "own", cause);
        self.audit.record(clock::wall_ms(), change);
    }

    fn record_view(&mut self) {
        let stale = self.reader.is_stale(self.clock.now());
        if stale != self.trail.stale {
            self.trail.stale = stale;
            let vm = self.settings.vm.clone();
            let kind = if stale { "view_stale" } else { "view_fresh" };
            self.record_change(kind, &vm, "age of the last confirmation");
        }
    }

    fn record_phase(&mut self) {
        let phase = halt::name(self.phase());
        if phase != self.trail.phase {
            self.trail.phase = phase;
            let vm = self.settings.vm.clone();
            self.record_change("phase", &vm, phase);
        }
    }

    fn record_limits(&mut self) {
        let division = self.division();
        if self.trail.division != Some(division) {
            self.trail.division = Some(division);
            let Division { members, ceiling } = division;
            let cause = format!("divided by {members} members, at most {ceiling} VMs");
            self.record_change("limits", "entries", &cause);
        }
    }

    fn record_ejections(&mut self) {
        let mut ejected = Set::default();
        let mut changes = Vec::new();
        for (service_key, service) in &self.services {
            for (key, target) in service.balancer.targets().iter() {
                let known = self.trail.ejected.contains(&(service_key, key));
                if target.is_ejected() {
                    ejected.insert((service_key, key));
                }
                if target.is_ejected() != known {
                    let subject = format!("{}/{}", service.name, target.spec.name);
                    changes.push((subject, target.is_ejected()));
                }
            }
        }
        self.trail.ejected = ejected;
        for (subject, is_ejected) in changes {
            let cause = if is_ejected {
                "slower or failing more than the others"
            } else {
                "as good as the others again"
            };
            self.record_change("ejection", &subject, cause);
        }
    }

    fn record_shadows(&mut self) {
        // The rules of a platform distinguish entries by host and path, so none shadows another.
        if self.trail.applied == self.applied || self.hosted.is_some() {
            return;
        }
        self.trail.applied = self.applied;
        let shadows = self.routes.shadows();
        for shadow in &shadows {
            if !self.trail.shadows.contains(shadow) {
                self.record_change("shadowed", &shadow.entry, &format!("by {}", shadow.by));
            }
        }
        self.trail.shadows = shadows;
    }

    fn log_records(&mut self) {
        for record in self.audit.records_after(self.trail.logged, LOG_BATCH) {
            self.trail.logged = record.seq;
            let version = record.version.unwrap_or_default();
            log::info!(
                kind = &*record.kind,
                subject = &*record.subject,
                source = &*record.source,
                cause = &*record.cause,
                seq = record.seq,
                generation = version.generation,
                revision = version.revision;
                "audit"
            );
        }
    }
}
