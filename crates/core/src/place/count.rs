//! Whether the report on an answer counts the request that it answers. For platforms that do not say so:
//! a target that counts it seems to hold one request of another VM when it is idle.

use crate::estimate::Report;

/// Reports of one request, none of zero among them, after which a report is taken to count the request that it answers.
/// Beside other VMs, a busy target reports one request of theirs now and then.
const RUN: u32 = 32;
/// Reports of one request for which a report of more makes up. Under overload, targets report the
/// requests of other VMs, which tells nothing.
const BUSY_WEIGHT: u32 = 4;
/// Reports of zero requests that lengthen the run, so that an overload later on changes nothing.
const MAX_ZEROS: u32 = 31;
/// Bound on the run. Once it is reached, the busy reports of a peak do not change the result.
const MAX_RUN: u32 = 4 * RUN * (1 + MAX_ZEROS);

/// What the reports of targets with one call of this VM tell.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    /// Reports of one request since the last one of zero, less those that busy ones make up for.
    run: u32,
    /// Reports of zero requests, `MAX_ZEROS` at most.
    zeros: u32,
}

impl Count {
    /// Takes in the report on the answer to the only call of this VM at its target.
    pub(crate) fn record(&mut self, report: Report) {
        match report.running + report.queued {
            0 => {
                self.run = 0;
                self.zeros = (self.zeros + 1).min(MAX_ZEROS);
            }
            1 => self.run = self.run.saturating_add(1).min(MAX_RUN),
            _ => self.run = self.run.saturating_sub(BUSY_WEIGHT),
        }
    }

    /// Whether a report counts the request that it answers.
    pub(crate) fn includes_answered(self) -> bool {
        self.run > RUN * (1 + self.zeros)
    }
}
