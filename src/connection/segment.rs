//! Decoded segments of passed-through flows, and the codec trait that hides their byte layout.

use crate::connection::flow_key::FlowKey;

/// Decoded header of a segment. The payload is never inspected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Flow of the segment, the same for both directions.
    pub flow: FlowKey,
    /// Whether the segment opens the flow (SYN without ACK).
    pub opens: bool,
    /// Whether the segment accepts an opening (SYN with ACK).
    pub accepts: bool,
    /// Whether the sender has no more data (FIN).
    pub ends: bool,
    /// Whether the segment resets the flow (RST).
    pub resets: bool,
    /// Whether a target has bounced this caller's segment because it does not hold the flow.
    pub is_bounced: bool,
    /// Sequence number of the first byte of data in the sender's byte stream. Retransmissions of an opening
    /// are numbered by `retransmission`.
    pub sequence: u32,
    /// Acknowledgement number: sequence number of the next byte that the sender expects; 0 in openings.
    pub acknowledged: u32,
    /// Retransmission number of an opening; 0 for the first transmission and in other segments.
    pub retransmission: u32,
    /// Length of the data.
    pub payload_bytes: u16,
    /// Value that [`SegmentCodec::prepare`] has set, in a segment that the target bounced.
    pub cookie: u32,
}

/// Node that a segment was received from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    /// The caller.
    Caller,
    /// The target, which may also have bounced a caller's segment.
    Target,
}

/// Reason why a datagram cannot be decoded as a segment.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SegmentError {
    /// The datagram is shorter than a header, or than the length in its header requires.
    Truncated,
}

/// Byte layout of segments.
pub trait SegmentCodec: Send + Sync {
    /// Decodes the header of a segment.
    fn decode(&self, datagram: &[u8], sender: Sender) -> Result<Segment, SegmentError>;

    /// Prepares a segment for its target by setting `cookie`, which the target returns if it bounces the
    /// segment.
    fn prepare(&self, datagram: &mut [u8], cookie: u32);

    /// Encodes a reset to the caller, with the service address as its source.
    fn reset(&self, flow: &FlowKey, sequence: u32) -> Vec<u8>;
}
