//! Passive health checking (outlier detection) of a target, from the answers that its agent sees.
//!
//! It detects a target that reports itself as healthy but aborts a share of its requests, or takes several
//! times as long as before. A failing target gets one trial opening per second; its other openings go to
//! other targets, if any are left to try. Open flows are not moved.

use std::collections::VecDeque;

/// Sliding window of outcomes that are evaluated, in milliseconds.
const OUTCOME_WINDOW_MS: u64 = 5_000;

/// Maximum number of outcomes that are stored.
const MAX_OUTCOMES: usize = 64;

/// Minimum number of aborted requests for a target to count as failing; faults of callers can cause single
/// aborts, too.
const MIN_ABORTED: usize = 4;

/// Share of aborted requests from which a target counts as failing, in percent.
const ABORTED_PERCENT: usize = 20;

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

/// Consecutive answers below the slow threshold after which a failing target counts as recovered.
const RECOVERED_ANSWERS: usize = 4;

/// Interval between trial openings at a failing target, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;

const US_PER_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Outcome {
    at_ms: u64,
    /// Time from the request to the start of its answer; `None` if the request was aborted.
    latency_ms: Option<u64>,
}

/// Recent request outcomes and baseline latency of a target.
#[derive(Debug, Default)]
pub struct TargetHealth {
    outcomes: VecDeque<Outcome>,
    is_failing: bool,
    answer_count: u64,
    baseline_us: u64,
    last_trial_ms: Option<u64>,
}

impl TargetHealth {
    /// Creates the state of a target without any outcome.
    pub fn new() -> TargetHealth {
        TargetHealth::default()
    }

    /// Notes that an answer has started, `latency_ms` after its request.
    pub fn note_answer(&mut self, latency_ms: u64, now_ms: u64) {
        self.record(Outcome { at_ms: now_ms, latency_ms: Some(latency_ms) });
        let max_latency_us =
            if self.has_baseline() { self.baseline_us * MAX_BASELINE_FACTOR } else { u64::MAX };
        let latency_us = (latency_ms * US_PER_MS).min(max_latency_us);
        self.answer_count += 1;
        let mean_answers = match self.is_failing {
            true => FAILING_BASELINE_MEAN_ANSWERS,
            false => self.answer_count.min(BASELINE_MEAN_ANSWERS),
        };
        self.baseline_us = (self.baseline_us * (mean_answers - 1) + latency_us) / mean_answers;
    }

    /// Notes that the target has aborted a request.
    pub fn note_aborted(&mut self, now_ms: u64) {
        self.record(Outcome { at_ms: now_ms, latency_ms: None });
    }

    /// Notes that a request has had no answer for `unanswered_ms`. It counts as aborted if that exceeds the
    /// slow threshold.
    pub fn note_unanswered(&mut self, unanswered_ms: u64, now_ms: u64) {
        if self.has_baseline() && unanswered_ms > self.slow_threshold_ms() {
            self.note_aborted(now_ms);
        }
    }

    /// Whether openings should go to other targets.
    pub fn is_failing(&self) -> bool {
        self.is_failing
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

    fn record(&mut self, outcome: Outcome) {
        while let Some(oldest) = self.outcomes.front()
            && (self.outcomes.len() >= MAX_OUTCOMES
                || outcome.at_ms.saturating_sub(oldest.at_ms) >= OUTCOME_WINDOW_MS)
        {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(outcome);
        if !self.is_failing {
            self.is_failing = self.aborts_requests() || self.is_slow();
        } else if self.has_recovered() {
            self.is_failing = false;
            self.outcomes.clear();
        }
    }

    fn aborts_requests(&self) -> bool {
        let is_aborted = |outcome: &&Outcome| outcome.latency_ms.is_none();
        let aborted = self.outcomes.iter().filter(is_aborted).count();
        aborted >= MIN_ABORTED && aborted * 100 >= self.outcomes.len() * ABORTED_PERCENT
    }

    fn is_slow(&self) -> bool {
        let latencies_ms = self.outcomes.iter().rev().filter_map(|outcome| outcome.latency_ms);
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

    fn has_recovered(&self) -> bool {
        let is_good =
            |outcome: &Outcome| outcome.latency_ms.is_some_and(|ms| ms <= self.slow_threshold_ms());
        let good_answers =
            self.outcomes.iter().rev().take_while(|outcome| is_good(outcome)).count();
        good_answers >= RECOVERED_ANSWERS
    }
}
