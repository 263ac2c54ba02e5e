//! The best possible result, for comparison: a central queue with perfect knowledge.
//!
//! It knows at every moment which slots are free and which target is slow, and serves requests in
//! the order of arrival. A request takes the network delay to its slot and back. As the future is
//! known, a waiting request is sent early, so that it arrives when the slot becomes free.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use super::scenario::WARM_UP_US;
use super::summary::Summary;
use super::work::Plan;
use super::work::Request;
use super::world::World;

struct Ideal<'run> {
    world: &'run World,
    plan: &'run Plan,
    free_slots: Vec<usize>,
    queues: Vec<VecDeque<Request>>,
    completions: BinaryHeap<Reverse<(u64, usize)>>,
    summary: Summary,
}

/// Runs the central queue over `requests`.
#[must_use]
pub fn run(world: &World, plan: &Plan, requests: &[Request]) -> Summary {
    let regions = world.targets.iter().map(|site| site.region).max();
    let mut ideal = Ideal {
        world,
        plan,
        free_slots: vec![world.slots; world.targets.len()],
        queues: vec![VecDeque::new(); regions.map_or(0, |last| last + 1)],
        completions: BinaryHeap::new(),
        summary: Summary::default(),
    };
    for request in requests {
        ideal.complete_until(request.at);
        ideal.arrive(*request);
    }
    ideal.complete_until(u64::MAX);
    ideal.summary
}

impl Ideal<'_> {
    /// Whether `target` is neither failing nor slow at `at`.
    fn is_usable(&self, at: u64, target: usize) -> bool {
        let scenario = self.plan.scenario;
        !scenario.is_failing(target) && scenario.slowness(at, target) == 1
    }

    fn arrive(&mut self, request: Request) {
        let site = self.world.vms[request.vm];
        let has_slot = |target: &usize| {
            self.free_slots[*target] > 0
                && self.is_usable(request.at, *target)
                && self.world.targets[*target].region == site.region
        };
        let delay = |target: &usize| self.world.delay(site, self.world.targets[*target]);
        let nearest = (0..self.free_slots.len())
            .filter(has_slot)
            .min_by_key(delay);
        match nearest {
            Some(target) => self.start(request.at, request, target),
            None => self.queues[site.region].push_back(request),
        }
        self.spill(request.at);
    }

    /// Sends the last waiting request of a region to any free target if it would wait longer than
    /// the round trip between regions.
    fn spill(&mut self, at: u64) {
        if self.plan.scenario.is_cut(at, self.plan.end) {
            return;
        }
        for region in 0..self.queues.len() {
            let slots = self.slots(region).max(1);
            let waiting = u64::try_from(self.queues[region].len()).unwrap_or(u64::MAX);
            let mean = oriolecleat_core::estimate::span(self.plan.mean).as_micros();
            if waiting * mean / slots <= 2 * self.world.region_delay {
                continue;
            }
            let free = |target: &usize| self.free_slots[*target] > 0 && self.is_usable(at, *target);
            let Some(target) = (0..self.free_slots.len()).find(free) else {
                continue;
            };
            if let Some(request) = self.queues[region].pop_back() {
                self.start(at, request, target);
            }
        }
    }

    fn slots(&self, region: usize) -> u64 {
        let within = self
            .world
            .targets
            .iter()
            .filter(|site| site.region == region);
        u64::try_from(within.count() * self.world.slots).unwrap_or(u64::MAX)
    }

    /// Runs `request` in a slot of `target` that is free from `free` on, and records its result.
    fn start(&mut self, free: u64, request: Request, target: usize) {
        let delay = self
            .world
            .delay(self.world.vms[request.vm], self.world.targets[target]);
        let start = free.max(request.at + delay);
        self.free_slots[target] -= 1;
        let end = start + request.work;
        self.completions.push(Reverse((end, target)));
        if request.at >= WARM_UP_US {
            let back = end + delay;
            let back = self
                .plan
                .scenario
                .resume_time(back, request.vm)
                .unwrap_or(back);
            let latency = back - request.arrived_at;
            if latency <= self.plan.deadline {
                self.summary.record_success(latency);
            } else {
                self.summary.record_failure(self.plan.deadline);
            }
        }
    }

    /// Frees the slots of requests that end by `now` and gives those of usable targets to waiting
    /// requests of the region; refuses requests that have waited for half of their deadline.
    fn complete_until(&mut self, now: u64) {
        while let Some(Reverse((at, target))) = self.completions.peek().copied() {
            if at > now {
                return;
            }
            self.completions.pop();
            self.free_slots[target] += 1;
            if !self.is_usable(at, target) {
                continue;
            }
            let region = self.world.targets[target].region;
            while let Some(request) = self.queues[region].pop_front() {
                if at.saturating_sub(request.at) < self.plan.deadline / 2 {
                    self.start(at, request, target);
                    break;
                }
                if request.at >= WARM_UP_US {
                    self.summary.record_refusal(self.plan.deadline / 2);
                }
            }
        }
    }
}
