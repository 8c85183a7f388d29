//! The agents that a segment is sent to: chains for openings and for searches.

use std::net::SocketAddrV4;
use std::ops::RangeInclusive;

use indexmap::IndexMap;

use crate::connection::flow_locations::AskedAgents;
use crate::connection::request_class::RequestClass;
use crate::connection::target_gate::TargetPhase;
use crate::version::failing_targets;
use crate::version::hash::hash64_with_seed;
use crate::version::placing;
use crate::version::placing::Candidate;
use crate::version::placing::LoadBasis;
use crate::version::placing::Ranking;
use crate::version::routing::Routing;
use crate::version::target_status::TargetStatus;
use crate::version::target_table::Liveness;
use crate::version::target_table::TargetEntry;
use crate::version::target_table::TargetTable;
use crate::version::target_table::liveness::STATUS_STALE_MS;

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

impl Search {
    /// Reverses each chain.
    pub fn reverse_chains(&mut self) {
        self.chains.iter_mut().for_each(|chain| chain.reverse());
    }
}

/// Why a target may not take a new flow of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExclusionReason {
    /// The agent has never sent its status to this balancer.
    NoStatus,
    /// The target belongs to another service.
    OtherService,
    /// Operators have taken the zone out of service.
    ZoneOut,
    /// In its phase the target accepts no flows.
    Phase,
    /// The agent is [`Liveness::Awaited`].
    Awaited,
    /// The agent is [`Liveness::Silent`].
    Silent,
}

impl ExclusionReason {
    /// All reasons, for docs.
    pub const ALL: [ExclusionReason; 6] = [
        ExclusionReason::NoStatus,
        ExclusionReason::OtherService,
        ExclusionReason::ZoneOut,
        ExclusionReason::Phase,
        ExclusionReason::Awaited,
        ExclusionReason::Silent,
    ];

    /// Label in explanations.
    pub fn as_str(self) -> &'static str {
        match self {
            ExclusionReason::NoStatus => "no-status",
            ExclusionReason::OtherService => "other-service",
            ExclusionReason::ZoneOut => "zone-out",
            ExclusionReason::Phase => "phase",
            ExclusionReason::Awaited => "agent-awaited",
            ExclusionReason::Silent => "agent-silent",
        }
    }
}

impl TargetTable {
    /// Ranking of the agents to which a new flow of a service is offered. Flows without a class are ranked by the
    /// open flows of the targets, others by the load ahead of their requests.
    pub fn opening_ranking(
        &self,
        routing: &Routing,
        service: &str,
        class: Option<RequestClass>,
        flow_hash: u64,
        local_zone: &str,
        now_ms: u64,
    ) -> Ranking<'_> {
        let candidates = self.candidates(routing, service, class, flow_hash, now_ms);
        let basis = if class.is_some() { LoadBasis::RequestsAhead } else { LoadBasis::Flows };
        Ranking::new(candidates, local_zone, basis)
    }

    /// Agents whose targets are no candidates for a flow of one of these services, each with the reason.
    pub fn exclusions<'a>(
        &'a self,
        routing: &'a Routing,
        services: &'a [&str],
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddrV4, ExclusionReason)> + 'a {
        self.targets.iter().filter_map(move |(data, entry)| {
            let own = entry.status.as_ref().map(|status| status.service.as_str());
            let service = own.filter(|own| services.contains(own)).or(services.first().copied())?;
            Some((*data, self.check_candidate(routing, entry, service, now_ms).err()?))
        })
    }

    /// Age in milliseconds of the load that placement uses; `None` if the agent has reported none.
    pub fn load_age_ms(&self, data: SocketAddrV4, now_ms: u64) -> Option<u64> {
        let entry = self.targets.get(&data).filter(|entry| entry.status.is_some())?;
        Some(now_ms.saturating_sub(entry.load_reported_ms))
    }

    /// Time in milliseconds until a target of a service, of whatever zone, starts a request of this class, as
    /// far as this balancer knows; 0 if a target has a free slot or an unknown load, `None` if none accepts flows.
    pub fn shortest_wait_ms(
        &self,
        routing: &Routing,
        service: &str,
        class: RequestClass,
        now_ms: u64,
    ) -> Option<u64> {
        placing::shortest_wait_ms(self.candidates(routing, service, Some(class), 0, now_ms))
    }

    /// Counts a flow offered to an agent, until the agent's next load report includes it.
    pub fn note_offer(&mut self, data: SocketAddrV4, class: Option<RequestClass>, now_ms: u64) {
        if let Some(entry) = self.targets.get_mut(&data) {
            entry.offered_flows += 1;
            entry.recent_offers.note(class, now_ms);
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

    /// Whether a new flow of one of these services has a candidate.
    pub fn has_candidate(&self, routing: &Routing, services: &[&str], now_ms: u64) -> bool {
        self.targets.values().any(|entry| {
            let is_candidate =
                |service: &&str| self.check_candidate(routing, entry, service, now_ms).is_ok();
            services.iter().any(is_candidate)
        })
    }

    /// Number of candidates for a new flow of a service.
    pub fn candidate_count(&self, routing: &Routing, service: &str, now_ms: u64) -> usize {
        let is_candidate =
            |entry: &&TargetEntry| self.check_candidate(routing, entry, service, now_ms).is_ok();
        self.targets.values().filter(is_candidate).count()
    }

    /// Whether an agent's target is a candidate for a new flow of a service.
    pub fn is_candidate(
        &self,
        data: SocketAddrV4,
        routing: &Routing,
        service: &str,
        now_ms: u64,
    ) -> bool {
        let entry = self.targets.get(&data);
        entry.is_some_and(|entry| self.check_candidate(routing, entry, service, now_ms).is_ok())
    }

    /// Whether an alive target of one of these services will accept flows once all balancers know its
    /// agent.
    pub fn has_starting_target(&self, services: &[&str], now_ms: u64) -> bool {
        self.targets.values().any(|entry| {
            entry.status.as_ref().is_some_and(|status| {
                status.phase == TargetPhase::Introducing
                    && services.contains(&status.service.as_str())
            }) && self.liveness_of(entry, now_ms) == Liveness::Alive
        })
    }

    /// Targets of a service that accept flows. None of them counts as failing if too many do.
    fn candidates(
        &self,
        routing: &Routing,
        service: &str,
        class: Option<RequestClass>,
        flow_hash: u64,
        now_ms: u64,
    ) -> Vec<Candidate<'_>> {
        let mut candidates = self.unlimited_candidates(routing, service, class, flow_hash, now_ms);
        failing_targets::apply_limit(&mut candidates);
        candidates
    }

    pub(super) fn unlimited_candidates(
        &self,
        routing: &Routing,
        service: &str,
        class: Option<RequestClass>,
        flow_hash: u64,
        now_ms: u64,
    ) -> Vec<Candidate<'_>> {
        self.targets
            .iter()
            .filter_map(|(data, entry)| {
                let status = self.check_candidate(routing, entry, service, now_ms).ok()?;
                Some(candidate(*data, entry, status, class, flow_hash, now_ms))
            })
            .collect()
    }

    /// The status of a target that may take a new flow of a service, or why it may not.
    fn check_candidate<'a>(
        &self,
        routing: &Routing,
        entry: &'a TargetEntry,
        service: &str,
        now_ms: u64,
    ) -> Result<&'a TargetStatus, ExclusionReason> {
        let status = entry.status.as_ref().ok_or(ExclusionReason::NoStatus)?;
        if status.service != service {
            return Err(ExclusionReason::OtherService);
        }
        if routing.is_zone_out(&entry.zone) {
            return Err(ExclusionReason::ZoneOut);
        }
        if !status.phase.accepts_flows() {
            return Err(ExclusionReason::Phase);
        }
        match self.liveness_of(entry, now_ms) {
            Liveness::Alive => Ok(status),
            Liveness::Awaited => Err(ExclusionReason::Awaited),
            Liveness::Silent => Err(ExclusionReason::Silent),
        }
    }
}

fn candidate<'a>(
    data: SocketAddrV4,
    entry: &'a TargetEntry,
    status: &TargetStatus,
    class: Option<RequestClass>,
    flow_hash: u64,
    now_ms: u64,
) -> Candidate<'a> {
    let is_recent = now_ms.saturating_sub(entry.load_reported_ms) <= STATUS_STALE_MS;
    let ahead = class.filter(|_| is_recent).map(|class| {
        // Without loads by priority, all requests of the target count for each priority.
        let ahead = status.load_by_priority.map_or(status.busy, |load| load.ahead_of(&class));
        u64::from(ahead)
    });
    let offered_ahead = class.map_or(0, |class| entry.recent_offers.ahead_of(&class, now_ms));
    Candidate {
        data,
        zone: &entry.zone,
        slots: u64::from(status.slots.max(1)),
        service_time_us: u64::from(status.service_time_us),
        is_failing: status.is_failing,
        flows: u64::from(status.flows) + u64::from(entry.offered_flows),
        busy: u64::from(status.busy),
        ahead,
        offered_ahead,
        is_cold: status.phase == TargetPhase::Cold,
        score: score(flow_hash, entry.id),
    }
}

/// Rendezvous score of the agent with this id for a flow.
fn score(flow_hash: u64, id: u64) -> u64 {
    hash64_with_seed(&id.to_be_bytes(), flow_hash)
}
