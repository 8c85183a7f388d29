//! A balancer's view of the targets of passed-through flows, and the chains it makes of it.
//!
//! The view may be old: it proposes, and the agents decide. An entry comes from the store or from a
//! peer; what its agent says of itself comes by datagram and decides whether it is alive.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::target_gate::TargetPhase;
use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;
use crate::version::routing::Routing;

/// Time for which an agent that is probed leaves probes unanswered before it counts as silent, in
/// milliseconds: four answers are missing.
pub const SILENCE_MS: u64 = 1_200;

/// Age of what others tell of an agent, in milliseconds, from which this balancer probes it itself:
/// three states are missing.
const STALE_MS: u64 = 2_000;

/// Age of what was heard of an agent, in milliseconds, up to which it is not suspected: two rounds of
/// probes.
const FRESH_MS: u64 = 600;

/// How long an agent that stops is waited for, in milliseconds: the platform's grace of six seconds
/// and two to start again.
pub const HOLD_MS: u64 = 8_000;

/// How long an agent that was never heard counts as one that is starting, in milliseconds.
const UNHEARD_MS: u64 = 4_000;

/// Flows above the mean of its zone, in percent, from which a target is passed over.
const BOUND_PERCENT: u64 = 110;

/// Busy slots over slots, in percent, up to which new flows stay in the balancer's zone.
const HOME_BUSY_PERCENT: u64 = 70;

/// Busy slots, in percentage points, by which other zones must be better to be taken all the same.
const HOME_MARGIN_PERCENT: u64 = 15;

/// Runs of an agent that are remembered, so that late datagrams of theirs are told apart.
const MAX_PAST_LIFETIMES: usize = 4;

/// Most agents in one chain; 48 hops are 400 bytes of header.
pub const MAX_CHAIN: usize = 48;

/// Most agents in the chain of an opening: it is refused at the end, so that the caller's next try
/// comes at once.
pub const MAX_OPENING_CHAIN: usize = 8;

/// Status that an agent sends of itself and its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetStatus {
    /// Address for segments.
    pub data: SocketAddrV4,
    /// Address for control datagrams.
    pub control: SocketAddrV4,
    /// Random number of this run of the agent.
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

/// How an agent is seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Heard a moment ago.
    Alive,
    /// About to start, or stopped for a moment: its target may hold flows.
    Awaited,
    /// Silent without a word.
    Silent,
}

#[derive(Debug)]
struct TargetEntry {
    control: SocketAddrV4,
    zone: String,
    known_since_ms: u64,
    heard_ms: Option<u64>,
    /// Time of the first probe of this balancer since then.
    probed_ms: Option<u64>,
    status: Option<TargetStatus>,
    past_lifetimes: Vec<u64>,
    awaited_until_ms: u64,
    /// Since when this balancer probes it itself, as a search came to no end.
    suspected_ms: Option<u64>,
    offered: u32,
}

impl TargetEntry {
    /// Whether the target has not ended.
    fn may_hold_flows(&self) -> bool {
        self.status.as_ref().is_none_or(|status| status.phase != TargetPhase::Ended)
    }
}

/// Where an agent is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownAgent<'a> {
    /// Address for segments.
    pub data: SocketAddrV4,
    /// Address for control datagrams.
    pub control: SocketAddrV4,
    /// Availability zone.
    pub zone: &'a str,
}

/// Where a segment of a flow that is not found is sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Search {
    /// Agents that are alive, a chain for each zone, the likeliest first. A zone that cannot be
    /// reached holds up no other, and each segment crosses to it once.
    pub chains: Vec<Vec<SocketAddrV4>>,
    /// Agents that may hold the flow and do not answer; each gets a copy.
    pub unanswering: Vec<SocketAddrV4>,
    /// Whether some agent may hold the flow and is only away for a moment.
    pub has_awaited: bool,
}

/// The targets that a balancer knows, by their agents' data addresses.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: IndexMap<SocketAddrV4, TargetEntry>,
    excused_until_ms: u64,
}

impl TargetTable {
    /// Knows no target yet.
    pub fn new() -> TargetTable {
        TargetTable::default()
    }

    /// Learns of an agent, from the store or a peer. Says whether it is new.
    pub fn learn(
        &mut self,
        data: SocketAddrV4,
        control: SocketAddrV4,
        zone: &str,
        now_ms: u64,
    ) -> bool {
        if self.targets.contains_key(&data) {
            return false;
        }
        let entry = TargetEntry {
            control,
            zone: zone.to_owned(),
            known_since_ms: now_ms,
            heard_ms: None,
            probed_ms: None,
            status: None,
            past_lifetimes: Vec::new(),
            awaited_until_ms: 0,
            suspected_ms: None,
            offered: 0,
        };
        self.targets.insert(data, entry);
        true
    }

    /// Takes over a status that the agent sent `age_ms` ago. Says whether anything but load has
    /// changed.
    pub fn update(&mut self, status: TargetStatus, age_ms: u64, now_ms: u64) -> bool {
        self.learn(status.data, status.control, &status.zone, now_ms);
        let entry = &mut self.targets[&status.data];
        if entry.past_lifetimes.contains(&status.lifetime) {
            return false;
        }
        let heard_ms = now_ms.saturating_sub(age_ms);
        let mut is_changed = true;
        if let Some(held) = &entry.status {
            if held.lifetime == status.lifetime {
                if status.sequence <= held.sequence {
                    return false;
                }
                is_changed = held.phase != status.phase
                    || held.service != status.service
                    || held.is_stopping != status.is_stopping;
            } else {
                entry.past_lifetimes.push(held.lifetime);
                if entry.past_lifetimes.len() > MAX_PAST_LIFETIMES {
                    entry.past_lifetimes.remove(0);
                }
            }
        }
        entry.heard_ms = entry.heard_ms.max(Some(heard_ms));
        if entry.suspected_ms.is_some_and(|suspected_ms| suspected_ms <= heard_ms) {
            entry.suspected_ms = None;
        }
        if entry.probed_ms.is_some_and(|probed_ms| probed_ms <= heard_ms) {
            entry.probed_ms = None;
        }
        entry.awaited_until_ms = if status.is_stopping { now_ms + HOLD_MS } else { 0 };
        entry.control = status.control;
        entry.zone.clone_from(&status.zone);
        entry.offered = 0;
        entry.status = Some(status);
        is_changed
    }

    /// Forgets an agent whose entry was taken out of the store, unless it is heard.
    pub fn forget(&mut self, data: SocketAddrV4, now_ms: u64) {
        if self.liveness(data, now_ms) != Some(Liveness::Alive) {
            self.targets.shift_remove(&data);
        }
    }

    /// A search has come to no end, so one of the agents is gone: those that were not heard since the
    /// last round are probed, whoever keeps them.
    pub fn suspect_all(&mut self, now_ms: u64) {
        for entry in self.targets.values_mut() {
            let is_fresh =
                entry.heard_ms.is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) < FRESH_MS);
            if !is_fresh {
                entry.suspected_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Agents that this balancer probes now: those it keeps, and those of which it has heard nothing
    /// for a while. Their silence counts from here on. Between two rounds only those that may be
    /// starting are probed.
    pub fn take_due_probes(
        &mut self,
        is_round: bool,
        keeps: impl Fn(SocketAddrV4, &str) -> bool,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for (data, entry) in &mut self.targets {
            let is_stale =
                entry.heard_ms.is_none_or(|heard_ms| now_ms.saturating_sub(heard_ms) > STALE_MS);
            let is_awaited = entry.heard_ms.is_none()
                && now_ms.saturating_sub(entry.known_since_ms) < UNHEARD_MS;
            let is_suspected = entry.suspected_ms.is_some();
            if is_awaited || (is_round && (is_stale || is_suspected || keeps(*data, &entry.zone))) {
                entry.probed_ms.get_or_insert(now_ms);
                due.push(*data);
            }
        }
        due
    }

    /// Where an agent is.
    pub fn agent(&self, data: SocketAddrV4) -> Option<KnownAgent<'_>> {
        let entry = self.targets.get(&data)?;
        Some(KnownAgent { data, control: entry.control, zone: &entry.zone })
    }

    /// Statuses of the agents that were heard lately, with their age in milliseconds, to tell others.
    pub fn news(&self, now_ms: u64) -> impl Iterator<Item = (&TargetStatus, u64)> {
        self.targets.values().filter_map(move |entry| {
            let age_ms = now_ms.saturating_sub(entry.heard_ms?);
            (age_ms < STALE_MS).then_some((entry.status.as_ref()?, age_ms))
        })
    }

    /// This process stood still: silence up to now proves nothing.
    pub fn note_stall(&mut self, now_ms: u64) {
        for entry in self.targets.values_mut() {
            entry.probed_ms = None;
        }
        self.excused_until_ms = now_ms + SILENCE_MS;
    }

    /// Data addresses of agents that have been silent for `silence_ms`.
    pub fn silent_for(&self, silence_ms: u64, now_ms: u64) -> impl Iterator<Item = SocketAddrV4> {
        let since = |entry: &TargetEntry| entry.heard_ms.unwrap_or(entry.known_since_ms);
        self.targets
            .iter()
            .filter(move |(_, entry)| now_ms.saturating_sub(since(entry)) > silence_ms)
            .map(|(data, _)| *data)
    }

    /// The last status of an agent.
    pub fn status(&self, data: SocketAddrV4) -> Option<&TargetStatus> {
        self.targets.get(&data)?.status.as_ref()
    }

    /// How an agent is seen; `None` where it is not known.
    pub fn liveness(&self, data: SocketAddrV4, now_ms: u64) -> Option<Liveness> {
        self.targets.get(&data).map(|entry| self.judge(entry, now_ms))
    }

    /// Agents to offer a new flow of a service to, best first.
    ///
    /// The load that it answers: callers of a zone that open flows in unequal numbers, and zones whose
    /// targets are fewer than usual. Flows go to the balancer's own zone by bounded-load rendezvous
    /// hashing; as its slots fill up, targets of all zones are weighed alike. Cold targets come after
    /// warm ones.
    pub fn opening_chain(
        &self,
        routing: &Routing,
        service: &str,
        flow_hash: u64,
        home_zone: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let mut candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .filter_map(|(data, entry)| self.candidate(*data, entry, service, flow_hash, now_ms))
            .filter(|candidate| !routing.is_zone_out(&candidate.entry.zone))
            .collect();
        let spills = !prefers_home(&candidates, home_zone);
        let bounds = Bounds::new(&candidates, home_zone, spills);
        candidates.sort_by_cached_key(|candidate| {
            let is_home = spills || candidate.entry.zone == home_zone;
            (candidate.is_cold, !is_home, !bounds.fits(candidate), u64::MAX - candidate.score)
        });
        candidates.iter().take(MAX_OPENING_CHAIN).map(|candidate| candidate.data).collect()
    }

    /// Notes that a new flow was offered to an agent, until its next status counts it.
    pub fn note_offer(&mut self, data: SocketAddrV4) {
        if let Some(entry) = self.targets.get_mut(&data) {
            entry.offered += 1;
        }
    }

    /// All agents that may hold a flow of these services, in the order of the services; others last.
    pub fn search(&self, services: &[&str], flow_hash: u64, now_ms: u64) -> Search {
        let mut ranked = Vec::with_capacity(self.targets.len());
        for (data, entry) in &self.targets {
            if !entry.may_hold_flows() {
                continue;
            }
            let status = entry.status.as_ref();
            let service = status.map_or("", |status| status.service.as_str());
            let rank = services.iter().position(|name| *name == service);
            let rank = rank.unwrap_or(services.len());
            let score = u64::MAX - score(flow_hash, *data);
            ranked.push((rank, score, *data, entry));
        }
        ranked.sort_unstable_by_key(|(rank, score, ..)| (*rank, *score));
        let mut chains: IndexMap<&str, Vec<SocketAddrV4>> = IndexMap::new();
        let mut search = Search::default();
        for (.., data, entry) in ranked {
            let liveness = self.judge(entry, now_ms);
            match liveness {
                Liveness::Alive => chains.entry(&entry.zone).or_default().push(data),
                Liveness::Awaited | Liveness::Silent => search.unanswering.push(data),
            }
            search.has_awaited |= liveness == Liveness::Awaited;
        }
        let parts = chains.values().flat_map(|chain| chain.chunks(MAX_CHAIN));
        search.chains = parts.map(<[SocketAddrV4]>::to_vec).collect();
        search
    }

    /// How those agents are seen that may hold a flow and do not answer: awaited where one of them is;
    /// `None` where all answer.
    pub fn unanswered(&self, now_ms: u64) -> Option<Liveness> {
        let holders = self.targets.values().filter(|entry| entry.may_hold_flows());
        holders
            .map(|entry| self.judge(entry, now_ms))
            .filter(|liveness| *liveness != Liveness::Alive)
            .min_by_key(|liveness| *liveness != Liveness::Awaited)
    }

    /// Agents that do not answer, and how each is seen.
    pub fn unanswering(&self, now_ms: u64) -> Vec<(SocketAddrV4, Liveness)> {
        let judged = self.all(now_ms).map(|(data, _, liveness, _)| (data, liveness));
        judged.filter(|(_, liveness)| *liveness != Liveness::Alive).collect()
    }

    /// Whether every agent that is known has been heard, or is known to be silent.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        self.targets.values().all(|entry| self.judge(entry, now_ms) != Liveness::Awaited)
    }

    /// All agents, how each is seen and what it last said.
    pub fn all(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddrV4, &str, Liveness, Option<&TargetStatus>)> {
        self.targets.iter().map(move |(data, entry)| {
            (*data, entry.zone.as_str(), self.judge(entry, now_ms), entry.status.as_ref())
        })
    }

    /// Whether a target of one of these services takes flows.
    pub fn takes_flows(&self, services: &[&str], now_ms: u64) -> bool {
        self.any(services, now_ms, TargetPhase::takes_flows)
    }

    /// Whether a target of one of these services is about to take flows.
    pub fn has_starting(&self, services: &[&str], now_ms: u64) -> bool {
        self.any(services, now_ms, |phase| phase == TargetPhase::Introducing)
    }

    fn any(&self, services: &[&str], now_ms: u64, picks: impl Fn(TargetPhase) -> bool) -> bool {
        self.targets.values().any(|entry| {
            entry.status.as_ref().is_some_and(|status| {
                picks(status.phase) && services.contains(&status.service.as_str())
            }) && self.judge(entry, now_ms) == Liveness::Alive
        })
    }

    fn judge(&self, entry: &TargetEntry, now_ms: u64) -> Liveness {
        let is_stopping = entry.status.as_ref().is_some_and(|status| status.is_stopping);
        if is_stopping {
            let is_awaited = now_ms < entry.awaited_until_ms;
            return if is_awaited { Liveness::Awaited } else { Liveness::Silent };
        }
        let age_ms = entry.heard_ms.map(|heard_ms| now_ms.saturating_sub(heard_ms));
        let unanswered_ms = entry.probed_ms.map(|probed_ms| now_ms.saturating_sub(probed_ms));
        match age_ms {
            None if now_ms.saturating_sub(entry.known_since_ms) < UNHEARD_MS => Liveness::Awaited,
            None => Liveness::Silent,
            Some(age_ms) if age_ms < SILENCE_MS => Liveness::Alive,
            Some(_) if unanswered_ms.is_some_and(|waited_ms| waited_ms >= SILENCE_MS) => {
                Liveness::Silent
            }
            Some(_) if now_ms < self.excused_until_ms => Liveness::Awaited,
            Some(age_ms) if age_ms < STALE_MS + SILENCE_MS => Liveness::Alive,
            Some(_) => Liveness::Awaited,
        }
    }

    fn candidate<'a>(
        &self,
        data: SocketAddrV4,
        entry: &'a TargetEntry,
        service: &str,
        flow_hash: u64,
        now_ms: u64,
    ) -> Option<Candidate<'a>> {
        let status = entry.status.as_ref()?;
        let is_cold = status.phase == TargetPhase::Cold;
        let is_alive = self.judge(entry, now_ms) == Liveness::Alive;
        if !status.phase.takes_flows() || !is_alive || status.service != service {
            return None;
        }
        let flows = u64::from(status.flows + entry.offered);
        let score = score(flow_hash, data);
        Some(Candidate { data, entry, status, is_cold, flows, score })
    }
}

/// A target that may take a new flow.
struct Candidate<'a> {
    data: SocketAddrV4,
    entry: &'a TargetEntry,
    status: &'a TargetStatus,
    is_cold: bool,
    flows: u64,
    score: u64,
}

impl Candidate<'_> {
    fn slots(&self) -> u64 {
        u64::from(self.status.slots.max(1))
    }
}

/// Mean flows a slot, among those that are weighed against each other.
struct Bounds {
    flows: u64,
    slots: u64,
}

impl Bounds {
    fn new(candidates: &[Candidate<'_>], home_zone: &str, spills: bool) -> Bounds {
        let group = candidates
            .iter()
            .filter(|candidate| !candidate.is_cold)
            .filter(|candidate| spills || candidate.entry.zone == home_zone);
        group.fold(Bounds { flows: 0, slots: 0 }, |bounds, candidate| Bounds {
            flows: bounds.flows + candidate.flows,
            slots: bounds.slots + candidate.slots(),
        })
    }

    fn fits(&self, candidate: &Candidate<'_>) -> bool {
        let fair = (self.flows + 1) * candidate.slots() * BOUND_PERCENT;
        (candidate.flows + 1) * self.slots * 100 <= fair + self.slots * 100
    }
}

/// Whether new flows stay in the balancer's zone.
fn prefers_home(candidates: &[Candidate<'_>], home_zone: &str) -> bool {
    let busy_percent = |is_home: bool| {
        let group = candidates
            .iter()
            .filter(|candidate| !candidate.is_cold)
            .filter(|candidate| (candidate.entry.zone == home_zone) == is_home);
        let (busy, slots) = group.fold((0, 0), |(busy, slots), candidate| {
            (busy + u64::from(candidate.status.busy), slots + candidate.slots())
        });
        (slots > 0).then(|| busy * 100 / slots)
    };
    match (busy_percent(true), busy_percent(false)) {
        (Some(home), Some(away)) => home < HOME_BUSY_PERCENT || home <= away + HOME_MARGIN_PERCENT,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

fn score(flow_hash: u64, data: SocketAddrV4) -> u64 {
    let id = hash64(data.to_string().as_bytes());
    hash64_with_seed(&id.to_be_bytes(), flow_hash)
}
