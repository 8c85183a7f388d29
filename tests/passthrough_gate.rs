//! Passed-through flows: decisions of an agent about its target, tested without sockets and clocks.

#[macro_use]
mod support;

use std::net::SocketAddrV4;

use indexmap::IndexSet;
use rhubarbthread::connection::opening_refusal::RefusalReason;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_gate::OpeningOffer;
use rhubarbthread::connection::target_gate::TargetGate;
use rhubarbthread::connection::target_gate::TargetLimits;
use rhubarbthread::connection::target_gate::TargetLoad;
use rhubarbthread::connection::target_gate::TargetPhase;
use rhubarbthread::connection::target_instances::LeaveOutcome;
use rhubarbthread::connection::target_report::IgnoredReason;
use rhubarbthread::connection::target_report::ReportOutcome;
use rhubarbthread::connection::target_report::TargetReport;
use rhubarbthread::connection::tracked_flows::FlowState;
use rhubarbthread::connection::tracked_flows::TrackedFlows;
use rhubarbthread::process::passthrough::agent_state::Action;
use rhubarbthread::process::passthrough::agent_state::AgentState;
use rhubarbthread::process::passthrough::agent_state::NotHeldReason;
use rhubarbthread::process::passthrough::agent_state::ReturnCause;
use rhubarbthread::process::passthrough::message::NodeMessage;
use rhubarbthread::process::passthrough::message::Probe;
use rhubarbthread::process::passthrough::segment_header::SegmentHeader;
use rhubarbthread::version::store_position::ReportedPosition;
use rhubarbthread::version::store_position::StorePosition;
use rhubarbthread::version::zone_state::ZoneReport;
use rhubarbthread::version::zone_state::ZoneState;
use rhubarbthread::version::zones_out::HOLD_MS;

use crate::support::passthrough::address;
use crate::support::passthrough::opening_of;
use crate::support::passthrough::report_of;
use crate::support::passthrough::revision;
use crate::support::passthrough::segment_of;

/// Time after which a target without reports gets no openings, in milliseconds: nine tenths of the time
/// after which its address may be reassigned to another service.
const TARGET_TIMEOUT_MS: u64 = 1_800;
const NO_LOAD: TargetLoad = TargetLoad { flows: 0, busy: 0, expected_answer: None };
const OFFER: OpeningOffer<'static> = OpeningOffer {
    service: "vypocet",
    has_next_candidate: true,
    is_retransmission: false,
    has_waited: false,
};

/// Incarnation of the agents at their start.
const INCARNATION: u64 = 7;

fn gate() -> TargetGate {
    let mut gate = TargetGate::new(TARGET_TIMEOUT_MS);
    gate.note_connection_refused();
    gate.apply_report(report_of("a", 1, 1), 0);
    gate
}

fn ignored(reason: IgnoredReason) -> ReportOutcome {
    ReportOutcome::Ignored(reason)
}

fn admit(gate: &mut TargetGate, now_ms: u64) -> Result<(), RefusalReason> {
    gate.admit(&OFFER, NO_LOAD, now_ms)
}

fn segment(port: u16) -> Segment {
    segment_of(443, port)
}

fn opening(port: u16) -> Segment {
    opening_of(443, port)
}

fn header(chain: &[SocketAddrV4], search: u32) -> SegmentHeader {
    SegmentHeader {
        chain: chain.to_vec(),
        service: "vypocet".to_owned(),
        report_to: Some(address(9, 7720)),
        search_id: search,
        ..SegmentHeader::default()
    }
}

fn agent() -> AgentState {
    let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
    agent.gate.apply_report(report_of("a", 1, 2), 0);
    agent.introduction.note_registered_balancers(IndexSet::new());
    agent
}

/// Creates an agent that has just started, has read these balancers from the store and notifies them.
fn starting_agent(balancers: &[SocketAddrV4]) -> AgentState {
    let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
    agent.gate.apply_report(report_of("a", 1, 2), 0);
    agent.introduction.note_registered_balancers(balancers.iter().copied().collect());
    agent.balancers_to_notify(0);
    agent
}

fn probe_from(balancer: SocketAddrV4) -> Probe {
    Probe {
        balancer,
        configuration: revision(8).into(),
        is_zone_out: false,
        zone_held_ms: None,
        service: String::new(),
        limits: TargetLimits { cold_openings_per_s: None, max_flows: 10 },
        idle_timeout_ms: 0,
        known_incarnation: INCARNATION,
        known_instance: None,
    }
}

fn cookie_of(action: &Action) -> u32 {
    match action {
        Action::ForwardToTarget { cookie, .. } => *cookie,
        other => panic!("expected forwarding to the target, got {other:?}"),
    }
}

fn returned_to_balancer(search: u32, reason: NotHeldReason) -> Action {
    Action::ReturnToBalancer {
        balancer: address(9, 7720),
        search_id: search,
        saw_full_target: false,
        is_ruled_out: false,
        cause: ReturnCause::NotHeld(reason),
    }
}

fn refusal_of(action: &Action) -> Option<RefusalReason> {
    match action {
        Action::ReturnToBalancer { cause: ReturnCause::Refused(refusal), .. } => Some(*refusal),
        Action::ReturnToBalancer { .. } => None,
        other => panic!("expected a returned opening, got {other:?}"),
    }
}

/// Opens a flow at an agent, whose target accepts it.
fn open_flow(agent: &mut AgentState, port: u16, now_ms: u64) {
    agent.handle_node_segment(&opening(port), header(&[], 0), now_ms);
    let accepted = Segment { accepts: true, sequence: 6, ..segment(port) };
    agent.handle_target_segment(&accepted, now_ms);
}

/// A probe of a balancer at which a zone is out or in as of a position in the store.
fn zone_probe(configuration: ReportedPosition, is_zone_out: bool) -> Probe {
    Probe {
        balancer: address(9, 7720),
        configuration,
        is_zone_out,
        zone_held_ms: None,
        service: String::new(),
        limits: TargetLimits { cold_openings_per_s: None, max_flows: 10 },
        idle_timeout_ms: 0,
        known_incarnation: INCARNATION,
        known_instance: None,
    }
}

/// A report of a balancer on a zone, as of a revision of era 2.
fn zone_report(revision: u64, is_out: bool, held_ms: Option<u64>) -> ZoneReport {
    ZoneReport { position: StorePosition::new(2, revision), is_out, held_ms }
}

cases! {
    an_unknown_target_takes_no_flow: {
        let mut gate = TargetGate::new(TARGET_TIMEOUT_MS);
        assert_eq!(admit(&mut gate, 0), Err(RefusalReason::TargetSilent));
    };
    a_silent_target_takes_no_flow_before_its_address_is_used_again: {
        let mut gate = gate();
        assert_eq!(admit(&mut gate, TARGET_TIMEOUT_MS - 1), Ok(()));
        assert_eq!(admit(&mut gate, TARGET_TIMEOUT_MS), Err(RefusalReason::TargetSilent));
    };
    a_flow_of_another_service_is_not_taken: {
        let mut gate = gate();
        let refused = gate.admit(&OpeningOffer { service: "zpravy", ..OFFER }, NO_LOAD, 1);
        assert_eq!(refused, Err(RefusalReason::OtherService));
    };
    a_leaving_target_takes_no_flow: {
        let mut gate = gate();
        gate.apply_report(TargetReport { is_leaving: true, ..report_of("a", 1, 2) }, 1);
        assert_eq!(admit(&mut gate, 2), Err(RefusalReason::Leaving));
        assert_eq!(gate.phase(2), TargetPhase::Leaving);
    };
    a_late_report_of_a_past_life_changes_nothing: {
        let mut gate = gate();
        gate.note_connection_refused();
        assert_eq!(gate.apply_report(report_of("b", 5, 1), 1), ReportOutcome::NewLife);
        assert_eq!(gate.apply_report(report_of("a", 1, 9), 2), ignored(IgnoredReason::PastInstance));
        assert_eq!(gate.current_report().map(|report| report.id.as_str()), Some("b"));
    };
    a_report_out_of_order_changes_nothing: {
        let mut gate = gate();
        gate.apply_report(TargetReport { is_leaving: true, ..report_of("a", 1, 5) }, 1);
        assert_eq!(gate.apply_report(report_of("a", 1, 4), 2), ignored(IgnoredReason::EarlierSequence));
        assert_eq!(gate.phase(2), TargetPhase::Leaving);
    };
    a_target_that_starts_again_under_its_id_is_another_life: {
        let mut gate = gate();
        gate.apply_report(report_of("a", 1, 50), 1);
        assert_eq!(gate.note_leave("a", Some(1)), LeaveOutcome::Ended);
        assert_eq!(gate.apply_report(report_of("a", 8, 1), 2), ReportOutcome::NewLife);
    };
    a_target_that_has_left_stays_so: {
        let mut gate = gate();
        assert_eq!(gate.note_leave("a", Some(1)), LeaveOutcome::Ended);
        assert_eq!(gate.apply_report(report_of("a", 1, 9), 1), ignored(IgnoredReason::HasEnded));
        assert_eq!(gate.phase(1), TargetPhase::Ended);
    };
    a_target_whose_host_refuses_connections_holds_no_flow: {
        // After a power failure, an agent without a report from its target delayed all resets of lost flows,
        // for up to 8 s if the agent was stopped before the first report.
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        assert_eq!(agent.phase(1), TargetPhase::Unknown);
        agent.note_target_not_running(1);
        assert_eq!(agent.phase(1), TargetPhase::Ended);
        assert!(agent.gate.has_ended());
        let action = agent.handle_node_segment(&segment(1), header(&[], 7), 2);
        assert!(
            matches!(action, Action::ReturnToBalancer { search_id: 7, .. }),
            "the target must not get the segment: {action:?}"
        );
    };
    a_target_that_was_absent_before_its_report_has_no_flow_from_before: {
        let mut gate = TargetGate::new(TARGET_TIMEOUT_MS);
        gate.note_connection_refused();
        assert_eq!(gate.apply_report(report_of("a", 1, 5), 1), ReportOutcome::NewLife);
        assert!(gate.has_seen_all_flows());
        assert_eq!(gate.phase(1), TargetPhase::Serving);
    };
    a_target_that_reports_after_all_may_hold_flows_that_were_given_up: {
        let mut gate = gate();
        assert!(gate.has_seen_all_flows());
        gate.note_connection_refused();
        assert_eq!(admit(&mut gate, 1), Err(RefusalReason::TargetSilent));
        assert_eq!(gate.apply_report(report_of("a", 1, 2), 2), ReportOutcome::Changed);
        assert!(!gate.has_seen_all_flows());
        assert_eq!(admit(&mut gate, 3), Ok(()));
        gate.note_connection_refused();
        gate.note_target_traffic(4);
        assert!(!gate.has_ended());
        assert!(!gate.has_seen_all_flows());
    };
    a_target_is_looked_at_when_a_report_is_missing_and_not_before: {
        let mut agent = agent();
        assert!(!agent.is_target_suspected(999));
        assert!(agent.is_target_suspected(1_000));
        agent.note_target_not_running(1);
        assert!(!agent.is_target_suspected(2_000));
    };
    a_zone_that_comes_back_waits_for_a_report: {
        let mut gate = gate();
        gate.set_zone_out(true, 10);
        assert_eq!(admit(&mut gate, 11), Err(RefusalReason::ZoneOut));
        gate.set_zone_out(false, 20);
        assert_eq!(admit(&mut gate, 21), Err(RefusalReason::TargetSilent));
        gate.apply_report(report_of("a", 1, 2), 30);
        assert_eq!(admit(&mut gate, 31), Ok(()));
    };
    a_cold_target_whose_limits_are_not_known_yet_gets_nothing: {
        // After a power failure a cold target got ten openings per second, as no probe had carried the
        // limits of its service yet.
        let mut gate = gate();
        gate.apply_report(TargetReport { cold_remaining_ms: 60_000, ..report_of("a", 1, 2) }, 0);
        assert_eq!(admit(&mut gate, 1), Err(RefusalReason::LimitsUnknown));
        let limits = TargetLimits { cold_openings_per_s: Some(1), max_flows: 100 };
        gate.set_limits("zpravy", limits);
        assert_eq!(admit(&mut gate, 2), Err(RefusalReason::LimitsUnknown));
        gate.set_limits("vypocet", limits);
        assert_eq!(admit(&mut gate, 3), Ok(()));
        assert_eq!(admit(&mut gate, 4), Err(RefusalReason::Cold));
    };
    a_cold_target_never_gets_more_than_it_bears: {
        let mut gate = gate();
        gate.set_limits("vypocet", TargetLimits { cold_openings_per_s: Some(5), max_flows: 100 });
        gate.apply_report(TargetReport { cold_remaining_ms: 60_000, ..report_of("a", 1, 2) }, 0);
        let mut admitted_ms = Vec::new();
        for now_ms in (0..1_700).step_by(7) {
            // Retransmissions count towards the limit, too.
            if gate
                .admit(
                    &OpeningOffer { is_retransmission: now_ms % 2 == 0, ..OFFER },
                    NO_LOAD,
                    now_ms,
                )
                .is_ok()
            {
                admitted_ms.push(now_ms);
            }
        }
        for start_ms in 0..1_700_u64 {
            let in_one_second =
                admitted_ms.iter().filter(|at_ms| (start_ms..start_ms + 1_000).contains(*at_ms));
            assert!(in_one_second.count() <= 5, "more than 5 in the second from {start_ms}");
        }
        assert!(
            admitted_ms.len() >= 9,
            "fewer openings admitted than the limit allows: {admitted_ms:?}"
        );
    };
    no_limit_in_the_configuration_is_no_limit: {
        let mut gate = gate();
        gate.set_limits("vypocet", TargetLimits { cold_openings_per_s: None, max_flows: 100 });
        gate.apply_report(TargetReport { cold_remaining_ms: 2_000, ..report_of("a", 1, 2) }, 0);
        assert!((0..500).all(|_| admit(&mut gate, 1).is_ok()));
    };
    busy_slots_pass_an_opening_on_only_while_others_are_left: {
        let mut gate = gate();
        let full = TargetLoad { flows: 9, busy: 4, expected_answer: None };
        assert_eq!(gate.admit(&OFFER, full, 1), Err(RefusalReason::Busy));
        assert_eq!(
            gate.admit(&OpeningOffer { has_next_candidate: false, ..OFFER }, full, 1),
            Ok(())
        );
    };
    a_full_target_takes_no_opening_even_as_the_last: {
        // After a power failure the first target that was up again got 91 openings for its nine slots.
        let mut gate = gate();
        let last = OpeningOffer { has_next_candidate: false, ..OFFER };
        assert_eq!(gate.admit(&last, TargetLoad { flows: 9, busy: 7, expected_answer: None }, 1), Ok(()));
        assert_eq!(
            gate.admit(&last, TargetLoad { flows: 9, busy: 8, expected_answer: None }, 1),
            Err(RefusalReason::Full)
        );
        // The target holds the flow already; its caller has just not received the acceptance.
        let copy = OpeningOffer { is_retransmission: true, ..last };
        assert_eq!(gate.admit(&copy, TargetLoad { flows: 9, busy: 8, expected_answer: None }, 1), Ok(()));
    };
    who_has_waited_takes_free_slots_only: {
        let mut gate = gate();
        let late = OpeningOffer { has_next_candidate: false, has_waited: true, ..OFFER };
        assert_eq!(gate.admit(&late, TargetLoad { flows: 9, busy: 3, expected_answer: None }, 1), Ok(()));
        assert_eq!(
            gate.admit(&late, TargetLoad { flows: 9, busy: 4, expected_answer: None }, 1),
            Err(RefusalReason::Full)
        );
    };
    a_flow_that_opens_counts_as_busy_until_its_request_is_answered_or_does_not_come: {
        let mut flows = TrackedFlows::new();
        flows.note_caller_segment(&opening(1), 0);
        flows.note_caller_segment(&opening(2), 0);
        flows.note_caller_segment(&opening(2), 60);
        assert_eq!(flows.busy_count(), 2);
        flows.note_caller_segment(&Segment { payload_bytes: 50, ..segment(1) }, 10);
        assert_eq!(flows.busy_count(), 2);
        flows.note_target_segment(&Segment { payload_bytes: 900, ..segment(1) }, 20);
        assert_eq!(flows.busy_count(), 1);
        flows.expire_expected_requests(99);
        assert_eq!(flows.busy_count(), 1);
        flows.expire_expected_requests(100);
        assert_eq!(flows.busy_count(), 0);
        flows.remove(&opening(2).flow);
        assert_eq!((flows.busy_count(), flows.open_count()), (0, 1));
    };
    openings_in_a_burst_go_on_to_the_next_agent: {
        let mut agent = agent();
        let taken = |agent: &mut AgentState, port| {
            let action =
                agent.handle_node_segment(&opening(port), header(&[address(2, 8172)], 7), 1);
            matches!(action, Action::ForwardToTarget { .. })
        };
        assert_eq!((1..=40).filter(|port| taken(&mut agent, *port)).count(), 4);
    };
    that_a_target_was_full_is_told_at_the_end_of_the_chain: {
        let mut agent = agent();
        let full = SegmentHeader { saw_full_target: true, ..header(&[], 7) };
        let action = agent.handle_node_segment(&opening(1), full, 5_000);
        assert!(
            matches!(action, Action::ReturnToBalancer { saw_full_target: true, .. }),
            "{action:?}"
        );
        let action = agent.handle_node_segment(&opening(1), header(&[], 7), 5_000);
        assert!(
            matches!(action, Action::ReturnToBalancer { saw_full_target: false, .. }),
            "{action:?}"
        );
    };
    after_a_stall_the_target_must_report_first: {
        let mut gate = gate();
        gate.note_stall(500);
        assert_eq!(admit(&mut gate, 501), Err(RefusalReason::TargetSilent));
    };
    a_copy_of_a_request_makes_no_slot_busy_again: {
        let mut flows = TrackedFlows::new();
        let request = Segment { payload_bytes: 50, ..segment(1) };
        flows.note_caller_segment(&opening(1), 0);
        flows.note_caller_segment(&request, 1);
        assert_eq!(flows.busy_count(), 1);
        flows.note_target_segment(&Segment { payload_bytes: 900, ..segment(1) }, 2);
        flows.note_caller_segment(&request, 3);
        assert_eq!(flows.busy_count(), 0);
        assert_eq!(flows.open_count(), 1);
    };
    an_ended_flow_is_remembered_for_late_copies_and_then_forgotten: {
        let mut flows = TrackedFlows::new();
        flows.note_caller_segment(&opening(1), 0);
        flows.note_caller_segment(&Segment { ends: true, ..segment(1) }, 1);
        flows.note_target_segment(&Segment { ends: true, ..segment(1) }, 2);
        assert_eq!(flows.flow_state(&segment(1).flow), FlowState::Ended);
        assert_eq!(flows.open_count(), 0);
        flows.expire(6_000, 15_000, 2_000);
        assert_eq!(flows.flow_state(&segment(1).flow), FlowState::Unknown);
    };
    what_the_target_gives_back_goes_to_the_next_agent: {
        let mut agent = agent();
        let next = address(3, 8172);
        let forwarded = agent.handle_node_segment(&segment(1), header(&[next], 4), 1);
        let bounced = Segment { is_bounced: true, cookie: cookie_of(&forwarded), ..segment(1) };
        match agent.handle_target_segment(&bounced, 2) {
            Action::ForwardToAgent(agent, header, ReturnCause::NotHeld(NotHeldReason::Bounced)) => {
                assert_eq!(
                    (agent, header.chain.len(), header.search_id, header.hops),
                    (next, 0, 4, 1)
                );
            }
            other => panic!("expected forwarding to the next agent, got {other:?}"),
        }
    };
    the_last_agent_gives_the_segment_back_to_the_balancer: {
        let mut agent = agent();
        let forwarded = agent.handle_node_segment(&segment(1), header(&[], 4), 1);
        let bounced = Segment { is_bounced: true, cookie: cookie_of(&forwarded), ..segment(1) };
        assert_eq!(
            agent.handle_target_segment(&bounced, 2),
            returned_to_balancer(4, NotHeldReason::Bounced)
        );
    };
    a_header_with_too_many_hops_is_no_fault: {
        let mut agent = agent();
        let with_many_hops = SegmentHeader { hops: u32::MAX, ..header(&[address(3, 8172)], 4) };
        let forwarded = agent.handle_node_segment(&segment(1), with_many_hops, 1);
        let bounced = Segment { is_bounced: true, cookie: cookie_of(&forwarded), ..segment(1) };
        assert!(matches!(agent.handle_target_segment(&bounced, 2), Action::ForwardToAgent(..)));
    };
    a_slot_of_another_flow_is_not_believed: {
        let mut agent = agent();
        let forwarded = agent.handle_node_segment(&segment(1), header(&[address(3, 1)], 4), 1);
        let bounced = Segment { is_bounced: true, cookie: cookie_of(&forwarded), ..segment(2) };
        assert_eq!(agent.handle_target_segment(&bounced, 2), Action::Drop);
    };
    an_agent_takes_no_opening_before_every_balancer_knows_of_it: {
        // A flow was opened at an agent that one balancer did not know; that balancer reset it as not held.
        let (first, second) = (address(9, 7720), address(8, 7720));
        let mut agent = starting_agent(&[first, second]);
        agent.apply_probe(&probe_from(first), 1);
        let action = agent.handle_node_segment(&opening(1), header(&[], 0), 2);
        assert_eq!(refusal_of(&action), Some(RefusalReason::NotIntroduced));
        assert_eq!(agent.phase(2), TargetPhase::Introducing);
        assert_eq!(agent.introduction.balancers_to_notify(), [second]);
        agent.apply_probe(&probe_from(second), 3);
        assert_eq!(agent.phase(3), TargetPhase::Serving);
        cookie_of(&agent.handle_node_segment(&opening(1), header(&[], 0), 3));
    };
    a_balancer_that_does_not_answer_holds_an_agent_up_for_a_moment_only: {
        let mut agent = starting_agent(&[address(9, 7720)]);
        assert_eq!(agent.phase(59), TargetPhase::Introducing);
        assert_eq!(agent.phase(60), TargetPhase::Serving);
    };
    a_cold_target_counts_as_starting_until_its_limits_are_told: {
        // Openings were refused for lack of a target shortly before the limits of the cold target arrived.
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        agent.gate.apply_report(TargetReport { cold_remaining_ms: 2_000, ..report_of("a", 1, 1) }, 0);
        agent.introduction.note_registered_balancers(IndexSet::new());
        assert_eq!(agent.phase(1), TargetPhase::Introducing);
        let other = Probe { service: "zpravy".to_owned(), ..probe_from(address(9, 7720)) };
        agent.apply_probe(&other, 2);
        assert_eq!(agent.phase(2), TargetPhase::Introducing);
        let probe = Probe { service: "vypocet".to_owned(), ..probe_from(address(9, 7720)) };
        agent.apply_probe(&probe, 3);
        assert_eq!(agent.phase(3), TargetPhase::Cold);
    };
    an_agent_without_balancers_is_found_in_the_store: {
        let mut agent = starting_agent(&[]);
        assert_eq!(agent.phase(0), TargetPhase::Serving);
    };
    with_the_store_away_the_first_balancer_tells_the_others: {
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        agent.gate.apply_report(report_of("a", 1, 2), 4_000);
        assert_eq!(agent.phase(4_000), TargetPhase::Introducing);
        agent.apply_probe(&probe_from(address(9, 7720)), 4_000);
        assert_eq!(agent.phase(4_699), TargetPhase::Introducing);
        assert_eq!(agent.phase(4_700), TargetPhase::Serving);
    };
    an_opening_that_nobody_takes_is_refused_at_once: {
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        agent.introduction.note_registered_balancers(IndexSet::new());
        let action = agent.handle_node_segment(&opening(1), header(&[], 0), 1);
        assert_eq!(refusal_of(&action), Some(RefusalReason::TargetSilent));
    };
    the_balancer_that_searches_is_told_where_the_flow_is: {
        let mut agent = agent();
        open_flow(&mut agent, 1, 1);
        match agent.handle_node_segment(&segment(1), header(&[], 4), 2) {
            Action::ForwardToTarget { notify, .. } => assert_eq!(notify, Some(address(9, 7720))),
            other => panic!("expected forwarding to the target, got {other:?}"),
        }
    };
    an_agent_that_saw_the_whole_life_answers_without_the_target: {
        let mut agent = agent();
        for (sequence, now_ms) in [(3, 770), (4, 1_540)] {
            agent.apply_report(report_of("a", 1, sequence), now_ms);
        }
        agent.note_leave("a", Some(1));
        agent.apply_report(report_of("b", 5, 1), 1_541);
        assert_eq!(
            agent.handle_node_segment(&segment(1), header(&[], 4), 1_542),
            returned_to_balancer(4, NotHeldReason::UnknownFlow)
        );
        open_flow(&mut agent, 2, 1_543);
        cookie_of(&agent.handle_node_segment(&segment(2), header(&[], 4), 1_544));
    };
    a_flow_that_opened_elsewhere_is_not_given_to_the_target_that_lost: {
        // Two targets accepted retransmissions of one opening. A later search reached the target whose
        // acceptance the caller had not used, and that target reset the flow.
        let mut agent = agent();
        open_flow(&mut agent, 1, 1);
        let elsewhere = Segment { acknowledged: 4_000_000, ..segment(1) };
        assert_eq!(
            agent.handle_node_segment(&elsewhere, header(&[], 4), 2),
            returned_to_balancer(4, NotHeldReason::OpenElsewhere)
        );
        agent.handle_node_segment(&opening(2), header(&[], 0), 3);
        assert_eq!(
            agent.handle_node_segment(&segment(2), header(&[], 4), 4),
            returned_to_balancer(4, NotHeldReason::OpenElsewhere)
        );
    };
    a_reset_of_a_target_that_nobody_knows_yet_reaches_no_caller: {
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        cookie_of(&agent.handle_node_segment(&segment(1), header(&[], 4), 1));
        let reset = Segment { resets: true, ..segment(1) };
        assert_eq!(agent.handle_target_segment(&reset, 2), Action::Drop);
    };
    a_reset_of_a_target_on_its_own_flow_reaches_the_caller: {
        let mut agent = agent();
        open_flow(&mut agent, 1, 1);
        let action = agent.handle_target_segment(&Segment { resets: true, ..segment(1) }, 2);
        assert!(matches!(action, Action::ForwardToCaller { .. }), "{action:?}");
    };
    an_agent_whose_target_has_started_after_it_has_seen_every_flow: {
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        agent.gate.note_connection_refused();
        agent.gate.apply_report(report_of("a", 1, 1), 0);
        assert_eq!(
            agent.handle_node_segment(&segment(1), header(&[], 4), 1),
            returned_to_balancer(4, NotHeldReason::UnknownFlow)
        );
    };
    a_target_that_never_reports_holds_no_flow: {
        // After a power failure every search for a lost flow ended at an agent whose target did not start
        // again, so callers waited until their deadline.
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        cookie_of(&agent.handle_node_segment(&segment(1), header(&[], 4), 2_500));
        assert_eq!(
            agent.handle_node_segment(&segment(1), header(&[], 4), 2_501),
            returned_to_balancer(4, NotHeldReason::TargetLost)
        );
        assert_eq!(agent.phase(2_501), TargetPhase::Ended);
        agent.note_stall(9_000);
        cookie_of(&agent.handle_node_segment(&segment(1), header(&[], 4), 9_001));
    };
    an_agent_that_started_later_than_its_target_asks_it: {
        let mut agent = agent();
        cookie_of(&agent.handle_node_segment(&segment(1), header(&[], 4), 2));
    };
    a_flow_that_the_target_lost_makes_it_another_life_until_it_reports: {
        let mut agent = agent();
        open_flow(&mut agent, 1, 1);
        let forwarded = agent.handle_node_segment(&segment(1), header(&[], 4), 2);
        agent.handle_target_segment(
            &Segment { is_bounced: true, cookie: cookie_of(&forwarded), ..segment(1) },
            3,
        );
        let action = agent.handle_node_segment(&opening(2), header(&[], 0), 4);
        assert_eq!(refusal_of(&action), Some(RefusalReason::TargetSilent));
    };
    an_older_configuration_does_not_open_a_zone: {
        let mut agent = agent();
        agent.apply_probe(&zone_probe(revision(8).into(), true), 1);
        agent.apply_probe(&zone_probe(revision(7).into(), false), 2);
        let action = agent.handle_node_segment(&opening(1), header(&[], 0), 3);
        assert_eq!(refusal_of(&action), Some(RefusalReason::ZoneOut));
    };
    a_probe_that_knows_less_does_not_end_a_hold: {
        // A balancer that started in a new era of the store reverted what others held, and openings went to the
        // zone.
        let mut agent = agent();
        let position = StorePosition::new(2, 60);
        let holds = Probe { zone_held_ms: Some(4_000), ..zone_probe(position.into(), true) };
        agent.apply_probe(&holds, 1_000);
        agent.apply_probe(&zone_probe(position.into(), false), 1_300);
        let refused = agent.handle_node_segment(&opening(1), header(&[], 0), 1_400);
        assert_eq!(refusal_of(&refused), Some(RefusalReason::ZoneOut));
    };
    a_hold_arrives_with_a_probe: {
        // A hold that is lost on the way does not count at the agent.
        for zone_held_ms in [None, Some(0), Some(4_000)] {
            let probe = Probe { zone_held_ms, ..zone_probe(StorePosition::new(2, 60).into(), true) };
            let message = NodeMessage::Probe(probe);
            assert_eq!(NodeMessage::decode(&message.encode()), Some(message));
        }
    };
    a_hold_at_an_agent_ends_with_its_time: {
        // A hold that lasted longer would keep an evacuation that operators gave up.
        let mut zone = ZoneState::new();
        let holds = zone_report(60, true, Some(4_000));
        zone.apply(&holds, 1_000);
        zone.apply(&zone_report(60, false, None), 4_999);
        assert!(zone.is_out());
        zone.apply(&zone_report(60, false, None), 5_000);
        assert!(!zone.is_out());
    };
    a_hold_at_an_agent_is_never_longer_than_the_longest_hold: {
        // An invalid remaining time would keep the zone out for up to 49 days.
        let mut zone = ZoneState::new();
        zone.apply(&zone_report(60, true, Some(u64::from(u32::MAX))), 0);
        zone.apply(&zone_report(60, false, None), HOLD_MS);
        assert!(!zone.is_out());
    };
    a_later_position_ends_a_hold_at_an_agent: {
        // Operators who take the zone back would wait for the end of the hold.
        let mut zone = ZoneState::new();
        zone.apply(&zone_report(60, true, Some(4_000)), 1_000);
        assert!(zone.apply(&zone_report(61, false, None), 1_100));
        assert!(!zone.is_out());
        assert!(!zone.apply(&zone_report(60, true, Some(3_800)), 1_200));
        assert!(!zone.is_out());
    };
    a_probe_of_a_build_without_holds_counts_as_before: {
        // Such a build may hold the zone, too, and ends the hold by a probe at the same position.
        let mut zone = ZoneState::new();
        zone.apply(&zone_report(60, true, None), 1_000);
        zone.apply(&zone_report(60, false, None), 1_300);
        assert!(!zone.is_out());
    };
    a_lower_revision_of_a_later_era_takes_the_zone_out: {
        let mut agent = agent();
        agent.apply_probe(&zone_probe(StorePosition::new(1, 100).into(), false), 1);
        agent.apply_probe(&zone_probe(StorePosition::new(2, 61).into(), true), 2);
        // A balancer that is cut off from the store still probes in the era before.
        agent.apply_probe(&zone_probe(StorePosition::new(1, 110).into(), false), 3);
        let action = agent.handle_node_segment(&opening(1), header(&[], 0), 4);
        assert_eq!(refusal_of(&action), Some(RefusalReason::ZoneOut));
    };
    a_probe_of_a_build_without_eras_counts_in_the_agents_era: {
        let mut agent = agent();
        let without_era = |revision| ReportedPosition { era: None, revision };
        agent.apply_probe(&zone_probe(StorePosition::new(2, 61).into(), false), 1);
        assert!(!agent.apply_probe(&zone_probe(without_era(60), true), 2));
        assert!(agent.apply_probe(&zone_probe(without_era(62), true), 3));
    };
    an_agent_introduces_itself_again_when_another_target_starts: {
        let (told, registered) = (address(9, 7720), address(8, 7720));
        let mut agent = starting_agent(&[registered]);
        agent.apply_probe(&probe_from(registered), 1);
        assert!(agent.introduction.is_complete(2));
        agent.note_target_not_running(1);
        assert_eq!(agent.phase_to_report(&[told], 3), TargetPhase::Ended);
        agent.gate.apply_report(report_of("b", 9, 1), 1_000);
        // A balancer that missed the end may offer a flow before the first status of the new target.
        let refused = agent.handle_node_segment(&opening(2), header(&[], 0), 1_000);
        assert_eq!(refusal_of(&refused), Some(RefusalReason::NotIntroduced));
        assert_eq!(agent.phase_to_report(&[told], 1_000), TargetPhase::Introducing);
        assert_eq!(agent.introduction.incarnation(), INCARNATION + 1);
        let knowing = |balancer| Probe { known_incarnation: INCARNATION + 1, ..probe_from(balancer) };
        agent.apply_probe(&knowing(registered), 1_001);
        // The probe shows that its sender may still believe that the target has ended.
        agent.apply_probe(&probe_from(told), 1_002);
        let refused = agent.handle_node_segment(&opening(1), header(&[], 0), 1_003);
        assert_eq!(refusal_of(&refused), Some(RefusalReason::NotIntroduced));
        agent.apply_probe(&knowing(told), 1_004);
        assert!(agent.introduction.is_complete(1_005));
    };
    an_agent_is_introduced_only_once_its_target_runs: {
        let balancer = address(9, 7720);
        let mut agent = AgentState::new(INCARNATION, TARGET_TIMEOUT_MS, 0);
        agent.note_target_not_running(1);
        agent.introduction.note_registered_balancers(IndexSet::from([balancer]));
        assert_eq!(agent.balancers_to_notify(1), None);
        agent.gate.apply_report(report_of("a", 1, 1), 5_000);
        assert_eq!(agent.balancers_to_notify(5_000), Some(vec![balancer]));
        let refused = agent.handle_node_segment(&opening(1), header(&[], 0), 5_059);
        assert_eq!(refusal_of(&refused), Some(RefusalReason::NotIntroduced));
        assert!(agent.introduction.is_complete(5_060));
    };
    a_target_that_nobody_was_told_has_ended_needs_no_second_introduction: {
        let mut agent = agent();
        agent.note_target_not_running(1);
        agent.gate.apply_report(report_of("b", 9, 1), 10);
        agent.phase_to_report(&[address(9, 7720)], 11);
        assert!(agent.introduction.is_complete(11));
        assert_eq!(agent.introduction.incarnation(), INCARNATION);
    };
}
