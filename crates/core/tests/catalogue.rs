//! Tests of offers to the catalogue: the order of offers does not matter, the highest version wins,
//! and the bounds hold.

mod seeded;

use std::collections::BTreeMap;

use oriolecleat_core::catalogue;
use oriolecleat_core::catalogue::BUCKETS;
use oriolecleat_core::catalogue::Catalogue;
use oriolecleat_core::catalogue::Record;
use oriolecleat_core::catalogue::Source;
use oriolecleat_core::catalogue::Verdict;
use oriolecleat_core::entry;
use oriolecleat_core::settings;
use oriolecleat_core::time::Instant;
use oriolecleat_core::time::Span;
use oriolecleat_core::version::Version;
use oriolecleat_core::view::View;
use proptest::collection;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use sha2::Digest;
use sha2::Sha256;

type Offer = (String, Version, Option<String>);
type Ranked<'a> = (Version, [u8; 32], &'a Offer);

fn version(generation: u64, revision: u64) -> Version {
    Version {
        generation,
        revision,
    }
}

fn text(generation: u64, owner: &str) -> String {
    format!(r#"{{"service":"s","class":"once","generation":{generation},"owner":"{owner}"}}"#)
}

fn offer_to(catalogue: &mut Catalogue, offer: &Offer) -> Verdict {
    let (key, version, text) = offer;
    catalogue.offer(key, *version, text.as_deref(), Source::Service)
}

fn state(catalogue: &Catalogue) -> Vec<Offer> {
    let mut keys: Vec<&str> = catalogue.records().map(|(key, _)| key).collect();
    keys.sort_unstable();
    let contents = keys.into_iter().flat_map(|key| catalogue.contents(key));
    contents
        .map(|content| {
            (
                content.key.into(),
                content.version,
                content.text.map(str::to_owned),
            )
        })
        .collect()
}

fn offers() -> impl Strategy<Value = Vec<Offer>> {
    let content = (0..2_u64, 0..3_u64, 0..7_u32).prop_map(|(generation, revision, kind)| {
        let text = match kind {
            0 => None,
            1 => Some(text(generation, "one")),
            2 => Some(text(generation, "two")),
            3 => Some("{".to_owned()),
            4 => Some(format!(r#"{{"generation":{generation}}}"#)),
            5 => Some(text(generation, "three").replace('{', r#"{"deleted":true,"#)),
            _ => Some(text(generation + 1, "stated generation differs")),
        };
        (version(generation, revision), text)
    });
    let key = prop_oneof![
        Just("entries/a"),
        Just("entries/b"),
        Just("fleet"),
        Just("other")
    ];
    let offer = (key, content).prop_map(|(key, (version, text))| (key.into(), version, text));
    collection::vec(offer, 0..12)
}

/// The valid and the rejected content of each key, computed from the documented rules alone.
fn expected(offers: &[Offer]) -> Vec<Offer> {
    let mut best: BTreeMap<&str, [Option<Ranked>; 2]> = BTreeMap::new();
    for offer in offers
        .iter()
        .filter(|offer| offer.0.starts_with("entries/"))
    {
        let (key, version, text) = offer;
        let parsed = text.as_deref().map(entry::parse);
        let is_valid = !matches!(parsed, Some(Err(_)));
        if matches!(parsed, Some(Ok(entry)) if entry.generation != version.generation) {
            continue;
        }
        let digest = text
            .as_ref()
            .map_or([0; 32], |text| Sha256::digest(text).into());
        let ranked = Some((*version, digest, offer));
        let slot = &mut best.entry(key).or_default()[usize::from(!is_valid)];
        *slot = ranked.max(*slot);
    }
    let kept = best.into_values().flat_map(|[valid, rejected]| {
        let newer = rejected.filter(|rejected| valid.is_none_or(|valid| *rejected > valid));
        [valid, newer]
    });
    kept.flatten().map(|(_, _, offer)| offer.clone()).collect()
}

proptest! {
    #![proptest_config(Config {
        max_local_rejects: u32::MAX,
        ..seeded::config(0x0ca7_a109, 512)
    })]

    /// Guards against VMs with different catalogues because they received the same contents in
    /// another order, in other groups, or more than once.
    #[test]
    fn order_and_repetition_do_not_matter(
        (offers, shuffled) in offers().prop_flat_map(|offers| {
            let twice = [offers.clone(), offers.clone()].concat();
            (Just(offers), Just(twice).prop_shuffle())
        }),
        split in 0..12_usize,
    ) {
        let mut once = Catalogue::default();
        let mut again = Catalogue::default();
        let mut parts = [Catalogue::default(), Catalogue::default()];
        for (index, offer) in offers.iter().enumerate() {
            offer_to(&mut once, offer);
            offer_to(&mut parts[usize::from(index >= split)], offer);
        }
        for offer in &shuffled {
            offer_to(&mut again, offer);
        }
        let [mut left, right] = parts;
        for bucket in 0..BUCKETS {
            let stamps = left.stamps(bucket);
            let lacking = right.missing_contents(bucket, &stamps);
            for content in lacking {
                left.offer(content.key, content.version, content.text, Source::Service);
            }
        }
        prop_assert_eq!(state(&once), state(&again));
        prop_assert_eq!(state(&once), state(&left));
        prop_assert_eq!(once.digest(), again.digest());
        prop_assert_eq!(once.digest(), left.digest());
        prop_assert_eq!(once.bytes(), left.bytes());
        let found: Vec<Offer> =
            state(&once).into_iter().filter(|offer| offer.0 != "fleet").collect();
        prop_assert_eq!(found, expected(&offers));
    }
}

/// Guards against a wrong verdict, on which the audit trail and the forwarding to peers depend.
#[test]
fn verdicts() {
    struct Case {
        offer: (&'static str, Version, Option<String>),
        verdict: &'static str,
    }
    let [low, high] = {
        let mut texts = ["one", "two"].map(|owner| text(0, owner));
        texts.sort_by_key(|text| Sha256::digest(text));
        texts
    };
    #[rustfmt::skip]
    let cases = [
        Case { offer: ("entries/a", version(0, 5), Some(low.clone())), verdict: "Accepted" },
        Case { offer: ("entries/a", version(0, 5), Some(low.clone())), verdict: "Known" },
        Case { offer: ("entries/a", version(0, 4), None), verdict: "Behind" },
        Case { offer: ("entries/a", version(0, 5), Some(high)), verdict: "Conflict { kept: true }" },
        Case { offer: ("entries/a", version(0, 5), Some(low)), verdict: "Conflict { kept: false }" },
        Case { offer: ("entries/a", version(0, 5), None), verdict: "Conflict { kept: false }" },
        Case { offer: ("entries/a", version(0, 8), Some("{".into())), verdict: "Rejected([" },
        Case { offer: ("entries/a", version(0, 8), Some("{".into())), verdict: "Known" },
        Case { offer: ("entries/a", version(0, 7), Some("[".into())), verdict: "Behind" },
        Case { offer: ("entries/a", version(1, 1), Some(text(1, "x"))), verdict: "Accepted" },
        Case { offer: ("entries/a", version(0, 9), None), verdict: "Behind" },
        Case { offer: ("entries/a", version(2, 1), Some(text(1, "x"))), verdict: "Refused(" },
        Case { offer: ("fleet", version(0, 9), None), verdict: "Refused(" },
        Case { offer: ("entries/A", version(0, 9), None), verdict: "Refused(" },
        Case { offer: ("members/a", version(0, 9), None), verdict: "Refused(" },
    ];
    let mut catalogue = Catalogue::default();
    for case in cases {
        let (key, version, text) = case.offer;
        let offer = (key.to_owned(), version, text);
        let before = state(&catalogue);
        let verdict = offer_to(&mut catalogue, &offer);
        assert!(
            format!("{verdict:?}").starts_with(case.verdict),
            "{offer:?}: {verdict:?}"
        );
        assert_eq!(
            verdict.is_change(),
            before != state(&catalogue),
            "{offer:?}"
        );
    }
}

/// Guards against a deletion or an unreadable text that gets a lower generation than its key has.
#[test]
fn generations_of_contents_without_one() {
    struct Case {
        key: &'static str,
        text: Option<&'static str>,
        generation: u64,
    }
    let mut catalogue = Catalogue::default();
    offer_to(
        &mut catalogue,
        &("entries/a".into(), version(3, 5), Some(text(3, "x"))),
    );
    #[rustfmt::skip]
    let cases = [
        Case { key: "entries/a", text: None, generation: 3 },
        Case { key: "entries/a", text: Some("{"), generation: 3 },
        Case { key: "entries/a", text: Some(r#"{"generation":"x"}"#), generation: 3 },
        Case { key: "entries/a", text: Some("{}"), generation: 0 },
        Case { key: "entries/a", text: Some(r#"{"generation":4}"#), generation: 4 },
        Case { key: "entries/b", text: None, generation: 0 },
    ];
    for case in cases {
        let found = catalogue.version(case.key, 9, case.text);
        assert_eq!(
            found,
            version(case.generation, 9),
            "{} {:?}",
            case.key,
            case.text
        );
    }
}

/// Guards against deletions inferred from stale reads, or from a service restored from a backup.
#[test]
fn reads_of_the_whole_catalogue() {
    struct Case {
        revision: u64,
        present: &'static [(&'static str, u64)],
        deleted: Result<&'static [&'static str], &'static str>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { revision: 20, present: &[("entries/a", 10)], deleted: Ok(&["entries/b"]) },
        Case { revision: 15, present: &[("entries/a", 10)], deleted: Ok(&[]) },
        Case { revision: 14, present: &[("entries/b", 5)], deleted: Ok(&["entries/a"]) },
        Case { revision: 20, present: &[("entries/a", 9)], deleted: Err("entries/a") },
        Case { revision: 9, present: &[("entries/a", 9)], deleted: Ok(&[]) },
        Case { revision: 20, present: &[], deleted: Ok(&["entries/a", "entries/b"]) },
    ];
    for case in cases {
        let mut catalogue = Catalogue::default();
        offer_to(
            &mut catalogue,
            &("entries/a".into(), version(0, 10), Some(text(0, "a"))),
        );
        offer_to(
            &mut catalogue,
            &("entries/b".into(), version(0, 15), Some("{".into())),
        );
        let fleet = r#"{"vm_ceiling":1,"configuration_calls_per_s":1}"#;
        offer_to(
            &mut catalogue,
            &("fleet".into(), version(0, 1), Some(fleet.into())),
        );
        let outcome = catalogue.apply_snapshot(case.revision, case.present);
        let outcome = outcome.map(|deletions| {
            assert!(
                deletions
                    .iter()
                    .all(|found| found.version == version(0, case.revision))
            );
            let mut keys: Vec<Box<str>> = deletions.into_iter().map(|found| found.key).collect();
            keys.sort();
            keys
        });
        let deleted = case
            .deleted
            .map(|keys| keys.iter().map(|key| (*key).into()).collect());
        assert_eq!(
            outcome.map_err(|restored| restored.key),
            deleted.map_err(Into::into)
        );
        assert!(catalogue.constants().is_some());
        if let Ok(keys) = case.deleted {
            assert!(
                keys.iter()
                    .all(|key| catalogue.get(key).is_some_and(Record::is_tombstone))
            );
        }
        // A second read finds nothing to delete, so that it causes no traffic between peers.
        assert!(
            catalogue
                .apply_snapshot(case.revision, case.present)
                .is_err()
                || catalogue.apply_snapshot(case.revision, case.present) == Ok(Vec::new())
        );
    }
}

/// Guards against deleting a key that was added after the backup and is therefore missing in a
/// restored service.
#[test]
fn reads_do_not_delete_lower_generations() {
    let mut catalogue = Catalogue::default();
    let offer = |name: &str, at: Version| {
        (
            format!("entries/{name}"),
            at,
            Some(text(at.generation, name)),
        )
    };
    offer_to(&mut catalogue, &offer("added", version(0, 5)));
    offer_to(&mut catalogue, &offer("again", version(1, 6)));
    assert_eq!(
        catalogue.apply_snapshot(7, &[("entries/again", 6)]),
        Ok(Vec::new())
    );
    offer_to(&mut catalogue, &offer("added", version(1, 8)));
    // A key that the restore set back does not prevent deletions of the new generation.
    offer_to(&mut catalogue, &offer("behind", version(0, 7)));
    let present = [("entries/again", 6), ("entries/behind", 1)];
    let deletions = catalogue.apply_snapshot(9, &present).unwrap();
    assert_eq!(deletions.len(), 1);
    assert_eq!(deletions[0].version, version(1, 9));
}

/// Guards against memory that grows without bound, and against evicting entries in effect.
#[test]
fn bounds() {
    let mut catalogue = Catalogue::default();
    let offer = |name: usize, revision: u64, text: Option<String>| {
        (format!("entries/n{name}"), version(0, revision), text)
    };
    for name in 1..=catalogue::MAX_KEYS {
        let text = (name > 2).then(|| text(0, "x"));
        let revision = u64::try_from(name).unwrap();
        assert_eq!(
            offer_to(&mut catalogue, &offer(name, revision, text)),
            Verdict::Accepted
        );
    }
    // The oldest tombstones are evicted, first for a newer tombstone, then for entries.
    assert!(matches!(
        offer_to(&mut catalogue, &offer(1, 0, None)),
        Verdict::Behind
    ));
    assert!(matches!(
        offer_to(&mut catalogue, &offer(9_000, 0, None)),
        Verdict::Refused(_)
    ));
    assert_eq!(
        offer_to(&mut catalogue, &offer(9_001, 9_001, None)),
        Verdict::Accepted
    );
    assert!(catalogue.get("entries/n1").is_none());
    for name in [9_002, 9_003] {
        let verdict = offer_to(&mut catalogue, &offer(name, 1, Some(text(0, "x"))));
        assert_eq!(verdict, Verdict::Accepted);
    }
    assert!(catalogue.get("entries/n9001").is_none());
    let verdict = offer_to(&mut catalogue, &offer(9_004, 1, Some(text(0, "x"))));
    assert_eq!(
        verdict,
        Verdict::Refused("the catalogue is full: it holds 4096 keys".into())
    );
    assert_eq!(catalogue.records().count(), catalogue::MAX_KEYS);
    assert_eq!(catalogue.entries().count(), catalogue::MAX_KEYS);
    let small = text(0, "x").len();
    let padded = |bytes: usize| Some(format!("{}{}", text(0, "x"), " ".repeat(bytes - small)));
    let over = offer_to(
        &mut catalogue,
        &offer(3, 9_000, padded(catalogue::MAX_TEXT_BYTES + 1)),
    );
    assert_eq!(over, Verdict::Refused("the value exceeds 1 MB".into()));
    let verdicts = (3..=70).map(|name| {
        offer_to(
            &mut catalogue,
            &offer(name, 9_000, padded(catalogue::MAX_TEXT_BYTES)),
        )
    });
    let refused = verdicts
        .filter(|verdict| matches!(verdict, Verdict::Refused(_)))
        .count();
    assert_eq!(refused, 68 - 63);
    assert!(catalogue.bytes() <= catalogue::MAX_TOTAL_BYTES);
    assert_eq!(
        offer_to(&mut catalogue, &offer(3, 9_001, None)),
        Verdict::Accepted
    );
    assert_eq!(
        offer_to(&mut catalogue, &offer(70, 9_001, padded(small))),
        Verdict::Accepted
    );
    assert_eq!(catalogue.entries().count(), catalogue::MAX_KEYS - 1);
}

/// Guards against a view that is reported as newer than its confirmation, or that does not age.
#[test]
fn view_age() {
    let bounds = settings::View::default();
    let at = |second: u64| Instant::from_micros(second * 1_000_000);
    let seconds = |seconds: u64| Span::from_millis(seconds * 1_000);
    let mut view = View::default();
    assert!(view.is_stale(at(0), &bounds) && view.needs_takeover(at(0), &bounds, seconds(5)));
    assert!(view.confirm(at(1), seconds(60)));
    assert_eq!(view.age(at(3)), Some(seconds(62)));
    assert!(view.confirm(at(4), seconds(2)));
    assert!(!view.confirm(at(5), seconds(4)));
    assert_eq!(view.age(at(5)), Some(seconds(3)));
    assert!(!view.needs_takeover(at(12), &bounds, Span::ZERO));
    assert!(view.needs_takeover(at(13), &bounds, Span::ZERO));
    assert!(!view.needs_takeover(at(13), &bounds, seconds(5)));
    assert!(!view.is_stale(at(32), &bounds) && view.is_stale(at(33), &bounds));
}
