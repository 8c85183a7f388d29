//! Admin interface of an agent, with the endpoints at which its target announces itself.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::State;
use rocket::http::Status;
use rocket::post;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::error::Result;
use crate::process::admin;
use crate::process::admin::AdminHandle;
use crate::process::admin::AdminView;
use crate::process::agent_shared::AgentShared;
use crate::process::agent_shared::Announcement;
use crate::process::agent_state::AnnouncementRefusal;
use crate::version::records::configuration_digest;
use crate::version::service::is_valid_name;

/// Maximum number of slots, and of connections, that a target may announce.
const MAX_CAPACITY: u32 = 1_000_000;

/// Maximum length of a process identity, in bytes.
const MAX_PROCESS_BYTES: usize = 128;

/// Request body of an announcement.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceBody {
    /// Name of the service.
    pub service: String,
    /// Address on which the target serves HTTP/1.1.
    pub address: SocketAddr,
    /// Requests that the warm target runs at once.
    pub slots: u32,
    /// Connections that the warm target can hold.
    pub connections: u32,
    /// Identity of the target's process; it changes when the process restarts.
    pub process: String,
    /// Whether the target starts at its full limit instead of the slow-start limit.
    #[serde(default)]
    pub warm: bool,
}

/// Request body of a renewal or a drain request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessBody {
    /// Identity of the target's process.
    pub process: String,
}

/// Starts the admin interface of an agent.
pub async fn start(shared: &Arc<AgentShared>) -> Result<AdminHandle> {
    let view: Arc<dyn AdminView> = Arc::new(AgentView { shared: Arc::clone(shared) });
    let shared = Arc::clone(shared);
    admin::start(shared.settings().admin_address, view, |server| {
        server.manage(shared).mount("/v1/target", routes![announce, renew, leave])
    })
    .await
}

struct AgentView {
    shared: Arc<AgentShared>,
}

impl AdminView for AgentView {
    fn unready_reason(&self) -> Option<String> {
        self.shared.unready_reason().map(str::to_owned)
    }

    fn metrics(&self) -> String {
        self.shared.metrics().text()
    }

    fn status(&self) -> Value {
        let shared = &self.shared;
        let (revision, digest) = shared.with_records(|records| {
            (records.configuration_revision(), configuration_digest(records.iter()))
        });
        shared.with_state(|state| {
            let admission = state.admission();
            json!({
                "role": "agent",
                "node": shared.data_address().to_string(),
                "availability_zone": shared.settings().availability_zone,
                "incarnation": shared.incarnation(),
                "configuration_revision": revision,
                "configuration_digest": format!("{digest:016x}"),
                "ready": shared.unready_reason().is_none(),
                "limit": admission.limit(),
                "busy": admission.busy(),
                "flows": admission.flows(),
                "zone_out": admission.is_zone_out(),
                "leaving": admission.is_leaving(),
            })
        })
    }
}

type JsonResponse = (Status, Json<Value>);

#[post("/announce", data = "<body>")]
fn announce(shared: &State<Arc<AgentShared>>, body: Json<AnnounceBody>) -> JsonResponse {
    if let Some(error) = validation_error(&body) {
        return (Status::UnprocessableEntity, Json(json!({"error": error})));
    }
    if shared.is_stopping() {
        return (Status::ServiceUnavailable, Json(json!({"error": "the agent is stopping"})));
    }
    let body = body.into_inner();
    let applied = shared.handle_announcement(Announcement {
        service: body.service,
        address: body.address,
        slots: body.slots,
        connections: body.connections,
        process: body.process,
        warm: body.warm,
    });
    match applied {
        Ok(()) => term_response(shared),
        Err(refusal) => (Status::Conflict, Json(json!({"error": announcement_error(refusal)}))),
    }
}

#[post("/renew", data = "<body>")]
fn renew(shared: &State<Arc<AgentShared>>, body: Json<ProcessBody>) -> JsonResponse {
    if !shared.handle_renewal(&body.process) {
        let error = "this process is not announced; announce it";
        return (Status::Conflict, Json(json!({"error": error})));
    }
    term_response(shared)
}

#[post("/leave", data = "<body>")]
fn leave(shared: &State<Arc<AgentShared>>, body: Json<ProcessBody>) -> JsonResponse {
    let announced = shared.announcement();
    let is_announced = announced.is_some_and(|announced| announced.process == body.process);
    if !is_announced {
        return (Status::Conflict, Json(json!({"error": "this process is not announced"})));
    }
    shared.note_target_leaving();
    let busy = shared.with_state(|state| state.admission().busy());
    (Status::Ok, Json(json!({"busy": busy})))
}

fn announcement_error(refusal: AnnouncementRefusal) -> &'static str {
    match refusal {
        AnnouncementRefusal::PastProcess => {
            "another process has announced itself since; a new process needs a new identity"
        }
        AnnouncementRefusal::Leaving => {
            "this process is leaving; a new process needs a new identity"
        }
    }
}

fn term_response(shared: &AgentShared) -> JsonResponse {
    (Status::Ok, Json(json!({"term_ms": shared.settings().target_term_ms})))
}

fn validation_error(body: &AnnounceBody) -> Option<String> {
    if !is_valid_name(&body.service) {
        return Some(format!(
            "service: must be 1 to 63 lower-case letters, digits or inner hyphens, not {:?}",
            body.service
        ));
    }
    if !(1..=MAX_CAPACITY).contains(&body.slots) {
        return Some(format!("slots: must be from 1 to {MAX_CAPACITY}, not {}", body.slots));
    }
    if !(1..=MAX_CAPACITY).contains(&body.connections) {
        return Some(format!(
            "connections: must be from 1 to {MAX_CAPACITY}, not {}",
            body.connections
        ));
    }
    if body.process.is_empty() || body.process.len() > MAX_PROCESS_BYTES {
        return Some(format!("process: must be 1 to {MAX_PROCESS_BYTES} bytes"));
    }
    None
}
