//! Tests of frames: round trips, authentication, size limits and hostile input.

mod cases;
mod common;

use std::net::IpAddr;
use std::net::SocketAddr;

use common::hello;
use common::link;
use oriolecleat_core::audit;
use oriolecleat_core::catalogue::Mark;
use oriolecleat_core::catalogue::Stamp;
use oriolecleat_core::member;
use oriolecleat_core::member::State;
use oriolecleat_core::message::Audit;
use oriolecleat_core::message::Content;
use oriolecleat_core::message::Departure;
use oriolecleat_core::message::Digest;
use oriolecleat_core::message::Entries;
use oriolecleat_core::message::Fetch;
use oriolecleat_core::message::Heartbeat;
use oriolecleat_core::message::Leaving;
use oriolecleat_core::message::Load;
use oriolecleat_core::message::MAX_LIST;
use oriolecleat_core::message::Members;
use oriolecleat_core::message::Message;
use oriolecleat_core::message::Offer;
use oriolecleat_core::message::Offers;
use oriolecleat_core::message::Part;
use oriolecleat_core::message::Report;
use oriolecleat_core::message::Roster;
use oriolecleat_core::message::Versions;
use oriolecleat_core::message::Want;
use oriolecleat_core::version::Version;
use oriolecleat_wire::frame;
use oriolecleat_wire::frame::Fault;
use oriolecleat_wire::frame::Frame;
use oriolecleat_wire::frame::MAX_BYTES;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_oneof;
use proptest::proptest;

fn text() -> impl Strategy<Value = Box<str>> {
    ".{0,12}".prop_map(String::into_boxed_str)
}

// Without an IPv6 flow label and scope, which have a meaning only on the machine itself.
fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn version() -> impl Strategy<Value = Version> {
    (any::<u64>(), any::<u64>()).prop_map(|(generation, revision)| Version {
        generation,
        revision,
    })
}

fn record() -> impl Strategy<Value = member::Record> {
    let state = prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Leaving)
    ];
    (text(), any::<u64>(), state, address(), text()).prop_map(
        |(vm, number, state, address, region)| member::Record {
            incarnation: number,
            sequence: number / 2,
            state,
            caller: address,
            directory: address,
            peer: address,
            data_center: region.clone(),
            region,
            uptime_ms: number,
            build: vm.clone(),
            capacity: 24,
            vm,
        },
    )
}

fn audit_record() -> impl Strategy<Value = audit::Record> {
    (any::<u64>(), text(), proptest::option::of(version())).prop_map(|(seq, text, version)| {
        audit::Record {
            seq,
            vm: text.clone(),
            incarnation: seq,
            wall_ms: seq,
            kind: text.clone(),
            subject: text.clone(),
            version,
            source: text.clone(),
            cause: text,
        }
    })
}

fn catalogue() -> impl Strategy<Value = Message> {
    let mark = || {
        let mark = (version(), any::<[u8; 32]>());
        proptest::option::of(mark.prop_map(|(version, digest)| Mark { version, digest }))
    };
    let stamp = (text(), mark(), mark()).prop_map(|(key, valid, rejected)| Stamp {
        key,
        valid,
        rejected,
    });
    let content = (text(), version(), proptest::option::of(text()))
        .prop_map(|(key, version, text)| Content { key, version, text });
    prop_oneof![
        vec(any::<u64>(), 0..64).prop_map(|hashes| Message::Digest(Digest { hashes })),
        (vec(any::<u64>(), 0..64), vec(stamp, 0..8))
            .prop_map(|(buckets, keys)| Message::Versions(Versions { buckets, keys })),
        (vec(text(), 0..4), vec(text(), 0..4))
            .prop_map(|(keys, members)| Message::Want(Want { keys, members })),
        vec(content, 0..8).prop_map(|contents| Message::Entries(Entries { contents })),
        transfer(),
    ]
}

fn transfer() -> impl Strategy<Value = Message> {
    let mark = || {
        let mark = (version(), any::<[u8; 32]>());
        mark.prop_map(|(version, digest)| Mark { version, digest })
    };
    let offer = (text(), mark()).prop_map(|(key, mark)| Offer { key, mark });
    let fetch = (text(), mark(), any::<u64>());
    let part = (text(), mark(), any::<[u64; 2]>(), vec(any::<u8>(), 0..64));
    prop_oneof![
        vec(offer, 0..8).prop_map(|offers| Message::Offers(Offers { offers })),
        fetch.prop_map(|(key, mark, offset)| Message::Fetch(Fetch { key, mark, offset })),
        part.prop_map(|(key, mark, [offset, total], bytes)| Message::Part(Part {
            key,
            mark,
            offset,
            total,
            bytes: bytes.into(),
        })),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let departure =
        (address(), text(), any::<u64>()).prop_map(|(target, source, age_ms)| Departure {
            target,
            source,
            age_ms,
        });
    let report = (address(), any::<u64>()).prop_map(|(target, age_ms)| Report {
        target,
        in_flight: age_ms,
        age_ms,
    });
    let heartbeat =
        (any::<u64>(), proptest::option::of(any::<u64>())).prop_map(|(hash, view_age_ms)| {
            Message::Heartbeat(Heartbeat {
                catalogue: hash,
                members: hash,
                leaving: 0,
                view_age_ms,
                audit: hash,
            })
        });
    prop_oneof![
        catalogue(),
        vec(record(), 0..8).prop_map(|records| Message::Members(Members { records })),
        vec(record().prop_map(|record| record.stamp()), 0..8)
            .prop_map(|stamps| Message::Roster(Roster { stamps })),
        vec(departure, 0..8).prop_map(|departures| Message::Leaving(Leaving { departures })),
        vec(report, 0..8).prop_map(|reports| Message::Load(Load { reports })),
        (any::<u64>(), vec(audit_record(), 0..8))
            .prop_map(|(oldest, records)| Message::Audit(Audit { oldest, records })),
        heartbeat,
    ]
}

fn seal_all(messages: &[Message]) -> Vec<Vec<u8>> {
    let (mut near, _) = link(hello("a", 1), &hello("b", 2));
    let seal = |message| near.sealer.seal(message).expect("fits").expect("known");
    messages.iter().map(seal).collect()
}

proptest! {
    #![proptest_config(cases::fixed(66, 256))]

    // Guards against a message that is decoded as another one than was encoded.
    #[test]
    fn messages_round_trip(messages in vec(message(), 1..6)) {
        let (_, mut far) = link(hello("a", 1), &hello("b", 2));
        for (message, frame) in messages.iter().zip(seal_all(&messages)) {
            prop_assert_eq!(far.opener.open(&frame), Ok(Frame::Known(message.clone())));
        }
    }

    // Guards against frames that are accepted although they were changed, repeated, reordered or
    // sent on another link, or although the frame before them was lost.
    #[test]
    fn only_the_next_intact_frame_opens(
        (messages, index, bit) in (vec(message(), 2..4), any::<usize>(), 0..8_u8)
    ) {
        let frames = seal_all(&messages);
        let mut changed = frames[0].clone();
        let index = index % changed.len();
        changed[index] ^= 1 << bit;
        let opened = |frames: &[&[u8]]| {
            let (_, mut far) = link(hello("a", 1), &hello("b", 2));
            let results: Vec<_> = frames.iter().map(|frame| far.opener.open(frame)).collect();
            results.last().cloned()
        };
        prop_assert_eq!(opened(&[&changed]), Some(Err(Fault::Tag)));
        prop_assert_eq!(opened(&[&frames[1]]), Some(Err(Fault::Sequence)));
        prop_assert_eq!(opened(&[&frames[0], &frames[0]]), Some(Err(Fault::Sequence)));
        let (_, mut other_link) = link(hello("a", 1), &hello("b", 9));
        prop_assert_eq!(other_link.opener.open(&frames[0]), Err(Fault::Tag));
    }

    // Guards against a panic or endless recursion in the decoder on bytes that an authenticated but
    // faulty peer sent.
    #[test]
    fn any_body_decodes_without_a_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = frame::decode(&bytes);
    }

    // As above, but with valid bodies of which a few bytes are changed: these get further in the
    // decoder than random bytes.
    #[test]
    fn damaged_bodies_decode_without_a_panic(
        (message, changes) in (message(), vec((any::<usize>(), any::<u8>()), 1..6))
    ) {
        let mut frame = seal_all(&[message])[0].split_off(33);
        for (index, byte) in changes {
            let index = index % frame.len();
            frame[index] = byte;
        }
        let _ = frame::decode(&frame);
    }
}

// Guards against a decoder that reserves memory for the length that a frame states before the data
// is there: with the lengths below, the process would abort.
#[test]
fn stated_lengths_reserve_no_memory() {
    let huge = [0xff_u8; 8];
    let heads: [&[u8]; 5] = [
        // Kind 3, map of 1, "h", array of 2^64 - 1.
        &[0x03, 0xa1, 0x61, b'h', 0x9b],
        // Kind 5, map of 1, "e", array of 1, map of 3, "k", text of 2^64 - 1 bytes.
        &[0x05, 0xa1, 0x61, b'e', 0x81, 0xa3, 0x61, b'k', 0x7b],
        // Kind 9, map of 2^64 - 1.
        &[0x09, 0xbb],
        // Kind 9, map of 1, an unknown field with bytes of 2^64 - 1.
        &[0x09, 0xa1, 0x61, b'?', 0x5b],
        // Kind 2, map of 1, "r", array of 2^64 - 1.
        &[0x02, 0xa1, 0x61, b'r', 0x9b],
    ];
    for head in heads {
        let mut body = head.to_vec();
        body.extend_from_slice(&huge);
        assert_eq!(frame::decode(&body), Err(Fault::Malformed));
    }
    let mut nested = vec![0x09, 0xa1, 0x61, b'?'];
    nested.extend(vec![0x81; 1_000_000]);
    assert_eq!(frame::decode(&nested), Err(Fault::Malformed));
}

// Guards against frames above the size limit that are encoded or decoded, and against lists above
// their limit that are decoded.
#[test]
fn bounds_frames_and_lists() {
    let content = |bytes: usize| {
        Message::Entries(Entries {
            contents: vec![Content {
                key: "k".into(),
                version: Version::default(),
                text: Some("x".repeat(bytes).into()),
            }],
        })
    };
    let (mut near, mut far) = link(hello("a", 1), &hello("b", 2));
    assert_eq!(near.sealer.seal(&content(MAX_BYTES)), Err(Fault::TooLarge));
    // The message that was refused must not use up a sequence number.
    let largest = near
        .sealer
        .seal(&content(MAX_BYTES - 80))
        .expect("fits")
        .expect("known");
    assert!(far.opener.open(&largest).is_ok());
    assert_eq!(
        far.opener.open(&vec![0; MAX_BYTES + 1]),
        Err(Fault::TooLarge)
    );
    let digest = |length| {
        Message::Digest(Digest {
            hashes: vec![0; length],
        })
    };
    let frames = seal_all(&[digest(MAX_LIST), digest(MAX_LIST + 1)]);
    let (_, mut far) = link(hello("a", 1), &hello("b", 2));
    assert!(far.opener.open(&frames[0]).is_ok());
    assert_eq!(far.opener.open(&frames[1]), Err(Fault::Malformed));
}
