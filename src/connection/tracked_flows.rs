//! The flows that an agent sees at its target, from the segments that it passes both ways.
//!
//! Flows and busy slots are counted here for placing. Nothing is decided by the table that must be
//! right: the target itself gives back what it does not hold.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;

/// How long an ended flow is remembered, in milliseconds: late copies of its last segments, sent again
/// for up to 1.6 s, are not searched for elsewhere.
const ENDED_RETENTION_MS: u64 = 5_000;

/// Time without a segment, in milliseconds, after which a caller no longer waits: it sends its request
/// again after 1.6 s at the latest.
pub const BUSY_TIMEOUT_MS: u64 = 2_000;

/// Time, in milliseconds, in which the first request of a flow that opens is expected: two round trips
/// between any two zones, and what a slow balancer adds.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 100;

/// Bytes of a target's stream that a caller's first acknowledgement covers at most: what both ends have
/// in flight, as the platform bounds it for resets.
const MAX_FIRST_ACKNOWLEDGED: u32 = 76_800;

/// Idle time, in milliseconds, before which no flow is forgotten: the platform's `flow_ttl_s`, after
/// which the target may forget it too.
const MIN_IDLE_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, Default)]
struct TrackedFlow {
    has_target_replied: bool,
    is_busy: bool,
    busy_since_ms: u64,
    /// Whether its first request is expected.
    is_request_expected: bool,
    caller_ended: bool,
    target_ended: bool,
    /// Position that the target's byte stream starts at, once it has accepted the opening.
    target_initial_sequence: Option<u32>,
    /// Whether the caller has acknowledged that position.
    is_confirmed: bool,
    /// End of the caller's data so far, as a position in its byte stream.
    caller_data_end: Option<u32>,
    last_seen_ms: u64,
}

impl TrackedFlow {
    /// Notes data of the caller, and says whether it is no copy of earlier data.
    fn note_caller_data(&mut self, segment: &Segment) -> bool {
        let end = segment.sequence.wrapping_add(u32::from(segment.payload_bytes));
        let is_new =
            self.caller_data_end.is_none_or(|tracked| end.wrapping_sub(tracked) as i32 > 0);
        if is_new && segment.payload_bytes > 0 {
            self.caller_data_end = Some(end);
        }
        is_new && segment.payload_bytes > 0
    }

    fn has_ended(&self) -> bool {
        self.caller_ended && self.target_ended
    }
}

/// What a target's segment means for a caller that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEvent {
    /// It begins the answer, after this time in milliseconds.
    Started {
        /// The time.
        latency_ms: u64,
    },
    /// It resets the flow instead.
    Aborted,
}

/// What became of a flow here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowState {
    /// Never seen, or long ago.
    Unknown,
    /// Offered to the target, which has not answered yet.
    Offered,
    /// The target holds it.
    Held,
    /// Both ends have ended it.
    Ended,
}

/// Flows at one target.
#[derive(Debug, Default)]
pub struct TrackedFlows {
    flows: IndexMap<FlowKey, TrackedFlow>,
    open: u32,
    busy: u32,
    expected_requests: u32,
    /// Flows whose first request is or was expected, with the time until when.
    expected_requests_until_ms: VecDeque<(FlowKey, u64)>,
}

impl TrackedFlows {
    /// Holds nothing yet.
    pub fn new() -> TrackedFlows {
        TrackedFlows::default()
    }

    /// Flows that are offered or open.
    pub fn open_count(&self) -> u32 {
        self.open
    }

    /// Flows whose caller waits for an answer, and those that have only just opened and bring a request.
    ///
    /// The load that it answers: openings in a burst, as after a loss of power. Their requests come a
    /// round trip later, and without them a target would take them all.
    pub fn busy_count(&self) -> u32 {
        self.busy + self.expected_requests
    }

    /// What is known of a flow.
    pub fn flow_state(&self, flow: &FlowKey) -> FlowState {
        match self.flows.get(flow) {
            None => FlowState::Unknown,
            Some(tracked) if tracked.has_ended() => FlowState::Ended,
            Some(tracked) if tracked.has_target_replied => FlowState::Held,
            Some(_) => FlowState::Offered,
        }
    }

    /// Whether the flow was offered here and has opened elsewhere: the caller acknowledges what this
    /// target has not sent. Its target would reset the flow, not give the segment back.
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

    /// Whether the caller has acknowledged the target on a flow.
    pub fn is_confirmed(&self, flow: &FlowKey) -> bool {
        self.flows.get(flow).is_some_and(|tracked| tracked.is_confirmed)
    }

    /// Notes a caller's segment that is given to the target.
    pub fn note_caller_segment(&mut self, segment: &Segment, now_ms: u64) {
        let is_known = self.flows.contains_key(&segment.flow);
        if !segment.opens && !is_known {
            return;
        }
        let begins = segment.opens && !is_known;
        let ends_wait = segment.payload_bytes > 0 || segment.resets;
        if begins {
            self.expected_requests_until_ms
                .push_back((segment.flow, now_ms + FIRST_REQUEST_TIMEOUT_MS));
        }
        self.update(segment.flow, |tracked| {
            tracked.last_seen_ms = now_ms;
            tracked.is_request_expected = (tracked.is_request_expected || begins) && !ends_wait;
            tracked.is_confirmed |= !segment.opens;
            tracked.caller_ended |= segment.ends;
            if tracked.note_caller_data(segment) && !tracked.is_busy {
                tracked.is_busy = true;
                tracked.busy_since_ms = now_ms;
            }
            if segment.resets {
                tracked.caller_ended = true;
                tracked.target_ended = true;
            }
        });
    }

    /// Notes a segment that the target sent on one of its flows. Returns what it means for the caller, where
    /// that one waits for an answer.
    pub fn note_target_segment(&mut self, segment: &Segment, now_ms: u64) -> Option<AnswerEvent> {
        let mut answer = None;
        self.update(segment.flow, |tracked| {
            tracked.last_seen_ms = now_ms;
            if segment.accepts {
                tracked.target_initial_sequence = Some(segment.sequence);
            } else {
                tracked.is_confirmed = true;
            }
            tracked.has_target_replied |= !segment.resets;
            tracked.is_request_expected &= !segment.resets;
            if segment.payload_bytes > 0 || segment.resets {
                answer = match segment.resets {
                    // What a caller sends after the end of a flow is reset by any target.
                    _ if !tracked.is_busy || tracked.target_ended => None,
                    true => Some(AnswerEvent::Aborted),
                    false => Some(AnswerEvent::Started {
                        latency_ms: now_ms.saturating_sub(tracked.busy_since_ms),
                    }),
                };
                tracked.is_busy = false;
            }
            tracked.target_ended |= segment.ends || segment.resets;
            tracked.caller_ended |= segment.resets;
        });
        answer
    }

    /// No longer expects requests that have not come in time.
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

    /// Forgets a flow that the target gave back.
    pub fn forget(&mut self, flow: &FlowKey) {
        if let Some(tracked) = self.flows.swap_remove(flow) {
            self.adjust_counts(&tracked, false);
        }
    }

    /// Forgets everything: the target has ended.
    pub fn clear(&mut self) {
        *self = TrackedFlows::new();
    }

    /// Drops ended flows after a while, and others after `idle_ms` without a segment, or a minute. Returns
    /// how many requests have been left without an answer for [`BUSY_TIMEOUT_MS`].
    pub fn expire(&mut self, now_ms: u64, idle_ms: u64) -> usize {
        let has_expired = |tracked: &TrackedFlow| {
            let limit_ms =
                if tracked.has_ended() { ENDED_RETENTION_MS } else { idle_ms.max(MIN_IDLE_MS) };
            now_ms.saturating_sub(tracked.last_seen_ms) > limit_ms
        };
        let unanswered: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, tracked)| tracked.is_busy && !tracked.has_ended())
            .filter(|(_, tracked)| now_ms.saturating_sub(tracked.last_seen_ms) > BUSY_TIMEOUT_MS)
            .map(|(flow, _)| *flow)
            .collect();
        for flow in &unanswered {
            self.update(*flow, |tracked| tracked.is_busy = false);
        }
        let expired: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, tracked)| has_expired(tracked))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in expired {
            self.forget(&flow);
        }
        unanswered.len()
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
        let busy = u32::from(tracked.is_busy && !tracked.has_ended());
        let expected = u32::from(tracked.is_request_expected && !tracked.has_ended());
        if add {
            self.open += open;
            self.busy += busy;
            self.expected_requests += expected;
        } else {
            self.open -= open;
            self.busy -= busy;
            self.expected_requests -= expected;
        }
    }
}
