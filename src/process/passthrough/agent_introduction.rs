//! How an agent makes itself known: its entry in the store, the balancers named there, the seeds.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::time::sleep;

use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::BALANCERS_PREFIX;
use crate::process::passthrough::agent::Shared;
use crate::process::passthrough::registration;
use crate::process::passthrough::registration::NodeEntry;
use crate::process::passthrough::registration::RETRY_BACKOFF_MS;
use crate::process::retry::until_done;
use crate::process::store::StoreError;

/// Time between two rounds of telling balancers that may not know of this agent: a quarter of the time
/// that they have.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(15);

/// Writes the agent's entry, and then tells the balancers that may not know of it yet.
pub(super) async fn register(shared: Arc<Shared>) {
    let node = &shared.settings.node;
    let entry = NodeEntry {
        data: node.data_address,
        control: node.control_address,
        zone: node.availability_zone.clone(),
    };
    let (store, key) = (&shared.platform.store, shared.store_key());
    registration::register(store, &key, &entry, &shared.metrics).await;
    let note = |error: &StoreError| shared.metrics.note_store_failure("balancers", error);
    let balancers = until_done(RETRY_BACKOFF_MS, || registered_balancers(&shared), note).await;
    let now_ms = shared.now_ms();
    shared.state().introduction.note_registered_balancers(balancers, now_ms);
    introduce(&shared).await;
}

/// Tells the balancers that may not know of this agent yet until it may take openings.
async fn introduce(shared: &Shared) {
    loop {
        let now_ms = shared.now_ms();
        let unanswered = {
            let mut state = shared.state();
            (!state.introduction.is_done(now_ms)).then(|| state.introduction.balancers_to_notify())
        };
        let Some(unanswered) = unanswered else {
            return shared.status_changed.notify_one();
        };
        shared.send_status(&unanswered).await;
        sleep(INTRODUCTION_INTERVAL).await;
    }
}

/// Tells the balancers that the store names that this agent exists.
pub(super) async fn send_status_to_registered(shared: Arc<Shared>) {
    match registered_balancers(&shared).await {
        Ok(balancers) => shared.send_status(&Vec::from_iter(balancers)).await,
        Err(error) => shared.metrics.note_store_failure("balancers", &error),
    }
}

/// Tells the seeds that this agent exists: the store may turn it away, or them.
pub(super) async fn send_status_to_seeds(shared: &Shared) {
    let port = shared.settings.node.control_address.port();
    shared.send_status(&shared.seeds.with_port(port)).await;
}

/// Control addresses of the balancers that the store names.
async fn registered_balancers(shared: &Shared) -> Result<IndexSet<SocketAddrV4>, StoreError> {
    let values = shared.platform.store.range(BALANCERS_PREFIX).await?.values;
    let mut balancers = IndexSet::new();
    for value in values {
        match NodeEntry::decode(&value.value) {
            Some(entry) => {
                balancers.insert(entry.control);
            }
            None => log_event!(Event::StoreValueInvalid, "key={}", value.key),
        }
    }
    Ok(balancers)
}
