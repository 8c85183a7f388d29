//! The keepers of a target: balancers that hear its heartbeats and tell the rest when they stop.
//!
//! All targets of a service (or of one part of a large service) have the same keepers, so a keeper
//! knows the mean load of what it keeps and no load figure is ever spread.
//!
//! Bound: one entry for each target that reported within [`FORGET_MS`].

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::version::hash::hash64;
use crate::version::record::BalancerRecord;
use crate::version::records::Records;
use crate::version::records::takes_new_flows;
use crate::version::rendezvous;
use crate::version::rendezvous::Candidate;

/// Keepers of each target.
pub const KEEPERS: usize = 3;

/// Targets that share a set of keepers at most, on average.
const TARGETS_PER_SET: usize = 32;

/// Silence after which a target is doubted, in milliseconds.
pub const SILENCE_MS: u64 = 5_000;

/// Silence after which a keeper drops its entry, in milliseconds.
pub const FORGET_MS: u64 = 60_000;

/// Thousandths in a whole.
const PERMILLE: u64 = 1000;

/// The sets of targets that share their keepers, in one version of the records.
#[derive(Clone, Debug)]
pub struct KeeperSets<'a> {
    balancers: Vec<SocketAddrV4>,
    candidates: Vec<Candidate<'a>>,
    target_counts: IndexMap<&'a str, usize>,
}

impl<'a> KeeperSets<'a> {
    /// Counts the targets of each service and lists the live balancers.
    pub fn new(records: &'a Records) -> KeeperSets<'a> {
        let mut target_counts = IndexMap::new();
        for target in records.targets().filter(|target| takes_new_flows(target)) {
            *target_counts.entry(target.service.as_str()).or_insert(0) += 1;
        }
        let candidate = |balancer: &'a BalancerRecord| Candidate {
            id: hash64(balancer.control.to_string().as_bytes()),
            weight: 1,
            zone: &balancer.zone,
        };
        KeeperSets {
            balancers: records.live_balancers().map(|balancer| balancer.control).collect(),
            candidates: records.live_balancers().map(candidate).collect(),
            target_counts,
        }
    }

    /// Number of the set that a target is in, within its service.
    pub fn set_of(&self, service: &str, target: SocketAddrV4) -> u64 {
        let count = self.target_counts.get(service).copied().unwrap_or(0);
        KeeperSets::set_among(Some(sets_for(count)), target)
    }

    /// Number of sets of each service.
    pub fn set_counts(&self) -> IndexMap<String, u64> {
        let sets = |(service, count): (&&str, &usize)| ((*service).to_owned(), sets_for(*count));
        self.target_counts.iter().map(sets).collect()
    }

    /// Number of the set that a target is in, among `sets` ones.
    pub fn set_among(sets: Option<u64>, target: SocketAddrV4) -> u64 {
        hash64(target.to_string().as_bytes()) % sets.unwrap_or(1)
    }

    /// Keepers of a set, best first, by control address.
    pub fn keepers(&self, service: &str, set: u64) -> Vec<SocketAddrV4> {
        let key = hash64(format!("{service} {set}").as_bytes());
        let chosen = rendezvous::choose(key, &self.candidates, KEEPERS);
        chosen.into_iter().map(|index| self.balancers[index]).collect()
    }
}

fn sets_for(targets: usize) -> u64 {
    targets.div_ceil(TARGETS_PER_SET).max(1) as u64
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
struct Heard {
    heartbeat: Heartbeat,
    at_ms: u64,
}

/// The targets that one balancer keeps.
#[derive(Clone, Debug, Default)]
pub struct Keeper {
    heard: IndexMap<SocketAddrV4, Heard>,
}

impl Keeper {
    /// Creates a keeper that has heard nothing.
    pub fn new() -> Keeper {
        Keeper::default()
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, target: SocketAddrV4, heartbeat: Heartbeat, now_ms: u64) {
        let newer = self
            .heard
            .get(&target)
            .is_none_or(|heard| heard.heartbeat.incarnation <= heartbeat.incarnation);
        if newer {
            self.heard.insert(target, Heard { heartbeat, at_ms: now_ms });
        }
    }

    /// Mean load of a service over the targets heard lately.
    pub fn service_load(&self, service: &str, now_ms: u64) -> ServiceLoad {
        let lately = |heard: &&Heard| now_ms.saturating_sub(heard.at_ms) < SILENCE_MS;
        let heartbeats = self.heard.values().filter(lately).map(|heard| &heard.heartbeat);
        let mut flows = Ratio::default();
        let mut busy = Ratio::default();
        for heartbeat in heartbeats.filter(|heartbeat| heartbeat.service == service) {
            flows.add(heartbeat.flows, heartbeat.flow_capacity);
            busy.add(heartbeat.busy, heartbeat.slots);
        }
        ServiceLoad { flows_permille: flows.permille(), busy_permille: busy.permille() }
    }

    /// Targets that have been silent for [`SILENCE_MS`], with the incarnation last heard.
    pub fn silent(&self, now_ms: u64) -> Vec<(SocketAddrV4, u64)> {
        self.heard
            .iter()
            .filter(|(_, heard)| now_ms.saturating_sub(heard.at_ms) >= SILENCE_MS)
            .map(|(target, heard)| (*target, heard.heartbeat.incarnation))
            .collect()
    }

    /// Time since a target was heard in this incarnation, in milliseconds.
    pub fn silence_ms(&self, target: SocketAddrV4, incarnation: u64, now_ms: u64) -> Option<u64> {
        let heard = self.heard.get(&target)?;
        if heard.heartbeat.incarnation < incarnation {
            return None;
        }
        Some(now_ms.saturating_sub(heard.at_ms))
    }

    /// Stops keeping a target.
    pub fn release(&mut self, target: SocketAddrV4) {
        self.heard.swap_remove(&target);
    }

    /// Drops entries that have been silent for [`FORGET_MS`].
    pub fn expire(&mut self, now_ms: u64) {
        self.heard.retain(|_, heard| now_ms.saturating_sub(heard.at_ms) < FORGET_MS);
    }

    /// The targets kept, with the fingerprint of the configuration each holds.
    pub fn kept(&self) -> impl Iterator<Item = (SocketAddrV4, u64)> {
        self.heard.iter().map(|(target, heard)| (*target, heard.heartbeat.configuration_digest))
    }

    /// Number of targets kept.
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Whether no target is kept.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }
}
