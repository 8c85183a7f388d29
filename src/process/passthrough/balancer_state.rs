//! Forwarding decisions of a balancer for passed-through flows.
//!
//! Pure state: it does no I/O, and callers pass the current time in.

use std::net::SocketAddrV4;

use crate::connection::flow_key::FlowKey;
use crate::connection::flow_locations::AskedAgents;
use crate::connection::flow_locations::FlowLocations;
use crate::connection::flow_locations::SearchState;
use crate::connection::segment::Segment;
use crate::connection::waiting_segments::WaitingSegment;
use crate::connection::waiting_segments::WaitingSegments;
use crate::process::passthrough::segment_header::SegmentHeader;
use crate::version::routing::Routing;
use crate::version::target_table::Liveness;
use crate::version::target_table::Search;
use crate::version::target_table::TargetTable;

/// Maximum number of unavailable agents that get a copy of a segment whose flow has no known holder.
const MAX_COPIES_TO_UNAVAILABLE: usize = 8;

/// Maximum number of agents in the chain of a repeated offer. Each repetition starts at another agent, so
/// a short chain still reaches all of them while it bounds the total number of hops.
const MAX_REOFFER_CHAIN: usize = 3;

/// Time between two inputs, in milliseconds, above which the process was stalled and its view of the other nodes
/// counts as outdated. Its timers alone give an input six times as often.
const STALL_THRESHOLD_MS: u64 = 600;

/// Search id of copies to unavailable agents. Their outcome is not tracked, since such an agent may
/// never answer.
const UNTRACKED_SEARCH: u32 = u32::MAX;

/// Why a segment is decided on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// Its caller has sent it.
    Caller,
    /// It was queued or returned.
    Balancer,
}

/// What the balancer does with a segment from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardingDecision {
    /// Send it to these agents, each with the header that names the next hops.
    Send(Vec<(SocketAddrV4, SegmentHeader)>),
    /// Send it to these agents, which are unavailable, and queue it as well.
    SendAndWait(Vec<(SocketAddrV4, SegmentHeader)>, WaitReason),
    /// Queue it until a decision is possible.
    Wait(WaitReason),
    /// Send the caller a reset of the flow.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
}

/// Why a segment is queued.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// The balancer has no configuration yet.
    NoConfiguration,
    /// No known agent can accept or hold the flow, but one may become available shortly.
    NoTargetYet,
    /// No target accepted the opening, and at least one of them was busy or full.
    AllFull,
    /// A search for the flow's holder is in progress.
    SearchInProgress,
    /// No agent that answered holds the flow, but one that has not answered yet, or is not known yet, may
    /// hold it and is expected to answer.
    NotAllAnswered,
    /// The agent that holds the flow is restarting.
    HolderRestarting,
}

impl WaitReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [WaitReason; 6] = [
        WaitReason::NoConfiguration,
        WaitReason::NoTargetYet,
        WaitReason::AllFull,
        WaitReason::SearchInProgress,
        WaitReason::NotAllAnswered,
        WaitReason::HolderRestarting,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::NoConfiguration => "no-configuration",
            WaitReason::NoTargetYet => "no-target-yet",
            WaitReason::AllFull => "all-full",
            WaitReason::SearchInProgress => "search-under-way",
            WaitReason::NotAllAnswered => "not-all-answered",
            WaitReason::HolderRestarting => "holder-restarting",
        }
    }
}

/// Why a segment is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// It was queued for too long, or the queue was full.
    WaitLimitExceeded,
    /// It is a reset of a flow that no target holds.
    NothingToReset,
    /// The targets of one chain do not hold the flow. Other chains are still being searched, the flow has
    /// been found, or a newer search has started.
    Searching,
    /// No agent that answered holds the flow, but an unavailable one may, and the route's requests are
    /// not idempotent.
    LossUnproven,
    /// An offer of the opening was refused, but a target has accepted it or may still do so: another offer
    /// is pending or newer, or the caller may have retransmitted the opening meanwhile.
    LateRefusal,
}

impl DropReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [DropReason; 5] = [
        DropReason::WaitLimitExceeded,
        DropReason::NothingToReset,
        DropReason::Searching,
        DropReason::LossUnproven,
        DropReason::LateRefusal,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::WaitLimitExceeded => "waited",
            DropReason::NothingToReset => "nothing-to-reset",
            DropReason::Searching => "searching",
            DropReason::LossUnproven => "not-proved",
            DropReason::LateRefusal => "late-refusal",
        }
    }
}

/// Why the balancer resets a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ResetReason {
    /// The current configuration has no route for the flow's destination.
    NoRoute,
    /// No target of the route's services accepts flows.
    NoTarget,
    /// No target accepted the opening, and at least one of them was busy or full. The time for further
    /// offers is over.
    AllFull,
    /// The agent of the target that holds the flow is [`Liveness::Silent`], and the caller may repeat
    /// its requests at another target.
    HolderSilent,
    /// No agent that answered holds the flow. Agents that are [`Liveness::Silent`] are disregarded on
    /// routes whose requests are idempotent.
    NotHeld,
}

impl ResetReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [ResetReason; 5] = [
        ResetReason::NoRoute,
        ResetReason::NoTarget,
        ResetReason::AllFull,
        ResetReason::HolderSilent,
        ResetReason::NotHeld,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no-route",
            ResetReason::NoTarget => "no-target",
            ResetReason::AllFull => "all-full",
            ResetReason::HolderSilent => "holder-silent",
            ResetReason::NotHeld => "not-held",
        }
    }
}

/// A balancer's state for passed-through flows.
#[derive(Debug)]
pub struct BalancerState {
    /// The current configuration.
    pub routing: Routing,
    /// The known agents and their targets.
    pub targets: TargetTable,
    /// The flows whose holder is known.
    pub flow_locations: FlowLocations,
    /// Segments queued until they can be forwarded or refused.
    pub waiting_segments: WaitingSegments,
    /// Whether every agent that may hold a flow is known. After a start, other balancers may know
    /// agents that this one does not.
    pub knows_all_agents: bool,
    zone: String,
    control_address: SocketAddrV4,
    /// Time of the last input; `None` before the first.
    last_input_ms: Option<u64>,
}

impl BalancerState {
    /// Creates the state of a balancer that has neither configuration nor targets.
    pub fn new(zone: &str, control_address: SocketAddrV4) -> BalancerState {
        BalancerState {
            routing: Routing::new(),
            targets: TargetTable::new(),
            flow_locations: FlowLocations::new(),
            waiting_segments: WaitingSegments::new(),
            knows_all_agents: false,
            zone: zone.to_owned(),
            control_address,
            last_input_ms: None,
        }
    }

    /// Notes that the process runs. Called before each input, as what waited during a stall is decided on before
    /// any timer runs: no agent counts as silent for answers that could not be received, and unknown ones may
    /// have started. Returns the length of the stall that has just ended, in milliseconds, if there was one.
    pub fn note_time(&mut self, now_ms: u64) -> Option<u64> {
        let last_input_ms = self.last_input_ms.replace(now_ms).unwrap_or(now_ms);
        let idle_ms = now_ms.saturating_sub(last_input_ms);
        if idle_ms <= STALL_THRESHOLD_MS {
            return None;
        }
        self.targets.note_stall(now_ms);
        self.knows_all_agents = false;
        Some(idle_ms)
    }

    /// Decides what to do with a segment from a caller.
    pub fn decide(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
        self.decide_from(Origin::Caller, segment, now_ms)
    }

    /// Decides what to do with a segment that was queued.
    pub fn decide_again(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
        self.decide_from(Origin::Balancer, segment, now_ms)
    }

    fn decide_from(
        &mut self,
        origin: Origin,
        segment: &Segment,
        now_ms: u64,
    ) -> ForwardingDecision {
        if !self.routing.is_configured() {
            return ForwardingDecision::Wait(WaitReason::NoConfiguration);
        }
        if self.routing.route(segment.flow.service).is_none() {
            return match segment.resets {
                true => ForwardingDecision::Drop(DropReason::NothingToReset),
                false => ForwardingDecision::Reset(ResetReason::NoRoute),
            };
        }
        if segment.opens {
            self.decide_on_opening(segment, now_ms)
        } else {
            self.decide_on_established(segment, origin, now_ms)
        }
    }

    /// Decides what to do with a segment that an agent returned because no target of its chain holds
    /// the flow.
    pub fn handle_returned_segment(
        &mut self,
        segment: &Segment,
        agent: SocketAddrV4,
        search_id: u32,
        saw_full_target: bool,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = segment.flow;
        if segment.opens {
            return self.handle_refused_opening(&flow, search_id, saw_full_target, now_ms);
        }
        if search_id == 0 {
            if self.flow_locations.holder(&flow, now_ms) == Some(agent) {
                self.flow_locations.remove(&flow);
            }
            return self.start_search(segment, Origin::Balancer, now_ms);
        }
        let search_state = self.flow_locations.note_not_held(&flow, search_id, now_ms);
        match search_state {
            SearchState::Pending => return ForwardingDecision::Drop(DropReason::Searching),
            _ if segment.resets => return ForwardingDecision::Drop(DropReason::NothingToReset),
            SearchState::PartlyNotHeld => {
                return ForwardingDecision::Wait(WaitReason::NotAllAnswered);
            }
            SearchState::NotHeld => {}
        }
        if self.reachable_holder(&flow, now_ms).is_some() {
            return self.decide_on_established(segment, Origin::Balancer, now_ms);
        }
        // An agent that became known or available during the search was not asked.
        if self.targets.note_available_agents(now_ms) > self.flow_locations.search_change(&flow) {
            return self.start_search(segment, Origin::Balancer, now_ms);
        }
        self.conclude_search(&flow, now_ms)
    }

    /// Decides on a flow that no available agent holds.
    fn conclude_search(&mut self, flow: &FlowKey, now_ms: u64) -> ForwardingDecision {
        let ruled_out = self.flow_locations.ruled_out(flow, now_ms);
        match self.targets.unavailable_holder_liveness(&ruled_out, now_ms) {
            _ if !self.knows_all_agents => ForwardingDecision::Wait(WaitReason::NotAllAnswered),
            Some(Liveness::Awaited) => ForwardingDecision::Wait(WaitReason::NotAllAnswered),
            Some(_) if !self.is_route_idempotent(flow) => {
                ForwardingDecision::Drop(DropReason::LossUnproven)
            }
            Some(_) | None => {
                self.waiting_segments.take_flow(flow);
                ForwardingDecision::Reset(ResetReason::NotHeld)
            }
        }
    }

    /// Decides what to do with an opening that all agents of one offer refused.
    ///
    /// In a burst of more openings than the targets can accept at once, an opening is offered again for
    /// as long as the answer can reach the caller in time. After that the flow is reset.
    fn handle_refused_opening(
        &mut self,
        flow: &FlowKey,
        search_id: u32,
        saw_full_target: bool,
        now_ms: u64,
    ) -> ForwardingDecision {
        if !self.flow_locations.note_offer_refused(flow, search_id) {
            return ForwardingDecision::Drop(DropReason::LateRefusal);
        }
        if saw_full_target && self.flow_locations.may_offer_again(flow, now_ms) {
            return ForwardingDecision::Wait(WaitReason::AllFull);
        }
        match (self.flow_locations.are_all_offers_refused(flow, now_ms), saw_full_target) {
            (false, _) => ForwardingDecision::Drop(DropReason::LateRefusal),
            (true, true) => ForwardingDecision::Reset(ResetReason::AllFull),
            (true, false) => ForwardingDecision::Reset(ResetReason::NoTarget),
        }
    }

    /// Removes and returns the queued segments that can be decided on now, of at most `max_flows` flows.
    pub fn take_releasable(&mut self, max_flows: usize, now_ms: u64) -> Vec<WaitingSegment> {
        if self.waiting_segments.is_empty() || !self.routing.is_configured() {
            return Vec::new();
        }
        let mut waiting_segments = std::mem::take(&mut self.waiting_segments);
        let all_agents_resolved =
            self.knows_all_agents && self.targets.is_liveness_resolved(now_ms);
        let change = self.targets.note_available_agents(now_ms);
        let releasable = waiting_segments.take_due(max_flows, |segment| {
            self.is_releasable(segment, all_agents_resolved, change, now_ms)
        });
        self.waiting_segments = waiting_segments;
        releasable
    }

    /// Whether a queued segment can be decided on. `all_agents_resolved` means that every agent that may
    /// hold a flow is known and none is [`Liveness::Awaited`]; `change` is the latest one by which an agent became
    /// available.
    fn is_releasable(
        &mut self,
        segment: &Segment,
        all_agents_resolved: bool,
        change: u64,
        now_ms: u64,
    ) -> bool {
        let flow = &segment.flow;
        if self.routing.route(flow.service).is_none() {
            return true;
        }
        if segment.opens {
            let services = self.candidate_services(flow);
            return self.flow_locations.is_offer_due(flow, now_ms)
                && (self.targets.has_accepting_target(&services, now_ms)
                    || !self.may_accept_flows_soon(&services, now_ms));
        }
        if let Some(holder) = self.reachable_holder(flow, now_ms) {
            return self.targets.liveness(holder, now_ms) != Some(Liveness::Awaited);
        }
        if self.flow_locations.is_search_pending(flow, now_ms) {
            return false;
        }
        let may_search_again = self.flow_locations.has_search_timed_out(flow, now_ms)
            && self.flow_locations.may_ask_again(flow, now_ms);
        let has_unasked_agent = change > self.flow_locations.search_change(flow);
        all_agents_resolved || may_search_again || has_unasked_agent
    }

    /// Decides to forward an opening to the agent whose target accepted an earlier transmission of it, or
    /// else to offer it along a new chain.
    fn decide_on_opening(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
        let flow = segment.flow;
        let Some((service, mut chain)) = self.opening_chain(&flow, now_ms) else {
            return match self.may_accept_flows_soon(&self.candidate_services(&flow), now_ms) {
                true => ForwardingDecision::Wait(WaitReason::NoTargetYet),
                false => ForwardingDecision::Reset(ResetReason::NoTarget),
            };
        };
        let holder = self.flow_locations.holder(&flow, now_ms);
        match holder.and_then(|holder| chain.iter().position(|agent| *agent == holder)) {
            Some(position) => chain[..=position].rotate_right(1),
            // After an offer that was refused or not answered, other agents come first.
            None => {
                let offers = self.flow_locations.offer_count(&flow);
                let skipped = segment.retransmission.max(offers) as usize % chain.len();
                chain.rotate_left(skipped);
                if offers > 0 && segment.retransmission == 0 {
                    chain.truncate(MAX_REOFFER_CHAIN);
                }
            }
        }
        let first = chain.remove(0);
        self.targets.note_offer(first);
        let search_id = self.flow_locations.begin_offer(flow, now_ms);
        let report_to = Some(self.control_address);
        let has_waited = segment.retransmission > 0 || self.flow_locations.offer_count(&flow) > 1;
        let header = SegmentHeader {
            chain,
            service,
            report_to,
            search_id,
            has_waited,
            ..SegmentHeader::default()
        };
        ForwardingDecision::Send(vec![(first, header)])
    }

    fn opening_chain(&self, flow: &FlowKey, now_ms: u64) -> Option<(String, Vec<SocketAddrV4>)> {
        let flow_hash = flow.hash();
        let rule = self.routing.route(flow.service)?;
        rule.service_order(flow_hash).into_iter().find_map(|service| {
            let chain =
                self.targets.opening_chain(&self.routing, service, flow_hash, &self.zone, now_ms);
            (!chain.is_empty()).then(|| (service.to_owned(), chain))
        })
    }

    /// Services of the flow's route, with the one chosen by the flow's hash first.
    fn candidate_services(&self, flow: &FlowKey) -> Vec<&str> {
        self.routing
            .route(flow.service)
            .map_or_else(Vec::new, |rule| rule.service_order(flow.hash()))
    }

    /// Whether a target of these services may start to accept flows shortly.
    fn may_accept_flows_soon(&self, services: &[&str], now_ms: u64) -> bool {
        !self.knows_all_agents
            || !self.targets.is_liveness_resolved(now_ms)
            || self.targets.has_starting_target(services, now_ms)
    }

    /// Decides to forward a segment that is not an opening to the agent that holds its flow, or to search
    /// for that agent.
    fn decide_on_established(
        &mut self,
        segment: &Segment,
        origin: Origin,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = segment.flow;
        let Some(holder) = self.reachable_holder(&flow, now_ms) else {
            return self.start_search(segment, origin, now_ms);
        };
        let liveness = self.targets.liveness(holder, now_ms);
        let is_lost = liveness == Some(Liveness::Silent) && !segment.resets;
        if is_lost && self.can_fail_over(&flow, now_ms) {
            self.flow_locations.remove(&flow);
            return ForwardingDecision::Reset(ResetReason::HolderSilent);
        }
        let header =
            SegmentHeader { report_to: Some(self.control_address), ..SegmentHeader::default() };
        let destinations = vec![(holder, header)];
        match liveness {
            Some(Liveness::Awaited) => {
                ForwardingDecision::SendAndWait(destinations, WaitReason::HolderRestarting)
            }
            _ => ForwardingDecision::Send(destinations),
        }
    }

    /// The agent that holds the flow, if it is known. Until the flow is confirmed, another target may have
    /// accepted another transmission of its opening, which counts while this agent is unavailable.
    fn reachable_holder(&mut self, flow: &FlowKey, now_ms: u64) -> Option<SocketAddrV4> {
        let holder = self.flow_locations.holder(flow, now_ms)?;
        let liveness = self.targets.liveness(holder, now_ms)?;
        let is_reachable = liveness == Liveness::Alive || self.flow_locations.is_confirmed(flow);
        is_reachable.then_some(holder)
    }

    /// Whether the caller can move to another target instead of waiting for an unavailable one: its
    /// requests are idempotent, and another target accepts flows.
    fn can_fail_over(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.is_route_idempotent(flow) && self.opening_chain(flow, now_ms).is_some()
    }

    fn is_route_idempotent(&self, flow: &FlowKey) -> bool {
        self.routing.route(flow.service).is_some_and(|rule| rule.is_idempotent)
    }

    /// Agents to search for the flow, through the current and the past services of its route. See
    /// [`TargetTable::search`].
    fn plan_search(
        &self,
        flow: &FlowKey,
        ruled_out: &AskedAgents,
        asked_change: u64,
        now_ms: u64,
    ) -> Search {
        let mut services = self.candidate_services(flow);
        services.extend(self.routing.past_services(flow.service));
        self.targets.search(&services, flow.hash(), ruled_out, asked_change, now_ms)
    }

    /// Sends the segment to the agents that may hold its flow and have not answered that they do not. It is
    /// queued if there are none, or a search is in progress. Unavailable agents get a copy of what a caller sends,
    /// but none when another agent has become available: during an upgrade that happens many times a second.
    fn start_search(
        &mut self,
        segment: &Segment,
        origin: Origin,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = segment.flow;
        if self.flow_locations.is_search_pending(&flow, now_ms) {
            return ForwardingDecision::Wait(WaitReason::SearchInProgress);
        }
        if self.flow_locations.has_search_timed_out(&flow, now_ms) {
            self.targets.recheck_all(now_ms);
        }
        self.targets.note_available_agents(now_ms);
        let ruled_out = self.flow_locations.ruled_out(&flow, now_ms);
        let mut search = self.plan_search(&flow, &ruled_out, 0, now_ms);
        if search.has_awaited && !self.flow_locations.may_ask_again(&flow, now_ms) {
            let asked_change = self.flow_locations.search_change(&flow);
            search = self.plan_search(&flow, &ruled_out, asked_change, now_ms);
        }
        // A failed agent cuts a chain short. Every second search runs in reverse, so that it reaches the
        // targets behind that agent.
        if self.flow_locations.search_count(&flow) % 2 == 1 {
            search.chains.iter_mut().for_each(|chain| chain.reverse());
        }
        let copies = match origin {
            Origin::Caller => self.copies_to_unavailable(&search.unavailable),
            Origin::Balancer => Vec::new(),
        };
        if search.chains.is_empty() {
            self.flow_locations.note_searched_up_to(&flow, *search.changes.end());
            return self.decide_without_chains(&flow, copies, ruled_out.change, now_ms);
        }
        let (chains, unasked) = (search.chains.len(), search.unasked);
        let search_id =
            self.flow_locations.begin_search(flow, chains, &search.changes, unasked, now_ms);
        let mut destinations = copies;
        for mut chain in search.chains {
            let first = chain.remove(0);
            let report_to = Some(self.control_address);
            let header = SegmentHeader { chain, report_to, search_id, ..SegmentHeader::default() };
            destinations.push((first, header));
        }
        ForwardingDecision::Send(destinations)
    }

    /// Decides on a segment of a flow that no available agent has to be asked for. `copies` go to agents that
    /// are unavailable.
    fn decide_without_chains(
        &mut self,
        flow: &FlowKey,
        copies: Vec<(SocketAddrV4, SegmentHeader)>,
        ruled_out_change: u64,
        now_ms: u64,
    ) -> ForwardingDecision {
        if ruled_out_change == 0 {
            let was_searched = self.flow_locations.search_change(flow) > 0;
            return match (copies.is_empty(), was_searched) {
                (true, true) => ForwardingDecision::Wait(WaitReason::NotAllAnswered),
                (true, false) => ForwardingDecision::Wait(WaitReason::NoTargetYet),
                (false, true) => {
                    ForwardingDecision::SendAndWait(copies, WaitReason::NotAllAnswered)
                }
                (false, false) => ForwardingDecision::Send(copies),
            };
        }
        match self.conclude_search(flow, now_ms) {
            ForwardingDecision::Wait(reason) if !copies.is_empty() => {
                ForwardingDecision::SendAndWait(copies, reason)
            }
            ForwardingDecision::Drop(_) if !copies.is_empty() => ForwardingDecision::Send(copies),
            decision => decision,
        }
    }

    fn copies_to_unavailable(&self, agents: &[SocketAddrV4]) -> Vec<(SocketAddrV4, SegmentHeader)> {
        let header = SegmentHeader {
            report_to: Some(self.control_address),
            search_id: UNTRACKED_SEARCH,
            ..SegmentHeader::default()
        };
        let agents = agents.iter().take(MAX_COPIES_TO_UNAVAILABLE);
        agents.map(|agent| (*agent, header.clone())).collect()
    }
}
