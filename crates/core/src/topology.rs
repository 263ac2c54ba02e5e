//! Which peers a VM holds links to.
//!
//! The graph is the same on all VMs with the same view and connects all members of the view.

use std::collections::BTreeMap;

use crate::map::Set;
use crate::member::Fleet;

/// Most links that a VM holds in a settled fleet, whatever its size: four in the ring of its data
/// centre, two to other data centres of the region and four to other regions.
pub const MAX_DEGREE: usize = 10;

const RING_SUCCESSORS: usize = 2;
const BRIDGES: usize = 2;
const REGION_SUCCESSORS: usize = 2;

key! {
    /// Where a member is and how it ranks.
    pub struct Place<'a> {
        /// Region.
        pub region: &'a str,
        /// Data centre.
        pub data_center: &'a str,
        /// Position within the data centre.
        pub rank: u64,
        /// Name of the VM.
        pub vm: &'a str,
    }
}

type Center<'a> = Vec<&'a str>;

/// The places of all members of `fleet` that are not dead, and of this VM itself.
#[must_use]
pub fn places(fleet: &Fleet) -> Vec<Place<'_>> {
    let own = fleet.own();
    let dead_own = own.record().state == crate::member::State::Dead;
    fleet
        .live()
        .chain(dead_own.then_some(own))
        .map(|member| Place {
            region: &member.record().region,
            data_center: &member.record().data_center,
            rank: member.rank(),
            vm: &member.record().vm,
        })
        .collect()
}

/// The VMs that `own` holds links to, in order of their names.
#[must_use]
pub fn neighbours<'a>(places: &[Place<'a>], own: &str) -> Vec<&'a str> {
    let mut found: Vec<&str> = edges(places)
        .into_iter()
        .filter_map(|(left, right)| match (left == own, right == own) {
            (true, false) => Some(right),
            (false, true) => Some(left),
            (true, true) | (false, false) => None,
        })
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

/// All links of the graph over `places`; the smaller name comes first.
#[must_use]
pub fn edges<'a>(places: &[Place<'a>]) -> Vec<(&'a str, &'a str)> {
    let mut sorted = places.to_vec();
    sorted.sort_unstable();
    let mut regions: BTreeMap<&str, BTreeMap<&str, Center>> = BTreeMap::new();
    for place in sorted {
        let centers = regions.entry(place.region).or_default();
        centers.entry(place.data_center).or_default().push(place.vm);
    }
    let regions: Vec<Vec<Center>> = regions
        .into_values()
        .map(|centers| centers.into_values().collect())
        .collect();
    let mut links = Set::default();
    for centers in &regions {
        for center in centers {
            ring(center, RING_SUCCESSORS, &mut links);
        }
        bridge(centers, 1, &mut links);
    }
    let gates: Vec<Center> = regions.iter().map(|centers| gates(centers)).collect();
    bridge(&gates, REGION_SUCCESSORS, &mut links);
    let mut links: Vec<_> = links.into_iter().collect();
    links.sort_unstable();
    links
}

fn ring<'a>(center: &[&'a str], successors: usize, links: &mut Set<(&'a str, &'a str)>) {
    for (index, vm) in center.iter().enumerate() {
        for step in 1..=successors {
            join(vm, center[(index + step) % center.len()], links);
        }
    }
}

// Links the bridges of each group to those of the next groups, first to first and second to
// second, so that one lost bridge leaves the other path.
fn bridge<'a>(groups: &[Center<'a>], steps: usize, links: &mut Set<(&'a str, &'a str)>) {
    for (index, group) in groups.iter().enumerate() {
        for step in 1..=steps {
            let next = &groups[(index + step) % groups.len()];
            for position in 0..BRIDGES {
                let near = group[position % group.len()];
                join(near, next[position % next.len()], links);
            }
        }
    }
}

// The bridges of a region, in different data centres if it has two, so that one data centre can
// fail without cutting off the region.
fn gates<'a>(centers: &[Center<'a>]) -> Center<'a> {
    match centers {
        [only] => only.iter().take(BRIDGES).copied().collect(),
        several => several
            .iter()
            .take(BRIDGES)
            .map(|center| center[0])
            .collect(),
    }
}

fn join<'a>(left: &'a str, right: &'a str, links: &mut Set<(&'a str, &'a str)>) {
    if left != right {
        links.insert((left.min(right), left.max(right)));
    }
}
