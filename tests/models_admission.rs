//! Model check of flow admission along a chain of candidate targets.
//!
//! Several balancers have different outdated views, a target restarts cold without notice, another
//! one leaves, its address is reused by another service, and a zone is taken out in between. The
//! model calls the production code, `AgentState` and `Tag::check_arrival`. A balancer may send any
//! chain, since no view of a balancer, however wrong, may break the limits of a target or deliver a
//! packet to another service.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use rhubarbthread::connection::openings::OpeningDecision;
use rhubarbthread::connection::openings::OpeningKey;
use rhubarbthread::connection::tag::Arrival;
use rhubarbthread::connection::tag::Tag;
use rhubarbthread::process::agent_state::AgentState;
use rhubarbthread::process::agent_state::Decision;
use rhubarbthread::process::agent_state::Input;
use rhubarbthread::request::admission::Capacity;
use rhubarbthread::request::ticket_book::TicketBounds;
use support::explore;
use support::explore::Model;

const AGENTS: usize = 2;

/// Admits two flows when warm and one when cold.
const CAPACITY: Capacity = Capacity { slots: 2, connections: 2, first_limit: 1, growth_answers: 1 };

const OWN_SERVICE: u16 = 1;
const OTHER_SERVICE: u16 = 2;

const BOUNDS: TicketBounds = TicketBounds { max_entries: 1, max_bytes: 1 };

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    agents: [String; AGENTS],
    services: [u16; AGENTS],
    /// Open flows that end at an agent: flow, agent.
    open: BTreeSet<(usize, usize)>,
    /// Openings in flight: flow, agent, whether another candidate follows in the chain.
    openings: BTreeSet<(usize, usize, bool)>,
    flows_opened: usize,
    changes_left: u8,
    violation: Option<&'static str>,
}

/// The model with its safeguards. Each can be turned off to show that it is needed.
#[derive(Clone, Copy)]
struct AdmissionModel {
    /// Number of flows that callers open.
    flows: usize,
    /// Number of changes (restart, leave, zone out, reuse) at the agents.
    changes: u8,
    counts_flows: bool,
    checks_service: bool,
    remembers_decisions: bool,
}

const MANY_FLOWS: AdmissionModel = AdmissionModel {
    flows: 3,
    changes: 1,
    counts_flows: true,
    checks_service: true,
    remembers_decisions: true,
};

const MANY_CHANGES: AdmissionModel = AdmissionModel { flows: 2, changes: 2, ..MANY_FLOWS };

fn address(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, agent as u8 + 1), 7000)
}

fn key(flow: usize) -> OpeningKey {
    let caller = SocketAddr::from((Ipv4Addr::new(10, 1, 0, 1), flow as u16 + 1));
    OpeningKey { caller, connection_id: vec![flow as u8; 8] }
}

fn new_agent() -> AgentState {
    let mut agent = AgentState::new(1, BOUNDS);
    announce(&mut agent, "first", true);
    agent
}

fn announce(agent: &mut AgentState, process: &str, warm: bool) {
    let process = process.to_owned();
    agent.apply(0, &Input::Announced { capacity: CAPACITY, process, warm });
}

fn serialize(agent: &AgentState) -> String {
    serde_json::to_string(agent).expect("an agent's state can be serialized")
}

fn deserialize(text: &str) -> AgentState {
    serde_json::from_str(text).expect("the state was serialized by this test")
}

impl AdmissionModel {
    fn opening_arrives(
        &self,
        state: &State,
        flow: usize,
        agent: usize,
        has_next_candidate: bool,
    ) -> State {
        let mut next = state.clone();
        if state.services[agent] != OWN_SERVICE && self.checks_service {
            return next;
        }
        let mut agent_state = deserialize(&state.agents[agent]);
        let (before, limit) =
            (agent_state.admission().flows(), agent_state.admission().flow_limit());
        let chain_length = if has_next_candidate { 2 } else { 1 };
        let input = Input::Opening { key: key(flow), position: 0, chain_length };
        let Decision::Opening(decision) = agent_state.apply(0, &input) else {
            panic!("the decision on Input::Opening must be Decision::Opening");
        };
        let ignores_refusal = !self.counts_flows && decision != OpeningDecision::PassOn;
        match decision {
            OpeningDecision::Accept => {
                let is_new = agent_state.admission().flows() > before;
                if is_new && before >= limit {
                    next.violation = Some("a target admitted more flows than its limit");
                }
                next.open.insert((flow, agent));
            }
            OpeningDecision::PassOn => {
                next.openings.insert((flow, 1 - agent, false));
            }
            OpeningDecision::Refuse(_) if ignores_refusal => {
                next.violation = Some("a target admitted more flows than its limit");
            }
            OpeningDecision::Refuse(_) => {}
        }
        if state.services[agent] != OWN_SERVICE && decision == OpeningDecision::Accept {
            next.violation = Some("a packet reached another service");
        }
        if !self.remembers_decisions {
            // Without the memory of its decision, the agent counts a retransmitted opening again.
            agent_state = clear_decisions(agent_state);
        }
        next.agents[agent] = serialize(&agent_state);
        next
    }

    /// A packet of an established flow arrives, through any balancer.
    fn established_arrives(&self, state: &State, flow: usize, agent: usize) -> Option<State> {
        let tag = Tag {
            agent: address(agent),
            incarnation: 1,
            service: OWN_SERVICE,
            zone: 0,
            nonce: flow as u32,
        };
        let arrival = tag.check_arrival(address(agent), state.services[agent]);
        let reaches = arrival == Arrival::Own || !self.checks_service;
        if reaches && state.services[agent] != OWN_SERVICE {
            let mut next = state.clone();
            next.violation = Some("a packet reached another service");
            return Some(next);
        }
        None
    }

    fn changes(&self, state: &State, agent: usize) -> Vec<State> {
        let with = |change: &dyn Fn(&mut AgentState)| {
            let mut next = state.clone();
            let mut agent_state = deserialize(&state.agents[agent]);
            change(&mut agent_state);
            next.agents[agent] = serialize(&agent_state);
            next.changes_left -= 1;
            next
        };
        let mut reused = with(&|agent_state| {
            *agent_state = AgentState::new(2, BOUNDS);
            announce(agent_state, "reused", true);
        });
        reused.services[agent] = OTHER_SERVICE;
        reused.open.retain(|(_, other)| *other != agent);
        vec![
            with(&|agent_state| announce(agent_state, "second", false)),
            with(&|agent_state| {
                agent_state.apply(0, &Input::Leaving);
            }),
            with(&|agent_state| {
                agent_state.apply(0, &Input::ZoneOut { out: true });
            }),
            reused,
        ]
    }
}

/// Removes the remembered decisions; the flows stay counted.
fn clear_decisions(agent: AgentState) -> AgentState {
    let mut value = serde_json::to_value(&agent).expect("an agent's state can be serialized");
    value["openings"]["remembered"] = serde_json::json!([]);
    serde_json::from_value(value).expect("the state was serialized by this test")
}

impl Model for AdmissionModel {
    type State = State;

    fn start(&self) -> State {
        State {
            agents: [serialize(&new_agent()), serialize(&new_agent())],
            services: [OWN_SERVICE; AGENTS],
            open: BTreeSet::new(),
            openings: BTreeSet::new(),
            flows_opened: 0,
            changes_left: self.changes,
            violation: None,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        if state.violation.is_some() {
            return Vec::new();
        }
        let mut out = Vec::new();
        if state.flows_opened < self.flows {
            // Any view of a balancer: either agent first, with or without the other one after it.
            for agent in 0..AGENTS {
                for has_next_candidate in [false, true] {
                    let mut next = state.clone();
                    next.openings.insert((state.flows_opened, agent, has_next_candidate));
                    next.flows_opened += 1;
                    out.push(next);
                }
            }
        }
        for (flow, agent, has_next_candidate) in &state.openings {
            // The opening stays in flight, so that it may arrive again.
            let next = self.opening_arrives(state, *flow, *agent, *has_next_candidate);
            if next != *state {
                out.push(next);
            }
        }
        for (flow, agent) in &state.open {
            out.extend(self.established_arrives(state, *flow, *agent));
        }
        // Packets of flows that ended with their agent may still be in flight.
        for agent in 0..AGENTS {
            out.extend(self.established_arrives(state, 0, agent));
        }
        if state.changes_left > 0 {
            for agent in 0..AGENTS {
                out.extend(self.changes(state, agent));
            }
        }
        out
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(violation) = state.violation {
            return Some(violation.to_owned());
        }
        for agent in 0..AGENTS {
            let agent_state = deserialize(&state.agents[agent]);
            let counted = agent_state.admission().flows() as usize;
            let held = state.open.iter().filter(|(_, other)| *other == agent).count();
            if state.services[agent] == OWN_SERVICE && counted != held {
                return Some(format!("agent {agent} counts {counted} flows, but {held} are open"));
            }
        }
        None
    }
}

cases! {
    holds_with_many_flows: { explore::check("chain and admission, many flows", &MANY_FLOWS); };
    holds_with_many_changes: {
        explore::check("chain and admission, many changes", &MANY_CHANGES);
    };
    without_count_a_target_takes_too_much: {
        let model = AdmissionModel { counts_flows: false, ..MANY_FLOWS };
        explore::expect_violation("chain without count", &model);
    };
    without_check_a_packet_reaches_another_service: {
        let model = AdmissionModel { checks_service: false, ..MANY_FLOWS };
        explore::expect_violation("chain without check of the service", &model);
    };
    without_memory_a_flow_is_counted_twice: {
        let model = AdmissionModel { remembers_decisions: false, ..MANY_FLOWS };
        explore::expect_violation("chain without memory", &model);
    };
}
