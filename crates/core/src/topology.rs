//! Topology of the links between VMs: the neighbours that each VM has links to.
//!
//! All VMs with the same view of the members compute the same graph, and the graph connects all
//! members of the view.

use std::collections::BTreeMap;

use crate::map::Set;
use crate::member::Fleet;

/// Most neighbours of a VM, whatever the size of the fleet: four in the ring of its data centre,
/// two in other data centres of the region and four in other regions.
pub const MAX_DEGREE: usize = 10;

// VMs of a data centre or region that have links to other data centres or regions.
const BRIDGES: usize = 2;
// Regions following in order of their names that each region links to.
const REGION_SUCCESSORS: usize = 2;

key! {
    /// A member in the graph of links.
    pub struct Node<'a> {
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

/// VMs of a data centre in order of their ranks, or the bridges of a region.
type Center<'a> = Vec<&'a str>;

/// The nodes of all members of `fleet` that are not dead, and of this VM itself.
#[must_use]
pub fn nodes(fleet: &Fleet) -> Vec<Node<'_>> {
    let own = fleet.own();
    let is_own_dead = own.record().state == crate::member::State::Dead;
    fleet
        .live()
        .chain(is_own_dead.then_some(own))
        .map(|member| Node {
            region: &member.record().region,
            data_center: &member.record().data_center,
            rank: member.rank(),
            vm: &member.record().vm,
        })
        .collect()
}

/// The VMs that the VM `own` has links to, in order of their names.
#[must_use]
pub fn neighbours<'a>(nodes: &[Node<'a>], own: &str) -> Vec<&'a str> {
    let mut found: Vec<&str> = edges(nodes)
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

/// All links of the graph over `nodes`, as pairs of VMs with the smaller name first.
#[must_use]
pub fn edges<'a>(nodes: &[Node<'a>]) -> Vec<(&'a str, &'a str)> {
    let mut sorted = nodes.to_vec();
    sorted.sort_unstable();
    let mut regions: BTreeMap<&str, BTreeMap<&str, Center>> = BTreeMap::new();
    for node in sorted {
        let centers = regions.entry(node.region).or_default();
        centers.entry(node.data_center).or_default().push(node.vm);
    }
    let regions: Vec<Vec<Center>> = regions
        .into_values()
        .map(|centers| centers.into_values().collect())
        .collect();
    let mut links = Set::default();
    for centers in &regions {
        for center in centers {
            add_ring(center, &mut links);
        }
        add_bridges(centers, 1, &mut links);
    }
    let bridges: Vec<Center> = regions
        .iter()
        .map(|centers| region_bridges(centers))
        .collect();
    add_bridges(&bridges, REGION_SUCCESSORS, &mut links);
    let mut links: Vec<_> = links.into_iter().collect();
    links.sort_unstable();
    links
}

/// Most links from one VM of a data centre with `vms` of them to any other, if none is lost.
#[must_use]
pub fn center_diameter(vms: usize) -> usize {
    let is_enough = |links: &usize| 2 * links * (links + 1) + 1 >= vms;
    (0..vms).find(is_enough).unwrap_or_default()
}

// Links each VM of a data centre to those `d` and `d + 1` places on in the order of ranks, where `d`
// is the diameter. Over `d` links a VM with four links in a ring reaches at most `2 d (d + 1) + 1`
// VMs, so no ring has shorter paths. With links to the next two VMs, paths would grow with the number
// of VMs and not with its root.
fn add_ring<'a>(center: &[&'a str], links: &mut Set<(&'a str, &'a str)>) {
    let diameter = center_diameter(center.len());
    for (index, vm) in center.iter().enumerate() {
        for step in [diameter, diameter + 1] {
            add_edge(vm, center[(index + step) % center.len()], links);
        }
    }
}

// Links the bridges of each group to those of the next `steps` groups, first to first and second to
// second, so that the loss of one bridge leaves the other path.
fn add_bridges<'a>(groups: &[Center<'a>], steps: usize, links: &mut Set<(&'a str, &'a str)>) {
    for (index, group) in groups.iter().enumerate() {
        for step in 1..=steps {
            let next = &groups[(index + step) % groups.len()];
            for position in 0..BRIDGES {
                let bridge = group[position % group.len()];
                add_edge(bridge, next[position % next.len()], links);
            }
        }
    }
}

// The bridges of a region, in different data centres if it has two, so that one data centre can
// fail without cutting off the region.
fn region_bridges<'a>(centers: &[Center<'a>]) -> Center<'a> {
    match centers {
        [only] => only.iter().take(BRIDGES).copied().collect(),
        several => several
            .iter()
            .take(BRIDGES)
            .map(|center| center[0])
            .collect(),
    }
}

fn add_edge<'a>(left: &'a str, right: &'a str, links: &mut Set<(&'a str, &'a str)>) {
    if left != right {
        links.insert((left.min(right), left.max(right)));
    }
}
