//! Which instance of the target counts.
//!
//! An agent hears of instances by reports and leave calls, which may be late, doubled or from others, and whose
//! start times come from clocks that step. An instance therefore replaces another one only if that has ended
//! for certain, or if it keeps reporting while the other does not: only a running target reports again and
//! again. Both restrict the openings until one of them has ended. That reports stay away shows nothing: a target
//! may serve on, and drain, while its calls to the agent are held up.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::connection::target_instance::Instance;
use crate::connection::target_instance::InstanceKey;
use crate::connection::target_instance::KnownInstance;
use crate::connection::target_instance::PastInstance;
use crate::connection::target_instance::ReportRun;
use crate::connection::target_instance::TargetInstanceSummary;
use crate::connection::target_instance::UnprovenInstance;
use crate::connection::target_report::IgnoredReason;
use crate::connection::target_report::ReportOutcome;
use crate::connection::target_report::TargetReport;

/// Time without a report from the current instance, in milliseconds, after which another one may replace it:
/// by then a periodic report is missing.
const CURRENT_SILENT_MS: u64 = 1_000;

/// Reports of the current instance, and minimum time from the first to the last of them in milliseconds, that
/// show that an instance which reported before them has ended. More than replacing it takes, as a draining that
/// was confirmed ends with it.
const END_PROOF_REPORTS: u32 = 3;
const END_PROOF_MS: u64 = 1_000;

/// Maximum number of instances that are waiting to replace the current one.
const MAX_UNPROVEN: usize = 4;

/// Maximum number of past instances that are remembered to recognize their late reports.
const MAX_PAST_INSTANCES: usize = 16;

/// Effect of a leave call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveOutcome {
    /// The current instance has ended.
    Ended,
    /// It may be of the instance that runs. The target gets no openings until the current instance reports again,
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
#[derive(Clone, Debug)]
pub struct TargetInstances {
    current: Option<Instance>,
    /// Whether the current instance has called that it leaves.
    has_left: bool,
    /// Whether a leave call may have been of the instance that runs, and no report of the current one followed.
    is_leave_unverified: bool,
    /// Whether the target's host has refused a connection since the target was last heard.
    is_connection_refused: bool,
    /// Whether the current instance was believed at the first report after this process's start.
    is_first: bool,
    unproven: IndexMap<InstanceKey, UnprovenInstance>,
    /// Reports of the current instance since another one was last dropped from the full list, or since the last one
    /// that is known from balancers alone and drains. `None` if there was none, or all of them have ended.
    dropped_outlasted_by: Option<ReportRun>,
    past: VecDeque<PastInstance>,
    /// What balancers know from before this process.
    known: Option<KnownInstance>,
    has_seen_all_flows: bool,
    /// Time after which an instance that was not seen counts as changed by its next report, in milliseconds.
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
            dropped_outlasted_by: None,
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

    /// Instances that have reported beside the current one and may be what runs, but for those that have ended,
    /// whose reports are late. Openings must suit them, too.
    pub fn unproven(&self) -> impl Iterator<Item = &Instance> {
        let may_run = |(key, _): &(&InstanceKey, &UnprovenInstance)| {
            !self.past_instance(key).is_some_and(|past| past.has_ended)
        };
        self.unproven.iter().filter(may_run).map(|(_, unproven)| &unproven.instance)
    }

    /// Whether instances may run that are no longer listed; what they have reported is not known.
    pub fn has_dropped_instances(&self) -> bool {
        self.dropped_outlasted_by.is_some()
    }

    fn past_instance(&self, key: &InstanceKey) -> Option<&PastInstance> {
        self.past.iter().find(|past| past.key == *key)
    }

    /// Whether the current instance has started after this process and therefore, as all segments to a target pass
    /// through its agent, this process has seen every flow of it. No report shows that, whatever its number: an
    /// earlier one may have reached the process before this one, which then admitted flows.
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

    /// Whether a leave call has to be checked at the host.
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
        let is_other_leaving =
            self.has_dropped_instances() || self.unproven().any(|instance| instance.is_leaving);
        let (hash, is_leaving) = match &self.current {
            _ if self.is_connection_refused => return None,
            _ if self.has_left && !is_other_leaving => return None,
            Some(current) => (current.key().hash(), current.is_leaving || self.has_left),
            None => self.known.map(|known| (known.hash, known.is_leaving))?,
        };
        Some(TargetInstanceSummary { hash, is_leaving, is_other_leaving })
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
            Some(unproven) => {
                if !unproven.instance.apply(report, now_ms) {
                    return ReportOutcome::Ignored(IgnoredReason::EarlierSequence);
                }
                unproven.outlasted_by = ReportRun::default();
            }
            None => {
                let instance = Instance::new(report, now_ms);
                self.add_unproven(key.clone(), instance, ReportRun::default(), now_ms);
            }
        }
        if !self.is_proven(&key, now_ms) {
            return ReportOutcome::Ignored(match has_ended {
                true => IgnoredReason::PastInstance,
                false => IgnoredReason::Unproven,
            });
        }
        match self.unproven.shift_remove(&key) {
            Some(unproven) => {
                self.replace_current(unproven.instance, ReportOutcome::Replaced, now_ms)
            }
            None => ReportOutcome::Ignored(IgnoredReason::Unproven),
        }
    }

    /// Applies the leave call of an instance; `started_ms` is `None` if the call does not say which.
    pub fn note_leave(&mut self, id: &str, started_ms: Option<u64>) -> LeaveOutcome {
        let is_current = self.current.as_ref().is_some_and(|current| {
            current.report.id == id && started_ms.is_none_or(|ms| ms == current.report.started_ms)
        });
        if is_current && self.has_left {
            return LeaveOutcome::OtherInstance;
        }
        if is_current && started_ms.is_some() && !self.may_be_late() {
            self.has_left = true;
            return LeaveOutcome::Ended;
        }
        let may_run = match started_ms {
            Some(_) if is_current => true,
            Some(started_ms) => self.end_other(InstanceKey { id: id.to_owned(), started_ms }),
            None => is_current || self.unproven.keys().any(|key| key.id == id),
        };
        if !may_run {
            return LeaveOutcome::OtherInstance;
        }
        self.is_leave_unverified = true;
        LeaveOutcome::Unverified
    }

    /// Whether the current instance may be known by a late report alone: it was believed at the first report of this
    /// process, and has not shown since that it runs.
    fn may_be_late(&self) -> bool {
        self.is_first && !self.current.as_ref().is_some_and(Instance::keeps_reporting)
    }

    /// Records that an instance other than the current one has left: its reports that are still to come are late.
    /// Returns whether it may have been what ran.
    fn end_other(&mut self, key: InstanceKey) -> bool {
        let may_run = self.unproven.shift_remove(&key).is_some();
        self.past.retain(|past| past.key != key);
        self.add_past(PastInstance { key, last_sequence: u64::MAX, has_ended: true });
        may_run
    }

    /// Notes that the target's host refuses connections: no instance runs.
    pub fn note_connection_refused(&mut self) {
        self.is_connection_refused = true;
        self.known = None;
        self.unproven.clear();
        self.dropped_outlasted_by = None;
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
    pub fn note_known(&mut self, known: KnownInstance, now_ms: u64) {
        // An earlier build relays a status without the draining of another instance.
        let order = |known: &KnownInstance| (known.as_of, known.is_other_leaving);
        let is_superseded = self.known.is_some_and(|older| order(&older) >= order(&known));
        if is_superseded || self.is_connection_refused {
            return;
        }
        let is_other =
            self.current.as_ref().is_some_and(|current| current.key().hash() != known.hash);
        if is_other && !self.is_first {
            return;
        }
        self.known = Some(known);
        if known.is_other_leaving {
            self.dropped_outlasted_by = Some(ReportRun::default());
        }
        if !is_other {
            if let Some(current) = &mut self.current {
                current.is_leaving |= known.is_leaving;
            }
            return;
        }
        if let Some(first) = self.current.take() {
            self.add_unproven(first.key(), first, ReportRun::default(), now_ms);
        }
        self.is_first = false;
        self.has_seen_all_flows = false;
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
        let has_draining_ended = self.outlast_others(now_ms);
        if is_same && !has_draining_ended { ReportOutcome::Same } else { ReportOutcome::Changed }
    }

    /// Whether an instance that is not a past one may be the next at its first report: no other one can run.
    fn may_follow_at_once(&self, key: &InstanceKey) -> bool {
        match &self.current {
            Some(_) => self.has_ended(),
            None => self.known.is_none_or(|known| known.hash == key.hash()),
        }
    }

    fn is_proven(&self, key: &InstanceKey, now_ms: u64) -> bool {
        let keeps_reporting =
            self.unproven.get(key).is_some_and(|unproven| unproven.instance.keeps_reporting());
        let current_silent_ms = self
            .current
            .as_ref()
            .map_or(CURRENT_SILENT_MS, |current| now_ms.saturating_sub(current.last_report_ms));
        keeps_reporting && (current_silent_ms >= CURRENT_SILENT_MS || self.has_ended())
    }

    /// Whether a moment before the next instance was observed: the host refused connections, or the current instance
    /// ran since this process started. Late reports and a late leave call of an earlier one don't show that.
    fn has_observed_predecessor(&self) -> bool {
        let has_run = |current: &Instance| current.run.reaches(END_PROOF_REPORTS, END_PROOF_MS);
        self.is_connection_refused
            || self.has_seen_all_flows
            || self.current.as_ref().is_some_and(has_run)
    }

    /// Makes the unproven instances prove again that they run, as the current one has reported, and removes those
    /// that are shown to have ended. Returns whether one of them drained.
    fn outlast_others(&mut self, now_ms: u64) -> bool {
        let has_outlasted = |run: &mut ReportRun| {
            run.note_report(now_ms);
            run.reaches(END_PROOF_REPORTS, END_PROOF_MS)
        };
        let have_dropped_ended = self.dropped_outlasted_by.as_mut().is_some_and(has_outlasted);
        if have_dropped_ended {
            self.dropped_outlasted_by = None;
        }
        let mut has_draining_ended = have_dropped_ended;
        self.unproven.retain(|_, unproven| {
            unproven.instance.run = ReportRun::default();
            let has_ended = has_outlasted(&mut unproven.outlasted_by);
            has_draining_ended |= has_ended && unproven.instance.is_leaving;
            !has_ended
        });
        has_draining_ended
    }

    fn add_past(&mut self, past: PastInstance) {
        if self.past.len() >= MAX_PAST_INSTANCES {
            self.past.pop_front();
        }
        self.past.push_back(past);
    }

    fn add_unproven(
        &mut self,
        key: InstanceKey,
        instance: Instance,
        outlasted_by: ReportRun,
        now_ms: u64,
    ) {
        if self.unproven.len() >= MAX_UNPROVEN {
            self.drop_unproven(now_ms);
        }
        self.unproven.insert(key, UnprovenInstance { instance, outlasted_by });
    }

    /// Drops the oldest unproven instance, if possible one that restricts nothing.
    fn drop_unproven(&mut self, now_ms: u64) {
        let unrestricting = self.unproven.iter().position(|(key, unproven)| {
            self.past_instance(key).is_some_and(|past| past.has_ended)
                || !self.is_restricted_by(&unproven.instance, now_ms)
        });
        if unrestricting.is_none() {
            self.dropped_outlasted_by = Some(ReportRun::default());
        }
        self.unproven.shift_remove_index(unrestricting.unwrap_or(0));
    }

    /// Whether an opening that suits the current instance may not suit this one.
    fn is_restricted_by(&self, instance: &Instance, now_ms: u64) -> bool {
        let is_same_service = self
            .current
            .as_ref()
            .is_some_and(|current| current.report.service == instance.report.service);
        !is_same_service || instance.is_leaving || instance.cold_until_ms > now_ms
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
        let has_predecessor = self.is_connection_refused || self.current.is_some();
        self.is_first = !has_predecessor && outcome == ReportOutcome::NewLife;
        self.has_seen_all_flows =
            outcome == ReportOutcome::NewLife && self.has_observed_predecessor();
        let key = next.key();
        let run = next.run;
        self.past.retain(|past| past.key != key);
        for unproven in self.unproven.values_mut() {
            let is_before_run = unproven.instance.last_report_ms <= run.first_ms;
            unproven.outlasted_by = if is_before_run { run } else { ReportRun::new(now_ms) };
            unproven.instance.run = ReportRun::default();
        }
        self.dropped_outlasted_by = self.dropped_outlasted_by.map(|_| ReportRun::new(now_ms));
        let is_known_leaving =
            self.known.is_some_and(|known| known.is_leaving && known.hash != key.hash());
        if self.current.is_none() && is_known_leaving {
            self.dropped_outlasted_by = Some(run);
        }
        if let Some(past) = self.current.replace(next) {
            let (key, last_sequence) = (past.key(), past.report.sequence);
            let has_ended = outcome == ReportOutcome::NewLife;
            self.add_past(PastInstance { key: key.clone(), last_sequence, has_ended });
            if !has_ended {
                self.add_unproven(key, past, run, now_ms);
            }
        }
        self.has_left = false;
        self.is_leave_unverified = false;
        self.is_connection_refused = false;
        outcome
    }
}
