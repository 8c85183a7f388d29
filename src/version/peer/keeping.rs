//! Keeping targets: heartbeats, doubt, confirmation, loss.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::envelope::from_hop;
use crate::connection::envelope::to_hop;
use crate::version::message;
use crate::version::monitor::Heartbeat;
use crate::version::monitor::KeeperSets;
use crate::version::monitor::SILENCE_MS;
use crate::version::peer::Confirmation;
use crate::version::peer::KeeperCache;
use crate::version::peer::OutgoingCall;
use crate::version::peer::Peer;
use crate::version::peer::addresses_digest;
use crate::version::record::Phase;
use crate::version::record::Record;
use crate::version::record::RecordKey;
use crate::version::records::configuration_digest;
use crate::wire;
use crate::wire::control_request::Kind as RequestKind;

/// Silence of all other balancers after which one that believes most of them lost judges targets
/// alone, in milliseconds.
const MINORITY_TIMEOUT_MS: u64 = 30_000;

impl Peer {
    /// Keepers of a target, worked out once for each set and version of the records.
    pub(super) fn keepers_of(&mut self, service: &str, target: SocketAddrV4) -> Vec<SocketAddrV4> {
        let version = self.records.version();
        if self.keeper_cache.version != version || self.keeper_cache.set_counts.is_empty() {
            self.keeper_cache = KeeperCache {
                version,
                keepers: IndexMap::new(),
                set_counts: KeeperSets::new(&self.records).set_counts(),
            };
        }
        let set = KeeperSets::set_among(self.keeper_cache.set_counts.get(service).copied(), target);
        let key = (service.to_owned(), set);
        if let Some(keepers) = self.keeper_cache.keepers.get(&key) {
            return keepers.clone();
        }
        let keepers = KeeperSets::new(&self.records).keepers(service, set);
        self.keeper_cache.keepers.insert(key, keepers.clone());
        keepers
    }

    /// Fingerprint of the configuration that the agent of a known target needs.
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
        let keepers = self.keepers_of(&target.service, target.data);
        // A target that reports here only to learn its keepers would soon be doubted in vain.
        if target.phase != Phase::Gone && keepers.contains(&self.own_record.control) {
            self.keeper.hear(target.data, heartbeat, now_ms);
        } else {
            self.keeper.release(target.data);
        }
        let load = self.keeper.service_load(&target.service, now_ms);
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
        if addresses_digest(&keepers) != report.keepers_digest {
            answer.keepers = keepers.into_iter().map(to_hop).collect();
        }
        let needed = self.agent_configuration(&target.service);
        if configuration_digest(needed.iter()) != report.configuration_digest {
            answer.configuration = needed.iter().map(message::to_message).collect();
        }
        Some(answer)
    }

    pub(super) fn answer_confirm(
        &self,
        now_ms: u64,
        confirm: &wire::Confirm,
    ) -> Option<wire::ConfirmAnswer> {
        let target = from_hop(confirm.data.as_ref()?)?;
        let silent_ms = self.keeper.silence_ms(target, confirm.incarnation, now_ms);
        let heard = silent_ms.is_some_and(|silent_ms| silent_ms < SILENCE_MS);
        Some(wire::ConfirmAnswer { heard, silent_ms: silent_ms.unwrap_or(u64::MAX) })
    }

    /// Starts to keep the targets that this balancer should keep and has not heard.
    pub(super) fn watch_unreported_targets(&mut self, now_ms: u64) {
        let mut expected = Vec::new();
        let sets = KeeperSets::new(&self.records);
        let mut kept_sets: IndexMap<(&str, u64), bool> = IndexMap::new();
        let targets = self.records.targets().filter(|target| !target.lost);
        for target in targets.filter(|target| target.phase != Phase::Gone) {
            if self.keeper.silence_ms(target.data, target.incarnation, now_ms).is_some() {
                continue;
            }
            let set = sets.set_of(&target.service, target.data);
            let is_keeper = *kept_sets.entry((target.service.as_str(), set)).or_insert_with(|| {
                sets.keepers(&target.service, set).contains(&self.own_record.control)
            });
            if is_keeper {
                expected.push(target.clone());
            }
        }
        for target in expected {
            let heartbeat = Heartbeat {
                incarnation: target.incarnation,
                service: target.service.clone(),
                flows: 0,
                flow_capacity: 0,
                busy: 0,
                slots: 0,
                configuration_digest: 0,
            };
            self.keeper.hear(target.data, heartbeat, now_ms);
        }
    }

    /// Asks the other keepers about targets that have fallen silent.
    pub(super) fn suspect_unresponsive_targets(&mut self, now_ms: u64) -> Vec<OutgoingCall> {
        let mut out = Vec::new();
        for (target, incarnation) in self.keeper.silent(now_ms) {
            let is_live = self.records.target(target).is_some_and(|record| {
                record.incarnation == incarnation && !record.lost && record.phase != Phase::Gone
            });
            if !is_live {
                self.keeper.release(target);
                continue;
            }
            if !self.confirmations.contains_key(&target) {
                out.extend(self.request_confirmations(now_ms, target, incarnation));
            }
        }
        out
    }

    /// Whether this balancer may judge without another keeper's word. One that hears nobody is cut
    /// off itself; one that believes most others lost probably is, and waits longer.
    pub(super) fn is_well_connected(&self, now_ms: u64) -> bool {
        let heard_ms = self.any_last_seen_ms.unwrap_or(0);
        if now_ms.saturating_sub(heard_ms) >= SILENCE_MS {
            return false;
        }
        let known = self.records.balancers().filter(|balancer| !balancer.gone);
        let is_majority = self.records.live_balancers().count() * 2 > known.count();
        let contact_ms = self.balancer_last_seen_ms.unwrap_or(0);
        is_majority || now_ms.saturating_sub(contact_ms) >= MINORITY_TIMEOUT_MS
    }

    pub(super) fn request_confirmations(
        &mut self,
        now_ms: u64,
        target: SocketAddrV4,
        incarnation: u64,
    ) -> Vec<OutgoingCall> {
        let service = self.records.target(target).map(|record| record.service.clone());
        let keepers = self.keepers_of(&service.unwrap_or_default(), target);
        let others: Vec<SocketAddrV4> =
            keepers.into_iter().filter(|keeper| *keeper != self.own_record.control).collect();
        if others.is_empty() {
            if self.is_well_connected(now_ms) {
                self.declare_target_lost(target, incarnation);
            }
            return Vec::new();
        }
        let confirmation =
            Confirmation { incarnation, asked: others.len(), answered: 0, silent: 0 };
        self.confirmations.insert(target, confirmation);
        let confirm = wire::Confirm { data: Some(to_hop(target)), incarnation };
        let request = wire::ControlRequest { kind: Some(RequestKind::Confirm(confirm)) };
        others.into_iter().map(|to| OutgoingCall { to, request: request.clone() }).collect()
    }

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
            self.keeper.release(target);
            return;
        }
        confirmation.answered += 1;
        confirmation.silent += usize::from(answer.is_some());
        if confirmation.answered < confirmation.asked {
            return;
        }
        let Confirmation { incarnation, silent, .. } = *confirmation;
        self.confirmations.swap_remove(&target);
        if silent > 0 || self.is_well_connected(now_ms) {
            self.declare_target_lost(target, incarnation);
        }
    }

    pub(super) fn declare_target_lost(&mut self, target: SocketAddrV4, incarnation: u64) {
        let Some(held) = self.records.target(target) else {
            return;
        };
        if held.incarnation != incarnation {
            return;
        }
        let mut record = held.clone();
        record.lost = true;
        self.counts.targets_lost += u64::from(self.merge_record(&Record::Target(record)));
        self.keeper.release(target);
    }
}
