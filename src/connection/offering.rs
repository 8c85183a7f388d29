//! Schedule on which a balancer repeats the offer of an opening that a busy or full target has refused.
//!
//! It is designed for overload, such as all callers reconnecting after a power failure. A refused caller
//! retries at once, and its retry cannot be told from a new opening, so it would take a slot from one that
//! can still be answered in time. An opening is therefore offered again, with lower priority than new ones,
//! for as long as its caller waits, and refused only then.

use crate::connection::request_class::RequestClass;

/// Time from the first segment of an attempt after which the caller abandons it, in milliseconds.
pub const ATTEMPT_MS: u64 = 1_400;

/// Times after the first opening segment at which the caller sends the first and the second retransmission, in
/// milliseconds.
const RETRANSMISSIONS_MS: [u64; 2] = [200, 600];

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

/// Range over which refusals of openings of the same age are spread, in milliseconds. Refused callers retry at
/// once; after a power failure, most of them began at the same moment.
const REFUSAL_SPREAD_MS: u64 = 200;

/// Time from an offer to the start of the answer at a target with a free slot, in milliseconds: service times of
/// up to 60 ms, and up to 20 ms for the segments. An opening that is taken for late by it is only offered later.
/// A route with a shorter objective expects shorter service times: half of its objective counts if that is less.
const ANSWER_MS: u64 = 80;

/// Time since the caller's first opening segment that this transmission of the opening proves.
pub fn min_age_ms(retransmission: u32) -> u64 {
    match retransmission {
        0 => 0,
        1 => RETRANSMISSIONS_MS[0],
        _ => RETRANSMISSIONS_MS[1],
    }
}

/// Whether the answer to an opening of this age can still meet the latency objective of its class.
pub fn can_be_in_time(age_ms: u64, class: &RequestClass) -> bool {
    age_ms + ANSWER_MS.min(class.objective_ms / 2) <= class.objective_ms
}

/// Whether an opening with a class may be offered again, or is refused: no target can start its request before
/// the caller abandons the attempt. `wait_ms` is the shortest time in which a target can.
pub fn is_worth_offering(age_ms: u64, wait_ms: u64, flow_hash: u64) -> bool {
    let spread_ms = flow_hash % REFUSAL_SPREAD_MS;
    let deadline_ms = MAX_OFFER_PERIOD_MS - spread_ms;
    age_ms < deadline_ms && (age_ms + wait_ms < MAX_OFFER_PERIOD_MS || age_ms < spread_ms)
}

/// Whether an opening may be offered again `since_first_offer_ms` after its first offer.
pub fn is_offer_allowed(since_first_offer_ms: u64) -> bool {
    since_first_offer_ms < MAX_OFFER_PERIOD_MS
}

/// Delay in milliseconds until the next offer, after one made `since_first_offer_ms` after the first.
pub fn next_offer_delay_ms(since_first_offer_ms: u64) -> u64 {
    if since_first_offer_ms <= EARLY_PERIOD_MS { EARLY_INTERVAL_MS } else { LATE_INTERVAL_MS }
}
