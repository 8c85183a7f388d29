//! All decisions of one agent behind one entrance, so that a trace of its inputs can be replayed.
//!
//! No I/O, no clock, no task: time comes with each input.

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

/// Bounds of the ticket memory of an agent.
pub const TICKET_BOUNDS: TicketBounds = TicketBounds { max_entries: 16_384, max_bytes: 8 << 20 };

/// Incarnation and number of a ticket whose MAC was right.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketId {
    /// Incarnation that issued it.
    pub incarnation: u64,
    /// Number within the incarnation.
    pub number: u64,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Input {
    /// The agent took an incarnation.
    Incarnation {
        /// The new incarnation.
        incarnation: u64,
    },
    /// The target announced itself.
    Announced {
        /// What it bears.
        capacity: Capacity,
        /// Identity of its process.
        process: String,
        /// Whether it says that it is warm.
        warm: bool,
    },
    /// The target renewed.
    Renewed {
        /// Identity of its process.
        process: String,
    },
    /// The service's limits changed.
    CapacityChanged {
        /// What the target bears now.
        capacity: Capacity,
    },
    /// The target leaves.
    Leaving,
    /// The target is gone.
    Gone,
    /// The zone went out or in.
    ZoneOut {
        /// Whether it is out.
        out: bool,
    },
    /// A keeper reported the mean load of the service.
    ServiceLoad {
        /// Flows over capacity, in thousandths.
        load_permille: u64,
    },
    /// A datagram that opens a flow.
    Opening {
        /// Identity of the opening.
        key: OpeningKey,
        /// Place of this agent in the chain.
        position: usize,
        /// Length of the chain.
        chain_length: usize,
    },
    /// The connection of an opening exists.
    FlowStarted {
        /// Identity of the opening.
        key: OpeningKey,
    },
    /// A flow that held a place ended.
    FlowEnded,
    /// A caller needs a ticket.
    TicketWanted,
    /// A request arrived whole.
    Request {
        /// Whether it may run more than once.
        idempotent: bool,
        /// Its ticket.
        ticket: Option<TicketId>,
    },
    /// A request that was admitted and not sent yet may meet another process of the target.
    TargetInDoubt,
    /// A request ended without a byte sent to the target.
    NotSent {
        /// Its ticket.
        ticket: Option<TicketId>,
    },
    /// A request ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// Its ticket.
        ticket: Option<TicketId>,
        /// Its whole answer, where it has a ticket and one came.
        answer: Option<KeptAnswer>,
    },
    /// A long stream answered: it gives its slot back and goes on.
    StreamStarted,
    /// The target closed a connection on its own.
    ConnectionLost,
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Decision {
    /// Nothing.
    None,
    /// Of an opening.
    Opening(OpeningDecision),
    /// Of a new connection: whether it holds a place.
    Flow(Result<(), Refusal>),
    /// The number of a fresh ticket.
    Ticket(u64),
    /// Run the request.
    Run,
    /// Refuse the request.
    Refuse(Refusal),
    /// Give the kept answer.
    Kept(KeptAnswer),
}

/// State of all decisions of one agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentState {
    admission: Admission,
    openings: Openings,
    tickets: TicketBook,
    process: Option<String>,
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
        }
    }

    /// Admission.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Incarnation.
    pub fn incarnation(&self) -> u64 {
        self.tickets.incarnation()
    }

    /// Identity of the target's process.
    pub fn process(&self) -> Option<&str> {
        self.process.as_deref()
    }

    /// Takes one input in and decides.
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
            Input::Renewed { .. } => self.admission.suspect_new_process(),
            Input::CapacityChanged { capacity } => self.admission.capacity_changed(*capacity),
            Input::Leaving => self.admission.target_leaving(),
            Input::Gone => {
                self.admission.target_gone();
                self.process = None;
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
        if self.process() == Some(process) && self.admission.is_present() {
            self.admission.capacity_changed(capacity);
            self.admission.confirm_same_process();
            return;
        }
        self.process = Some(process.to_owned());
        self.admission.target_started(capacity, warm);
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
