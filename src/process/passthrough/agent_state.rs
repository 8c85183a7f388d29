//! All decisions of an agent on passed-through flows. No I/O, no clock.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;
use crate::connection::target_gate::OpeningOffer;
use crate::connection::target_gate::RefusalReason;
use crate::connection::target_gate::TargetGate;
use crate::connection::target_gate::TargetLoad;
use crate::connection::target_gate::TargetPhase;
use crate::connection::target_health::TargetHealth;
use crate::connection::tracked_flows::AnswerEvent;
use crate::connection::tracked_flows::BUSY_TIMEOUT_MS;
use crate::connection::tracked_flows::FlowState;
use crate::connection::tracked_flows::TrackedFlows;
use crate::process::passthrough::message::Probe;
use crate::process::passthrough::segment_header::SegmentHeader;
use crate::version::introduction::Introduction;

/// Segments at the target whose way is remembered; a power of two. 1,000 a second are given back
/// within milliseconds.
const MAX_PENDING_SEGMENTS: u32 = 4096;

/// Silence of the target, in milliseconds, after which its flows count as gone: the address is used
/// again only after two seconds, and a live target reports or answers in that time.
const TARGET_LOST_MS: u64 = 2_500;

/// Idle time after which a flow may be forgotten until the configuration says, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// What to do with a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Give it to the target, with this value to be given back.
    ForwardToTarget {
        /// The value.
        slot: u32,
        /// Balancer to tell that the flow is here.
        notify: Option<SocketAddrV4>,
        /// Agents that the segment has come through, this one included.
        hops: u32,
    },
    /// Pass it to the next agent.
    ForwardToAgent(SocketAddrV4, SegmentHeader, Option<RefusalReason>),
    /// Send it to the caller.
    ForwardToCaller {
        /// Balancer to tell that the flow is here.
        notify: Option<SocketAddrV4>,
        /// How long the caller has waited, in milliseconds, where this begins an answer.
        waited_ms: Option<u64>,
    },
    /// Give it back to the balancer that sent it.
    ReturnToBalancer {
        /// Control address of the balancer.
        balancer: SocketAddrV4,
        /// Number of the search or the offer.
        search_id: u32,
        /// Whether a target on the way was full.
        saw_full_target: bool,
        /// Why the target is not offered an opening.
        refused: Option<RefusalReason>,
    },
    /// Drop it.
    Drop,
}

#[derive(Clone, Debug)]
struct PendingSegment {
    slot: u32,
    flow: FlowKey,
    header: SegmentHeader,
}

/// What an agent knows of its target and its flows.
#[derive(Debug)]
pub struct AgentState {
    /// The target.
    pub gate: TargetGate,
    /// Its flows.
    pub flows: TrackedFlows,
    /// How the target answers.
    pub health: TargetHealth,
    /// Which balancers know of the agent.
    pub introduction: Introduction,
    pending_segments: Vec<Option<PendingSegment>>,
    next_slot: u32,
    balancers_to_notify: IndexMap<FlowKey, SocketAddrV4>,
    configuration_revision: u64,
    idle_timeout_ms: u64,
    running_since_ms: u64,
}

impl AgentState {
    /// Knows nothing yet. See [`TargetGate::new`] for `target_timeout_ms`.
    pub fn new(target_timeout_ms: u64, now_ms: u64) -> AgentState {
        AgentState {
            gate: TargetGate::new(target_timeout_ms),
            flows: TrackedFlows::new(),
            health: TargetHealth::new(),
            introduction: Introduction::new(),
            pending_segments: vec![None; MAX_PENDING_SEGMENTS as usize],
            next_slot: 1,
            balancers_to_notify: IndexMap::new(),
            configuration_revision: 0,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            running_since_ms: now_ms,
        }
    }

    /// The phase that balancers are told.
    pub fn phase(&mut self, now_ms: u64) -> TargetPhase {
        if self.is_target_lost(now_ms) {
            return TargetPhase::Ended;
        }
        let phase = self.gate.phase(now_ms);
        let is_ready = self.introduction.is_done(now_ms) && !self.gate.needs_limits(now_ms);
        match phase.accepts_flows() && !is_ready {
            true => TargetPhase::Introducing,
            false => phase,
        }
    }

    /// Takes over what a balancer knows of the configuration. Says whether anything changed.
    pub fn apply_probe(&mut self, probe: &Probe, now_ms: u64) -> bool {
        self.introduction.note_probe_from(probe.balancer, now_ms);
        if probe.configuration_revision == 0
            || probe.configuration_revision < self.configuration_revision
        {
            return false;
        }
        self.configuration_revision = probe.configuration_revision;
        self.gate.set_zone_out(probe.is_zone_out, now_ms);
        if !probe.service.is_empty() {
            self.gate.set_limits(&probe.service, probe.limits);
            self.idle_timeout_ms = probe.idle_timeout_ms;
        }
        true
    }

    /// Decides on a caller's segment that came this way.
    pub fn handle_node_segment(
        &mut self,
        segment: &Segment,
        header: SegmentHeader,
        now_ms: u64,
    ) -> Action {
        if segment.opens {
            return self.handle_opening(segment, header, now_ms);
        }
        let holding = self.flows.flow_state(&segment.flow);
        let is_unheld = holding == FlowState::Unknown && self.gate.has_seen_all_flows();
        if self.flows.is_open_elsewhere(segment) {
            self.flows.forget(&segment.flow);
            self.balancers_to_notify.swap_remove(&segment.flow);
            return forward_or_return(header, None);
        }
        if is_unheld || self.is_target_lost(now_ms) {
            return forward_or_return(header, None);
        }
        let is_first = holding != FlowState::Unknown && !self.flows.is_confirmed(&segment.flow);
        let requester = header.report_to.filter(|_| header.search_id != 0 || is_first);
        let notify = requester.filter(|_| holding == FlowState::Held);
        if let Some(balancer) = requester.filter(|_| notify.is_none()) {
            self.balancers_to_notify.insert(segment.flow, balancer);
        }
        self.flows.note_caller_segment(segment, now_ms);
        let hops = header.hops.saturating_add(1);
        Action::ForwardToTarget { slot: self.store_pending(segment.flow, header), notify, hops }
    }

    /// Decides on a segment that came from the target.
    pub fn handle_target_segment(&mut self, segment: &Segment, now_ms: u64) -> Action {
        if segment.is_bounced {
            return self.handle_returned_segment(segment, now_ms);
        }
        self.gate.note_target_traffic();
        let holding = self.flows.flow_state(&segment.flow);
        // A target that has only just started resets segments of a search instead of giving them back.
        if segment.resets && holding == FlowState::Unknown && self.gate.current_report().is_none() {
            return Action::Drop;
        }
        if holding == FlowState::Held {
            self.gate.note_seen(now_ms);
        }
        let waited_ms = match self.flows.note_target_segment(segment, now_ms) {
            Some(AnswerEvent::Started { latency_ms: waited_ms }) => {
                self.health.note_answer(waited_ms, now_ms);
                Some(waited_ms)
            }
            Some(AnswerEvent::Aborted) => {
                self.health.note_aborted(now_ms);
                None
            }
            None => None,
        };
        Action::ForwardToCaller {
            notify: self.balancers_to_notify.swap_remove(&segment.flow),
            waited_ms,
        }
    }

    /// Whether it is not known if a process of the target runs.
    pub fn is_target_suspected(&self, now_ms: u64) -> bool {
        let running_ms = now_ms.saturating_sub(self.running_since_ms);
        let silent_ms =
            self.gate.ms_since_last_seen(now_ms).map_or(running_ms, |ms| ms.min(running_ms));
        self.gate.is_suspected(silent_ms)
    }

    /// The host refuses connections to the target.
    pub fn note_target_not_running(&mut self) {
        self.gate.note_connection_refused();
        self.forget_flows();
    }

    /// The target's process has ended, as its host says, or left.
    pub fn forget_flows(&mut self) {
        self.health = TargetHealth::new();
        self.flows.clear();
        self.balancers_to_notify.clear();
    }

    /// Drops what is over.
    pub fn expire(&mut self, now_ms: u64) {
        self.flows.expire_expected_requests(now_ms);
        let unanswered = self.flows.expire(now_ms, self.idle_timeout_ms);
        (0..unanswered).for_each(|_| self.health.note_unanswered(BUSY_TIMEOUT_MS, now_ms));
        if self.balancers_to_notify.len() > MAX_PENDING_SEGMENTS as usize {
            self.balancers_to_notify.clear();
        }
    }

    /// This process stood still until now.
    pub fn note_stall(&mut self, now_ms: u64) {
        self.gate.note_stall(now_ms);
        self.running_since_ms = now_ms;
    }

    fn handle_opening(&mut self, segment: &Segment, header: SegmentHeader, now_ms: u64) -> Action {
        if !self.introduction.is_done(now_ms) {
            return forward_or_return(header, Some(RefusalReason::NotIntroduced));
        }
        self.flows.expire_expected_requests(now_ms);
        let load = TargetLoad { flows: self.flows.open_count(), busy: self.flows.busy_count() };
        let offer = OpeningOffer {
            service: &header.service,
            has_next_candidate: !header.chain.is_empty(),
            is_retransmission: self.flows.flow_state(&segment.flow) != FlowState::Unknown,
            has_waited: header.is_late,
        };
        if offer.has_next_candidate
            && !offer.is_retransmission
            && self.health.is_failing()
            && !self.health.try_admit_trial(now_ms)
        {
            return forward_or_return(header, Some(RefusalReason::Failing));
        }
        match self.gate.admit(&offer, load, now_ms) {
            Ok(()) => {
                self.flows.note_caller_segment(segment, now_ms);
                if let Some(balancer) = header.report_to {
                    self.balancers_to_notify.insert(segment.flow, balancer);
                }
                let hops = header.hops.saturating_add(1);
                Action::ForwardToTarget {
                    slot: self.store_pending(segment.flow, header),
                    notify: None,
                    hops,
                }
            }
            Err(refused) => forward_or_return(header, Some(refused)),
        }
    }

    fn handle_returned_segment(&mut self, segment: &Segment, now_ms: u64) -> Action {
        let holding = self.flows.flow_state(&segment.flow);
        if holding == FlowState::Ended {
            return Action::Drop;
        }
        if holding == FlowState::Held && !segment.opens {
            self.gate.note_lost_flow(now_ms);
        }
        self.flows.forget(&segment.flow);
        self.balancers_to_notify.swap_remove(&segment.flow);
        let index = (segment.cookie % MAX_PENDING_SEGMENTS) as usize;
        match self.pending_segments[index].take() {
            Some(pending) if pending.slot == segment.cookie && pending.flow == segment.flow => {
                forward_or_return(pending.header, None)
            }
            _ => Action::Drop,
        }
    }

    /// Whether the target's flows are gone: it has left, or was silent for long while this process
    /// ran all the time.
    fn is_target_lost(&self, now_ms: u64) -> bool {
        if self.gate.phase(now_ms) == TargetPhase::Ended {
            return true;
        }
        let running_ms = now_ms.saturating_sub(self.running_since_ms);
        let silent_ms = self.gate.ms_since_last_seen(now_ms).unwrap_or(running_ms);
        silent_ms > TARGET_LOST_MS && running_ms > TARGET_LOST_MS
    }

    fn store_pending(&mut self, flow: FlowKey, header: SegmentHeader) -> u32 {
        let slot = self.next_slot;
        self.next_slot = self.next_slot.wrapping_add(1).max(1);
        self.pending_segments[(slot % MAX_PENDING_SEGMENTS) as usize] =
            Some(PendingSegment { slot, flow, header });
        slot
    }
}

/// Goes on to the next agent, or back to the balancer.
fn forward_or_return(mut header: SegmentHeader, refused: Option<RefusalReason>) -> Action {
    header.saw_full_target |= matches!(refused, Some(RefusalReason::Busy | RefusalReason::Full));
    if !header.chain.is_empty() {
        let next = header.chain.remove(0);
        header.hops = header.hops.saturating_add(1);
        return Action::ForwardToAgent(next, header, refused);
    }
    match header.report_to {
        Some(balancer) => Action::ReturnToBalancer {
            balancer,
            search_id: header.search_id,
            saw_full_target: header.saw_full_target,
            refused,
        },
        None => Action::Drop,
    }
}
