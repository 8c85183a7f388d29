//! Verdicts, which tell the caller whether a request may have run, and the reasons of refusals.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Response header that carries the verdict.
pub const VERDICT_HEADER: &str = "rhubarbthread-verdict";

/// Response header with the reason of a refusal.
pub const REASON_HEADER: &str = "rhubarbthread-reason";

/// Whether one request has run at its target, as far as the agent or the caller knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request reached the target.
    NotRun,
    /// It is unknown whether the request ran: it may have reached the target, and no complete
    /// answer came back.
    MayHaveRun,
    /// The target gave a complete answer.
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

/// Error for a text that is not a value of [`VERDICT_HEADER`].
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
    /// All slots that the current limit allows are busy.
    NoSlot,
    /// All connections that the current limit allows are open.
    NoConnection,
    /// The target is draining and takes no new work.
    Leaving,
    /// The availability zone was taken out of service.
    ZoneOut,
    /// No target is announced to this agent, or its service is not in the configuration.
    NoTarget,
    /// The target did not accept the connection.
    TargetUnreachable,
    /// A non-idempotent request came without a ticket.
    TicketNeeded,
    /// The ticket cannot be decoded or its MAC is wrong.
    TicketInvalid,
    /// The ticket was issued by another agent or another incarnation.
    TicketElsewhere,
    /// The outcome of the ticket has been evicted.
    TicketForgotten,
    /// The request with this ticket is still running.
    StillRunning,
    /// The deadline of the request passed.
    Deadline,
    /// The target closed the connection before its answer was complete.
    TargetClosed,
    /// The request is larger than the agent accepts.
    TooLarge,
    /// The request cannot be parsed, its deadline is not a number in range, or its body did not
    /// arrive completely in time.
    Malformed,
    /// The agent is overloaded: its buffer for request bodies is full.
    Overloaded,
}

impl Refusal {
    /// All reasons, for metrics and documentation.
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

    /// Returns the name of this reason in headers and metrics.
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

    /// Returns the verdict that goes with this reason.
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

    /// Returns how long the caller should wait before it retries, in seconds; `None` where a retry
    /// cannot succeed. With `other_targets_have_slots`, other targets probably have free slots, so a
    /// request without a slot may be retried at once.
    pub fn retry_after_s(self, other_targets_have_slots: bool) -> Option<u32> {
        match self {
            Refusal::NoSlot if other_targets_have_slots => Some(0),
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
