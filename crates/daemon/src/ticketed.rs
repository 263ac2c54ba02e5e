//! The claim on a ticket while its request is in progress.

use oriolecleat_core::request::Code;
use oriolecleat_core::request::End;
use oriolecleat_core::request::Outcome;
use oriolecleat_core::ticket::Claim;

use crate::head;
use crate::node::Node;
use crate::node::Shared;

/// The claim of a request, if its class needs one. A request that is dropped before it was written
/// releases its ticket; after that the ticket stays undecided.
pub(crate) struct Guard {
    node: Shared,
    claim: Option<Claim>,
    written: bool,
}

impl Guard {
    pub(crate) fn none(node: &Shared) -> Self {
        Self {
            node: node.clone(),
            claim: None,
            written: false,
        }
    }

    /// Claims the ticket in `headers`.
    pub(crate) fn claim(node: &Shared, headers: &hyper::HeaderMap) -> Result<Self, End> {
        let text = head::ticket(headers).ok_or(End {
            code: Code::TicketRequired,
            outcome: Outcome::NotRun,
        })?;
        let mut borrowed = node.borrow_mut();
        let ticket = borrowed.issuer.verify(text).ok_or(End {
            code: Code::TicketInvalid,
            outcome: Outcome::NotRun,
        })?;
        let now = borrowed.clock.now();
        let claimed = borrowed.ledger.claim(now, &ticket);
        let claim = claimed.map_err(|refusal| End {
            code: refusal.code(),
            outcome: refusal.outcome(),
        })?;
        Ok(Self {
            node: node.clone(),
            claim: Some(claim),
            written: false,
        })
    }

    /// Bytes are about to reach a target.
    pub(crate) fn mark_written(&mut self) {
        self.written = true;
    }

    /// The target answered that it did not run the request.
    pub(crate) fn mark_shed(&mut self) {
        self.written = false;
    }

    /// The whole answer was handed to the caller's connection.
    pub(crate) fn mark_ran(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.ran(&mut self.node.borrow_mut().ledger);
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

/// What became of the work of the ticket in `headers` before this request.
pub(crate) fn earlier_outcome(node: &Node, headers: &hyper::HeaderMap) -> Outcome {
    let ticket = head::ticket(headers).and_then(|text| node.issuer.verify(text));
    ticket.map_or(Outcome::NotRun, |ticket| {
        node.ledger.outcome(node.clock.now(), &ticket)
    })
}
