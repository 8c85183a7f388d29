//! Publishes services and availability zone changes to the store, by compare-and-swap.
//!
//! Each write carries a random publish id. If the response to a write is lost, the same write is sent again:
//! either it takes effect now, or it conflicts and the stored publish id shows whose write took effect. A
//! first attempt that reaches the store late fails on the same precondition, so a result that was reported
//! to the operator stays true.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngCore;

use crate::error::Error;
use crate::error::Result;
use crate::process::configuration::CONFIGURATION_PREFIX;
use crate::process::configuration::NUMBERS_KEY;
use crate::process::configuration::StoredNumbers;
use crate::process::configuration::StoredService;
use crate::process::configuration::StoredZone;
use crate::process::configuration::service_key;
use crate::process::configuration::zone_key;
use crate::process::service_file::ServiceSpec;
use crate::process::store::Precondition;
use crate::process::store::Put;
use crate::process::store::Store;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;
use crate::process::store::TransactionOutcome;
use crate::version::hash::zone_fingerprint;
use crate::version::store_position::StorePosition;

/// Most services that are written in one transaction.
const MAX_SERVICES_PER_BATCH: usize = 100;

/// Attempts to write a batch while other operators change other services.
const MAX_BATCH_ATTEMPTS: u32 = 16;

/// Attempts of one write while responses are lost.
const MAX_WRITE_ATTEMPTS: u32 = 6;

/// Delay before the same write is sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// One difference between the files and the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A service that is not in the store, or is marked there as removed.
    Add(ServiceSpec),
    /// A service that differs between the store and its file.
    Update {
        /// Service in the store.
        old: ServiceSpec,
        /// Service in the file.
        new: ServiceSpec,
    },
    /// A service in the store that has no file.
    Remove(ServiceSpec),
}

impl Change {
    /// Name of the service that changes.
    pub fn name(&self) -> &str {
        match self {
            Change::Add(spec) | Change::Remove(spec) | Change::Update { new: spec, .. } => {
                &spec.name
            }
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Add(spec) => write!(f, "+ {} at {}", spec.name, spec.address),
            Change::Remove(spec) => write!(f, "- {} at {}", spec.name, spec.address),
            Change::Update { old, new } => {
                write!(f, "~ {}: {}", new.name, differences(old, new).join(", "))
            }
        }
    }
}

/// Services in the store and the next free service number, each with the position of its last change.
#[derive(Clone, Debug)]
pub struct StoredServices {
    services: IndexMap<String, (StoredService, StorePosition)>,
    numbers: (StoredNumbers, StorePosition),
}

/// Changes that the store has accepted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PublishSummary {
    /// Names of the services whose change was accepted.
    pub accepted: Vec<String>,
    /// Store revision of the last accepted write; 0 if nothing was written.
    pub revision: u64,
}

/// Reads all services and the next free service number from the store.
pub async fn read_services(store: &dyn Store) -> Result<StoredServices> {
    let snapshot = store.range(CONFIGURATION_PREFIX).await.map_err(store_error)?;
    let numbers = store.range(NUMBERS_KEY).await.map_err(store_error)?;
    parse_services(&snapshot, &numbers)
}

/// Compares the service files with the store. With `prune`, services without a file are removed.
pub fn plan(stored: &StoredServices, specs: &[ServiceSpec], prune: bool) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    for spec in specs {
        match stored.services.get(&spec.name) {
            Some((existing, _)) if !existing.removed && existing.spec == *spec => {}
            Some((existing, _)) if !existing.removed => {
                check_address_unchanged(&existing.spec, spec)?;
                changes.push(Change::Update { old: existing.spec.clone(), new: spec.clone() });
            }
            _ => changes.push(Change::Add(spec.clone())),
        }
    }
    if prune {
        let is_described = |name: &str| specs.iter().any(|spec| spec.name == name);
        let existing = stored.services.values().filter(|(existing, _)| !existing.removed);
        let undescribed = existing.filter(|(existing, _)| !is_described(&existing.spec.name));
        changes.extend(undescribed.map(|(existing, _)| Change::Remove(existing.spec.clone())));
    }
    check_addresses_unused(stored, specs, &changes)?;
    Ok(changes)
}

/// Writes the changes in batches and stops at the first batch that fails. The summary lists what was accepted
/// before that.
pub async fn publish(
    store: &dyn Store,
    base: &StoredServices,
    changes: &[Change],
) -> (PublishSummary, Result<()>) {
    let mut published = PublishSummary::default();
    let mut base = base.clone();
    for batch in changes.chunks(MAX_SERVICES_PER_BATCH) {
        match write_batch(store, &mut base, batch).await {
            Ok(revision) => {
                published.revision = revision;
                published.accepted.extend(batch.iter().map(|change| change.name().to_owned()));
            }
            Err(error) => return (published, Err(error)),
        }
    }
    (published, Ok(()))
}

/// Takes an availability zone out of service or puts it back. Returns the store revision of the change.
pub async fn set_zone(store: &dyn Store, name: &str, out: bool) -> Result<u64> {
    let key = zone_key(name);
    let zones = store.range(&zone_key("")).await.map_err(store_error)?;
    check_zone_fingerprint_unused(&zones, name)?;
    let publish_id = new_publish_id();
    let value = to_json(&StoredZone { publish_id: publish_id.clone(), out });
    let puts = [Put { key: key.clone(), value, lease: None }];
    let conditions = [zones.unchanged(&key)];
    match write_with_retry(store, &conditions, &puts).await? {
        WriteResult { outcome: TransactionOutcome::Done(position), .. } => Ok(position.revision),
        WriteResult { response_lost, .. } => {
            let current_zone = read_zone(store, &key).await?;
            let stored_id = current_zone.as_ref().map(|(stored, _)| stored.publish_id.as_str());
            match (classify_conflict(stored_id, &publish_id, response_lost), &current_zone) {
                (ConflictOutcome::Accepted, Some((_, position))) => Ok(position.revision),
                (outcome, current_zone) => Err(zone_conflict(name, outcome, current_zone.as_ref())),
            }
        }
    }
}

/// Result of a write whose precondition failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ConflictOutcome {
    /// An earlier attempt of the same write took effect and is still stored.
    Accepted,
    /// The write did not take effect, and none of its attempts can take effect later.
    NotAccepted,
    /// Another write is stored now. Whether this write took effect before it is unknown.
    Superseded,
}

/// Classifies a conflict by the publish id that is in the store.
///
/// `response_lost` says whether an earlier attempt of the same write got no response. All attempts have the
/// same publish id and the same precondition, so at most one of them takes effect.
pub fn classify_conflict(
    stored_id: Option<&str>,
    own_id: &str,
    response_lost: bool,
) -> ConflictOutcome {
    match stored_id {
        Some(stored_id) if stored_id == own_id => ConflictOutcome::Accepted,
        _ if response_lost => ConflictOutcome::Superseded,
        _ => ConflictOutcome::NotAccepted,
    }
}

struct WriteResult {
    outcome: TransactionOutcome,
    response_lost: bool,
}

/// Sends a write, and sends it again while responses are lost.
async fn write_with_retry(
    store: &dyn Store,
    conditions: &[Precondition],
    puts: &[Put],
) -> Result<WriteResult> {
    let mut response_lost = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store.transaction(conditions, puts).await {
            Ok(outcome) => return Ok(WriteResult { outcome, response_lost }),
            Err(StoreError::NoAnswer { .. }) => response_lost = true,
            Err(StoreError::Unreachable { .. }) if response_lost => {}
            Err(StoreError::EraChanged { may_have_run }) => {
                return Err(store_restored(may_have_run || response_lost));
            }
            Err(error) => return Err(store_error(error)),
        }
        tokio::time::sleep(WRITE_RETRY_DELAY).await;
    }
    let message = "unknown whether the change was accepted, since the store did not respond to \
                   repeated writes; run the same command again later"
        .to_owned();
    Err(Error::OutcomeUnknown { message })
}

/// Error of a write whose conditions belong to an era before the store returned from an older copy.
fn store_restored(may_have_run: bool) -> Error {
    let cause = "the store has returned from an older copy during the command";
    match may_have_run {
        true => Error::OutcomeUnknown {
            message: format!(
                "{cause}; unknown whether the change was accepted; run the same command again"
            ),
        },
        false => Error::Conflict {
            message: format!("{cause}; nothing was written; run the same command again"),
        },
    }
}

async fn write_batch(
    store: &dyn Store,
    base: &mut StoredServices,
    batch: &[Change],
) -> Result<u64> {
    let publish_id = new_publish_id();
    for _ in 0..MAX_BATCH_ATTEMPTS {
        let (conditions, puts) = build_transaction(base, batch, &publish_id)?;
        let written = write_with_retry(store, &conditions, &puts).await?;
        let current = read_services(store).await;
        if let TransactionOutcome::Done(position) = written.outcome {
            *base = current.unwrap_or_else(|_| base.clone());
            return Ok(position.revision);
        }
        let current = current?;
        let (stored_id, position) = existing_publish(&current, batch);
        let outcome = classify_conflict(stored_id, &publish_id, written.response_lost);
        if outcome == ConflictOutcome::Accepted {
            *base = current;
            return Ok(position.revision);
        }
        check_unchanged_by_others(base, &current, batch, outcome)?;
        *base = current;
    }
    let message =
        "other operators publish at the same time; the remaining changes were not accepted"
            .to_owned();
    Err(Error::Conflict { message })
}

fn build_transaction(
    base: &StoredServices,
    batch: &[Change],
    publish_id: &str,
) -> Result<(Vec<Precondition>, Vec<Put>)> {
    let mut conditions = Vec::new();
    let mut puts = Vec::new();
    let (mut numbers, numbers_position) = base.numbers;
    let absent = StorePosition::new(numbers_position.era, 0);
    for change in batch {
        let existing = base.services.get(change.name());
        let number = match existing {
            Some((existing, _)) => existing.number,
            None => allocate_service_number(&mut numbers)?,
        };
        let (spec, removed) = match change {
            Change::Add(spec) | Change::Update { new: spec, .. } => (spec, false),
            Change::Remove(spec) => (spec, true),
        };
        let stored = StoredService {
            publish_id: publish_id.to_owned(),
            number,
            removed,
            spec: spec.clone(),
        };
        let key = service_key(change.name());
        let position = existing.map_or(absent, |(_, position)| *position);
        conditions.push(Precondition { key: key.clone(), position });
        puts.push(Put { key, value: to_json(&stored), lease: None });
    }
    // Every publish writes this key, so two concurrent ones conflict and cannot assign the same number or
    // address.
    let key = NUMBERS_KEY.to_owned();
    conditions.push(Precondition { key: key.clone(), position: numbers_position });
    puts.push(Put { key, value: to_json(&numbers), lease: None });
    Ok((conditions, puts))
}

fn allocate_service_number(numbers: &mut StoredNumbers) -> Result<u16> {
    let number = numbers.next;
    let message =
        "no service number is free, since those of removed services are not reused".to_owned();
    numbers.next = number.checked_add(1).ok_or(Error::Usage { message })?;
    Ok(number)
}

/// Fails if another operator changed a service of this batch, or gave one of its addresses to another
/// service.
fn check_unchanged_by_others(
    base: &StoredServices,
    current: &StoredServices,
    batch: &[Change],
    outcome: ConflictOutcome,
) -> Result<()> {
    for change in batch {
        let before = base.services.get(change.name()).map(|(_, position)| *position);
        let now = current.services.get(change.name());
        if before == now.map(|(_, position)| *position) {
            continue;
        }
        let stored = now.map_or("no such service".to_owned(), |(existing, position)| {
            describe(existing, position.revision)
        });
        let message = format!(
            "another operator changed {} first; the store now has {stored}; {}",
            change.name(),
            outcome_text(outcome),
        );
        return Err(Error::Conflict { message });
    }
    let specs: Vec<ServiceSpec> = batch
        .iter()
        .filter_map(|change| match change {
            Change::Add(spec) | Change::Update { new: spec, .. } => Some(spec.clone()),
            Change::Remove(_) => None,
        })
        .collect();
    check_addresses_unused(current, &specs, batch).map_err(|error| {
        let message = format!("another operator published first: {error}");
        Error::Conflict { message }
    })
}

/// Publish id and position that the store has for the first service of a batch. A batch is written in one
/// transaction, so its services share the publish id.
fn existing_publish<'a>(
    current: &'a StoredServices,
    batch: &[Change],
) -> (Option<&'a str>, StorePosition) {
    let existing = batch.first().and_then(|change| current.services.get(change.name()));
    existing.map_or((None, StorePosition::default()), |(existing, position)| {
        (Some(existing.publish_id.as_str()), *position)
    })
}

async fn read_zone(store: &dyn Store, key: &str) -> Result<Option<(StoredZone, StorePosition)>> {
    let snapshot = store.range(key).await.map_err(store_error)?;
    let Some(existing) = snapshot.values.iter().find(|value| value.key == key) else {
        return Ok(None);
    };
    Ok(Some((from_json(key, &existing.value)?, existing.position)))
}

fn zone_conflict(
    name: &str,
    outcome: ConflictOutcome,
    current_zone: Option<&(StoredZone, StorePosition)>,
) -> Error {
    let now = match current_zone {
        Some((stored, _)) if stored.out => "out",
        Some(_) => "in",
        None => "not in the store",
    };
    let message = format!(
        "another operator changed zone {name} first; it is now {now}; {}",
        outcome_text(outcome),
    );
    Error::Conflict { message }
}

fn outcome_text(outcome: ConflictOutcome) -> &'static str {
    match outcome {
        ConflictOutcome::Accepted => "your change was accepted",
        ConflictOutcome::NotAccepted => "your change was not accepted",
        ConflictOutcome::Superseded => {
            "your change may have been in force before the other operator's"
        }
    }
}

fn parse_services(snapshot: &StoreSnapshot, numbers: &StoreSnapshot) -> Result<StoredServices> {
    let mut services = IndexMap::new();
    for value in snapshot.values.iter().filter(|value| value.key.starts_with(&service_key(""))) {
        let stored: StoredService = from_json(&value.key, &value.value)?;
        services.insert(stored.spec.name.clone(), (stored, value.position));
    }
    let numbers = match numbers.values.iter().find(|value| value.key == NUMBERS_KEY) {
        Some(value) => (from_json(&value.key, &value.value)?, value.position),
        None => (StoredNumbers { next: 1 }, StorePosition::new(numbers.position.era, 0)),
    };
    Ok(StoredServices { services, numbers })
}

/// Fails if the address of a service changes: established flows to the old address would break.
fn check_address_unchanged(old: &ServiceSpec, new: &ServiceSpec) -> Result<()> {
    if old.address == new.address {
        return Ok(());
    }
    let message = format!(
        "{}: the address cannot change from {} to {}, since established flows would break; \
         publish the service under a new name",
        new.name, old.address, new.address,
    );
    Err(Error::Usage { message })
}

fn check_addresses_unused(
    stored: &StoredServices,
    specs: &[ServiceSpec],
    changes: &[Change],
) -> Result<()> {
    let removed = |name: &str| {
        changes.iter().any(|change| matches!(change, Change::Remove(spec) if spec.name == name))
    };
    for spec in specs {
        let other = stored.services.values().find(|(existing, _)| {
            !existing.removed
                && existing.spec.address == spec.address
                && existing.spec.name != spec.name
                && !removed(&existing.spec.name)
        });
        if let Some((other, _)) = other {
            let message = format!(
                "{}: address {} is already used by service {}",
                spec.name, spec.address, other.spec.name
            );
            return Err(Error::Usage { message });
        }
    }
    Ok(())
}

fn check_zone_fingerprint_unused(zones: &StoreSnapshot, name: &str) -> Result<()> {
    let prefix = zone_key("");
    let mut names = zones.values.iter().filter_map(|value| value.key.strip_prefix(&prefix));
    let collision =
        names.find(|other| *other != name && zone_fingerprint(other) == zone_fingerprint(name));
    match collision {
        Some(collision) => {
            let message =
                format!("zones {name} and {collision} have the same fingerprint; rename one");
            Err(Error::Usage { message })
        }
        None => Ok(()),
    }
}

fn describe(existing: &StoredService, revision: u64) -> String {
    let spec = serde_json::to_string(&existing.spec).unwrap_or_default();
    let removed = if existing.removed { " (removed)" } else { "" };
    format!("revision {revision}{removed}: {spec}")
}

fn differences(old: &ServiceSpec, new: &ServiceSpec) -> Vec<String> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else {
        return Vec::new();
    };
    new.iter()
        .filter(|(key, value)| old.get(*key) != Some(value))
        .map(|(key, value)| format!("{key} {} -> {value}", old.get(key).unwrap_or(value)))
        .collect()
}

fn new_publish_id() -> String {
    format!("{:016x}", rand::rng().next_u64())
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored values can be serialised")
}

fn from_json<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|error| {
        let message = format!("value of {key} does not parse: {error}");
        Error::Store { source: StoreError::Refused { message } }
    })
}

fn store_error(source: StoreError) -> Error {
    Error::Store { source }
}
