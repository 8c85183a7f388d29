//! Which instance of the target counts.
//!
//! An agent hears of instances by reports and leave calls, which may be late, doubled or from others, and whose
//! start times come from clocks that step. An instance therefore replaces another one only if that has ended
//! for certain, or if it keeps reporting while the other does not: only a running target reports again and
//! again. Until then both restrict the openings.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::connection::target_instance::Instance;
use crate::connection::target_instance::InstanceKey;
use crate::connection::target_instance::KnownInstance;
use crate::connection::target_instance::PastInstance;
use crate::connection::target_instance::TargetInstanceSummary;
use crate::connection::target_report::IgnoredReason;
use crate::connection::target_report::ReportOutcome;
use crate::connection::target_report::TargetReport;

/// Sequence number of the first report of a target instance. Openings are forwarded only to an instance
/// that has reported, so an agent that received this report has seen every flow of the instance.
const FIRST_SEQUENCE: u64 = 1;

/// Minimum time from the first to the last report of an instance that replaces another one, in milliseconds.
/// Late reports arrive together once they are no longer held up.
const MIN_REPORTING_MS: u64 = 500;

/// Time without a report from the current instance, in milliseconds, after which another one may replace it:
/// by then a periodic report is missing.
const CURRENT_SILENT_MS: u64 = 1_000;

/// Maximum number of instances that are waiting to replace the current one.
const MAX_UNPROVEN: usize = 4;

/// Maximum number of past instances that are remembered to recognize their late reports.
const MAX_PAST_INSTANCES: usize = 16;

/// Effect of a leave call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveOutcome {
    /// The current instance has ended.
    Ended,
    /// It may have been another instance of the same id. The target gets no openings until it reports again,
    /// and has ended once its host refuses connections.
    Unverified,
    /// It is of another instance.
    OtherInstance,
}

impl LeaveOutcome {
    /// Label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            LeaveOutcome::Ended => "ended",
            LeaveOutcome::Unverified => "unverified",
            LeaveOutcome::OtherInstance => "other-instance",
        }
    }
}

/// The instances of one target.
#[derive(Debug)]
pub struct TargetInstances {
    current: Option<Instance>,
    /// Whether the current instance has called that it leaves.
    has_left: bool,
    is_leave_unverified: bool,
    /// Whether the target's host has refused a connection since the target was last heard.
    is_connection_refused: bool,
    /// Whether the current instance was believed at the first report after this process's start.
    is_first: bool,
    unproven: IndexMap<InstanceKey, Instance>,
    past: VecDeque<PastInstance>,
    /// What balancers know from before this process.
    known: Option<KnownInstance>,
    has_seen_all_flows: bool,
    /// Time for which a report of an unproven instance restricts the openings, in milliseconds.
    timeout_ms: u64,
    last_heard_ms: u64,
}

impl TargetInstances {
    /// Creates the state without an instance.
    pub fn new(timeout_ms: u64) -> TargetInstances {
        TargetInstances {
            current: None,
            has_left: false,
            is_leave_unverified: false,
            is_connection_refused: false,
            is_first: false,
            unproven: IndexMap::new(),
            past: VecDeque::new(),
            known: None,
            has_seen_all_flows: false,
            timeout_ms,
            last_heard_ms: 0,
        }
    }

    /// The instance that counts, if one has reported.
    pub fn current(&self) -> Option<&Instance> {
        self.current.as_ref()
    }

    /// Instances that have reported recently beside the current one and may be what runs, but for those that
    /// have ended, whose reports are late. Openings must suit them, too.
    pub fn unproven(&self, now_ms: u64) -> impl Iterator<Item = &Instance> {
        let may_run = move |(key, instance): &(&InstanceKey, &Instance)| {
            now_ms.saturating_sub(instance.last_report_ms) < self.timeout_ms
                && !self.past_instance(key).is_some_and(|past| past.has_ended)
        };
        self.unproven.iter().filter(may_run).map(|(_, instance)| instance)
    }

    fn past_instance(&self, key: &InstanceKey) -> Option<&PastInstance> {
        self.past.iter().find(|past| past.key == *key)
    }

    /// Whether this process has observed the current instance from its start and therefore, as all segments
    /// to a target pass through its agent, every flow of it.
    pub fn has_seen_all_flows(&self) -> bool {
        self.has_seen_all_flows
    }

    /// Whether no process of the target runs: it has left, or its host refuses connections.
    pub fn has_ended(&self) -> bool {
        self.is_connection_refused || self.has_left
    }

    /// Whether the host refuses connections to the target.
    pub fn is_connection_refused(&self) -> bool {
        self.is_connection_refused
    }

    /// Whether a leave call of the current instance's id has to be checked at the host.
    pub fn is_leave_unverified(&self) -> bool {
        self.is_leave_unverified
    }

    /// Whether the current instance takes no more openings: it drains, or a leave call may be its.
    pub fn is_leaving(&self) -> bool {
        self.is_leave_unverified || self.current.as_ref().is_some_and(|current| current.is_leaving)
    }

    /// Time of the last report or segment of any instance, in milliseconds.
    pub fn last_heard_ms(&self) -> u64 {
        self.last_heard_ms
    }

    /// What balancers shall remember of the target; `None` if no instance is known to run.
    pub fn summary(&self) -> Option<TargetInstanceSummary> {
        let (hash, is_leaving) = match &self.current {
            _ if self.has_ended() => return None,
            Some(current) => (current.key().hash(), current.is_leaving),
            None => self.known.map(|known| (known.hash, known.is_leaving))?,
        };
        Some(TargetInstanceSummary { hash, is_leaving })
    }

    /// Applies a report.
    pub fn apply_report(&mut self, report: TargetReport, now_ms: u64) -> ReportOutcome {
        self.last_heard_ms = now_ms;
        let key = InstanceKey::of(&report);
        if self.current.as_ref().is_some_and(|current| current.key() == key) {
            return self.apply_to_current(report, now_ms);
        }
        let past = self.past_instance(&key);
        if past.is_some_and(|past| report.sequence <= past.last_sequence) {
            return ReportOutcome::Ignored(IgnoredReason::PastInstance);
        }
        let is_past = past.is_some();
        let has_ended = past.is_some_and(|past| past.has_ended);
        if !is_past && self.may_follow_at_once(&key) {
            let instance = Instance::new(report, now_ms);
            return self.replace_current(instance, ReportOutcome::NewLife, now_ms);
        }
        match self.unproven.get_mut(&key) {
            Some(instance) => {
                if !instance.apply(report, now_ms) {
                    return ReportOutcome::Ignored(IgnoredReason::EarlierSequence);
                }
            }
            None => self.add_unproven(key.clone(), Instance::new(report, now_ms)),
        }
        if !self.is_proven(&key, now_ms) {
            return ReportOutcome::Ignored(match has_ended {
                true => IgnoredReason::PastInstance,
                false => IgnoredReason::Unproven,
            });
        }
        match self.unproven.shift_remove(&key) {
            Some(instance) => self.replace_current(instance, ReportOutcome::Replaced, now_ms),
            None => ReportOutcome::Ignored(IgnoredReason::Unproven),
        }
    }

    /// Applies the leave call of an instance; `started_ms` is `None` if the call does not say which.
    pub fn note_leave(&mut self, id: &str, started_ms: Option<u64>) -> LeaveOutcome {
        self.unproven.retain(|key, _| key.id != id || Some(key.started_ms) != started_ms);
        match &self.current {
            Some(current) if current.report.id != id || self.has_left => {
                LeaveOutcome::OtherInstance
            }
            Some(current) if started_ms == Some(current.report.started_ms) => {
                self.has_left = true;
                LeaveOutcome::Ended
            }
            Some(_) if started_ms.is_none() => {
                self.is_leave_unverified = true;
                LeaveOutcome::Unverified
            }
            Some(_) | None => LeaveOutcome::OtherInstance,
        }
    }

    /// Notes that the target's host refuses connections: no instance runs.
    pub fn note_connection_refused(&mut self) {
        self.is_connection_refused = true;
        self.known = None;
        self.unproven.clear();
    }

    /// Notes that the target has sent a segment. If its process was assumed to have ended, it may still
    /// hold flows that this agent has dropped from its table.
    pub fn note_traffic(&mut self, now_ms: u64) {
        self.last_heard_ms = now_ms;
        if std::mem::take(&mut self.is_connection_refused) {
            self.has_seen_all_flows = false;
        }
    }

    /// Notes that the target has sent a segment of a flow that it holds.
    pub fn note_seen(&mut self, now_ms: u64) {
        if let Some(current) = self.current.as_mut().filter(|_| !self.has_left) {
            current.last_seen_ms = now_ms;
        }
    }

    /// Takes over what a balancer knows from before the start of this process. An instance that reported
    /// first, and is not the known one, may be a late report, and has to prove that it runs.
    pub fn note_known(&mut self, known: KnownInstance) {
        let is_superseded = self.known.is_some_and(|older| older.as_of >= known.as_of);
        if is_superseded || self.is_connection_refused {
            return;
        }
        let Some(current) = &mut self.current else {
            self.known = Some(known);
            return;
        };
        if current.key().hash() == known.hash {
            current.is_leaving |= known.is_leaving;
            self.known = Some(known);
        } else if self.is_first {
            self.known = Some(known);
            if let Some(first) = self.current.take() {
                self.add_unproven(first.key(), first);
            }
            self.is_first = false;
            self.has_seen_all_flows = false;
        }
    }

    fn apply_to_current(&mut self, report: TargetReport, now_ms: u64) -> ReportOutcome {
        let Some(current) = &mut self.current else {
            return ReportOutcome::Ignored(IgnoredReason::Unproven);
        };
        if self.has_left {
            return ReportOutcome::Ignored(IgnoredReason::HasEnded);
        }
        let before = current.clone();
        let is_later = current.apply(report, now_ms);
        let is_newly_leaving = current.is_leaving && !before.is_leaving;
        if !is_later {
            return match is_newly_leaving {
                true => ReportOutcome::Changed,
                false => ReportOutcome::Ignored(IgnoredReason::EarlierSequence),
            };
        }
        let was_refused = std::mem::take(&mut self.is_connection_refused);
        let was_leave_unverified = std::mem::take(&mut self.is_leave_unverified);
        if was_refused {
            self.has_seen_all_flows = false;
        }
        let is_same = !was_refused
            && !was_leave_unverified
            && !is_newly_leaving
            && before.report.service == current.report.service
            && before.report.slots == current.report.slots
            && now_ms.saturating_sub(before.last_seen_ms) < self.timeout_ms
            && (before.cold_until_ms > now_ms) == (current.cold_until_ms > now_ms);
        self.restart_proofs(now_ms);
        if is_same { ReportOutcome::Same } else { ReportOutcome::Changed }
    }

    /// Whether an instance that is not a past one may be the next at its first report: no other one can run.
    fn may_follow_at_once(&self, key: &InstanceKey) -> bool {
        match &self.current {
            Some(_) => self.has_ended(),
            None => self.known.is_none_or(|known| known.hash == key.hash()),
        }
    }

    fn is_proven(&self, key: &InstanceKey, now_ms: u64) -> bool {
        let reporting_ms = self.unproven.get(key).map_or(0, |instance| {
            instance.last_report_ms.saturating_sub(instance.reporting_since_ms)
        });
        let current_silent_ms = self
            .current
            .as_ref()
            .map_or(CURRENT_SILENT_MS, |current| now_ms.saturating_sub(current.last_report_ms));
        reporting_ms >= MIN_REPORTING_MS
            && (current_silent_ms >= CURRENT_SILENT_MS || self.has_ended())
    }

    /// Makes the unproven instances prove again that they run, as the current one has reported. They keep their
    /// restrictions for a while, since that report may be the late one.
    fn restart_proofs(&mut self, now_ms: u64) {
        let timeout_ms = self.timeout_ms;
        self.unproven.retain(|_, instance| {
            instance.reporting_since_ms = now_ms;
            now_ms.saturating_sub(instance.last_report_ms) < timeout_ms
        });
    }

    fn add_unproven(&mut self, key: InstanceKey, instance: Instance) {
        if self.unproven.len() >= MAX_UNPROVEN {
            self.unproven.shift_remove_index(0);
        }
        self.unproven.insert(key, instance);
    }

    fn replace_current(
        &mut self,
        mut next: Instance,
        outcome: ReportOutcome,
        now_ms: u64,
    ) -> ReportOutcome {
        if self.known.is_some_and(|known| known.hash == next.key().hash() && known.is_leaving) {
            next.is_leaving = true;
        }
        let has_observed_end = self.is_connection_refused || self.current.is_some();
        self.is_first = !has_observed_end && outcome == ReportOutcome::NewLife;
        self.has_seen_all_flows = outcome == ReportOutcome::NewLife
            && (has_observed_end || next.report.sequence == FIRST_SEQUENCE);
        let key = next.key();
        self.past.retain(|past| past.key != key);
        if let Some(past) = self.current.replace(next) {
            let (key, last_sequence) = (past.key(), past.report.sequence);
            let has_ended = outcome == ReportOutcome::NewLife;
            self.past.push_back(PastInstance { key: key.clone(), last_sequence, has_ended });
            if !has_ended {
                self.add_unproven(key, past);
            }
        }
        if self.past.len() > MAX_PAST_INSTANCES {
            self.past.pop_front();
        }
        self.has_left = false;
        self.is_leave_unverified = false;
        self.is_connection_refused = false;
        self.restart_proofs(now_ms);
        outcome
    }
}
