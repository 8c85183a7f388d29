//! Reads the configuration from the store. Only a few balancers of each availability zone watch the store,
//! so that its load does not grow with the number of balancers; the others get the configuration by gossip.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::log_event;
use crate::process::balancer::BalancerShared;
use crate::process::configuration::CONFIGURATION_PREFIX;
use crate::process::configuration::CONTACT_PREFIX;
use crate::process::configuration::parse_record;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::process::retry::backoff;
use crate::process::store::Put;
use crate::process::store::Store;
use crate::process::store::StoreChange;
use crate::process::store::StoreError;
use crate::process::store::StoreValue;
use crate::process::store::Watch;
use crate::version::record::Record;

/// Number of balancers in each availability zone that watch the store.
pub const READERS_PER_ZONE: usize = 3;

/// Interval at which a balancer that does not watch the store checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for changes before a reader checks again whether it is still a reader.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(2);

/// Time without a change after which a reader reads the store again: a silent connection is noticed within it. Ten
/// readers then call the store once a second.
pub const QUIET_LIMIT: Duration = Duration::from_secs(10);

/// Shortest and longest backoff after a failure, in milliseconds.
const BACKOFF_MS: (u64, u64) = (250, 8_000);

/// Longest random delay before a balancer that is no reader and has no configuration reads the store itself,
/// in milliseconds.
const MAX_BOOTSTRAP_DELAY_MS: u64 = 5_000;

/// Time to live of the lease on a contact key, in seconds.
const CONTACT_TTL_S: u32 = 60;

/// Interval at which the lease on the contact key is renewed.
const CONTACT_RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// Reads of the configuration that may be made in one burst (size of the token bucket).
const READ_BURST: u32 = 10;

/// Time in which the token bucket gains one read.
const TOKEN_INTERVAL: Duration = Duration::from_millis(500);

/// Token bucket that limits how often this balancer reads the configuration from the store.
struct ReadRateLimiter {
    tokens: u32,
    refilled_at: Instant,
}

impl ReadRateLimiter {
    fn new() -> ReadRateLimiter {
        ReadRateLimiter { tokens: READ_BURST, refilled_at: Instant::now() }
    }

    async fn acquire(&mut self) {
        loop {
            let periods = self.refilled_at.elapsed().as_millis() / TOKEN_INTERVAL.as_millis();
            if periods > 0 {
                self.tokens = READ_BURST.min(self.tokens.saturating_add(periods as u32));
                self.refilled_at = Instant::now();
            }
            if self.tokens > 0 {
                self.tokens -= 1;
                return;
            }
            sleep(TOKEN_INTERVAL).await;
        }
    }
}

/// Reads and watches the configuration in the store while this balancer is a reader. A balancer that is no
/// reader and has no configuration yet reads it once. Never returns.
pub async fn run(shared: Arc<BalancerShared>, store: Arc<dyn Store>) {
    let mut rate_limiter = ReadRateLimiter::new();
    let mut failures = 0;
    let mut was_reader = false;
    loop {
        let is_reader = shared.with_gossip(|gossip| gossip.is_store_reader(READERS_PER_ZONE));
        if is_reader != was_reader {
            was_reader = is_reader;
            log_event!(Event::StoreReaderRoleChanged, "reader={is_reader}");
        }
        if !is_reader && !needs_bootstrap_read(&shared).await {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        rate_limiter.acquire().await;
        match read_and_watch(&shared, store.as_ref(), is_reader).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                report_failure(&shared, &error, failures);
                sleep(backoff(failures, BACKOFF_MS)).await;
            }
        }
    }
}

/// Publishes the control address of this balancer in the store while it ranks first in its availability zone,
/// so that new balancers find a peer. Never returns.
pub async fn publish_contact(shared: Arc<BalancerShared>, store: Arc<dyn Store>) {
    let mut lease = None;
    loop {
        if shared.with_gossip(|gossip| gossip.is_store_reader(1)) {
            lease = renew_contact(&shared, store.as_ref(), lease).await;
        }
        sleep(CONTACT_RENEWAL_INTERVAL).await;
    }
}

/// Whether this balancer still has no configuration after a random delay. The delay gives gossip time to
/// deliver it and spreads the reads of balancers that start together.
async fn needs_bootstrap_read(shared: &BalancerShared) -> bool {
    if shared.with_gossip(|gossip| gossip.is_configured()) {
        return false;
    }
    let wait_ms = rand::rng().random_range(0..MAX_BOOTSTRAP_DELAY_MS);
    sleep(Duration::from_millis(wait_ms)).await;
    !shared.with_gossip(|gossip| gossip.is_configured())
}

async fn read_and_watch(
    shared: &BalancerShared,
    store: &dyn Store,
    is_reader: bool,
) -> Result<(), StoreError> {
    shared.metrics().store_calls.inc();
    let snapshot = store.range(CONFIGURATION_PREFIX).await?;
    merge_values(shared, &snapshot.values, true);
    shared.note_store_response();
    if !is_reader {
        return Ok(());
    }
    read_contacts(shared, store).await?;
    shared.metrics().store_calls.inc();
    let mut watch = store.watch(CONFIGURATION_PREFIX, snapshot.position, MAX_WATCH_WAIT).await?;
    let is_reader = || shared.with_gossip(|gossip| gossip.is_store_reader(READERS_PER_ZONE));
    let apply = |changes: Vec<StoreChange>| {
        let values: Vec<StoreValue> = changes.into_iter().filter_map(written_value).collect();
        merge_values(shared, &values, false);
        shared.note_store_response();
    };
    follow_until_quiet(watch.as_mut(), is_reader, apply).await
}

/// Passes the changes of a watch on while `is_reader` says so, until there has been none for
/// [`QUIET_LIMIT`]: the connection may have gone silent, so that the store has to be read again.
pub async fn follow_until_quiet(
    watch: &mut dyn Watch,
    is_reader: impl Fn() -> bool,
    apply: impl Fn(Vec<StoreChange>),
) -> Result<(), StoreError> {
    let mut last_change = Instant::now();
    while is_reader() && last_change.elapsed() < QUIET_LIMIT {
        if let Ok(changes) = timeout(MAX_WATCH_WAIT, watch.next()).await {
            apply(changes?);
            last_change = Instant::now();
        }
    }
    Ok(())
}

/// Skips deleted keys. Removing a service writes a value that says so, and never deletes the key.
fn written_value(change: StoreChange) -> Option<StoreValue> {
    match change {
        StoreChange::Written(value) => Some(value),
        StoreChange::Removed { .. } => None,
    }
}

async fn read_contacts(shared: &BalancerShared, store: &dyn Store) -> Result<(), StoreError> {
    shared.metrics().store_calls.inc();
    let contacts = store.range(CONTACT_PREFIX).await?;
    for value in &contacts.values {
        let address = value.key.strip_prefix(CONTACT_PREFIX).and_then(|text| text.parse().ok());
        if let Some(address) = address {
            shared.update_gossip(|gossip| gossip.add_seed(address));
        }
    }
    Ok(())
}

fn merge_values(shared: &BalancerShared, values: &[StoreValue], is_complete: bool) {
    let mut records: Vec<Record> = Vec::with_capacity(values.len());
    for value in values {
        match parse_record(value) {
            Some(record) => records.push(record),
            None => log_event!(Event::StoreValueInvalid, "key={}", value.key),
        }
    }
    shared.update_gossip(|gossip| gossip.merge_configuration(&records, is_complete));
}

async fn renew_contact(
    shared: &BalancerShared,
    store: &dyn Store,
    lease: Option<i64>,
) -> Option<i64> {
    if let Some(lease) = lease {
        shared.metrics().store_calls.inc();
        if store.renew_lease(lease).await == Ok(true) {
            return Some(lease);
        }
    }
    shared.metrics().store_calls.inc();
    let lease = store.grant_lease(CONTACT_TTL_S).await.ok()?;
    let control = shared.settings().control_address;
    let key = format!("{CONTACT_PREFIX}{control}");
    let put = Put { key, value: Vec::new(), lease: Some(lease) };
    shared.metrics().store_calls.inc();
    store.transaction(&[], &[put]).await.ok()?;
    Some(lease)
}

fn report_failure(shared: &BalancerShared, error: &StoreError, failures: u32) {
    let reason = match error {
        StoreError::Unreachable { .. } => "unreachable",
        StoreError::NoAnswer { .. } => "no-answer",
        StoreError::Refused { .. } => "refused",
        StoreError::Compacted => "compacted",
        StoreError::EraChanged { .. } => "era-changed",
    };
    count(&shared.metrics().store_failures, reason);
    log_event!(Event::StoreFailed, "{error} failures={failures}");
}
