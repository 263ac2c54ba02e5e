//! A VM of the model: its placer, its processor and its budget for repeats.

use oriolecleat_core::balance::Action;
use oriolecleat_core::place::Limits;
use oriolecleat_core::place::Placer;
use oriolecleat_core::repeat::Budget;
use oriolecleat_core::settings::Repeats;
use oriolecleat_core::target;
use oriolecleat_core::target::Standing;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::load::microseconds;
use super::site::Site;
use super::site::name;

/// Calls that may wait at a VM.
const QUEUE: usize = 1_000;

/// Processor time of one core that events take, in microseconds.
pub(super) mod cost {
    /// A request is read, placed and passed on.
    pub(in super::super) const REQUEST: f64 = 250.0;
    /// A request is read and refused.
    pub(in super::super) const REFUSAL: f64 = 80.0;
    /// An answer is read and passed on.
    pub(in super::super) const ANSWER: f64 = 200.0;
    /// The answer to a probe is read.
    pub(in super::super) const PROBE: f64 = 60.0;
    /// A timer fires.
    pub(in super::super) const TIMER: f64 = 5.0;
}

/// One VM.
pub(super) struct Vm {
    pub(super) placer: Placer,
    /// Keys of the targets, by index.
    pub(super) keys: Vec<target::Key>,
    /// Calls in flight by target, for the policies that count nothing else.
    pub(super) in_flight: Vec<usize>,
    pub(super) budget: Budget,
    pub(super) rng: SmallRng,
    pub(super) actions: Vec<Action>,
    /// When the next tick is due.
    pub(super) tick: Option<u64>,
    cores: f64,
    /// Until when the processor is busy with events that came before.
    pub(super) busy_until: u64,
}

impl Vm {
    pub(super) fn new(site: &Site, index: usize, seed: u64) -> Self {
        let mut placer = Placer::new(site.place(index), Limits { queue: QUEUE });
        placer.update(Instant::default(), &site.specs(), |_| None);
        let key = |index: usize| placer.targets().find(&name(index));
        let keys: Vec<target::Key> = (0..site.targets.len()).filter_map(key).collect();
        for key in &keys {
            placer.set_standing(*key, Standing::Open);
        }
        let own = site.own_targets(index).into_iter().map(name);
        placer.set_own_targets(Some(own.collect()));
        placer.set_spill(site.terms.clone());
        placer.set_vms(site.vm_counts());
        let ceiling = u64::try_from(site.vms.len()).unwrap_or(1);
        let bound = Repeats {
            ratio_thousandths: 200,
            slack: 60,
            vm_ceiling: ceiling,
            window: Span::from_millis(10_000),
        };
        Self {
            placer,
            in_flight: vec![0; keys.len()],
            keys,
            budget: Budget::new(bound),
            rng: SmallRng::seed_from_u64(seed * 131 + ceiling + u64::try_from(index).unwrap_or(0)),
            actions: Vec::new(),
            tick: None,
            cores: site.vms[index].cores,
            busy_until: 0,
        }
    }

    /// Occupies the processor from `now` with an event that takes `cost` microseconds of a core.
    pub(super) fn occupy(&mut self, now: u64, cost: f64) {
        if self.cores.is_finite() {
            self.busy_until = now + microseconds(cost / self.cores);
        }
    }

    /// Index of the target with `key`.
    pub(super) fn index(&self, key: target::Key) -> Option<usize> {
        self.keys.iter().position(|known| *known == key)
    }
}
