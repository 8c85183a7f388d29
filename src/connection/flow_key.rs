//! Key of a passed-through flow.

use std::net::SocketAddrV4;

use crate::version::hash::hash64;

/// Addresses of the two ends of a passed-through flow, as its segments carry them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowKey {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Service address that the caller opened the flow to.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns a hash of the flow that is the same on every node.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&pack_address(self.caller).to_be_bytes());
        bytes[8..].copy_from_slice(&pack_address(self.service).to_be_bytes());
        hash64(&bytes)
    }
}

/// Packs an address into `ip << 16 | port`.
pub fn pack_address(address: SocketAddrV4) -> u64 {
    (u64::from(address.ip().to_bits()) << 16) | u64::from(address.port())
}

/// Unpacks `ip << 16 | port`; `None` if a higher bit is set.
pub fn unpack_address(packed: u64) -> Option<SocketAddrV4> {
    let ip = u32::try_from(packed >> 16).ok()?;
    Some(SocketAddrV4::new(ip.into(), packed as u16))
}
