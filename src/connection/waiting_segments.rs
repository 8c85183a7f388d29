//! Segments that a balancer can neither forward nor refuse yet.
//!
//! The load that it answers: everything starting at once. Callers send again after up to 1.6 s, and a
//! segment that comes 10 ms before its balancer can decide would cost its caller that long. Bounds:
//! [`MAX_WAITING`] segments, [`MAX_OF_FLOW`] of one flow, the times below.

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;

/// Most segments that wait; at 1,234 bytes each they are 2.5 MB.
pub const MAX_WAITING: usize = 2_048;

/// Most segments of one flow that wait: what its caller has in flight at most.
pub const MAX_OF_FLOW: usize = 16;

/// Longest wait of an opening, in milliseconds: its caller's last copy comes 400 ms after the one before.
const OPENING_WAIT_MS: u64 = 400;

/// Longest wait of another segment, in milliseconds: its caller sends it again by then.
const WAIT_MS: u64 = 1_600;

/// A segment that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingSegment {
    /// Its head.
    pub segment: Segment,
    /// All of it.
    pub datagram: Vec<u8>,
    since_ms: u64,
}

impl WaitingSegment {
    fn is_over(&self, now_ms: u64) -> bool {
        let longest_ms = if self.segment.opens { OPENING_WAIT_MS } else { WAIT_MS };
        now_ms.saturating_sub(self.since_ms) >= longest_ms
    }

    /// Whether the caller has sent this again as `other`.
    fn is_repeated_by(&self, other: &Segment) -> bool {
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
    waiting: usize,
}

impl WaitingSegments {
    /// Nothing waits.
    pub fn new() -> WaitingSegments {
        WaitingSegments::default()
    }

    /// Segments that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Lets a segment wait. Says whether there was room.
    pub fn put(&mut self, segment: Segment, datagram: &[u8], now_ms: u64) -> bool {
        let of_flow = self.flows.entry(segment.flow).or_default();
        let before = of_flow.len();
        of_flow.retain(|held| !held.is_repeated_by(&segment));
        self.waiting -= before - of_flow.len();
        let has_room = of_flow.len() < MAX_OF_FLOW && self.waiting < MAX_WAITING;
        if has_room {
            let datagram = datagram.to_vec();
            of_flow.push(WaitingSegment { segment, datagram, since_ms: now_ms });
            self.waiting += 1;
        } else if of_flow.is_empty() {
            self.flows.shift_remove(&segment.flow);
        }
        has_room
    }

    /// Takes all segments of a flow.
    pub fn take_flow(&mut self, flow: &FlowKey) -> Vec<WaitingSegment> {
        let taken = self.flows.shift_remove(flow).unwrap_or_default();
        self.waiting -= taken.len();
        taken
    }

    /// Takes the segments of at most `most` flows that `is_due` picks by their first one, those that
    /// have waited longest first.
    pub fn take_due(
        &mut self,
        most: usize,
        mut is_due: impl FnMut(&Segment) -> bool,
    ) -> Vec<WaitingSegment> {
        let due: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, held)| held.first().is_some_and(|held| is_due(&held.segment)))
            .map(|(flow, _)| *flow)
            .take(most)
            .collect();
        due.iter().flat_map(|flow| self.take_flow(flow)).collect()
    }

    /// Drops what has waited too long, and says how many segments.
    pub fn expire(&mut self, now_ms: u64) -> usize {
        let before = self.waiting;
        self.flows.retain(|_, of_flow| {
            let held = of_flow.len();
            of_flow.retain(|held| !held.is_over(now_ms));
            self.waiting -= held - of_flow.len();
            !of_flow.is_empty()
        });
        before - self.waiting
    }
}
