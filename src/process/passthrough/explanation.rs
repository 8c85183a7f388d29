//! Explanation of a placement: where a balancer would offer a flow now, and by which inputs.
//!
//! The values come from the code that decides; this module only gives them names and a text form.

use std::fmt::Write;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::connection::request_class::RequestClass;
use crate::version::placing::LoadBasis;
use crate::version::placing::RankedTarget;
use crate::version::placing::Ranking;
use crate::version::placing::SLOT_CAPACITY;
use crate::version::routing::Routing;
use crate::version::routing::WeightedService;
use crate::version::target_table::ExclusionReason;
use crate::version::target_table::TargetTable;

/// Class of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassView {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Time after which the caller gives a request up, in milliseconds.
    pub timeout_ms: u64,
}

/// Service of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceView {
    /// Name of the service.
    pub service: String,
    /// Share of new flows, relative to the weights of the route's other services.
    pub weight: u32,
}

/// A candidate and the inputs of its rank.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateView {
    /// Data address of the target's agent.
    pub data: SocketAddrV4,
    /// Availability zone.
    pub availability_zone: String,
    /// First criterion by which it comes after the best one.
    pub reason: String,
    /// Requests ahead of the class, by the last status; `None` if that is too old, or the route has no class.
    pub requests_ahead: Option<u64>,
    /// Such requests that the balancer has offered since.
    pub offered_ahead: u64,
    /// Load relative to the capacity, or the mean if the status is too old; `None` if the route has no class.
    pub load: Option<f64>,
    /// Slots, weighted by the target's speed relative to the others.
    pub capacity: f64,
    /// Number of requests that the target processes concurrently.
    pub slots: u64,
    /// Estimated time that the target takes for a request, in microseconds; 0 if unknown.
    pub service_time_us: u64,
    /// Open flows, with those that the balancer has offered since.
    pub flows: u64,
    /// Flows with a request in progress or expected.
    pub busy: u64,
    /// Age of the load in the last status, in milliseconds.
    pub status_age_ms: Option<u64>,
    /// Phase of the target.
    pub phase: String,
    /// Whether the agent finds that the target fails its requests.
    pub is_failing: bool,
    /// Weight in the random choice.
    pub weight: f64,
    /// Probability of being the best candidate for a flow with random addresses.
    pub probability: f64,
}

/// A target that is no candidate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExcludedView {
    /// Data address of the target's agent.
    pub data: SocketAddrV4,
    /// Availability zone.
    pub availability_zone: String,
    /// Why it is no candidate.
    pub reason: String,
    /// Service of the target; empty if the agent has never sent its status.
    pub service: String,
    /// Phase of the target; empty if the agent has never sent its status.
    pub phase: String,
    /// Age of the load in the last status, in milliseconds.
    pub status_age_ms: Option<u64>,
}

/// Where a balancer would offer a flow now, and why.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// Name of the balancer's node.
    pub node: String,
    /// Availability zone of the balancer.
    pub availability_zone: String,
    /// Address of the flow's caller.
    pub caller: SocketAddrV4,
    /// Service address of the flow.
    pub route: SocketAddrV4,
    /// Name of the route.
    pub route_name: String,
    /// Class of the route's requests; `None` if it has no priority or no objective.
    pub class: Option<ClassView>,
    /// Services of the route. One is chosen by the hash of the flow, with these weights.
    pub services: Vec<ServiceView>,
    /// Service chosen; `None` if no target of any service is a candidate.
    pub service: Option<String>,
    /// What the balancer does with an opening: `offer`, or another decision with its reason.
    pub decision: String,
    /// Agents to which the opening is offered, in this order.
    pub chain: Vec<SocketAddrV4>,
    /// Agent whose target has accepted the flow, as far as the balancer knows.
    pub known_holder: Option<SocketAddrV4>,
    /// Number of times that the balancer has offered the flow already.
    pub earlier_offers: u32,
    /// What candidates are ranked by: `requests-ahead`, or `flows` if the route has no class.
    pub ranked_by: String,
    /// Whether new flows leave the balancer's zone.
    pub leaves_zone: bool,
    /// Whether several candidates are equal by all criteria but the random one.
    pub is_random: bool,
    /// Candidates, best first.
    pub candidates: Vec<CandidateView>,
    /// Targets that are no candidates.
    pub excluded: Vec<ExcludedView>,
    /// Number of further targets, of services that are not the route's.
    pub targets_of_other_routes: usize,
}

impl Default for Explanation {
    fn default() -> Explanation {
        let unspecified = SocketAddrV4::new([0, 0, 0, 0].into(), 0);
        Explanation {
            node: String::new(),
            availability_zone: String::new(),
            caller: unspecified,
            route: unspecified,
            route_name: String::new(),
            class: None,
            services: Vec::new(),
            service: None,
            decision: String::new(),
            chain: Vec::new(),
            known_holder: None,
            earlier_offers: 0,
            ranked_by: String::new(),
            leaves_zone: false,
            is_random: false,
            candidates: Vec::new(),
            excluded: Vec::new(),
            targets_of_other_routes: 0,
        }
    }
}

impl From<RequestClass> for ClassView {
    fn from(class: RequestClass) -> ClassView {
        let RequestClass { priority, objective_ms, timeout_ms } = class;
        ClassView { priority, objective_ms, timeout_ms }
    }
}

impl From<&WeightedService> for ServiceView {
    fn from(weighted: &WeightedService) -> ServiceView {
        ServiceView { service: weighted.service.clone(), weight: weighted.weight }
    }
}

impl Explanation {
    /// Adds the candidates of the chosen service.
    pub(super) fn set_ranking(
        &mut self,
        ranking: &Ranking<'_>,
        targets: &TargetTable,
        now_ms: u64,
    ) {
        let basis = match ranking.basis {
            LoadBasis::Flows => "flows",
            LoadBasis::RequestsAhead => "requests-ahead",
        };
        self.ranked_by = basis.to_owned();
        self.leaves_zone = ranking.spills_over;
        let view = |(target, probability): (&RankedTarget<'_>, f64)| {
            let candidate = &target.candidate;
            CandidateView {
                data: candidate.data,
                availability_zone: candidate.zone.to_owned(),
                reason: ranking.reason(target).as_str().to_owned(),
                requests_ahead: candidate.ahead,
                offered_ahead: candidate.offered_ahead,
                load: target.load,
                capacity: target.capacity as f64 / SLOT_CAPACITY as f64,
                slots: candidate.slots,
                service_time_us: candidate.service_time_us,
                flows: candidate.flows,
                busy: candidate.busy,
                status_age_ms: targets.load_age_ms(candidate.data, now_ms),
                phase: phase(targets, candidate.data),
                is_failing: candidate.is_failing,
                weight: target.weight,
                probability,
            }
        };
        let probabilities = ranking.probabilities();
        self.candidates = ranking.targets.iter().zip(probabilities).map(view).collect();
        self.is_random =
            self.candidates.iter().filter(|candidate| candidate.probability > 0.0).count() > 1;
    }

    /// Adds the targets that are no candidates for the services that were tried. Those of services that the route
    /// does not name are only counted: a balancer may know thousands of them.
    pub(super) fn set_exclusions(
        &mut self,
        targets: &TargetTable,
        routing: &Routing,
        tried: &[&str],
        services: &[&str],
        now_ms: u64,
    ) {
        for (data, reason) in targets.exclusions(routing, tried, now_ms) {
            let status = targets.status(data);
            let service = status.map_or("", |status| status.service.as_str());
            if reason == ExclusionReason::OtherService && !services.contains(&service) {
                self.targets_of_other_routes += 1;
                continue;
            }
            let zone = targets.agent(data).map_or("", |agent| agent.zone);
            self.excluded.push(ExcludedView {
                data,
                availability_zone: zone.to_owned(),
                reason: reason.as_str().to_owned(),
                service: service.to_owned(),
                phase: phase(targets, data),
                status_age_ms: targets.load_age_ms(data, now_ms),
            });
        }
    }

    /// Formats the explanation as text, one line for each target.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = self.write_text(&mut text);
        text
    }

    fn write_text(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "balancer: {} in zone {}", self.node, self.availability_zone)?;
        writeln!(text, "flow: {} to {}, route {}", self.caller, self.route, self.route_name)?;
        match &self.class {
            Some(ClassView { priority, objective_ms, timeout_ms }) => writeln!(
                text,
                "class: priority {priority}, objective {objective_ms} ms, timeout {timeout_ms} ms"
            )?,
            None => writeln!(text, "class: none")?,
        }
        let services = self.services.iter().map(|view| format!("{}={}", view.service, view.weight));
        let services: Vec<String> = services.collect();
        let service = self.service.as_deref().unwrap_or("none");
        writeln!(
            text,
            "service: {service}, by the flow's hash with weights {}",
            services.join(" ")
        )?;
        writeln!(text, "decision: {}", self.decision)?;
        if !self.chain.is_empty() {
            let chain: Vec<String> = self.chain.iter().map(SocketAddrV4::to_string).collect();
            writeln!(text, "offered to: {}", chain.join(", "))?;
        }
        if let Some(holder) = self.known_holder {
            writeln!(text, "accepted before by: {holder}, which comes first if it is a candidate")?;
        }
        if self.earlier_offers > 0 {
            writeln!(text, "offered before: {} times", self.earlier_offers)?;
        }
        if !self.candidates.is_empty() {
            let zones = if self.leaves_zone { "all zones alike" } else { "local zone first" };
            writeln!(text, "candidates: ranked by {}, {zones}", self.ranked_by)?;
            let choice = match self.is_random {
                true => {
                    "random by the flow's hash with the weights below, fixed for these addresses"
                }
                false => "not random",
            };
            writeln!(text, "choice: {choice}")?;
        }
        for (index, candidate) in self.candidates.iter().enumerate() {
            writeln!(text, "{:>3} {}", index + 1, candidate.to_line())?;
        }
        for view in &self.excluded {
            let ExcludedView { data, availability_zone, reason, service, phase, .. } = view;
            let age = or_unknown(view.status_age_ms);
            writeln!(
                text,
                "  - {data} {availability_zone} {reason} service={service} phase={phase} age_ms={age}"
            )?;
        }
        if self.targets_of_other_routes > 0 {
            let count = self.targets_of_other_routes;
            writeln!(text, "targets of services that the route does not name: {count}")?;
        }
        Ok(())
    }
}

impl CandidateView {
    fn to_line(&self) -> String {
        format!(
            "{} {} {} weight={:.1} probability={:.3} ahead={} offered={} load={} capacity={:.2} slots={} \
             service_time_us={} flows={} busy={} age_ms={} phase={} failing={}",
            self.data,
            self.availability_zone,
            self.reason,
            self.weight,
            self.probability,
            or_unknown(self.requests_ahead),
            self.offered_ahead,
            self.load.map_or_else(|| "-".to_owned(), |load| format!("{load:.2}")),
            self.capacity,
            self.slots,
            self.service_time_us,
            self.flows,
            self.busy,
            or_unknown(self.status_age_ms),
            self.phase,
            self.is_failing,
        )
    }
}

fn or_unknown(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn phase(targets: &TargetTable, data: SocketAddrV4) -> String {
    targets.status(data).map_or_else(String::new, |status| status.phase.as_str().to_owned())
}
