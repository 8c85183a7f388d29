//! Parsing of the unencrypted parts of QUIC datagrams (RFC 8999, RFC 9000 section 17).

use crate::connection::tag::TAG_BYTES;

/// Minimum size of a datagram that opens a flow, in bytes (RFC 9000, section 14.1).
pub const MIN_OPENING_BYTES: usize = 1200;

/// Minimum length of the destination connection id that a caller chooses for its first packets, in bytes
/// (RFC 9000, section 7.2).
const MIN_INITIAL_ID_BYTES: usize = 8;

const LONG_FORM_BIT: u8 = 0x80;

/// Header of the first packet in a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketHeader<'a> {
    /// Long header, used by handshake packets, including those with a connection id that the caller chose.
    Long {
        /// Destination connection id.
        connection_id: &'a [u8],
    },
    /// Short header, used by packets of established flows, with a connection id that an agent chose.
    Short {
        /// Destination connection id.
        connection_id: &'a [u8],
    },
}

/// Reason why a datagram cannot be parsed as QUIC.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketError {
    /// The datagram ends before the end of its connection id.
    Truncated,
    /// The connection id is longer than QUIC version 1 allows.
    Malformed,
}

/// Parses the header of the first packet in a datagram.
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

/// Whether a datagram of this size with this connection id may open a flow.
pub fn may_open_flow(connection_id: &[u8], datagram_bytes: usize) -> bool {
    connection_id.len() >= MIN_INITIAL_ID_BYTES && datagram_bytes >= MIN_OPENING_BYTES
}

/// Parses a short header. The fixed bit is ignored, as peers may agree to set it at random (RFC 9287).
fn parse_short_header(datagram: &[u8]) -> Result<PacketHeader<'_>, PacketError> {
    let connection_id = datagram.get(1..=TAG_BYTES).ok_or(PacketError::Truncated)?;
    Ok(PacketHeader::Short { connection_id })
}
