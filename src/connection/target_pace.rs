//! Service time of a target, estimated from its answers, and slow start of its openings.
//!
//! The agent sees when a request reaches the target and when its answer starts. The difference includes the time
//! in the target's queue. [`TargetPace`] follows that queue, in which requests are served in their order of
//! arrival by as many slots as the target has, and measures each request from the time at which it gets a slot.
//! The estimate therefore does not depend on the load.
//!
//! Routes carry requests of different sizes. Each measurement is divided by the relative weight of its route, and
//! the geometric mean of the weights is 1. The estimate is then the time of a request of average size, whatever
//! the mix of routes, and can be compared between targets of one service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::tracked_flows::FIRST_REQUEST_TIMEOUT_MS;

/// Number of measurements that the estimate is made of: 0.8 s of work of three slots at 40 requests per second.
const MAX_SAMPLES: usize = 32;

/// Minimum number of measurements for an estimate. With fewer, two slow requests can decide it.
const MIN_SAMPLES: usize = 8;

/// Age from which measurements are discarded while [`MIN_SAMPLES`] newer ones remain, in milliseconds.
const MAX_SAMPLE_AGE_MS: u64 = 5_000;

/// Ratio to the estimate by which the last [`MIN_SAMPLES`] measurements must all be above it, or all below it, for
/// the earlier ones to be discarded: the target's speed has changed. Of exponentially distributed service times, the
/// most irregular ones to be expected, eight in a row meet this once in thousands.
const CHANGED_RATIO: f64 = 1.5;

/// Share of the measurements that is left out at each end, in percent, before the rest is averaged. Twice 3% of
/// requests that take seven times as long fit into it, and the mean of the rest is finer than the clock.
const TRIM_PERCENT: usize = 25;

/// Shortest measurement, in microseconds: half of the clock's resolution.
const MIN_TIME_US: f64 = 500.0;

/// Number of routes whose weights are learned. Answers on further routes are not measured while these are in use.
const MAX_ROUTES: usize = 16;

/// Time without an answer on a route, in milliseconds, after which a further one may take its place. Shorter, routes
/// with few requests would displace each other.
const ROUTE_RETENTION_MS: u64 = 60_000;

/// Number of measurements after which a further route gets its first weight.
const FIRST_WEIGHT_SAMPLES: usize = 8;

/// Number of measurements of a further route after which the weights refer to it, if the first route still has too
/// few for an estimate. A first route with a ninth of the requests has enough by then.
const REBASE_SAMPLES: usize = 64;

/// Number of latest measurements of other routes with which a measurement is compared to learn its route's
/// weight. Few, so that a change of the target's speed affects both sides alike.
const COMPARED_SAMPLES: usize = 7;

/// Relative change of a route's weight with each measurement. Weights belong to the routes and hardly change.
const WEIGHT_STEP: f64 = 0.02;

/// Ratio to the fastest usual service time below which an answer is implausible, most likely an error. A target
/// that becomes warm is 1.6 times as fast, one that recovers from a fivefold slowdown is as fast as before.
const IMPLAUSIBLE_RATIO: f64 = 0.25;

/// Ratio to the estimate above which an answer does not raise the limit on openings.
const SLOW_RATIO: f64 = 4.0;

/// Relative change per second of the fastest usual service time towards a slower estimate. After five minutes at
/// a fifth of the speed it is 1.8 times as high, so that the return to the old speed is plausible.
const REFERENCE_RISE_PER_S: f64 = 0.002;

/// Relative change per second of the fastest usual service time while answers are implausible, so that a lasting
/// improvement counts after two minutes. Errors last less long before operators or the health check react.
const REFERENCE_FALL_PER_S: f64 = 0.01;

/// Limit on unanswered openings after a start. One opening shows whether the target answers at all.
const FIRST_OPENING_LIMIT: f64 = 1.0;

/// Largest limit on unanswered openings, as a multiple of the slots. Two failures in a row, which the faults of
/// callers can cause, then leave half of the slots in use.
const MAX_LIMIT_PER_SLOT: f64 = 2.0;

/// Factor of the limit on unanswered openings at each failure.
const FAILURE_FACTOR: f64 = 0.5;

/// Ratio between two estimates from which a change is logged.
const LOGGED_RATIO: f64 = 2.0;

const MS_PER_S: f64 = 1_000.0;
const US_PER_MS: f64 = 1_000.0;

/// How the answer to a request of a class is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerQuality {
    /// It raises the limit on openings.
    Good,
    /// It took several times the estimate. It counts for the estimate and does not raise the limit.
    Slow,
    /// It came faster than the target works. It counts as a failure and not for the estimate.
    Implausible,
    /// It cannot be measured: the target answered before the request had a slot by this agent's count, or the
    /// route has no weight yet.
    Unmeasured,
}

impl AnswerQuality {
    /// Label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AnswerQuality::Good => "good",
            AnswerQuality::Slow => "slow",
            AnswerQuality::Implausible => "implausible",
            AnswerQuality::Unmeasured => "unmeasured",
        }
    }
}

/// Change of the estimate by more than a factor of two.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EstimateChange {
    /// Estimate that was logged last, in microseconds.
    pub before_us: u32,
    /// Estimate now, in microseconds.
    pub after_us: u32,
}

/// A request that the target has received and not answered.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// Whether its route has a class. Other requests take slots and are not measured.
    has_class: bool,
    /// Order of arrival.
    number: u64,
    /// Time at which it got a slot; `None` while it is in the target's queue.
    started_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Opening {
    /// Time until which it counts although no request of it is in progress.
    counts_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct RouteWeight {
    /// Natural logarithm of the weight.
    ln_weight: f64,
    /// Time of the last answer on the route.
    answered_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    route: SocketAddrV4,
    /// Natural logarithm of the service time in microseconds.
    ln_time: f64,
    at_ms: u64,
}

/// Estimated service time and limit on unanswered openings of one target.
#[derive(Debug)]
pub struct TargetPace {
    service: String,
    /// Slots of the target; 0 until its first report, and nothing is measured or limited before.
    slots: u32,
    /// Unanswered requests.
    requests: IndexMap<FlowKey, Request>,
    /// Unanswered requests without a slot, in order of their arrival.
    queued: BTreeMap<u64, FlowKey>,
    next_number: u64,
    /// Openings whose first request has no answer yet, or one that came implausibly fast.
    openings: IndexMap<FlowKey, Opening>,
    /// Weights of the routes. The sum of their logarithms is 0. They are kept when the target restarts.
    weights: IndexMap<SocketAddrV4, RouteWeight>,
    /// First measurements of routes without a weight, relative to other routes, as logarithms; the times themselves
    /// while nothing is known of the others.
    first_ln_ratios: IndexMap<SocketAddrV4, Vec<f64>>,
    samples: VecDeque<Sample>,
    /// Natural logarithm of the estimate in microseconds; `None` before [`MIN_SAMPLES`] measurements.
    ln_estimate: Option<f64>,
    /// Natural logarithm of the fastest usual service time in microseconds. Kept when the target restarts.
    ln_reference: Option<f64>,
    reference_changed_ms: u64,
    logged_us: Option<u32>,
    /// Limit on unanswered openings: rises by one with each good answer, and is halved by each failure. Slow
    /// answers do not lower it, as fewer concurrent requests do not make a slow target faster.
    opening_limit: f64,
    /// Whether a failure has lowered the limit, and it has not exceeded the slots since.
    has_failed: bool,
}

impl Default for TargetPace {
    fn default() -> TargetPace {
        TargetPace::new()
    }
}

impl TargetPace {
    /// Creates the state of a target without any answer.
    pub fn new() -> TargetPace {
        TargetPace {
            service: String::new(),
            slots: 0,
            requests: IndexMap::new(),
            queued: BTreeMap::new(),
            next_number: 0,
            openings: IndexMap::new(),
            weights: IndexMap::new(),
            first_ln_ratios: IndexMap::new(),
            samples: VecDeque::new(),
            ln_estimate: None,
            ln_reference: None,
            reference_changed_ms: 0,
            logged_us: None,
            opening_limit: FIRST_OPENING_LIMIT,
            has_failed: false,
        }
    }

    /// Applies the service and the slots in the target's report. What is known of another service's requests is
    /// discarded.
    pub fn note_report(&mut self, service: &str, slots: u32) {
        if self.service != service {
            self.service = service.to_owned();
            self.weights.clear();
            self.ln_reference = None;
            self.logged_us = None;
            self.reset();
        }
        self.slots = slots;
    }

    /// Starts again for a new target instance. The weights of routes and the fastest usual service time stay: the
    /// new instance runs on the same host and serves the same requests.
    pub fn reset(&mut self) {
        self.requests.clear();
        self.queued.clear();
        self.openings.clear();
        self.first_ln_ratios.clear();
        self.samples.clear();
        self.ln_estimate = None;
        self.opening_limit = FIRST_OPENING_LIMIT;
        self.has_failed = false;
    }

    /// Estimated service time of a request of average size, in microseconds; 0 if unknown.
    pub fn service_time_us(&self) -> u32 {
        self.ln_estimate.map_or(0, |ln_estimate| ln_estimate.exp().round() as u32)
    }

    /// Maximum number of unanswered openings while other candidates are left.
    pub fn opening_limit(&self) -> u32 {
        self.opening_limit as u32
    }

    /// Whether the target has failed requests and has not recovered since.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether an opening with a class that can be passed on to another target may go to this one. An idle target
    /// takes any.
    pub fn admits_opening(&self, now_ms: u64) -> bool {
        // Above the number of slots, the gate's limits on the load decide.
        if self.slots == 0 || self.opening_limit() > self.slots {
            return true;
        }
        let is_unanswered = |(flow, opening): &(&FlowKey, &Opening)| {
            self.requests.contains_key(*flow) || now_ms < opening.counts_until_ms
        };
        let limit = self.opening_limit() as usize;
        self.openings.iter().filter(is_unanswered).take(limit).count() < limit
    }

    /// Notes that an opening goes to the target.
    pub fn note_opening(&mut self, flow: FlowKey, now_ms: u64) {
        if self.slots > 0 {
            let counts_until_ms = now_ms + FIRST_REQUEST_TIMEOUT_MS;
            self.openings.entry(flow).or_insert(Opening { counts_until_ms });
        }
    }

    /// Notes that a request goes to the target.
    pub fn note_request(&mut self, flow: FlowKey, has_class: bool, now_ms: u64) {
        if self.slots > 0 && !self.requests.contains_key(&flow) {
            self.next_number += 1;
            let number = self.next_number;
            self.requests.insert(flow, Request { has_class, number, started_ms: None });
            self.queued.insert(number, flow);
            self.start_requests(now_ms);
        }
    }

    /// Notes that an answer has started. `None` if the request has no class.
    pub fn note_answer(&mut self, flow: &FlowKey, now_ms: u64) -> Option<AnswerQuality> {
        let opening = self.openings.get(flow).copied();
        let request = self.remove(flow, now_ms)?;
        if !request.has_class {
            return None;
        }
        let Some(started_ms) = request.started_ms else {
            return Some(AnswerQuality::Unmeasured);
        };
        let time_us = now_ms.saturating_sub(started_ms) as f64 * US_PER_MS;
        let quality = self.measure(flow.service, time_us.max(MIN_TIME_US).ln(), now_ms);
        match quality {
            AnswerQuality::Good => {
                let max_limit = f64::from(self.slots) * MAX_LIMIT_PER_SLOT;
                self.opening_limit = (self.opening_limit + 1.0).min(max_limit);
                self.has_failed &= self.opening_limit() <= self.slots;
            }
            AnswerQuality::Implausible => {
                self.note_failure();
                // A target that fails its requests at once would otherwise be free for the next ones at once.
                if opening.is_some() {
                    let counts_until_ms = started_ms + self.usual_time_ms(flow.service);
                    self.openings.insert(*flow, Opening { counts_until_ms });
                }
            }
            AnswerQuality::Slow | AnswerQuality::Unmeasured => {}
        }
        Some(quality)
    }

    /// Notes that the target has aborted a request.
    pub fn note_aborted(&mut self, flow: &FlowKey, now_ms: u64) {
        if self.remove(flow, now_ms).is_some() {
            self.note_failure();
        }
    }

    /// Notes that requests had no answer until their callers stopped waiting.
    pub fn note_unanswered(&mut self) {
        self.note_failure();
    }

    /// Removes what has ended without an answer: requests for which `is_busy` is false, and openings whose first
    /// request did not follow.
    pub fn expire(&mut self, is_busy: impl Fn(&FlowKey) -> bool, now_ms: u64) {
        let count = self.requests.len();
        self.requests.retain(|flow, _| is_busy(flow));
        let requests = &self.requests;
        if requests.len() < count {
            self.queued.retain(|_, flow| requests.contains_key(flow));
            self.start_requests(now_ms);
        }
        let requests = &self.requests;
        self.openings.retain(|flow, opening| {
            requests.contains_key(flow) || now_ms < opening.counts_until_ms
        });
    }

    /// The change of the estimate by more than a factor of two since the last such change, if there is one.
    pub fn take_change(&mut self) -> Option<EstimateChange> {
        let after_us = Some(self.service_time_us()).filter(|time_us| *time_us > 0)?;
        let before_us = *self.logged_us.get_or_insert(after_us);
        let ratio = f64::from(after_us) / f64::from(before_us);
        if ratio.max(1.0 / ratio) <= LOGGED_RATIO {
            return None;
        }
        self.logged_us = Some(after_us);
        Some(EstimateChange { before_us, after_us })
    }

    fn note_failure(&mut self) {
        self.opening_limit = (self.opening_limit * FAILURE_FACTOR).max(FIRST_OPENING_LIMIT);
        self.has_failed = true;
    }

    fn remove(&mut self, flow: &FlowKey, now_ms: u64) -> Option<Request> {
        let request = self.requests.swap_remove(flow)?;
        self.queued.remove(&request.number);
        self.openings.swap_remove(flow);
        self.start_requests(now_ms);
        Some(request)
    }

    /// Gives free slots to the oldest requests without one, as the target does.
    fn start_requests(&mut self, now_ms: u64) {
        while self.requests.len() - self.queued.len() < self.slots as usize
            && let Some((_, flow)) = self.queued.pop_first()
        {
            if let Some(request) = self.requests.get_mut(&flow) {
                request.started_ms = Some(now_ms);
            }
        }
    }

    fn measure(&mut self, route: SocketAddrV4, ln_time: f64, now_ms: u64) -> AnswerQuality {
        let Some(ln_weight) = self.ln_weight(route, ln_time, now_ms) else {
            return AnswerQuality::Unmeasured;
        };
        let ln_scaled = ln_time - ln_weight;
        if self.is_implausible(ln_scaled) {
            self.change_reference(-REFERENCE_FALL_PER_S, now_ms);
            return AnswerQuality::Implausible;
        }
        let is_slow =
            self.ln_estimate.is_some_and(|estimate| ln_scaled > estimate + SLOW_RATIO.ln());
        self.record(Sample { route, ln_time, at_ms: now_ms });
        self.learn_weight(route, ln_scaled);
        self.update_estimate(now_ms);
        if is_slow { AnswerQuality::Slow } else { AnswerQuality::Good }
    }

    fn is_implausible(&self, ln_scaled: f64) -> bool {
        self.ln_reference.is_some_and(|reference| ln_scaled < reference + IMPLAUSIBLE_RATIO.ln())
    }

    /// Weight of a route. A further route gets one after [`FIRST_WEIGHT_SAMPLES`] measurements, by the median of
    /// their ratios to the estimate, or to the fastest usual service time while there is none.
    fn ln_weight(&mut self, route: SocketAddrV4, ln_time: f64, now_ms: u64) -> Option<f64> {
        if let Some(weight) = self.weights.get_mut(&route) {
            weight.answered_ms = now_ms;
            return Some(weight.ln_weight);
        }
        let base = RouteWeight { ln_weight: 0.0, answered_ms: now_ms };
        if self.weights.is_empty() {
            self.weights.insert(route, base);
            return Some(base.ln_weight);
        }
        let unused = self.unused_route(now_ms);
        if self.weights.len() >= MAX_ROUTES && unused.is_none() {
            return None;
        }
        if self.first_ln_ratios.len() >= MAX_ROUTES && !self.first_ln_ratios.contains_key(&route) {
            self.first_ln_ratios.shift_remove_index(0);
        }
        // After a restart, the other routes may no longer be used, so that no estimate comes from them.
        let ln_usual = self.ln_estimate.or(self.ln_reference);
        let ratios = self.first_ln_ratios.entry(route).or_default();
        ratios.push(ln_time - ln_usual.unwrap_or_default());
        let min_samples = if ln_usual.is_some() { FIRST_WEIGHT_SAMPLES } else { REBASE_SAMPLES };
        if ratios.len() < min_samples {
            return None;
        }
        let ln_weight = median(ratios);
        self.first_ln_ratios.swap_remove(&route);
        if ln_usual.is_none() {
            // The routes measured first have too few requests for an estimate. Weights refer to this route instead.
            self.weights.clear();
            self.samples.clear();
            self.weights.insert(route, base);
            return Some(base.ln_weight);
        }
        if let Some(unused) = unused.filter(|_| self.weights.len() >= MAX_ROUTES) {
            self.weights.swap_remove(&unused);
            self.samples.retain(|sample| sample.route != unused);
        }
        self.weights.insert(route, RouteWeight { ln_weight, ..base });
        let shift = self.normalize_weights();
        // The estimate refers to the mean of the weights, which has changed.
        for value in [&mut self.ln_estimate, &mut self.ln_reference].into_iter().flatten() {
            *value += shift;
        }
        self.weights.get(&route).map(|weight| weight.ln_weight)
    }

    /// The route whose last answer is the oldest, if that was [`ROUTE_RETENTION_MS`] ago.
    fn unused_route(&self, now_ms: u64) -> Option<SocketAddrV4> {
        let (route, weight) = self.weights.iter().min_by_key(|(_, weight)| weight.answered_ms)?;
        let unused_ms = now_ms.saturating_sub(weight.answered_ms);
        (unused_ms >= ROUTE_RETENTION_MS).then_some(*route)
    }

    /// Fastest usual service time of a route's requests, in milliseconds.
    fn usual_time_ms(&self, route: SocketAddrV4) -> u64 {
        let ln_weight = self.weights.get(&route).map_or(0.0, |weight| weight.ln_weight);
        let time_us =
            self.ln_reference.map_or(0.0, |ln_reference| (ln_reference + ln_weight).exp());
        (time_us / US_PER_MS).ceil() as u64
    }

    /// Subtracts the mean from the logarithms of the weights, and returns it.
    fn normalize_weights(&mut self) -> f64 {
        let sum: f64 = self.weights.values().map(|weight| weight.ln_weight).sum();
        let mean = sum / self.weights.len() as f64;
        self.weights.values_mut().for_each(|weight| weight.ln_weight -= mean);
        mean
    }

    fn record(&mut self, sample: Sample) {
        self.samples.push_back(sample);
        while let Some(oldest) = self.samples.front()
            && (self.samples.len() > MAX_SAMPLES
                || (self.samples.len() > MIN_SAMPLES
                    && sample.at_ms.saturating_sub(oldest.at_ms) > MAX_SAMPLE_AGE_MS))
        {
            self.samples.pop_front();
        }
        if self.has_speed_changed() {
            self.samples.drain(..self.samples.len() - MIN_SAMPLES);
        }
    }

    fn has_speed_changed(&self) -> bool {
        let Some(ln_estimate) = self.ln_estimate else {
            return false;
        };
        let latest = self.samples.iter().rev().take(MIN_SAMPLES);
        let mut differences = latest.map(|sample| self.scaled(sample) - ln_estimate);
        let is_full = self.samples.len() > MIN_SAMPLES;
        is_full
            && (differences.clone().all(|difference| difference > CHANGED_RATIO.ln())
                || differences.all(|difference| difference < -CHANGED_RATIO.ln()))
    }

    /// Moves a route's weight towards the ratio of its measurements to those of the other routes. Only routes
    /// with at most half of the measurements are compared: their counterparts are then recent, and a change of
    /// the target's speed does not count as one of the weights.
    fn learn_weight(&mut self, route: SocketAddrV4, ln_scaled: f64) {
        let others: Vec<f64> = self
            .samples
            .iter()
            .rev()
            .filter(|sample| sample.route != route)
            .map(|sample| self.scaled(sample))
            .collect();
        if others.len() < COMPARED_SAMPLES || others.len() * 2 < self.samples.len() {
            return;
        }
        let step = WEIGHT_STEP.copysign(ln_scaled - median(&others[..COMPARED_SAMPLES]));
        if let Some(weight) = self.weights.get_mut(&route) {
            weight.ln_weight += step;
        }
        self.normalize_weights();
    }

    /// Logarithm of a measurement, divided by the weight of its route.
    fn scaled(&self, sample: &Sample) -> f64 {
        let weight = self.weights.get(&sample.route);
        sample.ln_time - weight.map_or(0.0, |weight| weight.ln_weight)
    }

    fn update_estimate(&mut self, now_ms: u64) {
        if self.samples.len() < MIN_SAMPLES {
            return;
        }
        let mut scaled: Vec<f64> = self.samples.iter().map(|sample| self.scaled(sample)).collect();
        scaled.sort_unstable_by(f64::total_cmp);
        let trimmed = scaled.len() * TRIM_PERCENT / 100;
        let middle = &scaled[trimmed..scaled.len() - trimmed];
        let ln_estimate = middle.iter().sum::<f64>() / middle.len() as f64;
        if self.ln_estimate.is_none() && self.ln_reference.is_none() {
            // So far they are times, and ratios from now on.
            self.first_ln_ratios.clear();
        }
        self.ln_estimate = Some(ln_estimate);
        match self.ln_reference {
            Some(ln_reference) if ln_reference < ln_estimate => {
                self.change_reference(REFERENCE_RISE_PER_S, now_ms);
                self.ln_reference = self.ln_reference.map(|value| value.min(ln_estimate));
            }
            _ => self.ln_reference = Some(ln_estimate),
        }
    }

    /// Changes the fastest usual service time at a rate per second, for the time since its last change, but at
    /// most a second.
    fn change_reference(&mut self, rate_per_s: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.reference_changed_ms) as f64;
        self.reference_changed_ms = now_ms;
        let change = rate_per_s * (elapsed_ms / MS_PER_S).min(1.0);
        self.ln_reference = self.ln_reference.map(|value| value + change);
    }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
