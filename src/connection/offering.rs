//! Schedule on which a balancer repeats the offer of an opening that a busy or full target has refused.
//!
//! It is designed for overload, such as all callers reconnecting after a power failure. A refused caller
//! retries at once, and its retry cannot be told from a new opening, so it would take a slot from one that
//! can still be answered in time. An opening is therefore offered again, with lower priority than new ones,
//! for as long as its caller waits, and refused only then.

/// Maximum time from the first offer to the last, in milliseconds: the platform's callers abandon an attempt
/// 1.4 s after its first segment.
const MAX_OFFER_PERIOD_MS: u64 = 1_300;

/// Time since the first offer within which an answer can still meet the latency objective, in milliseconds.
const EARLY_PERIOD_MS: u64 = 100;

/// Interval between offers while an answer can still be in time, in milliseconds: the service time of a
/// request, after which slots become free.
const EARLY_INTERVAL_MS: u64 = 50;

/// Interval between later offers, in milliseconds.
const LATE_INTERVAL_MS: u64 = 100;

/// Whether an opening may be offered again `since_first_offer_ms` after its first offer.
pub fn is_offer_allowed(since_first_offer_ms: u64) -> bool {
    since_first_offer_ms < MAX_OFFER_PERIOD_MS
}

/// Delay in milliseconds until the next offer, after one made `since_first_offer_ms` after the first.
pub fn next_offer_delay_ms(since_first_offer_ms: u64) -> u64 {
    if since_first_offer_ms <= EARLY_PERIOD_MS { EARLY_INTERVAL_MS } else { LATE_INTERVAL_MS }
}
