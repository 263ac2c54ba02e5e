//! Links between daemons that run as separate processes.

use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use oriolecleat_bench::client;
use oriolecleat_bench::fake::platform::Platform;
use oriolecleat_bench::fake::target::Target;
use oriolecleat_bench::loopback;
use oriolecleat_bench::process;
use oriolecleat_bench::process::Daemon;
use oriolecleat_bench::process::Ports;
use serde_json::Value;
use serde_json::json;
use tokio::task::LocalSet;

const LIMIT: Duration = Duration::from_secs(40);

fn start(binary: &Path, name: &str, ports: Ports, seed: &Ports, platform: &str) -> Daemon {
    let address = platform.parse().expect("an address");
    let mut settings = process::settings(name, &ports, address, address);
    settings["seeds"] = json!([seed.peer.to_string()]);
    let log = std::env::temp_dir().join(format!("oriolecleat-{}-{name}.log", std::process::id()));
    let daemon = Daemon::start(binary, ports, &settings, &log).expect("a process");
    let _ = std::fs::remove_file(log);
    daemon
}

async fn page(ports: &Ports, path: &str) -> Value {
    let Ok(answer) = client::get(ports.operator, "operator", path).await else {
        return Value::Null;
    };
    serde_json::from_slice(answer.body()).unwrap_or_default()
}

async fn wait_until(limit: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(limit, poll).await.is_ok()
}

fn member_state<'a>(fleet: &'a Value, vm: &str) -> Option<&'a str> {
    let members = fleet["members"].as_array()?;
    let member = members.iter().find(|member| member["vm"] == vm)?;
    member["state"].as_str()
}

async fn run() {
    let binary = process::build().expect("the daemon");
    let target = Target::new("t", Duration::from_millis(1));
    let any = || loopback::any_port().expect("an address");
    let target = target.serve(any()).await.expect("a port");
    let platform = Platform::default();
    let entry = json!({
        "service": "profiles", "owner": "o", "class": "interactive",
        "targets": [{ "name": "t", "address": target.address().to_string(), "vm": "v",
            "region": "local", "data_center": "local-a" }],
    });
    platform.put("entries/profiles", &entry.to_string());
    let service = platform.serve(any()).await.expect("a port");
    let configuration = service.address().to_string();
    let ports: Vec<Ports> = (0..3).map(|_| Ports::free().expect("ports")).collect();
    let first = start(&binary, "vm-0", ports[0], &ports[0], &configuration);
    let second = start(&binary, "vm-1", ports[1], &ports[0], &configuration);
    first
        .wait_until_ready("profiles", LIMIT)
        .await
        .expect("vm-0 serves");
    second
        .wait_until_ready("profiles", LIMIT)
        .await
        .expect("vm-1 serves");
    // The third VM cannot reach the configuration service.
    let refusing = loopback::refusing().expect("an address").to_string();
    let third = start(&binary, "vm-2", ports[2], &ports[0], &refusing);
    third
        .wait_until_ready("profiles", LIMIT)
        .await
        .expect("vm-2 serves the catalogue of its peers");
    for ports in &ports {
        let linked = async || page(ports, "/v1/status").await["links"] == 2;
        assert!(
            wait_until(LIMIT, linked).await,
            "{}",
            page(ports, "/v1/status").await
        );
    }
    // Peers mark a killed VM as dead and keep its audit records.
    second.signal(Signal::SIGKILL).expect("a running process");
    let dead = async || member_state(&page(&ports[0], "/v1/fleet").await, "vm-1") == Some("dead");
    assert!(
        wait_until(LIMIT, dead).await,
        "{}",
        page(&ports[0], "/v1/fleet").await
    );
    let trail = page(&ports[2], "/v1/audit?subject=entries/profiles")
        .await
        .to_string();
    assert!(trail.contains("vm-1"), "{trail}");
}

// Guards against daemons that do not find each other, against a VM that cannot start during an
// outage of the configuration service, and against audit records that are lost with their VM.
#[test]
fn daemons_share_catalogue_members_and_audit() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), run());
}
