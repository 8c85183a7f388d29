//! The platform's packets.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const SYN: u8 = 8;
pub const ACK: u8 = 16;
pub const FIN: u8 = 128;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 1;

pub const HEADER_BYTES: usize = 34;

/// Key of the sum, known to clients and servers only.
const KEY: u32 = 0x5eed_1234;

#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub sequence: u32,
    pub acknowledged: u32,
    pub flags: u8,
    pub data: Vec<u8>,
    /// Whether the sum is right, on a received packet.
    pub is_genuine: bool,
    /// Whether the sum is 0, as in a reset of the system's own.
    pub has_no_sum: bool,
}

impl Packet {
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8) -> Packet {
        let (sequence, acknowledged, data) = (0, 0, Vec::new());
        Packet {
            from,
            to,
            sequence,
            acknowledged,
            flags,
            data,
            is_genuine: true,
            has_no_sum: false,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[8..12].copy_from_slice(&self.to.ip().octets());
        bytes[12..16].copy_from_slice(&self.from.ip().octets());
        bytes[16..18].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[18..20].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[20..24].copy_from_slice(&self.sequence.to_be_bytes());
        bytes[24..28].copy_from_slice(&self.acknowledged.to_be_bytes());
        bytes[28] = self.flags;
        bytes[32..34].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes.extend(&self.data);
        let sum = sum(&bytes);
        bytes[0..4].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let header: &[u8; HEADER_BYTES] = bytes.first_chunk()?;
        let length = usize::from(u16::from_be_bytes([header[32], header[33]]));
        let data = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?.to_vec();
        let number = |at: usize| u32::from_be_bytes(header[at..at + 4].try_into().unwrap());
        let port = |at: usize| u16::from_be_bytes(header[at..at + 2].try_into().unwrap());
        Some(Packet {
            from: SocketAddrV4::new(Ipv4Addr::from_bits(number(12)), port(16)),
            to: SocketAddrV4::new(Ipv4Addr::from_bits(number(8)), port(18)),
            sequence: number(20),
            acknowledged: number(24),
            flags: header[28],
            data,
            is_genuine: number(0) == sum(bytes),
            has_no_sum: number(0) == 0,
        })
    }
}

/// Keyed sum over all fields but the echo, the padding and the BOUNCED flag; never 0.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash = KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            0..8 | 29..32 => continue,
            28 => byte & !BOUNCED,
            _ => *byte,
        };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193).rotate_left(5);
    }
    hash.max(1)
}
