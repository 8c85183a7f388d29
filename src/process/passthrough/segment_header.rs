//! The header in front of each segment between balancers and agents.
//!
//! Layout: version (1 byte), header length (2 bytes, big endian), the generated [`SegmentHeader`], and
//! the segment.

use std::net::SocketAddrV4;

use prost::Message;

use crate::connection::flow_key::pack_address;
use crate::connection::flow_key::unpack_address;
use crate::version::target_table::MAX_CHAIN;
use crate::wire::SegmentHeader;

const VERSION: u8 = 1;
const PREFIX_BYTES: usize = 3;

/// Largest header that is taken, in bytes: a full chain and a service name of 255 bytes fit.
pub const MAX_HEADER_BYTES: usize = 1024;

/// Where a segment goes if the next agent's target does not hold its flow.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Way {
    /// Data addresses of the agents still to be tried.
    pub chain: Vec<SocketAddrV4>,
    /// Service at which the flow opens; empty unless the segment opens one.
    pub service: String,
    /// Control address of the balancer that sent it.
    pub report_to: Option<SocketAddrV4>,
    /// Number of the balancer's search for the flow; 0 where the flow should be at the receiver.
    pub search: u32,
    /// Agents that have passed the segment on.
    pub hops: u32,
    /// Whether a target on the way was full.
    pub met_full: bool,
    /// Whether the caller of an opening has waited already.
    pub is_late: bool,
}

/// Why a datagram between nodes does not parse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WayFault {
    /// Shorter than its own lengths say.
    Short,
    /// Of an unknown version.
    Version,
    /// The header is too long or not a header.
    Header,
}

impl WayFault {
    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            WayFault::Short => "short",
            WayFault::Version => "version",
            WayFault::Header => "header",
        }
    }
}

/// Writes header and segment to `out`, which is cleared first.
pub fn encode(way: &Way, segment: &[u8], out: &mut Vec<u8>) {
    let header = SegmentHeader {
        chain: way.chain.iter().take(MAX_CHAIN).copied().map(pack_address).collect(),
        service: way.service.clone(),
        report_to: way.report_to.map_or(0, pack_address),
        search: way.search,
        hops: way.hops,
        met_full: way.met_full,
        late: way.is_late,
    };
    let length = u16::try_from(header.encoded_len()).unwrap_or(u16::MAX);
    out.clear();
    out.push(VERSION);
    out.extend_from_slice(&length.to_be_bytes());
    header.encode(out).expect("a vector takes any length");
    out.extend_from_slice(segment);
}

/// Reads a header; the second value is where the segment starts.
pub fn decode(bytes: &[u8]) -> Result<(Way, usize), WayFault> {
    let [version, high, low, rest @ ..] = bytes else {
        return Err(WayFault::Short);
    };
    if *version != VERSION {
        return Err(WayFault::Version);
    }
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    if length > MAX_HEADER_BYTES {
        return Err(WayFault::Header);
    }
    let header = rest.get(..length).ok_or(WayFault::Short)?;
    let header = SegmentHeader::decode(header).map_err(|_| WayFault::Header)?;
    if header.chain.len() > MAX_CHAIN {
        return Err(WayFault::Header);
    }
    let chain: Option<Vec<SocketAddrV4>> = header.chain.into_iter().map(unpack_address).collect();
    let report_to = match header.report_to {
        0 => None,
        packed => Some(unpack_address(packed).ok_or(WayFault::Header)?),
    };
    let way = Way {
        chain: chain.ok_or(WayFault::Header)?,
        service: header.service,
        report_to,
        search: header.search,
        hops: header.hops,
        met_full: header.met_full,
        is_late: header.late,
    };
    Ok((way, PREFIX_BYTES + length))
}
