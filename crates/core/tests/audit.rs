//! Tests of the bounds, copies and queries of the audit trail.

use oriolecleat_core::audit::COPIED_RECORDS;
use oriolecleat_core::audit::Change;
use oriolecleat_core::audit::OWN_RECORDS;
use oriolecleat_core::audit::Query;
use oriolecleat_core::audit::Record;
use oriolecleat_core::audit::Ring;
use oriolecleat_core::audit::TEXT_BYTES;

fn filled(records: usize) -> Ring {
    let mut ring = Ring::new("a", 1);
    for index in 0..records {
        let kind = if index % 2 == 0 {
            "catalogue"
        } else {
            "member"
        };
        ring.record(
            index as u64 + 1,
            Change::new(kind, &format!("subject-{}", index % 3), "test", ""),
        );
    }
    ring
}

fn seqs(records: &[Record]) -> Vec<u64> {
    records.iter().map(|record| record.seq).collect()
}

// Guards against a trail that grows without bound or drops the newest records.
#[test]
fn keeps_the_newest_records() {
    let ring = filled(OWN_RECORDS + 10);
    let kept = ring.query(&Query::default());
    assert_eq!(kept.len(), OWN_RECORDS);
    assert_eq!(kept.first().map(|record| record.seq), Some(11));
    assert_eq!(kept.last().map(|record| record.seq), Some(ring.last()));
    let sent = ring.records_after(0, usize::MAX);
    assert_eq!(sent.len(), COPIED_RECORDS);
    assert_eq!(
        sent.first().map(|record| record.seq),
        Some(ring.oldest_sent())
    );
}

// Guards against copies of a peer's records that are missing, duplicated, reordered or of another
// VM.
#[test]
fn copies_in_sequence() {
    let source = filled(600);
    let mut peer = Ring::new("b", 1);
    peer.store_copies("a", 1, source.oldest_sent(), source.records_after(0, 100));
    assert_eq!(peer.last_copied("a", 1), 188);
    // A frame was lost: the records after the gap are refused until it is filled.
    peer.store_copies("a", 1, source.oldest_sent(), source.records_after(300, 10));
    assert_eq!(peer.last_copied("a", 1), 188);
    peer.store_copies("a", 1, source.oldest_sent(), source.records_after(150, 100));
    assert_eq!(peer.last_copied("a", 1), 250);
    let foreign = Record {
        vm: "c".into(),
        seq: 251,
        ..source.records_after(250, 1)[0].clone()
    };
    peer.store_copies("a", 1, source.oldest_sent(), vec![foreign]);
    assert_eq!(peer.last_copied("a", 1), 250);
    peer.store_copies(
        "a",
        1,
        source.oldest_sent(),
        source.records_after(250, 1_000),
    );
    assert_eq!(peer.last_copied("a", 1), 600);
    assert_eq!(peer.query(&Query::default()).len(), COPIED_RECORDS);
    assert_eq!(peer.last_copied("a", 2), 0);
}

// Guards against a query that misses copies of a lost VM's records or returns records that do not
// match.
#[test]
fn queries_own_and_copied_records() {
    struct Case {
        query: Query,
        seqs: Vec<u64>,
    }
    let source = filled(6);
    let mut peer = Ring::new("b", 1);
    peer.store_copies("a", 1, source.oldest_sent(), source.records_after(0, 10));
    peer.record(10, Change::new("member", "subject-1", "test", ""));
    let cases = [
        Case {
            query: Query::default(),
            seqs: vec![1, 2, 3, 4, 5, 6, 1],
        },
        Case {
            query: Query {
                subject: Some("subject-1".into()),
                ..Query::default()
            },
            seqs: vec![2, 5, 1],
        },
        Case {
            query: Query {
                kind: Some("member".into()),
                after_ms: 2,
                ..Query::default()
            },
            seqs: vec![4, 6, 1],
        },
        Case {
            query: Query {
                newest: 2,
                ..Query::default()
            },
            seqs: vec![6, 1],
        },
    ];
    for case in cases {
        assert_eq!(
            seqs(&peer.query(&case.query)),
            case.seqs,
            "{:?}",
            case.query
        );
    }
}

// Guards against a record that does not fit into a frame.
#[test]
fn bounds_the_texts_of_a_record() {
    let mut ring = Ring::new("a", 1);
    let record = ring.record(1, Change::new("k", "s", "o", &"é".repeat(TEXT_BYTES)));
    assert!(record.cause.len() <= TEXT_BYTES);
}
