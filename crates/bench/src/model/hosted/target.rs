//! A target of the model: its slots, its queue and the noise of its machine.

use std::collections::VecDeque;

use oriolecleat_core::estimate::Report;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::load::Defect;
use super::load::float;
use super::load::microseconds;
use super::site::Full;
use super::site::Kind;

/// What a target does with a request that reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Started,
    Queued,
    Full(Full),
}

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    kind: Kind,
    running: Vec<usize>,
    queue: VecDeque<usize>,
    /// Whether the machine is slow, by period.
    noisy: Vec<bool>,
}

impl Target {
    /// An idle target whose noise is drawn up to `end_us`.
    pub(super) fn new(kind: Kind, end_us: u64, rng: &mut SmallRng) -> Self {
        let periods = end_us / kind.noise.period_us + 64;
        let noisy = (0..periods).map(|_| rng.random::<f64>() < kind.noise.share);
        Self {
            kind,
            running: Vec::new(),
            queue: VecDeque::new(),
            noisy: noisy.collect(),
        }
    }

    /// How many times longer work takes on the machine at `now`.
    pub(super) fn noise(&self, now: u64) -> f64 {
        let period = usize::try_from(now / self.kind.noise.period_us).unwrap_or(usize::MAX);
        if self.noisy.get(period).copied().unwrap_or(false) {
            self.kind.noise.factor
        } else {
            1.0
        }
    }

    /// Requests with which the target still works at full speed.
    pub(super) fn full_speed_load(&self) -> usize {
        let knee = self.kind.knee * float(self.kind.slots) + 1e-9;
        let below = |count: &usize| float(*count) <= knee;
        (1..=self.kind.slots).rev().find(below).unwrap_or(1)
    }

    /// Requests that it works on or holds in its queue.
    pub(super) fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Slots.
    pub(super) fn slots(&self) -> usize {
        self.kind.slots
    }

    /// The load report on the answer to a request that has just ended.
    pub(super) fn count_answered(&self, report: Report) -> Report {
        Report {
            running: report.running + u64::from(self.kind.counts_answered),
            ..report
        }
    }

    /// The load report on a probe.
    pub(super) fn report(&self, now: u64) -> Report {
        let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        let percent = microseconds(self.noise(now) * 100.0);
        Report {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            slowdown_percent: self.kind.tells_slowdown.then_some(percent),
        }
    }

    /// Starts, queues or turns away an attempt.
    pub(super) fn admit(&mut self, attempt: usize) -> Admission {
        if self.running.len() < self.kind.slots {
            self.running.push(attempt);
            return Admission::Started;
        }
        if self.queue.len() < self.kind.queue {
            self.queue.push_back(attempt);
            return Admission::Queued;
        }
        Admission::Full(self.kind.full)
    }

    /// When an attempt that starts at `now` with `work_us` of work ends. Noise that begins or ends
    /// meanwhile changes its speed, while the congestion is that of its start.
    pub(super) fn end_of(&self, now: u64, work_us: f64, defects: &[Defect]) -> u64 {
        let slow = defects.iter().map(|defect| match defect {
            Defect::Slow(factor) => *factor,
            _ => 1.0,
        });
        let congestion = if self.running.len() > self.full_speed_load() {
            self.kind.congested
        } else {
            1.0
        };
        let mut left = work_us * congestion * slow.product::<f64>();
        let mut at = now;
        loop {
            let period_end = (at / self.kind.noise.period_us + 1) * self.kind.noise.period_us;
            let noise = self.noise(at);
            let until = at + microseconds(left * noise);
            if until <= period_end {
                return until;
            }
            let span = std::time::Duration::from_micros(period_end - at).as_secs_f64() * 1e6;
            left -= span / noise;
            at = period_end;
        }
    }

    /// Removes an attempt that ended; returns one from the queue that starts in its place.
    pub(super) fn release(&mut self, attempt: usize) -> Option<usize> {
        self.queue.retain(|other| *other != attempt);
        let before = self.running.len();
        self.running.retain(|other| *other != attempt);
        if self.running.len() == before {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Whether the attempt runs.
    pub(super) fn is_running(&self, attempt: usize) -> bool {
        self.running.contains(&attempt)
    }

    /// Removes and returns all attempts.
    pub(super) fn clear(&mut self) -> Vec<usize> {
        let queued = std::mem::take(&mut self.queue);
        let mut all = std::mem::take(&mut self.running);
        all.extend(queued);
        all
    }
}
