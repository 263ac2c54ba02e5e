//! Tests that a settings file is checked completely, and that the reference page agrees with the
//! code.

mod page;

use std::collections::BTreeSet;

use oriolecleat_core::settings;
use page::Subject;
use serde_json::Value;
use serde_json::json;

const PAGE: &str = include_str!("../../../docs/settings.md");

fn base() -> Value {
    json!({
        "vm": "edge-1", "region": "cai", "data_center": "cai-1", "fleet": "nilewing",
        "fleet_key": "0123456789abcdef0123456789abcdef",
        "listen": {"directory": "192.0.2.1:1", "caller": "192.0.2.1:2", "peer": "192.0.2.1:3",
                   "operator": "192.0.2.1:4"},
        "platform": {"configuration": "192.0.2.9:1", "vm_list": "192.0.2.9:2"},
        "seeds": ["192.0.2.1:3"],
        "view": {}, "stop": {}, "http": {}, "evidence": {},
        "hosting": {"ready": "192.0.2.1:5", "repeats": {}, "regions": {"cai-1": "cai"},
                    "cold": {}, "worths": {"0": 2}},
    })
}

fn faults(text: &str) -> Vec<String> {
    let faults = settings::parse(text).expect_err("the text has faults");
    faults.iter().map(ToString::to_string).collect()
}

/// Guards against limits, defaults, examples and messages that differ from the page.
#[test]
fn page_agrees_with_code() {
    page::check(&Subject {
        page: PAGE,
        heading: "Fields",
        base: base(),
        parse: |text| settings::parse(text).map(|settings| settings.to_json()),
    });
}

/// Guards against contradictions that are accepted, or reported under another field.
#[test]
fn contradictions_are_refused() {
    struct Case {
        change: (&'static str, Value),
        fault: &'static str,
    }
    #[rustfmt::skip]
    let cases = [
        Case { change: ("/fleet_key", json!("short")),
               fault: "fleet_key: must have at least 32 bytes" },
        Case { change: ("/listen/caller", json!("192.0.2.1:1")),
               fault: "listen.caller: must differ from listen.directory" },
        Case { change: ("/platform/vm_list", json!("192.0.2.1:3")),
               fault: "platform.vm_list: must differ from listen.peer" },
        Case { change: ("/view/takeover_after_ms", json!(30_001)),
               fault: "view.takeover_after_ms: must not be longer than view.stale_after_ms" },
        Case { change: ("/stop/address_ttl_ms", json!(60_001)),
               fault: "stop.address_ttl_ms: must not be longer than stop.drain_limit_ms" },
        Case { change: ("/listen/directory", json!("0.0.0.0:1")),
               fault: "listen.directory: must not be the unspecified address" },
        Case { change: ("/seeds/0", json!("192.0.2.1:0")),
               fault: "seeds[0]: must have a port above 0" },
    ];
    let mut tried = BTreeSet::new();
    for case in cases {
        let mut object = base();
        let (pointer, value) = case.change;
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        match object.pointer_mut(parent).unwrap() {
            Value::Array(list) => list[0] = value,
            parent => parent[name] = value,
        }
        assert_eq!(faults(&object.to_string()), [case.fault]);
        tried.insert(case.fault.to_owned());
    }
    assert_eq!(tried, page::contradictions(PAGE, "Values that contradict"));
}

/// Guards against a check that stops at the first fault, and against accepted unknown fields.
#[test]
fn all_faults_are_reported_at_once() {
    let text = r#"{"vm": "A", "vm": "B", "listen": {"caller": "host:1", "extra": {"x": 1}},
                   "view": {"stale_after_ms": 0}, "more": 1}"#;
    let found: BTreeSet<String> = faults(text).into_iter().collect();
    let expected = [
        "data_center: is required",
        "fleet: is required",
        "fleet_key: is required",
        "listen.caller: must be an IP number with a port, such as 10.0.0.1:7000",
        "listen.directory: is required",
        "listen.extra: is not a known field",
        "listen.operator: is required",
        "listen.peer: is required",
        "more: is not a known field",
        "platform.configuration: is required",
        "region: is required",
        "view.stale_after_ms: must be an integer from 1 to 3600000",
        "vm: must be 1 to 64 characters of a-z, 0-9, - and .",
        "vm: occurs more than once",
    ];
    assert_eq!(found, expected.map(str::to_owned).into());
    assert_eq!(faults("[]"), ["must be a JSON object"]);
    let many: Vec<String> = (0..2_000).map(|name| format!("\"f{name}\":1")).collect();
    let many = faults(&format!("{{{}}}", many.join(",")));
    assert_eq!(many.len(), 1_001);
    assert_eq!(many[1_000], "has 1010 more faults");
    assert!(faults(&"[".repeat(100_000))[0].starts_with("not valid JSON: recursion limit"));
    assert!(faults("{")[0].starts_with("not valid JSON: "));
}

/// Guards against a builder whose defaults differ from those of the parser.
#[test]
fn builder_has_the_defaults_of_the_parser() {
    let built = settings::Builder::new("edge-1", "cai", "cai-1").build();
    let mut text = built.to_json();
    for part in [
        "view", "stop", "http", "evidence", "seeds", "statsd", "hosting",
    ] {
        text.as_object_mut().unwrap().remove(part);
    }
    assert_eq!(settings::parse(&text.to_string()), Ok(built));
}
