//! Layout of the packets of clients and servers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const BOUNCED: u8 = 1;
pub const SYN: u8 = 8;
pub const ACK: u8 = 16;
pub const RST: u8 = 64;
pub const FIN: u8 = 128;

pub const HEAD: usize = 34;

#[derive(Clone, Debug)]
pub struct Packet {
    pub echo: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(
        src: SocketAddrV4,
        dst: SocketAddrV4,
        seq: u32,
        ack: u32,
        flags: u8,
        data: &[u8],
    ) -> Packet {
        Packet { echo: 0, src, dst, seq, ack, flags, data: data.to_vec() }
    }

    pub fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Sum over all fields but `echo`, `pad` and BOUNCED.
    fn sum(&self) -> u32 {
        let mut hash: u32 = 0x811c_9dc5 ^ 0x5eed_0003;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&self.src.ip().octets());
        add(&self.src.port().to_be_bytes());
        add(&self.dst.ip().octets());
        add(&self.dst.port().to_be_bytes());
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&[self.flags & !BOUNCED]);
        add(&self.data);
        hash | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.sum().to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.dst.ip().octets());
        out.extend(self.src.ip().octets());
        out.extend(self.src.port().to_be_bytes());
        out.extend(self.dst.port().to_be_bytes());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.push(self.flags);
        out.extend([0; 3]);
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    /// Decodes a packet. The second value tells whether its sum is that of its sender.
    pub fn decode(bytes: &[u8]) -> Option<(Packet, bool)> {
        if bytes.len() < HEAD {
            return None;
        }
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let length = usize::from(u16_at(32));
        let packet = Packet {
            echo: u32_at(4),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(8)), u16_at(18)),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(12)), u16_at(16)),
            seq: u32_at(20),
            ack: u32_at(24),
            flags: bytes[28],
            data: bytes.get(HEAD..HEAD + length)?.to_vec(),
        };
        let is_whole = packet.sum() == u32_at(0);
        Some((packet, is_whole))
    }
}
