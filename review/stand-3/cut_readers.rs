//! Rule DRAIN: the machines that read the store for their zones are partitioned from it, and an upstream
//! leaves.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::common::*;

const HOST: &str = "hulo84.example";
/// Bound of the small sites.
const DRAIN_S: f64 = 2.5;
/// How long the upstream serves beyond `drain_s`.
const LITTLE_LONGER_S: f64 = 0.7;
/// How long the machines are partitioned from the store.
const CUT_S: f64 = 12.0;
const PLACES: [(&str, &str); 6] = [
    ("front-cai-a-1", "cai-a"),
    ("front-cai-a-2", "cai-a"),
    ("front-cai-a-3", "cai-a"),
    ("front-alx-a-1", "alx-a"),
    ("front-alx-a-2", "alx-a"),
    ("front-alx-a-3", "alx-a"),
];

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = Folder::create();
    let store = Store::start();
    let runs = Arc::new(Runs::default());
    let work = |_: &str| Work { seconds: 0.08, body_bytes: 400, breaks_off: None };
    let upstreams: Vec<Arc<Upstream>> = ["cai-a", "cai-a", "alx-a", "alx-a"]
        .iter()
        .map(|zone| Upstream::start("escort", zone, &runs, work))
        .collect();
    for upstream in &upstreams {
        store.put(&upstream.key(), &upstream.entry("ready", 0.0));
        record.line(&format!("upstream {} of {} at {}", upstream.id, upstream.service, upstream.address));
    }
    let routes = [format!("[\"r-assign\",\"{HOST}\",\"/assign/\",\"unsafe\",0.8,0.25,1,\"escort\",2,null]")];
    store.put("op/config", &config(3, &routes, &["escort"]));
    let paths: Vec<Path> = PLACES.iter().map(|_| Path::start(store.address)).collect();
    let addresses: Vec<_> = paths.iter().map(|path| path.address).collect();
    let vms = start_vms_on(&folder, &addresses, &PLACES);
    for vm in &vms {
        record.line(&vm.describe());
    }
    // All machines are in touch, and the readers wait at the store for changes.
    sleep(6.0);

    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for vm in &vms {
        for _ in 0..2 {
            let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
            let (name, front) = (vm.name.clone(), vm.front);
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let answer = send_to(&name, front, "POST", HOST, "/assign/2f", 800, "child and escort");
                    answers.lock().unwrap().push(answer);
                    sleep(0.05);
                }
            }));
        }
    }
    sleep(3.0);

    // Those that called the store in the last seconds read it; the others are told by them.
    let readers: Vec<usize> = (0..vms.len()).filter(|index| now() - paths[*index].last_sent() < 2.5).collect();
    let names: Vec<&str> = readers.iter().map(|index| vms[*index].name.as_str()).collect();
    record.line(&format!("machines that read the store: {}", names.join(", ")));
    assert!(!readers.is_empty() && readers.len() * 100 <= vms.len() * 35, "too many machines read the store");
    // The cut comes in the first half of a wait, which lasts two seconds.
    let newest = || readers.iter().map(|index| paths[*index].last_sent()).fold(0.0, f64::max);
    let before = newest();
    while newest() <= before {
        sleep(0.01);
    }
    sleep(0.2);
    if trouble {
        for index in &readers {
            paths[*index].set_cut(true);
        }
        record.line(&format!("partitioned from the store: {}", names.join(", ")));
    }
    let cut = now();
    sleep(0.05);
    let leaving = &upstreams[0];
    store.put(&leaving.key(), &leaving.entry("draining", 0.0));
    let acked = now();
    record.line(&format!("the store acks that {} is draining", leaving.id));
    sleep_until(acked + DRAIN_S + LITTLE_LONGER_S);
    leaving.end();
    store.delete(&leaving.key());
    record.line(&format!("{} exits", leaving.id));
    sleep_until(cut + CUT_S);
    for path in &paths {
        path.set_cut(false);
    }
    sleep(1.0);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }

    let answers = answers.lock().unwrap().clone();
    let (mut late, mut lost) = (0, 0);
    for run in runs.all() {
        let Some(answer) = answers.iter().find(|answer| answer.id == run.id) else { continue };
        let in_touch = !names.contains(&answer.vm.as_str());
        let status = answer.status.map_or("no answer".to_owned(), |status| status.to_string());
        let since = run.at - acked;
        if run.upstream == leaving.id && since > 0.0 {
            record.line(&format!(
                "{} reaches {} {since:.3} s after the ack, from {} ({}): {}; the requester got {status}",
                run.id, run.upstream, answer.vm, if in_touch { "in touch" } else { "partitioned" }, run.end
            ));
            late += usize::from(in_touch && since > DRAIN_S);
            lost += usize::from(in_touch && run.end.starts_with("lost"));
        }
    }
    for answer in &answers {
        record.line(&format!("sent at {:.3} s to {}: {} {:?}", answer.sent, answer.vm, answer.id, answer.status));
    }
    record.line(&format!(
        "requests from machines in touch that reached {} later than {DRAIN_S} s after the ack: {late}; bookings of theirs that were lost when it exited: {lost}",
        leaving.id
    ));
    late > 0
}
