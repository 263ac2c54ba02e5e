//! Prints results, one JSON object a line.

use serde_json::json;

use crate::cost::load::Load;

/// Prints `slope`, the growth of a quantity in `unit` for each `per`, rounded to thousandths;
/// `runs` counts the runs behind it.
pub fn print(quantity: &str, slope: f64, unit: &str, per: &str, runs: u64) {
    let slope = (slope * 1_000.0).round() / 1_000.0;
    let line =
        json!({ "quantity": quantity, "slope": slope, "unit": unit, "per": per, "runs": runs });
    println!("{line}");
}

/// Prints the load of one run in the same format, each value in the field `slope`.
pub fn report(when: &str, load: Load, per: &str) {
    print(
        &format!("{when}: bytes per second, mean"),
        load.bytes,
        "B/s",
        per,
        1,
    );
    print(
        &format!("{when}: bytes per second, busiest VM"),
        load.max_bytes,
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
        load.max_micros,
        "us/s",
        per,
        1,
    );
}
