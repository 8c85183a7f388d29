//! Reads configuration and nodes from the store, or the configuration from other balancers while the store
//! does not serve this one.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use crate::error::Result;
use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::BALANCERS_PREFIX;
use crate::process::passthrough::PROGRAM_PREFIX;
use crate::process::passthrough::TARGETS_PREFIX;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::exchange;
use crate::process::passthrough::follower;
use crate::process::passthrough::follower::WatchHandler;
use crate::process::passthrough::follower::WatchTiming;
use crate::process::passthrough::registration;
use crate::process::passthrough::registration::NodeEntry;
use crate::process::passthrough::registration::RETRY_BACKOFF_MS;
use crate::process::retry::retry_until_ok;
use crate::process::store::Precondition;
use crate::process::store::StoreChange;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;
use crate::process::store::StoreValue;
use crate::wire::ConfigurationItem;

/// Applies the operators' items as the store reports them.
struct OperatorItemsHandler(Arc<Shared>);

impl WatchHandler for OperatorItemsHandler {
    fn handle_snapshot(&self, snapshot: &StoreSnapshot) {
        let item = |value: &StoreValue| (value.key.clone(), value.value.clone(), value.revision);
        self.0.apply_snapshot(snapshot.values.iter().map(item).collect(), snapshot.revision);
    }

    fn handle_changes(&self, changes: &[StoreChange]) {
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

/// Time between two removals of stale entries from the store.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Reads the nodes from the store, and once more after this balancer is registered: a node that starts
/// later finds this balancer there and contacts it. Reads them again after each stall, since nodes may have
/// started or stopped meanwhile.
pub(super) async fn follow_nodes(shared: Arc<Shared>) {
    tokio::join!(read_nodes(&shared), register(&shared));
    loop {
        read_nodes(&shared).await;
        shared.has_read_nodes.store(true, Ordering::Relaxed);
        shared.update_knows_all_agents();
        shared.reread_nodes_notify.notified().await;
    }
}

/// Removes the entries of nodes that do not come back. Only the live balancer with the lowest address does
/// so.
pub(super) async fn remove_stale_entries_periodically(shared: Arc<Shared>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        if shared.peers().is_own_address_lowest(shared.now_ms())
            && let Err(error) = remove_stale_entries(&shared).await
        {
            shared.metrics.note_store_failure("collect", &error);
        }
    }
}

/// Adds all nodes that the store names, and requests the full state of balancers that were not seen yet.
async fn read_nodes(shared: &Shared) {
    let read = || shared.platform.store.range(PROGRAM_PREFIX);
    let record_failure = |error: &StoreError| shared.metrics.note_store_failure("nodes", error);
    let snapshot = retry_until_ok(RETRY_BACKOFF_MS, read, record_failure).await;
    snapshot.values.iter().for_each(|value| add_node(shared, value));
    shared.probe_notify.notify_one();
    shared.request_full_states().await;
}

fn add_node(shared: &Shared, value: &StoreValue) {
    let Some(entry) = NodeEntry::decode(&value.value) else {
        log_event!(Event::StoreValueInvalid, "key={}", value.key);
        return;
    };
    let now_ms = shared.now_ms();
    if value.key.starts_with(TARGETS_PREFIX) {
        shared.state().targets.add_agent(entry.data, entry.control, &entry.zone, now_ms);
    } else if value.key.starts_with(BALANCERS_PREFIX) {
        shared.peers().add_balancer(entry.control, entry.data, &entry.zone, now_ms);
    }
}

/// Removes the entries of nodes that were not seen for long. An entry that was written meanwhile stays.
async fn remove_stale_entries(shared: &Shared) -> Result<(), StoreError> {
    let store = &shared.platform.store;
    for value in store.range(PROGRAM_PREFIX).await?.values {
        let now_ms = shared.now_ms();
        let is_stale = match NodeEntry::decode(&value.value) {
            None => true,
            Some(entry) if value.key.starts_with(TARGETS_PREFIX) => {
                shared.state().targets.agent(entry.data).is_none()
            }
            Some(entry) => shared.peers().is_expired(entry.control, now_ms),
        };
        if is_stale {
            let condition = Precondition { key: value.key.clone(), revision: value.revision };
            store.remove(std::slice::from_ref(&condition), &value.key).await?;
            log_event!(Event::EntryRemoved, "key={}", value.key);
        }
    }
    Ok(())
}

/// Writes this balancer's own entry to the store.
async fn register(shared: &Shared) {
    let node = &shared.settings.node;
    let key = format!("{BALANCERS_PREFIX}{}", node.control_address);
    let entry = NodeEntry {
        data: shared.settings.exchange_address,
        control: node.control_address,
        zone: node.availability_zone.clone(),
    };
    registration::register(&shared.platform.store, &key, &entry, &shared.metrics).await;
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
        // Compares the revision of the last read, not that of the newest change: a removed item leaves no
        // revision behind, so the newest change of a balancer that is up to date may be older than that of
        // others.
        let (own_revision, is_configured) = {
            let state = shared.state();
            (state.routing.revision(), state.routing.is_configured())
        };
        let is_behind =
            !is_configured || !shared.peers().peers_with_newer_change(own_revision).is_empty();
        if !is_behind {
            behind_since_ms = None;
            continue;
        }
        let since_ms = *behind_since_ms.get_or_insert(now_ms);
        if is_configured && now_ms.saturating_sub(since_ms) < CATCH_UP_DELAY_MS {
            continue;
        }
        for exchange_address in catch_up_sources(&shared, own_revision, is_configured) {
            match exchange::fetch(&client, exchange_address).await {
                Ok(snapshot) if snapshot.revision >= own_revision => {
                    let revision = snapshot.revision;
                    log_event!(
                        Event::ConfigurationFetched,
                        "from={exchange_address} revision={revision}"
                    );
                    let item = |item: ConfigurationItem| (item.key, item.value, item.revision);
                    shared.apply_snapshot(snapshot.items.into_iter().map(item).collect(), revision);
                    break;
                }
                Ok(_) => {}
                Err(error) => log_event!(Event::CallFailed, "to={exchange_address} {error}"),
            }
        }
    }
}

/// Exchange addresses of balancers with a newer configuration, and those of the seeds while this balancer
/// has none.
fn catch_up_sources(shared: &Shared, own_revision: u64, is_configured: bool) -> Vec<SocketAddrV4> {
    let mut sources = shared.peers().peers_with_newer_change(own_revision);
    if !is_configured {
        let own = shared.settings.exchange_address;
        sources.extend(shared.seeds.current().into_iter().filter(|seed| *seed != own));
    }
    sources
}
