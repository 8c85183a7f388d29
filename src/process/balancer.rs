//! The balancer process: forwards datagrams, holds the cluster records and spreads them by gossip.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use prost::Message;
use rand::Rng;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use tokio::time::sleep;

use crate::error::Result;
use crate::error::SocketSnafu;
use crate::log_event;
use crate::process::admin;
use crate::process::admin::AdminView;
use crate::process::agent_reports::failure_label;
use crate::process::clock::Clock;
use crate::process::clock::MonotonicClock;
use crate::process::clock::generate_incarnation;
use crate::process::control::ControlEndpoint;
use crate::process::control::ControlHandler;
use crate::process::etcd::EtcdStore;
use crate::process::events::Event;
use crate::process::forwarder::Forwarder;
use crate::process::forwarder::SharedForwardingTable;
use crate::process::keys::read_cluster_keys;
use crate::process::metrics::BalancerMetrics;
use crate::process::metrics::ReasonLabel;
use crate::process::metrics::count;
use crate::process::settings::BalancerSettings;
use crate::process::signals;
use crate::process::store::Store;
use crate::process::store_reader;
use crate::process::tls;
use crate::process::trace::Trace;
use crate::version::peer::GossipCounts;
use crate::version::peer::GossipState;
use crate::version::peer::OutgoingCall;
use crate::version::record::BalancerRecord;
use crate::version::table::ForwardingTable;
use crate::wire::ControlRequest;
use crate::wire::ControlResponse;

/// Interval at which the timers of the gossip state are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a message from other balancers or the store after which a balancer is isolated and
/// not ready, in milliseconds.
const ISOLATION_TIMEOUT_MS: u64 = 8_000;

/// Time without a received datagram after which a stopping balancer exits.
const IDLE_BEFORE_STOP: Duration = Duration::from_millis(1_000);

/// State that the tasks of one balancer share.
pub struct BalancerShared {
    settings: BalancerSettings,
    metrics: Arc<BalancerMetrics>,
    clock: Box<dyn Clock>,
    trace: Trace,
    gossip: Mutex<GossipState>,
    control: Arc<ControlEndpoint>,
    table: SharedForwardingTable,
    /// Version of the records and number of draining zones that `table` was built from.
    table_version: AtomicU64,
    /// Time of the last response of the store.
    store_last_seen_ms: AtomicU64,
    stopping: AtomicBool,
}

impl BalancerShared {
    /// Returns the settings of the balancer.
    pub fn settings(&self) -> &BalancerSettings {
        &self.settings
    }

    /// Returns the metrics of the balancer.
    pub fn metrics(&self) -> &BalancerMetrics {
        &self.metrics
    }

    /// Reads the gossip state under its lock.
    pub fn with_gossip<T>(&self, read: impl FnOnce(&GossipState) -> T) -> T {
        read(&self.gossip.lock().expect("lock is not poisoned"))
    }

    /// Updates the gossip state under its lock. If this changes the records or the draining zones,
    /// it replaces the forwarding table.
    pub fn update_gossip<T>(&self, change: impl FnOnce(&mut GossipState) -> T) -> T {
        let mut gossip = self.gossip.lock().expect("lock is not poisoned");
        let before = gossip.counts();
        let result = change(&mut gossip);
        self.count_changes(before, gossip.counts());
        let draining = gossip.draining_zones();
        // The table depends on the draining zones too. A zone starts to drain with a changed record;
        // when it ends draining, only the number of draining zones changes.
        let version = gossip.records().version() << 8 | draining.len() as u64;
        if self.table_version.swap(version, Ordering::Relaxed) != version {
            let table = Arc::new(ForwardingTable::new(gossip.records(), &draining));
            *self.table.write().expect("lock is not poisoned") = table;
            self.metrics.records_held.set(gossip.records().len() as i64);
        }
        result
    }

    /// Records that the store has responded now.
    pub fn note_store_response(&self) {
        self.store_last_seen_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }

    fn count_changes(&self, before: GossipCounts, after: GossipCounts) {
        let changes = [
            ("taken", after.applied - before.applied),
            ("stale", after.stale - before.stale),
            ("full", after.full - before.full),
            ("malformed", after.malformed - before.malformed),
            ("target-lost", after.targets_lost - before.targets_lost),
            ("balancer-lost", after.balancers_lost - before.balancers_lost),
        ];
        for (reason, change) in changes.into_iter().filter(|(_, change)| *change > 0) {
            let label = ReasonLabel { reason };
            self.metrics.records_by_outcome.get_or_create(&label).inc_by(change);
        }
        if after.targets_lost > before.targets_lost {
            log_event!(Event::TargetLost, "count={}", after.targets_lost - before.targets_lost);
        }
        if after.balancers_lost > before.balancers_lost {
            let count = after.balancers_lost - before.balancers_lost;
            log_event!(Event::BalancerLost, "count={count}");
        }
    }

    /// Whether other balancers are known, but neither they nor the store have sent a message for
    /// `ISOLATION_TIMEOUT_MS`.
    fn is_isolated(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let store_last_seen_ms = self.store_last_seen_ms.load(Ordering::Relaxed);
        self.with_gossip(|gossip| {
            let own_address = self.settings.control_address;
            let knows_others =
                gossip.records().balancers().any(|other| other.control != own_address);
            let last_seen_ms = store_last_seen_ms.max(gossip.balancer_last_seen_ms().unwrap_or(0));
            knows_others && now_ms.saturating_sub(last_seen_ms) >= ISOLATION_TIMEOUT_MS
        })
    }

    async fn spawn_calls(self: Arc<Self>, control: Arc<ControlEndpoint>, calls: Vec<OutgoingCall>) {
        for call in calls {
            let shared = Arc::clone(&self);
            let control = Arc::clone(&control);
            tokio::spawn(async move { shared.perform_call(control, call).await });
        }
    }

    async fn perform_call(self: Arc<Self>, control: Arc<ControlEndpoint>, call: OutgoingCall) {
        let mut pending = vec![call];
        while let Some(call) = pending.pop() {
            self.metrics.control_sent_messages.inc();
            self.metrics.control_sent_bytes.inc_by(call.request.encoded_len() as u64);
            match control.call(call.to, &call.request).await {
                Ok(response) => {
                    let now_ms = self.clock.now_ms();
                    self.write_trace("answered", now_ms, &response.encode_to_vec());
                    pending.extend(
                        self.update_gossip(|gossip| {
                            gossip.handle_response(now_ms, &call, &response)
                        }),
                    );
                }
                Err(error) => {
                    count(&self.metrics.call_failures, failure_label(&error));
                    log_event!(Event::CallFailed, "peer={} {error}", call.to);
                    let now_ms = self.clock.now_ms();
                    pending
                        .extend(self.update_gossip(|gossip| gossip.handle_failure(now_ms, &call)));
                }
            }
        }
    }

    fn write_trace(&self, input: &str, at_ms: u64, bytes: &[u8]) {
        if self.trace.is_enabled() {
            let line = json!({"at_ms": at_ms, "input": input, "bytes": STANDARD.encode(bytes)});
            self.trace.write(&line);
        }
    }
}

impl ControlHandler for BalancerShared {
    fn handle_request(&self, request: &ControlRequest) -> ControlResponse {
        let response = self.update_gossip(|gossip| {
            let now_ms = self.clock.now_ms();
            self.write_trace("request", now_ms, &request.encode_to_vec());
            gossip.handle_request(now_ms, request)
        });
        self.metrics.control_sent_messages.inc();
        self.metrics.control_sent_bytes.inc_by(response.encoded_len() as u64);
        response
    }

    fn note_malformed_message(&self) {
        self.metrics.malformed_messages.inc();
    }
}

impl AdminView for BalancerShared {
    fn unready_reason(&self) -> Option<String> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("stopping".to_owned());
        }
        let zone = &self.settings.availability_zone;
        let (configured, zone_out) =
            self.with_gossip(|gossip| (gossip.is_configured(), gossip.records().is_zone_out(zone)));
        if !configured {
            return Some("no configuration yet".to_owned());
        }
        if zone_out {
            return Some("availability zone is out".to_owned());
        }
        self.is_isolated().then(|| "cut off from other balancers and the store".to_owned())
    }

    fn metrics(&self) -> String {
        self.metrics.text()
    }

    fn status(&self) -> Value {
        let unready_reason = self.unready_reason();
        let mut status =
            self.with_gossip(|gossip| status_of(gossip, &self.settings, unready_reason));
        let traffic = self.control.traffic();
        status["control_sent_bytes"] = json!(traffic.sent_bytes);
        status["control_received_bytes"] = json!(traffic.received_bytes);
        status
    }
}

fn status_of(
    gossip: &GossipState,
    settings: &BalancerSettings,
    unready_reason: Option<String>,
) -> Value {
    let records = gossip.records();
    let targets: Vec<Value> = records
        .targets()
        .map(|target| {
            json!({
                "agent": target.data.to_string(),
                "service": target.service,
                "availability_zone": target.zone,
                "phase": format!("{:?}", target.phase).to_lowercase(),
                "lost": target.lost,
                "slots": target.slots,
                "connections": target.connections,
            })
        })
        .collect();
    let monitored_agents: Vec<Value> = gossip
        .heartbeat_monitor()
        .monitored()
        .map(|(target, digest)| {
            let expected = gossip.agent_configuration_digest(target);
            json!({"agent": target.to_string(), "lags": expected != Some(digest)})
        })
        .collect();
    let balancers: Vec<Value> = records
        .live_balancers()
        .map(|balancer| {
            json!({
                "control": balancer.control.to_string(),
                "admin": balancer.admin.to_string(),
                "availability_zone": balancer.zone,
            })
        })
        .collect();
    json!({
        "role": "balancer",
        "node": settings.control_address.to_string(),
        "availability_zone": settings.availability_zone,
        "unready_reason": unready_reason,
        "configuration_revision": records.configuration_revision(),
        "configuration_digest": format!("{:016x}", records.configuration_digest()),
        "balancers": balancers,
        "targets": targets,
        "kept": monitored_agents,
    })
}

/// Runs a balancer until a signal stops it.
pub async fn run(settings: BalancerSettings) -> Result<()> {
    let keys = read_cluster_keys(&settings.keys_file)?;
    let node = tls::mutual_tls_configs(&settings.tls)?;
    let trace = Trace::new(settings.trace_path.as_deref())?;
    let metrics = Arc::new(BalancerMetrics::new());
    let table = SharedForwardingTable::default();
    let forwarder = Forwarder::new(Arc::clone(&table), keys.tag_keys, Arc::clone(&metrics));
    let control = ControlEndpoint::new(settings.control_address, node)?;
    forwarder.start(settings.data_address, settings.forward_threads)?;
    let store: Arc<dyn Store> = Arc::new(EtcdStore::new(&settings.store_endpoints));
    let gossip = GossipState::new(own_record(&settings), &settings.seeds);
    let shared = Arc::new(BalancerShared {
        metrics,
        clock: Box::new(MonotonicClock::new()),
        trace,
        gossip: Mutex::new(gossip),
        control: Arc::clone(&control),
        table,
        table_version: AtomicU64::new(0),
        store_last_seen_ms: AtomicU64::new(0),
        stopping: AtomicBool::new(false),
        settings,
    });
    let view: Arc<dyn AdminView> = Arc::clone(&shared) as Arc<dyn AdminView>;
    let admin = admin::start(shared.settings.admin_address, view, |server| server).await?;

    log_event!(Event::Started, "balancer control={}", shared.settings.control_address);
    let handler: Arc<dyn ControlHandler> = Arc::clone(&shared) as Arc<dyn ControlHandler>;
    tokio::spawn(Arc::clone(&control).serve(handler));
    tokio::spawn(tick(Arc::clone(&shared), Arc::clone(&control)));
    tokio::spawn(store_reader::run(Arc::clone(&shared), Arc::clone(&store)));
    tokio::spawn(store_reader::publish_contact(Arc::clone(&shared), store));
    let address = SocketAddr::V4(shared.settings.control_address);
    signals::wait_for_stop_signal().await.context(SocketSnafu { address })?;
    stop(&shared, &forwarder).await;
    control.close().await;
    admin.shut_down();
    log_event!(Event::Stopped);
    Ok(())
}

fn own_record(settings: &BalancerSettings) -> BalancerRecord {
    BalancerRecord {
        control: settings.control_address,
        incarnation: generate_incarnation(),
        sequence: 0,
        lost: false,
        zone: settings.availability_zone.clone(),
        admin: settings.admin_address,
        gone: false,
    }
}

async fn tick(shared: Arc<BalancerShared>, control: Arc<ControlEndpoint>) {
    let mut last_unready_reason = None;
    let mut last_revision = 0;
    loop {
        let random = rand::rng().random();
        let now_ms = shared.clock.now_ms();
        let calls = shared.update_gossip(|gossip| gossip.tick(now_ms, random));
        Arc::clone(&shared).spawn_calls(Arc::clone(&control), calls).await;
        log_changes(&shared, &mut last_unready_reason, &mut last_revision);
        sleep(TICK_INTERVAL).await;
    }
}

fn log_changes(
    shared: &BalancerShared,
    last_unready_reason: &mut Option<String>,
    last_revision: &mut u64,
) {
    let now = Some(shared.unready_reason().unwrap_or_default());
    if *last_unready_reason != now {
        log_event!(Event::ReadinessChanged, "unready_reason={:?}", now.as_deref().unwrap_or(""));
        *last_unready_reason = now;
    }
    let now = shared.with_gossip(|gossip| gossip.records().configuration_revision());
    if *last_revision != now {
        log_event!(Event::ConfigurationChanged, "revision={now}");
        *last_revision = now;
    }
}

/// Performs a graceful shutdown: reports itself as not ready, and goes on forwarding until the fabric
/// sends no more datagrams or `stop_ms` has passed.
async fn stop(shared: &Arc<BalancerShared>, forwarder: &Forwarder) {
    shared.stopping.store(true, Ordering::Relaxed);
    shared.update_gossip(GossipState::announce_shutdown);
    let until_ms = shared.clock.now_ms() + shared.settings.stop_ms;
    loop {
        let received_before = forwarder.received();
        sleep(IDLE_BEFORE_STOP).await;
        let is_idle = forwarder.received() == received_before;
        if is_idle || shared.clock.now_ms() >= until_ms {
            break;
        }
    }
    forwarder.stop();
}
