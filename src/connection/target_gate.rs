//! An agent's decision on segments that open a flow at its target.
//!
//! This is the only place that knows the target exactly, and every opening passes here, so the limits
//! on draining, cold and taken-out targets hold however many balancers point at it and however old
//! their views are.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// Time in which openings at a cold target are counted, in milliseconds: one second, and what an
/// opening may spend on its way.
const COLD_WINDOW_MS: u64 = 1_100;

/// Busy slots over slots, in percent, from which an opening is passed on while others can take it.
const BUSY_PERCENT: u64 = 100;

/// Busy slots over slots, in percent, from which a target takes no opening: one request at work and one
/// behind it for each slot, a wait that latency objectives of three to five times the work allow.
const FULL_PERCENT: u64 = 200;

/// Silence of the target, in milliseconds, after which its host is asked whether a process of it runs: a
/// report is missing.
const SUSPECT_AFTER_MS: u64 = 1_000;

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Name of this life of the target.
    pub id: String,
    /// Start of this life, in Unix milliseconds.
    pub started_ms: u64,
    /// Number of this report in this life.
    pub sequence: u64,
    /// Service that it runs.
    pub service: String,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// How long it stays cold, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Requests that it runs at once when warm.
    pub slots: u32,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// First report of a life of the target.
    NewInstance,
    /// Something that balancers should know has changed.
    Changed,
    /// As before.
    Same,
    /// Older than what is held, or of a life that has ended.
    Stale,
}

/// Phase of the target, as balancers are told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetPhase {
    /// Nothing heard yet, or silent.
    Unknown,
    /// Takes flows.
    Serving,
    /// Takes a few flows.
    Cold,
    /// Keeps its flows and takes no more.
    Leaving,
    /// Has ended; its flows are gone.
    Ended,
    /// Its agent has only just started, and waits until every balancer knows of it, or until it is told how
    /// much a cold target bears.
    Introducing,
}

impl TargetPhase {
    /// Whether the target takes flows, if only a few.
    pub fn accepts_flows(self) -> bool {
        matches!(self, TargetPhase::Serving | TargetPhase::Cold)
    }

    /// Word for operators.
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

/// Limits that come with the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateLimits {
    /// Openings a second at a cold target; none where it bears as many as a warm one.
    pub cold_openings_per_s: Option<u32>,
    /// Flows that the target holds.
    pub max_flows: u32,
}

/// An opening that is offered to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpeningOffer<'a> {
    /// Service that it opens a flow of.
    pub service: &'a str,
    /// Whether other targets are left to try.
    pub has_next_candidate: bool,
    /// Whether the target has been offered this flow before.
    pub is_retransmission: bool,
    /// Whether its caller has waited already.
    pub has_waited: bool,
}

/// Load of the target at the moment of an opening.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Open flows.
    pub flows: u32,
    /// Flows whose caller waits for an answer.
    pub busy: u32,
}

/// Why an opening is not given to the target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// Some balancer may not know of the agent yet.
    NotIntroduced,
    /// Nothing heard of the target for a while, or at all.
    TargetSilent,
    /// The target runs another service.
    OtherService,
    /// The target is leaving or has ended.
    Leaving,
    /// The availability zone is out.
    ZoneOut,
    /// The target is cold and how much it bears is not known yet.
    LimitsUnknown,
    /// The target is cold and has had as much as it bears.
    Cold,
    /// The target holds as many flows as it can.
    Flows,
    /// All slots are busy and others can take the flow.
    Busy,
    /// As many requests wait as are at work.
    Full,
    /// The target breaks off requests or has become slow, and others can take the flow.
    Failing,
}

impl RefusalReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [RefusalReason; 11] = [
        RefusalReason::NotIntroduced,
        RefusalReason::TargetSilent,
        RefusalReason::OtherService,
        RefusalReason::Leaving,
        RefusalReason::ZoneOut,
        RefusalReason::LimitsUnknown,
        RefusalReason::Cold,
        RefusalReason::Flows,
        RefusalReason::Busy,
        RefusalReason::Full,
        RefusalReason::Failing,
    ];

    /// Label of this reason in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NotIntroduced => "not-introduced",
            RefusalReason::TargetSilent => "target-silent",
            RefusalReason::OtherService => "other-service",
            RefusalReason::Leaving => "leaving",
            RefusalReason::ZoneOut => "zone-out",
            RefusalReason::LimitsUnknown => "limits-unknown",
            RefusalReason::Cold => "cold",
            RefusalReason::Flows => "flows",
            RefusalReason::Busy => "busy",
            RefusalReason::Full => "full",
            RefusalReason::Failing => "failing",
        }
    }
}

#[derive(Debug)]
struct TargetInstance {
    report: TargetReport,
    last_seen_ms: u64,
    cold_until_ms: u64,
    has_ended: bool,
}

/// What an agent knows of its target.
#[derive(Debug)]
pub struct TargetGate {
    instance: Option<TargetInstance>,
    past_instances: VecDeque<(String, u64)>,
    has_seen_all_flows: bool,
    /// Whether the host has refused a connection to the target since it was last heard: no process of it
    /// runs.
    is_connection_refused: bool,
    timeout_ms: u64,
    stale_before_ms: u64,
    is_zone_out: bool,
    /// Service that the limits are about, and the limits.
    limits: Option<(String, GateLimits)>,
    cold_openings_ms: VecDeque<u64>,
}

/// Sequence of the first report of a life. Openings are given only to a life that has reported, so who
/// got this one has seen every flow of it.
const FIRST_SEQUENCE: u64 = 1;

/// Past lives of the target that are remembered, so that late reports of theirs are told apart.
const MAX_PAST_INSTANCES: usize = 16;

impl TargetGate {
    /// Creates a gate that has heard nothing. A target that is silent for `silence_ms` takes no
    /// opening: its address may already belong to another service.
    pub fn new(timeout_ms: u64) -> TargetGate {
        TargetGate {
            instance: None,
            past_instances: VecDeque::new(),
            has_seen_all_flows: false,
            is_connection_refused: false,
            timeout_ms,
            stale_before_ms: 0,
            is_zone_out: false,
            limits: None,
            cold_openings_ms: VecDeque::new(),
        }
    }

    /// Takes a report of the target.
    pub fn apply_report(&mut self, report: TargetReport, now_ms: u64) -> ReportOutcome {
        let is_past_instance =
            |(id, started_ms): &(String, u64)| *id == report.id && *started_ms == report.started_ms;
        if self.past_instances.iter().any(is_past_instance) {
            return ReportOutcome::Stale;
        }
        let cold_until_ms = now_ms + report.cold_remaining_ms;
        let outcome = match &self.instance {
            None => ReportOutcome::NewInstance,
            Some(instance) if is_same_instance(&instance.report, &report) => {
                if report.sequence <= instance.report.sequence || instance.has_ended {
                    return ReportOutcome::Stale;
                }
                let is_same = instance.report.is_leaving == report.is_leaving
                    && instance.report.service == report.service
                    && instance.report.slots == report.slots
                    && now_ms.saturating_sub(instance.last_seen_ms) < self.timeout_ms
                    && (instance.cold_until_ms > now_ms) == (cold_until_ms > now_ms);
                if is_same { ReportOutcome::Same } else { ReportOutcome::Changed }
            }
            Some(instance) => {
                let is_responsive = now_ms.saturating_sub(instance.last_seen_ms) < self.timeout_ms;
                if report.started_ms < instance.report.started_ms
                    && is_responsive
                    && !instance.has_ended
                {
                    return ReportOutcome::Stale;
                }
                ReportOutcome::NewInstance
            }
        };
        let was_connection_refused = std::mem::take(&mut self.is_connection_refused);
        if outcome == ReportOutcome::NewInstance {
            self.has_seen_all_flows = was_connection_refused
                || self.instance.is_some()
                || report.sequence == FIRST_SEQUENCE;
            self.remember_past_instance();
        } else if was_connection_refused {
            self.has_seen_all_flows = false;
        }
        self.instance =
            Some(TargetInstance { report, last_seen_ms: now_ms, cold_until_ms, has_ended: false });
        match outcome {
            ReportOutcome::Same if was_connection_refused => ReportOutcome::Changed,
            outcome => outcome,
        }
    }

    /// The host refuses connections to the target: its process has ended, and its flows with it.
    pub fn note_connection_refused(&mut self) {
        self.is_connection_refused = true;
    }

    /// The target has sent something: it is there after all, with flows that were given up.
    pub fn note_target_traffic(&mut self) {
        if std::mem::take(&mut self.is_connection_refused) {
            self.has_seen_all_flows = false;
        }
    }

    /// Whether it is not known if a process of the target runs, after `silent_ms` without a word of it.
    pub fn is_suspected(&self, since_last_seen_ms: u64) -> bool {
        !self.has_ended() && since_last_seen_ms >= SUSPECT_AFTER_MS
    }

    /// The target has left. Says whether this ended the life that is known.
    pub fn leave(&mut self, id: &str) -> bool {
        match &mut self.instance {
            Some(instance) if instance.report.id == id && !instance.has_ended => {
                instance.has_ended = true;
                true
            }
            _ => false,
        }
    }

    /// The target has sent something on a flow that it holds, so this life of it goes on.
    pub fn note_seen(&mut self, now_ms: u64) {
        if let Some(instance) = &mut self.instance
            && !instance.has_ended
            && instance.last_seen_ms >= self.stale_before_ms
        {
            instance.last_seen_ms = now_ms;
        }
    }

    /// The target gave back a segment of a flow that it held: another life may have begun, and
    /// nothing is offered to it until it reports.
    pub fn note_lost_flow(&mut self, now_ms: u64) {
        self.stale_before_ms = now_ms;
    }

    /// The agent stood still until now: what it holds may be old.
    pub fn note_stall(&mut self, now_ms: u64) {
        self.stale_before_ms = now_ms;
    }

    /// Takes over whether the zone is out. Back in, the target must report first, as it may be cold.
    pub fn set_zone_out(&mut self, is_out: bool, now_ms: u64) {
        if self.is_zone_out && !is_out {
            self.stale_before_ms = now_ms;
        }
        self.is_zone_out = is_out;
    }

    /// Takes over the limits that the configuration sets for a service.
    pub fn set_limits(&mut self, service: &str, limits: GateLimits) {
        self.limits = Some((service.to_owned(), limits));
    }

    /// The life of the target that is known.
    pub fn current_report(&self) -> Option<&TargetReport> {
        self.instance.as_ref().map(|instance| &instance.report)
    }

    /// Time since the target was last heard, in milliseconds.
    pub fn ms_since_last_seen(&self, now_ms: u64) -> Option<u64> {
        self.instance.as_ref().map(|instance| now_ms.saturating_sub(instance.last_seen_ms))
    }

    /// Whether this process has seen the known life of the target from its start, and so every flow of
    /// it: all segments to a target pass its agent. Either it knew the life before, or it got the first
    /// report.
    pub fn has_seen_all_flows(&self) -> bool {
        self.has_seen_all_flows
    }

    /// Whether no life of the target goes on.
    pub fn has_ended(&self) -> bool {
        self.is_connection_refused
            || self.instance.as_ref().is_some_and(|instance| instance.has_ended)
    }

    /// The phase that balancers are told.
    pub fn phase(&self, now_ms: u64) -> TargetPhase {
        if self.has_ended() {
            return TargetPhase::Ended;
        }
        let Some(instance) = &self.instance else {
            return TargetPhase::Unknown;
        };
        if instance.report.is_leaving {
            TargetPhase::Leaving
        } else if !self.is_fresh(instance, now_ms) {
            TargetPhase::Unknown
        } else if instance.cold_until_ms > now_ms {
            TargetPhase::Cold
        } else {
            TargetPhase::Serving
        }
    }

    /// Whether the target is cold and a balancer has yet to tell how much it bears.
    pub fn needs_limits(&self, now_ms: u64) -> bool {
        self.phase(now_ms) == TargetPhase::Cold && self.current_limits().is_none()
    }

    /// The limits that are known of the target's service.
    fn current_limits(&self) -> Option<GateLimits> {
        let service = &self.current_report()?.service;
        let (_, limits) = self.limits.as_ref().filter(|(name, _)| name == service)?;
        Some(*limits)
    }

    /// Decides on a segment that opens a flow.
    ///
    /// The load that it answers: more openings than the targets bear, as when everybody comes back after a
    /// loss of power. A full target takes none, so that they stay with the balancers, which can offer them
    /// to whoever gets free first; and whoever has waited already leaves what is free to fresh openings,
    /// which can still be answered in time.
    pub fn admit(
        &mut self,
        offer: &OpeningOffer<'_>,
        load: TargetLoad,
        now_ms: u64,
    ) -> Result<(), RefusalReason> {
        let instance = self.instance.as_ref().ok_or(RefusalReason::TargetSilent)?;
        if self.is_connection_refused {
            return Err(RefusalReason::TargetSilent);
        }
        if instance.has_ended || instance.report.is_leaving {
            return Err(RefusalReason::Leaving);
        }
        if !self.is_fresh(instance, now_ms) {
            return Err(RefusalReason::TargetSilent);
        }
        if instance.report.service != offer.service {
            return Err(RefusalReason::OtherService);
        }
        if self.is_zone_out {
            return Err(RefusalReason::ZoneOut);
        }
        let is_cold = instance.cold_until_ms > now_ms;
        let limits = self.current_limits();
        if !offer.is_retransmission {
            check_load(offer, load, instance.report.slots, limits)?;
        }
        if is_cold { self.admit_cold(limits, now_ms) } else { Ok(()) }
    }

    fn admit_cold(&mut self, limits: Option<GateLimits>, now_ms: u64) -> Result<(), RefusalReason> {
        let Some(limit) = limits.ok_or(RefusalReason::LimitsUnknown)?.cold_openings_per_s else {
            return Ok(());
        };
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

    fn is_fresh(&self, instance: &TargetInstance, now_ms: u64) -> bool {
        instance.last_seen_ms >= self.stale_before_ms
            && now_ms.saturating_sub(instance.last_seen_ms) < self.timeout_ms
    }

    fn remember_past_instance(&mut self) {
        let Some(instance) = self.instance.take() else {
            return;
        };
        self.past_instances.push_back((instance.report.id, instance.report.started_ms));
        if self.past_instances.len() > MAX_PAST_INSTANCES {
            self.past_instances.pop_front();
        }
    }
}

/// Whether the target bears one more flow.
fn check_load(
    offer: &OpeningOffer<'_>,
    load: TargetLoad,
    slots: u32,
    limits: Option<GateLimits>,
) -> Result<(), RefusalReason> {
    if limits.is_some_and(|limits| load.flows >= limits.max_flows) {
        return Err(RefusalReason::Flows);
    }
    let busy_percent = u64::from(load.busy) * 100 / u64::from(slots.max(1));
    let full_percent = if offer.has_waited { BUSY_PERCENT } else { FULL_PERCENT };
    if busy_percent >= full_percent {
        return Err(RefusalReason::Full);
    }
    if busy_percent >= BUSY_PERCENT && offer.has_next_candidate {
        return Err(RefusalReason::Busy);
    }
    Ok(())
}

fn is_same_instance(held: &TargetReport, fresh: &TargetReport) -> bool {
    held.id == fresh.id && held.started_ms == fresh.started_ms
}
