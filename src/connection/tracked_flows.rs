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
const ENDED_MEMORY_MS: u64 = 5_000;

/// Time without a segment, in milliseconds, after which a caller no longer waits: it sends its request
/// again after 1.6 s at the latest.
pub const BUSY_MS: u64 = 2_000;

/// Time, in milliseconds, in which the first request of a flow that opens is expected: two round trips
/// between any two zones, and what a slow balancer adds.
const EXPECTED_MS: u64 = 100;

/// Bytes of a target's stream that a caller's first acknowledgement covers at most: what both ends have
/// in flight, as the platform bounds it for resets.
const MAX_FIRST_ACKNOWLEDGED: u32 = 76_800;

/// Idle time, in milliseconds, before which no flow is forgotten: the platform's `flow_ttl_s`, after
/// which the target may forget it too.
const MIN_IDLE_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, Default)]
struct HeldFlow {
    answered: bool,
    is_busy: bool,
    busy_since_ms: u64,
    /// Whether its first request is expected.
    is_expected: bool,
    caller_ended: bool,
    target_ended: bool,
    /// Position that the target's byte stream starts at, once it has accepted the opening.
    target_start: Option<u32>,
    /// Whether the caller has acknowledged that position.
    is_confirmed: bool,
    /// End of the caller's data so far, as a position in its byte stream.
    caller_end: Option<u32>,
    seen_ms: u64,
}

impl HeldFlow {
    /// Notes data of the caller, and says whether it is no copy of earlier data.
    fn take_data(&mut self, segment: &Segment) -> bool {
        let end = segment.sequence.wrapping_add(u32::from(segment.payload_bytes));
        let is_new = self.caller_end.is_none_or(|held| end.wrapping_sub(held) as i32 > 0);
        if is_new && segment.payload_bytes > 0 {
            self.caller_end = Some(end);
        }
        is_new && segment.payload_bytes > 0
    }

    fn has_ended(&self) -> bool {
        self.caller_ended && self.target_ended
    }
}

/// What a target's segment means for a caller that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It begins the answer, after this time in milliseconds.
    Begun {
        /// The time.
        waited_ms: u64,
    },
    /// It resets the flow instead.
    BrokenOff,
}

/// What became of a flow here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holding {
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
pub struct HeldFlows {
    flows: IndexMap<FlowKey, HeldFlow>,
    open: u32,
    busy: u32,
    expected: u32,
    /// Flows whose first request is or was expected, with the time until when.
    expected_until_ms: VecDeque<(FlowKey, u64)>,
}

impl HeldFlows {
    /// Holds nothing yet.
    pub fn new() -> HeldFlows {
        HeldFlows::default()
    }

    /// Flows that are offered or open.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Flows whose caller waits for an answer, and those that have only just opened and bring a request.
    ///
    /// The load that it answers: openings in a burst, as after a loss of power. Their requests come a
    /// round trip later, and without them a target would take them all.
    pub fn busy(&self) -> u32 {
        self.busy + self.expected
    }

    /// What is known of a flow.
    pub fn holding(&self, flow: &FlowKey) -> Holding {
        match self.flows.get(flow) {
            None => Holding::Unknown,
            Some(held) if held.has_ended() => Holding::Ended,
            Some(held) if held.answered => Holding::Held,
            Some(_) => Holding::Offered,
        }
    }

    /// Whether the flow was offered here and has opened elsewhere: the caller acknowledges what this
    /// target has not sent. Its target would reset the flow, not give the segment back.
    pub fn has_opened_elsewhere(&self, segment: &Segment) -> bool {
        let Some(held) = self.flows.get(&segment.flow) else {
            return false;
        };
        if segment.opens || held.is_confirmed || held.has_ended() {
            return false;
        }
        held.target_start
            .is_none_or(|start| segment.acknowledged.wrapping_sub(start) > MAX_FIRST_ACKNOWLEDGED)
    }

    /// Whether the caller has acknowledged the target on a flow.
    pub fn is_confirmed(&self, flow: &FlowKey) -> bool {
        self.flows.get(flow).is_some_and(|held| held.is_confirmed)
    }

    /// Notes a caller's segment that is given to the target.
    pub fn note_to_target(&mut self, segment: &Segment, now_ms: u64) {
        let is_known = self.flows.contains_key(&segment.flow);
        if !segment.opens && !is_known {
            return;
        }
        let begins = segment.opens && !is_known;
        let ends_wait = segment.payload_bytes > 0 || segment.resets;
        if begins {
            self.expected_until_ms.push_back((segment.flow, now_ms + EXPECTED_MS));
        }
        self.change(segment.flow, |held| {
            held.seen_ms = now_ms;
            held.is_expected = (held.is_expected || begins) && !ends_wait;
            held.is_confirmed |= !segment.opens;
            held.caller_ended |= segment.ends;
            if held.take_data(segment) && !held.is_busy {
                held.is_busy = true;
                held.busy_since_ms = now_ms;
            }
            if segment.resets {
                held.caller_ended = true;
                held.target_ended = true;
            }
        });
    }

    /// Notes a segment that the target sent on one of its flows. Returns what it means for the caller, where
    /// that one waits for an answer.
    pub fn note_from_target(&mut self, segment: &Segment, now_ms: u64) -> Option<Answer> {
        let mut answer = None;
        self.change(segment.flow, |held| {
            held.seen_ms = now_ms;
            if segment.accepts {
                held.target_start = Some(segment.sequence);
            } else {
                held.is_confirmed = true;
            }
            held.answered |= !segment.resets;
            held.is_expected &= !segment.resets;
            if segment.payload_bytes > 0 || segment.resets {
                answer = match segment.resets {
                    // What a caller sends after the end of a flow is reset by any target.
                    _ if !held.is_busy || held.target_ended => None,
                    true => Some(Answer::BrokenOff),
                    false => {
                        Some(Answer::Begun { waited_ms: now_ms.saturating_sub(held.busy_since_ms) })
                    }
                };
                held.is_busy = false;
            }
            held.target_ended |= segment.ends || segment.resets;
            held.caller_ended |= segment.resets;
        });
        answer
    }

    /// No longer expects requests that have not come in time.
    pub fn expire_expected(&mut self, now_ms: u64) {
        while let Some((flow, until_ms)) = self.expected_until_ms.front().copied()
            && until_ms <= now_ms
        {
            self.expected_until_ms.pop_front();
            if self.flows.contains_key(&flow) {
                self.change(flow, |held| held.is_expected = false);
            }
        }
    }

    /// Forgets a flow that the target gave back.
    pub fn forget(&mut self, flow: &FlowKey) {
        if let Some(held) = self.flows.swap_remove(flow) {
            self.count(&held, false);
        }
    }

    /// Forgets everything: the target has ended.
    pub fn clear(&mut self) {
        *self = HeldFlows::new();
    }

    /// Drops ended flows after a while, and others after `idle_ms` without a segment, or a minute. Returns
    /// how many requests have been left without an answer for [`BUSY_MS`].
    pub fn expire(&mut self, now_ms: u64, idle_ms: u64) -> usize {
        let is_over = |held: &HeldFlow| {
            let limit_ms =
                if held.has_ended() { ENDED_MEMORY_MS } else { idle_ms.max(MIN_IDLE_MS) };
            now_ms.saturating_sub(held.seen_ms) > limit_ms
        };
        let stuck: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, held)| held.is_busy && !held.has_ended())
            .filter(|(_, held)| now_ms.saturating_sub(held.seen_ms) > BUSY_MS)
            .map(|(flow, _)| *flow)
            .collect();
        for flow in &stuck {
            self.change(*flow, |held| held.is_busy = false);
        }
        let over: Vec<FlowKey> =
            self.flows.iter().filter(|(_, held)| is_over(held)).map(|(flow, _)| *flow).collect();
        for flow in over {
            self.forget(&flow);
        }
        stuck.len()
    }

    fn change(&mut self, flow: FlowKey, change: impl FnOnce(&mut HeldFlow)) {
        let mut held = match self.flows.get(&flow).copied() {
            Some(held) => {
                self.count(&held, false);
                held
            }
            None => HeldFlow::default(),
        };
        change(&mut held);
        self.count(&held, true);
        self.flows.insert(flow, held);
    }

    fn count(&mut self, held: &HeldFlow, add: bool) {
        let open = u32::from(!held.has_ended());
        let busy = u32::from(held.is_busy && !held.has_ended());
        let expected = u32::from(held.is_expected && !held.has_ended());
        if add {
            self.open += open;
            self.busy += busy;
            self.expected += expected;
        } else {
            self.open -= open;
            self.busy -= busy;
            self.expected -= expected;
        }
    }
}
