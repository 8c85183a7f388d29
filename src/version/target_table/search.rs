//! The agents that a segment is sent to: chains for openings and for searches.

use std::net::SocketAddrV4;
use std::ops::RangeInclusive;

use indexmap::IndexMap;

use crate::connection::flow_locations::AskedAgents;
use crate::connection::target_gate::TargetPhase;
use crate::version::hash::hash64_with_seed;
use crate::version::placing;
use crate::version::placing::Candidate;
use crate::version::routing::Routing;
use crate::version::target_table::Liveness;
use crate::version::target_table::TargetEntry;
use crate::version::target_table::TargetTable;

/// Maximum number of agents in a chain; 48 hops take 400 bytes of header.
pub const MAX_SEARCH_CHAIN: usize = 48;

/// Maximum number of agents in the chain of an opening. The last agent refuses the opening, so that the
/// caller retries without waiting for a time-out.
pub const MAX_OPENING_CHAIN: usize = 8;

/// Agents to which a segment of a flow is sent when its holder is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Search {
    /// Agents that are alive, in chains of up to [`MAX_SEARCH_CHAIN`] agents of one zone, the likeliest
    /// holder first. As no chain spans two zones, an unreachable zone does not block the others, and a
    /// segment crosses to a zone only once per chain.
    pub chains: Vec<Vec<SocketAddrV4>>,
    /// Agents that may hold the flow and are awaited or silent; each gets a copy of the segment.
    pub unavailable: Vec<SocketAddrV4>,
    /// Agents that have not been asked and are not in `chains`, the unavailable ones among them.
    pub unasked: Vec<SocketAddrV4>,
    /// Whether an agent that may hold the flow is [`Liveness::Awaited`].
    pub has_awaited: bool,
    /// Changes by which the agents in `chains` became available to searches.
    pub changes: RangeInclusive<u64>,
}

impl TargetTable {
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

    /// Numbers the agents that have become available to searches since the last call, and returns the latest
    /// number. A search that has asked all agents up to a number need not ask them again.
    pub fn note_available_agents(&mut self, now_ms: u64) -> u64 {
        let mut is_available = Vec::with_capacity(self.targets.len());
        is_available.extend(self.targets.values().map(|entry| {
            self.liveness_of(entry, now_ms) == Liveness::Alive
                && entry.may_hold_flows(Liveness::Alive)
        }));
        for (entry, is_available) in self.targets.values_mut().zip(is_available) {
            if !is_available {
                entry.availability_change = None;
            } else if entry.availability_change.is_none() {
                self.availability_changes += 1;
                entry.availability_change = Some(self.availability_changes);
                entry.first_availability_change.get_or_insert(self.availability_changes);
            }
        }
        self.availability_changes
    }

    /// Agents that may hold a flow, ordered by service as in `services`, then by rendezvous score; agents of
    /// other services come last. Those that have answered that they do not are left out, also where they have
    /// started again since, as a flow does not move; and those that are available since `asked_change` or before,
    /// see [`TargetTable::note_available_agents`].
    pub fn search(
        &self,
        services: &[&str],
        flow_hash: u64,
        ruled_out: &AskedAgents,
        asked_change: u64,
        now_ms: u64,
    ) -> Search {
        let asked_change = asked_change.max(ruled_out.change);
        let mut search = Search {
            chains: Vec::new(),
            unavailable: Vec::new(),
            unasked: Vec::new(),
            has_awaited: false,
            changes: asked_change + 1..=self.availability_changes,
        };
        let mut ranked = Vec::with_capacity(self.targets.len());
        for (data, entry) in &self.targets {
            if entry.is_asked(data, ruled_out) {
                continue;
            }
            let liveness = self.liveness_of(entry, now_ms);
            if !entry.may_hold_flows(liveness) {
                search.unasked.push(*data);
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
        for (.., data, entry, liveness) in ranked {
            if liveness == Liveness::Alive {
                if entry.availability_change.is_none_or(|change| change > asked_change) {
                    chains.entry(&entry.zone).or_default().push(data);
                }
            } else {
                search.unavailable.push(data);
                search.unasked.push(data);
                search.has_awaited |= liveness == Liveness::Awaited;
            }
        }
        let parts = chains.values().flat_map(|chain| chain.chunks(MAX_SEARCH_CHAIN));
        search.chains = parts.map(<[SocketAddrV4]>::to_vec).collect();
        search
    }

    /// State of the agents that may hold a flow, have not been asked for it and are not alive: `Awaited` if any
    /// of them is awaited, else `Silent`; `None` if there is none.
    pub fn unavailable_holder_liveness(
        &self,
        asked: &AskedAgents,
        now_ms: u64,
    ) -> Option<Liveness> {
        let unasked = self.targets.iter().filter(|(data, entry)| !entry.is_asked(data, asked));
        let all = unasked.map(|(_, entry)| (entry, self.liveness_of(entry, now_ms)));
        let unavailable = all.filter(|(entry, liveness)| {
            *liveness != Liveness::Alive && entry.may_hold_flows(*liveness)
        });
        unavailable
            .map(|(_, liveness)| liveness)
            .min_by_key(|liveness| *liveness != Liveness::Awaited)
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

/// Rendezvous score of the agent with this id for a flow.
fn score(flow_hash: u64, id: u64) -> u64 {
    hash64_with_seed(&id.to_be_bytes(), flow_hash)
}
