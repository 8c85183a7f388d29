//! Ranking of the targets to which a new flow is offered.
//!
//! A target's capacity is its slots, weighted by its speed relative to the other targets of the service.
//! New flows go to the balancer's local zone. When its capacity fills up, targets of all zones are ranked
//! alike. This handles callers that open unequal numbers of flows in each zone, and zones with fewer targets
//! than usual. Failing targets come after all others.
//!
//! Flows without a request class are placed by bounded-load rendezvous hashing; cold targets of unknown speed
//! come after the others.
//!
//! Flows with a request class are ranked by the requests that theirs would find ahead of it. Several
//! balancers decide by the same outdated statuses. They therefore choose at random, with the free capacity
//! as weight, instead of all choosing the target that was least loaded. Targets without free capacity follow,
//! least loaded first.

use std::net::SocketAddrV4;

use crate::connection::request_class::DEFAULT_SERVICE_TIME_US;
use crate::version::rendezvous::weighted_score;

/// Upper bound of a target's flows per capacity, in percent of the mean; targets above it are ranked after the
/// others of their group: the local zone, or all zones if new flows leave it.
const BOUND_PERCENT: u64 = 110;

/// Share of busy capacity, in percent, below which new flows stay in the local zone.
const LOCAL_BUSY_PERCENT: u64 = 70;

/// Percentage points by which the local zone may be busier than the remote zones, above
/// [`LOCAL_BUSY_PERCENT`], before new flows leave it.
const LOCAL_MARGIN_PERCENT: u64 = 15;

/// Share of busy capacity, in percent, from which the local zone has none left for a request.
const LOCAL_FULL_PERCENT: u64 = 100;

/// Capacity of one slot of a target whose speed is the median of its service.
pub const SLOT_CAPACITY: u64 = 1_000;

/// Limits of a slot's capacity. The lower one leaves a target that has become five times as slow its share,
/// so that its estimate is renewed; the upper one bounds what a target attracts that answers quickly because
/// it answers with errors.
const MIN_SLOT_CAPACITY: u64 = SLOT_CAPACITY / 8;
const MAX_SLOT_CAPACITY: u64 = SLOT_CAPACITY * 2;

/// Share of its capacity that counts as free at a target that has none: its status is older than the requests
/// that it counts.
const MIN_FREE_SHARE: f64 = 0.1;

/// Steps in which targets without free capacity are ranked by load, per capacity.
const FULL_STEPS: f64 = 4.0;

/// Limits of the factor by which a target's number of open flows changes its weight: its requests in progress
/// count more than the flows on which others may follow.
const FLOW_SHARE_BOUNDS: (f64, f64) = (0.5, 2.0);

/// A target that may take a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Data address of the target's agent.
    pub data: SocketAddrV4,
    /// Availability zone.
    pub zone: &'a str,
    /// Number of requests that the target processes concurrently when warm; at least 1.
    pub slots: u64,
    /// Estimated time that the target takes for a request, in microseconds; 0 if unknown.
    pub service_time_us: u64,
    /// Whether the target's agent finds that it fails its requests.
    pub is_failing: bool,
    /// Number of flows that the target holds or was offered.
    pub flows: u64,
    /// Number of flows with a request in progress or expected.
    pub busy: u64,
    /// Number of requests that a request of the flow's class finds ahead of it; `None` if the last status is
    /// too old.
    pub ahead: Option<u64>,
    /// Number of such requests that this balancer has offered to the target since its last status.
    pub offered_ahead: u64,
    /// Whether the target is still in slow start.
    pub is_cold: bool,
    /// Rendezvous score of the target for the flow.
    pub score: u64,
}

impl Candidate<'_> {
    /// Whether the target is ranked after the others and its slots do not count as capacity of its zone.
    fn is_last_resort(&self, basis: LoadBasis) -> bool {
        self.is_failing || self.is_cold_last(basis)
    }

    /// Whether the target is ranked last because it is cold. With a class, a cold target of unknown speed counts
    /// like the median: its agent limits the openings in slow start, and without any it would stay unknown.
    fn is_cold_last(&self, basis: LoadBasis) -> bool {
        self.is_cold && self.service_time_us == 0 && basis == LoadBasis::Flows
    }

    /// Slots, weighted by the speed relative to the service's median; an unknown speed counts as the median.
    fn capacity(&self, median_us: u64) -> u64 {
        let slot_capacity = match self.service_time_us {
            0 => SLOT_CAPACITY,
            own_us => {
                (median_us * SLOT_CAPACITY / own_us).clamp(MIN_SLOT_CAPACITY, MAX_SLOT_CAPACITY)
            }
        };
        self.slots * slot_capacity
    }
}

/// Load by which candidates are ranked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadBasis {
    /// Open flows, for flows without a request class.
    Flows,
    /// Requests ahead of those of the flow's class.
    RequestsAhead,
}

/// Position of a candidate relative to the others; the lowest value is the best. The fields are compared in
/// this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RankKey {
    is_failing: bool,
    is_cold_last: bool,
    is_remote: bool,
    /// Steps of load above the capacity, or 1 if the target has more flows than the bound.
    overload: u64,
    /// Inverse of the rendezvous score, weighted if flows are placed by the requests ahead.
    inverse_score: u64,
}

/// First criterion by which a candidate is ranked after the best one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RankReason {
    /// It is the best one.
    Best,
    /// Its agent finds that it fails its requests.
    Failing,
    /// It is cold and its speed is unknown.
    ColdOfUnknownSpeed,
    /// New flows stay in the local zone, and it is in another one.
    OtherZone,
    /// It has less free capacity: it is full, or fuller than the best one.
    NoFreeCapacity,
    /// It has more flows per capacity than the bound allows.
    AboveFlowBound,
    /// It is equal by all other criteria and has a lower rendezvous score for the flow.
    LowerScore,
}

impl RankReason {
    /// All reasons, for docs.
    pub const ALL: [RankReason; 7] = [
        RankReason::Best,
        RankReason::Failing,
        RankReason::ColdOfUnknownSpeed,
        RankReason::OtherZone,
        RankReason::NoFreeCapacity,
        RankReason::AboveFlowBound,
        RankReason::LowerScore,
    ];

    /// Label in explanations.
    pub fn as_str(self) -> &'static str {
        match self {
            RankReason::Best => "best",
            RankReason::Failing => "failing",
            RankReason::ColdOfUnknownSpeed => "cold-of-unknown-speed",
            RankReason::OtherZone => "other-zone",
            RankReason::NoFreeCapacity => "no-free-capacity",
            RankReason::AboveFlowBound => "above-flow-bound",
            RankReason::LowerScore => "lower-score",
        }
    }
}

/// A candidate with the values by which it is ranked.
#[derive(Clone, Debug)]
pub struct RankedTarget<'a> {
    /// The candidate.
    pub candidate: Candidate<'a>,
    /// Slots, weighted by the speed relative to the service's median; a slot of median speed counts
    /// [`SLOT_CAPACITY`].
    pub capacity: u64,
    /// Requests ahead over the capacity in slots of median speed; the mean if the last status is too old. `None`
    /// if the flow is placed by open flows.
    pub load: Option<f64>,
    /// Weight in the random choice among targets that are equal by all other criteria.
    pub weight: f64,
    key: RankKey,
}

impl RankedTarget<'_> {
    fn is_warm_and_free(&self) -> bool {
        !self.candidate.is_cold && !self.key.is_failing && self.key.overload == 0
    }
}

/// All candidates for a flow, best first.
#[derive(Clone, Debug)]
pub struct Ranking<'a> {
    /// The candidates, best first.
    pub targets: Vec<RankedTarget<'a>>,
    /// Whether new flows leave the local zone, so that the targets of all zones are ranked alike.
    pub spills_over: bool,
    /// Load by which the candidates are ranked.
    pub basis: LoadBasis,
}

impl<'a> Ranking<'a> {
    /// Ranks the candidates for a flow that arrives in `local_zone`.
    pub fn new(candidates: Vec<Candidate<'a>>, local_zone: &str, basis: LoadBasis) -> Ranking<'a> {
        let group = ServiceTargets::new(candidates, basis);
        let spills_over = match basis {
            LoadBasis::Flows => !group.prefers_local(local_zone),
            LoadBasis::RequestsAhead => !group.has_local_capacity(local_zone),
        };
        let bound = LoadBound::new(&group, local_zone, spills_over);
        let mean_load = group.mean_load();
        let rank_target = |target: Target<'a>| {
            let score = target.candidate.score;
            let (load, weight, overload, score) = match basis {
                LoadBasis::Flows => (None, 1.0, u64::from(!bound.is_within_bound(&target)), score),
                LoadBasis::RequestsAhead => {
                    // The number of flows in an old status is as outdated as its load.
                    let (load, flow_share) = match target.load() {
                        Some(load) => (load, bound.flow_share(&target)),
                        None => (mean_load, 1.0),
                    };
                    let free_share = (1.0 - load).max(MIN_FREE_SHARE);
                    let weight = target.capacity as f64 * free_share * flow_share;
                    // The bits of floating-point numbers above 0 are ordered as the numbers are.
                    let score = weighted_score(score, weight).to_bits();
                    (Some(load), weight, full_step(load), score)
                }
            };
            let Target { candidate, capacity } = target;
            let key = RankKey {
                is_failing: candidate.is_failing,
                is_cold_last: candidate.is_cold_last(basis),
                is_remote: !spills_over && candidate.zone != local_zone,
                overload,
                inverse_score: u64::MAX - score,
            };
            RankedTarget { candidate, capacity, load, weight, key }
        };
        let mut targets: Vec<RankedTarget<'a>> =
            group.targets.into_iter().map(rank_target).collect();
        targets.sort_by_key(|target| target.key);
        Ranking { targets, spills_over, basis }
    }

    /// The best `limit` candidates, best first. If all of them are cold, the last one gives way to the best warm one
    /// with free capacity, as the limit on openings at cold targets may keep the flow from all others.
    pub fn chain(&self, limit: usize) -> Vec<SocketAddrV4> {
        let mut best: Vec<&RankedTarget<'_>> = self.targets.iter().take(limit).collect();
        if best.iter().all(|target| target.candidate.is_cold)
            && let Some(last) = best.last_mut()
            && let Some(warm) = self.targets.iter().find(|target| target.is_warm_and_free())
        {
            *last = warm;
        }
        best.into_iter().map(|target| target.candidate.data).collect()
    }

    /// First criterion by which a candidate of this ranking comes after the best one.
    pub fn reason(&self, target: &RankedTarget<'_>) -> RankReason {
        let (key, best) = match self.targets.first() {
            Some(best) => (target.key, best.key),
            None => return RankReason::Best,
        };
        if key.is_failing != best.is_failing {
            RankReason::Failing
        } else if key.is_cold_last != best.is_cold_last {
            RankReason::ColdOfUnknownSpeed
        } else if key.is_remote != best.is_remote {
            RankReason::OtherZone
        } else if key.overload != best.overload {
            match self.basis {
                LoadBasis::Flows => RankReason::AboveFlowBound,
                LoadBasis::RequestsAhead => RankReason::NoFreeCapacity,
            }
        } else if key.inverse_score != best.inverse_score {
            RankReason::LowerScore
        } else {
            RankReason::Best
        }
    }

    /// For each candidate, the probability that it is the best one for a flow with random addresses: its share of
    /// the weights of those that are equal to the best one by all other criteria, 0 for any other candidate.
    pub fn probabilities(&self) -> Vec<f64> {
        let drawn_weight =
            |target: &RankedTarget<'_>| if self.is_drawn(target) { target.weight } else { 0.0 };
        let total: f64 = self.targets.iter().map(drawn_weight).sum();
        self.targets.iter().map(|target| drawn_weight(target) / total).collect()
    }

    /// Whether a candidate is equal to the best one by all criteria but the random one.
    fn is_drawn(&self, target: &RankedTarget<'_>) -> bool {
        matches!(self.reason(target), RankReason::Best | RankReason::LowerScore)
    }
}

/// Time in milliseconds until a target starts a request that is offered now, at the target where that is the
/// shortest; 0 if any target has a free slot or an unknown load. Failing targets do not count, as repeated offers
/// hardly reach them. `None` without candidates.
pub fn shortest_wait_ms(candidates: Vec<Candidate<'_>>) -> Option<u64> {
    let group = ServiceTargets::new(candidates, LoadBasis::RequestsAhead);
    let wait_us = |target: &Target<'_>| {
        let ahead =
            target.candidate.ahead.map_or(0, |ahead| ahead + target.candidate.offered_ahead);
        let queued = (ahead + 1).saturating_sub(target.candidate.slots);
        let service_time_us = match target.candidate.service_time_us {
            0 => group.median_us,
            own_us => own_us,
        };
        queued.saturating_mul(service_time_us) / target.candidate.slots
    };
    Some(group.regular().map(wait_us).min()? / 1_000)
}

/// A candidate with its capacity, in units of which one slot of median speed has [`SLOT_CAPACITY`].
#[derive(Debug)]
struct Target<'a> {
    candidate: Candidate<'a>,
    capacity: u64,
}

impl Target<'_> {
    /// Requests ahead, relative to the capacity; `None` if the last status is too old.
    fn load(&self) -> Option<f64> {
        let ahead = self.candidate.ahead? + self.candidate.offered_ahead;
        Some((ahead * SLOT_CAPACITY) as f64 / self.capacity as f64)
    }
}

/// The targets of one service that may take a flow.
#[derive(Debug)]
struct ServiceTargets<'a> {
    targets: Vec<Target<'a>>,
    /// Median of the known service times, in microseconds.
    median_us: u64,
    basis: LoadBasis,
}

impl<'a> ServiceTargets<'a> {
    fn new(candidates: Vec<Candidate<'a>>, basis: LoadBasis) -> ServiceTargets<'a> {
        let median_us = median_service_time_us(&candidates);
        let target = |candidate: Candidate<'a>| {
            let capacity = candidate.capacity(median_us);
            Target { candidate, capacity }
        };
        let targets = candidates.into_iter().map(target).collect();
        ServiceTargets { targets, median_us, basis }
    }

    /// Targets whose slots count as capacity of their zones.
    fn regular(&self) -> impl Iterator<Item = &Target<'a>> {
        self.targets.iter().filter(|target| !target.candidate.is_last_resort(self.basis))
    }

    /// Requests ahead, relative to the capacity, over all targets of known load; 0 if there are none.
    fn mean_load(&self) -> f64 {
        let known = self.regular().filter_map(|target| Some((target.load()?, target.capacity)));
        let (load, capacity) = known.fold((0.0, 0.0), |(load, total), (target_load, capacity)| {
            (load + target_load * capacity as f64, total + capacity as f64)
        });
        if capacity > 0.0 { load / capacity } else { 0.0 }
    }

    /// Sum of `load` over the targets inside or outside the local zone, in percent of their capacity; `None`
    /// if the load of all of them is unknown.
    fn busy_percent(
        &self,
        is_inside: impl Fn(&Target<'a>) -> bool,
        load: impl Fn(&Candidate<'a>) -> Option<u64>,
    ) -> Option<u64> {
        let inside = self.regular().filter(|target| is_inside(target));
        let known = inside.filter_map(|target| Some((load(&target.candidate)?, target.capacity)));
        let (load, capacity) =
            known.fold((0, 0), |sum, target| (sum.0 + target.0, sum.1 + target.1));
        (capacity > 0).then(|| load * 100 * SLOT_CAPACITY / capacity)
    }

    /// Whether new flows without a class stay in the local zone.
    fn prefers_local(&self, local_zone: &str) -> bool {
        let busy = |candidate: &Candidate<'a>| Some(candidate.busy);
        let local = self.busy_percent(|target| target.candidate.zone == local_zone, busy);
        let remote = self.busy_percent(|target| target.candidate.zone != local_zone, busy);
        match (local, remote) {
            (Some(local), Some(remote)) => is_local_preferred(local, remote),
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Whether the local zone has capacity for requests of the flow's class, or is not much busier than the
    /// other zones. While the load of the other zones is unknown, flows stay until the local zone is full.
    fn has_local_capacity(&self, local_zone: &str) -> bool {
        let ahead = |candidate: &Candidate<'a>| Some(candidate.ahead? + candidate.offered_ahead);
        let local = self.busy_percent(|target| target.candidate.zone == local_zone, ahead);
        let remote = self.busy_percent(|target| target.candidate.zone != local_zone, ahead);
        match (local, remote) {
            (Some(local), Some(remote)) => is_local_preferred(local, remote),
            (Some(local), None) => local < LOCAL_FULL_PERCENT,
            (None, _) => self.regular().any(|target| target.candidate.zone == local_zone),
        }
    }
}

fn is_local_preferred(local_percent: u64, remote_percent: u64) -> bool {
    local_percent < LOCAL_BUSY_PERCENT || local_percent <= remote_percent + LOCAL_MARGIN_PERCENT
}

fn median_service_time_us(candidates: &[Candidate<'_>]) -> u64 {
    let known = candidates.iter().map(|candidate| candidate.service_time_us);
    let mut known: Vec<u64> = known.filter(|service_time_us| *service_time_us > 0).collect();
    known.sort_unstable();
    known.get(known.len() / 2).copied().unwrap_or(DEFAULT_SERVICE_TIME_US)
}

/// Steps by which a target's load exceeds its capacity; 0 if it has free capacity.
fn full_step(load: f64) -> u64 {
    if load < 1.0 { 0 } else { (load * FULL_STEPS) as u64 }
}

/// Mean number of flows per capacity among the regular targets that are ranked alike. The sums are wide enough for
/// any values that targets report.
struct LoadBound {
    flows: u128,
    capacity: u128,
}

impl LoadBound {
    fn new(group: &ServiceTargets<'_>, local_zone: &str, spills_over: bool) -> LoadBound {
        let targets =
            group.regular().filter(|target| spills_over || target.candidate.zone == local_zone);
        targets.fold(LoadBound { flows: 0, capacity: 0 }, |bound, target| LoadBound {
            flows: bound.flows + u128::from(target.candidate.flows),
            capacity: bound.capacity + u128::from(target.capacity),
        })
    }

    fn is_within_bound(&self, target: &Target<'_>) -> bool {
        let flows = u128::from(target.candidate.flows);
        let allowed = (self.flows + 1) * u128::from(target.capacity) * u128::from(BOUND_PERCENT);
        (flows + 1) * self.capacity * 100 <= allowed + self.capacity * 100
    }

    /// Mean number of flows for the target's capacity over the number that it has, within bounds. Requests
    /// follow on open flows, wherever these were placed.
    fn flow_share(&self, target: &Target<'_>) -> f64 {
        let mean = self.flows as f64 * target.capacity as f64 / self.capacity.max(1) as f64;
        let (min, max) = FLOW_SHARE_BOUNDS;
        ((mean + 1.0) / (target.candidate.flows + 1) as f64).clamp(min, max)
    }
}
