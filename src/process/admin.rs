//! HTTP admin interface of both daemons: liveness, readiness, metrics and status.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;

use rocket::Build;
use rocket::Config;
use rocket::Request;
use rocket::Response;
use rocket::Rocket;
use rocket::Route;
use rocket::State;
use rocket::config::LogLevel;
use rocket::config::Shutdown as ShutdownSettings;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::routes;
use rocket::serde::json::Json;
use serde_json::Value;

use crate::error::Error;
use crate::error::Result;
use crate::log_event;
use crate::process::events::Event;

/// Content type of OpenMetrics text.
const OPEN_METRICS: (&str, &str) = ("application", "openmetrics-text");

/// Data of a daemon that the admin interface serves.
pub trait AdminView: Send + Sync {
    /// Why the daemon is not ready; `None` if it is.
    fn unready_reason(&self) -> Option<String>;

    /// Metrics as OpenMetrics text.
    fn metrics(&self) -> String;

    /// Status as JSON, for the operator tool.
    fn status(&self) -> Value;
}

/// Handle to shut down a running admin interface.
pub struct AdminHandle {
    shutdown: rocket::Shutdown,
}

impl AdminHandle {
    /// Starts the shutdown. Open requests are still answered.
    pub fn shut_down(self) {
        self.shutdown.notify();
    }
}

/// Starts serving the admin interface, and the routes that `add_routes` adds, in a background task.
pub async fn start(
    address: SocketAddrV4,
    view: Arc<dyn AdminView>,
    add_routes: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> Result<AdminHandle> {
    start_with_routes(address, |server| add_routes(server.manage(view).mount("/", common_routes())))
        .await
}

/// Starts serving only the routes that `add_routes` adds, in a background task.
pub async fn start_with_routes(
    address: SocketAddrV4,
    add_routes: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> Result<AdminHandle> {
    check_address_available(address)?;
    let server = rocket::custom(server_config(address));
    let server = add_routes(server).ignite().await.map_err(admin_error)?;
    let shutdown = server.shutdown();
    tokio::spawn(async move {
        if let Err(error) = server.launch().await {
            log_event!(Event::AdminFailed, "{error}");
        }
    });
    Ok(AdminHandle { shutdown })
}

/// Fails if the address is in use. The server would report this only after `start` has returned.
fn check_address_available(address: SocketAddrV4) -> Result<()> {
    let address = SocketAddr::V4(address);
    match std::net::TcpListener::bind(address) {
        Ok(_) => Ok(()),
        Err(source) => Err(Error::Socket { address, source }),
    }
}

fn common_routes() -> Vec<Route> {
    routes![live, ready, metrics, status]
}

fn server_config(address: SocketAddrV4) -> Config {
    Config {
        address: (*address.ip()).into(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownSettings {
            ctrlc: false,
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            ..ShutdownSettings::default()
        },
        ..Config::release_default()
    }
}

fn admin_error(error: rocket::Error) -> Error {
    Error::Admin { message: error.to_string() }
}

struct OpenMetrics(String);

impl<'r> Responder<'r, 'static> for OpenMetrics {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'static> {
        Response::build_from(self.0.respond_to(request)?)
            .header(ContentType::new(OPEN_METRICS.0, OPEN_METRICS.1))
            .ok()
    }
}

#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/ready")]
fn ready(view: &State<Arc<dyn AdminView>>) -> (Status, String) {
    match view.unready_reason() {
        None => (Status::Ok, "ready\n".to_owned()),
        Some(reason) => (Status::ServiceUnavailable, format!("not ready: {reason}\n")),
    }
}

#[get("/metrics")]
fn metrics(view: &State<Arc<dyn AdminView>>) -> OpenMetrics {
    OpenMetrics(view.metrics())
}

#[get("/status")]
fn status(view: &State<Arc<dyn AdminView>>) -> Json<Value> {
    Json(view.status())
}
