//! Model of chain and admission: several balancers with different old views, a target that turns
//! cold without warning, one that leaves, an address used again by another service, a zone that goes
//! out in the middle.
//!
//! The project's own `AgentState` and `Tag::check_arrival` decide. A balancer's view is any chain:
//! whatever it believes must do no harm.

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

/// Two flows when warm, one when cold.
const CAPACITY: Capacity = Capacity { slots: 2, connections: 2, first_limit: 1, growth_answers: 1 };

const OWN_SERVICE: u16 = 1;
const OTHER_SERVICE: u16 = 2;

const BOUNDS: TicketBounds = TicketBounds { max_entries: 1, max_bytes: 1 };

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    agents: [String; AGENTS],
    services: [u16; AGENTS],
    /// Flows that an agent ends: flow, agent.
    open: BTreeSet<(usize, usize)>,
    /// Openings on their way: flow, agent, whether another candidate follows.
    openings: BTreeSet<(usize, usize, bool)>,
    opened: usize,
    changes_left: u8,
    violated: Option<&'static str>,
}

/// Guards that can be taken out.
#[derive(Clone, Copy)]
struct Chain {
    /// Flows that callers open.
    flows: usize,
    /// Changes at the agents.
    changes: u8,
    counts_flows: bool,
    checks_service: bool,
    remembers: bool,
}

const MANY_FLOWS: Chain =
    Chain { flows: 3, changes: 1, counts_flows: true, checks_service: true, remembers: true };

const MANY_CHANGES: Chain = Chain { flows: 2, changes: 2, ..MANY_FLOWS };

fn address(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, agent as u8 + 1), 7000)
}

fn key(flow: usize) -> OpeningKey {
    let caller = SocketAddr::from((Ipv4Addr::new(10, 1, 0, 1), flow as u16 + 1));
    OpeningKey { caller, connection_id: vec![flow as u8; 8] }
}

fn fresh_agent() -> AgentState {
    let mut agent = AgentState::new(1, BOUNDS);
    announce(&mut agent, "first", true);
    agent
}

fn announce(agent: &mut AgentState, process: &str, warm: bool) {
    let process = process.to_owned();
    agent.apply(0, &Input::Announced { capacity: CAPACITY, process, warm });
}

fn pack(agent: &AgentState) -> String {
    serde_json::to_string(agent).expect("an agent's state serialises")
}

fn unpack(text: &str) -> AgentState {
    serde_json::from_str(text).expect("it was serialised before")
}

impl Chain {
    fn opening_arrives(&self, state: &State, flow: usize, agent: usize, may_pass: bool) -> State {
        let mut next = state.clone();
        if state.services[agent] != OWN_SERVICE && self.checks_service {
            return next;
        }
        let mut decider = unpack(&state.agents[agent]);
        let (before, limit) = (decider.admission().flows(), decider.admission().flow_limit());
        let chain_length = if may_pass { 2 } else { 1 };
        let input = Input::Opening { key: key(flow), position: 0, chain_length };
        let Decision::Opening(decision) = decider.apply(0, &input) else {
            panic!("an opening leads to a decision on it");
        };
        let takes_all = !self.counts_flows && decision != OpeningDecision::PassOn;
        match decision {
            OpeningDecision::Accept => {
                let is_new = decider.admission().flows() > before;
                if is_new && before >= limit {
                    next.violated = Some("a target took more than its limit");
                }
                next.open.insert((flow, agent));
            }
            OpeningDecision::PassOn => {
                next.openings.insert((flow, 1 - agent, false));
            }
            OpeningDecision::Refuse(_) if takes_all => {
                next.violated = Some("a target took more than its limit");
            }
            OpeningDecision::Refuse(_) => {}
        }
        if state.services[agent] != OWN_SERVICE && decision == OpeningDecision::Accept {
            next.violated = Some("a packet reached another service");
        }
        if !self.remembers {
            // The agent forgets its decision, as one without memory would.
            decider = forget(decider);
        }
        next.agents[agent] = pack(&decider);
        next
    }

    /// A packet of an established flow, by any balancer.
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
            next.violated = Some("a packet reached another service");
            return Some(next);
        }
        None
    }

    fn changes(&self, state: &State, agent: usize) -> Vec<State> {
        let with = |change: &dyn Fn(&mut AgentState)| {
            let mut next = state.clone();
            let mut decider = unpack(&state.agents[agent]);
            change(&mut decider);
            next.agents[agent] = pack(&decider);
            next.changes_left -= 1;
            next
        };
        let mut reused = with(&|decider| {
            *decider = AgentState::new(2, BOUNDS);
            announce(decider, "reused", true);
        });
        reused.services[agent] = OTHER_SERVICE;
        reused.open.retain(|(_, other)| *other != agent);
        vec![
            with(&|decider| announce(decider, "second", false)),
            with(&|decider| {
                decider.apply(0, &Input::Leaving);
            }),
            with(&|decider| {
                decider.apply(0, &Input::ZoneOut { out: true });
            }),
            reused,
        ]
    }
}

/// Gives the place of a decision back as its expiry does and drops the memory.
fn forget(agent: AgentState) -> AgentState {
    let mut value = serde_json::to_value(&agent).expect("it serialises");
    value["openings"]["remembered"] = serde_json::json!([]);
    serde_json::from_value(value).expect("it was serialised before")
}

impl Model for Chain {
    type State = State;

    fn start(&self) -> State {
        State {
            agents: [pack(&fresh_agent()), pack(&fresh_agent())],
            services: [OWN_SERVICE; AGENTS],
            open: BTreeSet::new(),
            openings: BTreeSet::new(),
            opened: 0,
            changes_left: self.changes,
            violated: None,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        if state.violated.is_some() {
            return Vec::new();
        }
        let mut out = Vec::new();
        if state.opened < self.flows {
            // Any balancer, with any view: either agent first, with or without the other after it.
            for agent in 0..AGENTS {
                for may_pass in [false, true] {
                    let mut next = state.clone();
                    next.openings.insert((state.opened, agent, may_pass));
                    next.opened += 1;
                    out.push(next);
                }
            }
        }
        for (flow, agent, may_pass) in &state.openings {
            // Every copy stays on its way, so that it may arrive again.
            let next = self.opening_arrives(state, *flow, *agent, *may_pass);
            if next != *state {
                out.push(next);
            }
        }
        for (flow, agent) in &state.open {
            out.extend(self.established_arrives(state, *flow, *agent));
        }
        // Packets of flows that ended with their agent may still be on their way.
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
        if let Some(violated) = state.violated {
            return Some(violated.to_owned());
        }
        for agent in 0..AGENTS {
            let decider = unpack(&state.agents[agent]);
            let counted = decider.admission().flows() as usize;
            let held = state.open.iter().filter(|(_, other)| *other == agent).count();
            if state.services[agent] == OWN_SERVICE && counted != held {
                return Some(format!("agent {agent} counts {counted} flows and holds {held}"));
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
        let model = Chain { counts_flows: false, ..MANY_FLOWS };
        explore::expect_violation("chain without count", &model);
    };
    without_check_a_packet_reaches_another_service: {
        let model = Chain { checks_service: false, ..MANY_FLOWS };
        explore::expect_violation("chain without check of the service", &model);
    };
    without_memory_a_flow_is_counted_twice: {
        let model = Chain { remembers: false, ..MANY_FLOWS };
        explore::expect_violation("chain without memory", &model);
    };
}
