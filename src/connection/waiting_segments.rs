//! Queue of segments that a balancer can neither forward nor refuse yet.
//!
//! It is designed for a start of all nodes at once. Callers retransmit after up to 1.6 s, so dropping a
//! segment that arrives 10 ms before its balancer can decide would delay its caller by that time. The queue
//! is bounded by [`MAX_WAITING`], [`MAX_WAITING_PER_FLOW`] and the maximum waiting times.

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;

/// Maximum number of queued segments: 2.5 MB at 1,234 bytes each.
pub const MAX_WAITING: usize = 2_048;

/// Maximum number of queued segments of one flow, which is the most that its caller has in flight.
pub const MAX_WAITING_PER_FLOW: usize = 16;

/// Maximum waiting time of an opening, in milliseconds: the caller's last retransmission follows 400 ms
/// after the one before it.
const MAX_OPENING_WAIT_MS: u64 = 400;

/// Maximum waiting time of any other segment, in milliseconds: its caller has retransmitted it by then.
const MAX_WAIT_MS: u64 = 1_600;

/// A queued segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingSegment {
    /// Decoded header.
    pub segment: Segment,
    /// Complete segment as received.
    pub datagram: Vec<u8>,
    queued_ms: u64,
}

impl WaitingSegment {
    fn has_expired(&self, now_ms: u64) -> bool {
        let max_wait_ms = if self.segment.opens { MAX_OPENING_WAIT_MS } else { MAX_WAIT_MS };
        now_ms.saturating_sub(self.queued_ms) >= max_wait_ms
    }

    /// Whether `other` is a retransmission of this segment.
    fn is_retransmitted_by(&self, other: &Segment) -> bool {
        let is_same = self.segment.sequence == other.sequence
            && self.segment.payload_bytes == other.payload_bytes
            && self.segment.ends == other.ends;
        self.segment.opens || (is_same && self.segment.acknowledged == other.acknowledged)
    }
}

/// Queued segments by flow, oldest flow first.
#[derive(Debug, Default)]
pub struct WaitingSegments {
    flows: IndexMap<FlowKey, Vec<WaitingSegment>>,
    segment_count: usize,
}

impl WaitingSegments {
    /// Creates an empty queue.
    pub fn new() -> WaitingSegments {
        WaitingSegments::default()
    }

    /// Number of queued segments.
    pub fn len(&self) -> usize {
        self.segment_count
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.segment_count == 0
    }

    /// Queues a segment in place of the one that it retransmits, if any. Returns whether there was room.
    pub fn push(&mut self, segment: Segment, datagram: &[u8], now_ms: u64) -> bool {
        let queue = self.flows.entry(segment.flow).or_default();
        let len_before = queue.len();
        queue.retain(|waiting| !waiting.is_retransmitted_by(&segment));
        self.segment_count -= len_before - queue.len();
        let has_room = queue.len() < MAX_WAITING_PER_FLOW && self.segment_count < MAX_WAITING;
        if has_room {
            let datagram = datagram.to_vec();
            queue.push(WaitingSegment { segment, datagram, queued_ms: now_ms });
            self.segment_count += 1;
        } else if queue.is_empty() {
            self.flows.shift_remove(&segment.flow);
        }
        has_room
    }

    /// Removes and returns all segments of a flow.
    pub fn take_flow(&mut self, flow: &FlowKey) -> Vec<WaitingSegment> {
        let taken = self.flows.shift_remove(flow).unwrap_or_default();
        self.segment_count -= taken.len();
        taken
    }

    /// Removes and returns the segments of up to `max_flows` flows whose first segment satisfies `is_due`,
    /// oldest flows first.
    pub fn take_due(
        &mut self,
        max_flows: usize,
        mut is_due: impl FnMut(&Segment) -> bool,
    ) -> Vec<WaitingSegment> {
        let due: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, waiting)| waiting.first().is_some_and(|waiting| is_due(&waiting.segment)))
            .map(|(flow, _)| *flow)
            .take(max_flows)
            .collect();
        due.iter().flat_map(|flow| self.take_flow(flow)).collect()
    }

    /// Drops segments that have exceeded their maximum waiting time and returns their number.
    pub fn expire(&mut self, now_ms: u64) -> usize {
        let count_before = self.segment_count;
        self.flows.retain(|_, queue| {
            let len_before = queue.len();
            queue.retain(|waiting| !waiting.has_expired(now_ms));
            self.segment_count -= len_before - queue.len();
            !queue.is_empty()
        });
        count_before - self.segment_count
    }
}
