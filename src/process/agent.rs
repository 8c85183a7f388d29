//! The agent process: terminates callers' flows near one target and forwards their requests to it.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use quinn::Endpoint;
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::connection::openings::OpeningKey;
use crate::error::Result;
use crate::error::SocketSnafu;
use crate::log_event;
use crate::process::agent_admin;
use crate::process::agent_reports;
use crate::process::agent_shared::AgentShared;
use crate::process::agent_state::Decision;
use crate::process::agent_state::Input;
use crate::process::control::ControlEndpoint;
use crate::process::events::Event;
use crate::process::flow_endpoint::flow_endpoint;
use crate::process::keys::read_cluster_keys;
use crate::process::metrics::count;
use crate::process::request_handler;
use crate::process::settings::AgentSettings;
use crate::process::signals;
use crate::process::tls;
use crate::process::trace::Trace;
use crate::request::verdict::Refusal;
use crate::version::record::Phase;

/// Interval at which expiry times are checked and gauges updated.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of flows accepted beyond the limit only to answer their requests with a refusal,
/// which says when to retry.
const MAX_REFUSAL_FLOWS: u32 = 64;

/// Runs an agent until a signal stops it.
pub async fn run(settings: AgentSettings) -> Result<()> {
    let keys = read_cluster_keys(&settings.keys_file)?;
    let node = tls::mutual_tls_configs(&settings.tls)?;
    let caller_server = tls::caller_server_config(&settings.caller_tls)?;
    let trace = Trace::new(settings.trace_path.as_deref())?;
    let reset_key = keys.reset_key;
    let shared = AgentShared::new(settings, keys, trace);
    // A trace begins with the incarnation, so that a replay needs no other initial state.
    shared.apply(&Input::Incarnation { incarnation: shared.incarnation() });

    let address = SocketAddr::V4(shared.data_address());
    let socket = UdpSocket::bind(address).await.context(SocketSnafu { address })?;
    let control_address = SocketAddrV4::new(*shared.data_address().ip(), 0);
    let control = ControlEndpoint::new(control_address, node)?;
    let endpoint = flow_endpoint(&shared, socket, caller_server, &reset_key)?;
    let admin = agent_admin::start(&shared).await?;

    log_event!(Event::Started, "agent data={address}");
    tokio::spawn(agent_reports::run(Arc::clone(&shared), Arc::clone(&control)));
    tokio::spawn(tick(Arc::clone(&shared)));
    tokio::spawn(accept_flows(Arc::clone(&shared), endpoint.clone()));
    signals::wait_for_stop_signal().await.context(SocketSnafu { address })?;
    stop(&shared, &control, &endpoint).await;
    admin.shut_down();
    log_event!(Event::Stopped);
    Ok(())
}

async fn tick(shared: Arc<AgentShared>) {
    let mut was_cold = true;
    let mut zone_out_since_ms = None;
    loop {
        sleep(TICK_INTERVAL).await;
        shared.close_flows_after_zone_drain(&mut zone_out_since_ms);
        shared.apply(&Input::Tick);
        shared.expire_target();
        shared.update_gauges();
        let is_cold = shared.with_state(|state| state.admission().is_cold());
        if is_cold != was_cold {
            was_cold = is_cold;
            shared.note_record_change();
        }
    }
}

async fn accept_flows(shared: Arc<AgentShared>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move { serve_flow(shared, incoming).await });
    }
}

async fn serve_flow(shared: Arc<AgentShared>, incoming: quinn::Incoming) {
    let key = OpeningKey {
        caller: incoming.remote_address(),
        connection_id: incoming.orig_dst_cid().to_vec(),
    };
    match shared.apply(&Input::FlowStarted { key }) {
        Decision::Flow(Ok(())) => {
            run_flow(&shared, incoming, None).await;
            shared.apply(&Input::FlowEnded);
        }
        Decision::Flow(Err(reason)) => refuse_flow(&shared, incoming, reason).await,
        _ => incoming.ignore(),
    }
}

/// Refuses a flow. Up to [`MAX_REFUSAL_FLOWS`] such flows are accepted to refuse their requests
/// with a reason and a time to retry; the others are refused at the handshake.
async fn refuse_flow(shared: &Arc<AgentShared>, incoming: quinn::Incoming, reason: Refusal) {
    count(&shared.metrics().refused_flows, reason.as_str());
    if shared.begin_refusal_flow(MAX_REFUSAL_FLOWS) {
        run_flow(shared, incoming, Some(reason)).await;
    } else {
        incoming.refuse();
    }
    shared.end_refusal_flow();
}

async fn run_flow(shared: &Arc<AgentShared>, incoming: quinn::Incoming, refusal: Option<Refusal>) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log_event!(Event::FlowFailed, "{error}");
            return;
        }
    };
    shared.register_connection(&connection);
    request_handler::serve(shared, &connection, refusal).await;
    shared.unregister_connection(&connection);
}

/// Performs a graceful shutdown: accepts no new work, waits for running requests for up to
/// `stop_ms`, and reports to the seeds that the target is gone.
async fn stop(shared: &Arc<AgentShared>, control: &Arc<ControlEndpoint>, endpoint: &Endpoint) {
    shared.begin_stop();
    let until_ms = shared.now_ms() + shared.settings().stop_ms;
    while has_running_requests(shared) && shared.now_ms() < until_ms {
        sleep(TICK_INTERVAL / 5).await;
    }
    if let Some(mut record) = shared.record() {
        record.phase = Phase::Gone;
        record.sequence += 1;
        agent_reports::report_to_seeds(shared, control, &record).await;
    }
    endpoint.close(0_u32.into(), b"stopped");
    endpoint.wait_idle().await;
    control.close().await;
}

/// Whether any request or long stream is still running.
fn has_running_requests(shared: &AgentShared) -> bool {
    request_handler::running_requests() > 0
        || shared.with_state(|state| state.admission().busy()) > 0
}
