//! Places and addresses of VMs.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// Where a VM runs.
#[derive(Clone, Debug)]
pub struct Site {
    /// Region.
    pub region: Box<str>,
    /// Data centre.
    pub data_center: Box<str>,
}

/// `vms` VMs spread evenly over `centers` data centres in `regions` regions.
#[must_use]
pub fn sites(regions: usize, centers: usize, vms: usize) -> Vec<Site> {
    (0..vms)
        .map(|vm| Site {
            region: format!("region-{}", vm % centers % regions).into(),
            data_center: format!("dc-{:02}", vm % centers).into(),
        })
        .collect()
}

/// Peer address of the VM with index `vm`.
pub(crate) fn address(vm: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(vm + 1).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

/// Index of the VM with this peer address.
pub(crate) fn index(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low])).checked_sub(1)
}
