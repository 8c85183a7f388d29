//! Binding an address that a stand-in of the same process has just given up.

use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

/// Longest wait for the address: a new process holds a copy of every socket until its program is
/// loaded, which took tens of milliseconds on a busy machine.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(5);

/// Binds an address, and tries again while it is in use.
pub async fn bind_when_free<T, F: Future<Output = io::Result<T>>>(
    mut bind: impl FnMut() -> F,
) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match bind().await {
            Err(error)
                if error.kind() == ErrorKind::AddrInUse && started.elapsed() < LONGEST_WAIT =>
            {
                sleep(PAUSE).await;
            }
            bound => return bound,
        }
    }
}
