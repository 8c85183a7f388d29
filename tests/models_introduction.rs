//! Model of what balancers know of an agent that starts: two balancers start, crash and start again, tell
//! and answer datagrams are lost, the agent writes its entry and reads who is there, a flow opens.
//!
//! The project's own `Introduction` decides when openings may come. What balancers tell each other is left
//! out: no flow may be reset whatever of it arrives.

mod support;

use std::net::SocketAddrV4;

use indexmap::IndexSet;
use rhubarbthread::version::introduction::Introduction;
use support::explore;
use support::explore::Model;
use support::passthrough::address;

const BALANCERS: usize = 2;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Agent {
    Started,
    Registered,
    /// Has read which balancers are registered.
    Named([bool; BALANCERS]),
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Balancer {
    is_running: bool,
    is_registered: bool,
    has_read_nodes: bool,
    knows_agent: bool,
    /// Its entry, which outlasts a crash.
    is_in_store: bool,
    /// Datagrams on their way from the agent, and back.
    is_told: bool,
    has_answered: bool,
    crashes_left: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    agent: Agent,
    is_agent_in_store: bool,
    balancers: [Balancer; BALANCERS],
    heard: [bool; BALANCERS],
    /// Balancers that are gone, and were waited for long enough.
    given_up: [bool; BALANCERS],
    is_open: bool,
    was_reset: bool,
}

/// Guards that can be taken out.
#[derive(Clone, Copy)]
struct Starts {
    agent_writes_before_it_reads: bool,
    balancer_writes_before_it_reads: bool,
    waits_for_answers: bool,
}

const ALL_GUARDS: Starts = Starts {
    agent_writes_before_it_reads: true,
    balancer_writes_before_it_reads: true,
    waits_for_answers: true,
};

fn control(index: usize) -> SocketAddrV4 {
    address([1, 2][index], 7720)
}

fn among(picked: [bool; BALANCERS]) -> IndexSet<SocketAddrV4> {
    (0..BALANCERS).filter(|index| picked[*index]).map(control).collect()
}

impl Starts {
    fn may_open(&self, state: &State) -> bool {
        let Agent::Named(named) = state.agent else {
            return false;
        };
        let mut introduction = Introduction::new();
        introduction.note_registered_balancers(among(named), 0);
        for balancer in among(state.heard).into_iter().chain(among(state.given_up)) {
            introduction.note_probe_from(balancer, 0);
        }
        introduction.is_done(0) || !self.waits_for_answers
    }

    fn agent_steps(&self, state: &State, out: &mut Vec<State>) {
        let registered = state.balancers.map(|balancer| balancer.is_in_store);
        let has_written = state.is_agent_in_store;
        if !has_written {
            let agent = match state.agent {
                Agent::Started => Agent::Registered,
                read => read,
            };
            out.push(State { agent, is_agent_in_store: true, ..state.clone() });
        }
        let may_read = has_written || !self.agent_writes_before_it_reads;
        if may_read && !matches!(state.agent, Agent::Named(_)) {
            out.push(State { agent: Agent::Named(registered), ..state.clone() });
        }
        if has_written && self.may_open(state) {
            out.push(State { is_open: true, ..state.clone() });
        }
    }

    fn exchange_steps(&self, state: &State, index: usize, out: &mut Vec<State>) {
        let balancer = state.balancers[index];
        let mut push = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            out.push(next);
        };
        if matches!(state.agent, Agent::Named(named) if named[index]) && !state.heard[index] {
            push(&|next| next.balancers[index].is_told = true);
            if !balancer.is_running {
                push(&|next| next.given_up[index] = true);
            }
        }
        if balancer.is_told {
            push(&|next| next.balancers[index].is_told = false);
            if balancer.is_running {
                push(&|next| {
                    next.balancers[index].is_told = false;
                    next.balancers[index].knows_agent = true;
                    next.balancers[index].has_answered = true;
                });
            }
        }
        if balancer.has_answered {
            push(&|next| next.balancers[index].has_answered = false);
            push(&|next| {
                next.balancers[index].has_answered = false;
                next.heard[index] = true;
            });
        }
    }

    fn balancer_steps(&self, state: &State, index: usize, out: &mut Vec<State>) {
        let balancer = state.balancers[index];
        let mut push = |change: &dyn Fn(&mut Balancer)| {
            let mut next = state.clone();
            change(&mut next.balancers[index]);
            out.push(next);
        };
        if !balancer.is_running {
            push(&|next| next.is_running = true);
            return;
        }
        if !balancer.is_registered {
            push(&|next| (next.is_registered, next.is_in_store) = (true, true));
        }
        if balancer.is_registered || !self.balancer_writes_before_it_reads {
            let is_in_store = state.is_agent_in_store;
            push(&|next| {
                next.has_read_nodes = true;
                next.knows_agent |= is_in_store;
            });
        }
        if balancer.crashes_left > 0 {
            push(&|next| {
                let left = next.crashes_left - 1;
                *next = Balancer {
                    is_in_store: next.is_in_store,
                    crashes_left: left,
                    ..Balancer::default()
                };
            });
        }
        // Every agent that it knows has given the segment back.
        let resets = balancer.is_registered && balancer.has_read_nodes && !balancer.knows_agent;
        if resets && state.is_open {
            out.push(State { was_reset: true, ..state.clone() });
        }
    }
}

impl Model for Starts {
    type State = State;

    fn start(&self) -> State {
        State {
            agent: Agent::Started,
            is_agent_in_store: false,
            balancers: [Balancer { crashes_left: 1, ..Balancer::default() }; BALANCERS],
            heard: [false; BALANCERS],
            given_up: [false; BALANCERS],
            is_open: false,
            was_reset: false,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        self.agent_steps(state, &mut out);
        for index in 0..BALANCERS {
            self.exchange_steps(state, index, &mut out);
            self.balancer_steps(state, index, &mut out);
        }
        out
    }

    fn violation(&self, state: &State) -> Option<String> {
        state.was_reset.then(|| "an open flow was reset".to_owned())
    }
}

#[test]
fn no_open_flow_is_reset_by_a_balancer_that_does_not_know_its_agent() {
    explore::check("introduction", &ALL_GUARDS);
}

#[test]
fn an_agent_that_reads_before_it_writes_misses_a_balancer() {
    let model = Starts { agent_writes_before_it_reads: false, ..ALL_GUARDS };
    explore::expect_violation("agent reads first", &model);
}

#[test]
fn a_balancer_that_reads_before_it_writes_misses_an_agent() {
    let model = Starts { balancer_writes_before_it_reads: false, ..ALL_GUARDS };
    explore::expect_violation("balancer reads first", &model);
}

#[test]
fn an_agent_that_does_not_wait_is_not_known_to_all() {
    let model = Starts { waits_for_answers: false, ..ALL_GUARDS };
    explore::expect_violation("no answers awaited", &model);
}
