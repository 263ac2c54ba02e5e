//! Loopback addresses that no other fixture uses, in this process or in one that runs beside it.

use std::io;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Outside the range from which the kernel chooses ports.
const CLAIM_PORT: u16 = 20_000;
/// Blocks are 127.x.y.0/24 with x from 1 to 254.
const BLOCKS: u32 = 254 * 256;
/// The host whose claim port stands for its block; it is not given out.
const CLAIM_HOST: u8 = 1;
const LAST_HOST: u8 = 254;

/// Blocks of this process, which holds them until it ends.
static BLOCKS_HELD: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Addresses that belong to this process while the claim is open.
struct Block {
    network: [u8; 3],
    last_given: u8,
    /// UDP, so that no connection can reach it.
    _claim: UdpSocket,
}

impl Block {
    /// Claims the first block that is free, from the one of the process's identifier on.
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

    fn next(&mut self) -> Option<Ipv4Addr> {
        if self.last_given == LAST_HOST {
            return None;
        }
        self.last_given += 1;
        let [a, b, c] = self.network;
        Some(Ipv4Addr::new(a, b, c, self.last_given))
    }
}

/// An address that is given out once and that no other process gets while this one runs.
///
/// # Errors
///
/// Returns why no address could be claimed.
pub fn address() -> io::Result<Ipv4Addr> {
    let mut held = BLOCKS_HELD.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(address) = held.last_mut().and_then(Block::next) {
            return Ok(address);
        }
        held.push(Block::claim()?);
    }
}

/// Any port on an address as by [`address`], for one listener.
///
/// # Errors
///
/// Returns why no address could be claimed.
pub fn any_port() -> io::Result<SocketAddr> {
    Ok((address()?, 0).into())
}

/// A port that refuses connections, on an address as by [`address`].
///
/// # Errors
///
/// Returns why no address could be claimed.
pub fn refusing() -> io::Result<SocketAddr> {
    Ok((address()?, 1).into())
}
