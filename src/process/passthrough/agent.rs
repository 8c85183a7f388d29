//! The agent daemon for passed-through flows.

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
use indexmap::IndexSet;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::connection::flow_key::FlowKey;
use crate::connection::segment::Segment;
use crate::connection::segment::Sender;
use crate::connection::target_gate::Refused;
use crate::connection::target_gate::ReportOutcome;
use crate::connection::target_gate::TargetPhase;
use crate::connection::target_gate::TargetReport;
use crate::error::Error;
use crate::error::Result;
use crate::log_event;
use crate::process::admin;
use crate::process::clock::BootClock;
use crate::process::clock::Clock;
use crate::process::events::Event;
use crate::process::metrics::count;
use crate::process::passthrough::BALANCERS_PREFIX;
use crate::process::passthrough::Platform;
use crate::process::passthrough::Readiness;
use crate::process::passthrough::TARGETS_PREFIX;
use crate::process::passthrough::TargetAnnouncements;
use crate::process::passthrough::agent_state::AgentState;
use crate::process::passthrough::agent_state::Step;
use crate::process::passthrough::balancer::bind;
use crate::process::passthrough::balancer::send;
use crate::process::passthrough::message::NodeMessage;
use crate::process::passthrough::message::Returned;
use crate::process::passthrough::metrics;
use crate::process::passthrough::metrics::MetricsSource;
use crate::process::passthrough::metrics::PassthroughMetrics;
use crate::process::passthrough::registration;
use crate::process::passthrough::registration::NodeEntry;
use crate::process::passthrough::seeds::Seeds;
use crate::process::passthrough::settings::PassthroughAgentSettings;
use crate::process::passthrough::way;
use crate::process::signals;
use crate::process::store::StoreError;
use crate::version::target_table::TargetStatus;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Time between two looks at the clock; a jump of [`STALL_MS`] between them is a stall.
const TICK: Duration = Duration::from_millis(250);

/// Time that a tick may be late, in milliseconds, before what is held counts as old.
const STALL_MS: u64 = 750;

/// Silence of all balancers, in milliseconds, after which the seeds are told again and the entry in
/// the store is written again. Balancers probe each 300 ms.
const UNPROBED_MS: u64 = 2_000;

/// Time between the two farewells of an agent that stops.
const FAREWELL_PAUSE: Duration = Duration::from_millis(20);

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Time between two rounds of telling, in milliseconds, in the first seconds of an agent.
const INTRODUCTION_MS: u64 = 500;

/// How long an agent counts as new, in milliseconds.
const NEW_MS: u64 = 3_000;

/// Time between two rounds of telling balancers that may not know of this agent: a third of the time
/// that they have.
const INTRODUCTION_PAUSE: Duration = Duration::from_millis(80);

/// First and longest wait after a failed read of the balancers, in milliseconds.
const BALANCERS_RETRY_MS: (u64, u64) = (100, 1_000);

/// How long a balancer that does not probe is still told of changes, in milliseconds.
const BALANCER_SILENCE_MS: u64 = 5_000;

struct Shared {
    settings: PassthroughAgentSettings,
    seeds: Seeds,
    platform: Platform,
    clock: BootClock,
    lifetime: u64,
    sequence: AtomicU64,
    state: Mutex<AgentState>,
    balancers: Mutex<IndexMap<SocketAddrV4, u64>>,
    is_stopping: AtomicBool,
    changed: Notify,
    metrics: PassthroughMetrics,
    data: UdpSocket,
    control: UdpSocket,
    from_target: UdpSocket,
}

/// Runs an agent until it is told to stop.
pub fn run(settings: PassthroughAgentSettings, platform: Platform) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| Error::Runtime { source })?;
    runtime.block_on(serve(settings, platform))
}

async fn serve(settings: PassthroughAgentSettings, platform: Platform) -> Result<()> {
    let clock = BootClock::new();
    // The address may belong to another service from then on; a tenth is the margin.
    let silence_ms = settings.address_reuse_ms - settings.address_reuse_ms / 10;
    let shared = Arc::new(Shared {
        lifetime: rand::rng().random(),
        sequence: AtomicU64::new(0),
        state: Mutex::new(AgentState::new(silence_ms, clock.now_ms())),
        clock,
        balancers: Mutex::default(),
        is_stopping: AtomicBool::new(false),
        changed: Notify::new(),
        metrics: PassthroughMetrics::new(),
        data: bind(settings.node.data_address).await?,
        control: bind(settings.node.control_address).await?,
        from_target: bind(settings.from_target_address).await?,
        seeds: Seeds::new(&settings.node, |path| Ok(PassthroughAgentSettings::read(path)?.node)),
        settings,
        platform,
    });
    let node = &shared.settings.node;
    log_event!(Event::Started, "role=agent node={} zone={}", node.node, node.availability_zone);
    let surface = shared.platform.surface.clone();
    let readiness: Arc<dyn Readiness> = shared.clone();
    let targets: Arc<dyn TargetAnnouncements> = shared.clone();
    admin::start_bare(shared.settings.announce_address, |server| {
        surface.with_announcements(server, targets)
    })
    .await?;
    admin::start_bare(node.ready_address, |server| surface.with_readiness(server, readiness))
        .await?;
    if let Some(address) = node.metrics_address {
        let source: Arc<dyn MetricsSource> = shared.clone();
        admin::start_bare(address, |server| metrics::mount(server, source)).await?;
    }
    tokio::spawn(read_nodes(Arc::clone(&shared)));
    tokio::spawn(read_target(Arc::clone(&shared)));
    tokio::spawn(read_control(Arc::clone(&shared)));
    tokio::spawn(tell_changes(Arc::clone(&shared)));
    tokio::spawn(tick(Arc::clone(&shared)));
    tokio::spawn(register(Arc::clone(&shared)));
    let reloading = Arc::clone(&shared);
    tokio::spawn(async move { reloading.seeds.reload_on_signal().await });
    signals::wait_for_stop().await.map_err(|source| Error::Runtime { source })?;
    stop(&shared).await;
    Ok(())
}

/// Ends at once: while no agent runs, the target's flows stand still.
async fn stop(shared: &Shared) {
    shared.is_stopping.store(true, Ordering::Relaxed);
    shared.tell_balancers().await;
    // Datagrams are lost at times, and this one keeps balancers from searching elsewhere.
    sleep(FAREWELL_PAUSE).await;
    shared.tell_balancers().await;
    if shared.state().gate.has_ended() {
        let key = shared.entry_key();
        let removal = shared.platform.store.remove(&[], &key);
        if let Err(error) = removal.await {
            shared.metrics.note_store_failure("remove", &error);
        }
    }
    log_event!(Event::Stopped);
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    fn state(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn balancers(&self) -> MutexGuard<'_, IndexMap<SocketAddrV4, u64>> {
        self.balancers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn entry_key(&self) -> String {
        format!("{TARGETS_PREFIX}{}", self.settings.node.data_address)
    }

    fn status(&self) -> NodeMessage {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let phase = state.phase(now_ms);
        let known = state.gate.known();
        NodeMessage::Status(TargetStatus {
            data: self.settings.node.data_address,
            control: self.settings.node.control_address,
            lifetime: self.lifetime,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            zone: self.settings.node.availability_zone.clone(),
            service: known.map_or_else(String::new, |report| report.service.clone()),
            phase,
            slots: known.map_or(0, |report| report.slots),
            flows: state.flows.open(),
            busy: state.flows.busy(),
            is_stopping: self.is_stopping.load(Ordering::Relaxed),
        })
    }

    async fn tell_balancers(&self) {
        let balancers: Vec<SocketAddrV4> = self.balancers().keys().copied().collect();
        self.tell(&balancers).await;
    }

    async fn tell(&self, balancers: &[SocketAddrV4]) {
        let message = self.status().encode();
        for balancer in balancers {
            send(&self.control, &message, *balancer).await;
        }
    }

    /// Control addresses of the balancers that the store names.
    async fn registered_balancers(&self) -> Result<IndexSet<SocketAddrV4>, StoreError> {
        let values = self.platform.store.range(BALANCERS_PREFIX).await?.values;
        let mut balancers = IndexSet::new();
        for value in values {
            match NodeEntry::decode(&value.value) {
                Some(entry) => {
                    balancers.insert(entry.control);
                }
                None => log_event!(Event::StoreValueInvalid, "key={}", value.key),
            }
        }
        Ok(balancers)
    }

    async fn tell_found(&self, flow: FlowKey, balancer: SocketAddrV4) {
        let is_confirmed = self.state().flows.is_confirmed(&flow);
        let holder = self.settings.node.data_address;
        let found = NodeMessage::Found { flow, holder, is_confirmed };
        send(&self.control, &found.encode(), balancer).await;
    }

    async fn give_to_caller(&self, datagram: &[u8], flow: &FlowKey) {
        let port = self.settings.node.data_address.port();
        send(&self.data, datagram, SocketAddrV4::new(*flow.caller.ip(), port)).await;
    }

    fn note_refused(&self, refused: Refused, flow: &FlowKey, next: Option<SocketAddrV4>) {
        let reason = refused.as_str();
        count(&self.metrics.refused_openings, reason);
        let next = next.map_or_else(|| "none".to_owned(), |next| next.to_string());
        let details = format!("caller={} route={} next={next}", flow.caller, flow.service);
        log_event!(Event::OpeningRefused, "reason={reason} {details}");
    }

    /// Carries out a decision. `out` is room for a datagram to another agent.
    async fn carry_out(
        &self,
        step: Step,
        segment: &Segment,
        datagram: &mut [u8],
        out: &mut Vec<u8>,
    ) {
        let flow = segment.flow;
        match step {
            Step::GiveToTarget { slot, tell, hops } => {
                count(&self.metrics.segments, "to-target");
                self.metrics.hops.observe(f64::from(hops));
                self.platform.segments.prepare(datagram, slot);
                send(&self.from_target, datagram, self.settings.target_address).await;
                if let Some(balancer) = tell {
                    self.tell_found(flow, balancer).await;
                }
            }
            Step::GiveToCaller { tell, waited_ms } => {
                count(&self.metrics.segments, "to-caller");
                if let Some(waited_ms) = waited_ms {
                    self.metrics.answers_s.observe(waited_ms as f64 / MS_PER_S);
                }
                self.give_to_caller(datagram, &flow).await;
                if let Some(balancer) = tell {
                    self.tell_found(flow, balancer).await;
                }
            }
            Step::PassOn(next, way, refused) => {
                count(&self.metrics.segments, "passed-on");
                if let Some(refused) = refused {
                    self.note_refused(refused, &flow, Some(next));
                }
                self.platform.segments.prepare(datagram, 0);
                way::encode(&way, datagram, out);
                send(&self.data, out, next).await;
            }
            Step::GiveBack { balancer, search, refused } => {
                if let Some(refused) = refused {
                    self.note_refused(refused, &flow, None);
                }
                count(&self.metrics.segments, "given-back");
                self.platform.segments.prepare(datagram, 0);
                let returned = NodeMessage::Returned(Returned {
                    agent: self.settings.node.data_address,
                    search,
                    segment: datagram.to_vec(),
                });
                send(&self.control, &returned.encode(), balancer).await;
            }
            Step::Drop => count(&self.metrics.dropped, "ended"),
        }
    }
}

impl MetricsSource for Shared {
    fn metrics_text(&self) -> String {
        let (flows, busy) = {
            let state = self.state();
            (state.flows.open(), state.flows.busy())
        };
        self.metrics.flows.set(i64::from(flows));
        self.metrics.busy.set(i64::from(busy));
        self.metrics.text()
    }
}

impl Readiness for Shared {
    fn is_ready(&self) -> bool {
        !self.is_stopping.load(Ordering::Relaxed)
    }
}

impl TargetAnnouncements for Shared {
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
        let outcome = {
            let mut state = self.state();
            let outcome = state.gate.report(report, now_ms);
            if outcome == ReportOutcome::NewLife {
                state.forget_flows();
            }
            outcome
        };
        if outcome != ReportOutcome::Same {
            log_event!(Event::TargetAnnounced, "{details} outcome={outcome:?}");
            self.changed.notify_one();
        }
        outcome
    }

    fn leave(&self, id: &str) {
        let has_ended = {
            let mut state = self.state();
            let has_ended = state.gate.leave(id);
            if has_ended {
                state.forget_flows();
            }
            has_ended
        };
        log_event!(Event::TargetLeaving, "target={id} known={has_ended}");
        self.changed.notify_one();
    }

    fn malformed(&self, message: &str) {
        log_event!(Event::ReportMalformed, "{message}");
    }
}

async fn read_nodes(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = match shared.data.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log_event!(Event::ForwardFailed, "{error}");
                continue;
            }
        };
        let (way, start) = match way::decode(&buffer[..length]) {
            Ok(decoded) => decoded,
            Err(fault) => {
                log_event!(Event::SegmentDropped, "reason={} bytes={length}", fault.as_str());
                continue;
            }
        };
        let datagram = &mut buffer[start..length];
        let Ok(segment) = shared.platform.segments.decode(datagram, Sender::Caller) else {
            log_event!(Event::SegmentDropped, "reason=malformed bytes={length}");
            continue;
        };
        let step = shared.state().from_node(&segment, way, shared.now_ms());
        shared.carry_out(step, &segment, datagram, &mut out).await;
    }
}

async fn read_target(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = match shared.from_target.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log_event!(Event::ForwardFailed, "{error}");
                continue;
            }
        };
        let datagram = &mut buffer[..length];
        let Ok(segment) = shared.platform.segments.decode(datagram, Sender::Target) else {
            log_event!(Event::SegmentDropped, "reason=malformed bytes={length}");
            continue;
        };
        let step = shared.state().from_target(&segment, shared.now_ms());
        shared.carry_out(step, &segment, datagram, &mut out).await;
    }
}

async fn read_control(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match shared.control.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log_event!(Event::ForwardFailed, "{error}");
                continue;
            }
        };
        let Some(NodeMessage::Probe(probe)) = NodeMessage::decode(&buffer[..length]) else {
            log_event!(Event::CallFailed, "control datagram of {length} bytes not understood");
            continue;
        };
        let now_ms = shared.now_ms();
        shared.balancers().insert(probe.balancer, now_ms);
        let has_new_phase = {
            let mut state = shared.state();
            let before = state.phase(now_ms);
            state.take_probe(&probe, now_ms);
            state.phase(now_ms) != before
        };
        if has_new_phase {
            shared.changed.notify_one();
        }
        shared.tell(&[probe.balancer]).await;
    }
}

async fn tell_changes(shared: Arc<Shared>) {
    loop {
        shared.changed.notified().await;
        shared.tell_balancers().await;
    }
}

async fn register(shared: Arc<Shared>) {
    let node = &shared.settings.node;
    let entry = NodeEntry {
        data: node.data_address,
        control: node.control_address,
        zone: node.availability_zone.clone(),
    };
    let (store, key) = (&shared.platform.store, shared.entry_key());
    registration::register(store, &key, &entry, &shared.metrics).await;
    let (mut wait_ms, longest_ms) = BALANCERS_RETRY_MS;
    loop {
        match shared.registered_balancers().await {
            Ok(balancers) => {
                let now_ms = shared.now_ms();
                shared.state().introduction.note_named(balancers, now_ms);
                break;
            }
            Err(error) => shared.metrics.note_store_failure("balancers", &error),
        }
        sleep(Duration::from_millis(wait_ms)).await;
        wait_ms = longest_ms.min(wait_ms * 2);
    }
    introduce(&shared).await;
}

/// Tells the balancers that may not know of this agent yet until it may take openings.
async fn introduce(shared: &Shared) {
    loop {
        let now_ms = shared.now_ms();
        let unanswered = {
            let mut state = shared.state();
            (!state.introduction.is_done(now_ms)).then(|| state.introduction.unanswered())
        };
        let Some(unanswered) = unanswered else {
            return shared.changed.notify_one();
        };
        shared.tell(&unanswered).await;
        sleep(INTRODUCTION_PAUSE).await;
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_ms = shared.now_ms();
    let started_ms = shared.now_ms();
    let mut seeds_told_ms = 0;
    let mut phase = TargetPhase::Unknown;
    loop {
        ticks.tick().await;
        let now_ms = shared.now_ms();
        let fresh_phase = {
            let mut state = shared.state();
            if now_ms - last_ms > STALL_MS {
                log_event!(Event::Stalled, "for_ms={}", now_ms - last_ms);
                state.note_stall(now_ms);
            }
            state.expire(now_ms);
            state.phase(now_ms)
        };
        last_ms = now_ms;
        if fresh_phase != phase {
            log_event!(Event::TargetChanged, "phase={fresh_phase:?} before={phase:?}");
            phase = fresh_phase;
            shared.tell_balancers().await;
        }
        let is_unprobed = {
            let mut balancers = shared.balancers();
            balancers.retain(|_, heard_ms| now_ms.saturating_sub(*heard_ms) < BALANCER_SILENCE_MS);
            !balancers.values().any(|heard_ms| now_ms.saturating_sub(*heard_ms) < UNPROBED_MS)
        };
        let is_new = now_ms - started_ms < NEW_MS;
        let pause_ms = if is_new { INTRODUCTION_MS } else { UNPROBED_MS };
        if is_unprobed && now_ms.saturating_sub(seeds_told_ms) >= pause_ms {
            let is_first = seeds_told_ms == 0;
            seeds_told_ms = now_ms;
            tell_seeds(&shared).await;
            if !is_first {
                tokio::spawn(tell_registered(Arc::clone(&shared)));
            }
        }
    }
}

/// Tells the balancers that the store names that this agent exists.
async fn tell_registered(shared: Arc<Shared>) {
    match shared.registered_balancers().await {
        Ok(balancers) => shared.tell(&Vec::from_iter(balancers)).await,
        Err(error) => shared.metrics.note_store_failure("balancers", &error),
    }
}

/// Tells the seeds that this agent exists: the store may turn it away, or them.
async fn tell_seeds(shared: &Shared) {
    let port = shared.settings.node.control_address.port();
    let seeds = shared.seeds.current().into_iter();
    let seeds: Vec<SocketAddrV4> = seeds.map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect();
    shared.tell(&seeds).await;
}
