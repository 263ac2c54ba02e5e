//! The `hosting` section of the settings, for a fleet that a platform hosts.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::place::spill::Prices;
use crate::read::Reader;
use crate::time::Span;

data! {
    /// Settings for a platform that hosts the fleet.
    pub struct Hosting {
        /// Address of the readiness check, where the platform queries whether callers may connect.
        pub ready: SocketAddr,
        /// Address that serves counters and histograms as text; none are served without it.
        pub metrics: Option<SocketAddr>,
        /// Bound on the repeated requests to a service.
        pub repeats: Repeats,
        /// Time from the signal to stop until the platform kills the process.
        pub grace: Span,
        /// Maximum number of entry VMs in an answer of the directory.
        pub named: usize,
        /// Processor time that this VM may use, in thousandths of a processor.
        pub cores_thousandths: u64,
        /// Bandwidth of the network link of this VM, in kbit/s.
        pub link_kbps: u64,
        /// Memory that this VM may use, in megabytes; 0 if it is not known.
        pub memory_mb: u64,
        /// Regions of the data centres that targets may name.
        pub regions: Vec<Region>,
        /// Costs of bytes between data centres and regions, and the worths of answers.
        pub prices: Prices,
        /// Bound on the requests to a cold target; none without one.
        pub cold: Option<Cold>,
    }

    /// Bound on the requests to a target that has just started, over all VMs together: in any second
    /// at most `over` times the rate that the plan states for its service, and `slack` more.
    #[derive(Copy)]
    pub struct Cold {
        /// Multiple of the rate, in thousandths.
        pub over_thousandths: u64,
        /// Requests allowed in addition, in thousandths.
        pub slack_thousandths: u64,
    }

    /// Bound on the repeated requests to a service, over all VMs together: in each window at most
    /// `ratio` repeats for each request in it or in the window before it, whichever has more, and `slack`
    /// more.
    #[derive(Copy)]
    pub struct Repeats {
        /// Repeats allowed for each request, in thousandths.
        pub ratio_thousandths: u64,
        /// Repeats allowed in each window in addition to the ratio.
        pub slack: u64,
        /// Length of the window.
        pub window: Span,
        /// Maximum number of VM processes in a window, replaced ones included, which share the slack
        /// equally.
        pub vm_ceiling: u64,
    }

    /// The region that a data centre belongs to.
    pub struct Region {
        /// The data centre.
        pub data_center: Box<str>,
        /// Its region.
        pub name: Box<str>,
    }
}

/// Target slots whose calls one processor can forward: a fifth of a processor forwards the calls of
/// six targets.
const SLOTS_PER_CORE: u64 = 120;
/// Target slots whose calls one Mbit/s of link bandwidth can carry: with calls of 60 ms and 4 KB a
/// slot transfers about half a Mbit/s.
const SLOTS_PER_MBPS: u64 = 2;

/// Cost of a gigabyte in thousandths of the worth of an answer; at the upper end a byte costs a
/// thousandth of an answer.
const GB_RANGE: RangeInclusive<u32> = 0..=1_000_000_000;
/// Worth of an answer in thousandths of a plain one. An answer without a worth would not be sent.
const WORTH_RANGE: RangeInclusive<u32> = 1..=1_000_000;

/// Reads the fields of the section.
pub(super) fn read(reader: &mut Reader) -> Option<Hosting> {
    let ready = reader.listen_address("ready");
    let metrics = reader.optional_address("metrics");
    let repeats = reader.nested("repeats", repeats);
    let grace = reader.thousandths("grace_s", 1..=600_000, 6_000);
    let named = reader.integer("named", 1..=64, Some(2));
    let cores = reader.thousandths("cores", 1..=1_024_000, 200);
    let link = reader.thousandths("link_mbps", 1..=4_000_000_000, 1_000_000);
    let memory = reader.integer("memory_mb", 0..=1_048_576, Some(0));
    let regions = reader.named_texts("regions");
    let prices = prices(reader);
    let cold = reader.optional("cold", cold);
    let region = |(data_center, name)| Region { data_center, name };
    Some(Hosting {
        ready: ready?,
        metrics,
        repeats: repeats?,
        grace: Span::from_millis(grace?),
        named: usize::try_from(named?).unwrap_or(usize::MAX),
        cores_thousandths: cores?,
        link_kbps: link?,
        memory_mb: memory?,
        regions: regions.into_iter().map(region).collect(),
        prices: prices?,
        cold: cold?,
    })
}

fn prices(reader: &mut Reader) -> Option<Prices> {
    let default = Prices::default();
    let data_center_gb = reader.thousandths("data_center_gb", GB_RANGE, default.data_center_gb);
    let region_gb = reader.thousandths("region_gb", GB_RANGE, default.region_gb);
    let worths = reader.ranked_thousandths("worths", WORTH_RANGE);
    Some(Prices {
        data_center_gb: data_center_gb?,
        region_gb: region_gb?,
        worths,
    })
}

fn cold(reader: &mut Reader) -> Option<Cold> {
    let over = reader.thousandths("over", 0..=1_000_000, 1_000);
    let slack = reader.thousandths("slack", 0..=1_000_000_000, 8_000);
    Some(Cold {
        over_thousandths: over?,
        slack_thousandths: slack?,
    })
}

fn repeats(reader: &mut Reader) -> Option<Repeats> {
    let ratio = reader.thousandths("ratio", 0..=10_000, 100);
    let slack = reader.integer("slack", 0..=1_000_000, Some(0));
    let window = reader.thousandths("window_s", 1..=3_600_000, 10_000);
    let ceiling = reader.integer("vm_ceiling", 1..=4_096, Some(32));
    Some(Repeats {
        ratio_thousandths: ratio?,
        slack: slack?,
        window: Span::from_millis(window?),
        vm_ceiling: ceiling?,
    })
}

impl Hosting {
    /// Number of target slots that this VM can forward calls to, as its processor share and its
    /// link allow; at least 1.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        let by_cores = self.cores_thousandths * SLOTS_PER_CORE / 1_000;
        let by_link = self.link_kbps * SLOTS_PER_MBPS / 1_000;
        by_cores.min(by_link).max(1)
    }

    /// The region of `data_center`. A data centre that is not listed is its own region.
    #[must_use]
    pub fn region(&self, data_center: &str) -> Box<str> {
        let mut regions = self.regions.iter();
        let found = regions.find(|region| *region.data_center == *data_center);
        found.map_or_else(|| data_center.into(), |region| region.name.clone())
    }

    pub(super) fn to_json(&self) -> Value {
        let region = |region: &Region| (String::from(&*region.data_center), json!(region.name));
        let worth = |(rank, worth): &(u8, u64)| (rank.to_string(), json!(decimal(*worth)));
        let worths: Map<String, Value> = self.prices.worths.iter().map(worth).collect();
        let regions: Map<String, Value> = self.regions.iter().map(region).collect();
        json!({
            "ready": self.ready.to_string(),
            "metrics": self.metrics.map(|address| address.to_string()),
            "repeats": {
                "ratio": decimal(self.repeats.ratio_thousandths),
                "slack": self.repeats.slack,
                "window_s": decimal(self.repeats.window.as_millis()),
                "vm_ceiling": self.repeats.vm_ceiling,
            },
            "grace_s": decimal(self.grace.as_millis()),
            "named": self.named,
            "cores": decimal(self.cores_thousandths),
            "link_mbps": decimal(self.link_kbps),
            "memory_mb": self.memory_mb,
            "regions": regions,
            "data_center_gb": decimal(self.prices.data_center_gb),
            "region_gb": decimal(self.prices.region_gb),
            "worths": worths,
            "cold": self.cold.map(|cold| json!({
                "over": decimal(cold.over_thousandths),
                "slack": decimal(cold.slack_thousandths),
            })),
        })
    }
}

/// Converts `thousandths` to a decimal number.
fn decimal(thousandths: u64) -> f64 {
    f64::from(u32::try_from(thousandths).unwrap_or(u32::MAX)) / 1_000.0
}
