//! Deployments that the model covers: sites, network delays and slots.

use oriolecleat_core::entry;
use oriolecleat_core::target::Place;

/// Position of a VM or a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Site {
    /// Region.
    pub region: usize,
    /// Data centre, numbered over all regions.
    pub center: usize,
}

/// One deployment of a service.
#[derive(Clone, Debug)]
pub struct World {
    /// Name in the output.
    pub name: &'static str,
    /// Entry VMs.
    pub vms: Vec<Site>,
    /// Targets.
    pub targets: Vec<Site>,
    /// Requests that a target runs at once.
    pub slots: usize,
    /// One-way delay between the data centres of a region in microseconds.
    pub center_delay: u64,
    /// One-way delay between regions in microseconds.
    pub region_delay: u64,
    /// One-way delay within a data centre in microseconds.
    pub local_delay: u64,
    /// Time that a probe takes in microseconds.
    pub probe: u64,
}

fn sites(count: usize, regions: usize, centers: usize) -> Vec<Site> {
    let site = |index: usize| Site {
        region: index % regions,
        center: index % (regions * centers),
    };
    (0..count).map(site).collect()
}

impl World {
    /// Nilewing Escort Labs: 18 VMs and 12 targets in three regions.
    #[must_use]
    pub fn nilewing() -> Self {
        Self {
            name: "nilewing",
            vms: sites(18, 3, 2),
            targets: sites(12, 3, 2),
            slots: 4,
            center_delay: 500,
            region_delay: 20_000,
            local_delay: 50,
            probe: 1_000,
        }
    }

    /// Niñera Pura: 17 VMs and 13 targets in three regions.
    #[must_use]
    pub fn ninera() -> Self {
        Self {
            name: "ninera",
            vms: sites(17, 3, 2),
            targets: sites(13, 3, 2),
            center_delay: 1_400,
            probe: 6_000,
            ..Self::nilewing()
        }
    }

    /// One data centre without delays, as queueing theory assumes.
    #[must_use]
    pub fn theory() -> Self {
        Self {
            name: "theory",
            vms: sites(18, 1, 1),
            targets: sites(12, 1, 1),
            center_delay: 0,
            region_delay: 0,
            local_delay: 0,
            ..Self::nilewing()
        }
    }

    /// One-way delay in microseconds.
    #[must_use]
    pub fn delay(&self, from: Site, to: Site) -> u64 {
        if from.region != to.region {
            self.region_delay
        } else if from.center != to.center {
            self.center_delay
        } else {
            self.local_delay
        }
    }

    /// Slots of all targets.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.targets.len() * self.slots
    }

    /// Share of the demand that enters at `vm`: a region's demand follows its slots.
    #[must_use]
    pub fn share(&self, vm: usize) -> f64 {
        let region = self.vms[vm].region;
        let within = |sites: &[Site]| sites.iter().filter(|site| site.region == region).count();
        let number = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let demand = number(within(&self.targets)) / number(self.targets.len());
        demand / number(within(&self.vms))
    }

    /// Place of a VM as the balancer knows it.
    #[must_use]
    pub fn place(&self, vm: usize) -> Place {
        let site = self.vms[vm];
        Place {
            region: format!("r{}", site.region).into(),
            data_center: format!("c{}", site.center).into(),
        }
    }

    /// Targets as in the catalogue; `generations` counts the replacements of each.
    #[must_use]
    pub fn specs(&self, generations: &[u32]) -> Vec<entry::Target> {
        let spec = |(index, site): (usize, &Site)| entry::Target {
            name: format!("t{index}-{}", generations[index]).into(),
            address: (
                [10, 0, 0, 1],
                1_000 + u16::try_from(index).unwrap_or(u16::MAX),
            )
                .into(),
            vm: format!("v{index}").into(),
            region: format!("r{}", site.region).into(),
            data_center: format!("c{}", site.center).into(),
            slots: u64::try_from(self.slots).unwrap_or(u64::MAX),
            incarnation: 0,
        };
        self.targets.iter().enumerate().map(spec).collect()
    }
}
