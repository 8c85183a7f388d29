//! Applies what operators stored, and serves it to other balancers and to operators.

use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::Readiness;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::exchange::AgentView;
use crate::process::passthrough::exchange::BalancerView;
use crate::process::passthrough::exchange::ExchangeSource;
use crate::process::store::StoreChange;
use crate::process::store::StoreValue;
use crate::version::routing::ApplyOutcome;
use crate::version::routing::Configuration;
use crate::version::routing::OperatorItem;
use crate::version::target_status::TargetStatus;
use crate::version::target_table::Liveness;
use crate::wire::ConfigurationItem;
use crate::wire::ConfigurationSnapshot;

impl Shared {
    fn operator_items(&self) -> MutexGuard<'_, IndexMap<String, (Vec<u8>, u64)>> {
        self.operator_items.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all operator items by a snapshot of the store as of `revision`.
    pub(super) fn apply_snapshot(&self, items: Vec<(String, Vec<u8>, u64)>, revision: u64) {
        let decoder = &self.platform.operator_items;
        let mut zones_out = IndexSet::new();
        let mut stored_items = IndexMap::new();
        for (key, value, item_revision) in items {
            match decoder.decode(&key, &value) {
                Ok(OperatorItem::ZoneOut(zone)) => {
                    zones_out.insert(zone);
                }
                Ok(OperatorItem::Configuration(configuration)) => {
                    self.apply_configuration(configuration, item_revision);
                }
                Err(message) => log_event!(Event::StoreValueInvalid, "key={key} {message}"),
            }
            stored_items.insert(key, (value, item_revision));
        }
        let newest = stored_items.values().map(|(_, revision)| *revision).max().unwrap_or(0);
        let outcome = self.state().routing.apply_zones_out(zones_out, newest, revision);
        if outcome == ApplyOutcome::Changed {
            self.log_zones_out();
        }
        *self.operator_items() = stored_items;
    }

    /// Applies a configuration if it is newer than the current one.
    fn apply_configuration(&self, configuration: Configuration, revision: u64) {
        let (version, routes) = (configuration.version, configuration.routes.len());
        let outcome = self.state().routing.apply_configuration(configuration, revision);
        if outcome == ApplyOutcome::Changed {
            let details = format!("revision={revision} version={version} routes={routes}");
            log_event!(Event::ConfigurationChanged, "{details}");
            self.release_notify.notify_one();
        }
    }

    fn log_zones_out(&self) {
        let state = self.state();
        let zones: Vec<&str> = state.routing.zones_out().collect();
        log_event!(Event::ZoneChanged, "out={zones:?} revision={}", state.routing.revision());
    }

    /// Applies one change of the operator items in the store.
    pub(super) fn apply_change(&self, change: &StoreChange) {
        match change {
            StoreChange::Written(value) => self.apply_written_item(value),
            StoreChange::Removed { key, revision } => {
                self.operator_items().shift_remove(key);
                if let Some(zone) = self.platform.operator_items.zone_of(key) {
                    let outcome = self.state().routing.apply_zone(zone, false, *revision);
                    if outcome == ApplyOutcome::Changed {
                        self.log_zones_out();
                    }
                }
            }
        }
    }

    fn apply_written_item(&self, value: &StoreValue) {
        match self.platform.operator_items.decode(&value.key, &value.value) {
            Ok(OperatorItem::Configuration(configuration)) => {
                self.apply_configuration(configuration, value.revision);
            }
            Ok(OperatorItem::ZoneOut(zone)) => {
                let outcome = self.state().routing.apply_zone(&zone, true, value.revision);
                if outcome == ApplyOutcome::Changed {
                    self.log_zones_out();
                }
            }
            Err(message) => {
                log_event!(Event::StoreValueInvalid, "key={} {message}", value.key);
            }
        }
        self.operator_items().insert(value.key.clone(), (value.value.clone(), value.revision));
    }
}

impl ExchangeSource for Shared {
    fn snapshot(&self) -> ConfigurationSnapshot {
        let revision = self.state().routing.revision();
        let item = |(key, (value, revision)): (&String, &(Vec<u8>, u64))| ConfigurationItem {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        ConfigurationSnapshot { revision, items: self.operator_items().iter().map(item).collect() }
    }

    fn view(&self) -> BalancerView {
        let now_ms = self.now_ms();
        let is_ready = self.is_ready();
        let balancers = self.peers().updates(now_ms).map(|update| update.exchange).collect();
        let state = self.state();
        BalancerView {
            node: self.settings.node.node.clone(),
            availability_zone: self.settings.node.availability_zone.clone(),
            is_ready,
            newest_change: state.routing.newest_change(),
            balancers,
            agents: state
                .targets
                .agents(now_ms)
                .map(|(data, zone, liveness, status)| AgentView {
                    data,
                    availability_zone: zone.to_owned(),
                    is_alive: liveness == Liveness::Alive,
                    state: status.map_or_else(String::new, describe_target),
                })
                .collect(),
        }
    }
}

/// Phase, service and load of a target, as operators see them.
fn describe_target(status: &TargetStatus) -> String {
    let TargetStatus { service, phase, slots, flows, busy, .. } = status;
    let phase = phase.as_str();
    format!("{phase} {service} busy={busy}/{slots} flows={flows}")
}
