//! Measures the processor time of the state that each VM derives again when a target or a VM comes
//! or goes, at the sizes of the deployments in use and at the size to design for.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant as Clock;

use oriolecleat_core::address::Candidate;
use oriolecleat_core::entry;
use oriolecleat_core::home;
use oriolecleat_core::member::State;
use oriolecleat_core::target;
use oriolecleat_core::time::Instant;

/// VMs, and targets of each of the three services.
const SIZES: [(usize, usize); 4] = [(17, 12), (124, 75), (313, 220), (300, 1_000)];
const REGIONS: usize = 3;
const DATA_CENTERS: usize = 6;
const REPEATS: u32 = 10;

fn place(index: usize) -> (Box<str>, Box<str>) {
    let region = format!("region-{}", index % REGIONS);
    let data_center = format!("center-{}", index % DATA_CENTERS);
    (region.into(), data_center.into())
}

fn address(index: usize, network: u8) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, network, high, low], 8_080))
}

fn specs(count: usize) -> Vec<entry::Target> {
    let spec = |index: usize| {
        let (region, data_center) = place(index);
        let name: Box<str> = format!("target-{index:06}").into();
        entry::Target {
            vm: name.clone(),
            name,
            address: address(index, 128),
            region,
            data_center,
            slots: 4,
            incarnation: 1,
        }
    };
    (0..count).map(spec).collect()
}

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index: usize| {
        let (region, data_center) = place(index);
        Candidate {
            vm: format!("vm-{index:04}").into(),
            incarnation: 1,
            address: address(index, 1),
            region,
            data_center,
            state: State::Alive,
            capacity: if index.is_multiple_of(10) { 60 } else { 12 },
        }
    };
    (0..count).map(candidate).collect()
}

/// Time of one removal and one addition of a target in the table of a service.
fn time_table(specs: &[entry::Target]) -> Duration {
    let now = Instant::default();
    let (region, data_center) = place(0);
    let place = target::Place {
        region,
        data_center,
    };
    let mut table = target::Table::default();
    table.update(now, &place, specs);
    let start = Clock::now();
    for _ in 0..REPEATS {
        table.update(now, &place, &specs[1..]);
        table.update(now, &place, specs);
    }
    start.elapsed() / REPEATS
}

/// Time of one assignment of the homes of three services for the callers of all regions.
fn time_homes(vms: usize, specs: &[entry::Target]) -> Duration {
    let spots = |spec: &entry::Target| home::Target {
        name: spec.name.clone(),
        region: spec.region.clone(),
        data_center: spec.data_center.clone(),
        slots: spec.slots,
    };
    let services: Vec<(Box<str>, Vec<home::Target>)> = ["first", "second", "third"]
        .iter()
        .map(|name| (Box::from(*name), specs.iter().map(spots).collect()))
        .collect();
    let candidates = candidates(vms);
    let start = Clock::now();
    for _ in 0..REPEATS {
        for region in 0..REGIONS {
            let (region, _) = place(region);
            black_box(home::assign(&region, &candidates, &services));
        }
    }
    start.elapsed() / REPEATS
}

fn main() {
    println!("VMs  targets  table, a removal and an addition  homes of all regions");
    for (vms, targets) in SIZES {
        let specs = specs(targets);
        let (table, homes) = (time_table(&specs), time_homes(vms, &specs));
        println!("{vms:>3}  {:>7}  {table:>32?}  {homes:>20?}", 3 * targets);
    }
}
