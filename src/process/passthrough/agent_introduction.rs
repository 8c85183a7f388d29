//! Introduces an agent to the balancers: by its entry in the store, and by status messages to the seeds and to
//! the balancers that are registered in the store.

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
use crate::process::retry::retry_until_ok;
use crate::process::store::StoreError;

/// Time between two status messages to balancers that have not probed this agent yet: a quarter of the time
/// in which they have to answer.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(15);

/// Writes the agent's entry to the store, reads the balancers registered there, and introduces the agent
/// whenever that is due, until the process ends.
pub(super) async fn register(shared: Arc<Shared>) {
    let node = &shared.settings.node;
    let entry = NodeEntry {
        data: node.data_address,
        control: node.control_address,
        zone: node.availability_zone.clone(),
    };
    let (store, key) = (&shared.platform.store, shared.store_key());
    registration::register(store, &key, &entry, &shared.metrics).await;
    let record_failure = |error: &StoreError| shared.metrics.note_store_failure("balancers", error);
    let read = || registered_balancers(&shared);
    let balancers = retry_until_ok(RETRY_BACKOFF_MS, read, record_failure).await;
    shared.state().introduction.note_registered_balancers(balancers);
    loop {
        introduce(&shared).await;
        shared.introduction_due.notified().await;
    }
}

/// Sends the status to the balancers that do not know this incarnation of the agent, until it may accept
/// openings or its target has ended.
async fn introduce(shared: &Shared) {
    loop {
        let now_ms = shared.now_ms();
        let uninformed = shared.state().balancers_to_notify(now_ms);
        let Some(uninformed) = uninformed else {
            return shared.status_changed.notify_one();
        };
        shared.send_status(&uninformed).await;
        sleep(INTRODUCTION_INTERVAL).await;
    }
}

/// Sends the status once to the balancers that are registered in the store.
pub(super) async fn send_status_to_registered(shared: Arc<Shared>) {
    match registered_balancers(&shared).await {
        Ok(balancers) => shared.send_status(&Vec::from_iter(balancers)).await,
        Err(error) => shared.metrics.note_store_failure("balancers", &error),
    }
}

/// Sends the status once to the seeds. They are needed if the store refuses calls of this agent or of the
/// balancers.
pub(super) async fn send_status_to_seeds(shared: &Shared) {
    let port = shared.settings.node.control_address.port();
    shared.send_status(&shared.seeds.with_port(port)).await;
}

/// Reads the control addresses of the balancers that are registered in the store.
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
