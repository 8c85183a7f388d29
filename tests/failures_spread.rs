//! Cut-off balancers and regions, with the project's own state machines in one process.

mod support;

use rhubarbthread::process::configuration::zone_key;
use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::ZoneRecord;
use rhubarbthread_standins::gossip_simulation::FIRST_AGENT;
use rhubarbthread_standins::gossip_simulation::GossipSimulation;

/// Time in which an accepted configuration is in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 7_000;

/// Time for records to spread at the start, in milliseconds.
const START_MS: u64 = 60_000;

/// Time in which a dead target is known everywhere, in milliseconds.
const DETECT_MS: u64 = 12_000;

fn zone(revision: u64, out: bool) -> Record {
    assert!(zone_key("zone-1").ends_with("zone-1"));
    Record::Zone(ZoneRecord { revision, name: "zone-1".to_owned(), out })
}

fn started(balancers: usize, agents: usize, seed: u64) -> GossipSimulation {
    let mut spread = GossipSimulation::new(balancers, agents, 4, 4, seed);
    spread.peers[0].merge_configuration(&[zone(1, false)], true);
    let took = spread.run(START_MS, |spread| knows_all(spread) && all_have(spread, 1));
    assert!(took < START_MS, "seed {seed}: records do not spread");
    spread
}

fn knows_all(spread: &GossipSimulation) -> bool {
    let expected = spread.peers.len() + spread.agents.len() + 1;
    spread.peers.iter().all(|peer| peer.records().len() == expected && peer.is_configured())
}

fn all_have(spread: &GossipSimulation, revision: u64) -> bool {
    spread.peers.iter().all(|peer| peer.records().configuration_revision() == revision)
}

fn lost_balancers(spread: &GossipSimulation) -> usize {
    let all = spread.peers.len();
    spread.peers.iter().map(|peer| all - peer.records().live_balancers().count()).sum()
}

fn lost_targets(spread: &GossipSimulation) -> usize {
    let lost = |spread: &GossipSimulation, peer: usize| {
        spread.peers[peer].records().targets().filter(|target| target.lost).count()
    };
    (0..spread.peers.len()).map(|peer| lost(spread, peer)).sum()
}

/// One balancer is cut off from all others: it keeps what it knew, forwards by it, and is told the
/// change once it is reached again. Nobody else is harmed.
fn one_cut_off(seed: u64, agents_reach_it: bool) {
    let mut spread = started(12, 24, seed);
    spread.partition = Box::new(move |from, to| {
        let is_agent = from >= FIRST_AGENT;
        (from == 5 || to == 5) && !(is_agent && agents_reach_it)
    });
    spread.peers[0].merge_configuration(&[zone(2, true)], true);
    let others_have = |spread: &GossipSimulation| {
        let revision = |index: usize| spread.peers[index].records().configuration_revision();
        (0..12).filter(|index| *index != 5).all(|index| revision(index) == 2)
    };
    let took = spread.run(IN_FORCE_MS, others_have);
    assert!(took < IN_FORCE_MS, "seed {seed}: not in force at the others");
    spread.run(20_000, |_| false);
    assert_eq!(spread.peers[5].records().configuration_revision(), 1, "it cannot know");
    let last_ms = spread.peers[5].balancer_last_seen_ms().unwrap_or(0);
    assert!(spread.now_ms() - last_ms > 15_000, "it can tell that it is cut off");
    assert_eq!(lost_targets(&spread), 0, "seed {seed}: no target is taken for lost");
    spread.partition = Box::new(|_, _| false);
    let took = spread.run(30_000, |spread| all_have(spread, 2) && lost_balancers(spread) == 0);
    assert!(took < 30_000, "seed {seed}: it does not come back");
}

/// Two regions lose each other for minutes; each goes on, and they find each other again.
fn regions_apart(seed: u64) {
    let mut spread = started(16, 32, seed);
    // Agents with an even number are in the first region.
    let is_first =
        |node: usize| if node >= FIRST_AGENT { node.is_multiple_of(2) } else { node < 8 };
    spread.partition = Box::new(move |from, to| is_first(from) != is_first(to));
    spread.run(180_000, |_| false);
    assert!(lost_balancers(&spread) > 0, "each region takes the other for lost");
    spread.peers[0].merge_configuration(&[zone(2, true)], true);
    spread.run(IN_FORCE_MS, |_| false);
    for index in 0..16 {
        let revision = spread.peers[index].records().configuration_revision();
        assert_eq!(revision, if index < 8 { 2 } else { 1 }, "seed {seed}: balancer {index}");
    }
    spread.partition = Box::new(|_, _| false);
    let whole = |spread: &GossipSimulation| {
        all_have(spread, 2) && lost_balancers(spread) == 0 && lost_targets(spread) == 0
    };
    let took = spread.run(60_000, whole);
    assert!(took < 60_000, "seed {seed}: the regions do not come together");
}

/// Dead agents are declared lost everywhere, live ones never.
fn dead_targets(seed: u64) {
    let mut spread = started(12, 40, seed);
    for agent in 0..5 {
        spread.agents[agent].is_alive = false;
    }
    let took = spread.run(DETECT_MS, |spread| lost_targets(spread) == 5 * spread.peers.len());
    assert!(took < DETECT_MS, "seed {seed}: not detected");
    spread.run(30_000, |_| false);
    assert_eq!(lost_targets(&spread), 5 * spread.peers.len(), "seed {seed}");
}

/// All keepers of some targets die together with the targets; the rest still finds out.
fn keepers_die_too(seed: u64) {
    let mut spread = started(12, 24, seed);
    for agent in 0..4 {
        spread.agents[agent].is_alive = false;
    }
    for index in 3..9 {
        spread.running[index] = false;
    }
    let found = |spread: &GossipSimulation| {
        let survivors = (0..12).filter(|index| spread.running[*index]);
        survivors
            .map(|index| &spread.peers[index])
            .all(|peer| peer.records().targets().filter(|target| target.lost).count() == 4)
    };
    let took = spread.run(60_000, found);
    assert!(took < 60_000, "seed {seed}: dead targets stay");
    for index in 3..9 {
        spread.replace_balancer(index, 4);
    }
    let took = spread.run(30_000, |spread| lost_balancers(spread) == 0 && all_have(spread, 1));
    assert!(took < 30_000, "seed {seed}: replaced balancers do not come back");
}

fn for_seeds(test: impl Fn(u64)) {
    for seed in 0..5 {
        test(seed);
    }
}

cases! {
    balancer_cut_off: for_seeds(|seed| one_cut_off(seed, false));
    balancer_cut_off_from_balancers_only: for_seeds(|seed| one_cut_off(seed, true));
    regions_apart_for_minutes: for_seeds(regions_apart);
    dead_targets_are_found: for_seeds(dead_targets);
    keepers_and_targets_die_together: for_seeds(keepers_die_too);
}
