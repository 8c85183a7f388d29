//! Forwarding decisions of an agent for passed-through flows. Performs no I/O and reads no clock, so that
//! tests can drive it.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::opening_refusal::RefusalReason;
use crate::connection::request_class::DEFAULT_SERVICE_TIME_US;
use crate::connection::request_class::LoadByPriority;
use crate::connection::request_class::RequestClass;
use crate::connection::request_queue::QueueDropReason;
use crate::connection::request_queue::QueuedRequest;
use crate::connection::request_queue::RequestOrder;
use crate::connection::request_queue::RequestQueue;
use crate::connection::segment::Segment;
use crate::connection::target_gate::ExpectedAnswer;
use crate::connection::target_gate::OpeningOffer;
use crate::connection::target_gate::TargetGate;
use crate::connection::target_gate::TargetLoad;
use crate::connection::target_gate::TargetPhase;
use crate::connection::target_health::TargetHealth;
use crate::connection::target_instance::TargetInstanceSummary;
use crate::connection::target_instances::LeaveOutcome;
use crate::connection::target_pace::AnswerQuality;
use crate::connection::target_pace::TargetPace;
use crate::connection::target_report::ReportOutcome;
use crate::connection::target_report::TargetReport;
use crate::connection::tracked_flows::AnswerEvent;
use crate::connection::tracked_flows::BUSY_TIMEOUT_MS;
use crate::connection::tracked_flows::FlowState;
use crate::connection::tracked_flows::TrackedFlows;
use crate::connection::tracked_flows::opening_age_ms;
use crate::process::passthrough::message::Probe;
use crate::process::passthrough::segment_header::Fallback;
use crate::process::passthrough::segment_header::SegmentHeader;
use crate::version::introduction::Introduction;
use crate::version::zone_state::ZoneReport;
use crate::version::zone_state::ZoneState;

/// Segments sent to the target whose headers are stored in case the target bounces them; a power of two. At
/// 1,000 segments per second, each bounced within milliseconds, only a few are pending.
const MAX_PENDING_SEGMENTS: u32 = 4096;

/// Time without a report or segment from the target, in milliseconds, after which its flows count as lost.
/// A live target reports or answers within two seconds, and its address is reused no sooner. Its host accepts
/// connections all the while, which is checked once a report is missing.
const TARGET_LOST_MS: u64 = 2_500;

/// Time between two inputs, in milliseconds, above which the process was stalled and the target's reports count
/// as outdated. The periodic task alone runs three times as often.
const STALL_THRESHOLD_MS: u64 = 750;

/// Idle time-out of flows, in milliseconds, until a probe brings the configured one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Requests that may be in progress at the target for each slot, as a fraction: a quarter more than slots, so that
/// no slot is idle while the agent receives an answer and sends the next request.
const STARTS_PER_SLOT: (u32, u32) = (5, 4);

const US_PER_MS: u64 = 1_000;

/// Service times after which a request without an answer no longer occupies a slot. The longest requests take seven
/// times the mean. Others then reach a target that hangs, which rejects those that it has no room for, so that their
/// callers can send them elsewhere in time.
const SLOT_TIMEOUT_SERVICE_TIMES: u64 = 10;

/// Time after which a queued request is preferred whose flow a balancer searches for, in milliseconds. The segments of
/// a search reach other targets where agents of earlier builds ask them, and the platform allows 2 s until one of the
/// flow has to reach its own. The rest is for the starts of other preferred requests.
const SEARCHED_WAIT_MS: u64 = 1_000;

/// What the agent does with a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send it to the target.
    ForwardToTarget {
        /// Value to write into the segment. The target copies it into the segment if it bounces it.
        cookie: u32,
        /// Control address of the balancer to notify that this target holds the flow.
        notify: Option<SocketAddrV4>,
        /// Agents that the segment has passed, this one included.
        hops: u32,
    },
    /// Pass it to [`AgentState::queue_segment`], as its request has to wait for a slot.
    Queue {
        /// Header of the segment.
        header: SegmentHeader,
        /// Control address of the balancer to notify that this target holds the flow.
        notify: Option<SocketAddrV4>,
    },
    /// Send it to the next agent of the chain.
    ForwardToAgent(SocketAddrV4, SegmentHeader, ReturnCause),
    /// Send it to the caller.
    ForwardToCaller {
        /// Control address of the balancer to notify that this target holds the flow.
        notify: Option<SocketAddrV4>,
        /// Time from the request to this segment, in milliseconds, if it is the first one of the answer.
        answer_latency_ms: Option<u64>,
        /// How the answer is judged, if it has just started and its request has a class.
        answer_quality: Option<AnswerQuality>,
    },
    /// Return it to the balancer that sent it, as the chain has no further agent.
    ReturnToBalancer {
        /// Control address of the balancer.
        balancer: SocketAddrV4,
        /// Id of the balancer's search or offer.
        search_id: u32,
        /// Whether a target of the chain was busy or full.
        saw_full_target: bool,
        /// Whether each agent of the chain knows that its target does not hold the flow.
        is_ruled_out: bool,
        /// Why this target does not take it.
        cause: ReturnCause,
    },
    /// Drop it: its flow has ended, it cannot be returned to a balancer, or it is a reset of an unknown flow
    /// by a target that has not reported yet.
    Drop,
}

/// Why a segment goes to the next agent or back to the balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReturnCause {
    /// The opening is refused.
    Refused(RefusalReason),
    /// The target does not hold the flow.
    NotHeld(NotHeldReason),
}

/// How an agent knows that its target does not hold a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotHeldReason {
    /// The target has bounced the segment.
    Bounced,
    /// The agent has seen all flows of the target, and this one is not among them.
    UnknownFlow,
    /// The flow was offered here and opened at another target.
    OpenElsewhere,
    /// No process of the target runs, or it has shut down.
    TargetEnded,
    /// The target was not seen for so long that its flows count as lost.
    TargetLost,
    /// The agent does not track the flow, and was not to ask the target.
    Untracked,
}

impl NotHeldReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [NotHeldReason; 6] = [
        NotHeldReason::Bounced,
        NotHeldReason::UnknownFlow,
        NotHeldReason::OpenElsewhere,
        NotHeldReason::TargetEnded,
        NotHeldReason::TargetLost,
        NotHeldReason::Untracked,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            NotHeldReason::Bounced => "bounced",
            NotHeldReason::UnknownFlow => "unknown-flow",
            NotHeldReason::OpenElsewhere => "open-elsewhere",
            NotHeldReason::TargetEnded => "target-ended",
            NotHeldReason::TargetLost => "target-lost",
            NotHeldReason::Untracked => "untracked",
        }
    }
}

/// What has become of queued requests since the last call of [`AgentState::take_queue_events`].
#[derive(Debug)]
pub enum QueueEvent {
    /// A request starts.
    Started(StartedRequest),
    /// A request was dropped.
    Dropped {
        /// Flow of the request.
        flow: FlowKey,
        /// Class of the request.
        class: RequestClass,
        /// Time in the queue, in milliseconds.
        queued_ms: u64,
        /// Why it was dropped.
        reason: QueueDropReason,
    },
    /// The target does not hold the flow of queued segments, which go elsewhere.
    NotHeld(Vec<ReleasedSegment>),
}

/// A request that starts after it was queued.
#[derive(Debug)]
pub struct StartedRequest {
    /// Flow of the request.
    pub flow: FlowKey,
    /// Class of the request.
    pub class: RequestClass,
    /// Time in the queue, in milliseconds.
    pub queued_ms: u64,
    /// Whether it can still be answered within its objective.
    pub is_in_time: bool,
    /// Its segments, in order.
    pub segments: Vec<ReleasedSegment>,
}

/// A segment that was queued, and what the agent does with it now.
#[derive(Debug)]
pub struct ReleasedSegment {
    /// Decoded header of the segment.
    pub segment: Segment,
    /// Bytes of the segment.
    pub datagram: Vec<u8>,
    /// What the agent does with it.
    pub action: Action,
}

/// What is kept of a queued segment.
#[derive(Debug)]
struct QueuedSegment {
    header: SegmentHeader,
    datagram: Vec<u8>,
}

/// A segment that the target may still bounce.
#[derive(Clone, Debug)]
struct PendingSegment {
    cookie: u32,
    flow: FlowKey,
    header: SegmentHeader,
}

/// State of one target and its flows, as its agent sees them.
#[derive(Debug)]
pub struct AgentState {
    /// Admission of openings by the target's reports, limits and load.
    pub gate: TargetGate,
    /// Flows at the target.
    pub flows: TrackedFlows,
    /// Passive health check by the target's answers.
    pub health: TargetHealth,
    /// Estimated service time of the target, and slow start of its openings.
    pub pace: TargetPace,
    /// Tracks whether all balancers know of this agent.
    pub introduction: Introduction,
    /// Data address under which other agents send openings here; `None` if they may not.
    data_address: Option<SocketAddrV4>,
    order: RequestOrder,
    queue: RequestQueue<QueuedSegment>,
    queue_events: Vec<QueueEvent>,
    pending_segments: Vec<Option<PendingSegment>>,
    next_cookie: u32,
    /// By flow, the balancer to notify when the target sends the next segment of it.
    balancers_to_notify: IndexMap<FlowKey, SocketAddrV4>,
    zone: ZoneState,
    idle_timeout_ms: u64,
    /// Start of this process, or the end of its last stall.
    running_since_ms: u64,
    /// Time of the last input.
    last_input_ms: u64,
    /// Segments sent to the target to find out whether it holds their flows.
    target_queries: u64,
}

impl AgentState {
    /// Creates the state of an agent of this incarnation that has no report yet. See [`TargetGate::new`] for
    /// `target_timeout_ms`.
    pub fn new(incarnation: u64, target_timeout_ms: u64, now_ms: u64) -> AgentState {
        AgentState {
            gate: TargetGate::new(target_timeout_ms).with_start(now_ms),
            flows: TrackedFlows::new(),
            health: TargetHealth::new(),
            pace: TargetPace::new(),
            introduction: Introduction::new(incarnation),
            data_address: None,
            order: RequestOrder::Arrival,
            queue: RequestQueue::new(|queued| queued.datagram.len()),
            queue_events: Vec::new(),
            pending_segments: vec![None; MAX_PENDING_SEGMENTS as usize],
            next_cookie: 1,
            balancers_to_notify: IndexMap::new(),
            zone: ZoneState::new(),
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            running_since_ms: now_ms,
            last_input_ms: now_ms,
            target_queries: 0,
        }
    }

    /// Sets the data address, so that the last agent of a chain can send an opening back here.
    pub fn with_data_address(self, data_address: SocketAddrV4) -> AgentState {
        AgentState { data_address: Some(data_address), ..self }
    }

    /// Sets the order in which requests start.
    pub fn with_request_order(self, order: RequestOrder) -> AgentState {
        AgentState { order, ..self }
    }

    /// Notes that the process runs. Called before each input, as what waited during a stall is decided on before
    /// any timer runs. Returns the length of the stall that has just ended, in milliseconds, if there was one.
    pub fn note_time(&mut self, now_ms: u64) -> Option<u64> {
        let idle_ms = now_ms.saturating_sub(self.last_input_ms);
        self.last_input_ms = self.last_input_ms.max(now_ms);
        if idle_ms <= STALL_THRESHOLD_MS {
            return None;
        }
        self.note_stall(now_ms);
        Some(idle_ms)
    }

    /// Applies a report from the target.
    pub fn apply_report(&mut self, report: TargetReport, now_ms: u64) -> ReportOutcome {
        let outcome = self.gate.apply_report(report, now_ms);
        match outcome {
            ReportOutcome::NewLife => self.clear_flows_and_health(now_ms),
            // Flows of the new instance may have opened before it was proved to run.
            ReportOutcome::Replaced => {
                self.health = TargetHealth::new();
                self.pace.reset();
            }
            ReportOutcome::Changed | ReportOutcome::Same | ReportOutcome::Ignored(_) => {}
        }
        if let Some(report) = self.gate.current_report() {
            self.pace.note_report(&report.service, report.slots);
        }
        self.start_requests(now_ms);
        outcome
    }

    /// Applies the target's call that it leaves. See [`TargetGate::note_leave`].
    pub fn note_leave(&mut self, id: &str, started_ms: Option<u64>) -> LeaveOutcome {
        let outcome = self.gate.note_leave(id, started_ms);
        if outcome == LeaveOutcome::Ended {
            self.clear_flows_and_health(self.last_input_ms);
        }
        outcome
    }

    /// Phase for a status to these balancers. A status after the end of a target has a new incarnation.
    pub fn phase_to_report(&mut self, balancers: &[SocketAddrV4], now_ms: u64) -> TargetPhase {
        if self.is_target_lost(now_ms) {
            self.introduction.note_end_reported_to(balancers);
        } else {
            self.introduction.restart_after_end(now_ms);
        }
        self.phase(now_ms)
    }

    /// The target's instance for a status. `None` until the balancers had time to say which one they know, so
    /// that they do not forget it for a report that arrived late.
    pub fn instance_to_report(&mut self, now_ms: u64) -> Option<TargetInstanceSummary> {
        let is_introduced = self.introduction.is_complete(now_ms);
        self.gate.instance_summary().filter(|_| is_introduced)
    }

    /// Phase of the target that is reported to balancers.
    pub fn phase(&mut self, now_ms: u64) -> TargetPhase {
        if self.is_target_lost(now_ms) {
            return TargetPhase::Ended;
        }
        let phase = self.gate.phase(now_ms);
        let is_ready = self.introduction.is_complete(now_ms) && !self.gate.needs_limits(now_ms);
        match phase.accepts_flows() && !is_ready {
            true => TargetPhase::Introducing,
            false => phase,
        }
    }

    /// Notes that a balancer knows this agent, and applies the configuration in its probe unless there is
    /// none or it is older than the one in force. See [`ZoneState::apply`] for the zone. Returns whether it was
    /// applied.
    pub fn apply_probe(&mut self, probe: &Probe, now_ms: u64) -> bool {
        self.introduction.note_probe_from(probe.balancer, probe.known_incarnation, now_ms);
        if let Some(known) = probe.known_instance
            && known.as_of.0 < self.introduction.incarnation()
            && !self.introduction.is_complete(now_ms)
        {
            self.gate.note_known_instance(known, now_ms);
        }
        let position = probe.configuration.or_in_era(self.zone.position().era);
        let report =
            ZoneReport { position, is_out: probe.is_zone_out, held_ms: probe.zone_held_ms };
        if position.revision == 0 || !self.zone.apply(&report, now_ms) {
            return false;
        }
        self.gate.set_zone_out(self.zone.is_out(), now_ms);
        if !probe.service.is_empty() {
            self.gate.set_limits(&probe.service, probe.limits);
            self.idle_timeout_ms = probe.idle_timeout_ms;
        }
        true
    }

    /// Decides on a caller's segment that was received from a balancer or another agent.
    pub fn handle_node_segment(
        &mut self,
        segment: &Segment,
        mut header: SegmentHeader,
        now_ms: u64,
    ) -> Action {
        if segment.opens {
            return self.handle_opening(segment, header, now_ms);
        }
        let flow_state = self.flows.flow_state(&segment.flow);
        let is_flow_absent = flow_state == FlowState::Unknown && self.gate.has_seen_all_flows();
        if self.flows.is_open_elsewhere(segment) {
            self.drop_queued(&segment.flow, now_ms);
            self.flows.remove(&segment.flow);
            self.balancers_to_notify.swap_remove(&segment.flow);
            return forward_or_return(header, ReturnCause::NotHeld(NotHeldReason::OpenElsewhere));
        }
        if let Some(reason) = self.why_target_is_lost(now_ms) {
            self.drop_all_queued(now_ms);
            return forward_or_return(header, ReturnCause::NotHeld(reason));
        }
        if is_flow_absent {
            return forward_or_return(header, ReturnCause::NotHeld(NotHeldReason::UnknownFlow));
        }
        if flow_state == FlowState::Unknown {
            if header.is_tables_only {
                header.is_ruled_out = false;
                return forward_or_return(header, ReturnCause::NotHeld(NotHeldReason::Untracked));
            }
            self.target_queries += 1;
        }
        let is_unconfirmed =
            flow_state != FlowState::Unknown && !self.flows.is_confirmed(&segment.flow);
        // The balancer wants to know the holder if it searched for the flow, or the flow is unconfirmed.
        let requester = header.report_to.filter(|_| header.search_id != 0 || is_unconfirmed);
        let notify = requester.filter(|_| flow_state == FlowState::Held);
        if let Some(balancer) = requester.filter(|_| notify.is_none()) {
            self.balancers_to_notify.insert(segment.flow, balancer);
        }
        if segment.resets {
            self.drop_queued(&segment.flow, now_ms);
        }
        if self.must_queue(segment, &header) {
            return Action::Queue { header, notify };
        }
        let action = self.forward_to_target(segment, header, notify, now_ms);
        self.start_requests(now_ms);
        action
    }

    /// Queues a segment for which the decision was [`Action::Queue`]. Returns whether its request was not queued
    /// before.
    pub fn queue_segment(
        &mut self,
        segment: &Segment,
        header: SegmentHeader,
        datagram: Vec<u8>,
        now_ms: u64,
    ) -> bool {
        let flow = segment.flow;
        let queued_class = self.queue.class_of(&flow);
        // A segment without a class belongs to a queued request: a FIN, or a retransmission by way of a balancer
        // that knows no classes.
        let Some(class) = header.class.or(queued_class) else {
            return false;
        };
        let since_ms = self.flows.request_since_ms(&flow, now_ms);
        let is_searched = header.search_id != 0;
        self.flows.set_class(&flow, Some(class));
        self.flows.note_queued_segment(segment, now_ms);
        self.queue.push(segment, class, since_ms, now_ms, QueuedSegment { header, datagram });
        if is_searched {
            self.queue.prefer_from(&flow, now_ms.saturating_add(SEARCHED_WAIT_MS));
        }
        self.start_requests(now_ms);
        let excess = self.queue.take_excess(self.expected_service_time_ms(), now_ms);
        self.note_dropped(excess, QueueDropReason::QueueFull, now_ms);
        queued_class.is_none()
    }

    /// What has become of queued requests since the last call. The caller carries it out after each input.
    pub fn take_queue_events(&mut self) -> Vec<QueueEvent> {
        std::mem::take(&mut self.queue_events)
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of segments sent to the target to find out whether it holds their flows. Segments of flows that it does
    /// not hold reach it only so.
    pub fn target_queries(&self) -> u64 {
        self.target_queries
    }

    /// Bytes that the queued requests take.
    pub fn queued_bytes(&self) -> usize {
        self.queue.bytes()
    }

    /// Time after which a request without an answer no longer counts as occupying a slot, in milliseconds.
    fn slot_timeout_ms(&self) -> u64 {
        match self.expected_service_time_ms() {
            0 => BUSY_TIMEOUT_MS,
            expected_ms => (expected_ms * SLOT_TIMEOUT_SERVICE_TIMES).min(BUSY_TIMEOUT_MS),
        }
    }

    /// Number of requests in progress, expected or queued.
    pub fn busy_count(&self) -> u32 {
        self.flows.busy_count() + self.queue.len() as u32
    }

    /// Requests in progress, expected or queued, by priority; `None` if this agent does not order requests.
    pub fn load_by_priority(&self) -> Option<LoadByPriority> {
        self.start_limit()?;
        let mut by_level = self.flows.count_by_level();
        let queued = self.queue.count_by_level();
        by_level.iter_mut().zip(queued).for_each(|(count, queued)| *count += queued);
        Some(LoadByPriority::new(by_level))
    }

    /// Time until a request is answered that finds `ahead` others ahead of it, in milliseconds.
    fn expected_wait_ms(&self, ahead: u32) -> u64 {
        let slots = u64::from(self.gate.current_report().map_or(1, |report| report.slots.max(1)));
        let service_time_ms = match self.expected_service_time_ms() {
            0 => DEFAULT_SERVICE_TIME_US / US_PER_MS,
            estimate_ms => estimate_ms,
        };
        (u64::from(ahead) + slots) * service_time_ms / slots
    }

    /// Time that the target is expected to take for a request, in milliseconds; 0 while it is unknown.
    pub fn expected_service_time_ms(&self) -> u64 {
        let service_time_us = match self.pace.service_time_us() {
            0 => self.health.baseline_us().unwrap_or(0),
            estimate_us => u64::from(estimate_us),
        };
        service_time_us.div_ceil(US_PER_MS)
    }

    /// Decides on a segment that the target sent or bounced.
    pub fn handle_target_segment(&mut self, segment: &Segment, now_ms: u64) -> Action {
        if segment.is_bounced {
            return self.handle_bounced_segment(segment, now_ms);
        }
        self.gate.note_target_traffic(now_ms);
        let flow_state = self.flows.flow_state(&segment.flow);
        // A target that has just started, and not reported yet, resets segments of a search instead of
        // bouncing them.
        if segment.resets
            && flow_state == FlowState::Unknown
            && self.gate.current_report().is_none()
        {
            return Action::Drop;
        }
        if flow_state == FlowState::Held {
            self.gate.note_seen(now_ms);
        }
        if segment.resets || self.flows.is_replaced_by(segment) {
            self.drop_queued(&segment.flow, now_ms);
        }
        let event = self.flows.note_target_segment(segment, now_ms);
        self.health.note_target_segment(segment, event, now_ms);
        let mut answer_quality = None;
        let answer_latency_ms = match event {
            Some(AnswerEvent::Started { latency_ms }) => {
                answer_quality = self.pace.note_answer(&segment.flow, now_ms);
                Some(latency_ms)
            }
            Some(AnswerEvent::Aborted) => {
                self.pace.note_aborted(&segment.flow, now_ms);
                None
            }
            None => None,
        };
        self.start_requests(now_ms);
        Action::ForwardToCaller {
            notify: self.balancers_to_notify.swap_remove(&segment.flow),
            answer_latency_ms,
            answer_quality,
        }
    }

    /// Whether the target has not been seen for so long that its process may have ended.
    pub fn is_target_suspected(&self, now_ms: u64) -> bool {
        let running_ms = now_ms.saturating_sub(self.running_since_ms);
        let unseen_ms =
            self.gate.ms_since_last_seen(now_ms).map_or(running_ms, |ms| ms.min(running_ms));
        self.gate.is_suspected(unseen_ms)
    }

    /// Records that the host has refused a connection to the target, so no process of it runs, unless a new one
    /// was heard since the attempt began. Returns whether that counts.
    pub fn note_target_not_running(&mut self, checked_since_ms: u64) -> bool {
        if self.gate.last_heard_ms() > checked_since_ms {
            return false;
        }
        self.gate.note_connection_refused();
        self.clear_flows_and_health(self.last_input_ms);
        true
    }

    /// Clears flows and health and drops the queued requests, as the target's process has ended, left or been
    /// replaced.
    pub fn clear_flows_and_health(&mut self, now_ms: u64) {
        self.drop_all_queued(now_ms);
        self.health = TargetHealth::new();
        self.pace.reset();
        self.flows.clear();
        self.balancers_to_notify.clear();
    }

    /// Evicts flows and expected requests that have timed out. Unanswered requests count against the
    /// target's health.
    pub fn expire(&mut self, now_ms: u64) {
        self.flows.expire_expected_requests(now_ms);
        let slot_timeout_ms = self.slot_timeout_ms();
        let unanswered = self.flows.expire(now_ms, self.idle_timeout_ms, slot_timeout_ms);
        let is_known = |flow: &FlowKey| self.flows.flow_state(flow) != FlowState::Unknown;
        self.health.expire(&unanswered, BUSY_TIMEOUT_MS, is_known, now_ms);
        if !unanswered.is_empty() {
            self.pace.note_unanswered();
        }
        self.pace.expire(|flow| self.flows.is_busy(flow), now_ms);
        if self.is_target_lost(now_ms) {
            self.drop_all_queued(now_ms);
        }
        self.start_requests(now_ms);
        // Bounds the memory. A balancer that is not notified searches for the flow.
        if self.balancers_to_notify.len() > MAX_PENDING_SEGMENTS as usize {
            self.balancers_to_notify.clear();
        }
    }

    /// Records that this process was stalled until now: the target's reports so far may be outdated.
    pub fn note_stall(&mut self, now_ms: u64) {
        self.gate.note_stall(now_ms);
        self.running_since_ms = now_ms;
    }

    fn handle_opening(&mut self, segment: &Segment, header: SegmentHeader, now_ms: u64) -> Action {
        if !self.introduction.is_complete(now_ms) {
            return forward_or_return(header, ReturnCause::Refused(RefusalReason::NotIntroduced));
        }
        self.flows.expire_expected_requests(now_ms);
        let load_by_priority = self.load_by_priority();
        let ahead = header.class.zip(load_by_priority).map(|(class, load)| load.ahead_of(&class));
        // Requests without a class are not queued, so that only requests at the target are ahead of them.
        let busy = ahead.unwrap_or_else(|| self.flows.busy_count());
        let wait_ms = ahead.map(|ahead| self.expected_wait_ms(ahead));
        let expected_answer = header.class.zip(wait_ms).map(|(class, wait_ms)| ExpectedAnswer {
            after_ms: opening_age_ms(segment, header.waited_ms) + wait_ms,
            timeout_ms: class.timeout_ms,
        });
        let load = TargetLoad { flows: self.flows.open_count(), busy, expected_answer };
        let offer = OpeningOffer {
            service: &header.service,
            has_next_candidate: !header.chain.is_empty(),
            is_retransmission: self.flows.flow_state(&segment.flow) != FlowState::Unknown,
            has_waited: header.has_waited,
        };
        if offer.has_next_candidate && !offer.is_retransmission {
            let is_failing = self.is_failing_for(&header);
            let is_in_slow_start = header.class.is_some() && !self.pace.admits_opening(now_ms);
            // An opening that slow start passes on must not use up the trial.
            if is_failing && (is_in_slow_start || !self.health.try_admit_trial(now_ms)) {
                return forward_or_return(header, ReturnCause::Refused(RefusalReason::Failing));
            }
            if is_in_slow_start {
                let refusal = RefusalReason::SlowStart;
                return self.pass_opening_on(header, refusal, load, wait_ms, now_ms);
            }
        }
        if !offer.has_next_candidate
            && !offer.is_retransmission
            && let Some(fallback) = header.fallback
            && (self.fails_requests(&header)
                || wait_ms.is_some_and(|wait_ms| fallback.wait_ms < wait_ms))
        {
            return forward_or_return(header, ReturnCause::Refused(RefusalReason::LongerWait));
        }
        match self.gate.admit(&offer, load, now_ms) {
            Ok(()) => {
                if !offer.is_retransmission {
                    self.pace.note_opening(segment.flow, now_ms);
                }
                if let Some(balancer) = header.report_to {
                    self.balancers_to_notify.insert(segment.flow, balancer);
                }
                let waited_ms = header.waited_ms;
                let action = self.forward_to_target(segment, header, None, now_ms);
                self.flows.note_opening_age(segment, waited_ms, now_ms);
                action
            }
            Err(refusal @ RefusalReason::Busy) => {
                self.pass_opening_on(header, refusal, load, wait_ms, now_ms)
            }
            Err(refusal) => forward_or_return(header, ReturnCause::Refused(refusal)),
        }
    }

    /// Passes an opening on to the next candidate. If this target would answer its request sooner than those that
    /// were tried before, it becomes the fallback: balancers rank the candidates by statuses that are older than
    /// the load, so that the last one may have the longest queue. A target that fails its requests has a short
    /// queue for that reason, and is none.
    fn pass_opening_on(
        &self,
        mut header: SegmentHeader,
        refusal: RefusalReason,
        load: TargetLoad,
        wait_ms: Option<u64>,
        now_ms: u64,
    ) -> Action {
        let last_offer = OpeningOffer {
            service: &header.service,
            has_next_candidate: false,
            is_retransmission: false,
            has_waited: header.has_waited,
        };
        let is_fallback = !self.fails_requests(&header)
            && wait_ms < header.fallback.map(|fallback| fallback.wait_ms).or(Some(u64::MAX))
            && self.gate.check(&last_offer, load, now_ms).is_ok();
        if is_fallback && let (Some(agent), Some(wait_ms)) = (self.data_address, wait_ms) {
            header.fallback = Some(Fallback { agent, wait_ms });
        }
        forward_or_return(header, ReturnCause::Refused(refusal))
    }

    /// Whether the target fails its requests, or has failed some and not recovered since.
    fn fails_requests(&self, header: &SegmentHeader) -> bool {
        self.is_failing_for(header) || self.pace.has_failed()
    }

    /// Whether the target counts as failing for the caller of an opening.
    fn is_failing_for(&self, header: &SegmentHeader) -> bool {
        !header.ignores_health && self.health.is_failing_for(header.origin_zone)
    }

    fn handle_bounced_segment(&mut self, segment: &Segment, now_ms: u64) -> Action {
        let flow_state = self.flows.flow_state(&segment.flow);
        if flow_state == FlowState::Ended {
            return Action::Drop;
        }
        if flow_state == FlowState::Held && !segment.opens {
            self.gate.note_lost_flow(now_ms);
        }
        if let Some(request) = self.queue.take(&segment.flow) {
            let cause = ReturnCause::NotHeld(NotHeldReason::Bounced);
            let released = request.segments.into_iter().map(|(segment, queued)| ReleasedSegment {
                segment,
                datagram: queued.datagram,
                action: forward_or_return(queued.header, cause),
            });
            self.queue_events.push(QueueEvent::NotHeld(released.collect()));
        }
        self.flows.remove(&segment.flow);
        self.start_requests(now_ms);
        self.balancers_to_notify.swap_remove(&segment.flow);
        let index = (segment.cookie % MAX_PENDING_SEGMENTS) as usize;
        match self.pending_segments[index].take() {
            Some(pending) if pending.cookie == segment.cookie && pending.flow == segment.flow => {
                forward_or_return(pending.header, ReturnCause::NotHeld(NotHeldReason::Bounced))
            }
            _ => Action::Drop,
        }
    }

    /// Begins or continues the introduction: the balancers to notify, or `None` if there is nothing to
    /// introduce while the target has ended, or the introduction is complete.
    pub fn balancers_to_notify(&mut self, now_ms: u64) -> Option<Vec<SocketAddrV4>> {
        if self.is_target_lost(now_ms) {
            return None;
        }
        self.introduction.restart_after_end(now_ms);
        if self.introduction.is_complete(now_ms) {
            return None;
        }
        self.introduction.begin(now_ms);
        Some(self.introduction.balancers_to_notify())
    }

    fn is_target_lost(&self, now_ms: u64) -> bool {
        self.why_target_is_lost(now_ms).is_some()
    }

    /// Why the target's flows are lost, if they are: it has ended, or sent nothing for [`TARGET_LOST_MS`] while
    /// this process ran without a stall.
    fn why_target_is_lost(&self, now_ms: u64) -> Option<NotHeldReason> {
        if self.gate.has_ended() {
            return Some(NotHeldReason::TargetEnded);
        }
        let running_ms = now_ms.saturating_sub(self.running_since_ms);
        let seen_ms = self.gate.ms_since_last_seen(now_ms).unwrap_or(running_ms);
        let unseen_ms = self.gate.ms_since_accepted(now_ms).map_or(seen_ms, |ms| ms.min(seen_ms));
        let is_silent = unseen_ms > TARGET_LOST_MS && running_ms > TARGET_LOST_MS;
        is_silent.then_some(NotHeldReason::TargetLost)
    }

    /// Number of requests that may be in progress at the target before others are queued; `None` if this agent does
    /// not queue requests, or the target's slots are unknown.
    fn start_limit(&self) -> Option<u32> {
        let slots = self.gate.current_report()?.slots;
        let (starts, per_slots) = STARTS_PER_SLOT;
        let is_ordered = self.order == RequestOrder::Priority && slots > 0;
        is_ordered.then(|| slots.saturating_mul(starts).div_ceil(per_slots))
    }

    /// Whether a segment has to wait: with the queued request of its flow, or as it begins a request while the
    /// start limit is reached. Segments of flows that are not tracked are never queued, since the target may not
    /// hold those.
    fn must_queue(&self, segment: &Segment, header: &SegmentHeader) -> bool {
        if segment.resets || (segment.payload_bytes == 0 && !segment.ends) {
            return false;
        }
        if self.queue.class_of(&segment.flow).is_some() {
            return true;
        }
        let is_at_limit = |limit| !self.queue.is_empty() || self.flows.occupied_slots() >= limit;
        header.class.is_some()
            && self.start_limit().is_some_and(is_at_limit)
            && self.flows.begins_request(segment)
    }

    /// Forwards a caller's segment to the target.
    fn forward_to_target(
        &mut self,
        segment: &Segment,
        header: SegmentHeader,
        notify: Option<SocketAddrV4>,
        now_ms: u64,
    ) -> Action {
        let begins_request = self.flows.begins_request(segment);
        if begins_request && header.class.is_none() {
            self.queue.note_forwarded_without_class();
        }
        let was_busy = self.flows.is_busy(&segment.flow);
        self.flows.note_caller_segment(segment, now_ms);
        if !was_busy && self.flows.is_busy(&segment.flow) {
            self.pace.note_request(segment.flow, header.class.is_some(), now_ms);
        }
        self.health.note_caller_segment(segment, header.class, header.origin_zone, now_ms);
        // A retransmission by way of a balancer that knows no classes leaves the class of the request as it is.
        if begins_request || header.class.is_some() {
            self.flows.set_class(&segment.flow, header.class);
        }
        let hops = header.hops.saturating_add(1);
        Action::ForwardToTarget { cookie: self.store_pending(segment.flow, header), notify, hops }
    }

    /// Drops the queued requests that have timed out, and starts those for which there is room.
    fn start_requests(&mut self, now_ms: u64) {
        if self.queue.is_empty() {
            return;
        }
        let timed_out = self.queue.take_timed_out(now_ms);
        self.note_dropped(timed_out, QueueDropReason::TimedOut, now_ms);
        let expected_ms = self.expected_service_time_ms();
        while self.may_start()
            && let Some((request, is_in_time)) = self.queue.start_next(expected_ms, now_ms)
        {
            let QueuedRequest { flow, class, queued_ms, segments, .. } = request;
            let released = segments.into_iter().map(|(segment, queued)| {
                let header = SegmentHeader { class: Some(class), ..queued.header };
                let action = self.forward_to_target(&segment, header, None, now_ms);
                ReleasedSegment { segment, datagram: queued.datagram, action }
            });
            let segments = released.collect();
            let queued_ms = now_ms.saturating_sub(queued_ms);
            let started = StartedRequest { flow, class, queued_ms, is_in_time, segments };
            self.queue_events.push(QueueEvent::Started(started));
        }
    }

    fn may_start(&self) -> bool {
        let is_below_limit = |limit| self.flows.occupied_slots() < limit;
        self.start_limit().is_none_or(is_below_limit) || self.queue.is_start_overdue()
    }

    fn drop_queued(&mut self, flow: &FlowKey, now_ms: u64) {
        let request = self.queue.take(flow).into_iter().collect();
        self.note_dropped(request, QueueDropReason::FlowEnded, now_ms);
    }

    fn drop_all_queued(&mut self, now_ms: u64) {
        let requests = self.queue.take_all();
        self.note_dropped(requests, QueueDropReason::TargetEnded, now_ms);
    }

    fn note_dropped(
        &mut self,
        requests: Vec<QueuedRequest<QueuedSegment>>,
        reason: QueueDropReason,
        now_ms: u64,
    ) {
        self.queue_events.extend(requests.into_iter().map(|request| QueueEvent::Dropped {
            flow: request.flow,
            class: request.class,
            queued_ms: now_ms.saturating_sub(request.queued_ms),
            reason,
        }));
    }

    /// Stores the header in case the target bounces the segment, and returns the cookie that finds it. The
    /// oldest header is overwritten.
    fn store_pending(&mut self, flow: FlowKey, header: SegmentHeader) -> u32 {
        let cookie = self.next_cookie;
        self.next_cookie = self.next_cookie.wrapping_add(1).max(1);
        self.pending_segments[(cookie % MAX_PENDING_SEGMENTS) as usize] =
            Some(PendingSegment { cookie, flow, header });
        cookie
    }
}

/// Sends the segment to the next agent of the chain, then to the fallback, or returns it to the balancer.
fn forward_or_return(mut header: SegmentHeader, cause: ReturnCause) -> Action {
    header.saw_full_target |= matches!(
        cause,
        ReturnCause::Refused(
            RefusalReason::Busy
                | RefusalReason::Full
                | RefusalReason::LongerWait
                | RefusalReason::SlowStart
        )
    );
    let next = if header.chain.is_empty() {
        header.fallback.take().map(|fallback| fallback.agent)
    } else {
        Some(header.chain.remove(0))
    };
    if let Some(next) = next {
        header.hops = header.hops.saturating_add(1);
        return Action::ForwardToAgent(next, header, cause);
    }
    match header.report_to {
        Some(balancer) => Action::ReturnToBalancer {
            balancer,
            search_id: header.search_id,
            saw_full_target: header.saw_full_target,
            is_ruled_out: header.is_ruled_out,
            cause,
        },
        None => Action::Drop,
    }
}
