//! Tests that entries, the fleet key and VM records are checked completely, and that the reference
//! page agrees with the code.

mod page;

use std::collections::BTreeSet;

use oriolecleat_core::constants;
use oriolecleat_core::entry;
use oriolecleat_core::entry::Builder;
use oriolecleat_core::entry::Class;
use oriolecleat_core::vmlist;
use page::Subject;
use serde_json::Value;
use serde_json::json;

const PAGE: &str = include_str!("../../../docs/catalogue.md");

fn target(name: &str, port: u16, vm: &str) -> Value {
    json!({"name": name, "address": format!("192.0.2.1:{port}"), "vm": vm, "region": "cai",
           "data_center": "cai-1"})
}

fn base() -> Value {
    json!({
        "service": "perfiles", "owner": "team", "class": "interactive", "methods": ["GET"],
        "limits": {}, "retry": {}, "hedge": {}, "targets": [target("a", 1, "node-1")],
    })
}

/// Guards against limits, defaults, examples and messages that differ from the page.
#[test]
fn page_agrees_with_code() {
    page::check(&Subject {
        page: PAGE,
        heading: "Entry",
        base: base(),
        parse: |text| entry::parse(text).map(|entry| entry.to_json()),
    });
    page::check(&Subject {
        page: PAGE,
        heading: "The key fleet",
        base: json!({"vm_ceiling": 24, "configuration_calls_per_s": 200}),
        parse: |text| constants::parse(text).map(|constants| constants.to_json()),
    });
    page::check(&Subject {
        page: PAGE,
        heading: "VM list",
        base: json!({"role": "entry", "state": "live", "region": "cai", "data_center": "cai-1",
                     "directory": "192.0.2.1:1", "caller": "192.0.2.1:2", "peer": "192.0.2.1:3",
                     "operator": "192.0.2.1:4"}),
        parse: |text| vmlist::parse(text).map(|vm| vm.to_json()),
    });
}

/// Guards against contradictions that are accepted, or reported under another field.
#[test]
fn contradictions_are_refused() {
    struct Case {
        change: Value,
        fault: &'static str,
    }
    let targets = |changed: Value| {
        let mut second = target("b", 2, "node-2");
        let fields = changed.as_object().unwrap().clone();
        second.as_object_mut().unwrap().extend(fields);
        json!({"targets": [target("a", 1, "node-1"), second]})
    };
    let many = |index: u16| target(&format!("t{index}"), index, "node-1");
    #[rustfmt::skip]
    let cases = [
        Case { change: json!({"class": "once", "retry": {"attempts": 2}}),
               fault: "retry.attempts: must be 1 for class once: \
                       a non-idempotent request is never sent again" },
        Case { change: json!({"retry": {"attempts": 2, "budget_percent": 0}}),
               fault: "retry.budget_percent: must be above 0 while attempts is above 1" },
        Case { change: json!({"class": "once", "hedge": {"enabled": true}}),
               fault: "hedge.enabled: must be false for class once: \
                       a non-idempotent request is never hedged" },
        Case { change: json!({"hedge": {"enabled": true, "budget_percent": 0}}),
               fault: "hedge.budget_percent: must be above 0 while enabled is true" },
        Case { change: json!({"limits": {"measuring_burst_bytes": 0}}),
               fault: "limits.measuring_burst_bytes: \
                       must be above 0 while measuring_bytes_per_s is above 0" },
        Case { change: json!({"limits": {"cross_region_bytes_per_s": 1,
                                         "cross_region_burst_bytes": 0}}),
               fault: "limits.cross_region_burst_bytes: \
                       must be above 0 while cross_region_bytes_per_s is above 0" },
        Case { change: json!({"methods": ["get"]}),
               fault: "methods[0]: must be an HTTP method in upper case" },
        Case { change: json!({"methods": ["GET", "GET"]}),
               fault: "methods[1]: must be unique within the entry" },
        Case { change: json!({"targets": (1..=1_025).map(many).collect::<Vec<Value>>()}),
               fault: "targets: must be at most 1024" },
        Case { change: targets(json!({"name": "a"})),
               fault: "targets[1].name: must be unique within the entry" },
        Case { change: targets(json!({"address": "192.0.2.1:1"})),
               fault: "targets[1].address: must be unique within the entry" },
        Case { change: targets(json!({"region": "alx"})),
               fault: "targets[1].region: differs from another target of the data centre" },
        Case { change: targets(json!({"vm": "node-1", "data_center": "cai-2"})),
               fault: "targets[1].data_center: differs from another target of the VM" },
        Case { change: json!({"targets": [target("a", 0, "node-1")]}),
               fault: "targets[0].address: must have a port above 0" },
        Case { change: json!({"targets": [{"name": "a", "address": "[::]:1", "vm": "node-1",
                                           "region": "cai", "data_center": "cai-1"}]}),
               fault: "targets[0].address: must not be the unspecified address" },
    ];
    let mut tried = BTreeSet::new();
    for case in cases {
        let mut object = base();
        let fields = case.change.as_object().unwrap().clone();
        object.as_object_mut().unwrap().extend(fields);
        let faults = entry::parse(&object.to_string()).expect_err(case.fault);
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert_eq!(faults, [case.fault]);
        tried.insert(case.fault.to_owned());
    }
    assert_eq!(tried, page::contradictions(PAGE, "Entry"));
}

/// Guards against a uniqueness fault of the second target that is hidden by a fault of the first.
#[test]
fn faults_of_all_targets_are_reported_at_once() {
    let mut object = base();
    let mut first = target("a", 1, "node-1");
    first["slots"] = json!(0);
    object["targets"] = json!([first, target("a", 2, "node-2")]);
    object["generation"] = json!(-1);
    let faults = entry::parse(&object.to_string()).unwrap_err();
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = [
        "generation: must be an integer from 0 to 18446744073709551615",
        "targets[0].slots: must be an integer from 1 to 1024",
        "targets[1].name: must be unique within the entry",
    ];
    assert_eq!(faults, expected);
}

/// Guards against a builder whose defaults differ from those of the parser.
#[test]
fn builder_has_the_defaults_of_the_parser() {
    for class in [Class::Once, Class::Interactive, Class::Batch] {
        let built = Builder::new("perfiles", class).owner("team").build();
        let text = json!({"service": "perfiles", "owner": "team", "class": class}).to_string();
        assert_eq!(entry::parse(&text), Ok(built.clone()));
        assert_eq!(entry::parse(&built.to_json().to_string()), Ok(built));
    }
}
