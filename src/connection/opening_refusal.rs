//! Why an agent does not offer an opening to its target.

/// Reason why an agent does not forward an opening to its target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// The agent has just started and some balancers may not know of it yet.
    NotIntroduced,
    /// The target has sent no report or none recently, its host refuses connections, or a new report is
    /// required: after a stall of this process, a lost flow, or the return of the zone to service.
    TargetSilent,
    /// The target runs another service.
    OtherService,
    /// The target is draining or has ended.
    Leaving,
    /// The availability zone is taken out of service.
    ZoneOut,
    /// The target is cold and its limits have not been received yet.
    LimitsUnknown,
    /// The target is cold and has reached its limit of openings per second.
    Cold,
    /// The target has reached its limit of open flows.
    Flows,
    /// All slots are busy and another target can be tried.
    Busy,
    /// A target that was tried before would answer the request sooner.
    LongerWait,
    /// The target is at its limit of busy slots: twice its slots, or its slots for an opening whose caller
    /// has already waited.
    Full,
    /// The target has started or failed, has as many openings without an answer as its answers so far allow (slow
    /// start), and another target can be tried.
    SlowStart,
    /// The target aborts requests or has become slow, and another target can be tried.
    Failing,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [RefusalReason; 13] = [
        RefusalReason::NotIntroduced,
        RefusalReason::TargetSilent,
        RefusalReason::OtherService,
        RefusalReason::Leaving,
        RefusalReason::ZoneOut,
        RefusalReason::LimitsUnknown,
        RefusalReason::Cold,
        RefusalReason::Flows,
        RefusalReason::Busy,
        RefusalReason::LongerWait,
        RefusalReason::Full,
        RefusalReason::SlowStart,
        RefusalReason::Failing,
    ];

    /// Label of this reason in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NotIntroduced => "not-introduced",
            RefusalReason::TargetSilent => "target-silent",
            RefusalReason::OtherService => "other-service",
            RefusalReason::Leaving => "leaving",
            RefusalReason::ZoneOut => "zone-out",
            RefusalReason::LimitsUnknown => "limits-unknown",
            RefusalReason::Cold => "cold",
            RefusalReason::Flows => "flows",
            RefusalReason::Busy => "busy",
            RefusalReason::LongerWait => "longer-wait",
            RefusalReason::Full => "full",
            RefusalReason::SlowStart => "slow-start",
            RefusalReason::Failing => "failing",
        }
    }
}
