//! A balancer's view of the targets of passed-through flows, and the chains it makes of it.
//!
//! The view may be old: it proposes, and the agents decide. An entry comes from the store or from a
//! peer; what its agent says of itself comes by datagram, from itself or through other balancers. An agent
//! that this balancer does not probe itself counts as alive as long as a balancer of its zone is heard and
//! none has told that it is silent.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::target_gate::TargetPhase;
use crate::version::balancer_table::ZONE_TIMEOUT_MS;
use crate::version::hash::hash64;
use crate::version::hash::hash64_with_seed;
use crate::version::placing;
use crate::version::placing::Candidate;
use crate::version::rotation::Rotation;
use crate::version::routing::Routing;
use crate::version::target_status::TargetLoad;
use crate::version::target_status::TargetStatus;
use crate::version::target_status::TargetUpdate;

/// Time for which an agent that is probed leaves probes unanswered before it counts as silent, in
/// milliseconds: four answers are missing.
pub const AGENT_TIMEOUT_MS: u64 = 1_200;

/// Age of the last status of an agent for which nobody vouches, in milliseconds, from which this balancer
/// probes it itself.
const STATUS_STALE_MS: u64 = 2_000;

/// Age of what was heard of an agent, in milliseconds, up to which it is not suspected: two rounds of
/// probes.
const RECENTLY_SEEN_MS: u64 = 600;

/// How long an agent that stops is waited for, in milliseconds: the platform's grace of six seconds
/// and two to start again.
pub const RESTART_GRACE_MS: u64 = 8_000;

/// How long an agent that was never heard counts as one that is starting, in milliseconds: hosts start
/// within 0.3 s of each other, and it is probed fifteen times.
const FIRST_CONTACT_TIMEOUT_MS: u64 = 1_500;

/// Agents of other zones that are probed at once. At full size a probe and its answer are 170 bytes.
const MAX_REMOTE_PROBES: usize = 64;

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
    last_seen_ms: Option<u64>,
    /// Time of the first probe of this balancer since then.
    unanswered_probe_ms: Option<u64>,
    status: Option<TargetStatus>,
    /// When the load was last told, and by which status.
    load_ms: u64,
    load_sequence: u64,
    /// Whether this balancer probes it in each round.
    is_monitored: bool,
    /// Whether one that probes it has found it silent.
    is_suspected: bool,
    restart_deadline_ms: u64,
    /// Since when this balancer probes it itself, as a search came to no end.
    recheck_since_ms: Option<u64>,
    offered_flows: u32,
}

impl TargetEntry {
    /// Takes over a load that is newer than the one current, and counts offers from there.
    fn apply_load(&mut self, load: &TargetLoad, at_ms: u64) {
        let Some(status) = self.status.as_mut().filter(|_| load.sequence >= self.load_sequence)
        else {
            return;
        };
        (status.flows, status.busy) = (load.flows, load.busy);
        self.load_sequence = load.sequence;
        self.load_ms = at_ms;
        self.offered_flows = 0;
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
    pub unavailable: Vec<SocketAddrV4>,
    /// Whether some agent may hold the flow and is only away for a moment.
    pub has_awaited: bool,
}

/// The targets that a balancer knows, by their agents' data addresses.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: IndexMap<SocketAddrV4, TargetEntry>,
    zones_last_seen_ms: IndexMap<String, u64>,
    stall_grace_until_ms: u64,
    update_rotation: Rotation,
    load_rotation: Rotation,
    remote_probe_rotation: Rotation,
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
            last_seen_ms: None,
            unanswered_probe_ms: None,
            status: None,
            load_ms: 0,
            load_sequence: 0,
            is_monitored: false,
            is_suspected: false,
            restart_deadline_ms: 0,
            recheck_since_ms: None,
            offered_flows: 0,
        };
        self.targets.insert(data, entry);
        true
    }

    /// Takes over a status that the agent sent `age_ms` ago. Says whether anything but load has
    /// changed.
    pub fn apply_status(&mut self, status: TargetStatus, age_ms: u64, now_ms: u64) -> bool {
        self.learn(status.data, status.control, &status.zone, now_ms);
        let entry = &mut self.targets[&status.data];
        let mut is_changed = entry.is_suspected;
        match &entry.status {
            Some(current) if !status.is_after(current) => return false,
            Some(current) if current.lifetime == status.lifetime => {
                is_changed |= current.phase != status.phase
                    || current.service != status.service
                    || current.is_stopping != status.is_stopping;
            }
            _ => {
                is_changed = true;
                entry.load_sequence = 0;
            }
        }
        let last_seen_ms = now_ms.saturating_sub(age_ms);
        entry.last_seen_ms = entry.last_seen_ms.max(Some(last_seen_ms));
        if entry.recheck_since_ms.is_some_and(|recheck_since_ms| recheck_since_ms <= last_seen_ms) {
            entry.recheck_since_ms = None;
        }
        if entry
            .unanswered_probe_ms
            .is_some_and(|unanswered_probe_ms| unanswered_probe_ms <= last_seen_ms)
        {
            entry.unanswered_probe_ms = None;
        }
        entry.is_suspected = false;
        entry.restart_deadline_ms = if status.is_stopping { now_ms + RESTART_GRACE_MS } else { 0 };
        entry.control = status.control;
        entry.zone.clone_from(&status.zone);
        let load = status.load();
        entry.status = Some(status);
        entry.apply_load(&load, last_seen_ms);
        is_changed
    }

    /// Takes over what another balancer tells of an agent. Says whether anything but load has changed.
    pub fn apply_relayed_update(&mut self, update: &TargetUpdate, now_ms: u64) -> bool {
        let is_changed = self.apply_status(update.status.clone(), update.age_ms, now_ms);
        is_changed | (update.is_suspected && self.suspect(&update.status, now_ms))
    }

    /// Somebody has heard nothing of an agent since this status. Says whether that is update here.
    fn suspect(&mut self, last: &TargetStatus, now_ms: u64) -> bool {
        let entry = &mut self.targets[&last.data];
        let has_newer = entry.status.as_ref().is_some_and(|current| current.is_after(last));
        let is_fresh = entry
            .last_seen_ms
            .is_some_and(|last_seen_ms| now_ms.saturating_sub(last_seen_ms) < RECENTLY_SEEN_MS);
        if has_newer || entry.is_suspected || (entry.is_monitored && is_fresh) {
            return false;
        }
        entry.is_suspected = true;
        true
    }

    /// Takes over the load of a target.
    pub fn apply_load(&mut self, load: &TargetLoad, now_ms: u64) {
        if let Some(entry) = self.targets.get_mut(&load.data) {
            entry.apply_load(load, now_ms);
        }
    }

    /// Takes over when the balancers of a zone were last heard.
    pub fn note_zone_seen(&mut self, zone: &str, last_seen_ms: u64) {
        self.zones_last_seen_ms.insert(zone.to_owned(), last_seen_ms);
    }

    /// Agents that this balancer probes and that have fallen silent since the last call, to tell others.
    pub fn take_newly_silent(&mut self, now_ms: u64) -> Vec<SocketAddrV4> {
        let is_newly_silent = |entry: &TargetEntry| {
            let is_stopping = entry.status.as_ref().is_none_or(|status| status.is_stopping);
            entry.is_monitored
                && !entry.is_suspected
                && !is_stopping
                && self.liveness_of(entry, now_ms) == Liveness::Silent
        };
        let silent = self.targets.iter().filter(|(_, entry)| is_newly_silent(entry));
        let silent: Vec<SocketAddrV4> = silent.map(|(data, _)| *data).collect();
        for data in &silent {
            self.targets[data].is_suspected = true;
        }
        silent
    }

    /// Forgets an agent whose entry was taken out of the store, unless it is heard.
    pub fn remove_unless_alive(&mut self, data: SocketAddrV4, now_ms: u64) {
        if self.liveness(data, now_ms) != Some(Liveness::Alive) {
            self.targets.shift_remove(&data);
        }
    }

    /// A search has come to no end, so one of the agents is gone: those that were not heard since the
    /// last round are probed, whoever keeps them.
    pub fn recheck_all(&mut self, now_ms: u64) {
        for entry in self.targets.values_mut() {
            let is_fresh = entry
                .last_seen_ms
                .is_some_and(|last_seen_ms| now_ms.saturating_sub(last_seen_ms) < RECENTLY_SEEN_MS);
            if !is_fresh {
                entry.recheck_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Agents that this balancer probes now: those it keeps, and those of which nobody has heard for a
    /// while. Their silence counts from here on. Between two rounds only those that may be starting are
    /// probed; of other zones a few at a time.
    pub fn take_due_probes(
        &mut self,
        is_probe_round: bool,
        is_monitor: impl Fn(SocketAddrV4, &str) -> bool,
        local_zone: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        let mut remote = Vec::new();
        for (data, entry) in &mut self.targets {
            if is_probe_round {
                entry.is_monitored = is_monitor(*data, &entry.zone);
            }
            let is_awaited = entry.last_seen_ms.is_none()
                && now_ms.saturating_sub(entry.known_since_ms) < FIRST_CONTACT_TIMEOUT_MS;
            let is_stale = !needs_no_extra_probe(&self.zones_last_seen_ms, entry, now_ms);
            let needs_recheck = entry.recheck_since_ms.is_some();
            if is_awaited || (is_probe_round && (is_stale || needs_recheck || entry.is_monitored)) {
                let is_local = entry.zone == local_zone;
                if is_local { &mut due } else { &mut remote }.push(*data);
            } else if is_probe_round {
                // A probe that was lost before others vouched for the agent proves nothing later.
                entry.unanswered_probe_ms = None;
            }
        }
        due.extend(self.remote_probe_rotation.next_batch(&remote, MAX_REMOTE_PROBES));
        for data in &due {
            self.targets[data].unanswered_probe_ms.get_or_insert(now_ms);
        }
        due
    }

    /// Where an agent is.
    pub fn agent(&self, data: SocketAddrV4) -> Option<KnownAgent<'_>> {
        let entry = self.targets.get(&data)?;
        Some(KnownAgent { data, control: entry.control, zone: &entry.zone })
    }

    /// What is known of the agents that count as alive.
    pub fn updates(&self, now_ms: u64) -> impl Iterator<Item = TargetUpdate> {
        self.targets.values().filter_map(move |entry| {
            let needs_no_extra_probe =
                needs_no_extra_probe(&self.zones_last_seen_ms, entry, now_ms);
            (needs_no_extra_probe && !entry.is_suspected).then(|| update_of(entry, now_ms))?
        })
    }

    /// News of at most `most` agents, others at the next call.
    pub fn next_updates(&mut self, most: usize, now_ms: u64) -> Vec<TargetUpdate> {
        let all: Vec<TargetUpdate> = self.updates(now_ms).collect();
        self.update_rotation.next_batch(&all, most)
    }

    /// What is known of one agent.
    pub fn update_of(&self, data: SocketAddrV4, now_ms: u64) -> Option<TargetUpdate> {
        update_of(self.targets.get(&data)?, now_ms)
    }

    /// Loads of at most `most` targets of a zone that were told lately, others at the next call.
    pub fn next_loads(&mut self, zone: &str, most: usize, now_ms: u64) -> Vec<TargetLoad> {
        let fresh = self.targets.values().filter(|entry| {
            entry.zone == zone && now_ms.saturating_sub(entry.load_ms) < STATUS_STALE_MS
        });
        let load = |entry: &TargetEntry| {
            let load = entry.status.as_ref()?.load();
            Some(TargetLoad { sequence: entry.load_sequence, ..load })
        };
        let loads: Vec<TargetLoad> = fresh.filter_map(load).collect();
        self.load_rotation.next_batch(&loads, most)
    }

    /// This process stood still: silence up to now proves nothing.
    pub fn note_stall(&mut self, now_ms: u64) {
        for entry in self.targets.values_mut() {
            entry.unanswered_probe_ms = None;
        }
        self.zones_last_seen_ms.clear();
        self.stall_grace_until_ms = now_ms + AGENT_TIMEOUT_MS;
    }

    /// Data addresses of agents that have been silent for `silence_ms`.
    pub fn not_seen_for(&self, silence_ms: u64, now_ms: u64) -> impl Iterator<Item = SocketAddrV4> {
        let since = |entry: &TargetEntry| {
            let last_ms = entry.last_seen_ms.max(presumed_seen_ms(&self.zones_last_seen_ms, entry));
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
        self.targets.get(&data).map(|entry| self.liveness_of(entry, now_ms))
    }

    /// Agents to offer a new flow of a service to, best first.
    pub fn opening_chain(
        &self,
        routing: &Routing,
        service: &str,
        flow_hash: u64,
        local_zone: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let candidates: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .filter(|(_, entry)| !routing.is_zone_out(&entry.zone))
            .filter_map(|(data, entry)| self.candidate(*data, entry, service, flow_hash, now_ms))
            .collect();
        placing::rank(candidates, local_zone, MAX_OPENING_CHAIN)
    }

    /// Notes that a new flow was offered to an agent, until its next status counts it.
    pub fn note_offer(&mut self, data: SocketAddrV4) {
        if let Some(entry) = self.targets.get_mut(&data) {
            entry.offered_flows += 1;
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
            let liveness = self.liveness_of(entry, now_ms);
            match liveness {
                Liveness::Alive => chains.entry(&entry.zone).or_default().push(data),
                Liveness::Awaited | Liveness::Silent => search.unavailable.push(data),
            }
            search.has_awaited |= liveness == Liveness::Awaited;
        }
        let parts = chains.values().flat_map(|chain| chain.chunks(MAX_CHAIN));
        search.chains = parts.map(<[SocketAddrV4]>::to_vec).collect();
        search
    }

    /// How those agents are seen that may hold a flow and do not answer: awaited where one of them is;
    /// `None` where all answer.
    pub fn unavailable_holder_liveness(&self, now_ms: u64) -> Option<Liveness> {
        let holders = self.targets.values().filter(|entry| entry.may_hold_flows());
        holders
            .map(|entry| self.liveness_of(entry, now_ms))
            .filter(|liveness| *liveness != Liveness::Alive)
            .min_by_key(|liveness| *liveness != Liveness::Awaited)
    }

    /// Agents that do not answer, and how each is seen.
    pub fn unavailable_agents(&self, now_ms: u64) -> Vec<(SocketAddrV4, Liveness)> {
        let judged = self.agents(now_ms).map(|(data, _, liveness, _)| (data, liveness));
        judged.filter(|(_, liveness)| *liveness != Liveness::Alive).collect()
    }

    /// Whether every agent that is known has been heard, or is known to be silent.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        self.targets.values().all(|entry| self.liveness_of(entry, now_ms) != Liveness::Awaited)
    }

    /// All agents, how each is seen and what it last said.
    pub fn agents(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddrV4, &str, Liveness, Option<&TargetStatus>)> {
        self.targets.iter().map(move |(data, entry)| {
            (*data, entry.zone.as_str(), self.liveness_of(entry, now_ms), entry.status.as_ref())
        })
    }

    /// Whether a target of one of these services takes flows.
    pub fn has_accepting_target(&self, services: &[&str], now_ms: u64) -> bool {
        self.has_alive_target(services, now_ms, TargetPhase::accepts_flows)
    }

    /// Whether a target of one of these services is about to take flows.
    pub fn has_starting_target(&self, services: &[&str], now_ms: u64) -> bool {
        self.has_alive_target(services, now_ms, |phase| phase == TargetPhase::Introducing)
    }

    fn has_alive_target(
        &self,
        services: &[&str],
        now_ms: u64,
        matches_phase: impl Fn(TargetPhase) -> bool,
    ) -> bool {
        self.targets.values().any(|entry| {
            entry.status.as_ref().is_some_and(|status| {
                matches_phase(status.phase) && services.contains(&status.service.as_str())
            }) && self.liveness_of(entry, now_ms) == Liveness::Alive
        })
    }

    fn liveness_of(&self, entry: &TargetEntry, now_ms: u64) -> Liveness {
        let is_stopping = entry.status.as_ref().is_some_and(|status| status.is_stopping);
        if is_stopping {
            let is_awaited = now_ms < entry.restart_deadline_ms;
            return if is_awaited { Liveness::Awaited } else { Liveness::Silent };
        }
        let age_ms = entry.last_seen_ms.map(|last_seen_ms| now_ms.saturating_sub(last_seen_ms));
        let unanswered_ms = entry
            .unanswered_probe_ms
            .map(|unanswered_probe_ms| now_ms.saturating_sub(unanswered_probe_ms));
        match age_ms {
            None if now_ms.saturating_sub(entry.known_since_ms) < FIRST_CONTACT_TIMEOUT_MS => {
                Liveness::Awaited
            }
            None => Liveness::Silent,
            Some(age_ms) if age_ms < AGENT_TIMEOUT_MS => Liveness::Alive,
            Some(_) if is_presumed_alive(&self.zones_last_seen_ms, entry, now_ms) => {
                Liveness::Alive
            }
            Some(_) if unanswered_ms.is_some_and(|waited_ms| waited_ms >= AGENT_TIMEOUT_MS) => {
                Liveness::Silent
            }
            Some(_) if now_ms < self.stall_grace_until_ms => Liveness::Awaited,
            Some(age_ms) if age_ms < STATUS_STALE_MS + AGENT_TIMEOUT_MS => Liveness::Alive,
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
        let is_alive = self.liveness_of(entry, now_ms) == Liveness::Alive;
        if !status.phase.accepts_flows() || !is_alive || status.service != service {
            return None;
        }
        Some(Candidate {
            data,
            zone: &entry.zone,
            slots: u64::from(status.slots.max(1)),
            flows: u64::from(status.flows + entry.offered_flows),
            busy: u64::from(status.busy),
            is_cold,
            score: score(flow_hash, data),
        })
    }
}

/// When a balancer of an agent's zone was last heard, where its word counts for the agent.
fn presumed_seen_ms(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
) -> Option<u64> {
    let counts = !entry.is_monitored && !entry.is_suspected && entry.status.is_some();
    zones_last_seen_ms.get(&entry.zone).filter(|_| counts).copied()
}

fn is_presumed_alive(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
    now_ms: u64,
) -> bool {
    presumed_seen_ms(zones_last_seen_ms, entry)
        .is_some_and(|last_seen_ms| now_ms.saturating_sub(last_seen_ms) < ZONE_TIMEOUT_MS)
}

/// Whether an agent needs no probe but those that it gets.
fn needs_no_extra_probe(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
    now_ms: u64,
) -> bool {
    is_presumed_alive(zones_last_seen_ms, entry, now_ms)
        || entry
            .last_seen_ms
            .is_some_and(|last_seen_ms| now_ms.saturating_sub(last_seen_ms) <= STATUS_STALE_MS)
}

fn update_of(entry: &TargetEntry, now_ms: u64) -> Option<TargetUpdate> {
    Some(TargetUpdate {
        status: entry.status.clone()?,
        age_ms: now_ms.saturating_sub(entry.last_seen_ms?),
        is_suspected: entry.is_suspected,
    })
}

fn score(flow_hash: u64, data: SocketAddrV4) -> u64 {
    let id = hash64(data.to_string().as_bytes());
    hash64_with_seed(&id.to_be_bytes(), flow_hash)
}
