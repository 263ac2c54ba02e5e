//! Queue and choice of target of one service.
//!
//! Events go in as method calls; what to do comes out as [`Action`]s.

use std::collections::VecDeque;

use rand::rngs::SmallRng;

use crate::entry;
use crate::entry::Class;
use crate::target;
use crate::target::Table;
use crate::time::Instant;
use crate::time::Span;

key! {
    /// Names a call that was offered to a [`Balancer`].
    pub struct Call(pub u64);

    /// Why a call was refused before any byte of it was written.
    pub enum Refusal {
        /// The queue is full, or the call would wait too long.
        Overloaded,
        /// Half of the deadline passed in the queue.
        Deadline,
        /// No target may get new work.
        NoTarget,
    }

    /// What the daemon has to do.
    pub enum Action {
        /// Send `call` to `target`, which may keep it waiting for at most `queue`.
        Assign {
            /// The call.
            call: Call,
            /// Where it goes.
            target: target::Key,
            /// Longest wait in the target before it sheds the call.
            queue: Span,
        },
        /// Answer the caller that `call` did not run.
        Refuse {
            /// The call.
            call: Call,
            /// Why.
            reason: Refusal,
        },
    }

    /// How an attempt at a target ended.
    pub enum Ending {
        /// The target answered, with an error status of its own if `failed`.
        Answered {
            /// From the first byte written to the last byte read.
            latency: Span,
            /// Whether the target answered with a server error.
            failed: bool,
        },
        /// The target answered that it did not run the call.
        Shed,
        /// The connection failed; `written` tells whether bytes may have reached the target.
        Broken {
            /// Whether bytes may have reached the target.
            written: bool,
        },
        /// The caller left, or the attempt was cancelled.
        Cancelled,
    }
}

data! {
    /// A call that asks for a target.
    pub struct Ask {
        /// Names the call in later events.
        pub call: Call,
        /// Class of its entry.
        pub class: Class,
        /// When the caller stops waiting.
        pub deadline: Instant,
    }
}

/// Queue and targets of one service.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: Table,
    queue: VecDeque<Ask>,
}

impl Balancer {
    /// Takes over the targets that the catalogue names.
    pub fn update(&mut self, specs: &[entry::Target]) {
        self.targets.update(specs);
    }

    /// The targets with what is known of each.
    #[must_use]
    pub fn targets(&self) -> &Table {
        &self.targets
    }

    /// A call arrived.
    pub fn arrive(&mut self, now: Instant, ask: Ask, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.queue.push_back(ask);
        self.dispatch(now, rng, out);
    }

    /// The attempt of a call at `target` ended.
    pub fn finish(
        &mut self,
        now: Instant,
        target: target::Key,
        _ending: Ending,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
        self.dispatch(now, rng, out);
    }

    /// A call that waits is not wanted any more.
    pub fn withdraw(&mut self, call: Call) {
        self.queue.retain(|ask| ask.call != call);
    }

    /// Time passed.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.dispatch(now, rng, out);
    }

    fn dispatch(&mut self, now: Instant, _rng: &mut SmallRng, out: &mut Vec<Action>) {
        while let Some(ask) = self.queue.pop_front() {
            if now >= ask.deadline {
                out.push(Action::Refuse {
                    call: ask.call,
                    reason: Refusal::Deadline,
                });
                continue;
            }
            let least = self
                .targets
                .iter()
                .min_by_key(|(_, target)| target.in_flight);
            let Some((key, _)) = least else {
                out.push(Action::Refuse {
                    call: ask.call,
                    reason: Refusal::NoTarget,
                });
                continue;
            };
            if let Some(target) = self.targets.get_mut(key) {
                target.in_flight += 1;
            }
            out.push(Action::Assign {
                call: ask.call,
                target: key,
                queue: Span::ZERO,
            });
        }
    }
}
