//! Property P4 and deadlines: freezes a daemon while requests wait in its queue; none runs twice or
//! after its deadline.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use crate::traffic;
use crate::world;
use crate::world::wait_until;

const REQUESTS: usize = 60;
const WORK_MS: u64 = 400;
const DEADLINE_MS: u64 = 2_000;

/// Guards against a daemon that resumes after a freeze and sends queued requests whose deadline has
/// passed, or sends a request twice.
#[test]
fn nothing_runs_after_its_deadline_and_nothing_twice() {
    world::run("freeze", async |mut world| {
        world.start_targets(1, 0).await;
        let limits = json!({ "deadline_ms": DEADLINE_MS, "limits": { "queue": 1_000 } });
        world.publish("reads", "interactive", &json!({}), None);
        world.publish("payouts", "once", &limits, None);
        world.start_daemon("reads").await;
        let directory = world.daemons[0].ports().directory;
        let mut requests = Vec::new();
        for index in 0..REQUESTS {
            let (endpoints, _) = traffic::resolve(directory, "payouts")
                .await
                .expect("an answer");
            let to = endpoints[0].clone();
            let id = format!("payout-{index}");
            let work = Duration::from_millis(WORK_MS);
            requests.push(tokio::task::spawn_local(async move {
                let reply = traffic::call(&to, "payouts", &id, Some(work)).await;
                (id, reply)
            }));
        }
        wait_until("the first run", || !world.order(0).is_empty()).await;
        let daemon = &world.daemons[0];
        daemon.signal(Signal::SIGSTOP).expect("a running process");
        tokio::time::sleep(Duration::from_millis(DEADLINE_MS * 2)).await;
        let before = world.order(0);
        assert!(before.len() < REQUESTS, "requests wait in the daemon");
        daemon.signal(Signal::SIGCONT).expect("a stopped process");
        for request in requests {
            let (id, reply) = request.await.expect("no panic");
            let runs = world.runs(&id);
            assert!(runs <= 1, "{id} ran {runs} times");
            if reply
                .as_ref()
                .is_some_and(|reply| &*reply.outcome == "not-run")
            {
                assert_eq!(runs, 0, "{id} ran: {reply:?}");
            }
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(world.order(0), before, "runs after the deadline");
    });
}
