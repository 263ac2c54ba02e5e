//! Tests that requests find the first entry by name, and that entries which share methods are
//! reported.

use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::entry::Builder;
use oriolecleat_core::entry::Class;
use oriolecleat_core::route::Table;
use oriolecleat_core::version::Version;

fn table(entries: &[(&str, &str, &[&str])]) -> Table {
    let mut catalogue = Catalogue::default();
    for (name, service, methods) in entries {
        let entry = Builder::new(service, Class::Batch).methods(methods).build();
        let text = entry.to_json().to_string();
        let key = format!("entries/{name}");
        catalogue.offer(&key, Version::default(), Some(&text), Source::Service);
    }
    Table::build(catalogue.cloned_entries())
}

/// Guards against an entry that is chosen by the order of arrival or of a hash map, not by name.
#[test]
fn first_entry_by_name_that_matches() {
    struct Case {
        service: &'static str,
        method: &'static str,
        entry: Option<&'static str>,
    }
    let table = table(&[
        ("z-all", "pagos", &[]),
        ("a-reads", "pagos", &["GET", "HEAD"]),
        ("m-writes", "pagos", &["POST"]),
        ("other", "perfiles", &["GET"]),
    ]);
    #[rustfmt::skip]
    let cases = [
        Case { service: "pagos", method: "GET", entry: Some("a-reads") },
        Case { service: "pagos", method: "POST", entry: Some("m-writes") },
        Case { service: "pagos", method: "PUT", entry: Some("z-all") },
        Case { service: "perfiles", method: "POST", entry: None },
        Case { service: "unknown", method: "GET", entry: None },
    ];
    for case in cases {
        let found = table.find(case.service, case.method).map(|(name, _)| name);
        assert_eq!(found, case.entry, "{} {}", case.service, case.method);
    }
}

/// Guards against entries that lose requests to a preceding entry without a report.
#[test]
fn shared_methods_are_reported() {
    let table = table(&[
        ("a", "pagos", &["GET", "HEAD"]),
        ("b", "pagos", &["HEAD", "POST"]),
        ("c", "pagos", &[]),
        ("d", "perfiles", &["GET"]),
        ("e", "perfiles", &["POST"]),
    ]);
    let found: Vec<String> = table
        .shadows()
        .iter()
        .map(|shadow| {
            format!(
                "{} by {}: {}",
                shadow.entry,
                shadow.by,
                shadow.methods.join(" ")
            )
        })
        .collect();
    assert_eq!(
        found,
        ["b by a: HEAD", "c by a: GET HEAD", "c by b: HEAD POST"]
    );
}
