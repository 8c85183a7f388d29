//! Valid ranges of the values in a service file.

use std::ops::RangeInclusive;

/// Length of a name in characters.
pub const NAME_LENGTH: RangeInclusive<usize> = 1..=63;
/// Number of requests that a cold target processes concurrently at first.
pub const FIRST_LIMIT: RangeInclusive<u64> = 1..=10_000;
/// Number of answers after which the limit of a cold target grows by one.
pub const GROWTH_ANSWERS: RangeInclusive<u64> = 1..=100_000;
/// Default deadline of requests, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 10..=86_400_000;
/// Maximum number of retries per hundred requests.
pub const RETRY_BUDGET_PERCENT: RangeInclusive<u64> = 0..=100;

/// Whether a name consists of lower-case ASCII letters, digits and inner hyphens, with a length in
/// [`NAME_LENGTH`].
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    NAME_LENGTH.contains(&name.len())
        && name.chars().all(allowed)
        && !name.starts_with('-')
        && !name.ends_with('-')
}
