//! The claim on the ticket of a request that must run at most once, while the request is in
//! progress.

use oriolecleat_core::request::Code;
use oriolecleat_core::request::Failure;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::ticket::Claim;

use crate::head;
use crate::node::Node;
use crate::node::Shared;

/// Guards the claim on the ticket of a request, if the class of the request needs one. If it is
/// dropped before the request was written, the ticket is released; after that, the outcome of the
/// ticket stays unknown.
pub(crate) struct Guard {
    node: Shared,
    claim: Option<Claim>,
    written: bool,
}

impl Guard {
    /// A guard for a request that needs no ticket.
    pub(crate) fn none(node: &Shared) -> Self {
        Self {
            node: node.clone(),
            claim: None,
            written: false,
        }
    }

    /// Claims the ticket in `headers`. The error says why it cannot be used.
    pub(crate) fn claim(node: &Shared, headers: &hyper::HeaderMap) -> Result<Self, Failure> {
        let text = head::ticket(headers).ok_or(Failure {
            code: Code::TicketRequired,
            outcome: Outcome::NotRun,
        })?;
        let mut borrowed = node.borrow_mut();
        let ticket = borrowed.issuer.verify(text).ok_or(Failure {
            code: Code::TicketInvalid,
            outcome: Outcome::NotRun,
        })?;
        let now = borrowed.clock.now();
        let claimed = borrowed.ledger.claim(now, &ticket);
        let claim = claimed.map_err(|refusal| Failure {
            code: refusal.code(),
            outcome: refusal.outcome(),
        })?;
        Ok(Self {
            node: node.clone(),
            claim: Some(claim),
            written: false,
        })
    }

    /// Marks the request as written: from now on, bytes may reach a target.
    pub(crate) fn mark_written(&mut self) {
        self.written = true;
    }

    /// Marks the request as not written, as the target answered that it did not run it.
    pub(crate) fn mark_shed(&mut self) {
        self.written = false;
    }

    /// Marks the ticket as used: the request ran, and its whole answer is there for the caller.
    pub(crate) fn mark_ran(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.complete(&mut self.node.borrow_mut().ledger);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take()
            && !self.written
        {
            claim.release(&mut self.node.borrow_mut().ledger);
        }
    }
}

/// The outcome of earlier requests with the ticket in `headers`.
pub(crate) fn earlier_outcome(node: &Node, headers: &hyper::HeaderMap) -> Outcome {
    let ticket = head::ticket(headers).and_then(|text| node.issuer.verify(text));
    ticket.map_or(Outcome::NotRun, |ticket| {
        node.ledger.outcome(node.clock.now(), &ticket)
    })
}
