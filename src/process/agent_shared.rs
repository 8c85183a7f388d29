//! State that the tasks of one agent share: the target's announcement, the configuration and the
//! decisions.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use quinn::Connection;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::connection::tag::TAG_BYTES;
use crate::log_event;
use crate::process::agent_socket::make_tag;
use crate::process::agent_state::AgentState;
use crate::process::agent_state::AnnouncementRefusal;
use crate::process::agent_state::Decision;
use crate::process::agent_state::Input;
use crate::process::agent_state::TICKET_BOUNDS;
use crate::process::clock::Clock;
use crate::process::clock::MonotonicClock;
use crate::process::clock::generate_incarnation;
use crate::process::events::Event;
use crate::process::keys::ClusterKeys;
use crate::process::metrics::AgentMetrics;
use crate::process::metrics::count;
use crate::process::settings::AgentSettings;
use crate::process::trace::Trace;
use crate::process::upstream::Upstream;
use crate::request::admission::Capacity;
use crate::version::hash::zone_fingerprint;
use crate::version::record::Phase;
use crate::version::record::Record;
use crate::version::record::ServiceRecord;
use crate::version::record::TargetRecord;
use crate::version::records::Records;

/// Time for running requests to finish after the zone was taken out of service, in milliseconds.
const ZONE_FLOW_CLOSE_DELAY_MS: u64 = 1_000;

/// Share of busy slots in the whole service from which its targets are not expected to have a free
/// slot, in thousandths.
const BUSY_SERVICE_THRESHOLD_PERMILLE: u32 = 800;

/// QUIC application error code of flows that are closed because the availability zone is out of
/// service.
pub const CLOSE_CODE_ZONE_OUT: u32 = 0x5a01;

/// QUIC application error code of flows that are closed because the agent starts a new incarnation.
pub const CLOSE_CODE_NEW_INCARNATION: u32 = 0x5a02;

/// Announcement of a target over the agent's admin interface.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// Name of the service.
    pub service: String,
    /// Address on which the target serves HTTP/1.1.
    pub address: SocketAddr,
    /// Requests that the warm target runs at once.
    pub slots: u32,
    /// Connections that the warm target can hold.
    pub connections: u32,
    /// Identity of the target's process.
    pub process: String,
    /// Whether the target starts at its full limit instead of the slow-start limit.
    pub warm: bool,
}

/// Service that this agent serves, from the target's announcement and the service's record.
#[derive(Clone, Debug)]
pub struct ServiceBinding {
    /// Address that callers connect to.
    pub service_address: SocketAddr,
    /// Number of the service in flow tags.
    pub service_number: u16,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Maximum number of connections to the target.
    pub max_connections: u32,
    /// Default deadline of a request that does not state one, in milliseconds.
    pub request_deadline_ms: u64,
    /// Path prefixes of long streams, which hold no slot after their response headers.
    pub stream_paths: Vec<String>,
}

/// The target's announcement, the configuration, and the service binding that follows from both.
#[derive(Default)]
struct ServingState {
    announcement: Option<Announcement>,
    last_renewal_ms: u64,
    is_leaving: bool,
    is_expired: bool,
    /// Configuration records received from balancers.
    records: Records,
    last_binding: Option<Arc<ServiceBinding>>,
    /// Whether new work is accepted for `last_binding`.
    is_bound: bool,
}

/// One line of the trace file.
#[derive(Serialize)]
struct TraceLine<'a> {
    at_ms: u64,
    input: &'a Input,
    decision: &'a Decision,
}

/// State that the tasks of one agent share.
pub struct AgentShared {
    settings: AgentSettings,
    keys: ClusterKeys,
    metrics: AgentMetrics,
    clock: Box<dyn Clock>,
    trace: Trace,
    state: Mutex<AgentState>,
    serving: RwLock<ServingState>,
    incarnation: AtomicU64,
    /// Sequence number of the target's record within the incarnation.
    sequence: AtomicU64,
    /// Counter that makes flow tags unique.
    nonce: AtomicU32,
    zone_out: AtomicBool,
    zone_drained: AtomicBool,
    stopping: AtomicBool,
    configured: AtomicBool,
    /// Number of flows that were refused and have not ended yet.
    refusal_flows: AtomicU32,
    service_busy_permille: AtomicU32,
    /// QUIC connections of open flows, by their stable ID.
    connections: Mutex<IndexMap<usize, Connection>>,
    /// Wakes the reporter when the target's record has changed.
    pub record_changed: Notify,
    /// Whether flows drain, because the target leaves or the zone is out of service.
    pub draining: watch::Sender<bool>,
    /// Wakes one request that waits for a slot.
    pub slot_freed: Notify,
    waiting_requests: AtomicU32,
    /// Connection pool to the target.
    pub upstream: Upstream,
}

impl AgentShared {
    pub(super) fn new(
        settings: AgentSettings,
        keys: ClusterKeys,
        trace: Trace,
    ) -> Arc<AgentShared> {
        let incarnation = generate_incarnation();
        Arc::new_cyclic(|weak: &std::sync::Weak<AgentShared>| {
            let weak = weak.clone();
            let on_connection_loss = move || {
                if let Some(shared) = weak.upgrade() {
                    log_event!(Event::TargetConnectionLost);
                    shared.apply(&Input::ConnectionLost);
                }
            };
            AgentShared {
                settings,
                keys,
                metrics: AgentMetrics::new(),
                clock: Box::new(MonotonicClock::new()),
                trace,
                state: Mutex::new(AgentState::new(incarnation, TICKET_BOUNDS)),
                serving: RwLock::default(),
                incarnation: AtomicU64::new(incarnation),
                sequence: AtomicU64::new(0),
                nonce: AtomicU32::new(0),
                zone_out: AtomicBool::new(false),
                zone_drained: AtomicBool::new(false),
                stopping: AtomicBool::new(false),
                configured: AtomicBool::new(false),
                refusal_flows: AtomicU32::new(0),
                service_busy_permille: AtomicU32::new(0),
                connections: Mutex::default(),
                record_changed: Notify::new(),
                slot_freed: Notify::new(),
                waiting_requests: AtomicU32::new(0),
                draining: watch::Sender::new(false),
                upstream: Upstream::new(Arc::new(on_connection_loss)),
            }
        })
    }

    /// Starts a graceful shutdown: the target gets no new work.
    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.note_target_leaving();
    }

    /// Enters the queue of requests that wait for a slot. The queue holds as many requests as the
    /// concurrency limit; returns false if it is full.
    pub fn try_enter_slot_queue(&self) -> bool {
        let max_waiting = self.with_state(|state| state.admission().limit());
        let increment = |waiting: u32| (waiting < max_waiting).then_some(waiting + 1);
        self.waiting_requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).is_ok()
    }

    /// Leaves the queue that [`AgentShared::try_enter_slot_queue`] entered.
    pub fn leave_slot_queue(&self) {
        self.waiting_requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a refused flow and returns whether it may be accepted, so that its requests are
    /// refused one by one. At most `max_flows` refused flows are accepted at once. Call
    /// [`AgentShared::end_refusal_flow`] when the flow ends, in either case.
    pub(super) fn begin_refusal_flow(&self, max_flows: u32) -> bool {
        self.refusal_flows.fetch_add(1, Ordering::Relaxed) < max_flows
    }

    /// Undoes the count of [`AgentShared::begin_refusal_flow`].
    pub(super) fn end_refusal_flow(&self) {
        self.refusal_flows.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the settings of the agent.
    pub fn settings(&self) -> &AgentSettings {
        &self.settings
    }

    /// Returns the secrets that all processes of the cluster share.
    pub fn keys(&self) -> &ClusterKeys {
        &self.keys
    }

    /// Returns the metrics of the agent.
    pub fn metrics(&self) -> &AgentMetrics {
        &self.metrics
    }

    /// Returns the data address, which identifies the agent.
    pub fn data_address(&self) -> SocketAddrV4 {
        self.settings.data_address
    }

    /// Returns the time of the agent's monotonic clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Whether the availability zone is out of service.
    pub fn is_zone_out(&self) -> bool {
        self.zone_out.load(Ordering::Relaxed)
    }

    /// Whether the zone is out of service and `ZONE_FLOW_CLOSE_DELAY_MS` has passed since.
    pub fn is_zone_drained(&self) -> bool {
        self.zone_drained.load(Ordering::Relaxed)
    }

    /// Whether a graceful shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the current incarnation of the agent.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Applies one input to the agent state, and writes the input and the decision to the trace.
    pub fn apply(&self, input: &Input) -> Decision {
        let mut state = self.state.lock().expect("lock is not poisoned");
        // The clock is read under the lock, so that the lines of a trace are in the order of their
        // times.
        let at_ms = self.now_ms();
        let decision = state.apply(at_ms, input);
        if matches!(input, Input::Ended { .. } | Input::NotSent { .. } | Input::StreamStarted) {
            self.slot_freed.notify_one();
        }
        if self.trace.is_enabled() {
            self.trace.write(&TraceLine { at_ms, input, decision: &decision });
        }
        decision
    }

    /// Reads the agent state under its lock.
    pub fn with_state<T>(&self, read: impl FnOnce(&AgentState) -> T) -> T {
        read(&self.state.lock().expect("lock is not poisoned"))
    }

    /// Returns the service for which new work is accepted.
    pub fn binding(&self) -> Option<Arc<ServiceBinding>> {
        let serving = self.serving.read().expect("lock is not poisoned");
        if serving.is_bound { serving.last_binding.clone() } else { None }
    }

    /// Returns the service that was served last, to address the answers of flows that are ending.
    pub fn last_binding(&self) -> Option<Arc<ServiceBinding>> {
        self.serving.read().expect("lock is not poisoned").last_binding.clone()
    }

    /// Returns a connection ID that is unique within this incarnation.
    pub fn generate_tag(&self) -> [u8; TAG_BYTES] {
        let service = self.last_binding().map_or(0, |binding| binding.service_number);
        let zone = zone_fingerprint(&self.settings.availability_zone);
        let nonce = self.nonce.fetch_add(1, Ordering::Relaxed);
        let tag = make_tag(self.data_address(), self.incarnation(), service, zone, nonce);
        self.keys.tag_keys.seal(&tag)
    }

    /// Applies an announcement of the target, unless it is a late one. An announcement for another service
    /// starts a new incarnation.
    pub fn handle_announcement(
        &self,
        announcement: Announcement,
    ) -> Result<(), AnnouncementRefusal> {
        let refusal = self.with_state(|state| state.announcement_refusal(&announcement.process));
        if let Some(refusal) = refusal {
            let process = &announcement.process;
            log_event!(Event::ReportIgnored, "reason={} process={process}", refusal.as_str());
            count(&self.metrics.refused_announcements, refusal.as_str());
            return Err(refusal);
        }
        let previous = self.announcement();
        let is_other_service =
            previous.as_ref().is_some_and(|previous| previous.service != announcement.service);
        if is_other_service {
            self.begin_incarnation(generate_incarnation());
        }
        let is_replaced =
            previous.as_ref().is_some_and(|previous| previous.process != announcement.process);
        if is_replaced || is_other_service {
            log_event!(Event::TargetReplaced, "process={}", announcement.process);
            self.upstream.replace();
        }
        log_event!(
            Event::TargetAnnounced,
            "service={} address={} process={} warm={}",
            announcement.service,
            announcement.address,
            announcement.process,
            announcement.warm
        );
        self.apply(&Input::Announced {
            capacity: self.capacity_of(&announcement),
            process: announcement.process.clone(),
            warm: announcement.warm,
        });
        {
            let mut serving = self.serving.write().expect("lock is not poisoned");
            serving.announcement = Some(announcement);
            serving.last_renewal_ms = self.now_ms();
            serving.is_leaving = false;
            serving.is_expired = false;
        }
        self.draining.send_replace(false);
        self.update_binding();
        self.note_record_change();
        Ok(())
    }

    /// Sets the share of busy slots among all slots of the service, in thousandths.
    pub fn set_service_busy_permille(&self, busy_permille: u32) {
        self.service_busy_permille.store(busy_permille, Ordering::Relaxed);
    }

    /// Whether other targets of the service probably have a free slot.
    pub fn other_targets_have_slots(&self) -> bool {
        self.service_busy_permille.load(Ordering::Relaxed) < BUSY_SERVICE_THRESHOLD_PERMILLE
    }

    /// Renews the announcement of a process. Returns false if the process has not announced itself
    /// or its announcement has expired; it must then announce itself again.
    pub fn handle_renewal(&self, process: &str) -> bool {
        let is_known = {
            let mut serving = self.serving.write().expect("lock is not poisoned");
            let is_known = serving
                .announcement
                .as_ref()
                .is_some_and(|announcement| announcement.process == process)
                && !serving.is_expired;
            if is_known {
                serving.last_renewal_ms = self.now_ms();
            }
            is_known
        };
        self.apply(&Input::Renewed { process: process.to_owned() });
        is_known
    }

    /// Starts to drain the target: it gets no new work.
    pub fn note_target_leaving(&self) {
        log_event!(Event::TargetLeaving);
        self.apply(&Input::Leaving);
        self.serving.write().expect("lock is not poisoned").is_leaving = true;
        self.draining.send_replace(true);
        self.note_record_change();
    }

    /// Merges configuration records that a balancer sent. `configured` says whether the balancer
    /// has a complete configuration.
    pub fn merge_configuration(&self, records: &[Record], configured: bool) {
        if configured {
            self.configured.store(true, Ordering::Relaxed);
        }
        {
            let mut serving = self.serving.write().expect("lock is not poisoned");
            for record in records.iter().filter(|record| record.is_configuration()) {
                serving.records.merge(record);
            }
            let out = serving.records.is_zone_out(&self.settings.availability_zone);
            drop(serving);
            self.set_zone_out(out);
        }
        self.update_binding();
    }

    /// Refutes the record that a balancer knows of this agent, because it is newer than the agent's
    /// own or marked as lost: moves past its incarnation or sequence number, so that the next report
    /// replaces it.
    pub fn refute(&self, known_incarnation: u64, known_sequence: u64) {
        if known_incarnation > self.incarnation() {
            self.begin_incarnation(known_incarnation + 1);
            self.update_binding();
        } else if known_incarnation == self.incarnation() {
            self.sequence.fetch_max(known_sequence + 1, Ordering::Relaxed);
        }
        self.record_changed.notify_one();
    }

    /// Returns the record that this agent reports to balancers; `None` without a target.
    pub fn record(&self) -> Option<TargetRecord> {
        let serving = self.serving.read().expect("lock is not poisoned");
        let announcement = serving.announcement.as_ref()?;
        let phase = if self.is_stopping() || serving.is_leaving {
            Phase::Leaving
        } else if !serving.is_bound {
            Phase::Starting
        } else if self.with_state(|state| state.admission().is_cold()) {
            Phase::Cold
        } else {
            Phase::Serving
        };
        Some(TargetRecord {
            data: self.data_address(),
            incarnation: self.incarnation(),
            sequence: self.sequence.load(Ordering::Relaxed),
            lost: false,
            service: announcement.service.clone(),
            zone: self.settings.availability_zone.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            phase,
        })
    }

    /// Increments the sequence number, so that the changed record is newer than the one last sent,
    /// and wakes the reporter.
    pub fn note_record_change(&self) {
        self.sequence.fetch_add(1, Ordering::Relaxed);
        self.record_changed.notify_one();
    }

    /// Reads the configuration records under their lock.
    pub fn with_records<T>(&self, read: impl FnOnce(&Records) -> T) -> T {
        read(&self.serving.read().expect("lock is not poisoned").records)
    }

    /// Returns the last announcement of the target, even if it has expired.
    pub fn announcement(&self) -> Option<Announcement> {
        self.serving.read().expect("lock is not poisoned").announcement.clone()
    }

    /// Returns why this agent is not ready; `None` if it is ready.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("stopping");
        }
        if !self.configured.load(Ordering::Relaxed) {
            return Some("no configuration yet");
        }
        if self.is_zone_out() {
            return Some("availability zone is out");
        }
        if self.binding().is_none() {
            return Some("no target");
        }
        None
    }

    fn set_zone_out(&self, out: bool) {
        if self.zone_out.swap(out, Ordering::Relaxed) == out {
            return;
        }
        log_event!(Event::ZoneChanged, "out={out}");
        self.apply(&Input::ZoneOut { out });
        self.draining.send_replace(out || self.is_target_leaving());
    }

    fn is_target_leaving(&self) -> bool {
        self.serving.read().expect("lock is not poisoned").is_leaving
    }

    /// Closes the flows that are still open `ZONE_FLOW_CLOSE_DELAY_MS` after the zone was taken out
    /// of service. `zone_out_since_ms` holds the state between calls.
    pub(super) fn close_flows_after_zone_drain(&self, zone_out_since_ms: &mut Option<u64>) {
        if !self.is_zone_out() {
            *zone_out_since_ms = None;
            self.zone_drained.store(false, Ordering::Relaxed);
            return;
        }
        let since_ms = *zone_out_since_ms.get_or_insert(self.now_ms());
        if self.now_ms().saturating_sub(since_ms) >= ZONE_FLOW_CLOSE_DELAY_MS {
            self.close_flows(CLOSE_CODE_ZONE_OUT, b"availability zone is out");
            self.zone_drained.store(true, Ordering::Relaxed);
        }
    }

    fn begin_incarnation(&self, incarnation: u64) {
        log_event!(Event::IncarnationChanged, "incarnation={incarnation}");
        self.apply(&Input::Incarnation { incarnation });
        self.incarnation.store(incarnation, Ordering::Relaxed);
        self.sequence.store(0, Ordering::Relaxed);
        self.close_flows(CLOSE_CODE_NEW_INCARNATION, b"new incarnation");
    }

    fn close_flows(&self, code: u32, reason: &[u8]) {
        let connections = std::mem::take(&mut *self.connections.lock().expect("lock"));
        for connection in connections.values() {
            connection.close(code.into(), reason);
        }
    }

    fn capacity_of(&self, announcement: &Announcement) -> Capacity {
        let service = self.with_records(|records| records.service(&announcement.service).cloned());
        Capacity {
            slots: announcement.slots,
            connections: announcement.connections,
            first_limit: service.as_ref().map_or(1, |service| service.first_limit),
            growth_answers: service.as_ref().map_or(1, |service| service.growth_answers),
        }
    }

    /// Derives the binding and the capacity from the announcement and the service's record.
    fn update_binding(&self) {
        let Some(announcement) = self.announcement() else {
            self.serving.write().expect("lock is not poisoned").is_bound = false;
            return;
        };
        let capacity = self.capacity_of(&announcement);
        if self.with_state(|state| state.admission().capacity()) != capacity {
            self.apply(&Input::CapacityChanged { capacity });
        }
        let mut serving = self.serving.write().expect("lock is not poisoned");
        let was_bound = serving.is_bound;
        let service = serving.records.service(&announcement.service).cloned();
        if let Some(service) = service {
            serving.last_binding = Some(Arc::new(build_binding(&service, &announcement)));
            serving.is_bound = true;
        }
        let is_newly_bound = serving.is_bound && !was_bound;
        drop(serving);
        if is_newly_bound {
            self.note_record_change();
        }
    }

    /// Expires the announcement of a target that has not renewed it within `target_term_ms`.
    pub(super) fn expire_target(&self) {
        let is_newly_expired = {
            let mut serving = self.serving.write().expect("lock is not poisoned");
            let since_renewal_ms = self.now_ms().saturating_sub(serving.last_renewal_ms);
            let is_overdue = since_renewal_ms >= self.settings.target_term_ms;
            let is_expired = serving.announcement.is_some() && is_overdue;
            let is_newly_expired = is_expired && !serving.is_expired;
            serving.is_expired |= is_expired;
            serving.is_leaving |= is_expired;
            is_newly_expired
        };
        if is_newly_expired {
            log_event!(Event::TargetAnnouncementExpired);
            self.apply(&Input::Gone);
            self.upstream.replace();
            self.note_record_change();
        }
    }

    pub(super) fn update_gauges(&self) {
        let metrics = &self.metrics;
        self.with_state(|state| {
            metrics.busy_slots.set(i64::from(state.admission().busy()));
            metrics.slot_limit.set(i64::from(state.admission().limit()));
            metrics.flows.set(i64::from(state.admission().flows()));
        });
    }

    pub(super) fn register_connection(&self, connection: &Connection) {
        let mut connections = self.connections.lock().expect("lock is not poisoned");
        connections.insert(connection.stable_id(), connection.clone());
    }

    pub(super) fn unregister_connection(&self, connection: &Connection) {
        let mut connections = self.connections.lock().expect("lock is not poisoned");
        connections.swap_remove(&connection.stable_id());
    }
}

fn build_binding(service: &ServiceRecord, announcement: &Announcement) -> ServiceBinding {
    ServiceBinding {
        service_address: service.address,
        service_number: service.number,
        target_address: announcement.address,
        max_connections: announcement.connections,
        request_deadline_ms: u64::from(service.request_deadline_ms),
        stream_paths: service.stream_paths.clone(),
    }
}
