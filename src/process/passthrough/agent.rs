//! Agent daemon for passed-through flows: its sockets, its tasks, and its status messages to balancers.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::connection::target_gate::TargetPhase;
use crate::connection::target_health::HealthChange;
use crate::connection::target_pace::EstimateChange;
use crate::connection::target_report::ReportOutcome;
use crate::connection::target_report::TargetReport;
use crate::error::Error;
use crate::error::Result;
use crate::log_event;
use crate::process::admin;
use crate::process::clock::BootTimeClock;
use crate::process::clock::Clock;
use crate::process::clock::generate_incarnation;
use crate::process::daemon::run_single_threaded;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::process::passthrough::Platform;
use crate::process::passthrough::Readiness;
use crate::process::passthrough::TARGETS_PREFIX;
use crate::process::passthrough::TargetReportHandler;
use crate::process::passthrough::agent_forwarding;
use crate::process::passthrough::agent_introduction;
use crate::process::passthrough::agent_state::AgentState;
use crate::process::passthrough::datagrams::MAX_DATAGRAM_BYTES;
use crate::process::passthrough::datagrams::bind;
use crate::process::passthrough::datagrams::receive;
use crate::process::passthrough::datagrams::send_to_all;
use crate::process::passthrough::message::NodeMessage;
use crate::process::passthrough::metrics;
use crate::process::passthrough::metrics::MetricsSource;
use crate::process::passthrough::metrics::PassthroughMetrics;
use crate::process::passthrough::seeds::Seeds;
use crate::process::passthrough::settings::PassthroughAgentSettings;
use crate::process::passthrough::target_presence;
use crate::process::signals;
use crate::version::target_status::TargetStatus;

/// Interval of the periodic task.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a probe from any balancer, in milliseconds, after which the status is sent to the seeds and
/// to the balancers registered in the store. Balancers probe every 300 ms.
const PROBE_TIMEOUT_MS: u64 = 2_000;

/// Time between the two status messages that an agent sends when it stops.
const STOP_STATUS_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two status messages to the seeds during the first [`STARTUP_MS`] without a probe, in
/// milliseconds.
const STARTUP_STATUS_INTERVAL_MS: u64 = 500;

/// Time after the start of an agent, in milliseconds, in which it sends its status to the seeds more often.
const STARTUP_MS: u64 = 3_000;

/// Time since its last probe, in milliseconds, after which a balancer gets no more status messages.
const BALANCER_EXPIRY_MS: u64 = 5_000;

/// State that the tasks of an agent share.
pub(super) struct Shared {
    pub(super) settings: PassthroughAgentSettings,
    pub(super) seeds: Seeds,
    pub(super) platform: Platform,
    clock: BootTimeClock,
    /// Sequence number of the next status message.
    sequence: AtomicU64,
    state: Mutex<AgentState>,
    /// Balancers by control address, with the time of their last probe in milliseconds.
    balancers: Mutex<IndexMap<SocketAddrV4, u64>>,
    is_stopping: AtomicBool,
    /// Wakes the task that sends the status to all balancers.
    pub(super) status_changed: Notify,
    /// Wakes the task that introduces the agent to the balancers.
    pub(super) introduction_due: Notify,
    /// Wakes the task that checks the target's process.
    pub(super) check_due: Notify,
    pub(super) metrics: PassthroughMetrics,
    pub(super) data_socket: UdpSocket,
    pub(super) control_socket: UdpSocket,
    pub(super) target_socket: UdpSocket,
}

/// Runs an agent until it receives a stop signal.
pub fn run(settings: PassthroughAgentSettings, platform: Platform) -> Result<()> {
    run_single_threaded(serve(settings, platform))
}

async fn serve(settings: PassthroughAgentSettings, platform: Platform) -> Result<()> {
    let clock = BootTimeClock::new();
    // After `address_reuse_ms` the target's address may belong to another service; a tenth is the margin.
    let target_timeout_ms = settings.address_reuse_ms - settings.address_reuse_ms / 10;
    let shared = Arc::new(Shared {
        sequence: AtomicU64::new(0),
        state: Mutex::new(
            AgentState::new(generate_incarnation(), target_timeout_ms, clock.now_ms())
                .with_data_address(settings.node.data_address)
                .with_request_order(settings.request_order),
        ),
        clock,
        balancers: Mutex::default(),
        is_stopping: AtomicBool::new(false),
        status_changed: Notify::new(),
        introduction_due: Notify::new(),
        check_due: Notify::new(),
        metrics: PassthroughMetrics::new(),
        data_socket: bind(settings.node.data_address).await?,
        control_socket: bind(settings.node.control_address).await?,
        target_socket: bind(settings.from_target_address).await?,
        seeds: Seeds::new(&settings.node, |path| Ok(PassthroughAgentSettings::read(path)?.node)),
        settings,
        platform,
    });
    let node = &shared.settings.node;
    log_event!(Event::Started, "role=agent node={} zone={}", node.node, node.availability_zone);
    let http_endpoints = shared.platform.http_endpoints.clone();
    let readiness: Arc<dyn Readiness> = shared.clone();
    let targets: Arc<dyn TargetReportHandler> = shared.clone();
    admin::start_with_routes(shared.settings.announce_address, |server| {
        http_endpoints.with_target_reports(server, targets)
    })
    .await?;
    admin::start_with_routes(node.ready_address, |server| {
        http_endpoints.with_readiness(server, readiness)
    })
    .await?;
    if let Some(address) = node.metrics_address {
        let source: Arc<dyn MetricsSource> = shared.clone();
        admin::start_with_routes(address, |server| metrics::mount(server, source)).await?;
    }
    tokio::spawn(agent_forwarding::receive_from_nodes(Arc::clone(&shared)));
    tokio::spawn(agent_forwarding::receive_from_target(Arc::clone(&shared)));
    tokio::spawn(receive_control(Arc::clone(&shared)));
    tokio::spawn(send_status_on_change(Arc::clone(&shared)));
    tokio::spawn(run_timers(Arc::clone(&shared)));
    tokio::spawn(target_presence::monitor(Arc::clone(&shared)));
    tokio::spawn(agent_introduction::register(Arc::clone(&shared)));
    let reloader = Arc::clone(&shared);
    tokio::spawn(async move { reloader.seeds.reload_on_signal().await });
    signals::wait_for_stop_signal().await.map_err(|source| Error::Runtime { source })?;
    stop(&shared).await;
    Ok(())
}

/// Stops at once, without draining: the flows stay at the target, and make no progress while no agent runs.
async fn stop(shared: &Shared) {
    shared.is_stopping.store(true, Ordering::Relaxed);
    // A target that has ended holds no flow: the status says so, and balancers do not wait for this agent to
    // restart.
    target_presence::check_process(shared).await;
    shared.send_status_to_all().await;
    // Sent twice, as a datagram may be lost, and a balancer without it would search for the flows elsewhere.
    sleep(STOP_STATUS_INTERVAL).await;
    shared.send_status_to_all().await;
    if shared.state().gate.has_ended() {
        let key = shared.store_key();
        let removal = shared.platform.store.remove(&[], &key);
        if let Err(error) = removal.await {
            shared.metrics.note_store_failure("remove", &error);
        }
    }
    log_event!(Event::Stopped);
}

impl Shared {
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The state, for an input at the current time.
    pub(super) fn state(&self) -> MutexGuard<'_, AgentState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stall_ms) = state.note_time(self.now_ms()) {
            log_event!(Event::ProcessStalled, "for_ms={stall_ms}");
        }
        state
    }

    pub(super) fn balancers(&self) -> MutexGuard<'_, IndexMap<SocketAddrV4, u64>> {
        self.balancers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Key of this agent's entry in the store.
    pub(super) fn store_key(&self) -> String {
        format!("{TARGETS_PREFIX}{}", self.settings.node.data_address)
    }

    /// The status for these balancers.
    fn status(&self, balancers: &[SocketAddrV4]) -> NodeMessage {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let phase = state.phase_to_report(balancers, now_ms);
        let report = state.gate.current_report();
        NodeMessage::Status(TargetStatus {
            data: self.settings.node.data_address,
            control: self.settings.node.control_address,
            incarnation: state.introduction.incarnation(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            zone: self.settings.node.availability_zone.clone(),
            service: report.map_or_else(String::new, |report| report.service.clone()),
            phase,
            slots: report.map_or(0, |report| report.slots),
            flows: state.flows.open_count(),
            busy: state.busy_count(),
            is_stopping: self.is_stopping.load(Ordering::Relaxed),
            instance: state.instance_to_report(now_ms),
            load_by_priority: state.load_by_priority(),
            service_time_us: state.pace.service_time_us(),
            is_failing: state.health.is_reported_failing(),
        })
    }

    fn set_gauges(&self, state: &AgentState) {
        let metrics = &self.metrics;
        metrics.flows.set(i64::from(state.flows.open_count()));
        metrics.busy_flows.set(i64::from(state.busy_count()));
        metrics.queued_requests.set(to_gauge(state.queued_count()));
        metrics.queued_bytes.set(to_gauge(state.queued_bytes()));
        metrics.expected_service_ms.set(to_gauge(state.expected_service_time_ms()));
        metrics.failing_targets.set(i64::from(state.health.is_failing()));
        metrics.error_answers.set(to_gauge(state.health.error_count()));
        metrics.service_time_us.set(i64::from(state.pace.service_time_us()));
        metrics.opening_limit.set(i64::from(state.pace.opening_limit()));
        metrics.target_queries.set(to_gauge(state.target_queries()));
    }

    /// Counts and logs that the target has become failing or has recovered.
    fn record_health_change(&self, change: HealthChange) {
        let HealthChange { is_failing, reason, zone } = change;
        let reason = reason.as_str();
        let counter = if is_failing {
            &self.metrics.target_failures
        } else {
            &self.metrics.target_recoveries
        };
        count(counter, reason);
        let zone = zone.map_or_else(|| "all".to_owned(), |zone| format!("{zone:08x}"));
        log_event!(
            Event::TargetHealthChanged,
            "failing={is_failing} reason={reason} callers_zone={zone}"
        );
    }

    async fn send_status_to_all(&self) {
        let balancers: Vec<SocketAddrV4> = self.balancers().keys().copied().collect();
        self.send_status(&balancers).await;
    }

    pub(super) async fn send_status(&self, balancers: &[SocketAddrV4]) {
        let status = self.status(balancers);
        send_to_all(&self.control_socket, &status.encode(), balancers).await;
    }
}

impl MetricsSource for Shared {
    fn metrics_text(&self) -> String {
        self.set_gauges(&self.state());
        self.metrics.set_eras(self.platform.store.eras());
        self.metrics.text()
    }
}

fn to_gauge(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}

impl Readiness for Shared {
    fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Relaxed)
    }
}

impl TargetReportHandler for Shared {
    fn report(&self, report: TargetReport) -> ReportOutcome {
        let now_ms = self.now_ms();
        let details = format!(
            "target={} started_ms={} service={} leaving={} cold_remaining_ms={} sequence={}",
            report.id,
            report.started_ms,
            report.service,
            report.is_leaving,
            report.cold_remaining_ms,
            report.sequence
        );
        let outcome = self.state().apply_report(report, now_ms);
        count(&self.metrics.target_reports, outcome.as_str());
        match outcome {
            ReportOutcome::Same => {}
            ReportOutcome::Ignored(reason) => {
                log_event!(Event::ReportIgnored, "reason={} {details}", reason.as_str());
                // An instance that is not proved to run restricts the openings.
                self.status_changed.notify_one();
            }
            ReportOutcome::NewLife | ReportOutcome::Replaced | ReportOutcome::Changed => {
                log_event!(Event::TargetAnnounced, "{details} outcome={outcome:?}");
                self.status_changed.notify_one();
                self.introduction_due.notify_one();
            }
        }
        outcome
    }

    fn leave(&self, id: &str, started_ms: Option<u64>) {
        let outcome = self.state().note_leave(id, started_ms);
        count(&self.metrics.leave_calls, outcome.as_str());
        log_event!(
            Event::TargetLeaving,
            "target={id} started_ms={started_ms:?} outcome={outcome:?}"
        );
        self.check_due.notify_one();
        self.status_changed.notify_one();
    }

    fn note_malformed_report(&self, message: &str) {
        log_event!(Event::ReportMalformed, "{message}");
    }
}

async fn receive_control(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = receive(&shared.control_socket, &mut buffer).await;
        let Some(NodeMessage::Probe(probe)) = NodeMessage::decode(&buffer[..length]) else {
            log_event!(
                Event::CallFailed,
                "dropped a control datagram of {length} bytes: expected a probe"
            );
            continue;
        };
        let now_ms = shared.now_ms();
        shared.balancers().insert(probe.balancer, now_ms);
        let has_new_phase = {
            let mut state = shared.state();
            // An earlier process had a clock that was ahead.
            if probe.known_incarnation > state.introduction.incarnation() {
                state.introduction.raise_incarnation(probe.known_incarnation.saturating_add(1));
                shared.status_changed.notify_one();
            }
            let old_phase = state.phase(now_ms);
            state.apply_probe(&probe, now_ms);
            state.phase(now_ms) != old_phase
        };
        if has_new_phase {
            shared.status_changed.notify_one();
        }
        shared.send_status(&[probe.balancer]).await;
    }
}

async fn send_status_on_change(shared: Arc<Shared>) {
    loop {
        shared.status_changed.notified().await;
        shared.send_status_to_all().await;
    }
}

async fn run_timers(shared: Arc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let started_ms = shared.now_ms();
    let mut seeds_notified_ms = 0;
    let mut phase = TargetPhase::Unknown;
    let mut out = Vec::new();
    loop {
        ticks.tick().await;
        let now_ms = shared.now_ms();
        let (new_phase, health_change, pace_change) = {
            let mut state = shared.state();
            state.expire(now_ms);
            (state.phase(now_ms), state.health.take_change(), state.pace.take_change())
        };
        shared.carry_out_queue_events(&mut out).await;
        if let Some(EstimateChange { before_us, after_us }) = pace_change {
            log_event!(Event::ServiceTimeChanged, "service_time_us={after_us} before={before_us}");
        }
        if let Some(change) = health_change {
            shared.record_health_change(change);
            shared.status_changed.notify_one();
        }
        if new_phase != phase {
            log_event!(Event::TargetChanged, "phase={new_phase:?} before={phase:?}");
            phase = new_phase;
            shared.send_status_to_all().await;
            shared.introduction_due.notify_one();
        }
        let is_probe_overdue = {
            let mut balancers = shared.balancers();
            balancers.retain(|_, last_probe_ms| {
                now_ms.saturating_sub(*last_probe_ms) < BALANCER_EXPIRY_MS
            });
            !balancers
                .values()
                .any(|last_probe_ms| now_ms.saturating_sub(*last_probe_ms) < PROBE_TIMEOUT_MS)
        };
        let is_starting = now_ms - started_ms < STARTUP_MS;
        let interval_ms = if is_starting { STARTUP_STATUS_INTERVAL_MS } else { PROBE_TIMEOUT_MS };
        if is_probe_overdue && now_ms.saturating_sub(seeds_notified_ms) >= interval_ms {
            let is_first_round = seeds_notified_ms == 0;
            seeds_notified_ms = now_ms;
            agent_introduction::send_status_to_seeds(&shared).await;
            // At the start, `agent_introduction::register` contacts the registered balancers itself.
            if !is_first_round {
                tokio::spawn(agent_introduction::send_status_to_registered(Arc::clone(&shared)));
            }
        }
    }
}
