//! P7: the configuration service and the VM list are down for a while.

use std::time::Duration;

use serde_json::json;

use crate::traffic;
use crate::traffic::Named;
use crate::world;
use crate::world::World;

/// Within this time after the service is back, a change is in force on every VM.
const IN_FORCE: Duration = Duration::from_secs(5);

async fn serves(world: &World, service: &str) -> bool {
    for daemon in &world.daemons {
        let to = Named {
            address: daemon.ports().caller,
            ticket: "none".into(),
        };
        let seen = traffic::call(&to, service, "probe", None).await;
        if seen.is_none_or(|seen| seen.status != 200) {
            return false;
        }
    }
    true
}

async fn in_force(world: &World, service: &str) {
    let poll = async {
        while !serves(world, service).await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(IN_FORCE, poll).await;
    assert!(waited.is_ok(), "{service} is not in force on every VM");
}

/// Guards against entries that are forgotten or reverted with the service, and against changes
/// that do not arrive once it is back.
#[test]
fn entries_stay_in_force_and_changes_arrive_after_an_outage() {
    world::run("outage", async |mut world| {
        world.start_targets(2, 1).await;
        world.publish("reads", "interactive", &json!({}), None);
        for _ in 0..3 {
            world.start_daemon("reads").await;
        }
        for round in 0..2 {
            world.configuration_server = None;
            world.list_server = None;
            let service = format!("service-{round}");
            world.publish(&service, "interactive", &json!({}), None);
            for _ in 0..10 {
                tokio::time::sleep(Duration::from_millis(300)).await;
                assert!(serves(&world, "reads").await, "an entry was lost");
            }
            assert!(!serves(&world, &service).await);
            world.restore_platform().await;
            in_force(&world, &service).await;
            assert!(serves(&world, "reads").await);
        }
        world.configuration.delete("entries/service-0");
        let gone = async {
            while serves(&world, "service-0").await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = tokio::time::timeout(IN_FORCE, gone).await;
        assert!(waited.is_ok(), "a deleted entry stays in force");
    });
}

/// Guards against a VM that starts during an outage and serves nothing although its peers know
/// the entries.
#[test]
fn a_vm_that_starts_during_an_outage_gets_the_entries_from_peers() {
    world::run("outage-start", async |mut world| {
        world.start_targets(2, 1).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.start_daemon("reads").await;
        world.configuration_server = None;
        world.list_server = None;
        world.start_daemon("reads").await;
        assert!(serves(&world, "reads").await);
    });
}
