//! One instance of a target: its identity, its reports, and what other nodes remember of it.

use crate::connection::target_report::TargetReport;
use crate::version::hash::hash64;

/// Minimum time from the first to the last report of an instance that shows that it runs, in milliseconds. Late
/// reports arrive together once they are no longer held up.
const MIN_REPORTING_MS: u64 = 500;

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
    /// Whether another instance, whose draining was confirmed, may run in its place.
    pub is_other_leaving: bool,
}

/// What balancers remember of an agent's target and give back to the agent when it starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownInstance {
    /// Hash of the instance's key.
    pub hash: u64,
    /// Whether it is draining.
    pub is_leaving: bool,
    /// Whether another instance, whose draining was confirmed, may run in its place.
    pub is_other_leaving: bool,
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
    /// Its reports since the last one of the current instance.
    pub(super) run: ReportRun,
}

impl Instance {
    pub(super) fn new(report: TargetReport, now_ms: u64) -> Instance {
        Instance {
            is_leaving: report.is_leaving,
            cold_until_ms: now_ms.saturating_add(report.cold_remaining_ms),
            last_seen_ms: now_ms,
            last_report_ms: now_ms,
            run: ReportRun::new(now_ms),
            report,
        }
    }

    pub(super) fn key(&self) -> InstanceKey {
        InstanceKey::of(&self.report)
    }

    /// Whether it has reported more than once, over [`MIN_REPORTING_MS`].
    pub(super) fn keeps_reporting(&self) -> bool {
        self.run.reaches(2, MIN_REPORTING_MS)
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
        self.run.note_report(now_ms);
        self.report = report;
        true
    }
}

/// Reports of one instance without a report of another one in between.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ReportRun {
    reports: u32,
    pub first_ms: u64,
    last_ms: u64,
}

impl ReportRun {
    /// A run of one report.
    pub fn new(now_ms: u64) -> ReportRun {
        ReportRun { reports: 1, first_ms: now_ms, last_ms: now_ms }
    }

    pub fn note_report(&mut self, now_ms: u64) {
        if self.reports == 0 {
            self.first_ms = now_ms;
        }
        self.reports = self.reports.saturating_add(1);
        self.last_ms = now_ms;
    }

    /// Whether it contains this number of reports, over this time in milliseconds.
    pub fn reaches(&self, reports: u32, duration_ms: u64) -> bool {
        self.reports >= reports && self.last_ms.saturating_sub(self.first_ms) >= duration_ms
    }
}

/// An instance that may run in place of the current one. It restricts the openings until it has ended.
#[derive(Clone, Debug)]
pub(super) struct UnprovenInstance {
    pub instance: Instance,
    /// Reports of the current instance since the last one of this instance.
    pub outlasted_by: ReportRun,
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
