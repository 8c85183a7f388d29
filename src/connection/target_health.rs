//! Passive health checking (outlier detection) of a target, from the answers that its agent sees.
//!
//! It detects a target that reports itself as healthy but aborts a share of its requests, or takes several
//! times as long as before. A failing target gets one trial opening per second; its other openings go to
//! other targets, if any are left to try. Open flows are not moved.
//!
//! For routes with a class it also detects error answers (see [`UsualAnswers`]), and a target that fails the
//! callers of one availability zone only.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::connection::answer_tracker::AnswerTracker;
use crate::connection::answer_tracker::CompletedAnswer;
use crate::connection::answer_tracker::RequestOrigin;
use crate::connection::flow_key::FlowKey;
use crate::connection::request_class::RequestClass;
use crate::connection::segment::Segment;
use crate::connection::tracked_flows::AnswerEvent;
use crate::connection::usual_answers::UsualAnswers;

/// Sliding window of outcomes that are evaluated, in milliseconds.
const OUTCOME_WINDOW_MS: u64 = 5_000;

/// Maximum number of outcomes that are stored.
const MAX_OUTCOMES: usize = 64;

/// Minimum number of failed requests for a target to count as failing; faults of callers can cause single
/// failures, too.
const MIN_FAILED: usize = 4;

/// Share of failed requests from which a target counts as failing, in percent.
const FAILED_PERCENT: usize = 20;

/// Number of outcomes of one zone that are evaluated, and their maximum age in milliseconds. A zone with a twentieth
/// of the callers has two requests per second at a target that gets 40.
const MAX_ZONE_OUTCOMES: usize = 16;
const ZONE_WINDOW_MS: u64 = 15_000;

/// Share of failed requests of one zone from which the target counts as failing for it, in percent. Higher than
/// [`FAILED_PERCENT`], as the sample is smaller and one caller may be a large part of it.
const ZONE_FAILED_PERCENT: usize = 50;

/// Maximum number of zones; deployments have three to five.
const MAX_ZONES: usize = 16;

/// Minimum and maximum number of recent answers whose median latency decides whether a target is slow.
const MIN_MEDIAN_ANSWERS: usize = 8;
const MAX_MEDIAN_ANSWERS: usize = 16;

/// Number of answers from which on the baseline latency is valid.
const MIN_BASELINE_ANSWERS: u64 = 32;

/// Multiple of the baseline latency above which a target counts as slow. A cold target with a full queue
/// legitimately takes 3.2 times as long.
const SLOW_FACTOR: u64 = 4;

/// Added to the slow threshold, in milliseconds, as the latency of short requests varies by this much.
const SLOW_MARGIN_MS: u64 = 50;

/// Number of answers over which the baseline latency is averaged.
const BASELINE_MEAN_ANSWERS: u64 = 256;

/// Number of answers over which the baseline is averaged while the target is failing: a permanent slowdown
/// becomes the new baseline within minutes.
const FAILING_BASELINE_MEAN_ANSWERS: u64 = 2_048;

/// Multiple of the baseline at which latencies are capped before they are averaged, so that the first slow
/// answers hardly change the baseline.
const MAX_BASELINE_FACTOR: u64 = 2;

/// Consecutive good answers after which a failing target counts as recovered.
const RECOVERED_ANSWERS: usize = 4;

/// Minimum time from the first to the last of these answers, in milliseconds, for routes with a class: somewhat less
/// than that of four trials. On open flows a target that fails a quarter of its requests gives four good answers in a
/// row within a fraction of a second.
const RECOVERY_MS: u64 = 2_500;

/// Interval between trial openings at a failing target, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;

const US_PER_MS: u64 = 1_000;

/// How a request has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The target has reset the flow without an answer.
    Aborted,
    /// There was no answer in time.
    Unanswered,
    /// The answer is implausible beside the usual ones.
    Error,
    /// Answers take several times as long as before.
    Slow,
}

impl Failure {
    /// All forms of failure.
    pub const ALL: [Failure; 4] =
        [Failure::Aborted, Failure::Unanswered, Failure::Error, Failure::Slow];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::Aborted => "aborted",
            Failure::Unanswered => "unanswered",
            Failure::Error => "error",
            Failure::Slow => "slow",
        }
    }
}

/// A target that has become failing, or has recovered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthChange {
    /// Whether the target is failing now.
    pub is_failing: bool,
    /// Most frequent failure of the requests that the target was judged by.
    pub reason: Failure,
    /// Hash of the zone if only callers of one are affected.
    pub zone: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    at_ms: u64,
    /// Hash of the caller's zone; 0 if unknown.
    zone: u32,
    /// Time from the request to the start of its answer, or how the request has failed.
    latency_ms: Result<u64, Failure>,
}

/// Verdict on a failing target, and its good answers since the last failure.
#[derive(Clone, Copy, Debug)]
struct Failing {
    reason: Failure,
    /// The zone whose callers are affected, if it is one only.
    zone: Option<u32>,
    good_answers: usize,
    /// Time of the first of them.
    good_since_ms: u64,
}

/// Recent request outcomes and usual answers of a target.
#[derive(Debug, Default)]
pub struct TargetHealth {
    outcomes: VecDeque<Outcome>,
    zone_outcomes: IndexMap<u32, VecDeque<Outcome>>,
    failing: Option<Failing>,
    change: Option<HealthChange>,
    answer_count: u64,
    baseline_us: u64,
    last_trial_ms: Option<u64>,
    answers: AnswerTracker,
    usual_answers: UsualAnswers,
    /// Whether any request was of a route with a class.
    has_classes: bool,
    error_count: u64,
}

impl TargetHealth {
    /// Creates the state of a target without any outcome.
    pub fn new() -> TargetHealth {
        TargetHealth::default()
    }

    /// Notes that an answer has started, `latency_ms` after its request.
    pub fn note_answer(&mut self, latency_ms: u64, now_ms: u64) {
        self.note_good_answer(latency_ms, 0, now_ms);
    }

    /// Notes that the target has aborted a request.
    pub fn note_aborted(&mut self, now_ms: u64) {
        self.note_failure(Failure::Aborted, 0, now_ms);
    }

    /// Notes that a request has had no answer for `unanswered_ms`. It counts as failed if that exceeds the
    /// slow threshold.
    pub fn note_unanswered(&mut self, unanswered_ms: u64, now_ms: u64) {
        self.note_unanswered_from(0, unanswered_ms, now_ms);
    }

    /// Notes a caller's segment that is forwarded to the target. `zone` is the caller's, as known from an opening.
    pub fn note_caller_segment(
        &mut self,
        segment: &Segment,
        class: Option<RequestClass>,
        zone: u32,
        now_ms: u64,
    ) {
        self.has_classes |= class.is_some();
        let completed = self.answers.note_caller_segment(segment, class, zone, now_ms);
        self.note_completed(completed, now_ms);
    }

    /// Notes a segment of the target and its effect on the request in progress. An answer of a route without a class
    /// counts at its start, others once they are complete.
    pub fn note_target_segment(
        &mut self,
        segment: &Segment,
        event: Option<AnswerEvent>,
        now_ms: u64,
    ) {
        let origin = self.answers.origin(&segment.flow);
        let latency_ms = match event {
            Some(AnswerEvent::Started { latency_ms }) => Some(latency_ms),
            Some(AnswerEvent::Aborted) | None => None,
        };
        match (event, origin) {
            (Some(AnswerEvent::Aborted), _) => {
                self.note_failure(Failure::Aborted, zone_of(origin), now_ms);
            }
            (Some(AnswerEvent::Started { latency_ms }), None) => {
                self.note_answer(latency_ms, now_ms);
            }
            (Some(AnswerEvent::Started { .. }), Some(_)) | (None, _) => {}
        }
        let completed = self.answers.note_target_segment(segment, latency_ms, now_ms);
        self.note_completed(completed, now_ms);
    }

    /// Notes requests without an answer for `unanswered_ms`, and evaluates the answers whose flows have been quiet.
    /// Flows that `is_known` does not name are forgotten. A failure for one zone ends if it has had no requests for
    /// [`ZONE_WINDOW_MS`].
    pub fn expire(
        &mut self,
        unanswered: &[FlowKey],
        unanswered_ms: u64,
        is_known: impl Fn(&FlowKey) -> bool,
        now_ms: u64,
    ) {
        for flow in unanswered {
            let zone = zone_of(self.answers.origin(flow));
            self.note_unanswered_from(zone, unanswered_ms, now_ms);
        }
        for completed in self.answers.expire(is_known, now_ms) {
            self.note_completed(Some(completed), now_ms);
        }
        // Without callers of the zone, no answer could show the recovery.
        let is_outdated = |zone| {
            let last = self.zone_outcomes.get(&zone).and_then(VecDeque::back);
            last.is_some_and(|last| now_ms.saturating_sub(last.at_ms) >= ZONE_WINDOW_MS)
        };
        if let Some(failing) = self.failing
            && failing.zone.is_some_and(is_outdated)
        {
            self.end_failing(failing);
        }
    }

    /// Usual time from a request to the start of its answer, in microseconds; `None` after too few answers.
    pub fn baseline_us(&self) -> Option<u64> {
        self.has_baseline().then_some(self.baseline_us)
    }

    /// Whether openings should go to other targets.
    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Whether openings from a zone should go to other targets.
    pub fn is_failing_for(&self, zone: u32) -> bool {
        self.failing.is_some_and(|failing| failing.zone.is_none_or(|failing| failing == zone))
    }

    /// Whether balancers are told that the target is failing. They rank only targets of routes with a class by it.
    pub fn is_reported_failing(&self) -> bool {
        self.has_classes && self.is_failing()
    }

    /// Number of answers that counted as errors.
    pub fn error_count(&self) -> u64 {
        self.error_count
    }

    /// The last change between healthy and failing since the last call.
    pub fn take_change(&mut self) -> Option<HealthChange> {
        self.change.take()
    }

    /// Whether a failing target is due for a trial opening, which shows whether it has recovered. Starts
    /// the next trial interval if so.
    pub fn try_admit_trial(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .last_trial_ms
            .is_none_or(|last_trial_ms| now_ms.saturating_sub(last_trial_ms) >= TRIAL_INTERVAL_MS);
        if is_due {
            self.last_trial_ms = Some(now_ms);
        }
        is_due
    }

    fn note_completed(&mut self, completed: Option<CompletedAnswer>, now_ms: u64) {
        let Some(CompletedAnswer { origin, answer }) = completed else {
            return;
        };
        if self.usual_answers.judge(origin.class, answer) {
            self.error_count += 1;
            self.note_failure(Failure::Error, origin.zone, now_ms);
        } else {
            self.note_good_answer(answer.latency_ms, origin.zone, now_ms);
        }
    }

    fn note_good_answer(&mut self, latency_ms: u64, zone: u32, now_ms: u64) {
        self.record(Outcome { at_ms: now_ms, zone, latency_ms: Ok(latency_ms) });
        let max_latency_us =
            if self.has_baseline() { self.baseline_us * MAX_BASELINE_FACTOR } else { u64::MAX };
        let latency_us = (latency_ms * US_PER_MS).min(max_latency_us);
        self.answer_count += 1;
        let mean_answers = match self.is_failing() {
            true => FAILING_BASELINE_MEAN_ANSWERS,
            false => self.answer_count.min(BASELINE_MEAN_ANSWERS),
        };
        self.baseline_us = (self.baseline_us * (mean_answers - 1) + latency_us) / mean_answers;
    }

    fn note_failure(&mut self, failure: Failure, zone: u32, now_ms: u64) {
        self.record(Outcome { at_ms: now_ms, zone, latency_ms: Err(failure) });
    }

    fn note_unanswered_from(&mut self, zone: u32, unanswered_ms: u64, now_ms: u64) {
        if self.has_baseline() && unanswered_ms > self.slow_threshold_ms() {
            self.note_failure(Failure::Unanswered, zone, now_ms);
        }
    }

    fn record(&mut self, outcome: Outcome) {
        push(&mut self.outcomes, outcome, MAX_OUTCOMES, OUTCOME_WINDOW_MS);
        let is_zone_known = self.zone_outcomes.contains_key(&outcome.zone);
        if outcome.zone != 0 && (is_zone_known || self.zone_outcomes.len() < MAX_ZONES) {
            let of_zone = self.zone_outcomes.entry(outcome.zone).or_default();
            push(of_zone, outcome, MAX_ZONE_OUTCOMES, ZONE_WINDOW_MS);
        }
        match self.failing {
            None => {
                if let Some((reason, zone)) = self.find_failure(outcome.zone) {
                    self.begin_failing(reason, zone);
                }
            }
            Some(failing) => {
                let wider = failing.zone.and_then(|zone| self.find_failure_beyond(zone));
                if let Some(wider) = wider {
                    self.begin_failing(wider, None);
                } else if self.has_recovered(&outcome) {
                    self.end_failing(failing);
                }
            }
        }
    }

    fn begin_failing(&mut self, reason: Failure, zone: Option<u32>) {
        self.failing = Some(Failing { reason, zone, good_answers: 0, good_since_ms: 0 });
        self.change = Some(HealthChange { is_failing: true, reason, zone });
    }

    fn end_failing(&mut self, failing: Failing) {
        let Failing { reason, zone, .. } = failing;
        self.failing = None;
        self.outcomes.clear();
        self.zone_outcomes.clear();
        self.change = Some(HealthChange { is_failing: false, reason, zone });
    }

    /// The failure by which the target counts as failing, and the zone if only callers of one are affected.
    /// `last_zone` is that of the last request.
    fn find_failure(&self, last_zone: u32) -> Option<(Failure, Option<u32>)> {
        if let Some(reason) = most_frequent_failure(self.outcomes.iter(), FAILED_PERCENT) {
            return Some((reason, self.only_failed_zone()));
        }
        if self.is_slow() {
            return Some((Failure::Slow, None));
        }
        let of_zone = self.zone_outcomes.get(&last_zone)?;
        let reason = most_frequent_failure(of_zone.iter(), ZONE_FAILED_PERCENT)?;
        Some((reason, Some(last_zone)))
    }

    /// The zone of all failed requests, if it is one, and the callers of others are served.
    fn only_failed_zone(&self) -> Option<u32> {
        let failed = self.outcomes.iter().filter(|outcome| outcome.latency_ms.is_err());
        let mut zones = failed.map(|outcome| outcome.zone);
        let zone = zones.next().filter(|zone| *zone != 0)?;
        let is_served = |outcome: &&Outcome| outcome.zone != 0 && outcome.zone != zone;
        let is_only_one = zones.all(|other| other == zone);
        let served = self.outcomes.iter().filter(is_served).count();
        (is_only_one && served >= MIN_MEDIAN_ANSWERS).then_some(zone)
    }

    /// The failure by which the target counts as failing for callers of other zones than this.
    fn find_failure_beyond(&self, zone: u32) -> Option<Failure> {
        let others = self.outcomes.iter().filter(|outcome| outcome.zone != zone);
        let reason = most_frequent_failure(others, FAILED_PERCENT);
        reason.or_else(|| self.is_slow().then_some(Failure::Slow))
    }

    fn is_slow(&self) -> bool {
        let latencies_ms = self.outcomes.iter().rev().filter_map(|outcome| outcome.latency_ms.ok());
        let mut latencies_ms: Vec<u64> = latencies_ms.take(MAX_MEDIAN_ANSWERS).collect();
        if !self.has_baseline() || latencies_ms.len() < MIN_MEDIAN_ANSWERS {
            return false;
        }
        let middle = latencies_ms.len() / 2;
        let (_, median_ms, _) = latencies_ms.select_nth_unstable(middle);
        *median_ms > self.slow_threshold_ms()
    }

    fn has_baseline(&self) -> bool {
        self.answer_count >= MIN_BASELINE_ANSWERS
    }

    /// Latency above which an answer counts as slow, in milliseconds.
    fn slow_threshold_ms(&self) -> u64 {
        self.baseline_us * SLOW_FACTOR / US_PER_MS + SLOW_MARGIN_MS
    }

    fn is_good(&self, outcome: &Outcome) -> bool {
        outcome.latency_ms.is_ok_and(|ms| ms <= self.slow_threshold_ms())
    }

    /// Whether the target has recovered with this outcome.
    fn has_recovered(&mut self, outcome: &Outcome) -> bool {
        if !self.has_classes {
            let outcomes = self.outcomes.iter().rev();
            return outcomes.take_while(|outcome| self.is_good(outcome)).count()
                >= RECOVERED_ANSWERS;
        }
        let is_good = self.is_good(outcome);
        let Some(failing) = &mut self.failing else {
            return false;
        };
        if failing.zone.is_some_and(|zone| zone != outcome.zone) {
            return false;
        }
        if !is_good {
            failing.good_answers = 0;
            return false;
        }
        if failing.good_answers == 0 {
            failing.good_since_ms = outcome.at_ms;
        }
        failing.good_answers += 1;
        failing.good_answers >= RECOVERED_ANSWERS
            && outcome.at_ms.saturating_sub(failing.good_since_ms) >= RECOVERY_MS
    }
}

/// Hash of the zone of a flow's requests; 0 if unknown.
fn zone_of(origin: Option<RequestOrigin>) -> u32 {
    origin.map_or(0, |origin| origin.zone)
}

/// Adds an outcome and removes those that are too old or too many.
fn push(outcomes: &mut VecDeque<Outcome>, outcome: Outcome, max_outcomes: usize, window_ms: u64) {
    while let Some(oldest) = outcomes.front()
        && (outcomes.len() >= max_outcomes
            || outcome.at_ms.saturating_sub(oldest.at_ms) >= window_ms)
    {
        outcomes.pop_front();
    }
    outcomes.push_back(outcome);
}

/// The most frequent failure, if at least [`MIN_FAILED`] requests and `min_percent` of them have failed.
fn most_frequent_failure<'a>(
    outcomes: impl Iterator<Item = &'a Outcome> + Clone,
    min_percent: usize,
) -> Option<Failure> {
    let failures = || outcomes.clone().filter_map(|outcome| outcome.latency_ms.err());
    let failed = failures().count();
    if failed < MIN_FAILED || failed * 100 < outcomes.clone().count() * min_percent {
        return None;
    }
    Failure::ALL
        .into_iter()
        .max_by_key(|failure| failures().filter(|other| other == failure).count())
}
