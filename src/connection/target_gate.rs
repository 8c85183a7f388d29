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
const DOUBT_MS: u64 = 1_000;

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
    NewLife,
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
    pub fn takes_flows(self) -> bool {
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
pub struct Offer<'a> {
    /// Service that it opens a flow of.
    pub service: &'a str,
    /// Whether other targets are left to try.
    pub may_pass: bool,
    /// Whether the target has been offered this flow before.
    pub is_copy: bool,
    /// Whether its caller has waited already.
    pub is_late: bool,
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
pub enum Refused {
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

impl Refused {
    /// All reasons, for metrics and docs.
    pub const ALL: [Refused; 11] = [
        Refused::NotIntroduced,
        Refused::TargetSilent,
        Refused::OtherService,
        Refused::Leaving,
        Refused::ZoneOut,
        Refused::LimitsUnknown,
        Refused::Cold,
        Refused::Flows,
        Refused::Busy,
        Refused::Full,
        Refused::Failing,
    ];

    /// Label of this reason in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Refused::NotIntroduced => "not-introduced",
            Refused::TargetSilent => "target-silent",
            Refused::OtherService => "other-service",
            Refused::Leaving => "leaving",
            Refused::ZoneOut => "zone-out",
            Refused::LimitsUnknown => "limits-unknown",
            Refused::Cold => "cold",
            Refused::Flows => "flows",
            Refused::Busy => "busy",
            Refused::Full => "full",
            Refused::Failing => "failing",
        }
    }
}

#[derive(Debug)]
struct Life {
    report: TargetReport,
    heard_ms: u64,
    cold_until_ms: u64,
    has_ended: bool,
}

/// What an agent knows of its target.
#[derive(Debug)]
pub struct TargetGate {
    life: Option<Life>,
    past_lives: VecDeque<(String, u64)>,
    is_whole: bool,
    /// Whether the host has refused a connection to the target since it was last heard: no process of it
    /// runs.
    is_absent: bool,
    silence_ms: u64,
    distrust_before_ms: u64,
    is_zone_out: bool,
    /// Service that the limits are about, and the limits.
    limits: Option<(String, GateLimits)>,
    cold_openings_ms: VecDeque<u64>,
}

/// Sequence of the first report of a life. Openings are given only to a life that has reported, so who
/// got this one has seen every flow of it.
const FIRST_SEQUENCE: u64 = 1;

/// Past lives of the target that are remembered, so that late reports of theirs are told apart.
const MAX_PAST_LIVES: usize = 16;

impl TargetGate {
    /// Creates a gate that has heard nothing. A target that is silent for `silence_ms` takes no
    /// opening: its address may already belong to another service.
    pub fn new(silence_ms: u64) -> TargetGate {
        TargetGate {
            life: None,
            past_lives: VecDeque::new(),
            is_whole: false,
            is_absent: false,
            silence_ms,
            distrust_before_ms: 0,
            is_zone_out: false,
            limits: None,
            cold_openings_ms: VecDeque::new(),
        }
    }

    /// Takes a report of the target.
    pub fn report(&mut self, report: TargetReport, now_ms: u64) -> ReportOutcome {
        let is_past =
            |(id, started_ms): &(String, u64)| *id == report.id && *started_ms == report.started_ms;
        if self.past_lives.iter().any(is_past) {
            return ReportOutcome::Stale;
        }
        let cold_until_ms = now_ms + report.cold_remaining_ms;
        let outcome = match &self.life {
            None => ReportOutcome::NewLife,
            Some(life) if is_same_life(&life.report, &report) => {
                if report.sequence <= life.report.sequence || life.has_ended {
                    return ReportOutcome::Stale;
                }
                let is_same = life.report.is_leaving == report.is_leaving
                    && life.report.service == report.service
                    && life.report.slots == report.slots
                    && now_ms.saturating_sub(life.heard_ms) < self.silence_ms
                    && (life.cold_until_ms > now_ms) == (cold_until_ms > now_ms);
                if is_same { ReportOutcome::Same } else { ReportOutcome::Changed }
            }
            Some(life) => {
                let is_heard = now_ms.saturating_sub(life.heard_ms) < self.silence_ms;
                if report.started_ms < life.report.started_ms && is_heard && !life.has_ended {
                    return ReportOutcome::Stale;
                }
                ReportOutcome::NewLife
            }
        };
        let was_absent = std::mem::take(&mut self.is_absent);
        if outcome == ReportOutcome::NewLife {
            self.is_whole = was_absent || self.life.is_some() || report.sequence == FIRST_SEQUENCE;
            self.remember_past_life();
        } else if was_absent {
            self.is_whole = false;
        }
        self.life = Some(Life { report, heard_ms: now_ms, cold_until_ms, has_ended: false });
        match outcome {
            ReportOutcome::Same if was_absent => ReportOutcome::Changed,
            outcome => outcome,
        }
    }

    /// The host refuses connections to the target: its process has ended, and its flows with it.
    pub fn note_absent(&mut self) {
        self.is_absent = true;
    }

    /// The target has sent something: it is there after all, with flows that were given up.
    pub fn note_present(&mut self) {
        if std::mem::take(&mut self.is_absent) {
            self.is_whole = false;
        }
    }

    /// Whether it is not known if a process of the target runs, after `silent_ms` without a word of it.
    pub fn is_in_doubt(&self, silent_ms: u64) -> bool {
        !self.has_ended() && silent_ms >= DOUBT_MS
    }

    /// The target has left. Says whether this ended the life that is known.
    pub fn leave(&mut self, id: &str) -> bool {
        match &mut self.life {
            Some(life) if life.report.id == id && !life.has_ended => {
                life.has_ended = true;
                true
            }
            _ => false,
        }
    }

    /// The target has sent something on a flow that it holds, so this life of it goes on.
    pub fn note_life_sign(&mut self, now_ms: u64) {
        if let Some(life) = &mut self.life
            && !life.has_ended
            && life.heard_ms >= self.distrust_before_ms
        {
            life.heard_ms = now_ms;
        }
    }

    /// The target gave back a segment of a flow that it held: another life may have begun, and
    /// nothing is offered to it until it reports.
    pub fn note_lost_flow(&mut self, now_ms: u64) {
        self.distrust_before_ms = now_ms;
    }

    /// The agent stood still until now: what it holds may be old.
    pub fn note_stall(&mut self, now_ms: u64) {
        self.distrust_before_ms = now_ms;
    }

    /// Takes over whether the zone is out. Back in, the target must report first, as it may be cold.
    pub fn set_zone_out(&mut self, is_out: bool, now_ms: u64) {
        if self.is_zone_out && !is_out {
            self.distrust_before_ms = now_ms;
        }
        self.is_zone_out = is_out;
    }

    /// Takes over the limits that the configuration sets for a service.
    pub fn set_limits(&mut self, service: &str, limits: GateLimits) {
        self.limits = Some((service.to_owned(), limits));
    }

    /// The life of the target that is known.
    pub fn known(&self) -> Option<&TargetReport> {
        self.life.as_ref().map(|life| &life.report)
    }

    /// Time since the target was last heard, in milliseconds.
    pub fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.life.as_ref().map(|life| now_ms.saturating_sub(life.heard_ms))
    }

    /// Whether this process has seen the known life of the target from its start, and so every flow of
    /// it: all segments to a target pass its agent. Either it knew the life before, or it got the first
    /// report.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Whether no life of the target goes on.
    pub fn has_ended(&self) -> bool {
        self.is_absent || self.life.as_ref().is_some_and(|life| life.has_ended)
    }

    /// The phase that balancers are told.
    pub fn phase(&self, now_ms: u64) -> TargetPhase {
        if self.has_ended() {
            return TargetPhase::Ended;
        }
        let Some(life) = &self.life else {
            return TargetPhase::Unknown;
        };
        if life.report.is_leaving {
            TargetPhase::Leaving
        } else if !self.is_trusted(life, now_ms) {
            TargetPhase::Unknown
        } else if life.cold_until_ms > now_ms {
            TargetPhase::Cold
        } else {
            TargetPhase::Serving
        }
    }

    /// Whether the target is cold and a balancer has yet to tell how much it bears.
    pub fn awaits_limits(&self, now_ms: u64) -> bool {
        self.phase(now_ms) == TargetPhase::Cold && self.known_limits().is_none()
    }

    /// The limits that are known of the target's service.
    fn known_limits(&self) -> Option<GateLimits> {
        let service = &self.known()?.service;
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
        offer: &Offer<'_>,
        load: TargetLoad,
        now_ms: u64,
    ) -> Result<(), Refused> {
        let life = self.life.as_ref().ok_or(Refused::TargetSilent)?;
        if self.is_absent {
            return Err(Refused::TargetSilent);
        }
        if life.has_ended || life.report.is_leaving {
            return Err(Refused::Leaving);
        }
        if !self.is_trusted(life, now_ms) {
            return Err(Refused::TargetSilent);
        }
        if life.report.service != offer.service {
            return Err(Refused::OtherService);
        }
        if self.is_zone_out {
            return Err(Refused::ZoneOut);
        }
        let is_cold = life.cold_until_ms > now_ms;
        let limits = self.known_limits();
        if !offer.is_copy {
            check_load(offer, load, life.report.slots, limits)?;
        }
        if is_cold { self.admit_cold(limits, now_ms) } else { Ok(()) }
    }

    fn admit_cold(&mut self, limits: Option<GateLimits>, now_ms: u64) -> Result<(), Refused> {
        let Some(limit) = limits.ok_or(Refused::LimitsUnknown)?.cold_openings_per_s else {
            return Ok(());
        };
        while let Some(oldest_ms) = self.cold_openings_ms.front()
            && now_ms.saturating_sub(*oldest_ms) > COLD_WINDOW_MS
        {
            self.cold_openings_ms.pop_front();
        }
        if self.cold_openings_ms.len() >= limit as usize {
            return Err(Refused::Cold);
        }
        self.cold_openings_ms.push_back(now_ms);
        Ok(())
    }

    fn is_trusted(&self, life: &Life, now_ms: u64) -> bool {
        life.heard_ms >= self.distrust_before_ms
            && now_ms.saturating_sub(life.heard_ms) < self.silence_ms
    }

    fn remember_past_life(&mut self) {
        let Some(life) = self.life.take() else {
            return;
        };
        self.past_lives.push_back((life.report.id, life.report.started_ms));
        if self.past_lives.len() > MAX_PAST_LIVES {
            self.past_lives.pop_front();
        }
    }
}

/// Whether the target bears one more flow.
fn check_load(
    offer: &Offer<'_>,
    load: TargetLoad,
    slots: u32,
    limits: Option<GateLimits>,
) -> Result<(), Refused> {
    if limits.is_some_and(|limits| load.flows >= limits.max_flows) {
        return Err(Refused::Flows);
    }
    let busy_percent = u64::from(load.busy) * 100 / u64::from(slots.max(1));
    let full_percent = if offer.is_late { BUSY_PERCENT } else { FULL_PERCENT };
    if busy_percent >= full_percent {
        return Err(Refused::Full);
    }
    if busy_percent >= BUSY_PERCENT && offer.may_pass {
        return Err(Refused::Busy);
    }
    Ok(())
}

fn is_same_life(held: &TargetReport, fresh: &TargetReport) -> bool {
    held.id == fresh.id && held.started_ms == fresh.started_ms
}
