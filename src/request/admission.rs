//! Admission control of one target: its agent admits requests up to a concurrency limit.
//!
//! All requests of the target pass through its agent, so the count of busy slots is exact. A cold
//! target starts from a small limit (slow start), which rises by one after a number of answers. A
//! shed request, a failure or a new process lowers it at once. Load reports of the target never
//! raise it.

use serde::Deserialize;
use serde::Serialize;

use crate::request::verdict::Refusal;

/// Capacity of a target, as it announced itself and as its service is configured.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Capacity {
    /// Requests that a warm target runs at once.
    pub slots: u32,
    /// Connections that a warm target can hold.
    pub connections: u32,
    /// Requests that a cold target runs at once: the limit at its start.
    pub first_limit: u32,
    /// Answers that raise the limit of a cold target by one.
    pub growth_answers: u32,
}

/// How one admitted request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The target gave a complete answer.
    Answered,
    /// The target answered 503, which counts as a refusal because it was at capacity.
    Shed,
    /// The target failed or closed its connection.
    Failed,
    /// The caller disconnected, the deadline passed, or nothing was sent to the target.
    Abandoned,
}

/// Admission state of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Admission {
    capacity: Capacity,
    limit: u32,
    /// Answers since the limit last changed, towards the next increase.
    answers: u32,
    /// Slots in use.
    busy: u32,
    /// Running requests that were admitted before the present process of the target started. It is
    /// not tracked which ones they are: as many of the next requests to end count as theirs, and
    /// their answers do not raise the limit.
    of_process_before: u32,
    flows: u32,
    present: bool,
    leaving: bool,
    zone_out: bool,
    /// Limit before the target was suspected to be another process.
    suspended: Option<u32>,
}

impl Admission {
    /// Creates the state of a target that has not been announced yet: everything is refused.
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

    /// Handles the start of a new process of the target. A warm one starts at its full limit.
    pub fn target_started(&mut self, capacity: Capacity, warm: bool) {
        self.capacity = capacity;
        self.present = true;
        self.leaving = false;
        self.suspended = None;
        self.answers = 0;
        self.of_process_before = self.busy;
        self.limit = if warm { capacity.slots } else { self.first_limit() };
    }

    /// Handles changed limits of the same process. They lower the limit at once and never raise it.
    pub fn capacity_changed(&mut self, capacity: Capacity) {
        let was_full = self.limit == self.capacity.slots;
        self.capacity = capacity;
        if !was_full || capacity.slots < self.limit {
            self.limit = self.limit.min(capacity.slots);
        }
    }

    /// Handles the end of the target: it stopped renewing its announcement.
    pub fn target_gone(&mut self) {
        self.present = false;
        self.limit = self.first_limit();
        self.answers = 0;
    }

    /// Starts to drain the target: it gets no new work.
    pub fn target_leaving(&mut self) {
        self.leaving = true;
    }

    /// Sets whether the availability zone is out of service.
    pub fn set_zone_out(&mut self, out: bool) {
        self.zone_out = out;
    }

    /// Falls back to the cold limit because the target may be another process now. The previous
    /// limit is suspended until [`Admission::confirm_same_process`].
    pub fn suspect_new_process(&mut self) {
        if self.suspended.is_none() && self.limit > self.first_limit() {
            self.suspended = Some(self.limit);
            self.limit = self.first_limit();
            self.answers = 0;
        }
    }

    /// Restores the suspended limit because the target is still the same process.
    pub fn confirm_same_process(&mut self) {
        if let Some(limit) = self.suspended.take() {
            self.limit = limit.min(self.capacity.slots);
        }
    }

    /// Takes a slot for one request, or returns the reason of the refusal.
    pub fn start_request(&mut self) -> Result<(), Refusal> {
        self.check_accepts_work()?;
        if self.busy >= self.limit {
            return Err(Refusal::NoSlot);
        }
        self.busy += 1;
        Ok(())
    }

    /// Whether a request that holds a slot is still admitted, when the target may have become
    /// another process.
    pub fn is_still_admitted(&self) -> bool {
        self.check_accepts_work().is_ok() && self.busy <= self.limit
    }

    /// Releases the slot of one request and adjusts the limit to its outcome.
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

    /// Admits one new flow, or returns the reason of the refusal.
    pub fn open_flow(&mut self) -> Result<(), Refusal> {
        self.check_accepts_work()?;
        if self.flows >= self.flow_limit() {
            return Err(Refusal::NoConnection);
        }
        self.flows += 1;
        Ok(())
    }

    /// Handles the end of one admitted flow.
    pub fn close_flow(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// Maximum number of open flows now: `connections`, scaled by the limit over `slots`.
    pub fn flow_limit(&self) -> u32 {
        let slots = u64::from(self.capacity.slots.max(1));
        let flows = u64::from(self.capacity.connections) * u64::from(self.limit) / slots;
        u32::try_from(flows).unwrap_or(u32::MAX)
    }

    /// Maximum number of running requests now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of running requests.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Number of open flows.
    pub fn flows(&self) -> u32 {
        self.flows
    }

    /// The last announced capacity.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Whether the target is cold: the limit is below the announced slots.
    pub fn is_cold(&self) -> bool {
        self.limit < self.capacity.slots
    }

    /// Whether a target has announced itself.
    pub fn is_present(&self) -> bool {
        self.present
    }

    /// Whether the target is draining and gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the availability zone is out of service.
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
