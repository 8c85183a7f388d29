//! Queue of segments that a balancer can neither forward nor refuse yet.
//!
//! It is designed for a start of all nodes at once. Callers retransmit after up to 1.6 s, so dropping a
//! segment that arrives 10 ms before its balancer can decide would delay its caller by that time. The queue
//! is bounded by [`MAX_WAITING`], [`MAX_WAITING_PER_FLOW`] and the maximum waiting times. Openings take a part
//! of it only, and established flows are released before them, so that a backlog of openings delays no open
//! flow.

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;

/// Maximum number of queued segments: 2.5 MB at 1,234 bytes each.
pub const MAX_WAITING: usize = 2_048;

/// Maximum number of flows with a queued opening. The rest of [`MAX_WAITING`] is left to established flows.
pub const MAX_WAITING_OPENINGS: usize = 1_536;

/// Maximum number of queued segments of one flow, which is the most that its caller has in flight.
pub const MAX_WAITING_PER_FLOW: usize = 16;

/// Maximum waiting time of an opening, in milliseconds: the caller's last retransmission follows 400 ms
/// after the one before it.
const MAX_OPENING_WAIT_MS: u64 = 400;

/// Maximum waiting time of any other segment, in milliseconds: its caller has retransmitted it by then.
const MAX_WAIT_MS: u64 = 1_600;

/// Order in which queued flows are released.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReleaseOrder {
    /// An established flow; these are released in the order in which they were queued.
    Established,
    /// An opening.
    Opening {
        /// Whether its answer can no longer meet the latency objective.
        is_late: bool,
        /// Priority of its class; the least urgent one without a class.
        priority: u32,
        /// Time at which the caller sent its first segment; 0 without a class.
        opened_ms: u64,
    },
}

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
    /// Number of flows whose first segment is an opening.
    opening_count: usize,
}

/// Whether the first of a flow's queued segments is its opening.
fn is_opening(queue: &[WaitingSegment]) -> bool {
    queue.first().is_some_and(|waiting| waiting.segment.opens)
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

    /// Whether segments of a flow are queued.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    /// Whether no further opening may be queued.
    pub fn is_full_of_openings(&self) -> bool {
        self.opening_count >= MAX_WAITING_OPENINGS
    }

    /// Queues a segment in place of the one that it retransmits, if any. Returns whether there was room.
    pub fn push(&mut self, segment: Segment, datagram: &[u8], now_ms: u64) -> bool {
        let is_full_of_openings = self.is_full_of_openings();
        let queue = self.flows.entry(segment.flow).or_default();
        let (len_before, was_opening) = (queue.len(), is_opening(queue));
        queue.retain(|waiting| !waiting.is_retransmitted_by(&segment));
        self.segment_count -= len_before - queue.len();
        let has_room = queue.len() < MAX_WAITING_PER_FLOW
            && self.segment_count < MAX_WAITING
            && (was_opening || !segment.opens || !is_full_of_openings);
        if has_room {
            let datagram = datagram.to_vec();
            queue.push(WaitingSegment { segment, datagram, queued_ms: now_ms });
            self.segment_count += 1;
        }
        self.opening_count += usize::from(is_opening(queue));
        self.opening_count -= usize::from(was_opening);
        if queue.is_empty() {
            self.flows.shift_remove(&segment.flow);
        }
        has_room
    }

    /// Removes and returns all segments of a flow.
    pub fn take_flow(&mut self, flow: &FlowKey) -> Vec<WaitingSegment> {
        let taken = self.flows.shift_remove(flow).unwrap_or_default();
        self.segment_count -= taken.len();
        self.opening_count -= usize::from(is_opening(&taken));
        taken
    }

    /// Flows in the order of `release_order`, which gets the first segment of each; among equal ones the flow
    /// that was queued first comes first.
    pub fn in_order(&self, release_order: impl Fn(&Segment) -> ReleaseOrder) -> Vec<FlowKey> {
        let first = |(flow, queue): (&FlowKey, &Vec<WaitingSegment>)| {
            Some((release_order(&queue.first()?.segment), *flow))
        };
        let mut flows: Vec<(ReleaseOrder, FlowKey)> = self.flows.iter().filter_map(first).collect();
        flows.sort_by_key(|(order, _)| *order);
        flows.into_iter().map(|(_, flow)| flow).collect()
    }

    /// Removes and returns the segments of up to `max_flows` of these flows whose first segment satisfies
    /// `is_due`.
    pub fn take_due(
        &mut self,
        max_flows: usize,
        flows: &[FlowKey],
        mut is_due: impl FnMut(&Segment) -> bool,
    ) -> Vec<WaitingSegment> {
        let first = |flow: &FlowKey| Some(self.flows.get(flow)?.first()?.segment);
        let is_due = |flow: &&FlowKey| first(flow).is_some_and(|segment| is_due(&segment));
        let due: Vec<FlowKey> = flows.iter().filter(is_due).take(max_flows).copied().collect();
        if due.is_empty() {
            return Vec::new();
        }
        let mut taken: IndexMap<FlowKey, Vec<WaitingSegment>> =
            due.iter().map(|flow| (*flow, Vec::new())).collect();
        // One pass instead of a removal for each flow, which moves all flows behind it.
        self.flows.retain(|flow, queue| match taken.get_mut(flow) {
            Some(taken) => {
                *taken = std::mem::take(queue);
                false
            }
            None => true,
        });
        for queue in taken.values() {
            self.segment_count -= queue.len();
            self.opening_count -= usize::from(is_opening(queue));
        }
        taken.into_values().flatten().collect()
    }

    /// Drops segments that have exceeded their maximum waiting time and returns their number.
    pub fn expire(&mut self, now_ms: u64) -> usize {
        let count_before = self.segment_count;
        self.flows.retain(|_, queue| {
            let (len_before, was_opening) = (queue.len(), is_opening(queue));
            queue.retain(|waiting| !waiting.has_expired(now_ms));
            self.segment_count -= len_before - queue.len();
            self.opening_count += usize::from(is_opening(queue));
            self.opening_count -= usize::from(was_opening);
            !queue.is_empty()
        });
        count_before - self.segment_count
    }
}
