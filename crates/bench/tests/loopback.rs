//! Addresses of fixtures.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::UdpSocket;
use std::thread;

use oriolecleat_bench::loopback;

const THREADS: usize = 4;
/// Together more than one block of 253 holds.
const EACH: usize = 150;

fn addresses() -> Vec<Ipv4Addr> {
    let own = (0..EACH).map(|_| loopback::address().expect("an address"));
    own.collect()
}

/// Guards against an address that two tests get, in this process or beside it, and against one that
/// others use without a claim.
#[test]
fn address_is_given_once_and_claimed() {
    let threads: Vec<_> = (0..THREADS).map(|_| thread::spawn(addresses)).collect();
    let given = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap());
    let given: BTreeSet<Ipv4Addr> = given.collect();
    assert_eq!(given.len(), THREADS * EACH);
    for address in given {
        let [a, b, c, d] = address.octets();
        assert!(a == 127 && b != 0 && d != 0 && d != 255, "{address}");
        let again = UdpSocket::bind((Ipv4Addr::new(a, b, c, 1), 20_000));
        let error = again.expect_err("the claim is held");
        assert_eq!(error.kind(), ErrorKind::AddrInUse, "{address}");
    }
}
