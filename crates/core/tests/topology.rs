//! Tests of the graph of links for any view of the members.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use oriolecleat_core::member;
use oriolecleat_core::topology;
use oriolecleat_core::topology::MAX_DEGREE;
use oriolecleat_core::topology::Node;
use proptest::prelude::Strategy;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

#[derive(Clone, Debug)]
struct Vm {
    name: String,
    region: String,
    data_center: String,
}

// Data centres are spread over the regions, and VMs at random over the data centres, so that some
// data centres hold one VM or none.
fn view() -> impl Strategy<Value = Vec<Vm>> {
    (1..=7_usize, 1..=19_usize).prop_flat_map(|(regions, centers)| {
        proptest::collection::vec(0..centers, 1..=200).prop_map(move |placed| {
            let vm = |(index, center): (usize, usize)| Vm {
                name: format!("vm-{index}"),
                region: format!("region-{}", center % regions),
                data_center: format!("dc-{center}"),
            };
            placed.into_iter().enumerate().map(vm).collect()
        })
    })
}

fn nodes(vms: &[Vm]) -> Vec<Node<'_>> {
    vms.iter()
        .map(|vm| Node {
            region: &vm.region,
            data_center: &vm.data_center,
            rank: member::rank(&vm.name, 1),
            vm: &vm.name,
        })
        .collect()
}

fn adjacency<'a>(nodes: &[Node<'a>]) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let mut graph: BTreeMap<&str, BTreeSet<&str>> = nodes
        .iter()
        .map(|node| (node.vm, BTreeSet::new()))
        .collect();
    for (left, right) in topology::edges(nodes) {
        graph.entry(left).or_default().insert(right);
        graph.entry(right).or_default().insert(left);
    }
    graph
}

/// Number of VMs that one of them reaches without passing through `lost`.
fn reached(graph: &BTreeMap<&str, BTreeSet<&str>>, lost: Option<&str>) -> usize {
    let mut seen = BTreeSet::new();
    let mut open: Vec<&str> = graph
        .keys()
        .copied()
        .filter(|vm| Some(*vm) != lost)
        .take(1)
        .collect();
    while let Some(vm) = open.pop() {
        if Some(vm) != lost && seen.insert(vm) {
            open.extend(&graph[vm]);
        }
    }
    seen.len()
}

proptest! {
    #![proptest_config(common::fixed(62, 256))]

    // Guards against a VM or region that no message reaches, and against a VM whose number of links
    // grows with the fleet.
    #[test]
    fn connects_every_view_within_the_degree(vms in view()) {
        let nodes = nodes(&vms);
        let graph = adjacency(&nodes);
        prop_assert_eq!(reached(&graph, None), vms.len());
        for (vm, neighbours) in &graph {
            prop_assert!(neighbours.len() <= MAX_DEGREE, "{} has {:?}", vm, neighbours);
        }
    }

    // Guards against a VM whose loss splits the fleet in two until the links are recomputed. A data
    // centre with one VM is left out: losing it can lose its region's only bridge.
    #[test]
    fn stays_connected_without_any_one_vm(
        (vms, lost) in (view(), 0..200_usize)
    ) {
        let nodes = nodes(&vms);
        let lost = &vms[lost % vms.len()];
        let center_vms = vms.iter().filter(|vm| vm.data_center == lost.data_center).count();
        proptest::prop_assume!(center_vms >= 2);
        let graph = adjacency(&nodes);
        prop_assert_eq!(reached(&graph, Some(&lost.name)), vms.len() - 1);
    }

    // Guards against links that one end opens and the other closes.
    #[test]
    fn both_ends_agree((vms, own) in (view(), 0..200_usize)) {
        let nodes = nodes(&vms);
        let own = &vms[own % vms.len()].name;
        let neighbours: Vec<&str> = adjacency(&nodes)[own.as_str()].iter().copied().collect();
        prop_assert_eq!(topology::neighbours(&nodes, own), neighbours);
    }
}

/// Longest path from one VM to any other.
fn eccentricity(graph: &BTreeMap<&str, BTreeSet<&str>>, start: &str) -> usize {
    let mut seen = BTreeSet::from([start]);
    let mut level = vec![start];
    let mut steps = 0;
    loop {
        let next: BTreeSet<&str> = level
            .iter()
            .flat_map(|vm| graph[vm].iter().copied())
            .collect();
        level = next.into_iter().filter(|vm| seen.insert(vm)).collect();
        if level.is_empty() {
            return steps;
        }
        steps += 1;
    }
}

// Guards against paths that grow with the size of a data centre: each VM on the way of a change
// delays it. With four links a VM, `d` links reach at most `2 d (d + 1) + 1` VMs of a ring.
#[test]
fn paths_within_a_data_center_are_as_short_as_possible() {
    for center in (1..=64).chain([100, 150, 200]) {
        let vm = |index| Vm {
            name: format!("vm-{index}"),
            region: "r".to_owned(),
            data_center: "d".to_owned(),
        };
        let vms: Vec<Vm> = (0..center).map(vm).collect();
        let nodes = nodes(&vms);
        let graph = adjacency(&nodes);
        let longest = graph.keys().map(|vm| eccentricity(&graph, vm)).max();
        let longest = longest.expect("a VM");
        assert!(
            longest <= topology::center_diameter(center),
            "{center} VMs: {longest} links"
        );
        let reachable = |links: usize| 2 * links * (links + 1) + 1;
        assert!(
            longest == 0 || reachable(longest - 1) < center,
            "{center} VMs: {longest} links"
        );
    }
}

// Guards against more links between regions than the bridges need: their traffic is billed.
#[test]
fn few_links_run_between_regions() {
    let vms: Vec<Vm> = (0..200)
        .map(|index| Vm {
            name: format!("vm-{index}"),
            region: format!("region-{}", index % 19 % 7),
            data_center: format!("dc-{}", index % 19),
        })
        .collect();
    let region: BTreeMap<&str, &str> = vms
        .iter()
        .map(|vm| (vm.name.as_str(), vm.region.as_str()))
        .collect();
    let crossing = topology::edges(&nodes(&vms))
        .into_iter()
        .filter(|(left, right)| region[left] != region[right])
        .count();
    assert!(crossing <= 7 * 4, "{crossing} links between regions");
}
