//! Whether a target answers as it should, by what its agent sees of its answers.
//!
//! The load that it answers: a target that says it is well and breaks off a part of its requests, or takes
//! several times as long as it used to. New flows go to other targets, but for one trial a second; flows
//! that are open stay where they are.

use std::collections::VecDeque;

/// Time for which an outcome counts, in milliseconds.
const OUTCOME_WINDOW_MS: u64 = 5_000;

/// Most outcomes that are remembered.
const MAX_OUTCOMES: usize = 64;

/// Fewest requests broken off that make a target fail: single ones are broken off by callers' faults, too.
const MIN_ABORTED: usize = 4;

/// Share of the requests broken off that makes a target fail, in percent.
const ABORTED_PERCENT: usize = 20;

/// Fewest and most answers, the last ones, by which a target is called slow.
const MIN_ANSWERS: usize = 8;
const MAX_ANSWERS: usize = 16;

/// Answers after which the usual time to the next one is known.
const MIN_BASELINE_ANSWERS: u64 = 32;

/// Times the usual time that make a target slow: a cold target with a full queue takes 3.2 times as long.
const SLOW_FACTOR: u64 = 4;

/// Time by which a slow target must be slower, in milliseconds: short answers vary by that much.
const SLOW_MARGIN_MS: u64 = 50;

/// Answers over which the usual time is a mean.
const BASELINE_MEAN_ANSWERS: u64 = 256;

/// The same while the target fails: what stays slower becomes usual within minutes.
const FAILING_BASELINE_MEAN_ANSWERS: u64 = 2_048;

/// Times the usual time up to which an answer counts for it: the first slow ones hardly change it.
const MAX_BASELINE_FACTOR: u64 = 2;

/// Good answers in a row after which a failing target is well again.
const RECOVERED_ANSWERS: usize = 4;

/// Time between two trial openings of a failing target, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Outcome {
    at_ms: u64,
    /// Time to the answer; none where the request was broken off.
    latency_ms: Option<u64>,
}

/// What is known of a target's answers.
#[derive(Debug, Default)]
pub struct TargetHealth {
    outcomes: VecDeque<Outcome>,
    is_failing: bool,
    answer_count: u64,
    baseline_us: u64,
    last_trial_ms: Option<u64>,
}

impl TargetHealth {
    /// Knows no answer yet.
    pub fn new() -> TargetHealth {
        TargetHealth::default()
    }

    /// An answer has begun, `latency_ms` after its request.
    pub fn note_answer(&mut self, latency_ms: u64, now_ms: u64) {
        self.note(Outcome { at_ms: now_ms, latency_ms: Some(latency_ms) });
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

    /// The target has broken a request off.
    pub fn note_aborted(&mut self, now_ms: u64) {
        self.note(Outcome { at_ms: now_ms, latency_ms: None });
    }

    /// The target has left a request without an answer for `latency_ms`. It counts as broken off where answers
    /// usually come much sooner.
    pub fn note_unanswered(&mut self, latency_ms: u64, now_ms: u64) {
        if self.has_baseline() && latency_ms > self.slow_threshold_ms() {
            self.note_aborted(now_ms);
        }
    }

    /// Whether new flows are better off elsewhere.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Whether a failing target is given an opening all the same, to see whether it is well again.
    pub fn try_admit_trial(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .last_trial_ms
            .is_none_or(|last_trial_ms| now_ms.saturating_sub(last_trial_ms) >= TRIAL_INTERVAL_MS);
        if is_due {
            self.last_trial_ms = Some(now_ms);
        }
        is_due
    }

    fn note(&mut self, outcome: Outcome) {
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
        let mut latencies_ms: Vec<u64> = latencies_ms.take(MAX_ANSWERS).collect();
        if !self.has_baseline() || latencies_ms.len() < MIN_ANSWERS {
            return false;
        }
        let middle = latencies_ms.len() / 2;
        let (_, median_ms, _) = latencies_ms.select_nth_unstable(middle);
        *median_ms > self.slow_threshold_ms()
    }

    fn has_baseline(&self) -> bool {
        self.answer_count >= MIN_BASELINE_ANSWERS
    }

    /// Time to an answer from which it is a slow one, in milliseconds.
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
