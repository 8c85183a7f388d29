//! Segments of passed-through flows, and the trait behind which their byte layout stands.

use crate::connection::flow_key::FlowKey;

/// The head of one segment. The data behind it is never looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The flow, whichever end sent the segment.
    pub flow: FlowKey,
    /// Whether it opens the flow (SYN without ACK).
    pub opens: bool,
    /// Whether it accepts an opening (SYN with ACK).
    pub accepts: bool,
    /// Whether its sender has sent all its data (FIN).
    pub ends: bool,
    /// Whether it resets the flow (RST).
    pub resets: bool,
    /// Whether a target gave it back because it does not hold the flow.
    pub is_bounced: bool,
    /// Position of the data in the sender's byte stream; of a copy of an opening, see `copy`.
    pub sequence: u32,
    /// What the sender has received of the other end.
    pub acknowledged: u32,
    /// Number of this copy of an opening, from 0; 0 on other segments.
    pub retransmission: u32,
    /// Bytes of data.
    pub payload_bytes: u16,
    /// Value that [`SegmentCodec::prepare`] put in and that the target gave back.
    pub cookie: u32,
}

/// Which end of a flow sent a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    /// The caller.
    Caller,
    /// The target, or a caller's segment that the target gave back.
    Target,
}

/// Why a datagram is no segment.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SegmentError {
    /// Shorter than its head, or than the length that its head gives.
    Truncated,
}

/// Byte layout of segments.
pub trait SegmentCodec: Send + Sync {
    /// Reads the head of a segment.
    fn decode(&self, datagram: &[u8], sender: Sender) -> Result<Segment, SegmentError>;

    /// Makes a segment ready to be given to a target, which gives `cookie` back if it bounces it.
    fn prepare(&self, datagram: &mut [u8], cookie: u32);

    /// Writes a reset from the route to the caller.
    fn reset(&self, flow: &FlowKey, sequence: u32) -> Vec<u8>;
}
