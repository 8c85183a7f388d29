//! Model check of tickets: a non-idempotent request runs at most once, and its verdicts are true.
//!
//! The caller sends one request several times, also to another agent. Messages are delayed or lost,
//! the target fails or times out, the caller disconnects, the agent restarts, and the ticket table
//! is full, so that outcomes are evicted. The model calls the production code, `AgentState`, which
//! a state holds in its serialized form.

mod support;

use std::collections::BTreeSet;

use rhubarbthread::process::agent_state::AgentState;
use rhubarbthread::process::agent_state::Decision;
use rhubarbthread::process::agent_state::Input;
use rhubarbthread::process::agent_state::TicketId;
use rhubarbthread::request::admission::Capacity;
use rhubarbthread::request::admission::Outcome;
use rhubarbthread::request::ticket_book::KeptAnswer;
use rhubarbthread::request::ticket_book::TicketBounds;
use rhubarbthread::request::verdict::Refusal;
use rhubarbthread::request::verdict::Verdict;
use support::explore;
use support::explore::Model;

/// Number of times that the caller sends the request with its ticket.
const ATTEMPTS: u8 = 3;

const CAPACITY: Capacity =
    Capacity { slots: 2, connections: 10, first_limit: 2, growth_answers: 1 };

/// Room for one outcome, so that a second one evicts it.
const BOUNDS: TicketBounds = TicketBounds { max_entries: 1, max_bytes: 1_000 };

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    /// The request with its ticket, in flight to an agent.
    Send { attempt: u8, agent: usize },
    /// The request, admitted by an agent and in flight to its target.
    Run { attempt: u8, agent: usize, incarnation: u64 },
    /// A verdict in flight to the caller.
    Answer { attempt: u8, verdict: u8 },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    /// The issuing agent, and another one of the same service.
    agents: [String; 2],
    messages: BTreeSet<Message>,
    attempts_sent: u8,
    runs: u8,
    /// Attempts whose bytes reached a target.
    reached_target: BTreeSet<u8>,
    /// Attempts that were answered with `NotRun`.
    answered_not_run: BTreeSet<u8>,
    restarts_left: u8,
    other_requests_left: u8,
}

/// The model with its safeguards. Each can be turned off to show that it is needed.
#[derive(Clone, Copy)]
struct TicketsModel {
    refuses_evicted: bool,
    checks_incarnation: bool,
    distinguishes_closed_from_unsent: bool,
}

const ALL_SAFEGUARDS: TicketsModel = TicketsModel {
    refuses_evicted: true,
    checks_incarnation: true,
    distinguishes_closed_from_unsent: true,
};

const ISSUER_INCARNATION: u64 = 1;
const OTHER_INCARNATION: u64 = 2;
const RESTARTED_INCARNATION: u64 = 3;

const TICKET: TicketId = TicketId { incarnation: ISSUER_INCARNATION, number: 0 };

fn new_agent(incarnation: u64) -> AgentState {
    let mut agent = AgentState::new(incarnation, BOUNDS);
    let process = "p".to_owned();
    agent.apply(0, &Input::Announced { capacity: CAPACITY, process, warm: true });
    // Tickets 0 and 1 are issued before the model starts.
    agent.apply(0, &Input::TicketWanted);
    agent.apply(0, &Input::TicketWanted);
    agent
}

fn serialize(agent: &AgentState) -> String {
    serde_json::to_string(agent).expect("an agent's state can be serialized")
}

fn deserialize(text: &str) -> AgentState {
    serde_json::from_str(text).expect("the state was serialized by this test")
}

fn answer() -> KeptAnswer {
    KeptAnswer { status: 200, headers: Vec::new(), body: Some(b"x".to_vec()) }
}

fn verdict_number(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::NotRun => 0,
        Verdict::MayHaveRun => 1,
        Verdict::Ran => 2,
    }
}

impl TicketsModel {
    fn request_arrives(&self, state: &State, attempt: u8, agent: usize) -> State {
        let mut next = state.clone();
        let mut agent_state = deserialize(&state.agents[agent]);
        let incarnation = agent_state.incarnation();
        let decision =
            agent_state.apply(0, &Input::Request { idempotent: false, ticket: Some(TICKET) });
        let ignores_refusal = match &decision {
            Decision::Refuse(Refusal::TicketForgotten) => !self.refuses_evicted,
            Decision::Refuse(Refusal::TicketElsewhere) => !self.checks_incarnation,
            _ => false,
        };
        match decision {
            Decision::Run => {
                next.messages.insert(Message::Run { attempt, agent, incarnation });
            }
            _ if ignores_refusal => {
                next.messages.insert(Message::Run { attempt, agent, incarnation });
            }
            Decision::Kept(_) => send_verdict(&mut next, attempt, Verdict::Ran),
            Decision::Refuse(reason) => send_verdict(&mut next, attempt, reason.verdict()),
            other => {
                panic!("the decision on Input::Request must be Run, Kept or Refuse, got {other:?}")
            }
        }
        next.agents[agent] = serialize(&agent_state);
        next
    }

    /// All states that may follow after an agent let the request run.
    fn run_outcomes(
        &self,
        state: &State,
        attempt: u8,
        agent: usize,
        incarnation: u64,
    ) -> Vec<State> {
        let mut base = state.clone();
        base.messages.remove(&Message::Run { attempt, agent, incarnation });
        let mut out = Vec::new();
        let is_same_incarnation = deserialize(&state.agents[agent]).incarnation() == incarnation;
        let end = |mut next: State, input: Input, verdict: Option<Verdict>| {
            if is_same_incarnation {
                let mut agent_state = deserialize(&next.agents[agent]);
                agent_state.apply(0, &input);
                next.agents[agent] = serialize(&agent_state);
                if let Some(verdict) = verdict {
                    send_verdict(&mut next, attempt, verdict);
                }
            }
            next
        };
        let ticket = Some(TICKET);
        // No byte reaches the target.
        let not_sent = end(base.clone(), Input::NotSent { ticket }, Some(Verdict::NotRun));
        out.push(not_sent);
        // The request reaches the target and runs there.
        base.runs += 1;
        base.reached_target.insert(attempt);
        let ended = |outcome, answer| Input::Ended { outcome, ticket, answer };
        let completed = ended(Outcome::Answered, Some(answer()));
        out.push(end(base.clone(), completed, Some(Verdict::Ran)));
        let closed = if self.distinguishes_closed_from_unsent {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        out.push(end(base.clone(), ended(Outcome::Failed, None), Some(closed)));
        let deadline = Some(Verdict::MayHaveRun);
        out.push(end(base.clone(), ended(Outcome::Abandoned, None), deadline));
        // The caller has disconnected: the outcome is stored, but no verdict is sent.
        out.push(end(base, ended(Outcome::Abandoned, None), None));
        out
    }
}

fn send_verdict(state: &mut State, attempt: u8, verdict: Verdict) {
    state.messages.insert(Message::Answer { attempt, verdict: verdict_number(verdict) });
    if verdict == Verdict::NotRun {
        state.answered_not_run.insert(attempt);
    }
}

/// Another request with the second ticket runs to its end, and its outcome evicts the older one.
fn other_request(state: &State) -> State {
    let mut next = state.clone();
    let mut agent_state = deserialize(&state.agents[0]);
    let ticket = Some(TicketId { incarnation: agent_state.incarnation(), number: 1 });
    if agent_state.apply(0, &Input::Request { idempotent: false, ticket }) == Decision::Run {
        let outcome = Outcome::Answered;
        agent_state.apply(0, &Input::Ended { outcome, ticket, answer: Some(answer()) });
    }
    next.agents[0] = serialize(&agent_state);
    next.other_requests_left -= 1;
    next
}

impl Model for TicketsModel {
    type State = State;

    fn start(&self) -> State {
        State {
            agents: [
                serialize(&new_agent(ISSUER_INCARNATION)),
                serialize(&new_agent(OTHER_INCARNATION)),
            ],
            messages: BTreeSet::new(),
            attempts_sent: 0,
            runs: 0,
            reached_target: BTreeSet::new(),
            answered_not_run: BTreeSet::new(),
            restarts_left: 1,
            other_requests_left: 1,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        if state.attempts_sent < ATTEMPTS {
            for agent in 0..2 {
                let mut next = state.clone();
                next.messages.insert(Message::Send { attempt: state.attempts_sent, agent });
                next.attempts_sent += 1;
                out.push(next);
            }
        }
        for message in &state.messages {
            let mut without = state.clone();
            without.messages.remove(message);
            match *message {
                Message::Send { attempt, agent } => {
                    out.push(self.request_arrives(&without, attempt, agent));
                    // The message is lost.
                    out.push(without);
                }
                Message::Run { attempt, agent, incarnation } => {
                    out.extend(self.run_outcomes(state, attempt, agent, incarnation));
                }
                Message::Answer { .. } => out.push(without),
            }
        }
        if state.restarts_left > 0 {
            let mut next = state.clone();
            next.agents[0] = serialize(&new_agent(RESTARTED_INCARNATION));
            next.restarts_left -= 1;
            out.push(next);
        }
        if state.other_requests_left > 0 {
            out.push(other_request(state));
        }
        out
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.runs > 1 {
            return Some(format!("the request ran {} times", state.runs));
        }
        let false_verdict = state.answered_not_run.intersection(&state.reached_target).next();
        false_verdict.map(|attempt| {
            format!("attempt {attempt} got the verdict not-run, but reached the target")
        })
    }
}

cases! {
    at_most_one_run_and_true_verdicts: { explore::check("tickets", &ALL_SAFEGUARDS); };
    without_floor_a_forgotten_ticket_runs_again: {
        let model = TicketsModel { refuses_evicted: false, ..ALL_SAFEGUARDS };
        explore::expect_violation("tickets without floor", &model);
    };
    without_incarnation_it_runs_elsewhere: {
        let model = TicketsModel { checks_incarnation: false, ..ALL_SAFEGUARDS };
        explore::expect_violation("tickets without incarnation", &model);
    };
    without_care_for_sent_bytes_not_run_is_false: {
        let model = TicketsModel { distinguishes_closed_from_unsent: false, ..ALL_SAFEGUARDS };
        explore::expect_violation("tickets without care for sent bytes", &model);
    };
}
