//! Catalogue entries as operators write them, checked whole.

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
    /// How the requests of an entry may be treated.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Class {
        /// Non-idempotent: runs at most once, shed last.
        Once,
        /// Idempotent, a person waits for the answer.
        Interactive,
        /// Idempotent, shed first.
        Batch,
    }
}

data! {
    /// One entry of the catalogue.
    pub struct Entry {
        /// Service that callers name in the Host header.
        pub service: Box<str>,
        /// Who answers for the entry.
        pub owner: Box<str>,
        /// How its requests may be treated.
        pub class: Class,
        /// Methods that the entry matches; empty for all.
        pub methods: Vec<Box<str>>,
        /// Outranks every revision of a lower generation.
        pub generation: u64,
        /// Whether the entry stands for its own deletion.
        pub deleted: bool,
        /// Longest time that a caller waits for the whole answer.
        pub deadline: Span,
        /// What the entry may consume.
        pub limits: Limits,
        /// When its requests may be sent again.
        pub retry: Retry,
        /// When its requests may be sent to a second target.
        pub hedge: Hedge,
        /// Servers that run its requests.
        pub targets: Vec<Target>,
    }

    /// What an entry may consume over all VMs together.
    pub struct Limits {
        /// Calls a second.
        pub rate_per_s: u64,
        /// Calls that may arrive at once above the rate.
        pub rate_burst: u64,
        /// Calls in progress at once.
        pub concurrency: u64,
        /// Calls that may wait on one VM.
        pub queue: u64,
        /// Bytes a second spent on measuring targets.
        pub measuring_bytes_per_s: u64,
        /// Bytes of measuring that may be spent at once.
        pub measuring_burst_bytes: u64,
        /// Bytes a second between regions.
        pub cross_region_bytes_per_s: u64,
        /// Bytes between regions that may be spent at once.
        pub cross_region_burst_bytes: u64,
    }

    /// Permission to send a request again.
    pub struct Retry {
        /// Attempts in all, the first included.
        pub attempts: u64,
        /// Retries as a percentage of calls.
        pub budget_percent: u64,
    }

    /// Permission to send a request to a second target.
    pub struct Hedge {
        /// Whether hedging is allowed.
        pub enabled: bool,
        /// Hedges as a percentage of calls.
        pub budget_percent: u64,
    }

    /// A server that runs requests.
    pub struct Target {
        /// Name, unique within the service.
        pub name: Box<str>,
        /// IP number and port.
        pub address: SocketAddr,
        /// VM that the target runs on, as in the VM list.
        pub vm: Box<str>,
        /// Region of the target.
        pub region: Box<str>,
        /// Data centre of the target.
        pub data_center: Box<str>,
        /// Requests that the target works on at once.
        pub slots: u64,
        /// Tells apart starts of a target under one name; 0 if it is not told.
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

/// Checks the text of an entry.
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
            reader.refuse(&path, "must be an HTTP method in upper case");
        }
        if !known.insert(method) {
            reader.refuse(&path, "must be unique within the entry");
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

/// A rate in bytes and its burst, which defaults to what the rate gives in a second.
fn budget(reader: &mut Reader, rate: &str, burst: &str, default: u64) -> Option<(u64, u64)> {
    let bytes_per_s = reader.integer(rate, 0..=MAX_BYTES, Some(default));
    let burst_bytes = reader.integer(burst, 0..=MAX_BYTES, Some(bytes_per_s.unwrap_or(default)));
    if bytes_per_s > Some(0) && burst_bytes == Some(0) {
        reader.refuse(burst, &format!("must be above 0 while {rate} is above 0"));
    }
    Some((bytes_per_s?, burst_bytes?))
}

fn retry(reader: &mut Reader, once: bool) -> Option<Retry> {
    let budget_percent = reader.integer("budget_percent", 0..=100, Some(10));
    let single = once || budget_percent == Some(0);
    let attempts = reader.integer("attempts", 1..=5, Some(if single { 1 } else { 2 }));
    if attempts > Some(1) && once {
        reader.refuse(
            "attempts",
            "must be 1 for class once: a non-idempotent request is never sent again",
        );
    } else if attempts > Some(1) && budget_percent == Some(0) {
        reader.refuse(
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
        reader.refuse(
            "enabled",
            "must be false for class once: a non-idempotent request is never hedged",
        );
    } else if enabled && budget_percent == Some(0) {
        reader.refuse("budget_percent", "must be above 0 while enabled is true");
    }
    Some(Hedge {
        enabled,
        budget_percent: budget_percent?,
    })
}

/// What the targets of an entry must agree on.
#[derive(Default)]
struct Places {
    names: Set<Box<str>>,
    addresses: Set<SocketAddr>,
    regions: Map<Box<str>, Box<str>>,
    data_centers: Map<Box<str>, Box<str>>,
}

fn targets(reader: &mut Reader) -> Vec<Target> {
    let mut places = Places::default();
    let mut count = 0;
    let targets = reader.nested_list("targets", |reader| {
        count += 1;
        target(reader, &mut places)
    });
    if count > MAX_TARGETS {
        reader.refuse("targets", &format!("must be at most {MAX_TARGETS}"));
    }
    targets
}

fn target(reader: &mut Reader, places: &mut Places) -> Option<Target> {
    let name = reader.name("name");
    let address = reader.address("address");
    let vm = reader.name("vm");
    let region = reader.name("region");
    let data_center = reader.name("data_center");
    let slots = reader.integer("slots", 1..=1_024, Some(4));
    let incarnation = reader.integer("incarnation", 0..=u64::MAX, Some(0));
    if name.clone().is_some_and(|name| !places.names.insert(name)) {
        reader.refuse("name", "must be unique within the entry");
    }
    if address.is_some_and(|address| !places.addresses.insert(address)) {
        reader.refuse("address", "must be unique within the entry");
    }
    if contradicts(
        &mut places.regions,
        data_center.as_deref(),
        region.as_deref(),
    ) {
        reader.refuse("region", "differs from another target of the data centre");
    }
    if contradicts(
        &mut places.data_centers,
        vm.as_deref(),
        data_center.as_deref(),
    ) {
        reader.refuse("data_center", "differs from another target of the VM");
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

/// Whether `part` was seen within another whole than `whole`.
fn contradicts(
    known: &mut Map<Box<str>, Box<str>>,
    part: Option<&str>,
    whole: Option<&str>,
) -> bool {
    let (Some(part), Some(whole)) = (part, whole) else {
        return false;
    };
    &**known.entry(part.into()).or_insert_with(|| whole.into()) != whole
}

impl Entry {
    /// The entry as an operator writes it, with every field.
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
