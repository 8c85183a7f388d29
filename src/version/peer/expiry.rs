//! Zones that drain, balancers that are declared lost, and the removal of ended records.

use std::net::SocketAddrV4;

use indexmap::IndexSet;

use crate::version::peer::GossipState;
use crate::version::record::Phase;
use crate::version::record::Record;
use crate::version::record::RecordKey;

/// Time that established flows may continue after their zone was taken out, in milliseconds. It covers
/// the time until the agents know that the zone is out and the end of their running requests.
pub const ZONE_DRAIN_MS: u64 = 2_200;

/// Time after which the record of a lost or gone target or balancer is removed, in milliseconds
/// (one hour).
pub const ENDED_RETENTION_MS: u64 = 3_600_000;

impl GossipState {
    /// Zones that were taken out less than `ZONE_DRAIN_MS` ago: their running requests may still
    /// end.
    pub fn draining_zones(&self) -> Vec<String> {
        self.draining_until_ms.keys().cloned().collect()
    }

    /// Starts the drain time of zones that were taken out, and removes zones whose drain time is
    /// over or that are back in use.
    pub(super) fn drain_zones(&mut self, now_ms: u64) {
        for until_ms in self.draining_until_ms.values_mut() {
            until_ms.get_or_insert(now_ms + ZONE_DRAIN_MS);
        }
        self.draining_until_ms.retain(|zone, until_ms| {
            until_ms.is_some_and(|until_ms| now_ms < until_ms) && self.records.is_zone_out(zone)
        });
    }

    /// Tracks which zones are in use. A zone that was in use drains when it is taken out; a zone
    /// that this balancer has known only as out has no flows to drain.
    pub(super) fn track_zone_use(&mut self, record: &Record) {
        match record {
            Record::Zone(zone) if zone.out => {
                let was_in_use = self.zones_in_use.swap_remove(&zone.name);
                self.draining_until_ms.extend(was_in_use.then(|| (zone.name.clone(), None)));
            }
            Record::Zone(zone) => {
                self.zones_in_use.insert(zone.name.clone());
            }
            Record::Target(target) if !self.records.is_zone_out(&target.zone) => {
                self.zones_in_use.insert(target.zone.clone());
            }
            _ => {}
        }
    }

    /// Marks a balancer as lost in its record.
    pub(super) fn declare_balancer_lost(&mut self, control: SocketAddrV4) {
        let known = self.records.get(&RecordKey::Balancer(control));
        let Some(Record::Balancer(known)) = known else {
            return;
        };
        let mut record = known.clone();
        record.lost = true;
        self.counts.balancers_lost += u64::from(self.merge_record(&Record::Balancer(record)));
    }

    /// Removes the records of targets and balancers that have been lost or gone for
    /// [`ENDED_RETENTION_MS`].
    pub(super) fn remove_ended(&mut self, now_ms: u64) {
        let has_ended = |record: &&Record| match record {
            Record::Target(target) => target.lost || target.phase == Phase::Gone,
            Record::Balancer(balancer) => balancer.gone || balancer.lost,
            _ => false,
        };
        let ended: IndexSet<RecordKey> =
            self.records.iter().filter(has_ended).map(Record::key).collect();
        self.ended_at_ms.retain(|key, _| ended.contains(key));
        for key in ended {
            let since_ms = *self.ended_at_ms.entry(key.clone()).or_insert(now_ms);
            if now_ms.saturating_sub(since_ms) >= ENDED_RETENTION_MS {
                self.records.remove(&key);
                self.ended_at_ms.swap_remove(&key);
            }
        }
    }
}
