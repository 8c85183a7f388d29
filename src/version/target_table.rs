//! A balancer's view of the targets of passed-through flows, and the chains of agents built from it.
//!
//! The view may be outdated: a balancer only proposes agents, and the agents decide. Entries come from
//! the store or from other balancers; status comes in datagrams from the agent itself or relayed by other
//! balancers. An agent that this balancer does not monitor is presumed alive as long as a balancer of its
//! zone has been seen recently and none has reported the agent as suspected.

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
use crate::version::target_status::TargetLoadReport;
use crate::version::target_status::TargetStatus;
use crate::version::target_status::TargetUpdate;

/// Time without an answer to probes after which an agent is [`Liveness::Silent`], in milliseconds; four
/// answers are missing by then.
pub const AGENT_TIMEOUT_MS: u64 = 1_200;

/// Age of the last status, in milliseconds, from which this balancer probes an agent that it does not
/// monitor and that is not presumed alive.
const STATUS_STALE_MS: u64 = 2_000;

/// Time since the last status, in milliseconds, within which a monitored agent is not suspected and no
/// agent is rechecked; it spans two rounds of probes.
const RECENTLY_SEEN_MS: u64 = 600;

/// Time for which a stopping agent is expected back, in milliseconds: the platform's grace period of 6 s
/// plus 2 s to start again.
pub const RESTART_GRACE_MS: u64 = 8_000;

/// Time for which an agent without any status counts as starting, in milliseconds. Hosts start within
/// 0.3 s of each other, and the agent is probed fifteen times in this period.
const FIRST_CONTACT_TIMEOUT_MS: u64 = 1_500;

/// Maximum number of agents of remote zones probed in one call. A probe and its answer are 170 bytes in
/// the largest deployment.
const MAX_REMOTE_PROBES: usize = 64;

/// Maximum number of agents in a chain; 48 hops take 400 bytes of header.
pub const MAX_SEARCH_CHAIN: usize = 48;

/// Maximum number of agents in the chain of an opening. The last agent refuses the opening, so that the
/// caller retries without waiting for a time-out.
pub const MAX_OPENING_CHAIN: usize = 8;

/// State of an agent in the failure detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Seen recently, or presumed alive.
    Alive,
    /// Starting, restarting or not probed for long enough; its target may hold flows.
    Awaited,
    /// Timed out: it left probes unanswered, never sent a status, or did not return from a restart.
    Silent,
}

#[derive(Debug)]
struct TargetEntry {
    /// Hash of the data address.
    id: u64,
    control: SocketAddrV4,
    zone: String,
    known_since_ms: u64,
    last_seen_ms: Option<u64>,
    /// Time of this balancer's first probe after `last_seen_ms`.
    unanswered_probe_ms: Option<u64>,
    status: Option<TargetStatus>,
    /// Time of the last load report.
    load_reported_ms: u64,
    /// Sequence number of the status that the load comes from.
    load_sequence: u64,
    /// Whether this balancer is a monitor of the agent and probes it in each round.
    is_monitored: bool,
    /// Whether a monitor of the agent, possibly this balancer, has found that it does not answer probes.
    is_suspected: bool,
    restart_deadline_ms: u64,
    /// Time from which this balancer probes the agent although it is not its monitor, because a search
    /// for a flow did not complete.
    recheck_since_ms: Option<u64>,
    /// Flows offered since the last load report.
    offered_flows: u32,
    /// Whether the agent itself, not another balancer, has reported that its target has ended.
    is_end_direct: bool,
}

impl TargetEntry {
    /// Applies a load report unless it is older than the current one, and resets the count of offers.
    fn apply_load(&mut self, load: &TargetLoadReport, at_ms: u64) {
        let Some(status) = self.status.as_mut().filter(|_| load.sequence >= self.load_sequence)
        else {
            return;
        };
        (status.flows, status.busy) = (load.flows, load.busy);
        self.load_sequence = load.sequence;
        self.load_reported_ms = at_ms;
        self.offered_flows = 0;
    }

    fn has_ended(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.phase == TargetPhase::Ended)
    }

    /// Whether the target may hold flows: it has not ended, as far as is known, or that was only relayed and
    /// the agent is alive. Before flows open at a target that starts after one has ended, the agent
    /// introduces itself again to the balancers that it has told of the end itself.
    fn may_hold_flows(&self, liveness: Liveness) -> bool {
        !self.has_ended() || (liveness == Liveness::Alive && !self.is_end_direct)
    }
}

/// Addresses and zone of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentAddresses<'a> {
    /// Address for segments.
    pub data: SocketAddrV4,
    /// Address for control datagrams.
    pub control: SocketAddrV4,
    /// Availability zone.
    pub zone: &'a str,
}

/// Agents to which a segment of a flow is sent when its holder is unknown.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Search {
    /// Agents that are alive, in chains of up to [`MAX_SEARCH_CHAIN`] agents of one zone, the likeliest
    /// holder first. As no chain spans two zones, an unreachable zone does not block the others, and a
    /// segment crosses to a zone only once per chain.
    pub chains: Vec<Vec<SocketAddrV4>>,
    /// Agents that may hold the flow and are awaited or silent; each gets a copy of the segment.
    pub unavailable: Vec<SocketAddrV4>,
    /// Whether an agent that may hold the flow is [`Liveness::Awaited`].
    pub has_awaited: bool,
    /// Fingerprint of the agents in `chains`; see [`TargetTable::searchable_fingerprint`].
    pub fingerprint: u64,
}

/// The targets known to a balancer, by the data addresses of their agents.
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
    /// Creates an empty table.
    pub fn new() -> TargetTable {
        TargetTable::default()
    }

    /// Adds an agent named by the store or by another balancer. Returns whether it was unknown.
    pub fn add_agent(
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
            id: hash64(data.to_string().as_bytes()),
            control,
            zone: zone.to_owned(),
            known_since_ms: now_ms,
            last_seen_ms: None,
            unanswered_probe_ms: None,
            status: None,
            load_reported_ms: 0,
            load_sequence: 0,
            is_monitored: false,
            is_suspected: false,
            restart_deadline_ms: 0,
            recheck_since_ms: None,
            offered_flows: 0,
            is_end_direct: false,
        };
        self.targets.insert(data, entry);
        true
    }

    /// Applies a status that the agent itself sent `age_ms` ago, unless it is older than the current one.
    /// Returns whether anything but the load has changed.
    pub fn apply_status(&mut self, status: TargetStatus, age_ms: u64, now_ms: u64) -> bool {
        self.apply_status_from(true, status, age_ms, now_ms)
    }

    /// Applies a status that the agent sent, `is_direct`, or another balancer relayed.
    fn apply_status_from(
        &mut self,
        is_direct: bool,
        status: TargetStatus,
        age_ms: u64,
        now_ms: u64,
    ) -> bool {
        self.add_agent(status.data, status.control, &status.zone, now_ms);
        let entry = &mut self.targets[&status.data];
        let has_ended = status.phase == TargetPhase::Ended;
        let is_known_end = has_ended
            && entry.status.as_ref().is_some_and(|current| {
                current.phase == TargetPhase::Ended && current.incarnation == status.incarnation
            });
        let is_end_direct = has_ended && (is_direct || (is_known_end && entry.is_end_direct));
        let mut is_changed = entry.is_suspected;
        match &entry.status {
            Some(current) if !status.is_after(current) => {
                entry.is_end_direct |= is_known_end && is_direct;
                return false;
            }
            Some(current) if current.incarnation == status.incarnation => {
                is_changed |= current.phase != status.phase
                    || current.service != status.service
                    || current.is_stopping != status.is_stopping;
            }
            _ => {
                is_changed = true;
                entry.load_sequence = 0;
            }
        }
        entry.is_end_direct = is_end_direct;
        let sent_ms = now_ms.saturating_sub(age_ms);
        entry.last_seen_ms = entry.last_seen_ms.max(Some(sent_ms));
        if entry.recheck_since_ms.is_some_and(|since_ms| since_ms <= sent_ms) {
            entry.recheck_since_ms = None;
        }
        if entry.unanswered_probe_ms.is_some_and(|probe_ms| probe_ms <= sent_ms) {
            entry.unanswered_probe_ms = None;
        }
        if has_ended && !is_end_direct {
            entry.recheck_since_ms.get_or_insert(now_ms);
        }
        entry.is_suspected = false;
        entry.restart_deadline_ms = if status.is_stopping { now_ms + RESTART_GRACE_MS } else { 0 };
        entry.control = status.control;
        entry.zone.clone_from(&status.zone);
        let load = status.load();
        entry.status = Some(status);
        entry.apply_load(&load, sent_ms);
        is_changed
    }

    /// Applies another balancer's update of an agent. Returns whether anything but the load has changed.
    pub fn apply_relayed_update(&mut self, update: &TargetUpdate, now_ms: u64) -> bool {
        let is_changed =
            self.apply_status_from(false, update.status.clone(), update.age_ms, now_ms);
        is_changed | (update.is_suspected && self.suspect(&update.status, now_ms))
    }

    /// Marks an agent as suspected after a report that it has not answered since the status `last`.
    /// Returns whether the mark is new. The report is ignored where a newer status is known, or where this
    /// balancer monitors the agent and has seen it recently.
    fn suspect(&mut self, last: &TargetStatus, now_ms: u64) -> bool {
        let entry = &mut self.targets[&last.data];
        let has_newer = entry.status.as_ref().is_some_and(|current| current.is_after(last));
        let is_recently_seen = entry
            .last_seen_ms
            .is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) < RECENTLY_SEEN_MS);
        if has_newer || entry.is_suspected || (entry.is_monitored && is_recently_seen) {
            return false;
        }
        entry.is_suspected = true;
        true
    }

    /// Applies a load report of a known target; reports of unknown targets are ignored.
    pub fn apply_load(&mut self, load: &TargetLoadReport, now_ms: u64) {
        if let Some(entry) = self.targets.get_mut(&load.data) {
            entry.apply_load(load, now_ms);
        }
    }

    /// Records when a balancer of a zone was last seen.
    pub fn note_zone_seen(&mut self, zone: &str, last_seen_ms: u64) {
        self.zones_last_seen_ms.insert(zone.to_owned(), last_seen_ms);
    }

    /// Returns the monitored agents that have become silent since the last call, so that they are reported
    /// to other balancers, and marks them as suspected. Agents that are stopping or have never sent a status
    /// are left out.
    pub fn take_newly_silent(&mut self, now_ms: u64) -> Vec<SocketAddrV4> {
        let is_newly_silent = |entry: &TargetEntry| {
            let is_stopping_or_unknown =
                entry.status.as_ref().is_none_or(|status| status.is_stopping);
            entry.is_monitored
                && !entry.is_suspected
                && !is_stopping_or_unknown
                && self.liveness_of(entry, now_ms) == Liveness::Silent
        };
        let silent = self.targets.iter().filter(|(_, entry)| is_newly_silent(entry));
        let silent: Vec<SocketAddrV4> = silent.map(|(data, _)| *data).collect();
        for data in &silent {
            self.targets[data].is_suspected = true;
        }
        silent
    }

    /// Removes an agent whose entry was deleted from the store, unless it is alive.
    pub fn remove_unless_alive(&mut self, data: SocketAddrV4, now_ms: u64) {
        if self.liveness(data, now_ms) != Some(Liveness::Alive) {
            self.targets.shift_remove(&data);
        }
    }

    /// Schedules probes to all agents that were not seen recently, including those that other balancers
    /// monitor. Called when a search does not complete, which means that an agent on its chain is gone.
    pub fn recheck_all(&mut self, now_ms: u64) {
        for entry in self.targets.values_mut() {
            let is_recently_seen = entry
                .last_seen_ms
                .is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) < RECENTLY_SEEN_MS);
            if !is_recently_seen {
                entry.recheck_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Returns the agents to probe now, and starts the time-out of those without an unanswered probe.
    ///
    /// A probe round covers the monitored agents, those not up to date and those to recheck; calls
    /// between rounds cover only agents that may be starting. Of remote zones at most
    /// `MAX_REMOTE_PROBES` agents are returned, others at the next call.
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
            let is_outdated = !is_up_to_date(&self.zones_last_seen_ms, entry, now_ms);
            let needs_recheck = entry.recheck_since_ms.is_some();
            if is_awaited
                || (is_probe_round && (is_outdated || needs_recheck || entry.is_monitored))
            {
                let is_local = entry.zone == local_zone;
                if is_local { &mut due } else { &mut remote }.push(*data);
            } else if is_probe_round {
                // The agent is up to date: a probe lost earlier must not count if it is probed again.
                entry.unanswered_probe_ms = None;
            }
        }
        due.extend(self.remote_probe_rotation.next_batch(&remote, MAX_REMOTE_PROBES));
        for data in &due {
            self.targets[data].unanswered_probe_ms.get_or_insert(now_ms);
        }
        due
    }

    /// Addresses and zone of an agent; `None` where it is unknown.
    pub fn agent(&self, data: SocketAddrV4) -> Option<AgentAddresses<'_>> {
        let entry = self.targets.get(&data)?;
        Some(AgentAddresses { data, control: entry.control, zone: &entry.zone })
    }

    /// Updates of all agents that are up to date and not suspected.
    pub fn updates(&self, now_ms: u64) -> impl Iterator<Item = TargetUpdate> {
        self.targets.values().filter_map(move |entry| {
            let is_up_to_date = is_up_to_date(&self.zones_last_seen_ms, entry, now_ms);
            (is_up_to_date && !entry.is_suspected).then(|| update_of(entry, now_ms))?
        })
    }

    /// Updates of at most `limit` agents; successive calls go through all agents in turn.
    pub fn next_updates(&mut self, limit: usize, now_ms: u64) -> Vec<TargetUpdate> {
        let all: Vec<TargetUpdate> = self.updates(now_ms).collect();
        self.update_rotation.next_batch(&all, limit)
    }

    /// Update of one agent; `None` where it is unknown or has never been seen.
    pub fn update_of(&self, data: SocketAddrV4, now_ms: u64) -> Option<TargetUpdate> {
        update_of(self.targets.get(&data)?, now_ms)
    }

    /// Loads of at most `limit` targets of a zone that were reported within `STATUS_STALE_MS`; successive
    /// calls go through all of them in turn.
    pub fn next_loads(&mut self, zone: &str, limit: usize, now_ms: u64) -> Vec<TargetLoadReport> {
        let recent = self.targets.values().filter(|entry| {
            entry.zone == zone && now_ms.saturating_sub(entry.load_reported_ms) < STATUS_STALE_MS
        });
        let load = |entry: &TargetEntry| {
            let load = entry.status.as_ref()?.load();
            Some(TargetLoadReport { sequence: entry.load_sequence, ..load })
        };
        let loads: Vec<TargetLoadReport> = recent.filter_map(load).collect();
        self.load_rotation.next_batch(&loads, limit)
    }

    /// Resets all time-outs after this process was suspended: it could not receive answers meanwhile, so
    /// their absence does not show that an agent is gone.
    pub fn note_stall(&mut self, now_ms: u64) {
        for entry in self.targets.values_mut() {
            entry.unanswered_probe_ms = None;
        }
        self.zones_last_seen_ms.clear();
        self.stall_grace_until_ms = now_ms + AGENT_TIMEOUT_MS;
    }

    /// Data addresses of agents that were neither seen nor presumed alive for more than `period_ms`.
    pub fn not_seen_for(&self, period_ms: u64, now_ms: u64) -> impl Iterator<Item = SocketAddrV4> {
        let since = |entry: &TargetEntry| {
            let last_ms = entry.last_seen_ms.max(presumed_seen_ms(&self.zones_last_seen_ms, entry));
            last_ms.unwrap_or(entry.known_since_ms)
        };
        self.targets
            .iter()
            .filter(move |(_, entry)| now_ms.saturating_sub(since(entry)) > period_ms)
            .map(|(data, _)| *data)
    }

    /// The last status of an agent.
    pub fn status(&self, data: SocketAddrV4) -> Option<&TargetStatus> {
        self.targets.get(&data)?.status.as_ref()
    }

    /// State of an agent in the failure detector; `None` where it is unknown.
    pub fn liveness(&self, data: SocketAddrV4, now_ms: u64) -> Option<Liveness> {
        self.targets.get(&data).map(|entry| self.liveness_of(entry, now_ms))
    }

    /// Agents to which a new flow of a service is offered, best first.
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

    /// Counts a flow offered to an agent, until the agent's next load report includes it.
    pub fn note_offer(&mut self, data: SocketAddrV4) {
        if let Some(entry) = self.targets.get_mut(&data) {
            entry.offered_flows += 1;
        }
    }

    /// All agents that may hold a flow, ordered by service as in `services`, then by rendezvous score;
    /// agents of other services come last.
    pub fn search(&self, services: &[&str], flow_hash: u64, now_ms: u64) -> Search {
        let mut ranked = Vec::with_capacity(self.targets.len());
        for (data, entry) in &self.targets {
            let liveness = self.liveness_of(entry, now_ms);
            if !entry.may_hold_flows(liveness) {
                continue;
            }
            let status = entry.status.as_ref();
            let service = status.map_or("", |status| status.service.as_str());
            let rank = services.iter().position(|name| *name == service);
            let rank = rank.unwrap_or(services.len());
            let score = u64::MAX - score(flow_hash, entry.id);
            ranked.push((rank, score, *data, entry, liveness));
        }
        ranked.sort_unstable_by_key(|(rank, score, ..)| (*rank, *score));
        let mut chains: IndexMap<&str, Vec<SocketAddrV4>> = IndexMap::new();
        let mut search = Search::default();
        for (.., data, entry, liveness) in ranked {
            if liveness == Liveness::Alive {
                chains.entry(&entry.zone).or_default().push(data);
                search.fingerprint = search.fingerprint.wrapping_add(entry.id);
            } else {
                search.unavailable.push(data);
                search.has_awaited |= liveness == Liveness::Awaited;
            }
        }
        let parts = chains.values().flat_map(|chain| chain.chunks(MAX_SEARCH_CHAIN));
        search.chains = parts.map(<[SocketAddrV4]>::to_vec).collect();
        search
    }

    /// Fingerprint of the agents that a search would ask now. It differs from that of an earlier search if
    /// an agent has become known or available since.
    pub fn searchable_fingerprint(&self, now_ms: u64) -> u64 {
        let searchable = self.targets.values().filter(|entry| {
            entry.may_hold_flows(Liveness::Alive)
                && self.liveness_of(entry, now_ms) == Liveness::Alive
        });
        searchable.fold(0, |sum, entry| sum.wrapping_add(entry.id))
    }

    /// State of the agents that may hold a flow and are not alive: `Awaited` if any of them is awaited,
    /// else `Silent`; `None` if all are alive.
    pub fn unavailable_holder_liveness(&self, now_ms: u64) -> Option<Liveness> {
        let all = self.targets.values().map(|entry| (entry, self.liveness_of(entry, now_ms)));
        let unavailable = all.filter(|(entry, liveness)| {
            *liveness != Liveness::Alive && entry.may_hold_flows(*liveness)
        });
        unavailable
            .map(|(_, liveness)| liveness)
            .min_by_key(|liveness| *liveness != Liveness::Awaited)
    }

    /// Agents that are not alive, with the state of each.
    pub fn unavailable_agents(&self, now_ms: u64) -> Vec<(SocketAddrV4, Liveness)> {
        let all = self.agents(now_ms).map(|(data, _, liveness, _)| (data, liveness));
        all.filter(|(_, liveness)| *liveness != Liveness::Alive).collect()
    }

    /// Whether no agent is awaited: each is known to be alive or silent.
    pub fn is_liveness_resolved(&self, now_ms: u64) -> bool {
        self.targets.values().all(|entry| self.liveness_of(entry, now_ms) != Liveness::Awaited)
    }

    /// All agents, with zone, state in the failure detector and last status.
    pub fn agents(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddrV4, &str, Liveness, Option<&TargetStatus>)> {
        self.targets.iter().map(move |(data, entry)| {
            (*data, entry.zone.as_str(), self.liveness_of(entry, now_ms), entry.status.as_ref())
        })
    }

    /// Agents that are alive, have sent a status and are not stopping.
    pub fn running_agents(&self, now_ms: u64) -> impl Iterator<Item = AgentAddresses<'_>> {
        let is_running = move |entry: &TargetEntry| {
            entry.status.is_some() && self.liveness_of(entry, now_ms) == Liveness::Alive
        };
        self.targets.iter().filter(move |(_, entry)| is_running(entry)).map(|(data, entry)| {
            AgentAddresses { data: *data, control: entry.control, zone: &entry.zone }
        })
    }

    /// Whether an alive target of one of these services accepts flows.
    pub fn has_accepting_target(&self, services: &[&str], now_ms: u64) -> bool {
        self.has_alive_target(services, now_ms, TargetPhase::accepts_flows)
    }

    /// Whether an alive target of one of these services will accept flows once all balancers know its
    /// agent.
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
        let age_ms = entry.last_seen_ms.map(|seen_ms| now_ms.saturating_sub(seen_ms));
        let unanswered_ms = entry.unanswered_probe_ms.map(|sent_ms| now_ms.saturating_sub(sent_ms));
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
            // A probe is sent once the status is stale; the agent has `AGENT_TIMEOUT_MS` to answer it.
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
            score: score(flow_hash, entry.id),
        })
    }
}

/// Time up to which an agent is presumed seen: when a balancer of its zone was last seen. `None` for
/// agents that this balancer monitors, that are suspected or that never sent a status.
fn presumed_seen_ms(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
) -> Option<u64> {
    let may_presume = !entry.is_monitored && !entry.is_suspected && entry.status.is_some();
    zones_last_seen_ms.get(&entry.zone).filter(|_| may_presume).copied()
}

fn is_presumed_alive(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
    now_ms: u64,
) -> bool {
    presumed_seen_ms(zones_last_seen_ms, entry)
        .is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) < ZONE_TIMEOUT_MS)
}

/// Whether an agent is presumed alive or has a recent status, so that only its monitors have to probe it.
fn is_up_to_date(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
    now_ms: u64,
) -> bool {
    is_presumed_alive(zones_last_seen_ms, entry, now_ms)
        || entry
            .last_seen_ms
            .is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) <= STATUS_STALE_MS)
}

fn update_of(entry: &TargetEntry, now_ms: u64) -> Option<TargetUpdate> {
    Some(TargetUpdate {
        status: entry.status.clone()?,
        age_ms: now_ms.saturating_sub(entry.last_seen_ms?),
        is_suspected: entry.is_suspected,
    })
}

/// Rendezvous score of the agent with this id for a flow.
fn score(flow_hash: u64, id: u64) -> u64 {
    hash64_with_seed(&id.to_be_bytes(), flow_hash)
}
