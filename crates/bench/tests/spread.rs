//! Tests of how long a change of the catalogue takes to reach every VM over slow links, in virtual
//! time.

use oriolecleat_bench::network::Machine;
use oriolecleat_bench::network::Network;
use oriolecleat_bench::network::sites;
use oriolecleat_core::catalogue::Opaque;
use oriolecleat_core::catalogue::Order;
use oriolecleat_core::catalogue::Record;
use oriolecleat_core::message::Content;
use oriolecleat_core::reader;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_core::version::Version;

/// A link of 10 Mbit/s, and a tenth of a processor.
const SMALL: Machine = Machine {
    link_bytes_per_s: 1_250_000,
    apply_bytes_per_s: 1_250_000,
};
/// Text of a plan with 4,200 rules.
const PLAN_BYTES: usize = 320_000;
/// A change is in force everywhere within 3 s of its confirmation by the store. A reader needs up to
/// 0.7 s of it: a pause of 0.2 s, and the answer of the store in base64 over its link.
const PLAN_LIMIT: Span = Span::from_millis(2_300);
/// A target that leaves gets no work after 2.5 s. A reader needs up to 0.7 s of it if a plan is in
/// the same answer of the store.
const DEPARTURE_LIMIT: Span = Span::from_millis(1_800);

/// Time between two plans: as soon as the store has confirmed one, the next is sent.
const BETWEEN_PLANS: Span = Span::from_millis(900);

struct Case {
    regions: usize,
    centers: usize,
    vms: usize,
}

/// Fleets of the deployments in use, and of twice the size.
const CASES: [Case; 3] = [
    Case {
        regions: 3,
        centers: 6,
        vms: 17,
    },
    Case {
        regions: 3,
        centers: 9,
        vms: 136,
    },
    Case {
        regions: 3,
        centers: 6,
        vms: 300,
    },
];

/// A plan as a platform publishes it: rows with names and prefixes that do not repeat.
fn plan(revision: u64, bytes: usize) -> Box<str> {
    let mut text = format!("{{\"version\":\"{revision:08x}\",\"rows\":[");
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    while text.len() < bytes {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let (name, prefix) = (state >> 40, state >> 16 & 0xff_ffff_ffff);
        let row = format!(
            "[\"r-{name:06x}\",\"{name:06x}.example\",\"/{prefix:010x}/\",\"safe\",1.5,0.5,2,\"status\"],"
        );
        text.push_str(&row);
    }
    text.push_str("]}");
    text.into()
}

fn content(key: &str, revision: u64, text: Box<str>) -> Content {
    Content {
        key: key.into(),
        version: Version {
            generation: 0,
            revision,
        },
        text: Some(text),
    }
}

/// A fleet on small machines that has settled with a first plan.
fn settled(case: &Case) -> Network {
    let sites = sites(case.regions, case.centers, case.vms);
    let opaque = ["plan", "targets/"].map(|prefix| Opaque {
        prefix: prefix.into(),
        order: Order::Era,
    });
    let mut network = Network::hosted(&sites, 1, &opaque);
    network.run(Span::from_millis(8_000));
    network.machine = Some(SMALL);
    publish(&mut network, &[content("plan", 1, plan(1, 2_000))]);
    network.run(Span::from_millis(4_000));
    network
}

/// Publishes `contents` at the reader of each data centre.
fn publish(network: &mut Network, contents: &[Content]) {
    let is_reader = |vm: &usize| reader::is_designated(network.vms[*vm].gossip.fleet(), 1);
    let readers: Vec<usize> = (0..network.vms.len()).filter(is_reader).collect();
    assert!(!readers.is_empty());
    for reader in readers {
        network.act(reader, |gossip, context| {
            gossip.publish(context, contents.to_vec())
        });
    }
}

/// Time from `start` until each VM has accepted the key, for the last VM; fails if one has not.
fn spread(network: &Network, key: &str, revision: u64, start: Instant) -> Span {
    for vm in &network.vms {
        let mark = vm.catalogue.get(key).and_then(Record::valid_mark);
        let known = mark.map(|mark| mark.version.revision);
        assert_eq!(known, Some(revision), "{key} at {}", vm.name());
    }
    let times = network.accepted[key]
        .iter()
        .map(|(_, time)| time.since(start));
    times.max().expect("every VM accepted the key")
}

fn check(case: &Case, took: Span, limit: Span) {
    println!("{} VMs: {} ms", case.vms, took.as_millis());
    assert!(took <= limit, "{} VMs: {} ms", case.vms, took.as_millis());
}

// Guards against a plan of some hundred kilobytes that is sent whole over every link: on links of
// 10 Mbit/s the copies of one VM take seconds.
#[test]
fn a_large_plan_is_in_force_everywhere_in_time() {
    for case in &CASES {
        let mut network = settled(case);
        publish(&mut network, &[content("plan", 2, plan(2, PLAN_BYTES))]);
        network.run(BETWEEN_PLANS);
        let start = network.now();
        publish(&mut network, &[content("plan", 3, plan(3, PLAN_BYTES))]);
        network.run(Span::from_millis(8_000));
        let took = spread(&network, "plan", 3, start);
        check(case, took, PLAN_LIMIT);
    }
}

// Guards against news of a leaving target that waits behind a large plan in the queues of the
// links.
#[test]
fn a_departure_overtakes_a_large_plan() {
    for case in &CASES {
        let mut network = settled(case);
        publish(&mut network, &[content("plan", 2, plan(2, PLAN_BYTES))]);
        network.run(Span::from_millis(100));
        let start = network.now();
        publish(&mut network, &[content("targets/a", 3, "draining".into())]);
        network.run(Span::from_millis(8_000));
        let took = spread(&network, "targets/a", 3, start);
        check(case, took, DEPARTURE_LIMIT);
    }
}
