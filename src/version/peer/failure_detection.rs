//! Failure detection of targets. The agent of each target reports to a few balancers, the target's
//! monitors (`keepers` in the messages). A monitor that misses the heartbeats suspects the target,
//! asks the other monitors and then declares it lost.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::envelope::from_hop;
use crate::connection::envelope::to_hop;
use crate::version::message;
use crate::version::monitor::HEARTBEAT_TIMEOUT_MS;
use crate::version::monitor::Heartbeat;
use crate::version::monitor::MonitorSets;
use crate::version::peer::Confirmation;
use crate::version::peer::GossipState;
use crate::version::peer::MonitorCache;
use crate::version::peer::OutgoingCall;
use crate::version::peer::addresses_digest;
use crate::version::record::Phase;
use crate::version::record::Record;
use crate::version::record::RecordKey;
use crate::version::records::configuration_digest;
use crate::wire;
use crate::wire::control_request::Kind as RequestKind;

/// Time without a message from another balancer after which a balancer that believes most others
/// lost may declare targets lost without confirmation, in milliseconds.
const MINORITY_TIMEOUT_MS: u64 = 30_000;

impl GossipState {
    /// Control addresses of the monitors of a target, cached per set until the records change.
    pub(super) fn monitors_of(&mut self, service: &str, target: SocketAddrV4) -> Vec<SocketAddrV4> {
        let version = self.records.version();
        if self.monitor_cache.version != version || self.monitor_cache.set_counts.is_empty() {
            self.monitor_cache = MonitorCache {
                version,
                monitors: IndexMap::new(),
                set_counts: MonitorSets::new(&self.records).set_counts(),
            };
        }
        let set = MonitorSets::set_index_among(
            self.monitor_cache.set_counts.get(service).copied(),
            target,
        );
        let key = (service.to_owned(), set);
        if let Some(monitors) = self.monitor_cache.monitors.get(&key) {
            return monitors.clone();
        }
        let monitors = MonitorSets::new(&self.records).monitors(service, set);
        self.monitor_cache.monitors.insert(key, monitors.clone());
        monitors
    }

    /// Hash of the configuration that the agent of a known target needs.
    pub fn agent_configuration_digest(&self, target: SocketAddrV4) -> Option<u64> {
        let target = self.records.target(target)?;
        Some(configuration_digest(self.agent_configuration(&target.service).iter()))
    }

    /// Configuration that an agent of a service needs: the service and all zones.
    fn agent_configuration(&self, service: &str) -> Vec<Record> {
        let service = self.records.get(&RecordKey::Service(service.to_owned()));
        let zones = self.records.zones().cloned().map(Record::Zone);
        service.cloned().into_iter().chain(zones).collect()
    }

    /// Handles the report of an agent: records its heartbeat, and answers with what the agent does
    /// not know yet of its monitors and its configuration.
    pub(super) fn answer_report(
        &mut self,
        now_ms: u64,
        report: &wire::Report,
    ) -> Option<wire::ReportAnswer> {
        let target = message::target_from_message(report.target.as_ref()?)?;
        let heartbeat = Heartbeat {
            incarnation: target.incarnation,
            service: target.service.clone(),
            flows: report.flows,
            flow_capacity: target.connections,
            busy: report.busy_slots,
            slots: target.slots,
            configuration_digest: report.configuration_digest,
        };
        self.merge_record(&Record::Target(target.clone()));
        let monitors = self.monitors_of(&target.service, target.data);
        // An agent may report here only to learn its monitors. Its target is not monitored: it will
        // report elsewhere and would wrongly be suspected here.
        if target.phase != Phase::Gone && monitors.contains(&self.own_record.control) {
            self.heartbeat_monitor.record_heartbeat(target.data, heartbeat, now_ms);
        } else {
            self.heartbeat_monitor.stop_monitoring(target.data);
        }
        let load = self.heartbeat_monitor.service_load(&target.service, now_ms);
        let mut answer = wire::ReportAnswer {
            configured: self.is_configured,
            service_load_permille: load.flows_permille,
            service_busy_permille: load.busy_permille,
            ..Default::default()
        };
        if let Some(known) = self.records.target(target.data) {
            answer.known_incarnation = known.incarnation;
            answer.known_sequence = known.sequence;
            answer.known_lost = known.lost;
        }
        if addresses_digest(&monitors) != report.keepers_digest {
            answer.keepers = monitors.into_iter().map(to_hop).collect();
        }
        let needed = self.agent_configuration(&target.service);
        if configuration_digest(needed.iter()) != report.configuration_digest {
            answer.configuration = needed.iter().map(message::to_message).collect();
        }
        Some(answer)
    }

    /// Answers another monitor whether this one has seen a target within the heartbeat time-out.
    pub(super) fn answer_confirm(
        &self,
        now_ms: u64,
        confirm: &wire::Confirm,
    ) -> Option<wire::ConfirmAnswer> {
        let target = from_hop(confirm.data.as_ref()?)?;
        let since_heartbeat_ms =
            self.heartbeat_monitor.ms_since_heartbeat(target, confirm.incarnation, now_ms);
        let is_seen = since_heartbeat_ms.is_some_and(|since_ms| since_ms < HEARTBEAT_TIMEOUT_MS);
        Some(wire::ConfirmAnswer {
            heard: is_seen,
            silent_ms: since_heartbeat_ms.unwrap_or(u64::MAX),
        })
    }

    /// Starts to monitor the targets that this balancer should monitor but that have not reported
    /// to it. A heartbeat without load is recorded for each, so that it is suspected after the
    /// usual time-out.
    pub(super) fn monitor_unreported_targets(&mut self, now_ms: u64) {
        let mut unreported = Vec::new();
        let sets = MonitorSets::new(&self.records);
        let mut is_monitor_of_set: IndexMap<(&str, u64), bool> = IndexMap::new();
        let targets = self.records.targets().filter(|target| !target.lost);
        for target in targets.filter(|target| target.phase != Phase::Gone) {
            if self
                .heartbeat_monitor
                .ms_since_heartbeat(target.data, target.incarnation, now_ms)
                .is_some()
            {
                continue;
            }
            let set = sets.set_index(&target.service, target.data);
            let is_monitor =
                *is_monitor_of_set.entry((target.service.as_str(), set)).or_insert_with(|| {
                    sets.monitors(&target.service, set).contains(&self.own_record.control)
                });
            if is_monitor {
                unreported.push(target.clone());
            }
        }
        for target in unreported {
            let heartbeat = Heartbeat {
                incarnation: target.incarnation,
                service: target.service.clone(),
                flows: 0,
                flow_capacity: 0,
                busy: 0,
                slots: 0,
                configuration_digest: 0,
            };
            self.heartbeat_monitor.record_heartbeat(target.data, heartbeat, now_ms);
        }
    }

    /// Asks the other monitors about targets whose heartbeats are missing.
    pub(super) fn suspect_unresponsive_targets(&mut self, now_ms: u64) -> Vec<OutgoingCall> {
        let mut out = Vec::new();
        for (target, incarnation) in self.heartbeat_monitor.timed_out(now_ms) {
            let is_live = self.records.target(target).is_some_and(|record| {
                record.incarnation == incarnation && !record.lost && record.phase != Phase::Gone
            });
            if !is_live {
                self.heartbeat_monitor.stop_monitoring(target);
                continue;
            }
            if !self.confirmations.contains_key(&target) {
                out.extend(self.request_confirmations(now_ms, target, incarnation));
            }
        }
        out
    }

    /// Whether this balancer may declare a target lost without the answer of another monitor.
    /// Without any recent message it is isolated itself. If it believes most others lost it is
    /// probably isolated, and waits for [`MINORITY_TIMEOUT_MS`].
    pub(super) fn is_well_connected(&self, now_ms: u64) -> bool {
        let any_seen_ms = self.any_last_seen_ms.unwrap_or(0);
        if now_ms.saturating_sub(any_seen_ms) >= HEARTBEAT_TIMEOUT_MS {
            return false;
        }
        let known = self.records.balancers().filter(|balancer| !balancer.gone);
        let is_majority = self.records.live_balancers().count() * 2 > known.count();
        let balancer_seen_ms = self.balancer_last_seen_ms.unwrap_or(0);
        is_majority || now_ms.saturating_sub(balancer_seen_ms) >= MINORITY_TIMEOUT_MS
    }

    /// Asks the other monitors whether they have seen a suspected target. If there are none, this
    /// balancer declares the target lost by itself, provided that it is well connected.
    pub(super) fn request_confirmations(
        &mut self,
        now_ms: u64,
        target: SocketAddrV4,
        incarnation: u64,
    ) -> Vec<OutgoingCall> {
        let service = self.records.target(target).map(|record| record.service.clone());
        let monitors = self.monitors_of(&service.unwrap_or_default(), target);
        let others: Vec<SocketAddrV4> =
            monitors.into_iter().filter(|monitor| *monitor != self.own_record.control).collect();
        if others.is_empty() {
            if self.is_well_connected(now_ms) {
                self.declare_target_lost(target, incarnation);
            }
            return Vec::new();
        }
        let confirmation =
            Confirmation { incarnation, asked: others.len(), completed: 0, not_seen: 0 };
        self.confirmations.insert(target, confirmation);
        let confirm = wire::Confirm { data: Some(to_hop(target)), incarnation };
        let request = wire::ControlRequest { kind: Some(RequestKind::Confirm(confirm)) };
        others.into_iter().map(|to| OutgoingCall { to, request: request.clone() }).collect()
    }

    /// Handles one answer, or the failure of one call (`None`), about a suspected target. An answer
    /// that the target was seen ends the suspicion, and this balancer stops monitoring the target
    /// until it reports here again or the records change. When all calls have ended without such an
    /// answer, the target is declared lost if another monitor has not seen it either or this
    /// balancer is well connected.
    pub(super) fn handle_confirmation(
        &mut self,
        now_ms: u64,
        confirm: &wire::Confirm,
        answer: Option<&wire::ConfirmAnswer>,
    ) {
        let Some(target) = confirm.data.as_ref().and_then(from_hop) else {
            return;
        };
        let Some(confirmation) = self.confirmations.get_mut(&target) else {
            return;
        };
        if answer.is_some_and(|answer| answer.heard) {
            self.confirmations.swap_remove(&target);
            self.heartbeat_monitor.stop_monitoring(target);
            return;
        }
        confirmation.completed += 1;
        confirmation.not_seen += usize::from(answer.is_some());
        if confirmation.completed < confirmation.asked {
            return;
        }
        let Confirmation { incarnation, not_seen, .. } = *confirmation;
        self.confirmations.swap_remove(&target);
        if not_seen > 0 || self.is_well_connected(now_ms) {
            self.declare_target_lost(target, incarnation);
        }
    }

    /// Marks a target as lost in its record, unless its incarnation has changed.
    pub(super) fn declare_target_lost(&mut self, target: SocketAddrV4, incarnation: u64) {
        let Some(known) = self.records.target(target) else {
            return;
        };
        if known.incarnation != incarnation {
            return;
        }
        let mut record = known.clone();
        record.lost = true;
        self.counts.targets_lost += u64::from(self.merge_record(&Record::Target(record)));
        self.heartbeat_monitor.stop_monitoring(target);
    }
}
