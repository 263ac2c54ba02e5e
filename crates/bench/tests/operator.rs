//! Pages of the operator port of running daemons.

use std::net::SocketAddr;
use std::time::Duration;

use oriolecleat_bench::client;
use oriolecleat_bench::deployment::Deployment;
use oriolecleat_bench::process;
use serde_json::Value;
use tokio::task::LocalSet;

const LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A page, its status and the value at a JSON pointer of its body.
struct Case {
    path: &'static str,
    status: u16,
    pointer: &'static str,
    value: Value,
}

fn cases() -> Vec<Case> {
    let case = |path, status, pointer, value| Case {
        path,
        status,
        pointer,
        value,
    };
    vec![
        case("/healthz", 200, "/state", "alive".into()),
        case("/readyz", 200, "/ready", true.into()),
        case("/v1/status", 200, "/state", "serving".into()),
        case("/v1/status", 200, "/catalogue/entries", 2.into()),
        case("/v1/status", 200, "/members/alive", 2.into()),
        case(
            "/v1/catalogue",
            200,
            "/keys/0/key",
            "entries/bookings".into(),
        ),
        case("/v1/explain/entry/bookings", 200, "/class", "once".into()),
        case(
            "/v1/explain/entry/none",
            404,
            "/error",
            "no entry named none".into(),
        ),
        case(
            "/v1/explain/target/profiles/target-0",
            200,
            "/slots",
            4.into(),
        ),
        case("/v1/explain/vm/vm-1", 200, "/member/state", "alive".into()),
        case("/v1/explain/vm/vm-1", 200, "/vm_list/state", "live".into()),
        case("/v1/fleet", 200, "/members/1/state", "alive".into()),
        case(
            "/v1/audit?kind=phase",
            200,
            "/records/0/cause",
            "serving".into(),
        ),
        case(
            "/v1/audit?kind=catalogue&subject=fleet",
            200,
            "/records/0/subject",
            "fleet".into(),
        ),
        case(
            "/v1/audit?kind=limits&limit=1",
            200,
            "/records/0/subject",
            "entries".into(),
        ),
    ]
}

/// Guards against a page that is missing, has another shape than docs/operator-api.md says, or does
/// not show the state of the VM.
#[test]
fn pages_show_the_state_of_the_vm() {
    let binary = process::build().expect("the daemon builds");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::start(&binary, 2, Duration::ZERO).await;
        let mut deployment = deployment.expect("the fakes start");
        for _ in 0..2 {
            deployment.add_daemon().await.expect("the daemon serves");
        }
        let operator = deployment.daemons[0].ports().operator;
        for case in cases() {
            let answer = tokio::time::timeout(LIMIT, wait_until(operator, &case)).await;
            assert!(
                answer.is_ok(),
                "{}: {}",
                case.path,
                last_answer(operator, &case).await
            );
        }
    });
}

/// Polls the page until it has the value, as members and views take a moment to settle.
async fn wait_until(operator: SocketAddr, case: &Case) {
    loop {
        let answer = client::get(operator, "operator", case.path).await;
        let answer = answer.expect("the operator port answers");
        let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        let found = body.pointer(case.pointer) == Some(&case.value);
        if found && answer.status() == case.status {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn last_answer(operator: SocketAddr, case: &Case) -> String {
    let answer = client::get(operator, "operator", case.path).await;
    answer.map_or_else(|error| error.to_string(), |answer| format!("{answer:?}"))
}
