//! Catalogue entries: parses and validates the JSON that operators write.
//!
//! A text is checked completely, so that all of its faults are reported at once.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::map::Map;
use crate::map::Set;
use crate::read;
use crate::read::Fault;
use crate::read::Reader;
use crate::time::Span;

mod builder;

pub use builder::Builder;

key! {
    /// Traffic class of an entry: whether its requests may be repeated, and when they are shed.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Non-idempotent: runs at most once, shed last.
        Once,
        /// Idempotent, and a person waits for the answer.
        Interactive,
        /// Idempotent, shed first.
        Batch,
    }
}

data! {
    /// One entry of the catalogue.
    pub struct Entry {
        /// Service name that callers send in the Host header.
        pub service: Box<str>,
        /// Person or team responsible for the entry.
        pub owner: Box<str>,
        /// Traffic class of its requests.
        pub class: Class,
        /// Methods that the entry matches; empty for all.
        pub methods: Vec<Box<str>>,
        /// Generation of the entry. Any revision of a higher generation overrides all revisions of
        /// lower ones.
        pub generation: u64,
        /// Whether this content deletes the entry.
        pub deleted: bool,
        /// Longest time that a caller waits for the whole answer.
        pub deadline: Span,
        /// Resources that the entry may consume.
        pub limits: Limits,
        /// Bounds on retries of its requests.
        pub retry: Retry,
        /// Bounds on hedging its requests, which sends them to a second target.
        pub hedge: Hedge,
        /// Servers that run its requests.
        pub targets: Vec<Target>,
    }

    /// Resources that an entry may consume, over all VMs together unless a field says otherwise.
    pub struct Limits {
        /// Calls per second.
        pub rate_per_s: u64,
        /// Calls that may arrive at once in excess of the rate.
        pub rate_burst: u64,
        /// Calls in progress at once.
        pub concurrency: u64,
        /// Calls that may wait in the queue of each VM.
        pub queue: u64,
        /// Bytes per second of traffic that measures targets.
        pub measuring_bytes_per_s: u64,
        /// Burst of the traffic that measures targets, in bytes.
        pub measuring_burst_bytes: u64,
        /// Bytes per second of traffic between regions.
        pub cross_region_bytes_per_s: u64,
        /// Burst of the traffic between regions, in bytes.
        pub cross_region_burst_bytes: u64,
    }

    /// Bounds on retries.
    pub struct Retry {
        /// Maximum number of attempts for a call, the first included.
        pub attempts: u64,
        /// Retry budget, as a percentage of calls.
        pub budget_percent: u64,
    }

    /// Bounds on hedged requests.
    pub struct Hedge {
        /// Whether hedging is allowed.
        pub enabled: bool,
        /// Hedging budget, as a percentage of calls.
        pub budget_percent: u64,
    }

    /// A server that runs requests.
    #[derive(Hash)]
    pub struct Target {
        /// Name, unique within the service.
        pub name: Box<str>,
        /// IP address and port.
        pub address: SocketAddr,
        /// VM that the target runs on, by its name in the VM list.
        pub vm: Box<str>,
        /// Region of the target.
        pub region: Box<str>,
        /// Data centre of the target.
        pub data_center: Box<str>,
        /// Requests that the target processes concurrently.
        pub slots: u64,
        /// Distinguishes restarts of a target under the same name; 0 if it is not given.
        pub incarnation: u64,
    }
}

const MAX_TARGETS: usize = 1_024;
const MAX_BYTES: u64 = 1 << 40;
const CLASSES: [(&str, Class); 3] = [
    ("once", Class::Once),
    ("interactive", Class::Interactive),
    ("batch", Class::Batch),
];

/// Parses and validates the text of an entry.
///
/// # Errors
///
/// Returns every fault found.
pub fn parse(text: &str) -> Result<Entry, Vec<Fault>> {
    read::object(text, entry)
}

fn entry(reader: &mut Reader) -> Option<Entry> {
    let service = reader.name("service");
    let owner = reader.text("owner");
    let class = reader.choice("class", &CLASSES);
    let methods = methods(reader);
    let generation = reader.integer("generation", 0..=u64::MAX, Some(0));
    let deleted = reader.flag("deleted", false);
    let deadline = reader.integer("deadline_ms", 1..=600_000, Some(10_000));
    let limits = reader.nested("limits", limits);
    let once = class == Some(Class::Once);
    let retry = reader.nested("retry", |reader| retry(reader, once));
    let hedge = reader.nested("hedge", |reader| hedge(reader, once));
    let targets = targets(reader);
    Some(Entry {
        service: service?,
        owner: owner?,
        class: class?,
        methods,
        generation: generation?,
        deleted,
        deadline: Span::from_millis(deadline?),
        limits: limits?,
        retry: retry?,
        hedge: hedge?,
        targets,
    })
}

fn methods(reader: &mut Reader) -> Vec<Box<str>> {
    let methods = reader.texts("methods");
    let mut known = Set::default();
    for (index, method) in methods.iter().enumerate() {
        let path = format!("methods[{index}]");
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            reader.add_fault(&path, "must be an HTTP method in upper case");
        }
        if !known.insert(method) {
            reader.add_fault(&path, "must be unique within the entry");
        }
    }
    methods
}

fn limits(reader: &mut Reader) -> Option<Limits> {
    let rate_per_s = reader.integer("rate_per_s", 1..=10_000_000, Some(10_000));
    let rate_burst = reader.integer("rate_burst", 1..=10_000_000, Some(10_000));
    let concurrency = reader.integer("concurrency", 1..=1_000_000, Some(10_000));
    let queue = reader.integer("queue", 0..=1_000_000, Some(1_000));
    let measuring = budget(
        reader,
        "measuring_bytes_per_s",
        "measuring_burst_bytes",
        65_536,
    );
    let cross_region = budget(
        reader,
        "cross_region_bytes_per_s",
        "cross_region_burst_bytes",
        0,
    );
    let (measuring_bytes_per_s, measuring_burst_bytes) = measuring?;
    let (cross_region_bytes_per_s, cross_region_burst_bytes) = cross_region?;
    Some(Limits {
        rate_per_s: rate_per_s?,
        rate_burst: rate_burst?,
        concurrency: concurrency?,
        queue: queue?,
        measuring_bytes_per_s,
        measuring_burst_bytes,
        cross_region_bytes_per_s,
        cross_region_burst_bytes,
    })
}

/// Reads a rate in bytes per second and its burst in bytes, which defaults to one second of the
/// rate.
fn budget(reader: &mut Reader, rate: &str, burst: &str, default: u64) -> Option<(u64, u64)> {
    let bytes_per_s = reader.integer(rate, 0..=MAX_BYTES, Some(default));
    let burst_bytes = reader.integer(burst, 0..=MAX_BYTES, Some(bytes_per_s.unwrap_or(default)));
    if bytes_per_s > Some(0) && burst_bytes == Some(0) {
        reader.add_fault(burst, &format!("must be above 0 while {rate} is above 0"));
    }
    Some((bytes_per_s?, burst_bytes?))
}

fn retry(reader: &mut Reader, once: bool) -> Option<Retry> {
    let budget_percent = reader.integer("budget_percent", 0..=100, Some(10));
    let single = once || budget_percent == Some(0);
    let attempts = reader.integer("attempts", 1..=5, Some(if single { 1 } else { 2 }));
    if attempts > Some(1) && once {
        reader.add_fault(
            "attempts",
            "must be 1 for class once: a non-idempotent request is never sent again",
        );
    } else if attempts > Some(1) && budget_percent == Some(0) {
        reader.add_fault(
            "budget_percent",
            "must be above 0 while attempts is above 1",
        );
    }
    Some(Retry {
        attempts: attempts?,
        budget_percent: budget_percent?,
    })
}

fn hedge(reader: &mut Reader, once: bool) -> Option<Hedge> {
    let enabled = reader.flag("enabled", false);
    let budget_percent = reader.integer("budget_percent", 0..=20, Some(2));
    if enabled && once {
        reader.add_fault(
            "enabled",
            "must be false for class once: a non-idempotent request is never hedged",
        );
    } else if enabled && budget_percent == Some(0) {
        reader.add_fault("budget_percent", "must be above 0 while enabled is true");
    }
    Some(Hedge {
        enabled,
        budget_percent: budget_percent?,
    })
}

/// Names, addresses and locations of the targets read so far, to find contradictions between them.
#[derive(Default)]
struct Topology {
    names: Set<Box<str>>,
    addresses: Set<SocketAddr>,
    /// Region by data centre.
    regions: Map<Box<str>, Box<str>>,
    /// Data centre by VM.
    data_centers: Map<Box<str>, Box<str>>,
}

fn targets(reader: &mut Reader) -> Vec<Target> {
    let mut topology = Topology::default();
    let mut count = 0;
    let targets = reader.nested_list("targets", |reader| {
        count += 1;
        target(reader, &mut topology)
    });
    if count > MAX_TARGETS {
        reader.add_fault("targets", &format!("must be at most {MAX_TARGETS}"));
    }
    targets
}

fn target(reader: &mut Reader, topology: &mut Topology) -> Option<Target> {
    let name = reader.name("name");
    let address = reader.address("address");
    let vm = reader.name("vm");
    let region = reader.name("region");
    let data_center = reader.name("data_center");
    let slots = reader.integer("slots", 1..=1_024, Some(4));
    let incarnation = reader.integer("incarnation", 0..=u64::MAX, Some(0));
    if name
        .clone()
        .is_some_and(|name| !topology.names.insert(name))
    {
        reader.add_fault("name", "must be unique within the entry");
    }
    if address.is_some_and(|address| !topology.addresses.insert(address)) {
        reader.add_fault("address", "must be unique within the entry");
    }
    if insert_conflicts(
        &mut topology.regions,
        data_center.as_deref(),
        region.as_deref(),
    ) {
        reader.add_fault("region", "differs from another target of the data centre");
    }
    if insert_conflicts(
        &mut topology.data_centers,
        vm.as_deref(),
        data_center.as_deref(),
    ) {
        reader.add_fault("data_center", "differs from another target of the VM");
    }
    Some(Target {
        name: name?,
        address: address?,
        vm: vm?,
        region: region?,
        data_center: data_center?,
        slots: slots?,
        incarnation: incarnation?,
    })
}

/// Records that `child` lies in `parent`, and returns whether it was recorded in another parent
/// before.
fn insert_conflicts(
    parents: &mut Map<Box<str>, Box<str>>,
    child: Option<&str>,
    parent: Option<&str>,
) -> bool {
    let (Some(child), Some(parent)) = (child, parent) else {
        return false;
    };
    &**parents.entry(child.into()).or_insert_with(|| parent.into()) != parent
}

impl Entry {
    /// The entry as an operator writes it, with every field present.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let targets: Vec<Value> = self.targets.iter().map(Target::to_json).collect();
        json!({
            "service": self.service,
            "owner": self.owner,
            "class": self.class,
            "methods": self.methods,
            "generation": self.generation,
            "deleted": self.deleted,
            "deadline_ms": self.deadline.as_millis(),
            "limits": {
                "rate_per_s": self.limits.rate_per_s,
                "rate_burst": self.limits.rate_burst,
                "concurrency": self.limits.concurrency,
                "queue": self.limits.queue,
                "measuring_bytes_per_s": self.limits.measuring_bytes_per_s,
                "measuring_burst_bytes": self.limits.measuring_burst_bytes,
                "cross_region_bytes_per_s": self.limits.cross_region_bytes_per_s,
                "cross_region_burst_bytes": self.limits.cross_region_burst_bytes,
            },
            "retry": {
                "attempts": self.retry.attempts,
                "budget_percent": self.retry.budget_percent,
            },
            "hedge": {
                "enabled": self.hedge.enabled,
                "budget_percent": self.hedge.budget_percent,
            },
            "targets": targets,
        })
    }
}

impl Target {
    fn to_json(&self) -> Value {
        json!({
            "name": self.name,
            "address": self.address.to_string(),
            "vm": self.vm,
            "region": self.region,
            "data_center": self.data_center,
            "slots": self.slots,
            "incarnation": self.incarnation,
        })
    }
}
