//! UNASKED: a `GET` request whose body is sent in chunks reaches the upstream without its body.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

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
const HOST: &str = "browse.example";
/// A `safe` route as `profile-browse` of the small site.
const CONFIG: &str = r#"{"version":"00000007","routes":{"columns":["name","hostname","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","traffic_split"],"rows":[["r-browse","browse.example","/browse/","safe",1.2,0.25,2,"perfiles",2,null]]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["perfiles","/health",260,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
const METHODS: [&str; 3] = ["GET", "POST", "GET"];
const REQUESTS: usize = 9;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let upstreams: Vec<Upstream> = ZONES
        .iter()
        .enumerate()
        .map(|(index, place)| {
            let id = format!("i-perfiles-{index}");
            Upstream::start(&id, "perfiles", place.zone, &arrivals, record, true)
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
        let seeds: Vec<_> = machines.iter().map(|machine| machine.peer).collect();
        let mut machine = deployment.machine(&format!("front-{}-1", place.zone), place, &seeds);
        machine.start();
        machines.push(machine);
    }
    if !kit::wait(ms(20_000), || machines.iter().all(Machine::is_ready)) {
        return Verdict::NotRun("the machines do not get ready");
    }
    thread::sleep(ms(4_000));
    let (mut changed, mut served) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("browse-{number}");
        let method = METHODS[number % METHODS.len()];
        let body = format!(r#"{{"near":"escazu","evening":{number}}}"#);
        let (framing, bytes) = if stage.trouble {
            let bytes = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            ("Transfer-Encoding: chunked".to_owned(), bytes)
        } else {
            (format!("Content-Length: {}", body.len()), body.clone())
        };
        let head = format!(
            "{method} /browse/w5 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 2500\r\nContent-Type: application/json\r\n{framing}\r\n\r\n"
        );
        let address = machines[number % machines.len()].front;
        let answer = kit::ask(address, &head, bytes.as_bytes(), ms(2_500));
        let status = answer.as_ref().map_or(0, kit::Message::status);
        served += usize::from(status == 200);
        record.line(&format!(
            "{id}: {method} with {framing}, body {body}: answer {status}"
        ));
        let arrivals = arrivals.lock().unwrap();
        for arrival in arrivals.iter().filter(|arrival| arrival.id == id) {
            let ran = String::from_utf8_lossy(&arrival.body).into_owned();
            let is_changed = arrival.method != method || ran != body;
            changed += usize::from(is_changed);
            let text = if is_changed { "  UNASKED: changed" } else { "" };
            record.line(&format!(
                "{id}: {} ran {} with body {ran:?}{text}",
                arrival.upstream, arrival.method
            ));
        }
    }
    if served < REQUESTS {
        return Verdict::NotRun("not all requests were served");
    }
    record.line(&format!("{changed} requests ran with another body"));
    if changed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
