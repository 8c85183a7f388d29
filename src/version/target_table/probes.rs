//! Choice of the agents that a balancer probes.

use std::net::SocketAddrV4;

use crate::version::target_table::TargetTable;
use crate::version::target_table::liveness;
use crate::version::target_table::liveness::FIRST_CONTACT_TIMEOUT_MS;
use crate::version::target_table::liveness::RECENTLY_SEEN_MS;

/// Maximum number of agents of remote zones probed in one call. A probe and its answer are 170 bytes in
/// the largest deployment.
const MAX_REMOTE_PROBES: usize = 64;

/// Time for which the end of a target is known from other balancers alone, in milliseconds, after which this
/// balancer probes the agent. Most agents without a target get one, or are gone, before.
const RELAYED_END_CHECK_MS: u64 = 1_000;

/// Minimum time between two probes in answer to introductions of one agent, in milliseconds. The agent
/// answers each probe with another introduction, and repeats those that got no probe every 15 ms.
const INTRODUCTION_PROBE_INTERVAL_MS: u64 = 10;

impl TargetTable {
    /// Whether an agent that introduces itself is probed now; notes that it is.
    pub fn take_introduction_probe(&mut self, data: SocketAddrV4, now_ms: u64) -> bool {
        let Some(entry) = self.targets.get_mut(&data) else {
            return false;
        };
        let is_due = entry.introduction_probed_ms.is_none_or(|probed_ms| {
            now_ms.saturating_sub(probed_ms) >= INTRODUCTION_PROBE_INTERVAL_MS
        });
        if is_due {
            entry.introduction_probed_ms = Some(now_ms);
        }
        is_due
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
            let is_outdated = !liveness::is_up_to_date(&self.zones_last_seen_ms, entry, now_ms);
            let needs_end_check = entry
                .end_relayed_ms
                .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= RELAYED_END_CHECK_MS);
            let needs_recheck = entry.recheck_since_ms.is_some()
                || needs_end_check
                || entry.is_restart_awaited(now_ms);
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
}
