//! Monitors of targets: the balancers that receive a target's heartbeats and report to the others when
//! these stop.
//!
//! The targets of a service, or of one set within a large service, share their monitors. Each monitor can
//! therefore compute the mean load of the targets that it monitors, and load figures need not be spread
//! among balancers.
//!
//! Memory is bounded by one entry for each target that sent a heartbeat within [`EXPIRE_AFTER_MS`].

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::version::hash::hash64;
use crate::version::record::BalancerRecord;
use crate::version::records::Records;
use crate::version::records::accepts_new_flows;
use crate::version::rendezvous;
use crate::version::rendezvous::Candidate;

/// Number of balancers that monitor each target.
pub const MONITORS_PER_TARGET: usize = 3;

/// Maximum mean number of targets in a set, whose targets share their monitors.
const MAX_MEAN_TARGETS_PER_SET: usize = 32;

/// Time without a heartbeat after which a target is suspected, in milliseconds.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 5_000;

/// Time without a heartbeat after which a monitor removes a target, in milliseconds.
pub const EXPIRE_AFTER_MS: u64 = 60_000;

const PERMILLE: u64 = 1000;

/// Sets of targets that share their monitors, computed from one version of the records.
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
        for target in records.targets().filter(|target| accepts_new_flows(target)) {
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

    /// Index of a target's set within its service.
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

    /// Index of a target's set among `sets` sets; `None` counts as one set.
    pub fn set_index_among(sets: Option<u64>, target: SocketAddrV4) -> u64 {
        hash64(target.to_string().as_bytes()) % sets.unwrap_or(1)
    }

    /// Control addresses of the balancers that monitor a set, those with the highest score first.
    pub fn monitors(&self, service: &str, set: u64) -> Vec<SocketAddrV4> {
        let key = hash64(format!("{service} {set}").as_bytes());
        let chosen = rendezvous::choose(key, &self.candidates, MONITORS_PER_TARGET);
        chosen.into_iter().map(|index| self.balancers[index]).collect()
    }
}

fn set_count_for(targets: usize) -> u64 {
    targets.div_ceil(MAX_MEAN_TARGETS_PER_SET).max(1) as u64
}

/// Heartbeat of a target, with its load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Name of the service.
    pub service: String,
    /// Number of open flows.
    pub flows: u32,
    /// Maximum number of flows at present.
    pub flow_capacity: u32,
    /// Number of busy slots.
    pub busy: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Digest of the agent's configuration records.
    pub configuration_digest: u64,
}

/// Mean load of the targets of a service that one balancer monitors.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Open flows divided by flow capacity, in thousandths.
    pub flows_permille: u32,
    /// Busy slots divided by all slots, in thousandths.
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

/// Last heartbeats of the targets that one balancer monitors.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatMonitor {
    targets: IndexMap<SocketAddrV4, LastHeartbeat>,
}

impl HeartbeatMonitor {
    /// Creates a monitor without targets.
    pub fn new() -> HeartbeatMonitor {
        HeartbeatMonitor::default()
    }

    /// Records a heartbeat, unless one of a later incarnation is known.
    pub fn record_heartbeat(&mut self, target: SocketAddrV4, heartbeat: Heartbeat, now_ms: u64) {
        let is_current = self
            .targets
            .get(&target)
            .is_none_or(|last| last.heartbeat.incarnation <= heartbeat.incarnation);
        if is_current {
            self.targets.insert(target, LastHeartbeat { heartbeat, received_ms: now_ms });
        }
    }

    /// Mean load of a service over the targets that sent a heartbeat within [`HEARTBEAT_TIMEOUT_MS`].
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

    /// Targets without a heartbeat for [`HEARTBEAT_TIMEOUT_MS`], with the incarnation of the last one.
    pub fn timed_out(&self, now_ms: u64) -> Vec<(SocketAddrV4, u64)> {
        self.targets
            .iter()
            .filter(|(_, last)| now_ms.saturating_sub(last.received_ms) >= HEARTBEAT_TIMEOUT_MS)
            .map(|(target, last)| (*target, last.heartbeat.incarnation))
            .collect()
    }

    /// Time since the last heartbeat of a target, in milliseconds; `None` where none of `incarnation` or a
    /// later one is known.
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

    /// Removes a target.
    pub fn stop_monitoring(&mut self, target: SocketAddrV4) {
        self.targets.swap_remove(&target);
    }

    /// Removes targets without a heartbeat for [`EXPIRE_AFTER_MS`].
    pub fn expire(&mut self, now_ms: u64) {
        self.targets.retain(|_, last| now_ms.saturating_sub(last.received_ms) < EXPIRE_AFTER_MS);
    }

    /// Monitored targets, with the digest of the configuration at each.
    pub fn monitored(&self) -> impl Iterator<Item = (SocketAddrV4, u64)> {
        self.targets.iter().map(|(target, last)| (*target, last.heartbeat.configuration_digest))
    }

    /// Number of monitored targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is monitored.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
