//! Status of the nodes that handle passed-through flows, from the store and the balancers.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::error::Error;
use crate::error::Result;
use crate::process::passthrough::BALANCERS_PREFIX;
use crate::process::passthrough::OperatorItems;
use crate::process::passthrough::PROGRAM_PREFIX;
use crate::process::passthrough::TARGETS_PREFIX;
use crate::process::passthrough::exchange;
use crate::process::passthrough::exchange::AgentView;
use crate::process::passthrough::exchange::BalancerView;
use crate::process::passthrough::registration::NodeEntry;
use crate::process::status::NodeStatus;
use crate::process::status::Status;
use crate::process::status::query_all;
use crate::process::store::Store;
use crate::process::store::StoreSnapshot;
use crate::version::store_position::StorePosition;

/// Contents of the store; empty if it does not answer.
#[derive(Default)]
struct StoreContents {
    newest_change: Option<StorePosition>,
    zones_out: Vec<String>,
    balancers: Vec<SocketAddrV4>,
    agents: IndexMap<SocketAddrV4, String>,
}

/// Collects the status from the store, the balancers that it names, the seeds, and all balancers that these
/// consider live.
pub async fn collect(
    store: &dyn Store,
    operator_items: &dyn OperatorItems,
    seeds: &[SocketAddrV4],
) -> Result<Status> {
    let store_contents = read_store(store, operator_items).await;
    let addresses = store_contents.balancers.iter().chain(seeds).copied().collect();
    let client = exchange::client();
    let (views, unreachable) = query_all(
        addresses,
        async |address| exchange::fetch_view(&client, address).await,
        |view: &BalancerView| view.balancers.clone(),
    )
    .await;
    let mut unreachable: Vec<String> =
        unreachable.iter().map(|(address, cause)| format!("{address}: {cause}")).collect();
    unreachable.sort_unstable();
    if views.is_empty() {
        let message =
            "no balancer answered the status request; check the setting `seeds`".to_owned();
        return Err(Error::Admin { message });
    }
    let mut nodes: Vec<NodeStatus> = views
        .iter()
        .map(|(address, view)| balancer_node(*address, view, store_contents.newest_change))
        .collect();
    nodes.extend(agent_nodes(&store_contents, views.values()));
    nodes.sort_by(|a, b| (b.role, &a.node).cmp(&(a.role, &b.node)));
    Ok(Status {
        store_era: store_contents.newest_change.map_or(0, |position| position.era),
        store_revision: store_contents.newest_change.map(|position| position.revision),
        zones_out: store_contents.zones_out,
        nodes,
        unreachable,
    })
}

async fn read_store(store: &dyn Store, operator_items: &dyn OperatorItems) -> StoreContents {
    // A store that does not answer is shown in the status, not reported as an error.
    let Ok(operators) = store.range(operator_items.prefix()).await else {
        return StoreContents::default();
    };
    let Ok(own) = store.range(PROGRAM_PREFIX).await else {
        return StoreContents::default();
    };
    let zones = operators.values.iter().filter_map(|value| operator_items.zone_of(&value.key));
    StoreContents {
        newest_change: operators
            .values
            .iter()
            .map(|value| value.position)
            .max()
            .or(Some(StorePosition::new(operators.position.era, 0))),
        zones_out: zones.map(str::to_owned).collect(),
        balancers: entries(&own, BALANCERS_PREFIX).map(|entry| entry.data).collect(),
        agents: entries(&own, TARGETS_PREFIX).map(|entry| (entry.data, entry.zone)).collect(),
    }
}

fn entries<'a>(own: &'a StoreSnapshot, prefix: &'a str) -> impl Iterator<Item = NodeEntry> + 'a {
    let matching = own.values.iter().filter(move |value| value.key.starts_with(prefix));
    matching.filter_map(|value| NodeEntry::decode(&value.value))
}

fn balancer_node(
    address: SocketAddrV4,
    view: &BalancerView,
    newest_change: Option<StorePosition>,
) -> NodeStatus {
    let readiness = if view.is_ready { "ready" } else { "not ready" };
    let mut state = format!("{readiness} {}", view.node);
    if !view.held_zones.is_empty() {
        state.push_str(&format!(" holds zones {}", view.held_zones.join(", ")));
    }
    let in_force = StorePosition::new(view.store_era, view.newest_change);
    NodeStatus {
        role: "balancer",
        node: address.to_string(),
        availability_zone: view.availability_zone.clone(),
        state,
        revision: Some(view.newest_change),
        lags: newest_change.is_some_and(|newest| in_force < newest),
    }
}

/// Agents that the store names or a balancer knows. The state that a balancer reports for a live agent takes
/// precedence.
fn agent_nodes<'a>(
    store_contents: &StoreContents,
    views: impl Iterator<Item = &'a BalancerView>,
) -> Vec<NodeStatus> {
    let mut nodes: IndexMap<SocketAddrV4, NodeStatus> = IndexMap::new();
    for (data, zone) in &store_contents.agents {
        nodes.insert(*data, agent_node(*data, zone, "not heard".to_owned()));
    }
    for AgentView { data, availability_zone, is_alive, state } in
        views.flat_map(|view| view.agents.iter())
    {
        if *is_alive {
            nodes.insert(*data, agent_node(*data, availability_zone, state.clone()));
        } else {
            let not_seen = || agent_node(*data, availability_zone, format!("not heard {state}"));
            nodes.entry(*data).or_insert_with(not_seen);
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
