//! Tests that the VM list keeps the last valid records and their age.

use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_core::vmlist;
use oriolecleat_core::vmlist::List;
use oriolecleat_core::vmlist::State;

const LIVE: &str = r#"{"role":"target","state":"live","region":"cai","data_center":"cai-1"}"#;
const LEAVING: &str = r#"{"role":"target","state":"leaving","region":"cai","data_center":"cai-1"}"#;

fn at(second: u64) -> Instant {
    Instant::from_micros(second * 1_000_000)
}

/// Guards against an address of a target VM that is silently ignored.
#[test]
fn target_vms_have_no_addresses() {
    let extra = LIVE.replace('}', r#","peer":"192.0.2.1:3"}"#);
    let faults = vmlist::parse(&extra).unwrap_err();
    assert_eq!(faults[0].to_string(), "peer: is not a known field");
    let vm = vmlist::parse(LIVE).unwrap();
    assert_eq!(vmlist::parse(&vm.to_json().to_string()), Ok(vm));
}

/// Guards against a late change that reverts a newer one, and against an invalid text that removes
/// a VM.
#[test]
fn older_and_invalid_changes_leave_the_record() {
    let mut list = List::default();
    let state = |list: &List| list.get("node-1").map(|vm| vm.state);
    assert!(
        list.replace(at(1), 5, &[("node-1", LIVE), ("node-2", LIVE)])
            .is_empty()
    );
    list.change(at(2), 7, "node-1", Some(LEAVING)).unwrap();
    list.change(at(3), 6, "node-1", Some(LIVE)).unwrap();
    assert_eq!(state(&list), Some(State::Leaving));
    let faults = list.change(at(3), 8, "node-1", Some("{}")).unwrap_err();
    assert_eq!(faults[0].to_string(), "vms/node-1.role: is required");
    assert_eq!(state(&list), Some(State::Leaving));
    assert_eq!(list.replace(at(4), 9, &[("node-1", "1")]).len(), 1);
    assert_eq!(state(&list), Some(State::Leaving));
    assert_eq!(list.iter().count(), 1);
    list.change(at(4), 10, "node-1", None).unwrap();
    assert_eq!(state(&list), None);
}

/// Guards against an age that restarts without a confirmation by the platform.
#[test]
fn age_counts_from_the_last_confirmation() {
    let mut list = List::default();
    assert_eq!(list.age(at(9)), None);
    list.replace(at(1), 5, &[]);
    assert_eq!(list.age(at(4)), Some(Span::from_millis(3_000)));
    list.confirm(at(4), 6);
    assert_eq!(list.age(at(4)), Some(Span::ZERO));
}
