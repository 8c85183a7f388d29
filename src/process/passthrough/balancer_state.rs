//! All decisions of a balancer on passed-through flows. No I/O, no clock.

use std::net::SocketAddrV4;

use crate::connection::flow_key::FlowKey;
use crate::connection::found_flows::FoundFlows;
use crate::connection::segment::Segment;
use crate::process::passthrough::way::Way;
use crate::version::routing::Routing;
use crate::version::target_table::Liveness;
use crate::version::target_table::Search;
use crate::version::target_table::TargetTable;

/// Agents without an answer that get a copy of a segment whose flow is not found.
const MAX_COPIES: usize = 8;

/// What to do with a segment of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Forwarding {
    /// Send it to these agents, each with the way to go on from there.
    Send(Vec<(SocketAddrV4, Way)>),
    /// Reset the flow towards the caller.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
}

/// Why a segment is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No agent is known that may take or hold the flow, but some may turn up in a moment.
    NoTargetYet,
    /// The flow was searched for often enough while an agent does not answer.
    SearchedOften,
    /// A reset of a flow that nobody holds.
    NothingToReset,
}

impl DropReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [DropReason; 4] = [
        DropReason::NoConfiguration,
        DropReason::NoTargetYet,
        DropReason::SearchedOften,
        DropReason::NothingToReset,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::NoConfiguration => "no-configuration",
            DropReason::NoTargetYet => "no-target-yet",
            DropReason::SearchedOften => "searched-often",
            DropReason::NothingToReset => "nothing-to-reset",
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
    /// The agent beside the flow's target is silent, and the request may be repeated.
    HolderSilent,
    /// Every target that may hold the flow has given it back.
    NotHeld,
}

impl ResetReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [ResetReason; 4] = [
        ResetReason::NoRoute,
        ResetReason::NoTarget,
        ResetReason::HolderSilent,
        ResetReason::NotHeld,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no-route",
            ResetReason::NoTarget => "no-target",
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
    pub found: FoundFlows,
    zone: String,
    control: SocketAddrV4,
}

impl BalancerState {
    /// Knows nothing yet.
    pub fn new(zone: &str, control: SocketAddrV4) -> BalancerState {
        BalancerState {
            routing: Routing::new(),
            targets: TargetTable::new(),
            found: FoundFlows::new(),
            zone: zone.to_owned(),
            control,
        }
    }

    /// Decides on a caller's segment.
    pub fn forward(&mut self, segment: &Segment, now_ms: u64) -> Forwarding {
        if !self.routing.is_configured() {
            return Forwarding::Drop(DropReason::NoConfiguration);
        }
        if self.routing.route(segment.flow.service).is_none() {
            return match segment.resets {
                true => Forwarding::Drop(DropReason::NothingToReset),
                false => Forwarding::Reset(ResetReason::NoRoute),
            };
        }
        if segment.opens { self.open(segment, now_ms) } else { self.follow(segment, now_ms) }
    }

    /// An opening goes to the agent that has taken an earlier copy, or to a fresh chain.
    fn open(&mut self, segment: &Segment, now_ms: u64) -> Forwarding {
        let flow = segment.flow;
        let Some((service, mut chain)) = self.opening_chain(&flow, now_ms) else {
            return match self.is_settled(now_ms) {
                true => Forwarding::Reset(ResetReason::NoTarget),
                false => Forwarding::Drop(DropReason::NoTargetYet),
            };
        };
        let holder = self.found.holder(&flow, now_ms);
        match holder.and_then(|holder| chain.iter().position(|agent| *agent == holder)) {
            Some(position) => chain[..=position].rotate_right(1),
            // The first copy was not answered: its first agent may be gone.
            None => {
                let skipped = segment.copy as usize % chain.len();
                chain.rotate_left(skipped);
            }
        }
        let first = chain.remove(0);
        self.targets.note_offer(first);
        let report_to = Some(self.control);
        let way = Way { chain, service, may_reset: true, report_to, is_known: false };
        Forwarding::Send(vec![(first, way)])
    }

    fn opening_chain(&self, flow: &FlowKey, now_ms: u64) -> Option<(String, Vec<SocketAddrV4>)> {
        let flow_hash = flow.hash();
        let rule = self.routing.route(flow.service)?;
        rule.order(flow_hash).into_iter().find_map(|service| {
            let chain =
                self.targets.opening_chain(&self.routing, service, flow_hash, &self.zone, now_ms);
            (!chain.is_empty()).then(|| (service.to_owned(), chain))
        })
    }

    /// Whether every agent that is known has been heard, or is known to be silent.
    fn is_settled(&self, now_ms: u64) -> bool {
        !self.targets.search(&[], 0, &self.zone, now_ms).has_awaited
    }

    /// Any other segment goes to the agent that holds the flow, or is searched for.
    fn follow(&mut self, segment: &Segment, now_ms: u64) -> Forwarding {
        let flow = segment.flow;
        let search = self.search(&flow, now_ms);
        let is_idempotent = self.routing.route(flow.service).is_some_and(|rule| rule.is_idempotent);
        let may_reset = search.unanswering.is_empty() || (is_idempotent && !search.has_awaited);
        let holder = self.found.holder(&flow, now_ms);
        let liveness = holder.and_then(|holder| self.targets.liveness(holder, now_ms));
        match (holder, liveness) {
            (Some(holder), Some(Liveness::Alive)) => {
                let mut chain = search.chain;
                chain.retain(|agent| *agent != holder);
                let report_to = Some(self.control);
                let way = Way { chain, may_reset, report_to, is_known: true, ..Way::default() };
                Forwarding::Send(vec![(holder, way)])
            }
            (Some(holder), Some(liveness)) => {
                let others_live = !search.chain.is_empty();
                if liveness == Liveness::Silent && is_idempotent && others_live && !segment.resets {
                    self.found.forget(&flow);
                    return Forwarding::Reset(ResetReason::HolderSilent);
                }
                Forwarding::Send(vec![(holder, Way::default())])
            }
            _ => self.search_for(segment, search, may_reset, now_ms),
        }
    }

    fn search(&self, flow: &FlowKey, now_ms: u64) -> Search {
        let flow_hash = flow.hash();
        let rule = self.routing.route(flow.service);
        let mut services = rule.map_or_else(Vec::new, |rule| rule.order(flow_hash));
        services.extend(self.routing.past_services(flow.service));
        self.targets.search(&services, flow_hash, &self.zone, now_ms)
    }

    fn search_for(
        &mut self,
        segment: &Segment,
        search: Search,
        may_reset: bool,
        now_ms: u64,
    ) -> Forwarding {
        let report_to = Some(self.control);
        let copy = |agent| (agent, Way { report_to, ..Way::default() });
        let may_search = self.found.may_search(segment.flow, now_ms);
        let mut ways: Vec<(SocketAddrV4, Way)> =
            search.unanswering.iter().copied().take(MAX_COPIES).map(copy).collect();
        if may_search || ways.is_empty() {
            let mut chain = search.chain.into_iter();
            if let Some(first) = chain.next() {
                let chain = chain.collect();
                ways.push((first, Way { chain, may_reset, report_to, ..Way::default() }));
            }
        }
        match ways.is_empty() {
            false => Forwarding::Send(ways),
            true if may_search => Forwarding::Drop(DropReason::NoTargetYet),
            true => Forwarding::Drop(DropReason::SearchedOften),
        }
    }
}
