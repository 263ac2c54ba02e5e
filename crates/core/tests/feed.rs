//! Guards against changes of the platform's store that a reading session misses or misreads.

use oriolecleat_core::gateway::Change;
use oriolecleat_core::site::feed::Call;
use oriolecleat_core::site::feed::Changes;
use oriolecleat_core::site::feed::Contact;
use oriolecleat_core::site::feed::Page;
use oriolecleat_core::site::feed::Session;

fn change(key: &str, revision: u64) -> Change {
    Change {
        key: key.into(),
        revision,
        value: Some("text".into()),
    }
}

fn page(keys: &[&str], more: bool, revision: u64) -> Page {
    Page {
        items: keys.iter().map(|key| change(key, 1)).collect(),
        more,
        revision,
    }
}

#[test]
fn waits_begin_at_the_revision_of_the_first_page() {
    let mut session = Session::default();
    let (after, stale) = (None, true);
    assert_eq!(session.next_call(), Call::Page { after, stale });
    assert_eq!(session.apply_page(page(&["a", "b"], true, 10)), None);
    let after = Some("b".into());
    assert_eq!(session.next_call(), Call::Page { after, stale });
    let update = session
        .apply_page(page(&["c"], false, 12))
        .expect("the listing ended");
    assert_eq!(
        update.snapshot_revision,
        Some(10),
        "a page may lack changes after the first one"
    );
    assert_eq!(update.changes.len(), 3);
    assert_eq!(session.next_call(), Call::Wait { after: 10 });
}

struct Case {
    name: &'static str,
    changes: fn() -> Changes,
    known: bool,
    next: Call,
}

const CASES: &[Case] = &[
    Case {
        name: "changes move the position",
        changes: || Changes::Known(vec![change("a", 11)], 11),
        known: true,
        next: Call::Wait { after: 11 },
    },
    Case {
        name: "nothing changed",
        changes: || Changes::Known(Vec::new(), 10),
        known: true,
        next: Call::Wait { after: 10 },
    },
    Case {
        name: "the history is gone",
        changes: || Changes::Gone,
        known: false,
        next: Call::Page {
            after: None,
            stale: false,
        },
    },
    Case {
        name: "the store went back",
        changes: || Changes::Known(vec![change("a", 4)], 4),
        known: false,
        next: Call::Page {
            after: None,
            stale: false,
        },
    },
];

#[test]
fn a_session_lists_anew_when_changes_may_be_missing() {
    for case in CASES {
        let mut session = Session::default();
        session.apply_page(page(&["a"], false, 10));
        assert!(session.is_listed());
        let update = session.apply_changes((case.changes)());
        assert_eq!(update.is_some(), case.known, "{}", case.name);
        assert_eq!(session.next_call(), case.next, "{}", case.name);
    }
}

#[test]
fn a_page_that_promises_more_and_holds_nothing_ends_the_listing() {
    let mut session = Session::default();
    assert!(session.apply_page(page(&[], true, 3)).is_some());
    assert_eq!(session.next_call(), Call::Wait { after: 3 });
}

/// Guards against a view that counts as current although the pages were old, and against listing
/// old pages again and again whose revision the history no longer covers.
#[test]
fn old_pages_confirm_nothing_and_are_not_requested_once_the_history_is_gone() {
    let mut session = Session::default();
    let update = session
        .apply_page(page(&["a"], false, 10))
        .expect("one page");
    assert!(!update.confirmed, "the page may be some seconds old");
    assert!(!session.is_caught_up(), "the newest changes are missing");
    let update = session.apply_changes(Changes::Known(Vec::new(), 10));
    assert!(update.expect("nothing changed").confirmed);
    assert!(session.is_caught_up());
    assert_eq!(session.apply_changes(Changes::Gone), None);
    let (after, stale) = (None, false);
    assert_eq!(session.next_call(), Call::Page { after, stale });
    assert_eq!(session.apply_page(page(&["a"], true, 40)), None);
    let after = Some("a".into());
    assert_eq!(session.next_call(), Call::Page { after, stale });
    let update = session
        .apply_page(page(&["b"], false, 41))
        .expect("the last page");
    assert!(update.confirmed, "the pages were current");
    assert!(session.is_caught_up());
}

/// Guards against a cut connection or a lost answer that is taken for an outage of the store.
#[test]
fn a_single_failed_call_is_no_outage() {
    let mut contact = Contact::default();
    assert!(!contact.record_answer());
    for (failures, was_away) in [(1, false), (2, true), (9, true), (1, false)] {
        for _ in 0..failures {
            contact.record_failure();
            assert!(contact.is_in_doubt());
        }
        assert_eq!(contact.record_answer(), was_away, "{failures}");
        assert!(!contact.is_in_doubt());
    }
}
