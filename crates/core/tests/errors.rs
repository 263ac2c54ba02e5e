//! Compares the documented table of error codes with the code.

use oriolecleat_core::request::Code;

const PAGE: &str = include_str!("../../../docs/errors.md");

/// Guards against a code that the table lacks or documents with another status.
#[test]
fn page_lists_each_code() {
    let codes = PAGE.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split(" | ");
        let name = cells.next()?.trim_end_matches('`');
        let status: u16 = cells.next()?.parse().ok()?;
        Some((name, status))
    });
    let documented: Vec<(&str, u16)> = codes.collect();
    for code in Code::ALL {
        assert!(
            documented.contains(&(code.as_str(), code.status())),
            "{code:?}"
        );
    }
    assert_eq!(documented.len(), Code::ALL.len());
}
