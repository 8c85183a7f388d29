//! Reads the configuration from the store, or from other balancers while the store does not serve this one.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::exchange;
use crate::process::passthrough::follower;
use crate::process::passthrough::follower::WatchHandler;
use crate::process::passthrough::follower::WatchTiming;
use crate::process::store::StoreChange;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;
use crate::version::balancer_table::InForce;

/// Applies the operators' items as the store reports them.
struct OperatorItemsHandler(Arc<Shared>);

impl OperatorItemsHandler {
    fn note_answer(&self) {
        self.0.store_answer_ms.store(self.0.now_ms(), Ordering::Relaxed);
    }
}

impl WatchHandler for OperatorItemsHandler {
    fn handle_snapshot(&self, snapshot: &StoreSnapshot) {
        self.note_answer();
        self.0.apply_snapshot(snapshot);
    }

    fn handle_changes(&self, changes: &[StoreChange]) {
        self.note_answer();
        for change in changes {
            self.0.apply_change(change);
        }
    }

    fn record_failure(&self, error: &StoreError) {
        self.0.metrics.note_store_failure("follow-operators", error);
    }
}

/// Delay after a change before the next watch call, so that several changes come with one call. It counts
/// against the three seconds within which a change must be in force.
const OPERATOR_BATCH_DELAY: Duration = Duration::from_millis(150);

/// Time-out of one watch call, in percent of `store_silence_ms`, within which a dead connection must be
/// noticed. The rest is for a late answer and for reading everything again.
const WATCH_TIMEOUT_PERCENT: u64 = 60;

/// Watches the operators' items until the process ends.
pub(super) async fn follow_operators(shared: Arc<Shared>) {
    let prefix = shared.platform.operator_items.prefix();
    let store = Arc::clone(&shared.platform.store);
    let watch_timeout_ms = shared.settings.node.store_silence_ms * WATCH_TIMEOUT_PERCENT / 100;
    let watch_timeout = Duration::from_millis(watch_timeout_ms);
    let timing = WatchTiming { watch_timeout, batch_delay: OPERATOR_BATCH_DELAY };
    follower::follow(store, prefix, timing, &OperatorItemsHandler(shared)).await;
}

/// Time between two checks whether another balancer has a newer configuration.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which another balancer may have a newer configuration, in milliseconds, before this one fetches
/// it. A store that answers delivers a change to both within that time.
const CATCH_UP_DELAY_MS: u64 = 600;

/// Fetches the configuration from a balancer that has a newer one, while the store does not answer here.
pub(super) async fn catch_up_with_peers(shared: Arc<Shared>) {
    let client = exchange::client();
    let mut behind_since_ms = None;
    loop {
        sleep(CATCH_UP_INTERVAL).await;
        let now_ms = shared.now_ms();
        // Compares the position of the last read, not that of the newest change: a removed item leaves no
        // revision behind, so the newest change of a balancer that is up to date may be older than that of
        // others.
        let (own, is_configured) = {
            let routing = &shared.state().routing;
            let configuration_version = routing.configuration_version();
            let own = InForce { change: routing.position(), configuration_version };
            (own, routing.is_configured())
        };
        let is_behind = !is_configured || !shared.peers().peers_ahead_of(own).is_empty();
        if !is_behind {
            behind_since_ms = None;
            continue;
        }
        let since_ms = *behind_since_ms.get_or_insert(now_ms);
        // The store may have returned from an older copy just before this balancer read it for the first time.
        let may_wait = is_configured && !shared.is_recently_started(now_ms);
        if may_wait && now_ms.saturating_sub(since_ms) < CATCH_UP_DELAY_MS {
            continue;
        }
        for (exchange_address, in_force) in catch_up_sources(&shared, own, is_configured) {
            let asked_ms = shared.now_ms();
            match exchange::fetch(&client, exchange_address, own.change.era).await {
                Ok(fetched) => {
                    let is_newer = shared.apply_fetched(exchange_address, &fetched, asked_ms);
                    shared.peers().note_fetched(exchange_address, in_force);
                    if is_newer {
                        break;
                    }
                }
                Err(error) => log_event!(Event::CallFailed, "to={exchange_address} {error}"),
            }
        }
    }
}

/// Exchange addresses of balancers with a newer configuration, and those of the seeds while this balancer
/// has none, with what is known to be in force there.
fn catch_up_sources(
    shared: &Shared,
    own: InForce,
    is_configured: bool,
) -> Vec<(SocketAddrV4, InForce)> {
    let mut sources = shared.peers().peers_ahead_of(own);
    if !is_configured {
        let own = shared.settings.exchange_address;
        let seeds = shared.seeds.current().into_iter().filter(|seed| *seed != own);
        sources.extend(seeds.map(|seed| (seed, InForce::default())));
    }
    sources
}
