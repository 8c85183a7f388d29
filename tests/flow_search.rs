//! Searches for the agent that holds a flow, through the decisions of balancers and agents, without sockets and
//! clocks.

#[macro_use]
mod support;

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rhubarbthread::connection::request_class::RequestClass;
use rhubarbthread::connection::request_queue::RequestOrder;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::process::passthrough::agent_state::Action;
use rhubarbthread::process::passthrough::agent_state::AgentState;
use rhubarbthread::process::passthrough::balancer_state::BalancerState;
use rhubarbthread::process::passthrough::balancer_state::ForwardingDecision;
use rhubarbthread::process::passthrough::balancer_state::ResetReason;
use rhubarbthread::process::passthrough::message::NodeMessage;
use rhubarbthread::process::passthrough::message::ReturnedSegment;
use rhubarbthread::process::passthrough::segment_header;
use rhubarbthread::process::passthrough::segment_header::SegmentHeader;
use rhubarbthread::version::target_status::TargetStatus;

use crate::support::passthrough::address;
use crate::support::passthrough::agent;
use crate::support::passthrough::configuration_of;
use crate::support::passthrough::report_of;
use crate::support::passthrough::returned;
use crate::support::passthrough::revision;
use crate::support::passthrough::segment_of;
use crate::support::passthrough::status_of;

const ROUTE: u16 = 443;
const CLASS: RequestClass = RequestClass { priority: 2, objective_ms: 250, timeout_ms: 4_000 };

/// Agents of the tests, with their zones.
const AGENTS: [(u8, &str); 4] = [(11, "a"), (12, "a"), (21, "b"), (31, "c")];

/// The request of the flow from this port.
fn request(port: u16) -> Segment {
    Segment { payload_bytes: 100, acknowledged: 8, ..segment_of(ROUTE, port) }
}

/// Balancers, agents and targets that exchange segments without delay.
struct Site {
    balancers: Vec<BalancerState>,
    agents: IndexMap<SocketAddrV4, AgentState>,
    /// Flows at the targets, by caller port.
    holders: IndexMap<u16, SocketAddrV4>,
    /// Agents that take no segments.
    unreachable: Vec<SocketAddrV4>,
    /// Agents of a build that searches in one round.
    earlier_build: Vec<SocketAddrV4>,
    /// Segments of the flows that reached the targets.
    to_targets: IndexMap<SocketAddrV4, u32>,
    resets: Vec<ResetReason>,
}

impl Site {
    /// Balancers that have just started, and agents that have seen all flows of their targets.
    fn new(balancers: usize) -> Site {
        let agents = AGENTS.map(|(octet, _)| (agent(octet), started_agent(true)));
        Site {
            balancers: (0..balancers).map(|_| started_balancer()).collect(),
            agents: agents.into_iter().collect(),
            holders: IndexMap::new(),
            unreachable: Vec::new(),
            earlier_build: Vec::new(),
            to_targets: IndexMap::new(),
            resets: Vec::new(),
        }
    }

    /// Opens the flow from a port at a target, through its agent.
    fn open(&mut self, port: u16, octet: u8) {
        let accepted = Segment { accepts: true, sequence: 7, ..segment_of(ROUTE, port) };
        self.agents[&agent(octet)].handle_target_segment(&accepted, 0);
        self.holders.insert(port, agent(octet));
    }

    fn restart_agent(&mut self, octet: u8) {
        self.agents[&agent(octet)] = started_agent(false);
    }

    /// Occupies all slots of a target, so that further requests are queued.
    fn fill_slots(&mut self, octet: u8) {
        for port in 1_000..1_005 {
            self.open(port, octet);
            let header = SegmentHeader { class: Some(CLASS), ..SegmentHeader::default() };
            let action = self.agents[&agent(octet)].handle_node_segment(&request(port), header, 0);
            assert!(matches!(action, Action::ForwardToTarget { .. }), "{action:?}");
        }
    }

    /// A caller's segment arrives at a balancer.
    fn receive(&mut self, balancer: usize, segment: &Segment, now_ms: u64) {
        let decision = self.balancers[balancer].decide(segment, now_ms);
        self.apply(balancer, segment, decision, now_ms);
    }

    fn apply(
        &mut self,
        balancer: usize,
        segment: &Segment,
        decision: ForwardingDecision,
        now_ms: u64,
    ) {
        match decision {
            ForwardingDecision::Send(destinations)
            | ForwardingDecision::SendAndWait(destinations, _) => {
                for (agent, header) in destinations {
                    self.forward(balancer, segment, agent, header, now_ms);
                }
            }
            ForwardingDecision::Reset(reason) => self.resets.push(reason),
            ForwardingDecision::Wait(_) | ForwardingDecision::Drop(_) => {}
        }
    }

    /// Passes a segment from agent to agent until its flow is found, or all of them have passed it on.
    fn forward(
        &mut self,
        balancer: usize,
        segment: &Segment,
        mut agent: SocketAddrV4,
        mut header: SegmentHeader,
        now_ms: u64,
    ) {
        loop {
            if self.unreachable.contains(&agent) {
                return;
            }
            if self.earlier_build.contains(&agent) {
                header = SegmentHeader { is_tables_only: false, is_ruled_out: false, ..header };
            }
            let state = &mut self.agents[&agent];
            let mut action = state.handle_node_segment(segment, header, now_ms);
            if let Action::ForwardToTarget { cookie, .. } = action {
                *self.to_targets.entry(agent).or_default() += 1;
                if self.holders.get(&segment.flow.caller.port()) != Some(&agent) {
                    let bounced = Segment { is_bounced: true, cookie, ..*segment };
                    action = state.handle_target_segment(&bounced, now_ms);
                }
            }
            let found_by = match action {
                Action::ForwardToTarget { notify, .. } => notify,
                Action::Queue { header, notify } => {
                    state.queue_segment(segment, header, vec![0; 134], now_ms);
                    notify
                }
                Action::ForwardToAgent(next, next_header, _) => {
                    (agent, header) = (next, next_header);
                    continue;
                }
                Action::ReturnToBalancer { search_id, saw_full_target, is_ruled_out, .. } => {
                    let returned = returned(agent, search_id, saw_full_target);
                    let returned = ReturnedSegment { is_ruled_out, ..returned };
                    let balancer_state = &mut self.balancers[balancer];
                    let decision =
                        balancer_state.handle_returned_segment(segment, &returned, now_ms);
                    return self.apply(balancer, segment, decision, now_ms);
                }
                Action::ForwardToCaller { .. } | Action::Drop => None,
            };
            if found_by.is_some() {
                let locations = &mut self.balancers[balancer].flow_locations;
                locations.record_holder(segment.flow, agent, true, now_ms);
            }
            return;
        }
    }

    /// Segments that reached the target of an agent.
    fn at_target(&self, octet: u8) -> u32 {
        self.to_targets.get(&agent(octet)).copied().unwrap_or(0)
    }
}

/// An agent that has started before its target, or while the target ran.
fn started_agent(is_before_target: bool) -> AgentState {
    let mut agent = AgentState::new(7, 1_800, 0).with_request_order(RequestOrder::Priority);
    if is_before_target {
        agent.gate.note_connection_refused();
    }
    agent.apply_report(report_of("a", 1, 1), 0);
    agent.introduction.note_registered_balancers(IndexSet::new());
    agent
}

/// A balancer that knows all agents and no flow.
fn started_balancer() -> BalancerState {
    let mut balancer = BalancerState::new("a", address(100, 7720));
    balancer.knows_all_agents = true;
    let mut configuration = configuration_of(1, "vypocet", &[(ROUTE, true)]);
    configuration.routes.values_mut().for_each(|rule| rule.class = Some(CLASS));
    balancer.routing.apply_configuration(configuration, revision(10));
    for (octet, zone) in AGENTS {
        balancer.targets.apply_status(status_of(octet, zone, "vypocet"), 0, 0);
    }
    balancer
}

cases! {
    // Balancers that were restarted in turn each sent a copy of a queued request to the targets of restarted agents:
    // three within 2.4 s, while none reached its own.
    searches_for_a_queued_request_reach_no_other_target: {
        let mut site = Site::new(3);
        site.restart_agent(11);
        site.restart_agent(31);
        site.fill_slots(21);
        site.open(1, 21);
        for (balancer, now_ms) in [(0, 0), (1, 800), (2, 2_400)] {
            site.receive(balancer, &request(1), now_ms);
        }
        assert_eq!([11, 31].map(|octet| site.at_target(octet)), [0, 0]);
        assert_eq!((site.at_target(21), site.resets.len()), (0, 0));
    };
    a_flow_that_a_restarted_agent_does_not_track_is_found_at_its_target: {
        let mut site = Site::new(1);
        site.open(1, 31);
        site.restart_agent(31);
        site.receive(0, &request(1), 0);
        assert_eq!((site.at_target(31), site.resets.len()), (1, 0));
    };
    the_marks_of_a_search_reach_other_nodes: {
        for (is_tables_only, is_ruled_out) in [(true, false), (false, true)] {
            let header = SegmentHeader { is_tables_only, is_ruled_out, ..SegmentHeader::default() };
            let mut datagram = Vec::new();
            segment_header::encode(&header, b"segment", &mut datagram);
            assert_eq!(segment_header::decode(&datagram).map(|(header, _)| header), Ok(header));
            let message = NodeMessage::Returned(ReturnedSegment { is_ruled_out, ..returned(agent(11), 4, false) });
            assert_eq!(NodeMessage::decode(&message.encode()), Some(message));
        }
    };
    a_flow_that_no_target_holds_is_reset_by_the_tables_alone: {
        let mut site = Site::new(1);
        site.receive(0, &request(1), 0);
        assert_eq!((site.to_targets.len(), site.resets.as_slice()), (0, &[ResetReason::NotHeld][..]));
    };
    a_flow_that_the_targets_of_restarted_agents_do_not_hold_is_reset: {
        let mut site = Site::new(1);
        site.restart_agent(11);
        site.receive(0, &request(1), 0);
        assert_eq!((site.at_target(11), site.resets.as_slice()), (1, &[ResetReason::NotHeld][..]));
    };
    // Agents that were away, but had started again, sent copies of queued requests to their targets.
    searches_for_a_queued_request_send_no_copies_to_agents_that_are_away: {
        let mut site = Site::new(3);
        site.restart_agent(31);
        site.fill_slots(21);
        site.open(1, 21);
        for (balancer, now_ms) in [(0, 0), (1, 800), (2, 2_400)] {
            let stopping = TargetStatus { is_stopping: true, sequence: 2, ..status_of(31, "c", "vypocet") };
            site.balancers[balancer].targets.apply_status(stopping, 0, now_ms);
            site.receive(balancer, &request(1), now_ms);
        }
        assert_eq!((site.at_target(31), site.resets.len()), (0, 0));
    };
    a_flow_at_an_agent_that_is_away_gets_a_copy_once_the_others_have_answered: {
        let mut site = Site::new(1);
        site.open(1, 31);
        site.restart_agent(31);
        let stopping = TargetStatus { is_stopping: true, sequence: 2, ..status_of(31, "c", "vypocet") };
        site.balancers[0].targets.apply_status(stopping, 0, 0);
        site.receive(0, &request(1), 0);
        assert_eq!((site.at_target(31), site.resets.len()), (1, 0));
    };
    // The round in the tables never ends if an agent of the chain is gone, and does not reach the agents behind it.
    a_flow_behind_an_agent_that_is_gone_is_found_by_the_third_search: {
        for (gone, holder) in [(11, 12), (12, 11)] {
            let mut site = Site::new(1);
            site.open(1, holder);
            site.restart_agent(holder);
            site.unreachable.push(agent(gone));
            for now_ms in [0, 200, 600, 1_400] {
                site.receive(0, &request(1), now_ms);
            }
            assert!(site.at_target(holder) > 0, "{gone} is gone");
            assert_eq!(site.resets, []);
        }
    };
    // An agent of an earlier build asks its target, and drops the mark that the agents before it ruled the flow out.
    agents_of_an_earlier_build_in_a_chain_hide_no_flow: {
        for (earlier, holder) in [(11, 12), (12, 11)] {
            let mut site = Site::new(1);
            site.open(1, holder);
            site.restart_agent(holder);
            site.earlier_build.push(agent(earlier));
            site.receive(0, &request(1), 0);
            assert_eq!((site.at_target(holder), site.resets.len()), (1, 0), "{earlier} is of an earlier build");
        }
    };
}
