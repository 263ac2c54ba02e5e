//! Measures what the control plane costs each VM, by driving the core modules and the codec.
//!
//! Arguments: the number of VMs (default 200). Prints one JSON object per line. Bytes are those of
//! the WebSocket frames, sent and received; time is that of decisions and codec, without the
//! socket calls.

use std::time::Duration;

use oriolecleat_bench::network::Network;
use oriolecleat_bench::vm::sites;
use oriolecleat_core::audit::Change;
use oriolecleat_core::audit::Ring;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::member::Fleet;
use oriolecleat_core::member::Record;
use oriolecleat_core::member::State;
use oriolecleat_core::message::Content;
use oriolecleat_core::reader;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_core::version::Version;
use serde_json::json;

const REGIONS: usize = 7;
const CENTERS: usize = 19;
const ENTRIES: usize = 150;
const TARGETS: usize = 14;
const CHANGES_PER_DAY: f64 = 4_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const DEFAULT_VMS: usize = 200;
const SETTLE: Span = Span::from_millis(40_000);
const WINDOW_S: u32 = 60;
const WINDOW: Span = Span::from_millis(60_000);
const RUNS: u64 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    bytes: f64,
    most_bytes: f64,
    frames: f64,
    micros: f64,
    most_micros: f64,
}

fn main() {
    let asked = std::env::args().nth(1);
    let vms = asked
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_VMS);
    // Memory first: later parts leave free pages that new values would reuse.
    memory();
    design_scale(vms);
    delays(vms);
    idle_slopes();
    change_slopes();
}

fn print(quantity: &str, slope: f64, unit: &str, per: &str, runs: u64) {
    let slope = (slope * 1_000.0).round() / 1_000.0;
    let line =
        json!({ "quantity": quantity, "slope": slope, "unit": unit, "per": per, "runs": runs });
    println!("{line}");
}

fn entry(index: usize, revision: u64) -> Content {
    let targets: Vec<_> = (0..TARGETS)
        .map(|target| {
            json!({
                "name": format!("target-{index}-{target}"),
                "address": format!("10.{}.{}.{target}:8080", 1 + index / 256, index % 256),
                "vm": format!("host-{index}-{target}"),
                "region": format!("region-{}", target % REGIONS),
                "data_center": format!("dc-{target:02}"),
                "slots": 4,
            })
        })
        .collect();
    let text = json!({
        "service": format!("service-{index}"), "owner": format!("revision {revision}"),
        "class": "interactive", "targets": targets,
    });
    Content {
        key: format!("entries/entry-{index}").into(),
        version: Version {
            generation: 0,
            revision,
        },
        text: Some(text.to_string().into()),
    }
}

/// What the designated readers of every data centre learn at the same moment, or of only the first
/// data centre if the service is cut off from the others.
fn publish(network: &mut Network, contents: &[Content], everywhere: bool) {
    let first = network.vms[0].site().data_center.clone();
    for vm in network.running() {
        let state = &network.vms[vm];
        let reads = reader::designated(state.gossip.fleet(), 2);
        if reads && (everywhere || state.site().data_center == first) {
            let contents = contents.to_vec();
            network.act(vm, |gossip, context| gossip.publish(context, contents));
        }
    }
}

fn settled(vms: usize, entries: usize, seed: u64, codec: bool) -> Network {
    let mut network = Network::new(&sites(REGIONS, CENTERS, vms), seed, codec);
    network.run(SETTLE);
    let contents: Vec<Content> = (0..entries).map(|index| entry(index, 1)).collect();
    publish(&mut network, &contents, true);
    network.run(Span::from_millis(10_000));
    network
}

fn window(network: &mut Network) -> Load {
    network.reset_costs();
    network.run(WINDOW);
    load(network)
}

fn load(network: &Network) -> Load {
    let seconds = f64::from(WINDOW_S);
    let running = network.running();
    let mut load = Load::default();
    for vm in &running {
        let cost = network.vms[*vm].cost;
        let bytes = as_f64(cost.bytes) / seconds;
        let micros = micros(cost.busy) / seconds;
        load.bytes += bytes / as_f64(running.len() as u64);
        load.frames += as_f64(cost.frames) / seconds / as_f64(running.len() as u64);
        load.micros += micros / as_f64(running.len() as u64);
        load.most_bytes = load.most_bytes.max(bytes);
        load.most_micros = load.most_micros.max(micros);
    }
    load
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000_000.0
}

fn as_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Slope of the least-squares line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = as_f64(points.len() as u64);
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

fn idle_slopes() {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for vms in [20, 60, 120] {
        for seed in 0..RUNS {
            let load = window(&mut settled(vms, 0, seed, true));
            let size = as_f64(vms as u64);
            bytes.push((size, load.bytes));
            times.push((size, load.micros));
        }
    }
    print(
        "idle bytes per second and VM",
        slope(&bytes),
        "B/s",
        "VM",
        RUNS * 3,
    );
    print(
        "idle time per second and VM",
        slope(&times),
        "us/s",
        "VM",
        RUNS * 3,
    );
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for entries in [0, 75, 150, 300] {
        for seed in 0..RUNS {
            let load = window(&mut settled(60, entries, seed, true));
            let size = as_f64(entries as u64);
            bytes.push((size, load.bytes));
            times.push((size, load.micros));
        }
    }
    print(
        "idle bytes per second and VM",
        slope(&bytes),
        "B/s",
        "entry",
        RUNS * 4,
    );
    print(
        "idle time per second and VM",
        slope(&times),
        "us/s",
        "entry",
        RUNS * 4,
    );
}

fn change_slopes() {
    for vms in [20, 60] {
        let mut bytes = Vec::new();
        let mut most = Vec::new();
        let mut times = Vec::new();
        for changes in [0_u32, 30, 60] {
            for seed in 0..RUNS {
                let mut network = settled(vms, ENTRIES, seed, true);
                network.reset_costs();
                for second in 0..WINDOW_S {
                    if second < changes {
                        let index = second as usize % ENTRIES;
                        let revision = 2 + u64::from(second);
                        publish(&mut network, &[entry(index, revision)], true);
                    }
                    network.run(Span::from_millis(1_000));
                }
                let load = load(&network);
                let rate = f64::from(changes) / f64::from(WINDOW_S);
                bytes.push((rate, load.bytes));
                most.push((rate, load.most_bytes));
                times.push((rate, load.micros));
            }
        }
        let per = format!("change/s at {vms} VMs");
        print(
            "bytes per second and VM",
            slope(&bytes),
            "B/s",
            &per,
            RUNS * 3,
        );
        print(
            "bytes per second of the busiest VM",
            slope(&most),
            "B/s",
            &per,
            RUNS * 3,
        );
        print(
            "time per second and VM",
            slope(&times),
            "us/s",
            &per,
            RUNS * 3,
        );
    }
    let text = entry(0, 1).text.map_or(0, |text| text.len());
    print(
        "text of an entry",
        as_f64(text as u64),
        "B",
        "entry of 14 targets",
        1,
    );
    let line = as_f64(text as u64) * 4.0 / 3.0 + 200.0;
    print("line of a reader's watch", line, "B", "change", 1);
}

fn design_scale(vms: usize) {
    let per =
        format!("VM at {vms} VMs, {CENTERS} data centres, {REGIONS} regions, {ENTRIES} entries");
    let mut network = settled(vms, ENTRIES, 1, true);
    let idle = window(&mut network);
    report("idle", idle, &per);
    // One change every 21.6 s, as on a day with 4,000.
    network.reset_costs();
    let pause = SECONDS_PER_DAY / CHANGES_PER_DAY;
    let changes = f64::from(WINDOW_S) / pause;
    for (index, revision) in [(0, 2), (1, 3), (2, 4)] {
        publish(&mut network, &[entry(index, revision)], true);
        network.run(Span::from_millis(20_000));
    }
    let load = load(&network);
    report(
        &format!("4,000 changes a day ({changes:.1} of 3 in the minute)"),
        load,
        &per,
    );
    let lost: Vec<usize> = network
        .running()
        .into_iter()
        .filter(|vm| &*network.vms[*vm].site().data_center == "dc-03")
        .collect();
    for vm in &lost {
        network.kill(*vm, false);
    }
    report(
        "minute after the loss of a data centre",
        window(&mut network),
        &per,
    );
    for vm in &lost {
        network.start(*vm);
    }
    report("minute after its return", window(&mut network), &per);
}

fn report(when: &str, load: Load, per: &str) {
    print(
        &format!("{when}: bytes per second, mean"),
        load.bytes,
        "B/s",
        per,
        1,
    );
    print(
        &format!("{when}: bytes per second, busiest VM"),
        load.most_bytes,
        "B/s",
        per,
        1,
    );
    print(
        &format!("{when}: frames per second, mean"),
        load.frames,
        "1/s",
        per,
        1,
    );
    print(&format!("{when}: time, mean"), load.micros, "us/s", per, 1);
    print(
        &format!("{when}: time, busiest VM"),
        load.most_micros,
        "us/s",
        per,
        1,
    );
}

fn delays(vms: usize) {
    let per = format!("change at {vms} VMs");
    for (lost, everywhere, what) in [
        (false, true, "read in every data centre"),
        (false, false, "read in one data centre"),
        (true, true, "read in every data centre, pushes lost"),
        (true, false, "read in one data centre, pushes lost"),
    ] {
        let mut longest = 0.0_f64;
        for seed in 0..RUNS {
            let mut network = settled(vms, 10, seed, false);
            network.accepted.clear();
            network.faults.pushes_lost = lost;
            let start = network.now();
            publish(&mut network, &[entry(0, 2)], everywhere);
            network.run(Span::from_millis(60_000));
            let accepted = &network.accepted["entries/entry-0"];
            assert_eq!(accepted.len(), vms, "VMs that accepted the change");
            let last = accepted
                .iter()
                .map(|(_, time)| time.since(start).as_micros())
                .max();
            longest = longest.max(as_f64(last.unwrap_or(0)) / 1_000.0);
        }
        print(
            &format!("time until in effect everywhere, {what}"),
            longest,
            "ms",
            &per,
            RUNS,
        );
    }
}

/// Bytes of resident memory.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}

fn grown<T>(count: u64, build: impl FnOnce() -> T) -> f64 {
    let before = resident();
    let held = build();
    let after = resident();
    // Kept, so that the next values do not reuse its pages.
    std::mem::forget(held);
    (after - before) / as_f64(count)
}

fn memory() {
    let address = ([10, 0, 0, 1], 7_000).into();
    let record = |vm: u64| Record {
        vm: format!("vm-{vm:06}").into(),
        incarnation: vm,
        sequence: 0,
        state: State::Alive,
        caller: address,
        directory: address,
        peer: address,
        region: "region-1".into(),
        data_center: "dc-01".into(),
        uptime_ms: 0,
        build: "0.1.0".into(),
    };
    let members = grown(50 * 1_000, || {
        let fleet = |_| {
            let mut fleet = Fleet::new(Instant::default(), record(0));
            for vm in 1..1_000 {
                fleet.merge(Instant::default(), record(vm));
            }
            fleet
        };
        (0..50).map(fleet).collect::<Vec<Fleet>>()
    });
    print("memory", members, "B", "member", 1);
    let entries = grown(10 * 600, || {
        let catalogue = |_| {
            let mut catalogue = Catalogue::default();
            for index in 0..600 {
                let content = entry(index, 1);
                let text = content.text.as_deref();
                catalogue.offer(&content.key, content.version, text, Source::Service);
            }
            catalogue
        };
        (0..10).map(catalogue).collect::<Vec<Catalogue>>()
    });
    print("memory", entries, "B", "entry of 14 targets", 1);
    let records = grown(20 * 4_096, || {
        let ring = |_| {
            let mut ring = Ring::new("vm-000001", 1);
            for index in 0..4_096_u64 {
                let subject = format!("entries/entry-{index}");
                ring.record(
                    index,
                    Change::new("catalogue", &subject, "vm-000002", "accepted"),
                );
            }
            ring
        };
        (0..20).map(ring).collect::<Vec<Ring>>()
    });
    print("memory", records, "B", "audit record", 1);
}
