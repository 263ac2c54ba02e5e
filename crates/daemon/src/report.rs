//! Load reports that targets send as headers of their answers.

use hyper::HeaderMap;
use oriolecleat_core::estimate::Report;

const HEADER: &str = "endpoint-load-metrics";
const RUNNING: &str = "named_metrics.running";
const QUEUED: &str = "named_metrics.queued";

/// Reads a report in the ORCA text format; none if there is none or it is malformed.
pub(crate) fn parse(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get(HEADER)?.to_str().ok()?.strip_prefix("TEXT ")?;
    let number = |name: &str| -> Option<u64> {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| key.trim() == name)?;
        value.trim().parse().ok()
    };
    Some(Report {
        running: number(RUNNING)?,
        queued: number(QUEUED).unwrap_or(0),
        slowdown_percent: None,
    })
}
