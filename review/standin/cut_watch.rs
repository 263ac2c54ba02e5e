//! DRAIN: the store cuts a waiting watch right before the entry of an upstream is removed. The
//! machine that reads the store keeps sending requests to the upstream for more than `drain_s`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Stage;
use crate::Verdict;
use crate::kit;
use crate::kit::Deployment;
use crate::kit::Machine;
use crate::kit::Place;
use crate::kit::Store;
use crate::kit::Upstream;
use crate::kit::ms;

const ZONES: &[Place] = &[
    Place {
        zone: "sj-escazu",
        region: "sanjose",
    },
    Place {
        zone: "he-belen",
        region: "heredia",
    },
];
const HOST: &str = "status.example";
/// A `safe` route as on the small sites.
const CONFIG: &str = r#"{"version":"00000007","routes":{"columns":["name","hostname","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","traffic_split"],"rows":[["r-status","status.example","/status/","safe",0.8,0.2,2,"status-desk",2,null]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["status-desk","/health",240,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
const DEADLINE_MS: u64 = 800;
const DRAIN: Duration = Duration::from_millis(2_500);
/// Requesters of one machine, each of which sends its requests one after the other. Together they use about
/// two thirds of the slots.
const REQUESTERS: usize = 4;
/// Newest requests by which the upstreams that a machine uses are known.
const RECENT: usize = 2_000;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let upstreams: Vec<Upstream> = ZONES
        .iter()
        .flat_map(|place| [place, place, place])
        .enumerate()
        .map(|(index, place)| {
            let id = format!("i-status-{index}");
            Upstream::start(&id, "status-desk", place.zone, &arrivals, record, false)
        })
        .collect();
    store.put("op/config", CONFIG);
    for upstream in &upstreams {
        store.put(&upstream.key(), &upstream.entry("ready", 1));
    }
    let deployment = Deployment {
        program: stage.program.clone(),
        folder: stage.folder.clone(),
        store: store.address,
        zones: ZONES,
    };
    let mut machines: Vec<Machine> = Vec::new();
    for place in ZONES {
        for number in 1..=2 {
            let seeds: Vec<_> = machines.iter().map(|machine| machine.peer).collect();
            let mut machine =
                deployment.machine(&format!("front-{}-{number}", place.zone), place, &seeds);
            machine.start();
            machines.push(machine);
        }
    }
    if !kit::wait(ms(20_000), || machines.iter().all(Machine::is_ready)) {
        return Verdict::NotRun("the machines do not get ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut requesters = Vec::new();
    for machine in &machines {
        for requester in 0..REQUESTERS {
            let (address, name, stop) = (machine.front, machine.name.clone(), Arc::clone(&stop));
            requesters.push(thread::spawn(move || {
                let (mut number, mut served) = (0_u64, 0_u64);
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{name}.{requester}.{number}");
                    let head = kit::get(HOST, "/status/w40", &id, DEADLINE_MS);
                    let answer = kit::ask(address, &head, b"", ms(DEADLINE_MS));
                    served += u64::from(answer.is_ok_and(|answer| answer.status() == 200));
                    number += 1;
                    thread::sleep(ms(2));
                }
                (number, served)
            }));
        }
    }
    // Calm time, longer than stability_window_s.
    thread::sleep(ms(5_000));
    // The upstream leaves as some do: it never reports `draining`, its entry is removed, and it
    // keeps serving.
    // It is one to which all machines that read the store send requests.
    let readers: Vec<&str> = machines
        .iter()
        .filter(|machine| machine.reads_store())
        .map(|machine| machine.name.as_str())
        .collect();
    let used = |upstream: &&Upstream| {
        let arrivals = arrivals.lock().unwrap();
        let recent: Vec<_> = arrivals.iter().rev().take(RECENT).collect();
        let sent_by = |reader: &&str| {
            let is_own = |id: &str| id.split('.').next() == Some(*reader);
            let own = recent
                .iter()
                .filter(|arrival| arrival.upstream == upstream.id && is_own(&arrival.id));
            own.count()
        };
        readers.iter().map(sent_by).min().unwrap_or(0)
    };
    let Some(leaving) = upstreams.iter().max_by_key(used) else {
        return Verdict::NotRun("there is no upstream");
    };
    record.line(&format!("machines that read the store: {readers:?}"));
    record.line(&format!(
        "the entry of {} is removed, watches cut: {}",
        leaving.id, stage.trouble
    ));
    if stage.trouble {
        store.cut_watches_and_delete(&leaving.key());
    } else {
        store.delete(&leaving.key());
    }
    let acknowledged = Instant::now();
    thread::sleep(ms(6_000));
    stop.store(true, Ordering::Relaxed);
    let (mut sent, mut served) = (0, 0);
    for requester in requesters {
        let Ok((one_sent, one_served)) = requester.join() else {
            return Verdict::NotRun("a requester failed");
        };
        sent += one_sent;
        served += one_served;
    }
    record.line(&format!("{sent} requests sent, {served} answered with 200"));
    if served * 2 < sent {
        return Verdict::NotRun("less than half of the requests were served");
    }
    let arrivals = arrivals.lock().unwrap();
    let after: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.upstream == leaving.id && arrival.at > acknowledged)
        .collect();
    for arrival in &after {
        let since = arrival.at - acknowledged;
        let late = if since > DRAIN {
            "  DRAIN: too late"
        } else {
            ""
        };
        record.line(&format!(
            "{} reached {} {} ms after the store's ack{late}",
            arrival.id,
            leaving.id,
            since.as_millis()
        ));
    }
    let late = after
        .iter()
        .filter(|arrival| arrival.at - acknowledged > DRAIN)
        .count();
    record.line(&format!("{late} requests reached it later than drain_s"));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
