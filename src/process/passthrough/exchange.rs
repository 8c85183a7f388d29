//! The configuration, from balancer to balancer: for one that the store turns away.

use std::net::SocketAddrV4;
use std::time::Duration;

use prost::Message;
use reqwest::Client;
use rocket::State;
use rocket::get;
use rocket::routes;

use crate::wire::ConfigurationSnapshot;

/// Longest wait for a balancer's answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Gives the snapshot that is served.
pub trait SnapshotSource: Send + Sync {
    /// The configuration as this balancer holds it.
    fn snapshot(&self) -> ConfigurationSnapshot;
}

type Source = std::sync::Arc<dyn SnapshotSource>;

#[get("/configuration")]
fn configuration(source: &State<Source>) -> Vec<u8> {
    source.snapshot().encode_to_vec()
}

/// Adds the exchange to a server.
pub fn mount(
    server: rocket::Rocket<rocket::Build>,
    source: Source,
) -> rocket::Rocket<rocket::Build> {
    server.manage(source).mount("/exchange", routes![configuration])
}

/// Fetches the configuration of another balancer.
pub async fn fetch(
    client: &Client,
    exchange: SocketAddrV4,
) -> Result<ConfigurationSnapshot, String> {
    let url = format!("http://{exchange}/exchange/configuration");
    let request = client.get(url).timeout(FETCH_TIMEOUT);
    let response = request.send().await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(response.status().to_string());
    }
    let body = response.bytes().await.map_err(|error| error.to_string())?;
    ConfigurationSnapshot::decode(body).map_err(|error| error.to_string())
}
