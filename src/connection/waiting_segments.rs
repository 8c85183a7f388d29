//! Segments that a balancer can neither forward nor refuse yet.
//!
//! The load that it answers: everything starting at once. Callers send again after up to 1.6 s, and a
//! segment that comes 10 ms before its balancer can decide would cost its caller that long. Bounds:
//! [`MAX_WAITING`] segments, [`MAX_WAITING_PER_FLOW`] of one flow, the times below.

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;

/// Most segments that wait; at 1,234 bytes each they are 2.5 MB.
pub const MAX_WAITING: usize = 2_048;

/// Most segments of one flow that wait: what its caller has in flight at most.
pub const MAX_WAITING_PER_FLOW: usize = 16;

/// Longest wait of an opening, in milliseconds: its caller's last copy comes 400 ms after the one before.
const MAX_OPENING_WAIT_MS: u64 = 400;

/// Longest wait of another segment, in milliseconds: its caller sends it again by then.
const MAX_WAIT_MS: u64 = 1_600;

/// A segment that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingSegment {
    /// Its head.
    pub segment: Segment,
    /// All of it.
    pub datagram: Vec<u8>,
    queued_ms: u64,
}

impl WaitingSegment {
    fn has_expired(&self, now_ms: u64) -> bool {
        let max_wait_ms = if self.segment.opens { MAX_OPENING_WAIT_MS } else { MAX_WAIT_MS };
        now_ms.saturating_sub(self.queued_ms) >= max_wait_ms
    }

    /// Whether the caller has sent this again as `other`.
    fn is_retransmitted_by(&self, other: &Segment) -> bool {
        let is_same = self.segment.sequence == other.sequence
            && self.segment.payload_bytes == other.payload_bytes
            && self.segment.ends == other.ends;
        self.segment.opens || (is_same && self.segment.acknowledged == other.acknowledged)
    }
}

/// Segments that wait, by flow.
#[derive(Debug, Default)]
pub struct WaitingSegments {
    flows: IndexMap<FlowKey, Vec<WaitingSegment>>,
    segment_count: usize,
}

impl WaitingSegments {
    /// Nothing waits.
    pub fn new() -> WaitingSegments {
        WaitingSegments::default()
    }

    /// Segments that wait.
    pub fn len(&self) -> usize {
        self.segment_count
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.segment_count == 0
    }

    /// Lets a segment wait. Says whether there was room.
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

    /// Takes all segments of a flow.
    pub fn take_flow(&mut self, flow: &FlowKey) -> Vec<WaitingSegment> {
        let taken = self.flows.shift_remove(flow).unwrap_or_default();
        self.segment_count -= taken.len();
        taken
    }

    /// Takes the segments of at most `most` flows that `is_due` picks by their first one, those that
    /// have waited longest first.
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

    /// Drops what has waited too long, and says how many segments.
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
