//! Follows a key prefix of the store: reads a snapshot, then watches for changes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::log_event;
use crate::process::events::Event;
use crate::process::retry::backoff;
use crate::process::store::Store;
use crate::process::store::StoreChange;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;
use crate::process::store_eras::StoreEras;

/// Shortest and longest backoff after a failure, in milliseconds. A store that answers again must be noticed
/// within two seconds, and the longest backoff leaves one of them.
const BACKOFF_MS: (u64, u64) = (100, 1_000);

/// Receives what a follower reads.
pub trait WatchHandler: Send + Sync {
    /// Handles a snapshot, which replaces everything that was read before.
    fn handle_snapshot(&self, snapshot: &StoreSnapshot);

    /// Handles changes since the snapshot or the changes before them.
    fn handle_changes(&self, changes: &[StoreChange]);

    /// Records a failed call, which the follower retries.
    fn record_failure(&self, error: &StoreError);
}

/// Timing of a follower's watch calls.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Longest time that one watch call waits for changes. A dead connection is noticed after that time.
    pub watch_timeout: Duration,
    /// Delay after changes before the next call, so that several changes come with one call.
    pub batch_delay: Duration,
}

/// Follows `prefix` until the process ends.
pub async fn follow(
    store: Arc<dyn Store>,
    prefix: &str,
    timing: WatchTiming,
    handler: &dyn WatchHandler,
) {
    let mut failures = 0;
    let mut eras = EraChanges::new(store.eras());
    loop {
        let watching =
            read_and_watch(store.as_ref(), prefix, timing, handler, &mut eras, &mut failures);
        let Err(error) = watching.await;
        handler.record_failure(&error);
        if matches!(error, StoreError::Compacted | StoreError::EraChanged { .. }) {
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
    eras: &mut EraChanges,
    failures: &mut u32,
) -> Result<Infallible, StoreError> {
    let snapshot = store.range(prefix).await?;
    handler.handle_snapshot(&snapshot);
    note_recovery(failures, prefix);
    let era = snapshot.position.era;
    let mut watched = store.watch(prefix, snapshot.position, timing.watch_timeout).await?;
    loop {
        let next = tokio::select! {
            next = watched.next() => next,
            () = eras.wait_for_later_than(era) => Err(StoreError::EraChanged { may_have_run: false }),
        };
        match next {
            Ok(changes) => {
                handler.handle_changes(&changes);
                note_recovery(failures, prefix);
                if !changes.is_empty() {
                    sleep(timing.batch_delay).await;
                }
            }
            // A single cut of a waiting watch is harmless: the watch resumes at its revision.
            Err(error @ StoreError::NoAnswer { .. }) if *failures == 0 => {
                handler.record_failure(&error);
                *failures += 1;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Signals of a later era: an answer to another call of this process, or a report of another node. A
/// report makes the follower read the store once, and the answer shows which era it is in.
struct EraChanges {
    known: watch::Receiver<u64>,
    peer_reported: watch::Receiver<u64>,
}

impl EraChanges {
    fn new(eras: &StoreEras) -> EraChanges {
        EraChanges { known: eras.subscribe(), peer_reported: eras.subscribe_peer_reports() }
    }

    async fn wait_for_later_than(&mut self, era: u64) {
        while *self.known.borrow() <= era {
            // The senders live as long as the store, so that no wait fails.
            tokio::select! {
                _ = self.known.changed() => {}
                _ = self.peer_reported.changed() => {
                    if *self.peer_reported.borrow() > era {
                        return;
                    }
                }
            }
        }
    }
}

/// Logs that the store answers after failures, and resets their count.
fn note_recovery(failures: &mut u32, prefix: &str) {
    if *failures > 0 {
        log_event!(Event::StoreRecovered, "prefix={prefix} failures={failures}");
    }
    *failures = 0;
}
