//! LOST: a machine that was told to stop accepts a request later than 3 s after the SIGTERM, passes
//! it on, and is ended by the SIGKILL at `grace_s` before the upstream has answered.

use std::sync::Arc;
use std::sync::Mutex;
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
const HOST: &str = "pay.example";
/// `payout-history` of the site `ninera-pura-gw-grown`: time limit 20 s, route's timeout 10 s.
const CONFIG: &str = r#"{"version":"00000007","routes":{"columns":["name","hostname","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","traffic_split"],"rows":[["r-history","pay.example","/history/","safe",10.0,2.5,2,"pagos",2,null]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["pagos","/health",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
const DEADLINE_MS: u64 = 20_000;
const TIMEOUT: Duration = Duration::from_secs(10);
const GRACE: Duration = Duration::from_secs(6);
/// Work of the requests. The site's figures for the kind are 1,000 ms in the mean and 7,500 ms at most.
const WORK_MS: u64 = 3_000;
/// When the requests are sent after the SIGTERM. Requesters may use an answer of the directory for three
/// times its lifetime.
const SENT_AFTER_MS: [u64; 5] = [2_000, 3_100, 3_200, 3_300, 3_400];

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let upstreams: Vec<Upstream> = ZONES
        .iter()
        .flat_map(|place| [place, place])
        .enumerate()
        .map(|(index, place)| {
            let id = format!("i-pagos-{index}");
            Upstream::start(&id, "pagos", place.zone, &arrivals, record, true)
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
            let name = format!("front-{}-{number}", place.zone);
            let mut machine = deployment.machine(&name, place, &seeds);
            machine.start();
            machines.push(machine);
        }
    }
    let ready = kit::wait(ms(20_000), || machines.iter().all(Machine::is_ready));
    if !ready {
        return Verdict::NotRun("the machines do not get ready");
    }
    // Calm time, longer than stability_window_s.
    thread::sleep(ms(5_000));
    // A requester asks the directory of the machine that is nearest to it.
    let Some(address) = machines[0].resolve(HOST, &ZONES[0]).first().copied() else {
        return Verdict::NotRun("the directory names no address");
    };
    let asked = Instant::now();
    let Some(index) = machines.iter().position(|machine| machine.front == address) else {
        return Verdict::NotRun("the directory names an unknown address");
    };
    record.line(&format!(
        "the directory names {} to the requester",
        machines[index].name
    ));
    for warm in 0..3 {
        let id = format!("warm-{warm}");
        let answer = kit::ask(
            address,
            &kit::get(HOST, "/history/w20", &id, DEADLINE_MS),
            b"",
            ms(6_000),
        );
        record.line(&format!("{id}: {}", outcome(&answer)));
        if !answer.is_ok_and(|answer| answer.status() == 200) {
            return Verdict::NotRun("a request before the stop is not served");
        }
    }
    let term = Instant::now();
    if stage.trouble {
        machines[index].signal(kit::SIGTERM);
        record.line(&format!("SIGTERM to {}", machines[index].name));
    }
    record.line(&format!(
        "age of the directory's answer: {} ms",
        asked.elapsed().as_millis()
    ));
    let mut requests = Vec::new();
    for (number, after) in SENT_AFTER_MS.into_iter().enumerate() {
        let record = record.clone();
        requests.push(thread::spawn(move || {
            kit::sleep_until(term + ms(after));
            let id = format!("history-{number}");
            let head = kit::get(HOST, &format!("/history/w{WORK_MS}"), &id, DEADLINE_MS);
            record.line(&format!(
                "{id}: sent {after} ms after the SIGTERM, time limit {DEADLINE_MS} ms"
            ));
            let sent = Instant::now();
            let answer = kit::ask(address, &head, b"", ms(DEADLINE_MS));
            let ended = sent.elapsed();
            record.line(&format!(
                "{id}: after {} ms: {}",
                ended.as_millis(),
                outcome(&answer)
            ));
            (id, after, ended, answer)
        }));
    }
    if stage.trouble {
        // The platform ends the process by force at grace_s.
        while term.elapsed() < GRACE && machines[index].is_running() {
            thread::sleep(ms(5));
        }
        if machines[index].is_running() {
            machines[index].kill();
            record.line(&format!(
                "SIGKILL to {}, {} ms after the SIGTERM",
                machines[index].name,
                term.elapsed().as_millis()
            ));
        } else {
            record.line(&format!(
                "{} ended by itself, {} ms after the SIGTERM",
                machines[index].name,
                term.elapsed().as_millis()
            ));
        }
    }
    let mut broken = false;
    for request in requests {
        let Ok((id, after, ended, answer)) = request.join() else {
            return Verdict::NotRun("a requester failed");
        };
        let passed_on = arrivals
            .lock()
            .unwrap()
            .iter()
            .any(|arrival: &kit::Arrival| arrival.id == id);
        // The excuse for work in the last sixth of grace_s holds for requests sent in the first 3 s.
        let excused = after <= 3_000;
        let cut = answer
            .as_ref()
            .is_err_and(|cause| cause.starts_with("connection ended"));
        if cut && passed_on && !excused && ended < TIMEOUT {
            record.line(&format!(
                "{id}: LOST: read, passed on and ended without an answer after {} ms",
                ended.as_millis()
            ));
            broken = true;
        }
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn outcome(answer: &Result<kit::Message, String>) -> String {
    match answer {
        Ok(answer) => format!("answer {} {:?}", answer.status(), answer.text()),
        Err(cause) => cause.clone(),
    }
}
