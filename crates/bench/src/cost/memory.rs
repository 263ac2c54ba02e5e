//! Measures how the resident memory of this process grows.

use crate::cost::number::as_f64;

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}

/// Bytes of resident memory by which the process grows for each of the `count` values that `build`
/// creates. The values are leaked.
pub fn growth_per_value<T>(count: u64, build: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    let values = build();
    let after = resident_bytes();
    // Leaked, so that later values do not reuse these pages.
    std::mem::forget(values);
    (after - before) / as_f64(count)
}
