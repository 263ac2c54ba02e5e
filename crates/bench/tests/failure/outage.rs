//! Property P7: takes the configuration service and the VM list down for a while; entries stay in
//! force, and changes take effect within seconds of the return of the service.

use std::time::Duration;

use serde_json::json;

use crate::traffic;
use crate::traffic::Endpoint;
use crate::world;
use crate::world::World;

/// Longest time from the return of the service until a change is in force on every VM.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

async fn is_served(world: &World, service: &str) -> bool {
    for daemon in &world.daemons {
        let to = Endpoint {
            address: daemon.ports().caller,
            ticket: "none".into(),
        };
        let reply = traffic::call(&to, service, "probe", None).await;
        if reply.is_none_or(|reply| reply.status != 200) {
            return false;
        }
    }
    true
}

async fn wait_until_in_force(world: &World, service: &str) {
    let poll = async {
        while !is_served(world, service).await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(IN_FORCE_LIMIT, poll).await;
    assert!(waited.is_ok(), "{service} is not in force on every VM");
}

/// Guards against entries that are lost or reverted during an outage of the service, and against
/// changes that do not arrive once it is back.
#[test]
fn entries_stay_in_force_and_changes_arrive_after_an_outage() {
    world::run("outage", async |mut world| {
        world.start_targets(2, 1).await;
        world.publish("reads", "interactive", &json!({}), None);
        for _ in 0..3 {
            world.start_daemon("reads").await;
        }
        for round in 0..2 {
            world.stop_platform().await;
            let service = format!("service-{round}");
            world.publish(&service, "interactive", &json!({}), None);
            for _ in 0..10 {
                tokio::time::sleep(Duration::from_millis(300)).await;
                assert!(is_served(&world, "reads").await, "an entry was lost");
            }
            assert!(!is_served(&world, &service).await);
            world.restore_platform().await;
            wait_until_in_force(&world, &service).await;
            assert!(is_served(&world, "reads").await);
        }
        world.configuration.delete("entries/service-0");
        let deleted = async {
            while is_served(&world, "service-0").await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = tokio::time::timeout(IN_FORCE_LIMIT, deleted).await;
        assert!(waited.is_ok(), "a deleted entry stays in force");
    });
}

/// Guards against a VM that starts during an outage and serves nothing although its peers have
/// the entries.
#[test]
fn a_vm_that_starts_during_an_outage_gets_the_entries_from_peers() {
    world::run("outage-start", async |mut world| {
        world.start_targets(2, 1).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.start_daemon("reads").await;
        world.stop_platform().await;
        world.start_daemon("reads").await;
        assert!(is_served(&world, "reads").await);
    });
}
