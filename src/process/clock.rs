//! Clocks behind a trait, so that tests and replays can supply their own time.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use rand::Rng;

/// Number of random low bits of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since a fixed start. The value never decreases.
    fn now_ms(&self) -> u64;
}

/// Monotonic clock of the host, which does not advance while the host is suspended.
#[derive(Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at 0 now.
    pub fn new() -> MonotonicClock {
        MonotonicClock { start: Instant::now() }
    }
}

impl Default for MonotonicClock {
    fn default() -> MonotonicClock {
        MonotonicClock::new()
    }
}

impl Clock for MonotonicClock {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Clock of the host that also advances while the host is suspended.
///
/// What was seen before a suspension is outdated after it; the monotonic clock would hide its age.
#[derive(Debug, Default)]
pub struct BootTimeClock;

impl BootTimeClock {
    /// Creates a clock that counts from the boot of the host.
    pub fn new() -> BootTimeClock {
        BootTimeClock
    }
}

impl Clock for BootTimeClock {
    fn now_ms(&self) -> u64 {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
        let seconds = u64::try_from(now.tv_sec()).unwrap_or(0);
        seconds * 1000 + u64::try_from(now.tv_nsec()).unwrap_or(0) / 1_000_000
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. The value may decrease.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX >> INCARNATION_RANDOM_BITS)
}

/// Generates an incarnation from the wall-clock time in milliseconds, so that a later one is
/// greater, and `INCARNATION_RANDOM_BITS` random bits.
pub fn generate_incarnation() -> u64 {
    let random: u64 = rand::rng().random_range(0..1 << INCARNATION_RANDOM_BITS);
    (unix_time_ms() << INCARNATION_RANDOM_BITS) | random
}
