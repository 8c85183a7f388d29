//! Processor time and memory of a process, read from `/proc`. A process that has ended counts as 0.

use std::fs;

/// Clock ticks per second in `/proc` (`USER_HZ`, always 100 for programs on Linux).
const TICKS_PER_S: f64 = 100.0;

/// User and system time of the process so far, in seconds.
pub fn cpu_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may contain spaces. User and system time are the 12th and 13th field after it.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Resident memory, in kilobytes.
pub fn rss_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}
