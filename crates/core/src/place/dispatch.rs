//! Which of the calls that wait gets a target that has room. For overload: targets go to calls that can
//! still be answered in time, and what these leave, such as a target beside a noisy neighbour, to late
//! ones. A decision looks at the first calls of each line and at a bounded number of targets.

use rand::rngs::SmallRng;

use crate::balance::Action;
use crate::balance::Call;
use crate::balance::Refusal;
use crate::place::placer::Choice;
use crate::place::placer::Placer;
use crate::place::placer::View;
use crate::place::queue::Expiry;
use crate::place::queue::Item;
use crate::target;
use crate::time::Instant;
use crate::time::Span;

/// Calls of a line that a decision looks at.
const LOOKED_AT: usize = 8;

/// Share of the time left within which a target has to be expected to answer while other calls wait for one,
/// too.
const CROWDED_SHARE: f64 = 0.85;
/// The same for the only call that waits: work spreads, so it may still be in time.
const ALONE_SHARE: f64 = 1.2;
/// Time for which a shortage of targets is assumed to last.
const SHORT_FOR: Span = Span::from_millis(500);
/// Good targets that late calls leave during a shortage: one of so many, and at most so many.
const KEPT_OF: usize = 2;
const KEPT_MAX: usize = 2;

/// What becomes of a call that waits.
enum Decision {
    Send(Choice),
    /// Another call may use the targets that are left.
    Wait,
    /// No target has room for any call.
    Full,
}

impl Placer {
    /// Sends the calls that wait for which a target has room, and refuses those that waited too long. Looks
    /// at the target that just became free, if one did.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        freed: Option<target::Key>,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        if self.queue.is_empty() {
            return;
        }
        if !self.has_open_target() {
            return self.refuse_all(out);
        }
        self.expire(now, out);
        let mut view = self.view(now, freed, rng);
        self.assign(now, &mut view, rng, out);
        let next = self.queue.first(1).pop();
        let next = next.and_then(|call| self.queue.get(call)).cloned();
        if let Some(item) = next.filter(|item| !item.is_probing(now)) {
            if !view.iter().any(|(_, target)| target.has_room()) {
                self.probe_best(now, &item, &view, out);
            }
            self.search(now, &item, &view, out);
        }
    }

    /// Moves calls that have become late to the second line, and refuses those whose wait is over.
    fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(expiry) = self.queue.expired(now) {
            let (Expiry::Late(call) | Expiry::Over(call)) = expiry;
            let Some(item) = self.queue.remove(call) else {
                continue;
            };
            // A call that targets refused is no sign that there are too few.
            if matches!(expiry, Expiry::Late(_)) && item.tried.is_empty() {
                self.short_at = now;
            }
            let line = match expiry {
                Expiry::Late(_) => self.late_line(now, &item.job, item.work),
                Expiry::Over(_) => None,
            };
            match line {
                Some(line) => self.queue.push(item, line),
                None => out.push(refusal(call, Refusal::Overloaded)),
            }
        }
    }

    fn refuse_all(&mut self, out: &mut Vec<Action>) {
        for item in self.queue.drain() {
            out.push(refusal(item.job.call, Refusal::NoTarget));
        }
    }

    /// Sends calls that wait to the targets of `view`.
    pub(super) fn assign(
        &mut self,
        now: Instant,
        view: &mut View,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let mut first = true;
        for call in self.queue.first(LOOKED_AT) {
            match self.decide(now, call, view, rng) {
                Decision::Send(choice) => self.send_waiting(now, call, &choice, view, out),
                Decision::Wait => first = false,
                Decision::Full => return,
            }
        }
        if !first && self.queue.ahead(u8::MAX) > LOOKED_AT {
            return;
        }
        for call in self.queue.second(LOOKED_AT) {
            match self.decide_late(now, call, view, rng) {
                Decision::Send(choice) => self.send_waiting(now, call, &choice, view, out),
                Decision::Wait => {}
                Decision::Full => return,
            }
        }
    }

    fn decide(&self, now: Instant, call: Call, view: &View, rng: &mut SmallRng) -> Decision {
        let Some(item) = self.queue.get(call) else {
            return Decision::Wait;
        };
        if item.is_probing(now) && !self.is_best_probed(now, item, view) {
            return Decision::Wait;
        }
        let Some(choice) = self.pick(now, item, view, rng) else {
            return full_or_wait(item);
        };
        let time = choice.candidate.expected_time(item.work, &self.noise);
        // A target that would answer late is left to calls that are late anyway.
        let share = if self.queue.ahead(u8::MAX) > 1 {
            CROWDED_SHARE
        } else {
            ALONE_SHARE
        };
        if time > item.remaining(now) * share {
            return Decision::Wait;
        }
        Decision::Send(choice)
    }

    fn decide_late(&self, now: Instant, call: Call, view: &View, rng: &mut SmallRng) -> Decision {
        let Some(item) = self.queue.get(call) else {
            return Decision::Wait;
        };
        let Some(choice) = self.pick(now, item, view, rng) else {
            return full_or_wait(item);
        };
        if choice.candidate.is_congested() || !self.is_spare(now, &choice, view) {
            return Decision::Wait;
        }
        Decision::Send(choice)
    }

    /// Whether a late call may have the target. While there are too few, enough good ones are kept for the
    /// next calls that can be in time, for which a slow one is of no use.
    fn is_spare(&self, now: Instant, choice: &Choice, view: &View) -> bool {
        let is_short = now.since(self.short_at) < SHORT_FOR;
        if !is_short {
            return true;
        }
        if !choice.candidate.is_own() {
            return false;
        }
        if choice.candidate.is_slow() {
            return true;
        }
        let good = view.iter().filter(|(_, target)| target.is_good()).count();
        good >= self.own_count().div_ceil(KEPT_OF).clamp(1, KEPT_MAX)
    }

    fn send_waiting(
        &mut self,
        now: Instant,
        call: Call,
        choice: &Choice,
        view: &mut View,
        out: &mut Vec<Action>,
    ) {
        if let Some(item) = self.queue.remove(call) {
            self.send(now, item, choice, out);
            self.refresh(now, view, choice.target);
        }
    }
}

/// No target has room for `item`: another call may use those that it has tried.
fn full_or_wait(item: &Item) -> Decision {
    if item.tried.is_empty() {
        Decision::Full
    } else {
        Decision::Wait
    }
}

pub(super) fn refusal(call: Call, reason: Refusal) -> Action {
    Action::Refuse { call, reason }
}
