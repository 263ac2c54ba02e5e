//! Rule CONFIG: the store comes back from a copy some seconds old.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::common::*;

const HOST: &str = "jepu9.example";
/// `config_apply_s` and `stability_window_s` of the small sites.
const CONFIG_APPLY_S: f64 = 2.5;
const STABILITY_WINDOW_S: f64 = 3.0;
/// Age of the copy, and how long the store is away.
const COPY_AGE_S: f64 = 4.0;
const AWAY_S: f64 = 1.0;

fn routes(confirm: &str, timeout_s: f64) -> Vec<String> {
    vec![
        format!("[\"r-read\",\"{HOST}\",\"/read/\",\"safe\",2.0,0.6,2,\"ledger\",2,null]"),
        format!("[\"r-confirm\",\"{HOST}\",\"/confirm/\",\"unsafe\",{timeout_s},0.15,0,\"{confirm}\",2,null]"),
    ]
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = Folder::create();
    let store = Store::start();
    let runs = Arc::new(Runs::default());
    let work = |_: &str| Work { seconds: 0.04, body_bytes: 400, breaks_off: None };
    let upstreams: Vec<Arc<Upstream>> = [("ledger", "cai-a"), ("ledger", "alx-a"), ("status", "cai-a"), ("status", "alx-a")]
        .iter()
        .map(|(service, zone)| Upstream::start(service, zone, &runs, work))
        .collect();
    for upstream in &upstreams {
        store.put(&upstream.key(), &upstream.entry("ready", 0.0));
        record.line(&format!("upstream {} of {} at {}", upstream.id, upstream.service, upstream.address));
    }
    let services = ["ledger", "status"];
    let write = |version: u64, confirm: &str, timeout_s: f64| {
        let rev = store.put("op/config", &config(version, &routes(confirm, timeout_s), &services));
        record.line(&format!("operator: version {version:08x}, /confirm/ goes to {confirm}: acked at revision {rev}"));
        now()
    };
    write(3, "ledger", 0.6);
    let vms = start_vms(&folder, &store, &[("front-cai-a-1", "cai-a"), ("front-cai-a-2", "cai-a"), ("front-alx-a-1", "alx-a")]);
    for vm in &vms {
        record.line(&vm.describe());
    }
    record.line("all machines are ready");

    // Traffic: each machine gets a read and a confirmation ten times a second.
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for vm in &vms {
        for (method, path, limit_ms, body) in [("GET", "/read/2f", 2_000, ""), ("PUT", "/confirm/2f", 600, "guardian")] {
            let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
            let (name, front) = (vm.name.clone(), vm.front);
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let answer = send_to(&name, front, method, HOST, path, limit_ms, body);
                    answers.lock().unwrap().push(answer);
                    sleep(0.1);
                }
            }));
        }
    }
    sleep(3.0);

    // Configurations in quick succession, none of which moves a route.
    let copy = store.copy();
    let copied = now();
    record.line(&format!("a copy of the store is made at revision {}", store.revision()));
    for (step, version) in [5, 6, 8, 9].into_iter().enumerate() {
        sleep_until(copied + 0.5 + step as f64);
        write(version, "ledger", 0.6 + 0.01 * version as f64);
    }
    sleep_until(copied + COPY_AGE_S);
    if trouble {
        record.line(&format!("the store goes away at revision {}", store.revision()));
        let newest = store.text("op/config").unwrap();
        store.go_away();
        sleep(AWAY_S);
        store.come_back(copy);
        record.line(&format!("the store is back from the copy, at revision {}", store.revision()));
        // The operator and the upstreams write again what the store doesn't have; the entries of the
        // upstreams didn't change meanwhile.
        sleep(0.5);
        let rev = store.put("op/config", &newest);
        record.line(&format!("operator: version 00000009 written again: acked at revision {rev}"));
    } else {
        sleep(AWAY_S + 0.5);
    }
    // The store is stable, and all machines are in touch.
    sleep(STABILITY_WINDOW_S + 2.0);
    let acked = write(11, "status", 0.6);
    sleep(12.0);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }

    let answers = answers.lock().unwrap().clone();
    let runs = runs.all();
    let service_of = |id: &str| runs.iter().find(|run| run.id == id).map_or("nobody", |run| run.service.as_str());
    for answer in &answers {
        let status = answer.status.map_or("no answer".to_owned(), |status| status.to_string());
        record.line(&format!(
            "sent at {:.3} s to {}: {} {}: {status}, run by {}",
            answer.sent, answer.vm, answer.path, answer.id, service_of(&answer.id)
        ));
    }
    for vm in &vms {
        for line in vm.logged("plan in force") {
            record.line(&format!("log of {}: {line}", vm.name));
        }
    }
    let late: Vec<&Answer> = answers
        .iter()
        .filter(|answer| answer.path.starts_with("/confirm/") && answer.sent > acked + CONFIG_APPLY_S)
        .collect();
    let old = late.iter().filter(|answer| service_of(&answer.id) == "ledger").count();
    let new = late.iter().filter(|answer| service_of(&answer.id) == "status").count();
    record.line(&format!(
        "confirmations sent later than {CONFIG_APPLY_S} s after the ack of version 0000000b: {}, run by the old service: {old}, by the new one: {new}",
        late.len()
    ));
    assert!(late.len() > 50 && old + new > 50, "too few requests to judge");
    old > 0
}
