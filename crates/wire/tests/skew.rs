//! Tests of version skew: frames between this release and the ones before and after it.
//!
//! The message types of the older and the newer release are written out here, so that a change of
//! the messages that these releases do not understand makes a test fail.

mod common;

use common::hello;
use common::link;
use oriolecleat_core::message::Content;
use oriolecleat_core::message::Entries;
use oriolecleat_core::message::Heartbeat;
use oriolecleat_core::message::Message;
use oriolecleat_core::message::Offers;
use oriolecleat_core::message::Want;
use oriolecleat_core::version::Version;
use oriolecleat_wire::frame;
use oriolecleat_wire::frame::Frame;
use oriolecleat_wire::handshake::Hello;
use serde::Deserialize;
use serde::Serialize;

const TAG_BYTES: usize = 32;

fn body(kind: u64, fields: &impl Serialize) -> Vec<u8> {
    let mut body = Vec::new();
    ciborium::into_writer(&kind, &mut body).expect("a number");
    ciborium::into_writer(fields, &mut body).expect("fields");
    body
}

/// Messages as a newer release sends them, with fields that this release does not know.
mod newer {
    use serde::Serialize;

    #[derive(Serialize)]
    pub struct Nested {
        pub deep: Vec<Option<(u64, String)>>,
    }

    #[derive(Serialize)]
    pub struct Heartbeat {
        pub c: u64,
        pub m: u64,
        pub l: u64,
        pub a: u64,
        pub u: u64,
        pub load: Nested,
    }

    #[derive(Serialize)]
    pub struct Content {
        pub k: &'static str,
        pub signature: &'static [u8],
        pub v: (u64, u64),
        pub t: Option<&'static str>,
    }

    #[derive(Serialize)]
    pub struct Entries {
        pub signer: Nested,
        pub e: Vec<Content>,
    }
}

/// Messages as an older release decodes them, without the fields that have defaults in this
/// release.
mod older {
    use serde::Deserialize;

    #[derive(Debug, Deserialize, PartialEq)]
    pub struct Heartbeat {
        pub c: u64,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    pub struct Want {
        pub k: Vec<String>,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    pub struct Content {
        pub k: String,
        pub v: (u64, u64),
        pub t: Option<String>,
    }

    #[derive(Debug, Deserialize, PartialEq)]
    pub struct Entries {
        pub e: Vec<Content>,
    }
}

fn content() -> Message {
    Message::Entries(Entries {
        contents: vec![Content {
            key: "k".into(),
            version: Version {
                generation: 1,
                revision: 2,
            },
            text: Some("t".into()),
        }],
    })
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        catalogue: 1,
        members: 2,
        leaving: 3,
        view_age_ms: Some(4),
        audit: 5,
    }
}

// Guards against a rolling upgrade in which a VM rejects what upgraded VMs send, because of fields
// or kinds that it does not know.
#[test]
fn decodes_what_a_newer_release_sends() {
    let nested = || newer::Nested {
        deep: vec![None, Some((1, "x".to_owned()))],
    };
    let sent = newer::Heartbeat {
        c: 1,
        m: 2,
        l: 3,
        a: 4,
        u: 5,
        load: nested(),
    };
    assert_eq!(
        frame::decode(&body(9, &sent)),
        Ok(Frame::Known(Message::Heartbeat(heartbeat())))
    );
    let entry = newer::Content {
        k: "k",
        signature: b"s",
        v: (1, 2),
        t: Some("t"),
    };
    let sent = newer::Entries {
        signer: nested(),
        e: vec![entry],
    };
    assert_eq!(frame::decode(&body(5, &sent)), Ok(Frame::Known(content())));
    assert_eq!(
        frame::decode(&body(200, &nested())),
        Ok(Frame::Unknown(200))
    );
}

// Guards against a frame of an unknown kind that breaks the sequence numbers of the link.
#[test]
fn an_unknown_frame_leaves_the_link_usable() {
    let (mut near, mut far) = link(hello("a", 1), &hello("b", 2));
    let unknown = near.sealer.seal_body(200, &"x").expect("fits");
    let known = near
        .sealer
        .seal(&Message::Heartbeat(heartbeat()))
        .expect("fits");
    assert_eq!(far.opener.open(&unknown), Ok(Frame::Unknown(200)));
    let opened = far.opener.open(&known.expect("a known kind"));
    assert_eq!(opened, Ok(Frame::Known(Message::Heartbeat(heartbeat()))));
}

// Guards against frames of kinds that are newer than the protocol of the link.
#[test]
fn nothing_is_sent_that_the_agreed_protocol_lacks() {
    let before = |hello| Hello {
        protocol: 0,
        min_protocol: 0,
        ..hello
    };
    let (mut near, _) = link(before(hello("a", 1)), &before(hello("b", 2)));
    assert_eq!(near.sealer.seal(&Message::Heartbeat(heartbeat())), Ok(None));
    let first = |hello| Hello {
        protocol: 1,
        ..hello
    };
    let (mut near, _) = link(first(hello("a", 1)), &hello("b", 2));
    let offers = Message::Offers(Offers::default());
    assert_eq!(near.sealer.seal(&offers), Ok(None));
}

fn decode<T: for<'de> Deserialize<'de>>(message: &Message) -> (u64, T) {
    let (mut near, _) = link(hello("a", 1), &hello("b", 2));
    let frame = near.sealer.seal(message).expect("fits").expect("known");
    let mut body = &frame[TAG_BYTES..];
    let _sequence: u64 = ciborium::from_reader(&mut body).expect("a sequence number");
    let kind = ciborium::from_reader(&mut body).expect("a kind");
    (kind, ciborium::from_reader(&mut body).expect("fields"))
}

// Guards against a rolling upgrade in which VMs that are not yet upgraded reject what they are
// sent.
#[test]
fn an_older_release_decodes_what_is_sent() {
    assert_eq!(
        decode(&Message::Heartbeat(heartbeat())),
        (9, older::Heartbeat { c: 1 })
    );
    let want = Message::Want(Want {
        keys: vec!["k".into()],
        members: vec!["m".into()],
    });
    assert_eq!(
        decode(&want),
        (
            11,
            older::Want {
                k: vec!["k".to_owned()]
            }
        )
    );
    let entry = older::Content {
        k: "k".to_owned(),
        v: (1, 2),
        t: Some("t".to_owned()),
    };
    assert_eq!(decode(&content()), (5, older::Entries { e: vec![entry] }));
}

// Guards against a decoder that requires fields which an older release does not send.
#[test]
fn decodes_what_an_older_release_sends() {
    #[derive(Serialize)]
    struct Old {
        c: u64,
    }
    let expected = Heartbeat {
        catalogue: 1,
        ..Heartbeat::default()
    };
    let decoded = frame::decode(&body(9, &Old { c: 1 }));
    assert_eq!(decoded, Ok(Frame::Known(Message::Heartbeat(expected))));
}
