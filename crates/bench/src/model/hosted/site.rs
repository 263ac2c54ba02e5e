//! VMs, targets and the delays between them.

use oriolecleat_core::entry;
use oriolecleat_core::map::Map;
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
}

/// An entry VM that callers are sent to.
#[derive(Clone, Copy, Debug)]
pub struct Vm {
    /// Region.
    pub region: usize,
    /// Share of a processor core that it has; infinite if its processor is not modelled.
    pub cores: f64,
}

/// VMs and targets of one service.
#[derive(Clone, Debug)]
pub struct Site {
    /// Entry VMs that callers are sent to.
    pub vms: Vec<Vm>,
    /// Region and kind of each target.
    pub targets: Vec<(usize, Kind)>,
    /// Microseconds to a target in the region of the VM and back.
    pub near_us: u64,
    /// Microseconds to a target in another region and back.
    pub far_us: u64,
    /// Data centres, if regions have several; else each region is one.
    pub centers: Option<Centers>,
    /// How calls leave their data centre.
    pub terms: Terms,
}

/// The data centres of VMs and targets.
#[derive(Clone, Debug)]
pub struct Centers {
    /// Data centre of each VM.
    pub vms: Vec<usize>,
    /// Data centre of each target.
    pub targets: Vec<usize>,
    /// Microseconds to a target in another data centre of the region and back.
    pub between_us: u64,
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

impl Site {
    /// `regions` regions, each with `vms` VMs and `targets` targets of one kind.
    #[must_use]
    pub fn new(regions: usize, vms: usize, targets: usize, kind: Kind) -> Self {
        let cores = f64::INFINITY;
        let vms = (0..regions * vms).map(|index| Vm {
            region: index % regions,
            cores,
        });
        let targets = (0..regions * targets).map(|index| (index % regions, kind));
        Self {
            vms: vms.collect(),
            targets: targets.collect(),
            near_us: 600,
            far_us: 40_000,
            centers: None,
            terms: Terms::default(),
        }
    }

    /// Data centres with targets of one kind. The targets of a data centre have consecutive indices.
    #[must_use]
    pub fn with_centers(centers: &[Center], kind: Kind) -> Self {
        let mut site = Self::new(0, 0, 0, kind);
        let mut places = Centers {
            vms: Vec::new(),
            targets: Vec::new(),
            between_us: 1_800,
        };
        for (index, center) in centers.iter().enumerate() {
            let vm = Vm {
                region: center.region,
                cores: f64::INFINITY,
            };
            site.vms.extend(std::iter::repeat_n(vm, center.vms));
            let target = (center.region, kind);
            site.targets
                .extend(std::iter::repeat_n(target, center.targets));
            places.vms.extend(std::iter::repeat_n(index, center.vms));
            places
                .targets
                .extend(std::iter::repeat_n(index, center.targets));
        }
        site.centers = Some(places);
        site
    }

    /// The same site where calls leave their data centre by `way`.
    #[must_use]
    pub fn with_way(mut self, way: Way) -> Self {
        self.terms.way = way;
        self
    }

    /// Data centre of a VM.
    #[must_use]
    pub fn vm_center(&self, vm: usize) -> usize {
        let centers = self.centers.as_ref();
        centers.map_or(self.vms[vm].region, |centers| centers.vms[vm])
    }

    /// Data centre of a target.
    #[must_use]
    pub fn target_center(&self, target: usize) -> usize {
        let centers = self.centers.as_ref();
        centers.map_or(self.targets[target].0, |centers| centers.targets[target])
    }

    /// VMs by data centre.
    #[must_use]
    pub fn vm_counts(&self) -> Map<Box<str>, usize> {
        let mut counts = Map::default();
        for vm in 0..self.vms.len() {
            *counts.entry(center(self.vm_center(vm))).or_default() += 1;
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
        if self.vms[vm].region != self.targets[target].0 {
            return self.far_us;
        }
        match &self.centers {
            Some(centers) if centers.vms[vm] != centers.targets[target] => centers.between_us,
            _ => self.near_us,
        }
    }

    /// Place of `vm` as the placer knows it.
    #[must_use]
    pub fn place(&self, vm: usize) -> Place {
        Place {
            region: region(self.vms[vm].region),
            data_center: center(self.vm_center(vm)),
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
                data_center: center(self.target_center(index)),
                slots: u64::try_from(kind.slots).unwrap_or(u64::MAX),
                incarnation: 0,
            }
        };
        self.targets.iter().enumerate().map(spec).collect()
    }

    /// Indices of the targets that belong to `vm`: the VMs of a region divide its targets evenly.
    #[must_use]
    pub fn own_targets(&self, vm: usize) -> Vec<usize> {
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

fn region(index: usize) -> Box<str> {
    format!("r{index}").into()
}

fn center(index: usize) -> Box<str> {
    format!("c{index}").into()
}
