//! Finds where a request goes: by its host, or by the rules of a platform's plan.

use http::request::Parts;
use oriolecleat_core::request::Code;
use oriolecleat_core::site::plan::Plan;
use oriolecleat_core::site::region::Scope;
use oriolecleat_core::time::Span;

use crate::head::Facts;
use crate::node::Node;

/// Where a request goes, and how it ranks there.
pub(crate) struct Destination {
    pub(crate) service: Box<str>,
    /// Name of the entry, if the rules of a plan determine it.
    pub(crate) entry: Option<Box<str>>,
    /// Latency objective: an answer within this time is of full use.
    pub(crate) objective: Span,
    /// Priority over the calls of other entries.
    pub(crate) urgency: u8,
    /// Regions whose targets it may reach.
    pub(crate) regions: Scope,
}

impl Node {
    /// Finds the service of a request by its host or by the rules of the plan.
    pub(crate) fn resolve(&mut self, facts: &Facts, parts: &Parts) -> Result<Destination, Code> {
        let Some(hosted) = &self.hosted else {
            return Ok(Destination {
                service: facts.host.clone(),
                entry: None,
                objective: Span::ZERO,
                urgency: 0,
                regions: Scope::ANY,
            });
        };
        // Without a plan, this VM cannot tell that there is no such route. Before it knows the whole
        // state of the store, it might use a target that is out of service.
        if hosted.plan.is_none() || self.is_catching_up() {
            return Err(Code::NoTarget);
        }
        let rule = hosted.rules.find(&facts.host, parts.uri.path());
        let rule = rule.ok_or(Code::UnknownService)?;
        let part = rule.draw(&mut self.rng).ok_or(Code::NoTarget)?;
        Ok(Destination {
            service: part.service.clone(),
            entry: Some(Plan::entry_name(&rule.name, &part.service)),
            objective: rule.objective,
            urgency: rule.urgency,
            regions: rule.regions.clone(),
        })
    }
}
