//! HTTP endpoint of a balancer: its configuration, for other balancers that the store refuses to serve, and its
//! view of the nodes and its explanations of placements, for operators.

use std::net::SocketAddrV4;
use std::time::Duration;

use prost::Message;
use reqwest::Client;
use reqwest::Response;
use rocket::State;
use rocket::get;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::flow_key::FlowKey;
use crate::process::passthrough::explanation::Explanation;
use crate::process::store::StoreSnapshot;
use crate::process::store::StoreValue;
use crate::process::store_eras::can_follow;
use crate::version::store_position::StorePosition;
use crate::version::store_position::UNKNOWN_ERA;
use crate::version::zones_out::HeldZone;
use crate::wire;
use crate::wire::ConfigurationItem;
use crate::wire::ConfigurationSnapshot;

/// Time-out of a call to another balancer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Status of the answer to a request for something that a balancer does not serve.
const NOT_FOUND: &str = "404 Not Found";

/// An agent and its target, as a balancer sees them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentView {
    /// Address at which the agent receives segments.
    pub data: SocketAddrV4,
    /// Availability zone.
    pub availability_zone: String,
    /// Whether the agent was seen recently, or is presumed alive.
    pub is_alive: bool,
    /// Phase and load of the target; empty if the agent has never sent its status.
    pub state: String,
}

/// A balancer and the other nodes, as the balancer sees them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BalancerView {
    /// Name of the balancer's node.
    pub node: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Whether the balancer is ready for traffic.
    pub is_ready: bool,
    /// Era of the store in which that revision was given out; 0 if the store reports none.
    #[serde(default)]
    pub store_era: u64,
    /// Revision of the newest configuration change that is in force at the balancer.
    pub newest_change: u64,
    /// Time since the store last answered this balancer about the operators' items, in milliseconds.
    #[serde(default)]
    pub store_answer_age_ms: u64,
    /// Availability zones that are out since before the store returned from an older copy.
    #[serde(default)]
    pub held_zones: Vec<String>,
    /// Exchange addresses of the other live balancers.
    pub balancers: Vec<SocketAddrV4>,
    /// Agents that the balancer knows.
    pub agents: Vec<AgentView>,
}

/// Source of the data that the endpoint serves.
pub trait ExchangeSource: Send + Sync {
    /// Configuration in force at this balancer.
    fn snapshot(&self) -> ConfigurationSnapshot;

    /// This balancer's view of itself and the other nodes.
    fn view(&self) -> BalancerView;

    /// Where this balancer would place a flow now.
    fn explain(&self, flow: &FlowKey) -> ExplainAnswer;
}

/// A balancer's answer to the question where it would place a flow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainAnswer {
    /// The placement.
    Explanation(Box<Explanation>),
    /// Why there is none.
    Error(String),
    /// Why this balancer cannot tell yet.
    Undecided(String),
}

type Source = std::sync::Arc<dyn ExchangeSource>;

#[get("/configuration")]
fn configuration(source: &State<Source>) -> Vec<u8> {
    source.snapshot().encode_to_vec()
}

#[get("/nodes")]
fn nodes(source: &State<Source>) -> Json<BalancerView> {
    Json(source.view())
}

#[get("/placement?<caller>&<route>")]
fn placement(
    source: &State<Source>,
    caller: SocketAddrV4,
    route: SocketAddrV4,
) -> Json<ExplainAnswer> {
    Json(source.explain(&FlowKey { caller, service: route }))
}

/// Mounts the endpoint at `/exchange`.
pub fn mount(
    server: rocket::Rocket<rocket::Build>,
    source: Source,
) -> rocket::Rocket<rocket::Build> {
    server.manage(source).mount("/exchange", routes![configuration, nodes, placement])
}

/// Creates a client for calls to other balancers. It uses no proxy, as balancers are called by IP address, and
/// a connection for each call: calls are rare, and an idle connection may have gone silent.
pub fn client() -> Client {
    let client = Client::builder().no_proxy().pool_max_idle_per_host(0).build();
    client.expect("building a client without TLS does not fail")
}

/// What another balancer serves.
#[derive(Clone, Debug)]
pub struct FetchedConfiguration {
    /// The operators' items.
    pub snapshot: StoreSnapshot,
    /// Zones that the balancer holds out in the era of that snapshot.
    pub held_zones: Vec<HeldZone>,
}

/// Fetches the operators' items and the held zones from another balancer, for a receiver in era `own_era`.
pub async fn fetch(
    client: &Client,
    exchange: SocketAddrV4,
    own_era: u64,
) -> Result<FetchedConfiguration, String> {
    let body = get(client, exchange, "configuration").await?.bytes().await;
    let snapshot = ConfigurationSnapshot::decode(body.map_err(|error| error.to_string())?);
    let snapshot = snapshot.map_err(|error| error.to_string())?;
    let held_zones = held_zones(&snapshot, own_era);
    Ok(FetchedConfiguration { snapshot: to_store_snapshot(snapshot, own_era), held_zones })
}

/// Zones that a balancer holds out, none if the era in which it holds them is missing or invalid.
pub fn held_zones(snapshot: &ConfigurationSnapshot, own_era: u64) -> Vec<HeldZone> {
    if !snapshot.era.is_some_and(|era| can_follow(era, own_era)) {
        return Vec::new();
    }
    let held_zone = |held: &wire::HeldZone| HeldZone {
        zone: held.zone.clone(),
        remaining_ms: u64::from(held.remaining_ms),
    };
    snapshot.held_zones.iter().map(held_zone).collect()
}

/// Converts what a balancer serves. Positions get era [`UNKNOWN_ERA`], in which they order nothing for a receiver
/// in a later one, if they have no era, as in builds that may have read them before the store last returned
/// from an older copy, or one that cannot follow the receiver's.
pub fn to_store_snapshot(snapshot: ConfigurationSnapshot, own_era: u64) -> StoreSnapshot {
    let valid = |era: Option<u64>| era.filter(|era| can_follow(*era, own_era));
    let era = valid(snapshot.era).unwrap_or(UNKNOWN_ERA);
    let value = |item: ConfigurationItem| StoreValue {
        key: item.key,
        value: item.value,
        position: StorePosition::new(valid(item.era).unwrap_or(era), item.revision),
    };
    StoreSnapshot {
        position: StorePosition::new(era, snapshot.revision),
        values: snapshot.items.into_iter().map(value).collect(),
    }
}

/// Fetches the view of another balancer.
pub async fn fetch_view(client: &Client, exchange: SocketAddrV4) -> Result<BalancerView, String> {
    let view = get(client, exchange, "nodes").await?.json().await;
    view.map_err(|error| error.to_string())
}

/// Asks a balancer where it would place a flow.
pub async fn fetch_explanation(
    client: &Client,
    exchange: SocketAddrV4,
    flow: &FlowKey,
) -> Result<ExplainAnswer, String> {
    let FlowKey { caller, service } = flow;
    let what = format!("placement?caller={caller}&route={service}");
    let answer = get(client, exchange, &what).await.map_err(|cause| match cause.as_str() {
        NOT_FOUND => "its build does not explain placements".to_owned(),
        _ => cause,
    })?;
    answer.json().await.map_err(|error| error.to_string())
}

async fn get(client: &Client, exchange: SocketAddrV4, what: &str) -> Result<Response, String> {
    let url = format!("http://{exchange}/exchange/{what}");
    let request = client.get(url).timeout(FETCH_TIMEOUT);
    let response = request.send().await.map_err(|error| error.to_string())?;
    match response.status().is_success() {
        true => Ok(response),
        false => Err(response.status().to_string()),
    }
}
