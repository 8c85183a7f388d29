//! Applies what operators stored, and serves it to other balancers and to operators.

use std::net::SocketAddrV4;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::log_event;
use crate::process::events::Event;
use crate::process::passthrough::Readiness;
use crate::process::passthrough::balancer::Shared;
use crate::process::passthrough::balancer_state::ForwardingDecision;
use crate::process::passthrough::balancer_state::ResetReason;
use crate::process::passthrough::exchange::AgentView;
use crate::process::passthrough::exchange::BalancerView;
use crate::process::passthrough::exchange::ExchangeSource;
use crate::process::passthrough::exchange::ExplainAnswer;
use crate::process::passthrough::exchange::FetchedConfiguration;
use crate::process::passthrough::explanation::Explanation;
use crate::process::passthrough::message::duration_to_wire;
use crate::process::store::StoreChange;
use crate::process::store::StoreSnapshot;
use crate::process::store::StoreValue;
use crate::version::routing::ApplyOutcome;
use crate::version::routing::Configuration;
use crate::version::routing::OperatorItem;
use crate::version::store_position::StorePosition;
use crate::version::target_status::TargetStatus;
use crate::version::target_table::Liveness;
use crate::wire::ConfigurationItem;
use crate::wire::ConfigurationSnapshot;
use crate::wire::HeldZone;

/// Items that operators stored, as other balancers fetch them.
#[derive(Debug, Default)]
pub(super) struct StoredItems {
    /// Value and position of each item, by key.
    items: IndexMap<String, (Vec<u8>, StorePosition)>,
    /// Key of the item with the configuration in force. It stays when the store returns from an older copy
    /// without it.
    configuration_key: Option<String>,
}

impl StoredItems {
    /// Replaces all items but that of the configuration in force.
    fn replace(&mut self, items: IndexMap<String, (Vec<u8>, StorePosition)>) {
        let before = std::mem::replace(&mut self.items, items);
        if let Some(key) = &self.configuration_key
            && let Some(item) = before.get(key)
        {
            self.items.insert(key.clone(), item.clone());
        }
    }

    fn insert(&mut self, key: &str, value: &[u8], position: StorePosition) {
        self.items.insert(key.to_owned(), (value.to_vec(), position));
    }
}

impl Shared {
    fn stored_items(&self) -> MutexGuard<'_, StoredItems> {
        self.stored_items.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all operator items by a snapshot. Of one that is older than what is in force, only a newer
    /// configuration is applied.
    pub(super) fn apply_snapshot(&self, snapshot: &StoreSnapshot) {
        let StoreSnapshot { position, values } = snapshot;
        let decoder = &self.platform.operator_items;
        let mut marks = IndexMap::new();
        let mut items = IndexMap::new();
        let mut configurations = Vec::new();
        let positions = values.iter().map(|value| value.position);
        let in_era = positions.filter(|item_position| item_position.era == position.era);
        let newest_change = in_era.map(|item_position| item_position.revision).max().unwrap_or(0);
        for value in values {
            match decoder.decode(&value.key, &value.value) {
                Ok(OperatorItem::ZoneOut(zone)) => {
                    marks.insert(zone, value.position.revision);
                }
                Ok(OperatorItem::Configuration(configuration)) => {
                    configurations.push((configuration, value));
                    continue;
                }
                Err(message) => log_event!(Event::StoreValueInvalid, "key={} {message}", value.key),
            }
            items.insert(value.key.clone(), (value.value.clone(), value.position));
        }
        // Before the configurations: one that was written after the snapshot began would make it look old.
        self.apply_marks(marks, items, newest_change, *position);
        for (configuration, StoreValue { key, value, position }) in configurations {
            self.apply_configuration(configuration, key, value, *position);
        }
    }

    /// Replaces the marks of zones out, and all items but the configuration in force, unless the snapshot
    /// at `position` is older than what is in force.
    fn apply_marks(
        &self,
        marks: IndexMap<String, u64>,
        items: IndexMap<String, (Vec<u8>, StorePosition)>,
        newest_change: u64,
        position: StorePosition,
    ) {
        let before = self.state().routing.position();
        if position < before {
            return;
        }
        let now_ms = self.now_ms();
        let outcome = self.state().routing.apply_zones_out(marks, newest_change, position, now_ms);
        if outcome == ApplyOutcome::Changed {
            self.log_zones_out();
        }
        if position.era != before.era {
            self.log_held_zones();
        }
        self.stored_items().replace(items);
    }

    /// Applies a configuration, stored as `value`, if it is newer than the current one.
    fn apply_configuration(
        &self,
        configuration: Configuration,
        key: &str,
        value: &[u8],
        position: StorePosition,
    ) {
        let (version, routes) = (configuration.version, configuration.routes.len());
        let StorePosition { era, revision } = position;
        let details = format!("era={era} revision={revision} version={version} routes={routes}");
        let (outcome, in_force) = {
            let routing = &mut self.state().routing;
            let outcome = routing.apply_configuration(configuration, position);
            (outcome, routing.configuration_version())
        };
        if outcome == ApplyOutcome::Changed {
            {
                let mut stored_items = self.stored_items();
                stored_items.insert(key, value, position);
                stored_items.configuration_key = Some(key.to_owned());
            }
            log_event!(Event::ConfigurationChanged, "{details}");
            self.release_notify.notify_one();
        } else if version != in_force {
            log_event!(Event::ConfigurationNotApplied, "{details} in_force={in_force}");
        }
    }

    fn log_zones_out(&self) {
        let state = self.state();
        let zones: Vec<&str> = state.routing.zones_out().collect();
        let StorePosition { era, revision } = state.routing.position();
        log_event!(Event::ZoneChanged, "out={zones:?} era={era} revision={revision}");
    }

    fn log_held_zones(&self) {
        let state = self.state();
        let held: Vec<&str> = state.routing.held_zones().collect();
        if !held.is_empty() {
            let era = state.routing.position().era;
            log_event!(Event::ZonesHeld, "out={held:?} era={era}");
        }
    }

    /// Applies what was fetched from another balancer, asked at `asked_ms`. Returns whether a later position or a
    /// newer version of the configuration came into force.
    pub(super) fn apply_fetched(
        &self,
        from: SocketAddrV4,
        fetched: &FetchedConfiguration,
        asked_ms: u64,
    ) -> bool {
        let in_force = || {
            let routing = &self.state().routing;
            (routing.position(), routing.configuration_version())
        };
        let (position_before, version_before) = in_force();
        self.apply_snapshot(&fetched.snapshot);
        let era = fetched.snapshot.position.era;
        let outcome = self.state().routing.adopt_holds(&fetched.held_zones, era, asked_ms);
        if outcome == ApplyOutcome::Changed {
            self.log_held_zones();
            self.log_zones_out();
        }
        let (position, version) = in_force();
        let is_newer = position > position_before || version > version_before;
        if is_newer {
            let StorePosition { era, revision } = fetched.snapshot.position;
            log_event!(Event::ConfigurationFetched, "from={from} era={era} revision={revision}");
        }
        is_newer
    }

    /// Position in force, and the zones held in its era.
    fn position_and_held_zones(&self) -> (StorePosition, Vec<HeldZone>) {
        let now_ms = self.now_ms();
        let routing = &self.state().routing;
        let held = routing.held_zones().map(|zone| HeldZone {
            zone: zone.to_owned(),
            remaining_ms: duration_to_wire(routing.zone_held_ms(zone, now_ms).unwrap_or(0)),
        });
        (routing.position(), held.collect())
    }

    /// Ends the hold of zones that keep their state from before the store's return, once it is over.
    pub(super) fn release_held_zones(&self, now_ms: u64) {
        let outcome = self.state().routing.release_held_zones(now_ms);
        if outcome == ApplyOutcome::Changed {
            log_event!(Event::ZonesReleased);
            self.log_zones_out();
        }
    }

    /// Applies one change of the operator items in the store.
    pub(super) fn apply_change(&self, change: &StoreChange) {
        match change {
            StoreChange::Written(value) => self.apply_written_item(value),
            StoreChange::Removed { key, position } => {
                if let Some(zone) = self.platform.operator_items.zone_of(key) {
                    self.stored_items().items.shift_remove(key);
                    self.apply_zone(zone, false, *position);
                }
            }
        }
    }

    fn apply_written_item(&self, value: &StoreValue) {
        let StoreValue { key, value, position } = value;
        match self.platform.operator_items.decode(key, value) {
            Ok(OperatorItem::Configuration(configuration)) => {
                return self.apply_configuration(configuration, key, value, *position);
            }
            Ok(OperatorItem::ZoneOut(zone)) => self.apply_zone(&zone, true, *position),
            Err(message) => log_event!(Event::StoreValueInvalid, "key={key} {message}"),
        }
        self.stored_items().insert(key, value, *position);
    }

    fn apply_zone(&self, zone: &str, is_out: bool, position: StorePosition) {
        let outcome = self.state().routing.apply_zone(zone, is_out, position);
        if outcome == ApplyOutcome::Changed {
            self.log_zones_out();
        }
    }
}

impl ExchangeSource for Shared {
    fn snapshot(&self) -> ConfigurationSnapshot {
        let (StorePosition { era, revision }, held_zones) = self.position_and_held_zones();
        let item =
            |(key, (value, position)): (&String, &(Vec<u8>, StorePosition))| ConfigurationItem {
                key: key.clone(),
                value: value.clone(),
                revision: position.revision,
                era: (position.era != era).then_some(position.era),
            };
        let items = self.stored_items().items.iter().map(item).collect();
        ConfigurationSnapshot { revision, era: Some(era), items, held_zones }
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
            store_era: state.routing.position().era,
            newest_change: state.routing.newest_change().revision,
            store_answer_age_ms: self.store_answer_age_ms(),
            held_zones: state.routing.held_zones().map(str::to_owned).collect(),
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

    fn explain(&self, flow: &FlowKey) -> ExplainAnswer {
        let now_ms = self.now_ms();
        let node = self.settings.node.node.clone();
        match self.state().explain(flow, now_ms) {
            Ok(explanation) => {
                ExplainAnswer::Explanation(Box::new(Explanation { node, ..explanation }))
            }
            Err(ForwardingDecision::Reset(ResetReason::NoRoute)) => ExplainAnswer::Error(format!(
                "the configuration in force at {node} has no route {}",
                flow.service
            )),
            Err(decision) => ExplainAnswer::Undecided(format!(
                "{node} cannot decide yet, {}",
                decision.describe()
            )),
        }
    }
}

/// Phase, service and load of a target, as operators see them.
fn describe_target(status: &TargetStatus) -> String {
    let TargetStatus { service, phase, slots, flows, busy, .. } = status;
    let phase = phase.as_str();
    format!("{phase} {service} busy={busy}/{slots} flows={flows}")
}
