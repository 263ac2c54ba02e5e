//! CONFIG: two machines of a zone of three lose power at the same moment, right before a configuration is
//! acknowledged. The third machine is not disturbed, but it has links to these two only, and learns of the
//! configuration later than `config_apply_s`.

use std::collections::BTreeSet;
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
    Place {
        zone: "li-centro",
        region: "liberia",
    },
];
const MACHINES_PER_ZONE: usize = 3;
const HOST: &str = "status.example";
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// Time for which the two machines have no power, as `node_kill` of the site file.
const DOWN: Duration = Duration::from_millis(3_500);
/// End of the last round, so that the script ends within 120 s.
const LAST_START: Duration = Duration::from_secs(85);
const ROUNDS: usize = 3;
/// The two machines are lost when the age of the third one's view is at most this far above its lowest.
const FRESH_MS: u64 = 40;
/// Age up to which a view counts as young.
const YOUNG_MS: u64 = 250;
/// Most entries renewed before a round.
const RENEWALS: usize = 3;

/// A configuration with a route for each prefix.
fn config(version: usize, prefixes: &[String]) -> String {
    let row = |prefix: &String| {
        format!(r#"["r{prefix}","{HOST}","/{prefix}/","safe",0.8,0.2,2,"status-desk",2,null]"#)
    };
    let rows: Vec<String> = prefixes.iter().map(row).collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","hostname","prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","traffic_split"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["status-desk","/health",240,"h1",false]]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
        rows.join(",")
    )
}

/// Names of the machines to which a machine has links, by its log since its last start.
fn links(machine: &Machine) -> BTreeSet<String> {
    let log = machine.log();
    let newest = log.rfind("\"serving\"").map_or("", |start| &log[start..]);
    let mut counts: std::collections::BTreeMap<String, i32> = std::collections::BTreeMap::new();
    for line in newest.lines() {
        let change = if line.contains("link is up") {
            1
        } else if line.contains("link is down") {
            -1
        } else {
            continue;
        };
        let name = line
            .split("\"vm\":\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        *counts
            .entry(name.unwrap_or_default().to_owned())
            .or_default() += change;
    }
    let linked = counts.into_iter().filter(|(_, count)| *count > 0);
    linked.map(|(name, _)| name).collect()
}

/// A machine whose links all go to machines of its own zone.
fn find_isolated(machines: &[Machine]) -> Option<usize> {
    (0..machines.len()).find(|index| {
        let links = links(&machines[*index]);
        let zone = index % ZONES.len();
        let is_near = |name: &String| name.starts_with(&format!("front-{}-", ZONES[zone].zone));
        !links.is_empty() && links.iter().all(is_near)
    })
}

pub fn run(stage: &Stage) -> Verdict {
    let begin = Instant::now();
    let record = &stage.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let upstreams: Vec<Upstream> = ZONES
        .iter()
        .flat_map(|place| [place, place])
        .enumerate()
        .map(|(index, place)| {
            let id = format!("i-status-{index}");
            Upstream::start(&id, "status-desk", place.zone, &arrivals, record, false)
        })
        .collect();
    let mut prefixes = vec!["status".to_owned()];
    store.put("op/config", &config(7, &prefixes));
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
    for number in 1..=MACHINES_PER_ZONE {
        for place in ZONES {
            let seeds: Vec<_> = machines
                .iter()
                .take(3)
                .map(|machine| machine.peer)
                .collect();
            let mut machine =
                deployment.machine(&format!("front-{}-{number}", place.zone), place, &seeds);
            machine.start();
            machines.push(machine);
        }
    }
    if !kit::wait(ms(20_000), || machines.iter().all(Machine::is_ready)) {
        return Verdict::NotRun("the machines do not get ready");
    }
    let mut late = 0;
    let mut rounds = 0;
    let mut seq = 1;
    while rounds < ROUNDS && begin.elapsed() < LAST_START {
        // Calm time, longer than stability_window_s, until the links of the machines are settled.
        thread::sleep(ms(10_500));
        let mut found = None;
        kit::wait(ms(6_000), || {
            found = find_isolated(&machines);
            found.is_some()
        });
        let Some(third) = found else {
            record.line("no machine has links within its zone only");
            continue;
        };
        let zone = third % ZONES.len();
        let lost: Vec<usize> = (0..machines.len())
            .filter(|index| index % ZONES.len() == zone && *index != third)
            .collect();
        let youngest = renew_view(&store, &upstreams[0], &machines[third], &mut seq);
        let fresh = || {
            machines[third]
                .view_age_ms()
                .is_some_and(|age| age <= youngest + FRESH_MS)
        };
        let is_fresh = kit::wait(ms(3_000), fresh);
        record.line(&format!(
            "youngest view of the third machine: {youngest} ms, reached again: {is_fresh}"
        ));
        rounds += 1;
        late += run_round(
            stage,
            &store,
            &mut machines,
            third,
            &lost,
            7 + 2 * rounds,
            &mut prefixes,
        );
    }
    if rounds == 0 {
        return Verdict::NotRun("no machine has links within its zone only");
    }
    record.line(&format!("{rounds} rounds"));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Lets an upstream renew its entry, as upstreams do all the time, until the view of `machine` gets young, and
/// returns its lowest age in ms. The machine's peers tell it about once a second how old their view is; the
/// store's answer to a change makes it new. Right after a young one the machine waits longest until it reads the
/// store itself.
fn renew_view(store: &Store, upstream: &Upstream, machine: &Machine, seq: &mut u64) -> u64 {
    let mut youngest = u64::MAX;
    for _ in 0..RENEWALS {
        *seq += 1;
        store.put(&upstream.key(), &upstream.entry("ready", *seq));
        let put = Instant::now();
        thread::sleep(ms(500));
        youngest = u64::MAX;
        kit::wait(ms(2_200), || {
            youngest = youngest.min(machine.view_age_ms().unwrap_or(u64::MAX));
            false
        });
        if youngest <= YOUNG_MS {
            break;
        }
        // The next one comes so much later that the peers tell of it when it is new.
        kit::sleep_until(put + ms(3_000 + youngest.min(1_000).saturating_sub(YOUNG_MS / 2)));
    }
    youngest
}

/// One loss of two machines; returns how many requests to the third were handled by the old version
/// although they were sent later than `config_apply_s` after the ack.
fn run_round(
    stage: &Stage,
    store: &Store,
    machines: &mut [Machine],
    third: usize,
    lost: &[usize],
    version: usize,
    prefixes: &mut Vec<String>,
) -> usize {
    let record = &stage.record;
    let names: Vec<&str> = lost.iter().map(|index| &*machines[*index].name).collect();
    record.line(&format!(
        "{names:?} lose power: {}; not disturbed: {}",
        stage.trouble, machines[third].name
    ));
    if stage.trouble {
        for index in lost {
            machines[*index].kill();
        }
    }
    let killed = Instant::now();
    let prefix = format!("added{version}");
    prefixes.push(prefix.clone());
    store.put("op/config", &config(version, prefixes));
    let acknowledged = Instant::now();
    record.line(&format!(
        "version {version:08x} acknowledged: it adds /{prefix}/"
    ));
    let (mut number, mut late, mut applied) = (0, 0, None);
    let mut started = !stage.trouble;
    while acknowledged.elapsed() < ms(6_000) {
        if !started && killed.elapsed() >= DOWN {
            for index in lost {
                machines[*index].start();
            }
            record.line("the two machines start again");
            started = true;
        }
        let id = format!("v{version}.{number}");
        let since = acknowledged.elapsed();
        let head = kit::get(HOST, &format!("/{prefix}/w5"), &id, 800);
        let answer = kit::ask(machines[third].front, &head, b"", ms(800));
        let status = answer.as_ref().map_or(0, kit::Message::status);
        if status == 404 && since > CONFIG_APPLY {
            late += 1;
            record.line(&format!(
                "{id}: sent {} ms after the ack, answered 404  CONFIG: as an older version says",
                since.as_millis()
            ));
        }
        if status == 200 && applied.is_none() {
            applied = Some(since);
            record.line(&format!(
                "{id}: sent {} ms after the ack, first 200",
                since.as_millis()
            ));
        }
        number += 1;
        thread::sleep(ms(40));
    }
    record.line(&format!(
        "{number} requests to {}, {late} handled as an older version says after config_apply_s",
        machines[third].name
    ));
    late
}
