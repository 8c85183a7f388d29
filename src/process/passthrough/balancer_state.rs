//! Forwarding decisions of a balancer for passed-through flows.
//!
//! Pure state: it does no I/O, and callers pass the current time in.

mod search;

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::flow_locations::FlowLocations;
use crate::connection::flow_locations::SearchState;
use crate::connection::offering;
use crate::connection::request_class::RequestClass;
use crate::connection::segment::Segment;
use crate::connection::waiting_segments::ReleaseOrder;
use crate::connection::waiting_segments::WaitingSegment;
use crate::connection::waiting_segments::WaitingSegments;
use crate::process::passthrough::explanation::ClassView;
use crate::process::passthrough::explanation::Explanation;
use crate::process::passthrough::explanation::ServiceView;
use crate::process::passthrough::message::ReturnedSegment;
use crate::process::passthrough::segment_header::SegmentHeader;
use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;
use crate::version::routing::RouteRule;
use crate::version::routing::Routing;
use crate::version::store_position::UNKNOWN_ERA;
use crate::version::target_table::Liveness;
use crate::version::target_table::MAX_OPENING_CHAIN;
use crate::version::target_table::TargetTable;

/// Maximum number of agents in the chain of a repeated offer. Each repetition starts at another agent, so
/// a short chain still reaches all of them while it bounds the total number of hops.
const MAX_REOFFER_CHAIN: usize = 3;

/// Number of queued openings that make room at once when no more may be queued, which bounds how often all of
/// them are put in order: as many as one pass releases.
const OPENINGS_DROPPED_AT_ONCE: usize = 64;

/// Time for which no queued opening counts as released after one that none was, in milliseconds. Otherwise each
/// opening of a flood that is released last puts all queued ones in order; the queue is released as often.
const OUTRANKED_CHECK_INTERVAL_MS: u64 = 10;

/// Time between two inputs, in milliseconds, above which the process was stalled and its view of the other nodes
/// counts as outdated. Its timers alone give an input six times as often.
const STALL_THRESHOLD_MS: u64 = 600;

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

impl ForwardingDecision {
    /// Name of the decision in explanations, with the reason if it has one.
    pub fn describe(&self) -> String {
        match self {
            ForwardingDecision::Send(_) => "send".to_owned(),
            ForwardingDecision::SendAndWait(_, reason) => {
                format!("send and wait: {}", reason.as_str())
            }
            ForwardingDecision::Wait(reason) => format!("wait: {}", reason.as_str()),
            ForwardingDecision::Reset(reason) => format!("reset: {}", reason.as_str()),
            ForwardingDecision::Drop(reason) => format!("drop: {}", reason.as_str()),
        }
    }

    /// Also sends the segment to these agents, unless its flow is reset.
    fn with_copies(self, copies: Vec<(SocketAddrV4, SegmentHeader)>) -> ForwardingDecision {
        match self {
            decision if copies.is_empty() => decision,
            ForwardingDecision::Send(destinations) => {
                ForwardingDecision::Send([copies, destinations].concat())
            }
            ForwardingDecision::SendAndWait(destinations, reason) => {
                ForwardingDecision::SendAndWait([copies, destinations].concat(), reason)
            }
            ForwardingDecision::Wait(reason) => ForwardingDecision::SendAndWait(copies, reason),
            ForwardingDecision::Drop(_) => ForwardingDecision::Send(copies),
            ForwardingDecision::Reset(reason) => ForwardingDecision::Reset(reason),
        }
    }
}

/// Why a segment is queued.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WaitReason {
    /// The balancer has no configuration yet.
    NoConfiguration,
    /// The balancer has just started and has not asked others yet which zones they hold out.
    PeersNotAsked,
    /// No known agent can accept or hold the flow, but one may become available shortly.
    NoTargetYet,
    /// No target accepted the opening, and at least one of them was busy or full, or others can be asked.
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
    pub const ALL: [WaitReason; 7] = [
        WaitReason::NoConfiguration,
        WaitReason::PeersNotAsked,
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
            WaitReason::PeersNotAsked => "peers-not-asked",
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
    /// It was a queued opening, and made room for others that are released before it.
    Outranked,
}

impl DropReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [DropReason; 6] = [
        DropReason::WaitLimitExceeded,
        DropReason::NothingToReset,
        DropReason::Searching,
        DropReason::LossUnproven,
        DropReason::LateRefusal,
        DropReason::Outranked,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::WaitLimitExceeded => "waited",
            DropReason::NothingToReset => "nothing-to-reset",
            DropReason::Searching => "searching",
            DropReason::LossUnproven => "not-proved",
            DropReason::LateRefusal => "late-refusal",
            DropReason::Outranked => "outranked",
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
    /// No target accepted the opening, at least one of them was busy or full, and by the loads that the targets
    /// report none can start its request before the caller abandons the attempt.
    Overload,
    /// The agent of the target that holds the flow is [`Liveness::Silent`], and the caller may repeat
    /// its requests at another target.
    HolderSilent,
    /// No agent that answered holds the flow. Agents that are [`Liveness::Silent`] are disregarded on
    /// routes whose requests are idempotent.
    NotHeld,
}

impl ResetReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [ResetReason; 6] = [
        ResetReason::NoRoute,
        ResetReason::NoTarget,
        ResetReason::AllFull,
        ResetReason::Overload,
        ResetReason::HolderSilent,
        ResetReason::NotHeld,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no-route",
            ResetReason::NoTarget => "no-target",
            ResetReason::AllFull => "all-full",
            ResetReason::Overload => "overload",
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
    /// Whether other balancers are being asked which zones they hold out. No opening is accepted meanwhile.
    pub is_asking_peers: bool,
    zone: String,
    control_address: SocketAddrV4,
    /// Last opening that found no queued one to be released after it, and when.
    outranked_none: Option<(ReleaseOrder, u64)>,
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
            is_asking_peers: false,
            zone: zone.to_owned(),
            control_address,
            outranked_none: None,
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
        let route = self.check_route(&segment.flow).map(|_| ());
        // The entry of an opening without a route would take the place of an open flow's.
        let has_no_route = matches!(route, Err(ForwardingDecision::Reset(_)));
        if segment.opens && origin == Origin::Caller && !has_no_route {
            self.flow_locations.note_opening(segment.flow, segment.retransmission, now_ms);
        }
        match route {
            Err(ForwardingDecision::Reset(_)) if segment.resets => {
                ForwardingDecision::Drop(DropReason::NothingToReset)
            }
            Err(decision) => decision,
            Ok(()) if segment.opens => self.decide_on_opening(segment, now_ms),
            Ok(()) => self.decide_on_established(segment, origin, now_ms),
        }
    }

    /// Route rule of a flow, or what to do with a segment of a flow without one.
    fn check_route(&self, flow: &FlowKey) -> Result<&RouteRule, ForwardingDecision> {
        if !self.routing.is_configured() {
            return Err(ForwardingDecision::Wait(WaitReason::NoConfiguration));
        }
        let rule = self.routing.route(flow.service);
        rule.ok_or(ForwardingDecision::Reset(ResetReason::NoRoute))
    }

    /// Decides what to do with a segment that an agent returned because no target of its chain holds
    /// the flow, or no agent of its chain tracks it.
    pub fn handle_returned_segment(
        &mut self,
        segment: &Segment,
        returned: &ReturnedSegment,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = segment.flow;
        let &ReturnedSegment { agent, search_id, saw_full_target, is_ruled_out, .. } = returned;
        if segment.opens {
            return self.handle_refused_opening(segment, search_id, saw_full_target, now_ms);
        }
        if search_id == 0 {
            if self.flow_locations.holder(&flow, now_ms) == Some(agent) {
                self.flow_locations.remove(&flow);
            }
            return self.start_search(segment, Origin::Balancer, now_ms);
        }
        let search_state =
            self.flow_locations.note_not_held(&flow, search_id, is_ruled_out, now_ms);
        if search_state == SearchState::Pending {
            return ForwardingDecision::Drop(DropReason::Searching);
        }
        let copies = match self.reachable_holder(&flow, now_ms) {
            Some(_) => Vec::new(),
            None => self.take_postponed_copies(&flow, now_ms),
        };
        self.continue_search(segment, search_state, now_ms).with_copies(copies)
    }

    /// Decides what to do with an opening that all agents of one offer refused.
    ///
    /// In a burst of more openings than the targets can accept at once, an opening is offered again for
    /// as long as the answer can reach the caller in time. After that the flow is reset; if its requests have a
    /// class, the flow is reset as soon as no target can start its request in that time.
    fn handle_refused_opening(
        &mut self,
        segment: &Segment,
        search_id: u32,
        saw_full_target: bool,
        now_ms: u64,
    ) -> ForwardingDecision {
        let flow = &segment.flow;
        if !self.flow_locations.note_offer_refused(flow, search_id) {
            return ForwardingDecision::Drop(DropReason::LateRefusal);
        }
        let class = self.request_class(segment);
        let may_have_capacity =
            saw_full_target || (class.is_some() && self.has_unasked_candidates(flow, now_ms));
        let reset_reason = match (may_have_capacity, class) {
            (false, _) => ResetReason::NoTarget,
            (true, None) if self.flow_locations.may_offer_again(flow, now_ms) => {
                return ForwardingDecision::Wait(WaitReason::AllFull);
            }
            (true, None) => ResetReason::AllFull,
            (true, Some(class)) => {
                let age_ms = self.opening_age_ms(flow, now_ms);
                let wait_ms = self.shortest_wait_ms(flow, class, now_ms);
                if offering::is_worth_offering(age_ms, wait_ms, flow.hash()) {
                    return ForwardingDecision::Wait(WaitReason::AllFull);
                }
                match offering::is_worth_offering(age_ms, 0, flow.hash()) {
                    _ if !saw_full_target => ResetReason::NoTarget,
                    true => ResetReason::Overload,
                    false => ResetReason::AllFull,
                }
            }
        };
        match self.flow_locations.are_all_offers_refused(flow, now_ms) {
            true => ForwardingDecision::Reset(reset_reason),
            false => ForwardingDecision::Drop(DropReason::LateRefusal),
        }
    }

    /// Whether a chain leaves out candidates of the service to which the opening is offered. The next offer is made
    /// in another order.
    fn has_unasked_candidates(&self, flow: &FlowKey, now_ms: u64) -> bool {
        let count = |service: &&str| self.targets.candidate_count(&self.routing, service, now_ms);
        let services = self.candidate_services(flow);
        let offered = services.iter().map(count).find(|count| *count > 0);
        offered.is_some_and(|count| count > MAX_OPENING_CHAIN)
    }

    /// Shortest time in milliseconds until a target of the service to which the opening is offered starts a request
    /// of this class; 0 if no service of the route has a target.
    fn shortest_wait_ms(&self, flow: &FlowKey, class: RequestClass, now_ms: u64) -> u64 {
        let services = self.candidate_services(flow);
        let wait_ms =
            |service: &&str| self.targets.shortest_wait_ms(&self.routing, service, class, now_ms);
        services.iter().find_map(wait_ms).unwrap_or(0)
    }

    /// Time since the caller sent its first opening segment, in milliseconds, as far as it is known.
    fn opening_age_ms(&self, flow: &FlowKey, now_ms: u64) -> u64 {
        self.flow_locations.opened_ms(flow).map_or(0, |opened_ms| now_ms.saturating_sub(opened_ms))
    }

    /// Queues a segment until it can be decided on. Openings that are released last make room for one that
    /// comes before them. Returns whether there was room, and the number of segments dropped for it.
    pub fn queue(&mut self, segment: &Segment, datagram: &[u8], now_ms: u64) -> (bool, usize) {
        let is_new_opening = segment.opens && !self.waiting_segments.contains(&segment.flow);
        let mut dropped = 0;
        if is_new_opening && self.waiting_segments.is_full_of_openings() {
            dropped = self.drop_outranked(self.release_order(segment, now_ms), now_ms);
        }
        (self.waiting_segments.push(*segment, datagram, now_ms), dropped)
    }

    /// Drops queued openings that are released after one of this order, those that are released last. Returns the
    /// number of segments dropped.
    fn drop_outranked(&mut self, order: ReleaseOrder, now_ms: u64) -> usize {
        let is_known_last = self.outranked_none.is_some_and(|(last, checked_ms)| {
            order >= last && now_ms.saturating_sub(checked_ms) < OUTRANKED_CHECK_INTERVAL_MS
        });
        if is_known_last {
            return 0;
        }
        let mut flows = self.waiting_segments.in_order(|queued| self.release_order(queued, now_ms));
        let last = flows.split_off(flows.len().saturating_sub(OPENINGS_DROPPED_AT_ONCE));
        let mut waiting_segments = std::mem::take(&mut self.waiting_segments);
        let dropped = waiting_segments
            .take_due(last.len(), &last, |queued| self.release_order(queued, now_ms) > order);
        self.waiting_segments = waiting_segments;
        self.outranked_none = dropped.is_empty().then_some((order, now_ms));
        dropped.len()
    }

    /// Order in which a queued segment's flow is released: openings after established flows; among them those
    /// whose answer can be in time first, by priority, then the oldest first.
    fn release_order(&self, segment: &Segment, now_ms: u64) -> ReleaseOrder {
        if !segment.opens {
            return ReleaseOrder::Established;
        }
        match self.request_class(segment) {
            None => ReleaseOrder::Opening { is_late: false, priority: u32::MAX, opened_ms: 0 },
            Some(class) => {
                let age_ms = self.opening_age_ms(&segment.flow, now_ms);
                ReleaseOrder::Opening {
                    is_late: !offering::can_be_in_time(age_ms, &class),
                    priority: class.priority,
                    opened_ms: now_ms.saturating_sub(age_ms),
                }
            }
        }
    }

    /// Whether others have to be asked which zones they hold out before openings are accepted. A store that reports
    /// no era is not known to return from older copies, and nobody holds a zone.
    pub fn must_ask_peers(&self) -> bool {
        self.is_asking_peers && self.routing.position().era != UNKNOWN_ERA
    }

    /// Removes and returns the queued segments that can be decided on now, of at most `max_flows` flows, in the
    /// order in which they are to be decided on.
    pub fn take_releasable(&mut self, max_flows: usize, now_ms: u64) -> Vec<WaitingSegment> {
        if self.waiting_segments.is_empty() || !self.routing.is_configured() {
            return Vec::new();
        }
        let flows = self.waiting_segments.in_order(|segment| self.release_order(segment, now_ms));
        let mut waiting_segments = std::mem::take(&mut self.waiting_segments);
        let all_agents_resolved =
            self.knows_all_agents && self.targets.is_liveness_resolved(now_ms);
        let change = self.targets.note_available_agents(now_ms);
        // The answer is the same for all openings of a route, and takes a look at each target.
        let mut decidable_routes: IndexMap<SocketAddrV4, bool> = IndexMap::new();
        let releasable = waiting_segments.take_due(max_flows, &flows, |segment| {
            let flow = &segment.flow;
            if self.routing.route(flow.service).is_none() {
                return true;
            }
            if !segment.opens {
                return self.is_established_releasable(flow, all_agents_resolved, change, now_ms);
            }
            !self.must_ask_peers()
                && self.flow_locations.is_offer_due(flow, now_ms)
                && *decidable_routes
                    .entry(flow.service)
                    .or_insert_with(|| self.can_decide_on_openings(flow, now_ms))
        });
        self.waiting_segments = waiting_segments;
        releasable
    }

    /// Whether openings of the flow's route can be offered, or refused for want of a target.
    fn can_decide_on_openings(&self, flow: &FlowKey, now_ms: u64) -> bool {
        let services = self.candidate_services(flow);
        self.targets.has_candidate(&self.routing, &services, now_ms)
            || !self.may_accept_flows_soon(&services, now_ms)
    }

    /// Whether a queued segment that is not an opening can be decided on. `all_agents_resolved` means that every
    /// agent that may hold a flow is known and none is [`Liveness::Awaited`]; `change` is the latest one by which an
    /// agent became available.
    fn is_established_releasable(
        &mut self,
        flow: &FlowKey,
        all_agents_resolved: bool,
        change: u64,
        now_ms: u64,
    ) -> bool {
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
        let class = self.request_class(segment);
        let holder = self.flow_locations.holder(&flow, now_ms);
        let (service, mut chain) =
            match self.plan_opening(&flow, class, segment.retransmission, holder, now_ms) {
                Ok(plan) => plan,
                Err(decision) => return decision,
            };
        let is_first_offer = segment.retransmission == 0
            && holder.is_none()
            && self.flow_locations.offer_count(&flow) == 0;
        let ignores_health = self.targets.ignores_health(&self.routing, &service, now_ms);
        if is_first_offer && !ignores_health {
            let is_idempotent = self.is_route_idempotent(&flow);
            let (routing, zone) = (&self.routing, &self.zone);
            let trial = self.targets.begin_trial(routing, &service, zone, is_idempotent, now_ms);
            chain.retain(|agent| Some(*agent) != trial);
            chain.splice(0..0, trial);
        }
        let first = chain.remove(0);
        self.targets.note_offer(first, class, now_ms);
        let search_id = self.flow_locations.begin_offer(flow, now_ms);
        let report_to = Some(self.control_address);
        let has_waited = segment.retransmission > 0 || self.flow_locations.offer_count(&flow) > 1;
        let header = SegmentHeader {
            chain,
            service,
            report_to,
            search_id,
            has_waited,
            class,
            waited_ms: self.opening_age_ms(&flow, now_ms),
            origin_zone: hash64(self.zone.as_bytes()) as u32,
            ignores_health,
            ..SegmentHeader::default()
        };
        ForwardingDecision::Send(vec![(first, header)])
    }

    /// Service and agents to which an opening is offered now, in the order of the offers, or what to do with an
    /// opening for which there are none. `holder` is the agent whose target accepted an earlier transmission.
    fn plan_opening(
        &self,
        flow: &FlowKey,
        class: Option<RequestClass>,
        retransmission: u32,
        holder: Option<SocketAddrV4>,
        now_ms: u64,
    ) -> Result<(String, Vec<SocketAddrV4>), ForwardingDecision> {
        if self.must_ask_peers() {
            return Err(ForwardingDecision::Wait(WaitReason::PeersNotAsked));
        }
        let draw = self.opening_draw(flow, class);
        let offers = self.flow_locations.offer_count(flow);
        let is_repeated = offers > 0 && retransmission == 0;
        let limit = if is_repeated { MAX_REOFFER_CHAIN } else { MAX_OPENING_CHAIN };
        // The holder, and the agents that have not been asked, may come later in the ranking.
        let is_reordered = draw == 0 || holder.is_some();
        let ranked_limit = if is_reordered { MAX_OPENING_CHAIN } else { limit };
        let plan = self.opening_chain(flow, class, draw, ranked_limit, now_ms);
        let Some((service, mut chain)) = plan else {
            return match self.may_accept_flows_soon(&self.candidate_services(flow), now_ms) {
                true => Err(ForwardingDecision::Wait(WaitReason::NoTargetYet)),
                false => Err(ForwardingDecision::Reset(ResetReason::NoTarget)),
            };
        };
        let is_candidate = |holder: &SocketAddrV4| {
            self.targets.is_candidate(*holder, &self.routing, &service, now_ms)
        };
        match holder.filter(is_candidate) {
            // The load of the target may have grown, so that it is not among the best ones any more.
            Some(holder) => {
                chain.retain(|agent| *agent != holder);
                chain.insert(0, holder);
                chain.truncate(MAX_OPENING_CHAIN);
            }
            // After an offer that was refused or not answered, other agents come first.
            None => {
                if draw == 0 {
                    let skipped = retransmission.max(offers) as usize % chain.len();
                    chain.rotate_left(skipped);
                }
                chain.truncate(limit);
            }
        }
        Ok((service, chain))
    }

    /// Number of the random order in which the next offer of an opening ranks targets of equal load. An opening
    /// with a class that all have refused goes to the targets that are best by now, in another random order; any
    /// other repeated one first to agents that have not been asked.
    fn opening_draw(&self, flow: &FlowKey, class: Option<RequestClass>) -> u32 {
        let offers = self.flow_locations.offer_count(flow);
        let was_refused = offers > 0 && !self.flow_locations.has_pending_offer(flow);
        if class.is_some() && was_refused { offers } else { 0 }
    }

    /// Explains where an opening of this flow that its caller sent now would be offered, without any effect.
    /// The error is what would be done with it for want of a configuration or a route.
    pub fn explain(&self, flow: &FlowKey, now_ms: u64) -> Result<Explanation, ForwardingDecision> {
        let rule = self.check_route(flow)?;
        let class = rule.class;
        let holder = self.flow_locations.peek_holder(flow);
        let plan = self.plan_opening(flow, class, 0, holder, now_ms);
        let order = self.candidate_services(flow);
        let (chosen, chain, decision) = match &plan {
            Ok((service, chain)) => (Some(service.as_str()), chain.as_slice(), "offer".to_owned()),
            Err(decision) => (None, &[][..], decision.describe()),
        };
        let tried = order.iter().position(|service| Some(*service) == chosen);
        let tried = &order[..tried.map_or(order.len(), |position| position + 1)];
        let target_hash = target_hash(flow, self.opening_draw(flow, class));
        let ranking = chosen.map(|service| {
            let (routing, zone) = (&self.routing, &self.zone);
            self.targets.opening_ranking(routing, service, class, target_hash, zone, now_ms)
        });
        let mut explanation = Explanation {
            availability_zone: self.zone.clone(),
            caller: flow.caller,
            route: flow.service,
            route_name: rule.name.clone(),
            class: class.map(ClassView::from),
            services: rule.services.iter().map(ServiceView::from).collect(),
            service: chosen.map(str::to_owned),
            decision,
            chain: chain.to_vec(),
            known_holder: holder,
            earlier_offers: self.flow_locations.offer_count(flow),
            ..Explanation::default()
        };
        if let Some(ranking) = ranking {
            explanation.set_ranking(&ranking, &self.targets, now_ms);
        }
        explanation.set_exclusions(&self.targets, &self.routing, tried, &order, now_ms);
        Ok(explanation)
    }

    /// Service and at most `limit` agents to which an opening is offered. Each `draw` orders targets of equal load differently.
    fn opening_chain(
        &self,
        flow: &FlowKey,
        class: Option<RequestClass>,
        draw: u32,
        limit: usize,
        now_ms: u64,
    ) -> Option<(String, Vec<SocketAddrV4>)> {
        let (routing, target_hash) = (&self.routing, target_hash(flow, draw));
        let rule = self.routing.route(flow.service)?;
        rule.service_order(flow.hash()).into_iter().find_map(|service| {
            let zone = &self.zone;
            let ranking =
                self.targets.opening_ranking(routing, service, class, target_hash, zone, now_ms);
            let chain = ranking.chain(limit);
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
        let header = SegmentHeader {
            report_to: Some(self.control_address),
            class: self.request_class(segment),
            ..SegmentHeader::default()
        };
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
        self.is_route_idempotent(flow)
            && self.targets.has_candidate(&self.routing, &self.candidate_services(flow), now_ms)
    }

    /// Class of the requests that a segment opens a flow for or carries.
    pub fn request_class(&self, segment: &Segment) -> Option<RequestClass> {
        let may_begin_request = segment.opens || segment.payload_bytes > 0;
        self.routing.route(segment.flow.service).filter(|_| may_begin_request)?.class
    }

    fn is_route_idempotent(&self, flow: &FlowKey) -> bool {
        self.routing.route(flow.service).is_some_and(|rule| rule.is_idempotent)
    }
}

/// Hash by which the targets are ordered for a flow; each `draw` gives another one.
fn target_hash(flow: &FlowKey, draw: u32) -> u64 {
    match draw {
        0 => flow.hash(),
        draw => hash64_with_seed(&flow.hash().to_be_bytes(), u64::from(draw)),
    }
}
