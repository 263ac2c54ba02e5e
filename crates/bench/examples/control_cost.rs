//! Measures what the control plane costs each VM, by driving the core modules and the codec.
//!
//! Arguments: the number of VMs (default 200). Prints one JSON object per line. Bytes are those of
//! the WebSocket frames, sent and received; time is that of decisions and codec, without the
//! socket calls.

use oriolecleat_bench::cost::line::print;
use oriolecleat_bench::cost::line::report;
use oriolecleat_bench::cost::load::WINDOW_S;
use oriolecleat_bench::cost::load::load;
use oriolecleat_bench::cost::load::window;
use oriolecleat_bench::cost::memory::growth_per_value;
use oriolecleat_bench::cost::number::as_f64;
use oriolecleat_bench::cost::number::slope;
use oriolecleat_bench::cost::setup::CENTERS;
use oriolecleat_bench::cost::setup::REGIONS;
use oriolecleat_bench::cost::setup::entry;
use oriolecleat_bench::cost::setup::publish;
use oriolecleat_bench::cost::setup::settled_network;
use oriolecleat_core::audit::Change;
use oriolecleat_core::audit::Ring;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::member::Fleet;
use oriolecleat_core::member::Record;
use oriolecleat_core::member::State;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;

const ENTRIES: usize = 150;
const CHANGES_PER_DAY: f64 = 4_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const DEFAULT_VMS: usize = 200;
const RUNS: u64 = 3;

fn main() {
    let argument = std::env::args().nth(1);
    let vms = argument
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_VMS);
    // Memory is measured first, as the other parts leave free pages that new values would reuse.
    memory_per_item();
    design_scale(vms);
    change_delays(vms);
    idle_slopes();
    change_slopes();
}

fn idle_slopes() {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for vms in [20, 60, 120] {
        for seed in 0..RUNS {
            let load = window(&mut settled_network(vms, 0, seed, true));
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
            let load = window(&mut settled_network(60, entries, seed, true));
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
        let mut busiest = Vec::new();
        let mut times = Vec::new();
        for changes in [0_u32, 30, 60] {
            for seed in 0..RUNS {
                let mut network = settled_network(vms, ENTRIES, seed, true);
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
                busiest.push((rate, load.max_bytes));
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
            slope(&busiest),
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
    let mut network = settled_network(vms, ENTRIES, 1, true);
    let idle = window(&mut network);
    report("idle", idle, &per);
    // 4,000 changes a day are one every 21.6 s.
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

fn change_delays(vms: usize) {
    let per = format!("change at {vms} VMs");
    for (lost, everywhere, what) in [
        (false, true, "read in every data centre"),
        (false, false, "read in one data centre"),
        (true, true, "read in every data centre, pushes lost"),
        (true, false, "read in one data centre, pushes lost"),
    ] {
        let mut longest = 0.0_f64;
        for seed in 0..RUNS {
            let mut network = settled_network(vms, 10, seed, false);
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

fn memory_per_item() {
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
        capacity: 24,
    };
    let members = growth_per_value(50 * 1_000, || {
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
    let entries = growth_per_value(10 * 600, || {
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
    let records = growth_per_value(20 * 4_096, || {
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
