//! The status that an agent sends of itself and its target, and the updates that balancers exchange of it.

use std::net::SocketAddrV4;

use crate::connection::request_class::LoadByPriority;
use crate::connection::target_gate::TargetPhase;
use crate::connection::target_instance::TargetInstanceSummary;

/// Status of an agent and its target, as sent by the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetStatus {
    /// Address for segments.
    pub data: SocketAddrV4,
    /// Address for control datagrams.
    pub control: SocketAddrV4,
    /// Incarnation of the agent; it grows with each start.
    pub incarnation: u64,
    /// Sequence number of the status; it restarts with each incarnation.
    pub sequence: u64,
    /// Availability zone.
    pub zone: String,
    /// Name of the target's service; empty while it is unknown.
    pub service: String,
    /// Phase of the target, which decides whether it accepts new flows.
    pub phase: TargetPhase,
    /// Number of requests that the target processes concurrently when warm.
    pub slots: u32,
    /// Number of open flows.
    pub flows: u32,
    /// Number of flows with a request in progress or expected.
    pub busy: u32,
    /// Whether the agent is shutting down.
    pub is_stopping: bool,
    /// The target instance that counts at the agent; `None` if none runs or is known.
    pub instance: Option<TargetInstanceSummary>,
    /// Requests in progress, expected or queued, by priority; `None` from an agent that knows no priorities.
    pub load_by_priority: Option<LoadByPriority>,
    /// Estimated time that the target takes for a request, in microseconds; 0 if unknown.
    pub service_time_us: u32,
    /// Whether the agent's passive health check finds that the target fails its requests.
    pub is_failing: bool,
}

/// Update that one balancer sends to another about an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetUpdate {
    /// Last known status.
    pub status: TargetStatus,
    /// Time since the agent sent that status, in milliseconds.
    pub age_ms: u64,
    /// Whether the agent has left probes unanswered since that status.
    pub is_suspected: bool,
}

/// Load of a target, as exchanged between balancers of its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoadReport {
    /// Data address of the agent.
    pub data: SocketAddrV4,
    /// Sequence number of the status that the load comes from.
    pub sequence: u64,
    /// Number of open flows.
    pub flows: u32,
    /// Number of flows with a request in progress or expected.
    pub busy: u32,
    /// As in the agent's status.
    pub load_by_priority: Option<LoadByPriority>,
    /// As in the agent's status.
    pub service_time_us: u32,
    /// As in the agent's status.
    pub is_failing: bool,
}

impl TargetStatus {
    /// Whether the agent sent this status after `other`.
    pub fn is_after(&self, other: &TargetStatus) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Replaces the load part of the status, but for the sequence number.
    pub fn set_load(&mut self, load: &TargetLoadReport) {
        (self.flows, self.busy) = (load.flows, load.busy);
        self.load_by_priority = load.load_by_priority;
        self.service_time_us = load.service_time_us;
        self.is_failing = load.is_failing;
    }

    /// Load part of the status.
    pub fn load(&self) -> TargetLoadReport {
        TargetLoadReport {
            data: self.data,
            sequence: self.sequence,
            flows: self.flows,
            busy: self.busy,
            load_by_priority: self.load_by_priority,
            service_time_us: self.service_time_us,
            is_failing: self.is_failing,
        }
    }
}
