//! Network partitions and failed nodes, in a simulation of the gossip between balancers that runs the
//! production state machines in one process.

mod support;

use rhubarbthread::process::configuration::zone_key;
use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::ZoneRecord;
use rhubarbthread_standins::gossip_simulation::FIRST_AGENT;
use rhubarbthread_standins::gossip_simulation::GossipSimulation;

/// Time within which every balancer has an accepted configuration.
const CONFIGURATION_TIMEOUT_MS: u64 = 7_000;

/// Time within which every balancer has all records after the start.
const START_TIMEOUT_MS: u64 = 60_000;

/// Time within which every balancer counts a dead target as lost.
const DETECTION_TIMEOUT_MS: u64 = 12_000;

fn zone(revision: u64, out: bool) -> Record {
    assert!(zone_key("zone-1").ends_with("zone-1"));
    Record::Zone(ZoneRecord { revision, name: "zone-1".to_owned(), out })
}

fn start_simulation(balancers: usize, agents: usize, seed: u64) -> GossipSimulation {
    let mut simulation = GossipSimulation::new(balancers, agents, 4, 4, seed);
    simulation.peers[0].merge_configuration(&[zone(1, false)], true);
    let elapsed_ms = simulation.run(START_TIMEOUT_MS, |simulation| {
        have_all_records(simulation) && have_revision(simulation, 1)
    });
    assert!(elapsed_ms < START_TIMEOUT_MS, "seed {seed}: not all balancers have all records");
    simulation
}

fn have_all_records(simulation: &GossipSimulation) -> bool {
    let expected = simulation.peers.len() + simulation.agents.len() + 1;
    simulation.peers.iter().all(|peer| peer.records().len() == expected && peer.is_configured())
}

fn have_revision(simulation: &GossipSimulation, revision: u64) -> bool {
    simulation.peers.iter().all(|peer| peer.records().configuration_revision() == revision)
}

fn count_lost_balancers(simulation: &GossipSimulation) -> usize {
    let all = simulation.peers.len();
    simulation.peers.iter().map(|peer| all - peer.records().live_balancers().count()).sum()
}

fn count_lost_targets(simulation: &GossipSimulation) -> usize {
    let lost = |simulation: &GossipSimulation, peer: usize| {
        simulation.peers[peer].records().targets().filter(|target| target.lost).count()
    };
    (0..simulation.peers.len()).map(|peer| lost(simulation, peer)).sum()
}

/// One balancer is partitioned from all others, and from the agents unless it is reachable by them. It
/// keeps its last configuration and receives the change after the partition. The others get the change
/// in time, and no target counts as lost.
fn isolate_balancer(seed: u64, is_reachable_by_agents: bool) {
    let mut simulation = start_simulation(12, 24, seed);
    simulation.partition = Box::new(move |from, to| {
        let is_agent = from >= FIRST_AGENT;
        (from == 5 || to == 5) && !(is_agent && is_reachable_by_agents)
    });
    simulation.peers[0].merge_configuration(&[zone(2, true)], true);
    let others_are_updated = |simulation: &GossipSimulation| {
        let revision = |index: usize| simulation.peers[index].records().configuration_revision();
        (0..12).filter(|index| *index != 5).all(|index| revision(index) == 2)
    };
    let elapsed_ms = simulation.run(CONFIGURATION_TIMEOUT_MS, others_are_updated);
    assert!(
        elapsed_ms < CONFIGURATION_TIMEOUT_MS,
        "seed {seed}: the change is not in force at the other balancers"
    );
    simulation.run(20_000, |_| false);
    assert_eq!(
        simulation.peers[5].records().configuration_revision(),
        1,
        "the isolated balancer received the change"
    );
    let last_seen_ms = simulation.peers[5].balancer_last_seen_ms().unwrap_or(0);
    assert!(
        simulation.now_ms() - last_seen_ms > 15_000,
        "the isolated balancer has seen another one in the last 15 s"
    );
    assert_eq!(count_lost_targets(&simulation), 0, "seed {seed}: a target counts as lost");
    simulation.partition = Box::new(|_, _| false);
    let elapsed_ms = simulation.run(30_000, |simulation| {
        have_revision(simulation, 2) && count_lost_balancers(simulation) == 0
    });
    assert!(elapsed_ms < 30_000, "seed {seed}: the isolated balancer does not catch up");
}

/// Two regions are partitioned for three minutes. Each goes on by itself, and afterwards they agree
/// again.
fn partition_regions(seed: u64) {
    let mut simulation = start_simulation(16, 32, seed);
    // Agents with an even number are in the first region.
    let is_first =
        |node: usize| if node >= FIRST_AGENT { node.is_multiple_of(2) } else { node < 8 };
    simulation.partition = Box::new(move |from, to| is_first(from) != is_first(to));
    simulation.run(180_000, |_| false);
    assert!(
        count_lost_balancers(&simulation) > 0,
        "no balancer counts as lost during the partition"
    );
    simulation.peers[0].merge_configuration(&[zone(2, true)], true);
    simulation.run(CONFIGURATION_TIMEOUT_MS, |_| false);
    for index in 0..16 {
        let revision = simulation.peers[index].records().configuration_revision();
        assert_eq!(revision, if index < 8 { 2 } else { 1 }, "seed {seed}: balancer {index}");
    }
    simulation.partition = Box::new(|_, _| false);
    let is_converged = |simulation: &GossipSimulation| {
        have_revision(simulation, 2)
            && count_lost_balancers(simulation) == 0
            && count_lost_targets(simulation) == 0
    };
    let elapsed_ms = simulation.run(60_000, is_converged);
    assert!(elapsed_ms < 60_000, "seed {seed}: the regions do not agree after the partition");
}

/// Every balancer declares dead agents lost, and never a live one.
fn kill_agents(seed: u64) {
    let mut simulation = start_simulation(12, 40, seed);
    for agent in 0..5 {
        simulation.agents[agent].is_alive = false;
    }
    let elapsed_ms = simulation.run(DETECTION_TIMEOUT_MS, |simulation| {
        count_lost_targets(simulation) == 5 * simulation.peers.len()
    });
    assert!(
        elapsed_ms < DETECTION_TIMEOUT_MS,
        "seed {seed}: the dead agents are not declared lost"
    );
    simulation.run(30_000, |_| false);
    assert_eq!(count_lost_targets(&simulation), 5 * simulation.peers.len(), "seed {seed}");
}

/// All monitors of some targets die together with the targets; the other balancers still detect it.
fn kill_monitors_and_targets(seed: u64) {
    let mut simulation = start_simulation(12, 24, seed);
    for agent in 0..4 {
        simulation.agents[agent].is_alive = false;
    }
    for index in 3..9 {
        simulation.running[index] = false;
    }
    let is_detected = |simulation: &GossipSimulation| {
        let survivors = (0..12).filter(|index| simulation.running[*index]);
        survivors
            .map(|index| &simulation.peers[index])
            .all(|peer| peer.records().targets().filter(|target| target.lost).count() == 4)
    };
    let elapsed_ms = simulation.run(60_000, is_detected);
    assert!(elapsed_ms < 60_000, "seed {seed}: dead targets do not count as lost");
    for index in 3..9 {
        simulation.replace_balancer(index, 4);
    }
    let elapsed_ms = simulation.run(30_000, |simulation| {
        count_lost_balancers(simulation) == 0 && have_revision(simulation, 1)
    });
    assert!(elapsed_ms < 30_000, "seed {seed}: the replaced balancers do not catch up");
}

fn for_seeds(test: impl Fn(u64)) {
    for seed in 0..5 {
        test(seed);
    }
}

cases! {
    balancer_cut_off: for_seeds(|seed| isolate_balancer(seed, false));
    balancer_cut_off_from_balancers_only: for_seeds(|seed| isolate_balancer(seed, true));
    regions_apart_for_minutes: for_seeds(partition_regions);
    dead_targets_are_found: for_seeds(kill_agents);
    keepers_and_targets_die_together: for_seeds(kill_monitors_and_targets);
}
