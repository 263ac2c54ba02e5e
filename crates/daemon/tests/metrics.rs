//! Compares the metrics table with the code.

use oriolecleatd::metrics::COUNTS;
use oriolecleatd::metrics::GAUGES;

const PAGE: &str = include_str!("../../../docs/metrics.md");

/// Guards against a metric that is sent but not documented, or documented but not sent.
#[test]
fn page_lists_each_metric() {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: Vec<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let counts = COUNTS.iter().map(|count| count.name());
    let sent: Vec<&str> = counts
        .chain(GAUGES.iter().map(|gauge| gauge.name()))
        .collect();
    assert_eq!(documented, sent);
}
