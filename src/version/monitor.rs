//! The keepers of a target: balancers that hear its heartbeats and tell the rest when they stop.
//!
//! All targets of a service (or of one part of a large service) have the same keepers, so a keeper
//! knows the mean load of what it keeps and no load figure is ever spread.
//!
//! Bound: one entry for each target that reported within [`EXPIRE_AFTER_MS`].

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::version::hash::hash64;
use crate::version::record::BalancerRecord;
use crate::version::records::Records;
use crate::version::records::takes_new_flows;
use crate::version::rendezvous;
use crate::version::rendezvous::Candidate;

/// Keepers of each target.
pub const MONITORS_PER_TARGET: usize = 3;

/// Targets that share a set of keepers at most, on average.
const MAX_MEAN_TARGETS_PER_SET: usize = 32;

/// Silence after which a target is doubted, in milliseconds.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 5_000;

/// Silence after which a keeper drops its entry, in milliseconds.
pub const EXPIRE_AFTER_MS: u64 = 60_000;

/// Thousandths in a whole.
const PERMILLE: u64 = 1000;

/// The sets of targets that share their keepers, in one version of the records.
#[derive(Clone, Debug)]
pub struct MonitorSets<'a> {
    balancers: Vec<SocketAddrV4>,
    candidates: Vec<Candidate<'a>>,
    target_counts: IndexMap<&'a str, usize>,
}

impl<'a> MonitorSets<'a> {
    /// Counts the targets of each service and lists the live balancers.
    pub fn new(records: &'a Records) -> MonitorSets<'a> {
        let mut target_counts = IndexMap::new();
        for target in records.targets().filter(|target| takes_new_flows(target)) {
            *target_counts.entry(target.service.as_str()).or_insert(0) += 1;
        }
        let candidate = |balancer: &'a BalancerRecord| Candidate {
            id: hash64(balancer.control.to_string().as_bytes()),
            weight: 1,
            zone: &balancer.zone,
        };
        MonitorSets {
            balancers: records.live_balancers().map(|balancer| balancer.control).collect(),
            candidates: records.live_balancers().map(candidate).collect(),
            target_counts,
        }
    }

    /// Number of the set that a target is in, within its service.
    pub fn set_index(&self, service: &str, target: SocketAddrV4) -> u64 {
        let count = self.target_counts.get(service).copied().unwrap_or(0);
        MonitorSets::set_index_among(Some(set_count_for(count)), target)
    }

    /// Number of sets of each service.
    pub fn set_counts(&self) -> IndexMap<String, u64> {
        let sets =
            |(service, count): (&&str, &usize)| ((*service).to_owned(), set_count_for(*count));
        self.target_counts.iter().map(sets).collect()
    }

    /// Number of the set that a target is in, among `sets` ones.
    pub fn set_index_among(sets: Option<u64>, target: SocketAddrV4) -> u64 {
        hash64(target.to_string().as_bytes()) % sets.unwrap_or(1)
    }

    /// Keepers of a set, best first, by control address.
    pub fn monitors(&self, service: &str, set: u64) -> Vec<SocketAddrV4> {
        let key = hash64(format!("{service} {set}").as_bytes());
        let chosen = rendezvous::choose(key, &self.candidates, MONITORS_PER_TARGET);
        chosen.into_iter().map(|index| self.balancers[index]).collect()
    }
}

fn set_count_for(targets: usize) -> u64 {
    targets.div_ceil(MAX_MEAN_TARGETS_PER_SET).max(1) as u64
}

/// Load of one target at its last heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Name of the service.
    pub service: String,
    /// Flows that are open.
    pub flows: u32,
    /// Flows that it can hold now.
    pub flow_capacity: u32,
    /// Slots that are busy.
    pub busy: u32,
    /// Slots that it has.
    pub slots: u32,
    /// Fingerprint of the configuration that the agent holds.
    pub configuration_digest: u64,
}

/// Mean load of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Flows over capacity, in thousandths.
    pub flows_permille: u32,
    /// Busy slots over slots, in thousandths.
    pub busy_permille: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    used: u64,
    capacity: u64,
}

impl Ratio {
    fn add(&mut self, used: u32, capacity: u32) {
        self.used += u64::from(used);
        self.capacity += u64::from(capacity);
    }

    fn permille(self) -> u32 {
        let permille = (self.used * PERMILLE).checked_div(self.capacity).unwrap_or(0);
        u32::try_from(permille).unwrap_or(u32::MAX)
    }
}

#[derive(Clone, Debug)]
struct LastHeartbeat {
    heartbeat: Heartbeat,
    received_ms: u64,
}

/// The targets that one balancer keeps.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatMonitor {
    targets: IndexMap<SocketAddrV4, LastHeartbeat>,
}

impl HeartbeatMonitor {
    /// Creates a keeper that has last nothing.
    pub fn new() -> HeartbeatMonitor {
        HeartbeatMonitor::default()
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(&mut self, target: SocketAddrV4, heartbeat: Heartbeat, now_ms: u64) {
        let newer = self
            .targets
            .get(&target)
            .is_none_or(|last| last.heartbeat.incarnation <= heartbeat.incarnation);
        if newer {
            self.targets.insert(target, LastHeartbeat { heartbeat, received_ms: now_ms });
        }
    }

    /// Mean load of a service over the targets last is_recent.
    pub fn service_load(&self, service: &str, now_ms: u64) -> ServiceLoad {
        let is_recent =
            |last: &&LastHeartbeat| now_ms.saturating_sub(last.received_ms) < HEARTBEAT_TIMEOUT_MS;
        let heartbeats = self.targets.values().filter(is_recent).map(|last| &last.heartbeat);
        let mut flows = Ratio::default();
        let mut busy = Ratio::default();
        for heartbeat in heartbeats.filter(|heartbeat| heartbeat.service == service) {
            flows.add(heartbeat.flows, heartbeat.flow_capacity);
            busy.add(heartbeat.busy, heartbeat.slots);
        }
        ServiceLoad { flows_permille: flows.permille(), busy_permille: busy.permille() }
    }

    /// Targets that have been silent for [`HEARTBEAT_TIMEOUT_MS`], with the incarnation last last.
    pub fn timed_out(&self, now_ms: u64) -> Vec<(SocketAddrV4, u64)> {
        self.targets
            .iter()
            .filter(|(_, last)| now_ms.saturating_sub(last.received_ms) >= HEARTBEAT_TIMEOUT_MS)
            .map(|(target, last)| (*target, last.heartbeat.incarnation))
            .collect()
    }

    /// Time since a target was last in this incarnation, in milliseconds.
    pub fn ms_since_heartbeat(
        &self,
        target: SocketAddrV4,
        incarnation: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let last = self.targets.get(&target)?;
        if last.heartbeat.incarnation < incarnation {
            return None;
        }
        Some(now_ms.saturating_sub(last.received_ms))
    }

    /// Stops keeping a target.
    pub fn stop_monitoring(&mut self, target: SocketAddrV4) {
        self.targets.swap_remove(&target);
    }

    /// Drops entries that have been silent for [`EXPIRE_AFTER_MS`].
    pub fn expire(&mut self, now_ms: u64) {
        self.targets.retain(|_, last| now_ms.saturating_sub(last.received_ms) < EXPIRE_AFTER_MS);
    }

    /// The targets kept, with the fingerprint of the configuration each holds.
    pub fn monitored(&self) -> impl Iterator<Item = (SocketAddrV4, u64)> {
        self.targets.iter().map(|(target, last)| (*target, last.heartbeat.configuration_digest))
    }

    /// Number of targets kept.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is kept.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
