//! How long and how often an opening that met only full targets is offered again.
//!
//! The load that it answers: more openings than the targets bear, as when everybody comes back after a loss
//! of power. A caller that is refused tries again at once, and nobody can tell that try from a fresh
//! opening; it takes the slot of one that could still be answered in time. So an opening keeps its place
//! for as long as its caller waits for it, behind fresh ones, and is refused then.

/// Longest time from the first offer to the last, in milliseconds: the platform's callers give a try up
/// 1.4 s after its first copy.
const MAX_OFFER_PERIOD_MS: u64 = 1_300;

/// Time since the first offer in which an answer can still be in time, in milliseconds.
const EARLY_PERIOD_MS: u64 = 100;

/// Time between two offers while an answer can be in time, in milliseconds: the work of a request, in which
/// slots are freed.
const EARLY_INTERVAL_MS: u64 = 50;

/// Time between two later offers, in milliseconds.
const LATE_INTERVAL_MS: u64 = 100;

/// Whether an opening is offered once more, `since_first_offer_ms` after its first offer.
pub fn is_offer_allowed(since_first_offer_ms: u64) -> bool {
    since_first_offer_ms < MAX_OFFER_PERIOD_MS
}

/// Time from an offer to the next one, in milliseconds, if it was made `since_first_offer_ms` after the first.
pub fn next_offer_delay_ms(since_first_offer_ms: u64) -> u64 {
    if since_first_offer_ms <= EARLY_PERIOD_MS { EARLY_INTERVAL_MS } else { LATE_INTERVAL_MS }
}
