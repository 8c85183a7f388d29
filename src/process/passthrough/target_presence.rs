//! Checks whether a process of the target runs, by a TCP connection to its address.
//!
//! The host refuses connections to a port without a listener, so a refusal proves that the process has ended,
//! and its flows with it. After a power failure the agent knows at once that no flow is left to wait for.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::process::metrics::count;
use crate::process::passthrough::agent::Shared;

/// Time between two checks of a target that is suspected to have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two checks after a leave call that may have been of an earlier instance: the target ends within
/// milliseconds if the call was its own.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time-out of the connection, which stays on the agent's own host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks the target's process at start, and then as long as the target is suspected to have ended.
pub(super) async fn monitor(shared: Arc<Shared>) {
    check_process(&shared).await;
    loop {
        let is_leave_unverified = shared.state().gate.is_leave_unverified();
        let interval = if is_leave_unverified { LEAVE_CHECK_INTERVAL } else { CHECK_INTERVAL };
        tokio::select! {
            () = sleep(interval) => {}
            () = shared.check_due.notified() => continue,
        }
        let is_suspected = shared.state().is_target_suspected(shared.now_ms());
        if is_suspected {
            check_process(&shared).await;
        }
    }
}

/// Tries to connect to the target, and records that it has ended if its host refuses the connection.
pub(super) async fn check_process(shared: &Shared) {
    let checked_since_ms = shared.now_ms();
    let connecting = TcpStream::connect(SocketAddr::V4(shared.settings.target_address));
    let outcome = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => "accepted",
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => "refused",
        Ok(Err(_)) => "failed",
        Err(_) => "timed-out",
    };
    count(&shared.metrics.target_checks, outcome);
    match outcome {
        "accepted" => {
            let now_ms = shared.now_ms();
            shared.state().gate.note_connection_accepted(now_ms);
        }
        "refused" if shared.state().note_target_not_running(checked_since_ms) => {
            shared.status_changed.notify_one();
        }
        _ => {}
    }
}
