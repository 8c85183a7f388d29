//! The clock as a trait object, so that tests and replays can bring their own.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use rand::Rng;

/// Bits of an incarnation that are random.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Milliseconds since some fixed moment of this process; never goes back.
    fn now_ms(&self) -> u64;
}

/// The clock of the host.
#[derive(Debug)]
pub struct HostClock {
    start: Instant,
}

impl HostClock {
    /// Creates a clock that starts at 0.
    pub fn new() -> HostClock {
        HostClock { start: Instant::now() }
    }
}

impl Default for HostClock {
    fn default() -> HostClock {
        HostClock::new()
    }
}

impl Clock for HostClock {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// The clock of the host that goes on while the host is suspended.
///
/// Evidence that was gathered before a suspension is old after it, which a steady clock hides.
#[derive(Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Creates a clock.
    pub fn new() -> BootClock {
        BootClock
    }
}

impl Clock for BootClock {
    fn now_ms(&self) -> u64 {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
        let seconds = u64::try_from(now.tv_sec()).unwrap_or(0);
        seconds * 1000 + u64::try_from(now.tv_nsec()).unwrap_or(0) / 1_000_000
    }
}

/// Wall-clock time, in Unix milliseconds; it may go back.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX >> INCARNATION_RANDOM_BITS)
}

/// Returns a fresh incarnation: milliseconds of wall-clock time and some random bits.
pub fn generate_incarnation() -> u64 {
    let random: u64 = rand::rng().random_range(0..1 << INCARNATION_RANDOM_BITS);
    (unix_time_ms() << INCARNATION_RANDOM_BITS) | random
}
