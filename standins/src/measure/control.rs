//! Cost of the control plane: real daemons at small sizes, and simulated gossip at the sizes of future
//! deployments.

use std::time::Duration;
use std::time::Instant;

use rhubarbthread::version::record::Record;
use rhubarbthread::version::record::ServiceRecord;
use rhubarbthread::version::record::ZoneRecord;
use serde_json::json;
use tokio::time::sleep;

use crate::gossip_simulation::GossipSimulation;
use crate::measure::process_stats;
use crate::measure::report::Report;
use crate::system::Programs;
use crate::system::ServicePlan;
use crate::system::System;
use crate::system::SystemPlan;

/// Sizes with real daemons: number of balancers, with the same number of agents.
const DAEMON_COUNTS: [usize; 3] = [3, 10, 30];

/// Sizes of the simulation: balancers, agents, services.
const SIMULATION_SIZES: [(usize, usize, usize); 3] =
    [(50, 250, 38), (170, 860, 130), (670, 3_400, 510)];

const ZONES: usize = 7;
const SETTLE_TIME: Duration = Duration::from_secs(8);
const IDLE_TIME: Duration = Duration::from_secs(20);
const SUBNET: u8 = 251;

/// Longest simulated time until all balancers have all records, in milliseconds.
const SETTLE_MS: u64 = 30_000;
/// Simulated time over which idle traffic is counted, in milliseconds.
const TRAFFIC_SAMPLE_MS: u64 = 10_000;

/// Number of configuration changes that are timed.
const TIMED_CHANGES: u64 = 10;

/// Simulated time of the churn measurement, in milliseconds. With 2,300 changes and 492 restarts a day, fewer
/// than one of each falls into this time on average, so one of each is more than the usual churn.
const CHURN_MS: u64 = 20_000;
const CHURN_CHANGES: u64 = 1;
const CHURN_RESTARTS: usize = 1;

/// Measures real daemons at all sizes.
pub async fn run_all_daemons(programs: &Programs, report: &mut Report) {
    for (index, nodes) in DAEMON_COUNTS.iter().enumerate() {
        run_daemons(programs, *nodes, SUBNET + index as u8, report).await;
    }
}

/// Measures the simulation at all sizes.
pub fn run_all_simulations(report: &mut Report) {
    for (balancers, agents, services) in SIMULATION_SIZES {
        run_simulation(balancers, agents, services, report);
    }
}

async fn run_daemons(programs: &Programs, nodes: usize, subnet: u8, report: &mut Report) {
    let folder =
        std::env::temp_dir().join(format!("rhubarbthread-control-{}-{nodes}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    let services = vec![ServicePlan::new("vypocet", nodes, 9)];
    let mut plan = SystemPlan::new(subnet).with_services(services);
    plan.balancers = nodes;
    let start = Instant::now();
    let system = System::start(plan, programs.clone(), &folder).await;
    let ready_ms = start.elapsed().as_millis();
    sleep(SETTLE_TIME).await;
    let before = sample(&system).await;
    sleep(IDLE_TIME).await;
    let after = sample(&system).await;
    let per_node =
        |index: usize| (after[index] - before[index]) / nodes as f64 / IDLE_TIME.as_secs_f64();
    let revision = newest_revision(&system).await;
    let change = Instant::now();
    system.set_zone("olomouc-b", true);
    let in_force_after_ms = wait_until_in_force(&system, revision + 1, change).await;
    let calls = system.store.calls();
    report.add(json!({
        "measure": "control-daemons",
        "balancers": nodes,
        "agents": nodes,
        "ready_ms": ready_ms,
        "balancer_sent_bytes_per_s": per_node(0).round(),
        "balancer_received_bytes_per_s": per_node(1).round(),
        "balancer_cpu_percent": (per_node(2) * 10_000.0).round() / 100.0,
        "agent_cpu_percent": (per_node(3) * 10_000.0).round() / 100.0,
        "balancer_rss_kb": after[4] / nodes as f64,
        "agent_rss_kb": after[5] / nodes as f64,
        "change_in_force_everywhere_ms": in_force_after_ms,
        "store_calls": calls,
    }));
    drop(system);
    // An error is ignored: the folder only contains logs and generated files.
    let _ = std::fs::remove_dir_all(folder);
}

/// Sums over all nodes: bytes sent and received by balancers, processor seconds of balancers and of agents,
/// resident kilobytes of balancers and of agents.
async fn sample(system: &System) -> [f64; 6] {
    let mut sums = [0.0; 6];
    for (index, balancer) in system.balancers.iter().enumerate() {
        let status = system.status(system.balancer_admin(index)).await.unwrap_or_default();
        sums[0] += status["control_sent_bytes"].as_f64().unwrap_or(0.0);
        sums[1] += status["control_received_bytes"].as_f64().unwrap_or(0.0);
        let pid = balancer.as_ref().expect("the balancer is running").id();
        sums[2] += process_stats::cpu_s(pid);
        sums[4] += process_stats::rss_kb(pid) as f64;
    }
    for place in &system.places {
        let pid = place.agent.as_ref().expect("the agent is running").id();
        sums[3] += process_stats::cpu_s(pid);
        sums[5] += process_stats::rss_kb(pid) as f64;
    }
    sums
}

async fn newest_revision(system: &System) -> u64 {
    let status = system.status(system.balancer_admin(0)).await.unwrap_or_default();
    status["configuration_revision"].as_u64().unwrap_or(0)
}

/// Waits until every balancer has the configuration revision; returns the milliseconds since `change`.
async fn wait_until_in_force(system: &System, revision: u64, change: Instant) -> u128 {
    let has_revision = async |system: &System| {
        for index in 0..system.balancers.len() {
            let status = system.status(system.balancer_admin(index)).await.unwrap_or_default();
            if status["configuration_revision"].as_u64() < Some(revision) {
                return false;
            }
        }
        true
    };
    system.wait_for("the change is in force", Duration::from_secs(30), has_revision).await;
    change.elapsed().as_millis()
}

fn run_simulation(balancers: usize, agents: usize, services: usize, report: &mut Report) {
    let mut simulation = GossipSimulation::new(balancers, agents, services, ZONES, 1);
    let configuration: Vec<Record> = (0..services).map(|index| service(index, 1)).collect();
    simulation.preload(&configuration);
    let expected = balancers + agents + services;
    let knows_all = move |simulation: &GossipSimulation| {
        simulation.peers.iter().all(|peer| peer.records().len() == expected && peer.is_configured())
    };
    let settled_ms = simulation.run(SETTLE_MS, knows_all);
    simulation.run(4_000, |_| false);
    let idle = sample_traffic(&mut simulation, TRAFFIC_SAMPLE_MS, balancers);
    let times = time_changes(&mut simulation);
    let (churn, _) = count_churn(&mut simulation, balancers);
    let (ready_ms, ready_bytes) = time_new_balancer(&mut simulation, expected);
    let loss_ms = time_target_loss(&mut simulation);
    report.add(json!({
        "measure": "control-loop",
        "balancers": balancers,
        "agents": agents,
        "services": services,
        "settled_ms": settled_ms,
        "idle_sent_bytes_per_s": idle.0,
        "idle_received_bytes_per_s": idle.1,
        "idle_sent_messages_per_s": idle.2,
        "idle_worst_sent_bytes_per_s": idle.3,
        "idle_cpu_percent_of_a_core": idle.4,
        "churn_sent_bytes_per_s": churn,
        "change_last_node_ms_median": times[times.len() / 2],
        "change_last_node_ms_worst": times[times.len() - 1],
        "dead_target_last_node_ms": loss_ms,
        "newcomer_ready_ms": ready_ms,
        "newcomer_received_bytes": ready_bytes,
    }));
}

fn service(index: usize, revision: u64) -> Record {
    Record::Service(ServiceRecord {
        revision,
        name: format!("service-{index}"),
        removed: false,
        number: index as u16,
        address: std::net::SocketAddr::from((
            [10, 0, (index / 250) as u8, (index % 250) as u8],
            443,
        )),
        first_limit: 2,
        growth_answers: 10,
        request_deadline_ms: 30_000,
        retry_budget_percent: 10,
        zones: Vec::new(),
        stream_paths: vec!["/stream".to_owned()],
    })
}

/// Means per balancer: bytes sent, bytes received and messages sent per second. Then the bytes sent per
/// second by the balancer that sent most, and the mean processor time per balancer in percent of a core.
fn sample_traffic(
    simulation: &mut GossipSimulation,
    duration_ms: u64,
    balancers: usize,
) -> (f64, f64, f64, f64, f64) {
    simulation.reset_traffic();
    let start = Instant::now();
    simulation.run(duration_ms, |_| false);
    let cpu = start.elapsed().as_secs_f64();
    let seconds = duration_ms as f64 / 1000.0;
    let sum = |value: fn(&crate::gossip_simulation::NodeTraffic) -> u64| {
        simulation.traffic.iter().map(value).sum::<u64>() as f64 / balancers as f64 / seconds
    };
    let worst = simulation.traffic.iter().map(|traffic| traffic.sent_bytes).max().unwrap_or(0);
    (
        sum(|traffic| traffic.sent_bytes).round(),
        sum(|traffic| traffic.received_bytes).round(),
        (sum(|traffic| traffic.sent_messages) * 10.0).round() / 10.0,
        (worst as f64 / seconds).round(),
        (cpu / balancers as f64 / seconds * 100_000.0).round() / 1000.0,
    )
}

/// Times until each of several changes has reached all balancers, in milliseconds, sorted.
fn time_changes(simulation: &mut GossipSimulation) -> Vec<u64> {
    let mut times = Vec::new();
    for change in 0..TIMED_CHANGES {
        let revision = 10 + change;
        let name = "zone-1".to_owned();
        let record = Record::Zone(ZoneRecord { revision, name, out: change % 2 == 0 });
        let reader = (change as usize * 7) % simulation.peers.len();
        simulation.peers[reader].merge_configuration(&[record], true);
        let all_have = |simulation: &GossipSimulation| {
            let revision_of = |peer: &rhubarbthread::version::peer::GossipState| {
                peer.records().configuration_revision()
            };
            simulation.peers.iter().all(|peer| revision_of(peer) >= revision)
        };
        times.push(simulation.run(60_000, all_have));
    }
    times.sort_unstable();
    times
}

/// Bytes sent per second and balancer during churn, and the duration in milliseconds. A service changes, a
/// target restarts, and a balancer is replaced.
fn count_churn(simulation: &mut GossipSimulation, balancers: usize) -> (f64, u64) {
    simulation.reset_traffic();
    for change in 0..CHURN_CHANGES {
        simulation.peers[3].merge_configuration(&[service(change as usize, 100 + change)], true);
    }
    for agent in 0..CHURN_RESTARTS {
        simulation.agents[agent].record.incarnation += 1;
    }
    simulation.replace_balancer(balancers / 2, ZONES);
    let elapsed_ms = simulation.run(CHURN_MS, |_| false);
    let sent: u64 = simulation.traffic.iter().map(|traffic| traffic.sent_bytes).sum();
    ((sent as f64 / balancers as f64 / (CHURN_MS as f64 / 1000.0)).round(), elapsed_ms)
}

/// Time in milliseconds and bytes received until a replaced balancer has all records.
fn time_new_balancer(simulation: &mut GossipSimulation, expected: usize) -> (u64, u64) {
    let index = simulation.peers.len() - 1;
    simulation.replace_balancer(index, ZONES);
    simulation.traffic[index] = Default::default();
    let is_synchronized = move |simulation: &GossipSimulation| {
        let peer = &simulation.peers[index];
        peer.is_configured() && peer.records().len() > expected
    };
    let elapsed_ms = simulation.run(60_000, is_synchronized);
    (elapsed_ms, simulation.traffic[index].received_bytes)
}

/// Time until all balancers have marked a failed target as lost, in milliseconds.
fn time_target_loss(simulation: &mut GossipSimulation) -> u64 {
    simulation.agents[5].is_alive = false;
    let data = simulation.agents[5].record.data;
    let all_know = move |simulation: &GossipSimulation| {
        let is_lost = |peer: &rhubarbthread::version::peer::GossipState| {
            peer.records().target(data).is_some_and(|target| target.lost)
        };
        simulation.peers.iter().all(is_lost)
    };
    simulation.run(60_000, all_know)
}
