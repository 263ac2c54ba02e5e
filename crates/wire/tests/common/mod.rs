//! Helpers of the tests: hellos and established links.

use oriolecleat_wire::handshake::Acceptor;
use oriolecleat_wire::handshake::Dialer;
use oriolecleat_wire::handshake::Established;
use oriolecleat_wire::handshake::Hello;
use oriolecleat_wire::handshake::Key;

pub const FLEET_KEY: &[u8] = b"0123456789abcdef0123456789abcdef";

pub fn hello(vm: &str, nonce: u8) -> Hello {
    Hello::new("nilewing", vm, 7, "cai-1", [nonce; 32])
}

/// Both ends of a link, the dialer's first.
pub fn link(dialer: Hello, acceptor: &Hello) -> (Established, Established) {
    let key = Key::new(FLEET_KEY);
    let (dialer, first) = Dialer::start(key.clone(), dialer);
    let (acceptor, second) = Acceptor::start(key, acceptor, &first).expect("a hello");
    let (near, third) = dialer.receive(&second).expect("a proof");
    let far = acceptor.receive(&third).expect("a proof");
    (near, far)
}
