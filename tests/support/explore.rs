//! Exhaustive search of the states of a model by breadth-first search.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// A model: its states, the transitions between them, and an invariant.
pub trait Model {
    /// State of the model.
    type State: Clone + Debug + Eq + Hash;

    /// The initial state.
    fn start(&self) -> Self::State;

    /// All states that may follow `state`.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// Describes how `state` violates the invariant, or returns `None`.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Returns the shortest path to a violation, or `None`.
pub fn counterexample<M: Model>(model: &M) -> Option<Vec<M::State>> {
    bfs(&model.start(), |state| model.next(state), |state| model.violation(state).is_some())
}

/// Checks that no reachable state is a violation, and returns the number of reachable states.
pub fn check<M: Model>(name: &str, model: &M) -> usize {
    let states = bfs_reach(model.start(), |state| model.next(state));
    let count = states
        .inspect(|state| {
            if let Some(violation) = model.violation(state) {
                panic!("{name}: {violation}\n{:#?}", counterexample(model));
            }
        })
        .count();
    println!("{name}: {count} states");
    count
}

/// Checks that a violation is reachable, for a model without one of its safeguards.
pub fn expect_violation<M: Model>(name: &str, model: &M) {
    let path = counterexample(model).unwrap_or_else(|| panic!("{name}: no violation found"));
    let last = path.last().expect("a path has an end");
    println!(
        "{name}: {} after {} steps",
        model.violation(last).unwrap_or_default(),
        path.len() - 1
    );
}

/// Checks that a goal is reachable from every reachable state.
pub fn check_goal_stays_reachable<M: Model>(
    name: &str,
    model: &M,
    is_goal: impl Fn(&M::State) -> bool,
) {
    let states: Vec<M::State> = bfs_reach(model.start(), |state| model.next(state)).collect();
    let mut predecessors: HashMap<M::State, Vec<usize>> = HashMap::new();
    for (index, state) in states.iter().enumerate() {
        for next in model.next(state) {
            predecessors.entry(next).or_default().push(index);
        }
    }
    let mut can_reach_goal: HashSet<usize> = HashSet::new();
    let mut pending: Vec<usize> =
        (0..states.len()).filter(|index| is_goal(&states[*index])).collect();
    while let Some(index) = pending.pop() {
        if can_reach_goal.insert(index) {
            pending.extend(predecessors.get(&states[index]).into_iter().flatten());
        }
    }
    let stuck = (0..states.len()).find(|index| !can_reach_goal.contains(index));
    assert!(stuck.is_none(), "{name}: no path to the goal from {:#?}", states[stuck.unwrap()]);
    println!("{name}: the goal stays reachable from {} states", states.len());
}
