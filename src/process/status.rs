//! Status of the system for operators: which node has which configuration in force.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::error::EXIT_FAILURE;
use crate::error::EXIT_SUCCESS;
use crate::error::Error;
use crate::error::Result;
use crate::process::configuration::CONFIGURATION_PREFIX;
use crate::process::configuration::parse_record;
use crate::process::store::Store;
use crate::version::record::Record;
use crate::version::records::configuration_digest;

/// Time-out of the request to one node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Status requests that run at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Response of a balancer to `GET /status`.
#[derive(Clone, Debug, Deserialize)]
struct BalancerStatus {
    node: String,
    availability_zone: String,
    unready_reason: Option<String>,
    configuration_revision: u64,
    configuration_digest: String,
    balancers: Vec<BalancerEntry>,
    targets: Vec<TargetEntry>,
    /// Agents that the balancer monitors.
    kept: Vec<MonitoredAgentEntry>,
}

#[derive(Clone, Debug, Deserialize)]
struct BalancerEntry {
    admin: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
struct TargetEntry {
    agent: String,
    service: String,
    availability_zone: String,
    phase: String,
    lost: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct MonitoredAgentEntry {
    agent: String,
    /// Whether the agent lacks configuration that the balancer has.
    lags: bool,
}

/// Status of one node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// `balancer` or `agent`.
    pub role: &'static str,
    /// Address that identifies the node.
    pub node: String,
    /// Availability zone of the node.
    pub availability_zone: String,
    /// Readiness of a balancer; phase and service of an agent's target.
    pub state: String,
    /// Configuration revision in force; `None` if the node reports only a digest of its configuration.
    pub revision: Option<u64>,
    /// Whether the node lacks changes that are in the store.
    pub lags: bool,
}

/// Status of the system.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Era of the store; 0 if it reports none.
    pub store_era: u64,
    /// Revision of the newest change in the store; `None` if the store did not answer.
    pub store_revision: Option<u64>,
    /// Availability zones that are out of service.
    pub zones_out: Vec<String>,
    /// Balancers that answered, and all known agents.
    pub nodes: Vec<NodeStatus>,
    /// Addresses of balancers that did not answer.
    pub unreachable: Vec<String>,
}

impl Status {
    /// Whether the store and every balancer answered, and no node lacks changes.
    pub fn is_current(&self) -> bool {
        self.store_revision.is_some()
            && self.unreachable.is_empty()
            && !self.nodes.iter().any(|node| node.lags)
    }

    /// Prints the status as text or JSON, and returns the exit code: a failure unless everything is current.
    pub fn print(&self, as_json: bool) -> i32 {
        if as_json {
            let text = serde_json::to_string_pretty(self).expect("a status always serialises");
            println!("{text}");
        } else {
            print!("{}", self.to_text());
        }
        if self.is_current() { EXIT_SUCCESS } else { EXIT_FAILURE }
    }

    /// Formats the status as text, one line for each node.
    pub fn to_text(&self) -> String {
        let mut lines = Vec::new();
        match self.store_revision {
            Some(revision) if self.store_era > 0 => {
                lines.push(format!("store: era {}, revision {revision}", self.store_era));
            }
            Some(revision) => lines.push(format!("store: revision {revision}")),
            None => lines.push("store: no answer".to_owned()),
        }
        if !self.zones_out.is_empty() {
            lines.push(format!("zones out: {}", self.zones_out.join(", ")));
        }
        for node in &self.nodes {
            let revision = node.revision.map_or(String::new(), |revision| format!(" {revision}"));
            let lags = if node.lags { "LAGS" } else { "in force" };
            lines.push(format!(
                "{:<9} {:<21} {:<16} {:<9}{revision} {}",
                node.role, node.node, node.availability_zone, lags, node.state,
            ));
        }
        for address in &self.unreachable {
            lines.push(format!("no answer from {address}"));
        }
        lines.join("\n") + "\n"
    }
}

/// Collects the status from the store, the balancers at `seeds`, and all balancers that these know.
pub async fn collect(store: &dyn Store, seeds: &[SocketAddrV4]) -> Result<Status> {
    let snapshot = store.range(CONFIGURATION_PREFIX).await.ok();
    let records: Option<Vec<Record>> =
        snapshot.map(|snapshot| snapshot.values.iter().filter_map(parse_record).collect());
    let mut status = Status {
        store_era: 0,
        store_revision: records.as_ref().map(|records| newest_revision(records)),
        zones_out: records.as_deref().map_or_else(Vec::new, zones_out),
        nodes: Vec::new(),
        unreachable: Vec::new(),
    };
    let digest = records.map(|records| format!("{:016x}", configuration_digest(records.iter())));
    let client = reqwest::Client::new();
    let (answers, unreachable) = query_all(
        seeds.iter().copied().collect(),
        async |address| query_balancer(&client, address).await,
        |answer| answer.balancers.iter().map(|balancer| balancer.admin).collect(),
    )
    .await;
    status.unreachable = unreachable.iter().map(|(address, _)| address.to_string()).collect();
    if answers.is_empty() {
        let message =
            "no balancer answered the status request; check the setting `admin_seeds`".to_owned();
        return Err(Error::Admin { message });
    }
    for answer in answers.values() {
        status.nodes.push(balancer_node(answer, digest.as_deref()));
    }
    status.nodes.extend(agent_nodes(answers.values()));
    status.nodes.sort_by(|a, b| (b.role, &a.node).cmp(&(a.role, &b.node)));
    Ok(status)
}

/// Queries the given nodes and, transitively, the nodes that their answers name (`linked_nodes`), each once.
/// Returns the answers, and the addresses that did not answer with the cause.
pub async fn query_all<T>(
    mut pending: IndexSet<SocketAddrV4>,
    query: impl AsyncFn(SocketAddrV4) -> Result<T, String>,
    linked_nodes: impl Fn(&T) -> Vec<SocketAddrV4>,
) -> (IndexMap<SocketAddrV4, T>, Vec<(SocketAddrV4, String)>) {
    let mut answers = IndexMap::new();
    let mut unreachable = Vec::new();
    let mut queried: IndexSet<SocketAddrV4> = IndexSet::new();
    while !pending.is_empty() {
        queried.extend(pending.iter().copied());
        let round: Vec<_> = stream::iter(std::mem::take(&mut pending))
            .map(async |address| (address, query(address).await))
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await;
        for (address, answer) in round {
            match answer {
                Ok(answer) => {
                    pending.extend(
                        linked_nodes(&answer).into_iter().filter(|other| !queried.contains(other)),
                    );
                    answers.insert(address, answer);
                }
                Err(message) => unreachable.push((address, message)),
            }
        }
        pending.sort_unstable();
    }
    (answers, unreachable)
}

async fn query_balancer(
    client: &reqwest::Client,
    address: SocketAddrV4,
) -> Result<BalancerStatus, String> {
    let request = client.get(format!("http://{address}/status")).timeout(REQUEST_TIMEOUT);
    let response = request.send().await.map_err(|error| error.to_string())?;
    response.json().await.map_err(|error| error.to_string())
}

fn balancer_node(answer: &BalancerStatus, digest: Option<&str>) -> NodeStatus {
    NodeStatus {
        role: "balancer",
        node: answer.node.clone(),
        availability_zone: answer.availability_zone.clone(),
        state: answer.unready_reason.clone().unwrap_or_else(|| "ready".to_owned()),
        revision: Some(answer.configuration_revision),
        lags: digest.is_some_and(|digest| digest != answer.configuration_digest),
    }
}

/// Agents in the answers of the balancers. An agent is current if at least one balancer that monitors it sees
/// its own configuration there. Lost agents and agents whose target is gone do not count as lagging.
fn agent_nodes<'a>(answers: impl Iterator<Item = &'a BalancerStatus>) -> Vec<NodeStatus> {
    let mut nodes: IndexMap<String, NodeStatus> = IndexMap::new();
    let mut current: IndexSet<String> = IndexSet::new();
    for answer in answers {
        for target in &answer.targets {
            let state = if target.lost { "lost" } else { &target.phase };
            nodes.entry(target.agent.clone()).or_insert_with(|| NodeStatus {
                role: "agent",
                node: target.agent.clone(),
                availability_zone: target.availability_zone.clone(),
                state: format!("{state} {}", target.service),
                revision: None,
                lags: !target.lost && target.phase != "gone",
            });
        }
        let up_to_date = answer.kept.iter().filter(|entry| !entry.lags);
        current.extend(up_to_date.map(|entry| entry.agent.clone()));
    }
    for agent in current {
        if let Some(node) = nodes.get_mut(&agent) {
            node.lags = false;
        }
    }
    nodes.into_values().collect()
}

fn newest_revision(records: &[Record]) -> u64 {
    records.iter().map(|record| record.order().major).max().unwrap_or(0)
}

fn zones_out(records: &[Record]) -> Vec<String> {
    let out = |record: &Record| match record {
        Record::Zone(zone) if zone.out => Some(zone.name.clone()),
        _ => None,
    };
    records.iter().filter_map(out).collect()
}
