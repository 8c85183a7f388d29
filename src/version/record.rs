//! Records that are replicated among nodes. Each record has one writer, which assigns its order; only
//! the mark that the writer is lost comes from another node.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::version::hash::hash64;

/// Key of a record.
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
    /// Hash of the key, equal on all nodes.
    pub fn hash(&self) -> u64 {
        match self {
            RecordKey::Service(name) => hash64(format!("service {name}").as_bytes()),
            RecordKey::Zone(name) => hash64(format!("zone {name}").as_bytes()),
            RecordKey::Target(address) => hash64(format!("target {address}").as_bytes()),
            RecordKey::Balancer(address) => hash64(format!("balancer {address}").as_bytes()),
        }
    }
}

/// Order of the records of one key, compared field by field; the record with the highest order is current.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Order {
    /// Store revision, or incarnation of the writer.
    pub major: u64,
    /// Sequence number within the incarnation; 0 for configuration.
    pub minor: u64,
    /// Whether another node has declared the writer lost; the writer refutes this by a record with a higher
    /// sequence number.
    pub lost: bool,
}

/// A service, as published by operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRecord {
    /// Store revision of the last change.
    pub revision: u64,
    /// Name, unique in the system.
    pub name: String,
    /// Whether the service was removed.
    pub removed: bool,
    /// Number that identifies the service in flow tags.
    pub number: u16,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Number of requests that a cold target processes concurrently at first.
    pub first_limit: u32,
    /// Number of answers after which the limit of a cold target grows by one.
    pub growth_answers: u32,
    /// Deadline of requests that specify none, in milliseconds.
    pub request_deadline_ms: u32,
    /// Maximum number of retries per hundred requests in the caller library.
    pub retry_budget_percent: u32,
    /// Availability zones whose targets serve it; empty for all zones.
    pub zones: Vec<String>,
    /// Path prefixes of long streams, which occupy a connection but no slot once they have answered.
    pub stream_paths: Vec<String>,
}

/// An availability zone that operators have taken out of service or back in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneRecord {
    /// Store revision of the last change.
    pub revision: u64,
    /// Name of the zone.
    pub name: String,
    /// Whether the zone is out of service.
    pub out: bool,
}

/// Phase of a target, which decides whether it accepts new flows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Phase {
    /// Accepts new work up to its capacity.
    Serving,
    /// In slow start: accepts new work up to a limit that grows.
    Cold,
    /// Draining: accepts no new work and completes what is running.
    Leaving,
    /// Has stopped.
    Gone,
    /// Announced, but the agent does not have the configuration of its service yet.
    Starting,
}

impl Phase {
    /// Whether a target in this phase accepts new flows.
    pub fn accepts_new_flows(self) -> bool {
        matches!(self, Phase::Serving | Phase::Cold)
    }
}

/// A target, as announced by its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Data address of the agent.
    pub data: SocketAddrV4,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Sequence number of the record within the incarnation.
    pub sequence: u64,
    /// Whether a monitor has declared the target lost.
    pub lost: bool,
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that it processes concurrently when warm.
    pub slots: u32,
    /// Maximum number of connections when warm.
    pub connections: u32,
    /// Phase of the target.
    pub phase: Phase,
}

/// A balancer, as announced by itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerRecord {
    /// Address for control messages; identifies the balancer.
    pub control: SocketAddrV4,
    /// Incarnation of the balancer; it grows with each start.
    pub incarnation: u64,
    /// Sequence number of the record within the incarnation.
    pub sequence: u64,
    /// Whether another balancer has declared this one lost.
    pub lost: bool,
    /// Availability zone.
    pub zone: String,
    /// Address of its admin interface.
    pub admin: SocketAddrV4,
    /// Whether it has shut down in an orderly way.
    pub gone: bool,
}

/// A replicated record.
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
    /// Key that identifies the record.
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

    /// Whether the record is configuration that operators wrote to the store.
    pub fn is_configuration(&self) -> bool {
        matches!(self, Record::Service(_) | Record::Zone(_))
    }
}
