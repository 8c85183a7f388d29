//! Header that precedes each segment sent between balancers and agents.
//!
//! Layout: version (1 byte), header length (2 bytes, big endian), the encoded
//! [`wire::SegmentHeader`], and the segment.

use std::net::SocketAddrV4;

use prost::Message;

use crate::connection::flow_key::pack_address;
use crate::connection::flow_key::unpack_address;
use crate::connection::request_class::RequestClass;
use crate::version::target_table::MAX_SEARCH_CHAIN;
use crate::wire;

/// Version of the layout.
const HEADER_VERSION: u8 = 1;
/// Bytes of version and header length.
const PREFIX_BYTES: usize = 3;

/// Largest header that is accepted, in bytes: a full chain and a service name of 255 bytes fit.
pub const MAX_HEADER_BYTES: usize = 1024;

/// Forwarding state of a segment: the agents that it goes to next, as long as no target holds its flow or
/// accepts the opening, and the balancer that it returns to after the last one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SegmentHeader {
    /// Data addresses of the agents still to be tried, in order.
    pub chain: Vec<SocketAddrV4>,
    /// Service of an opening; empty on other segments.
    pub service: String,
    /// Control address of the balancer that sent the segment; it gets the segment back after the last agent,
    /// and a notification when a target holds the flow.
    pub report_to: Option<SocketAddrV4>,
    /// Id of the balancer's search for the flow; 0 if the balancer expects the flow at the receiving agent.
    pub search_id: u32,
    /// Agents that have forwarded the segment so far.
    pub hops: u32,
    /// Whether a target refused the opening as busy or full, so that the balancer may offer it again.
    pub saw_full_target: bool,
    /// Whether the opening is a retransmission or has been offered before, so that its caller has waited.
    pub has_waited: bool,
    /// Class of the flow's requests, on openings and on segments with payload; `None` if the route has none.
    pub class: Option<RequestClass>,
    /// Time since the caller's first opening segment of the flow, in milliseconds, as the balancer knows it.
    pub waited_ms: u64,
    /// Hash of the availability zone of the balancer, and so of the caller; 0 if unknown.
    pub origin_zone: u32,
    /// Whether so many targets of the service fail that none counts as failing, on openings.
    pub ignores_health: bool,
    /// Of the agents that have passed the opening on, the one that would answer its request soonest.
    pub fallback: Option<Fallback>,
    /// Whether an agent that does not track the flow passes the segment on without asking its target.
    pub is_tables_only: bool,
    /// Whether each agent that has passed the segment on knows that its target does not hold the flow.
    pub is_ruled_out: bool,
}

/// Agent that gets an opening after the last one of the chain, if that one would answer the request later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fallback {
    /// Data address.
    pub agent: SocketAddrV4,
    /// Time in which it expected to answer the request when it passed the opening on, in milliseconds.
    pub wait_ms: u64,
}

/// Why a datagram between nodes has no valid header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeaderError {
    /// The datagram is shorter than the prefix, or than the header length that it gives.
    Truncated,
    /// The version byte names another version.
    UnsupportedVersion,
    /// The header is longer than [`MAX_HEADER_BYTES`], does not parse, or has an invalid address or chain.
    Malformed,
}

impl HeaderError {
    /// Label of the error in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            HeaderError::Truncated => "short",
            HeaderError::UnsupportedVersion => "version",
            HeaderError::Malformed => "header",
        }
    }
}

/// Writes the header and the segment to `out`, which is cleared first.
pub fn encode(header: &SegmentHeader, segment: &[u8], out: &mut Vec<u8>) {
    let encoded = wire::SegmentHeader {
        chain: header.chain.iter().take(MAX_SEARCH_CHAIN).copied().map(pack_address).collect(),
        service: header.service.clone(),
        report_to: header.report_to.map_or(0, pack_address),
        search: header.search_id,
        hops: header.hops,
        met_full: header.saw_full_target,
        late: header.has_waited,
        class: header.class.map(class_to_wire),
        waited_ms: to_u32(header.waited_ms),
        origin_zone: header.origin_zone,
        ignores_health: header.ignores_health,
        fallback: header.fallback.map(|fallback| wire::OpeningFallback {
            agent: pack_address(fallback.agent),
            wait_ms: to_u32(fallback.wait_ms),
        }),
        tables_only: header.is_tables_only,
        ruled_out: header.is_ruled_out,
    };
    let length = u16::try_from(encoded.encoded_len()).unwrap_or(u16::MAX);
    out.clear();
    out.push(HEADER_VERSION);
    out.extend_from_slice(&length.to_be_bytes());
    encoded.encode(out).expect("a vector takes any length");
    out.extend_from_slice(segment);
}

/// Decodes the header of a datagram. The second value is the offset of the segment, in bytes.
pub fn decode(bytes: &[u8]) -> Result<(SegmentHeader, usize), HeaderError> {
    let [version, high, low, rest @ ..] = bytes else {
        return Err(HeaderError::Truncated);
    };
    if *version != HEADER_VERSION {
        return Err(HeaderError::UnsupportedVersion);
    }
    let length = usize::from(u16::from_be_bytes([*high, *low]));
    if length > MAX_HEADER_BYTES {
        return Err(HeaderError::Malformed);
    }
    let encoded = rest.get(..length).ok_or(HeaderError::Truncated)?;
    let encoded = wire::SegmentHeader::decode(encoded).map_err(|_| HeaderError::Malformed)?;
    if encoded.chain.len() > MAX_SEARCH_CHAIN {
        return Err(HeaderError::Malformed);
    }
    let chain: Option<Vec<SocketAddrV4>> = encoded.chain.into_iter().map(unpack_address).collect();
    let report_to = match encoded.report_to {
        0 => None,
        packed => Some(unpack_address(packed).ok_or(HeaderError::Malformed)?),
    };
    let fallback = match encoded.fallback {
        None => None,
        Some(fallback) => Some(Fallback {
            agent: unpack_address(fallback.agent).ok_or(HeaderError::Malformed)?,
            wait_ms: u64::from(fallback.wait_ms),
        }),
    };
    let header = SegmentHeader {
        chain: chain.ok_or(HeaderError::Malformed)?,
        service: encoded.service,
        report_to,
        search_id: encoded.search,
        hops: encoded.hops,
        saw_full_target: encoded.met_full,
        has_waited: encoded.late,
        class: encoded.class.map(class_from_wire),
        waited_ms: u64::from(encoded.waited_ms),
        origin_zone: encoded.origin_zone,
        ignores_health: encoded.ignores_health,
        fallback,
        is_tables_only: encoded.tables_only,
        is_ruled_out: encoded.ruled_out,
    };
    Ok((header, PREFIX_BYTES + length))
}

fn class_to_wire(class: RequestClass) -> wire::RequestClass {
    wire::RequestClass {
        priority: class.priority,
        objective_ms: to_u32(class.objective_ms),
        timeout_ms: to_u32(class.timeout_ms),
    }
}

fn class_from_wire(class: wire::RequestClass) -> RequestClass {
    RequestClass {
        priority: class.priority,
        objective_ms: u64::from(class.objective_ms),
        timeout_ms: u64::from(class.timeout_ms),
    }
}

fn to_u32(time_ms: u64) -> u32 {
    u32::try_from(time_ms).unwrap_or(u32::MAX)
}
