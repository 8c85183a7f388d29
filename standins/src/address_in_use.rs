//! Binding an address that a stand-in of the same process has just given up.

use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

/// Longest wait for the address: a new process holds a copy of every socket until its program is
/// loaded, which took tens of milliseconds on a busy machine.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Binds an address, and tries again while it is in use.
pub async fn bind_when_free<T, F: Future<Output = io::Result<T>>>(
    mut bind: impl FnMut() -> F,
) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match bind().await {
            Err(error)
                if error.kind() == ErrorKind::AddrInUse && started.elapsed() < BIND_TIMEOUT =>
            {
                sleep(RETRY_INTERVAL).await;
            }
            bound => return bound,
        }
    }
}
