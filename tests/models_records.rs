//! Model check of configuration records, from the operator's write to every node.
//!
//! Two operators race with compare-and-swap. Answers are lost after the write took effect, writes
//! and rumors arrive late and out of order, only some nodes read the store, one node restarts
//! without records, and the store has an outage. The model calls the production code,
//! `Records::merge` and `classify_conflict`.

mod support;

use std::collections::BTreeSet;

use rhubarbthread::process::publish::ConflictOutcome;
use rhubarbthread::process::publish::classify_conflict;
use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::RecordKey;
use rhubarbthread::version::record::ZoneRecord;
use rhubarbthread::version::records::MergeOutcome;
use rhubarbthread::version::records::Records;
use support::explore;
use support::explore::Model;

const NODES: usize = 3;

/// Nodes that read the store. The others get records only through rumors.
const READERS: usize = 2;

const OPERATORS: usize = 2;

/// The record that the store or a node holds: revision 0 without a writer means none.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct StoredVersion {
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
    Done(ConflictOutcome),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    store: StoredVersion,
    is_store_up: bool,
    outages_left: u8,
    replacements_left: u8,
    operators: [Operator; OPERATORS],
    /// Writes in flight: the operator, and the revision that the write is conditional on.
    writes: BTreeSet<(usize, u64)>,
    /// Operators whose write took effect, with the revision that it replaced.
    applied: BTreeSet<(usize, u64)>,
    nodes: [StoredVersion; NODES],
    /// Rumors in flight. None is ever removed, so that each may arrive late and more than once.
    rumors: BTreeSet<(u64, usize)>,
    went_back_to_older: bool,
}

/// The model with its safeguards. Each can be turned off to show that it is needed.
#[derive(Clone, Copy)]
struct RecordsModel {
    uses_compare_and_swap: bool,
    merges_by_order: bool,
    remembers_lost_answers: bool,
}

const ALL_SAFEGUARDS: RecordsModel = RecordsModel {
    uses_compare_and_swap: true,
    merges_by_order: true,
    remembers_lost_answers: true,
};

impl RecordsModel {
    fn deliver(&self, state: &State, node: usize, offered: StoredVersion) -> Option<State> {
        let held = state.nodes[node];
        let is_applied = if self.merges_by_order {
            is_merged(held, offered)
        } else {
            held.revision != offered.revision
        };
        if !is_applied {
            return None;
        }
        let mut next = state.clone();
        next.went_back_to_older |= offered.revision < held.revision;
        next.nodes[node] = offered;
        if let Some(writer) = offered.writer {
            next.rumors.insert((offered.revision, writer));
        }
        Some(next)
    }

    fn operator_steps(&self, state: &State, operator: usize, out: &mut Vec<State>) {
        match state.operators[operator] {
            Operator::Idle if state.is_store_up => {
                let mut next = state.clone();
                let base = state.store.revision;
                next.operators[operator] = Operator::Waiting { base, answer_lost: false };
                next.writes.insert((operator, base));
                out.push(next);
            }
            Operator::Waiting { base, .. } => {
                // The call times out while the write may still be in flight, and is sent again.
                let mut next = state.clone();
                next.operators[operator] = Operator::Waiting { base, answer_lost: true };
                next.writes.insert((operator, base));
                out.push(next);
            }
            _ => {}
        }
    }

    fn write_arrives(&self, state: &State, operator: usize, base: u64, out: &mut Vec<State>) {
        if !state.is_store_up {
            return;
        }
        let mut next = state.clone();
        next.writes.remove(&(operator, base));
        let is_accepted = state.store.revision == base || !self.uses_compare_and_swap;
        if is_accepted {
            next.store =
                StoredVersion { revision: state.store.revision + 1, writer: Some(operator) };
            next.applied.insert((operator, base));
        }
        // The answer is lost, or ...
        out.push(next.clone());
        // ... it arrives.
        if let Operator::Waiting { answer_lost, .. } = state.operators[operator] {
            let judgement = if is_accepted {
                ConflictOutcome::Accepted
            } else {
                let held = state.store.writer.map(|writer| writer.to_string());
                let lost = answer_lost && self.remembers_lost_answers;
                classify_conflict(held.as_deref(), &operator.to_string(), lost)
            };
            next.operators[operator] = Operator::Done(judgement);
            out.push(next);
        }
    }
}

fn record(held: StoredVersion) -> Record {
    Record::Zone(ZoneRecord { revision: held.revision, name: "zone".to_owned(), out: true })
}

/// Whether the production merge replaces `held` by `offered`.
fn is_merged(held: StoredVersion, offered: StoredVersion) -> bool {
    let mut records = Records::new();
    if held.revision > 0 {
        records.merge(&record(held));
    }
    let merged = records.merge(&record(offered)) == MergeOutcome::Applied;
    let now =
        records.get(&RecordKey::Zone("zone".to_owned())).expect("the record is held after a merge");
    assert_eq!(now.order().major == offered.revision, merged || held == offered);
    merged
}

impl Model for RecordsModel {
    type State = State;

    fn start(&self) -> State {
        State {
            store: StoredVersion::default(),
            is_store_up: true,
            outages_left: 1,
            replacements_left: 1,
            operators: [Operator::Idle; OPERATORS],
            writes: BTreeSet::new(),
            applied: BTreeSet::new(),
            nodes: [StoredVersion::default(); NODES],
            rumors: BTreeSet::new(),
            went_back_to_older: false,
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
            if node < READERS && state.is_store_up && state.store.revision > 0 {
                out.extend(self.deliver(state, node, state.store));
            }
            for (revision, writer) in &state.rumors {
                let offered = StoredVersion { revision: *revision, writer: Some(*writer) };
                out.extend(self.deliver(state, node, offered));
            }
            if state.replacements_left > 0 && state.nodes[node] != StoredVersion::default() {
                let mut next = state.clone();
                next.nodes[node] = StoredVersion::default();
                next.replacements_left -= 1;
                out.push(next);
            }
        }
        if state.is_store_up && state.outages_left > 0 {
            let mut next = state.clone();
            next.is_store_up = false;
            next.outages_left -= 1;
            out.push(next);
        }
        if !state.is_store_up {
            let mut next = state.clone();
            next.is_store_up = true;
            out.push(next);
        }
        out
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.went_back_to_older {
            return Some("a node replaced its record by an older revision".to_owned());
        }
        let bases: BTreeSet<u64> = state.applied.iter().map(|(_, base)| *base).collect();
        if bases.len() < state.applied.len() {
            return Some("two writes replaced the same revision".to_owned());
        }
        for (operator, phase) in state.operators.iter().enumerate() {
            let took_effect = state.applied.iter().any(|(writer, _)| *writer == operator);
            match phase {
                Operator::Done(ConflictOutcome::Accepted) if !took_effect => {
                    return Some(format!(
                        "operator {operator} got Accepted, but its write did not take effect"
                    ));
                }
                Operator::Done(ConflictOutcome::NotAccepted) if took_effect => {
                    return Some(format!(
                        "operator {operator} got NotAccepted, but its write took effect"
                    ));
                }
                _ => {}
            }
        }
        None
    }
}

fn is_latest_write_everywhere(state: &State) -> bool {
    let all_done = state.operators.iter().all(|phase| matches!(phase, Operator::Done(_)));
    all_done && state.writes.is_empty() && state.nodes.iter().all(|node| *node == state.store)
}

cases! {
    accepted_is_in_force_and_nothing_goes_back: {
        explore::check("records", &ALL_SAFEGUARDS);
        explore::check_goal_stays_reachable("records", &ALL_SAFEGUARDS, is_latest_write_everywhere);
    };
    without_order_a_node_goes_back: {
        let model = RecordsModel { merges_by_order: false, ..ALL_SAFEGUARDS };
        explore::expect_violation("records without order", &model);
    };
    without_compare_and_swap_both_win: {
        let model = RecordsModel { uses_compare_and_swap: false, ..ALL_SAFEGUARDS };
        explore::expect_violation("records without compare-and-swap", &model);
    };
    without_memory_of_lost_answers_a_claim_is_false: {
        let model = RecordsModel { remembers_lost_answers: false, ..ALL_SAFEGUARDS };
        explore::expect_violation("records without memory of lost answers", &model);
    };
}
