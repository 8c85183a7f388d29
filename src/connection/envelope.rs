//! The envelope around each datagram between fabric, balancer and agent.
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

/// Largest header that is taken, in bytes.
pub const MAX_HEADER_BYTES: usize = 256;

/// Most candidates in a chain.
pub const MAX_CHAIN: usize = 3;

/// Source, destination and candidates of one datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EnvelopeHeader {
    /// Where the datagram comes from.
    pub source: SocketAddr,
    /// Where it goes: a service address towards targets, a caller on the way back.
    pub destination: SocketAddr,
    /// Data addresses of the candidate agents, best first.
    pub chain: Vec<SocketAddrV4>,
    /// Index of the candidate that is to decide.
    pub position: usize,
}

impl EnvelopeHeader {
    /// Creates a route without candidates.
    pub fn new(source: SocketAddr, destination: SocketAddr) -> EnvelopeHeader {
        EnvelopeHeader { source, destination, chain: Vec::new(), position: 0 }
    }

    /// Returns the route with a chain, from its first candidate.
    pub fn with_chain(mut self, chain: Vec<SocketAddrV4>) -> EnvelopeHeader {
        self.chain = chain;
        self.position = 0;
        self
    }
}

/// Why an envelope does not parse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnvelopeError {
    /// Shorter than its own lengths say.
    Truncated,
    /// Of an unknown version.
    UnsupportedVersion,
    /// The header is too long or not a header.
    InvalidHeader,
}

/// Writes an envelope to `out`, which is cleared first.
pub fn encode(route: &EnvelopeHeader, payload: &[u8], out: &mut Vec<u8>) {
    let header = to_wire_header(route);
    let length = u16::try_from(header.encoded_len()).expect("a header is short");
    out.clear();
    out.push(VERSION);
    out.extend_from_slice(&length.to_be_bytes());
    header.encode(out).expect("a vector takes any length");
    out.extend_from_slice(payload);
}

/// Reads an envelope; the payload is a view into `bytes`.
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
    let (header, payload) = rest.split_at(length);
    let header = Header::decode(header).map_err(|_| EnvelopeError::InvalidHeader)?;
    let route = from_wire_header(&header).ok_or(EnvelopeError::InvalidHeader)?;
    Ok((route, payload))
}

/// Bytes that an envelope adds at most, for sizing buffers.
pub const fn max_overhead_bytes() -> usize {
    PREFIX_BYTES + MAX_HEADER_BYTES
}

/// Converts a data address to its message form.
pub fn to_hop(address: SocketAddrV4) -> Hop {
    Hop { ip: address.ip().to_bits(), port: u32::from(address.port()) }
}

/// Converts a message to a data address; `None` where the port is out of range.
pub fn from_hop(hop: &Hop) -> Option<SocketAddrV4> {
    let port = u16::try_from(hop.port).ok()?;
    Some(SocketAddrV4::new(Ipv4Addr::from_bits(hop.ip), port))
}

fn to_wire_header(route: &EnvelopeHeader) -> Header {
    let (source_ip_high, source_ip_low) = split_ip(route.source.ip());
    let (destination_ip_high, destination_ip_low) = split_ip(route.destination.ip());
    Header {
        source_ip_high,
        source_ip_low,
        source_port: u32::from(route.source.port()),
        destination_ip_high,
        destination_ip_low,
        destination_port: u32::from(route.destination.port()),
        chain: route.chain.iter().copied().map(to_hop).collect(),
        position: u32::try_from(route.position).unwrap_or(u32::MAX),
    }
}

fn from_wire_header(header: &Header) -> Option<EnvelopeHeader> {
    if header.chain.len() > MAX_CHAIN {
        return None;
    }
    let source_port = u16::try_from(header.source_port).ok()?;
    let destination_port = u16::try_from(header.destination_port).ok()?;
    let source = join_ip(header.source_ip_high, header.source_ip_low);
    let destination = join_ip(header.destination_ip_high, header.destination_ip_low);
    Some(EnvelopeHeader {
        source: SocketAddr::new(source, source_port),
        destination: SocketAddr::new(destination, destination_port),
        chain: header.chain.iter().map(from_hop).collect::<Option<_>>()?,
        position: usize::try_from(header.position).ok()?,
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
