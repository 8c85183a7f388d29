//! A balancer's view of the targets of passed-through flows, and the chains it makes of it.
//!
//! The view may be old: it proposes, and the agents decide. An entry comes from the store or from a
//! peer; what its agent says of itself comes by datagram, from itself or through other balancers. An agent
//! that this balancer does not probe itself counts as alive as long as a balancer of its zone is heard and
//! none has told that it is silent.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::target_gate::TargetPhase;
use crate::version::balancer_table::ZONE_SILENCE_MS;
use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;
use crate::version::placing;
use crate::version::placing::Candidate;
use crate::version::rotation::Rotation;
use crate::version::routing::Routing;
use crate::version::target_status::TargetLoad;
use crate::version::target_status::TargetNews;
use crate::version::target_status::TargetStatus;

/// Time for which an agent that is probed leaves probes unanswered before it counts as silent, in
/// milliseconds: four answers are missing.
pub const SILENCE_MS: u64 = 1_200;

/// Age of the last status of an agent for which nobody vouches, in milliseconds, from which this balancer
/// probes it itself.
const STALE_MS: u64 = 2_000;

/// Age of what was heard of an agent, in milliseconds, up to which it is not suspected: two rounds of
/// probes.
const FRESH_MS: u64 = 600;

/// How long an agent that stops is waited for, in milliseconds: the platform's grace of six seconds
/// and two to start again.
pub const HOLD_MS: u64 = 8_000;

/// How long an agent that was never heard counts as one that is starting, in milliseconds: hosts start
/// within 0.3 s of each other, and it is probed fifteen times.
const UNHEARD_MS: u64 = 1_500;

/// Agents of other zones that are probed at once. At full size a probe and its answer are 170 bytes.
const MAX_FAR_PROBES: usize = 64;

/// Most agents in one chain; 48 hops are 400 bytes of header.
pub const MAX_CHAIN: usize = 48;

/// Most agents in the chain of an opening: it is refused at the end, so that the caller's next try
/// comes at once.
pub const MAX_OPENING_CHAIN: usize = 8;

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
    /// When the load was last told, and by which status.
    load_ms: u64,
    load_sequence: u64,
    /// Whether this balancer probes it in each round.
    is_kept: bool,
    /// Whether one that probes it has found it silent.
    is_doubted: bool,
    awaited_until_ms: u64,
    /// Since when this balancer probes it itself, as a search came to no end.
    suspected_ms: Option<u64>,
    offered: u32,
}

impl TargetEntry {
    /// Takes over a load that is newer than the one held, and counts offers from there.
    fn take_load(&mut self, load: &TargetLoad, at_ms: u64) {
        let Some(status) = self.status.as_mut().filter(|_| load.sequence >= self.load_sequence)
        else {
            return;
        };
        (status.flows, status.busy) = (load.flows, load.busy);
        self.load_sequence = load.sequence;
        self.load_ms = at_ms;
        self.offered = 0;
    }

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
    zones_heard_ms: IndexMap<String, u64>,
    excused_until_ms: u64,
    told: Rotation,
    loads: Rotation,
    far_probes: Rotation,
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
            load_ms: 0,
            load_sequence: 0,
            is_kept: false,
            is_doubted: false,
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
        let mut is_changed = entry.is_doubted;
        match &entry.status {
            Some(held) if !status.is_after(held) => return false,
            Some(held) if held.lifetime == status.lifetime => {
                is_changed |= held.phase != status.phase
                    || held.service != status.service
                    || held.is_stopping != status.is_stopping;
            }
            _ => {
                is_changed = true;
                entry.load_sequence = 0;
            }
        }
        let heard_ms = now_ms.saturating_sub(age_ms);
        entry.heard_ms = entry.heard_ms.max(Some(heard_ms));
        if entry.suspected_ms.is_some_and(|suspected_ms| suspected_ms <= heard_ms) {
            entry.suspected_ms = None;
        }
        if entry.probed_ms.is_some_and(|probed_ms| probed_ms <= heard_ms) {
            entry.probed_ms = None;
        }
        entry.is_doubted = false;
        entry.awaited_until_ms = if status.is_stopping { now_ms + HOLD_MS } else { 0 };
        entry.control = status.control;
        entry.zone.clone_from(&status.zone);
        let load = status.load();
        entry.status = Some(status);
        entry.take_load(&load, heard_ms);
        is_changed
    }

    /// Takes over what another balancer tells of an agent. Says whether anything but load has changed.
    pub fn hear(&mut self, news: &TargetNews, now_ms: u64) -> bool {
        let is_changed = self.update(news.status.clone(), news.age_ms, now_ms);
        is_changed | (news.is_silent && self.doubt(&news.status, now_ms))
    }

    /// Somebody has heard nothing of an agent since this status. Says whether that is news here.
    fn doubt(&mut self, last: &TargetStatus, now_ms: u64) -> bool {
        let entry = &mut self.targets[&last.data];
        let has_newer = entry.status.as_ref().is_some_and(|held| held.is_after(last));
        let is_fresh =
            entry.heard_ms.is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) < FRESH_MS);
        if has_newer || entry.is_doubted || (entry.is_kept && is_fresh) {
            return false;
        }
        entry.is_doubted = true;
        true
    }

    /// Takes over the load of a target.
    pub fn hear_load(&mut self, load: &TargetLoad, now_ms: u64) {
        if let Some(entry) = self.targets.get_mut(&load.data) {
            entry.take_load(load, now_ms);
        }
    }

    /// Takes over when the balancers of a zone were last heard.
    pub fn hear_zone(&mut self, zone: &str, heard_ms: u64) {
        self.zones_heard_ms.insert(zone.to_owned(), heard_ms);
    }

    /// Agents that this balancer probes and that have fallen silent since the last call, to tell others.
    pub fn take_silent(&mut self, now_ms: u64) -> Vec<SocketAddrV4> {
        let is_silent = |entry: &TargetEntry| {
            let is_stopping = entry.status.as_ref().is_none_or(|status| status.is_stopping);
            entry.is_kept
                && !entry.is_doubted
                && !is_stopping
                && self.judge(entry, now_ms) == Liveness::Silent
        };
        let silent = self.targets.iter().filter(|(_, entry)| is_silent(entry));
        let silent: Vec<SocketAddrV4> = silent.map(|(data, _)| *data).collect();
        for data in &silent {
            self.targets[data].is_doubted = true;
        }
        silent
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

    /// Agents that this balancer probes now: those it keeps, and those of which nobody has heard for a
    /// while. Their silence counts from here on. Between two rounds only those that may be starting are
    /// probed; of other zones a few at a time.
    pub fn take_due_probes(
        &mut self,
        is_round: bool,
        keeps: impl Fn(SocketAddrV4, &str) -> bool,
        home_zone: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        let mut far = Vec::new();
        for (data, entry) in &mut self.targets {
            if is_round {
                entry.is_kept = keeps(*data, &entry.zone);
            }
            let is_awaited = entry.heard_ms.is_none()
                && now_ms.saturating_sub(entry.known_since_ms) < UNHEARD_MS;
            let is_stale = !is_recent(&self.zones_heard_ms, entry, now_ms);
            let is_suspected = entry.suspected_ms.is_some();
            if is_awaited || (is_round && (is_stale || is_suspected || entry.is_kept)) {
                let is_home = entry.zone == home_zone;
                if is_home { &mut due } else { &mut far }.push(*data);
            } else if is_round {
                // A probe that was lost before others vouched for the agent proves nothing later.
                entry.probed_ms = None;
            }
        }
        due.extend(self.far_probes.take(&far, MAX_FAR_PROBES));
        for data in &due {
            self.targets[data].probed_ms.get_or_insert(now_ms);
        }
        due
    }

    /// Where an agent is.
    pub fn agent(&self, data: SocketAddrV4) -> Option<KnownAgent<'_>> {
        let entry = self.targets.get(&data)?;
        Some(KnownAgent { data, control: entry.control, zone: &entry.zone })
    }

    /// What is known of the agents that count as alive.
    pub fn news(&self, now_ms: u64) -> impl Iterator<Item = TargetNews> {
        self.targets.values().filter_map(move |entry| {
            let is_recent = is_recent(&self.zones_heard_ms, entry, now_ms);
            (is_recent && !entry.is_doubted).then(|| news_of(entry, now_ms))?
        })
    }

    /// News of at most `most` agents, others at the next call.
    pub fn next_news(&mut self, most: usize, now_ms: u64) -> Vec<TargetNews> {
        let all: Vec<TargetNews> = self.news(now_ms).collect();
        self.told.take(&all, most)
    }

    /// What is known of one agent.
    pub fn news_of(&self, data: SocketAddrV4, now_ms: u64) -> Option<TargetNews> {
        news_of(self.targets.get(&data)?, now_ms)
    }

    /// Loads of at most `most` targets of a zone that were told lately, others at the next call.
    pub fn next_loads(&mut self, zone: &str, most: usize, now_ms: u64) -> Vec<TargetLoad> {
        let fresh = self
            .targets
            .values()
            .filter(|entry| entry.zone == zone && now_ms.saturating_sub(entry.load_ms) < STALE_MS);
        let load = |entry: &TargetEntry| {
            let load = entry.status.as_ref()?.load();
            Some(TargetLoad { sequence: entry.load_sequence, ..load })
        };
        let loads: Vec<TargetLoad> = fresh.filter_map(load).collect();
        self.loads.take(&loads, most)
    }

    /// This process stood still: silence up to now proves nothing.
    pub fn note_stall(&mut self, now_ms: u64) {
        for entry in self.targets.values_mut() {
            entry.probed_ms = None;
        }
        self.zones_heard_ms.clear();
        self.excused_until_ms = now_ms + SILENCE_MS;
    }

    /// Data addresses of agents that have been silent for `silence_ms`.
    pub fn silent_for(&self, silence_ms: u64, now_ms: u64) -> impl Iterator<Item = SocketAddrV4> {
        let since = |entry: &TargetEntry| {
            let last_ms = entry.heard_ms.max(vouched_ms(&self.zones_heard_ms, entry));
            last_ms.unwrap_or(entry.known_since_ms)
        };
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
    pub fn opening_chain(
        &self,
        routing: &Routing,
        service: &str,
        flow_hash: u64,
        home_zone: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .filter(|(_, entry)| !routing.is_zone_out(&entry.zone))
            .filter_map(|(data, entry)| self.candidate(*data, entry, service, flow_hash, now_ms))
            .collect();
        placing::order(candidates, home_zone, MAX_OPENING_CHAIN)
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
        self.any(services, now_ms, TargetPhase::accepts_flows)
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
            Some(_) if is_vouched(&self.zones_heard_ms, entry, now_ms) => Liveness::Alive,
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
        if !status.phase.accepts_flows() || !is_alive || status.service != service {
            return None;
        }
        Some(Candidate {
            data,
            zone: &entry.zone,
            slots: u64::from(status.slots.max(1)),
            flows: u64::from(status.flows + entry.offered),
            busy: u64::from(status.busy),
            is_cold,
            score: score(flow_hash, data),
        })
    }
}

/// When a balancer of an agent's zone was last heard, where its word counts for the agent.
fn vouched_ms(zones_heard_ms: &IndexMap<String, u64>, entry: &TargetEntry) -> Option<u64> {
    let counts = !entry.is_kept && !entry.is_doubted && entry.status.is_some();
    zones_heard_ms.get(&entry.zone).filter(|_| counts).copied()
}

fn is_vouched(zones_heard_ms: &IndexMap<String, u64>, entry: &TargetEntry, now_ms: u64) -> bool {
    vouched_ms(zones_heard_ms, entry)
        .is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) < ZONE_SILENCE_MS)
}

/// Whether an agent needs no probe but those that it gets.
fn is_recent(zones_heard_ms: &IndexMap<String, u64>, entry: &TargetEntry, now_ms: u64) -> bool {
    is_vouched(zones_heard_ms, entry, now_ms)
        || entry.heard_ms.is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) <= STALE_MS)
}

fn news_of(entry: &TargetEntry, now_ms: u64) -> Option<TargetNews> {
    Some(TargetNews {
        status: entry.status.clone()?,
        age_ms: now_ms.saturating_sub(entry.heard_ms?),
        is_silent: entry.is_doubted,
    })
}

fn score(flow_hash: u64, data: SocketAddrV4) -> u64 {
    let id = hash64(data.to_string().as_bytes());
    hash64_with_seed(&id.to_be_bytes(), flow_hash)
}
