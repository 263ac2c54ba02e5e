//! Encodes metrics as text with the `prometheus_client` registry.

use std::fmt;
use std::fmt::Write;

use hdrhistogram::Histogram;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::NoLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;

use super::PREFIX;

/// Upper bounds of the buckets in microseconds.
const BOUNDS_US: [u64; 14] = [
    100, 250, 500, 1_000, 2_500, 5_000, 10_000, 25_000, 50_000, 100_000, 250_000, 500_000,
    1_000_000, 2_500_000,
];

/// A metric as it is now.
#[derive(Clone, Debug)]
pub(super) enum Value {
    Counter(u64),
    Gauge(u64),
    /// Sum in seconds, count, and counts by the upper bound of their bucket.
    Histogram(f64, u64, Vec<(f64, u64)>),
}

impl Value {
    pub(super) fn histogram(found: &Histogram<u64>) -> Self {
        let mut below = 0;
        let mut buckets: Vec<(f64, u64)> = BOUNDS_US
            .iter()
            .map(|bound| {
                let count = found.count_between(below, *bound);
                below = bound + 1;
                (seconds(*bound), count)
            })
            .collect();
        let counted: u64 = buckets.iter().map(|(_, count)| count).sum();
        buckets.push((f64::MAX, found.len() - counted));
        let sum = found
            .iter_recorded()
            .map(|step| {
                let count = u32::try_from(step.count_at_value()).unwrap_or(u32::MAX);
                seconds(step.value_iterated_to()) * f64::from(count)
            })
            .sum();
        Self::Histogram(sum, found.len(), buckets)
    }
}

fn seconds(micros: u64) -> f64 {
    std::time::Duration::from_micros(micros).as_secs_f64()
}

#[derive(Debug)]
struct Snapshot(Vec<(String, &'static str, Value)>);

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        for (name, help, value) in &self.0 {
            match value {
                Value::Counter(count) => encoder
                    .encode_descriptor(name, help, None, MetricType::Counter)?
                    .encode_counter::<NoLabelSet, u64, u64>(count, None)?,
                Value::Gauge(value) => encoder
                    .encode_descriptor(name, help, None, MetricType::Gauge)?
                    .encode_gauge(&i64::try_from(*value).unwrap_or(i64::MAX))?,
                Value::Histogram(sum, count, buckets) => encoder
                    .encode_descriptor(name, help, None, MetricType::Histogram)?
                    .encode_histogram::<NoLabelSet>(*sum, *count, buckets, None)?,
            }
        }
        Ok(())
    }
}

/// Encodes `metrics`, each with its name and help text.
pub(super) fn encode(
    metrics: impl Iterator<Item = (&'static str, &'static str, Value)>,
) -> Box<str> {
    let named = metrics.map(|(name, help, value)| {
        let unit = if matches!(value, Value::Histogram(..)) {
            "_seconds"
        } else {
            ""
        };
        (
            format!("{PREFIX}_{}{unit}", name.replace('.', "_")),
            help,
            value,
        )
    });
    let mut registry = Registry::default();
    registry.register_collector(Box::new(Snapshot(named.collect())));
    let mut out = String::new();
    if text::encode(&mut out, &registry).is_err() {
        // Writing into a text fails only if a metric cannot be written.
        let _ = out.write_str("# a metric could not be written\n");
    }
    out.into()
}
