//! Loopback addresses of test fixtures.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::UdpSocket;
use std::thread;

use oriolecleat_bench::loopback;

const THREADS: usize = 4;
/// All threads together need more than one block, which has 253 addresses.
const ADDRESSES_PER_THREAD: usize = 150;

fn addresses() -> Vec<Ipv4Addr> {
    let addresses = (0..ADDRESSES_PER_THREAD).map(|_| loopback::address().expect("an address"));
    addresses.collect()
}

/// Guards against an address that two tests get, in this process or in different ones, and against
/// an address whose block is not claimed.
#[test]
fn address_is_given_once_and_claimed() {
    let threads: Vec<_> = (0..THREADS).map(|_| thread::spawn(addresses)).collect();
    let given = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap());
    let given: BTreeSet<Ipv4Addr> = given.collect();
    assert_eq!(given.len(), THREADS * ADDRESSES_PER_THREAD);
    for address in given {
        let [a, b, c, d] = address.octets();
        assert!(a == 127 && b != 0 && d != 0 && d != 255, "{address}");
        let again = UdpSocket::bind((Ipv4Addr::new(a, b, c, 1), 20_000));
        let error = again.expect_err("the claim is held");
        assert_eq!(error.kind(), ErrorKind::AddrInUse, "{address}");
    }
}
