//! Status of the nodes for passed-through flows: what the store holds, and what the balancers say.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::error::Error;
use crate::error::Result;
use crate::process::passthrough::BALANCERS_PREFIX;
use crate::process::passthrough::OWN_PREFIX;
use crate::process::passthrough::OperatorItems;
use crate::process::passthrough::TARGETS_PREFIX;
use crate::process::passthrough::exchange;
use crate::process::passthrough::exchange::AgentView;
use crate::process::passthrough::exchange::BalancerView;
use crate::process::passthrough::registration::NodeEntry;
use crate::process::status::NodeStatus;
use crate::process::status::Status;
use crate::process::status::ask_all;
use crate::process::store::Store;
use crate::process::store::StoreSnapshot;

/// What the store holds; nothing where it does not answer.
#[derive(Default)]
struct Stored {
    newest_change: Option<u64>,
    zones_out: Vec<String>,
    balancers: Vec<SocketAddrV4>,
    agents: IndexMap<SocketAddrV4, String>,
}

/// Asks the store, the balancers that it names, the seeds, and the balancers that these hear.
pub async fn collect(
    store: &dyn Store,
    operator_items: &dyn OperatorItems,
    seeds: &[SocketAddrV4],
) -> Result<Status> {
    let stored = read_store(store, operator_items).await;
    let named = stored.balancers.iter().chain(seeds).copied().collect();
    let client = exchange::client();
    let (views, unreachable) = ask_all(
        named,
        async |address| exchange::fetch_view(&client, address).await,
        |view: &BalancerView| view.balancers.clone(),
    )
    .await;
    let mut unreachable: Vec<String> =
        unreachable.iter().map(|(address, cause)| format!("{address}: {cause}")).collect();
    unreachable.sort_unstable();
    if views.is_empty() {
        let message = "no balancer answers; set seeds".to_owned();
        return Err(Error::Admin { message });
    }
    let mut nodes: Vec<NodeStatus> = views
        .iter()
        .map(|(address, view)| balancer_node(*address, view, stored.newest_change))
        .collect();
    nodes.extend(agent_nodes(&stored, views.values()));
    nodes.sort_by(|a, b| (b.role, &a.node).cmp(&(a.role, &b.node)));
    Ok(Status {
        store_revision: stored.newest_change,
        zones_out: stored.zones_out,
        nodes,
        unreachable,
    })
}

async fn read_store(store: &dyn Store, operator_items: &dyn OperatorItems) -> Stored {
    // That the store does not answer is part of the status.
    let Ok(operators) = store.range(operator_items.prefix()).await else {
        return Stored::default();
    };
    let Ok(own) = store.range(OWN_PREFIX).await else {
        return Stored::default();
    };
    let zones = operators.values.iter().filter_map(|value| operator_items.zone_of(&value.key));
    Stored {
        newest_change: operators.values.iter().map(|value| value.revision).max().or(Some(0)),
        zones_out: zones.map(str::to_owned).collect(),
        balancers: entries(&own, BALANCERS_PREFIX).map(|entry| entry.data).collect(),
        agents: entries(&own, TARGETS_PREFIX).map(|entry| (entry.data, entry.zone)).collect(),
    }
}

fn entries<'a>(own: &'a StoreSnapshot, prefix: &'a str) -> impl Iterator<Item = NodeEntry> + 'a {
    let under = own.values.iter().filter(move |value| value.key.starts_with(prefix));
    under.filter_map(|value| NodeEntry::decode(&value.value))
}

fn balancer_node(
    address: SocketAddrV4,
    view: &BalancerView,
    newest_change: Option<u64>,
) -> NodeStatus {
    NodeStatus {
        role: "balancer",
        node: address.to_string(),
        availability_zone: view.availability_zone.clone(),
        state: format!("{} {}", if view.is_ready { "ready" } else { "not ready" }, view.node),
        revision: Some(view.newest_change),
        lags: newest_change.is_some_and(|newest| view.newest_change < newest),
    }
}

/// Agents that the store names or a balancer knows. One that some balancer hears is taken as it says.
fn agent_nodes<'a>(
    stored: &Stored,
    views: impl Iterator<Item = &'a BalancerView>,
) -> Vec<NodeStatus> {
    let mut nodes: IndexMap<SocketAddrV4, NodeStatus> = IndexMap::new();
    for (data, zone) in &stored.agents {
        nodes.insert(*data, agent_node(*data, zone, "not heard".to_owned()));
    }
    for AgentView { data, availability_zone, is_alive, state } in
        views.flat_map(|view| view.agents.iter())
    {
        if *is_alive {
            nodes.insert(*data, agent_node(*data, availability_zone, state.clone()));
        } else {
            let silent = || agent_node(*data, availability_zone, format!("not heard {state}"));
            nodes.entry(*data).or_insert_with(silent);
        }
    }
    nodes.into_values().collect()
}

fn agent_node(data: SocketAddrV4, zone: &str, state: String) -> NodeStatus {
    NodeStatus {
        role: "agent",
        node: data.to_string(),
        availability_zone: zone.to_owned(),
        state,
        revision: None,
        lags: false,
    }
}
