//! Entries of the nodes in the store: reads them, writes this balancer's own, writes again those that a copy of
//! the store lacks, and removes those of nodes that do not come back.

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
use crate::process::passthrough::registration;
use crate::process::passthrough::registration::NodeEntry;
use crate::process::passthrough::registration::RETRY_BACKOFF_MS;
use crate::process::retry::retry_until_ok;
use crate::process::store::Precondition;
use crate::process::store::Put;
use crate::process::store::StoreError;
use crate::process::store::StoreValue;
use crate::version::target_table::AgentAddresses;

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
    let store_eras = shared.platform.store.eras();
    let mut eras = store_eras.subscribe();
    let mut handled_rises = store_eras.rises();
    loop {
        // The sender lives as long as the store.
        let _ = eras.changed().await;
        let rises_before = std::mem::replace(&mut handled_rises, store_eras.rises());
        let rank = shared.peers().rank_in_zone(shared.now_ms());
        if handled_rises == rises_before || rank >= RESTORERS_PER_ZONE {
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
