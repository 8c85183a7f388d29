//! Waits between calls that failed.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

/// Waits longer with each failure, from the first to the second bound in milliseconds, at random, so
/// that nodes do not come back together.
pub fn backoff(failures: u32, bounds_ms: (u64, u64)) -> Duration {
    let (low, high) = bounds_ms;
    let longest = high.min(low << failures.min(6));
    Duration::from_millis(rand::rng().random_range(low..=longest))
}

/// Makes a call until it succeeds. The waits double from the first to the second bound, in
/// milliseconds; `note` hears of each failure.
pub async fn until_done<T, E, F: Future<Output = Result<T, E>>>(
    bounds_ms: (u64, u64),
    mut call: impl FnMut() -> F,
    note: impl Fn(&E),
) -> T {
    let (mut wait_ms, longest_ms) = bounds_ms;
    loop {
        match call().await {
            Ok(answer) => return answer,
            Err(error) => note(&error),
        }
        sleep(Duration::from_millis(wait_ms)).await;
        wait_ms = longest_ms.min(wait_ms * 2);
    }
}
