//! Routes of passed-through flows: one version of the operators' configuration, and its order.

use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::version::hash::hash64_with_seed;

/// Seed of the hash that spreads flows over the services of a route, apart from the one over targets.
const SPLIT_SEED: u64 = 1;

/// A service and its share of a route's new flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share, in proportion to the others'.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: String,
    /// Services that take new flows.
    pub services: Vec<WeightedService>,
    /// Whether callers may repeat the requests that the flows carry.
    pub is_idempotent: bool,
}

/// Limits of the targets of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceLimits {
    /// Flows that a target holds.
    pub max_flows: u32,
    /// Openings a second that a cold target bears; none where it bears as many as a warm one.
    pub cold_openings_per_s: Option<u32>,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Configuration {
    /// Number that the operators gave it; grows.
    pub version: u64,
    /// Routes by the address that callers use.
    pub routes: IndexMap<SocketAddrV4, RouteRule>,
    /// Services by name.
    pub services: IndexMap<String, ServiceLimits>,
    /// Idle time after which a flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One thing that operators have stored.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorItem {
    /// The configuration as a whole.
    Configuration(Configuration),
    /// This availability zone is out.
    ZoneOut(String),
}

/// What became of a configuration that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// It is in force now.
    Changed,
    /// It is in force already, or older than what is.
    Unchanged,
}

/// The configuration in force. It never goes back.
#[derive(Debug, Default)]
pub struct Routing {
    revision: u64,
    newest_change: u64,
    configuration: Option<Arc<Configuration>>,
    configuration_revision: u64,
    zones_out: IndexSet<String>,
    past_services: IndexMap<SocketAddrV4, IndexSet<String>>,
}

impl Routing {
    /// Knows nothing yet.
    pub fn new() -> Routing {
        Routing::default()
    }

    /// Revision of the store up to which everything is in force; 0 where nothing is.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest change that is in force; 0 where nothing is.
    pub fn newest_change(&self) -> u64 {
        self.newest_change
    }

    /// Whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_deref()
    }

    /// The route that an address belongs to.
    pub fn route(&self, service: SocketAddrV4) -> Option<&RouteRule> {
        self.configuration.as_ref()?.routes.get(&service)
    }

    /// Whether a zone is out.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones_out.contains(zone)
    }

    /// Zones that are out.
    pub fn zones_out(&self) -> impl Iterator<Item = &str> {
        self.zones_out.iter().map(String::as_str)
    }

    /// Services that the route has had in this process's time and has no more.
    pub fn past_services(&self, service: SocketAddrV4) -> impl Iterator<Item = &str> {
        let past = self.past_services.get(&service);
        past.into_iter().flatten().map(String::as_str)
    }

    /// Takes over a configuration that was stored at `revision`.
    pub fn apply_configuration(
        &mut self,
        configuration: Configuration,
        revision: u64,
    ) -> ApplyOutcome {
        let is_older = self.configuration.as_ref().is_some_and(|current| {
            configuration.version <= current.version || revision <= self.configuration_revision
        });
        if is_older {
            return ApplyOutcome::Unchanged;
        }
        if let Some(current) = self.configuration.take() {
            self.remember_services(&current);
        }
        self.configuration = Some(Arc::new(configuration));
        self.configuration_revision = revision;
        self.revision = self.revision.max(revision);
        self.newest_change = self.newest_change.max(revision);
        ApplyOutcome::Changed
    }

    /// Takes over which zones are out, as of `revision`, where the newest change that is known was at
    /// `newest_change`.
    pub fn apply_zones_out(
        &mut self,
        zones: IndexSet<String>,
        newest_change: u64,
        revision: u64,
    ) -> ApplyOutcome {
        if revision < self.revision {
            return ApplyOutcome::Unchanged;
        }
        self.newest_change = self.newest_change.max(newest_change);
        self.revision = self.revision.max(revision);
        if zones == self.zones_out {
            return ApplyOutcome::Unchanged;
        }
        self.zones_out = zones;
        ApplyOutcome::Changed
    }

    /// Takes over one zone's state, changed at `revision`.
    pub fn apply_zone(&mut self, zone: &str, is_out: bool, revision: u64) -> ApplyOutcome {
        if revision < self.revision {
            return ApplyOutcome::Unchanged;
        }
        self.revision = revision;
        self.newest_change = self.newest_change.max(revision);
        let changed = if is_out {
            self.zones_out.insert(zone.to_owned())
        } else {
            self.zones_out.shift_remove(zone)
        };
        if changed { ApplyOutcome::Changed } else { ApplyOutcome::Unchanged }
    }

    fn remember_services(&mut self, current: &Configuration) {
        for (address, rule) in &current.routes {
            let past = self.past_services.entry(*address).or_default();
            past.extend(rule.services.iter().map(|weighted| weighted.service.clone()));
        }
    }
}

impl RouteRule {
    /// The route's services in the order in which they are tried for a flow: its own share first.
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
