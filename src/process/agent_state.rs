//! Decisions of one agent as a deterministic state machine, so that a trace of its inputs can be
//! replayed.
//!
//! It does no I/O, reads no clock and starts no task: the time comes with each input.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::connection::openings::OpeningDecision;
use crate::connection::openings::OpeningKey;
use crate::connection::openings::Openings;
use crate::request::admission::Admission;
use crate::request::admission::Capacity;
use crate::request::admission::Outcome;
use crate::request::ticket_book::Claim;
use crate::request::ticket_book::KeptAnswer;
use crate::request::ticket_book::TicketBook;
use crate::request::ticket_book::TicketBounds;
use crate::request::ticket_book::TicketOutcome;
use crate::request::verdict::Refusal;

/// Bounds of an agent's ticket table: 16,384 tickets and 8 MiB of stored answers.
pub const TICKET_BOUNDS: TicketBounds = TicketBounds { max_entries: 16_384, max_bytes: 8 << 20 };

/// Maximum number of past processes that are remembered to recognize their late announcements.
const MAX_PAST_PROCESSES: usize = 16;

/// Why an announcement of the target is not applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementRefusal {
    /// Another process has announced itself since, or this one stopped renewing while it drained.
    PastProcess,
    /// The process drains, which is never taken back.
    Leaving,
}

impl AnnouncementRefusal {
    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AnnouncementRefusal::PastProcess => "past-process",
            AnnouncementRefusal::Leaving => "leaving",
        }
    }
}

/// Identity of a ticket whose MAC was verified.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketId {
    /// Incarnation of the agent that issued the ticket.
    pub incarnation: u64,
    /// Number of the ticket, unique within the incarnation.
    pub number: u64,
}

/// An event that the agent decides on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Input {
    /// The agent starts a new incarnation; all tickets of the previous one are dropped.
    Incarnation {
        /// The new incarnation.
        incarnation: u64,
    },
    /// The target announced itself.
    Announced {
        /// Announced slots and connections, with the slow-start settings of the service.
        capacity: Capacity,
        /// Identity of the target's process.
        process: String,
        /// Whether the target starts at its full limit instead of the slow-start limit.
        warm: bool,
    },
    /// The target renewed its announcement.
    Renewed {
        /// Identity of the target's process.
        process: String,
    },
    /// The capacity of the announced target changed, for example with the service's settings.
    CapacityChanged {
        /// The new capacity.
        capacity: Capacity,
    },
    /// The target drains: it gets no new work.
    Leaving,
    /// The target stopped renewing its announcement.
    Gone,
    /// The availability zone was taken out of service or put back.
    ZoneOut {
        /// Whether the zone is out of service.
        out: bool,
    },
    /// A balancer reported the mean load of the service.
    ServiceLoad {
        /// Flows divided by the capacity for flows, in thousandths.
        load_permille: u64,
    },
    /// A datagram that opens a flow arrived.
    Opening {
        /// Identity of the opening.
        key: OpeningKey,
        /// Index of this agent in the chain of agents that the opening visits.
        position: usize,
        /// Number of agents in the chain.
        chain_length: usize,
    },
    /// The QUIC endpoint has a new connection for an opening.
    FlowStarted {
        /// Identity of the opening.
        key: OpeningKey,
    },
    /// A flow that was admitted has ended.
    FlowEnded,
    /// A caller needs a ticket.
    TicketWanted,
    /// A request was received completely.
    Request {
        /// Whether the method is idempotent, so that the request may run more than once.
        idempotent: bool,
        /// Ticket of the request.
        ticket: Option<TicketId>,
    },
    /// The target may have become another process after a request was admitted and before it was
    /// sent. The decision says whether the request is still admitted.
    TargetInDoubt,
    /// A request ended before any byte of it was sent to the target.
    NotSent {
        /// Ticket of the request.
        ticket: Option<TicketId>,
    },
    /// An admitted request ended.
    Ended {
        /// How the request ended.
        outcome: Outcome,
        /// Ticket of the request.
        ticket: Option<TicketId>,
        /// The complete answer, if there is one and the request has a ticket.
        answer: Option<KeptAnswer>,
    },
    /// A long stream got its response headers: it releases its slot and goes on without one.
    StreamStarted,
    /// The target closed a connection or accepted none, so it may be another process now.
    ConnectionLost,
    /// Time passed.
    Tick,
}

/// Decision on an [`Input`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Decision {
    /// There is nothing to do.
    None,
    /// Accept, pass on or refuse an opening.
    Opening(OpeningDecision),
    /// Admit or refuse a new connection.
    Flow(Result<(), Refusal>),
    /// Issue the ticket with this number.
    Ticket(u64),
    /// Run the request.
    Run,
    /// Refuse the request.
    Refuse(Refusal),
    /// Send the stored answer of the request's ticket.
    Kept(KeptAnswer),
}

/// A process of the target in whose place another one is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct PastProcess {
    process: String,
    /// Whether it drained, which is never taken back.
    was_leaving: bool,
}

/// State that the decisions of one agent depend on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentState {
    admission: Admission,
    openings: Openings,
    tickets: TicketBook,
    process: Option<String>,
    past_processes: VecDeque<PastProcess>,
}

impl AgentState {
    /// Creates the state of an agent without a target.
    pub fn new(incarnation: u64, bounds: TicketBounds) -> AgentState {
        let capacity = Capacity { slots: 0, connections: 0, first_limit: 0, growth_answers: 1 };
        AgentState {
            admission: Admission::new(capacity),
            openings: Openings::new(),
            tickets: TicketBook::new(incarnation, bounds),
            process: None,
            past_processes: VecDeque::new(),
        }
    }

    /// Returns the admission state of the target.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns the incarnation that issues tickets now.
    pub fn incarnation(&self) -> u64 {
        self.tickets.incarnation()
    }

    /// Returns the identity of the target's process; `None` without a target.
    pub fn process(&self) -> Option<&str> {
        self.process.as_deref()
    }

    /// Why an announcement of this process is not applied; `None` if it is.
    pub fn announcement_refusal(&self, process: &str) -> Option<AnnouncementRefusal> {
        if self.past_processes.iter().any(|past| past.process == process) {
            return Some(AnnouncementRefusal::PastProcess);
        }
        let is_leaving = self.admission.is_leaving() && self.process() == Some(process);
        is_leaving.then_some(AnnouncementRefusal::Leaving)
    }

    /// Updates the state with one input and returns the decision on it.
    pub fn apply(&mut self, now_ms: u64, input: &Input) -> Decision {
        match input {
            Input::Incarnation { incarnation } => {
                self.tickets = TicketBook::new(*incarnation, TICKET_BOUNDS);
            }
            Input::Announced { capacity, process, warm } => {
                self.handle_announcement(*capacity, process, *warm);
            }
            Input::Renewed { process } if self.process() == Some(process) => {
                self.admission.confirm_same_process();
            }
            Input::Renewed { process } => {
                self.forget_past(process);
                self.admission.suspect_new_process();
            }
            Input::CapacityChanged { capacity } => self.admission.capacity_changed(*capacity),
            Input::Leaving => self.admission.target_leaving(),
            Input::Gone => {
                self.admission.target_gone();
                let process = self.process.take();
                if let Some(past) = process
                    && self.admission.is_leaving()
                {
                    self.add_past(past);
                }
            }
            Input::ZoneOut { out } => self.admission.set_zone_out(*out),
            Input::ServiceLoad { load_permille } => self.openings.set_service_load(*load_permille),
            Input::Opening { key, position, chain_length } => {
                let admission = &mut self.admission;
                let decision =
                    self.openings.decide(key, *position, *chain_length, admission, now_ms);
                return Decision::Opening(decision);
            }
            Input::FlowStarted { key } => return Decision::Flow(self.handle_flow_start(key)),
            Input::FlowEnded => {
                self.admission.close_flow();
                self.openings.note_flow_ended();
            }
            Input::TicketWanted => return Decision::Ticket(self.tickets.issue()),
            Input::Request { idempotent, ticket } => {
                return self.handle_request(*idempotent, *ticket);
            }
            Input::TargetInDoubt => {
                return match self.admission.is_still_admitted() {
                    true => Decision::Run,
                    false => Decision::Refuse(Refusal::NoSlot),
                };
            }
            Input::NotSent { ticket } => {
                self.admission.finish_request(Outcome::Abandoned);
                if let Some(ticket) = ticket {
                    self.tickets.release_claim(ticket.number);
                }
            }
            Input::Ended { outcome, ticket, answer } => {
                self.admission.finish_request(*outcome);
                self.store_ticket_outcome(*ticket, answer.as_ref());
            }
            Input::StreamStarted => self.admission.finish_request(Outcome::Answered),
            Input::ConnectionLost => self.admission.suspect_new_process(),
            Input::Tick => self.openings.expire(&mut self.admission, now_ms),
        }
        Decision::None
    }

    fn handle_announcement(&mut self, capacity: Capacity, process: &str, warm: bool) {
        if self.announcement_refusal(process).is_some() {
            return;
        }
        if self.process() == Some(process) && self.admission.is_present() {
            self.admission.capacity_changed(capacity);
            self.admission.confirm_same_process();
            return;
        }
        if let Some(past) = self.process.replace(process.to_owned())
            && past != process
        {
            self.add_past(past);
        }
        self.admission.target_started(capacity, warm);
    }

    fn add_past(&mut self, process: String) {
        if self.past_processes.len() >= MAX_PAST_PROCESSES {
            self.past_processes.pop_front();
        }
        let was_leaving = self.admission.is_leaving();
        self.past_processes.push_back(PastProcess { process, was_leaving });
    }

    /// Lets a past process that renews, and so runs, announce itself again, unless it drained or the present one
    /// drains.
    fn forget_past(&mut self, process: &str) {
        let is_present_leaving = self.process.is_some() && self.admission.is_leaving();
        if !is_present_leaving {
            self.past_processes.retain(|past| past.process != process || past.was_leaving);
        }
    }

    fn handle_flow_start(&mut self, key: &OpeningKey) -> Result<(), Refusal> {
        match self.openings.claim(key) {
            Some(OpeningDecision::Accept) => Ok(()),
            Some(OpeningDecision::Refuse(reason)) => Err(reason),
            Some(OpeningDecision::PassOn) | None => self.admission.open_flow(),
        }
    }

    fn handle_request(&mut self, idempotent: bool, ticket: Option<TicketId>) -> Decision {
        let Some(ticket) = ticket else {
            if !idempotent {
                return Decision::Refuse(Refusal::TicketNeeded);
            }
            return self.start_request(None);
        };
        match self.tickets.claim(ticket.incarnation, ticket.number) {
            Claim::Run => self.start_request(Some(ticket)),
            Claim::StillRunning => Decision::Refuse(Refusal::StillRunning),
            Claim::Ended(TicketOutcome::Answered(answer)) => Decision::Kept(answer),
            Claim::Ended(TicketOutcome::Unknown) => Decision::Refuse(Refusal::TargetClosed),
            Claim::Forgotten => Decision::Refuse(Refusal::TicketForgotten),
            Claim::Elsewhere => Decision::Refuse(Refusal::TicketElsewhere),
        }
    }

    fn start_request(&mut self, ticket: Option<TicketId>) -> Decision {
        match self.admission.start_request() {
            Ok(()) => Decision::Run,
            Err(reason) => {
                if let Some(ticket) = ticket {
                    self.tickets.release_claim(ticket.number);
                }
                Decision::Refuse(reason)
            }
        }
    }

    fn store_ticket_outcome(&mut self, ticket: Option<TicketId>, answer: Option<&KeptAnswer>) {
        let Some(ticket) = ticket else {
            return;
        };
        if ticket.incarnation != self.tickets.incarnation() {
            return;
        }
        let outcome = answer.cloned().map_or(TicketOutcome::Unknown, TicketOutcome::Answered);
        self.tickets.finish(ticket.number, outcome);
    }
}
