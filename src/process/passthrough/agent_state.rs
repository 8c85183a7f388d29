//! Forwarding decisions of an agent for passed-through flows. Performs no I/O and reads no clock, so that
//! tests can drive it.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::opening_refusal::RefusalReason;
use crate::connection::segment::Segment;
use crate::connection::target_gate::OpeningOffer;
use crate::connection::target_gate::TargetGate;
use crate::connection::target_gate::TargetLoad;
use crate::connection::target_gate::TargetPhase;
use crate::connection::target_health::TargetHealth;
use crate::connection::target_instance::TargetInstanceSummary;
use crate::connection::target_instances::LeaveOutcome;
use crate::connection::target_report::ReportOutcome;
use crate::connection::target_report::TargetReport;
use crate::connection::tracked_flows::AnswerEvent;
use crate::connection::tracked_flows::BUSY_TIMEOUT_MS;
use crate::connection::tracked_flows::FlowState;
use crate::connection::tracked_flows::TrackedFlows;
use crate::process::passthrough::message::Probe;
use crate::process::passthrough::segment_header::SegmentHeader;
use crate::version::introduction::Introduction;
use crate::version::store_position::StorePosition;

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
    /// Send it to the next agent of the chain.
    ForwardToAgent(SocketAddrV4, SegmentHeader, ReturnCause),
    /// Send it to the caller.
    ForwardToCaller {
        /// Control address of the balancer to notify that this target holds the flow.
        notify: Option<SocketAddrV4>,
        /// Time from the request to this segment, in milliseconds, if it is the first one of the answer.
        answer_latency_ms: Option<u64>,
    },
    /// Return it to the balancer that sent it, as the chain has no further agent.
    ReturnToBalancer {
        /// Control address of the balancer.
        balancer: SocketAddrV4,
        /// Id of the balancer's search or offer.
        search_id: u32,
        /// Whether a target of the chain was busy or full.
        saw_full_target: bool,
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
}

impl NotHeldReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [NotHeldReason; 5] = [
        NotHeldReason::Bounced,
        NotHeldReason::UnknownFlow,
        NotHeldReason::OpenElsewhere,
        NotHeldReason::TargetEnded,
        NotHeldReason::TargetLost,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            NotHeldReason::Bounced => "bounced",
            NotHeldReason::UnknownFlow => "unknown-flow",
            NotHeldReason::OpenElsewhere => "open-elsewhere",
            NotHeldReason::TargetEnded => "target-ended",
            NotHeldReason::TargetLost => "target-lost",
        }
    }
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
    /// Tracks whether all balancers know of this agent.
    pub introduction: Introduction,
    pending_segments: Vec<Option<PendingSegment>>,
    next_cookie: u32,
    /// By flow, the balancer to notify when the target sends the next segment of it.
    balancers_to_notify: IndexMap<FlowKey, SocketAddrV4>,
    configuration_position: StorePosition,
    idle_timeout_ms: u64,
    /// Start of this process, or the end of its last stall.
    running_since_ms: u64,
    /// Time of the last input.
    last_input_ms: u64,
}

impl AgentState {
    /// Creates the state of an agent of this incarnation that has no report yet. See [`TargetGate::new`] for
    /// `target_timeout_ms`.
    pub fn new(incarnation: u64, target_timeout_ms: u64, now_ms: u64) -> AgentState {
        AgentState {
            gate: TargetGate::new(target_timeout_ms).with_start(now_ms),
            flows: TrackedFlows::new(),
            health: TargetHealth::new(),
            introduction: Introduction::new(incarnation),
            pending_segments: vec![None; MAX_PENDING_SEGMENTS as usize],
            next_cookie: 1,
            balancers_to_notify: IndexMap::new(),
            configuration_position: StorePosition::default(),
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            running_since_ms: now_ms,
            last_input_ms: now_ms,
        }
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
            ReportOutcome::NewLife => self.clear_flows_and_health(),
            // Flows of the new instance may have opened before it was proved to run.
            ReportOutcome::Replaced => self.health = TargetHealth::new(),
            ReportOutcome::Changed | ReportOutcome::Same | ReportOutcome::Ignored(_) => {}
        }
        outcome
    }

    /// Applies the target's call that it leaves. See [`TargetGate::note_leave`].
    pub fn note_leave(&mut self, id: &str, started_ms: Option<u64>) -> LeaveOutcome {
        let outcome = self.gate.note_leave(id, started_ms);
        if outcome == LeaveOutcome::Ended {
            self.clear_flows_and_health();
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
    /// none or it is older than the one in force. Returns whether it was applied.
    pub fn apply_probe(&mut self, probe: &Probe, now_ms: u64) -> bool {
        self.introduction.note_probe_from(probe.balancer, probe.known_incarnation, now_ms);
        if let Some(known) = probe.known_instance
            && known.as_of.0 < self.introduction.incarnation()
            && !self.introduction.is_complete(now_ms)
        {
            self.gate.note_known_instance(known, now_ms);
        }
        let position = probe.configuration.or_in_era(self.configuration_position.era);
        if position.revision == 0 || position < self.configuration_position {
            return false;
        }
        self.configuration_position = position;
        self.gate.set_zone_out(probe.is_zone_out, now_ms);
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
        header: SegmentHeader,
        now_ms: u64,
    ) -> Action {
        if segment.opens {
            return self.handle_opening(segment, header, now_ms);
        }
        let flow_state = self.flows.flow_state(&segment.flow);
        let is_flow_absent = flow_state == FlowState::Unknown && self.gate.has_seen_all_flows();
        if self.flows.is_open_elsewhere(segment) {
            self.flows.remove(&segment.flow);
            self.balancers_to_notify.swap_remove(&segment.flow);
            return forward_or_return(header, ReturnCause::NotHeld(NotHeldReason::OpenElsewhere));
        }
        if let Some(reason) = self.why_target_is_lost(now_ms) {
            return forward_or_return(header, ReturnCause::NotHeld(reason));
        }
        if is_flow_absent {
            return forward_or_return(header, ReturnCause::NotHeld(NotHeldReason::UnknownFlow));
        }
        let is_unconfirmed =
            flow_state != FlowState::Unknown && !self.flows.is_confirmed(&segment.flow);
        // The balancer wants to know the holder if it searched for the flow, or the flow is unconfirmed.
        let requester = header.report_to.filter(|_| header.search_id != 0 || is_unconfirmed);
        let notify = requester.filter(|_| flow_state == FlowState::Held);
        if let Some(balancer) = requester.filter(|_| notify.is_none()) {
            self.balancers_to_notify.insert(segment.flow, balancer);
        }
        self.flows.note_caller_segment(segment, now_ms);
        let hops = header.hops.saturating_add(1);
        Action::ForwardToTarget { cookie: self.store_pending(segment.flow, header), notify, hops }
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
        let answer_latency_ms = match self.flows.note_target_segment(segment, now_ms) {
            Some(AnswerEvent::Started { latency_ms }) => {
                self.health.note_answer(latency_ms, now_ms);
                Some(latency_ms)
            }
            Some(AnswerEvent::Aborted) => {
                self.health.note_aborted(now_ms);
                None
            }
            None => None,
        };
        Action::ForwardToCaller {
            notify: self.balancers_to_notify.swap_remove(&segment.flow),
            answer_latency_ms,
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
        self.clear_flows_and_health();
        true
    }

    /// Clears flows and health, as the target's process has ended, left or been replaced.
    pub fn clear_flows_and_health(&mut self) {
        self.health = TargetHealth::new();
        self.flows.clear();
        self.balancers_to_notify.clear();
    }

    /// Evicts flows and expected requests that have timed out. Unanswered requests count against the
    /// target's health.
    pub fn expire(&mut self, now_ms: u64) {
        self.flows.expire_expected_requests(now_ms);
        let unanswered = self.flows.expire(now_ms, self.idle_timeout_ms);
        (0..unanswered).for_each(|_| self.health.note_unanswered(BUSY_TIMEOUT_MS, now_ms));
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
        let load = TargetLoad { flows: self.flows.open_count(), busy: self.flows.busy_count() };
        let offer = OpeningOffer {
            service: &header.service,
            has_next_candidate: !header.chain.is_empty(),
            is_retransmission: self.flows.flow_state(&segment.flow) != FlowState::Unknown,
            has_waited: header.has_waited,
        };
        if offer.has_next_candidate
            && !offer.is_retransmission
            && self.health.is_failing()
            && !self.health.try_admit_trial(now_ms)
        {
            return forward_or_return(header, ReturnCause::Refused(RefusalReason::Failing));
        }
        match self.gate.admit(&offer, load, now_ms) {
            Ok(()) => {
                self.flows.note_caller_segment(segment, now_ms);
                if let Some(balancer) = header.report_to {
                    self.balancers_to_notify.insert(segment.flow, balancer);
                }
                let hops = header.hops.saturating_add(1);
                Action::ForwardToTarget {
                    cookie: self.store_pending(segment.flow, header),
                    notify: None,
                    hops,
                }
            }
            Err(refusal) => forward_or_return(header, ReturnCause::Refused(refusal)),
        }
    }

    fn handle_bounced_segment(&mut self, segment: &Segment, now_ms: u64) -> Action {
        let flow_state = self.flows.flow_state(&segment.flow);
        if flow_state == FlowState::Ended {
            return Action::Drop;
        }
        if flow_state == FlowState::Held && !segment.opens {
            self.gate.note_lost_flow(now_ms);
        }
        self.flows.remove(&segment.flow);
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

/// Sends the segment to the next agent of the chain, or returns it to the balancer after the last one.
fn forward_or_return(mut header: SegmentHeader, cause: ReturnCause) -> Action {
    header.saw_full_target |=
        matches!(cause, ReturnCause::Refused(RefusalReason::Busy | RefusalReason::Full));
    if !header.chain.is_empty() {
        let next = header.chain.remove(0);
        header.hops = header.hops.saturating_add(1);
        return Action::ForwardToAgent(next, header, cause);
    }
    match header.report_to {
        Some(balancer) => Action::ReturnToBalancer {
            balancer,
            search_id: header.search_id,
            saw_full_target: header.saw_full_target,
            cause,
        },
        None => Action::Drop,
    }
}
