//! Follows a prefix of the store: reads it once, then watches it.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::log_event;
use crate::process::events::Event;
use crate::process::retry::backoff;
use crate::process::store::Store;
use crate::process::store::StoreChange;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;

/// First and longest wait after a failure, in milliseconds. The longest leaves a second of the two in
/// which the store's return must be noticed.
const BACKOFF_MS: (u64, u64) = (100, 1_000);

/// Takes what a follower reads.
pub trait WatchHandler: Send + Sync {
    /// Everything under the prefix, at the snapshot's revision.
    fn handle_snapshot(&self, snapshot: &StoreSnapshot);

    /// Changes since.
    fn handle_changes(&self, changes: &[StoreChange]);

    /// A call failed; it is made again.
    fn record_failure(&self, error: &StoreError);
}

/// How often a follower calls the store.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// How long a watch waits: a connection that went silent is found after that time.
    pub watch_timeout: Duration,
    /// Pause after changes, so that several come with one call.
    pub batch_delay: Duration,
}

/// Follows `prefix` for as long as the process runs.
pub async fn follow(
    store: Arc<dyn Store>,
    prefix: &str,
    timing: WatchTiming,
    handler: &dyn WatchHandler,
) {
    let mut failures = 0;
    loop {
        let result = read_and_watch(store.as_ref(), prefix, timing, handler, &mut failures).await;
        let Err(error) = result;
        handler.record_failure(&error);
        if error == StoreError::Compacted {
            continue;
        }
        failures += 1;
        sleep(backoff(failures, BACKOFF_MS)).await;
    }
}

async fn read_and_watch(
    store: &dyn Store,
    prefix: &str,
    timing: WatchTiming,
    handler: &dyn WatchHandler,
    failures: &mut u32,
) -> Result<Infallible, StoreError> {
    let snapshot = store.range(prefix).await?;
    handler.handle_snapshot(&snapshot);
    note_recovery(failures, prefix);
    let mut watch = store.watch(prefix, snapshot.revision + 1, timing.watch_timeout).await?;
    loop {
        match watch.next().await {
            Ok(changes) => {
                handler.handle_changes(&changes);
                note_recovery(failures, prefix);
                if !changes.is_empty() {
                    sleep(timing.batch_delay).await;
                }
            }
            // A waiting watch may be cut at any time; from where it stood it goes on.
            Err(StoreError::NoAnswer { .. }) if *failures == 0 => *failures += 1,
            Err(error) => return Err(error),
        }
    }
}

fn note_recovery(failures: &mut u32, prefix: &str) {
    if *failures > 0 {
        log_event!(Event::StoreBack, "prefix={prefix} failures={failures}");
    }
    *failures = 0;
}
