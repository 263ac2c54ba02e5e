//! Tests of address answers: they name only serving entry VMs, and VMs of more than one data centre
//! where possible.

use std::net::SocketAddr;

use oriolecleat_core::address::Candidate;
use oriolecleat_core::address::MAX_VMS_PER_ANSWER;
use oriolecleat_core::address::Place;
use oriolecleat_core::address::choose;
use oriolecleat_core::map::Map;
use oriolecleat_core::member::State;

const HERE: Place<'static> = Place {
    region: "cai",
    data_center: "cai-1",
};

/// A candidate from its name, its data centre and, unless it is alive, its state.
fn candidate(text: &str) -> Candidate {
    let parts: Vec<&str> = text.split(' ').collect();
    let state = match parts.get(2) {
        Some(&"suspect") => State::Suspect,
        Some(&"leaving") => State::Leaving,
        Some(&"dead") => State::Dead,
        _ => State::Alive,
    };
    Candidate {
        vm: parts[0].into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        region: parts[1].split('-').next().expect("a region").into(),
        data_center: parts[1].into(),
        state,
        capacity: 24,
    }
}

struct Case {
    name: &'static str,
    candidates: &'static [&'static str],
    turn: usize,
    named: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "nothing to name",
        candidates: &["a cai-1 leaving", "b cai-1 dead", "c alx-1 suspect"],
        turn: 3,
        named: &[],
    },
    Case {
        name: "two near ones and one of another data centre",
        candidates: &["a cai-1", "b cai-1", "c cai-1", "d cai-2", "e alx-1"],
        turn: 0,
        named: &["a", "b", "d"],
    },
    Case {
        name: "takes turns",
        candidates: &["c cai-1", "b cai-1", "a cai-1", "d cai-2", "e cai-2"],
        turn: 1,
        named: &["b", "c", "e"],
    },
    Case {
        name: "never one that does not serve, even as the only one of its data centre",
        candidates: &["a cai-1", "b cai-1 suspect", "c cai-1", "d cai-2 leaving"],
        turn: 0,
        named: &["a", "c"],
    },
    Case {
        name: "other regions when the data centre has one VM",
        candidates: &["a cai-1", "x alx-1", "y alx-1", "z alx-2"],
        turn: 0,
        named: &["a", "x", "y"],
    },
    Case {
        name: "two data centres although the own one is lost",
        candidates: &["a cai-1 dead", "x alx-1", "y alx-1", "z alx-1", "q hrg-1 "],
        turn: 0,
        named: &["q", "x", "y"],
    },
];

#[test]
fn answers_name_serving_vms_of_several_data_centres() {
    for case in CASES {
        let candidates: Vec<Candidate> =
            case.candidates.iter().map(|text| candidate(text)).collect();
        let chosen = choose(HERE, &candidates, case.turn);
        let named: Vec<&str> = chosen.iter().map(|candidate| &*candidate.vm).collect();
        assert_eq!(named, case.named, "{}", case.name);
    }
}

#[test]
fn every_answer_spreads_over_two_vms_and_two_data_centres_and_load_is_even() {
    for near in 1..8 {
        for far in 1..8 {
            let near = (0..near).map(|index| candidate(&format!("n{index} cai-1")));
            let far = (0..far).map(|index| candidate(&format!("f{index} alx-{}", index % 2)));
            let candidates: Vec<Candidate> = near.clone().chain(far).collect();
            let mut first: Map<Box<str>, u64> = Map::default();
            for turn in 0..840 {
                let chosen = choose(HERE, &candidates, turn);
                assert!(chosen.len() <= MAX_VMS_PER_ANSWER);
                let own = chosen
                    .iter()
                    .filter(|candidate| *candidate.data_center == *"cai-1");
                assert!((1..chosen.len()).contains(&own.count()));
                *first.entry(chosen[0].vm.clone()).or_default() += 1;
            }
            let expected = 840 / u64::try_from(near.len()).expect("a small number");
            assert!(first.values().all(|count| *count == expected), "{first:?}");
        }
    }
}
