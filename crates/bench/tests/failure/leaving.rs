//! Property P5: each source of evidence that a target leaves stops new work for it within 3 s.

use std::time::Duration;

use serde_json::json;

use crate::traffic;
use crate::traffic::Load;
use crate::world;
use crate::world::World;
use crate::world::wait_until;

/// Longest time for which a target that is leaving may still receive new work; the guarantee says "a
/// few seconds".
const STOP_BOUND: Duration = Duration::from_secs(3);
const LEAVING: &str = "target-0";

/// Starts a load on `daemons` VMs, has `announce` signal that the first target leaves, and checks
/// that it gets no new work after [`STOP_BOUND`].
async fn check(world: &mut World, daemons: usize, announce: impl AsyncFn(&World)) {
    world.start_targets(2, 20).await;
    world.publish("reads", "interactive", &json!({}), None);
    for _ in 0..daemons {
        world.start_daemon("reads").await;
    }
    let directories = world.daemons.iter();
    let directories = directories.map(|daemon| daemon.ports().directory).collect();
    let load = Load::start("reads", 8, directories);
    wait_until("work for every target", || {
        (0..2).all(|target| world.order(target).len() > 5)
    })
    .await;
    announce(world).await;
    tokio::time::sleep(STOP_BOUND).await;
    let before = world.order(0).len();
    let goal = load.answered() + 100;
    wait_until("more answers", || load.answered() >= goal).await;
    assert_eq!(
        world.order(0).len(),
        before,
        "new work for a leaving target"
    );
    let sums = load.stop().await;
    assert!(sums.broken.is_empty(), "{:?}", sums.broken);
}

/// Guards against new work for a target that signals on its answers that it is draining.
#[test]
fn a_drain_sign_stops_new_work() {
    world::run("leaving-sign", async |mut world| {
        check(&mut world, 1, async |world: &World| {
            world.targets[0].target.set_drain(true);
        })
        .await;
    });
}

/// Guards against new work for a target that withdraws its drain signal at once. The evidence must
/// still count for a minute.
#[test]
fn a_drain_sign_holds_after_it_is_gone() {
    world::run("leaving-hold", async |mut world| {
        check(&mut world, 1, async |world: &World| {
            let goal = world.order(0).len() + 5;
            world.targets[0].target.set_drain(true);
            let enough = || world.order(0).len() >= goal;
            let _ =
                tokio::time::timeout(Duration::from_secs(1), wait_until("answers", enough)).await;
            world.targets[0].target.set_drain(false);
        })
        .await;
    });
}

/// Guards against new work for a target whose VM is leaving according to the VM list.
#[test]
fn the_vm_list_stops_new_work() {
    world::run("leaving-list", async |mut world| {
        check(&mut world, 1, async |world: &World| {
            let vm = json!({
                "role": "target",
                "state": "leaving",
                "region": "local",
                "data_center": "local-a",
            });
            let key = format!("vms/vm-of-{LEAVING}");
            world.list.put(&key, &vm.to_string());
        })
        .await;
    });
}

/// Guards against new work for a target that was removed from its entry.
#[test]
fn removal_from_the_catalogue_stops_new_work() {
    world::run("leaving-removal", async |mut world| {
        check(&mut world, 2, async |world: &World| {
            world.publish("reads", "interactive", &json!({}), Some(LEAVING));
        })
        .await;
    });
}

/// Guards against new work for a target that an idle VM found draining with a probe.
#[test]
fn a_probe_that_finds_draining_stops_new_work() {
    world::run("leaving-probe", async |mut world| {
        world.start_targets(2, 5).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.start_daemon("reads").await;
        tokio::time::sleep(STOP_BOUND).await;
        world.targets[0].target.set_drain(true);
        let directory = world.daemons[0].ports().directory;
        let (endpoints, _) = traffic::resolve(directory, "reads")
            .await
            .expect("an answer");
        for index in 0..20 {
            let reply = traffic::call(&endpoints[0], "reads", &format!("read-{index}"), None).await;
            let reply = reply.expect("a whole answer");
            assert_eq!(
                (reply.status, &*reply.target),
                (200, "target-1"),
                "{reply:?}"
            );
        }
        assert!(world.order(0).is_empty());
    });
}

/// Guards against new work from a VM that learns only from a peer that the target drains. One VM
/// sees the drain signal while the other has no traffic, then the signal is withdrawn.
#[test]
fn news_of_a_peer_stops_new_work() {
    world::run("leaving-peer", async |mut world| {
        world.start_targets(2, 5).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.start_daemon("reads").await;
        world.start_daemon("reads").await;
        let mut endpoints = Vec::new();
        for daemon in &world.daemons {
            let to = daemon.ports().caller;
            let ticket = "none".into();
            endpoints.push(traffic::Endpoint {
                address: to,
                ticket,
            });
        }
        world.targets[0].target.set_drain(true);
        for index in 0..20 {
            let id = format!("left-{index}");
            let reply = traffic::call(&endpoints[0], "reads", &id, None).await;
            assert_eq!(reply.map(|reply| reply.status), Some(200));
        }
        world.targets[0].target.set_drain(false);
        tokio::time::sleep(STOP_BOUND).await;
        for index in 0..20 {
            let id = format!("right-{index}");
            let reply = traffic::call(&endpoints[1], "reads", &id, None).await;
            assert_eq!(reply.map(|reply| reply.status), Some(200));
        }
        let right = world.order(0);
        let right = right.iter().filter(|id| id.starts_with("right"));
        assert_eq!(right.count(), 0);
    });
}

/// Guards against calls that fail because a target refuses connections, and against a target that
/// gets no work after it accepts connections again.
#[test]
fn a_refused_connection_stops_new_work_until_a_probe_succeeds() {
    world::run("leaving-refused", async |mut world| {
        world.start_targets(2, 5).await;
        let retry = json!({ "retry": { "attempts": 3, "budget_percent": 100 } });
        world.publish("reads", "interactive", &retry, None);
        world.start_daemon("reads").await;
        let directories = vec![world.daemons[0].ports().directory];
        let load = Load::start("reads", 8, directories);
        wait_until("work for every target", || {
            (0..2).all(|target| world.order(target).len() > 5)
        })
        .await;
        world.targets[0].server = None;
        tokio::time::sleep(STOP_BOUND).await;
        let refused = load.sums.borrow().refused;
        let goal = load.answered() + 100;
        wait_until("more answers", || load.answered() >= goal).await;
        assert_eq!(load.sums.borrow().refused, refused);
        let address = world.targets[0].address;
        let server = world.targets[0].target.serve(address).await;
        world.targets[0].server = Some(server.expect("the port is free again"));
        let before = world.order(0).len();
        wait_until("work after the return", || world.order(0).len() > before).await;
        load.stop().await;
    });
}
