//! Model of a store that returns from an older copy, with two balancers and an operator who takes a zone
//! out and puts it back. Balancers read, watch, miss changes while they are cut off, and fetch what is in
//! force from each other; the operator writes its last state again after each return.
//!
//! The crate's own `Routing` decides which zones are out. Time passes only as the end of a hold, which is
//! longer than the operator takes to write again.

mod support;

use std::hash::Hash;
use std::hash::Hasher;

use indexmap::IndexMap;
use rhubarbthread::version::store_position::StorePosition;
use rhubarbthread::version::zones_out::HOLD_MS;
use rhubarbthread::version::zones_out::ZonesOut;
use support::explore;
use support::explore::Model;

const ZONE: &str = "a";
const BALANCERS: usize = 2;

/// Times at which balancers read, and at which a hold that began then has ended.
const READ_MS: u64 = 0;
const HOLD_END_MS: u64 = READ_MS + HOLD_MS;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Store {
    position: StorePosition,
    /// Revision of the zone's mark.
    mark: Option<u64>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Balancer {
    zones: ZonesOut,
    position: StorePosition,
    /// Marks as of `position`, which other balancers may fetch.
    mark: Option<u64>,
    /// Whether it has read the operator's last change, or the store later, and has it in force.
    has_followed: bool,
}

impl Hash for Balancer {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.position, self.mark, self.has_followed, self.zones.is_out(ZONE)).hash(hasher);
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    store: Store,
    /// Copy from which the store may return.
    copy: Store,
    returns_left: u8,
    /// Whether the operator holds the zone out.
    wants_out: bool,
    /// Position of the operator's last change.
    wanted_at: StorePosition,
    changes_left: u8,
    /// Whether the operator still has to write its state again after a return.
    must_write_again: bool,
    balancers: [Balancer; BALANCERS],
}

/// Guards; a test disables one to show that the model finds the fault.
#[derive(Clone, Copy)]
struct EraModel {
    positions_have_eras: bool,
    holds_zones: bool,
    holds_end: bool,
}

const ALL_GUARDS: EraModel =
    EraModel { positions_have_eras: true, holds_zones: true, holds_end: true };

impl Store {
    fn write(&mut self, is_out: bool) {
        self.position.revision += 1;
        self.mark = is_out.then_some(self.position.revision);
    }
}

impl State {
    /// Notes which balancers have the operator's state in force.
    fn with_followers(mut self) -> State {
        for balancer in &mut self.balancers {
            let has_read = balancer.position >= self.wanted_at;
            balancer.has_followed |= has_read && balancer.zones.is_out(ZONE) == self.wants_out;
        }
        self
    }

    fn operator_steps(&self, out: &mut Vec<State>) {
        if self.changes_left > 0 {
            let mut next = self.clone();
            next.changes_left -= 1;
            next.wants_out = !self.wants_out;
            next.store.write(next.wants_out);
            next.must_write_again = false;
            next.wanted_at = next.store.position;
            next.balancers.iter_mut().for_each(|balancer| balancer.has_followed = false);
            out.push(next);
        }
        if self.must_write_again {
            let mut next = self.clone();
            next.must_write_again = false;
            if self.store.mark.is_some() != self.wants_out {
                next.store.write(self.wants_out);
            }
            out.push(next);
        }
    }

    fn store_steps(&self, out: &mut Vec<State>) {
        out.push(State { copy: self.store, ..self.clone() });
        if self.returns_left > 0 {
            let mut next = self.clone();
            next.returns_left -= 1;
            next.store = self.copy;
            next.store.position.era = self.store.position.era + 1;
            next.must_write_again = true;
            out.push(next);
        }
    }
}

impl EraModel {
    fn apply(&self, balancer: &mut Balancer, source: Store) {
        let StorePosition { era, revision } = source.position;
        let era = if self.positions_have_eras { era } else { 0 };
        let position = StorePosition::new(era, revision);
        if position < balancer.position {
            return;
        }
        let marks = IndexMap::from_iter(source.mark.map(|revision| (ZONE.to_owned(), revision)));
        if !self.holds_zones && era != balancer.zones.era() {
            balancer.zones = ZonesOut::new();
        }
        balancer.zones.apply_marks(marks, era, READ_MS);
        balancer.position = position;
        balancer.mark = source.mark;
    }

    /// A hold ends after the operator has written again, and after the balancer has read that.
    fn ends_hold(&self, state: &State, balancer: &Balancer) -> bool {
        self.holds_end && !state.must_write_again && balancer.position == state.store.position
    }
}

impl Model for EraModel {
    type State = State;

    fn start(&self) -> State {
        let store = Store { position: StorePosition::new(1, 1), mark: None };
        let balancer = Balancer {
            zones: ZonesOut::new(),
            position: StorePosition::default(),
            mark: None,
            has_followed: false,
        };
        State {
            store,
            copy: store,
            returns_left: 2,
            wants_out: false,
            wanted_at: store.position,
            changes_left: 4,
            must_write_again: false,
            balancers: [balancer.clone(), balancer],
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        state.operator_steps(&mut out);
        state.store_steps(&mut out);
        for index in 0..BALANCERS {
            let mut read = state.clone();
            self.apply(&mut read.balancers[index], state.store);
            out.push(read);
            let peer = &state.balancers[1 - index];
            let mut fetched = state.clone();
            let source = Store { position: peer.position, mark: peer.mark };
            self.apply(&mut fetched.balancers[index], source);
            out.push(fetched);
            if self.ends_hold(state, &state.balancers[index]) {
                let mut released = state.clone();
                released.balancers[index].zones.release_held(HOLD_END_MS);
                out.push(released);
            }
        }
        out.into_iter().map(State::with_followers).collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        let is_served = |balancer: &&Balancer| !balancer.zones.is_out(ZONE);
        let serving = || state.balancers.iter().filter(is_served);
        if state.wants_out && serving().any(|balancer| balancer.has_followed) {
            return Some("a zone that was out in force is served again".to_owned());
        }
        let has_read_all = |balancer: &&Balancer| balancer.position == state.store.position;
        if state.wants_out && !state.must_write_again && serving().any(|one| has_read_all(&one)) {
            return Some("a balancer that has read the operator's mark serves the zone".to_owned());
        }
        None
    }
}

fn all_agree(state: &State) -> bool {
    let agrees = |balancer: &Balancer| balancer.zones.is_out(ZONE) == state.wants_out;
    state.returns_left == 0 && state.changes_left == 0 && state.balancers.iter().all(agrees)
}

#[test]
fn a_zone_that_operators_hold_out_is_not_served_and_all_balancers_come_to_agree() {
    explore::check("store eras", &ALL_GUARDS);
    explore::check_goal_stays_reachable("store eras", &ALL_GUARDS, all_agree);
}

#[test]
#[should_panic(expected = "no path to the goal")]
fn with_bare_revisions_a_change_of_the_new_era_is_missed_for_ever() {
    let model = EraModel { positions_have_eras: false, ..ALL_GUARDS };
    explore::check_goal_stays_reachable("no eras", &model, all_agree);
}

#[test]
fn without_a_hold_a_zone_whose_mark_is_lost_is_served() {
    let model = EraModel { holds_zones: false, ..ALL_GUARDS };
    explore::expect_violation("zones not held", &model);
}

#[test]
#[should_panic(expected = "no path to the goal")]
fn with_an_endless_hold_an_evacuation_never_ends() {
    let model = EraModel { holds_end: false, ..ALL_GUARDS };
    explore::check_goal_stays_reachable("endless hold", &model, all_agree);
}
