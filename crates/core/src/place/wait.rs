//! How long calls wait for a target, and which are refused because they would wait for too long. For
//! bursts and overload: what cannot be answered is refused at once, and what would be answered late gets
//! only what the others leave.

use crate::balance::Job;
use crate::estimate::number;
use crate::estimate::seconds;
use crate::estimate::span;
use crate::place::placer::Placer;
use crate::place::queue::Item;
use crate::place::queue::Line;
use crate::place::view::Groups;
use crate::target::Standing;
use crate::time::Instant;
use crate::time::Span;

/// Requests a second below which targets count as taking none.
const MIN_RATE_PER_S: f64 = 0.001;
/// Longest wait that a refused caller is told. What binds now may end long before.
const EXPECTED_WAIT_MAX: Span = Span::from_millis(10_000);
/// Share of the time that a call can spare which its expected wait may use. The rest covers calls ahead that
/// take longer than expected.
const WAIT_SHARE: f64 = 0.5;
/// Share of the time until its deadline for which a late call may wait: after a refusal, its caller needs
/// the rest for another try.
const LATE_WAIT_SHARE: f64 = 0.25;
/// Late calls that wait for each call in flight.
const LATE_FOR_EACH: usize = 1;

impl Placer {
    /// Seconds until a place becomes free for a call behind `ahead` others, at the rate at which calls end
    /// at the targets while all have their largest load, and which the targets state that they take.
    pub(super) fn wait_behind(&self, now: Instant, ahead: usize) -> f64 {
        let position = number(u64::try_from(ahead + 1).unwrap_or(u64::MAX));
        let took = self.took_s.unwrap_or_else(|| self.typical_work());
        let wait = position * took / self.places();
        let limited = self.limited_rate(now).map(|rate| position / rate);
        limited.map_or(wait, |limited| wait.max(limited))
    }

    /// Requests a second that the open targets together take from this VM, if all state limits.
    fn limited_rate(&self, now: Instant) -> Option<f64> {
        let mut open = self
            .targets
            .iter()
            .filter(|(_, target)| target.standing == Standing::Open);
        let sum = open.try_fold(0.0, |sum, (key, target)| {
            Some(sum + self.limit_of(now, key, target)?)
        });
        sum.map(|rate| rate.max(MIN_RATE_PER_S))
    }

    /// Calls that run at a time at the targets of this VM while all have their largest load.
    fn places(&self) -> f64 {
        let in_flight = number(u64::try_from(self.flights.len()).unwrap_or(u64::MAX));
        let slots = self.groups.as_ref().map_or(0, Groups::own_slots);
        (number(slots) * self.full_share).max(in_flight).max(1.0)
    }

    /// Expected wait of a new call, after which a refused caller may retry.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Span {
        let wait = self.wait_behind(now, self.queue.len());
        if wait >= 1.0 / MIN_RATE_PER_S {
            let waits = self.stated.values().filter_map(|stated| stated.wait(now));
            let first = waits.filter(|wait| *wait > Span::ZERO).min();
            return first.map_or(EXPECTED_WAIT_MAX, |wait| wait.min(EXPECTED_WAIT_MAX));
        }
        span(wait).min(EXPECTED_WAIT_MAX)
    }

    /// Expected seconds until the answer of a call with `work`, at a target with its largest load.
    pub(super) fn loaded_time(&self, work: f64) -> f64 {
        work * self.noise.usual() * self.full_congestion
    }

    /// The line in which a call waits that gets no target at once; none if it is to be refused.
    pub(super) fn line(&self, now: Instant, item: &Item, is_limited: bool) -> Option<Line> {
        let work = item.work;
        if seconds(item.job.deadline.since(now)) < work {
            return None;
        }
        let ahead = self.queue.ahead(item.job.urgency) + usize::from(is_limited);
        let slack = item.remaining(now) - self.loaded_time(work);
        if slack > 0.0 && self.wait_behind(now, ahead) <= slack * WAIT_SHARE {
            return Some(Line::First(now + span(slack)));
        }
        self.late_line(now, &item.job, work)
    }

    /// The second line for a call that is late, if it has room.
    pub(super) fn late_line(&self, now: Instant, job: &Job, work: f64) -> Option<Line> {
        let left = seconds(job.deadline.since(now)) - work;
        let wait = left * LATE_WAIT_SHARE;
        let late = self.queue.late();
        let has_room = late < LATE_FOR_EACH * self.flights.len().max(1)
            && self
                .limited_rate(now)
                .is_none_or(|rate| number(late as u64 + 1) / rate <= wait);
        (left > 0.0 && has_room).then(|| Line::Second(now + span(wait)))
    }
}
