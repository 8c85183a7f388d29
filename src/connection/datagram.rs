//! The parts of a QUIC datagram that can be read without keys (RFC 8999, RFC 9000 section 17).

use crate::connection::tag::TAG_BYTES;

/// Smallest datagram that may open a flow, in bytes (RFC 9000, section 14.1).
pub const MIN_OPENING_BYTES: usize = 1200;

/// Shortest connection id that a caller may choose, in bytes (RFC 9000, section 7.2).
const MIN_INITIAL_ID_BYTES: usize = 8;

const LONG_FORM_BIT: u8 = 0x80;

/// What the head of a datagram shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketHeader<'a> {
    /// A long header: handshake packets, and those with an id that the caller chose.
    Long {
        /// Destination connection id.
        connection_id: &'a [u8],
    },
    /// A short header: packets of an established flow, with an id that an agent chose.
    Short {
        /// Destination connection id.
        connection_id: &'a [u8],
    },
}

/// Why a datagram is not QUIC.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketError {
    /// Ends before the connection id does.
    Truncated,
    /// The id has a length that QUIC forbids.
    Malformed,
}

/// Reads the head of a datagram.
pub fn parse_header(datagram: &[u8]) -> Result<PacketHeader<'_>, PacketError> {
    let first = *datagram.first().ok_or(PacketError::Truncated)?;
    if first & LONG_FORM_BIT == 0 {
        return parse_short_header(datagram);
    }
    let length = usize::from(*datagram.get(5).ok_or(PacketError::Truncated)?);
    if length > TAG_BYTES {
        return Err(PacketError::Malformed);
    }
    let connection_id = datagram.get(6..6 + length).ok_or(PacketError::Truncated)?;
    Ok(PacketHeader::Long { connection_id })
}

/// Whether a datagram with this id and length may open a flow.
pub fn may_open_flow(connection_id: &[u8], datagram_bytes: usize) -> bool {
    connection_id.len() >= MIN_INITIAL_ID_BYTES && datagram_bytes >= MIN_OPENING_BYTES
}

/// The fixed bit is not looked at: peers may agree to set it at random (RFC 9287).
fn parse_short_header(datagram: &[u8]) -> Result<PacketHeader<'_>, PacketError> {
    let connection_id = datagram.get(1..=TAG_BYTES).ok_or(PacketError::Truncated)?;
    Ok(PacketHeader::Short { connection_id })
}
