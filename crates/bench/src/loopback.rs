//! Hands out loopback addresses that no other test fixture uses, in this process or in another one
//! on the same machine.

use std::io;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Port that claims a block; outside the range from which the kernel chooses ports.
const CLAIM_PORT: u16 = 20_000;
/// Blocks are 127.x.y.0/24 with x from 1 to 254.
const BLOCKS: u32 = 254 * 256;
/// Host whose claim port is bound to claim the block; its address is not handed out.
const CLAIM_HOST: u8 = 1;
const LAST_HOST: u8 = 254;

/// Blocks that this process has claimed, until it ends.
static BLOCKS_HELD: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// A block of addresses that belongs to this process while the claim socket is open.
struct Block {
    network: [u8; 3],
    last_given: u8,
    /// A UDP socket, so that no TCP connection can reach it.
    _claim: UdpSocket,
}

impl Block {
    /// Claims the first free block, starting at the one that the process id selects.
    fn claim() -> io::Result<Self> {
        let first = std::process::id() % BLOCKS;
        for number in (first..BLOCKS).chain(0..first) {
            let [_, _, x, y] = (number + 256).to_be_bytes();
            let host = Ipv4Addr::new(127, x, y, CLAIM_HOST);
            match UdpSocket::bind((host, CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(Self {
                        network: [127, x, y],
                        last_given: CLAIM_HOST,
                        _claim: claim,
                    });
                }
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(ErrorKind::AddrNotAvailable.into())
    }

    fn next_address(&mut self) -> Option<Ipv4Addr> {
        if self.last_given == LAST_HOST {
            return None;
        }
        self.last_given += 1;
        let [a, b, c] = self.network;
        Some(Ipv4Addr::new(a, b, c, self.last_given))
    }
}

/// Returns an address that is handed out only once, and to no other process while this one runs.
///
/// # Errors
///
/// Fails if no block of addresses can be claimed.
pub fn address() -> io::Result<Ipv4Addr> {
    let mut held = BLOCKS_HELD.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(address) = held.last_mut().and_then(Block::next_address) {
            return Ok(address);
        }
        held.push(Block::claim()?);
    }
}

/// Returns a new address with port 0, so that the kernel chooses a port for one listener.
///
/// # Errors
///
/// Fails if no block of addresses can be claimed.
pub fn any_port() -> io::Result<SocketAddr> {
    Ok((address()?, 0).into())
}

/// Returns a new address with port 1, which refuses connections.
///
/// # Errors
///
/// Fails if no block of addresses can be claimed.
pub fn refusing() -> io::Result<SocketAddr> {
    Ok((address()?, 1).into())
}
