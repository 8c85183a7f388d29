//! Targets that answer badly: the state machine, and what callers get while a fifth of the targets fails.
//! The project's own `BalancerState` and `AgentState` decide; the rest is a clock and targets that answer.

#[macro_use]
mod support;

use std::collections::BTreeMap;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_gate::TargetReport;
use rhubarbthread::connection::target_health::TargetHealth;
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
use crate::support::passthrough::segment_of;
use crate::support::passthrough::status_of;

const ROUTE: u16 = 443;
const AGENTS: u8 = 5;
const SLOTS: u32 = 9;

/// Work of a request at a target that is well, in milliseconds.
const WORK_MS: u64 = 55;

/// Latency objective, in milliseconds.
const OBJECTIVE_MS: u64 = 250;

/// Time between two requests, in milliseconds: 200 a second at targets that bear 818.
const REQUEST_EACH_MS: u64 = 5;

/// When the targets begin to fail, and the end, in milliseconds.
const FAILS_MS: u64 = 5_000;
const END_MS: u64 = 15_000;

/// Time in which bad answers are noticed, in milliseconds.
const NOTICED_MS: u64 = 1_000;

/// How a target answers.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Well,
    BreaksOff { percent: u32 },
    Slow { times: u64 },
}

#[derive(Default)]
struct Outcomes {
    asked: u64,
    bad: u64,
}

impl Outcomes {
    fn bad_share(&self) -> f64 {
        self.bad as f64 / self.asked as f64
    }
}

struct World {
    balancer: BalancerState,
    agents: IndexMap<u8, AgentState>,
    /// Ends of requests: agent, caller's port, start, whether it is broken off.
    ends: BTreeMap<u64, Vec<(u8, u16, u64, bool)>>,
    after: Outcomes,
}

fn ready_agent(last: u8) -> AgentState {
    let mut agent = AgentState::new(1_800, 0);
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
    agent.introduction.note_registered_balancers(IndexSet::new(), 0);
    agent
}

impl World {
    fn new() -> World {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        balancer.knows_all_agents = true;
        balancer.routing.apply_configuration(configuration_of(1, "vypocet", &[(ROUTE, true)]), 10);
        World {
            balancer,
            agents: (1..=AGENTS).map(|last| (last, ready_agent(last))).collect(),
            ends: BTreeMap::new(),
            after: Outcomes::default(),
        }
    }

    fn tell(&mut self, now_ms: u64) {
        for (last, agent) in &mut self.agents {
            let report = TargetReport {
                sequence: now_ms + 2,
                ..agent.gate.current_report().expect("known").clone()
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

    /// Opens a flow; returns the agent whose target takes it.
    fn open(&mut self, port: u16, now_ms: u64) -> Option<u8> {
        let opening = opening_of(ROUTE, port);
        let ForwardingDecision::Send(destinations) = self.balancer.forward(&opening, now_ms) else {
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

    fn ask(&mut self, port: u16, behaviours: &[Behaviour], random: &mut StdRng, now_ms: u64) {
        let Some(last) = self.open(port, now_ms) else {
            self.note(now_ms, true);
            return;
        };
        let state = &mut self.agents[&last];
        let accepts = Segment { accepts: true, sequence: 7, ..segment_of(ROUTE, port) };
        state.handle_target_segment(&accepts, now_ms);
        let request = Segment { payload_bytes: 50, acknowledged: 8, ..segment_of(ROUTE, port) };
        state.handle_node_segment(&request, SegmentHeader::default(), now_ms);
        let (work_ms, is_broken_off) = match behaviours[usize::from(last) - 1] {
            _ if now_ms < FAILS_MS => (WORK_MS, false),
            Behaviour::Well => (WORK_MS, false),
            Behaviour::BreaksOff { percent } => (WORK_MS, random.random_ratio(percent, 100)),
            Behaviour::Slow { times } => (WORK_MS * times, false),
        };
        self.ends.entry(now_ms + work_ms).or_default().push((last, port, now_ms, is_broken_off));
    }

    fn note(&mut self, since_ms: u64, is_bad: bool) {
        if since_ms >= FAILS_MS + NOTICED_MS {
            self.after.asked += 1;
            self.after.bad += u64::from(is_bad);
        }
    }

    /// Plays requests that open a flow each, and returns what became of those after the start of trouble.
    fn play(behaviours: &[Behaviour], seed: u64) -> Outcomes {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new();
        for now_ms in 0..END_MS {
            if now_ms % 300 == 0 {
                world.tell(now_ms);
            }
            for (last, port, since_ms, is_broken_off) in
                world.ends.remove(&now_ms).unwrap_or_default()
            {
                let segment = segment_of(ROUTE, port);
                let segment = match is_broken_off {
                    true => Segment { resets: true, ..segment },
                    false => Segment { payload_bytes: 900, ends: true, ..segment },
                };
                world.agents[&last].handle_target_segment(&segment, now_ms);
                world.note(since_ms, is_broken_off || now_ms - since_ms > OBJECTIVE_MS);
            }
            if now_ms % REQUEST_EACH_MS == 0 {
                let port = u16::try_from(now_ms / REQUEST_EACH_MS + 1).expect("they are few");
                world.ask(port, behaviours, &mut random, now_ms);
            }
        }
        world.after
    }
}

/// Plays one failing target of five, and checks the share of requests that go badly.
fn one_of_five(behaviour: Behaviour, most: f64) {
    for seed in 1..=3 {
        let mut behaviours = [Behaviour::Well; AGENTS as usize];
        behaviours[1] = behaviour;
        let bad = World::play(&behaviours, seed).bad_share();
        assert!(bad <= most, "seed {seed}: {bad} of the requests went badly");
    }
}

fn usual(health: &mut TargetHealth) {
    (0..64).for_each(|step| health.note_answer(60, step * 10));
}

/// Opens a flow at an agent, whose target accepts it and gets a request.
fn ask_at(state: &mut AgentState, port: u16, now_ms: u64) {
    state.handle_node_segment(&opening_of(ROUTE, port), first_header(), now_ms);
    let accepts = Segment { accepts: true, sequence: 7, ..segment_of(ROUTE, port) };
    state.handle_target_segment(&accepts, now_ms + 1);
    let request = Segment { payload_bytes: 50, acknowledged: 8, ..segment_of(ROUTE, port) };
    state.handle_node_segment(&request, SegmentHeader::default(), now_ms + 2);
}

cases! {
    a_target_that_answers_is_well: {
        let mut health = TargetHealth::new();
        usual(&mut health);
        assert!(!health.is_failing());
    };
    a_target_that_breaks_off_a_part_of_its_requests_fails_until_it_no_longer_does: {
        let mut health = TargetHealth::new();
        usual(&mut health);
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
        usual(&mut health);
        (0..6).for_each(|step| health.note_aborted(640 + step));
        assert!(!health.is_failing());
    };
    a_target_that_takes_much_longer_than_it_used_to_is_slow: {
        let mut health = TargetHealth::new();
        usual(&mut health);
        (0..8).for_each(|step| health.note_answer(480, 6_000 + step * 100));
        assert!(health.is_failing());
        (0..60).for_each(|step| health.note_answer(480, 7_000 + step * 1_000));
        assert!(health.is_failing());
        (0..4).for_each(|step| health.note_answer(70, 70_000 + step * 1_000));
        assert!(!health.is_failing());
    };
    a_cold_target_with_a_full_queue_is_not_slow: {
        let mut health = TargetHealth::new();
        usual(&mut health);
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
        assert!(!health.is_failing(), "nothing is usual yet");
        let mut patient = TargetHealth::new();
        (0..64).for_each(|step| patient.note_answer(900, step * 1_000));
        (0..4).for_each(|_| patient.note_unanswered(2_000, 80_000));
        assert!(!patient.is_failing(), "its answers take as long");
    };
    requests_that_their_callers_have_cancelled_speak_against_nobody: {
        let mut state = ready_agent(1);
        usual(&mut state.health);
        for port in 1..=4 {
            ask_at(&mut state, port, 1_001);
            let cancel = Segment { resets: true, ..segment_of(ROUTE, port) };
            state.handle_node_segment(&cancel, SegmentHeader::default(), 1_004);
        }
        state.expire(7_000);
        assert!(!state.health.is_failing());
    };
    requests_that_an_agent_sees_without_an_answer_make_its_target_fail: {
        let mut state = ready_agent(1);
        usual(&mut state.health);
        (1..=4).for_each(|port| ask_at(&mut state, port, 1_001));
        state.expire(7_000);
        assert!(state.health.is_failing());
    };
    a_failing_target_passes_openings_on_and_takes_them_where_nobody_else_is_left: {
        let mut state = ready_agent(1);
        (0..4).for_each(|_| state.health.note_aborted(1));
        let taken = |state: &mut AgentState, port, header| {
            matches!(state.handle_node_segment(&opening_of(ROUTE, port), header, 2), Action::ForwardToTarget { .. })
        };
        let others = SegmentHeader { chain: vec![agent(2)], ..first_header() };
        assert!(taken(&mut state, 1, others.clone()), "a trial");
        assert!(!taken(&mut state, 2, others));
        assert!(taken(&mut state, 3, first_header()));
    };
    // A fifth of the targets breaks off 60% of its requests: 12% of all where nobody looks.
    targets_that_break_off_requests_cost_few: {
        one_of_five(Behaviour::BreaksOff { percent: 60 }, 0.03);
    };
    // A fifth at an eighth of its speed: 20% of all would be late.
    targets_that_turn_slow_cost_few: one_of_five(Behaviour::Slow { times: 8 }, 0.05);
    // Where all fail alike, as many are served as nobody's looking would serve.
    targets_that_all_break_off_requests_are_all_used: {
        let behaviours = [Behaviour::BreaksOff { percent: 30 }; AGENTS as usize];
        let bad = World::play(&behaviours, 1).bad_share();
        assert!(bad <= 0.33, "{bad} of the requests went badly");
    };
}

fn first_header() -> SegmentHeader {
    SegmentHeader {
        service: "vypocet".to_owned(),
        report_to: Some(address(100, 7720)),
        search_id: 1,
        ..SegmentHeader::default()
    }
}
