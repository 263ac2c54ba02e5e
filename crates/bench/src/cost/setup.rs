//! Sets up a fleet with a catalogue for a measurement.

use oriolecleat_core::message::Content;
use oriolecleat_core::reader;
use oriolecleat_core::time::Span;
use oriolecleat_core::version::Version;
use serde_json::json;

use crate::network::Network;
use crate::network::sites;

/// Regions of the fleet.
pub const REGIONS: usize = 7;
/// Data centres of the fleet.
pub const CENTERS: usize = 19;

const TARGETS: usize = 14;
const SETTLE_TIME: Span = Span::from_millis(40_000);

/// Content of an entry of 14 targets.
#[must_use]
pub fn entry(index: usize, revision: u64) -> Content {
    let targets: Vec<_> = (0..TARGETS)
        .map(|target| {
            json!({
                "name": format!("target-{index}-{target}"),
                "address": format!("10.{}.{}.{target}:8080", 1 + index / 256, index % 256),
                "vm": format!("host-{index}-{target}"),
                "region": format!("region-{}", target % REGIONS),
                "data_center": format!("dc-{target:02}"),
                "slots": 4,
            })
        })
        .collect();
    let text = json!({
        "service": format!("service-{index}"), "owner": format!("revision {revision}"),
        "class": "interactive", "targets": targets,
    });
    Content {
        key: format!("entries/entry-{index}").into(),
        version: Version {
            generation: 0,
            revision,
        },
        text: Some(text.to_string().into()),
    }
}

/// Publishes `contents` at the designated readers of every data centre at the same moment, or only
/// at those of the first data centre, as if the service were cut off from the others.
pub fn publish(network: &mut Network, contents: &[Content], everywhere: bool) {
    let first = network.vms[0].site().data_center.clone();
    for vm in network.running() {
        let state = &network.vms[vm];
        let reads = reader::is_designated(state.gossip.fleet(), 2);
        if reads && (everywhere || state.site().data_center == first) {
            let contents = contents.to_vec();
            network.act(vm, |gossip, context| gossip.publish(context, contents));
        }
    }
}

/// Creates a fleet that has opened its links and holds `entries` entries.
#[must_use]
pub fn settled_network(vms: usize, entries: usize, seed: u64, codec: bool) -> Network {
    let mut network = Network::new(&sites(REGIONS, CENTERS, vms), seed, codec);
    network.run(SETTLE_TIME);
    let contents: Vec<Content> = (0..entries).map(|index| entry(index, 1)).collect();
    publish(&mut network, &contents, true);
    network.run(Span::from_millis(10_000));
    network
}
