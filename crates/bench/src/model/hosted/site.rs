//! VMs, targets and the delays between them.

use oriolecleat_core::entry;
use oriolecleat_core::map::Map;
use oriolecleat_core::place::spill::Prices;
use oriolecleat_core::place::spill::Terms;
use oriolecleat_core::place::spill::Way;
use oriolecleat_core::target::Place;

/// What a target does with a request for which it has neither a slot nor a place in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// It never answers.
    Hang,
    /// It resets the connection.
    Reset,
    /// It answers that it did not run the request.
    Reject,
}

/// A neighbour on the machine of a target that slows it at times.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// Share of the periods in which the machine is slow.
    pub share: f64,
    /// How many times longer work takes then.
    pub factor: f64,
    /// Length of a period in microseconds.
    pub period_us: u64,
}

/// A kind of target.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that wait in it.
    pub queue: usize,
    /// What it does when both are in use.
    pub full: Full,
    /// Share of its slots up to which it works at full speed.
    pub knee: f64,
    /// How many times longer a request takes that starts beyond the knee.
    pub congested: f64,
    /// Noise of its machine.
    pub noise: Noise,
    /// Whether its reports tell the slowdown of its machine.
    pub tells_slowdown: bool,
    /// Whether the report on an answer counts the request that it answers.
    pub counts_answered: bool,
}

/// An entry VM that callers are sent to.
#[derive(Clone, Copy, Debug)]
pub struct Vm {
    /// Region.
    pub region: usize,
    /// Data centre, counted over all regions.
    pub center: usize,
    /// Share of a processor core that it has; infinite if its processor is not modelled.
    pub cores: f64,
}

/// What one VM is home to.
#[derive(Clone, Debug, Default)]
pub struct Share {
    /// Indices of its targets.
    pub targets: Vec<usize>,
    /// Their slots, by which callers are sent to it.
    pub slots: u64,
}

/// VMs and targets of one service.
#[derive(Clone, Debug)]
pub struct Site {
    /// Entry VMs that callers are sent to.
    pub vms: Vec<Vm>,
    /// Region and kind of each target.
    pub targets: Vec<(usize, Kind)>,
    /// Data centre of each target.
    pub centers: Vec<usize>,
    /// Targets of each VM, and the share of its region's callers that are sent to it; none if the VMs
    /// of a region divide its targets and callers evenly.
    pub homes: Option<Vec<Share>>,
    /// Microseconds to a target in the data centre of the VM and back.
    pub near_us: u64,
    /// Microseconds to a target in another data centre of the region and back.
    pub center_us: u64,
    /// Microseconds from a caller to its VM and back.
    pub caller_us: u64,
    /// Microseconds to a target in another region and back.
    pub far_us: u64,
    /// How calls leave their data centre.
    pub terms: Terms,
}

/// Size of a data centre.
#[derive(Clone, Copy, Debug)]
pub struct Center {
    /// Region.
    pub region: usize,
    /// VMs.
    pub vms: usize,
    /// Targets.
    pub targets: usize,
}

impl Kind {
    /// A target with `slots` slots and twice as many places in its queue, without noise.
    #[must_use]
    pub const fn quiet(slots: usize, full: Full) -> Self {
        Self {
            slots,
            queue: 2 * slots,
            full,
            knee: 0.8,
            congested: 1.7,
            noise: Noise {
                share: 0.0,
                factor: 1.0,
                period_us: 300_000,
            },
            tells_slowdown: true,
            counts_answered: false,
        }
    }

    /// The same target on a machine that is `factor` times slower for `share` of the time.
    #[must_use]
    pub const fn noisy(self, share: f64, factor: f64) -> Self {
        let noise = Noise {
            share,
            factor,
            period_us: self.noise.period_us,
        };
        Self { noise, ..self }
    }

    /// The same target with its knee at `knee` of its slots, beyond which requests take `congested`
    /// times as long.
    #[must_use]
    pub const fn with_knee(self, knee: f64, congested: f64) -> Self {
        Self {
            knee,
            congested,
            ..self
        }
    }
}

/// Prices at which time and knowledge of the load decide and not bytes.
pub(super) fn cheap_bytes() -> Terms {
    let prices = Prices {
        data_center_gb: 4_000,
        region_gb: 32_000,
        ..Prices::default()
    };
    Terms {
        prices,
        ..Terms::default()
    }
}

impl Site {
    /// `regions` regions, each with `vms` VMs and `targets` targets of one kind.
    #[must_use]
    pub fn new(regions: usize, vms: usize, targets_each: usize, kind: Kind) -> Self {
        let cores = f64::INFINITY;
        let vms = (0..regions * vms).map(|index| Vm {
            region: index % regions,
            center: index % regions,
            cores,
        });
        let targets = (0..regions * targets_each).map(|index| (index % regions, kind));
        Self {
            vms: vms.collect(),
            targets: targets.collect(),
            centers: (0..regions * targets_each)
                .map(|index| index % regions)
                .collect(),
            homes: None,
            near_us: 600,
            center_us: 600,
            caller_us: 0,
            far_us: 40_000,
            terms: cheap_bytes(),
        }
    }

    /// Data centres with targets of one kind. The targets of a data centre have consecutive indices.
    #[must_use]
    pub fn with_centers(centers: &[Center], kind: Kind) -> Self {
        let mut site = Self {
            center_us: 1_800,
            ..Self::new(0, 0, 0, kind)
        };
        for (index, center) in centers.iter().enumerate() {
            let vm = Vm {
                region: center.region,
                center: index,
                cores: f64::INFINITY,
            };
            site.vms.extend(std::iter::repeat_n(vm, center.vms));
            let target = (center.region, kind);
            site.targets
                .extend(std::iter::repeat_n(target, center.targets));
            site.centers
                .extend(std::iter::repeat_n(index, center.targets));
        }
        site
    }

    /// The same site where calls leave their data centre by `way`.
    #[must_use]
    pub fn with_way(mut self, way: Way) -> Self {
        self.terms.way = way;
        self
    }

    /// VMs by data centre.
    #[must_use]
    pub fn vm_counts(&self) -> Map<Box<str>, usize> {
        let mut counts = Map::default();
        for vm in &self.vms {
            *counts.entry(center(vm.center)).or_default() += 1;
        }
        counts
    }

    /// The same site with VMs that have `cores` of a processor core each.
    #[must_use]
    pub fn with_cores(mut self, cores: f64) -> Self {
        self.vms.iter_mut().for_each(|vm| vm.cores = cores);
        self
    }

    /// Number of regions.
    #[must_use]
    pub fn regions(&self) -> usize {
        let last = self.targets.iter().map(|(region, _)| *region).max();
        last.map_or(0, |last| last + 1)
    }

    /// Slots of all targets.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.targets.iter().map(|(_, kind)| kind.slots).sum()
    }

    /// Microseconds from `vm` to `target` and back.
    #[must_use]
    pub fn round_trip(&self, vm: usize, target: usize) -> u64 {
        let vm = &self.vms[vm];
        if vm.region != self.targets[target].0 {
            self.far_us
        } else if vm.center == self.centers[target] {
            self.near_us
        } else {
            self.center_us
        }
    }

    /// Place of `vm` as the placer knows it.
    #[must_use]
    pub fn place(&self, vm: usize) -> Place {
        Place {
            region: region(self.vms[vm].region),
            data_center: center(self.vms[vm].center),
        }
    }

    /// The targets as in the catalogue.
    #[must_use]
    pub fn specs(&self) -> Vec<entry::Target> {
        let spec = |(index, (place, kind)): (usize, &(usize, Kind))| {
            let [_, _, high, low] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
            entry::Target {
                name: name(index),
                address: ([10, 0, high, low], 80).into(),
                vm: name(index),
                region: region(*place),
                data_center: center(self.centers[index]),
                slots: u64::try_from(kind.slots).unwrap_or(u64::MAX),
                incarnation: 0,
            }
        };
        self.targets.iter().enumerate().map(spec).collect()
    }

    /// The VMs that callers of `region` are sent to, each with its weight.
    #[must_use]
    pub fn senders(&self, region: usize) -> Vec<(usize, u64)> {
        let near = (0..self.vms.len()).filter(|vm| self.vms[*vm].region == region);
        let weight = |vm: usize| match &self.homes {
            Some(homes) => (vm, homes[vm].slots),
            None => (vm, 1),
        };
        near.map(weight).filter(|(_, weight)| *weight > 0).collect()
    }

    /// Indices of the targets that belong to `vm`.
    #[must_use]
    pub fn own_targets(&self, vm: usize) -> Vec<usize> {
        if let Some(homes) = &self.homes {
            return homes[vm].targets.clone();
        }
        let region = self.vms[vm].region;
        let peers = |index: &usize| self.vms[*index].region == region;
        let peers: Vec<usize> = (0..self.vms.len()).filter(peers).collect();
        let rank = peers.iter().position(|peer| *peer == vm).unwrap_or(0);
        let near = (0..self.targets.len()).filter(|target| self.targets[*target].0 == region);
        near.skip(rank).step_by(peers.len().max(1)).collect()
    }
}

/// Name of the target with `index`.
#[must_use]
pub fn name(index: usize) -> Box<str> {
    format!("t{index}").into()
}

pub(super) fn region(index: usize) -> Box<str> {
    format!("r{index}").into()
}

pub(super) fn center(index: usize) -> Box<str> {
    format!("c{index}").into()
}
