//! One instance of a target: its identity, its reports, and what other nodes remember of it.

use crate::connection::target_report::TargetReport;
use crate::version::hash::hash64;

/// Identity of a target instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct InstanceKey {
    /// Id of the target; an instance may have that of an earlier one.
    pub id: String,
    /// Start time as the target reports it, in Unix milliseconds. Identifies, and does not order.
    pub started_ms: u64,
}

impl InstanceKey {
    pub(super) fn of(report: &TargetReport) -> InstanceKey {
        InstanceKey { id: report.id.clone(), started_ms: report.started_ms }
    }

    /// Hash that stands for the instance in messages between nodes.
    pub fn hash(&self) -> u64 {
        let mut bytes = self.started_ms.to_be_bytes().to_vec();
        bytes.extend_from_slice(self.id.as_bytes());
        hash64(&bytes)
    }
}

/// What balancers remember of a target's instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetInstanceSummary {
    /// Hash that stands for the instance.
    pub hash: u64,
    /// Whether it is draining.
    pub is_leaving: bool,
}

/// What balancers remember of an agent's target and give back to the agent when it starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownInstance {
    /// Hash of the instance's key.
    pub hash: u64,
    /// Whether it is draining.
    pub is_leaving: bool,
    /// Incarnation of the agent, and sequence number of its status, from which this is known.
    pub as_of: (u64, u64),
}

/// A target instance that has reported.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its latest report.
    pub report: TargetReport,
    /// Whether it has ever reported that it is draining.
    pub is_leaving: bool,
    /// Until when it is cold, in milliseconds.
    pub cold_until_ms: u64,
    /// Time of its last sign of life, a report or a segment.
    pub last_seen_ms: u64,
    pub(super) last_report_ms: u64,
    /// Time since when it reports without a report of the current instance in between.
    pub(super) reporting_since_ms: u64,
}

impl Instance {
    pub(super) fn new(report: TargetReport, now_ms: u64) -> Instance {
        Instance {
            is_leaving: report.is_leaving,
            cold_until_ms: now_ms.saturating_add(report.cold_remaining_ms),
            last_seen_ms: now_ms,
            last_report_ms: now_ms,
            reporting_since_ms: now_ms,
            report,
        }
    }

    pub(super) fn key(&self) -> InstanceKey {
        InstanceKey::of(&self.report)
    }

    /// Applies a report. Returns whether it is a later one than the last; of an earlier one only the draining
    /// counts, which is never taken back.
    pub(super) fn apply(&mut self, report: TargetReport, now_ms: u64) -> bool {
        self.is_leaving |= report.is_leaving;
        if report.sequence <= self.report.sequence {
            return false;
        }
        self.cold_until_ms = now_ms.saturating_add(report.cold_remaining_ms);
        self.last_seen_ms = now_ms;
        self.last_report_ms = now_ms;
        self.report = report;
        true
    }
}

/// An instance that another one has replaced.
#[derive(Clone, Debug)]
pub(super) struct PastInstance {
    pub key: InstanceKey,
    /// Sequence number of its last report.
    pub last_sequence: u64,
    /// Whether it had ended for certain. Else it may be what runs after all.
    pub has_ended: bool,
}
