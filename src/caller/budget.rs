//! Retry budget: limits retries to a fixed percentage of the calls, so that retries cannot multiply
//! the load on an overloaded service.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Balance that one retry costs. A call deposits the budget's percentage, so 100 calls at 10 percent pay
/// for 10 retries.
const UNITS_PER_RETRY: i64 = 100;

/// Upper bound of the balance: at most 10 retries in a row after a long time without failures.
const MAX_BALANCE: i64 = 10 * UNITS_PER_RETRY;

/// Token bucket that calls fill and retries empty.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicI64,
    deposit_per_call: i64,
}

impl RetryBudget {
    /// Creates an empty budget that allows `percent` retries per hundred calls.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { balance: AtomicI64::new(0), deposit_per_call: i64::from(percent) }
    }

    /// Credits one call.
    pub fn deposit(&self) {
        let deposit = |balance: i64| Some((balance + self.deposit_per_call).min(MAX_BALANCE));
        // The update cannot fail: the closure always returns a value.
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit);
    }

    /// Pays for one retry. Returns false if the balance does not cover it.
    pub fn try_withdraw(&self) -> bool {
        let try_withdraw =
            |balance: i64| (balance >= UNITS_PER_RETRY).then_some(balance - UNITS_PER_RETRY);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, try_withdraw).is_ok()
    }
}
