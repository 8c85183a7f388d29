//! Model of tickets: one non-idempotent request, sent again through other balancers, delayed and
//! lost messages, a target that is shed, breaks or times out, cancellation, an agent restart, a full
//! ticket memory.
//!
//! The project's own `AgentState` decides; a state holds it in its serialised form.

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

/// Times that the caller sends the request with its ticket.
const ATTEMPTS: u8 = 3;

const CAPACITY: Capacity =
    Capacity { slots: 2, connections: 10, first_limit: 2, growth_answers: 1 };

/// One outcome is kept, so that a second one pushes it out.
const BOUNDS: TicketBounds = TicketBounds { max_entries: 1, max_bytes: 1_000 };

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    /// The request with its ticket, on its way to an agent.
    Send { attempt: u8, agent: usize },
    /// The request at its target.
    Run { attempt: u8, agent: usize, incarnation: u64 },
    /// A verdict on its way to the caller.
    Told { attempt: u8, verdict: u8 },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    /// The issuing agent, and another one of the same service.
    agents: [String; 2],
    messages: BTreeSet<Message>,
    sent: u8,
    runs: u8,
    /// Attempts whose bytes reached a target.
    reached: BTreeSet<u8>,
    /// Attempts that were told `NotRun`.
    told_not_run: BTreeSet<u8>,
    restarts_left: u8,
    others_left: u8,
}

/// Guards that can be taken out.
#[derive(Clone, Copy)]
struct Tickets {
    forgets_for_good: bool,
    checks_incarnation: bool,
    tells_closed_from_unsent: bool,
}

const ALL_GUARDS: Tickets =
    Tickets { forgets_for_good: true, checks_incarnation: true, tells_closed_from_unsent: true };

const ISSUER_INCARNATION: u64 = 1;
const OTHER_INCARNATION: u64 = 2;
const RESTARTED_INCARNATION: u64 = 3;

const TICKET: TicketId = TicketId { incarnation: ISSUER_INCARNATION, number: 0 };

fn fresh_agent(incarnation: u64) -> AgentState {
    let mut agent = AgentState::new(incarnation, BOUNDS);
    let process = "p".to_owned();
    agent.apply(0, &Input::Announced { capacity: CAPACITY, process, warm: true });
    // Tickets 0 and 1 are issued before the model starts.
    agent.apply(0, &Input::TicketWanted);
    agent.apply(0, &Input::TicketWanted);
    agent
}

fn pack(agent: &AgentState) -> String {
    serde_json::to_string(agent).expect("an agent's state serialises")
}

fn unpack(text: &str) -> AgentState {
    serde_json::from_str(text).expect("it was serialised before")
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

impl Tickets {
    fn arrives(&self, state: &State, attempt: u8, agent: usize) -> State {
        let mut next = state.clone();
        let mut decider = unpack(&state.agents[agent]);
        let incarnation = decider.incarnation();
        let decision =
            decider.apply(0, &Input::Request { idempotent: false, ticket: Some(TICKET) });
        let ignores = match &decision {
            Decision::Refuse(Refusal::TicketForgotten) => !self.forgets_for_good,
            Decision::Refuse(Refusal::TicketElsewhere) => !self.checks_incarnation,
            _ => false,
        };
        match decision {
            Decision::Run => {
                next.messages.insert(Message::Run { attempt, agent, incarnation });
            }
            _ if ignores => {
                next.messages.insert(Message::Run { attempt, agent, incarnation });
            }
            Decision::Kept(_) => tell(&mut next, attempt, Verdict::Ran),
            Decision::Refuse(reason) => tell(&mut next, attempt, reason.verdict()),
            other => panic!("a request leads to {other:?}"),
        }
        next.agents[agent] = pack(&decider);
        next
    }

    /// All that may become of a request that the agent lets run.
    fn runs(&self, state: &State, attempt: u8, agent: usize, incarnation: u64) -> Vec<State> {
        let mut base = state.clone();
        base.messages.remove(&Message::Run { attempt, agent, incarnation });
        let mut out = Vec::new();
        let is_same = unpack(&state.agents[agent]).incarnation() == incarnation;
        let end = |mut next: State, input: Input, verdict: Option<Verdict>| {
            if is_same {
                let mut decider = unpack(&next.agents[agent]);
                decider.apply(0, &input);
                next.agents[agent] = pack(&decider);
                if let Some(verdict) = verdict {
                    tell(&mut next, attempt, verdict);
                }
            }
            next
        };
        let ticket = Some(TICKET);
        // No byte reaches the target.
        let not_sent = end(base.clone(), Input::NotSent { ticket }, Some(Verdict::NotRun));
        out.push(not_sent);
        // It reaches the target and runs there.
        base.runs += 1;
        base.reached.insert(attempt);
        let ended = |outcome, answer| Input::Ended { outcome, ticket, answer };
        let whole = ended(Outcome::Answered, Some(answer()));
        out.push(end(base.clone(), whole, Some(Verdict::Ran)));
        let closed =
            if self.tells_closed_from_unsent { Verdict::MayHaveRun } else { Verdict::NotRun };
        out.push(end(base.clone(), ended(Outcome::Failed, None), Some(closed)));
        let deadline = Some(Verdict::MayHaveRun);
        out.push(end(base.clone(), ended(Outcome::Abandoned, None), deadline));
        // The caller is gone: the outcome is kept and told to nobody.
        out.push(end(base, ended(Outcome::Abandoned, None), None));
        out
    }
}

fn tell(state: &mut State, attempt: u8, verdict: Verdict) {
    state.messages.insert(Message::Told { attempt, verdict: verdict_number(verdict) });
    if verdict == Verdict::NotRun {
        state.told_not_run.insert(attempt);
    }
}

/// Another request with the second ticket runs to its end and pushes older outcomes out.
fn other_request(state: &State) -> State {
    let mut next = state.clone();
    let mut decider = unpack(&state.agents[0]);
    let ticket = Some(TicketId { incarnation: decider.incarnation(), number: 1 });
    if decider.apply(0, &Input::Request { idempotent: false, ticket }) == Decision::Run {
        let outcome = Outcome::Answered;
        decider.apply(0, &Input::Ended { outcome, ticket, answer: Some(answer()) });
    }
    next.agents[0] = pack(&decider);
    next.others_left -= 1;
    next
}

impl Model for Tickets {
    type State = State;

    fn start(&self) -> State {
        State {
            agents: [pack(&fresh_agent(ISSUER_INCARNATION)), pack(&fresh_agent(OTHER_INCARNATION))],
            messages: BTreeSet::new(),
            sent: 0,
            runs: 0,
            reached: BTreeSet::new(),
            told_not_run: BTreeSet::new(),
            restarts_left: 1,
            others_left: 1,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        if state.sent < ATTEMPTS {
            for agent in 0..2 {
                let mut next = state.clone();
                next.messages.insert(Message::Send { attempt: state.sent, agent });
                next.sent += 1;
                out.push(next);
            }
        }
        for message in &state.messages {
            let mut without = state.clone();
            without.messages.remove(message);
            match *message {
                Message::Send { attempt, agent } => {
                    out.push(self.arrives(&without, attempt, agent));
                    // It is lost.
                    out.push(without);
                }
                Message::Run { attempt, agent, incarnation } => {
                    out.extend(self.runs(state, attempt, agent, incarnation));
                }
                Message::Told { .. } => out.push(without),
            }
        }
        if state.restarts_left > 0 {
            let mut next = state.clone();
            next.agents[0] = pack(&fresh_agent(RESTARTED_INCARNATION));
            next.restarts_left -= 1;
            out.push(next);
        }
        if state.others_left > 0 {
            out.push(other_request(state));
        }
        out
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.runs > 1 {
            return Some(format!("it ran {} times", state.runs));
        }
        let false_one = state.told_not_run.intersection(&state.reached).next();
        false_one.map(|attempt| format!("attempt {attempt} was told not run, and it ran"))
    }
}

cases! {
    at_most_one_run_and_true_verdicts: { explore::check("tickets", &ALL_GUARDS); };
    without_floor_a_forgotten_ticket_runs_again: {
        let model = Tickets { forgets_for_good: false, ..ALL_GUARDS };
        explore::expect_violation("tickets without floor", &model);
    };
    without_incarnation_it_runs_elsewhere: {
        let model = Tickets { checks_incarnation: false, ..ALL_GUARDS };
        explore::expect_violation("tickets without incarnation", &model);
    };
    without_care_for_sent_bytes_not_run_is_false: {
        let model = Tickets { tells_closed_from_unsent: false, ..ALL_GUARDS };
        explore::expect_violation("tickets without care for sent bytes", &model);
    };
}
