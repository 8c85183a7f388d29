//! Forwarding decisions of a balancer for passed-through flows, without sockets and clocks.

#[macro_use]
mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rhubarbthread::connection::flow_key::FlowKey;
use rhubarbthread::connection::flow_locations::MAX_FLOW_LOCATIONS;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_gate::TargetPhase;
use rhubarbthread::connection::target_instance::TargetInstanceSummary;
use rhubarbthread::process::passthrough::balancer_state::BalancerState;
use rhubarbthread::process::passthrough::balancer_state::DropReason;
use rhubarbthread::process::passthrough::balancer_state::ForwardingDecision;
use rhubarbthread::process::passthrough::balancer_state::ResetReason;
use rhubarbthread::process::passthrough::balancer_state::WaitReason;
use rhubarbthread::version::routing::ApplyOutcome;
use rhubarbthread::version::routing::Configuration;
use rhubarbthread::version::store_position::StorePosition;
use rhubarbthread::version::target_status::TargetStatus;
use rhubarbthread::version::target_status::TargetUpdate;
use rhubarbthread::version::target_table::AGENT_TIMEOUT_MS;
use rhubarbthread::version::target_table::Liveness;
use rhubarbthread::version::target_table::RESTART_GRACE_MS;

use crate::support::passthrough::address;
use crate::support::passthrough::agent;
use crate::support::passthrough::configuration_of;
use crate::support::passthrough::opening_of;
use crate::support::passthrough::returned;
use crate::support::passthrough::revision;
use crate::support::passthrough::segment_of;
use crate::support::passthrough::status_of;

const IDEMPOTENT: u16 = 443;
const ONCE: u16 = 8080;

fn configuration(version: u64, service: &str) -> Configuration {
    configuration_of(version, service, &[(IDEMPOTENT, true), (ONCE, false)])
}

/// A balancer in zone `a` that knows two targets in each of the zones `a` and `b`, and one of another
/// service in `a`.
fn balancer() -> BalancerState {
    let mut balancer = BalancerState::new("a", address(100, 7720));
    balancer.knows_all_agents = true;
    balancer.routing.apply_configuration(configuration(1, "vypocet"), revision(10));
    for status in [
        status_of(11, "a", "vypocet"),
        status_of(12, "a", "vypocet"),
        status_of(21, "b", "vypocet"),
        status_of(22, "b", "vypocet"),
        status_of(13, "a", "zpravy"),
    ] {
        balancer.targets.apply_status(status, 0, 0);
    }
    balancer
}

/// Agents to which a decision sends the segment, one chain for each destination.
fn chains(decision: ForwardingDecision) -> Vec<Vec<SocketAddrV4>> {
    match decision {
        ForwardingDecision::Send(destinations)
        | ForwardingDecision::SendAndWait(destinations, _) => destinations
            .into_iter()
            .map(|(first, header)| std::iter::once(first).chain(header.chain).collect())
            .collect(),
        other => panic!("expected a decision that sends the segment, got {other:?}"),
    }
}

/// Offers an opening, and returns the agent at the end of its chain and the search id of the offer.
fn offer(balancer: &mut BalancerState, now_ms: u64) -> (SocketAddrV4, u32) {
    searches(&balancer.decide(&opening_of(IDEMPOTENT, 1), now_ms))[0]
}

/// The last agent of each destination's chain, and the search id.
fn searches(decision: &ForwardingDecision) -> Vec<(SocketAddrV4, u32)> {
    match decision {
        ForwardingDecision::Send(destinations)
        | ForwardingDecision::SendAndWait(destinations, _) => destinations
            .iter()
            .map(|(first, header)| (*header.chain.last().unwrap_or(first), header.search_id))
            .collect(),
        other => panic!("expected a decision that sends the segment, got {other:?}"),
    }
}

/// Agents that get a copy by a decision that sends the segment to nobody else, in order, and why it is queued.
fn copies_alone(decision: &ForwardingDecision) -> (Vec<SocketAddrV4>, Option<WaitReason>) {
    let (destinations, reason) = match decision {
        ForwardingDecision::Send(destinations) => (destinations, None),
        ForwardingDecision::SendAndWait(destinations, reason) => (destinations, Some(*reason)),
        other => panic!("expected copies, got {other:?}"),
    };
    assert_eq!(untracked(decision), destinations.len(), "{decision:?}");
    let mut agents: Vec<SocketAddrV4> = destinations.iter().map(|(agent, _)| *agent).collect();
    agents.sort_unstable();
    (agents, reason)
}

/// Returns a segment from the end of each chain of its search, and yields the decision on the last one, or the
/// first decision if that sends the segment to nobody.
fn return_from_all_chains(
    balancer: &mut BalancerState,
    segment: &Segment,
    now_ms: u64,
) -> ForwardingDecision {
    let decision = balancer.decide(segment, now_ms);
    if matches!(decision, ForwardingDecision::Reset(_) | ForwardingDecision::Wait(_)) {
        return decision;
    }
    let searches = searches(&decision);
    let mut last_decision = decision;
    for (agent, search_id) in searches.into_iter().filter(|(_, search_id)| *search_id != u32::MAX) {
        last_decision =
            balancer.handle_returned_segment(segment, &returned(agent, search_id, false), now_ms);
    }
    last_decision
}

/// Lets an agent leave probes unanswered from `from_ms` until it counts as silent, while all others report.
/// Returns the time at which it does.
fn make_silent(balancer: &mut BalancerState, octet: u8, from_ms: u64) -> u64 {
    let now_ms = from_ms + AGENT_TIMEOUT_MS;
    balancer.targets.take_due_probes(true, |data, _| data == agent(octet), "a", from_ms);
    for other in [11, 12, 21, 22, 13].into_iter().filter(|other| *other != octet) {
        let service = if other == 13 { "zpravy" } else { "vypocet" };
        let zone = if other > 20 { "b" } else { "a" };
        let status = TargetStatus { sequence: now_ms, ..status_of(other, zone, service) };
        balancer.targets.apply_status(status, 0, now_ms);
    }
    now_ms
}

/// The last status of an agent that stops.
fn stopping(octet: u8, zone: &str) -> TargetStatus {
    TargetStatus { is_stopping: true, sequence: 2, ..status_of(octet, zone, "vypocet") }
}

/// The first status of the next process of an agent.
fn back(octet: u8, zone: &str) -> TargetStatus {
    TargetStatus { incarnation: 1_000, ..status_of(octet, zone, "vypocet") }
}

const UPGRADE_AGENTS: u8 = 40;
const UPGRADE_FLOWS: u16 = 1_000;
const UPGRADE_ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Time from one agent's stop to that of the next, and from its stop to its return, in milliseconds.
const RESTART_GAP_MS: u64 = 50;
const RESTART_MS: u64 = 560;

/// A balancer that has just started, with open flows whose holders it does not know, while each of its agents
/// restarts. Agents ask their targets, as they have forgotten which flows these hold.
struct Upgrade {
    balancer: BalancerState,
    found: IndexMap<FlowKey, SocketAddrV4>,
    /// Segments by flow and wrong target.
    wrong: IndexMap<(FlowKey, SocketAddrV4), u32>,
    /// Flows whose caller has sent a segment that no copies were made of yet.
    transmitted: IndexSet<FlowKey>,
    copies_without_transmissions: usize,
    incarnation: u64,
}

impl Upgrade {
    fn new() -> Upgrade {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        balancer.knows_all_agents = true;
        balancer.routing.apply_configuration(configuration(1, "vypocet"), revision(10));
        for octet in 1..=UPGRADE_AGENTS {
            balancer.targets.apply_status(status_of(octet, Upgrade::zone(octet), "vypocet"), 0, 0);
        }
        Upgrade {
            balancer,
            found: IndexMap::new(),
            wrong: IndexMap::new(),
            transmitted: IndexSet::new(),
            copies_without_transmissions: 0,
            incarnation: 1_000,
        }
    }

    fn zone(octet: u8) -> &'static str {
        UPGRADE_ZONES[usize::from(octet) % UPGRADE_ZONES.len()]
    }

    fn holder(port: u16) -> SocketAddrV4 {
        agent(1 + (port % u16::from(UPGRADE_AGENTS)) as u8)
    }

    fn step(&mut self, now_ms: u64) {
        for octet in 1..=UPGRADE_AGENTS {
            let stops_ms = u64::from(octet) * RESTART_GAP_MS;
            let zone = Upgrade::zone(octet);
            let status = status_of(octet, zone, "vypocet");
            // All agents answer probes, so that none becomes silent.
            let incarnation =
                if now_ms >= stops_ms + RESTART_MS { self.incarnation } else { status.incarnation };
            let is_stopping = (stops_ms..stops_ms + RESTART_MS).contains(&now_ms);
            let status = TargetStatus { incarnation, is_stopping, sequence: now_ms, ..status };
            self.balancer.targets.apply_status(status, 0, now_ms);
        }
        for port in 1..=UPGRADE_FLOWS {
            let segment = segment_of(ONCE, port);
            // Each caller sends from some moment of the first second on, and retransmits each 400 ms.
            let since_ms = now_ms.checked_sub(u64::from(port) / 10 * 10);
            if since_ms.is_some_and(|ms| ms % 400 == 0) && !self.found.contains_key(&segment.flow) {
                self.transmitted.insert(segment.flow);
                let decision = self.balancer.decide(&segment, now_ms);
                self.carry_out(&segment, decision, now_ms);
            }
        }
        for waiting in self.balancer.take_releasable(usize::MAX, now_ms) {
            let decision = self.balancer.decide_again(&waiting.segment, now_ms);
            self.carry_out(&waiting.segment, decision, now_ms);
        }
    }

    fn carry_out(&mut self, segment: &Segment, decision: ForwardingDecision, now_ms: u64) {
        let copies = untracked(&decision);
        if copies > 0 && !self.transmitted.swap_remove(&segment.flow) {
            self.copies_without_transmissions += copies;
        }
        let destinations = match decision {
            ForwardingDecision::Send(destinations) => destinations,
            ForwardingDecision::SendAndWait(destinations, _) => {
                self.balancer.waiting_segments.push(*segment, &[], now_ms);
                destinations
            }
            ForwardingDecision::Wait(_) => {
                self.balancer.waiting_segments.push(*segment, &[], now_ms);
                return;
            }
            ForwardingDecision::Reset(reason) => panic!("an open flow was reset: {reason:?}"),
            ForwardingDecision::Drop(_) => return,
        };
        for (first, header) in destinations {
            let hops: Vec<SocketAddrV4> =
                std::iter::once(first).chain(header.chain.iter().copied()).collect();
            let is_up = |hop: &SocketAddrV4| {
                self.balancer.targets.liveness(*hop, now_ms) == Some(Liveness::Alive)
            };
            if !hops.iter().all(is_up) {
                continue;
            }
            let holder = Upgrade::holder(segment.flow.caller.port());
            let passed = hops.iter().take_while(|hop| **hop != holder);
            for hop in passed {
                *self.wrong.entry((segment.flow, *hop)).or_default() += 1;
            }
            if hops.contains(&holder) {
                self.found.insert(segment.flow, holder);
                self.balancer.flow_locations.record_holder(segment.flow, holder, true, now_ms);
                self.balancer.waiting_segments.take_flow(&segment.flow);
                continue;
            }
            let last = hops[hops.len() - 1];
            let decision = self.balancer.handle_returned_segment(
                segment,
                &returned(last, header.search_id, false),
                now_ms,
            );
            self.carry_out(segment, decision, now_ms);
        }
    }
}

/// Number of copies to unavailable agents.
fn untracked(decision: &ForwardingDecision) -> usize {
    match decision {
        ForwardingDecision::Send(destinations)
        | ForwardingDecision::SendAndWait(destinations, _) => {
            destinations.iter().filter(|(_, header)| header.search_id == u32::MAX).count()
        }
        _ => 0,
    }
}

cases! {
    without_a_configuration_nothing_is_decided: {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        let decision = balancer.decide(&opening_of(IDEMPOTENT, 1), 0);
        assert_eq!(decision, ForwardingDecision::Wait(WaitReason::NoConfiguration));
    };
    a_balancer_that_is_asking_others_accepts_no_opening: {
        // The store's copy may lack the mark of a zone that others hold out.
        let mut balancer = balancer();
        balancer.is_asking_peers = true;
        let opening = opening_of(IDEMPOTENT, 1);
        // A store that reports no era costs no time at the start.
        assert!(matches!(balancer.decide(&opening_of(IDEMPOTENT, 2), 1), ForwardingDecision::Send(_)));
        balancer.routing.apply_zones_out(IndexMap::new(), 9, StorePosition { era: 3, revision: 9 }, 1);
        assert_eq!(balancer.decide(&opening, 1), ForwardingDecision::Wait(WaitReason::PeersNotAsked));
        balancer.queue(&opening, &[], 1);
        assert!(balancer.take_releasable(10, 2).is_empty());
        balancer.is_asking_peers = false;
        assert_eq!(balancer.take_releasable(10, 20).len(), 1);
        assert!(matches!(balancer.decide_again(&opening, 20), ForwardingDecision::Send(_)));
    };
    an_unknown_route_is_refused_at_once: {
        let decision = balancer().decide(&opening_of(9999, 1), 1);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NoRoute));
    };
    openings_without_a_route_push_no_open_flow_out_of_the_cache: {
        // The time of each opening was noted before its route was known, so that a caller with a wrong address made
        // the balancer search for open flows again.
        let mut balancer = balancer();
        balancer.flow_locations.record_holder(opening_of(IDEMPOTENT, 1).flow, agent(11), true, 1);
        for index in 0..=MAX_FLOW_LOCATIONS as u32 {
            let caller = SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + index), 1);
            let opening = opening_of(9999, 1);
            let flow = FlowKey { caller, ..opening.flow };
            let decision = balancer.decide(&Segment { flow, ..opening }, 2);
            assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NoRoute));
        }
        let holder = balancer.flow_locations.holder(&opening_of(IDEMPOTENT, 1).flow, 3);
        assert_eq!((holder, balancer.flow_locations.len()), (Some(agent(11)), 1));
    };
    an_opening_stays_in_its_zone_and_its_service: {
        for port in 1..200 {
            let chains = chains(balancer().decide(&opening_of(IDEMPOTENT, port), 1));
            assert_eq!(chains.len(), 1);
            assert!([agent(11), agent(12)].contains(&chains[0][0]), "{chains:?}");
            assert!(!chains[0].contains(&agent(13)), "{chains:?}");
        }
    };
    openings_spill_over_as_the_zone_fills_up: {
        let mut balancer = balancer();
        for octet in [11, 12] {
            let full = TargetStatus { sequence: 2, flows: 40, busy: 4, ..status_of(octet, "a", "vypocet") };
            balancer.targets.apply_status(full, 0, 1);
        }
        let first = chains(balancer.decide(&opening_of(IDEMPOTENT, 1), 2))[0][0];
        assert!([agent(21), agent(22)].contains(&first), "{first}");
    };
    openings_in_a_burst_are_shared_without_news_of_load: {
        let mut balancer = balancer();
        let mut counts: IndexMap<SocketAddrV4, u32> = IndexMap::new();
        for port in 1..=400 {
            *counts.entry(chains(balancer.decide(&opening_of(IDEMPOTENT, port), 1))[0][0]).or_default() += 1;
        }
        let busiest = counts.values().max().copied().unwrap_or(0);
        assert!(busiest <= 220, "at most 1.10 of the mean of 200: {counts:?}");
    };
    a_zone_that_is_out_gets_no_opening: {
        let mut balancer = balancer();
        balancer.routing.apply_zone("a", true, revision(11));
        for port in 1..50 {
            let chain = chains(balancer.decide(&opening_of(IDEMPOTENT, port), 1)).remove(0);
            assert!(chain.iter().all(|hop| [agent(21), agent(22)].contains(hop)), "{chain:?}");
        }
    };
    a_copy_of_an_opening_tries_another_agent_first: {
        let mut balancer = balancer();
        let first = chains(balancer.decide(&opening_of(IDEMPOTENT, 1), 1))[0][0];
        let copy = Segment { retransmission: 1, ..opening_of(IDEMPOTENT, 1) };
        assert_ne!(chains(balancer.decide(&copy, 201))[0][0], first);
    };
    a_copy_of_an_opening_that_was_taken_goes_there: {
        let mut balancer = balancer();
        let flow = opening_of(IDEMPOTENT, 1).flow;
        balancer.flow_locations.record_holder(flow, agent(12), true, 1);
        let copy = Segment { retransmission: 1, ..opening_of(IDEMPOTENT, 1) };
        assert_eq!(chains(balancer.decide(&copy, 201))[0][0], agent(12));
    };
    an_opening_that_all_refuse_is_refused_at_once: {
        let mut balancer = balancer();
        let (last, search_id) = offer(&mut balancer, 1);
        let decision = balancer.handle_returned_segment(&opening_of(IDEMPOTENT, 1), &returned(last, search_id, false), 20);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NoTarget));
    };
    a_late_refusal_ends_no_flow_that_a_copy_has_opened: {
        // A starting agent refuses the first copy after 212 ms, when a target has already accepted the
        // retransmission.
        let mut balancer = balancer();
        let (last, search_id) = offer(&mut balancer, 1);
        let decision = balancer.handle_returned_segment(&opening_of(IDEMPOTENT, 1), &returned(last, search_id, false), 213);
        assert_eq!(decision, ForwardingDecision::Drop(DropReason::LateRefusal));
    };
    a_refusal_of_an_earlier_copy_ends_no_flow: {
        let mut balancer = balancer();
        let (last, search_id) = offer(&mut balancer, 1);
        balancer.decide(&Segment { retransmission: 1, ..opening_of(IDEMPOTENT, 1) }, 100);
        let decision = balancer.handle_returned_segment(&opening_of(IDEMPOTENT, 1), &returned(last, search_id, false), 101);
        assert_eq!(decision, ForwardingDecision::Drop(DropReason::LateRefusal));
    };
    nobody_who_takes_flows_is_a_refusal_at_once: {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        balancer.knows_all_agents = true;
        balancer.routing.apply_configuration(configuration(1, "vypocet"), revision(10));
        let decision = balancer.decide(&opening_of(IDEMPOTENT, 1), 1);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NoTarget));
    };
    while_agents_are_starting_an_opening_is_not_refused: {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        balancer.routing.apply_configuration(configuration(1, "vypocet"), revision(10));
        balancer.targets.add_agent(agent(11), address(11, 7720), "a", 0);
        let decision = balancer.decide(&opening_of(IDEMPOTENT, 1), 1);
        assert_eq!(decision, ForwardingDecision::Wait(WaitReason::NoTargetYet));
    };
    a_found_flow_goes_straight_to_its_agent: {
        let mut balancer = balancer();
        balancer.flow_locations.record_holder(segment_of(ONCE, 1).flow, agent(22), true, 1);
        assert_eq!(chains(balancer.decide(&segment_of(ONCE, 1), 2)), vec![vec![agent(22)]]);
    };
    a_flow_that_is_not_found_is_searched_for_along_one_chain_a_zone: {
        let chains = chains(balancer().decide(&segment_of(ONCE, 1), 1));
        let mut all: Vec<SocketAddrV4> = chains.iter().flatten().copied().collect();
        all.sort_unstable();
        assert_eq!(all, [11, 12, 13, 21, 22].map(agent));
        assert_eq!(chains.len(), 2);
    };
    a_target_behind_one_that_is_gone_is_found_by_the_next_search: {
        // One host a second fails without deregistering, and each cuts the chains at its position. The
        // targets behind it are reached only in reverse order.
        let mut balancer = balancer();
        let first = chains(balancer.decide(&segment_of(ONCE, 1), 1));
        let second = chains(balancer.decide(&segment_of(ONCE, 1), 201));
        let reversed = |chain: &Vec<SocketAddrV4>| chain.iter().rev().copied().collect::<Vec<_>>();
        assert_eq!(second, first.iter().map(reversed).collect::<Vec<_>>());
    };
    who_holds_up_a_search_is_known_to_be_silent_soon: {
        // A relayed status is 0.7 s old when the agent fails. Without probes of this balancer it would
        // count for 3.2 s.
        let mut balancer = balancer();
        balancer.decide(&segment_of(ONCE, 1), 700);
        let not_monitored = |_: SocketAddrV4, _: &str| false;
        assert!(balancer.targets.take_due_probes(true, not_monitored, "a", 750).is_empty());
        balancer.decide(&segment_of(ONCE, 1), 900);
        let probed = balancer.targets.take_due_probes(true, not_monitored, "a", 950);
        assert_eq!(probed.len(), 5);
        for octet in [11, 12, 13, 21] {
            let (zone, service) = match octet {
                13 => ("a", "zpravy"),
                21 => ("b", "vypocet"),
                _ => ("a", "vypocet"),
            };
            let answer = TargetStatus { sequence: 9, ..status_of(octet, zone, service) };
            balancer.targets.apply_status(answer, 0, 952);
        }
        assert_eq!(balancer.targets.take_due_probes(true, not_monitored, "a", 1_250), [agent(22)]);
        assert_eq!(balancer.targets.liveness(agent(22), 2_149), Some(Liveness::Alive));
        assert_eq!(balancer.targets.liveness(agent(22), 2_150), Some(Liveness::Silent));
    };
    a_route_that_moved_is_searched_in_its_past_service_first: {
        let mut balancer = balancer();
        balancer.routing.apply_configuration(configuration(2, "zpravy"), revision(11));
        let chains = chains(balancer.decide(&segment_of(ONCE, 1), 1));
        let local_chain = chains.iter().find(|chain| chain.contains(&agent(13))).expect("a chain through zone a");
        assert_eq!(local_chain[0], agent(13));
        assert_eq!(local_chain.len(), 3);
    };
    a_flow_that_all_have_given_back_is_reset: {
        let mut balancer = balancer();
        let decision = return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 1);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
    };
    an_end_that_another_balancer_relays_is_checked_before_the_agent_is_left_out: {
        // Another target may have started there since, and its agent has told those that it told of the end.
        let mut balancer = balancer();
        let ended = TargetStatus { sequence: 2, phase: TargetPhase::Ended, ..status_of(22, "b", "vypocet") };
        let relayed = TargetUpdate { status: ended.clone(), age_ms: 0, is_suspected: false };
        balancer.targets.apply_relayed_update(&relayed, 1);
        let asked = |balancer: &mut BalancerState, port| chains(balancer.decide(&segment_of(ONCE, port), 2)).concat();
        assert!(asked(&mut balancer, 1).contains(&agent(22)));
        assert!(balancer.targets.take_due_probes(true, |_, _| false, "a", 1_000).is_empty());
        assert_eq!(balancer.targets.take_due_probes(true, |_, _| false, "a", 1_001), [agent(22)]);
        balancer.targets.apply_status(ended.clone(), 0, 1_002);
        assert!(balancer.targets.take_due_probes(true, |_, _| false, "a", 1_301).is_empty());
        assert!(!asked(&mut balancer, 2).contains(&agent(22)));
        balancer.targets.apply_relayed_update(&relayed, 1_302);
        assert!(!asked(&mut balancer, 3).contains(&agent(22)));
        let next = TargetStatus { incarnation: ended.incarnation + 1, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(next, 0, 1_303);
        assert!(asked(&mut balancer, 4).contains(&agent(22)));
    };
    an_agent_that_introduces_itself_is_not_probed_for_each_answer: {
        // Each probe is answered with another introduction, which would go on at the speed of the network.
        let mut balancer = balancer();
        let probes = (100..160).filter(|now_ms| balancer.targets.take_introduction_probe(agent(22), *now_ms));
        assert_eq!(probes.collect::<Vec<u64>>(), [100, 110, 120, 130, 140, 150]);
    };
    an_agent_that_stopped_after_its_target_ended_delays_no_reset: {
        let mut balancer = balancer();
        let ended = TargetStatus { sequence: 2, phase: TargetPhase::Ended, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(TargetStatus { is_stopping: true, ..ended }, 0, 1);
        let decision = return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 2);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
    };
    an_agent_that_introduces_itself_during_a_search_is_asked_before_a_reset: {
        // The notification waits in the queue of the control socket while a segment of the flow that has
        // opened at that agent comes through the queue of the data socket.
        let mut balancer = balancer();
        let segment = segment_of(ONCE, 1);
        let searches = searches(&balancer.decide(&segment, 1));
        balancer.targets.apply_status(status_of(23, "b", "vypocet"), 0, 2);
        let mut returned = searches.into_iter().map(|(agent, search_id)| {
            balancer.handle_returned_segment(&segment, &returned(agent, search_id, false), 3)
        });
        assert_eq!(returned.next(), Some(ForwardingDecision::Drop(DropReason::Searching)));
        let chains = chains(returned.next().expect("there are two chains"));
        assert!(chains.iter().any(|chain| chain.contains(&agent(23))), "{chains:?}");
    };
    agents_that_become_available_during_a_search_are_asked_before_a_reset: {
        // Only some of the unavailable agents get a copy of the segment.
        let mut balancer = balancer();
        let starting: Vec<u8> = (31..51).collect();
        for octet in &starting {
            balancer.targets.add_agent(agent(*octet), address(*octet, 7720), "b", 0);
        }
        let segment = segment_of(ONCE, 1);
        let searches = searches(&balancer.decide(&segment, 1));
        for octet in &starting {
            balancer.targets.apply_status(status_of(*octet, "b", "vypocet"), 0, 2);
        }
        let tracked = searches.into_iter().filter(|(_, search_id)| *search_id != u32::MAX);
        let decision = tracked
            .map(|(agent, search_id)| balancer.handle_returned_segment(&segment, &returned(agent, search_id, false), 3))
            .last()
            .expect("there are chains");
        let asked = chains(decision).concat();
        assert!(starting.iter().all(|octet| asked.contains(&agent(*octet))), "{asked:?}");
    };
    a_balancer_that_may_not_know_all_agents_resets_nothing: {
        let mut balancer = balancer();
        balancer.knows_all_agents = false;
        for route in [ONCE, IDEMPOTENT] {
            let decision = return_from_all_chains(&mut balancer, &segment_of(route, 1), 1);
            assert_eq!(decision, ForwardingDecision::Wait(WaitReason::NotAllAnswered), "route {route}");
        }
    };
    a_flow_that_one_zone_has_not_given_back_is_not_reset: {
        let mut balancer = balancer();
        let decision = balancer.decide(&segment_of(ONCE, 1), 1);
        let (agent, search_id) = searches(&decision)[0];
        let decision = balancer.handle_returned_segment(&segment_of(ONCE, 1), &returned(agent, search_id, false), 2);
        assert_eq!(decision, ForwardingDecision::Drop(DropReason::Searching));
        // A second answer from the same chain, under another search id, is no further evidence.
        let decision = balancer.handle_returned_segment(&segment_of(ONCE, 1), &returned(agent, search_id + 7, false), 3);
        assert_eq!(decision, ForwardingDecision::Drop(DropReason::Searching));
    };
    an_agent_that_stops_for_a_moment_proves_nothing: {
        let mut balancer = balancer();
        let stopping =
            TargetStatus { is_stopping: true, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(stopping, 0, 1);
        for route in [ONCE, IDEMPOTENT] {
            let decision = return_from_all_chains(&mut balancer, &segment_of(route, 1), 2);
            let expected = (vec![agent(22)], Some(WaitReason::NotAllAnswered));
            assert_eq!(copies_alone(&decision), expected, "route {route}");
        }
        assert_eq!(balancer.targets.liveness(agent(22), RESTART_GRACE_MS), Some(Liveness::Awaited));
    };
    a_stopping_agent_is_waited_for_as_long_as_the_settings_let_it_stop: {
        let mut balancer = balancer();
        balancer.targets = balancer.targets.with_stop_time(20_000);
        let stopping =
            TargetStatus { is_stopping: true, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(stopping, 0, 0);
        assert_eq!(balancer.targets.liveness(agent(22), 21_999), Some(Liveness::Awaited));
        assert_eq!(balancer.targets.liveness(agent(22), 22_000), Some(Liveness::Silent));
    };
    while_an_agent_stops_a_flow_is_searched_for_twice_and_no_more: {
        let mut balancer = balancer();
        let stopping =
            TargetStatus { is_stopping: true, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(stopping, 0, 1);
        let counted = |balancer: &mut BalancerState, now_ms| {
            let decision = balancer.decide(&segment_of(ONCE, 1), now_ms);
            searches(&decision).iter().filter(|(_, search_id)| *search_id != u32::MAX).count()
        };
        assert_eq!([2, 202, 602, 1_402].map(|now_ms| counted(&mut balancer, now_ms)), [2, 2, 0, 0]);
        assert_eq!(counted(&mut balancer, 3_002), 2);
    };
    an_agent_that_is_back_is_asked_though_others_are_awaited: {
        let mut balancer = balancer();
        for octet in [12, 22] {
            let status = status_of(octet, if octet == 12 { "a" } else { "b" }, "vypocet");
            let stopping = TargetStatus { is_stopping: true, sequence: 2, ..status };
            balancer.targets.apply_status(stopping, 0, 1);
        }
        for now_ms in [2, 202, 602] {
            return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), now_ms);
        }
        let is_queued = balancer.waiting_segments.push(segment_of(ONCE, 1), &[], 602);
        assert!(is_queued && balancer.take_releasable(64, 610).is_empty());
        let back = TargetStatus { incarnation: 1_000, ..status_of(12, "a", "vypocet") };
        balancer.targets.apply_status(back, 0, 620);
        let released = balancer.take_releasable(64, 621);
        assert_eq!(released.len(), 1, "the segment waits for an agent that is awaited still");
        let chains = chains(balancer.decide(&segment_of(ONCE, 1), 621));
        assert!(chains.contains(&vec![agent(12)]), "{chains:?}");
    };
    agents_that_do_not_hold_a_flow_are_not_asked_for_it_again: {
        let mut balancer = balancer();
        let stopping =
            TargetStatus { is_stopping: true, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(stopping, 0, 1);
        return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 2);
        let decision = balancer.decide(&segment_of(ONCE, 1), 202);
        assert_eq!(chains(decision), [[agent(22)]]);
    };
    // Each return of an agent sent copies of all queued segments to all agents that were still away.
    an_agent_that_is_back_causes_no_copies_to_those_that_are_away: {
        let mut balancer = balancer();
        for (octet, zone) in [(12, "a"), (22, "b")] {
            balancer.targets.apply_status(stopping(octet, zone), 0, 1);
        }
        let decision = return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 2);
        let (copies, _) = copies_alone(&decision);
        assert_eq!(copies, [agent(12), agent(22)], "an unavailable agent gets one copy");
        return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 202);
        balancer.targets.apply_status(back(12, "a"), 0, 600);
        assert_eq!(chains(balancer.decide_again(&segment_of(ONCE, 1), 601)), [[agent(12)]]);
    };
    // An agent that had answered was asked again after each of its restarts, and its target got the segment.
    an_agent_that_has_answered_is_not_asked_again_after_its_restart: {
        let mut balancer = balancer();
        balancer.targets.apply_status(stopping(22, "b"), 0, 1);
        return_from_all_chains(&mut balancer, &segment_of(IDEMPOTENT, 1), 2);
        balancer.targets.apply_status(stopping(12, "a"), 0, 300);
        balancer.targets.apply_status(back(12, "a"), 0, 900);
        let decision = balancer.decide_again(&segment_of(IDEMPOTENT, 1), 901);
        assert_eq!(decision, ForwardingDecision::Wait(WaitReason::NotAllAnswered));
        assert!(balancer.waiting_segments.push(segment_of(IDEMPOTENT, 1), &[], 901));
        assert!(balancer.take_releasable(64, 911).is_empty(), "nobody is left to ask");
        balancer.targets.apply_status(back(22, "b"), 0, 1_000);
        assert_eq!(balancer.take_releasable(64, 1_001).len(), 1);
        let decision = return_from_all_chains(&mut balancer, &segment_of(IDEMPOTENT, 1), 1_001);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
    };
    // A lost flow was kept waiting for as long as any agent restarted, also one that had answered.
    agents_that_have_answered_and_restart_hold_up_no_reset: {
        let mut balancer = balancer();
        balancer.targets.apply_status(stopping(22, "b"), 0, 1);
        return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 2);
        balancer.targets.apply_status(stopping(12, "a"), 0, 300);
        balancer.targets.apply_status(back(22, "b"), 0, 600);
        let decision = return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 601);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
    };
    // An agent that did not run when the others were asked, and one whose target ended, are asked.
    a_target_that_started_after_a_search_is_asked: {
        let mut balancer = balancer();
        let ended = TargetStatus { phase: TargetPhase::Ended, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(ended, 0, 1);
        balancer.targets.apply_status(stopping(21, "b"), 0, 1);
        return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 2);
        balancer.targets.apply_status(back(22, "b"), 0, 600);
        assert_eq!(chains(balancer.decide_again(&segment_of(ONCE, 1), 601)), [[agent(22)]]);
    };
    // During an upgrade balancers sent 8,432 copies of 1,000 flows that no caller had sent.
    an_upgrade_of_forty_agents_sends_segments_for_transmissions_alone: {
        let mut upgrade = Upgrade::new();
        for now_ms in (10..6_000).step_by(10) {
            upgrade.step(now_ms);
        }
        assert_eq!(upgrade.found.len(), UPGRADE_FLOWS as usize, "flows that were found");
        let most = upgrade.wrong.values().max().copied().unwrap_or(0);
        assert_eq!(most, 1, "segments of one flow at one wrong target");
        let copies = upgrade.copies_without_transmissions;
        assert_eq!(copies, 0, "copies that no transmission of a caller has caused");
    };
    a_flow_that_has_just_opened_waits_for_its_target_and_not_for_others: {
        // The agent stops between the opening and the first request; the flow is not confirmed yet.
        let mut balancer = balancer();
        let flow = segment_of(ONCE, 1).flow;
        balancer.flow_locations.record_holder(flow, agent(22), false, 1);
        let stopping =
            TargetStatus { is_stopping: true, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(stopping, 0, 1);
        let decision = return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 2);
        let expected = (vec![agent(22)], Some(WaitReason::NotAllAnswered));
        assert_eq!(copies_alone(&decision), expected);
        balancer.waiting_segments.push(segment_of(ONCE, 1), &[], 2);
        assert!(balancer.take_releasable(64, 200).is_empty());
        let decision = balancer.decide(&segment_of(ONCE, 1), 202);
        assert_eq!(chains(decision), [[agent(22)]]);
        let back = TargetStatus { incarnation: 1_000, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(back, 0, 600);
        assert_eq!(balancer.take_releasable(64, 601).len(), 1);
        let decision = balancer.decide(&segment_of(ONCE, 1), 601);
        assert_eq!(chains(decision), [[agent(22)]]);
    };
    segments_wait_for_a_holder_that_restarts: {
        let mut balancer = balancer();
        let flow = segment_of(ONCE, 1).flow;
        balancer.flow_locations.record_holder(flow, agent(22), true, 1);
        let stopping =
            TargetStatus { is_stopping: true, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(stopping, 0, 1);
        let decision = balancer.decide(&segment_of(ONCE, 1), 2);
        assert!(matches!(
            decision,
            ForwardingDecision::SendAndWait(_, WaitReason::HolderRestarting)
        ));
        balancer.waiting_segments.push(segment_of(ONCE, 1), &[], 2);
        assert!(balancer.take_releasable(64, 500).is_empty());
        let back = TargetStatus { incarnation: 1_000, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(back, 0, 600);
        assert_eq!(balancer.take_releasable(64, 601).len(), 1);
        assert_eq!(chains(balancer.decide(&segment_of(ONCE, 1), 601)), [[agent(22)]]);
    };
    an_agent_that_restarts_is_probed_though_no_other_balancer_tells_of_its_return: {
        // A balancer that stops is told nothing by others, and still forwards.
        let mut balancer = balancer();
        balancer.targets.note_zone_seen("b", 1);
        let stopping =
            TargetStatus { is_stopping: true, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(stopping.clone(), 0, 1);
        let due = balancer.targets.take_due_probes(true, |_, _| false, "a", 300);
        assert_eq!(due, [agent(22)]);
        let ended = TargetStatus { phase: TargetPhase::Ended, sequence: 3, ..stopping };
        balancer.targets.apply_status(ended, 0, 301);
        assert_eq!(balancer.targets.take_due_probes(true, |_, _| false, "a", 600), []);
    };
    a_host_that_was_taken_away_holds_up_no_reset: {
        // The host's end is known from another balancer only: it stays awaited, as it announced that it stops.
        let mut balancer = balancer();
        let ended = TargetStatus {
            is_stopping: true,
            phase: TargetPhase::Ended,
            sequence: 2,
            ..status_of(22, "b", "vypocet")
        };
        let update = TargetUpdate { status: ended, age_ms: 0, is_suspected: false };
        balancer.targets.apply_relayed_update(&update, 1);
        balancer.knows_all_agents = false;
        return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), 2);
        balancer.waiting_segments.push(segment_of(ONCE, 1), &[], 2);
        balancer.knows_all_agents = true;
        assert_eq!(balancer.take_releasable(64, 10).len(), 1);
        let decision = balancer.decide(&segment_of(ONCE, 1), 10);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
    };
    a_zone_that_cannot_be_reached_holds_up_no_search: {
        // A single chain through all zones would end at the unreachable zone.
        let mut balancer = balancer();
        for now_ms in [1, 201, 601, 1_401] {
            let chains = chains(balancer.decide(&segment_of(ONCE, 1), now_ms));
            assert!(chains.iter().any(|chain| chain.contains(&agent(11)) && !chain.contains(&agent(21))));
        }
    };
    a_silent_agent_proves_a_loss_only_to_callers_that_may_repeat: {
        let mut balancer = balancer();
        let now_ms = make_silent(&mut balancer, 22, 1);
        assert_eq!(balancer.targets.liveness(agent(22), now_ms), Some(Liveness::Silent));
        let idempotent = return_from_all_chains(&mut balancer, &segment_of(IDEMPOTENT, 1), now_ms);
        assert_eq!(idempotent, ForwardingDecision::Reset(ResetReason::NotHeld));
        let once = return_from_all_chains(&mut balancer, &segment_of(ONCE, 1), now_ms);
        assert_eq!(copies_alone(&once), (vec![agent(22)], None));
        let again = balancer.decide_again(&segment_of(ONCE, 1), now_ms);
        assert_eq!(again, ForwardingDecision::Drop(DropReason::LossUnproven));
    };
    the_instance_of_a_target_is_given_back_to_an_agent_that_starts_again: {
        let mut balancer = balancer();
        let instance = Some(TargetInstanceSummary { hash: 5, is_leaving: true, is_other_leaving: true });
        let before = TargetStatus { instance, sequence: 2, ..status_of(22, "b", "vypocet") };
        balancer.targets.apply_status(before.clone(), 0, 1);
        assert_eq!(balancer.targets.instance_to_give_back(agent(22)), None);
        let started = TargetStatus { incarnation: 1_000, sequence: 0, instance: None, ..before };
        balancer.targets.apply_status(started.clone(), 0, 2);
        let known = balancer.targets.instance_to_give_back(agent(22));
        assert_eq!(known.map(|known| (known.hash, known.is_leaving)), Some((5, true)));
        let ended = TargetStatus { phase: TargetPhase::Ended, sequence: 1, ..started };
        balancer.targets.apply_status(ended, 0, 3);
        assert_eq!(balancer.targets.instance_to_give_back(agent(22)), None);
    };
    no_agent_is_silent_for_answers_that_a_stalled_balancer_could_not_receive: {
        let mut balancer = balancer();
        let flow = segment_of(IDEMPOTENT, 1).flow;
        balancer.flow_locations.record_holder(flow, agent(22), true, 0);
        balancer.note_time(100);
        let now_ms = 3_500;
        balancer.targets.take_due_probes(true, |data, _| data == agent(22), "a", 100);
        balancer.note_time(now_ms);
        let first_answer = TargetStatus { sequence: now_ms, ..status_of(11, "a", "vypocet") };
        balancer.targets.apply_status(first_answer, 0, now_ms);
        let decision = balancer.decide(&segment_of(IDEMPOTENT, 1), now_ms);
        assert!(!matches!(decision, ForwardingDecision::Reset(_)), "{decision:?}");
        let decision = return_from_all_chains(&mut balancer, &segment_of(IDEMPOTENT, 2), now_ms);
        assert!(!matches!(decision, ForwardingDecision::Reset(_)), "{decision:?}");
    };
    a_flow_at_a_silent_agent_is_left_by_callers_that_may_repeat: {
        let mut balancer = balancer();
        let now_ms = make_silent(&mut balancer, 22, 1);
        for (route, expected) in [(IDEMPOTENT, true), (ONCE, false)] {
            balancer.flow_locations.record_holder(segment_of(route, 1).flow, agent(22), true, now_ms);
            let decision = balancer.decide(&segment_of(route, 1), now_ms);
            let is_reset = decision == ForwardingDecision::Reset(ResetReason::HolderSilent);
            assert_eq!(is_reset, expected, "route {route}");
        }
    };
    a_silent_agent_that_has_only_accepted_an_opening_is_not_the_flows_end: {
        // After a stall, a balancer offers an old copy of an opening although a target accepted another copy
        // long before. The failure of the agent that accepted the old copy must not reset the flow.
        let mut balancer = balancer();
        let now_ms = make_silent(&mut balancer, 22, 1);
        balancer.flow_locations.record_holder(segment_of(IDEMPOTENT, 1).flow, agent(22), false, now_ms);
        let chains = chains(balancer.decide(&segment_of(IDEMPOTENT, 1), now_ms));
        assert!(chains.iter().any(|chain| chain.contains(&agent(11))), "{chains:?}");
    };
    an_old_copy_of_an_opening_takes_no_flow_from_its_agent: {
        let mut balancer = balancer();
        let flow = segment_of(IDEMPOTENT, 1).flow;
        balancer.flow_locations.record_holder(flow, agent(11), true, 1);
        balancer.flow_locations.record_holder(flow, agent(22), false, 2);
        assert_eq!(balancer.flow_locations.holder(&flow, 3), Some(agent(11)));
    };
    two_hosts_that_never_come_back_hold_up_lost_flows_for_a_moment_only: {
        // After a power failure, store entries of hosts that do not come back delayed all resets by 4 s.
        let mut balancer = balancer();
        for gone in [31, 32] {
            balancer.targets.add_agent(agent(gone), address(gone, 7720), "b", 0);
        }
        let answer = |balancer: &mut BalancerState, now_ms| {
            for (octet, zone) in [(11, "a"), (12, "a"), (21, "b"), (22, "b")] {
                let status = status_of(octet, zone, "vypocet");
                let status = TargetStatus { sequence: now_ms + 2, ..status };
                balancer.targets.apply_status(status, 0, now_ms);
            }
            let other = TargetStatus { sequence: now_ms + 2, ..status_of(13, "a", "zpravy") };
            balancer.targets.apply_status(other, 0, now_ms);
        };
        answer(&mut balancer, 1_400);
        let lost = segment_of(IDEMPOTENT, 1);
        let decision = return_from_all_chains(&mut balancer, &lost, 1_400);
        let gone = vec![agent(31), agent(32)];
        assert_eq!(copies_alone(&decision), (gone.clone(), Some(WaitReason::NotAllAnswered)));
        assert!(balancer.waiting_segments.push(lost, &[1], 1_400));
        assert!(balancer.take_releasable(64, 1_499).is_empty());
        assert_eq!(balancer.take_releasable(64, 1_500).len(), 1);
        let decision = return_from_all_chains(&mut balancer, &lost, 1_500);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
        // A request that is not idempotent is not reset: one of the silent hosts may be processing it.
        let decision = return_from_all_chains(&mut balancer, &segment_of(ONCE, 2), 1_500);
        assert_eq!(copies_alone(&decision), (gone, None));
        let again = balancer.decide_again(&segment_of(ONCE, 2), 1_500);
        assert_eq!(again, ForwardingDecision::Drop(DropReason::LossUnproven));
    };
    old_news_alone_makes_nobody_silent: {
        let mut balancer = balancer();
        assert_eq!(balancer.targets.liveness(agent(22), 10_000), Some(Liveness::Awaited));
        balancer.targets.take_due_probes(true, |_, _| false, "a", 10_000);
        assert_eq!(balancer.targets.liveness(agent(22), 10_000 + AGENT_TIMEOUT_MS), Some(Liveness::Silent));
    };
    after_a_stall_nobody_is_silent: {
        let mut balancer = balancer();
        let now_ms = make_silent(&mut balancer, 22, 1);
        balancer.targets.note_stall(now_ms);
        assert_ne!(balancer.targets.liveness(agent(22), now_ms), Some(Liveness::Silent));
    };
    a_late_status_of_an_earlier_run_changes_nothing: {
        let mut balancer = balancer();
        let fresh = TargetStatus { incarnation: 99, ..status_of(11, "a", "vypocet") };
        balancer.targets.apply_status(fresh, 0, 1);
        let late = TargetStatus { is_stopping: true, sequence: 9, ..status_of(11, "a", "vypocet") };
        assert!(!balancer.targets.apply_status(late, 0, 2));
        assert_eq!(balancer.targets.liveness(agent(11), 3), Some(Liveness::Alive));
    };
    an_older_version_never_comes_back: {
        let mut balancer = balancer();
        assert_eq!(balancer.routing.apply_configuration(configuration(5, "zpravy"), revision(20)), ApplyOutcome::Changed);
        assert_eq!(balancer.routing.apply_configuration(configuration(4, "vypocet"), revision(21)), ApplyOutcome::Unchanged);
        assert_eq!(balancer.routing.apply_configuration(configuration(6, "vypocet"), revision(19)), ApplyOutcome::Unchanged);
    };
    an_older_snapshot_takes_no_zone_back_in: {
        let mut balancer = balancer();
        balancer.routing.apply_zone("a", true, revision(30));
        assert_eq!(balancer.routing.apply_zones_out(IndexMap::new(), 25, revision(29), 0), ApplyOutcome::Unchanged);
        assert!(balancer.routing.is_zone_out("a"));
        assert_eq!(balancer.routing.apply_zones_out(IndexMap::new(), 25, revision(31), 0), ApplyOutcome::Changed);
    };
}
