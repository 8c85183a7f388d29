//! Whether a request may have run at its target.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Response header that carries the verdict.
pub const VERDICT_HEADER: &str = "rhubarbthread-verdict";

/// Response header that names the reason of a refusal.
pub const REASON_HEADER: &str = "rhubarbthread-reason";

/// What the system knows about the execution of one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request reached the target.
    NotRun,
    /// The request may have run; nobody can tell from here.
    MayHaveRun,
    /// The target gave a whole answer.
    Ran,
}

impl Verdict {
    /// Returns the value of [`VERDICT_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text is not a verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownVerdict;

impl FromStr for Verdict {
    type Err = UnknownVerdict;

    fn from_str(text: &str) -> Result<Verdict, UnknownVerdict> {
        match text {
            "not-run" => Ok(Verdict::NotRun),
            "may-have-run" => Ok(Verdict::MayHaveRun),
            "ran" => Ok(Verdict::Ran),
            _ => Err(UnknownVerdict),
        }
    }
}

/// Why an agent refused a request or a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// All slots that the limit allows are busy.
    NoSlot,
    /// All connections that the limit allows are open.
    NoConnection,
    /// The target is leaving.
    Leaving,
    /// The availability zone is out.
    ZoneOut,
    /// No target is announced here.
    NoTarget,
    /// The target did not take the connection.
    TargetUnreachable,
    /// A non-idempotent request came without a ticket.
    TicketNeeded,
    /// The ticket does not parse or its MAC is wrong.
    TicketInvalid,
    /// The ticket is of another target or another incarnation.
    TicketElsewhere,
    /// The outcome of the ticket is no longer kept.
    TicketForgotten,
    /// The request with this ticket is still running.
    StillRunning,
    /// The deadline passed.
    Deadline,
    /// The target closed the connection before its answer was whole.
    TargetClosed,
    /// The request is larger than the agent takes.
    TooLarge,
    /// The request is malformed.
    Malformed,
    /// The flow was taken only to be told to come back later.
    Overloaded,
}

impl Refusal {
    /// All reasons, for metrics and docs.
    pub const ALL: [Refusal; 16] = [
        Refusal::NoSlot,
        Refusal::NoConnection,
        Refusal::Leaving,
        Refusal::ZoneOut,
        Refusal::NoTarget,
        Refusal::TargetUnreachable,
        Refusal::TicketNeeded,
        Refusal::TicketInvalid,
        Refusal::TicketElsewhere,
        Refusal::TicketForgotten,
        Refusal::StillRunning,
        Refusal::Deadline,
        Refusal::TargetClosed,
        Refusal::TooLarge,
        Refusal::Malformed,
        Refusal::Overloaded,
    ];

    /// Returns the label of this reason in headers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoSlot => "no-slot",
            Refusal::NoConnection => "no-connection",
            Refusal::Leaving => "leaving",
            Refusal::ZoneOut => "zone-out",
            Refusal::NoTarget => "no-target",
            Refusal::TargetUnreachable => "target-unreachable",
            Refusal::TicketNeeded => "ticket-needed",
            Refusal::TicketInvalid => "ticket-invalid",
            Refusal::TicketElsewhere => "ticket-elsewhere",
            Refusal::TicketForgotten => "ticket-forgotten",
            Refusal::StillRunning => "still-running",
            Refusal::Deadline => "deadline",
            Refusal::TargetClosed => "target-closed",
            Refusal::TooLarge => "too-large",
            Refusal::Malformed => "malformed",
            Refusal::Overloaded => "overloaded",
        }
    }

    /// Returns the verdict that this reason always has.
    pub fn verdict(self) -> Verdict {
        match self {
            Refusal::TicketElsewhere
            | Refusal::TicketForgotten
            | Refusal::StillRunning
            | Refusal::Deadline
            | Refusal::TargetClosed => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Returns the HTTP status code of this reason.
    pub fn status(self) -> u16 {
        match self {
            Refusal::TicketNeeded => 428,
            Refusal::TicketInvalid | Refusal::Malformed => 400,
            Refusal::TicketElsewhere => 421,
            Refusal::TicketForgotten => 410,
            Refusal::StillRunning => 409,
            Refusal::Deadline => 504,
            Refusal::TargetClosed => 502,
            Refusal::TooLarge => 413,
            _ => 503,
        }
    }

    /// Returns how long the caller should wait before it asks again, in seconds; `None` where
    /// asking again is no use. Where other targets have free slots, it may ask for one at once.
    pub fn retry_after_s(self, others_have_slots: bool) -> Option<u32> {
        match self {
            Refusal::NoSlot if others_have_slots => Some(0),
            Refusal::NoSlot
            | Refusal::NoConnection
            | Refusal::TargetUnreachable
            | Refusal::StillRunning
            | Refusal::Overloaded
            | Refusal::NoTarget => Some(1),
            Refusal::Leaving | Refusal::ZoneOut => Some(0),
            _ => None,
        }
    }
}
