//! HTTP endpoint of a balancer: its configuration, for other balancers that the store refuses to serve, and its
//! view of the nodes, for operators.

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

use crate::wire::ConfigurationSnapshot;

/// Time-out of a call to another balancer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

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

/// Mounts the endpoint at `/exchange`.
pub fn mount(
    server: rocket::Rocket<rocket::Build>,
    source: Source,
) -> rocket::Rocket<rocket::Build> {
    server.manage(source).mount("/exchange", routes![configuration, nodes])
}

/// Creates a client for calls to other balancers. It uses no proxy, as balancers are called by IP address, and
/// a connection for each call: calls are rare, and an idle connection may have gone silent.
pub fn client() -> Client {
    let client = Client::builder().no_proxy().pool_max_idle_per_host(0).build();
    client.expect("building a client without TLS does not fail")
}

/// Fetches the configuration of another balancer.
pub async fn fetch(
    client: &Client,
    exchange: SocketAddrV4,
) -> Result<ConfigurationSnapshot, String> {
    let body = get(client, exchange, "configuration").await?.bytes().await;
    ConfigurationSnapshot::decode(body.map_err(|error| error.to_string())?)
        .map_err(|error| error.to_string())
}

/// Fetches the view of another balancer.
pub async fn fetch_view(client: &Client, exchange: SocketAddrV4) -> Result<BalancerView, String> {
    let view = get(client, exchange, "nodes").await?.json().await;
    view.map_err(|error| error.to_string())
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
