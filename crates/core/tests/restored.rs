//! Guards against contents that a store has lost in a restore from a copy and that win all the same, as
//! the revisions of the store are given out again.

use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Opaque;
use oriolecleat_core::catalogue::Order;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::gateway::Change;
use oriolecleat_core::site::feed::Call;
use oriolecleat_core::site::feed::Changes;
use oriolecleat_core::site::feed::Page;
use oriolecleat_core::site::feed::Session;
use oriolecleat_core::site::feed::Standing;
use oriolecleat_core::version::Version;

const PLAN: &str = "plan";
const TARGET: &str = "targets/a";
const OTHER: &str = "targets/b";

fn catalogue() -> Catalogue {
    let opaque = [(PLAN, Order::Number), ("targets/", Order::Era)];
    let opaque = opaque.map(|(prefix, order)| Opaque {
        prefix: prefix.into(),
        order,
    });
    Catalogue::with_opaque(opaque.into())
}

/// What a store delivers.
enum Event {
    /// A content of a key in an era and at a revision, with the number that its text states.
    Put(&'static str, u64, u64, Option<u64>, &'static str),
    /// A listing in an era and at a revision, with the keys that it has and their revisions.
    List(u64, u64, &'static [(&'static str, u64)]),
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    /// The texts of the plan and of the two targets at the end.
    texts: [Option<&'static str>; 3],
    era: u64,
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case {
        name: "a revision that is given out again with another content",
        events: &[
            Event::Put(TARGET, 1, 46, None, "lost"),
            Event::Put(TARGET, 2, 46, None, "new"),
        ],
        texts: [None, Some("new"), None],
        era: 2,
    },
    Case {
        name: "a lower revision of a later era",
        events: &[
            Event::Put(TARGET, 1, 49, None, "lost"),
            Event::Put(TARGET, 2, 40, None, "copy"),
            Event::Put(TARGET, 3, 39, None, "second copy"),
        ],
        texts: [None, Some("second copy"), None],
        era: 3,
    },
    Case {
        name: "a late content of an era that is over",
        events: &[
            Event::Put(TARGET, 2, 40, None, "copy"),
            Event::Put(TARGET, 1, 49, None, "lost"),
        ],
        texts: [None, Some("copy"), None],
        era: 2,
    },
    Case {
        name: "a late content of a key that the restored store lacks",
        events: &[
            Event::Put(TARGET, 2, 40, None, "copy"),
            Event::Put(OTHER, 1, 49, None, "lost"),
        ],
        texts: [None, Some("copy"), None],
        era: 2,
    },
    Case {
        name: "a content of a VM that knows no eras",
        events: &[
            Event::Put(TARGET, 2, 40, None, "copy"),
            Event::Put(OTHER, 0, 49, None, "of an earlier release"),
        ],
        texts: [None, Some("copy"), Some("of an earlier release")],
        era: 2,
    },
    Case {
        name: "a listing after a restore deletes what it lacks, whatever its revision was",
        events: &[
            Event::Put(TARGET, 1, 44, None, "copy"),
            Event::Put(OTHER, 1, 49, None, "lost"),
            Event::Put(TARGET, 2, 44, None, "copy"),
            Event::List(2, 45, &[(TARGET, 44)]),
        ],
        texts: [None, Some("copy"), None],
        era: 2,
    },
    Case {
        name: "a listing of an empty store after a restore",
        events: &[
            Event::Put(PLAN, 1, 41, Some(7), "seven"),
            Event::Put(TARGET, 1, 44, None, "lost"),
            Event::List(2, 3, &[]),
        ],
        texts: [Some("seven"), None, None],
        era: 2,
    },
    Case {
        name: "a listing deletes nothing that was written after it",
        events: &[
            Event::Put(TARGET, 2, 46, None, "newer"),
            Event::List(2, 45, &[]),
        ],
        texts: [None, Some("newer"), None],
        era: 2,
    },
    Case {
        name: "a listing that shows an older content in the same era",
        events: &[
            Event::Put(TARGET, 2, 44, None, "newer"),
            Event::Put(OTHER, 2, 30, None, "other"),
            Event::List(2, 45, &[(TARGET, 43)]),
        ],
        texts: [None, Some("newer"), Some("other")],
        era: 2,
    },
    Case {
        name: "a plan with a lower number in a later era",
        events: &[
            Event::Put(PLAN, 1, 49, Some(11), "eleven"),
            Event::Put(PLAN, 2, 41, Some(8), "eight"),
            Event::List(2, 45, &[(PLAN, 41)]),
        ],
        texts: [Some("eleven"), None, None],
        era: 0,
    },
    Case {
        name: "a plan with a higher number at a lower revision",
        events: &[
            Event::Put(PLAN, 1, 49, Some(11), "eleven"),
            Event::Put(PLAN, 2, 46, Some(12), "twelve"),
        ],
        texts: [Some("twelve"), None, None],
        era: 0,
    },
    Case {
        name: "a plan whose number cannot be read",
        events: &[
            Event::Put(PLAN, 1, 49, Some(11), "eleven"),
            Event::Put(PLAN, 2, 46, None, "broken"),
        ],
        texts: [Some("eleven"), None, None],
        era: 0,
    },
];

#[test]
fn the_content_of_the_latest_era_wins() {
    for case in CASES {
        let mut catalogue = catalogue();
        for event in case.events {
            match event {
                Event::Put(key, era, revision, number, text) => {
                    let version = catalogue.opaque_version(key, *era, *revision, *number);
                    catalogue.offer(key, version, Some(text), Source::Service);
                }
                Event::List(era, revision, present) => {
                    let _ = catalogue.apply_listing(*era, *revision, present);
                    assert_eq!(
                        catalogue
                            .apply_listing(*era, *revision, present)
                            .unwrap_or_default(),
                        Vec::new(),
                        "{}: a second listing deletes again",
                        case.name
                    );
                }
            }
        }
        let texts = [PLAN, TARGET, OTHER].map(|key| catalogue.text(key));
        assert_eq!(texts, case.texts, "{}", case.name);
        assert_eq!(catalogue.era(), case.era, "{}", case.name);
    }
}

/// Guards against VMs that read the store in different eras and end up with different contents, as the
/// lost revision is the higher one.
#[test]
fn vms_agree_on_what_the_restored_store_has() {
    let read = |era: u64, items: &[(&str, u64, &str)]| {
        let mut found = catalogue();
        for (key, revision, text) in items {
            let version = found.opaque_version(key, era, *revision, None);
            found.offer(key, version, Some(text), Source::Service);
        }
        found
    };
    let before = read(1, &[(TARGET, 46, "lost"), (OTHER, 47, "lost")]);
    let mut after = read(2, &[(TARGET, 46, "new")]);
    after.apply_listing(2, 46, &[(TARGET, 46)]).unwrap();
    for (mut to, from) in [
        (read(1, &[(TARGET, 45, "lost")]), &before),
        (after, &before),
    ] {
        let is_late = to.era() == 2;
        for key in [TARGET, OTHER] {
            for content in from.contents(key) {
                let source = Source::Peer("peer".into());
                to.offer(key, content.version, content.text, source);
            }
        }
        let expected = if is_late { Some("new") } else { Some("lost") };
        assert_eq!(to.text(TARGET), expected);
        assert_eq!(to.text(OTHER).is_some(), !is_late);
    }
}

fn page(more: bool, revision: u64) -> Page {
    Page {
        items: vec![Change {
            key: TARGET.into(),
            revision,
            value: Some("text".into()),
        }],
        more,
        revision,
    }
}

/// An answer of the store, and what the session makes of it.
struct Step {
    /// Highest era that this VM knows otherwise.
    newest: u64,
    stated: Option<u64>,
    /// A page that says whether more follow; none for the result of a wait.
    page: Option<bool>,
    standing: Standing,
    next: Call,
}

const FIRST_CURRENT: Call = Call::Page {
    after: None,
    stale: false,
};

struct Reading {
    name: &'static str,
    steps: fn() -> Vec<Step>,
}

fn second_page() -> Call {
    Call::Page {
        after: Some(TARGET.into()),
        stale: true,
    }
}

#[rustfmt::skip]
const READINGS: &[Reading] = &[
    Reading {
        name: "a wait whose revision the restored store has passed already",
        steps: || vec![
            Step { newest: 0, stated: Some(1), page: Some(false), standing: Standing::Current, next: Call::Wait { after: 50 } },
            Step { newest: 1, stated: Some(2), page: None, standing: Standing::Restored, next: FIRST_CURRENT },
            Step { newest: 2, stated: Some(2), page: Some(false), standing: Standing::Current, next: Call::Wait { after: 50 } },
            Step { newest: 2, stated: Some(3), page: None, standing: Standing::Restored, next: FIRST_CURRENT },
        ],
    },
    Reading {
        name: "a restore between two pages",
        steps: || vec![
            Step { newest: 0, stated: Some(1), page: Some(true), standing: Standing::Current, next: second_page() },
            Step { newest: 0, stated: Some(2), page: Some(false), standing: Standing::Restored, next: FIRST_CURRENT },
        ],
    },
    Reading {
        name: "a restore between two pages of which peers told",
        steps: || vec![
            Step { newest: 1, stated: Some(1), page: Some(true), standing: Standing::Current, next: second_page() },
            Step { newest: 2, stated: Some(2), page: Some(false), standing: Standing::Restored, next: FIRST_CURRENT },
        ],
    },
    Reading {
        name: "an old page of the era before",
        steps: || vec![
            Step { newest: 2, stated: Some(1), page: Some(false), standing: Standing::Outdated, next: FIRST_CURRENT },
            Step { newest: 2, stated: Some(2), page: Some(false), standing: Standing::Current, next: Call::Wait { after: 50 } },
        ],
    },
    Reading {
        name: "the answer to a wait from before the restore, on a VM that was frozen",
        steps: || vec![
            Step { newest: 1, stated: Some(1), page: Some(false), standing: Standing::Current, next: Call::Wait { after: 50 } },
            Step { newest: 2, stated: Some(1), page: None, standing: Standing::Outdated, next: FIRST_CURRENT },
        ],
    },
    Reading {
        name: "the first answer of a reading tells of a restore",
        steps: || vec![
            Step { newest: 1, stated: Some(2), page: Some(true), standing: Standing::Current, next: second_page() },
        ],
    },
    Reading {
        name: "a store that states no era",
        steps: || vec![
            Step { newest: 0, stated: None, page: Some(true), standing: Standing::Current, next: second_page() },
            Step { newest: 0, stated: None, page: Some(false), standing: Standing::Current, next: Call::Wait { after: 50 } },
            Step { newest: 0, stated: None, page: None, standing: Standing::Current, next: Call::Wait { after: 50 } },
        ],
    },
];

#[test]
fn a_reading_begins_anew_in_each_era() {
    for reading in READINGS {
        let mut session = Session::new(0);
        for (index, step) in (reading.steps)().into_iter().enumerate() {
            let name = format!("{}, step {index}", reading.name);
            let standing = session.check_era(step.newest, step.stated);
            assert_eq!(standing, step.standing, "{name}");
            if standing == Standing::Current {
                match step.page {
                    Some(more) => drop(session.apply_page(page(more, 50))),
                    None => drop(session.apply_changes(Changes::Known(Vec::new(), 50))),
                }
            }
            assert_eq!(session.next_call(), step.next, "{name}");
        }
    }
}

/// Guards against contents of a new era that get the version of the era before.
#[test]
fn an_update_states_the_era_of_its_answer() {
    let mut session = Session::new(4);
    for (stated, era) in [(None, 4), (Some(5), 5)] {
        assert_eq!(session.check_era(4, stated), Standing::Current);
        let update = session.apply_page(page(false, 9)).expect("one page");
        assert_eq!(update.era, Some(era));
        session = Session::new(4);
    }
}

/// Guards against a deletion of the plan that gets a version of its own era.
#[test]
fn a_deleted_plan_keeps_its_number() {
    let mut catalogue = catalogue();
    let version = catalogue.opaque_version(PLAN, 1, 49, Some(11));
    catalogue.offer(PLAN, version, Some("eleven"), Source::Service);
    let deletion = Version {
        generation: 11,
        revision: 60,
    };
    assert_eq!(catalogue.opaque_version(PLAN, 2, 60, None), deletion);
}
