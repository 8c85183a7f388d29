//! Admission of new flows at an agent's target.
//!
//! Every opening of a flow at the target passes through its agent, which has the only exact view of the
//! target. The limits on draining and cold targets and on zones that are out therefore hold regardless of
//! how many balancers send to the target and how stale their views are.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::connection::opening_refusal::RefusalReason;
use crate::connection::target_instance::Instance;
use crate::connection::target_instance::KnownInstance;
use crate::connection::target_instance::TargetInstanceSummary;
use crate::connection::target_instances::LeaveOutcome;
use crate::connection::target_instances::TargetInstances;
use crate::connection::target_report::ReportOutcome;
use crate::connection::target_report::TargetReport;

/// Sliding window for the rate limit on openings at a cold target, in milliseconds: the limit is per
/// second, and the extra 100 ms cover the time that an opening may spend in transit.
const COLD_WINDOW_MS: u64 = 1_100;

/// Ratio of busy slots to slots, in percent, from which an opening is passed on to the next candidate, if
/// there is one.
const BUSY_PERCENT: u64 = 100;

/// Ratio of busy slots to slots, in percent, from which a target takes no opening. At 200 % each slot has
/// one request in progress and one queued, a wait that still meets latency objectives of three to five
/// times the service time.
const FULL_PERCENT: u64 = 200;

/// Time without a message from the target, in milliseconds, after which its agent checks whether a process
/// listens at the target's address: by then a periodic report is missing.
const SUSPECT_AFTER_MS: u64 = 1_000;

/// Phase of the target as reported to balancers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetPhase {
    /// No report received yet, or the last one is too old.
    Unknown,
    /// Accepts flows.
    Serving,
    /// Warming up: accepts flows at a limited rate (slow start).
    Cold,
    /// Draining: keeps its open flows and accepts no new ones.
    Leaving,
    /// The target's process has ended and its flows are lost.
    Ended,
    /// The agent has started and accepts no flows yet: some balancers do not know of it, or the target is
    /// cold and its limits have not been received.
    Introducing,
}

impl TargetPhase {
    /// Whether the target accepts new flows, possibly at a limited rate.
    pub fn accepts_flows(self) -> bool {
        matches!(self, TargetPhase::Serving | TargetPhase::Cold)
    }

    /// Name of the phase in logs and on the status page.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetPhase::Unknown => "unknown",
            TargetPhase::Serving => "serving",
            TargetPhase::Cold => "cold",
            TargetPhase::Leaving => "leaving",
            TargetPhase::Ended => "ended",
            TargetPhase::Introducing => "introducing",
        }
    }
}

/// Limits on a target that the configuration sets for its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLimits {
    /// Openings per second at a cold target; `None` means no limit.
    pub cold_openings_per_s: Option<u32>,
    /// Maximum number of open flows at the target.
    pub max_flows: u32,
}

/// Request to open a flow at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpeningOffer<'a> {
    /// Service that the caller connects to.
    pub service: &'a str,
    /// Whether the opening can be passed on to another target.
    pub has_next_candidate: bool,
    /// Whether this flow has been offered to the target before.
    pub is_retransmission: bool,
    /// Whether this is not the first attempt to place the flow, so that its caller has already waited.
    pub has_waited: bool,
}

/// Load of the target when an opening arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Number of open flows.
    pub flows: u32,
    /// Number of requests that are ahead of the opening's: in progress, expected or queued, and at an agent that
    /// orders requests, of the same priority or a more urgent one. Less urgent ones don't delay it, so they are no
    /// reason to refuse it or pass it on.
    pub busy: u32,
    /// `None` if the agent does not order requests, or the opening has no class.
    pub expected_answer: Option<ExpectedAnswer>,
}

/// When the request of an opening is expected to be answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedAnswer {
    /// Time from the caller's first opening segment to the answer, in milliseconds.
    pub after_ms: u64,
    /// Time after which the caller gives the request up, in milliseconds.
    pub timeout_ms: u64,
}

/// State of an agent's target, and admission of new flows at it.
#[derive(Clone, Debug)]
pub struct TargetGate {
    instances: TargetInstances,
    timeout_ms: u64,
    /// Start of this process, in milliseconds.
    started_ms: u64,
    /// Time at which the target's host last accepted a connection to it.
    last_accepted_ms: Option<u64>,
    /// The target receives openings only if it was last seen at or after this time.
    stale_before_ms: u64,
    is_zone_out: bool,
    /// Name of the service that the limits belong to, and the limits.
    limits: Option<(String, TargetLimits)>,
    cold_openings_ms: VecDeque<u64>,
}

impl TargetGate {
    /// Creates the state of a target that has not reported yet. A target that was last seen `timeout_ms`
    /// ago or longer receives no openings, because its address may already belong to another service.
    pub fn new(timeout_ms: u64) -> TargetGate {
        TargetGate {
            instances: TargetInstances::new(timeout_ms),
            timeout_ms,
            started_ms: 0,
            last_accepted_ms: None,
            stale_before_ms: 0,
            is_zone_out: false,
            limits: None,
            cold_openings_ms: VecDeque::new(),
        }
    }

    /// Sets the start of this process. Before that, another one may have admitted openings.
    pub fn with_start(self, started_ms: u64) -> TargetGate {
        TargetGate { started_ms, ..self }
    }

    /// Applies a report from the target.
    pub fn apply_report(&mut self, report: TargetReport, now_ms: u64) -> ReportOutcome {
        self.instances.apply_report(report, now_ms)
    }

    /// Notes that the target's host refuses connections: the process has ended, and its flows with it.
    pub fn note_connection_refused(&mut self) {
        self.instances.note_connection_refused();
    }

    /// Notes that the target's host accepts connections: the process runs.
    pub fn note_connection_accepted(&mut self, now_ms: u64) {
        self.last_accepted_ms = Some(now_ms);
    }

    /// Notes that the target has sent a segment.
    pub fn note_target_traffic(&mut self, now_ms: u64) {
        self.instances.note_traffic(now_ms);
    }

    /// Whether the target may have ended, as it was last seen `since_last_seen_ms` ago.
    pub fn is_suspected(&self, since_last_seen_ms: u64) -> bool {
        let is_missing = since_last_seen_ms >= SUSPECT_AFTER_MS;
        !self.has_ended() && (is_missing || self.instances.is_leave_unverified())
    }

    /// Applies the call of the target `id` that it has shut down; `started_ms` is `None` if the call does not
    /// name the instance.
    pub fn note_leave(&mut self, id: &str, started_ms: Option<u64>) -> LeaveOutcome {
        self.instances.note_leave(id, started_ms)
    }

    /// Whether a leave call has to be checked at the host.
    pub fn is_leave_unverified(&self) -> bool {
        self.instances.is_leave_unverified()
    }

    /// Takes over what a balancer knows of the target from before the start of this process.
    pub fn note_known_instance(&mut self, known: KnownInstance, now_ms: u64) {
        self.instances.note_known(known, now_ms);
    }

    /// What balancers shall remember of the target.
    pub fn instance_summary(&self) -> Option<TargetInstanceSummary> {
        self.instances.summary()
    }

    /// Notes that the target has sent a segment of a flow that it holds, so the current instance is alive.
    pub fn note_seen(&mut self, now_ms: u64) {
        let is_stale = |instance: &Instance| instance.last_seen_ms < self.stale_before_ms;
        if !self.instances.current().is_some_and(is_stale) {
            self.instances.note_seen(now_ms);
        }
    }

    /// Notes that the target bounced a segment of a flow that it held. It may have restarted, so it receives
    /// no openings until its next report.
    pub fn note_lost_flow(&mut self, now_ms: u64) {
        self.stale_before_ms = now_ms;
    }

    /// Notes that this process was stalled until now, so that its state may be stale.
    pub fn note_stall(&mut self, now_ms: u64) {
        self.stale_before_ms = now_ms;
    }

    /// Sets whether the availability zone is out. When it is back in, the target must report before it
    /// receives openings, as it may be cold.
    pub fn set_zone_out(&mut self, is_out: bool, now_ms: u64) {
        if self.is_zone_out && !is_out {
            self.stale_before_ms = now_ms;
        }
        self.is_zone_out = is_out;
    }

    /// Sets the limits from the configuration for a service.
    pub fn set_limits(&mut self, service: &str, limits: TargetLimits) {
        self.limits = Some((service.to_owned(), limits));
    }

    /// Last report of the current target instance.
    pub fn current_report(&self) -> Option<&TargetReport> {
        self.instances.current().map(|instance| &instance.report)
    }

    /// Time since the target was last seen, in milliseconds; `None` before its first report.
    pub fn ms_since_last_seen(&self, now_ms: u64) -> Option<u64> {
        self.instances.current().map(|instance| now_ms.saturating_sub(instance.last_seen_ms))
    }

    /// Time since the target's host last accepted a connection to it, in milliseconds.
    pub fn ms_since_accepted(&self, now_ms: u64) -> Option<u64> {
        self.last_accepted_ms.map(|accepted_ms| now_ms.saturating_sub(accepted_ms))
    }

    /// Time of the last report or segment of the target, in milliseconds.
    pub fn last_heard_ms(&self) -> u64 {
        self.instances.last_heard_ms()
    }

    /// Whether the current instance has started after this process, which has therefore seen every flow of it.
    pub fn has_seen_all_flows(&self) -> bool {
        self.instances.has_seen_all_flows()
    }

    /// Whether no process of the target runs: it has shut down, or its host refuses connections.
    pub fn has_ended(&self) -> bool {
        self.instances.has_ended()
    }

    /// Phase that is reported to balancers.
    pub fn phase(&self, now_ms: u64) -> TargetPhase {
        if self.has_ended() {
            return TargetPhase::Ended;
        }
        let Some(instance) = self.instances.current() else {
            return TargetPhase::Unknown;
        };
        if self.is_any_leaving() {
            TargetPhase::Leaving
        } else if !self.is_fresh(instance, now_ms) {
            TargetPhase::Unknown
        } else if self.is_any_cold(now_ms) {
            TargetPhase::Cold
        } else {
            TargetPhase::Serving
        }
    }

    /// Whether the target is cold and no balancer has sent the limits of its service yet.
    pub fn needs_limits(&self, now_ms: u64) -> bool {
        self.phase(now_ms) == TargetPhase::Cold && self.current_limits().is_none()
    }

    /// Limits of the service that the target runs, if a balancer has sent them.
    fn current_limits(&self) -> Option<TargetLimits> {
        let service = &self.current_report()?.service;
        let (_, limits) = self.limits.as_ref().filter(|(name, _)| name == service)?;
        Some(*limits)
    }

    /// Decides whether an opening is forwarded to the target.
    ///
    /// The limits are designed for overload, such as all callers reconnecting after a power failure. A full
    /// target takes no opening, so that openings queue at the balancers, which can offer them to the first
    /// target with a free slot. An opening whose caller has already waited gets free slots only and never
    /// queues at the target, which leaves that room to new openings that can still be answered in time.
    ///
    /// An agent that orders requests takes an opening that no other target is left for as long as its request
    /// would be answered before the caller gives up: there, late requests delay no others. If it were refused, its
    /// caller would come back with a request whose age is unknown and which takes the slot of one that can still
    /// be in time.
    pub fn admit(
        &mut self,
        offer: &OpeningOffer<'_>,
        load: TargetLoad,
        now_ms: u64,
    ) -> Result<(), RefusalReason> {
        self.check(offer, load, now_ms)?;
        let limits = self.current_limits();
        if self.is_any_cold(now_ms) { self.admit_cold(limits, now_ms) } else { Ok(()) }
    }

    /// Checks all limits but the one on openings of a cold target.
    pub fn check(
        &self,
        offer: &OpeningOffer<'_>,
        load: TargetLoad,
        now_ms: u64,
    ) -> Result<(), RefusalReason> {
        let instance = self.instances.current().ok_or(RefusalReason::TargetSilent)?;
        if self.instances.is_connection_refused() {
            return Err(RefusalReason::TargetSilent);
        }
        if self.has_ended() || self.is_any_leaving() {
            return Err(RefusalReason::Leaving);
        }
        if !self.is_fresh(instance, now_ms) {
            return Err(RefusalReason::TargetSilent);
        }
        if self.running_instances().any(|running| running.report.service != offer.service) {
            return Err(RefusalReason::OtherService);
        }
        if self.is_zone_out {
            return Err(RefusalReason::ZoneOut);
        }
        // The target may already hold the flow, which is then part of the load.
        if offer.is_retransmission {
            return Ok(());
        }
        check_load(offer, load, instance.report.slots, self.current_limits())
    }

    /// Instances one of which is what runs: the current one, and those that report beside it.
    fn running_instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.current().into_iter().chain(self.instances.unproven())
    }

    fn is_any_leaving(&self) -> bool {
        self.instances.is_leaving()
            || self.instances.has_dropped_instances()
            || self.instances.unproven().any(|instance| instance.is_leaving)
    }

    fn is_any_cold(&self, now_ms: u64) -> bool {
        self.running_instances().any(|running| running.cold_until_ms > now_ms)
    }

    fn admit_cold(
        &mut self,
        limits: Option<TargetLimits>,
        now_ms: u64,
    ) -> Result<(), RefusalReason> {
        let Some(limit) = limits.ok_or(RefusalReason::LimitsUnknown)?.cold_openings_per_s else {
            return Ok(());
        };
        // The process before this one may have used the limit up.
        let has_predecessor = !self.has_seen_all_flows();
        if has_predecessor && now_ms.saturating_sub(self.started_ms) < COLD_WINDOW_MS {
            return Err(RefusalReason::Cold);
        }
        while let Some(oldest_ms) = self.cold_openings_ms.front()
            && now_ms.saturating_sub(*oldest_ms) > COLD_WINDOW_MS
        {
            self.cold_openings_ms.pop_front();
        }
        if self.cold_openings_ms.len() >= limit as usize {
            return Err(RefusalReason::Cold);
        }
        self.cold_openings_ms.push_back(now_ms);
        Ok(())
    }

    fn is_fresh(&self, instance: &Instance, now_ms: u64) -> bool {
        instance.last_seen_ms >= self.stale_before_ms
            && now_ms.saturating_sub(instance.last_seen_ms) < self.timeout_ms
    }
}

/// Checks the load of the target against the limits on flows and busy slots.
fn check_load(
    offer: &OpeningOffer<'_>,
    load: TargetLoad,
    slots: u32,
    limits: Option<TargetLimits>,
) -> Result<(), RefusalReason> {
    if limits.is_some_and(|limits| load.flows >= limits.max_flows) {
        return Err(RefusalReason::Flows);
    }
    let busy_percent = u64::from(load.busy) * 100 / u64::from(slots.max(1));
    let full_percent = if offer.has_waited { BUSY_PERCENT } else { FULL_PERCENT };
    let is_full = match load.expected_answer {
        Some(answer) => answer.after_ms >= answer.timeout_ms,
        None => busy_percent >= full_percent,
    };
    if is_full {
        return Err(RefusalReason::Full);
    }
    if busy_percent >= BUSY_PERCENT && offer.has_next_candidate {
        return Err(RefusalReason::Busy);
    }
    Ok(())
}
