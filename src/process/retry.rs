//! Retries with backoff.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

/// Returns a random wait before the next attempt, between the first bound and a maximum that doubles
/// with each failure, up to the second bound or 64 times the first. Bounds are in milliseconds. The
/// jitter keeps nodes from retrying together.
pub fn backoff(failures: u32, bounds_ms: (u64, u64)) -> Duration {
    let (min_ms, max_ms) = bounds_ms;
    let current_max_ms = max_ms.min(min_ms << failures.min(6));
    Duration::from_millis(rand::rng().random_range(min_ms..=current_max_ms))
}

/// Repeats a call until it succeeds, and calls `on_failure` with each error. The waits double from
/// the first to the second bound, in milliseconds, without jitter.
pub async fn retry_until_ok<T, E, F: Future<Output = Result<T, E>>>(
    bounds_ms: (u64, u64),
    mut call: impl FnMut() -> F,
    on_failure: impl Fn(&E),
) -> T {
    let (mut wait_ms, max_wait_ms) = bounds_ms;
    loop {
        match call().await {
            Ok(answer) => return answer,
            Err(error) => on_failure(&error),
        }
        sleep(Duration::from_millis(wait_ms)).await;
        wait_ms = max_wait_ms.min(wait_ms * 2);
    }
}
