//! Routing of passed-through flows: the operators' configuration, its revisions, and the choice of a
//! service for a flow.

use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::connection::request_class::RequestClass;
use crate::version::hash::hash64_with_seed;
use crate::version::store_position::StorePosition;
use crate::version::zones_out::HeldZone;
use crate::version::zones_out::ZonesOut;

/// Seed of the hash that splits flows among the services of a route. It differs from that of the hash over
/// targets, so that the two choices are independent.
const SPLIT_SEED: u64 = 1;

/// A service of a route, with its weight for new flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of new flows, relative to the weights of the route's other services; 0 for none.
    pub weight: u32,
}

/// Rule for the flows to one service address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs.
    pub name: String,
    /// Services among which new flows are split.
    pub services: Vec<WeightedService>,
    /// Whether callers may repeat the requests that the flows carry.
    pub is_idempotent: bool,
    /// Class of the requests; `None` if the operators have not set priority and objective.
    pub class: Option<RequestClass>,
}

/// Limits of the targets of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceLimits {
    /// Maximum number of open flows at a target.
    pub max_flows: u32,
    /// Maximum openings per second at a cold target; `None` for no limit in slow start.
    pub cold_openings_per_s: Option<u32>,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Configuration {
    /// Version number given by the operators; it grows with each change.
    pub version: u64,
    /// Route rules by the service address that callers connect to.
    pub routes: IndexMap<SocketAddrV4, RouteRule>,
    /// Limits of each service, by name.
    pub services: IndexMap<String, ServiceLimits>,
    /// Idle time after which the state of a flow may be dropped, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// An item that operators have written to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorItem {
    /// The whole configuration.
    Configuration(Configuration),
    /// Mark that takes the named availability zone out of service.
    ZoneOut(String),
}

/// Result of applying a configuration or a zone's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The new value is in force.
    Changed,
    /// Nothing changed: the value was already in force, or is older than the current one.
    Unchanged,
}

impl ApplyOutcome {
    fn of(is_changed: bool) -> ApplyOutcome {
        if is_changed { ApplyOutcome::Changed } else { ApplyOutcome::Unchanged }
    }
}

/// The configuration and the zones out of service that are in force. An older position never replaces a
/// later one. The configuration's version only rises, also when the store returns from an older copy.
#[derive(Debug, Default)]
pub struct Routing {
    position: StorePosition,
    newest_change: StorePosition,
    configuration: Option<Arc<Configuration>>,
    configuration_position: StorePosition,
    zones_out: ZonesOut,
    past_services: IndexMap<SocketAddrV4, IndexSet<String>>,
}

impl Routing {
    /// Creates a routing without configuration.
    pub fn new() -> Routing {
        Routing::default()
    }

    /// Position in the store up to which all changes are in force; revision 0 where none is.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Position of the newest change in force; revision 0 where none is.
    pub fn newest_change(&self) -> StorePosition {
        self.newest_change
    }

    /// Version of the configuration in force; 0 where none is.
    pub fn configuration_version(&self) -> u64 {
        self.configuration().map_or(0, |configuration| configuration.version)
    }

    /// Whether any configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// The configuration in force, if any.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_deref()
    }

    /// Route rule of a service address.
    pub fn route(&self, service: SocketAddrV4) -> Option<&RouteRule> {
        self.configuration.as_ref()?.routes.get(&service)
    }

    /// Whether a zone is out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones_out.is_out(zone)
    }

    /// Zones that are out of service.
    pub fn zones_out(&self) -> impl Iterator<Item = &str> {
        self.zones_out.names()
    }

    /// Zones that are out since before the store's current era, though it may have no mark of them.
    pub fn held_zones(&self) -> impl Iterator<Item = &str> {
        self.zones_out.held()
    }

    /// Remaining time of a zone's hold, in milliseconds; `None` if the zone is not held.
    pub fn zone_held_ms(&self, zone: &str, now_ms: u64) -> Option<u64> {
        self.zones_out.remaining_ms(zone, now_ms)
    }

    /// Services named for an address by configurations that this process has replaced; their targets may
    /// still hold flows.
    pub fn past_services(&self, service: SocketAddrV4) -> impl Iterator<Item = &str> {
        let past = self.past_services.get(&service);
        past.into_iter().flatten().map(String::as_str)
    }

    /// Applies a configuration written at `position`. It is ignored unless its version is newer than that
    /// of the current one and, within one era, its revision is newer, too.
    pub fn apply_configuration(
        &mut self,
        configuration: Configuration,
        position: StorePosition,
    ) -> ApplyOutcome {
        let is_older = self.configuration.as_ref().is_some_and(|current| {
            let in_force = self.configuration_position;
            let is_older_write =
                position.era == in_force.era && position.revision <= in_force.revision;
            configuration.version <= current.version || is_older_write
        });
        if is_older {
            return ApplyOutcome::Unchanged;
        }
        if let Some(current) = self.configuration.take() {
            self.record_past_services(&current);
        }
        self.configuration = Some(Arc::new(configuration));
        self.configuration_position = position;
        self.note_change(position);
        ApplyOutcome::Changed
    }

    /// Applies all marks of zones out of service as of `position`, each with its revision; `newest_change`
    /// is the revision of the newest change known there. Ignored if `position` is older than the one in
    /// force.
    pub fn apply_zones_out(
        &mut self,
        marks: IndexMap<String, u64>,
        newest_change: u64,
        position: StorePosition,
        now_ms: u64,
    ) -> ApplyOutcome {
        if position < self.position {
            return ApplyOutcome::Unchanged;
        }
        let newest_change = StorePosition::new(position.era, newest_change);
        self.newest_change = self.newest_change.max(newest_change);
        self.position = position;
        ApplyOutcome::of(self.zones_out.apply_marks(marks, position.era, now_ms))
    }

    /// Applies the state of one zone, changed at `position`. Ignored if `position` is older than the one in
    /// force, or of an era of which no marks have been applied.
    pub fn apply_zone(
        &mut self,
        zone: &str,
        is_out: bool,
        position: StorePosition,
    ) -> ApplyOutcome {
        if position < self.position || position.era != self.zones_out.era() {
            return ApplyOutcome::Unchanged;
        }
        self.note_change(position);
        ApplyOutcome::of(self.zones_out.apply_change(zone, is_out.then_some(position.revision)))
    }

    /// Holds the zones that another balancer, asked at `asked_ms`, holds in `era`. See
    /// [`ZonesOut::adopt_holds`].
    pub fn adopt_holds(&mut self, holds: &[HeldZone], era: u64, asked_ms: u64) -> ApplyOutcome {
        ApplyOutcome::of(self.zones_out.adopt_holds(holds, era, asked_ms))
    }

    /// Takes the state of held zones from the store once they have been held for long enough.
    pub fn release_held_zones(&mut self, now_ms: u64) -> ApplyOutcome {
        ApplyOutcome::of(self.zones_out.release_held(now_ms))
    }

    fn note_change(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
        self.newest_change = self.newest_change.max(position);
    }

    fn record_past_services(&mut self, replaced: &Configuration) {
        for (address, rule) in &replaced.routes {
            let past = self.past_services.entry(*address).or_default();
            past.extend(rule.services.iter().map(|weighted| weighted.service.clone()));
        }
    }
}

impl RouteRule {
    /// Services of the route in the order in which they are tried for a flow: first the one chosen by the
    /// weights and the flow's hash, then the others with a weight above 0.
    pub fn service_order(&self, flow_hash: u64) -> Vec<&str> {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut order: Vec<&str> = Vec::with_capacity(self.services.len());
        if total > 0 {
            let mut point = hash64_with_seed(&flow_hash.to_be_bytes(), SPLIT_SEED) % total;
            for weighted in &self.services {
                let weight = u64::from(weighted.weight);
                if point < weight {
                    order.push(&weighted.service);
                    break;
                }
                point -= weight;
            }
        }
        for weighted in self.services.iter().filter(|weighted| weighted.weight > 0) {
            if !order.contains(&weighted.service.as_str()) {
                order.push(&weighted.service);
            }
        }
        order
    }
}
