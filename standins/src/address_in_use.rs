//! Binding of an address that a stand-in of the same process has just released.

use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

/// Time-out for the address to become free. A child process holds a copy of every socket between fork and
/// exec, which takes tens of milliseconds on a busy machine.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Calls `bind` until it succeeds, fails with an error other than address in use, or the time-out passes.
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
