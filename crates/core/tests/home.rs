//! Guards against homes that cannot carry the load of their service, that share targets, or that
//! change without need.

use std::net::SocketAddr;

use oriolecleat_core::address::Candidate;
use oriolecleat_core::home;
use oriolecleat_core::home::Home;
use oriolecleat_core::home::Target;
use oriolecleat_core::map::Set;
use oriolecleat_core::member::State;

fn candidate(name: &str, center: &str, state: State) -> Candidate {
    Candidate {
        vm: name.into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        region: center.split('-').next().expect("a region").into(),
        data_center: center.into(),
        state,
        capacity: 24,
    }
}

/// `count` VMs in each of the data centres.
fn fleet(centers: &[(&str, usize)]) -> Vec<Candidate> {
    let vms = centers.iter().flat_map(|(center, count)| {
        (0..*count).map(move |index| candidate(&format!("{center}-{index}"), center, State::Alive))
    });
    vms.collect()
}

/// `count` targets of four slots in each of the data centres.
fn targets(centers: &[(&str, usize)]) -> Vec<Target> {
    let targets = centers.iter().flat_map(|(center, count)| {
        (0..*count).map(move |index| Target {
            name: format!("t-{center}-{index}").into(),
            region: center.split('-').next().expect("a region").into(),
            data_center: (*center).into(),
            slots: 4,
        })
    });
    targets.collect()
}

fn homes_of(
    candidates: &[Candidate],
    services: &[(&str, Vec<Target>)],
    service: &str,
) -> Vec<Home> {
    let services: Vec<(Box<str>, Vec<Target>)> = services
        .iter()
        .map(|(name, targets)| (Box::from(*name), targets.clone()))
        .collect();
    let mut homes = home::assign("cai", candidates, &services);
    homes.remove(service).expect("the service has homes")
}

struct Case {
    name: &'static str,
    vms: &'static [(&'static str, usize)],
    targets: &'static [(&'static str, usize)],
    /// Data centres of the homes, in order.
    homes: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "a small service has one home, where most of its targets are",
        vms: &[("cai-a", 5), ("cai-b", 2), ("alx-a", 4)],
        targets: &[("cai-a", 1), ("cai-b", 3), ("alx-a", 3)],
        homes: &["cai-b"],
    },
    Case {
        name: "a large one has one for six targets, spread like them",
        vms: &[("cai-a", 20), ("cai-b", 20)],
        targets: &[("cai-a", 12), ("cai-b", 6)],
        homes: &["cai-a", "cai-a", "cai-b"],
    },
    Case {
        name: "no more than there are VMs",
        vms: &[("cai-a", 2)],
        targets: &[("cai-a", 60)],
        homes: &["cai-a", "cai-a"],
    },
    Case {
        name: "callers of a region without a VM are served by another one",
        vms: &[("alx-a", 2)],
        targets: &[("cai-a", 3)],
        homes: &["alx-a"],
    },
    Case {
        name: "a region without targets has a home for its callers",
        vms: &[("cai-a", 2)],
        targets: &[("alx-a", 3)],
        homes: &["cai-a"],
    },
    Case {
        name: "nobody",
        vms: &[],
        targets: &[("cai-a", 3)],
        homes: &[],
    },
];

#[test]
fn homes_carry_their_service_where_its_targets_are() {
    for case in CASES {
        let homes = homes_of(&fleet(case.vms), &[("desk", targets(case.targets))], "desk");
        let mut centers: Vec<&str> = homes.iter().map(|home| &*home.data_center).collect();
        centers.sort_unstable();
        assert_eq!(centers, case.homes, "{}", case.name);
        let owned: Vec<&str> = homes
            .iter()
            .flat_map(|home| &home.targets)
            .map(|name| &**name)
            .collect();
        let distinct: Set<&str> = owned.iter().copied().collect();
        assert_eq!(
            owned.len(),
            distinct.len(),
            "{}: a target belongs to one home",
            case.name
        );
        let here = case
            .targets
            .iter()
            .filter(|(center, _)| center.starts_with("cai"));
        let here: usize = here.map(|(_, count)| count).sum();
        if !homes.is_empty() {
            assert_eq!(owned.len(), here, "{}: each target has a home", case.name);
            let share = here.div_ceil(homes.len());
            assert!(
                homes.iter().all(|home| home.targets.len() <= share),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn a_vm_that_leaves_is_no_home() {
    let mut vms = fleet(&[("cai-a", 3)]);
    let services = [("desk", targets(&[("cai-a", 3)]))];
    let first = homes_of(&vms, &services, "desk")[0].vm.clone();
    for state in [State::Leaving, State::Suspect, State::Dead] {
        let known = vms
            .iter_mut()
            .find(|known| known.vm == first)
            .expect("the home");
        known.state = state;
        let second = homes_of(&vms, &services, "desk")[0].vm.clone();
        assert_ne!(first, second, "{state:?}");
    }
}

#[test]
fn services_have_homes_of_their_own_while_there_are_enough_vms() {
    let vms = fleet(&[("cai-a", 3)]);
    let services: Vec<(&str, Vec<Target>)> = ["desk", "ledger", "roster"]
        .into_iter()
        .map(|name| (name, targets(&[("cai-a", 3)])))
        .collect();
    let homes: Set<Box<str>> = services
        .iter()
        .map(|(name, _)| homes_of(&vms, &services, name)[0].vm.clone())
        .collect();
    assert_eq!(homes.len(), 3);
}

/// A VM that joins takes over at most its share: the other homes stay.
#[test]
fn few_homes_move_when_a_vm_joins() {
    let services = [("desk", targets(&[("cai-a", 60)]))];
    let names = |vms: &[Candidate]| -> Set<Box<str>> {
        homes_of(vms, &services, "desk")
            .into_iter()
            .map(|home| home.vm)
            .collect()
    };
    let mut vms = fleet(&[("cai-a", 30)]);
    let before = names(&vms);
    vms.push(candidate("cai-a-new", "cai-a", State::Alive));
    let after = names(&vms);
    assert!(before.difference(&after).count() <= 1);
}

#[test]
fn callers_are_divided_by_slots() {
    let homes = homes_of(
        &fleet(&[("cai-a", 4), ("cai-b", 4)]),
        &[("desk", targets(&[("cai-a", 12), ("cai-b", 6)]))],
        "desk",
    );
    let homes: Vec<&Home> = homes.iter().collect();
    let named = |draw: f64| home::select(&homes, draw, 1)[0].vm.clone();
    let drawn: Set<Box<str>> = [0.0, 0.4, 0.99].into_iter().map(named).collect();
    assert_eq!(drawn.len(), 3);
    assert_eq!(home::select(&homes, 0.5, 2).len(), 2);
    assert_eq!(home::select(&homes, 0.5, 9).len(), 3);
    assert!(home::select(&[], 0.5, 2).is_empty());
}

/// Guards against homes that are chosen without regard to their size: a small VM that carries as
/// much as a large one makes its callers wait, and many homes know less of their targets than few.
#[test]
fn large_vms_carry_what_would_take_several_small_ones() {
    let mut fleet = fleet(&[("cai-a", 6), ("cai-b", 6)]);
    for candidate in &mut fleet {
        let is_large = candidate.vm.ends_with("-3");
        candidate.capacity = if is_large { 60 } else { 12 };
    }
    let targets = targets(&[("cai-a", 14), ("cai-b", 14)]);
    let homes = homes_of(&fleet, &[("first", targets.clone())], "first");
    let names: Vec<&str> = homes.iter().map(|home| &*home.vm).collect();
    assert_eq!(names, ["cai-a-3", "cai-b-3"]);
    // A second service goes to the same VMs before it goes to more of the small ones.
    let services = [("first", targets.clone()), ("second", targets)];
    let homes = homes_of(&fleet, &services, "second");
    let names: Vec<&str> = homes.iter().map(|home| &*home.vm).collect();
    assert_eq!(names, ["cai-a-3", "cai-b-3"]);
}

/// Guards against parts that pass the capacity of a small home beside a large one.
#[test]
fn targets_are_divided_by_capacity() {
    let mut fleet = fleet(&[("cai-a", 2)]);
    fleet[0].capacity = 60;
    fleet[1].capacity = 12;
    let homes = homes_of(&fleet, &[("status", targets(&[("cai-a", 18)]))], "status");
    let mut slots: Vec<u64> = homes.iter().map(|home| home.slots).collect();
    slots.sort_unstable();
    assert_eq!(slots, [12, 60]);
}
