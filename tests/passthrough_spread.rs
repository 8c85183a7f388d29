//! What balancers tell each other: who is told, what is believed, and how it grows, without sockets.

#[macro_use]
mod support;

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rhubarbthread::version::balancer_table::BalancerTable;
use rhubarbthread::version::balancer_table::BalancerUpdate;
use rhubarbthread::version::balancer_table::MONITORS_PER_AGENT;
use rhubarbthread::version::balancer_table::UpdateOutcome;
use rhubarbthread::version::balancer_table::ZONE_TIMEOUT_MS;
use rhubarbthread::version::balancer_table::ZoneUpdate;
use rhubarbthread::version::target_status::TargetLoad;
use rhubarbthread::version::target_status::TargetStatus;
use rhubarbthread::version::target_status::TargetUpdate;
use rhubarbthread::version::target_table::AGENT_TIMEOUT_MS;
use rhubarbthread::version::target_table::Liveness;
use rhubarbthread::version::target_table::TargetTable;

use crate::support::passthrough::address;
use crate::support::passthrough::agent;
use crate::support::passthrough::status_of;

/// Wall-clock time at the start of a test, in milliseconds.
const WALL_MS: u64 = 1_000_000_000;

fn table(own: u8) -> BalancerTable {
    BalancerTable::new(address(own, 7720), "a")
}

fn news(last: u8, zone: &str, stamp: u64) -> BalancerUpdate {
    BalancerUpdate {
        control: address(last, 7720),
        exchange: address(last, 8166),
        zone: zone.to_owned(),
        stamp,
        is_down: false,
    }
}

/// A balancer's own state comes in.
fn hear(table: &mut BalancerTable, last: u8, zone: &str, now_ms: u64) {
    table.apply_direct_update(&news(last, zone, WALL_MS + now_ms), 0, now_ms);
}

/// A balancer that hears these others of its zone `a`, and these of zone `b`.
fn table_among(own: u8, zone_a: &[u8], zone_b: &[u8], now_ms: u64) -> BalancerTable {
    let mut table = table(own);
    zone_a
        .iter()
        .filter(|last| **last != own)
        .for_each(|last| hear(&mut table, *last, "a", now_ms));
    zone_b.iter().for_each(|last| hear(&mut table, *last, "b", now_ms));
    table
}

fn last_of(control: SocketAddrV4) -> u8 {
    control.ip().octets()[3]
}

/// Balancers of a deployment whose states travel for one step of 100 ms, and sometimes get lost.
struct Network {
    tables: IndexMap<SocketAddrV4, BalancerTable>,
    zones: IndexMap<SocketAddrV4, String>,
    /// Balancers whose host is gone.
    gone: IndexSet<SocketAddrV4>,
    /// News that a balancer passes on in the next step.
    changes: IndexMap<SocketAddrV4, IndexSet<SocketAddrV4>>,
    under_way: VecDeque<(SocketAddrV4, State)>,
    datagrams: usize,
    loss_percent: u32,
    random: StdRng,
    now_ms: u64,
}

#[derive(Clone)]
struct State {
    sender: BalancerUpdate,
    zones: Vec<ZoneUpdate>,
    told: Vec<BalancerUpdate>,
    follows: Option<bool>,
    asks: bool,
}

impl Network {
    /// `size` balancers in each of `zones` zones, who know of each other from the store.
    fn new(zones: u8, size: u8, loss_percent: u32, seed: u64) -> Network {
        let all: Vec<(SocketAddrV4, String)> = (0..zones)
            .flat_map(|zone| (0..size).map(move |rank| (zone, rank)))
            .map(|(zone, rank)| {
                let control = SocketAddrV4::new([10, 0, zone, rank].into(), 7720);
                (control, format!("zone-{zone}"))
            })
            .collect();
        let mut tables = IndexMap::new();
        for (own, zone) in &all {
            let mut table = BalancerTable::new(*own, zone);
            all.iter().for_each(|(other, zone)| table.learn(*other, *other, zone, 0));
            tables.insert(*own, table);
        }
        Network {
            tables,
            zones: all.into_iter().collect(),
            gone: IndexSet::new(),
            changes: IndexMap::new(),
            under_way: VecDeque::new(),
            datagrams: 0,
            loss_percent,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
        }
    }

    fn state(&mut self, own: SocketAddrV4, told: Vec<BalancerUpdate>) -> State {
        let table = &mut self.tables[&own];
        let sender = BalancerUpdate {
            control: own,
            exchange: own,
            zone: self.zones[&own].clone(),
            stamp: table.next_stamp(WALL_MS + self.now_ms),
            is_down: false,
        };
        State { sender, zones: table.zone_updates(self.now_ms), told, follows: None, asks: false }
    }

    fn send(&mut self, state: &State, receivers: Vec<SocketAddrV4>) {
        for receiver in receivers {
            self.datagrams += 1;
            if self.random.random_range(0..100) >= self.loss_percent {
                self.under_way.push_back((receiver, state.clone()));
            }
        }
    }

    fn take(&mut self, own: SocketAddrV4, state: &State) {
        let (now_ms, table) = (self.now_ms, &mut self.tables[&own]);
        let mut changed: Vec<SocketAddrV4> = Vec::new();
        if table.apply_direct_update(&state.sender, 0, now_ms) {
            changed.push(state.sender.control);
        }
        if let Some(follows) = state.follows {
            table.note_state_promise(state.sender.control, follows, now_ms);
        }
        state.zones.iter().for_each(|news| table.apply_zone_update(news, now_ms));
        let mut later = Vec::new();
        for news in &state.told {
            match table.apply_relayed_update(news, now_ms) {
                UpdateOutcome::Changed => changed.push(news.control),
                UpdateOutcome::SenderOutdated => later.extend(table.update_of(news.control)),
                UpdateOutcome::Unchanged => {}
            }
        }
        if !later.is_empty() || state.asks {
            let answer = self.state(own, later);
            self.send(&answer, vec![state.sender.control]);
        }
        self.changes.entry(own).or_default().extend(changed);
        if state.told.iter().any(|news| news.control == own && news.is_down) {
            let follows = Some(self.tables[&own].is_neighbour(state.sender.control));
            let answer = State { follows, ..self.state(own, Vec::new()) };
            self.send(&answer, vec![state.sender.control]);
        }
    }

    fn send_state(&mut self, own: SocketAddrV4) {
        let table = &mut self.tables[&own];
        let told = table.next_updates(2, self.now_ms);
        let (neighbours, dropped) = table.take_neighbours(self.now_ms);
        let state = self.state(own, told);
        self.send(&State { follows: Some(true), ..state.clone() }, neighbours);
        self.send(&State { follows: Some(false), ..state }, dropped);
    }

    /// 100 ms pass; states are sent in every sixth step.
    fn step(&mut self) {
        self.now_ms += 100;
        for (receiver, state) in std::mem::take(&mut self.under_way) {
            if !self.gone.contains(&receiver) {
                self.take(receiver, &state);
            }
        }
        let alive: Vec<SocketAddrV4> =
            self.tables.keys().filter(|own| !self.gone.contains(*own)).copied().collect();
        for own in alive {
            let now_ms = self.now_ms;
            let mut changed = self.changes.swap_remove(&own).unwrap_or_default();
            if now_ms.is_multiple_of(600) {
                let missing = self.tables[&own].take_overdue(now_ms);
                changed.extend(missing.timed_out);
                for news in missing.queries {
                    let control = news.control;
                    let state = self.state(own, vec![news]);
                    self.send(&state, vec![control]);
                }
                self.send_state(own);
            }
            if now_ms <= 600 || now_ms.is_multiple_of(600) {
                let asked = self.tables[&own].full_state_sources(now_ms);
                let state = State { asks: true, ..self.state(own, Vec::new()) };
                self.send(&state, asked);
            }
            let told: Vec<BalancerUpdate> = changed
                .iter()
                .filter_map(|control| self.tables[&own].update_of(*control))
                .collect();
            for part in told.chunks(4) {
                let state = self.state(own, part.to_vec());
                let neighbours = self.tables[&own].neighbours(now_ms);
                self.send(&state, neighbours);
            }
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    /// Balancers that a balancer counts as heard.
    fn heard_by(&self, own: SocketAddrV4) -> IndexSet<SocketAddrV4> {
        self.tables[&own].updates(self.now_ms).map(|news| news.control).collect()
    }

    /// Those that are there and do not hear just the others that are there; the first of them.
    fn mistaken(&self) -> Vec<(SocketAddrV4, Vec<SocketAddrV4>)> {
        let alive: IndexSet<SocketAddrV4> =
            self.tables.keys().filter(|own| !self.gone.contains(*own)).copied().collect();
        let mistakes = |own: &SocketAddrV4| {
            let mut expected = alive.clone();
            expected.swap_remove(own);
            let heard = self.heard_by(*own);
            heard.symmetric_difference(&expected).copied().collect::<Vec<SocketAddrV4>>()
        };
        let mistakes = alive.iter().map(|own| (*own, mistakes(own)));
        mistakes.filter(|(_, wrong)| !wrong.is_empty()).take(3).collect()
    }
}

/// An agent in zone `b` that this balancer of zone `a` knows and does not probe; zone `b` is heard.
fn vouched_agent() -> TargetTable {
    let mut targets = TargetTable::new();
    targets.apply_status(status_of(21, "b", "vypocet"), 0, 0);
    targets.note_zone_seen("b", 10_000);
    targets
}

fn silent_news(sequence: u64) -> TargetUpdate {
    let status = TargetStatus { sequence, ..status_of(21, "b", "vypocet") };
    TargetUpdate { status, age_ms: 1_500, is_suspected: true }
}

cases! {
    a_change_costs_a_few_datagrams_a_balancer_and_reaches_each_from_several: {
        // 14 balancers of each of two zones learn of one change; each told all others: 756 datagrams.
        let (zone_a, zone_b): (Vec<u8>, Vec<u8>) = ((1..=14).collect(), (15..=28).collect());
        let mut told_by = [0; 29];
        let mut datagrams = 0;
        for own in 1..=28 {
            let (near, far) = if own <= 14 { (&zone_a, &zone_b) } else { (&zone_b, &zone_a) };
            let table = table_among(own, near, far, 0);
            let neighbours = table.neighbours(1);
            datagrams += neighbours.len();
            for neighbour in neighbours {
                told_by[usize::from(last_of(neighbour))] += 1;
            }
        }
        assert!(datagrams <= 28 * 3 + 3 * 27, "{datagrams} datagrams");
        assert!(told_by[1..].iter().all(|tellers| *tellers >= 2), "{told_by:?}");
    };
    without_others_in_its_zone_a_balancer_talks_to_other_zones: {
        let table = table_among(1, &[], &[12, 13], 0);
        assert_eq!(table.neighbours(1), [address(12, 7720)]);
    };
    balancers_that_are_known_and_not_heard_are_waited_for: {
        let mut table = table(1);
        assert!(table.is_settled(0));
        table.learn(address(2, 7720), address(2, 8166), "a", 0);
        assert_eq!(table.full_state_sources(0), [address(2, 7720)]);
        assert!(!table.is_settled(599), "asked six times");
        assert!(table.is_settled(600));
        table.learn(address(3, 7720), address(3, 8166), "a", 1_300);
        hear(&mut table, 3, "a", 1_400);
        assert!(table.is_settled(1_400));
        // A balancer that stood still hears the others again before it takes itself for informed.
        table.note_stall(9_000);
        assert!(!table.is_settled(9_000));
        hear(&mut table, 2, "a", 9_001);
        hear(&mut table, 3, "a", 9_001);
        assert!(table.is_settled(9_001));
    };
    a_few_balancers_are_asked_at_a_time_and_all_in_turn: {
        // At 670 balancers the answers of all would be 200 MB.
        let mut table = table(1);
        (2..=41).for_each(|last| table.learn(address(last, 7720), address(last, 8166), "a", 0));
        let rounds: Vec<Vec<SocketAddrV4>> =
            (0..14).map(|round| table.full_state_sources(round * 100)).collect();
        assert!(rounds.iter().all(|round| round.len() == 3), "{rounds:?}");
        let asked: IndexSet<SocketAddrV4> = rounds.into_iter().flatten().collect();
        assert_eq!(asked.len(), 40);
    };
    an_agent_has_its_keepers_in_its_zone: {
        let (zone_a, zone_b): (Vec<u8>, Vec<u8>) = ((1..=8).collect(), (11..=18).collect());
        for agent_number in 0..50 {
            let keepers = zone_a.iter().filter(|own| {
                table_among(**own, &zone_a, &zone_b, 0).is_monitor_of(agent(agent_number), 1)
            });
            assert_eq!(keepers.count(), MONITORS_PER_AGENT);
        }
    };
    a_keeper_that_falls_silent_is_replaced: {
        let zone_a: Vec<u8> = (1..=8).collect();
        let keepers = (1..=5).filter(|own| {
            let mut table = table_among(*own, &zone_a, &[], 0);
            for last in 6..=8 {
                let silent = BalancerUpdate { is_down: true, ..news(last, "a", WALL_MS) };
                assert_eq!(table.apply_relayed_update(&silent, 2_500), UpdateOutcome::Changed);
            }
            hear(&mut table, if *own == 1 { 2 } else { 1 }, "a", 2_600);
            table.is_monitor_of(agent(1), 2_601)
        });
        assert_eq!(keepers.count(), MONITORS_PER_AGENT);
    };
    a_balancer_that_hears_nobody_of_its_zone_keeps_all_agents_there: {
        let zone_a: Vec<u8> = (1..=8).collect();
        let table = table_among(1, &zone_a, &[], 0);
        assert!((0..50).any(|last| !table.is_monitor_of(agent(last), 1)));
        assert!((0..50).all(|last| table.is_monitor_of(agent(last), ZONE_TIMEOUT_MS)));
    };
    each_balancer_talks_to_at_most_two_other_zones_and_all_pairs_of_zones_talk: {
        let network = Network::new(5, 12, 0, 7);
        let mut pairs = IndexSet::new();
        for (own, table) in &network.tables {
            let mut table_of_all = BalancerTable::new(*own, &network.zones[own]);
            for (control, zone) in network.zones.iter().filter(|(control, _)| *control != own) {
                let state = BalancerUpdate {
                    control: *control,
                    exchange: *control,
                    zone: zone.clone(),
                    stamp: WALL_MS,
                    is_down: false,
                };
                table_of_all.apply_direct_update(&state, 0, 0);
            }
            let neighbours = table_of_all.neighbours(1);
            let far = neighbours.iter().filter(|far| !table.is_in_zone(**far));
            let far: Vec<String> = far.map(|far| network.zones[far].clone()).collect();
            assert_eq!((neighbours.len(), far.len()), (5, 2));
            pairs.extend(far.into_iter().map(|far| (network.zones[own].clone(), far)));
        }
        assert_eq!(pairs.len(), 20);
    };
    what_a_balancer_sends_does_not_grow_with_the_deployment: {
        let counts = [(3, 4), (5, 12), (7, 24)].map(|(zones, size)| {
            let mut network = Network::new(zones, size, 0, 1);
            network.run(6_000);
            let before = network.datagrams;
            network.run(6_000);
            (network.datagrams - before) / network.tables.len()
        });
        assert!(counts.iter().all(|count| *count <= 50), "five datagrams each 0.6 s: {counts:?}");
    };
    all_balancers_hear_of_all_within_seconds_of_a_start: {
        for (zones, size) in [(1, 2), (2, 1), (3, 1), (3, 2), (5, 12), (7, 24)] {
            let mut network = Network::new(zones, size, 3, 2);
            network.run(5_000);
            assert_eq!(network.mistaken(), [], "{zones} zones of {size}");
        }
    };
    a_balancer_that_is_gone_is_missed_by_all_and_nobody_else_is: {
        for (zones, size) in [(1, 2), (3, 2), (5, 12), (7, 24)] {
            let mut network = Network::new(zones, size, 3, 3);
            network.run(6_000);
            network.gone.insert(SocketAddrV4::new([10, 0, 0, 1].into(), 7720));
            network.run(6_000);
            assert_eq!(network.mistaken(), [], "{zones} zones of {size}");
        }
    };
    a_zone_that_is_gone_is_missed_by_all: {
        for (zones, size) in [(3, 1), (3, 2), (5, 12), (7, 24)] {
            let mut network = Network::new(zones, size, 3, 4);
            network.run(6_000);
            let zone = (0..size).map(|rank| SocketAddrV4::new([10, 0, 1, rank].into(), 7720));
            network.gone.extend(zone);
            network.run(5_000);
            assert_eq!(network.mistaken(), [], "{zones} zones of {size}");
        }
    };
    half_of_a_zone_that_is_gone_is_missed_by_all: {
        let mut network = Network::new(5, 12, 3, 5);
        network.run(6_000);
        network.gone.extend((0..6).map(|rank| SocketAddrV4::new([10, 0, 1, rank * 2].into(), 7720)));
        network.run(12_000);
        assert_eq!(network.mistaken(), []);
    };
    a_change_reaches_the_last_of_168_balancers_within_two_seconds: {
        let mut network = Network::new(7, 24, 3, 6);
        network.run(6_000);
        let first = SocketAddrV4::new([10, 0, 0, 0].into(), 7720);
        let mut fresh = network.tables[&first].update_of(SocketAddrV4::new([10, 0, 3, 3].into(), 7720));
        let fresh = fresh.as_mut().expect("it is known");
        // A balancer that nobody knows yet.
        (fresh.control, fresh.exchange) = (address(250, 7720), address(250, 8166));
        let state = network.state(first, vec![fresh.clone()]);
        network.gone.insert(fresh.control);
        network.take(SocketAddrV4::new([10, 0, 0, 1].into(), 7720), &state);
        network.run(2_000);
        let knowing = network.tables.keys().filter(|own| network.heard_by(**own).contains(&fresh.control));
        assert!(knowing.count() >= network.tables.len() - 1, "all but the one that made it up");
    };
    a_late_word_of_silence_is_refuted_by_a_later_state: {
        let mut table = table(1);
        hear(&mut table, 2, "a", 0);
        let silent = BalancerUpdate { is_down: true, ..news(2, "a", WALL_MS) };
        assert_eq!(table.apply_relayed_update(&silent, 500), UpdateOutcome::Unchanged, "it was heard directly");
        assert_eq!(table.updates(501).count(), 1);
        assert!(table.apply_direct_update(&news(2, "a", WALL_MS), 0, 501), "others have to hear that it is there");
        assert!(!table.apply_direct_update(&news(2, "a", WALL_MS), 0, 502));
        assert_eq!(table.apply_relayed_update(&silent, 2_503), UpdateOutcome::Changed);
        assert_eq!(table.apply_relayed_update(&news(2, "a", WALL_MS), 2_600), UpdateOutcome::Unchanged, "the same state again refutes nothing");
        assert_eq!(table.apply_relayed_update(&news(2, "a", WALL_MS + 1), 2_700), UpdateOutcome::Changed);
        assert_eq!(table.apply_relayed_update(&silent, 2_800), UpdateOutcome::SenderOutdated);
    };
    a_balancer_that_is_told_of_its_own_silence_goes_on_above_that_stamp: {
        // Its clock went back, so the others hold what it said before for newer.
        let mut table = table(1);
        let silent = BalancerUpdate { is_down: true, ..news(1, "a", WALL_MS + 50) };
        assert_eq!(table.apply_relayed_update(&silent, 0), UpdateOutcome::Unchanged);
        assert_eq!(table.next_stamp(WALL_MS - 2_400_000), WALL_MS + 51);
    };
    an_agent_that_nobody_misses_counts_as_alive_while_its_zone_is_heard: {
        let mut targets = vouched_agent();
        assert_eq!(targets.liveness(agent(21), 12_999), Some(Liveness::Alive));
        assert!(targets.take_due_probes(true, |_, _| false, "a", 12_999).is_empty());
        assert_ne!(targets.liveness(agent(21), 10_000 + ZONE_TIMEOUT_MS), Some(Liveness::Alive));
        assert_eq!(targets.take_due_probes(true, |_, _| false, "a", 13_001), [agent(21)]);
    };
    an_agent_that_is_missed_is_probed_before_it_counts_as_silent: {
        // Its keeper may be the one that is cut off.
        let mut targets = vouched_agent();
        assert!(targets.apply_relayed_update(&silent_news(1), 11_000));
        assert_eq!(targets.liveness(agent(21), 11_000), Some(Liveness::Awaited));
        assert_eq!(targets.take_due_probes(true, |_, _| false, "a", 11_100), [agent(21)]);
        assert_eq!(targets.liveness(agent(21), 11_099 + AGENT_TIMEOUT_MS), Some(Liveness::Awaited));
        assert_eq!(targets.liveness(agent(21), 11_100 + AGENT_TIMEOUT_MS), Some(Liveness::Silent));
        let answer = TargetStatus { sequence: 2, ..status_of(21, "b", "vypocet") };
        assert!(targets.apply_status(answer, 0, 12_400), "others have to hear that it is back");
        assert_eq!(targets.liveness(agent(21), 12_400), Some(Liveness::Alive));
    };
    a_probe_that_was_lost_long_ago_makes_no_agent_silent: {
        // Its answer was lost as the balancer started; others told of the agent, and it was probed no more.
        // Later the balancer became its keeper, or a keeper missed it: it counted as silent at once, and an
        // open flow was reset.
        let became_keeper = |targets: &mut TargetTable| {
            targets.take_due_probes(true, |_, _| true, "a", 20_300);
        };
        let is_missed = |targets: &mut TargetTable| {
            assert!(targets.apply_relayed_update(&silent_news(1), 20_300));
        };
        let cases: [&dyn Fn(&mut TargetTable); 2] = [&became_keeper, &is_missed];
        for case in cases {
            let mut targets = TargetTable::new();
            targets.learn(agent(21), address(21, 7720), "b", 0);
            assert_eq!(targets.take_due_probes(false, |_, _| false, "a", 100), [agent(21)]);
            let told = TargetUpdate { age_ms: 5_000, is_suspected: false, ..silent_news(1) };
            targets.apply_relayed_update(&told, 200);
            targets.note_zone_seen("b", 20_000);
            assert!(targets.take_due_probes(true, |_, _| false, "a", 20_000).is_empty());
            case(&mut targets);
            assert_eq!(targets.liveness(agent(21), 20_300), Some(Liveness::Awaited));
            assert!(targets.take_newly_silent(20_300).is_empty());
        }
    };
    a_word_of_silence_that_is_older_than_what_is_known_changes_nothing: {
        let mut targets = vouched_agent();
        targets.apply_status(TargetStatus { sequence: 9, ..status_of(21, "b", "vypocet") }, 0, 9_000);
        assert!(!targets.apply_relayed_update(&silent_news(8), 11_000));
        assert_eq!(targets.liveness(agent(21), 11_000), Some(Liveness::Alive));
    };
    an_agent_of_which_only_the_store_knows_is_vouched_for_by_nobody: {
        let mut targets = TargetTable::new();
        targets.learn(agent(21), address(21, 7720), "b", 0);
        targets.note_zone_seen("b", 10_000);
        assert_ne!(targets.liveness(agent(21), 10_100), Some(Liveness::Alive));
    };
    what_a_keeper_has_found_silent_is_told_once: {
        let mut targets = TargetTable::new();
        targets.apply_status(status_of(11, "a", "vypocet"), 0, 0);
        targets.note_zone_seen("a", 5_000);
        targets.take_due_probes(true, |_, _| true, "a", 3_000);
        assert!(targets.take_newly_silent(3_000).is_empty());
        assert_eq!(targets.take_newly_silent(3_000 + AGENT_TIMEOUT_MS), [agent(11)]);
        assert!(targets.take_newly_silent(3_100 + AGENT_TIMEOUT_MS).is_empty());
        assert!(targets.update_of(agent(11), 4_500).is_some_and(|news| news.is_suspected));
    };
    a_load_that_is_told_late_or_of_an_earlier_run_hides_no_later_status: {
        let mut targets = TargetTable::new();
        targets.apply_status(status_of(11, "a", "vypocet"), 0, 0);
        let load = |sequence, busy| TargetLoad { data: agent(11), sequence, flows: 7, busy };
        targets.apply_load(&load(900, 3), 1);
        targets.apply_load(&load(899, 1), 2);
        assert_eq!(targets.status(agent(11)).map(|status| status.busy), Some(3));
        let fresh = TargetStatus { lifetime: 99, busy: 2, ..status_of(11, "a", "vypocet") };
        assert!(targets.apply_status(fresh, 0, 3));
        assert_eq!(targets.status(agent(11)).map(|status| status.busy), Some(2));
    };
    starts_probe_a_few_agents_of_other_zones_at_a_time_and_all_in_turn: {
        let mut targets = TargetTable::new();
        for (last, zone) in (1..=200).map(|last| (last, if last <= 20 { "a" } else { "b" })) {
            targets.learn(agent(last), address(last, 7720), zone, 0);
        }
        let rounds: Vec<Vec<SocketAddrV4>> =
            (0..3).map(|_| targets.take_due_probes(false, |_, _| false, "a", 1)).collect();
        assert!(rounds.iter().all(|round| round.len() == 84), "20 near, 64 far");
        let probed: IndexSet<SocketAddrV4> = rounds.into_iter().flatten().collect();
        assert_eq!(probed.len(), 200);
    };
}
