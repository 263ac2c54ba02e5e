//! P4 and complete responses: a target dies while it works.

use std::time::Duration;

use serde_json::json;

use crate::traffic;
use crate::traffic::Named;
use crate::world;
use crate::world::World;
use crate::world::until;

const LONG: Duration = Duration::from_secs(2);

/// The target that started the request `id`, once it has.
async fn started(world: &World, id: &str) -> usize {
    let find = || {
        let runs = |served: &world::Served| served.target.runs(id) > 0;
        world.targets.iter().position(runs)
    };
    until("the start of the request", || find().is_some()).await;
    find().expect("the request has started")
}

async fn first(world: &World, service: &str) -> Named {
    let directory = world.daemons[0].ports().directory;
    let asked = traffic::ask(directory, service).await;
    asked.expect("an address answer").0.remove(0)
}

/// Guards against an idempotent request that is lost with its target although another could run it.
#[test]
fn an_idempotent_request_survives_its_target() {
    world::run("kill-idempotent", async |mut world| {
        world.start_targets(3, 1).await;
        let retry = json!({ "retry": { "attempts": 3, "budget_percent": 100 } });
        world.publish("reads", "interactive", &retry, None);
        world.start_daemon("reads").await;
        let to = first(&world, "reads").await;
        for index in 0..20 {
            let seen = traffic::call(&to, "reads", &format!("warm-{index}"), None).await;
            assert_eq!(seen.map(|seen| seen.status), Some(200));
        }
        let request = tokio::task::spawn_local(async move {
            traffic::call(&to, "reads", "victim", Some(LONG)).await
        });
        let target = started(&world, "victim").await;
        let name = world.targets[target].name.clone();
        world.targets[target].server = None;
        let seen = request.await.expect("no panic").expect("a whole answer");
        assert_eq!((seen.status, &*seen.outcome), (200, "ran"), "{seen:?}");
        assert_ne!(seen.target, name);
        assert_eq!(world.runs("victim"), 2);
    });
}

/// Guards against a non-idempotent request that is sent again after its target died, or whose
/// caller is told that it did not run, and against a service that stands still with one target.
#[test]
fn a_non_idempotent_request_is_not_sent_again() {
    world::run("kill-once", async |mut world| {
        world.start_targets(3, 1).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.publish("bookings", "once", &json!({}), None);
        world.start_daemon("reads").await;
        let to = first(&world, "bookings").await;
        let request = tokio::task::spawn_local({
            let to = to.clone();
            async move { traffic::call(&to, "bookings", "victim", Some(LONG)).await }
        });
        let target = started(&world, "victim").await;
        world.targets[target].server = None;
        let seen = request.await.expect("no panic").expect("a whole answer");
        assert_eq!(&*seen.outcome, "unknown", "{seen:?}");
        let again = traffic::call(&to, "bookings", "victim", None).await;
        let again = again.expect("a whole answer");
        assert_eq!((&*again.code, &*again.outcome), ("ticket_used", "unknown"));
        // The other targets go on.
        let to = first(&world, "bookings").await;
        let next = traffic::call(&to, "bookings", "next", None).await;
        assert_eq!(next.map(|seen| seen.status), Some(200));
        tokio::time::sleep(LONG).await;
        assert_eq!(world.runs("victim"), 1);
    });
}
