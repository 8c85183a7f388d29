//! Reads configuration and nodes from the store, or the configuration from other balancers while the store
//! does not serve this one.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexSet;
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
use crate::process::store::Put;
use crate::process::store::StoreChange;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;
use crate::process::store::StoreValue;
use crate::version::balancer_table::InForce;
use crate::version::store_position::StorePosition;
use crate::version::target_table::AgentAddresses;
use crate::wire::ConfigurationItem;

/// Applies the operators' items as the store reports them.
struct OperatorItemsHandler(Arc<Shared>);

impl WatchHandler for OperatorItemsHandler {
    fn handle_snapshot(&self, snapshot: &StoreSnapshot) {
        let item = |value: &StoreValue| (value.key.clone(), value.value.clone(), value.position);
        self.0.apply_snapshot(snapshot.values.iter().map(item).collect(), snapshot.position);
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
/// started or stopped meanwhile, and registers again in each era of the store, since the copy may lack this
/// balancer's entry.
pub(super) async fn follow_nodes(shared: Arc<Shared>) {
    let mut eras = shared.platform.store.eras().subscribe();
    tokio::join!(read_nodes(&shared), register(&shared));
    let mut registered_era = *eras.borrow_and_update();
    loop {
        read_nodes(&shared).await;
        shared.has_read_nodes.store(true, Ordering::Relaxed);
        shared.update_knows_all_agents();
        tokio::select! {
            () = shared.reread_nodes_notify.notified() => {}
            _ = eras.changed() => {}
        }
        let era = *eras.borrow_and_update();
        if era > registered_era {
            shared.note_era_change();
            register(&shared).await;
            registered_era = era;
        }
    }
}

/// Number of balancers of each zone that write the entries of other nodes again in a new era.
const RESTORERS_PER_ZONE: usize = 3;

/// Time that nodes have to write their own entries in a new era before the first balancer of a zone writes
/// those that are missing.
const RESTORE_DELAY: Duration = Duration::from_millis(300);

/// Time between the attempts of two balancers of a zone. A later one finds nothing missing unless the
/// store does not serve the earlier ones. All have to be done within two seconds.
const RESTORE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of entries in one transaction: the platform's limit on its rows.
const MAX_ENTRIES_PER_WRITE: usize = 32;

/// Writes the entries of running nodes of this zone again after the store has returned from a copy that
/// lacks them. Agents do not watch the store, and one write each would exceed its rate in the largest
/// deployment; this takes one write for 32 of them.
pub(super) async fn restore_entries_in_each_era(shared: Arc<Shared>) {
    let mut eras = shared.platform.store.eras().subscribe();
    loop {
        let before = *eras.borrow_and_update();
        // The sender lives as long as the store.
        let _ = eras.changed().await;
        let rank = shared.peers().rank_in_zone(shared.now_ms());
        if before == 0 || rank >= RESTORERS_PER_ZONE {
            continue;
        }
        sleep(RESTORE_DELAY + RESTORE_INTERVAL * u32::try_from(rank).unwrap_or(0)).await;
        let zone = &shared.settings.node.availability_zone;
        let restore = || restore_missing_entries(&shared, Some(zone));
        let record_failure =
            |error: &StoreError| shared.metrics.note_store_failure("restore", error);
        retry_until_ok(RETRY_BACKOFF_MS, restore, record_failure).await;
    }
}

/// Writes the entries of live nodes, of one zone or of all, that the store lacks.
async fn restore_missing_entries(shared: &Shared, zone: Option<&str>) -> Result<(), StoreError> {
    let snapshot = shared.platform.store.range(PROGRAM_PREFIX).await?;
    let stored: IndexSet<&str> = snapshot.values.iter().map(|value| value.key.as_str()).collect();
    let is_missing = |put: &Put| !stored.contains(put.key.as_str());
    let entries = shared.live_entries(zone).into_iter();
    let puts: Vec<Put> = entries
        .map(|(key, entry)| Put { key, value: entry.encode(), lease: None })
        .filter(is_missing)
        .collect();
    for batch in puts.chunks(MAX_ENTRIES_PER_WRITE) {
        shared.platform.store.transaction(&[], batch).await?;
        shared.metrics.entries_restored.inc_by(batch.len() as u64);
        log_event!(Event::EntriesRestored, "entries={}", batch.len());
    }
    Ok(())
}

/// Removes the entries of nodes that do not come back, and writes those of live nodes that are missing.
/// Only the live balancer with the lowest address does so, and not while nodes write their entries again in
/// a new era of the store.
pub(super) async fn clean_entries_periodically(shared: Arc<Shared>) {
    let mut cleaned_era = 0;
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let era = shared.platform.store.eras().known();
        let is_new_era = era != std::mem::replace(&mut cleaned_era, era);
        if is_new_era || !shared.peers().is_own_address_lowest(shared.now_ms()) {
            continue;
        }
        if let Err(error) = remove_stale_entries(&shared).await {
            shared.metrics.note_store_failure("collect", &error);
        }
        if let Err(error) = restore_missing_entries(&shared, None).await {
            shared.metrics.note_store_failure("restore", &error);
        }
    }
}

impl Shared {
    /// Key and value of this balancer's entry in the store.
    fn own_entry(&self) -> (String, NodeEntry) {
        let node = &self.settings.node;
        let entry = NodeEntry {
            data: self.settings.exchange_address,
            control: node.control_address,
            zone: node.availability_zone.clone(),
        };
        (balancer_key(entry.control), entry)
    }

    /// Keys and values of the entries that live nodes have in the store, of one zone or of all.
    fn live_entries(&self, zone: Option<&str>) -> Vec<(String, NodeEntry)> {
        let now_ms = self.now_ms();
        let is_wanted = |other: &str| zone.is_none_or(|zone| zone == other);
        let balancers = self.peers().updates(now_ms).collect::<Vec<_>>().into_iter();
        let balancers = balancers.filter(|update| is_wanted(&update.zone)).map(|update| {
            let entry =
                NodeEntry { data: update.exchange, control: update.control, zone: update.zone };
            (balancer_key(entry.control), entry)
        });
        let state = self.state();
        let agents = state.targets.running_agents(now_ms).filter(|agent| is_wanted(agent.zone));
        let agents = agents.map(|AgentAddresses { data, control, zone }| {
            (format!("{TARGETS_PREFIX}{data}"), NodeEntry { data, control, zone: zone.to_owned() })
        });
        std::iter::once(self.own_entry()).chain(balancers).chain(agents).collect()
    }
}

fn balancer_key(control: SocketAddrV4) -> String {
    format!("{BALANCERS_PREFIX}{control}")
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
            let condition = Precondition { key: value.key.clone(), position: value.position };
            store.remove(std::slice::from_ref(&condition), &value.key).await?;
            log_event!(Event::EntryRemoved, "key={}", value.key);
        }
    }
    Ok(())
}

/// Writes this balancer's own entry to the store.
async fn register(shared: &Shared) {
    let (key, entry) = shared.own_entry();
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
        if is_configured && now_ms.saturating_sub(since_ms) < CATCH_UP_DELAY_MS {
            continue;
        }
        for exchange_address in catch_up_sources(&shared, own, is_configured) {
            match exchange::fetch(&client, exchange_address).await {
                Ok(snapshot) => {
                    let era = snapshot.era.unwrap_or(own.change.era);
                    let position = StorePosition::new(era, snapshot.revision);
                    let StorePosition { era, revision } = position;
                    log_event!(
                        Event::ConfigurationFetched,
                        "from={exchange_address} era={era} revision={revision}"
                    );
                    let item = |item: ConfigurationItem| {
                        let item_position =
                            StorePosition::new(item.era.unwrap_or(era), item.revision);
                        (item.key, item.value, item_position)
                    };
                    shared.apply_snapshot(snapshot.items.into_iter().map(item).collect(), position);
                    let routing = &shared.state().routing;
                    if routing.position() > own.change
                        || routing.configuration_version() > own.configuration_version
                    {
                        break;
                    }
                }
                Err(error) => log_event!(Event::CallFailed, "to={exchange_address} {error}"),
            }
        }
    }
}

/// Exchange addresses of balancers with a newer configuration, and those of the seeds while this balancer
/// has none.
fn catch_up_sources(shared: &Shared, own: InForce, is_configured: bool) -> Vec<SocketAddrV4> {
    let mut sources = shared.peers().peers_ahead_of(own);
    if !is_configured {
        let own = shared.settings.exchange_address;
        sources.extend(shared.seeds.current().into_iter().filter(|seed| *seed != own));
    }
    sources
}
