//! What an agent says of itself and its target, and what balancers tell each other of it.

use std::net::SocketAddrV4;

use crate::connection::target_gate::TargetPhase;

/// Status that an agent sends of itself and its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetStatus {
    /// Address for segments.
    pub data: SocketAddrV4,
    /// Address for control datagrams.
    pub control: SocketAddrV4,
    /// Number of this run of the agent; later runs have higher ones.
    pub lifetime: u64,
    /// Number of the status in this run.
    pub sequence: u64,
    /// Availability zone.
    pub zone: String,
    /// Service of the target; empty where it is not known.
    pub service: String,
    /// Phase of the target.
    pub phase: TargetPhase,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Open flows.
    pub flows: u32,
    /// Flows whose caller waits for an answer.
    pub busy: u32,
    /// Whether the agent stops.
    pub is_stopping: bool,
}

/// What one balancer tells of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetUpdate {
    /// The last status that is known.
    pub status: TargetStatus,
    /// Time since it was sent, in milliseconds.
    pub age_ms: u64,
    /// Whether the agent has left probes unanswered since.
    pub is_suspected: bool,
}

/// Load of a target, as balancers of its zone tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Data address of the agent.
    pub data: SocketAddrV4,
    /// Number of the status that it comes from.
    pub sequence: u64,
    /// Open flows.
    pub flows: u32,
    /// Flows whose caller waits for an answer.
    pub busy: u32,
}

impl TargetStatus {
    /// Whether the agent sent this status after another one.
    pub fn is_after(&self, other: &TargetStatus) -> bool {
        (self.lifetime, self.sequence) > (other.lifetime, other.sequence)
    }

    /// The load in it.
    pub fn load(&self) -> TargetLoad {
        TargetLoad { data: self.data, sequence: self.sequence, flows: self.flows, busy: self.busy }
    }
}
