//! What a balancer knows: its configuration for other balancers that the store turns away, its view of the
//! nodes for operators.

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

/// Longest wait for a balancer's answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// How a balancer sees an agent and its target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentView {
    /// Address for segments.
    pub data: SocketAddrV4,
    /// Availability zone.
    pub availability_zone: String,
    /// Whether the agent was heard lately.
    pub is_alive: bool,
    /// Phase of the target and its load; empty where the agent was never heard.
    pub state: String,
}

/// How a balancer sees itself and the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BalancerView {
    /// Name of the node.
    pub node: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Whether it takes traffic.
    pub is_ready: bool,
    /// Revision of the newest change of the configuration that is in force.
    pub newest_change: u64,
    /// Exchange addresses of the other balancers that it hears.
    pub balancers: Vec<SocketAddrV4>,
    /// Agents that it knows.
    pub agents: Vec<AgentView>,
}

/// Gives what is served.
pub trait ExchangeSource: Send + Sync {
    /// The configuration as this balancer holds it.
    fn snapshot(&self) -> ConfigurationSnapshot;

    /// How it sees itself and the others.
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

/// Adds the exchange to a server.
pub fn mount(
    server: rocket::Rocket<rocket::Build>,
    source: Source,
) -> rocket::Rocket<rocket::Build> {
    server.manage(source).mount("/exchange", routes![configuration, nodes])
}

/// A client for calls to other balancers, which are named by address.
pub fn client() -> Client {
    Client::builder().no_proxy().build().unwrap_or_default()
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

/// Fetches how a balancer sees itself and the others.
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
