//! Layout of the configuration in the store: one key for each service and one for each availability zone.

use serde::Deserialize;
use serde::Serialize;

use crate::process::service_file::ServiceSpec;
use crate::process::store::StoreValue;
use crate::version::record::Record;
use crate::version::record::ServiceRecord;
use crate::version::record::ZoneRecord;

/// Prefix of the keys of all services and availability zones.
pub const CONFIGURATION_PREFIX: &str = "rhubarbthread/v1/config/";

/// Prefix of the keys that name the control address of a balancer. New balancers and agents without a
/// reachable seed find the system through them.
pub const CONTACT_PREFIX: &str = "rhubarbthread/v1/contact/";

/// Key that holds the next free service number.
pub const NUMBERS_KEY: &str = "rhubarbthread/v1/numbers";

const SERVICE_PREFIX: &str = "rhubarbthread/v1/config/service/";
const ZONE_PREFIX: &str = "rhubarbthread/v1/config/zone/";

/// Value of a service key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredService {
    /// Random id of the publish that wrote the value.
    pub publish_id: String,
    /// Number that identifies the service in flow tags.
    pub number: u16,
    /// Whether the service was removed. The key stays, so that its number is not assigned again.
    pub removed: bool,
    /// Service as its file describes it.
    pub spec: ServiceSpec,
}

/// Value of a zone key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredZone {
    /// Random id of the operation that wrote the value.
    pub publish_id: String,
    /// Whether the zone is out of service.
    pub out: bool,
}

/// Value of [`NUMBERS_KEY`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredNumbers {
    /// Number of the next service that is added.
    pub next: u16,
}

/// Key of the service with this name.
pub fn service_key(name: &str) -> String {
    format!("{SERVICE_PREFIX}{name}")
}

/// Key of the availability zone with this name.
pub fn zone_key(name: &str) -> String {
    format!("{ZONE_PREFIX}{name}")
}

/// Parses a value under [`CONFIGURATION_PREFIX`]. `None` if the key or the value has an unknown form.
pub fn parse_record(value: &StoreValue) -> Option<Record> {
    if let Some(name) = value.key.strip_prefix(SERVICE_PREFIX) {
        let stored: StoredService = serde_json::from_slice(&value.value).ok()?;
        return (stored.spec.name == name)
            .then(|| service_record(&stored, value.position.revision));
    }
    let name = value.key.strip_prefix(ZONE_PREFIX)?;
    let stored: StoredZone = serde_json::from_slice(&value.value).ok()?;
    let name = name.to_owned();
    let revision = value.position.revision;
    Some(Record::Zone(ZoneRecord { revision, name, out: stored.out }))
}

fn service_record(stored: &StoredService, revision: u64) -> Record {
    let spec = &stored.spec;
    Record::Service(ServiceRecord {
        revision,
        name: spec.name.clone(),
        removed: stored.removed,
        number: stored.number,
        address: spec.address,
        first_limit: spec.first_limit,
        growth_answers: spec.growth_answers,
        request_deadline_ms: spec.request_deadline_ms,
        retry_budget_percent: spec.retry_budget_percent,
        zones: spec.zones.clone(),
        stream_paths: spec.stream_paths.clone(),
    })
}
