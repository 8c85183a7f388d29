//! Pass-through balancing: only the caller and the target read the payload of forwarded segments.
//!
//! A balancer selects a chain of agents for each segment. An agent forwards the segment to its target, and to
//! the next agent of the chain if the target does not hold the flow. The traits of this module abstract from
//! the platform's store, data formats and HTTP calls.

pub mod agent;
mod agent_forwarding;
mod agent_introduction;
pub mod agent_state;
pub mod balancer;
mod balancer_configuration;
mod balancer_entries;
mod balancer_forwarding;
mod balancer_peers;
mod balancer_start;
pub mod balancer_state;
pub mod balancer_store;
mod balancer_waiting;
pub mod datagrams;
pub mod exchange;
pub mod explain;
pub mod explanation;
pub mod follower;
pub mod message;
pub mod metrics;
pub mod registration;
pub mod seeds;
pub mod segment_header;
pub mod settings;
pub mod status;
mod target_presence;

use std::sync::Arc;

use rocket::Build;
use rocket::Rocket;

use crate::connection::segment::SegmentCodec;
use crate::connection::target_report::ReportOutcome;
use crate::connection::target_report::TargetReport;
use crate::process::store::Store;
use crate::version::routing::OperatorItem;

/// Prefix of the agents' entries in the store.
pub const TARGETS_PREFIX: &str = "rhubarbthread/targets/";
/// Prefix of the balancers' entries in the store.
pub const BALANCERS_PREFIX: &str = "rhubarbthread/balancers/";
/// Prefix of all entries that nodes of this program write.
pub const PROGRAM_PREFIX: &str = "rhubarbthread/";

/// Decoder of the configuration that operators write to the store.
pub trait OperatorItems: Send + Sync {
    /// Prefix of the keys that operators write.
    fn prefix(&self) -> &'static str;

    /// Decodes one value. The error is a message that says what is wrong with it.
    fn decode(&self, key: &str, value: &[u8]) -> Result<OperatorItem, String>;

    /// Availability zone that is out of service as long as this key exists; `None` if the key means no zone.
    fn zone_of<'a>(&self, key: &'a str) -> Option<&'a str>;
}

/// Source of a process's readiness.
pub trait Readiness: Send + Sync {
    /// Whether the process is ready for traffic.
    fn is_ready(&self) -> bool;
}

/// Receiver of a target's reports on itself.
pub trait TargetReportHandler: Send + Sync {
    /// Applies a report.
    fn report(&self, report: TargetReport) -> ReportOutcome;

    /// Applies the call of the target with this id that it has left; `started_ms` is its start time, in Unix
    /// milliseconds, if the call names it.
    fn leave(&self, id: &str, started_ms: Option<u64>);

    /// Logs a report that does not parse.
    fn note_malformed_report(&self, message: &str);
}

/// HTTP endpoints that the platform and the targets call.
pub trait HttpEndpoints: Send + Sync {
    /// Mounts the platform's readiness check.
    fn with_readiness(&self, server: Rocket<Build>, readiness: Arc<dyn Readiness>)
    -> Rocket<Build>;

    /// Mounts the endpoints that a target reports to.
    fn with_target_reports(
        &self,
        server: Rocket<Build>,
        targets: Arc<dyn TargetReportHandler>,
    ) -> Rocket<Build>;
}

/// Platform-specific parts, each behind a trait.
#[derive(Clone)]
pub struct Platform {
    /// The platform's key-value store.
    pub store: Arc<dyn Store>,
    /// Decoder of the operators' configuration.
    pub operator_items: Arc<dyn OperatorItems>,
    /// Byte layout of segments.
    pub segment_codec: Arc<dyn SegmentCodec>,
    /// HTTP endpoints.
    pub http_endpoints: Arc<dyn HttpEndpoints>,
}
