//! Passed-through flows: their segments go to a target unopened, and their bytes are read only by the
//! two ends.
//!
//! A balancer proposes a chain of agents for each segment; an agent gives the segment to its target,
//! and passes on what the target does not hold. What the platform names and how it writes it stands
//! behind the traits of this module.

pub mod agent;
mod agent_forwarding;
mod agent_introduction;
pub mod agent_state;
pub mod balancer;
mod balancer_configuration;
mod balancer_forwarding;
mod balancer_peers;
pub mod balancer_state;
pub mod balancer_store;
mod balancer_waiting;
pub mod datagrams;
pub mod exchange;
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
use crate::connection::target_gate::ReportOutcome;
use crate::connection::target_gate::TargetReport;
use crate::process::store::Store;
use crate::version::routing::OperatorItem;

/// Keys of this program's own entries in the store.
pub const TARGETS_PREFIX: &str = "rhubarbthread/targets/";
/// Keys of the balancers' own entries in the store.
pub const BALANCERS_PREFIX: &str = "rhubarbthread/balancers/";
/// Prefix of all own entries.
pub const OWN_PREFIX: &str = "rhubarbthread/";

/// Decodes what operators have stored.
pub trait OperatorItems: Send + Sync {
    /// Prefix of the operators' keys.
    fn prefix(&self) -> &'static str;

    /// Reads one value; the message says what is wrong with it.
    fn decode(&self, key: &str, value: &[u8]) -> Result<OperatorItem, String>;

    /// The availability zone that is out as long as a key exists.
    fn zone_of<'a>(&self, key: &'a str) -> Option<&'a str>;
}

/// Whether a process takes traffic.
pub trait Readiness: Send + Sync {
    /// Whether it does now.
    fn is_ready(&self) -> bool;
}

/// Takes what a target says of itself.
pub trait TargetAnnouncements: Send + Sync {
    /// A report; a stale one is confirmed too, so that its sender does not try elsewhere.
    fn report(&self, report: TargetReport) -> ReportOutcome;

    /// A target leaves for good.
    fn leave(&self, id: &str);

    /// A report that could not be read.
    fn malformed(&self, message: &str);
}

/// The HTTP calls by which the platform and the targets reach a process.
pub trait HttpSurface: Send + Sync {
    /// Adds the call by which the platform asks for readiness.
    fn with_readiness(&self, server: Rocket<Build>, readiness: Arc<dyn Readiness>)
    -> Rocket<Build>;

    /// Adds the calls by which a target announces itself.
    fn with_announcements(
        &self,
        server: Rocket<Build>,
        targets: Arc<dyn TargetAnnouncements>,
    ) -> Rocket<Build>;
}

/// What a platform brings, each behind a trait.
#[derive(Clone)]
pub struct Platform {
    /// Its key-value service.
    pub store: Arc<dyn Store>,
    /// What operators store there.
    pub operator_items: Arc<dyn OperatorItems>,
    /// Layout of segments.
    pub segment_codec: Arc<dyn SegmentCodec>,
    /// HTTP calls.
    pub surface: Arc<dyn HttpSurface>,
}
