//! Property P4 and complete responses: kills a target while it runs a request; callers get complete
//! responses, and a non-idempotent request runs at most once.

use std::time::Duration;

use serde_json::json;

use crate::traffic;
use crate::traffic::Endpoint;
use crate::world;
use crate::world::World;
use crate::world::wait_until;

const LONG: Duration = Duration::from_secs(2);

/// Waits until a target has started the request `id`; returns its index.
async fn wait_for_start(world: &World, id: &str) -> usize {
    let find = || {
        let runs = |served: &world::Served| served.target.runs(id) > 0;
        world.targets.iter().position(runs)
    };
    wait_until("the start of the request", || find().is_some()).await;
    find().expect("the request has started")
}

async fn first_endpoint(world: &World, service: &str) -> Endpoint {
    let directory = world.daemons[0].ports().directory;
    let asked = traffic::resolve(directory, service).await;
    asked.expect("an address answer").0.remove(0)
}

/// Guards against an idempotent request that fails when its target dies although another target
/// could run it.
#[test]
fn an_idempotent_request_survives_its_target() {
    world::run("kill-idempotent", async |mut world| {
        world.start_targets(3, 1).await;
        let retry = json!({ "retry": { "attempts": 3, "budget_percent": 100 } });
        world.publish("reads", "interactive", &retry, None);
        world.start_daemon("reads").await;
        let to = first_endpoint(&world, "reads").await;
        for index in 0..20 {
            let reply = traffic::call(&to, "reads", &format!("warm-{index}"), None).await;
            assert_eq!(reply.map(|reply| reply.status), Some(200));
        }
        let request = tokio::task::spawn_local(async move {
            traffic::call(&to, "reads", "victim", Some(LONG)).await
        });
        let target = wait_for_start(&world, "victim").await;
        let name = world.targets[target].name.clone();
        world.targets[target].server = None;
        let reply = request.await.expect("no panic").expect("a whole answer");
        assert_eq!((reply.status, &*reply.outcome), (200, "ran"), "{reply:?}");
        assert_ne!(reply.target, name);
        assert_eq!(world.runs("victim"), 2);
    });
}

/// Guards against a non-idempotent request that is sent again after its target died, or whose
/// caller is told that it did not run, and against a service that fails with one of its targets.
#[test]
fn a_non_idempotent_request_is_not_sent_again() {
    world::run("kill-once", async |mut world| {
        world.start_targets(3, 1).await;
        world.publish("reads", "interactive", &json!({}), None);
        world.publish("bookings", "once", &json!({}), None);
        world.start_daemon("reads").await;
        let to = first_endpoint(&world, "bookings").await;
        let request = tokio::task::spawn_local({
            let to = to.clone();
            async move { traffic::call(&to, "bookings", "victim", Some(LONG)).await }
        });
        let target = wait_for_start(&world, "victim").await;
        world.targets[target].server = None;
        let reply = request.await.expect("no panic").expect("a whole answer");
        assert_eq!(&*reply.outcome, "unknown", "{reply:?}");
        let again = traffic::call(&to, "bookings", "victim", None).await;
        let again = again.expect("a whole answer");
        assert_eq!((&*again.code, &*again.outcome), ("ticket_used", "unknown"));
        // The other targets still serve.
        let to = first_endpoint(&world, "bookings").await;
        let next = traffic::call(&to, "bookings", "next", None).await;
        assert_eq!(next.map(|reply| reply.status), Some(200));
        tokio::time::sleep(LONG).await;
        assert_eq!(world.runs("victim"), 1);
    });
}
