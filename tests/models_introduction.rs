//! Model of the introduction of a starting agent to two balancers. The balancers start, crash and restart;
//! notifications and answers are lost or wait in the queue of a slow balancer; the agent writes its store
//! entry, reads the registered balancers and opens a flow at a target that may have ended and started again
//! meanwhile. No balancer may reset that flow without having asked the agent.
//!
//! The crate's own `Introduction` decides when openings are accepted. Updates between balancers are not
//! modelled: the property has to hold whichever of them arrive. A balancer reads its control socket in
//! order: the segments of a search that began after the opening come back behind the notification.

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
    /// Has read from the store which balancers are registered.
    BalancersRead([bool; BALANCERS]),
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Balancer {
    is_running: bool,
    is_registered: bool,
    has_read_nodes: bool,
    knows_agent: bool,
    /// Whether the store has its entry, which remains after a crash.
    is_in_store: bool,
    /// Whether the last status that it has seen says that the agent's target has ended.
    believes_ended: bool,
    /// Whether a notification from the agent is in flight; it says whether the target runs.
    is_notified: bool,
    /// The notification in the queue of the control socket, if any: whether the target runs.
    queued: Option<bool>,
    /// Whether the search for the flow that is under way has asked the agent; `None` without a search.
    search_asks_agent: Option<bool>,
    /// Whether its answer to the agent is in flight.
    has_answered: bool,
    crashes_left: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    agent: Agent,
    is_agent_in_store: bool,
    is_target_running: bool,
    balancers: [Balancer; BALANCERS],
    /// Balancers whose answer has reached the agent.
    answered: [bool; BALANCERS],
    /// Balancers whose time to answer has expired while they were not running or had the notification in
    /// their queue.
    timed_out: [bool; BALANCERS],
    is_open: bool,
    was_reset: bool,
}

/// Guards of the protocol; a test disables one to show that the model finds the fault.
#[derive(Clone, Copy)]
struct IntroductionModel {
    agent_writes_before_it_reads: bool,
    balancer_writes_before_it_reads: bool,
    waits_for_answers: bool,
    /// A search also asks an agent whose target has ended, as far as the balancer knows.
    asks_ended_targets: bool,
    /// Before a reset, the balancer checks whether it would ask other agents now.
    compares_asked_agents: bool,
}

const ALL_GUARDS: IntroductionModel = IntroductionModel {
    agent_writes_before_it_reads: true,
    balancer_writes_before_it_reads: true,
    waits_for_answers: true,
    asks_ended_targets: true,
    compares_asked_agents: true,
};

fn control(index: usize) -> SocketAddrV4 {
    address([1, 2][index], 7720)
}

fn addresses_of(selected: [bool; BALANCERS]) -> IndexSet<SocketAddrV4> {
    (0..BALANCERS).filter(|index| selected[*index]).map(control).collect()
}

impl IntroductionModel {
    fn may_open(&self, state: &State) -> bool {
        let Agent::BalancersRead(registered) = state.agent else {
            return false;
        };
        let mut introduction = Introduction::new();
        introduction.note_registered_balancers(addresses_of(registered), 0);
        for balancer in
            addresses_of(state.answered).into_iter().chain(addresses_of(state.timed_out))
        {
            introduction.note_probe_from(balancer, 0);
        }
        introduction.is_complete(0) || !self.waits_for_answers
    }

    fn agent_steps(&self, state: &State, out: &mut Vec<State>) {
        let registered = state.balancers.map(|balancer| balancer.is_in_store);
        let has_written = state.is_agent_in_store;
        if !has_written {
            let agent = match state.agent {
                Agent::Started => Agent::Registered,
                other => other,
            };
            out.push(State { agent, is_agent_in_store: true, ..state.clone() });
        }
        let may_read = has_written || !self.agent_writes_before_it_reads;
        if may_read && !matches!(state.agent, Agent::BalancersRead(_)) {
            out.push(State { agent: Agent::BalancersRead(registered), ..state.clone() });
        }
        if !state.is_target_running {
            out.push(State { is_target_running: true, ..state.clone() });
        }
        if has_written && state.is_target_running && self.may_open(state) {
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
        if matches!(state.agent, Agent::BalancersRead(registered) if registered[index])
            && !state.answered[index]
        {
            push(&|next| next.balancers[index].is_notified = true);
            if !balancer.is_running || balancer.queued.is_some() {
                push(&|next| next.timed_out[index] = true);
            }
        }
        if balancer.is_notified {
            push(&|next| next.balancers[index].is_notified = false);
            if balancer.is_running {
                push(&|next| {
                    next.balancers[index].is_notified = false;
                    next.balancers[index].queued = Some(next.is_target_running);
                });
            }
        }
        if let Some(is_target_running) = balancer.queued {
            push(&|next| {
                let balancer = &mut next.balancers[index];
                balancer.queued = None;
                balancer.knows_agent = true;
                balancer.believes_ended = !is_target_running;
                balancer.has_answered = true;
            });
        }
        if balancer.has_answered {
            push(&|next| next.balancers[index].has_answered = false);
            push(&|next| {
                next.balancers[index].has_answered = false;
                next.answered[index] = true;
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
        let asks_agent =
            balancer.knows_agent && (self.asks_ended_targets || !balancer.believes_ended);
        let may_search = state.is_open && balancer.is_registered && balancer.has_read_nodes;
        if may_search && balancer.search_asks_agent.is_none() {
            push(&|next| next.search_asks_agent = Some(asks_agent));
        }
        // All agents that were asked have returned the segment; an agent that holds the flow does not.
        if balancer.search_asks_agent == Some(false) && balancer.queued.is_none() {
            if self.compares_asked_agents && asks_agent {
                push(&|next| next.search_asks_agent = None);
            } else {
                out.push(State { was_reset: true, ..state.clone() });
            }
        }
    }
}

impl Model for IntroductionModel {
    type State = State;

    fn start(&self) -> State {
        State {
            agent: Agent::Started,
            is_agent_in_store: false,
            is_target_running: false,
            balancers: [Balancer { crashes_left: 1, ..Balancer::default() }; BALANCERS],
            answered: [false; BALANCERS],
            timed_out: [false; BALANCERS],
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
    let model = IntroductionModel { agent_writes_before_it_reads: false, ..ALL_GUARDS };
    explore::expect_violation("agent reads first", &model);
}

#[test]
fn a_balancer_that_reads_before_it_writes_misses_an_agent() {
    let model = IntroductionModel { balancer_writes_before_it_reads: false, ..ALL_GUARDS };
    explore::expect_violation("balancer reads first", &model);
}

#[test]
fn an_agent_that_does_not_wait_is_not_known_to_all() {
    let model = IntroductionModel { waits_for_answers: false, ..ALL_GUARDS };
    explore::expect_violation("no answers awaited", &model);
}

#[test]
fn a_target_that_started_again_is_not_asked_if_ended_ones_are_left_out() {
    let model = IntroductionModel { asks_ended_targets: false, ..ALL_GUARDS };
    explore::expect_violation("ended targets left out", &model);
}

#[test]
fn a_search_that_began_before_the_notification_misses_the_agent() {
    let model = IntroductionModel { compares_asked_agents: false, ..ALL_GUARDS };
    explore::expect_violation("asked agents not compared", &model);
}
