//! Identity of a passed-through flow.

use std::net::SocketAddrV4;

use crate::version::hash::hash64;

/// The two ends of a passed-through flow, as its segments name them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowKey {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the route that the caller opened the flow to.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Hash of the flow, the same on every node.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&pack_address(self.caller).to_be_bytes());
        bytes[8..].copy_from_slice(&pack_address(self.service).to_be_bytes());
        hash64(&bytes)
    }
}

/// Writes an address as `ip << 16 | port`.
pub fn pack_address(address: SocketAddrV4) -> u64 {
    (u64::from(address.ip().to_bits()) << 16) | u64::from(address.port())
}

/// Reads `ip << 16 | port`; `None` where a higher bit is set.
pub fn unpack_address(packed: u64) -> Option<SocketAddrV4> {
    let ip = u32::try_from(packed >> 16).ok()?;
    Some(SocketAddrV4::new(ip.into(), packed as u16))
}
