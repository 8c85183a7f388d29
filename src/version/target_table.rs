//! A balancer's view of the targets of passed-through flows, and the chains of agents built from it.
//!
//! The view may be outdated: a balancer only proposes agents, and the agents decide. Entries come from
//! the store or from other balancers; status comes in datagrams from the agent itself or relayed by other
//! balancers. An agent that this balancer does not monitor is presumed alive as long as a balancer of its
//! zone has been seen recently and none has reported the agent as suspected.

mod liveness;
mod offers;
mod probes;
mod search;
mod trials;
mod updates;

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::flow_locations::AskedAgents;
use crate::connection::target_gate::TargetPhase;
use crate::connection::target_instance::KnownInstance;
use crate::version::hash::hash64;
use crate::version::rotation::Rotation;
use crate::version::target_status::TargetLoadReport;
use crate::version::target_status::TargetStatus;
use crate::version::target_status::TargetUpdate;
pub use crate::version::target_table::liveness::AGENT_TIMEOUT_MS;
pub use crate::version::target_table::liveness::Liveness;
use crate::version::target_table::liveness::RECENTLY_SEEN_MS;
pub use crate::version::target_table::liveness::RESTART_GRACE_MS;
use crate::version::target_table::liveness::STATUS_STALE_MS;
use crate::version::target_table::offers::RecentOffers;
pub use crate::version::target_table::search::ExclusionReason;
pub use crate::version::target_table::search::MAX_OPENING_CHAIN;
pub use crate::version::target_table::search::MAX_SEARCH_CHAIN;
pub use crate::version::target_table::search::Search;

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
    /// Recent ones of them, by priority.
    recent_offers: RecentOffers,
    /// Whether the agent itself, not another balancer, has reported that its target has ended.
    is_end_direct: bool,
    /// Time of the last probe in answer to an introduction.
    introduction_probed_ms: Option<u64>,
    /// Time since when another balancer alone has reported that its target has ended.
    end_relayed_ms: Option<u64>,
    /// Instance of its target that its last statuses named, until that has ended.
    known_instance: Option<KnownInstance>,
    /// Change by which searches could ask the agent; `None` while they cannot.
    availability_change: Option<u64>,
    /// First change by which they could.
    first_availability_change: Option<u64>,
    /// Time of this balancer's last trial opening for the failing target, or when the first opening found that it
    /// fails; `None` if it does not fail.
    trial_offered_ms: Option<u64>,
}

impl TargetEntry {
    /// Applies a load report unless it is older than the current one, and resets the count of offers. The current
    /// one, relayed back by another balancer, makes the load no more recent.
    fn apply_load(&mut self, load: &TargetLoadReport, at_ms: u64) {
        let Some(status) = self.status.as_mut().filter(|_| load.sequence >= self.load_sequence)
        else {
            return;
        };
        status.set_load(load);
        if !load.is_failing {
            self.trial_offered_ms = None;
        }
        if load.sequence > self.load_sequence || self.load_reported_ms == 0 {
            self.load_reported_ms = at_ms;
            self.recent_offers.clear();
        }
        self.load_sequence = load.sequence;
        self.offered_flows = 0;
    }

    /// Accepts the load of the next status whatever its sequence number. Load reports name no incarnation, and one
    /// of the agent's former process may have left a higher number.
    fn reset_load_sequence(&mut self) {
        (self.load_sequence, self.load_reported_ms) = (0, 0);
    }

    fn is_failing(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.is_failing)
    }

    fn has_ended(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.phase == TargetPhase::Ended)
    }

    /// Whether the agent has announced that it stops, and is expected back with its target.
    fn is_restart_awaited(&self, now_ms: u64) -> bool {
        let is_stopping = self.status.as_ref().is_some_and(|status| status.is_stopping);
        is_stopping && !self.has_ended() && now_ms < self.restart_deadline_ms
    }

    /// Whether the target may hold flows: it has not ended, as far as is known, or that was only relayed and
    /// the agent is alive. Before flows open at a target that starts after one has ended, the agent
    /// introduces itself again to the balancers that it has notified of the end itself.
    fn may_hold_flows(&self, liveness: Liveness) -> bool {
        !self.has_ended() || (liveness == Liveness::Alive && !self.is_end_direct)
    }

    /// Whether the agent is among those that have been asked for a flow.
    fn is_asked(&self, data: &SocketAddrV4, asked: &AskedAgents) -> bool {
        let was_available =
            self.first_availability_change.is_some_and(|first| first <= asked.change);
        was_available && !asked.unasked.contains(data)
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

/// The targets known to a balancer, by the data addresses of their agents.
#[derive(Debug)]
pub struct TargetTable {
    /// Time for which a stopping agent is expected back.
    restart_grace_ms: u64,
    targets: IndexMap<SocketAddrV4, TargetEntry>,
    zones_last_seen_ms: IndexMap<String, u64>,
    stall_grace_until_ms: u64,
    /// Number of times that an agent has become available to searches.
    availability_changes: u64,
    trial_offers: u64,
    update_rotation: Rotation,
    load_rotation: Rotation,
    remote_probe_rotation: Rotation,
}

impl Default for TargetTable {
    fn default() -> TargetTable {
        TargetTable::new()
    }
}

impl TargetTable {
    /// Creates an empty table.
    pub fn new() -> TargetTable {
        TargetTable {
            restart_grace_ms: RESTART_GRACE_MS,
            targets: IndexMap::new(),
            zones_last_seen_ms: IndexMap::new(),
            stall_grace_until_ms: 0,
            availability_changes: 0,
            trial_offers: 0,
            update_rotation: Rotation::new(),
            load_rotation: Rotation::new(),
            remote_probe_rotation: Rotation::new(),
        }
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
            recent_offers: RecentOffers::default(),
            is_end_direct: false,
            introduction_probed_ms: None,
            end_relayed_ms: None,
            known_instance: None,
            availability_change: None,
            first_availability_change: None,
            trial_offered_ms: None,
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
                if is_known_end && is_direct {
                    entry.is_end_direct = true;
                    entry.end_relayed_ms = None;
                }
                return false;
            }
            Some(current) if current.incarnation == status.incarnation => {
                is_changed |= current.phase != status.phase
                    || current.service != status.service
                    || current.is_stopping != status.is_stopping;
            }
            _ => {
                is_changed = true;
                entry.reset_load_sequence();
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
        let is_end_relayed = has_ended && !is_end_direct;
        entry.end_relayed_ms = is_end_relayed.then(|| entry.end_relayed_ms.unwrap_or(now_ms));
        entry.is_suspected = false;
        entry.restart_deadline_ms =
            if status.is_stopping { now_ms + self.restart_grace_ms } else { 0 };
        entry.control = status.control;
        entry.zone.clone_from(&status.zone);
        match status.instance {
            Some(instance) => {
                entry.known_instance = Some(KnownInstance {
                    hash: instance.hash,
                    is_leaving: instance.is_leaving,
                    is_other_leaving: instance.is_other_leaving,
                    as_of: (status.incarnation, status.sequence),
                });
            }
            None if has_ended => entry.known_instance = None,
            // An agent that has just started has not heard its target yet.
            None => {}
        }
        let is_load_old = now_ms.saturating_sub(entry.load_reported_ms) > STATUS_STALE_MS;
        if is_direct || is_load_old {
            entry.reset_load_sequence();
        }
        let load = status.load();
        let is_later_load_known = load.sequence < entry.load_sequence;
        let known_load = entry.status.as_ref().filter(|_| is_later_load_known);
        let known_load = known_load.map(TargetStatus::load);
        let status = entry.status.insert(status);
        match known_load {
            Some(known_load) => status.set_load(&known_load),
            None => entry.apply_load(&load, sent_ms),
        }
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

    /// Removes an agent whose entry was deleted from the store, unless it is alive.
    pub fn remove_unless_alive(&mut self, data: SocketAddrV4, now_ms: u64) {
        if self.liveness(data, now_ms) != Some(Liveness::Alive) {
            self.targets.shift_remove(&data);
        }
    }

    /// Addresses and zone of an agent; `None` where it is unknown.
    pub fn agent(&self, data: SocketAddrV4) -> Option<AgentAddresses<'_>> {
        let entry = self.targets.get(&data)?;
        Some(AgentAddresses { data, control: entry.control, zone: &entry.zone })
    }

    /// Instance of an agent's target that its earlier statuses named, while its last one names none: the agent
    /// has started again.
    pub fn instance_to_give_back(&self, data: SocketAddrV4) -> Option<KnownInstance> {
        let entry = self.targets.get(&data)?;
        let names_none = entry.status.as_ref().is_some_and(|status| status.instance.is_none());
        entry.known_instance.filter(|_| names_none)
    }

    /// The last status of an agent.
    pub fn status(&self, data: SocketAddrV4) -> Option<&TargetStatus> {
        self.targets.get(&data)?.status.as_ref()
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
}
