//! Metrics of passed-through flows.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use rocket::State;
use rocket::get;
use rocket::routes;

use crate::connection::request_class::RequestClass;
use crate::log_event;
use crate::process::events::Event;
use crate::process::metrics::ReasonCounter;
use crate::process::metrics::count;
use crate::process::metrics::encode_registry;
use crate::process::store::StoreError;
use crate::process::store_eras::StoreEras;

/// Bucket bounds of the answer latency, in seconds. They resolve the latency objectives of 0.15 to 0.8 s.
const ANSWER_BOUNDS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// Bucket bounds of the hops. A segment of a known flow takes one hop; a search goes from agent to agent, up to
/// [`MAX_SEARCH_CHAIN`](crate::version::target_table::MAX_SEARCH_CHAIN) of them.
const HOP_BOUNDS: [f64; 6] = [1.0, 2.0, 3.0, 4.0, 8.0, 48.0];

const MS_PER_S: f64 = 1_000.0;

/// Label of a counter by priority.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PriorityLabel {
    /// Priority level; the last one includes all less urgent ones, so that the number of series is bounded.
    pub priority: u32,
}

/// Label of a counter by priority and reason.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PriorityReasonLabel {
    /// As in [`PriorityLabel`].
    pub priority: u32,
    /// Why, or with which outcome.
    pub reason: &'static str,
}

type PriorityReasonCounter = Family<PriorityReasonLabel, Counter>;

/// Labels of an opening whose route has a request class.
#[derive(Clone, Copy, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OpeningLabel {
    /// Zone that the opening was offered in, `local-zone` or `other-zone`, or the reason of its refusal.
    pub outcome: &'static str,
    /// Priority level.
    pub priority: u64,
}

/// Metrics of a balancer or an agent. Metrics of the other role stay at 0.
#[derive(Debug)]
pub struct PassthroughMetrics {
    registry: Registry,
    /// Segments, by outcome.
    pub segments: ReasonCounter,
    /// Flows that were reset, by reason.
    pub resets: ReasonCounter,
    /// Segments that had to wait, by reason.
    pub segments_waited: ReasonCounter,
    /// Segments dropped, by reason.
    pub segments_dropped: ReasonCounter,
    /// Openings of routes with a request class that a balancer offered or refused, by outcome and priority.
    pub openings: Family<OpeningLabel, Counter>,
    /// Openings that an agent did not offer to its target, by reason.
    pub refused_openings: ReasonCounter,
    /// Segments that an agent passed on or returned because its target does not hold their flow, by reason.
    pub flows_not_held: ReasonCounter,
    /// Reports of targets, by what became of them.
    pub target_reports: ReasonCounter,
    /// Leave calls of targets, by what became of them.
    pub leave_calls: ReasonCounter,
    /// Connection attempts that check whether a process of the target runs, by outcome.
    pub target_checks: ReasonCounter,
    /// Searches for the agent that holds a flow, and offers of openings.
    pub searches: Counter,
    /// Failed calls of the store, by call.
    pub store_failures: ReasonCounter,
    /// Times that the store has returned from an older copy.
    pub store_eras: Gauge,
    /// Answers of the store that were dropped because they were of an earlier era.
    pub store_outdated_answers: Gauge,
    /// Time since the store last answered the follower of the operators' items, in milliseconds.
    pub store_answer_age_ms: Gauge,
    /// Availability zones that are out since before the store's return.
    pub zones_held: Gauge,
    /// Entries of nodes that were missing in the store and were written again.
    pub entries_restored: Counter,
    /// Agents that a segment passed on the path to its target.
    pub hops: Histogram,
    /// Flows whose location a balancer remembers, or that an agent sees at its target.
    pub flows: Gauge,
    /// Flows with a request in progress or expected.
    pub busy_flows: Gauge,
    /// Latency from a request to the first segment of its answer, in seconds.
    pub answer_seconds: Histogram,
    /// Refused openings that have a class, by priority and reason.
    refused_by_priority: PriorityReasonCounter,
    /// Queued requests that were started, by priority and whether they could still be in time.
    queued_started: PriorityReasonCounter,
    /// Queued requests that were dropped, by priority and reason.
    queued_dropped: PriorityReasonCounter,
    /// Time that requests were queued until they were started or dropped, in seconds, by priority.
    queued_seconds: Family<PriorityLabel, Histogram>,
    /// Requests in the queue of an agent.
    pub queued_requests: Gauge,
    /// Bytes of the queued requests, including what is stored besides their segments.
    pub queued_bytes: Gauge,
    /// Time that the target is expected to take for a request, in milliseconds.
    pub expected_service_ms: Gauge,
    /// Targets known to be failing; at an agent 0 or 1.
    pub failing_targets: Gauge,
    /// Times that an agent's target has become failing, by reason.
    pub target_failures: ReasonCounter,
    /// Times that it has recovered, by the reason why it was failing.
    pub target_recoveries: ReasonCounter,
    /// Answers of the current target instance that an agent counted as errors.
    pub error_answers: Gauge,
    /// Segments sent to the target to find out whether it holds their flows.
    pub target_queries: Gauge,
    /// Openings that a balancer has offered to a failing target as a trial.
    pub trial_offers: Gauge,
    /// Answers to requests of a class, by how they count for the estimated service time.
    pub answers_judged: ReasonCounter,
    /// Estimated service time of the target, in microseconds; 0 if unknown.
    pub service_time_us: Gauge,
    /// Limit on the openings without an answer at the target while other targets are left.
    pub opening_limit: Gauge,
}

impl PassthroughMetrics {
    /// Creates and registers the metrics.
    pub fn new() -> PassthroughMetrics {
        let mut metrics = PassthroughMetrics {
            registry: Registry::with_prefix("rhubarbthread"),
            segments: Family::default(),
            resets: Family::default(),
            segments_waited: Family::default(),
            segments_dropped: Family::default(),
            openings: Family::default(),
            refused_openings: Family::default(),
            flows_not_held: Family::default(),
            target_reports: Family::default(),
            leave_calls: Family::default(),
            target_checks: Family::default(),
            searches: Counter::default(),
            store_failures: Family::default(),
            store_eras: Gauge::default(),
            store_outdated_answers: Gauge::default(),
            store_answer_age_ms: Gauge::default(),
            zones_held: Gauge::default(),
            entries_restored: Counter::default(),
            hops: Histogram::new(HOP_BOUNDS),
            flows: Gauge::default(),
            busy_flows: Gauge::default(),
            answer_seconds: Histogram::new(ANSWER_BOUNDS_S),
            refused_by_priority: Family::default(),
            queued_started: Family::default(),
            queued_dropped: Family::default(),
            queued_seconds: Family::new_with_constructor(|| Histogram::new(ANSWER_BOUNDS_S)),
            queued_requests: Gauge::default(),
            queued_bytes: Gauge::default(),
            expected_service_ms: Gauge::default(),
            failing_targets: Gauge::default(),
            target_failures: Family::default(),
            target_recoveries: Family::default(),
            error_answers: Gauge::default(),
            target_queries: Gauge::default(),
            trial_offers: Gauge::default(),
            answers_judged: Family::default(),
            service_time_us: Gauge::default(),
            opening_limit: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("segments", "Segments, by outcome", metrics.segments.clone());
        registry.register("resets", "Flows reset", metrics.resets.clone());
        registry.register(
            "segments_waited",
            "Segments that had to wait",
            metrics.segments_waited.clone(),
        );
        registry.register("segments_dropped", "Segments dropped", metrics.segments_dropped.clone());
        registry.register(
            "openings",
            "Openings of routes with a request class",
            metrics.openings.clone(),
        );
        registry.register(
            "refused_openings",
            "Openings not given to the target",
            metrics.refused_openings.clone(),
        );
        registry.register(
            "flows_not_held",
            "Segments passed on or returned, as the target does not hold their flow",
            metrics.flows_not_held.clone(),
        );
        registry.register(
            "target_reports",
            "Reports of the target",
            metrics.target_reports.clone(),
        );
        registry.register("leave_calls", "Leave calls", metrics.leave_calls.clone());
        registry.register(
            "target_looks",
            "Connections tried to see whether a process of the target runs",
            metrics.target_checks.clone(),
        );
        registry.register("searches", "Searches for flows", metrics.searches.clone());
        registry.register("store_failures", "Failed store calls", metrics.store_failures.clone());
        registry.register("store_eras", "Returns of the store", metrics.store_eras.clone());
        registry.register(
            "store_outdated_answers",
            "Store answers of an earlier era, dropped",
            metrics.store_outdated_answers.clone(),
        );
        registry.register(
            "store_answer_age_ms",
            "Milliseconds since the store last answered about the operators' items",
            metrics.store_answer_age_ms.clone(),
        );
        registry.register(
            "zones_held",
            "Zones out since before the store's return",
            metrics.zones_held.clone(),
        );
        registry.register(
            "entries_restored",
            "Missing node entries written to the store",
            metrics.entries_restored.clone(),
        );
        registry.register("hops", "Agents on a segment's way", metrics.hops.clone());
        registry.register("flows", "Flows remembered or seen", metrics.flows.clone());
        registry.register(
            "busy_flows",
            "Flows that wait for an answer",
            metrics.busy_flows.clone(),
        );
        registry.register("answer_seconds", "Request to answer", metrics.answer_seconds.clone());
        registry.register(
            "failing_targets",
            "Targets that fail their requests",
            metrics.failing_targets.clone(),
        );
        registry.register(
            "target_failures",
            "Times that the target became failing",
            metrics.target_failures.clone(),
        );
        registry.register(
            "target_recoveries",
            "Times that the target recovered",
            metrics.target_recoveries.clone(),
        );
        registry.register(
            "error_answers",
            "Answers of the target instance that count as errors",
            metrics.error_answers.clone(),
        );
        registry.register(
            "target_queries",
            "Segments sent to the target to find out whether it holds their flows",
            metrics.target_queries.clone(),
        );
        registry.register(
            "trial_offers",
            "Openings offered to failing targets as a trial",
            metrics.trial_offers.clone(),
        );
        registry.register(
            "answers_judged",
            "Answers, by how they count for the service time",
            metrics.answers_judged.clone(),
        );
        registry.register(
            "service_time_us",
            "Estimated service time of the target in microseconds, 0 if unknown",
            metrics.service_time_us.clone(),
        );
        registry.register(
            "opening_limit",
            "Limit on openings without an answer",
            metrics.opening_limit.clone(),
        );
        metrics.register_queue();
        metrics
    }

    fn register_queue(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "refused_by_priority",
            "Openings not given to the target, by priority",
            self.refused_by_priority.clone(),
        );
        registry.register(
            "queued_started",
            "Queued requests started, in time or late",
            self.queued_started.clone(),
        );
        registry.register("queued_dropped", "Queued requests dropped", self.queued_dropped.clone());
        registry.register(
            "queued_seconds",
            "Time that requests were queued",
            self.queued_seconds.clone(),
        );
        registry.register("queued_requests", "Queued requests", self.queued_requests.clone());
        registry.register("queued_bytes", "Bytes of queued requests", self.queued_bytes.clone());
        registry.register(
            "expected_service_ms",
            "Milliseconds that the target is expected to take for a request",
            self.expected_service_ms.clone(),
        );
    }

    /// Counts a refused opening by its priority.
    pub fn note_refused_by_priority(&self, class: &RequestClass, reason: &'static str) {
        self.refused_by_priority.get_or_create(&priority_reason(class, reason)).inc();
    }

    /// Counts a queued request that was started.
    pub fn note_queued_request_started(
        &self,
        class: &RequestClass,
        queued_ms: u64,
        is_in_time: bool,
    ) {
        let reason = if is_in_time { "in-time" } else { "late" };
        self.queued_started.get_or_create(&priority_reason(class, reason)).inc();
        self.observe_queued(class, queued_ms);
    }

    /// Counts a queued request that was dropped.
    pub fn note_queued_request_dropped(
        &self,
        class: &RequestClass,
        queued_ms: u64,
        reason: &'static str,
    ) {
        self.queued_dropped.get_or_create(&priority_reason(class, reason)).inc();
        self.observe_queued(class, queued_ms);
    }

    fn observe_queued(&self, class: &RequestClass, queued_ms: u64) {
        let label = PriorityLabel { priority: class.level() as u32 };
        self.queued_seconds.get_or_create(&label).observe(queued_ms as f64 / MS_PER_S);
    }

    /// Counts an opening of a route with a request class.
    pub fn count_opening(&self, outcome: &'static str, class: RequestClass) {
        let priority = class.level() as u64;
        self.openings.get_or_create(&OpeningLabel { outcome, priority }).inc();
    }

    /// Counts and logs a failed call of the store. Retrying is left to the caller.
    pub fn note_store_failure(&self, call: &'static str, error: &StoreError) {
        count(&self.store_failures, call);
        log_event!(Event::StoreFailed, "call={call} {error}");
    }

    /// Updates what is known of the store's eras.
    pub fn set_eras(&self, eras: &StoreEras) {
        self.store_eras.set(i64::try_from(eras.rises()).unwrap_or(i64::MAX));
        let outdated_answers = i64::try_from(eras.outdated_answers()).unwrap_or(i64::MAX);
        self.store_outdated_answers.set(outdated_answers);
    }

    /// Encodes all metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        encode_registry(&self.registry)
    }
}

fn priority_reason(class: &RequestClass, reason: &'static str) -> PriorityReasonLabel {
    PriorityReasonLabel { priority: class.level() as u32, reason }
}

impl Default for PassthroughMetrics {
    fn default() -> PassthroughMetrics {
        PassthroughMetrics::new()
    }
}

/// Source of the metrics that are served.
pub trait MetricsSource: Send + Sync {
    /// All metrics as OpenMetrics text.
    fn metrics_text(&self) -> String;
}

type Source = std::sync::Arc<dyn MetricsSource>;

#[get("/metrics")]
fn metrics(source: &State<Source>) -> String {
    source.metrics_text()
}

/// Mounts the metrics at `/metrics`.
pub fn mount(
    server: rocket::Rocket<rocket::Build>,
    source: Source,
) -> rocket::Rocket<rocket::Build> {
    server.manage(source).mount("/", routes![metrics])
}
