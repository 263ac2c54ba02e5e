//! Command `audit`: prints audit records.

use std::thread;
use std::time::Duration;

use error_stack::Report;
use form_urlencoded::Serializer;
use jiff::Timestamp;
use serde_json::Value;

use crate::Finding;
use crate::answer::audit::Audit;
use crate::answer::audit::Record;
use crate::arguments::Filter;
use crate::arguments::Format;
use crate::arguments::Operator;
use crate::failure::Failure;
use crate::operator;
use crate::print;

const FOLLOW_INTERVAL_MS: u64 = 1_000;
const HEADER: [&str; 7] = [
    "TIME", "VM", "KIND", "SUBJECT", "VERSION", "SOURCE", "CAUSE",
];

/// Prints the records that match the filter; with `follow`, also new ones until interrupted.
pub(crate) fn show(options: &Operator, filter: &Filter) -> Result<Finding, Report<Failure>> {
    let mut cursor = None;
    loop {
        let answer = operator::get(options.operator, &path(filter, cursor.as_deref()))?;
        let audit: Audit = operator::parse(&answer)?;
        print::lines(&lines(options.format, &answer, &audit, cursor.is_none()))?;
        if !filter.follow {
            return Ok(Finding::Fine);
        }
        cursor = Some(audit.cursor);
        thread::sleep(Duration::from_millis(FOLLOW_INTERVAL_MS));
    }
}

fn path(filter: &Filter, cursor: Option<&str>) -> String {
    let parameters = [
        ("subject", filter.subject.as_deref()),
        ("kind", filter.kind.as_deref()),
        ("after", cursor),
    ];
    let mut query = Serializer::new(String::new());
    for (name, value) in parameters {
        if let Some(value) = value {
            query.append_pair(name, value);
        }
    }
    match query.finish() {
        query if query.is_empty() => "/v1/audit".to_owned(),
        query => format!("/v1/audit?{query}"),
    }
}

fn lines(format: Format, answer: &Value, audit: &Audit, is_first: bool) -> Vec<String> {
    if format == Format::Json {
        let records = answer["records"].as_array().into_iter().flatten();
        return records.map(Value::to_string).collect();
    }
    let rows: Vec<Vec<String>> = audit.records.iter().map(row).collect();
    let mut lines = print::table(&HEADER, &rows);
    if !is_first {
        lines.remove(0);
    }
    lines
}

fn row(record: &Record) -> Vec<String> {
    vec![
        time(record.wall_ms.0),
        format!("{} #{}", record.vm, record.seq),
        record.kind.to_string(),
        record.subject.to_string(),
        record.version.to_string(),
        record.source.to_string(),
        record.cause.to_string(),
    ]
}

/// Formats a wall-clock time in UTC; `-` if it is unknown or out of range.
fn time(wall_ms: Option<u64>) -> String {
    let time = wall_ms.and_then(|millis| i64::try_from(millis).ok());
    let time = time.and_then(|millis| Timestamp::from_millisecond(millis).ok());
    time.map_or_else(|| "-".to_owned(), |time| format!("{time:.3}"))
}
