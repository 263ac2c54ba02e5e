//! Growth of the process's memory.

use crate::cost::number::as_f64;

/// Bytes of resident memory.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}

/// Bytes of resident memory by which the process grows for each of the `count` values that `build`
/// makes.
pub fn grown<T>(count: u64, build: impl FnOnce() -> T) -> f64 {
    let before = resident();
    let held = build();
    let after = resident();
    // Kept, so that the next values do not reuse its pages.
    std::mem::forget(held);
    (after - before) / as_f64(count)
}
