//! Connection tracking of the flows at an agent's target, from the segments of both directions.
//!
//! The counts of flows and busy slots are used to place new flows. The table need not be exact: the target
//! itself bounces segments of flows that it does not hold.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::offering;
use crate::connection::request_class::PRIORITY_LEVELS;
use crate::connection::request_class::RequestClass;
use crate::connection::segment::Segment;

/// Time for which an ended flow is retained, in milliseconds, so that late retransmissions of its last
/// segments, which follow for up to 1.6 s, do not start a search.
const ENDED_RETENTION_MS: u64 = 5_000;

/// Time without a segment, in milliseconds, after which a caller has stopped waiting for its answer: a
/// waiting caller retransmits its request after 1.6 s at the latest.
pub const BUSY_TIMEOUT_MS: u64 = 2_000;

/// Time within which the first request of a new flow is expected, in milliseconds: two round trips between
/// any two zones, plus the delay of a slow balancer.
pub const FIRST_REQUEST_TIMEOUT_MS: u64 = 100;

/// Longest time between an opening and the first request of its flow, in milliseconds, for which the age of that
/// request includes the opening: the time in which it is expected, and one retransmission after 200 ms. The first
/// request of a flow that was opened in advance comes later, and its caller waits only since then.
const MAX_OPENING_TO_REQUEST_MS: u64 = FIRST_REQUEST_TIMEOUT_MS + 200;

/// Maximum number of bytes of the target's stream that a caller's first acknowledgement can cover: the data
/// in flight at both ends, as the platform limits it for resets.
const MAX_FIRST_ACKNOWLEDGED: u32 = 76_800;

/// Minimum idle time before a flow is removed, in milliseconds: the platform's `flow_ttl_s`, after which
/// the target may drop the flow too.
const MIN_IDLE_MS: u64 = 60_000;

/// Opening segments of a flow.
#[derive(Clone, Copy, Debug)]
struct OpeningTimes {
    /// Time at which the caller sent the first one of its attempt, in milliseconds.
    first_ms: u64,
    /// Time at which one was last forwarded to the target, in milliseconds.
    forwarded_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct TrackedFlow {
    has_target_replied: bool,
    /// Whether a request is in progress.
    is_busy: bool,
    busy_since_ms: u64,
    /// Whether the request in progress counts against the start limit.
    occupies_slot: bool,
    /// Class of the request in progress or expected; `None` if its route has none.
    class: Option<RequestClass>,
    /// `None` if no opening was forwarded.
    opening: Option<OpeningTimes>,
    /// Whether the flow is new and its first request has not arrived yet.
    is_request_expected: bool,
    has_caller_ended: bool,
    has_target_ended: bool,
    /// Initial sequence number of the target, once it has accepted the opening.
    target_initial_sequence: Option<u32>,
    /// Whether the caller has acknowledged that number, which any segment after the handshake implies.
    is_confirmed: bool,
    /// Sequence number after the last byte of the caller's data so far.
    caller_data_end: Option<u32>,
    /// Sequence number up to which the caller has acknowledged the target's data.
    acknowledged: Option<u32>,
    last_seen_ms: u64,
}

impl TrackedFlow {
    /// Priority level at which its requests count. Requests without a class are not queued, so they get slots
    /// before all others.
    fn level(&self) -> usize {
        self.class.map_or(0, |class| class.level())
    }

    /// Whether the segment has data of the caller that is not a retransmission.
    fn has_new_data(&self, segment: &Segment) -> bool {
        let end = segment.sequence.wrapping_add(u32::from(segment.payload_bytes));
        let is_new =
            self.caller_data_end.is_none_or(|last_end| end.wrapping_sub(last_end) as i32 > 0);
        is_new && segment.payload_bytes > 0
    }

    /// Records data of the caller. Returns whether the segment has data that is not a retransmission.
    fn note_caller_data(&mut self, segment: &Segment) -> bool {
        let is_new = self.has_new_data(segment);
        if is_new {
            let end = segment.sequence.wrapping_add(u32::from(segment.payload_bytes));
            self.caller_data_end = Some(end);
        }
        is_new
    }

    /// Records what the caller has acknowledged.
    fn note_acknowledged(&mut self, segment: &Segment) {
        let is_later = |known: u32| segment.acknowledged.wrapping_sub(known) as i32 > 0;
        if !segment.opens && !segment.resets && self.acknowledged.is_none_or(is_later) {
            self.acknowledged = Some(segment.acknowledged);
        }
    }

    /// Whether the target sends data again that the caller already has. A caller acknowledges an answer with the
    /// next request at the latest, and the target may not have received that yet.
    fn is_acknowledged_data(&self, segment: &Segment) -> bool {
        let end = segment.sequence.wrapping_add(u32::from(segment.payload_bytes));
        let is_acknowledged = |known: u32| known.wrapping_sub(end) as i32 >= 0;
        segment.payload_bytes > 0 && self.acknowledged.is_some_and(is_acknowledged)
    }

    /// Whether the target accepts another flow from the same port with this segment.
    fn is_replaced_by(&self, segment: &Segment) -> bool {
        segment.accepts && self.target_initial_sequence != Some(segment.sequence)
    }

    fn has_ended(&self) -> bool {
        self.has_caller_ended && self.has_target_ended
    }

    /// Whether a request is in progress on a flow that has not ended.
    fn has_request(&self) -> bool {
        self.is_busy && !self.has_ended()
    }
}

/// Effect of a target's segment on a request that is waiting for its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEvent {
    /// The answer has started.
    Started {
        /// Time since the request, in milliseconds.
        latency_ms: u64,
    },
    /// The target has reset the flow without answering.
    Aborted,
}

/// State of a flow at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowState {
    /// Not in the table.
    Unknown,
    /// Offered to the target, which has not replied yet.
    Offered,
    /// Held by the target.
    Held,
    /// Closed by both ends or reset.
    Ended,
}

/// Table of the flows at one target.
#[derive(Debug, Default)]
pub struct TrackedFlows {
    flows: IndexMap<FlowKey, TrackedFlow>,
    open: u32,
    busy: u32,
    expected_requests: u32,
    /// Requests in progress that count against the start limit.
    occupied_slots: u32,
    /// Requests in progress or expected, by priority level.
    by_level: [u32; PRIORITY_LEVELS],
    /// New flows in order of the time until which their first request is expected.
    expected_requests_until_ms: VecDeque<(FlowKey, u64)>,
}

impl TrackedFlows {
    /// Creates an empty table.
    pub fn new() -> TrackedFlows {
        TrackedFlows::default()
    }

    /// Number of flows that are offered or held.
    pub fn open_count(&self) -> u32 {
        self.open
    }

    /// Number of flows with a request in progress, or so new that their first request is still expected.
    ///
    /// New flows count because openings come in bursts, for example after a power failure, and their
    /// requests follow one round trip later. Otherwise one target would accept the whole burst.
    pub fn busy_count(&self) -> u32 {
        self.busy + self.expected_requests
    }

    /// Number of requests of each priority level that are in progress or expected. Those without a class count as
    /// the most urgent level.
    pub fn count_by_level(&self) -> [u32; PRIORITY_LEVELS] {
        self.by_level
    }

    /// Number of requests that the target is working on: those that were forwarded to it within the time that
    /// [`TrackedFlows::expire`] is given and are not answered, whether or not their callers still retransmit them.
    pub fn occupied_slots(&self) -> u32 {
        self.occupied_slots
    }

    /// Whether a caller's segment begins a request: it has new data, and no request is in progress on its flow.
    pub fn begins_request(&self, segment: &Segment) -> bool {
        self.flows.get(&segment.flow).is_some_and(|tracked| {
            !tracked.is_busy && !tracked.has_ended() && tracked.has_new_data(segment)
        })
    }

    /// Sets the class of the flow's requests.
    pub fn set_class(&mut self, flow: &FlowKey, class: Option<RequestClass>) {
        if self.flows.contains_key(flow) {
            self.update(*flow, |tracked| tracked.class = class);
        }
    }

    /// Records that an opening was forwarded, `waited_ms` after the first one of its flow as its balancer knows.
    /// An earlier opening of another attempt at the same port does not count.
    pub fn note_opening_age(&mut self, segment: &Segment, waited_ms: u64, now_ms: u64) {
        let first_ms = now_ms.saturating_sub(opening_age_ms(segment, waited_ms));
        if self.flows.contains_key(&segment.flow) {
            self.update(segment.flow, |tracked| {
                let is_same_attempt = |earlier: &OpeningTimes| {
                    now_ms.saturating_sub(earlier.first_ms) <= offering::ATTEMPT_MS
                };
                let earlier = tracked.opening.filter(is_same_attempt);
                let first_ms = earlier.map_or(first_ms, |earlier| first_ms.min(earlier.first_ms));
                tracked.opening = Some(OpeningTimes { first_ms, forwarded_ms: now_ms });
            });
        }
    }

    /// Time from which the age of a request is measured that arrives now: the caller's first opening segment for
    /// the first request of a flow, and its arrival for the others.
    pub fn request_since_ms(&self, flow: &FlowKey, now_ms: u64) -> u64 {
        let tracked = self.flows.get(flow).filter(|tracked| tracked.caller_data_end.is_none());
        let opening = tracked.and_then(|tracked| tracked.opening);
        let is_recent = |opening: &OpeningTimes| {
            now_ms.saturating_sub(opening.forwarded_ms) <= MAX_OPENING_TO_REQUEST_MS
        };
        opening.filter(is_recent).map_or(now_ms, |opening| opening.first_ms)
    }

    /// Records a caller's segment that is queued. It confirms the flow, and its request is no longer expected but
    /// queued.
    pub fn note_queued_segment(&mut self, segment: &Segment, now_ms: u64) {
        if self.flows.contains_key(&segment.flow) {
            self.update(segment.flow, |tracked| {
                tracked.last_seen_ms = now_ms;
                tracked.is_request_expected = false;
                tracked.is_confirmed = true;
            });
        }
    }

    /// Returns the state of a flow.
    pub fn flow_state(&self, flow: &FlowKey) -> FlowState {
        match self.flows.get(flow) {
            None => FlowState::Unknown,
            Some(tracked) if tracked.has_ended() => FlowState::Ended,
            Some(tracked) if tracked.has_target_replied => FlowState::Held,
            Some(_) => FlowState::Offered,
        }
    }

    /// Whether the target accepts another flow from the same port with this segment, while the earlier one is tracked.
    pub fn is_replaced_by(&self, segment: &Segment) -> bool {
        self.flows.get(&segment.flow).is_some_and(|tracked| tracked.is_replaced_by(segment))
    }

    /// Whether a request of the flow is in progress.
    pub fn is_busy(&self, flow: &FlowKey) -> bool {
        self.flows.get(flow).is_some_and(TrackedFlow::has_request)
    }

    /// Whether the flow was offered to this target but opened at another one: the caller acknowledges data
    /// that this target has not sent. This target would reset the flow instead of bouncing the segment.
    pub fn is_open_elsewhere(&self, segment: &Segment) -> bool {
        let Some(tracked) = self.flows.get(&segment.flow) else {
            return false;
        };
        if segment.opens || tracked.is_confirmed || tracked.has_ended() {
            return false;
        }
        tracked
            .target_initial_sequence
            .is_none_or(|start| segment.acknowledged.wrapping_sub(start) > MAX_FIRST_ACKNOWLEDGED)
    }

    /// Whether the caller has acknowledged this target's acceptance of the flow.
    pub fn is_confirmed(&self, flow: &FlowKey) -> bool {
        self.flows.get(flow).is_some_and(|tracked| tracked.is_confirmed)
    }

    /// Records a caller's segment that is forwarded to the target.
    pub fn note_caller_segment(&mut self, segment: &Segment, now_ms: u64) {
        let is_known = self.flows.contains_key(&segment.flow);
        if !segment.opens && !is_known {
            return;
        }
        let is_new_flow = segment.opens && !is_known;
        let has_request_or_reset = segment.payload_bytes > 0 || segment.resets;
        if is_new_flow {
            self.expected_requests_until_ms
                .push_back((segment.flow, now_ms + FIRST_REQUEST_TIMEOUT_MS));
        }
        self.update(segment.flow, |tracked| {
            tracked.last_seen_ms = now_ms;
            tracked.is_request_expected =
                (tracked.is_request_expected || is_new_flow) && !has_request_or_reset;
            tracked.is_confirmed |= !segment.opens;
            tracked.has_caller_ended |= segment.ends;
            tracked.note_acknowledged(segment);
            if tracked.note_caller_data(segment) && !tracked.is_busy {
                tracked.is_busy = true;
                tracked.occupies_slot = true;
                tracked.busy_since_ms = now_ms;
            }
            if segment.resets {
                tracked.has_caller_ended = true;
                tracked.has_target_ended = true;
            }
        });
    }

    /// Records a segment that the target sent. Returns its effect on the request in progress, if any.
    pub fn note_target_segment(&mut self, segment: &Segment, now_ms: u64) -> Option<AnswerEvent> {
        let mut answer = None;
        self.update(segment.flow, |tracked| {
            tracked.last_seen_ms = now_ms;
            if segment.accepts {
                if tracked.is_replaced_by(segment) {
                    // The sequence numbers are unrelated to those before.
                    tracked.acknowledged = None;
                }
                tracked.target_initial_sequence = Some(segment.sequence);
            } else {
                tracked.is_confirmed = true;
            }
            tracked.has_target_replied |= !segment.resets;
            tracked.is_request_expected &= !segment.resets;
            let has_answer = segment.payload_bytes > 0 && !tracked.is_acknowledged_data(segment);
            if has_answer || segment.resets {
                answer = match segment.resets {
                    // Any target resets a flow on which the caller sends data after its end.
                    _ if !tracked.is_busy || tracked.has_target_ended => None,
                    true => Some(AnswerEvent::Aborted),
                    false => Some(AnswerEvent::Started {
                        latency_ms: now_ms.saturating_sub(tracked.busy_since_ms),
                    }),
                };
                tracked.is_busy = false;
                tracked.occupies_slot = false;
            }
            tracked.has_target_ended |= segment.ends || segment.resets;
            tracked.has_caller_ended |= segment.resets;
        });
        answer
    }

    /// Stops counting first requests that have not arrived in time.
    pub fn expire_expected_requests(&mut self, now_ms: u64) {
        while let Some((flow, until_ms)) = self.expected_requests_until_ms.front().copied()
            && until_ms <= now_ms
        {
            self.expected_requests_until_ms.pop_front();
            if self.flows.contains_key(&flow) {
                self.update(flow, |tracked| tracked.is_request_expected = false);
            }
        }
    }

    /// Removes a flow, for example one whose segment the target has bounced.
    pub fn remove(&mut self, flow: &FlowKey) {
        if let Some(tracked) = self.flows.swap_remove(flow) {
            self.adjust_counts(&tracked, false);
        }
    }

    /// Removes all flows, as the target has ended.
    pub fn clear(&mut self) {
        *self = TrackedFlows::new();
    }

    /// Removes ended flows after `ENDED_RETENTION_MS`, and others after `idle_ms`, but at least
    /// `MIN_IDLE_MS`, without a segment. Returns the flows whose requests have just been counted as
    /// unanswered, [`BUSY_TIMEOUT_MS`] after the last segment. Requests without an answer no longer occupy a slot after
    /// `slot_timeout_ms`.
    pub fn expire(&mut self, now_ms: u64, idle_ms: u64, slot_timeout_ms: u64) -> Vec<FlowKey> {
        let has_expired = |tracked: &TrackedFlow| {
            let limit_ms =
                if tracked.has_ended() { ENDED_RETENTION_MS } else { idle_ms.max(MIN_IDLE_MS) };
            now_ms.saturating_sub(tracked.last_seen_ms) > limit_ms
        };
        let unanswered: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, tracked)| tracked.has_request())
            .filter(|(_, tracked)| now_ms.saturating_sub(tracked.last_seen_ms) > BUSY_TIMEOUT_MS)
            .map(|(flow, _)| *flow)
            .collect();
        for flow in &unanswered {
            self.update(*flow, |tracked| tracked.is_busy = false);
        }
        let stalled: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, tracked)| tracked.occupies_slot)
            .filter(|(_, tracked)| now_ms.saturating_sub(tracked.busy_since_ms) > slot_timeout_ms)
            .map(|(flow, _)| *flow)
            .collect();
        for flow in stalled {
            self.update(flow, |tracked| tracked.occupies_slot = false);
        }
        let expired: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, tracked)| has_expired(tracked))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in expired {
            self.remove(&flow);
        }
        unanswered
    }

    fn update(&mut self, flow: FlowKey, change: impl FnOnce(&mut TrackedFlow)) {
        let mut tracked = match self.flows.get(&flow).copied() {
            Some(tracked) => {
                self.adjust_counts(&tracked, false);
                tracked
            }
            None => TrackedFlow::default(),
        };
        change(&mut tracked);
        self.adjust_counts(&tracked, true);
        self.flows.insert(flow, tracked);
    }

    fn adjust_counts(&mut self, tracked: &TrackedFlow, add: bool) {
        let open = u32::from(!tracked.has_ended());
        let busy = u32::from(tracked.has_request());
        let expected = u32::from(tracked.is_request_expected && !tracked.has_ended());
        let occupied = u32::from(tracked.occupies_slot && !tracked.has_ended());
        let at_level = &mut self.by_level[tracked.level()];
        if add {
            self.open += open;
            self.busy += busy;
            self.expected_requests += expected;
            self.occupied_slots += occupied;
            *at_level += busy + expected;
        } else {
            self.open -= open;
            self.busy -= busy;
            self.expected_requests -= expected;
            self.occupied_slots -= occupied;
            *at_level -= busy + expected;
        }
    }
}

/// Time since the caller's first opening segment of a flow, in milliseconds, from the number of this segment and the
/// time that its balancer knows of. A longer time than an attempt takes is that of an earlier flow from the same port.
pub fn opening_age_ms(segment: &Segment, waited_ms: u64) -> u64 {
    offering::min_age_ms(segment.retransmission).max(waited_ms).min(offering::ATTEMPT_MS)
}
