//! Packets of flows, as PROTOCOL lays them out.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const SYN: u8 = 8;
pub const ACK: u8 = 16;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 1;
pub const FLAGS: usize = 28;

#[derive(Clone, Copy, Debug)]
pub struct Head {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub len: usize,
}

impl Head {
    pub fn read(bytes: &[u8]) -> Option<Head> {
        let word = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        (bytes.len() >= 34).then(|| Head {
            from: SocketAddrV4::new(Ipv4Addr::from(word(12)), half(16)),
            to: SocketAddrV4::new(Ipv4Addr::from(word(8)), half(18)),
            seq: word(20),
            ack: word(24),
            flags: bytes[FLAGS],
            len: usize::from(half(32)),
        })
    }

    pub fn write(&self, data: &[u8]) -> Vec<u8> {
        let mut bytes = vec![0; 34];
        bytes[0..4].copy_from_slice(&[1, 2, 3, 4]);
        bytes[8..12].copy_from_slice(&self.to.ip().octets());
        bytes[12..16].copy_from_slice(&self.from.ip().octets());
        bytes[16..18].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[18..20].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[20..24].copy_from_slice(&self.seq.to_be_bytes());
        bytes[24..28].copy_from_slice(&self.ack.to_be_bytes());
        bytes[FLAGS] = self.flags;
        bytes[32..34].copy_from_slice(&(data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(data);
        bytes
    }
}
