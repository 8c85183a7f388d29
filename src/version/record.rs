//! The records that nodes share. Each kind has one writer, which gives each record its order.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::version::hash::hash64;

/// Identity of a record.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RecordKey {
    /// A service, by name.
    Service(String),
    /// An availability zone, by name.
    Zone(String),
    /// A target, by the data address of its agent.
    Target(SocketAddrV4),
    /// A balancer, by its control address.
    Balancer(SocketAddrV4),
}

impl RecordKey {
    /// Hash that all nodes compute alike.
    pub fn hash(&self) -> u64 {
        match self {
            RecordKey::Service(name) => hash64(format!("service {name}").as_bytes()),
            RecordKey::Zone(name) => hash64(format!("zone {name}").as_bytes()),
            RecordKey::Target(address) => hash64(format!("target {address}").as_bytes()),
            RecordKey::Balancer(address) => hash64(format!("balancer {address}").as_bytes()),
        }
    }
}

/// Order of the records of one key; the higher one holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Order {
    /// Store revision, or incarnation of the writer.
    pub major: u64,
    /// Sequence within the incarnation.
    pub minor: u64,
    /// Whether an observer found the writer lost; the writer refutes it by a higher sequence.
    pub lost: bool,
}

/// A service as operators published it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRecord {
    /// Store revision of the last change.
    pub revision: u64,
    /// Name, unique in the system.
    pub name: String,
    /// Whether the service was removed.
    pub removed: bool,
    /// Number in flow tags.
    pub number: u16,
    /// Address that callers use.
    pub address: SocketAddr,
    /// Requests that a cold target runs at once.
    pub first_limit: u32,
    /// Answers that raise the limit of a cold target by one.
    pub growth_answers: u32,
    /// Deadline of a request that names none, in milliseconds.
    pub request_deadline_ms: u32,
    /// Retries per hundred requests that the caller library may send.
    pub retry_budget_percent: u32,
    /// Availability zones whose targets serve it; empty for all.
    pub zones: Vec<String>,
    /// Path prefixes of long streams, which hold a connection but no slot once they answer.
    pub stream_paths: Vec<String>,
}

/// An availability zone that operators took out or in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneRecord {
    /// Store revision of the last change.
    pub revision: u64,
    /// Name of the zone.
    pub name: String,
    /// Whether the zone is out of service.
    pub out: bool,
}

/// What a target is ready for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Phase {
    /// Takes new work up to its capacity.
    Serving,
    /// Takes new work up to a limit that still grows.
    Cold,
    /// Takes no new work and ends what runs.
    Leaving,
    /// Is no longer there.
    Gone,
    /// Is announced and waits for its service's configuration.
    Starting,
}

impl Phase {
    /// Whether new flows may go to a target in this phase.
    pub fn takes_new_flows(self) -> bool {
        matches!(self, Phase::Serving | Phase::Cold)
    }
}

/// A target, as its agent announces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Data address of the agent.
    pub data: SocketAddrV4,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Sequence within the incarnation.
    pub sequence: u64,
    /// Whether a keeper found it lost.
    pub lost: bool,
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Connections that it holds when warm.
    pub connections: u32,
    /// What it is ready for.
    pub phase: Phase,
}

/// A balancer, as it announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerRecord {
    /// Control address.
    pub control: SocketAddrV4,
    /// Incarnation.
    pub incarnation: u64,
    /// Sequence within the incarnation.
    pub sequence: u64,
    /// Whether a peer found it lost.
    pub lost: bool,
    /// Availability zone.
    pub zone: String,
    /// Address of its admin interface.
    pub admin: SocketAddrV4,
    /// Whether it stopped as planned.
    pub gone: bool,
}

/// Any record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A service.
    Service(ServiceRecord),
    /// An availability zone.
    Zone(ZoneRecord),
    /// A target.
    Target(TargetRecord),
    /// A balancer.
    Balancer(BalancerRecord),
}

impl Record {
    /// Identity of the record.
    pub fn key(&self) -> RecordKey {
        match self {
            Record::Service(service) => RecordKey::Service(service.name.clone()),
            Record::Zone(zone) => RecordKey::Zone(zone.name.clone()),
            Record::Target(target) => RecordKey::Target(target.data),
            Record::Balancer(balancer) => RecordKey::Balancer(balancer.control),
        }
    }

    /// Order among the records of the same key.
    pub fn order(&self) -> Order {
        match self {
            Record::Service(service) => Order { major: service.revision, minor: 0, lost: false },
            Record::Zone(zone) => Order { major: zone.revision, minor: 0, lost: false },
            Record::Target(target) => {
                Order { major: target.incarnation, minor: target.sequence, lost: target.lost }
            }
            Record::Balancer(balancer) => {
                Order { major: balancer.incarnation, minor: balancer.sequence, lost: balancer.lost }
            }
        }
    }

    /// Whether operators wrote it, through the store.
    pub fn is_configuration(&self) -> bool {
        matches!(self, Record::Service(_) | Record::Zone(_))
    }
}
