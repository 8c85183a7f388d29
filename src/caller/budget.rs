//! The retry budget: retries in proportion to calls.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Parts of one retry.
const UNITS_PER_RETRY: i64 = 100;

/// Retries that may be saved up, in parts.
const MAX_BALANCE: i64 = 10 * UNITS_PER_RETRY;

/// Saves a part of a retry with each call.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicI64,
    deposit_per_call: i64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred calls.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { balance: AtomicI64::new(0), deposit_per_call: i64::from(percent) }
    }

    /// Saves the part of one call.
    pub fn deposit(&self) {
        let deposit = |balance: i64| Some((balance + self.deposit_per_call).min(MAX_BALANCE));
        // The closure always returns a value.
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit);
    }

    /// Takes one retry; false where there is none.
    pub fn try_withdraw(&self) -> bool {
        let try_withdraw =
            |balance: i64| (balance >= UNITS_PER_RETRY).then_some(balance - UNITS_PER_RETRY);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, try_withdraw).is_ok()
    }
}
