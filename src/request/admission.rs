//! Admission of requests beside one target: slots in use against a limit that grows with answers.
//!
//! Only the agent counts, so the count is exact. A cold target starts from a small limit; each run
//! of answers raises it by one; a shed, a failure or a new process lowers it at once. Load reports
//! of the target never raise it.

use serde::Deserialize;
use serde::Serialize;

use crate::request::verdict::Refusal;

/// What a target bears, as announced and as its service is configured.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Capacity {
    /// Requests that a warm target runs at once.
    pub slots: u32,
    /// Connections that a warm target holds.
    pub connections: u32,
    /// Requests that a cold target runs at once.
    pub first_limit: u32,
    /// Answers that raise the limit of a cold target by one.
    pub growth_answers: u32,
}

/// How one admitted request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The target gave a whole answer.
    Answered,
    /// The target refused for want of capacity.
    Shed,
    /// The target failed or closed its connection.
    Failed,
    /// The caller went away, the deadline passed, or nothing was sent.
    Abandoned,
}

/// State of admission for one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Admission {
    capacity: Capacity,
    limit: u32,
    answers: u32,
    busy: u32,
    /// Requests that the process before was at work on when this one started.
    of_process_before: u32,
    flows: u32,
    present: bool,
    leaving: bool,
    zone_out: bool,
    suspended: Option<u32>,
}

impl Admission {
    /// Creates admission for a target that has not been announced yet: everything is refused.
    pub fn new(capacity: Capacity) -> Admission {
        Admission {
            capacity,
            limit: capacity.first_limit.min(capacity.slots),
            answers: 0,
            busy: 0,
            of_process_before: 0,
            flows: 0,
            present: false,
            leaving: false,
            zone_out: false,
            suspended: None,
        }
    }

    /// Takes in a new process of the target. A warm one starts at its full limit.
    pub fn target_started(&mut self, capacity: Capacity, warm: bool) {
        self.capacity = capacity;
        self.present = true;
        self.leaving = false;
        self.suspended = None;
        self.answers = 0;
        self.of_process_before = self.busy;
        self.limit = if warm { capacity.slots } else { self.first_limit() };
    }

    /// Takes in changed limits of the same process. They lower the limit at once and never raise
    /// it.
    pub fn capacity_changed(&mut self, capacity: Capacity) {
        let was_full = self.limit == self.capacity.slots;
        self.capacity = capacity;
        if !was_full || capacity.slots < self.limit {
            self.limit = self.limit.min(capacity.slots);
        }
    }

    /// Notes that the target no longer exists or no longer renews.
    pub fn target_gone(&mut self) {
        self.present = false;
        self.limit = self.first_limit();
        self.answers = 0;
    }

    /// Notes that the target wants no new work.
    pub fn target_leaving(&mut self) {
        self.leaving = true;
    }

    /// Sets whether the availability zone is out.
    pub fn set_zone_out(&mut self, out: bool) {
        self.zone_out = out;
    }

    /// Falls back to the cold limit because the target may be another process now.
    pub fn suspect_new_process(&mut self) {
        if self.suspended.is_none() && self.limit > self.first_limit() {
            self.suspended = Some(self.limit);
            self.limit = self.first_limit();
            self.answers = 0;
        }
    }

    /// Notes that the target is still the same process: the limit before the doubt is back.
    pub fn confirm_same_process(&mut self) {
        if let Some(limit) = self.suspended.take() {
            self.limit = limit.min(self.capacity.slots);
        }
    }

    /// Asks for a slot for one request.
    pub fn start_request(&mut self) -> Result<(), Refusal> {
        self.check_accepts_work()?;
        if self.busy >= self.limit {
            return Err(Refusal::NoSlot);
        }
        self.busy += 1;
        Ok(())
    }

    /// Whether a request that holds a slot is still admitted, after the target may have become another
    /// process.
    pub fn is_still_admitted(&self) -> bool {
        self.check_accepts_work().is_ok() && self.busy <= self.limit
    }

    /// Gives the slot of one request back.
    pub fn finish_request(&mut self, outcome: Outcome) {
        self.busy = self.busy.saturating_sub(1);
        let is_of_process_before = self.of_process_before > 0;
        self.of_process_before = self.of_process_before.saturating_sub(1);
        match outcome {
            Outcome::Answered if is_of_process_before => {}
            Outcome::Answered => self.count_answer(),
            Outcome::Shed => self.halve_limit(),
            Outcome::Failed => self.suspect_new_process(),
            Outcome::Abandoned => {}
        }
    }

    /// Asks for a place for one flow.
    pub fn open_flow(&mut self) -> Result<(), Refusal> {
        self.check_accepts_work()?;
        if self.flows >= self.flow_limit() {
            return Err(Refusal::NoConnection);
        }
        self.flows += 1;
        Ok(())
    }

    /// Gives the place of one flow back.
    pub fn close_flow(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// Flows that may be open now: the connections in proportion to the request limit.
    pub fn flow_limit(&self) -> u32 {
        let slots = u64::from(self.capacity.slots.max(1));
        let flows = u64::from(self.capacity.connections) * u64::from(self.limit) / slots;
        u32::try_from(flows).unwrap_or(u32::MAX)
    }

    /// Requests that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests that run now.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Flows that are open now.
    pub fn flows(&self) -> u32 {
        self.flows
    }

    /// Capacity as last announced.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Whether the limit is below the announced slots.
    pub fn is_cold(&self) -> bool {
        self.limit < self.capacity.slots
    }

    /// Whether a target is announced.
    pub fn is_present(&self) -> bool {
        self.present
    }

    /// Whether the target wants no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the availability zone is out.
    pub fn is_zone_out(&self) -> bool {
        self.zone_out
    }

    fn check_accepts_work(&self) -> Result<(), Refusal> {
        if self.zone_out {
            return Err(Refusal::ZoneOut);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if !self.present {
            return Err(Refusal::NoTarget);
        }
        Ok(())
    }

    fn first_limit(&self) -> u32 {
        self.capacity.first_limit.min(self.capacity.slots)
    }

    fn count_answer(&mut self) {
        if self.suspended.is_some() || self.limit >= self.capacity.slots {
            return;
        }
        self.answers += 1;
        if self.answers >= self.capacity.growth_answers {
            self.answers = 0;
            self.limit += 1;
        }
    }

    fn halve_limit(&mut self) {
        self.suspended = None;
        self.answers = 0;
        self.limit = (self.limit / 2).max(self.first_limit()).max(1);
    }
}
