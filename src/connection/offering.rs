//! How long and how often an opening that met only full targets is offered again.
//!
//! The load that it answers: more openings than the targets bear, as when everybody comes back after a loss
//! of power. A caller that is refused tries again at once, and nobody can tell that try from a fresh
//! opening; it takes the slot of one that could still be answered in time. So an opening keeps its place
//! for as long as its caller waits for it, behind fresh ones, and is refused then.

/// Longest time from the first offer to the last, in milliseconds: the platform's callers give a try up
/// 1.4 s after its first copy.
const LONGEST_MS: u64 = 1_300;

/// Time since the first offer in which an answer can still be in time, in milliseconds.
const IN_TIME_MS: u64 = 100;

/// Time between two offers while an answer can be in time, in milliseconds: the work of a request, in which
/// slots are freed.
const INTERVAL_MS: u64 = 50;

/// Time between two later offers, in milliseconds.
const LATE_INTERVAL_MS: u64 = 100;

/// Whether an opening is offered once more, `waited_ms` after its first offer.
pub fn goes_on(waited_ms: u64) -> bool {
    waited_ms < LONGEST_MS
}

/// Time from an offer to the next one, in milliseconds, if it was made `waited_ms` after the first.
pub fn interval_ms(waited_ms: u64) -> u64 {
    if waited_ms <= IN_TIME_MS { INTERVAL_MS } else { LATE_INTERVAL_MS }
}
