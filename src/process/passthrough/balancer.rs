//! The balancer daemon for passed-through flows: its shared state, its tasks and its timers.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::connection::target_gate::TargetLimits;
use crate::connection::target_gate::TargetPhase;
use crate::error::Error;
use crate::error::Result;
use crate::log_event;
use crate::process::admin;
use crate::process::clock::BootTimeClock;
use crate::process::clock::Clock;
use crate::process::daemon::run_single_threaded;
use crate::process::events::Event;
use crate::process::passthrough::Platform;
use crate::process::passthrough::Readiness;
use crate::process::passthrough::balancer_configuration::StoredItems;
use crate::process::passthrough::balancer_entries;
use crate::process::passthrough::balancer_forwarding;
use crate::process::passthrough::balancer_peers;
use crate::process::passthrough::balancer_peers::PendingChanges;
use crate::process::passthrough::balancer_start;
use crate::process::passthrough::balancer_state::BalancerState;
use crate::process::passthrough::balancer_store;
use crate::process::passthrough::balancer_waiting;
use crate::process::passthrough::datagrams::MAX_DATAGRAM_BYTES;
use crate::process::passthrough::datagrams::bind;
use crate::process::passthrough::datagrams::receive;
use crate::process::passthrough::datagrams::send;
use crate::process::passthrough::exchange;
use crate::process::passthrough::exchange::ExchangeSource;
use crate::process::passthrough::message::NodeMessage;
use crate::process::passthrough::message::Probe;
use crate::process::passthrough::metrics;
use crate::process::passthrough::metrics::MetricsSource;
use crate::process::passthrough::metrics::PassthroughMetrics;
use crate::process::passthrough::seeds::Seeds;
use crate::process::passthrough::settings::PassthroughBalancerSettings;
use crate::process::signals;
use crate::version::balancer_table::BalancerTable;
use crate::version::balancer_table::FULL_STATE_REQUEST_INTERVAL_MS;
use crate::version::balancer_table::InForce;
use crate::version::store_position::StorePosition;
use crate::version::target_status::TargetStatus;
use crate::version::target_table::AgentAddresses;

/// Time between two probes of an agent, in milliseconds. An agent counts as silent after four unanswered
/// probes.
const PROBE_INTERVAL_MS: u64 = 300;

/// Time between two periodic states sent to other balancers, in milliseconds.
const STATE_INTERVAL_MS: u64 = 600;

/// Period of the timer task, which detects stalls, retries queued segments and requests full states from
/// other balancers.
const TICK_INTERVAL: Duration = Duration::from_millis(FULL_STATE_REQUEST_INTERVAL_MS);

/// Time between two sweeps that drop idle flows and nodes that were not seen for long, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Time since an agent was last seen after which it is removed here and its store entry may be removed, in
/// milliseconds. After the platform's `flow_ttl_s` of 60 s, its idle flows may be dropped too.
const AGENT_EXPIRY_MS: u64 = 60_000;

/// Time after a start or a stall, in milliseconds, after which a balancer that could not read the nodes
/// from the store assumes that it knows all agents. An agent that gets no probes reports to the seeds and
/// balancers every two seconds.
const DISCOVERY_TIMEOUT_MS: u64 = 5_000;

/// Time for which a balancer continues forwarding after the stop signal, in milliseconds. The platform checks
/// readiness twice a second and stops sending after two failures; the rest, half a second, is for segments
/// in flight.
const DRAIN_TIME_MS: u64 = 1_800;

/// State that all tasks of a balancer share.
pub(super) struct Shared {
    pub(super) settings: PassthroughBalancerSettings,
    pub(super) seeds: Seeds,
    pub(super) platform: Platform,
    pub(super) clock: BootTimeClock,
    pub(super) state: Mutex<BalancerState>,
    pub(super) stored_items: Mutex<StoredItems>,
    pub(super) peers: Mutex<BalancerTable>,
    pub(super) is_stopping: AtomicBool,
    pub(super) changes: Mutex<PendingChanges>,
    /// Wakes the task that sends [`Shared::changes`].
    pub(super) changes_notify: Notify,
    /// Wakes the timer task before its next tick, to probe agents that were just read from the store.
    pub(super) probe_notify: Notify,
    /// Wakes the task that retries queued segments.
    pub(super) release_notify: Notify,
    /// Time of the store's last answer to the follower of the operators' items, or of the start.
    pub(super) store_answer_ms: AtomicU64,
    /// Time of the start, of the end of the last stall or of the store's return from an older copy.
    running_since_ms: AtomicU64,
    /// Length of a stall that the timers have not handled yet, in milliseconds; 0 if there is none.
    unhandled_stall_ms: AtomicU64,
    pub(super) has_read_nodes: AtomicBool,
    /// Makes the store task read the nodes again.
    pub(super) reread_nodes_notify: Notify,
    pub(super) metrics: PassthroughMetrics,
    pub(super) control_socket: UdpSocket,
    pub(super) data_socket: UdpSocket,
}

/// Runs a balancer until a stop signal arrives.
pub fn run(settings: PassthroughBalancerSettings, platform: Platform) -> Result<()> {
    run_single_threaded(serve(settings, platform))
}

async fn serve(settings: PassthroughBalancerSettings, platform: Platform) -> Result<()> {
    let data_socket = bind(settings.node.data_address).await?;
    let control_socket = bind(settings.node.control_address).await?;
    let zone = &settings.node.availability_zone;
    let mut state = BalancerState::new(zone, settings.node.control_address);
    state.targets = state.targets.with_stop_time(settings.node.stop_ms);
    state.is_asking_peers = true;
    let peers = BalancerTable::new(settings.node.control_address, zone);
    let clock = BootTimeClock::new();
    let shared = Arc::new(Shared {
        store_answer_ms: AtomicU64::new(clock.now_ms()),
        running_since_ms: AtomicU64::new(clock.now_ms()),
        clock,
        state: Mutex::new(state),
        stored_items: Mutex::default(),
        peers: Mutex::new(peers),
        is_stopping: AtomicBool::new(false),
        changes: Mutex::default(),
        changes_notify: Notify::new(),
        probe_notify: Notify::new(),
        release_notify: Notify::new(),
        unhandled_stall_ms: AtomicU64::new(0),
        has_read_nodes: AtomicBool::new(false),
        reread_nodes_notify: Notify::new(),
        metrics: PassthroughMetrics::new(),
        control_socket,
        data_socket,
        seeds: Seeds::new(&settings.node, |path| Ok(PassthroughBalancerSettings::read(path)?.node)),
        settings,
        platform,
    });
    let node = &shared.settings.node;
    log_event!(Event::Started, "role=balancer node={} zone={}", node.node, node.availability_zone);
    let readiness: Arc<dyn Readiness> = shared.clone();
    let http_endpoints = shared.platform.http_endpoints.clone();
    admin::start_with_routes(node.ready_address, |server| {
        http_endpoints.with_readiness(server, readiness)
    })
    .await?;
    let source: Arc<dyn ExchangeSource> = shared.clone();
    admin::start_with_routes(shared.settings.exchange_address, |server| {
        exchange::mount(server, source)
    })
    .await?;
    if let Some(address) = node.metrics_address {
        let source: Arc<dyn MetricsSource> = shared.clone();
        admin::start_with_routes(address, |server| metrics::mount(server, source)).await?;
    }
    tokio::spawn(balancer_forwarding::forward_segments(Arc::clone(&shared)));
    tokio::spawn(balancer_waiting::release_waiting(Arc::clone(&shared)));
    tokio::spawn(receive_control(Arc::clone(&shared)));
    tokio::spawn(balancer_peers::send_changes(Arc::clone(&shared)));
    tokio::spawn(run_timers(Arc::clone(&shared)));
    tokio::spawn(balancer_store::follow_operators(Arc::clone(&shared)));
    tokio::spawn(balancer_entries::follow_nodes(Arc::clone(&shared)));
    tokio::spawn(balancer_entries::restore_entries_in_each_era(Arc::clone(&shared)));
    tokio::spawn(balancer_entries::clean_entries_periodically(Arc::clone(&shared)));
    tokio::spawn(balancer_store::catch_up_with_peers(Arc::clone(&shared)));
    tokio::spawn(balancer_start::ask_peers_before_openings(Arc::clone(&shared)));
    let reloading = Arc::clone(&shared);
    tokio::spawn(async move { reloading.seeds.reload_on_signal().await });
    signals::wait_for_stop_signal().await.map_err(|source| Error::Runtime { source })?;
    stop(&shared).await;
    Ok(())
}

/// Reports not ready, and continues forwarding until the platform sends no more traffic here.
async fn stop(shared: &Arc<Shared>) {
    shared.is_stopping.store(true, Ordering::Relaxed);
    shared.send_periodic_state().await;
    sleep(Duration::from_millis(DRAIN_TIME_MS.min(shared.settings.node.stop_ms))).await;
    log_event!(Event::Stopped);
}

impl Shared {
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The state, for an input at the current time.
    pub(super) fn state(&self) -> MutexGuard<'_, BalancerState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = self.now_ms();
        if let Some(stall_ms) = state.note_time(now_ms) {
            self.unhandled_stall_ms.store(stall_ms, Ordering::Relaxed);
            self.running_since_ms.store(now_ms, Ordering::Relaxed);
            self.has_read_nodes.store(false, Ordering::Relaxed);
        }
        state
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, BalancerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is in force at this balancer.
    pub(super) fn in_force(&self) -> InForce {
        let routing = &self.state().routing;
        InForce {
            change: routing.newest_change(),
            configuration_version: routing.configuration_version(),
        }
    }

    pub(super) fn changes(&self) -> MutexGuard<'_, PendingChanges> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn build_probe(&self, state: &BalancerState, agent: AgentAddresses<'_>) -> Probe {
        let status = state.targets.status(agent.data);
        let service = status.map_or("", |status| status.service.as_str());
        let configuration = state.routing.configuration();
        let limits = configuration.and_then(|configuration| configuration.services.get(service));
        // Others may hold a zone that is not out here yet.
        let position = match state.must_ask_peers() {
            true => StorePosition::default(),
            false => state.routing.position(),
        };
        Probe {
            balancer: self.settings.node.control_address,
            configuration: position.into(),
            is_zone_out: state.routing.is_zone_out(agent.zone),
            zone_held_ms: state.routing.zone_held_ms(agent.zone, self.now_ms()),
            service: service.to_owned(),
            limits: TargetLimits {
                cold_openings_per_s: limits.and_then(|limits| limits.cold_openings_per_s),
                max_flows: limits.map_or(u32::MAX, |limits| limits.max_flows),
            },
            idle_timeout_ms: configuration.map_or(0, |configuration| configuration.idle_timeout_ms),
            known_incarnation: status.map_or(0, |status| status.incarnation),
            known_instance: state.targets.instance_to_give_back(agent.data),
        }
    }

    /// Handles what the state has not after a stall, if there was one: the other balancers, and the nodes in the
    /// store.
    fn handle_stall(&self, now_ms: u64) {
        drop(self.state());
        let stall_ms = self.unhandled_stall_ms.swap(0, Ordering::Relaxed);
        if stall_ms > 0 {
            log_event!(Event::ProcessStalled, "for_ms={stall_ms}");
            self.peers().note_stall(now_ms);
            self.reread_nodes_notify.notify_one();
        }
    }

    /// Marks the agents as unknown until the nodes are read again: in the new era of the store, an agent
    /// that starts may not find this balancer there.
    pub(super) fn note_era_change(&self) {
        self.running_since_ms.store(self.now_ms(), Ordering::Relaxed);
        self.has_read_nodes.store(false, Ordering::Relaxed);
        self.update_knows_all_agents();
    }

    /// Time since the store last answered the follower of the operators' items, in milliseconds.
    pub(super) fn store_answer_age_ms(&self) -> u64 {
        self.now_ms().saturating_sub(self.store_answer_ms.load(Ordering::Relaxed))
    }

    /// Whether this process started, or resumed after a stall, less than [`DISCOVERY_TIMEOUT_MS`] ago.
    pub(super) fn is_recently_started(&self, now_ms: u64) -> bool {
        now_ms - self.running_since_ms.load(Ordering::Relaxed) < DISCOVERY_TIMEOUT_MS
    }

    /// Updates whether this balancer knows all agents: it has read the nodes from the store, or all nodes
    /// have had time to report, and each known balancer has reported or had time to.
    pub(super) fn update_knows_all_agents(&self) {
        let now_ms = self.now_ms();
        let knows_nodes =
            self.has_read_nodes.load(Ordering::Relaxed) || !self.is_recently_started(now_ms);
        let knows_all = knows_nodes && self.peers().is_discovery_complete(now_ms);
        let knew_all = std::mem::replace(&mut self.state().knows_all_agents, knows_all);
        if knows_all && !knew_all {
            self.release_notify.notify_one();
        }
    }

    pub(super) async fn send_due_probes(&self, is_probe_round: bool) {
        let now_ms = self.now_ms();
        let due = {
            let peers = self.peers();
            let zone = &self.settings.node.availability_zone;
            let is_monitor = |agent, agent_zone: &str| {
                agent_zone == zone && peers.ranks_as_monitor_of(agent, now_ms)
            };
            self.state().targets.take_due_probes(is_probe_round, is_monitor, zone, now_ms)
        };
        self.probe_agents(&due).await;
    }

    /// Probes agents. A probe also tells an agent that this balancer knows it.
    async fn probe_agents(&self, agents: &[SocketAddrV4]) {
        let probes: Vec<(SocketAddrV4, Probe)> = {
            let state = self.state();
            let agents = agents.iter().filter_map(|data| state.targets.agent(*data));
            agents.map(|agent| (agent.control, self.build_probe(&state, agent))).collect()
        };
        for (control, probe) in probes {
            send(&self.control_socket, &NodeMessage::Probe(probe).encode(), control).await;
        }
    }

    async fn handle_agent_status(&self, status: TargetStatus) {
        let (data, incarnation, phase) = (status.data, status.incarnation, status.phase);
        let is_changed = self.state().targets.apply_status(status.clone(), 0, self.now_ms());
        if is_changed {
            // A starting agent reports to all balancers itself, so only a few balancers of each zone, those
            // with the highest scores for it, relay the change.
            let should_relay = self.peers().ranks_as_monitor_of(data, self.now_ms());
            self.handle_target_change(&status, false, should_relay);
        }
        // A changed agent expects an answer, an introducing one a sign that its incarnation is known and the
        // limits of its service. An agent whose status is outdated needs the later incarnation known here.
        let is_superseded =
            self.state().targets.status(data).is_some_and(|known| known.incarnation > incarnation);
        let is_introduction_due = phase == TargetPhase::Introducing
            && self.state().targets.take_introduction_probe(data, self.now_ms());
        if is_changed || is_superseded || is_introduction_due {
            self.probe_agents(&[data]).await;
        }
    }

    /// Logs a change of an agent, queues it for the other balancers if `should_relay` is set, and retries
    /// queued segments.
    pub(super) fn handle_target_change(
        &self,
        status: &TargetStatus,
        is_suspected: bool,
        should_relay: bool,
    ) {
        let TargetStatus { data, phase, is_stopping, incarnation, .. } = status;
        log_event!(
            Event::TargetChanged,
            "agent={data} phase={phase:?} stopping={is_stopping} silent={is_suspected} \
             lifetime={incarnation:x}"
        );
        if should_relay {
            self.queue_target_update(*data);
        }
        self.release_notify.notify_one();
    }
}

impl MetricsSource for Shared {
    fn metrics_text(&self) -> String {
        let (flows, held_zones, failing_targets, trial_offers) = {
            let state = self.state();
            let (flows, held_zones) =
                (state.flow_locations.len(), state.routing.held_zones().count());
            (flows, held_zones, state.targets.failing_count(), state.targets.trial_offers())
        };
        self.metrics.failing_targets.set(i64::try_from(failing_targets).unwrap_or(i64::MAX));
        self.metrics.trial_offers.set(i64::try_from(trial_offers).unwrap_or(i64::MAX));
        self.metrics.set_eras(self.platform.store.eras());
        let store_answer_age_ms = i64::try_from(self.store_answer_age_ms()).unwrap_or(i64::MAX);
        self.metrics.store_answer_age_ms.set(store_answer_age_ms);
        self.metrics.zones_held.set(i64::try_from(held_zones).unwrap_or(i64::MAX));
        self.metrics.flows.set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.metrics.text()
    }
}

impl Readiness for Shared {
    fn is_ready(&self) -> bool {
        let is_serving = {
            let state = self.state();
            state.routing.is_configured() && !state.must_ask_peers()
        };
        is_serving && !self.is_stopping.load(Ordering::Relaxed)
    }
}

/// Handles control datagrams from agents and other balancers until the process ends.
async fn receive_control(shared: Arc<Shared>) {
    let mut buffer = vec![0; 65_536];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = receive(&shared.control_socket, &mut buffer).await;
        let now_ms = shared.now_ms();
        match NodeMessage::decode(&buffer[..length]) {
            Some(NodeMessage::Status(status)) => {
                shared.handle_agent_status(status).await;
            }
            Some(NodeMessage::FlowFound { flow, holder, is_confirmed }) => {
                shared.state().flow_locations.record_holder(flow, holder, is_confirmed, now_ms);
                balancer_waiting::release_flow(&shared, &flow, &mut out).await;
            }
            Some(NodeMessage::Returned(returned)) => {
                balancer_forwarding::handle_returned_segment(&shared, returned, &mut out).await;
            }
            Some(NodeMessage::Balancer(message)) => {
                shared.handle_gossip(message).await;
            }
            Some(NodeMessage::Probe(_)) | None => {
                log_event!(
                    Event::CallFailed,
                    "dropped a control datagram of {length} bytes: expected a message to a balancer"
                );
            }
        }
    }
}

/// Runs everything that is due at a certain time, until the process ends.
async fn run_timers(shared: Arc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last_probe_round_ms, mut last_state_ms, mut last_sweep_ms) = (0, 0, 0);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shared.probe_notify.notified() => {}
        }
        let now_ms = shared.now_ms();
        shared.handle_stall(now_ms);
        let is_probe_round = now_ms - last_probe_round_ms >= PROBE_INTERVAL_MS;
        if is_probe_round {
            last_probe_round_ms = now_ms;
        }
        shared.update_knows_all_agents();
        shared.send_due_probes(is_probe_round).await;
        let is_state_due = now_ms - last_state_ms >= STATE_INTERVAL_MS;
        if is_state_due {
            last_state_ms = now_ms;
            shared.check_timeouts(now_ms).await;
            shared.send_periodic_state().await;
        }
        if is_state_due || shared.is_bootstrapping(now_ms) {
            shared.request_full_states().await;
        }
        if !shared.state().waiting_segments.is_empty() {
            shared.release_notify.notify_one();
        }
        if now_ms - last_sweep_ms >= SWEEP_INTERVAL_MS {
            last_sweep_ms = now_ms;
            expire_idle_state(&shared, now_ms);
            shared.release_held_zones(now_ms);
        }
    }
}

/// Drops idle flows, and agents and balancers that were not seen for long.
fn expire_idle_state(shared: &Shared, now_ms: u64) {
    let mut state = shared.state();
    let idle_ms = state
        .routing
        .configuration()
        .map_or(u64::MAX, |configuration| configuration.idle_timeout_ms);
    state.flow_locations.expire(now_ms, idle_ms);
    let expired_agents: Vec<SocketAddrV4> =
        state.targets.not_seen_for(AGENT_EXPIRY_MS, now_ms).collect();
    for data in expired_agents {
        state.targets.remove_unless_alive(data, now_ms);
    }
    shared.peers().expire(now_ms);
}
