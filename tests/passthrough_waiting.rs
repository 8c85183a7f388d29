//! Passed-through flows: queueing of segments that a balancer cannot decide on yet, and repeated offers of
//! openings that find only full targets.

#[macro_use]
mod support;

use std::net::SocketAddrV4;

use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_gate::TargetPhase;
use rhubarbthread::connection::waiting_segments::MAX_WAITING;
use rhubarbthread::connection::waiting_segments::MAX_WAITING_PER_FLOW;
use rhubarbthread::connection::waiting_segments::WaitingSegments;
use rhubarbthread::process::passthrough::balancer_state::BalancerState;
use rhubarbthread::process::passthrough::balancer_state::DropReason;
use rhubarbthread::process::passthrough::balancer_state::ForwardingDecision;
use rhubarbthread::process::passthrough::balancer_state::ResetReason;
use rhubarbthread::process::passthrough::balancer_state::WaitReason;
use rhubarbthread::version::routing::Configuration;
use rhubarbthread::version::target_status::TargetStatus;

use crate::support::passthrough::address;
use crate::support::passthrough::agent;
use crate::support::passthrough::configuration_of;
use crate::support::passthrough::opening_of;
use crate::support::passthrough::returned;
use crate::support::passthrough::revision;
use crate::support::passthrough::segment_of;
use crate::support::passthrough::status_of;

const ROUTE: u16 = 443;

/// Offers of an opening that finds only full targets: time of the offer and interval to the next one, in
/// milliseconds.
const OFFERS: [(u64, u64); 13] = [
    (0, 50),
    (60, 50),
    (120, 100),
    (230, 100),
    (340, 100),
    (450, 100),
    (560, 100),
    (670, 100),
    (780, 100),
    (890, 100),
    (1_000, 100),
    (1_110, 100),
    (1_220, 100),
];

fn segment(port: u16) -> Segment {
    segment_of(ROUTE, port)
}

fn opening(port: u16) -> Segment {
    opening_of(ROUTE, port)
}

fn status(last: u8, phase: TargetPhase, sequence: u64) -> TargetStatus {
    TargetStatus { phase, sequence, ..status_of(last, "a", "vypocet") }
}

fn configuration() -> Configuration {
    configuration_of(1, "vypocet", &[(ROUTE, false)])
}

/// Creates a balancer with a configuration and these agents, whose targets are all in `phase`.
fn balancer(agents: &[u8], phase: TargetPhase) -> BalancerState {
    let mut balancer = BalancerState::new("a", address(100, 7720));
    balancer.knows_all_agents = true;
    balancer.routing.apply_configuration(configuration(), revision(10));
    for last in agents {
        balancer.targets.apply_status(status(*last, phase, 1), 0, 0);
    }
    balancer
}

/// Returns the last agent of the only chain, and the id of the search or offer.
fn last_agent_and_id(decision: &ForwardingDecision) -> (SocketAddrV4, u32) {
    match decision {
        ForwardingDecision::Send(destinations) if destinations.len() == 1 => {
            let (first, header) = &destinations[0];
            (*header.chain.last().unwrap_or(first), header.search_id)
        }
        other => panic!("expected one chain, got {other:?}"),
    }
}

fn enqueue(balancer: &mut BalancerState, segment: &Segment, now_ms: u64) {
    assert!(balancer.waiting_segments.push(*segment, &[1, 2, 3], now_ms));
}

fn take_releasable(balancer: &mut BalancerState, now_ms: u64) -> Vec<Segment> {
    balancer.take_releasable(64, now_ms).into_iter().map(|waiting| waiting.segment).collect()
}

fn offer(balancer: &mut BalancerState, now_ms: u64) -> (SocketAddrV4, u32) {
    last_agent_and_id(&balancer.decide(&opening(1), now_ms))
}

fn refuse_as_full(
    balancer: &mut BalancerState,
    (agent, search_id): (SocketAddrV4, u32),
    now_ms: u64,
) -> ForwardingDecision {
    balancer.handle_returned_segment(&opening(1), &returned(agent, search_id, true), now_ms)
}

cases! {
    a_copy_takes_the_place_of_what_waits: {
        let mut waiting = WaitingSegments::new();
        assert!(waiting.push(opening(1), &[1], 0));
        assert!(waiting.push(Segment { retransmission: 1, ..opening(1) }, &[2], 200));
        assert!(waiting.push(segment(2), &[3], 200));
        assert!(waiting.push(segment(2), &[4], 400));
        assert!(waiting.push(Segment { sequence: 900, ..segment(2) }, &[5], 400));
        let bytes = |port, waiting: &mut WaitingSegments| {
            let taken = waiting.take_flow(&segment(port).flow).into_iter();
            taken.flat_map(|waiting| waiting.datagram).collect::<Vec<_>>()
        };
        assert_eq!((bytes(1, &mut waiting), bytes(2, &mut waiting)), (vec![2], vec![4, 5]));
        assert!(waiting.is_empty());
    };
    what_waits_is_bounded: {
        let mut waiting = WaitingSegments::new();
        let push = |waiting: &mut WaitingSegments, port, sequence| {
            waiting.push(Segment { sequence, ..segment(port) }, &[1], 0)
        };
        let accepted = (0..100).filter(|sequence| push(&mut waiting, 1, *sequence)).count();
        assert_eq!(accepted, MAX_WAITING_PER_FLOW);
        (2..10_000).for_each(|port| {
            push(&mut waiting, port, 0);
        });
        assert_eq!(waiting.len(), MAX_WAITING);
        assert_eq!(waiting.expire(1_600), MAX_WAITING);
        assert!(push(&mut waiting, 1, 0));
    };
    nothing_waits_longer_than_its_caller_takes_to_send_again: {
        let mut waiting = WaitingSegments::new();
        waiting.push(opening(1), &[1], 0);
        waiting.push(segment(2), &[1], 0);
        assert_eq!((waiting.expire(399), waiting.expire(400)), (0, 1));
        assert_eq!((waiting.expire(1_599), waiting.expire(1_600)), (0, 1));
    };
    what_came_before_the_configuration_is_due_with_it: {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        assert_eq!(
            balancer.decide(&opening(1), 0),
            ForwardingDecision::Wait(WaitReason::NoConfiguration)
        );
        enqueue(&mut balancer, &opening(1), 0);
        assert_eq!(take_releasable(&mut balancer, 1), []);
        balancer.routing.apply_configuration(configuration(), revision(10));
        balancer.targets.apply_status(status(1, TargetPhase::Serving, 1), 0, 1);
        assert_eq!(take_releasable(&mut balancer, 2), [opening(1)]);
    };
    an_opening_waits_for_a_target_that_is_about_to_take_flows: {
        // After a power failure openings were refused for 0.25 s, in which callers used up all attempts.
        let mut balancer = balancer(&[1], TargetPhase::Introducing);
        assert_eq!(
            balancer.decide(&opening(1), 1),
            ForwardingDecision::Wait(WaitReason::NoTargetYet)
        );
        enqueue(&mut balancer, &opening(1), 1);
        assert_eq!(take_releasable(&mut balancer, 2), []);
        balancer.targets.apply_status(status(1, TargetPhase::Cold, 2), 0, 3);
        assert_eq!(take_releasable(&mut balancer, 3), [opening(1)]);
    };
    an_opening_waits_until_a_balancer_that_starts_has_read_the_agents: {
        // A balancer that had its configuration but had not read the agents yet refused openings.
        let mut balancer = balancer(&[], TargetPhase::Serving);
        balancer.knows_all_agents = false;
        assert_eq!(
            balancer.decide(&opening(1), 1),
            ForwardingDecision::Wait(WaitReason::NoTargetYet)
        );
        enqueue(&mut balancer, &opening(1), 1);
        assert_eq!(take_releasable(&mut balancer, 2), []);
        balancer.knows_all_agents = true;
        assert_eq!(take_releasable(&mut balancer, 3), [opening(1)]);
        let decision = balancer.decide(&opening(1), 3);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NoTarget));
    };
    an_opening_does_not_wait_for_a_target_that_leaves: {
        let mut balancer = balancer(&[1], TargetPhase::Leaving);
        let decision = balancer.decide(&opening(1), 1);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NoTarget));
    };
    a_flow_is_searched_for_once_and_the_rest_of_its_segments_wait: {
        // Every acknowledgement of a burst started a search of its own.
        let mut balancer = balancer(&[1, 2], TargetPhase::Serving);
        last_agent_and_id(&balancer.decide(&segment(1), 1));
        let second = Segment { sequence: 200, ..segment(1) };
        assert_eq!(
            balancer.decide(&second, 2),
            ForwardingDecision::Wait(WaitReason::SearchInProgress)
        );
        enqueue(&mut balancer, &second, 2);
        assert_eq!(take_releasable(&mut balancer, 3), []);
        balancer.flow_locations.record_holder(segment(1).flow, agent(2), true, 4);
        assert_eq!(take_releasable(&mut balancer, 4), [second]);
        assert_eq!(last_agent_and_id(&balancer.decide(&second, 4)), (agent(2), 0));
    };
    a_search_that_is_held_up_is_made_again_for_who_waits: {
        let mut balancer = balancer(&[1, 2], TargetPhase::Serving);
        last_agent_and_id(&balancer.decide(&segment(1), 1));
        enqueue(&mut balancer, &segment(1), 2);
        assert_eq!(
            (take_releasable(&mut balancer, 150), take_releasable(&mut balancer, 151)),
            (vec![], vec![segment(1)])
        );
    };
    what_waits_for_a_flow_that_is_lost_goes_with_it: {
        let mut balancer = balancer(&[1], TargetPhase::Serving);
        let (last, search_id) = last_agent_and_id(&balancer.decide(&segment(1), 1));
        enqueue(&mut balancer, &Segment { sequence: 200, ..segment(1) }, 2);
        let decision = balancer.handle_returned_segment(&segment(1), &returned(last, search_id, false), 3);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
        assert!(balancer.waiting_segments.is_empty());
    };
    a_lost_flow_is_reset_once_all_agents_are_known_and_not_at_the_next_copy: {
        // A lost flow was reset only on the caller's next retransmission, up to 1.6 s after the balancer
        // knew of the loss.
        let mut balancer = balancer(&[1], TargetPhase::Serving);
        balancer.knows_all_agents = false;
        let (last, search_id) = last_agent_and_id(&balancer.decide(&segment(1), 1));
        let decision = balancer.handle_returned_segment(&segment(1), &returned(last, search_id, false), 3);
        assert_eq!(decision, ForwardingDecision::Wait(WaitReason::NotAllAnswered));
        enqueue(&mut balancer, &segment(1), 3);
        assert_eq!(take_releasable(&mut balancer, 200), []);
        balancer.knows_all_agents = true;
        assert_eq!(take_releasable(&mut balancer, 201), [segment(1)]);
        let decision = balancer.decide(&segment(1), 201);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::NotHeld));
    };
    an_opening_that_met_full_targets_is_offered_to_others_and_then_refused: {
        let mut balancer = balancer(&[1, 2, 3], TargetPhase::Serving);
        let mut first_agents = Vec::new();
        for (now_ms, interval_ms) in OFFERS {
            let decision = balancer.decide(&opening(1), now_ms);
            first_agents.push(match &decision {
                ForwardingDecision::Send(destinations) => destinations[0].0,
                other => panic!("expected an offer, got {other:?}"),
            });
            let decision =
                refuse_as_full(&mut balancer, last_agent_and_id(&decision), now_ms + 5);
            assert_eq!(decision, ForwardingDecision::Wait(WaitReason::AllFull), "{now_ms}");
            enqueue(&mut balancer, &opening(1), now_ms + 5);
            assert_eq!(take_releasable(&mut balancer, now_ms + interval_ms - 1), []);
            assert_eq!(take_releasable(&mut balancer, now_ms + interval_ms), [opening(1)]);
        }
        assert!((1..=3).all(|last| first_agents.contains(&agent(last))), "{first_agents:?}");
        let last = offer(&mut balancer, 1_310);
        let decision = refuse_as_full(&mut balancer, last, 1_315);
        assert_eq!(decision, ForwardingDecision::Reset(ResetReason::AllFull));
    };
    an_opening_is_not_refused_while_another_offer_is_out: {
        let mut balancer = balancer(&[1, 2, 3], TargetPhase::Serving);
        let early = offer(&mut balancer, 0);
        let copy = Segment { retransmission: 1, ..opening(1) };
        let late = last_agent_and_id(&balancer.decide(&copy, 1_350));
        let decision = refuse_as_full(&mut balancer, late, 1_355);
        assert_eq!(decision, ForwardingDecision::Drop(DropReason::LateRefusal));
        let decision = refuse_as_full(&mut balancer, early, 1_360);
        assert_eq!(decision, ForwardingDecision::Drop(DropReason::LateRefusal));
    };
    a_refusal_that_arrives_twice_counts_once: {
        // The copy counted for another offer, so that the caller got a reset while a target could still accept.
        let mut balancer = balancer(&[1, 2, 3], TargetPhase::Serving);
        offer(&mut balancer, 0);
        let copy = Segment { retransmission: 1, ..opening(1) };
        let late = last_agent_and_id(&balancer.decide(&copy, 1_350));
        for now_ms in [1_355, 1_356] {
            let decision = refuse_as_full(&mut balancer, late, now_ms);
            assert_eq!(decision, ForwardingDecision::Drop(DropReason::LateRefusal), "{now_ms}");
        }
    };
}
