//! The regions that a request may reach, by the plan in force when its bytes are written.

use oriolecleat_core::site::region::Scope;
use oriolecleat_core::target;

use crate::node::Node;
use crate::service;

/// What decides about the regions of a request.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    /// Host that the caller names.
    pub(crate) host: Box<str>,
    /// Path of the request.
    pub(crate) path: Box<str>,
    /// Version of the plan that `regions` is taken from; none without a platform.
    pub(crate) plan: Option<u64>,
    /// Regions whose targets the request may reach.
    pub(crate) regions: Scope,
}

impl Node {
    /// Version of the plan in force.
    pub(crate) fn plan_version(&self) -> Option<u64> {
        let plan = self.hosted.as_ref()?.plan.as_ref();
        plan.map(|plan| plan.version)
    }

    /// Takes over the regions of the plan in force, if it is not the one that `origin` knows. A
    /// request whose route the plan no longer has keeps its regions.
    pub(crate) fn update_origin(&self, origin: &mut Origin) {
        let version = self.plan_version();
        if version == origin.plan {
            return;
        }
        origin.plan = version;
        let rules = self.hosted.as_ref().map(|hosted| &hosted.rules);
        if let Some(rule) = rules.and_then(|rules| rules.find(&origin.host, &origin.path)) {
            origin.regions = rule.regions.clone();
        }
    }

    /// Whether the target may get a request of `origin` now. Checked right before the first byte is
    /// written.
    pub(crate) fn is_fit(
        &self,
        service: service::Key,
        target: target::Key,
        origin: &mut Origin,
    ) -> bool {
        self.update_origin(origin);
        let now = self.clock.now();
        self.services.get(service).is_some_and(|found| {
            let region = found.balancer.targets().get(target);
            found.is_fit(now, target)
                && region.is_some_and(|target| origin.regions.allows(&target.spec.region))
        })
    }
}
