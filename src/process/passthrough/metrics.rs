//! Metrics of passed-through flows.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use rocket::State;
use rocket::get;
use rocket::routes;

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
        metrics
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
