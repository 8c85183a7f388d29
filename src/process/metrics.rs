//! Metrics of the daemons, exposed as OpenMetrics text.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label `reason` of a counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReasonLabel {
    /// Value of the label, such as why a datagram was dropped.
    pub reason: &'static str,
}

/// Counter with one series for each reason.
pub type ReasonCounter = Family<ReasonLabel, Counter>;

/// Adds one to the counter of a reason.
pub fn count(counter: &ReasonCounter, reason: &'static str) {
    counter.get_or_create(&ReasonLabel { reason }).inc();
}

/// Adds `times` to the counter of a reason.
pub fn count_many(counter: &ReasonCounter, reason: &'static str, times: usize) {
    let times = u64::try_from(times).unwrap_or(u64::MAX);
    counter.get_or_create(&ReasonLabel { reason }).inc_by(times);
}

/// Metrics of a balancer.
#[derive(Debug)]
pub struct BalancerMetrics {
    registry: Registry,
    /// Datagrams of established flows forwarded.
    pub forwarded_established: Counter,
    /// Opening datagrams forwarded.
    pub forwarded_openings: Counter,
    /// Datagrams dropped, by reason.
    pub datagrams_dropped: ReasonCounter,
    /// Failed control calls, by reason.
    pub call_failures: ReasonCounter,
    /// Failed store calls, by reason.
    pub store_failures: ReasonCounter,
    /// Store calls made.
    pub store_calls: Counter,
    /// Records received, by the outcome of merging them.
    pub records_by_outcome: ReasonCounter,
    /// Control messages that could not be parsed.
    pub malformed_messages: Counter,
    /// Records that the balancer stores now.
    pub records_held: Gauge,
    /// Bytes sent in control messages.
    pub control_sent_bytes: Counter,
    /// Control messages sent.
    pub control_sent_messages: Counter,
}

impl BalancerMetrics {
    /// Creates all metrics and registers them.
    pub fn new() -> BalancerMetrics {
        let mut metrics = BalancerMetrics {
            registry: Registry::with_prefix("rhubarbthread"),
            forwarded_established: Counter::default(),
            forwarded_openings: Counter::default(),
            datagrams_dropped: Family::default(),
            call_failures: Family::default(),
            store_failures: Family::default(),
            store_calls: Counter::default(),
            records_by_outcome: Family::default(),
            malformed_messages: Counter::default(),
            records_held: Gauge::default(),
            control_sent_bytes: Counter::default(),
            control_sent_messages: Counter::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns all metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "forwarded_established",
            "Datagrams of established flows forwarded",
            self.forwarded_established.clone(),
        );
        registry.register(
            "forwarded_openings",
            "Opening datagrams forwarded",
            self.forwarded_openings.clone(),
        );
        registry.register("dropped", "Datagrams dropped", self.datagrams_dropped.clone());
        registry.register("call_failures", "Failed control calls", self.call_failures.clone());
        registry.register("store_failures", "Failed store calls", self.store_failures.clone());
        registry.register("store_calls", "Store calls made", self.store_calls.clone());
        registry.register(
            "records",
            "Records, by what became of them",
            self.records_by_outcome.clone(),
        );
        registry.register(
            "malformed_messages",
            "Control messages that did not parse",
            self.malformed_messages.clone(),
        );
        registry.register("records_held", "Records held", self.records_held.clone());
        registry.register(
            "control_sent_bytes",
            "Bytes of control messages sent",
            self.control_sent_bytes.clone(),
        );
        registry.register(
            "control_sent_messages",
            "Control messages sent",
            self.control_sent_messages.clone(),
        );
    }
}

impl Default for BalancerMetrics {
    fn default() -> BalancerMetrics {
        BalancerMetrics::new()
    }
}

/// Metrics of an agent.
#[derive(Debug)]
pub struct AgentMetrics {
    registry: Registry,
    /// Requests refused, by reason.
    pub refused_requests: ReasonCounter,
    /// Flows refused, by reason.
    pub refused_flows: ReasonCounter,
    /// Datagrams dropped, by reason.
    pub datagrams_dropped: ReasonCounter,
    /// Datagrams received.
    pub datagrams_received: Counter,
    /// Opening datagrams, by decision.
    pub openings: ReasonCounter,
    /// Answers sent to callers, by verdict.
    pub answers: ReasonCounter,
    /// Announcements of targets that were not applied, by reason.
    pub refused_announcements: ReasonCounter,
    /// Heartbeats that a monitoring balancer acknowledged.
    pub heartbeats_acknowledged: Counter,
    /// Failed control calls, by reason.
    pub call_failures: ReasonCounter,
    /// Requests that run now.
    pub busy_slots: Gauge,
    /// Limit on the requests that run at once.
    pub slot_limit: Gauge,
    /// Flows that are open now.
    pub flows: Gauge,
}

impl AgentMetrics {
    /// Creates all metrics and registers them.
    pub fn new() -> AgentMetrics {
        let mut metrics = AgentMetrics {
            registry: Registry::with_prefix("rhubarbthread"),
            refused_requests: Family::default(),
            refused_flows: Family::default(),
            datagrams_dropped: Family::default(),
            datagrams_received: Counter::default(),
            openings: Family::default(),
            answers: Family::default(),
            refused_announcements: Family::default(),
            heartbeats_acknowledged: Counter::default(),
            call_failures: Family::default(),
            busy_slots: Gauge::default(),
            slot_limit: Gauge::default(),
            flows: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns all metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let refused = self.refused_requests.clone();
        registry.register("refused_requests", "Requests refused", refused);
        registry.register("refused_flows", "Flows refused", self.refused_flows.clone());
        registry.register("dropped", "Datagrams dropped", self.datagrams_dropped.clone());
        registry.register("received", "Datagrams received", self.datagrams_received.clone());
        registry.register("openings", "Opening datagrams, by decision", self.openings.clone());
        registry.register("answers", "Answers, by verdict", self.answers.clone());
        registry.register(
            "refused_announcements",
            "Announcements refused, by reason",
            self.refused_announcements.clone(),
        );
        registry.register("reports", "Heartbeats answered", self.heartbeats_acknowledged.clone());
        registry.register("call_failures", "Failed control calls", self.call_failures.clone());
        registry.register("busy_slots", "Requests that run", self.busy_slots.clone());
        registry.register("slot_limit", "Limit on requests that run", self.slot_limit.clone());
        registry.register("flows", "Flows that are open", self.flows.clone());
    }
}

impl Default for AgentMetrics {
    fn default() -> AgentMetrics {
        AgentMetrics::new()
    }
}

/// Encodes a registry as OpenMetrics text.
pub fn encode_registry(registry: &Registry) -> String {
    let mut text = String::new();
    encode(&mut text, registry).expect("writing to a string does not fail");
    text
}
