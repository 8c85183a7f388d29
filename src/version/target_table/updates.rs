//! Updates on agents and loads that a balancer sends to others.

use std::net::SocketAddrV4;

use crate::version::target_status::TargetLoadReport;
use crate::version::target_status::TargetUpdate;
use crate::version::target_table::TargetEntry;
use crate::version::target_table::TargetTable;
use crate::version::target_table::liveness;
use crate::version::target_table::liveness::STATUS_STALE_MS;

impl TargetTable {
    /// Updates of all agents that are up to date and not suspected.
    pub fn updates(&self, now_ms: u64) -> impl Iterator<Item = TargetUpdate> {
        self.targets.values().filter_map(move |entry| {
            let is_up_to_date = liveness::is_up_to_date(&self.zones_last_seen_ms, entry, now_ms);
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
}

fn update_of(entry: &TargetEntry, now_ms: u64) -> Option<TargetUpdate> {
    Some(TargetUpdate {
        status: entry.status.clone()?,
        age_ms: now_ms.saturating_sub(entry.last_seen_ms?),
        is_suspected: entry.is_suspected,
    })
}
