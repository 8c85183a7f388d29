//! The deadline of one request, carried in a header as the remaining time.

/// Request header with the remaining time in milliseconds.
pub const DEADLINE_HEADER: &str = "rhubarbthread-deadline-ms";

/// Longest deadline that a caller may ask for, in milliseconds (one day).
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Reads the deadline of a request.
///
/// `header` is the value of [`DEADLINE_HEADER`], `default_ms` the deadline configured for the
/// service, used where the header is missing. Returns milliseconds from now, or `None` where the
/// header is not a number or above [`MAX_DEADLINE_MS`].
pub fn remaining_ms(header: Option<&str>, default_ms: u64) -> Option<u64> {
    let Some(text) = header else {
        return Some(default_ms);
    };
    let requested_ms: u64 = text.parse().ok()?;
    if requested_ms > MAX_DEADLINE_MS {
        return None;
    }
    Some(requested_ms)
}
