//! Encapsulation of the datagrams between fabric, balancer and agent.
//!
//! Layout: version (1 byte), header length (2 bytes, big endian), the generated [`Header`], and the
//! caller's datagram unchanged.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use prost::Message;

use crate::wire::Header;
use crate::wire::Hop;

const VERSION: u8 = 1;
const PREFIX_BYTES: usize = 3;

/// Maximum accepted length of the header, in bytes.
pub const MAX_HEADER_BYTES: usize = 256;

/// Maximum number of candidates in a chain.
pub const MAX_CHAIN: usize = 3;

/// Addresses and candidate agents of an encapsulated datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EnvelopeHeader {
    /// Source of the datagram: a caller, or a service address if the datagram goes to a caller.
    pub source: SocketAddr,
    /// Destination of the datagram: a service address, or a caller.
    pub destination: SocketAddr,
    /// Data addresses of the candidate agents, in order of preference.
    pub chain: Vec<SocketAddrV4>,
    /// Index in `chain` of the candidate that decides on the datagram.
    pub position: usize,
}

impl EnvelopeHeader {
    /// Creates a header without candidates.
    pub fn new(source: SocketAddr, destination: SocketAddr) -> EnvelopeHeader {
        EnvelopeHeader { source, destination, chain: Vec::new(), position: 0 }
    }

    /// Replaces the chain and sets the position to its first candidate.
    pub fn with_chain(mut self, chain: Vec<SocketAddrV4>) -> EnvelopeHeader {
        self.chain = chain;
        self.position = 0;
        self
    }
}

/// Reason why an envelope cannot be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnvelopeError {
    /// The envelope is shorter than its prefix or the header length in it requires.
    Truncated,
    /// The version is not supported.
    UnsupportedVersion,
    /// The header is too long or does not decode.
    InvalidHeader,
}

/// Encodes an envelope into `out`, which is cleared first.
pub fn encode(header: &EnvelopeHeader, payload: &[u8], out: &mut Vec<u8>) {
    let wire_header = to_wire_header(header);
    let length =
        u16::try_from(wire_header.encoded_len()).expect("the length of a header fits into 16 bits");
    out.clear();
    out.push(VERSION);
    out.extend_from_slice(&length.to_be_bytes());
    wire_header.encode(out).expect("a vector grows to any length");
    out.extend_from_slice(payload);
}

/// Decodes an envelope. The returned payload borrows from `bytes`.
pub fn decode(bytes: &[u8]) -> Result<(EnvelopeHeader, &[u8]), EnvelopeError> {
    let [version, high, low, rest @ ..] = bytes else {
        return Err(EnvelopeError::Truncated);
    };
    if *version != VERSION {
        return Err(EnvelopeError::UnsupportedVersion);
    }
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    if length > MAX_HEADER_BYTES {
        return Err(EnvelopeError::InvalidHeader);
    }
    if rest.len() < length {
        return Err(EnvelopeError::Truncated);
    }
    let (wire_header, payload) = rest.split_at(length);
    let wire_header = Header::decode(wire_header).map_err(|_| EnvelopeError::InvalidHeader)?;
    let header = from_wire_header(&wire_header).ok_or(EnvelopeError::InvalidHeader)?;
    Ok((header, payload))
}

/// Maximum number of bytes that an envelope adds to a datagram, for sizing buffers.
pub const fn max_overhead_bytes() -> usize {
    PREFIX_BYTES + MAX_HEADER_BYTES
}

/// Converts a data address to its wire form.
pub fn to_hop(address: SocketAddrV4) -> Hop {
    Hop { ip: address.ip().to_bits(), port: u32::from(address.port()) }
}

/// Converts a wire address to a data address; `None` if the port is out of range.
pub fn from_hop(hop: &Hop) -> Option<SocketAddrV4> {
    let port = u16::try_from(hop.port).ok()?;
    Some(SocketAddrV4::new(Ipv4Addr::from_bits(hop.ip), port))
}

fn to_wire_header(header: &EnvelopeHeader) -> Header {
    let (source_ip_high, source_ip_low) = split_ip(header.source.ip());
    let (destination_ip_high, destination_ip_low) = split_ip(header.destination.ip());
    Header {
        source_ip_high,
        source_ip_low,
        source_port: u32::from(header.source.port()),
        destination_ip_high,
        destination_ip_low,
        destination_port: u32::from(header.destination.port()),
        chain: header.chain.iter().copied().map(to_hop).collect(),
        position: u32::try_from(header.position).unwrap_or(u32::MAX),
    }
}

fn from_wire_header(wire_header: &Header) -> Option<EnvelopeHeader> {
    if wire_header.chain.len() > MAX_CHAIN {
        return None;
    }
    let source_port = u16::try_from(wire_header.source_port).ok()?;
    let destination_port = u16::try_from(wire_header.destination_port).ok()?;
    let source = join_ip(wire_header.source_ip_high, wire_header.source_ip_low);
    let destination = join_ip(wire_header.destination_ip_high, wire_header.destination_ip_low);
    Some(EnvelopeHeader {
        source: SocketAddr::new(source, source_port),
        destination: SocketAddr::new(destination, destination_port),
        chain: wire_header.chain.iter().map(from_hop).collect::<Option<_>>()?,
        position: usize::try_from(wire_header.position).ok()?,
    })
}

fn split_ip(ip: IpAddr) -> (u64, u64) {
    let ip = match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let bits = ip.to_bits();
    ((bits >> 64) as u64, bits as u64)
}

fn join_ip(high: u64, low: u64) -> IpAddr {
    Ipv6Addr::from_bits((u128::from(high) << 64) | u128::from(low)).to_canonical()
}
