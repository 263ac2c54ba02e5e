//! Catalogue entries as operators write them, checked whole.

use std::net::SocketAddr;

use crate::map::Set;
use crate::read;
use crate::read::Fault;
use crate::read::Reader;
use crate::time::Span;

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
    }
}

const MAX_TARGETS: usize = 1_024;

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
    let class = class(reader);
    let methods = methods(reader);
    let generation = reader.integer("generation", 0..=u64::MAX, Some(0));
    let deleted = reader.flag("deleted", false);
    let deadline = reader.integer("deadline_ms", 1..=600_000, Some(10_000));
    let limits = reader.nested("limits", limits);
    let once = class == Some(Class::Once);
    let retry = reader.nested("retry", |reader| retry(reader, once));
    let hedge = reader.nested("hedge", |reader| hedge(reader, once));
    let targets = reader.nested_list("targets", target);
    check_targets(reader, &targets);
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

fn class(reader: &mut Reader) -> Option<Class> {
    match &*reader.text("class")? {
        "once" => Some(Class::Once),
        "interactive" => Some(Class::Interactive),
        "batch" => Some(Class::Batch),
        _ => {
            reader.refuse("class", "must be once, interactive or batch");
            None
        }
    }
}

fn methods(reader: &mut Reader) -> Vec<Box<str>> {
    let methods = reader.texts("methods");
    for (index, method) in methods.iter().enumerate() {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            reader.refuse(
                &format!("methods[{index}]"),
                "must be an HTTP method in upper case",
            );
        }
    }
    methods
}

fn limits(reader: &mut Reader) -> Option<Limits> {
    let rate_per_s = reader.integer("rate_per_s", 1..=10_000_000, Some(10_000));
    let rate_burst = reader.integer("rate_burst", 1..=10_000_000, Some(10_000));
    let concurrency = reader.integer("concurrency", 1..=1_000_000, Some(10_000));
    let queue = reader.integer("queue", 0..=1_000_000, Some(1_000));
    let measuring_rate = reader.integer("measuring_bytes_per_s", 0..=1 << 40, Some(65_536));
    let measuring_burst = reader.integer("measuring_burst_bytes", 0..=1 << 40, Some(65_536));
    let cross_rate = reader.integer("cross_region_bytes_per_s", 0..=1 << 40, Some(0));
    let cross_burst = reader.integer("cross_region_burst_bytes", 0..=1 << 40, Some(0));
    Some(Limits {
        rate_per_s: rate_per_s?,
        rate_burst: rate_burst?,
        concurrency: concurrency?,
        queue: queue?,
        measuring_bytes_per_s: measuring_rate?,
        measuring_burst_bytes: measuring_burst?,
        cross_region_bytes_per_s: cross_rate?,
        cross_region_burst_bytes: cross_burst?,
    })
}

fn retry(reader: &mut Reader, once: bool) -> Option<Retry> {
    let attempts = reader.integer("attempts", 1..=5, Some(if once { 1 } else { 2 }));
    let budget_percent = reader.integer("budget_percent", 0..=100, Some(10));
    if once && attempts.is_some_and(|attempts| attempts > 1) {
        reader.refuse(
            "attempts",
            "must be 1 for class once: a non-idempotent request is never sent again",
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
    if once && enabled {
        reader.refuse(
            "enabled",
            "must be false for class once: a non-idempotent request is never hedged",
        );
    }
    Some(Hedge {
        enabled,
        budget_percent: budget_percent?,
    })
}

fn target(reader: &mut Reader) -> Option<Target> {
    let name = reader.name("name");
    let address = reader.address("address");
    let vm = reader.name("vm");
    let region = reader.name("region");
    let data_center = reader.name("data_center");
    let slots = reader.integer("slots", 1..=1_024, Some(4));
    Some(Target {
        name: name?,
        address: address?,
        vm: vm?,
        region: region?,
        data_center: data_center?,
        slots: slots?,
    })
}

fn check_targets(reader: &Reader, targets: &[Target]) {
    if targets.len() > MAX_TARGETS {
        reader.refuse("targets", &format!("must be at most {MAX_TARGETS}"));
    }
    let mut names = Set::default();
    let mut addresses = Set::default();
    for (index, target) in targets.iter().enumerate() {
        if !names.insert(&target.name) {
            reader.refuse(
                &format!("targets[{index}].name"),
                "must be unique within the entry",
            );
        }
        if !addresses.insert(target.address) {
            reader.refuse(
                &format!("targets[{index}].address"),
                "must be unique within the entry",
            );
        }
    }
}
