//! Failure detector of a balancer: which agents are alive, by their answers to its own probes and by what the
//! balancers of their zone report.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::version::balancer_table::ZONE_TIMEOUT_MS;
use crate::version::target_table::AgentAddresses;
use crate::version::target_table::TargetEntry;
use crate::version::target_table::TargetTable;

/// Time without an answer to probes after which an agent is [`Liveness::Silent`], in milliseconds; four
/// answers are missing by then.
pub const AGENT_TIMEOUT_MS: u64 = 1_200;

/// Age of the last status, in milliseconds, from which this balancer probes an agent that it does not
/// monitor and that is not presumed alive.
pub(super) const STATUS_STALE_MS: u64 = 2_000;

/// Time since the last status, in milliseconds, within which a monitored agent is not suspected and no
/// agent is rechecked; it spans two rounds of probes.
pub(super) const RECENTLY_SEEN_MS: u64 = 600;

/// Time for which a stopping agent is expected back unless the settings say otherwise, in milliseconds: 6 s
/// to stop and [`START_AGAIN_MS`].
pub const RESTART_GRACE_MS: u64 = 6_000 + START_AGAIN_MS;

/// Time in which an agent that has stopped starts again, in milliseconds.
const START_AGAIN_MS: u64 = 2_000;

/// Time for which an agent without any status counts as starting, in milliseconds. Hosts start within
/// 0.3 s of each other, and the agent is probed fifteen times in this period.
pub(super) const FIRST_CONTACT_TIMEOUT_MS: u64 = 1_500;

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

impl TargetTable {
    /// Sets how long a stopping agent may take until its process ends, in milliseconds.
    pub fn with_stop_time(self, stop_ms: u64) -> TargetTable {
        TargetTable { restart_grace_ms: stop_ms + START_AGAIN_MS, ..self }
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

    /// State of an agent in the failure detector; `None` where it is unknown.
    pub fn liveness(&self, data: SocketAddrV4, now_ms: u64) -> Option<Liveness> {
        self.targets.get(&data).map(|entry| self.liveness_of(entry, now_ms))
    }

    /// Agents that are not alive, with the state of each.
    pub fn unavailable_agents(&self, now_ms: u64) -> Vec<(SocketAddrV4, Liveness)> {
        let all = self.agents(now_ms).map(|(data, _, liveness, _)| (data, liveness));
        all.filter(|(_, liveness)| *liveness != Liveness::Alive).collect()
    }

    /// Whether no agent that may hold flows is awaited: each is known to be alive or silent.
    pub fn is_liveness_resolved(&self, now_ms: u64) -> bool {
        let may_hold_flows = |entry: &&TargetEntry| entry.may_hold_flows(Liveness::Awaited);
        let mut holders = self.targets.values().filter(may_hold_flows);
        holders.all(|entry| self.liveness_of(entry, now_ms) != Liveness::Awaited)
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

    pub(super) fn liveness_of(&self, entry: &TargetEntry, now_ms: u64) -> Liveness {
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
}

/// Time up to which an agent is presumed seen: when a balancer of its zone was last seen. `None` for
/// agents that this balancer monitors, that are suspected or that never sent a status.
pub(super) fn presumed_seen_ms(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
) -> Option<u64> {
    let may_presume = !entry.is_monitored && !entry.is_suspected && entry.status.is_some();
    zones_last_seen_ms.get(&entry.zone).filter(|_| may_presume).copied()
}

pub(super) fn is_presumed_alive(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
    now_ms: u64,
) -> bool {
    presumed_seen_ms(zones_last_seen_ms, entry)
        .is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) < ZONE_TIMEOUT_MS)
}

/// Whether an agent is presumed alive or has a recent status, so that only its monitors have to probe it.
pub(super) fn is_up_to_date(
    zones_last_seen_ms: &IndexMap<String, u64>,
    entry: &TargetEntry,
    now_ms: u64,
) -> bool {
    is_presumed_alive(zones_last_seen_ms, entry, now_ms)
        || entry
            .last_seen_ms
            .is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) <= STATUS_STALE_MS)
}
