//! Health of targets: tests of the state machine, and simulations of the requests that callers lose while
//! targets fail. The simulations run the real `BalancerState` and `AgentState` with a simulated clock and
//! simulated targets.

#[macro_use]
mod support;

use std::collections::BTreeMap;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_health::TargetHealth;
use rhubarbthread::connection::target_report::TargetReport;
use rhubarbthread::connection::tracked_flows::AnswerEvent;
use rhubarbthread::connection::tracked_flows::TrackedFlows;
use rhubarbthread::process::passthrough::agent_state::Action;
use rhubarbthread::process::passthrough::agent_state::AgentState;
use rhubarbthread::process::passthrough::balancer_state::BalancerState;
use rhubarbthread::process::passthrough::balancer_state::ForwardingDecision;
use rhubarbthread::process::passthrough::segment_header::SegmentHeader;
use rhubarbthread::version::target_status::TargetStatus;

use crate::support::passthrough::address;
use crate::support::passthrough::agent;
use crate::support::passthrough::configuration_of;
use crate::support::passthrough::opening_of;
use crate::support::passthrough::revision;
use crate::support::passthrough::segment_of;
use crate::support::passthrough::status_of;

const ROUTE: u16 = 443;
const AGENTS: u8 = 5;
const SLOTS: u32 = 9;

/// Service time of a request at a healthy target, in milliseconds.
const SERVICE_TIME_MS: u64 = 55;

/// Latency objective, in milliseconds.
const LATENCY_OBJECTIVE_MS: u64 = 250;

/// Interval between requests, in milliseconds: 200 requests per second at targets with a capacity of 818.
const REQUEST_INTERVAL_MS: u64 = 5;

/// Time at which targets start to fail, and end of the simulation, in milliseconds.
const FAILURE_START_MS: u64 = 5_000;
const END_MS: u64 = 15_000;

/// Time allowed for the detection of failing targets, in milliseconds. Requests before its end are not
/// counted.
const DETECTION_MS: u64 = 1_000;

/// Behaviour of a target from `FAILURE_START_MS` on.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Healthy,
    AbortsRequests { percent: u32 },
    Slow { factor: u64 },
}

#[derive(Default)]
struct Outcomes {
    requests: u64,
    bad: u64,
}

impl Outcomes {
    fn bad_share(&self) -> f64 {
        self.bad as f64 / self.requests as f64
    }
}

struct Simulation {
    balancer: BalancerState,
    agents: IndexMap<u8, AgentState>,
    /// Requests by the time at which they end: agent, caller's port, start time, whether it is aborted.
    ending_requests: BTreeMap<u64, Vec<(u8, u16, u64, bool)>>,
    outcomes: Outcomes,
}

fn ready_agent(last: u8) -> AgentState {
    let mut agent = AgentState::new(1, 1_800, 0);
    let report = TargetReport {
        id: format!("i-{last}"),
        started_ms: 1,
        sequence: 1,
        service: "vypocet".to_owned(),
        is_leaving: false,
        cold_remaining_ms: 0,
        slots: SLOTS,
    };
    agent.gate.apply_report(report, 0);
    agent.introduction.note_registered_balancers(IndexSet::new());
    agent
}

impl Simulation {
    fn new() -> Simulation {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        balancer.knows_all_agents = true;
        balancer
            .routing
            .apply_configuration(configuration_of(1, "vypocet", &[(ROUTE, true)]), revision(10));
        Simulation {
            balancer,
            agents: (1..=AGENTS).map(|last| (last, ready_agent(last))).collect(),
            ending_requests: BTreeMap::new(),
            outcomes: Outcomes::default(),
        }
    }

    fn report_all(&mut self, now_ms: u64) {
        for (last, agent) in &mut self.agents {
            let report = TargetReport {
                sequence: now_ms + 2,
                ..agent.gate.current_report().expect("the target has reported").clone()
            };
            agent.gate.apply_report(report, now_ms);
            agent.expire(now_ms);
            let status = TargetStatus {
                sequence: now_ms + 1,
                slots: SLOTS,
                flows: agent.flows.open_count(),
                busy: agent.flows.busy_count(),
                ..status_of(*last, "a", "vypocet")
            };
            self.balancer.targets.apply_status(status, 0, now_ms);
        }
    }

    /// Opens a flow and returns the last octet of the agent whose target accepts it.
    fn open(&mut self, port: u16, now_ms: u64) -> Option<u8> {
        let opening = opening_of(ROUTE, port);
        let ForwardingDecision::Send(destinations) = self.balancer.decide(&opening, now_ms) else {
            return None;
        };
        let (mut next, mut header) = destinations.into_iter().next()?;
        loop {
            let last = next.ip().octets()[3];
            match self.agents[&last].handle_node_segment(&opening, header, now_ms) {
                Action::ForwardToTarget { .. } => return Some(last),
                Action::ForwardToAgent(other, rest, _) => (next, header) = (other, rest),
                _ => return None,
            }
        }
    }

    fn send_request(
        &mut self,
        port: u16,
        behaviours: &[Behaviour],
        random: &mut StdRng,
        now_ms: u64,
    ) {
        let Some(last) = self.open(port, now_ms) else {
            self.record(now_ms, true);
            return;
        };
        let state = &mut self.agents[&last];
        let acceptance = Segment { accepts: true, sequence: 7, ..segment_of(ROUTE, port) };
        state.handle_target_segment(&acceptance, now_ms);
        let request = Segment { payload_bytes: 50, acknowledged: 8, ..segment_of(ROUTE, port) };
        state.handle_node_segment(&request, SegmentHeader::default(), now_ms);
        let (service_time_ms, is_aborted) = match behaviours[usize::from(last) - 1] {
            _ if now_ms < FAILURE_START_MS => (SERVICE_TIME_MS, false),
            Behaviour::Healthy => (SERVICE_TIME_MS, false),
            Behaviour::AbortsRequests { percent } => {
                (SERVICE_TIME_MS, random.random_ratio(percent, 100))
            }
            Behaviour::Slow { factor } => (SERVICE_TIME_MS * factor, false),
        };
        self.ending_requests
            .entry(now_ms + service_time_ms)
            .or_default()
            .push((last, port, now_ms, is_aborted));
    }

    fn record(&mut self, started_ms: u64, is_bad: bool) {
        if started_ms >= FAILURE_START_MS + DETECTION_MS {
            self.outcomes.requests += 1;
            self.outcomes.bad += u64::from(is_bad);
        }
    }

    /// Simulates requests that open one flow each, and returns the outcomes of those that started after the
    /// detection time.
    fn simulate(behaviours: &[Behaviour], seed: u64) -> Outcomes {
        let mut random = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation::new();
        for now_ms in 0..END_MS {
            if now_ms % 300 == 0 {
                simulation.report_all(now_ms);
            }
            for (last, port, started_ms, is_aborted) in
                simulation.ending_requests.remove(&now_ms).unwrap_or_default()
            {
                let segment = segment_of(ROUTE, port);
                let segment = match is_aborted {
                    true => Segment { resets: true, ..segment },
                    false => Segment { payload_bytes: 900, ends: true, ..segment },
                };
                simulation.agents[&last].handle_target_segment(&segment, now_ms);
                simulation
                    .record(started_ms, is_aborted || now_ms - started_ms > LATENCY_OBJECTIVE_MS);
            }
            if now_ms % REQUEST_INTERVAL_MS == 0 {
                let port = u16::try_from(now_ms / REQUEST_INTERVAL_MS + 1)
                    .expect("the number of requests fits into a port");
                simulation.send_request(port, behaviours, &mut random, now_ms);
            }
        }
        simulation.outcomes
    }
}

/// Simulates one failing target out of five, and checks the share of aborted, refused or late requests.
fn check_one_failing_of_five(behaviour: Behaviour, max_bad_share: f64) {
    for seed in 1..=3 {
        let mut behaviours = [Behaviour::Healthy; AGENTS as usize];
        behaviours[1] = behaviour;
        let bad = Simulation::simulate(&behaviours, seed).bad_share();
        assert!(
            bad <= max_bad_share,
            "seed {seed}: a share of {bad} of the requests was aborted, refused or late"
        );
    }
}

fn set_baseline(health: &mut TargetHealth) {
    (0..64).for_each(|step| health.note_answer(60, step * 10));
}

/// Opens a flow at an agent, whose target accepts it, and sends a request on it.
fn send_request_at(state: &mut AgentState, port: u16, now_ms: u64) {
    state.handle_node_segment(&opening_of(ROUTE, port), opening_header(), now_ms);
    let acceptance = Segment { accepts: true, sequence: 7, ..segment_of(ROUTE, port) };
    state.handle_target_segment(&acceptance, now_ms + 1);
    let request = Segment { payload_bytes: 50, acknowledged: 8, ..segment_of(ROUTE, port) };
    state.handle_node_segment(&request, SegmentHeader::default(), now_ms + 2);
}

cases! {
    a_target_that_answers_is_well: {
        let mut health = TargetHealth::new();
        set_baseline(&mut health);
        assert!(!health.is_failing());
    };
    a_target_that_breaks_off_a_part_of_its_requests_fails_until_it_no_longer_does: {
        let mut health = TargetHealth::new();
        set_baseline(&mut health);
        (0..3).for_each(|step| health.note_aborted(6_000 + step));
        assert!(!health.is_failing());
        health.note_aborted(6_003);
        assert!(health.is_failing());
        (0..3).for_each(|step| health.note_answer(60, 7_000 + step * 1_000));
        health.note_aborted(10_000);
        (0..3).for_each(|step| health.note_answer(60, 11_000 + step * 1_000));
        assert!(health.is_failing());
        health.note_answer(60, 14_000);
        assert!(!health.is_failing());
    };
    a_few_requests_broken_off_among_many_make_no_target_fail: {
        let mut health = TargetHealth::new();
        set_baseline(&mut health);
        (0..6).for_each(|step| health.note_aborted(640 + step));
        assert!(!health.is_failing());
    };
    a_target_that_takes_much_longer_than_it_used_to_is_slow: {
        let mut health = TargetHealth::new();
        set_baseline(&mut health);
        (0..8).for_each(|step| health.note_answer(480, 6_000 + step * 100));
        assert!(health.is_failing());
        (0..60).for_each(|step| health.note_answer(480, 7_000 + step * 1_000));
        assert!(health.is_failing());
        (0..4).for_each(|step| health.note_answer(70, 70_000 + step * 1_000));
        assert!(!health.is_failing());
    };
    a_cold_target_with_a_full_queue_is_not_slow: {
        let mut health = TargetHealth::new();
        set_baseline(&mut health);
        (0..64).for_each(|step| health.note_answer(60 * 16 / 10 * 2, 6_000 + step * 50));
        assert!(!health.is_failing());
    };
    a_target_that_was_slow_from_its_start_is_compared_with_itself_only: {
        let mut health = TargetHealth::new();
        (0..64).for_each(|step| health.note_answer(480, step * 50));
        assert!(!health.is_failing());
    };
    a_failing_target_gets_one_trial_a_second: {
        let mut health = TargetHealth::new();
        let trials = (0..5_000).filter(|now_ms| health.try_admit_trial(*now_ms)).count();
        assert_eq!(trials, 5);
    };
    a_reset_of_a_flow_that_had_ended_is_no_request_broken_off: {
        let mut flows = TrackedFlows::new();
        let request = Segment { payload_bytes: 50, ..segment_of(ROUTE, 1) };
        let reset = Segment { resets: true, ..segment_of(ROUTE, 1) };
        flows.note_caller_segment(&opening_of(ROUTE, 1), 0);
        flows.note_target_segment(&Segment { ends: true, ..segment_of(ROUTE, 1) }, 1);
        flows.note_caller_segment(&request, 2);
        assert_eq!(flows.note_target_segment(&reset, 3), None);
        flows.note_caller_segment(&opening_of(ROUTE, 2), 4);
        flows.note_caller_segment(&Segment { flow: opening_of(ROUTE, 2).flow, ..request }, 5);
        let reset = Segment { flow: opening_of(ROUTE, 2).flow, ..reset };
        assert_eq!(flows.note_target_segment(&reset, 6), Some(AnswerEvent::Aborted));
    };
    a_request_without_an_answer_counts_where_answers_usually_come_soon: {
        let mut health = TargetHealth::new();
        (0..4).for_each(|_| health.note_unanswered(2_000, 1));
        assert!(!health.is_failing(), "there is no baseline yet");
        let mut slow = TargetHealth::new();
        (0..64).for_each(|step| slow.note_answer(900, step * 1_000));
        (0..4).for_each(|_| slow.note_unanswered(2_000, 80_000));
        assert!(!slow.is_failing(), "below the slow threshold of this baseline");
    };
    requests_that_their_callers_have_cancelled_speak_against_nobody: {
        let mut state = ready_agent(1);
        set_baseline(&mut state.health);
        for port in 1..=4 {
            send_request_at(&mut state, port, 1_001);
            let cancel = Segment { resets: true, ..segment_of(ROUTE, port) };
            state.handle_node_segment(&cancel, SegmentHeader::default(), 1_004);
        }
        state.expire(7_000);
        assert!(!state.health.is_failing());
    };
    requests_that_an_agent_sees_without_an_answer_make_its_target_fail: {
        let mut state = ready_agent(1);
        set_baseline(&mut state.health);
        (1..=4).for_each(|port| send_request_at(&mut state, port, 1_001));
        state.expire(7_000);
        assert!(state.health.is_failing());
    };
    a_failing_target_passes_openings_on_and_takes_them_where_nobody_else_is_left: {
        let mut state = ready_agent(1);
        (0..4).for_each(|_| state.health.note_aborted(1));
        let is_accepted = |state: &mut AgentState, port, header| {
            matches!(
                state.handle_node_segment(&opening_of(ROUTE, port), header, 2),
                Action::ForwardToTarget { .. }
            )
        };
        let others = SegmentHeader { chain: vec![agent(2)], ..opening_header() };
        assert!(is_accepted(&mut state, 1, others.clone()), "the trial opening is accepted");
        assert!(!is_accepted(&mut state, 2, others));
        assert!(is_accepted(&mut state, 3, opening_header()));
    };
    // A fifth of the targets aborts 60% of its requests: 12% of all without health checking.
    targets_that_break_off_requests_cost_few: {
        check_one_failing_of_five(Behaviour::AbortsRequests { percent: 60 }, 0.03);
    };
    // A fifth of the targets runs at an eighth of its speed: 20% of all requests would be late.
    targets_that_turn_slow_cost_few: check_one_failing_of_five(Behaviour::Slow { factor: 8 }, 0.05);
    // When all targets fail alike, health checking must not reduce the number of served requests.
    targets_that_all_break_off_requests_are_all_used: {
        let behaviours = [Behaviour::AbortsRequests { percent: 30 }; AGENTS as usize];
        let bad = Simulation::simulate(&behaviours, 1).bad_share();
        assert!(bad <= 0.33, "a share of {bad} of the requests was aborted, refused or late");
    };
}

fn opening_header() -> SegmentHeader {
    SegmentHeader {
        service: "vypocet".to_owned(),
        report_to: Some(address(100, 7720)),
        search_id: 1,
        ..SegmentHeader::default()
    }
}
