//! Checks the field tables of a reference page in `docs/` against the parser that the page
//! describes.

use std::collections::BTreeSet;

use oriolecleat_core::read::Fault;
use serde_json::Value;

/// A section of a page, its parser, and a complete object that the parser accepts.
pub struct Subject {
    pub page: &'static str,
    pub heading: &'static str,
    pub base: Value,
    /// Parses a text and returns the object with every default filled in.
    pub parse: fn(&str) -> Result<Value, Vec<Fault>>,
}

struct Row {
    field: String,
    range: Option<(u128, u128)>,
    default: String,
    example: String,
    message: String,
}

/// Checks that the limits, defaults, examples and messages of the page are those of the parser.
pub fn check(subject: &Subject) {
    let rows = rows(subject.page, subject.heading);
    for row in &rows {
        check_row(subject, row);
    }
    let listed: BTreeSet<String> = rows.into_iter().map(|row| row.field).collect();
    let full = (subject.parse)(&subject.base.to_string()).expect("the base is valid");
    let mut fields = BTreeSet::new();
    collect(&full, "", &mut fields);
    assert_eq!(listed, fields, "fields of the page and of the code");
}

fn check_row(subject: &Subject, row: &Row) {
    let name = &row.field;
    let path = name.replace("[]", "[0]");
    let wrong = if row.message == "must be a JSON object" {
        "1"
    } else {
        "{\"a\": 1}"
    };
    let fault = vec![format!("{path}: {}", row.message)];
    let try_text = |text: &str| attempt(subject, name, Some(text));
    assert_eq!(try_text(wrong).unwrap_err(), fault, "{name} {wrong}");
    if let Some((low, high)) = row.range {
        let in_range = |faults: &[String]| faults.iter().all(|found| *found != fault[0]);
        for text in [low, high].map(|limit| limit.to_string()) {
            let faults = try_text(&text).err().unwrap_or_default();
            assert!(in_range(&faults), "{name} {text}: {faults:?}");
        }
        assert_eq!(
            try_text(&(high + 1).to_string()).unwrap_err(),
            fault,
            "{name}"
        );
        let below = i128::try_from(low).expect("limits are below 2^64") - 1;
        assert_eq!(try_text(&below.to_string()).unwrap_err(), fault, "{name}");
    }
    if !row.example.is_empty() {
        assert!(
            try_text(&row.example).is_ok(),
            "{name}: {:?}",
            try_text(&row.example)
        );
    }
    match (row.default.as_str(), attempt(subject, name, None)) {
        ("", _) => (),
        ("required", outcome) => {
            let faults = outcome.unwrap_err();
            assert!(
                faults.iter().all(|fault| fault.starts_with(&path)),
                "{faults:?}"
            );
            assert!(
                faults.iter().all(|fault| fault.ends_with("is required")),
                "{faults:?}"
            );
        }
        ("all defaults", outcome) => assert!(outcome.is_ok(), "{name}"),
        (default, outcome) => {
            let full = outcome.expect("the field may be left out");
            let found = full.pointer(&pointer(name)).expect("a field of the object");
            assert_eq!(found.to_string(), default, "{name}");
        }
    }
}

/// Parses the base with `field` replaced by `text`, or removed if there is no text.
fn attempt(subject: &Subject, field: &str, text: Option<&str>) -> Result<Value, Vec<String>> {
    let mut object = subject.base.clone();
    let pointer = pointer(field);
    let (parent, name) = pointer
        .rsplit_once('/')
        .expect("pointers start with a slash");
    let parent = object.pointer_mut(parent).expect("the base has the parent");
    match (parent, text) {
        (Value::Array(list), Some(text)) => list[0] = serde_json::from_str(text).unwrap(),
        (parent, Some(text)) => parent[name] = serde_json::from_str(text).unwrap(),
        (parent, None) => {
            parent
                .as_object_mut()
                .and_then(|object| object.remove(name));
        }
    }
    let text = object.to_string();
    (subject.parse)(&text).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// The JSON pointer to `field`, with the first item of each list.
fn pointer(field: &str) -> String {
    format!("/{}", field.replace("[]", "/0").replace('.', "/"))
}

/// Names of all fields below `value`, list items as `[]`.
fn collect(value: &Value, path: &str, fields: &mut BTreeSet<String>) {
    if !path.is_empty() {
        fields.insert(path.to_owned());
    }
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let below = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect(value, &below, fields);
            }
        }
        Value::Array(list) => {
            for value in list {
                collect(value, &format!("{path}[]"), fields);
            }
        }
        _ => (),
    }
}

fn rows(page: &str, heading: &str) -> Vec<Row> {
    let section = page
        .split("\n## ")
        .find(|section| section.starts_with(heading));
    let lines = section.expect("the page has the section").lines();
    let cells = lines.filter(|line| line.starts_with("| `")).map(|line| {
        let cells = line
            .split('|')
            .map(|cell| cell.trim().trim_matches('`').to_owned());
        cells.collect::<Vec<String>>()
    });
    cells
        .filter(|cells| cells.len() == 8)
        .map(|cells| row(&cells))
        .collect()
}

// Cells 0 and 7 are the empty texts around the outer `|`; cell 2 is not checked.
fn row(cells: &[String]) -> Row {
    let range = cells[3].split_once(" to ").map(|(low, high)| {
        (
            low.parse().expect("a number"),
            high.parse().expect("a number"),
        )
    });
    Row {
        field: cells[1].clone(),
        range,
        default: cells[4].clone(),
        example: cells[5].clone(),
        message: cells[6].clone(),
    }
}

/// The contradictions that the page lists, as `path: message`, to compare with the cases of a test.
pub fn contradictions(page: &str, heading: &str) -> BTreeSet<String> {
    let section = page
        .split("\n## ")
        .find(|section| section.starts_with(heading));
    let lines = section.expect("the page has the section").lines();
    let cells = lines.map(|line| line.split('|').map(str::trim).collect::<Vec<&str>>());
    cells
        .filter(|cells| cells.len() == 5 && cells[1].starts_with('`'))
        .map(|cells| format!("{}: {}", cells[1].trim_matches('`'), cells[2]))
        .collect()
}
