//! Which instance of a target counts, whatever arrives late, twice or from others.

#[macro_use]
mod support;

use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::connection::opening_refusal::RefusalReason;
use rhubarbthread::connection::target_gate::OpeningOffer;
use rhubarbthread::connection::target_gate::TargetGate;
use rhubarbthread::connection::target_gate::TargetLimits;
use rhubarbthread::connection::target_gate::TargetLoad;
use rhubarbthread::connection::target_gate::TargetPhase;
use rhubarbthread::connection::target_instance::KnownInstance;
use rhubarbthread::connection::target_instance::TargetInstanceSummary;
use rhubarbthread::connection::target_instances::LeaveOutcome;
use rhubarbthread::connection::target_report::IgnoredReason;
use rhubarbthread::connection::target_report::ReportOutcome;
use rhubarbthread::connection::target_report::TargetReport;
use rhubarbthread::process::passthrough::agent_state::Action;
use rhubarbthread::process::passthrough::agent_state::AgentState;
use rhubarbthread::process::passthrough::segment_header::SegmentHeader;

use crate::support::passthrough::address;
use crate::support::passthrough::report_of;
use crate::support::passthrough::segment_of;

const TARGET_TIMEOUT_MS: u64 = 1_800;
const HEARTBEAT_MS: u64 = 770;

fn draining(report: TargetReport) -> TargetReport {
    TargetReport { is_leaving: true, ..report }
}

fn gate() -> TargetGate {
    let mut gate = TargetGate::new(TARGET_TIMEOUT_MS);
    gate.apply_report(report_of("a", 1_000, 1), 0);
    gate
}

fn admit(gate: &mut TargetGate, service: &str, now_ms: u64) -> Result<(), RefusalReason> {
    let offer = OpeningOffer {
        service,
        has_next_candidate: false,
        is_retransmission: false,
        has_waited: false,
    };
    gate.admit(&offer, TargetLoad { flows: 0, busy: 0, expected_answer: None }, now_ms)
}

/// What a balancer knows of the target from before an agent's start.
fn known(gate: &TargetGate) -> Option<KnownInstance> {
    let TargetInstanceSummary { hash, is_leaving, is_other_leaving } = gate.instance_summary()?;
    Some(KnownInstance { hash, is_leaving, is_other_leaving, as_of: (1, 1) })
}

/// A gate of an agent that has started at `now_ms` in place of another one.
fn restarted(before: &TargetGate, now_ms: u64) -> TargetGate {
    let mut gate = TargetGate::new(TARGET_TIMEOUT_MS).with_start(now_ms);
    if let Some(known) = known(before) {
        gate.note_known_instance(known, now_ms);
    }
    gate
}

/// Checks that a target that is heard, but does not report, gets no opening.
fn assert_refused_as_leaving(gate: &mut TargetGate, during_ms: Range<u64>) {
    for now_ms in during_ms.step_by(100) {
        gate.note_seen(now_ms);
        let answer = admit(gate, "vypocet", now_ms);
        assert_eq!(answer, Err(RefusalReason::Leaving), "at {now_ms} ms");
        assert_eq!(gate.phase(now_ms), TargetPhase::Leaving);
    }
}

fn ignored(reason: IgnoredReason) -> ReportOutcome {
    ReportOutcome::Ignored(reason)
}

cases! {
    draining_counts_though_an_earlier_instance_had_a_clock_ahead: {
        let mut gate = gate();
        let next = |sequence| report_of("b", 400, sequence);
        assert_eq!(gate.apply_report(next(1), 900), ignored(IgnoredReason::Unproven));
        gate.note_seen(1_000);
        assert_eq!(gate.apply_report(next(2), 1_670), ReportOutcome::Replaced);
        gate.apply_report(draining(next(3)), 2_440);
        for now_ms in (2_440..9_000).step_by(100) {
            gate.note_seen(now_ms);
            assert_eq!(admit(&mut gate, "vypocet", now_ms), Err(RefusalReason::Leaving));
        }
    };
    draining_of_an_instance_that_is_not_proved_yet_is_in_force_at_once: {
        let mut gate = gate();
        gate.apply_report(draining(report_of("b", 2_000, 1)), 300);
        assert_eq!(admit(&mut gate, "vypocet", 301), Err(RefusalReason::Leaving));
        assert_eq!(gate.phase(301), TargetPhase::Leaving);
    };
    an_instance_that_was_displaced_counts_again_once_it_goes_on_reporting: {
        let mut gate = gate();
        for (sequence, now_ms) in [(8, 1_100), (9, 1_700)] {
            gate.apply_report(report_of("late", 500, sequence), now_ms);
        }
        assert_eq!(gate.current_report().map(|report| report.id.as_str()), Some("late"));
        let outcomes = [2_000, 2_770, 3_540].map(|now_ms| {
            gate.apply_report(draining(report_of("a", 1_000, now_ms)), now_ms)
        });
        assert!(outcomes.contains(&ReportOutcome::Replaced), "{outcomes:?}");
        assert_eq!(admit(&mut gate, "vypocet", 3_541), Err(RefusalReason::Leaving));
    };
    confirmed_draining_holds_while_another_instance_has_taken_the_place: {
        let mut gate = gate();
        gate.apply_report(draining(report_of("a", 1_000, 2)), 0);
        for (sequence, now_ms) in [(8, 600), (9, 1_200)] {
            gate.apply_report(report_of("late", 500, sequence), now_ms);
        }
        assert_eq!(gate.current_report().map(|report| report.id.as_str()), Some("late"));
        assert_eq!(admit(&mut gate, "vypocet", 1_201), Err(RefusalReason::Leaving));
        let outcome = gate.apply_report(draining(report_of("a", 1_000, 3)), 1_540);
        assert_eq!(outcome, ignored(IgnoredReason::Unproven));
        for now_ms in 1_541..2_310 {
            assert_eq!(admit(&mut gate, "vypocet", now_ms), Err(RefusalReason::Leaving));
        }
    };
    draining_is_kept_over_a_restart_of_the_agent: {
        let mut before = gate();
        before.apply_report(draining(report_of("a", 1_000, 5)), 10);
        let mut gate = restarted(&before, 500);
        // A report from before the draining, which was held up.
        gate.apply_report(report_of("a", 1_000, 4), 510);
        assert_eq!(admit(&mut gate, "vypocet", 511), Err(RefusalReason::Leaving));
        gate.apply_report(report_of("a", 1_000, 6), 900);
        assert_eq!(admit(&mut gate, "vypocet", 901), Err(RefusalReason::Leaving));
    };
    a_late_report_gives_no_opening_of_another_service_to_the_target: {
        let mut before = TargetGate::new(TARGET_TIMEOUT_MS);
        let other = TargetReport { service: "zpravy".to_owned(), ..report_of("b", 2_000, 3) };
        before.apply_report(other.clone(), 0);
        let mut gate = restarted(&before, 500);
        gate.apply_report(report_of("a", 1_000, 1_000), 510);
        assert!(admit(&mut gate, "vypocet", 511).is_err());
        for (sequence, now_ms) in [(4, 770), (5, 1_540), (6, 2_310)] {
            gate.apply_report(TargetReport { sequence, ..other.clone() }, now_ms);
            assert!(admit(&mut gate, "vypocet", now_ms + 1).is_err());
        }
        assert_eq!(admit(&mut gate, "zpravy", 2_311), Ok(()));
    };
    // An agent took a report with the number 1 for the first one, and refused the flows that its predecessor had
    // admitted after a report with the number 0, or after one that it answered too late.
    no_number_of_a_report_shows_that_all_flows_were_seen: {
        for sequence in [0, 1, 2] {
            let mut agent = AgentState::new(7, TARGET_TIMEOUT_MS, 0);
            agent.apply_report(report_of("a", 1_000, sequence), 1);
            let action = agent.handle_node_segment(&segment_of(443, 1), SegmentHeader::default(), 2);
            assert!(matches!(action, Action::ForwardToTarget { .. }), "number {sequence}: {action:?}");
        }
    };
    // Late calls of an instance that has ended long before were taken for the end of the one that ran.
    late_calls_of_an_earlier_instance_do_not_show_that_all_flows_were_seen: {
        let mut agent = AgentState::new(7, TARGET_TIMEOUT_MS, 0);
        for (sequence, now_ms) in [(8, 1), (9, 601)] {
            agent.apply_report(report_of("late", 500, sequence), now_ms);
        }
        assert_eq!(agent.note_leave("late", Some(500)), LeaveOutcome::Ended);
        assert_eq!(agent.apply_report(report_of("a", 1_000, 5), 700), ReportOutcome::NewLife);
        let action = agent.handle_node_segment(&segment_of(443, 1), SegmentHeader::default(), 701);
        assert!(matches!(action, Action::ForwardToTarget { .. }), "{action:?}");
    };
    // A late report and a late leave call made an agent that had just started refuse the flows of a running target.
    late_calls_of_an_earlier_instance_lose_no_flow_of_the_running_one: {
        let mut agent = AgentState::new(7, TARGET_TIMEOUT_MS, 0);
        agent.apply_report(report_of("late", 500, 9), 1);
        assert_eq!(agent.note_leave("late", Some(500)), LeaveOutcome::Unverified);
        let action = agent.handle_node_segment(&segment_of(443, 1), SegmentHeader::default(), 2);
        assert!(matches!(action, Action::ForwardToTarget { .. }), "{action:?}");
        assert!(agent.is_target_suspected(3), "the host is checked");
    };
    the_instance_after_one_that_ran_and_left_has_no_flow_from_before: {
        let mut gate = gate();
        for (sequence, now_ms) in [(2, 770), (3, 1_540)] {
            gate.apply_report(report_of("a", 1_000, sequence), now_ms);
        }
        assert_eq!(gate.note_leave("a", Some(1_000)), LeaveOutcome::Ended);
        assert_eq!(gate.apply_report(report_of("b", 400, 4), 1_600), ReportOutcome::NewLife);
        assert!(gate.has_seen_all_flows());
    };
    a_late_report_that_comes_before_the_balancers_answer_counts_for_nothing: {
        let before = gate();
        let mut gate = TargetGate::new(TARGET_TIMEOUT_MS).with_start(500);
        assert_eq!(gate.apply_report(report_of("late", 500, 9), 510), ReportOutcome::NewLife);
        gate.note_known_instance(known(&before).expect("the target is known"), 511);
        assert!(admit(&mut gate, "vypocet", 511).is_err());
        assert!(!gate.has_seen_all_flows());
        assert_eq!(gate.apply_report(report_of("a", 1_000, 2), 770), ReportOutcome::NewLife);
    };
    a_target_that_starts_after_a_power_failure_counts_at_its_first_report: {
        let before = gate();
        let mut gate = TargetGate::new(TARGET_TIMEOUT_MS).with_start(500);
        gate.note_connection_refused();
        gate.note_known_instance(known(&before).expect("the target is known"), 511);
        assert_eq!(gate.apply_report(report_of("b", 400, 1), 510), ReportOutcome::NewLife);
        gate.note_known_instance(known(&before).expect("the target is known"), 511);
        assert_eq!(admit(&mut gate, "vypocet", 511), Ok(()));
    };
    another_writer_does_not_take_the_place_of_a_running_target: {
        let mut gate = gate();
        let other = TargetReport { service: "archiv".to_owned(), ..report_of("other", 9_000, 1) };
        assert_eq!(gate.apply_report(other, 400), ignored(IgnoredReason::Unproven));
        for (sequence, now_ms) in [(2, 770), (3, 1_540), (4, 2_310)] {
            assert_eq!(gate.apply_report(report_of("a", 1_000, sequence), now_ms), ReportOutcome::Same);
        }
        assert_eq!(admit(&mut gate, "vypocet", 2_311), Ok(()));
    };
    a_late_leave_call_does_not_end_the_next_instance_of_the_id: {
        let mut gate = gate();
        gate.apply_report(report_of("a", 1_000, 2), 770);
        assert_eq!(gate.note_leave("a", Some(1_000)), LeaveOutcome::Ended);
        gate.apply_report(report_of("a", 4_000, 1), 3_000);
        assert_eq!(gate.note_leave("a", Some(1_000)), LeaveOutcome::OtherInstance);
        assert!(!gate.has_ended());
        assert_eq!(admit(&mut gate, "vypocet", 3_001), Ok(()));
    };
    a_leave_call_without_a_start_time_ends_only_a_target_that_is_gone: {
        let mut gate = gate();
        assert_eq!(gate.note_leave("a", None), LeaveOutcome::Unverified);
        assert!(!gate.has_ended() && gate.is_suspected(0));
        assert_eq!(admit(&mut gate, "vypocet", 10), Err(RefusalReason::Leaving));
        gate.apply_report(report_of("a", 1_000, 2), 770);
        assert_eq!(admit(&mut gate, "vypocet", 771), Ok(()));
        gate.note_leave("a", None);
        gate.note_connection_refused();
        assert!(gate.has_ended());
    };
    a_target_whose_reports_stay_away_is_not_lost_while_its_host_accepts_connections: {
        let mut agent = AgentState::new(7, TARGET_TIMEOUT_MS, 0);
        agent.apply_report(report_of("a", 1_000, 2), 0);
        let header = SegmentHeader { report_to: Some(address(9, 7720)), ..SegmentHeader::default() };
        for now_ms in (250..9_000).step_by(250) {
            agent.note_time(now_ms);
            agent.gate.note_connection_accepted(now_ms);
            let action = agent.handle_node_segment(&segment_of(443, 1), header.clone(), now_ms);
            assert!(matches!(action, Action::ForwardToTarget { .. }), "{now_ms} {action:?}");
        }
    };
    a_refused_connection_from_before_a_report_does_not_end_the_target: {
        let mut agent = AgentState::new(7, TARGET_TIMEOUT_MS, 0);
        agent.apply_report(report_of("a", 1_000, 1), 100);
        assert!(!agent.note_target_not_running(99));
        assert!(!agent.gate.has_ended());
    };
    segments_that_waited_during_a_stall_are_not_returned_as_lost: {
        let mut agent = AgentState::new(7, TARGET_TIMEOUT_MS, 0);
        agent.apply_report(report_of("a", 1_000, 2), 0);
        for now_ms in (250..3_000).step_by(250) {
            agent.note_time(now_ms);
            agent.gate.note_seen(now_ms);
        }
        agent.note_time(6_500);
        let header = SegmentHeader { report_to: Some(address(9, 7720)), ..SegmentHeader::default() };
        let action = agent.handle_node_segment(&segment_of(443, 1), header, 6_500);
        assert!(matches!(action, Action::ForwardToTarget { .. }), "{action:?}");
    };
    the_limit_of_a_cold_target_holds_over_a_restart_of_the_agent: {
        let limits = TargetLimits { cold_openings_per_s: Some(3), max_flows: 100 };
        let cold = |sequence| TargetReport { cold_remaining_ms: 9_000, ..report_of("a", 1_000, sequence) };
        let mut before = TargetGate::new(TARGET_TIMEOUT_MS);
        before.note_connection_refused();
        before.set_limits("vypocet", limits);
        before.apply_report(cold(1), 0);
        let used = (0..9).filter(|now_ms| admit(&mut before, "vypocet", *now_ms).is_ok()).count();
        let mut gate = restarted(&before, 100);
        gate.set_limits("vypocet", limits);
        gate.apply_report(cold(2), 110);
        let more = (110..1_009).filter(|now_ms| admit(&mut gate, "vypocet", *now_ms).is_ok());
        assert_eq!((used, more.count()), (3, 0));
        assert_eq!(admit(&mut gate, "vypocet", 1_300), Ok(()));
    };
    // A draining that was confirmed ended with a timer on the reports, while the target served on.
    confirmed_draining_of_an_unproven_instance_holds_while_no_report_arrives: {
        let mut gate = gate();
        let outcome = gate.apply_report(draining(report_of("b", 400, 1)), 900);
        assert_eq!(outcome, ignored(IgnoredReason::Unproven));
        assert_refused_as_leaving(&mut gate, 900..20_000);
    };
    // The same after the report of another instance had taken the place of the draining one.
    confirmed_draining_of_a_replaced_instance_holds_while_no_report_arrives: {
        let mut gate = gate();
        gate.apply_report(draining(report_of("a", 1_000, 2)), 700);
        gate.apply_report(report_of("b", 400, 1), 1_800);
        assert_eq!(gate.apply_report(report_of("b", 400, 2), 2_400), ReportOutcome::Replaced);
        assert_refused_as_leaving(&mut gate, 2_400..20_000);
    };
    // A confirmed draining was dropped from a full list of instances.
    reports_of_other_writers_take_back_no_confirmed_draining: {
        let mut gate = gate();
        gate.apply_report(draining(report_of("b", 400, 1)), 900);
        for number in 0..40 {
            gate.apply_report(report_of(&format!("other-{number}"), 5_000 + number, 1), 910);
        }
        assert_refused_as_leaving(&mut gate, 910..20_000);
    };
    draining_ends_with_the_instance_that_a_leave_call_names: {
        let mut gate = gate();
        gate.apply_report(draining(report_of("b", 400, 1)), 900);
        assert_eq!(gate.note_leave("b", Some(400)), LeaveOutcome::Unverified);
        assert!(gate.is_suspected(0), "the host has to be checked");
        assert_refused_as_leaving(&mut gate, 900..1_000);
        gate.apply_report(report_of("a", 1_000, 2), 1_000);
        assert_eq!(admit(&mut gate, "vypocet", 1_001), Ok(()));
        let late = gate.apply_report(draining(report_of("b", 400, 2)), 1_100);
        assert_eq!(late, ignored(IgnoredReason::PastInstance));
        assert_eq!(admit(&mut gate, "vypocet", 1_101), Ok(()));
    };
    draining_ends_once_the_host_refuses_connections: {
        let mut gate = gate();
        gate.apply_report(draining(report_of("b", 400, 1)), 900);
        gate.note_connection_refused();
        assert_eq!(gate.apply_report(report_of("c", 5_000, 1), 1_500), ReportOutcome::NewLife);
        assert_eq!(admit(&mut gate, "vypocet", 1_501), Ok(()));
    };
    one_draining_report_of_another_writer_closes_a_running_target_for_three_reports: {
        let mut gate = gate();
        gate.apply_report(draining(report_of("other", 9_000, 1)), 400);
        for (sequence, now_ms) in [(2, 770), (3, 1_540)] {
            gate.apply_report(report_of("a", 1_000, sequence), now_ms);
            assert_eq!(admit(&mut gate, "vypocet", now_ms), Err(RefusalReason::Leaving));
        }
        assert_eq!(gate.apply_report(report_of("a", 1_000, 4), 2_310), ReportOutcome::Changed);
        assert_eq!(admit(&mut gate, "vypocet", 2_311), Ok(()));
        assert_eq!(gate.phase(2_311), TargetPhase::Serving);
    };
    // A service that an unproven instance had named was forgotten after a time without its reports.
    no_opening_of_another_service_reaches_an_unproven_instance_whose_reports_stay_away: {
        let mut gate = gate();
        let other = TargetReport { service: "zpravy".to_owned(), ..report_of("b", 400, 1) };
        gate.apply_report(other, 900);
        for now_ms in (900..20_000).step_by(100) {
            gate.note_seen(now_ms);
            assert!(admit(&mut gate, "vypocet", now_ms).is_err(), "at {now_ms} ms");
        }
    };
    // The time since a report of the current instance counted as time for which another one had reported.
    a_single_report_after_one_of_the_current_instance_proves_nothing: {
        let mut gate = gate();
        gate.apply_report(report_of("late", 500, 7), 100);
        gate.apply_report(report_of("a", 1_000, 2), 500);
        let outcome = gate.apply_report(report_of("late", 500, 8), 1_600);
        assert_eq!(outcome, ignored(IgnoredReason::Unproven));
    };
    // Balancers gave back the draining of the current instance alone.
    draining_of_an_unproven_instance_is_kept_over_a_restart_of_the_agent: {
        let mut before = gate();
        before.apply_report(draining(report_of("b", 400, 1)), 100);
        let mut gate = restarted(&before, 500);
        gate.apply_report(report_of("a", 1_000, 2), 510);
        assert_refused_as_leaving(&mut gate, 510..1_000);
        let mut again = restarted(&gate, 1_000);
        again.apply_report(report_of("a", 1_000, 3), 1_010);
        assert_refused_as_leaving(&mut again, 1_010..9_000);
        for (sequence, now_ms) in [(4, 9_000), (5, 9_770)] {
            again.apply_report(report_of("a", 1_000, sequence), now_ms);
        }
        assert_eq!(admit(&mut again, "vypocet", 9_771), Ok(()));
    };
    // Two late reports of an earlier instance took the place of the draining one that balancers had named.
    draining_that_balancers_remember_holds_while_another_instance_takes_the_place: {
        let mut before = gate();
        before.apply_report(draining(report_of("a", 1_000, 2)), 10);
        let mut gate = restarted(&before, 500);
        for (sequence, now_ms) in [(8, 510), (9, 1_010)] {
            gate.apply_report(report_of("late", 500, sequence), now_ms);
        }
        assert_eq!(gate.current_report().map(|report| report.id.as_str()), Some("late"));
        assert_refused_as_leaving(&mut gate, 1_010..9_000);
    };
    // A balancer of an earlier build gave the same status back without the draining, and came first.
    draining_counts_though_a_balancer_of_an_earlier_build_leaves_it_out: {
        let mut before = gate();
        before.apply_report(draining(report_of("b", 400, 1)), 100);
        let known = known(&before).expect("the target is known");
        let mut gate = TargetGate::new(TARGET_TIMEOUT_MS).with_start(500);
        gate.note_known_instance(KnownInstance { is_other_leaving: false, ..known }, 501);
        gate.note_known_instance(known, 502);
        gate.apply_report(report_of("a", 1_000, 2), 510);
        assert_refused_as_leaving(&mut gate, 510..1_000);
    };
    // The report of a target that had left, held up over the start of its agent, made it the current one.
    a_report_from_before_a_leave_call_does_not_bring_the_instance_back: {
        let mut gate = TargetGate::new(TARGET_TIMEOUT_MS).with_start(0);
        assert_eq!(gate.note_leave("a", Some(1_000)), LeaveOutcome::OtherInstance);
        let late = gate.apply_report(report_of("a", 1_000, 9), 100);
        assert_eq!(late, ignored(IgnoredReason::PastInstance));
        assert!(admit(&mut gate, "vypocet", 101).is_err());
    };
    no_order_of_reports_and_calls_deceives_an_agent: {
        for seed in 0..150 {
            Play::new(seed).run();
        }
    };
}

/// A target's process as it is.
#[derive(Clone)]
struct Process {
    id: String,
    started_ms: u64,
    service: &'static str,
    sequence: u64,
    next_report_ms: u64,
    drains_from_ms: u64,
    ends_ms: u64,
    /// When an agent confirmed its draining.
    confirmed_ms: Option<u64>,
    first_report_ms: Option<u64>,
}

/// A call that arrives late.
enum Late {
    Report(TargetReport),
    Leave(String, Option<u64>),
}

/// Processes that follow one another at one address, and the agent beside them.
struct Play {
    seed: u64,
    random: StdRng,
    gate: TargetGate,
    process: Option<Process>,
    late: Vec<(u64, Late)>,
    next_start_ms: u64,
    number: u64,
    /// Until when late calls or other writers may hold up the instance that runs.
    disturbed_until_ms: u64,
}

impl Play {
    fn new(seed: u64) -> Play {
        Play {
            seed,
            random: StdRng::seed_from_u64(seed),
            gate: TargetGate::new(TARGET_TIMEOUT_MS),
            process: None,
            late: Vec::new(),
            next_start_ms: 0,
            number: 0,
            disturbed_until_ms: 0,
        }
    }

    fn run(&mut self) {
        for now_ms in (0..60_000).step_by(10) {
            self.start_process(now_ms);
            self.step_process(now_ms);
            self.deliver_late(now_ms);
            if self.random.random_ratio(1, 2_000) {
                self.gate = restarted(&self.gate, now_ms);
                self.disturbed_until_ms = now_ms + HEARTBEAT_MS;
            }
            if self.random.random_ratio(1, 1_500) {
                let other =
                    TargetReport { service: "archiv".to_owned(), ..report_of("other", now_ms, 1) };
                self.gate.apply_report(other, now_ms);
                self.disturbed_until_ms = now_ms + TARGET_TIMEOUT_MS;
            }
            self.check(now_ms);
        }
    }

    fn start_process(&mut self, now_ms: u64) {
        if self.process.is_some() || now_ms < self.next_start_ms {
            return;
        }
        self.number += 1;
        let keeps_id = self.random.random_bool(0.4);
        let clock_ahead_ms = self.random.random_range(0..4_800);
        let drains_from_ms = now_ms + self.random.random_range(500..9_000);
        self.process = Some(Process {
            id: if keeps_id { "kept".to_owned() } else { format!("i-{}", self.number) },
            started_ms: now_ms + clock_ahead_ms,
            service: if self.random.random_bool(0.5) { "vypocet" } else { "zpravy" },
            sequence: 0,
            next_report_ms: now_ms,
            drains_from_ms,
            ends_ms: drains_from_ms + self.random.random_range(0..8_000),
            confirmed_ms: None,
            first_report_ms: None,
        });
    }

    fn step_process(&mut self, now_ms: u64) {
        let Some(process) = &mut self.process else {
            return;
        };
        if now_ms >= process.ends_ms {
            let leaves = self.random.random_bool(0.6);
            let started_ms = self.random.random_bool(0.5).then_some(process.started_ms);
            let call = Late::Leave(process.id.clone(), started_ms);
            let delay_ms =
                if self.random.random_bool(0.5) { 0 } else { self.random.random_range(0..5_000) };
            if leaves {
                self.late.push((now_ms + delay_ms, call));
            }
            // Its address is used again after two seconds, by which the agent has looked whether it runs.
            self.next_start_ms = now_ms + self.random.random_range(2_000..3_500);
            self.late.push((now_ms + 1_500, Late::Leave(String::new(), None)));
            self.process = None;
            return;
        }
        if now_ms < process.next_report_ms {
            return;
        }
        process.sequence += 1;
        let jitter_ms = self.random.random_range(0..100);
        process.next_report_ms = now_ms + HEARTBEAT_MS - 50 + jitter_ms;
        let is_leaving = now_ms >= process.drains_from_ms;
        let report = TargetReport {
            service: process.service.to_owned(),
            is_leaving,
            ..report_of(&process.id, process.started_ms, process.sequence)
        };
        if self.random.random_bool(0.15) {
            self.late
                .push((now_ms + self.random.random_range(0..5_000), Late::Report(report.clone())));
        }
        process.first_report_ms.get_or_insert(now_ms);
        let outcome = self.gate.apply_report(report, now_ms);
        let is_confirmed = !matches!(
            outcome,
            ReportOutcome::Ignored(IgnoredReason::PastInstance | IgnoredReason::HasEnded)
        );
        if is_leaving && is_confirmed {
            process.confirmed_ms.get_or_insert(now_ms);
        }
    }

    fn deliver_late(&mut self, now_ms: u64) {
        let (due, rest) =
            std::mem::take(&mut self.late).into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.late = rest;
        let due: Vec<(u64, Late)> = due;
        for (_, call) in due {
            self.disturbed_until_ms = now_ms + TARGET_TIMEOUT_MS;
            match call {
                Late::Report(report) => {
                    self.gate.apply_report(report, now_ms);
                }
                Late::Leave(id, _) if id.is_empty() && self.process.is_none() => {
                    self.gate.note_connection_refused();
                }
                Late::Leave(id, started_ms) => {
                    self.gate.note_leave(&id, started_ms);
                }
            }
        }
    }

    fn check(&mut self, now_ms: u64) {
        let Some(process) = self.process.clone() else {
            return;
        };
        let admits = ["vypocet", "zpravy"].map(|service| admit(&mut self.gate, service, now_ms));
        let wrong = if process.service == "vypocet" { admits[1] } else { admits[0] };
        let right = if process.service == "vypocet" { admits[0] } else { admits[1] };
        let seed = self.seed;
        assert!(wrong.is_err(), "seed {seed}, {now_ms} ms: opening of another service");
        if process.confirmed_ms.is_some() {
            assert!(right.is_err(), "seed {seed}, {now_ms} ms: opening at a target that drains");
        }
        let since_first_ms = process.first_report_ms.map_or(0, |first_ms| now_ms - first_ms);
        let is_quiet = now_ms > self.disturbed_until_ms + 3 * HEARTBEAT_MS;
        if since_first_ms > 4 * HEARTBEAT_MS && is_quiet {
            assert!(!self.gate.has_ended(), "seed {seed}, {now_ms} ms: a running target has ended");
            if now_ms < process.drains_from_ms {
                assert_eq!(
                    right,
                    Ok(()),
                    "seed {seed}, {now_ms} ms: a running target gets nothing"
                );
            }
        }
    }
}
