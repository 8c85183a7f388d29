//! Exhaustive search of a model's states, through `pathfinding`.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// A model: states, what may happen in each, and what must hold in each.
pub trait Model {
    /// One state.
    type State: Clone + Debug + Eq + Hash;

    /// The first state.
    fn start(&self) -> Self::State;

    /// All states that may come next.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// What is violated in a state, or nothing.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// The shortest way to a violation, or nothing.
pub fn counterexample<M: Model>(model: &M) -> Option<Vec<M::State>> {
    bfs(&model.start(), |state| model.next(state), |state| model.violation(state).is_some())
}

/// Checks every reachable state and returns how many there are.
pub fn check<M: Model>(name: &str, model: &M) -> usize {
    if let Some(way) = counterexample(model) {
        let last = way.last().expect("a way has an end");
        panic!("{name}: {:?}\n{way:#?}", model.violation(last));
    }
    let count = bfs_reach(model.start(), |state| model.next(state)).count();
    println!("{name}: {count} states");
    count
}

/// Expects a violation, for a model whose guard is taken out.
pub fn expect_violation<M: Model>(name: &str, model: &M) {
    let way = counterexample(model).unwrap_or_else(|| panic!("{name}: no violation found"));
    let last = way.last().expect("a way has an end");
    println!("{name}: {} after {} steps", model.violation(last).unwrap_or_default(), way.len() - 1);
}

/// Checks that from every reachable state some way leads to a goal.
pub fn check_goal_stays_reachable<M: Model>(
    name: &str,
    model: &M,
    is_goal: impl Fn(&M::State) -> bool,
) {
    let states: Vec<M::State> = bfs_reach(model.start(), |state| model.next(state)).collect();
    let mut before: HashMap<M::State, Vec<usize>> = HashMap::new();
    for (index, state) in states.iter().enumerate() {
        for next in model.next(state) {
            before.entry(next).or_default().push(index);
        }
    }
    let mut good: HashSet<usize> = HashSet::new();
    let mut due: Vec<usize> = (0..states.len()).filter(|index| is_goal(&states[*index])).collect();
    while let Some(index) = due.pop() {
        if good.insert(index) {
            due.extend(before.get(&states[index]).into_iter().flatten());
        }
    }
    let stuck = (0..states.len()).find(|index| !good.contains(index));
    assert!(stuck.is_none(), "{name}: no way to the goal from {:#?}", states[stuck.unwrap()]);
    println!("{name}: the goal stays reachable from {} states", states.len());
}
