//! Limits on what a service file may say.

use std::ops::RangeInclusive;

/// Characters in a name.
pub const NAME_CHARS: RangeInclusive<usize> = 1..=63;
/// Requests that a cold target runs at once.
pub const FIRST_LIMIT: RangeInclusive<u64> = 1..=10_000;
/// Answers that raise the limit by one.
pub const GROWTH_ANSWERS: RangeInclusive<u64> = 1..=100_000;
/// Request deadline, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 10..=86_400_000;
/// Retries per hundred requests.
pub const RETRY_BUDGET_PERCENT: RangeInclusive<u64> = 0..=100;

/// Whether a name is lower-case letters, digits and inner hyphens, of a length in [`NAME_CHARS`].
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    NAME_CHARS.contains(&name.len())
        && name.chars().all(allowed)
        && !name.starts_with('-')
        && !name.ends_with('-')
}
