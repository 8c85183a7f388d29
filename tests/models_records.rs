//! Model of the records: two operators race with compare-and-swap, answers are lost after the write
//! took effect, writes and rumors arrive late and out of order, several nodes read the store, one
//! node is replaced with nothing, the store has an outage.
//!
//! The project's own `Records::merge` and `judge_conflict` decide.

mod support;

use std::collections::BTreeSet;

use rhubarbthread::process::publish::Judgement;
use rhubarbthread::process::publish::judge_conflict;
use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::RecordKey;
use rhubarbthread::version::record::ZoneRecord;
use rhubarbthread::version::records::MergeOutcome;
use rhubarbthread::version::records::Records;
use support::explore;
use support::explore::Model;

const NODES: usize = 3;

/// Nodes that read the store; the others hear through rumors.
const READERS: usize = 2;

const OPERATORS: usize = 2;

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Held {
    revision: u64,
    writer: Option<usize>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Operator {
    Idle,
    /// Has read the key at a revision and sent a write.
    Waiting {
        base: u64,
        answer_lost: bool,
    },
    Done(Judgement),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    store: Held,
    store_up: bool,
    outages_left: u8,
    replacements_left: u8,
    operators: [Operator; OPERATORS],
    /// Writes on their way: operator and the revision it is conditional on.
    writes: BTreeSet<(usize, u64)>,
    /// Writers whose write took effect, with the revision it replaced.
    applied: BTreeSet<(usize, u64)>,
    nodes: [Held; NODES],
    /// Rumors on their way; each stays until the end, so it may arrive late and twice.
    rumors: BTreeSet<(u64, usize)>,
    went_back: bool,
}

/// Guards that can be taken out.
#[derive(Clone, Copy)]
struct Records3 {
    compares_and_swaps: bool,
    merges_by_order: bool,
    knows_lost_answers: bool,
}

const ALL_GUARDS: Records3 =
    Records3 { compares_and_swaps: true, merges_by_order: true, knows_lost_answers: true };

impl Records3 {
    fn offer(&self, state: &State, node: usize, offered: Held) -> Option<State> {
        let held = state.nodes[node];
        let takes = if self.merges_by_order {
            merges(held, offered)
        } else {
            held.revision != offered.revision
        };
        if !takes {
            return None;
        }
        let mut next = state.clone();
        next.went_back |= offered.revision < held.revision;
        next.nodes[node] = offered;
        if let Some(writer) = offered.writer {
            next.rumors.insert((offered.revision, writer));
        }
        Some(next)
    }

    fn operator_steps(&self, state: &State, operator: usize, out: &mut Vec<State>) {
        match state.operators[operator] {
            Operator::Idle if state.store_up => {
                let mut next = state.clone();
                let base = state.store.revision;
                next.operators[operator] = Operator::Waiting { base, answer_lost: false };
                next.writes.insert((operator, base));
                out.push(next);
            }
            Operator::Waiting { base, .. } => {
                // The call times out; the write may still be on its way. The same is sent again.
                let mut next = state.clone();
                next.operators[operator] = Operator::Waiting { base, answer_lost: true };
                next.writes.insert((operator, base));
                out.push(next);
            }
            _ => {}
        }
    }

    fn write_arrives(&self, state: &State, operator: usize, base: u64, out: &mut Vec<State>) {
        if !state.store_up {
            return;
        }
        let mut next = state.clone();
        next.writes.remove(&(operator, base));
        let holds = state.store.revision == base || !self.compares_and_swaps;
        if holds {
            next.store = Held { revision: state.store.revision + 1, writer: Some(operator) };
            next.applied.insert((operator, base));
        }
        // The answer is lost ...
        out.push(next.clone());
        // ... or it arrives.
        if let Operator::Waiting { answer_lost, .. } = state.operators[operator] {
            let judgement = if holds {
                Judgement::Accepted
            } else {
                let held = state.store.writer.map(|writer| writer.to_string());
                let lost = answer_lost && self.knows_lost_answers;
                judge_conflict(held.as_deref(), &operator.to_string(), lost)
            };
            next.operators[operator] = Operator::Done(judgement);
            out.push(next);
        }
    }
}

fn record(held: Held) -> Record {
    Record::Zone(ZoneRecord { revision: held.revision, name: "zone".to_owned(), out: true })
}

/// Asks the project's own merge.
fn merges(held: Held, offered: Held) -> bool {
    let mut records = Records::new();
    if held.revision > 0 {
        records.merge(&record(held));
    }
    let merged = records.merge(&record(offered)) == MergeOutcome::Applied;
    let now = records.get(&RecordKey::Zone("zone".to_owned())).expect("something is held");
    assert_eq!(now.order().major == offered.revision, merged || held == offered);
    merged
}

impl Model for Records3 {
    type State = State;

    fn start(&self) -> State {
        State {
            store: Held::default(),
            store_up: true,
            outages_left: 1,
            replacements_left: 1,
            operators: [Operator::Idle; OPERATORS],
            writes: BTreeSet::new(),
            applied: BTreeSet::new(),
            nodes: [Held::default(); NODES],
            rumors: BTreeSet::new(),
            went_back: false,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for operator in 0..OPERATORS {
            self.operator_steps(state, operator, &mut out);
        }
        for (operator, base) in &state.writes {
            self.write_arrives(state, *operator, *base, &mut out);
        }
        for node in 0..NODES {
            if node < READERS && state.store_up && state.store.revision > 0 {
                out.extend(self.offer(state, node, state.store));
            }
            for (revision, writer) in &state.rumors {
                let offered = Held { revision: *revision, writer: Some(*writer) };
                out.extend(self.offer(state, node, offered));
            }
            if state.replacements_left > 0 && state.nodes[node] != Held::default() {
                let mut next = state.clone();
                next.nodes[node] = Held::default();
                next.replacements_left -= 1;
                out.push(next);
            }
        }
        if state.store_up && state.outages_left > 0 {
            let mut next = state.clone();
            next.store_up = false;
            next.outages_left -= 1;
            out.push(next);
        }
        if !state.store_up {
            let mut next = state.clone();
            next.store_up = true;
            out.push(next);
        }
        out
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.went_back {
            return Some("a node went back".to_owned());
        }
        let bases: BTreeSet<u64> = state.applied.iter().map(|(_, base)| *base).collect();
        if bases.len() < state.applied.len() {
            return Some("two racers won over the same revision".to_owned());
        }
        for (operator, phase) in state.operators.iter().enumerate() {
            let took_effect = state.applied.iter().any(|(writer, _)| *writer == operator);
            match phase {
                Operator::Done(Judgement::Accepted) if !took_effect => {
                    return Some(format!("operator {operator} was told accepted, and it was not"));
                }
                Operator::Done(Judgement::NotAccepted) if took_effect => {
                    return Some(format!("operator {operator} was told not accepted, and it was"));
                }
                _ => {}
            }
        }
        None
    }
}

fn all_in_force(state: &State) -> bool {
    let all_done = state.operators.iter().all(|phase| matches!(phase, Operator::Done(_)));
    all_done && state.writes.is_empty() && state.nodes.iter().all(|node| *node == state.store)
}

cases! {
    accepted_is_in_force_and_nothing_goes_back: {
        explore::check("records", &ALL_GUARDS);
        explore::check_goal_stays_reachable("records", &ALL_GUARDS, all_in_force);
    };
    without_order_a_node_goes_back: {
        let model = Records3 { merges_by_order: false, ..ALL_GUARDS };
        explore::expect_violation("records without order", &model);
    };
    without_compare_and_swap_both_win: {
        let model = Records3 { compares_and_swaps: false, ..ALL_GUARDS };
        explore::expect_violation("records without compare-and-swap", &model);
    };
    without_memory_of_lost_answers_a_claim_is_false: {
        let model = Records3 { knows_lost_answers: false, ..ALL_GUARDS };
        explore::expect_violation("records without memory of lost answers", &model);
    };
}
