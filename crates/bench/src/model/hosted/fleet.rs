//! Fleet of many small VMs and a few large ones, with three services on targets of two slots, under a
//! wave of load. Its homes are those that the product assigns.

use oriolecleat_core::address::Candidate;
use oriolecleat_core::entry::Class;
use oriolecleat_core::home;
use oriolecleat_core::map::Map;
use oriolecleat_core::member::State;

use super::load::Burst;
use super::load::Load;
use super::load::Stream;
use super::load::float;
use super::scenario::Scenario;
use super::site::Full;
use super::site::Kind;
use super::site::Share;
use super::site::Site;
use super::site::Vm;
use super::site::center;
use super::site::cheap_bytes;
use super::site::name;
use super::site::region;

const REGIONS: usize = 3;
/// Data centres of all regions.
const CENTERS: usize = 6;
const VMS: usize = 182;
const LARGE_VMS: usize = 12;
const LARGE_CORES: f64 = 0.5;
const SMALL_CORES: f64 = 0.07;
/// Slots that a VM carries, as `settings::Hosting::capacity` derives them from its cores.
const LARGE_CAPACITY: u64 = 60;
const SMALL_CAPACITY: u64 = 8;
/// Phases of the wave, and its rate in them, a sine with a swing of 0.55.
const WAVE: [f64; 6] = [1.0, 1.476, 1.476, 1.0, 0.524, 0.524];
const PHASE_US: u64 = 2_500_000;

/// A service of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name of its load.
    pub name: &'static str,
    /// Its targets, of two slots each.
    pub targets: usize,
    /// Calls a second in the mean of the wave.
    pub rate: f64,
    /// Its calls.
    pub stream: Stream,
}

/// The services of the fleet.
#[must_use]
pub fn services() -> Vec<Service> {
    let lookup = Stream {
        class: Class::Interactive,
        urgency: 2,
        objective_us: 300_000,
        patience_us: 1_500_000,
        timeout_us: 1_500_000,
        retries: 1,
        ..Stream::new(85)
    };
    let booking = Stream {
        class: Class::Once,
        urgency: 1,
        objective_us: 400_000,
        ..lookup
    };
    let booking = Stream {
        work_us: 110_000.0,
        ..booking
    };
    let download = Stream {
        work_us: 68_000.0,
        objective_us: 1_000_000,
        patience_us: 2_500_000,
        timeout_us: 2_500_000,
        ..lookup
    };
    let service = |name, targets, rate, stream| Service {
        name,
        targets,
        rate,
        stream,
    };
    vec![
        service("fleet, look-ups", 126, 540.0, lookup),
        service("fleet, bookings", 61, 201.0, booking),
        service("fleet, downloads", 14, 72.0, download),
    ]
}

/// The load of each service of the fleet at its targets.
#[must_use]
pub fn scenarios() -> Vec<Scenario> {
    let services = services();
    let sites: Vec<Site> = services
        .iter()
        .map(|service| site(service.targets))
        .collect();
    let homes = homes(&sites);
    let with_homes = sites.into_iter().zip(homes).zip(services);
    let scenario = |((site, homes), service): ((Site, Vec<Share>), Service)| {
        let work = service.rate * service.stream.work_us / 1e6;
        let utilization = work / float(site.slots());
        Scenario {
            site: Site {
                homes: Some(homes),
                ..site
            },
            load: Load {
                warm_up_us: 7_500_000,
                end_us: 37_500_000,
                ..wave(service.name, utilization).with_streams(vec![service.stream])
            },
        }
    };
    with_homes.map(scenario).collect()
}

fn wave(name: &'static str, utilization: f64) -> Load {
    let phases = WAVE.iter().cycle().zip(0_u64..);
    let burst = |(factor, index): (&f64, u64)| Burst {
        from_us: index * PHASE_US,
        to_us: (index + 1) * PHASE_US,
        factor: *factor,
    };
    Load {
        bursts: phases.take(15).map(burst).collect(),
        ..Load::new(name, utilization)
    }
}

/// The VMs, and `targets` targets of one service, without homes.
fn site(targets: usize) -> Site {
    let kind = Kind {
        queue: 4,
        ..Kind::quiet(2, Full::Reset).noisy(0.3, 4.0)
    };
    let vm = |index: usize| Vm {
        region: index % REGIONS,
        center: index % CENTERS,
        cores: if index < LARGE_VMS {
            LARGE_CORES
        } else {
            SMALL_CORES
        },
    };
    Site {
        vms: (0..VMS).map(vm).collect(),
        targets: (0..targets).map(|index| (index % REGIONS, kind)).collect(),
        centers: (0..targets).map(|index| index % CENTERS).collect(),
        homes: None,
        near_us: 600,
        terms: cheap_bytes(),
        center_us: 2_800,
        caller_us: 16_000,
        far_us: 40_000,
    }
}

/// The targets of each VM by site, one site for each service.
fn homes(sites: &[Site]) -> Vec<Vec<Share>> {
    let Some(first) = sites.first() else {
        return Vec::new();
    };
    let candidate = |(index, vm): (usize, &Vm)| {
        let capacity = if index < LARGE_VMS {
            LARGE_CAPACITY
        } else {
            SMALL_CAPACITY
        };
        Candidate {
            vm: name(index),
            incarnation: 0,
            address: ([10, 0, 0, 1], 80).into(),
            region: region(vm.region),
            data_center: center(vm.center),
            state: State::Alive,
            capacity,
        }
    };
    let candidates: Vec<Candidate> = first.vms.iter().enumerate().map(candidate).collect();
    let target = |spec: oriolecleat_core::entry::Target| home::Target {
        name: spec.name,
        region: spec.region,
        data_center: spec.data_center,
        slots: spec.slots,
    };
    let service = |(index, site): (usize, &Site)| {
        (name(index), site.specs().into_iter().map(target).collect())
    };
    let services: Vec<(Box<str>, Vec<home::Target>)> =
        sites.iter().enumerate().map(service).collect();
    let index: Map<Box<str>, usize> = (0..VMS.max(126))
        .map(|index| (name(index), index))
        .collect();
    let mut shares: Vec<Vec<Share>> = sites
        .iter()
        .map(|site| vec![Share::default(); site.vms.len()])
        .collect();
    for place in 0..REGIONS {
        let assigned = home::assign(&region(place), &candidates, &services);
        for (service, shares) in shares.iter_mut().enumerate() {
            for home in assigned.get(&name(service)).into_iter().flatten() {
                shares[index[&home.vm]] = Share {
                    targets: home.targets.iter().map(|target| index[target]).collect(),
                    slots: home.slots,
                };
            }
        }
    }
    shares
}
