//! All decisions of a balancer on passed-through flows. No I/O, no clock.

use std::net::SocketAddrV4;

use crate::connection::flow_key::FlowKey;
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

/// Agents without an answer that get a copy of a segment whose flow is not found.
const MAX_COPIES_TO_UNAVAILABLE: usize = 8;

/// Agents that an opening is offered to again: each offer meets others, and all together are bounded.
const MAX_REOFFER_CHAIN: usize = 3;

/// Number of searches whose end nobody waits for: copies to agents that may be gone.
const UNTRACKED_SEARCH: u32 = u32::MAX;

/// What to do with a segment of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardingDecision {
    /// Send it to these agents, each with the way to go on from there.
    Send(Vec<(SocketAddrV4, SegmentHeader)>),
    /// Send it likewise, and let it wait as well: the agents may be gone.
    SendAndWait(Vec<(SocketAddrV4, SegmentHeader)>),
    /// Let it wait until it can be decided on.
    Wait(WaitReason),
    /// Reset the flow towards the caller.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
}

/// Why a segment waits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No agent is known that may take or hold the flow, but some may turn up in a moment.
    NoTargetYet,
    /// An opening that met only full targets.
    AllFull,
    /// Its flow is being searched for.
    SearchInProgress,
    /// Not held by those who answered; one that may hold it is expected to answer.
    NotAllAnswered,
}

impl WaitReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [WaitReason; 5] = [
        WaitReason::NoConfiguration,
        WaitReason::NoTargetYet,
        WaitReason::AllFull,
        WaitReason::SearchInProgress,
        WaitReason::NotAllAnswered,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::NoConfiguration => "no-configuration",
            WaitReason::NoTargetYet => "no-target-yet",
            WaitReason::AllFull => "all-full",
            WaitReason::SearchInProgress => "search-under-way",
            WaitReason::NotAllAnswered => "not-all-answered",
        }
    }
}

/// Why a segment is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// It has waited too long, or there was no room to wait.
    WaitLimitExceeded,
    /// A reset of a flow that nobody holds.
    NothingToReset,
    /// Not held by the targets of one chain; others are still asked.
    Searching,
    /// Not held by those who answered, and one that may hold it is silent.
    LossUnproven,
    /// An opening that all have refused, so late that a copy of it may have been taken.
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

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ResetReason {
    /// The configuration in force has no such route.
    NoRoute,
    /// No target of the route's services takes flows.
    NoTarget,
    /// All targets of the route's services are full.
    AllFull,
    /// The agent beside the flow's target is silent, and the request may be repeated.
    HolderSilent,
    /// Every target that may hold the flow has given it back.
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

/// What a balancer knows of passed-through flows.
#[derive(Debug)]
pub struct BalancerState {
    /// The configuration in force.
    pub routing: Routing,
    /// Targets.
    pub targets: TargetTable,
    /// Flows whose agent is known.
    pub flow_locations: FlowLocations,
    /// Segments that cannot be decided on yet.
    pub waiting_segments: WaitingSegments,
    /// Whether all agents are known that may hold a flow. A balancer that has just started does not
    /// know those that only others have heard of.
    pub knows_all_agents: bool,
    zone: String,
    control_address: SocketAddrV4,
}

impl BalancerState {
    /// Knows nothing yet.
    pub fn new(zone: &str, control_address: SocketAddrV4) -> BalancerState {
        BalancerState {
            routing: Routing::new(),
            targets: TargetTable::new(),
            flow_locations: FlowLocations::new(),
            waiting_segments: WaitingSegments::new(),
            knows_all_agents: false,
            zone: zone.to_owned(),
            control_address,
        }
    }

    /// Decides on a caller's segment.
    pub fn forward(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
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
            self.forward_opening(segment, now_ms)
        } else {
            self.forward_established(segment, now_ms)
        }
    }

    /// Decides on a segment that an agent gave back, as no target of its chain holds the flow.
    pub fn handle_returned_segment(
        &mut self,
        segment: &Segment,
        agent: SocketAddrV4,
        search: u32,
        met_full: bool,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = segment.flow;
        if segment.opens {
            return self.handle_refused_opening(&flow, search, met_full, now_ms);
        }
        if search == 0 {
            if self.flow_locations.holder(&flow, now_ms) == Some(agent) {
                self.flow_locations.forget(&flow);
            }
            return self.start_search(segment, now_ms);
        }
        if self.flow_locations.note_not_held(&flow, search) == SearchState::Pending {
            return ForwardingDecision::Drop(DropReason::Searching);
        }
        if segment.resets {
            return ForwardingDecision::Drop(DropReason::NothingToReset);
        }
        match self.targets.unavailable_holder_liveness(now_ms) {
            _ if !self.knows_all_agents => ForwardingDecision::Wait(WaitReason::NotAllAnswered),
            Some(Liveness::Awaited) => ForwardingDecision::Wait(WaitReason::NotAllAnswered),
            Some(_) if !self.is_route_idempotent(&flow) => {
                ForwardingDecision::Drop(DropReason::LossUnproven)
            }
            Some(_) | None => {
                self.waiting_segments.take_flow(&flow);
                ForwardingDecision::Reset(ResetReason::NotHeld)
            }
        }
    }

    /// Decides on an opening that the agents of one offer have refused.
    ///
    /// The load that it answers: more openings than the targets bear for a moment. They are offered again
    /// for as long as an answer can be in time; then the caller is told.
    fn handle_refused_opening(
        &mut self,
        flow: &FlowKey,
        search: u32,
        met_full: bool,
        now_ms: u64,
    ) -> ForwardingDecision {
        if !self.flow_locations.note_offer_refused(flow, search) {
            return ForwardingDecision::Drop(DropReason::LateRefusal);
        }
        if met_full && self.flow_locations.may_offer_again(flow, now_ms) {
            return ForwardingDecision::Wait(WaitReason::AllFull);
        }
        match (self.flow_locations.are_all_offers_refused(flow, now_ms), met_full) {
            (false, _) => ForwardingDecision::Drop(DropReason::LateRefusal),
            (true, true) => ForwardingDecision::Reset(ResetReason::AllFull),
            (true, false) => ForwardingDecision::Reset(ResetReason::NoTarget),
        }
    }

    /// Takes segments that have waited and can be decided on now, of at most `most` flows.
    pub fn take_releasable(&mut self, most: usize, now_ms: u64) -> Vec<WaitingSegment> {
        if self.waiting_segments.is_empty() || !self.routing.is_configured() {
            return Vec::new();
        }
        let mut waiting = std::mem::take(&mut self.waiting_segments);
        let all_agents_settled = self.knows_all_agents && self.targets.is_settled(now_ms);
        let due = waiting
            .take_due(most, |segment| self.is_releasable(segment, all_agents_settled, now_ms));
        self.waiting_segments = waiting;
        due
    }

    /// Whether a segment that waits can be decided on. `all_agents_settled` says that every agent that may hold a
    /// flow is known and answers, or is known to be silent.
    fn is_releasable(&mut self, segment: &Segment, all_agents_settled: bool, now_ms: u64) -> bool {
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
        if self.flow_locations.holder(flow, now_ms).is_some() {
            return true;
        }
        if self.flow_locations.is_search_pending(flow, now_ms) {
            return false;
        }
        let may_search_again = self.flow_locations.has_search_timed_out(flow, now_ms)
            && self.flow_locations.may_search(flow, now_ms);
        all_agents_settled || may_search_again
    }

    /// An opening goes to the agent that has taken an earlier copy, or to a fresh chain.
    fn forward_opening(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
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
            // An earlier offer was not answered or met full targets: others come first.
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
        let search = self.flow_locations.begin_offer(flow, now_ms);
        let report_to = Some(self.control_address);
        let is_late = segment.retransmission > 0 || self.flow_locations.offer_count(&flow) > 1;
        let header = SegmentHeader {
            chain,
            service,
            report_to,
            search_id: search,
            is_late,
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

    /// Services of the flow's route, its own choice first.
    fn candidate_services(&self, flow: &FlowKey) -> Vec<&str> {
        self.routing
            .route(flow.service)
            .map_or_else(Vec::new, |rule| rule.service_order(flow.hash()))
    }

    /// Whether a target of these services may take flows in a moment.
    fn may_accept_flows_soon(&self, services: &[&str], now_ms: u64) -> bool {
        !self.knows_all_agents
            || !self.targets.is_settled(now_ms)
            || self.targets.has_starting_target(services, now_ms)
    }

    /// Any other segment goes to the agent that holds the flow, or is searched for.
    fn forward_established(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
        let flow = segment.flow;
        let Some(holder) = self.flow_locations.holder(&flow, now_ms) else {
            return self.start_search(segment, now_ms);
        };
        match self.targets.liveness(holder, now_ms) {
            None => self.start_search(segment, now_ms),
            // Another copy of the opening may have been taken by a target that answers.
            Some(Liveness::Silent | Liveness::Awaited)
                if !self.flow_locations.is_confirmed(&flow) =>
            {
                self.start_search(segment, now_ms)
            }
            Some(Liveness::Silent) if self.can_fail_over(&flow, now_ms) && !segment.resets => {
                self.flow_locations.forget(&flow);
                ForwardingDecision::Reset(ResetReason::HolderSilent)
            }
            Some(_) => {
                let header = SegmentHeader {
                    report_to: Some(self.control_address),
                    ..SegmentHeader::default()
                };
                ForwardingDecision::Send(vec![(holder, header)])
            }
        }
    }

    /// Whether the caller is better off with another target than waiting for a silent one: its
    /// requests may be repeated, and somebody else takes them.
    fn can_fail_over(&self, flow: &FlowKey, now_ms: u64) -> bool {
        self.is_route_idempotent(flow) && self.opening_chain(flow, now_ms).is_some()
    }

    fn is_route_idempotent(&self, flow: &FlowKey) -> bool {
        self.routing.route(flow.service).is_some_and(|rule| rule.is_idempotent)
    }

    fn plan_search(&self, flow: &FlowKey, now_ms: u64) -> Search {
        let mut services = self.candidate_services(flow);
        services.extend(self.routing.past_services(flow.service));
        self.targets.search(&services, flow.hash(), now_ms)
    }

    fn start_search(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
        if self.flow_locations.is_search_pending(&segment.flow, now_ms) {
            return ForwardingDecision::Wait(WaitReason::SearchInProgress);
        }
        if self.flow_locations.has_search_timed_out(&segment.flow, now_ms) {
            self.targets.recheck_all(now_ms);
        }
        let mut search = self.plan_search(&segment.flow, now_ms);
        // A target behind one that is gone is found from the other end.
        if self.flow_locations.search_count(&segment.flow) % 2 == 1 {
            search.chains.iter_mut().for_each(|chain| chain.reverse());
        }
        let is_limited = search.has_awaited;
        let chains = search.chains.len();
        let number = self.flow_locations.begin_search(segment.flow, chains, is_limited, now_ms);
        let report_to = Some(self.control_address);
        let mut destinations: Vec<(SocketAddrV4, SegmentHeader)> = search
            .unavailable
            .iter()
            .take(MAX_COPIES_TO_UNAVAILABLE)
            .map(|agent| {
                (
                    *agent,
                    SegmentHeader {
                        report_to,
                        search_id: UNTRACKED_SEARCH,
                        ..SegmentHeader::default()
                    },
                )
            })
            .collect();
        if let Some(number) = number {
            for mut chain in search.chains {
                let first = chain.remove(0);
                destinations.push((
                    first,
                    SegmentHeader {
                        chain,
                        report_to,
                        search_id: number,
                        ..SegmentHeader::default()
                    },
                ));
            }
        }
        match (destinations.is_empty(), number) {
            (false, Some(_)) => ForwardingDecision::Send(destinations),
            (false, None) => ForwardingDecision::SendAndWait(destinations),
            (true, _) => ForwardingDecision::Wait(WaitReason::NoTargetYet),
        }
    }
}
