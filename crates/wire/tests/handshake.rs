//! Tests of the handshake: authentication of peers and agreement on a protocol.

mod cases;
mod common;

use common::FLEET_KEY;
use common::hello;
use common::link;
use oriolecleat_core::message::Heartbeat;
use oriolecleat_core::message::Message;
use oriolecleat_wire::handshake::Acceptor;
use oriolecleat_wire::handshake::Dialer;
use oriolecleat_wire::handshake::Fault;
use oriolecleat_wire::handshake::Hello;
use oriolecleat_wire::handshake::Key;
use oriolecleat_wire::handshake::MAX_BYTES;
use proptest::prelude::any;
use proptest::proptest;

fn run(dialer: (&[u8], Hello), acceptor: (&[u8], &Hello)) -> Result<u64, Fault> {
    let (near, first) = Dialer::start(Key::new(dialer.0), dialer.1);
    let (far, second) = Acceptor::start(Key::new(acceptor.0), acceptor.1, &first)?;
    let (near, third) = near.receive(&second)?;
    let far = far.receive(&third)?;
    assert_eq!(near.protocol, far.protocol);
    Ok(near.protocol)
}

// Guards against links to VMs without the fleet key or of another fleet, from a VM to itself, and
// between releases without a common protocol.
#[test]
fn only_peers_of_the_fleet_establish_a_link() {
    struct Case {
        key: &'static [u8],
        acceptor: Hello,
        result: Result<u64, Fault>,
    }
    let other_key = b"0123456789abcdef0123456789abcdeX";
    let protocols = |protocol, min_protocol| Hello {
        protocol,
        min_protocol,
        ..hello("b", 2)
    };
    let cases = [
        Case {
            key: FLEET_KEY,
            acceptor: hello("b", 2),
            result: Ok(2),
        },
        Case {
            key: other_key,
            acceptor: hello("b", 2),
            result: Err(Fault::Proof),
        },
        Case {
            key: FLEET_KEY,
            acceptor: hello("a", 2),
            result: Err(Fault::Own),
        },
        Case {
            key: FLEET_KEY,
            acceptor: Hello {
                fleet: "pura".into(),
                ..hello("b", 2)
            },
            result: Err(Fault::OtherFleet),
        },
        // The release before, and the next one, have a protocol in common with this one; the one
        // after does not.
        Case {
            key: FLEET_KEY,
            acceptor: protocols(1, 1),
            result: Ok(1),
        },
        Case {
            key: FLEET_KEY,
            acceptor: protocols(3, 2),
            result: Ok(2),
        },
        Case {
            key: FLEET_KEY,
            acceptor: protocols(4, 3),
            result: Err(Fault::Protocol),
        },
    ];
    for case in cases {
        let acceptor = case.acceptor;
        let result = run((FLEET_KEY, hello("a", 1)), (case.key, &acceptor));
        assert_eq!(result, case.result, "{acceptor:?}");
        let reverse = run((case.key, acceptor.clone()), (FLEET_KEY, &hello("a", 1)));
        assert_eq!(reverse, case.result, "{acceptor:?}");
    }
}

// Guards against a dialer without the key that replays a proof of an earlier handshake, or sends
// the acceptor's own proof back to it.
#[test]
fn proofs_are_neither_replayed_nor_reflected() {
    let key = Key::new(FLEET_KEY);
    let (dialer, first) = Dialer::start(key.clone(), hello("a", 1));
    let (acceptor, second) = Acceptor::start(key.clone(), &hello("b", 2), &first).expect("a hello");
    let reflected = acceptor.receive(&second[..32]);
    assert_eq!(reflected.err(), Some(Fault::Proof));
    let (_, third) = dialer.receive(&second).expect("a proof");
    let (again, _) = Acceptor::start(key, &hello("b", 3), &first).expect("a hello");
    assert_eq!(again.receive(&third).err(), Some(Fault::Proof));
}

// Guards against a handshake that succeeds although a byte of a hello or of the acceptor's proof
// was changed in transit.
#[test]
fn a_change_of_any_byte_fails_the_handshake() {
    let key = Key::new(FLEET_KEY);
    let (_, first) = Dialer::start(key.clone(), hello("a", 1));
    let (_, second) = Acceptor::start(key.clone(), &hello("b", 2), &first).expect("a hello");
    for index in 0..second.len() {
        let mut changed = second.clone();
        changed[index] ^= 1;
        let (dialer, _) = Dialer::start(key.clone(), hello("a", 1));
        assert_eq!(dialer.receive(&changed).err(), Some(Fault::Proof));
    }
    for index in 0..first.len() {
        let mut changed = first.clone();
        changed[index] ^= 1;
        let Ok((acceptor, second)) = Acceptor::start(key.clone(), &hello("b", 2), &changed) else {
            continue;
        };
        let (dialer, _) = Dialer::start(key.clone(), hello("a", 1));
        let third = dialer.receive(&second).map(|(_, third)| third);
        let third = third.unwrap_or_else(|_| vec![0; 32]);
        assert_eq!(acceptor.receive(&third).err(), Some(Fault::Proof));
    }
}

// Guards against one key for both directions: a frame could then be sent back to its sender and be
// accepted there.
#[test]
fn each_direction_has_its_own_key() {
    let (mut near, mut far) = link(hello("a", 1), &hello("b", 2));
    let heartbeat = Message::Heartbeat(Heartbeat::default());
    let frame = near.sealer.seal(&heartbeat).expect("fits").expect("known");
    assert!(near.opener.open(&frame).is_err());
    assert!(far.opener.open(&frame).is_ok());
    assert_eq!((&*near.peer.vm, &*far.peer.vm), ("b", "a"));
}

proptest! {
    #![proptest_config(cases::fixed(65, 512))]

    // Guards against a panic, and against a message above the size limit that is decoded, before
    // the peer is authenticated.
    #[test]
    fn any_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2 * MAX_BYTES)) {
        let key = Key::new(FLEET_KEY);
        let accepted = Acceptor::start(key.clone(), &hello("b", 2), &bytes);
        if bytes.len() > MAX_BYTES {
            proptest::prop_assert_eq!(accepted.err(), Some(Fault::TooLarge));
        }
        let (dialer, first) = Dialer::start(key.clone(), hello("a", 1));
        proptest::prop_assert!(dialer.receive(&bytes).is_err());
        let (acceptor, _) = Acceptor::start(key, &hello("b", 2), &first).expect("a hello");
        proptest::prop_assert!(acceptor.receive(&bytes).is_err());
    }
}
