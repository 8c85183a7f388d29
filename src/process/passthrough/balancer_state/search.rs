//! Searches for the agent that holds a flow.

use std::net::SocketAddrV4;

use crate::connection::flow_key::FlowKey;
use crate::connection::flow_locations::AskedAgents;
use crate::connection::flow_locations::SearchRound;
use crate::connection::flow_locations::SearchState;
use crate::connection::segment::Segment;
use crate::process::passthrough::balancer_state::BalancerState;
use crate::process::passthrough::balancer_state::DropReason;
use crate::process::passthrough::balancer_state::ForwardingDecision;
use crate::process::passthrough::balancer_state::Origin;
use crate::process::passthrough::balancer_state::ResetReason;
use crate::process::passthrough::balancer_state::WaitReason;
use crate::process::passthrough::segment_header::SegmentHeader;
use crate::version::target_table::Liveness;
use crate::version::target_table::Search;

/// Maximum number of unavailable agents that get a copy of a segment whose flow has no known holder.
const MAX_COPIES_TO_UNAVAILABLE: usize = 8;

/// Search id of copies to unavailable agents. Their outcome is not tracked, since such an agent may
/// never answer.
const UNTRACKED_SEARCH: u32 = u32::MAX;

impl BalancerState {
    /// Sends the segment to the agents that may hold its flow and have not answered that they do not. It is
    /// queued if there are none, or a search is in progress. Unavailable agents get a copy of what a caller sends if no
    /// other agent tracks the flow, or a search has timed out, but none when another agent has become available: during
    /// an upgrade that happens many times a second.
    ///
    /// A search first looks in the agents' tables: while a request is queued at the flow's own agent, the platform
    /// considers the flow lost if segments of it reach other targets alone. Once searches have timed out repeatedly,
    /// targets are asked at once, as an agent that may never answer hides those behind it.
    pub(super) fn start_search(
        &mut self,
        segment: &Segment,
        origin: Origin,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = segment.flow;
        if self.flow_locations.is_search_pending(&flow, now_ms) {
            return ForwardingDecision::Wait(WaitReason::SearchInProgress);
        }
        let may_ask_again = self.flow_locations.may_ask_again(&flow, now_ms);
        let has_timed_out = self.flow_locations.has_search_timed_out(&flow, now_ms);
        if has_timed_out {
            self.targets.recheck_all(now_ms);
        }
        let round = match has_timed_out && !may_ask_again {
            true => SearchRound::Targets,
            false => SearchRound::Tables,
        };
        self.targets.note_available_agents(now_ms);
        let ruled_out = self.flow_locations.ruled_out(&flow, now_ms);
        let mut search = self.plan_search(&flow, &ruled_out, 0, now_ms);
        if search.has_awaited && !may_ask_again {
            let asked_change = self.flow_locations.search_change(&flow);
            search = self.plan_search(&flow, &ruled_out, asked_change, now_ms);
        }
        // A failed agent cuts a chain short. Every second search runs in reverse, so that it reaches the
        // targets behind that agent.
        if self.flow_locations.search_count(&flow) % 2 == 1 {
            search.reverse_chains();
        }
        let copies = match origin {
            Origin::Caller => self.copies_to_unavailable(&search.unavailable),
            Origin::Balancer => Vec::new(),
        };
        if search.chains.is_empty() {
            self.flow_locations.note_searched_up_to(&flow, *search.changes.end());
            return self.decide_without_chains(&flow, copies, ruled_out.change, now_ms);
        }
        let decision = self.send_search(segment, round, search, now_ms);
        if has_timed_out {
            return decision.with_copies(copies);
        }
        if !copies.is_empty() {
            self.flow_locations.postpone_copies(&flow);
        }
        decision
    }

    /// Decides what to do with a segment after a round of a search in which all chains returned it.
    pub(super) fn continue_search(
        &mut self,
        segment: &Segment,
        search_state: SearchState,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = segment.flow;
        match search_state {
            SearchState::Pending => return ForwardingDecision::Drop(DropReason::Searching),
            SearchState::TargetsUnasked if self.reachable_holder(&flow, now_ms).is_none() => {
                return self.ask_targets(segment, now_ms);
            }
            _ if segment.resets => return ForwardingDecision::Drop(DropReason::NothingToReset),
            SearchState::PartlyNotHeld => {
                return ForwardingDecision::Wait(WaitReason::NotAllAnswered);
            }
            SearchState::TargetsUnasked | SearchState::NotHeld => {}
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

    /// Continues a search in which no agent tracks the flow: those that have not seen all flows of their targets ask
    /// them.
    fn ask_targets(&mut self, segment: &Segment, now_ms: u64) -> ForwardingDecision {
        let flow = segment.flow;
        self.targets.note_available_agents(now_ms);
        let ruled_out = self.flow_locations.ruled_out(&flow, now_ms);
        let asked_change = self.flow_locations.asked_change(&flow);
        let mut search = self.plan_search(&flow, &ruled_out, asked_change, now_ms);
        // In the order of the round before, which is counted already.
        let earlier_searches = self.flow_locations.search_count(&flow).saturating_sub(1);
        if earlier_searches % 2 == 1 {
            search.reverse_chains();
        }
        if search.chains.is_empty() {
            return self.decide_without_chains(&flow, Vec::new(), ruled_out.change, now_ms);
        }
        self.send_search(segment, SearchRound::Targets, search, now_ms)
    }

    /// Sends the segment along the chains of a search.
    fn send_search(
        &mut self,
        segment: &Segment,
        round: SearchRound,
        search: Search,
        now_ms: u64,
    ) -> ForwardingDecision {
        let Search { chains, unasked, changes, .. } = search;
        let search_id = self.flow_locations.begin_search(
            segment.flow,
            round,
            chains.len(),
            &changes,
            unasked,
            now_ms,
        );
        let header = SegmentHeader {
            report_to: Some(self.control_address),
            search_id,
            class: self.request_class(segment),
            is_tables_only: round == SearchRound::Tables,
            is_ruled_out: true,
            ..SegmentHeader::default()
        };
        let destinations = chains.into_iter().map(|mut chain| {
            let first = chain.remove(0);
            (first, SegmentHeader { chain, ..header.clone() })
        });
        ForwardingDecision::Send(destinations.collect())
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
        self.conclude_search(flow, now_ms).with_copies(copies)
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

    /// The copies that were postponed until the end of the round of a search that has ended now.
    pub(super) fn take_postponed_copies(
        &mut self,
        flow: &FlowKey,
        now_ms: u64,
    ) -> Vec<(SocketAddrV4, SegmentHeader)> {
        if !self.flow_locations.take_postponed_copies(flow) {
            return Vec::new();
        }
        let ruled_out = self.flow_locations.ruled_out(flow, now_ms);
        let asked_change = self.flow_locations.asked_change(flow);
        let search = self.plan_search(flow, &ruled_out, asked_change, now_ms);
        self.copies_to_unavailable(&search.unavailable)
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
