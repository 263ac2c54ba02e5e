//! P5: each single source stops new work for a target within 3 s.

use std::time::Duration;

use serde_json::json;

use crate::traffic;
use crate::traffic::Load;
use crate::world;
use crate::world::World;
use crate::world::until;

/// "A few seconds" of the guarantee.
const FEW: Duration = Duration::from_secs(3);
const LEAVING: &str = "target-0";

/// Starts a load on `daemons` VMs, lets `leave` speak, and checks what the first target gets.
async fn check(world: &mut World, daemons: usize, leave: impl AsyncFn(&World)) {
    world.start_targets(2, 20).await;
    world.publish("reads", "interactive", &json!({}), None);
    for _ in 0..daemons {
        world.start_daemon("reads").await;
    }
    let directories = world.daemons.iter();
    let directories = directories.map(|daemon| daemon.ports().directory).collect();
    let load = Load::start("reads", 8, directories);
    until("work for every target", || {
        (0..2).all(|target| world.order(target).len() > 5)
    })
    .await;
    leave(world).await;
    tokio::time::sleep(FEW).await;
    let before = world.order(0).len();
    let goal = load.answered() + 100;
    until("more answers", || load.answered() >= goal).await;
    assert_eq!(
        world.order(0).len(),
        before,
        "new work for a leaving target"
    );
    let sums = load.stop().await;
    assert!(sums.cut.is_empty(), "{:?}", sums.cut);
}

#[test]
fn a_drain_sign_stops_new_work() {
    world::run("leaving-sign", async |mut world| {
        check(&mut world, 1, async |world: &World| {
            world.targets[0].target.set_drain(true);
        })
        .await;
    });
}

/// The target withdraws the sign at once; evidence still holds for a minute.
#[test]
fn a_drain_sign_holds_after_it_is_gone() {
    world::run("leaving-hold", async |mut world| {
        check(&mut world, 1, async |world: &World| {
            let seen = world.order(0).len() + 5;
            world.targets[0].target.set_drain(true);
            let enough = || world.order(0).len() >= seen;
            let _ = tokio::time::timeout(Duration::from_secs(1), until("answers", enough)).await;
            world.targets[0].target.set_drain(false);
        })
        .await;
    });
}

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

#[test]
fn removal_from_the_catalogue_stops_new_work() {
    world::run("leaving-removal", async |mut world| {
        check(&mut world, 2, async |world: &World| {
            world.publish("reads", "interactive", &json!({}), Some(LEAVING));
        })
        .await;
    });
}

/// Guards against new work after a probe of an idle VM that found the target draining.
#[test]
fn a_probe_that_finds_draining_stops_new_work() {
    world::run("leaving-probe", async |mut world| {
        world.start_targets(2, 5).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.start_daemon("reads").await;
        tokio::time::sleep(FEW).await;
        world.targets[0].target.set_drain(true);
        let directory = world.daemons[0].ports().directory;
        let (named, _) = traffic::ask(directory, "reads").await.expect("an answer");
        for index in 0..20 {
            let seen = traffic::call(&named[0], "reads", &format!("read-{index}"), None).await;
            let seen = seen.expect("a whole answer");
            assert_eq!((seen.status, &*seen.target), (200, "target-1"), "{seen:?}");
        }
        assert!(world.order(0).is_empty());
    });
}

/// One VM sees the sign while the other has no traffic; then the sign is withdrawn.
#[test]
fn news_of_a_peer_stops_new_work() {
    world::run("leaving-peer", async |mut world| {
        world.start_targets(2, 5).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.start_daemon("reads").await;
        world.start_daemon("reads").await;
        let mut named = Vec::new();
        for daemon in &world.daemons {
            let to = daemon.ports().caller;
            let ticket = "none".into();
            named.push(traffic::Named {
                address: to,
                ticket,
            });
        }
        world.targets[0].target.set_drain(true);
        for index in 0..20 {
            let id = format!("left-{index}");
            let seen = traffic::call(&named[0], "reads", &id, None).await;
            assert_eq!(seen.map(|seen| seen.status), Some(200));
        }
        world.targets[0].target.set_drain(false);
        tokio::time::sleep(FEW).await;
        for index in 0..20 {
            let id = format!("right-{index}");
            let seen = traffic::call(&named[1], "reads", &id, None).await;
            assert_eq!(seen.map(|seen| seen.status), Some(200));
        }
        let right = world.order(0);
        let right = right.iter().filter(|id| id.starts_with("right"));
        assert_eq!(right.count(), 0);
    });
}

/// Guards against calls that fail because a target is gone, and against one that stays out after
/// it has come back.
#[test]
fn a_refused_connection_stops_new_work_until_a_probe_succeeds() {
    world::run("leaving-refused", async |mut world| {
        world.start_targets(2, 5).await;
        let retry = json!({ "retry": { "attempts": 3, "budget_percent": 100 } });
        world.publish("reads", "interactive", &retry, None);
        world.start_daemon("reads").await;
        let directories = vec![world.daemons[0].ports().directory];
        let load = Load::start("reads", 8, directories);
        until("work for every target", || {
            (0..2).all(|target| world.order(target).len() > 5)
        })
        .await;
        world.targets[0].server = None;
        tokio::time::sleep(FEW).await;
        let refused = load.sums.borrow().refused;
        let goal = load.answered() + 100;
        until("more answers", || load.answered() >= goal).await;
        assert_eq!(load.sums.borrow().refused, refused);
        let address = world.targets[0].address;
        let server = world.targets[0].target.serve(address).await;
        world.targets[0].server = Some(server.expect("the port is free again"));
        let before = world.order(0).len();
        until("work after the return", || world.order(0).len() > before).await;
        load.stop().await;
    });
}
