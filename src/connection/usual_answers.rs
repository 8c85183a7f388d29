//! Usual answers of a target by request class, and which answers are implausible beside them.
//!
//! Errors can't be read from the payload. They are inferred from headers: an answer that differs from the usual
//! ones of its target and class in at least two of latency, length and closing of the flow counts as an error. One
//! difference alone is common: cached results are fast, empty results are short.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::connection::answer_tracker::Answer;
use crate::connection::request_class::RequestClass;

/// Number of plausible answers of a class from which on its answers are judged.
const MIN_USUAL_ANSWERS: usize = 32;

/// Number of the latest plausible answers of a class that are compared with.
const MAX_USUAL_ANSWERS: usize = 64;

/// Maximum number of classes, of which the least recently used one is evicted. The routes of a service have two or
/// three, and a class that the configuration changes is a new one.
const MAX_CLASSES: usize = 8;

/// Quantile of latencies and lengths that an answer is compared with, in percent. Below the median, as a class may
/// mix requests of several kinds; high enough that errors among the first answers don't decide it.
const REFERENCE_PERCENT: usize = 25;

/// An answer is fast if it takes less than this fraction of the reference latency. A target that was cold
/// (1.6 times) is not; one whose queue empties may be, but its answers keep their length.
const FAST_DIVISOR: u64 = 4;

/// Added to latencies before they are compared, in milliseconds: the clock's resolution.
const CLOCK_RESOLUTION_MS: u64 = 1;

/// An answer is short if its length is below this fraction of the reference length.
const SHORT_DIVISOR: u32 = 2;

/// Share of answers after which the target closes the flow, in percent, from which on that is usual.
const USUAL_CLOSE_PERCENT: usize = 10;

/// Number of differences from which on an answer is implausible.
const MIN_DIFFERENCES: usize = 2;

/// Latest plausible answers of one class, and the reference values that follow from them.
#[derive(Debug, Default)]
struct ClassAnswers {
    answers: VecDeque<Answer>,
    latency_ms: u64,
    bytes: u32,
    closes_flow: bool,
}

impl ClassAnswers {
    fn is_implausible(&self, answer: &Answer) -> bool {
        if self.answers.len() < MIN_USUAL_ANSWERS {
            return false;
        }
        let is_fast = (answer.latency_ms + CLOCK_RESOLUTION_MS) * FAST_DIVISOR <= self.latency_ms;
        let is_short = answer.bytes.saturating_mul(SHORT_DIVISOR) < self.bytes;
        let closes_unusually = answer.closes_flow && !self.closes_flow;
        let differences = [is_fast, is_short, closes_unusually];
        differences.into_iter().filter(|differs| *differs).count() >= MIN_DIFFERENCES
    }

    fn add(&mut self, answer: Answer) {
        if self.answers.len() >= MAX_USUAL_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(answer);
        let mut latencies_ms: Vec<u64> =
            self.answers.iter().map(|usual| usual.latency_ms).collect();
        let mut lengths: Vec<u32> = self.answers.iter().map(|usual| usual.bytes).collect();
        let position = self.answers.len() * REFERENCE_PERCENT / 100;
        self.latency_ms = *latencies_ms.select_nth_unstable(position).1;
        self.bytes = *lengths.select_nth_unstable(position).1;
        let closing = self.answers.iter().filter(|usual| usual.closes_flow).count();
        self.closes_flow = closing * 100 >= self.answers.len() * USUAL_CLOSE_PERCENT;
    }
}

/// Usual answers of a target, by class.
#[derive(Debug, Default)]
pub struct UsualAnswers {
    /// Least recently used first.
    classes: IndexMap<RequestClass, ClassAnswers>,
}

impl UsualAnswers {
    /// Creates the state of a target that has not answered yet.
    pub fn new() -> UsualAnswers {
        UsualAnswers::default()
    }

    /// Whether an answer is implausible beside the usual ones of its class. Plausible ones become usual; implausible
    /// ones never do, however many they are, until the target's instance changes.
    pub fn judge(&mut self, class: RequestClass, answer: Answer) -> bool {
        let known = self.classes.shift_remove(&class);
        if self.classes.len() >= MAX_CLASSES {
            self.classes.shift_remove_index(0);
        }
        let usual = self.classes.entry(class).or_insert(known.unwrap_or_default());
        let is_implausible = usual.is_implausible(&answer);
        if !is_implausible {
            usual.add(answer);
        }
        is_implausible
    }
}
