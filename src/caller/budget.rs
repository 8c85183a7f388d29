//! The retry budget: retries in proportion to calls.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Parts of one retry.
const PARTS: i64 = 100;

/// Retries that may be saved up, in parts.
const MAX_SAVED: i64 = 10 * PARTS;

/// Saves a part of a retry with each call.
#[derive(Debug)]
pub struct RetryBudget {
    parts: AtomicI64,
    earned_per_call: i64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred calls.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { parts: AtomicI64::new(0), earned_per_call: i64::from(percent) }
    }

    /// Saves the part of one call.
    pub fn earn(&self) {
        let earn = |parts: i64| Some((parts + self.earned_per_call).min(MAX_SAVED));
        // The closure always returns a value.
        let _ = self.parts.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry; false where there is none.
    pub fn spend(&self) -> bool {
        let spend = |parts: i64| (parts >= PARTS).then_some(parts - PARTS);
        self.parts.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}
