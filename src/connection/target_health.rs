//! Whether a target answers as it should, by what its agent sees of its answers.
//!
//! The load that it answers: a target that says it is well and breaks off a part of its requests, or takes
//! several times as long as it used to. New flows go to other targets, but for one trial a second; flows
//! that are open stay where they are.

use std::collections::VecDeque;

/// Time for which an outcome counts, in milliseconds.
const MEMORY_MS: u64 = 5_000;

/// Most outcomes that are remembered.
const MAX_OUTCOMES: usize = 64;

/// Fewest requests broken off that make a target fail: single ones are broken off by callers' faults, too.
const MIN_BROKEN_OFF: usize = 4;

/// Share of the requests broken off that makes a target fail, in percent.
const BROKEN_OFF_PERCENT: usize = 20;

/// Fewest and most answers, the last ones, by which a target is called slow.
const MIN_ANSWERS: usize = 8;
const MAX_ANSWERS: usize = 16;

/// Answers after which the usual time to the next one is known.
const USUAL_ANSWERS: u64 = 32;

/// Times the usual time that make a target slow: a cold target with a full queue takes 3.2 times as long.
const SLOW_FACTOR: u64 = 4;

/// Time by which a slow target must be slower, in milliseconds: short answers vary by that much.
const SLOW_MARGIN_MS: u64 = 50;

/// Answers over which the usual time is a mean.
const USUAL_MEAN_ANSWERS: u64 = 256;

/// The same while the target fails: what stays slower becomes usual within minutes.
const FAILING_MEAN_ANSWERS: u64 = 2_048;

/// Times the usual time up to which an answer counts for it: the first slow ones hardly change it.
const MOST_TIMES_USUAL: u64 = 2;

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
    waited_ms: Option<u64>,
}

/// What is known of a target's answers.
#[derive(Debug, Default)]
pub struct TargetHealth {
    outcomes: VecDeque<Outcome>,
    is_failing: bool,
    answers: u64,
    usual_us: u64,
    tried_ms: Option<u64>,
}

impl TargetHealth {
    /// Knows no answer yet.
    pub fn new() -> TargetHealth {
        TargetHealth::default()
    }

    /// An answer has begun, `waited_ms` after its request.
    pub fn note_answer(&mut self, waited_ms: u64, now_ms: u64) {
        self.note(Outcome { at_ms: now_ms, waited_ms: Some(waited_ms) });
        let most_us = if self.knows_usual() { self.usual_us * MOST_TIMES_USUAL } else { u64::MAX };
        let waited_us = (waited_ms * US_PER_MS).min(most_us);
        self.answers += 1;
        let mean_of = match self.is_failing {
            true => FAILING_MEAN_ANSWERS,
            false => self.answers.min(USUAL_MEAN_ANSWERS),
        };
        self.usual_us = (self.usual_us * (mean_of - 1) + waited_us) / mean_of;
    }

    /// The target has broken a request off.
    pub fn note_broken_off(&mut self, now_ms: u64) {
        self.note(Outcome { at_ms: now_ms, waited_ms: None });
    }

    /// The target has left a request without an answer for `waited_ms`. It counts as broken off where answers
    /// usually come much sooner.
    pub fn note_unanswered(&mut self, waited_ms: u64, now_ms: u64) {
        if self.knows_usual() && waited_ms > self.slow_ms() {
            self.note_broken_off(now_ms);
        }
    }

    /// Whether new flows are better off elsewhere.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Whether a failing target is given an opening all the same, to see whether it is well again.
    pub fn takes_trial(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .tried_ms
            .is_none_or(|tried_ms| now_ms.saturating_sub(tried_ms) >= TRIAL_INTERVAL_MS);
        if is_due {
            self.tried_ms = Some(now_ms);
        }
        is_due
    }

    fn note(&mut self, outcome: Outcome) {
        while let Some(oldest) = self.outcomes.front()
            && (self.outcomes.len() >= MAX_OUTCOMES
                || outcome.at_ms.saturating_sub(oldest.at_ms) >= MEMORY_MS)
        {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(outcome);
        if !self.is_failing {
            self.is_failing = self.breaks_off() || self.is_slow();
        } else if self.has_recovered() {
            self.is_failing = false;
            self.outcomes.clear();
        }
    }

    fn breaks_off(&self) -> bool {
        let is_broken_off = |outcome: &&Outcome| outcome.waited_ms.is_none();
        let broken_off = self.outcomes.iter().filter(is_broken_off).count();
        broken_off >= MIN_BROKEN_OFF && broken_off * 100 >= self.outcomes.len() * BROKEN_OFF_PERCENT
    }

    fn is_slow(&self) -> bool {
        let waits_ms = self.outcomes.iter().rev().filter_map(|outcome| outcome.waited_ms);
        let mut waits_ms: Vec<u64> = waits_ms.take(MAX_ANSWERS).collect();
        if !self.knows_usual() || waits_ms.len() < MIN_ANSWERS {
            return false;
        }
        let middle = waits_ms.len() / 2;
        let (_, median_ms, _) = waits_ms.select_nth_unstable(middle);
        *median_ms > self.slow_ms()
    }

    fn knows_usual(&self) -> bool {
        self.answers >= USUAL_ANSWERS
    }

    /// Time to an answer from which it is a slow one, in milliseconds.
    fn slow_ms(&self) -> u64 {
        self.usual_us * SLOW_FACTOR / US_PER_MS + SLOW_MARGIN_MS
    }

    fn has_recovered(&self) -> bool {
        let is_well = |outcome: &Outcome| outcome.waited_ms.is_some_and(|ms| ms <= self.slow_ms());
        let well = self.outcomes.iter().rev().take_while(|outcome| is_well(outcome)).count();
        well >= RECOVERED_ANSWERS
    }
}
