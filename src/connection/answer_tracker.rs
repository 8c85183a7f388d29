//! Answers of a target as the headers of their segments show them: latency until the start, length, and whether
//! the target closes the flow.

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::request_class::RequestClass;
use crate::connection::segment::Segment;

/// Time without a segment of its flow, in milliseconds, after which an answer counts as complete. A lost segment
/// of an answer is retransmitted after 200 ms.
const ANSWER_QUIET_MS: u64 = 500;

/// Class and zone of the requests of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestOrigin {
    /// Class of the flow's route, by the last segment that had one.
    pub class: RequestClass,
    /// Hash of the caller's availability zone; 0 if unknown.
    pub zone: u32,
}

/// What is visible of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Time from the request to the start of the answer, in milliseconds.
    pub latency_ms: u64,
    /// Length of the answer.
    pub bytes: u32,
    /// Whether the target has closed the flow, and the caller had not done so before.
    pub closes_flow: bool,
}

/// An answer that is complete, or whose target has paused for `ANSWER_QUIET_MS`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompletedAnswer {
    /// Class and zone of the request.
    pub origin: RequestOrigin,
    /// The answer.
    pub answer: Answer,
}

#[derive(Clone, Copy, Debug)]
struct FlowAnswers {
    origin: RequestOrigin,
    /// Answer in progress.
    running: Option<Answer>,
    /// Sequence number after the last byte of the target's data so far.
    target_data_end: Option<u32>,
    /// Sequence number after the last byte of the caller's data so far.
    caller_data_end: Option<u32>,
    has_caller_ended: bool,
    last_segment_ms: u64,
}

impl FlowAnswers {
    fn new(origin: RequestOrigin, now_ms: u64) -> FlowAnswers {
        FlowAnswers {
            origin,
            running: None,
            target_data_end: None,
            caller_data_end: None,
            has_caller_ended: false,
            last_segment_ms: now_ms,
        }
    }

    fn complete(&mut self) -> Option<CompletedAnswer> {
        let origin = self.origin;
        self.running.take().map(|answer| CompletedAnswer { origin, answer })
    }
}

/// Moves `end` to the end of the segment's data, and returns by how many bytes it has moved.
fn advance(end: &mut Option<u32>, segment: &Segment) -> u32 {
    let segment_end = segment.sequence.wrapping_add(u32::from(segment.payload_bytes));
    let start = end.unwrap_or(segment.sequence);
    let new_bytes = segment_end.wrapping_sub(start);
    if segment.payload_bytes == 0 || new_bytes as i32 <= 0 {
        return 0;
    }
    *end = Some(segment_end);
    new_bytes
}

/// The flows of routes with a class, and the answers in progress on them.
#[derive(Debug, Default)]
pub struct AnswerTracker {
    flows: IndexMap<FlowKey, FlowAnswers>,
}

impl AnswerTracker {
    /// Creates a tracker without flows.
    pub fn new() -> AnswerTracker {
        AnswerTracker::default()
    }

    /// Class and zone of a flow's requests; `None` if its route has no class, or the flow is unknown.
    pub fn origin(&self, flow: &FlowKey) -> Option<RequestOrigin> {
        self.flows.get(flow).map(|answers| answers.origin)
    }

    /// Records a caller's segment that is forwarded to the target. Returns the answer that it shows to be
    /// complete: the caller closes the flow or sends the next request. An answer during which the caller resets
    /// the flow is not returned, as it may be incomplete.
    pub fn note_caller_segment(
        &mut self,
        segment: &Segment,
        class: Option<RequestClass>,
        zone: u32,
        now_ms: u64,
    ) -> Option<CompletedAnswer> {
        if segment.resets {
            self.flows.swap_remove(&segment.flow);
            return None;
        }
        if let Some(class) = class {
            let new = FlowAnswers::new(RequestOrigin { class, zone }, now_ms);
            let known = self.flows.entry(segment.flow).or_insert(new);
            if segment.opens && known.caller_data_end.is_some() {
                // Another flow from the same port, whose sequence numbers are unrelated to those before.
                *known = new;
            }
            // The retransmission of an opening by way of another balancer has the same zone.
            known.origin.class = class;
        }
        let answers = self.flows.get_mut(&segment.flow)?;
        answers.last_segment_ms = now_ms;
        answers.has_caller_ended |= segment.ends;
        let has_new_data = advance(&mut answers.caller_data_end, segment) > 0;
        (has_new_data || segment.ends).then(|| answers.complete()).flatten()
    }

    /// Records a segment of the target. `started_after_ms` is the latency if the segment starts an answer.
    /// Returns the answer that it completes: the target closes the flow.
    pub fn note_target_segment(
        &mut self,
        segment: &Segment,
        started_after_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<CompletedAnswer> {
        let answers = self.flows.get_mut(&segment.flow)?;
        answers.last_segment_ms = now_ms;
        if let Some(latency_ms) = started_after_ms {
            answers.running = Some(Answer { latency_ms, bytes: 0, closes_flow: false });
        }
        let new_bytes = advance(&mut answers.target_data_end, segment);
        if let Some(running) = &mut answers.running {
            running.bytes = running.bytes.saturating_add(new_bytes);
            running.closes_flow = (segment.ends || segment.resets) && !answers.has_caller_ended;
        }
        let is_complete = segment.ends || segment.resets;
        let completed = is_complete.then(|| answers.complete()).flatten();
        if segment.resets {
            self.flows.swap_remove(&segment.flow);
        }
        completed
    }

    /// Returns the answers whose flows have been quiet, and stops tracking flows that `is_known` does not name.
    pub fn expire(
        &mut self,
        is_known: impl Fn(&FlowKey) -> bool,
        now_ms: u64,
    ) -> Vec<CompletedAnswer> {
        self.flows.retain(|flow, _| is_known(flow));
        let is_quiet = |answers: &&mut FlowAnswers| {
            now_ms.saturating_sub(answers.last_segment_ms) >= ANSWER_QUIET_MS
        };
        self.flows.values_mut().filter(is_quiet).filter_map(FlowAnswers::complete).collect()
    }
}
