//! Publishing: service files and zone changes into the store, by compare-and-swap.
//!
//! Each write carries a publish id. When the answer to a write is lost, the same write is sent again:
//! either it takes effect now, or the conflict shows whose write is held, by its id. A first try that
//! arrives late meets the same conflict, so nothing told to the operator turns false later.

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
use crate::process::store::Put;
use crate::process::store::Store;
use crate::process::store::StoreError;
use crate::process::store::StoreSnapshot;
use crate::process::store::TransactionOutcome;
use crate::process::store::Unchanged;
use crate::version::hash::zone_fingerprint;

/// Services written in one transaction at most.
const MAX_SERVICES_PER_WRITE: usize = 100;

/// Tries to write over a change that another operator made to other services.
const MAX_TRIES: u32 = 16;

/// Tries of one write while answers are lost.
const MAX_LOST_ANSWERS: u32 = 6;

/// Wait before the same write is tried again.
const LOST_ANSWER_WAIT: Duration = Duration::from_millis(500);

/// One difference between the files and the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A service that the store does not hold, or holds as removed.
    Add(ServiceSpec),
    /// A service that differs.
    Update {
        /// As in the store.
        old: ServiceSpec,
        /// As in the files.
        new: ServiceSpec,
    },
    /// A service that no file describes.
    Remove(ServiceSpec),
}

impl Change {
    /// Name of the service.
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

/// The services in the store at one revision.
#[derive(Clone, Debug)]
pub struct StoredServices {
    services: IndexMap<String, (StoredService, u64)>,
    numbers: (StoredNumbers, u64),
}

/// What a publishing did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Published {
    /// Names of the services accepted.
    pub accepted: Vec<String>,
    /// Revision of the last accepted write; 0 where nothing changed.
    pub revision: u64,
}

/// Reads the services in the store.
pub async fn read_services(store: &dyn Store) -> Result<StoredServices> {
    let snapshot = store.range(CONFIGURATION_PREFIX).await.map_err(store_error)?;
    let numbers = store.range(NUMBERS_KEY).await.map_err(store_error)?;
    parse_services(&snapshot, &numbers)
}

/// Compares files with the store. With `prune`, services without a file are removed.
pub fn plan(stored: &StoredServices, specs: &[ServiceSpec], prune: bool) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    for spec in specs {
        match stored.services.get(&spec.name) {
            Some((held, _)) if !held.removed && held.spec == *spec => {}
            Some((held, _)) if !held.removed => {
                check_address_kept(&held.spec, spec)?;
                changes.push(Change::Update { old: held.spec.clone(), new: spec.clone() });
            }
            _ => changes.push(Change::Add(spec.clone())),
        }
    }
    if prune {
        let is_described = |name: &str| specs.iter().any(|spec| spec.name == name);
        let held = stored.services.values().filter(|(held, _)| !held.removed);
        let left = held.filter(|(held, _)| !is_described(&held.spec.name));
        changes.extend(left.map(|(held, _)| Change::Remove(held.spec.clone())));
    }
    check_addresses_free(stored, specs, &changes)?;
    Ok(changes)
}

/// Writes the changes. All that was accepted is told, also where a later part is refused.
pub async fn publish(
    store: &dyn Store,
    base: &StoredServices,
    changes: &[Change],
) -> (Published, Result<()>) {
    let mut published = Published::default();
    let mut base = base.clone();
    for part in changes.chunks(MAX_SERVICES_PER_WRITE) {
        match write_part(store, &mut base, part).await {
            Ok(revision) => {
                published.revision = revision;
                published.accepted.extend(part.iter().map(|change| change.name().to_owned()));
            }
            Err(error) => return (published, Err(error)),
        }
    }
    (published, Ok(()))
}

/// Takes an availability zone out or in. Returns the revision.
pub async fn set_zone(store: &dyn Store, name: &str, out: bool) -> Result<u64> {
    let key = zone_key(name);
    let zones = store.range(&zone_key("")).await.map_err(store_error)?;
    check_zone_fingerprint(&zones, name)?;
    let held = zones.values.iter().find(|value| value.key == key);
    let publish_id = fresh_publish_id();
    let value = to_json(&StoredZone { publish_id: publish_id.clone(), out });
    let puts = [Put { key: key.clone(), value, lease: None }];
    let revision = held.map_or(0, |value| value.revision);
    let conditions = [Unchanged { key: key.clone(), revision }];
    match write(store, &conditions, &puts).await? {
        Written { outcome: TransactionOutcome::Done(revision), .. } => Ok(revision),
        Written { answer_lost, .. } => {
            let winner = read_zone(store, &key).await?;
            let winner_id = winner.as_ref().map(|(stored, _)| stored.publish_id.as_str());
            match (judge_conflict(winner_id, &publish_id, answer_lost), &winner) {
                (Judgement::Accepted, Some((_, revision))) => Ok(*revision),
                (judgement, winner) => Err(zone_conflict(name, judgement, winner.as_ref())),
            }
        }
    }
}

/// What a conflict means for a write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Judgement {
    /// The store holds the write itself: an earlier try took effect.
    Accepted,
    /// The write never took effect and never will.
    NotAccepted,
    /// Another write is held now; whether this one was held before it is unknown.
    Replaced,
}

/// Judges a write that met a conflict, from the publish id that the store holds.
///
/// `answer_lost` tells that an earlier try of the same write got no answer. Every try has the same
/// id and the same condition, so at most one of them ever takes effect.
pub fn judge_conflict(held_id: Option<&str>, own_id: &str, answer_lost: bool) -> Judgement {
    match held_id {
        Some(held_id) if held_id == own_id => Judgement::Accepted,
        _ if answer_lost => Judgement::Replaced,
        _ => Judgement::NotAccepted,
    }
}

struct Written {
    outcome: TransactionOutcome,
    answer_lost: bool,
}

/// Writes, and writes the same again while answers are lost.
async fn write(store: &dyn Store, conditions: &[Unchanged], puts: &[Put]) -> Result<Written> {
    let mut answer_lost = false;
    for _ in 0..MAX_LOST_ANSWERS {
        match store.transaction(conditions, puts).await {
            Ok(outcome) => return Ok(Written { outcome, answer_lost }),
            Err(StoreError::NoAnswer { .. }) => answer_lost = true,
            Err(StoreError::Unreachable { .. }) if answer_lost => {}
            Err(error) => return Err(store_error(error)),
        }
        tokio::time::sleep(LOST_ANSWER_WAIT).await;
    }
    let message = "unknown whether it was accepted (the store keeps giving no answer); run the \
                   same command again later"
        .to_owned();
    Err(Error::Unknown { message })
}

async fn write_part(store: &dyn Store, base: &mut StoredServices, part: &[Change]) -> Result<u64> {
    let publish_id = fresh_publish_id();
    for _ in 0..MAX_TRIES {
        let (conditions, puts) = transaction_of(base, part, &publish_id)?;
        let written = write(store, &conditions, &puts).await?;
        let current = read_services(store).await;
        if let TransactionOutcome::Done(revision) = written.outcome {
            *base = current.unwrap_or_else(|_| base.clone());
            return Ok(revision);
        }
        let current = current?;
        let (held_id, revision) = held_write(&current, part);
        let judgement = judge_conflict(held_id, &publish_id, written.answer_lost);
        if judgement == Judgement::Accepted {
            *base = current;
            return Ok(revision);
        }
        check_still_same(base, &current, part, judgement)?;
        *base = current;
    }
    let message = "other operators keep publishing; nothing of this part was accepted".to_owned();
    Err(Error::Conflict { message })
}

fn transaction_of(
    base: &StoredServices,
    part: &[Change],
    publish_id: &str,
) -> Result<(Vec<Unchanged>, Vec<Put>)> {
    let mut conditions = Vec::new();
    let mut puts = Vec::new();
    let (mut numbers, numbers_revision) = base.numbers;
    for change in part {
        let held = base.services.get(change.name());
        let number = match held {
            Some((held, _)) => held.number,
            None => take_number(&mut numbers)?,
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
        let revision = held.map_or(0, |(_, revision)| *revision);
        conditions.push(Unchanged { key: key.clone(), revision });
        puts.push(Put { key, value: to_json(&stored), lease: None });
    }
    // Every publishing changes this key, so that two cannot give the same number or address.
    let key = NUMBERS_KEY.to_owned();
    conditions.push(Unchanged { key: key.clone(), revision: numbers_revision });
    puts.push(Put { key, value: to_json(&numbers), lease: None });
    Ok((conditions, puts))
}

fn take_number(numbers: &mut StoredNumbers) -> Result<u16> {
    let number = numbers.next;
    let message = "all service numbers are used".to_owned();
    numbers.next = number.checked_add(1).ok_or(Error::Usage { message })?;
    Ok(number)
}

/// Whether nobody changed the services of this part or took their addresses.
fn check_still_same(
    base: &StoredServices,
    current: &StoredServices,
    part: &[Change],
    judgement: Judgement,
) -> Result<()> {
    for change in part {
        let before = base.services.get(change.name()).map(|(_, revision)| *revision);
        let now = current.services.get(change.name());
        if before == now.map(|(_, revision)| *revision) {
            continue;
        }
        let winner = now.map_or("nothing".to_owned(), |(held, revision)| describe(held, *revision));
        let message = format!(
            "another operator changed {} first; the store now holds {winner}; {}",
            change.name(),
            outcome_text(judgement),
        );
        return Err(Error::Conflict { message });
    }
    let specs: Vec<ServiceSpec> = part
        .iter()
        .filter_map(|change| match change {
            Change::Add(spec) | Change::Update { new: spec, .. } => Some(spec.clone()),
            Change::Remove(_) => None,
        })
        .collect();
    check_addresses_free(current, &specs, part).map_err(|error| {
        let message = format!("another operator was first: {error}");
        Error::Conflict { message }
    })
}

/// Publish id and revision of the first service of a part.
fn held_write<'a>(current: &'a StoredServices, part: &[Change]) -> (Option<&'a str>, u64) {
    let held = part.first().and_then(|change| current.services.get(change.name()));
    held.map_or((None, 0), |(held, revision)| (Some(held.publish_id.as_str()), *revision))
}

async fn read_zone(store: &dyn Store, key: &str) -> Result<Option<(StoredZone, u64)>> {
    let snapshot = store.range(key).await.map_err(store_error)?;
    let Some(held) = snapshot.values.iter().find(|value| value.key == key) else {
        return Ok(None);
    };
    Ok(Some((from_json(key, &held.value)?, held.revision)))
}

fn zone_conflict(name: &str, judgement: Judgement, winner: Option<&(StoredZone, u64)>) -> Error {
    let now = match winner {
        Some((stored, _)) if stored.out => "out",
        Some(_) => "in",
        None => "not known",
    };
    let message = format!(
        "another operator changed zone {name} first; it is now {now}; {}",
        outcome_text(judgement),
    );
    Error::Conflict { message }
}

fn outcome_text(judgement: Judgement) -> &'static str {
    match judgement {
        Judgement::Accepted => "accepted",
        Judgement::NotAccepted => "not accepted",
        Judgement::Replaced => "this change may have been in force before that",
    }
}

fn parse_services(snapshot: &StoreSnapshot, numbers: &StoreSnapshot) -> Result<StoredServices> {
    let mut services = IndexMap::new();
    for value in snapshot.values.iter().filter(|value| value.key.starts_with(&service_key(""))) {
        let stored: StoredService = from_json(&value.key, &value.value)?;
        services.insert(stored.spec.name.clone(), (stored, value.revision));
    }
    let numbers = match numbers.values.iter().find(|value| value.key == NUMBERS_KEY) {
        Some(value) => (from_json(&value.key, &value.value)?, value.revision),
        None => (StoredNumbers { next: 1 }, 0),
    };
    Ok(StoredServices { services, numbers })
}

/// A new address would leave established flows without a way.
fn check_address_kept(old: &ServiceSpec, new: &ServiceSpec) -> Result<()> {
    if old.address == new.address {
        return Ok(());
    }
    let message = format!(
        "{}: the address cannot change from {} to {}, since open flows would break; publish the \
         service under a new name",
        new.name, old.address, new.address,
    );
    Err(Error::Usage { message })
}

fn check_addresses_free(
    stored: &StoredServices,
    specs: &[ServiceSpec],
    changes: &[Change],
) -> Result<()> {
    let removed = |name: &str| {
        changes.iter().any(|change| matches!(change, Change::Remove(spec) if spec.name == name))
    };
    for spec in specs {
        let other = stored.services.values().find(|(held, _)| {
            !held.removed
                && held.spec.address == spec.address
                && held.spec.name != spec.name
                && !removed(&held.spec.name)
        });
        if let Some((other, _)) = other {
            let message =
                format!("{}: address {} belongs to {}", spec.name, spec.address, other.spec.name);
            return Err(Error::Usage { message });
        }
    }
    Ok(())
}

fn check_zone_fingerprint(zones: &StoreSnapshot, name: &str) -> Result<()> {
    let prefix = zone_key("");
    let mut names = zones.values.iter().filter_map(|value| value.key.strip_prefix(&prefix));
    let twin =
        names.find(|other| *other != name && zone_fingerprint(other) == zone_fingerprint(name));
    match twin {
        Some(twin) => {
            let message = format!("zones {name} and {twin} cannot be used together; rename one");
            Err(Error::Usage { message })
        }
        None => Ok(()),
    }
}

fn describe(held: &StoredService, revision: u64) -> String {
    let spec = serde_json::to_string(&held.spec).unwrap_or_default();
    let removed = if held.removed { " (removed)" } else { "" };
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

fn fresh_publish_id() -> String {
    format!("{:016x}", rand::rng().next_u64())
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored values always serialise")
}

fn from_json<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|error| {
        let message = format!("{key} does not parse: {error}");
        Error::Store { source: StoreError::Refused { message } }
    })
}

fn store_error(source: StoreError) -> Error {
    Error::Store { source }
}
