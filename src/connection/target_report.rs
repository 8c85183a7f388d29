//! Reports of a target on itself, and what became of them.

/// Periodic status report of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Id of the target instance; a restart under the same id has another `started_ms`.
    pub id: String,
    /// Start time of the instance, in Unix milliseconds.
    pub started_ms: u64,
    /// Sequence number of this report within the instance; increases with each report, from any number.
    pub sequence: u64,
    /// Service that the target runs.
    pub service: String,
    /// Whether the target is draining before it shuts down.
    pub is_leaving: bool,
    /// Remaining warm-up time, in milliseconds; 0 on a warm target.
    pub cold_remaining_ms: u64,
    /// Requests that a warm target processes concurrently.
    pub slots: u32,
}

/// Effect of a report on the known state of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// First report of the next instance of the target, after the one before has ended. Logs carry the name of
    /// the variant.
    NewLife,
    /// Another instance has proved that it runs in place of the one before.
    Replaced,
    /// Changes state that balancers must be notified of.
    Changed,
    /// Changes nothing that balancers use.
    Same,
    /// Not applied.
    Ignored(IgnoredReason),
}

impl ReportOutcome {
    /// Label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportOutcome::NewLife => "new-instance",
            ReportOutcome::Replaced => "replaced",
            ReportOutcome::Changed => "changed",
            ReportOutcome::Same => "same",
            ReportOutcome::Ignored(reason) => reason.as_str(),
        }
    }
}

/// Why a report is not applied.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum IgnoredReason {
    /// It is from an instance that another one has replaced.
    PastInstance,
    /// The current instance has already sent a later report.
    EarlierSequence,
    /// The current instance has ended.
    HasEnded,
    /// It is from another instance than the current one, which may still run. Its draining, service and warm-up
    /// restrict openings meanwhile.
    Unproven,
}

impl IgnoredReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [IgnoredReason; 4] = [
        IgnoredReason::PastInstance,
        IgnoredReason::EarlierSequence,
        IgnoredReason::HasEnded,
        IgnoredReason::Unproven,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            IgnoredReason::PastInstance => "past-instance",
            IgnoredReason::EarlierSequence => "earlier-sequence",
            IgnoredReason::HasEnded => "has-ended",
            IgnoredReason::Unproven => "unproven",
        }
    }
}
