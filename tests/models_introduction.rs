//! Model of the introduction of a starting agent to two balancers. The balancers start, crash and restart;
//! notifications and answers are lost or wait in the queue of a slow balancer; the agent writes its store
//! entry and reads the registered balancers; its target ends, starts again and opens a flow. No balancer may
//! reset that flow without having asked the agent. What balancers tell each other of the end is not
//! modelled, since none believes it before the agent itself has said so.
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

#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Balancer {
    is_running: bool,
    is_registered: bool,
    has_read_nodes: bool,
    knows_agent: bool,
    /// Whether the store has its entry, which remains after a crash.
    is_in_store: bool,
    /// Latest run of the agent's target that it knows of.
    known_run: Option<Run>,
    /// Notification from the agent in flight, if any: the run of the target that it is about.
    notified: Option<Run>,
    /// The same in the queue of the control socket.
    queued: Option<Run>,
    /// Whether the search for the flow that is under way has asked the agent; `None` without a search.
    search_asks_agent: Option<bool>,
    /// Its answer to the agent in flight, if any: the run of the target that it knows of.
    answer: Option<Run>,
    crashes_left: u8,
}

/// Run of the agent's target, as its status says.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Run {
    First,
    Ended,
    Second,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    agent: Agent,
    is_agent_in_store: bool,
    run: Run,
    balancers: [Balancer; BALANCERS],
    /// Balancers whose answer has reached the agent.
    answered: [bool; BALANCERS],
    /// Balancers that the agent has told that its target has ended.
    notified_of_end: [bool; BALANCERS],
    /// Balancers whose time to answer has expired while they were not running or had the notification in
    /// their queue.
    timed_out: [bool; BALANCERS],
    is_open: bool,
    was_reset: bool,
}

impl State {
    /// The same state with its balancers in order: they differ in nothing but their states.
    fn in_order(mut self) -> State {
        let key = |state: &State, index: usize| {
            let read = matches!(state.agent, Agent::BalancersRead(registered) if registered[index]);
            let agent = (read, state.answered[index], state.notified_of_end[index]);
            (state.balancers[index], agent, state.timed_out[index])
        };
        if key(&self, 0) > key(&self, 1) {
            self.balancers.swap(0, 1);
            self.answered.swap(0, 1);
            self.notified_of_end.swap(0, 1);
            self.timed_out.swap(0, 1);
            if let Agent::BalancersRead(registered) = &mut self.agent {
                registered.swap(0, 1);
            }
        }
        self
    }
}

/// Guards of the protocol; a test disables one to show that the model finds the fault.
#[derive(Clone, Copy)]
struct IntroductionModel {
    agent_writes_before_it_reads: bool,
    balancer_writes_before_it_reads: bool,
    waits_for_answers: bool,
    /// The agent introduces itself again after its target has ended and another one has started.
    introduces_again: bool,
    /// A balancer takes the end of a target from the agent itself only.
    only_direct_ends_count: bool,
    /// Only answers to the status of the second run count for the second introduction.
    answers_name_the_run: bool,
    /// Before a reset, the balancer checks whether it would ask other agents now.
    compares_asked_agents: bool,
}

const ALL_GUARDS: IntroductionModel = IntroductionModel {
    agent_writes_before_it_reads: true,
    balancer_writes_before_it_reads: true,
    waits_for_answers: true,
    introduces_again: true,
    only_direct_ends_count: true,
    answers_name_the_run: true,
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
        if !matches!(state.agent, Agent::BalancersRead(_)) {
            return false;
        }
        let required = [0, 1].map(|index| self.is_required(state, index));
        let mut introduction = Introduction::new(0);
        introduction.note_registered_balancers(addresses_of(required));
        for balancer in
            addresses_of(state.answered).into_iter().chain(addresses_of(state.timed_out))
        {
            introduction.note_probe_from(balancer, 0, 0);
        }
        introduction.is_complete(0) || !self.waits_for_answers
    }

    /// Whether the agent introduces itself to a balancer.
    fn is_required(&self, state: &State, index: usize) -> bool {
        let is_notified_of_end =
            self.introduces_again && state.run == Run::Second && state.notified_of_end[index];
        is_notified_of_end
            || matches!(state.agent, Agent::BalancersRead(registered) if registered[index])
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
        match state.run {
            Run::First if !state.is_open => out.push(State { run: Run::Ended, ..state.clone() }),
            Run::Ended if self.introduces_again => out.push(State {
                run: Run::Second,
                answered: [false; BALANCERS],
                timed_out: [false; BALANCERS],
                ..state.clone()
            }),
            Run::Ended => out.push(State { run: Run::Second, ..state.clone() }),
            Run::First | Run::Second => {}
        }
        if has_written && state.run != Run::Ended && self.may_open(state) {
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
        let is_required = self.is_required(state, index) && !state.answered[index];
        // It notifies those that have to know it, and answers the probes of those that do.
        if is_required || (balancer.is_running && balancer.knows_agent) {
            push(&|next| {
                next.balancers[index].notified = Some(next.run);
                next.notified_of_end[index] |= next.run == Run::Ended;
            });
        }
        let is_excused = !balancer.is_running || balancer.queued == Some(state.run);
        if is_required && is_excused {
            push(&|next| next.timed_out[index] = true);
        }
        if let Some(run) = balancer.notified {
            push(&|next| next.balancers[index].notified = None);
            if balancer.is_running && balancer.queued.is_none_or(|queued| queued <= run) {
                push(&|next| {
                    next.balancers[index].notified = None;
                    next.balancers[index].queued = Some(run);
                });
            }
        }
        if let Some(run) = balancer.queued {
            push(&|next| {
                let balancer = &mut next.balancers[index];
                balancer.queued = None;
                balancer.knows_agent = true;
                balancer.known_run = balancer.known_run.max(Some(run));
                balancer.answer = Some(run);
            });
        }
        if let Some(run) = balancer.answer {
            push(&|next| next.balancers[index].answer = None);
            let counts = !self.answers_name_the_run || run == state.run;
            push(&|next| {
                next.balancers[index].answer = None;
                next.answered[index] |= counts;
            });
        }
        let other = state.balancers[1 - index];
        let relays_end = !self.only_direct_ends_count && other.known_run == Some(Run::Ended);
        if balancer.is_running && relays_end && balancer.known_run < Some(Run::Ended) {
            push(&|next| {
                next.balancers[index].knows_agent = true;
                next.balancers[index].known_run = Some(Run::Ended);
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
            // Datagrams to a process that does not run are lost.
            push(&|next| (next.is_running, next.notified) = (true, None));
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
        let asks_agent = balancer.knows_agent && balancer.known_run != Some(Run::Ended);
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
            run: Run::First,
            balancers: [Balancer { crashes_left: 1, ..Balancer::default() }; BALANCERS],
            answered: [false; BALANCERS],
            notified_of_end: [false; BALANCERS],
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
        out.into_iter().map(State::in_order).collect()
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
fn a_target_that_started_again_without_an_introduction_is_left_out() {
    let model = IntroductionModel { introduces_again: false, ..ALL_GUARDS };
    explore::expect_violation("no second introduction", &model);
}

#[test]
fn an_end_that_another_balancer_tells_of_may_be_over() {
    let model = IntroductionModel { only_direct_ends_count: false, ..ALL_GUARDS };
    explore::expect_violation("relayed ends count", &model);
}

#[test]
fn an_answer_to_an_earlier_status_does_not_show_that_the_new_run_is_known() {
    let model = IntroductionModel { answers_name_the_run: false, ..ALL_GUARDS };
    explore::expect_violation("any answer counts", &model);
}

#[test]
fn a_search_that_began_before_the_notification_misses_the_agent() {
    let model = IntroductionModel { compares_asked_agents: false, ..ALL_GUARDS };
    explore::expect_violation("asked agents not compared", &model);
}
