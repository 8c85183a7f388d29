//! Class of the requests of a route, by which they are ordered when a target has too few slots, and the load
//! of a target by priority.

/// Number of priorities that loads distinguish. Less urgent ones count as the last of these.
pub const PRIORITY_LEVELS: usize = 4;

/// Service time that is assumed while a target or a service has no estimate, in microseconds. It bounds how many
/// requests wait at a target that has just started.
pub const DEFAULT_SERVICE_TIME_US: u64 = 50_000;

/// Priority, latency objective and time-out of a route's requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestClass {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time from the caller's first segment to the answer that the caller expects, in milliseconds.
    pub objective_ms: u64,
    /// Time after which the caller gives the request up, in milliseconds.
    pub timeout_ms: u64,
}

impl RequestClass {
    /// Index of the priority among the levels that loads distinguish.
    pub fn level(&self) -> usize {
        usize::try_from(self.priority).unwrap_or(usize::MAX).min(PRIORITY_LEVELS - 1)
    }
}

/// Number of requests at a target that a new request of each priority finds ahead of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadByPriority {
    /// Entry p counts the requests of priority p or more urgent.
    cumulative: [u32; PRIORITY_LEVELS],
}

impl LoadByPriority {
    /// Creates the load from the number of requests of each priority level.
    pub fn new(by_level: [u32; PRIORITY_LEVELS]) -> LoadByPriority {
        let mut total = 0;
        LoadByPriority {
            cumulative: by_level.map(|count| {
                total += count;
                total
            }),
        }
    }

    /// Creates the load from its cumulative counts; `None` if there is not one for each level.
    pub fn from_cumulative(counts: &[u32]) -> Option<LoadByPriority> {
        Some(LoadByPriority { cumulative: counts.try_into().ok()? })
    }

    /// Cumulative counts, most urgent level first.
    pub fn cumulative(&self) -> &[u32] {
        &self.cumulative
    }

    /// Number of requests ahead of a new one of this class.
    pub fn ahead_of(&self, class: &RequestClass) -> u32 {
        self.cumulative[class.level()]
    }
}
