//! Simulation of the reconnection storm after a power failure: one balancer, five agents that start
//! one after the other with cold targets, callers with a backlog of requests, and new requests that
//! arrive meanwhile. Guards against targets that are overloaded by the backlog, and against new
//! requests that wait behind it. `BalancerState` and `AgentState` are the production code; queues
//! and a clock simulate the rest.

#[macro_use]
mod support;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::connection::segment::Segment;
use rhubarbthread::connection::target_report::TargetReport;
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
use crate::support::passthrough::returned;
use crate::support::passthrough::revision;
use crate::support::passthrough::status_of;

const ROUTE: u16 = 443;
const AGENTS: u8 = 5;
const SLOTS: u32 = 5;

/// Service time of a request at a cold target, in milliseconds: 30 ms, times 1.6.
const SERVICE_TIME_MS: u64 = 48;

/// Latency objective, in milliseconds.
const LATENCY_OBJECTIVE_MS: u64 = 150;

/// One-way delay between any two processes, in milliseconds.
const NETWORK_DELAY_MS: u64 = 1;

/// Offered load: the backlog, and the requests that arrive during the simulation.
#[derive(Clone, Copy)]
struct Load {
    /// Number of requests that accumulated during the failure.
    backlog: u16,
    /// Time between two new requests, in milliseconds.
    new_request_interval_ms: u64,
}

/// 250 requests a second and a backlog of 1.5 s, at targets that serve 520 a second when cold.
const MODERATE: Load = Load { backlog: 375, new_request_interval_ms: 4 };

/// 500 requests a second and a backlog of 1.5 s: more than the targets can serve while they are
/// cold.
const HEAVY: Load = Load { backlog: 750, new_request_interval_ms: 2 };

/// Time at which the last agent starts, in milliseconds.
const ALL_AGENTS_STARTED_MS: u64 = 160;

/// Duration of the simulation, in milliseconds.
const SIMULATION_MS: u64 = 4_000;

/// Times at which a caller sends an opening and its retransmissions, in milliseconds.
const OPENING_SEND_TIMES_MS: [u64; 3] = [0, 200, 600];

/// Time after which a caller gives up on a request, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_400;

/// Events of the simulation. `octet` is the last octet of the address of an agent.
enum Event {
    OpeningFromCaller { segment: Segment },
    OpeningAtAgent { octet: u8, segment: Segment, header: SegmentHeader },
    OpeningReturned { segment: Segment, agent: SocketAddrV4, search_id: u32, saw_full_target: bool },
    RequestAtTarget { octet: u8, segment: Segment },
    RequestDone { octet: u8, segment: Segment },
}

#[derive(Default)]
struct TargetQueue {
    running: u32,
    waiting: VecDeque<Segment>,
}

struct CallerRequest {
    started_ms: u64,
    retries: u32,
    is_accepted: bool,
    answered_ms: Option<u64>,
}

struct Simulation {
    now_ms: u64,
    events: BTreeMap<u64, Vec<Event>>,
    balancer: BalancerState,
    agents: IndexMap<u8, AgentState>,
    queues: IndexMap<u8, TargetQueue>,
    requests: IndexMap<u16, CallerRequest>,
    max_at_target: usize,
}

fn octet_of(agent: SocketAddrV4) -> u8 {
    agent.ip().octets()[3]
}

impl Simulation {
    fn new() -> Simulation {
        let mut balancer = BalancerState::new("a", address(100, 7720));
        balancer.knows_all_agents = true;
        balancer
            .routing
            .apply_configuration(configuration_of(1, "vypocet", &[(ROUTE, true)]), revision(10));
        for octet in 1..=AGENTS {
            balancer.targets.add_agent(agent(octet), address(octet, 7720), "a", 0);
        }
        Simulation {
            now_ms: 0,
            events: BTreeMap::new(),
            balancer,
            agents: IndexMap::new(),
            queues: IndexMap::new(),
            requests: IndexMap::new(),
            max_at_target: 0,
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.entry(self.now_ms + delay_ms).or_default().push(event);
    }

    fn start_agent(&mut self, octet: u8) {
        let mut agent = AgentState::new(1, 1_800, self.now_ms);
        let report = TargetReport {
            id: format!("i-{octet}"),
            started_ms: 1,
            sequence: 1,
            service: "vypocet".to_owned(),
            is_leaving: false,
            cold_remaining_ms: 0,
            slots: SLOTS,
        };
        agent.gate.apply_report(report, self.now_ms);
        agent.introduction.note_registered_balancers(IndexSet::new());
        self.agents.insert(octet, agent);
        self.queues.insert(octet, TargetQueue::default());
        self.send_status(octet);
    }

    /// Sends the status of an agent to the balancer.
    fn send_status(&mut self, octet: u8) {
        let agent = &mut self.agents[&octet];
        let status = TargetStatus {
            sequence: self.now_ms + 1,
            slots: SLOTS,
            flows: agent.flows.open_count(),
            busy: agent.flows.busy_count(),
            ..status_of(octet, "a", "vypocet")
        };
        self.balancer.targets.apply_status(status, 0, self.now_ms);
    }

    /// Opens a flow of a caller for a request that it has had since `started_ms`.
    fn open_flow(&mut self, port: u16, started_ms: u64, retries: u32) {
        self.requests.insert(
            port,
            CallerRequest { started_ms, retries, is_accepted: false, answered_ms: None },
        );
        for (retransmission, delay_ms) in (0..).zip(OPENING_SEND_TIMES_MS) {
            let segment = Segment { retransmission, ..opening_of(ROUTE, port) };
            self.schedule(delay_ms + NETWORK_DELAY_MS, Event::OpeningFromCaller { segment });
        }
    }

    fn apply_decision(&mut self, decision: ForwardingDecision, segment: Segment) {
        match decision {
            ForwardingDecision::Send(destinations)
            | ForwardingDecision::SendAndWait(destinations, _) => {
                for (agent, header) in destinations {
                    let octet = octet_of(agent);
                    self.schedule(
                        NETWORK_DELAY_MS,
                        Event::OpeningAtAgent { octet, segment, header },
                    );
                }
            }
            ForwardingDecision::Wait(_) => {
                self.balancer.waiting_segments.push(segment, &[], self.now_ms);
            }
            ForwardingDecision::Reset(_) => self.retry(segment.flow.caller.port()),
            ForwardingDecision::Drop(_) => {}
        }
    }

    /// Retries the request from another port, up to three attempts in all.
    fn retry(&mut self, port: u16) {
        let CallerRequest { started_ms, retries, .. } = self.requests[&port];
        if retries < 2 {
            self.requests.shift_remove(&port);
            let next = port + 20_000;
            self.open_flow(next, started_ms, retries + 1);
        }
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::OpeningFromCaller { segment } => {
                let port = segment.flow.caller.port();
                if self.requests.get(&port).is_some_and(|request| !request.is_accepted) {
                    let decision = self.balancer.decide(&segment, now_ms);
                    self.apply_decision(decision, segment);
                }
            }
            Event::OpeningAtAgent { octet, segment, header } => {
                match self.agents[&octet].handle_node_segment(&segment, header, now_ms) {
                    Action::ForwardToTarget { .. } => self.accept_flow(octet, segment),
                    Action::ForwardToAgent(next, header, _) => {
                        let octet = octet_of(next);
                        self.schedule(
                            NETWORK_DELAY_MS,
                            Event::OpeningAtAgent { octet, segment, header },
                        );
                    }
                    Action::ReturnToBalancer { search_id, saw_full_target, .. } => {
                        let agent = agent(octet);
                        let event =
                            Event::OpeningReturned { segment, agent, search_id, saw_full_target };
                        self.schedule(NETWORK_DELAY_MS, event);
                    }
                    other => {
                        panic!("an opening must be accepted, forwarded or returned, got {other:?}")
                    }
                }
            }
            Event::OpeningReturned { segment, agent, search_id, saw_full_target } => {
                let decision = self.balancer.handle_returned_segment(
                    &segment,
                    &returned(agent, search_id, saw_full_target),
                    now_ms,
                );
                self.apply_decision(decision, segment);
            }
            Event::RequestAtTarget { octet, segment } => {
                self.agents[&octet].handle_node_segment(&segment, SegmentHeader::default(), now_ms);
                self.queues[&octet].waiting.push_back(segment);
                self.start_waiting(octet);
            }
            Event::RequestDone { octet, segment } => {
                let answer = Segment { payload_bytes: 900, ends: true, ..segment };
                self.agents[&octet].handle_target_segment(&answer, now_ms);
                let request = &mut self.requests[&segment.flow.caller.port()];
                request.answered_ms.get_or_insert(now_ms + NETWORK_DELAY_MS);
                self.queues[&octet].running -= 1;
                self.start_waiting(octet);
            }
        }
    }

    /// The target accepts the flow, and the caller then sends its request.
    fn accept_flow(&mut self, octet: u8, segment: Segment) {
        let accepts = Segment { accepts: true, opens: false, sequence: 7, ..segment };
        self.agents[&octet].handle_target_segment(&accepts, self.now_ms);
        let flow = segment.flow;
        self.balancer.flow_locations.record_holder(
            flow,
            agent(octet),
            false,
            self.now_ms + NETWORK_DELAY_MS,
        );
        let request = self.requests.get_mut(&flow.caller.port());
        if let Some(request) = request.filter(|request| !request.is_accepted) {
            request.is_accepted = true;
            let segment = Segment { opens: false, payload_bytes: 50, acknowledged: 8, ..segment };
            self.schedule(3 * NETWORK_DELAY_MS, Event::RequestAtTarget { octet, segment });
        }
    }

    /// Starts waiting requests at a target as far as it has free slots.
    fn start_waiting(&mut self, octet: u8) {
        let queue = &mut self.queues[&octet];
        self.max_at_target = self.max_at_target.max(queue.waiting.len() + queue.running as usize);
        let mut started = Vec::new();
        while queue.running < SLOTS
            && let Some(segment) = queue.waiting.pop_front()
        {
            queue.running += 1;
            started.push(segment);
        }
        for segment in started {
            self.schedule(SERVICE_TIME_MS, Event::RequestDone { octet, segment });
        }
    }

    fn run(&mut self, load: Load, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let started_ms: Vec<u64> = (1..=u64::from(AGENTS))
            .map(|octet| ALL_AGENTS_STARTED_MS * octet / u64::from(AGENTS))
            .collect();
        for port in 1..=load.backlog {
            // Callers are at a random point of their retransmission schedule at the start.
            self.now_ms = random.random_range(0..400);
            self.open_flow(port, 0, 0);
        }
        for now_ms in 0..SIMULATION_MS {
            self.now_ms = now_ms;
            for octet in 1..=AGENTS {
                if started_ms[usize::from(octet) - 1] == now_ms {
                    self.start_agent(octet);
                }
            }
            if now_ms % load.new_request_interval_ms == 0
                && now_ms < SIMULATION_MS - CALLER_TIMEOUT_MS
            {
                let port = 5_000
                    + u16::try_from(now_ms / load.new_request_interval_ms)
                        .expect("the number of requests fits a port number");
                self.open_flow(port, now_ms, 0);
            }
            if now_ms % 300 == 0 {
                let octets: Vec<u8> = self.agents.keys().copied().collect();
                octets.into_iter().for_each(|octet| self.send_status(octet));
            }
            for event in self.events.remove(&now_ms).unwrap_or_default() {
                self.handle(event);
            }
            if now_ms % 10 == 0 {
                self.balancer.waiting_segments.expire(now_ms);
                for waiting in self.balancer.take_releasable(64, now_ms) {
                    let decision = self.balancer.decide(&waiting.segment, now_ms);
                    self.apply_decision(decision, waiting.segment);
                }
            }
        }
    }

    /// Share of the requests that started between `from_ms` and `until_ms` and were answered within
    /// `longest_ms`.
    fn share_answered_within(&self, from_ms: u64, until_ms: u64, longest_ms: u64) -> f64 {
        let requests: Vec<&CallerRequest> = self
            .requests
            .values()
            .filter(|request| (from_ms..until_ms).contains(&request.started_ms))
            .collect();
        let in_time = requests.iter().filter(|request| {
            request.answered_ms.is_some_and(|at_ms| at_ms - request.started_ms <= longest_ms)
        });
        in_time.count() as f64 / requests.len() as f64
    }
}

fn all_callers_reconnect(seed: u64) {
    let mut simulation = Simulation::new();
    simulation.run(MODERATE, seed);
    // Twice the slots, and two more for retransmissions of accepted openings.
    let max_at_target = simulation.max_at_target;
    assert!(
        max_at_target <= 2 * SLOTS as usize + 2,
        "{max_at_target} requests at one target, expected at most twice the slots and two"
    );
    let new_share = simulation.share_answered_within(
        ALL_AGENTS_STARTED_MS + LATENCY_OBJECTIVE_MS,
        SIMULATION_MS - CALLER_TIMEOUT_MS,
        LATENCY_OBJECTIVE_MS,
    );
    assert!(
        new_share >= 0.8,
        "{new_share} of the new requests answered in time, expected at least 0.8"
    );
    let total_share =
        simulation.share_answered_within(0, SIMULATION_MS - CALLER_TIMEOUT_MS, SIMULATION_MS);
    assert!(total_share >= 0.95, "{total_share} of all requests answered, expected at least 0.95");
}

fn more_callers_reconnect_than_targets_can_serve(seed: u64) {
    let mut simulation = Simulation::new();
    simulation.run(HEAVY, seed);
    let until_ms = SIMULATION_MS - CALLER_TIMEOUT_MS;
    let new_share = simulation.share_answered_within(
        ALL_AGENTS_STARTED_MS + LATENCY_OBJECTIVE_MS,
        until_ms,
        LATENCY_OBJECTIVE_MS,
    );
    let total_share = simulation.share_answered_within(0, until_ms, SIMULATION_MS);
    assert!(
        new_share >= 0.6,
        "{new_share} of the new requests answered in time, expected at least 0.6"
    );
    assert!(total_share >= 0.95, "{total_share} of all requests answered, expected at least 0.95");
}

cases! {
    more_come_back_than_targets_bear_seed_1: more_callers_reconnect_than_targets_can_serve(1);
    more_come_back_than_targets_bear_seed_2: more_callers_reconnect_than_targets_can_serve(2);
    more_come_back_than_targets_bear_seed_3: more_callers_reconnect_than_targets_can_serve(3);
    everybody_comes_back_seed_1: all_callers_reconnect(1);
    everybody_comes_back_seed_2: all_callers_reconnect(2);
    everybody_comes_back_seed_3: all_callers_reconnect(3);
}
