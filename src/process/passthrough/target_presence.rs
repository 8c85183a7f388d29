//! Whether a process of the target runs, as its host says.
//!
//! A port at which nobody listens refuses connections, so a refusal proves that the process has ended, and
//! its flows with it. After a loss of power an agent knows at once that it has nothing to wait for.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::process::metrics::count;
use crate::process::passthrough::agent::Shared;

/// Time between two looks at whether the target is in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for a connection on the agent's own host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Looks at start, and whenever the target is in doubt.
pub(super) async fn monitor(shared: Arc<Shared>) {
    check_process(&shared).await;
    loop {
        sleep(CHECK_INTERVAL).await;
        let is_suspected = shared.state().is_target_suspected(shared.now_ms());
        if is_suspected {
            check_process(&shared).await;
        }
    }
}

/// Notes that the target has ended where its host refuses a connection to it.
pub(super) async fn check_process(shared: &Shared) {
    let connecting = TcpStream::connect(SocketAddr::V4(shared.settings.target_address));
    let outcome = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => "accepted",
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => "refused",
        Ok(Err(_)) => "failed",
        Err(_) => "timed-out",
    };
    count(&shared.metrics.target_checks, outcome);
    if outcome == "refused" {
        shared.state().note_target_not_running();
        shared.status_changed.notify_one();
    }
}
