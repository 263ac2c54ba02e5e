//! Property P6: stops daemons as planned while they are under load; no request in flight is cut
//! off.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::traffic::Load;
use crate::world;
use crate::world::LIMIT;
use crate::world::World;
use crate::world::wait_until;

const WORK_MS: u64 = 150;
const CALLERS: usize = 12;

async fn start_load(world: &mut World, daemons: usize) -> [Load; 2] {
    world.start_targets(6, WORK_MS).await;
    world.publish("reads", "interactive", &json!({}), None);
    world.publish("bookings", "once", &json!({}), None);
    for _ in 0..daemons {
        world.start_daemon("reads").await;
    }
    let directories: Vec<_> = world
        .daemons
        .iter()
        .map(|daemon| daemon.ports().directory)
        .collect();
    let load = |service| Load::start(service, CALLERS / 2, directories.clone());
    [load("reads"), load("bookings")]
}

async fn wait_for_answers(loads: &[Load; 2], more: u64) {
    let goals: Vec<u64> = loads.iter().map(|load| load.answered() + more).collect();
    wait_until("more answers", || {
        let mut pairs = loads.iter().zip(&goals);
        pairs.all(|(load, goal)| load.answered() >= *goal)
    })
    .await;
}

async fn check_results(world: &World, loads: [Load; 2]) {
    for load in loads {
        let sums = load.stop().await;
        assert!(sums.broken.is_empty(), "cut: {:?}", sums.broken);
        assert!(sums.answered > 0);
    }
    for served in &world.targets {
        for id in served.target.order() {
            if id.starts_with("bookings") {
                assert_eq!(world.runs(&id), 1, "{id}");
            }
        }
    }
}

/// Guards against a planned stop that breaks requests in flight or never ends.
#[test]
fn a_planned_stop_under_load_cuts_nothing() {
    world::run("stop", async |mut world| {
        let loads = start_load(&mut world, 2).await;
        wait_for_answers(&loads, 20).await;
        let mut stopped = world.daemons.remove(0);
        let directories = vec![world.daemons[0].ports().directory];
        for load in &loads {
            load.directories.replace(directories.clone());
        }
        stopped.signal(Signal::SIGTERM).expect("a running process");
        let status = stopped.wait(LIMIT).await.expect("the daemon stops");
        assert!(status.success(), "{status}");
        wait_for_answers(&loads, 20).await;
        check_results(&world, loads).await;
    });
}

/// Guards against requests that break when all VMs are replaced one after another, as in an upgrade.
#[test]
fn replacing_every_vm_cuts_nothing() {
    world::run("replace", async |mut world| {
        let loads = start_load(&mut world, 2).await;
        for _ in 0..2 {
            wait_for_answers(&loads, 20).await;
            world.start_daemon("reads").await;
            let mut stopped = world.daemons.remove(0);
            let directories: Vec<_> = world
                .daemons
                .iter()
                .map(|daemon| daemon.ports().directory)
                .collect();
            for load in &loads {
                load.directories.replace(directories.clone());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            stopped.signal(Signal::SIGTERM).expect("a running process");
            let status = stopped.wait(LIMIT).await.expect("the daemon stops");
            assert!(status.success(), "{status}");
        }
        wait_for_answers(&loads, 20).await;
        check_results(&world, loads).await;
    });
}
